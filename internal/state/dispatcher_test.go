package state

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"havenproxy/logic"
)

// harness runs a Dispatcher with fakes for its router, clock, connections and discovery. It records the events that the
// router receives.
type harness struct {
	t           *testing.T
	dispatcher  *Dispatcher
	now         time.Duration
	conns       []*fakeConn
	received    []string // router events since the last check
	lastProbe   logic.ProbeResult
	lastOutcome logic.Outcome
	lastList    logic.List
	lastRequest logic.Request
	onRequest   func() // called while the router handles a request
	mayNotSend  bool   // the router allows no attempt that has waited
	depth       int    // calls of the router that have not returned
}

func (h *harness) Now() time.Duration  { return h.now }
func (h *harness) Unix() time.Duration { return h.now + 1767225600*time.Second }

func (h *harness) record(format string, args ...any) {
	if h.depth > 0 {
		h.t.Errorf("the router was called from within its own call")
	}
	h.received = append(h.received, fmt.Sprintf(format, args...))
}

func (h *harness) MemberList(_ time.Duration, l logic.List) { h.lastList = l; h.record("member list") }
func (h *harness) Request(_ time.Duration, q logic.Request) {
	h.record("request")
	h.depth++
	if h.lastRequest = q; h.onRequest != nil {
		h.onRequest()
	}
	h.depth--
}
func (h *harness) AnswerStarted(time.Duration, logic.RequestID, int) {}
func (h *harness) Outcome(_ time.Duration, o logic.Outcome) {
	h.lastOutcome = o
	h.record("outcome %d answered=%v", o.Result, o.Answered)
}
func (h *harness) ProbeResult(_ time.Duration, p logic.ProbeResult) {
	h.lastProbe = p
	h.record("probe result %d", p.Result)
}
func (h *harness) MaySend(time.Duration, logic.RequestID, int) bool { return !h.mayNotSend }
func (h *harness) Timer(time.Duration, logic.TimerID)               { h.record("timer") }
func (h *harness) Abandoned(time.Duration, logic.RequestID)         { h.record("abandoned") }
func (h *harness) Watch(bool)                                       {}
func (h *harness) Fetch()                                           {}
func (h *harness) Dial(address string, handler ConnHandler) Conn {
	c := &fakeConn{address: address, handler: handler}
	h.conns = append(h.conns, c)
	return c
}

type fakeConn struct {
	address        string
	handler        ConnHandler
	sent           int
	probes         int
	closed         bool
	unexpectedData bool // data was received that belongs to no reply
	unwritten      bool // a part of the last query is not written yet
	err            error
}

func (c *fakeConn) Send(Query, time.Duration) error { c.sent++; return c.err }
func (c *fakeConn) Written() bool                   { return !c.unwritten }
func (c *fakeConn) Probe() error                    { c.probes++; return c.err }
func (c *fakeConn) Reusable() bool                  { return !c.unexpectedData }
func (c *fakeConn) Close()                          { c.closed = true }

type fakeQuery struct{}

func (fakeQuery) AppendTo(dst []byte, _ time.Duration) []byte { return dst }

type fakeResponder struct {
	answers []string
	client  ClientPresence
}

func (c *fakeResponder) Client() ClientPresence { return c.client }
func (c *fakeResponder) Served(body []byte)     { c.answers = append(c.answers, "served "+string(body)) }
func (c *fakeResponder) Refused(d time.Duration) {
	c.answers = append(c.answers, "refused "+d.String())
}
func (c *fakeResponder) Failed() { c.answers = append(c.answers, "failed") }
func (c *fakeResponder) want(t *testing.T, s ...string) {
	t.Helper()
	if fmt.Sprint(c.answers) != fmt.Sprint(s) {
		t.Errorf("answers %q, want %q", c.answers, s)
	}
}

func newHarness(t *testing.T, connections int) *harness {
	h := &harness{t: t, now: clockBase}
	class := func(name string, freshness logic.Freshness) logic.Class {
		return logic.Class{Name: name, RequiredFreshness: freshness, MaxAge: time.Second,
			TargetLatency: time.Second, ClientTimeout: 2 * time.Second}
	}
	dispatcher, err := New(Config{Logic: logic.Config{Tick: time.Millisecond,
		Classes: []logic.Class{class("any", logic.FreshnessAny), class("session", logic.FreshnessSession)}},
		Zones: []string{"x", "y"}, DatabaseIdleTimeout: 10 * time.Second,
		ConnectTimeout: 250 * time.Millisecond, MaxConnections: connections}, h, h)
	if err != nil {
		t.Fatal(err)
	}
	h.dispatcher, dispatcher.router = dispatcher, h
	dispatcher.Start(h, List{Entries: []ListEntry{{Name: "one", Address: "a:1", Zone: "y", State: logic.Ready},
		{Name: "two", Address: "a:2", Zone: "?", State: logic.Ready}}})
	h.received = nil // drop the events of the start
	return h
}

func (h *harness) id(name string) logic.MemberID { return h.dispatcher.membersByName[name].id }

