package state

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"havenproxy/logic"
)

// countedQueryBytes is the size of the large queries in these tests.
const countedQueryBytes = 2 * largeQueryBytes

// submitLarge accepts a request with a large query and sends its first attempt to member "one".
func (h *harness) submitLarge(clientRequestID string) logic.RequestID {
	id, err := h.dispatcher.Submit(Request{ClientRequestID: clientRequestID, Class: "any", Timeout: time.Second,
		Query: fakeQuery{}, QueryBytes: countedQueryBytes, Responder: &fakeResponder{}})
	if err != nil {
		h.t.Fatal(err)
	}
	h.dispatcher.Send(id, h.id("one"), 500*time.Millisecond, 0)
	return id
}

// The size of a large query was counted off twice when it was served, so that the limit on all large queries never took
// effect and the process outgrew its memory. It must be counted off once, however a request ends.
func TestLargeQueryIsCountedOffOnceHoweverItEnds(t *testing.T) {
	last := func(h *harness) *fakeConn { return h.conns[len(h.conns)-1] }
	for name, end := range map[string]func(h *harness, id logic.RequestID){
		"served": func(h *harness, _ logic.RequestID) { last(h).handler.Reply(Reply{Result: logic.OK}) },
		"statement error": func(h *harness, _ logic.RequestID) {
			last(h).handler.Reply(Reply{Result: logic.Failed, StatementError: true})
		},
		"refused after a reply": func(h *harness, id logic.RequestID) {
			last(h).handler.Reply(Reply{Result: logic.Full})
			h.dispatcher.Refuse(id, 0, logic.RefusedOverload)
		},
		"failed after a reset": func(h *harness, id logic.RequestID) {
			last(h).handler.Disconnected()
			h.dispatcher.Fail(id)
		},
		"failed during its attempt": func(h *harness, id logic.RequestID) {
			h.dispatcher.Fail(id)
			h.dispatcher.Cancel(id, 0)
		},
		"timed out": func(h *harness, id logic.RequestID) {
			h.advance(500 * time.Millisecond)
			h.dispatcher.Fail(id)
		},
		"abandoned during its attempt": func(h *harness, id logic.RequestID) {
			h.dispatcher.Abandon(id)
			last(h).handler.Reply(Reply{Result: logic.OK})
		},
		"abandoned and cancelled": func(h *harness, id logic.RequestID) {
			h.dispatcher.Abandon(id)
			h.dispatcher.Cancel(id, 0)
		},
		"abandoned after a reply": func(h *harness, id logic.RequestID) {
			last(h).handler.Reply(Reply{Result: logic.Full})
			h.dispatcher.Abandon(id)
		},
		"abandoned twice": func(h *harness, id logic.RequestID) {
			last(h).handler.MalformedReply()
			h.dispatcher.Abandon(id)
			h.dispatcher.Abandon(id)
		},
		"refused twice": func(h *harness, id logic.RequestID) {
			last(h).handler.Reply(Reply{Result: logic.Full})
			h.dispatcher.Refuse(id, 0, logic.RefusedOverload)
			h.dispatcher.Refuse(id, 0, logic.RefusedOverload)
		},
	} {
		h := newHarness(t, 9)
		h.submitLarge("stays")
		last(h).handler.Connected()
		id := h.submitLarge("ends")
		last(h).handler.Connected()
		end(h, id)
		if d := h.dispatcher; d.queryBytes != countedQueryBytes || len(d.requests) != 1 || len(d.openClientRequestIDs) != 1 {
			t.Errorf("%s: %d bytes, %d requests and %d ids are counted, want those of one request", name, d.queryBytes,
				len(d.requests), len(d.openClientRequestIDs))
		}
		if c := &h.dispatcher.Counters; c.Served+c.Refused+c.Failed+c.Abandoned != 1 ||
			c.NoTime+c.NoPrimary+c.Overload != c.Refused {
			t.Errorf("%s: %+v, want one end, and one reason if it is a refusal", name, *c)
		}
	}
}

