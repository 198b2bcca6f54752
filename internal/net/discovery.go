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

// A change counts as told six seconds after discovery had it and could be reached. A watch that has fallen silent is
// given up after watchWait and the patience on top of it; the router then asks again after a pause, and that first
// call, its connection included, has firstWait and the patience. Together, one further failed call included, these
// stay inside the six seconds. What the agent on this machine holds counts as told at once, so there a call that has
// failed, the pause and the next call stay inside the half second that a drain grants besides.
const (
	watchWait       = 1500 * time.Millisecond
	firstWait       = 50 * time.Millisecond // so that the first answer comes at once
	agentPatience   = 300 * time.Millisecond
	servicePatience = time.Second
	// A list of thousands takes its time on a part of a core: while its bytes come, a call may take so much longer, which
	// the six seconds still hold.
	flowPatience = 500 * time.Millisecond

	maxHead   = 16 << 10
	minPeriod = 100 * time.Millisecond // of calls; a watch ends where the next one is over 200 ms late
)

var errNoAnswer = errors.New("no answer in time")

// Discovery asks for the list of databases. It implements state.Watcher. A call waits beside the loop, and the loop is
// told its end.
type Discovery struct {
	loop      *Loop
	clock     state.Clock
	deadlines *state.Deadlines
	front     *state.Front
	address   string
	patience  time.Duration
	client    *http.Client

	cancel     context.CancelFunc // of the call in hand, or nil
	watching   bool
	calledAt   time.Duration
	progress   *callProgress // of the call in hand
	first      bool          // the next call is the first of its watch
	generation int64
	timer      state.Deadline
	turn       int // counts calls; what an earlier one still has to say is void
	firstEnd   func()
}

// NewDiscovery makes the client; generation is that of the list in hand. Agent tells that the address is that of an
// agent on this machine, which answers at once and at no cost, not that of a service for many.
func NewDiscovery(loop *Loop, clock state.Clock, front *state.Front, address string, generation int64, agent bool) *Discovery {
	d := &Discovery{loop: loop, clock: clock, deadlines: &front.Deadlines, front: front, address: address,
		generation: generation, patience: servicePatience, client: &http.Client{
			Transport: &http.Transport{DialContext: (&stdnet.Dialer{}).DialContext, DisableCompression: true,
				MaxResponseHeaderBytes: maxHead},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}}
	if agent {
		d.patience = agentPatience
	}
	return d
}

// OnFirstEnd has f called once, when the first call has ended, one way or the other.
func (d *Discovery) OnFirstEnd(f func()) { d.firstEnd = f }

// told tells that a call has ended and its news are taken in.
func (d *Discovery) told() {
	if f := d.firstEnd; f != nil {
		d.firstEnd = nil
		f()
	}
}

// Watch implements state.Watcher.
func (d *Discovery) Watch(on bool) {
	d.watching = on
	if on {
		d.begin()
	}
}

// Fetch implements state.Watcher.
func (d *Discovery) Fetch() {
	d.generation = discovery.NoList
	d.begin()
}

// Move goes on at another address, at once: the service at the old one may end any time. The whole list comes
// first, for generations there need not be those of the old one.
func (d *Discovery) Move(address string) {
	d.address, d.watching = address, true
	d.Fetch()
}

// begin starts with a call that is answered at once. One that is under way gives way to it.
func (d *Discovery) begin() {
	d.hangUp()
	d.first = true
	d.call()
}

func (d *Discovery) call() {
	d.turn++
	turn, wait := d.turn, watchWait
	if d.first {
		wait = firstWait
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel, d.calledAt = cancel, d.clock.Now()
	progress := &callProgress{clock: d.clock}
	d.progress = progress
	d.expect(wait, d.calledAt+wait+d.patience)
	url := discovery.URL(d.address, d.generation, wait)
	go func() {
		defer cancel()
		l, err := d.get(ctx, url, progress)
		d.loop.Post(func() { d.ended(turn, l, err) })
	}()
}

// callProgress tells how far the answer to a call has come. The call's goroutine writes it, the loop reads it.
type callProgress struct {
	clock    state.Clock
	lastByte atomic.Int64 // when bytes of the answer last came, on the clock; 0 = none have
	whole    atomic.Bool  // all of them have come
}

// reader notes what is read from an answer's body.
func (p *callProgress) reader(body io.Reader) io.Reader { return progressReader{p, body} }

type progressReader struct {
	progress *callProgress
	body     io.Reader
}

// Read implements io.Reader.
func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if n > 0 {
		r.progress.lastByte.Store(int64(r.progress.clock.Now()))
	}
	return n, err
}