// submit accepts a request and sends its first attempt to member "one".
func (h *harness) submit(c *fakeResponder) logic.RequestID {
	id, err := h.dispatcher.Submit(Request{Class: "any", Timeout: time.Second, Query: fakeQuery{}, Responder: c})
	if err != nil {
		h.t.Fatal(err)
	}
	h.dispatcher.Send(id, h.id("one"), 500*time.Millisecond, 0)
	return id
}

// want compares the events that the router received since the last call with the given ones.
func (h *harness) want(events ...string) {
	h.t.Helper()
	if got := strings.Join(h.received, ", "); got != strings.Join(events, ", ") {
		h.t.Errorf("router events: %s; want: %s", got, strings.Join(events, ", "))
	}
	h.received = nil
}

// advance moves the clock forward and runs the deadlines that are due.
func (h *harness) advance(d time.Duration) {
	h.now += d
	h.dispatcher.Deadlines.RunDue(h.now)
}

// reply delivers a reply on a connection, and lets the connection settle.
func (h *harness) reply(conn int, r Reply) {
	h.conns[conn].handler.Reply(r)
	h.advance(settleTime)
}

// outcome returns the event that record notes for an outcome.
func outcome(r logic.Result, answered bool) string {
	return fmt.Sprintf("outcome %d answered=%v", r, answered)
}

func TestRequestIsAnsweredOnceAndConnectionIsReused(t *testing.T) {
	h, c := newHarness(t, 9), &fakeResponder{}
	id := h.submit(c)
	h.conns[0].handler.Connected()
	h.conns[0].handler.Reply(Reply{Result: logic.OK, Body: []byte("v"), Role: logic.RoleReplica, Position: 1767225600000})
	h.dispatcher.Refuse(id, time.Second, logic.RefusedOverload) // ignored: the request was answered
	h.dispatcher.Fail(id)
	c.want(t, "served v")
	h.want("request", outcome(logic.OK, true))
	if h.lastOutcome.Position != 0 && h.lastOutcome.Position != h.now-(h.Unix()-1767225600*time.Second) {
		t.Errorf("position %v", h.lastOutcome.Position)
	}
	h.advance(settleTime)
	h.received = nil
	h.submit(&fakeResponder{})
	if len(h.conns) != 1 || h.conns[0].sent != 2 {
		t.Errorf("%d connections, %d requests on the first", len(h.conns), h.conns[0].sent)
	}
	if h.dispatcher.OpenRequests() != 1 {
		t.Errorf("%d open requests", h.dispatcher.OpenRequests())
	}
}

// The outcome must tell attempts that were not executed from attempts that may have been executed: a request can be
// executed only after its last byte was written.
func TestOutcomeOfConnectionFailures(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(h *harness)
		want logic.Result
	}{
		"connection refused":  {func(h *harness) { h.conns[0].handler.Disconnected() }, logic.ConnectFailed},
		"connect timeout":     {func(h *harness) { h.advance(250 * time.Millisecond) }, logic.ConnectFailed},
		"rejected as full":    {func(h *harness) { h.conns[0].handler.Reply(Reply{Result: logic.Full}) }, logic.Full},
		"rejected with error": {func(h *harness) { h.conns[0].handler.Reply(Reply{Result: logic.Failed}) }, logic.ConnectFailed},
		"write failed": {func(h *harness) { h.conns[0].err = errors.New("broken"); h.conns[0].handler.Connected() },
			logic.ConnectFailed},
		"lost after send":      {func(h *harness) { h.conns[0].handler.Connected(); h.conns[0].handler.Disconnected() }, logic.Reset},
		"answer timeout":       {func(h *harness) { h.conns[0].handler.Connected(); h.advance(500 * time.Millisecond) }, logic.TimedOut},
		"cancelled after send": {func(h *harness) { h.conns[0].handler.Connected(); h.dispatcher.Cancel(1, 0) }, logic.Cancelled},
		"cancelled unsent":     {func(h *harness) { h.dispatcher.Cancel(1, 0) }, logic.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 9)
			h.submit(&fakeResponder{})
			c.do(h)
			h.want("request", outcome(c.want, false))
			if !h.conns[0].closed {
				t.Error("the connection is still open: a late answer would be taken for the answer to the next request")
			}
			h.conns[0].handler.Connected()
			h.conns[0].handler.Reply(Reply{Result: logic.OK})
			h.conns[0].handler.Disconnected()
			h.want()
		})
	}
}

// No query may be sent on a connection that has received data beyond its replies: the data would be mistaken for the
// next reply. An attempt that gets invalid data instead of a reply ends, and may have been executed. A member that
// sends invalid data in reply to a probe still counts as alive.
func TestConnectionWithUnexpectedDataIsNotReused(t *testing.T) {
	h := newHarness(t, 9)
	h.submit(&fakeResponder{})
	h.conns[0].handler.Connected()
	h.conns[0].unexpectedData = true // a duplicate after the reply, which is valid
	h.conns[0].handler.Reply(Reply{Result: logic.OK})
	h.submit(&fakeResponder{})
	h.conns[1].handler.Connected()
	h.conns[1].handler.Reply(Reply{Result: logic.OK})
	h.advance(settleTime)
	h.conns[1].unexpectedData = true // data that arrives while the connection is idle
	h.submit(&fakeResponder{})
	if !h.conns[0].closed || !h.conns[1].closed || h.conns[0].sent+h.conns[1].sent != 2 {
		t.Errorf("closed: %v, %v; sent: %d, %d", h.conns[0].closed, h.conns[1].closed, h.conns[0].sent, h.conns[1].sent)
	}
	h.conns[2].handler.Connected()
	h.received = nil
	h.conns[2].handler.MalformedReply()
	h.dispatcher.Probe(h.id("two"))
	h.conns[3].handler.Connected()
	h.conns[3].handler.MalformedReply()
	h.want(outcome(logic.Reset, false), fmt.Sprintf("probe result %d", logic.Failed))
}

