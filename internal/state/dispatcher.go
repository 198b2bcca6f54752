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

// Caller receives the answer to one request. Exactly one of its methods is called, once, unless the request is
// abandoned first.
type Caller interface {
	Served(body []byte)               // the answer of a database, valid during the call only
	Refused(retryAfter time.Duration) // the request may be retried safely, best after retryAfter
	Failed()                          // the request may or may not have run
}

// Command is the encoded form of a request.
type Command interface {
	// AppendTo appends the command to dst, for a database that has the time wait to answer it.
	AppendTo(dst []byte, wait time.Duration) []byte
}

// ErrTwice is returned for a request with the name of another open request.
var ErrTwice = errors.New("a request of that id is open")

// Request is a query of a client.
type Request struct {
	Name    string // unique to the request; empty = none
	Class   string
	Wait    time.Duration // how long the client waits, from when it sent the request
	Session uint64
	Group   int
	After   int64 // token: time of the session's last commit in Unix milliseconds; 0 = none
	Retry   bool
	Command Command
	Caller  Caller
}

// Watcher queries the discovery service. It reports lists and failures later, by Front.Listed and Front.ListFailed.
type Watcher interface {
	Watch(on bool) // starts or stops watching for changes
	Fetch()        // requests the whole list once
}

// Config describes the deployment to a Front.
type Config struct {
	Logic          logic.Config
	Zones          []string      // zone names, indexed by the zone numbers of Logic
	IdleClose      time.Duration // the databases close connections that have been idle for so long; 0 = never
	ConnectTimeout time.Duration
	MaxConnections int // limit of open connections to databases
}

// Front dispatches between clients, databases and the router. It implements logic.Actions. All calls must come from
// one goroutine.
type Front struct {
	Counters  Counters
	Deadlines Deadlines

	cfg          Config
	classIndexes map[string]int // index into Config.Logic.Classes by class name
	clock        Clock
	opener       Opener
	watcher      Watcher
	router       logic.Events

	pendingEvents []func() // events to deliver to the router, which handles one at a time
	delivering    bool     // an event is being delivered

	shutdownAt    time.Duration // latest deadline of any request while the proxy shuts down; 0 = not shutting down
	lastRequestID logic.RequestID
	requests      map[logic.RequestID]*request
	named         map[string]struct{} // names of open requests
	timers        map[logic.TimerID]*Deadline

	membersByName    map[string]*member
	membersByID      map[logic.MemberID]*member
	connections      int           // connections that are open or being opened
	idleConnections  list.List     // of *connection, idle for longest first
	limitLoggedAt    time.Duration // when it was last logged that the connection limit is reached; 0 = never
	discoveryFailing bool          // the last call to the discovery service failed
	requestLog       requestLog
	changes          listChanges // made by the list being applied
}

// request is an open request.
type request struct {
	id             logic.RequestID
	name           string
	class          int // index into Config.Logic.Classes
	group          int
	receivedAt     time.Duration
	answerDeadline time.Duration // when the answer must be sent to the client
	command        Command
	responder      Caller   // nil once answered or abandoned
	attempts       int      // number of attempts so far
	openAttempt    *attempt // the attempt that has not ended, at most one; nil = none
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
	written    bool          // its last byte was written
}

// New returns a Front with a new router. Start sets its watcher and must be called before requests are accepted.
func New(cfg Config, clock Clock, opener Opener) (*Front, error) {
	f := &Front{cfg: cfg, classIndexes: map[string]int{}, clock: clock, opener: opener,
		requests: map[logic.RequestID]*request{}, named: map[string]struct{}{}, timers: map[logic.TimerID]*Deadline{},
		membersByName: map[string]*member{}, membersByID: map[logic.MemberID]*member{}}
	for i, c := range cfg.Logic.Classes {
		f.classIndexes[c.Name] = i
	}
	var err error
	f.router, err = logic.New(cfg.Logic, f)
	return f, err
}

// Start delivers the first event to the router: the member list as this proxy last knew it. On this event the router
// sets its timers.
func (f *Front) Start(w Watcher, known List) {
	f.watcher = w
	known.Kind = logic.ListCached
	f.Listed(known)
}

// notifyRouter delivers an event to the router, after all earlier events. An event that results directly from an
// action of the router is delivered after the router has returned, so that the router is never called from within its
// own call.
func (f *Front) notifyRouter(event func()) {
	f.pendingEvents = append(f.pendingEvents, event)
	if f.delivering {
		return
	}
	f.delivering = true
	for i := 0; i < len(f.pendingEvents); i++ {
		f.pendingEvents[i]()
		f.pendingEvents[i] = nil
	}
	f.pendingEvents, f.delivering = f.pendingEvents[:0], false
}

