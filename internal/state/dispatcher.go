// Package state holds the state of the proxy: open requests and their attempts, connections to databases, the list of
// databases, and counters. It carries out the decisions of package logic and reports the results to it, one call at a
// time. It makes no decisions itself and doesn't depend on a wire protocol.
package state

import (
	"container/list"
	"errors"
	"fmt"
	"log/slog"
	"time"

	"havenproxy/logic"
)

// clientRoundTripReserve is subtracted from the time that a client waits. The client counts from when it sends the
// request to when it has received the last byte of the answer, so that time includes the network delay in both
// directions.
const clientRoundTripReserve = 5 * time.Millisecond

// Responder receives the answer to one request. Exactly one of Served, Refused and Failed is called, once, unless the request
// is abandoned first.
type Responder interface {
	Client() ClientPresence           // asked before each attempt is sent
	Served(body []byte)               // the body of a database's reply, valid during the call only
	Refused(retryAfter time.Duration) // the request may be retried safely, best after retryAfter
	Failed()                          // the request may or may not have been executed
}

// ClientPresence tells whether the client of a request still waits for its answer.
type ClientPresence uint8

// The values of ClientPresence.
const (
	ClientPresent ClientPresence = iota
	ClientLeft                   // it has closed its connection
	ClientUnknown                // it may have closed its connection, which can't be seen at the moment
)

// Query is the query that is sent to a database for a request.
type Query interface {
	// AppendTo appends the query to dst, for a database that has the given timeout to reply.
	AppendTo(dst []byte, timeout time.Duration) []byte
}

// ErrDuplicateRequest is returned for a request with the ClientRequestID of another open request.
var ErrDuplicateRequest = errors.New("a request of that id is open")

// Request is one request of a client, with the Query to send for it and the Responder that receives its answer.
type Request struct {
	ClientRequestID string // chosen by the client, unique to the request; empty = none
	Class           string
	Timeout         time.Duration // how long the client waits, from when it sent the request
	Session         uint64
	Group           int
	TokenMillis     int64 // token: time of the session's last commit in Unix milliseconds; 0 = none
	Retry           bool
	Query           Query
	QueryBytes      int // size of the query
	Responder       Responder
}

// Discovery queries the discovery service. It reports lists and failures later, by Dispatcher.ApplyList and
// Dispatcher.ListFailed.
type Discovery interface {
	Watch(on bool) // starts or stops watching for changes
	Fetch()        // requests the full list once
}

// Config describes the deployment to a Dispatcher.
type Config struct {
	Logic               logic.Config
	Zones               []string      // zone names, indexed by the zone numbers of Logic
	DatabaseIdleTimeout time.Duration // the databases close connections that have been idle for so long; 0 = never
	ConnectTimeout      time.Duration
	MaxConnections      int // limit of open connections to databases
	MaxQueryBytes       int // limit of the total size of the large queries of open requests; 0 = no limit
}

const (
	// largeQueryBytes is the size from which a query counts as large.
	largeQueryBytes = 16 << 10
	// memoryRetryAfter is the retry-after hint of a request that is refused for its size; others end in that time.
	memoryRetryAfter = 100 * time.Millisecond
)

// Dispatcher dispatches between clients, databases and the router. It implements logic.Actions. All calls must come
// from one goroutine.
type Dispatcher struct {
	Counters  Counters
	Deadlines Deadlines

	cfg          Config
	classIndexes map[string]int // index into Config.Logic.Classes by class name
	clock        Clock
	dialer       Dialer
	discovery    Discovery
	router       logic.Events

	pendingEvents []func() // events to deliver to the router, which handles one at a time
	delivering    bool     // an event is being delivered

	shutdownAt           time.Duration // latest deadline of attempts and of new requests; 0 = the proxy isn't shutting down
	lastRequestID        logic.RequestID
	requests             map[logic.RequestID]*request
	queryBytes           int                 // total size of the large queries in requests
	openClientRequestIDs map[string]struct{} // those of the open requests
	executedIDs          executedIDs         // those of requests that have ended, where a second execution would do harm
	timers               map[logic.TimerID]*Deadline

	membersByName    map[string]*member
	membersByID      map[logic.MemberID]*member
	connections      int           // connections that are open or being opened
	idleConnections  list.List     // of *connection, those idle or settling that nothing waits for, the oldest first
	limitLoggedAt    time.Duration // when it was last logged that the connection limit is reached; 0 = never
	discoveryFailing bool          // the last call to the discovery service failed
	requestLog       requestLog
	changes          listChanges // made by the list being applied
}