// randomRun plays random requests, replies, failures and lists on a Dispatcher with a real router.
type randomRun struct {
	*harness
	rng *rand.Rand
	ids []logic.RequestID
}

// newRandomRun returns a run with two groups of three members each.
func newRandomRun(t *testing.T, seed uint64) *randomRun {
	h := &harness{t: t, now: clockBase}
	class := func(name string, freshness logic.Freshness, effect logic.Effect) logic.Class {
		return logic.Class{Name: name, RequiredFreshness: freshness, MaxAge: time.Second, Effect: effect, Worth: 1,
			TargetLatency: 100 * time.Millisecond, ClientTimeout: time.Second}
	}
	d, err := New(Config{Logic: logic.Config{Seed: seed, Tick: 5 * time.Millisecond, MayProbe: true, MayCancel: seed%2 == 0,
		MaxAttempts: 4, Classes: []logic.Class{class("any", logic.FreshnessAny, logic.EffectIdempotent),
			class("write", logic.FreshnessWrite, logic.EffectNonIdempotent)}},
		DatabaseIdleTimeout: 300 * time.Millisecond, ConnectTimeout: 100 * time.Millisecond, MaxConnections: 7,
		MaxQueryBytes: 4 * countedQueryBytes}, h, h)
	if err != nil {
		t.Fatal(err)
	}
	h.dispatcher = d
	r := &randomRun{harness: h, rng: rand.New(rand.NewPCG(seed, 1))}
	d.Start(h, r.list(logic.ListCached))
	return r
}

// list returns a list with a random state of each member.
func (r *randomRun) list(kind logic.ListKind) List {
	l := List{Kind: kind}
	for i := range 6 {
		state := logic.Ready
		if kind != logic.ListCached && r.rng.IntN(6) == 0 {
			state = []logic.MemberState{logic.Draining, logic.Gone}[r.rng.IntN(2)]
		}
		l.Entries = append(l.Entries, ListEntry{Name: fmt.Sprint("m", i), Address: fmt.Sprint("a:", i), Group: i / 3, State: state})
	}
	return l
}

// submitRandom accepts a request; its id may be that of another one.
func (r *randomRun) submitRandom() {
	in := Request{ClientRequestID: fmt.Sprint(len(r.ids) + r.rng.IntN(8)), Class: []string{"any", "write"}[r.rng.IntN(2)],
		Group: r.rng.IntN(3), Timeout: time.Duration(r.rng.IntN(400)) * time.Millisecond, Query: fakeQuery{},
		Responder: &fakeResponder{}}
	if r.rng.IntN(2) == 0 {
		in.QueryBytes = countedQueryBytes
	}
	if id, err := r.dispatcher.Submit(in); err == nil && id != 0 {
		r.ids = append(r.ids, id)
	}
}

// reportRandom reports a random event on a connection.
func (r *randomRun) reportRandom(c *fakeConn) {
	role := logic.RoleReplica
	if c.address == "a:0" || c.address == "a:3" {
		role = logic.RolePrimary
	}
	reply := Reply{Role: role, Position: int64(r.Unix() / time.Millisecond)}
	reply.LoadReport = LoadReport{Present: true, Role: role, Position: r.Unix().Seconds(), Queue: -1}
	switch r.rng.IntN(14) {
	case 0:
		c.handler.Disconnected()
	case 1:
		c.handler.MalformedReply()
	case 2:
		c.handler.QueryWritten()
	case 3:
		reply.Result = logic.Full
		c.handler.Reply(reply)
	case 4:
		reply.Result, reply.StatementError = logic.Failed, true
		c.handler.Reply(reply)
	case 5:
		c.err = io.ErrClosedPipe
	case 6:
		c.unwritten = !c.unwritten
	case 7, 8:
		c.handler.Connected()
	default:
		if c.sent+c.probes > 0 {
			c.handler.Reply(reply)
		} else {
			c.handler.Connected()
		}
	}
}