// Pending returns the number of open requests, including abandoned ones with an open attempt.
func (f *Front) Pending() int { return len(f.requests) }

// Connections returns the number of connections to databases that are open or being opened.
func (f *Front) Connections() int { return f.connections }

// End announces that the proxy shuts down at the time at. Open and new requests must be answered by then, even if
// their clients would wait longer.
func (f *Front) End(at time.Duration) {
	f.shutdownAt = at
	for _, q := range f.requests {
		if a := q.openAttempt; a != nil {
			f.setTimeout(a)
		}
	}
}

// setTimeout sets the deadline of an attempt, not later than the shutdown.
func (f *Front) setTimeout(a *attempt) {
	if f.shutdownAt > 0 {
		a.timeoutAt = min(a.timeoutAt, f.shutdownAt)
	}
	f.Deadlines.Set(&a.Deadline, a.timeoutAt, func() { f.expireAttempt(a) })
}

// answerDeadline returns when the answer must be sent to a client that waits so long.
func (f *Front) answerDeadline(wait time.Duration) time.Duration {
	at := f.clock.Now() + max(wait-clientRoundTripReserve, 0)
	if f.shutdownAt > 0 {
		at = min(at, f.shutdownAt)
	}
	return at
}

// Take accepts a request and passes it to the router. If it returns an error, because the class is unknown or another
// open request has the same name, the request's Caller is not called.
func (f *Front) Take(in Request) (logic.RequestID, error) {
	class, ok := f.classIndexes[in.Class]
	if !ok {
		return 0, fmt.Errorf("unknown class %q", in.Class)
	}
	// Databases and deduplication keys could not tell two requests of one name apart, and one client would get the
	// answer for the other.
	if in.Name != "" {
		if _, twice := f.named[in.Name]; twice {
			return 0, ErrTwice
		}
		f.named[in.Name] = struct{}{}
	}
	f.lastRequestID++
	if f.Counters.Taken++; f.Counters.Taken == 1 {
		slog.Info("first request", "id", in.Name, "class", in.Class, "group", in.Group, "waits", in.Wait)
	}
	q := &request{id: f.lastRequestID, name: in.Name, class: class, group: in.Group, receivedAt: f.clock.Now(),
		answerDeadline: f.answerDeadline(in.Wait), command: in.Command, responder: in.Caller}
	f.requests[q.id] = q
	out := logic.Request{ID: q.id, Class: class, Group: logic.GroupID(in.Group), Deadline: q.answerDeadline, Retry: in.Retry}
	switch f.cfg.Logic.Classes[class].RequiredFreshness { // in other classes, Session is not the key of a session
	case logic.FreshnessSession:
		out.Session, out.TokenAge = logic.SessionID(in.Session), tokenAge(f.clock, in.After)
	case logic.FreshnessWrite:
		out.Session = logic.SessionID(in.Session)
	}
	f.notifyRouter(func() { f.router.Request(f.clock.Now(), out) })
	return q.id, nil
}

// Abandon reports that the client of a request has left.
func (f *Front) Abandon(id logic.RequestID) {
	q := f.requests[id]
	if q == nil || q.responder == nil {
		return
	}
	q.responder = nil
	f.Counters.Abandoned++
	f.recordRequestEnd(q, "abandoned", "")
	f.notifyRouter(func() {
		f.router.Abandoned(f.clock.Now(), id)
		f.removeIfFinished(q)
	})
	if q.openAttempt != nil {
		f.cancelUnsentAttempt(q.openAttempt)
	}
}

// removeIfFinished removes a request that is answered or abandoned and has no open attempt.
func (f *Front) removeIfFinished(q *request) {
	if q.responder == nil && q.openAttempt == nil {
		delete(f.requests, q.id)
		delete(f.named, q.name)
	}
}

// answer passes the final answer to the client and ends the request. It does nothing for a request that was answered
// or abandoned before. The reason is empty for a request that is served.
func (f *Front) answer(id logic.RequestID, counter *uint64, ending, reason string, respond func(Caller)) {
	q := f.requests[id]
	if q == nil || q.responder == nil {
		return
	}
	responder := q.responder
	q.responder = nil
	*counter++
	f.recordRequestEnd(q, ending, reason)
	respond(responder)
	f.removeIfFinished(q)
}

// Refuse implements logic.Actions.
func (f *Front) Refuse(id logic.RequestID, retryAfter time.Duration, reason logic.Refusal) {
	f.Counters.countRefusal(reason)
	f.answer(id, &f.Counters.Refused, "refused", refusalNames[reason], func(c Caller) { c.Refused(retryAfter) })
}

