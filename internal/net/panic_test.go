package net

import (
	"testing"

	"golang.org/x/sys/unix"

	"havenproxy/internal/state"
)

// panickingHandler is a socketHandler that panics, within a call of the dispatcher if shared is set.
type panickingHandler struct {
	socket  *socket
	shared  bool
	onEnded func()
}

func (h *panickingHandler) onHangup()           {}
func (h *panickingHandler) handleBusy()         { panic("in its turn as a busy connection") }
func (h *panickingHandler) connection() *socket { return h.socket }
func (h *panickingHandler) onReadable() {
	if h.shared {
		h.socket.loop.callShared(func() { panic("in the dispatcher") })
	}
	panic("in the handling of input")
}
func (h *panickingHandler) onWritten()          {}
func (h *panickingHandler) onWriteFailed(error) {}
func (h *panickingHandler) onPanic() {
	h.socket.close()
	h.onEnded()
}

// runWithPanic runs a loop with one connection whose handler panics, until the connection is closed. If busy is set, it panics
// in the queue of busy connections.
func runWithPanic(t *testing.T, shared, busy bool) *state.Counters {
	t.Helper()
	var deadlines state.Deadlines
	counters := &state.Counters{}
	loop := newLoop(t, state.NewSystemClock(), &deadlines, counters)
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(pair[1])
	handler := &panickingHandler{shared: shared, onEnded: loop.Stop}
	if handler.socket, err = newSocket(loop, pair[0], handler, nil); err != nil {
		t.Fatal(err)
	}
	if busy {
		loop.busy.add(handler)
	} else {
		unix.Write(pair[1], []byte("x"))
	}
	loop.Run()
	return counters
}

// A panic in the handling of one connection ended the process, with all other connections.
func TestPanicEndsOnlyItsConnection(t *testing.T) {
	for _, busy := range []bool{false, true} {
		if counters := runWithPanic(t, false, busy); counters.Panics != 1 {
			t.Errorf("busy %v: %d panics were counted", busy, counters.Panics)
		}
	}
}

// After a panic in the dispatcher its state can't be trusted: the process ends.
func TestPanicInTheDispatcherIsNotContained(t *testing.T) {
	defer func() {
		if cause := recover(); cause != "in the dispatcher" {
			t.Errorf("recovered %v", cause)
		}
	}()
	runWithPanic(t, true, false)
	t.Error("the loop went on")
}