// request is an open request.
type request struct {
	id              logic.RequestID
	clientRequestID string
	class           int // index into Config.Logic.Classes
	group           int
	receivedAt      time.Duration
	answerDeadline  time.Duration // when the answer must be sent to the client
	query           Query
	queryBytes      int       // its size, if it is large
	responder       Responder // nil once answered or abandoned
	maybeExecuted   bool      // some attempt may have been executed
	attempts        int       // number of attempts so far
	openAttempt     *attempt  // the attempt that has not ended, at most one; nil = none
}

// attempt is one sending of a request to a member. Its Deadline fires at timeoutAt.
type attempt struct {
	Deadline
	req        *request
	number     int // 0 for the first attempt of a request
	target     *member
	timeoutAt  time.Duration
	sendBy     time.Duration // latest time at which it may be written; 0 = no limit
	startedAt  time.Duration // when the router asked for it
	connection *connection   // the connection that it uses or waits for; nil = none
	writeBy    time.Duration // latest time for its last byte, once a part is written; 0 = not set
	written    bool          // its last byte was written
}

// New returns a Dispatcher with a new router. Start sets its Discovery and must be called before requests are accepted.
func New(cfg Config, clock Clock, dialer Dialer) (*Dispatcher, error) {
	d := &Dispatcher{cfg: cfg, classIndexes: map[string]int{}, clock: clock, dialer: dialer,
		requests: map[logic.RequestID]*request{}, openClientRequestIDs: map[string]struct{}{}, executedIDs: newExecutedIDs(),
		timers:        map[logic.TimerID]*Deadline{},
		membersByName: map[string]*member{}, membersByID: map[logic.MemberID]*member{}}
	for i, c := range cfg.Logic.Classes {
		d.classIndexes[c.Name] = i
	}
	var err error
	d.router, err = logic.New(cfg.Logic, d)
	return d, err
}

// Start delivers the first event to the router: the member list as this proxy last knew it. On this event the router
// sets its timers.
func (d *Dispatcher) Start(service Discovery, initialList List) {
	d.discovery = service
	initialList.Kind = logic.ListCached
	d.ApplyList(initialList)
}

// notifyRouter delivers an event to the router, after all earlier events. An event that results directly from an
// action of the router is delivered after the router has returned, so that the router is never called from within its
// own call.
func (d *Dispatcher) notifyRouter(event func()) {
	d.pendingEvents = append(d.pendingEvents, event)
	if d.delivering {
		return
	}
	d.delivering = true
	for i := 0; i < len(d.pendingEvents); i++ {
		d.pendingEvents[i]()
		d.pendingEvents[i] = nil
	}
	d.pendingEvents, d.delivering = d.pendingEvents[:0], false
}

// OpenRequests returns the number of open requests, including answered and abandoned ones with an open attempt.
func (d *Dispatcher) OpenRequests() int { return len(d.requests) }

// Connections returns the number of connections to databases that are open or being opened.
func (d *Dispatcher) Connections() int { return d.connections }

// ShutDownAt announces that the proxy shuts down at the time at. Attempts end by then, no attempt starts later, and
// new requests get a deadline by then, even if their clients would wait longer.
func (d *Dispatcher) ShutDownAt(at time.Duration) {
	d.shutdownAt = at
	for _, q := range d.requests {
		if a := q.openAttempt; a != nil {
			d.setTimeout(a)
		}
	}
}

