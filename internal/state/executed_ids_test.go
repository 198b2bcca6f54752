package state

import (
	"fmt"
	"testing"
	"time"

	"havenproxy/logic"
)

// newWriteHarness returns a harness whose only class has the given effect.
func newWriteHarness(t *testing.T, effect logic.Effect) *harness {
	h := newHarness(t, 9)
	h.dispatcher.cfg.Logic.Classes[0].Effect = effect
	return h
}

// An id ran twice when it came again after its client had left: the database still worked on the first attempt, which had
// been given up.
func TestIDThatMayHaveBeenExecutedIsNotExecutedAgain(t *testing.T) {
	type end func(h *harness, id logic.RequestID)
	written := func(after end) end {
		return func(h *harness, id logic.RequestID) {
			h.conns[0].handler.Connected()
			after(h, id)
		}
	}
	for name, c := range map[string]struct {
		end    end
		effect logic.Effect
		again  bool // it may be executed again
	}{
		"client left, attempt cancelled": {written(func(h *harness, id logic.RequestID) {
			h.dispatcher.Abandon(id)
			h.dispatcher.Cancel(id, 0)
		}), logic.EffectNonIdempotent, false},
		"client left, attempt answered": {written(func(h *harness, id logic.RequestID) {
			h.dispatcher.Abandon(id)
			h.conns[0].handler.Reply(Reply{Result: logic.OK})
		}), logic.EffectNonIdempotent, false},
		"served": {written(func(h *harness, _ logic.RequestID) {
			h.conns[0].handler.Reply(Reply{Result: logic.OK})
		}), logic.EffectNonIdempotent, false},
		"timed out": {written(func(h *harness, id logic.RequestID) {
			h.advance(500 * time.Millisecond)
			h.dispatcher.Fail(id)
		}), logic.EffectNonIdempotent, false},
		"deduplicated": {written(func(h *harness, id logic.RequestID) {
			h.conns[0].handler.Disconnected()
			h.dispatcher.Fail(id)
		}), logic.EffectDeduplicated, false},
		"idempotent": {written(func(h *harness, id logic.RequestID) {
			h.dispatcher.Abandon(id)
			h.dispatcher.Cancel(id, 0)
		}), logic.EffectIdempotent, true},
		"rejected": {written(func(h *harness, id logic.RequestID) {
			h.conns[0].handler.Reply(Reply{Result: logic.Full})
			h.dispatcher.Refuse(id, 0, logic.RefusedOverload)
		}), logic.EffectNonIdempotent, true},
		"never written": {func(h *harness, id logic.RequestID) { h.dispatcher.Abandon(id) }, logic.EffectNonIdempotent, true},
	} {
		h := newWriteHarness(t, c.effect)
		in := Request{ClientRequestID: "a", Class: "any", Timeout: time.Second, Query: fakeQuery{}, Responder: &fakeResponder{}}
		id, _ := h.dispatcher.Submit(in)
		h.dispatcher.Send(id, h.id("one"), 500*time.Millisecond, 0)
		c.end(h, id)
		again := &fakeResponder{}
		in.Responder = again
		id, err := h.dispatcher.Submit(in)
		if err != nil || (id != 0) != c.again {
			t.Errorf("%s: the second request got the number %d, error %v", name, id, err)
		}
		if !c.again {
			again.want(t, "failed")
		}
	}
}

// Clients choose the ids, so their number is bounded, and so is the memory for each.
func TestExecutedIDsAreBounded(t *testing.T) {
	ids := newExecutedIDs()
	for i := range 3 * maxExecutedIDs {
		ids.add(fmt.Sprint(i))
		ids.add(fmt.Sprint(i))
	}
	if ids.hashes.Len() != maxExecutedIDs {
		t.Errorf("%d hashes are held", ids.hashes.Len())
	}
	for i := range 3 * maxExecutedIDs {
		if ids.contains(fmt.Sprint(i)) != (i >= 2*maxExecutedIDs) {
			t.Fatalf("id %d: contained is %v", i, i < 2*maxExecutedIDs)
		}
	}
}