// A second copy of a reply, or noise behind it, came when the connection had its next query already, and became that
// query's reply. Nothing is sent while a copy may follow; if one does, the attempt that waits gets another connection.
func TestConnectionIsNotUsedWhileACopyOfItsReplyMayFollow(t *testing.T) {
	for name, more := range map[string]func(c *fakeConn){
		"nothing":             nil,
		"data, not read yet":  func(c *fakeConn) { c.unexpectedData = true },
		"data, read":          func(c *fakeConn) { c.handler.MalformedReply() },
		"the connection ends": func(c *fakeConn) { c.handler.Disconnected() },
	} {
		h := newHarness(t, 9)
		h.submit(&fakeResponder{})
		h.conns[0].handler.Connected()
		h.conns[0].handler.Reply(Reply{Result: logic.OK})
		h.advance(settleTime - 1)
		if h.submit(&fakeResponder{}); len(h.conns) != 1 || h.conns[0].sent != 1 {
			t.Errorf("%s: %d connections, %d sent on the first", name, len(h.conns), h.conns[0].sent)
		}
		if more == nil {
			if h.advance(1); len(h.conns) != 1 || h.conns[0].sent != 2 {
				t.Errorf("%s: %d connections, %d sent on the first", name, len(h.conns), h.conns[0].sent)
			}
			continue
		}
		more(h.conns[0])
		h.advance(1)
		if len(h.conns) != 2 || h.conns[0].sent != 1 || !h.conns[0].closed || h.dispatcher.connections != 1 {
			t.Fatalf("%s: %d connections, %d sent on the first, closed: %v", name, len(h.conns), h.conns[0].sent, h.conns[0].closed)
		}
		if h.conns[1].handler.Connected(); h.conns[1].sent != 1 {
			t.Errorf("%s: the attempt that waited was not sent", name)
		}
	}
}

// An attempt that waits for a connection to settle ends like any other that waits.
func TestAttemptThatWaitsForASettlingConnectionIsCancelled(t *testing.T) {
	for name, interrupt := range map[string]func(h *harness, id logic.RequestID){
		"its client leaves": func(h *harness, id logic.RequestID) { h.dispatcher.Abandon(id) },
		"the member drains": func(h *harness, _ logic.RequestID) {
			h.dispatcher.ApplyList(List{Entries: []ListEntry{{Name: "one", Address: "a:1", State: logic.Draining}}})
		},
	} {
		h := newHarness(t, 9)
		h.submit(&fakeResponder{})
		h.conns[0].handler.Connected()
		h.conns[0].handler.Reply(Reply{Result: logic.OK})
		interrupt(h, h.submit(&fakeResponder{}))
		h.advance(settleTime)
		if h.lastOutcome.Result != logic.NotSent || h.conns[0].sent != 1 || len(h.conns) != 1 {
			t.Errorf("%s: result %d, %d sent, %d connections", name, h.lastOutcome.Result, h.conns[0].sent, len(h.conns))
		}
	}
}

// Large queries of many requests at once filled the memory. Those beyond the limit are refused at once, before any attempt;
// small ones are not affected.
func TestLargeQueriesBeyondTheirLimitAreRefused(t *testing.T) {
	h := newHarness(t, 9)
	h.dispatcher.cfg.MaxQueryBytes = 3 * largeQueryBytes
	h.dispatcher.cfg.Logic.MaySendRetryAfter, h.dispatcher.cfg.Logic.MaxRetryAfter = true, time.Second
	submit := func(size int) (logic.RequestID, *fakeResponder) {
		c := &fakeResponder{}
		id, err := h.dispatcher.Submit(Request{Class: "any", Timeout: time.Second, Query: fakeQuery{}, QueryBytes: size, Responder: c})
		if err != nil {
			t.Fatal(err)
		}
		return id, c
	}
	first, _ := submit(2 * largeQueryBytes)
	_, refused := submit(2 * largeQueryBytes)
	refused.want(t, "refused "+memoryRetryAfter.String())
	_, small := submit(largeQueryBytes - 1)
	_, fits := submit(largeQueryBytes)
	small.want(t)
	fits.want(t)
	h.want("request", "request", "request")
	h.dispatcher.Abandon(first)
	_, later := submit(2 * largeQueryBytes)
	if later.want(t); h.dispatcher.queryBytes != 3*largeQueryBytes {
		t.Errorf("%d bytes of large queries are counted", h.dispatcher.queryBytes)
	}
}