// step plays one random event.
func (r *randomRun) step() {
	switch k := r.rng.IntN(20); {
	case k < 5:
		r.submitRandom()
	case k == 5 && len(r.ids) > 0:
		r.dispatcher.Abandon(r.ids[len(r.ids)-1-r.rng.IntN(min(len(r.ids), 8))])
	case k == 6 && r.rng.IntN(5) == 0:
		r.dispatcher.ApplyList(r.list(logic.ListKind(r.rng.IntN(2))))
	case k < 11:
		r.advance(time.Duration(r.rng.IntN(10)) * time.Millisecond)
	case len(r.conns) > 0:
		if c := r.conns[len(r.conns)-1-r.rng.IntN(min(len(r.conns), 12))]; !c.closed {
			r.reportRandom(c)
		}
	}
}

// check compares each count with what it counts.
func (r *randomRun) check() error {
	d := r.dispatcher
	queryBytes, ids := 0, 0
	for _, q := range d.requests {
		queryBytes += q.queryBytes
		if _, counted := d.openClientRequestIDs[q.clientRequestID]; counted {
			ids++
		}
	}
	if queryBytes != d.queryBytes || ids != len(d.requests) || ids != len(d.openClientRequestIDs) {
		return fmt.Errorf("%d of %d bytes, %d of %d ids for %d requests", d.queryBytes, queryBytes,
			len(d.openClientRequestIDs), ids, len(d.requests))
	}
	connections := 0
	for _, m := range d.membersByName {
		connections += len(m.connections)
	}
	if connections != d.connections || d.connections > d.cfg.MaxConnections {
		return fmt.Errorf("%d connections are counted, %d are there", d.connections, connections)
	}
	if c := d.Counters; c.Accepted != c.Served+c.Refused+c.Failed+c.Abandoned+r.unanswered() {
		return fmt.Errorf("ends of requests: %+v", c)
	} else if c.Sent != c.OK+c.Miss+c.Error+c.Full+c.TimedOut+c.ConnectFailed+c.Reset+c.Cancelled+c.NotSent+r.openAttempts() {
		return fmt.Errorf("ends of attempts: %+v", c)
	} else if c.NoTime+c.NoPrimary+c.Overload+c.RefusedForSize != c.Refused {
		return fmt.Errorf("reasons of refusals: %+v", c)
	}
	return nil
}

// unanswered returns the number of requests that have no answer yet.
func (r *randomRun) unanswered() (n uint64) {
	for _, q := range r.dispatcher.requests {
		if q.responder != nil {
			n++
		}
	}
	return n
}

// openAttempts returns the number of attempts that have not ended.
func (r *randomRun) openAttempts() (n uint64) {
	for _, q := range r.dispatcher.requests {
		if q.openAttempt != nil {
			n++
		}
	}
	return n
}

// Whatever is counted in must be counted out once, on each path that an end can take: bytes, ids, connections, requests and
// attempts.
func TestCountsMatchWhatTheyCountInRandomRuns(t *testing.T) {
	previous := slog.Default()
	slog.SetDefault(slog.New(slog.DiscardHandler))
	defer slog.SetDefault(previous)
	for seed := range uint64(40) {
		r := newRandomRun(t, seed)
		for step := range 6000 {
			r.step()
			if err := r.check(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, step, err)
			}
		}
		for range 100 {
			r.advance(20 * time.Millisecond)
		}
		d := r.dispatcher
		if err := r.check(); err != nil || len(d.requests) != 0 || d.queryBytes != 0 {
			t.Fatalf("seed %d, at the end: %v, %d requests, %d bytes", seed, err, len(d.requests), d.queryBytes)
		}
		if c := d.Counters; c.Served < 50 || c.Refused < 50 || c.Failed < 10 || c.Abandoned < 10 || c.RefusedForSize == 0 {
			t.Errorf("seed %d: too little happened: %+v", seed, c)
		}
	}
}
