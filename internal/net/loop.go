// Package net serves the proxy's sockets: the listener, clients, databases and discovery. Each connection is an
// object whose callbacks all run on one goroutine, the loop's. The package makes no routing decisions.
package net

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
)

// Loop is the event loop. Its goroutine owns the router and the state of all connections. netpoll's pollers read the
// sockets and post their callbacks to the loop, where they run one at a time.
type Loop struct {
	clock     state.Clock
	deadlines *state.Deadlines
	stalls    stallMonitor

	mu      sync.Mutex
	queue   []func()
	wake    chan struct{}
	stopped bool
}

// netpoll has one global runner, which its pollers read, so it is set once, before there are any connections. It posts
// to the loop that was created last.
var (
	setRunnerOnce sync.Once
	currentLoop   atomic.Pointer[Loop]
)

// NewLoop returns a loop on which netpoll runs its callbacks from now on.
func NewLoop(clock state.Clock, deadlines *state.Deadlines, counters *state.Counters) *Loop {
	l := &Loop{clock: clock, deadlines: deadlines, stalls: stallMonitor{counters: counters}, wake: make(chan struct{}, 1)}
	currentLoop.Store(l)
	setRunnerOnce.Do(func() {
		netpoll.SetRunner(func(_ context.Context, f func()) { currentLoop.Load().Post(f) })
	})
	return l
}

// Post queues f to run on the loop. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	l.queue = append(l.queue, f)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Run runs the loop until Stop.
func (l *Loop) Run() {
	timer := time.NewTimer(time.Hour)
	var work []func()
	for !l.stopped {
		l.mu.Lock()
		work, l.queue = l.queue, work[:0]
		l.mu.Unlock()
		begin := l.clock.Now()
		for i, f := range work {
			f()
			work[i] = nil
		}
		l.deadlines.RunDue(l.clock.Now())
		l.stalls.record(begin, l.clock.Now(), len(work))
		if l.stopped || len(work) > 0 {
			continue
		}
		if at, ok := l.deadlines.Next(); ok {
			timer.Reset(max(at-l.clock.Now(), 0))
		}
		select {
		case <-l.wake:
		case <-timer.C:
		}
	}
}

// Stop ends Run. It must be called on the loop.
func (l *Loop) Stop() { l.stopped = true }

// buffer is the input buffer of a connection. It grows as needed; bytes that remain after a discard move to its front.
type buffer struct{ bytes []byte }

// maxIdleBufferBytes is the capacity of the largest buffer that a connection keeps while it is empty.
const maxIdleBufferBytes = 16 << 10

// fill appends everything that netpoll has read.
func (b *buffer) fill(r netpoll.Reader) error {
	n := r.Len()
	in, err := r.Next(n)
	if err != nil {
		return err
	}
	b.bytes = append(b.bytes, in...)
	return r.Release()
}

// discard drops the first n bytes.
func (b *buffer) discard(n int) {
	left := copy(b.bytes, b.bytes[n:])
	b.bytes = b.bytes[:left]
	if left == 0 && cap(b.bytes) > maxIdleBufferBytes {
		b.bytes = nil
	}
}