// Databases could not tell two open requests of one id apart, and one client would get the answer for the other.
func TestDuplicateIDOfOpenRequestIsRejected(t *testing.T) {
	h := newHarness(t, 9)
	named := Request{ClientRequestID: "n", Class: "any", Timeout: time.Second, Query: fakeQuery{}, Responder: &fakeResponder{}}
	id, err := h.dispatcher.Submit(named)
	if err != nil {
		t.Fatal(err)
	}
	if _, err = h.dispatcher.Submit(named); err != ErrDuplicateRequest {
		t.Errorf("duplicate id: error %v, want ErrDuplicateRequest", err)
	}
	h.dispatcher.Fail(id)
	if _, err = h.dispatcher.Submit(named); err != nil || len(h.dispatcher.openClientRequestIDs) != 1 {
		t.Errorf("%v, %d ids of open requests", err, len(h.dispatcher.openClientRequestIDs))
	}
}

// A request that every database would reject fails at once, and the router is not told of a member's failure.
func TestStatementErrorFailsWithoutBlamingMember(t *testing.T) {
	h, c := newHarness(t, 9), &fakeResponder{}
	h.submit(c)
	h.conns[0].handler.Connected()
	h.conns[0].handler.Reply(Reply{Result: logic.Failed, StatementError: true})
	c.want(t, "failed")
	h.want("request", outcome(logic.Cancelled, true))
}

// Databases come and go under new names all day. Members that a change of the list reported as gone were never
// removed from memory.
func TestGoneMembersAreRemoved(t *testing.T) {
	h := newHarness(t, 9)
	id := h.submit(&fakeResponder{})
	h.conns[0].handler.Connected()
	h.dispatcher.ApplyList(List{Kind: logic.ListDelta, Entries: []ListEntry{{Name: "one", Address: "a:1", State: logic.Gone},
		{Name: "two", Address: "a:2", State: logic.Gone}}})
	if len(h.dispatcher.membersByID) != 1 || len(h.dispatcher.membersByName) != 1 {
		t.Errorf("%d members, %d names; want one, which has an open attempt",
			len(h.dispatcher.membersByID), len(h.dispatcher.membersByName))
	}
	h.dispatcher.Cancel(id, 0)
	if len(h.dispatcher.membersByID) != 0 || len(h.dispatcher.membersByName) != 0 {
		t.Errorf("%d members, %d names are left", len(h.dispatcher.membersByID), len(h.dispatcher.membersByName))
	}
}

// Connections that fail, and those that are given up while being opened, must not stay counted: no connection could be
// opened any more. A connection that is still being opened counts.
func TestFailedAndAbandonedDialsFreeTheirPlace(t *testing.T) {
	h := newHarness(t, 1)
	for i := range 9 {
		id := h.submit(&fakeResponder{})
		if len(h.conns) != i+1 {
			t.Fatalf("%d connections were opened, want %d", len(h.conns), i+1)
		}
		if h.submit(&fakeResponder{}); len(h.conns) != i+1 {
			t.Fatal("a connection was opened beyond the limit")
		}
		opening := h.conns[i]
		if i%2 == 0 {
			opening.handler.Disconnected()
		} else {
			h.dispatcher.Cancel(id, 0)
		}
		if !opening.closed || h.dispatcher.connections != 0 {
			t.Fatalf("closed: %v; %d connections are counted", opening.closed, h.dispatcher.connections)
		}
	}
}

// A query of which the database has taken only a part was not executed, whatever ends the attempt. It must not stay
// unfinished for longer than maxWriteTime, and counts as written from its last byte.
func TestPartlyWrittenQueryWasNotExecuted(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(h *harness, c *fakeConn)
		want logic.Result
	}{
		"database takes too long": {func(h *harness, _ *fakeConn) { h.advance(maxWriteTime) }, logic.ConnectFailed},
		"connection is lost":      {func(_ *harness, c *fakeConn) { c.handler.Disconnected() }, logic.ConnectFailed},
		"malformed reply":         {func(_ *harness, c *fakeConn) { c.handler.MalformedReply() }, logic.ConnectFailed},
		"lost after the last byte": {func(_ *harness, c *fakeConn) {
			c.handler.QueryWritten()
			c.handler.Disconnected()
		}, logic.Reset},
		"timed out after the last byte": {func(h *harness, c *fakeConn) {
			c.handler.QueryWritten()
			h.advance(maxWriteTime)
			h.want("request")
			h.advance(time.Second)
		}, logic.TimedOut},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, 9)
			h.submit(&fakeResponder{})
			h.conns[0].unwritten = true
			h.conns[0].handler.Connected()
			c.end(h, h.conns[0])
			if h.lastOutcome.Result != c.want || !h.conns[0].closed {
				t.Errorf("result %d, want %d; closed: %v", h.lastOutcome.Result, c.want, h.conns[0].closed)
			}
		})
	}
}