// expect gives the call in hand up at a time, unless its answer is coming then: one that has fallen silent has no bytes
// for as long as the first of them may take. An answer that is all there only has to be decoded.
func (d *Discovery) expect(wait, at time.Duration) {
	d.deadlines.Set(&d.timer, at, func() {
		now := d.clock.Now()
		due := min(time.Duration(d.progress.lastByte.Load()), d.calledAt+wait+flowPatience) + d.patience
		if d.progress.whole.Load() {
			due = now + d.patience
		}
		if due <= now {
			d.failed(errNoAnswer)
			return
		}
		d.expect(wait, due)
	})
}

// get makes one call. An answer that is cut short, and so one without a length that ends by a reset, is an error.
func (d *Discovery) get(ctx context.Context, url string, progress *callProgress) (discovery.List, error) {
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
		return discovery.List{}, fmt.Errorf("status %s", resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(progress.reader(resp.Body), discovery.MaxBody))
	if err != nil {
		return discovery.List{}, err
	}
	progress.whole.Store(true)
	return discovery.ParseList(body)
}

// ended takes in how a call ended, unless it was given up before.
func (d *Discovery) ended(turn int, l discovery.List, err error) {
	switch {
	case turn != d.turn || d.cancel == nil:
	case err != nil:
		d.failed(err)
	case d.generation != discovery.NoList && l.Generation < d.generation:
		// Older than what is in hand: what it undoes may hold still. Asked for as a whole, the list counts as it comes.
		err = fmt.Errorf("generation %d after %d", l.Generation, d.generation)
		d.generation = discovery.NoList
		d.failed(err)
	default:
		d.answered(l)
	}
}

func (d *Discovery) answered(l discovery.List) {
	d.cancel = nil
	d.deadlines.Clear(&d.timer)
	d.generation, d.first = l.Generation, false
	if d.watching {
		// The watch goes on if the next call follows closely. A service that answers at once all the same must
		// not be called in a tight loop: it serves all proxies, one call after the other.
		d.deadlines.Set(&d.timer, max(d.calledAt+minPeriod, d.clock.Now()), d.call)
	}
	d.front.Listed(ListOf(l))
	d.told()
}

// ListOf puts a list into the terms of the state.
func ListOf(l discovery.List) state.List {
	out := state.List{Kind: logic.ListDelta}
	if l.Whole {
		out.Kind = logic.ListFull
	}
	for _, e := range l.Instances {
		s := logic.Ready
		switch e.Lifecycle {
		case discovery.Terminating:
			s = logic.Draining
		case discovery.Terminated:
			s = logic.Gone
		}
		out.Entries = append(out.Entries, state.Entry{Name: e.ID, Address: e.Address, Zone: e.Zone, Group: e.Group,
			State: s, Size: e.Weight, Started: time.Duration(e.StartedMs) * time.Millisecond})
	}
	return out
}

// failed ends a watch; the router asks again when it sees fit.
func (d *Discovery) failed(err error) {
	slog.Debug("discovery call failed", "error", err, "after", d.clock.Now()-d.calledAt, "generation", d.generation)
	d.watching = false
	d.hangUp()
	d.front.ListFailed(err)
	d.told()
}

// hangUp gives up the call in hand and the connection with it: a late answer must not come for the next call's.
func (d *Discovery) hangUp() {
	d.deadlines.Clear(&d.timer)
	if d.cancel != nil {
		d.cancel()
		d.cancel = nil
	}
	d.client.CloseIdleConnections()
}
