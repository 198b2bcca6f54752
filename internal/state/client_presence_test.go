package state

import (
	"testing"
	"time"

	"havenproxy/logic"
)

// A further attempt began for a client that had left while the first one was out. Before each attempt the client is asked
// for, however the attempt comes about.
func TestNoAttemptBeginsForClientsThatMayHaveLeft(t *testing.T) {
	for _, presence := range []ClientPresence{ClientLeft, ClientUnknown} {
		for name, send := range map[string]func(h *harness, c *fakeResponder) logic.RequestID{
			"further attempt": func(h *harness, c *fakeResponder) logic.RequestID {
				id := h.submit(c)
				h.conns[0].handler.Connected()
				h.conns[0].handler.Disconnected()
				c.client = presence
				h.dispatcher.Send(id, h.id("two"), 500*time.Millisecond, 0)
				return id
			},
			"attempt that waits for a new connection": func(h *harness, c *fakeResponder) logic.RequestID {
				id := h.submit(c)
				c.client = presence
				h.conns[0].handler.Connected()
				return id
			},
			"attempt that waits for a settling connection": func(h *harness, c *fakeResponder) logic.RequestID {
				h.submit(&fakeResponder{})
				h.conns[0].handler.Connected()
				h.conns[0].handler.Reply(Reply{Result: logic.OK})
				id := h.submit(c)
				c.client = presence
				h.advance(settleTime)
				return id
			},
		} {
			h, c := newHarness(t, 9), &fakeResponder{}
			id := send(h, c)
			sent := 0
			for _, conn := range h.conns {
				sent += conn.sent
			}
			if sent > 1 || name == "attempt that waits for a new connection" && sent > 0 || h.lastOutcome.Result != logic.NotSent {
				t.Errorf("%s, presence %d: %d queries were sent, the outcome is %+v", name, presence, sent, h.lastOutcome)
			}
			// A client that may still be there gets its answer.
			if h.dispatcher.Refuse(id, 0, logic.RefusedOverload); presence == ClientUnknown {
				c.want(t, "refused 0s")
			}
			if n := h.dispatcher.OpenRequests(); n != 0 {
				t.Errorf("%s, presence %d: %d open requests", name, presence, n)
			}
		}
	}
}