// The connection limit is this proxy's own. When reaching it was reported as a failure to connect, the router stopped
// using healthy members, and they were logged as unresponsive.
func TestConnectionLimitIsNotReportedAsMemberFailure(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(&fakeResponder{})
	h.conns[0].handler.Connected() // busy, so it can't be closed to make room
	h.received = nil
	h.submit(&fakeResponder{})
	h.dispatcher.Probe(h.id("two"))
	h.want("request", outcome(logic.NotSent, false), fmt.Sprintf("probe result %d", logic.NotSent))
	if h.dispatcher.Counters.ConnectionLimitReached != 2 || h.dispatcher.membersByName["two"].unresponsive {
		t.Errorf("connection limit reached %d times; member unresponsive: %v",
			h.dispatcher.Counters.ConnectionLimitReached, h.dispatcher.membersByName["two"].unresponsive)
	}
}

func TestOnlyOneOpenAttemptPerRequest(t *testing.T) {
	h := newHarness(t, 9)
	id := h.submit(&fakeResponder{})
	h.dispatcher.Send(id, h.id("two"), time.Second, 0)
	if h.want("request", outcome(logic.NotSent, false)); len(h.conns) != 1 {
		t.Errorf("%d connections", len(h.conns))
	}
}

// An event that results directly from an action of the router must not be delivered before the router has returned.
func TestRouterIsNotCalledReentrantly(t *testing.T) {
	h, c := newHarness(t, 0), &fakeResponder{} // the limit allows no connection
	h.onRequest = func() { h.dispatcher.Send(1, h.id("one"), time.Second, 0); h.dispatcher.Probe(h.id("one")) }
	if _, err := h.dispatcher.Submit(Request{Class: "any", Timeout: time.Second, Query: fakeQuery{},
		Responder: c}); err != nil {
		t.Fatal(err)
	}
	h.want("request", outcome(logic.NotSent, false), fmt.Sprintf("probe result %d", logic.NotSent))
	h.dispatcher.Refuse(1, time.Millisecond, logic.RefusedOverload)
	c.want(t, "refused 1ms")
}

func TestAbandonedRequestGetsNoAnswer(t *testing.T) {
	h, c := newHarness(t, 9), &fakeResponder{}
	id := h.submit(c)
	h.conns[0].handler.Connected()
	h.dispatcher.Abandon(id)
	h.conns[0].handler.Reply(Reply{Result: logic.OK})
	c.want(t)
	if h.want("request", "abandoned", outcome(logic.OK, true)); h.dispatcher.OpenRequests() != 0 {
		t.Errorf("%d open requests", h.dispatcher.OpenRequests())
	}
}

// A connection may be established long after it was requested. An attempt that waits for it must not be sent after its
// client has left, whether or not the deployment allows cancelling attempts, nor after its member is no longer ready.
func TestUnsentAttemptIsCancelled(t *testing.T) {
	for name, interrupt := range map[string]func(h *harness, id logic.RequestID){
		"abandoned": func(h *harness, id logic.RequestID) { h.dispatcher.Abandon(id) },
		"draining": func(h *harness, _ logic.RequestID) {
			h.dispatcher.ApplyList(List{Entries: []ListEntry{{Name: "one", Address: "a:1", State: logic.Draining}}})
		},
		"gone": func(h *harness, _ logic.RequestID) {
			h.dispatcher.ApplyList(List{Entries: []ListEntry{{Name: "one", Address: "a:1", State: logic.Gone}}})
		},
	} {
		h := newHarness(t, 9)
		interrupt(h, h.submit(&fakeResponder{}))
		if received := h.received[len(h.received)-1]; !strings.HasPrefix(received, fmt.Sprintf("outcome %d", logic.NotSent)) {
			t.Errorf("%s: last router event: %s; want an outcome NotSent after the event that caused it", name, received)
		}
		if h.lastOutcome.Result != logic.NotSent {
			t.Errorf("%s: the attempt ended with result %d, want NotSent", name, h.lastOutcome.Result)
		}
		h.conns[0].handler.Connected()
		if h.conns[0].sent != 0 || !h.conns[0].closed {
			t.Errorf("%s: sent %d times, connection closed: %v", name, h.conns[0].sent, h.conns[0].closed)
		}
	}
	h := newHarness(t, 9)
	id := h.submit(&fakeResponder{})
	h.conns[0].handler.Connected()
	h.dispatcher.ApplyList(List{Entries: []ListEntry{{Name: "one", Address: "a:1", State: logic.Draining}}})
	h.dispatcher.Abandon(id)
	if h.conns[0].closed {
		t.Error("the connection of an attempt that was sent is closed")
	}
}

// The data age of a bounded read counts from its sending. If a connection is established only after the member's known
// position has become too old, the read goes back to the router unsent and the connection is kept for other requests.
func TestAttemptIsNotSentAfterSendBy(t *testing.T) {
	for late, sent := range map[time.Duration]int{0: 1, time.Millisecond: 0} {
		h := newHarness(t, 9)
		id, _ := h.dispatcher.Submit(Request{Class: "any", Timeout: time.Second, Query: fakeQuery{}, Responder: &fakeResponder{}})
		h.dispatcher.Send(id, h.id("one"), 500*time.Millisecond, h.now+100*time.Millisecond)
		h.received = nil
		h.advance(100*time.Millisecond + late)
		h.conns[0].handler.Connected()
		if h.conns[0].sent != sent || h.conns[0].closed {
			t.Errorf("%v after sendBy: sent %d times, connection closed: %v", late, h.conns[0].sent, h.conns[0].closed)
		}
		if sent == 0 {
			h.want(outcome(logic.NotSent, false))
		}
		h.dispatcher.Send(id, h.id("one"), 500*time.Millisecond, 0)
		if sent == 0 && (h.conns[0].sent != 1 || len(h.conns) != 1) {
			t.Errorf("the connection was not kept: %d sent on it, %d opened", h.conns[0].sent, len(h.conns))
		}
	}
}

