// Command drill is the simulator adapter. It hosts routers: it decodes the simulator's events from standard input, passes
// them to the routers, and writes the routers' actions to standard output. It makes no routing decisions.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"havenproxy/internal/wire/settings"
	"havenproxy/internal/wire/sim"
	"havenproxy/logic"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

// instance is one hosted router, with what its settings say about decoding its records.
type instance struct {
	router       *logic.Router // nil if its settings were unusable
	reportFormat sim.ReportFormat
}

// host holds the instances of this process. They share the encoder of replies and nothing else.
type host struct {
	instances map[uint32]*instance
	out       sim.Encoder
}

// run decodes batches of events from in and writes one reply to each, until in ends.
func run(in io.Reader, out io.Writer) error {
	h := host{instances: map[uint32]*instance{}}
	decoder, writer := sim.NewDecoder(in), bufio.NewWriterSize(out, 1<<16)
	for {
		batch, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = decoder.Each(batch, h.reportFormat, func(e sim.Event) error { h.handle(batch.Now, e); return nil })
		}
		if err == nil {
			err = h.out.Flush(writer)
		}
		if err != nil {
			return err
		}
	}
}

// reportFormat returns how to decode the records of an instance, and false if there is no such instance.
func (h *host) reportFormat(id uint32) (sim.ReportFormat, bool) {
	inst, ok := h.instances[id]
	if !ok {
		return sim.ReportFormat{}, false
	}
	return inst.reportFormat, true
}

// handle passes an event to the router of its instance. It also creates and deletes instances.
func (h *host) handle(now time.Duration, e sim.Event) {
	h.out.Instance = e.Instance
	switch e.Kind {
	case sim.InstanceStarted:
		h.start(e)
		return
	case sim.InstanceStopped:
		delete(h.instances, e.Instance)
		return
	}
	r := h.instances[e.Instance].router
	if r == nil {
		return
	}
	switch e.Kind {
	case sim.MemberList:
		r.MemberList(now, e.List)
	case sim.RequestReceived:
		r.Request(now, e.Request)
	case sim.AnswerStarted:
		r.AnswerStarted(now, e.ID, e.Attempt)
	case sim.Outcome:
		r.Outcome(now, e.Outcome)
	case sim.ProbeResult:
		r.ProbeResult(now, e.ProbeResult)
	case sim.Timer:
		r.Timer(now, e.Timer)
	case sim.Abandoned:
		r.Abandoned(now, e.ID)
	}
}

// start creates an instance with the settings of an event, or reports why it can't.
func (h *host) start(e sim.Event) {
	inst := &instance{}
	h.instances[e.Instance] = inst
	parsed, err := settings.Parse(e.Settings, e.Seed)
	if err == nil {
		inst.reportFormat = sim.ReportFormat{Origin: parsed.Origin, Fields: parsed.Fields}
		inst.router, err = logic.New(parsed.Config, &h.out)
	}
	if err != nil {
		h.out.Abort(err.Error())
	}
}
