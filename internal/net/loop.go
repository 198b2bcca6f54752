// Package net serves the proxy's sockets: the listener, clients, databases and discovery. Each connection is an
// object whose callbacks all run on one goroutine, the loop's. The package makes no routing decisions.
package net

import (
	"log/slog"
	"runtime/debug"
	"sync"
	"time"

	"havenproxy/internal/state"
)

// readBufferBytes is how much the loop reads from one socket at a time: one that always has input can't keep the loop
// from others, and adds no more than this to what is buffered for its connection.
const readBufferBytes = 32 << 10

const (
	// defaultInputBytes is the memory for large input buffers where no limit is set.
	defaultInputBytes = 32 << 20
	// minLargeBuffers is how many large buffers of each kind may be in use however small the limit is.
	minLargeBuffers = 4
)

const (
	// crowdedTurnTime is how long an iteration of the loop takes at most unless the loop is crowded.
	crowdedTurnTime = 2 * time.Millisecond
	// maxTurnTime is the time in an iteration after which no more input of new clients is handled in it.
	maxTurnTime = 5 * time.Millisecond
)

// Loop is the event loop. Its goroutine owns the router and the state of all connections, waits for all their sockets
// and runs their callbacks one at a time. Nothing on it may wait for a peer.
type Loop struct {
	clock      state.Clock
	deadlines  *state.Deadlines
	counters   *state.Counters
	stalls     stallMonitor
	poller     *poller
	sockets    map[uint64]*socket // open sockets by poller id
	events     []polledEvent
	newClients []polledEvent // events of clients that have sent no request yet, or many
	readBuffer []byte
	// clientBuffers and databaseBuffers are the large input buffers of the two kinds of connections.
	clientBuffers   bufferPool
	databaseBuffers bufferPool
	busy            busyQueue
	sharedDepth     int // calls of the dispatcher in progress
	// polledAt and polledBefore are when the current wait for events returned, and the one before it.
	polledAt, polledBefore time.Duration
	turns                  uint64 // iterations so far
	stopped                bool

	mu     sync.Mutex
	queue  []func()
	closed bool // the poller is closed
}

// NewLoop returns a loop that runs the deadlines and everything that is posted to it. The error is that of a system call
// that found no free descriptor or memory.
func NewLoop(clock state.Clock, deadlines *state.Deadlines, counters *state.Counters) (*Loop, error) {
	poller, err := newPoller()
	if err != nil {
		return nil, err
	}
	l := &Loop{clock: clock, deadlines: deadlines, counters: counters, stalls: stallMonitor{clock: clock, counters: counters}, poller: poller,
		sockets: map[uint64]*socket{}, readBuffer: make([]byte, readBufferBytes),
		busy: busyQueue{clock: clock, counters: counters, cores: 1}}
	l.busy.run = func(work busyWork) { l.contain(work.connection(), work.handleBusy) }
	l.LimitInput(defaultInputBytes)
	return l, nil
}

// LimitInput sets how much memory the large buffers for input from clients may take, in bytes. Those for the responses of
// databases may take half as much.
func (l *Loop) LimitInput(size int) {
	l.clientBuffers.max = max(size/largeBufferBytes, minLargeBuffers)
	l.databaseBuffers.max = max(size/2/largeBufferBytes, minLargeBuffers)
}

// LimitCores sets how much processor time the process gets in a second, in seconds.
func (l *Loop) LimitCores(cores float64) { l.busy.cores = cores }

// Post queues f to run on the loop. It may be called from any goroutine.
func (l *Loop) Post(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(l.queue, f)
	if len(l.queue) == 1 && !l.closed {
		l.poller.wake()
	}
}

// takePosted returns the posted functions, in their order.
func (l *Loop) takePosted(reuse []func()) []func() {
	l.mu.Lock()
	defer l.mu.Unlock()
	posted := l.queue
	l.queue = reuse[:0]
	return posted
}