// setTimeout sets the deadline of an attempt, not later than the shutdown.
func (d *Dispatcher) setTimeout(a *attempt) {
	if d.shutdownAt > 0 {
		a.timeoutAt = min(a.timeoutAt, d.shutdownAt)
	}
	at := a.timeoutAt
	if a.writeBy > 0 && !a.written {
		at = min(at, a.writeBy)
	}
	d.Deadlines.Set(&a.Deadline, at, func() { d.expireAttempt(a) })
}

// answerDeadline returns when the answer must be sent to a client that waits for the given timeout.
func (d *Dispatcher) answerDeadline(timeout time.Duration) time.Duration {
	at := d.clock.Now() + max(timeout-clientRoundTripReserve, 0)
	if d.shutdownAt > 0 {
		at = min(at, d.shutdownAt)
	}
	return at
}

// Submit accepts a request and passes it to the router. It refuses a request that is too large to be held beside others now,
// and fails one whose id is that of an earlier request that must not be executed twice; the result is 0 then. If it returns
// an error, because the class is unknown or another open request has the same ClientRequestID, the request's Responder is
// not called.
func (d *Dispatcher) Submit(in Request) (logic.RequestID, error) {
	class, ok := d.classIndexes[in.Class]
	if !ok {
		return 0, fmt.Errorf("unknown class %q", abbreviate(in.Class))
	}
	if !d.HasRoomForQuery(in.QueryBytes) {
		d.RefuseForSize(in.Responder)
		return 0, nil
	}
	large := 0
	if in.QueryBytes >= largeQueryBytes {
		large = in.QueryBytes
	}
	if in.ClientRequestID != "" && !d.repeatable(class) && d.executedIDs.contains(in.ClientRequestID) {
		d.failRepeated(in.Responder)
		return 0, nil
	}
	// Databases and deduplication keys could not tell two requests of one id apart, and one client would get the answer
	// for the other.
	if in.ClientRequestID != "" {
		if _, duplicate := d.openClientRequestIDs[in.ClientRequestID]; duplicate {
			return 0, ErrDuplicateRequest
		}
		d.openClientRequestIDs[in.ClientRequestID] = struct{}{}
	}
	d.lastRequestID++
	if d.Counters.Accepted++; d.Counters.Accepted == 1 {
		slog.Info("first request", "id", abbreviate(in.ClientRequestID), "class", in.Class, "group", in.Group, "waits", in.Timeout)
	}
	q := &request{id: d.lastRequestID, clientRequestID: in.ClientRequestID, class: class, group: in.Group,
		receivedAt: d.clock.Now(), answerDeadline: d.answerDeadline(in.Timeout), query: in.Query, queryBytes: large,
		responder: in.Responder}
	d.requests[q.id] = q
	d.queryBytes += large
	out := logic.Request{ID: q.id, Class: class, Group: logic.GroupID(in.Group), Deadline: q.answerDeadline, Retry: in.Retry}
	switch d.cfg.Logic.Classes[class].RequiredFreshness { // in other classes, Session is not the key of a session
	case logic.FreshnessSession:
		out.Session, out.TokenAge = logic.SessionID(in.Session), tokenAge(d.clock, in.TokenMillis)
	case logic.FreshnessWrite:
		out.Session = logic.SessionID(in.Session)
	}
	d.notifyRouter(func() { d.router.Request(d.clock.Now(), out) })
	return q.id, nil
}

// HasRoomForQuery reports whether a query of the given size, in bytes, may be held beside those of the open requests.
func (d *Dispatcher) HasRoomForQuery(size int) bool {
	return size < largeQueryBytes || d.cfg.MaxQueryBytes <= 0 || d.queryBytes+size <= d.cfg.MaxQueryBytes
}

// RefuseForSize counts and refuses a request whose query is too large to be held now. The router is not asked: it says
// nothing about any member.
func (d *Dispatcher) RefuseForSize(responder Responder) {
	d.Counters.Accepted++
	d.Counters.Refused++
	d.Counters.RefusedForSize++
	retryAfter := time.Duration(0)
	if d.cfg.Logic.MaySendRetryAfter {
		retryAfter = min(memoryRetryAfter, d.cfg.Logic.MaxRetryAfter)
	}
	responder.Refused(retryAfter)
}

