package net

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	stdnet "net"
	"net/http"
	"sync/atomic"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/discovery"
	"havenproxy/logic"
)

// A proxy must know of a change within six seconds of the time when the discovery service has it and is reachable. A
// watch that gets no response is given up after longPollWait plus the timeout. The router then calls again after a pause,
// and that first call, including its connection, may take firstPollWait plus the timeout. Together, even with one more
// failed call, these stay within the six seconds. With an agent on this machine the proxy is expected to know at once what
// the agent has, so a failed call, the pause and the next call then stay within the half second of grace that a drain
// allows.
const (
	longPollWait   = 1500 * time.Millisecond
	firstPollWait  = 50 * time.Millisecond  // short, so that the first response comes at once
	agentTimeout   = 300 * time.Millisecond // how long a response may take beyond the wait that the call asks for
	serviceTimeout = time.Second            // the same, without an agent
	// A list of thousands of databases takes time to transfer on a fraction of a core: while its bytes arrive, a call may
	// take transferAllowance longer, which still fits into the six seconds.
	transferAllowance = 500 * time.Millisecond

	maxHeaderBytes  = 16 << 10
	minCallInterval = 100 * time.Millisecond // between the starts of calls; a watch ends if its next call is over 200 ms late
)

var errCallTimedOut = errors.New("no response in time")

// DiscoveryClient fetches the member list from the discovery service. It implements state.Discovery. A call blocks a
// goroutine of its own and passes its result to the loop.
type DiscoveryClient struct {
	loop       *Loop
	clock      state.Clock
	deadlines  *state.Deadlines
	dispatcher *state.Dispatcher
	address    string
	timeout    time.Duration
	client     *http.Client

	cancel          context.CancelFunc // cancels the call in progress, or nil
	watching        bool
	calledAt        time.Duration
	progress        *callProgress // of the call in progress
	firstCall       bool          // the next call is the first of its watch
	generation      int64
	timer           state.Deadline
	callNumber      int // number of the latest call; results of earlier ones are ignored
	onFirstCallDone func()
}