// A limit that held when the attempt was chosen may have passed when its connection is there: the router is asked again,
// and a request whose client has no time left is not sent. Neither says anything about the connection.
func TestLimitsOfWaitingAttemptAreCheckedAgainWhenItIsSent(t *testing.T) {
	for name, change := range map[string]func(h *harness){
		"the router forbids it": func(h *harness) { h.mayNotSend = true },
		"its time is over":      func(h *harness) { h.now += 500 * time.Millisecond }, // the loop is late, no deadline has run
	} {
		for _, connection := range []string{"new", "settling"} {
			h := newHarness(t, 9)
			h.submit(&fakeResponder{})
			h.conns[0].handler.Connected()
			if connection == "settling" {
				h.conns[0].handler.Reply(Reply{Result: logic.OK})
			}
			h.submit(&fakeResponder{})
			h.received = nil
			if change(h); connection == "new" {
				h.conns[1].handler.Connected()
			} else {
				h.advance(settleTime)
			}
			sent := 0
			for _, c := range h.conns {
				sent += c.sent
				if c.closed {
					t.Errorf("%s, %s connection: a connection was closed", name, connection)
				}
			}
			if sent != 1 {
				t.Errorf("%s, %s connection: sent %d times", name, connection, sent)
			}
			if !strings.Contains(fmt.Sprint(h.received), outcome(logic.NotSent, false)) {
				t.Errorf("%s, %s connection: router events %q", name, connection, h.received)
			}
		}
	}
}

// An idle connection whose time is over while the loop is late is not used: the database may have closed it.
func TestExpiredIdleConnectionIsNotUsed(t *testing.T) {
	h := newHarness(t, 9)
	h.submit(&fakeResponder{})
	h.conns[0].handler.Connected()
	h.conns[0].handler.Reply(Reply{Result: logic.OK})
	h.advance(settleTime)
	h.now += 10 * time.Second
	h.submit(&fakeResponder{})
	if !h.conns[0].closed || h.conns[0].sent != 1 || len(h.conns) != 2 {
		t.Errorf("closed: %v, sent %d times, %d connections opened", h.conns[0].closed, h.conns[0].sent, len(h.conns))
	}
}

// Databases close idle connections, and a request that is sent at that moment is lost.
func TestIdleConnectionsAreClosedBeforeDatabaseClosesThem(t *testing.T) {
	h := newHarness(t, 9)
	h.submit(&fakeResponder{})
	h.conns[0].handler.Connected()
	h.reply(0, Reply{Result: logic.OK})
	if h.advance(8 * time.Second); h.conns[0].closed {
		t.Error("closed early")
	}
	if h.advance(time.Second); !h.conns[0].closed {
		t.Error("not closed before the database closes it")
	}
	h.submit(&fakeResponder{})
	h.conns[1].handler.Connected()
	h.reply(1, Reply{Result: logic.OK})
	h.conns[1].handler.Disconnected()
	if h.submit(&fakeResponder{}); len(h.conns) != 3 {
		t.Error("a closed connection was used again")
	}
}

func TestReleasedConnectionServesWaitingAttempt(t *testing.T) {
	h := newHarness(t, 9)
	h.submit(&fakeResponder{})
	h.conns[0].handler.Connected()
	h.submit(&fakeResponder{})
	h.reply(0, Reply{Result: logic.OK})
	if h.conns[0].sent != 2 || h.conns[1].sent != 0 {
		t.Errorf("%d and %d requests sent", h.conns[0].sent, h.conns[1].sent)
	}
	h.conns[1].handler.Connected() // becomes idle
	if h.submit(&fakeResponder{}); len(h.conns) != 2 || h.conns[1].sent != 1 {
		t.Errorf("%d connections, %d requests on the second", len(h.conns), h.conns[1].sent)
	}
}

func TestIdleConnectionIsClosedAtConnectionLimit(t *testing.T) {
	h := newHarness(t, 1)
	h.submit(&fakeResponder{})
	h.conns[0].handler.Connected()
	h.conns[0].handler.Reply(Reply{Result: logic.OK})
	h.dispatcher.Probe(h.id("two"))
	if !h.conns[0].closed || len(h.conns) != 2 {
		t.Errorf("%d connections, the idle one closed: %v", len(h.conns), h.conns[0].closed)
	}
}