// Abandon reports that the client of a request has left.
func (d *Dispatcher) Abandon(id logic.RequestID) {
	q := d.requests[id]
	if q == nil || q.responder == nil {
		return
	}
	q.responder = nil
	d.Counters.Abandoned++
	d.recordRequestEnd(q, "abandoned", "")
	d.notifyRouter(func() {
		d.router.Abandoned(d.clock.Now(), id)
		d.removeIfFinished(q)
	})
	if q.openAttempt != nil {
		d.cancelUnsentAttempt(q.openAttempt)
	}
}

// removeIfFinished removes a request that is answered or abandoned and has no open attempt. Its end may be reported on more
// than one path, and what it occupied is given back with the first of them.
func (d *Dispatcher) removeIfFinished(q *request) {
	if d.requests[q.id] == q && q.responder == nil && q.openAttempt == nil {
		delete(d.requests, q.id)
		delete(d.openClientRequestIDs, q.clientRequestID)
		d.queryBytes -= q.queryBytes
		if q.maybeExecuted && q.clientRequestID != "" && !d.repeatable(q.class) {
			d.executedIDs.add(q.clientRequestID)
		}
	}
}

// repeatable reports whether requests of a class may be executed more than once.
func (d *Dispatcher) repeatable(class int) bool {
	return d.cfg.Logic.Classes[class].Effect == logic.EffectIdempotent
}

// failRepeated counts and fails a request whose id is that of one that may have been executed, and may be executed yet by a
// database that has not noticed that its attempt was given up. It must not be executed again.
func (d *Dispatcher) failRepeated(responder Responder) {
	d.Counters.Accepted++
	d.Counters.Failed++
	d.Counters.FailedAsRepeated++
	responder.Failed()
}

// answer passes the final answer to the client and ends the request. It does nothing and returns false for a request that
// was answered or abandoned before. The reason is empty for a request that is served.
func (d *Dispatcher) answer(id logic.RequestID, counter *uint64, ending, reason string, respond func(Responder)) bool {
	q := d.requests[id]
	if q == nil || q.responder == nil {
		return false
	}
	responder := q.responder
	q.responder = nil
	*counter++
	d.recordRequestEnd(q, ending, reason)
	respond(responder)
	d.removeIfFinished(q)
	return true
}

// Refuse implements logic.Actions.
func (d *Dispatcher) Refuse(id logic.RequestID, retryAfter time.Duration, reason logic.Refusal) {
	if d.answer(id, &d.Counters.Refused, "refused", refusalNames[reason], func(resp Responder) { resp.Refused(retryAfter) }) {
		d.Counters.countRefusal(reason)
	}
}

// Fail implements logic.Actions.
func (d *Dispatcher) Fail(id logic.RequestID) {
	d.answer(id, &d.Counters.Failed, "failed", "it may have run, and may not be repeated", Responder.Failed)
}

// Send implements logic.Actions. It starts an attempt, whose outcome is reported later; the result is NotSent if
// nothing can be sent. It ignores a request that is not open.
func (d *Dispatcher) Send(id logic.RequestID, target logic.MemberID, timeout, sendBy time.Duration) {
	now := d.clock.Now()
	q, m := d.requests[id], d.membersByID[target]
	if q == nil {
		return
	}
	a := &attempt{req: q, number: q.attempts, target: m, timeoutAt: now + timeout, sendBy: sendBy, startedAt: now}
	q.attempts++
	presence := q.clientPresence()
	if m == nil || presence != ClientPresent || q.openAttempt != nil || d.shutdownAt > 0 && now >= d.shutdownAt {
		d.notifyRouter(func() {
			d.router.Outcome(d.clock.Now(), logic.Outcome{Request: id, Attempt: a.number, Member: target,
				Result: logic.NotSent, Answered: q.responder == nil})
		})
		if presence == ClientLeft {
			d.Abandon(id)
		}
		return
	}
	d.Counters.Sent++
	q.openAttempt = a
	d.setTimeout(a)
	d.assignConnection(a)
}