// Run runs the loop until Stop. It can be called once.
func (l *Loop) Run() {
	var posted []func()
	for !l.stopped {
		l.events = l.poller.wait(l.events[:0], l.waitTime())
		now := l.clock.Now()
		l.polledAt, l.polledBefore = now, l.polledAt
		posted = l.runTurn(now, posted)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.poller.close()
}

// runTurn handles the events that have been polled, what was posted, the deadlines that are due, and then busy connections. It
// reuses the memory of the functions posted before, and returns that of those posted now.
func (l *Loop) runTurn(now time.Duration, reuse []func()) (posted []func()) {
	l.turns++
	l.stalls.beginTurn(now)
	l.handleHangups()
	l.stalls.endPhase(phaseHangups, 0)
	posted = l.takePosted(reuse)
	for i, f := range posted {
		f()
		posted[i] = nil
	}
	l.stalls.endPhase(phasePosted, len(posted))
	l.handleEvents()
	l.stalls.endPhase(phaseEvents, len(l.events))
	l.deadlines.RunDue(l.clock.Now())
	l.stalls.endPhase(phaseDeadlines, 0)
	l.busy.recordOthers(l.stalls.ended, l.stalls.ended-now)
	served := l.busy.serve()
	l.stalls.endPhase(phaseBusy, served)
	l.stalls.endTurn()
	return posted
}

// crowded reports whether the connections that are not busy ask for so much that they have to wait for each other.
func (l *Loop) crowded(now time.Duration) bool {
	return l.stalls.took > crowdedTurnTime || now-l.stalls.begin > crowdedTurnTime
}

// waitTime returns how long the loop may wait for events: until the next deadline, or the next turn of busy connections.
func (l *Loop) waitTime() time.Duration {
	at, limited := l.deadlines.Next()
	if next, waiting := l.busy.next(); waiting && (!limited || next < at) {
		at, limited = next, true
	}
	if !limited {
		return -1
	}
	return max(at-l.clock.Now(), 0)
}

// handleHangups reports the connections that their peers have ended. It precedes all other events, because input of one
// socket may cause work for a request whose client has left.
func (l *Loop) handleHangups() {
	for _, e := range l.events {
		if e.ready&eventHangup == 0 {
			continue
		}
		if s := l.sockets[e.id]; s != nil && s.onDialed == nil {
			l.contain(s, s.handler.onHangup)
		}
	}
}

// handleEvents handles the input and output of the sockets that are ready. Clients that are known to send one request at a
// time, and databases, come first.
func (l *Loop) handleEvents() {
	l.newClients = l.newClients[:0]
	for _, e := range l.events {
		s := l.sockets[e.id]
		if s == nil {
			continue
		}
		if c, ok := s.handler.(*client); ok && !c.sendsOneAtATime(l.polledAt) {
			l.newClients = append(l.newClients, e)
			continue
		}
		l.contain(s, func() { s.handleEvent(e.ready) })
	}
	l.handleNewClients()
}

// handleNewClients handles the events of other clients. Once the iteration has taken maxTurnTime, what is left of their input
// waits for the next one, in which another client comes first.
func (l *Loop) handleNewClients() {
	first := 0
	if count := len(l.newClients); count > 0 {
		first = int(l.turns % uint64(count))
	}
	for i := range l.newClients {
		e := l.newClients[(first+i)%len(l.newClients)]
		s := l.sockets[e.id]
		if s == nil {
			continue
		}
		if l.turnSpent() {
			s.handler.(*client).backlog.leftUnread(l.polledAt)
			e.ready &= eventWritable
		}
		l.contain(s, func() { s.handleEvent(e.ready) })
	}
}

// turnSpent reports whether the iteration has taken so long that input which can wait should wait for the next one.
func (l *Loop) turnSpent() bool { return l.clock.Now()-l.stalls.begin > maxTurnTime }

// contain runs the handling of an event of one connection. A panic in it ends that connection only, unless the dispatcher
// was being called, or a client was being accepted: the state of all requests or clients may be inconsistent then, so the
// panic goes on.
func (l *Loop) contain(s *socket, handle func()) {
	defer func() {
		cause := recover()
		if cause == nil {
			return
		}
		if _, listens := s.handler.(*listener); listens || l.sharedDepth > 0 || s.onDialed != nil {
			panic(cause)
		}
		l.counters.Panics++
		slog.Error("panic in the handling of a connection", "cause", cause, "stack", string(debug.Stack()))
		s.handler.onPanic()
	}()
	handle()
}

// callShared runs a call of the dispatcher. The depth is not restored after a panic, on purpose; see contain.
func (l *Loop) callShared(call func()) {
	l.sharedDepth++
	call()
	l.sharedDepth--
}

// Stop ends Run. It must be called on the loop.
func (l *Loop) Stop() { l.stopped = true }