// The measured round-trip time must not include the opening of the connection.
func TestProbeMeasuresRoundTripOnly(t *testing.T) {
	h := newHarness(t, 9)
	h.dispatcher.Probe(h.id("one"))
	h.advance(100 * time.Millisecond)
	h.conns[0].handler.Connected()
	h.advance(2 * time.Millisecond)
	h.conns[0].handler.Reply(Reply{Result: logic.OK,
		LoadReport: LoadReport{Present: true, Role: logic.RolePrimary, Position: 1767312000.05, Queue: -1}})
	if p := h.lastProbe; p.Took != 2*time.Millisecond || p.Report.Role != logic.RolePrimary || len(h.conns) != 1 {
		t.Errorf("%+v", p)
	}
	want := clockBase + 50*time.Millisecond
	if p := h.lastProbe.Report.Position; p > want || p < want-2*time.Microsecond {
		t.Errorf("position %v, want %v or at most 2µs less", p, want)
	}
	h.advance(settleTime)
	h.dispatcher.Probe(h.id("one"))
	if h.conns[0].probes != 2 {
		t.Error("the second probe did not use the connection of the first")
	}
	h.advance(probeTimeout)
	if h.lastProbe.Result != logic.TimedOut || !h.conns[0].closed {
		t.Errorf("%+v, closed %v", h.lastProbe, h.conns[0].closed)
	}
}

// A database may close an idle connection while a probe is being sent on it. Healthy members then counted as
// unresponsive. The probe must be repeated on a new connection, where a lost connection counts.
func TestProbeIsRepeatedAfterReusedConnectionIsLost(t *testing.T) {
	h := newHarness(t, 9)
	h.dispatcher.Probe(h.id("one"))
	h.conns[0].handler.Connected()
	h.reply(0, Reply{Result: logic.OK})
	h.received = nil
	h.dispatcher.Probe(h.id("one"))
	h.conns[0].handler.Disconnected()
	if h.want(); len(h.conns) != 2 || !h.conns[0].closed || h.dispatcher.membersByName["one"].unresponsive {
		t.Fatalf("%d connections, the first closed: %v, member unresponsive: %v", len(h.conns), h.conns[0].closed,
			h.dispatcher.membersByName["one"].unresponsive)
	}
	h.conns[1].handler.Connected()
	if h.conns[1].probes != 1 {
		t.Errorf("%d probes on the new connection", h.conns[1].probes)
	}
	h.conns[1].handler.Disconnected()
	h.want(fmt.Sprintf("probe result %d", logic.Reset))
}

// A member that is listed again keeps its id, because the router may still hold state for that id.
func TestReturningMemberKeepsItsID(t *testing.T) {
	h := newHarness(t, 9)
	before := h.id("two")
	h.dispatcher.ApplyList(List{Kind: logic.ListDelta, Entries: []ListEntry{{Name: "two", Address: "a:2", State: logic.Gone}}})
	if h.dispatcher.membersByName["two"] != nil {
		t.Error("a member that is gone was not removed")
	}
	h.dispatcher.ApplyList(List{Kind: logic.ListDelta, Entries: []ListEntry{{Name: "two", Address: "a:2", State: logic.Ready}}})
	if after := h.id("two"); after != before {
		t.Errorf("id %v, was %v", after, before)
	}
}

func TestListWithAddressChangesAndRemovalsIsPassedToRouter(t *testing.T) {
	h := newHarness(t, 9)
	if e := h.lastList.Entries; h.lastList.Kind != logic.ListCached || len(e) != 2 || e[0].Zone != 1 ||
		e[1].Zone != -1 || e[0].StartedAt != 0 {
		t.Fatalf("%+v", h.lastList)
	}
	h.submit(&fakeResponder{})
	h.conns[0].handler.Connected()
	h.conns[0].handler.Reply(Reply{Result: logic.OK})
	h.dispatcher.ApplyList(List{Kind: logic.ListDelta, Entries: []ListEntry{{Name: "one", Address: "a:9", State: logic.Ready,
		StartedUnix: h.Unix() - time.Second}}})
	if e := h.lastList.Entries; len(e) != 1 || e[0].ID != h.id("one") || e[0].StartedAt != h.now-time.Second {
		t.Errorf("%+v", h.lastList)
	}
	if !h.conns[0].closed {
		t.Error("an idle connection to the old address was not closed")
	}
	if h.submit(&fakeResponder{}); h.conns[len(h.conns)-1].address != "a:9" {
		t.Error("a connection was opened to the old address")
	}
	h.dispatcher.ApplyList(List{Kind: logic.ListFull, Entries: []ListEntry{{Name: "one", Address: "a:9", State: logic.Draining}}})
	if h.dispatcher.membersByName["two"] != nil || h.lastList.Kind != logic.ListFull {
		t.Error("a member that a whole list leaves out was not removed")
	}
}