// clientPresence tells whether the client of a request still waits for its answer. No attempt may begin for one that has
// left, or may have left.
func (q *request) clientPresence() ClientPresence {
	if q.responder == nil {
		return ClientLeft
	}
	return q.responder.Client()
}

// Cancel implements logic.Actions. It cancels an attempt by closing its connection.
func (d *Dispatcher) Cancel(id logic.RequestID, number int) {
	if q := d.requests[id]; q != nil && q.openAttempt != nil && q.openAttempt.number == number {
		d.abortAttempt(q.openAttempt, Reply{Result: logic.Cancelled})
	}
}

// expireAttempt ends an attempt that has reached its timeout. One that was never written counts as a failure to
// connect.
func (d *Dispatcher) expireAttempt(a *attempt) {
	if a.written {
		d.abortAttempt(a, Reply{Result: logic.TimedOut})
	} else {
		d.abortAttempt(a, Reply{Result: logic.ConnectFailed})
	}
}

// abortAttempt ends an attempt that got no reply. It closes the connection, so that a late reply can't be mistaken
// for the reply to another request.
func (d *Dispatcher) abortAttempt(a *attempt, r Reply) {
	if c := a.connection; c != nil {
		d.closeConnection(c)
	}
	d.attemptEnded(a, r)
}

// cancelUnsentAttempt ends an attempt that still waits for its connection, so that it is never sent.
func (d *Dispatcher) cancelUnsentAttempt(a *attempt) {
	if !a.written {
		d.abortAttempt(a, Reply{Result: logic.NotSent})
	}
}

// attemptEnded reports the outcome of an attempt to the router. Before that, it passes an OK reply to the client, and
// fails a request whose statement the database rejects.
func (d *Dispatcher) attemptEnded(a *attempt, r Reply) {
	q := a.req
	if q.openAttempt != a {
		return
	}
	d.Deadlines.Clear(&a.Deadline)
	q.openAttempt = nil
	if a.connection != nil {
		a.connection.attempt = nil
		a.connection = nil
	}
	d.Counters.countAttempt(r.Result)
	q.maybeExecuted = q.maybeExecuted || !r.Result.NotExecuted()
	a.target.recordReply(r, false)
	switch {
	case r.Result == logic.OK:
		if d.Counters.Served == 0 {
			slog.Info("first answer", "id", abbreviate(q.clientRequestID), "after", d.clock.Now()-q.receivedAt)
		}
		d.answer(q.id, &d.Counters.Served, "served", "", func(resp Responder) { resp.Served(r.Body) })
	case r.StatementError:
		// Every member would reject the statement: report Cancelled, so that the router doesn't blame this one.
		r.Result = logic.Cancelled
		d.answer(q.id, &d.Counters.Failed, "failed", "the database rejects the statement", Responder.Failed)
	}
	now := d.clock.Now()
	o := logic.Outcome{Request: q.id, Attempt: a.number, Member: a.target.id, Result: r.Result, Took: now - a.startedAt,
		Answered: q.responder == nil, Role: r.Role, Position: fromUnix(d.clock, time.Duration(r.Position)*time.Millisecond),
		LoadReport: d.loadReport(r)}
	d.removeIfFinished(q)
	d.notifyRouter(func() { d.router.Outcome(d.clock.Now(), o) })
}

// SetTimer implements logic.Actions.
func (d *Dispatcher) SetTimer(id logic.TimerID, at time.Duration) {
	deadline := d.timers[id]
	if deadline == nil {
		deadline = &Deadline{}
		d.timers[id] = deadline
	}
	d.Deadlines.Set(deadline, at, func() { d.notifyRouter(func() { d.router.Timer(d.clock.Now(), id) }) })
}

// Watch implements logic.Actions.
func (d *Dispatcher) Watch(on bool) {
	d.Counters.ListCalls++
	d.discovery.Watch(on)
}

// Fetch implements logic.Actions.
func (d *Dispatcher) Fetch() {
	d.Counters.ListCalls++
	d.discovery.Fetch()
}

// Log implements logic.Actions.
func (d *Dispatcher) Log(text string) { slog.Info("router", "says", text) }