// Fail implements logic.Actions.
func (f *Front) Fail(id logic.RequestID) {
	f.answer(id, &f.Counters.Failed, "failed", "it may have run, and may not be repeated", Caller.Failed)
}

// Send implements logic.Actions. It starts an attempt, whose outcome is reported later, even if nothing can be sent.
func (f *Front) Send(id logic.RequestID, target logic.MemberID, timeout, sendBy time.Duration) {
	now := f.clock.Now()
	q, m := f.requests[id], f.membersByID[target]
	if q == nil {
		return
	}
	a := &attempt{req: q, number: q.attempts, target: m, timeoutAt: now + timeout, sendBy: sendBy, startedAt: now}
	q.attempts++
	if m == nil || q.responder == nil || q.openAttempt != nil || f.shutdownAt > 0 && now >= f.shutdownAt {
		f.notifyRouter(func() {
			f.router.Outcome(f.clock.Now(), logic.Outcome{Request: id, Attempt: a.number, Member: target,
				Result: logic.NotSent, Answered: q.responder == nil})
		})
		return
	}
	f.Counters.Sent++
	q.openAttempt = a
	f.setTimeout(a)
	f.assignConnection(a)
}

// Cancel implements logic.Actions. It cancels an attempt by closing its connection.
func (f *Front) Cancel(id logic.RequestID, number int) {
	if q := f.requests[id]; q != nil && q.openAttempt != nil && q.openAttempt.number == number {
		f.abortAttempt(q.openAttempt, Reply{Result: logic.Cancelled})
	}
}

// expireAttempt ends an attempt that has reached its timeout. One that was never written counts as a failure to
// connect.
func (f *Front) expireAttempt(a *attempt) {
	if a.written {
		f.abortAttempt(a, Reply{Result: logic.TimedOut})
	} else {
		f.abortAttempt(a, Reply{Result: logic.ConnectFailed})
	}
}

// abortAttempt ends an attempt without an answer. It closes the connection, so that a late answer can't be taken for
// the answer to another request.
func (f *Front) abortAttempt(a *attempt, r Reply) {
	if c := a.connection; c != nil {
		f.closeConnection(c)
	}
	f.attemptEnded(a, r)
}

// cancelUnsentAttempt ends an attempt that still waits for its connection, so that it is never sent.
func (f *Front) cancelUnsentAttempt(a *attempt) {
	if !a.written {
		f.abortAttempt(a, Reply{Result: logic.NotSent})
	}
}

// attemptEnded reports the outcome of an attempt to the router. Before that, an OK answer is passed to the client.
func (f *Front) attemptEnded(a *attempt, r Reply) {
	q := a.req
	if q.openAttempt != a {
		return
	}
	f.Deadlines.Clear(&a.Deadline)
	q.openAttempt = nil
	if a.connection != nil {
		a.connection.attempt = nil
		a.connection = nil
	}
	f.Counters.attemptEnded(r.Result)
	a.target.recordReply(r, false)
	switch {
	case r.Result == logic.OK:
		if f.Counters.Served == 0 {
			slog.Info("first answer", "id", q.name, "after", f.clock.Now()-q.receivedAt)
		}
		f.answer(q.id, &f.Counters.Served, "served", "", func(c Caller) { c.Served(r.Body) })
	case r.Unfit: // every member would reject the statement: report Cancelled, so that the router doesn't blame this one
		r.Result = logic.Cancelled
		f.answer(q.id, &f.Counters.Failed, "failed", "the database rejects the statement", Caller.Failed)
	}
	now := f.clock.Now()
	o := logic.Outcome{Request: q.id, Attempt: a.number, Member: a.target.id, Result: r.Result, Took: now - a.startedAt,
		Answered: q.responder == nil, Role: r.Role, Position: fromUnix(f.clock, time.Duration(r.Position)*time.Millisecond),
		LoadReport: f.loadReport(r)}
	f.removeIfFinished(q)
	f.notifyRouter(func() { f.router.Outcome(f.clock.Now(), o) })
}

// SetTimer implements logic.Actions.
func (f *Front) SetTimer(id logic.TimerID, at time.Duration) {
	d := f.timers[id]
	if d == nil {
		d = &Deadline{}
		f.timers[id] = d
	}
	f.Deadlines.Set(d, at, func() { f.notifyRouter(func() { f.router.Timer(f.clock.Now(), id) }) })
}

// Watch implements logic.Actions.
func (f *Front) Watch(on bool) {
	f.Counters.ListCalls++
	f.watcher.Watch(on)
}

// Fetch implements logic.Actions.
func (f *Front) Fetch() {
	f.Counters.ListCalls++
	f.watcher.Fetch()
}

// Log implements logic.Actions.
func (f *Front) Log(text string) { slog.Info("router", "says", text) }