// A token age of 0 means that there was no commit. A commit time that was rounded up to the next millisecond may lie
// in the future and must not yield 0.
func TestTokenAge(t *testing.T) {
	h := newHarness(t, 9)
	for after, want := range map[time.Duration]time.Duration{0: 0, -time.Second: time.Second, time.Millisecond: 1} {
		in := Request{Class: "session", Timeout: time.Second, Session: 7, Query: fakeQuery{}, Responder: &fakeResponder{}}
		if after != 0 {
			in.TokenMillis = int64((h.Unix() + after) / time.Millisecond)
		}
		if h.dispatcher.Submit(in); h.lastRequest.TokenAge != want || h.lastRequest.Session != 7 {
			t.Errorf("commit at now%+v: age %v, want %v", after, h.lastRequest.TokenAge, want)
		}
	}
	h.dispatcher.Submit(Request{Class: "any", Timeout: time.Second, Session: 7, TokenMillis: 1, Query: fakeQuery{},
		Responder: &fakeResponder{}})
	if h.lastRequest.Session != 0 || h.lastRequest.TokenAge != 0 || h.lastRequest.Deadline >= h.now+time.Second {
		t.Errorf("%+v: session or token passed on for a class without sessions, or wrong deadline", h.lastRequest)
	}
	if _, err := h.dispatcher.Submit(Request{Class: "unheard"}); err == nil || h.dispatcher.OpenRequests() != 4 {
		t.Error("a request of an unknown class was accepted")
	}
}

// A proxy that shuts down must answer new requests before it ends, also for clients that would wait longer.
func TestDeadlinesOfNewRequestsEndAtShutdown(t *testing.T) {
	h := newHarness(t, 9)
	h.dispatcher.ShutDownAt(h.now + 100*time.Millisecond)
	for wait, want := range map[time.Duration]time.Duration{50 * time.Millisecond: 45 * time.Millisecond,
		time.Second: 100 * time.Millisecond} {
		h.dispatcher.Submit(Request{Class: "any", Timeout: wait, Query: fakeQuery{}, Responder: &fakeResponder{}})
		if got := h.lastRequest.Deadline - h.now; got != want {
			t.Errorf("request of a client that waits %v: deadline in %v, want %v", wait, got, want)
		}
	}
}

// A request that was accepted before the signal to shut down may have a deadline after the proxy's end. Its client's
// connection was closed without an answer. Its attempts must end at the shutdown, and none may start after it.
func TestOpenAttemptsEndAtShutdown(t *testing.T) {
	h := newHarness(t, 9)
	c := &fakeResponder{}
	id := h.submit(c)
	h.conns[0].handler.Connected()
	h.dispatcher.ShutDownAt(h.now + 100*time.Millisecond)
	h.received = nil
	h.advance(99 * time.Millisecond)
	h.want()
	h.advance(time.Millisecond)
	h.want(outcome(logic.TimedOut, false))
	h.dispatcher.Send(id, h.id("two"), time.Second, 0)
	h.want(outcome(logic.NotSent, false))
	h.dispatcher.Fail(id)
	c.want(t, "failed")
	if len(h.conns) != 1 || h.dispatcher.OpenRequests() != 0 {
		t.Errorf("%d connections were opened, %d requests are open", len(h.conns), h.dispatcher.OpenRequests())
	}
}

func TestDeadlinesRunInOrderAndMove(t *testing.T) {
	var q Deadlines
	var ran []int
	d := make([]Deadline, 5)
	for i := range d {
		q.Set(&d[i], time.Duration(10-i), func() { ran = append(ran, i) })
	}
	q.Set(&d[0], 1, func() { ran = append(ran, 0); q.Set(&d[0], 1, func() { ran = append(ran, 9) }) })
	q.Clear(&d[3])
	q.RunDue(8)
	if at, ok := q.Next(); fmt.Sprint(ran) != "[0 9 4 2]" || !ok || at != 9 {
		t.Errorf("ran %v, next %v", ran, at)
	}
}

func TestRequestLogIsBounded(t *testing.T) {
	var log requestLog
	for range 3 * maxRequestLinesPerSecond {
		log.allow(time.Second)
	}
	if log.lines != maxRequestLinesPerSecond || log.suppressed != 2*maxRequestLinesPerSecond {
		t.Errorf("%d lines in a second, %d suppressed", log.lines, log.suppressed)
	}
	if !log.allow(2 * time.Second) {
		t.Error("no line in the next second")
	}
}

// probeOnNewConnection probes a member that has no connection yet, and replies to the probe.
func (h *harness) probeOnNewConnection(name string) {
	h.dispatcher.Probe(h.id(name))
	c := h.conns[len(h.conns)-1]
	c.handler.Connected()
	h.reply(len(h.conns)-1, Reply{Result: logic.OK})
}

func TestIdleProbeConnectionIsClosedForRequest(t *testing.T) {
	h := newHarness(t, 1)
	h.probeOnNewConnection("two")
	h.submit(&fakeResponder{})
	if h.dispatcher.Counters.ConnectionLimitReached != 0 || len(h.conns) != 2 || !h.conns[0].closed {
		t.Errorf("connection limit reached %d times, %d connections opened", h.dispatcher.Counters.ConnectionLimitReached, len(h.conns))
	}
}

func TestRequestReusesProbeConnection(t *testing.T) {
	h := newHarness(t, 9)
	h.probeOnNewConnection("one")
	h.submit(&fakeResponder{})
	if len(h.conns) != 1 || h.conns[0].sent != 1 {
		t.Errorf("%d connections opened, %d requests on the first", len(h.conns), h.conns[0].sent)
	}
}