// NewDiscoveryClient returns a client for the service at an address; generation is that of the current list. agent
// says that the address is that of an agent on this machine, which responds at once and at no cost, not that of a
// shared service.
func NewDiscoveryClient(loop *Loop, clock state.Clock, dispatcher *state.Dispatcher, address string, generation int64,
	agent bool) *DiscoveryClient {
	d := &DiscoveryClient{loop: loop, clock: clock, deadlines: &dispatcher.Deadlines, dispatcher: dispatcher, address: address,
		generation: generation, timeout: serviceTimeout, client: &http.Client{
			Transport: &http.Transport{DialContext: (&stdnet.Dialer{}).DialContext, DisableCompression: true,
				MaxResponseHeaderBytes: maxHeaderBytes},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
	if agent {
		d.timeout = agentTimeout
	}
	return d
}

// OnFirstCallDone sets a function to call once, when the first call has succeeded or failed.
func (d *DiscoveryClient) OnFirstCallDone(f func()) { d.onFirstCallDone = f }

// notifyFirstCallDone runs the function set by OnFirstCallDone, the first time that a call has ended and its result is
// processed.
func (d *DiscoveryClient) notifyFirstCallDone() {
	if f := d.onFirstCallDone; f != nil {
		d.onFirstCallDone = nil
		f()
	}
}

// Watch implements state.Discovery.
func (d *DiscoveryClient) Watch(on bool) {
	d.watching = on
	if on {
		d.restart()
	}
}

// Fetch implements state.Discovery.
func (d *DiscoveryClient) Fetch() {
	d.generation = discovery.NoGeneration
	d.restart()
}

// SwitchAddress switches to another address at once: the service at the old one may stop at any time. It fetches the full
// list first, since generations at the new address may not correspond to those at the old one.
func (d *DiscoveryClient) SwitchAddress(address string) {
	d.address, d.watching = address, true
	d.Fetch()
}

// restart cancels the call in progress, if any, and starts one to which the service responds within firstPollWait.
func (d *DiscoveryClient) restart() {
	d.cancelCall()
	d.firstCall = true
	d.call()
}

// call starts a call: a short one if it is the first of its watch, else a long poll.
func (d *DiscoveryClient) call() {
	d.callNumber++
	callNumber, wait := d.callNumber, longPollWait
	if d.firstCall {
		wait = firstPollWait
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel, d.calledAt = cancel, d.clock.Now()
	progress := &callProgress{clock: d.clock}
	d.progress = progress
	d.setCallDeadline(wait, d.calledAt+wait+d.timeout)
	url := discovery.EndpointsURL(d.address, d.generation, wait)
	go func() {
		defer cancel()
		l, err := d.fetchList(ctx, url, progress)
		d.loop.Post(func() { d.callDone(callNumber, l, err) })
	}()
}

// callProgress tracks how much of the response to a call has arrived. The call's goroutine writes it, the loop reads it.
type callProgress struct {
	clock      state.Clock
	lastReadAt atomic.Int64 // clock time when body bytes were last read; 0 = none yet
	bodyRead   atomic.Bool  // the complete body has been read
}

// reader wraps a response body and records when bytes are read from it.
func (p *callProgress) reader(body io.Reader) io.Reader { return progressReader{p, body} }

// progressReader records in a callProgress when bytes are read.
type progressReader struct {
	progress *callProgress
	body     io.Reader
}

// Read implements io.Reader.
func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n > 0 {
		r.progress.lastReadAt.Store(int64(r.progress.clock.Now()))
	}
	return n, err
}

// setCallDeadline fails the call in progress at the given time. While bytes of the response arrive, the deadline
// moves to d.timeout after the last ones, by at most transferAllowance in all. A complete response only has to be
// decoded, and doesn't fail.
func (d *DiscoveryClient) setCallDeadline(wait, at time.Duration) {
	d.deadlines.Set(&d.timer, at, func() {
		now := d.clock.Now()
		due := min(time.Duration(d.progress.lastReadAt.Load()), d.calledAt+wait+transferAllowance) + d.timeout
		if d.progress.bodyRead.Load() {
			due = now + d.timeout
		}
		if due <= now {
			d.callFailed(errCallTimedOut)
			return
		}
		d.setCallDeadline(wait, due)
	})
}

// fetchList makes one call. A truncated response is an error, also if it has no length and ends by a reset.
func (d *DiscoveryClient) fetchList(ctx context.Context, url string, progress *callProgress) (discovery.List, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return discovery.List{}, err
	}
	req.Header.Set("Accept", "application/json")
	resp, err := d.client.Do(req)
	if err != nil {
		return discovery.List{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return discovery.List{}, fmt.Errorf("unexpected HTTP status %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(progress.reader(resp.Body), discovery.MaxResponseBytes))
	if err != nil {
		return discovery.List{}, err
	}
	progress.bodyRead.Store(true)
	return discovery.ParseList(body)
}

// callDone processes the result of a call, unless the call has been cancelled or a later one has started.
func (d *DiscoveryClient) callDone(callNumber int, l discovery.List, err error) {
	switch {
	case callNumber != d.callNumber || d.cancel == nil:
	case err != nil:
		d.callFailed(err)
	case d.generation != discovery.NoGeneration && l.Generation < d.generation:
		// The list is older than the current one and would undo changes that may still hold. The next call fetches the full
		// list, which is accepted whatever its generation.
		err = fmt.Errorf("list of generation %d is older than the current one of generation %d", l.Generation, d.generation)
		d.generation = discovery.NoGeneration
		d.callFailed(err)
	default:
		d.listReceived(l)
	}
}

// listReceived passes a list to the dispatcher and schedules the next call of a watch.
func (d *DiscoveryClient) listReceived(l discovery.List) {
	d.cancel = nil
	d.deadlines.Clear(&d.timer)
	d.generation, d.firstCall = l.Generation, false
	if d.watching {
		// The watch continues if the next call follows soon. A service that responds at once must still not be called in a
		// tight loop: it serves all proxies, one call after the other.
		d.deadlines.Set(&d.timer, max(d.calledAt+minCallInterval, d.clock.Now()), d.call)
	}
	d.dispatcher.ApplyList(ConvertList(l))
	d.notifyFirstCallDone()
}

// ConvertList converts a list of the discovery service to a state.List.
func ConvertList(l discovery.List) state.List {
	out := state.List{Kind: logic.ListDelta}
	if l.Full {
		out.Kind = logic.ListFull
	}
	for _, e := range l.Members {
		s := logic.Ready
		switch e.Lifecycle {
		case discovery.Terminating:
			s = logic.Draining
		case discovery.Terminated:
			s = logic.Gone
		}
		out.Entries = append(out.Entries, state.ListEntry{Name: e.ID, Address: e.Address, Zone: e.Zone, Group: e.Group,
			State: s, Weight: e.Weight, StartedUnix: time.Duration(e.StartedMs) * time.Millisecond})
	}
	return out
}

// callFailed ends a watch; the router decides when to call again.
func (d *DiscoveryClient) callFailed(err error) {
	slog.Debug("discovery call failed", "error", err, "after", d.clock.Now()-d.calledAt, "generation", d.generation)
	d.watching = false
	d.cancelCall()
	d.dispatcher.ListFailed(err)
	d.notifyFirstCallDone()
}

// cancelCall cancels the call in progress and closes its connection, so that a late response can't be mistaken for
// that of the next call.
func (d *DiscoveryClient) cancelCall() {
	d.deadlines.Clear(&d.timer)
	if d.cancel != nil {
		d.cancel()
		d.cancel = nil
	}
	d.client.CloseIdleConnections()
}
