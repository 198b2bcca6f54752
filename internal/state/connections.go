package state

import (
	"container/list"
	"log/slog"
	"slices"
	"time"

	"havenproxy/logic"
)

// probeTimeout is how long a probe may take from its writing. Opening a connection for it is bounded by
// ConnectTimeout.
const probeTimeout = 250 * time.Millisecond

// idleCloseFraction is the fraction of the databases' idle timeout after which this proxy closes an idle connection
// itself. A request sent while the database closes the connection would end as a reset.
const idleCloseFraction = 0.9

// limitLogInterval is the minimum time between two log lines that the connection limit is reached.
const limitLogInterval = 10 * time.Second

// Opener opens connections to databases.
type Opener interface {
	// Open starts to connect and returns at once. It calls no method of the listener before it has returned.
	Open(address string, listener Listener) Conn
	// GivenUp returns the number of connections that were closed while being opened and still hold their file
	// descriptor.
	GivenUp() int
}

// Conn is a connection to a database.
type Conn interface {
	// Send writes a command that the database has the given time to answer. An error means that the last byte was not
	// written.
	Send(Command, time.Duration) error
	// Probe writes a query for the load report.
	Probe() error
	// Quiet reports whether the next command may be sent: no data has been received that belongs to no command.
	Quiet() bool
	// Close closes the connection. It may be called at any time, also before the connection is established.
	Close()
}

// Listener receives the events of a connection.
type Listener interface {
	Up()         // the connection is established and ready for its first command
	Reply(Reply) // the answer to the last command
	Down()       // the connection was lost or could not be established
	Spoilt()     // the data received is not a valid answer; the connection is closed
}

// Reply is the answer of a database to a command or a probe.
type Reply struct {
	Result   logic.Result
	Unfit    bool // the request itself caused the error
	Body     []byte
	Role     logic.Role
	Position int64 // Unix milliseconds; 0 = unknown
	Load     Load
}

// Load is a load report. Told is false if the answer contained none.
type Load struct {
	Told     bool
	Role     logic.Role
	Position float64 // Unix seconds; 0 = unknown
	Queue    float64 // waiting requests; negative = unknown
}

// connectionState is the state of a connection to a database.
type connectionState uint8

// The states of a connection.
const (
	connectionOpening connectionState = iota // not established yet
	connectionIdle
	connectionBusy // waiting for the answer to a command or a probe
	connectionClosed
)

// connection is a connection to a member, with the attempt or probe that uses it. Its Deadline limits, by state, the
// time to connect, the time that a probe takes, and the time that it stays idle.
type connection struct {
	Deadline
	f           *Front
	target      *member
	conn        Conn
	state       connectionState
	probing     bool          // reserved for a probe that was sent or waits for the connection
	reused      bool          // the probe is not the first command on this connection
	probeSentAt time.Duration // when the probe was written
	attempt     *attempt
	idleElement *list.Element // its element in Front.idleConnections; nil = not idle
}

// assignConnection sends an attempt on an idle connection or, if there is none, opens a connection that will send it.
func (f *Front) assignConnection(a *attempt) {
	m := a.target
	if c := f.takeIdle(m); c != nil {
		f.writeAttempt(c, a)
		return
	}
	c := f.openConnection(m)
	if c == nil { // the limit is this proxy's own and says nothing about the member
		f.abortAttempt(a, Reply{Result: logic.NotSent})
		return
	}
	c.attempt, a.connection = a, c
	m.opening = append(m.opening, c)
}

// takeIdle returns the most recently used idle connection of a member and marks it as no longer idle. It returns nil
// if there is none.
func (f *Front) takeIdle(m *member) *connection {
	for n := len(m.idleConnections); n > 0; n = len(m.idleConnections) {
		c := m.idleConnections[n-1]
		if c.conn.Quiet() {
			m.idleConnections = m.idleConnections[:n-1]
			f.removeFromIdleOrder(c)
			return c
		}
		f.closeConnection(c) // a duplicate of an answer, or the end of the stream; the new command has not been written
	}
	return nil
}

// removeFromIdleOrder removes a connection from Front.idleConnections and clears its idle timeout.
func (f *Front) removeFromIdleOrder(c *connection) {
	f.Deadlines.Clear(&c.Deadline)
	if c.idleElement != nil {
		f.idleConnections.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// openConnection starts to connect to a member. If the limit of connections is reached, it first closes the
// connection that has been idle for longest, to any member; it returns nil if there is none.
func (f *Front) openConnection(target *member) *connection {
	if f.connections+f.opener.GivenUp() >= f.cfg.MaxConnections && !f.closeOldestIdle() {
		f.Counters.NoRoom++
		if now := f.clock.Now(); f.limitLoggedAt == 0 || now-f.limitLoggedAt >= limitLogInterval {
			f.limitLoggedAt = now
			slog.Warn("limit of database connections reached", "open", f.connections, "given_up", f.opener.GivenUp())
		}
		return nil
	}
	f.connections++
	f.Counters.Opened++
	c := &connection{f: f, target: target}
	target.connections[c] = struct{}{}
	c.conn = f.opener.Open(target.address, c)
	f.Deadlines.Set(&c.Deadline, f.clock.Now()+f.cfg.ConnectTimeout, c.Down)
	return c
}

// closeOldestIdle closes the connection that has been idle for longest, to any member. It reports whether there was
// one.
func (f *Front) closeOldestIdle() bool {
	oldest := f.idleConnections.Front()
	if oldest == nil {
		return false
	}
	f.closeConnection(oldest.Value.(*connection))
	return true
}

// writeAttempt sends an attempt on an established connection. An attempt that is too late to be sent ends as NotSent,
// and the connection is released.
func (f *Front) writeAttempt(c *connection, a *attempt) {
	f.Deadlines.Clear(&c.Deadline)
	if a.sendBy > 0 && f.clock.Now() > a.sendBy {
		c.attempt, a.connection = nil, nil
		f.releaseConnection(c)
		f.attemptEnded(a, Reply{Result: logic.NotSent})
		return
	}
	c.state, c.attempt, a.connection = connectionBusy, a, c
	if err := c.conn.Send(a.req.command, a.timeoutAt-f.clock.Now()); err != nil {
		f.abortAttempt(a, Reply{Result: logic.ConnectFailed})
		return
	}
	a.written = true
}

// closeConnection closes a connection and removes it from all lists that contain it.
func (f *Front) closeConnection(c *connection) {
	if c.state == connectionClosed {
		return
	}
	c.state = connectionClosed
	f.connections--
	f.removeFromIdleOrder(c)
	c.conn.Close()
	target := c.target
	delete(target.connections, c)
	same := func(x *connection) bool { return x == c }
	target.idleConnections, target.opening =
		slices.DeleteFunc(target.idleConnections, same), slices.DeleteFunc(target.opening, same)
	if target.probe == c {
		target.probe = nil
	}
	f.removeIfGone(target)
}

// releaseConnection makes an established connection available again. An attempt that waits for a connection to this
// member to open takes it over, and the connection that the attempt waited for becomes idle once it is established.
func (f *Front) releaseConnection(c *connection) {
	target := c.target
	c.state = connectionIdle
	if target.state != logic.Ready || !c.conn.Quiet() {
		f.closeConnection(c)
		return
	}
	if i := slices.IndexFunc(target.opening, func(x *connection) bool { return x.attempt != nil }); i >= 0 {
		a := target.opening[i].attempt
		target.opening[i].attempt = nil
		f.writeAttempt(c, a)
		return
	}
	target.idleConnections = append(target.idleConnections, c)
	c.idleElement = f.idleConnections.PushBack(c)
	if f.cfg.IdleClose > 0 {
		f.Deadlines.Set(&c.Deadline, f.clock.Now()+time.Duration(idleCloseFraction*float64(f.cfg.IdleClose)), func() {
			f.Counters.ClosedIdle++
			f.closeConnection(c)
		})
	}
}

// Up implements Listener.
func (c *connection) Up() {
	f := c.f
	if c.state != connectionOpening {
		return
	}
	f.Deadlines.Clear(&c.Deadline)
	if c.probing {
		f.writeProbe(c)
		return
	}
	c.target.opening = slices.DeleteFunc(c.target.opening, func(x *connection) bool { return x == c })
	if a := c.attempt; a != nil {
		f.writeAttempt(c, a)
		return
	}
	f.releaseConnection(c)
}

// Reply implements Listener.
func (c *connection) Reply(r Reply) {
	f := c.f
	switch c.state {
	case connectionOpening: // the database rejected the connection; no command was written
		if r.Result != logic.Full {
			r.Result = logic.ConnectFailed
		}
		c.fail(r)
		return
	case connectionIdle, connectionClosed: // after unexpected data, the next answer could not be trusted
		c.Down()
		return
	}
	if c.probing {
		took := f.clock.Now() - c.probeSentAt
		c.probing, c.target.probe = false, nil
		f.releaseConnection(c)
		f.finishProbe(c.target, r, took)
		return
	}
	a := c.attempt
	c.attempt, a.connection = nil, nil
	f.releaseConnection(c)
	f.attemptEnded(a, r)
}

// Down implements Listener. A connection that was lost while being opened proves that the request never ran; later,
// the request may have run. The database may have closed a reused connection before a probe arrived on it, which says
// nothing about the member: the probe is repeated on a new connection.
func (c *connection) Down() {
	if c.state == connectionClosed {
		return
	}
	if c.probing && c.reused && c.state == connectionBusy && c.target.state == logic.Ready {
		c.f.closeConnection(c)
		c.f.openProbe(c.target)
		return
	}
	r := Reply{Result: logic.Reset}
	if c.state == connectionOpening {
		r.Result = logic.ConnectFailed
	}
	c.fail(r)
}

// Spoilt implements Listener. A request that was sent may have run. A probe yields no report, but shows that the
// member is alive, so its result is Failed instead of Reset.
func (c *connection) Spoilt() {
	r := Reply{Result: logic.Reset}
	switch {
	case c.state == connectionClosed:
		return
	case c.state == connectionOpening:
		r.Result = logic.ConnectFailed
	case c.probing:
		r.Result = logic.Failed
	}
	c.fail(r)
}

// fail closes a connection and ends the attempt or probe that uses it with the given result.
func (c *connection) fail(r Reply) {
	a := c.attempt
	c.f.closeConnection(c)
	switch {
	case a != nil:
		c.f.attemptEnded(a, r)
	case c.probing:
		c.f.finishProbe(c.target, r, 0)
	}
}

// Probe implements logic.Actions. A probe has a connection to itself, an idle or a new one, and is timed from its
// writing: it measures the round-trip time without the handshake or an earlier request.
func (f *Front) Probe(to logic.MemberID) {
	m := f.membersByID[to]
	if m == nil || m.probe != nil {
		f.reportProbeNotSent(to)
		return
	}
	f.Counters.Probes++
	if c := f.takeIdle(m); c != nil {
		c.probing, c.reused, m.probe = true, true, c
		f.writeProbe(c)
		return
	}
	f.openProbe(m)
}

// openProbe opens a connection whose first command is a probe.
func (f *Front) openProbe(m *member) {
	c := f.openConnection(m)
	if c == nil {
		f.reportProbeNotSent(m.id)
		return
	}
	c.probing, c.reused, m.probe = true, false, c
}

// reportProbeNotSent tells the router that no probe was sent, which says nothing about the member.
func (f *Front) reportProbeNotSent(to logic.MemberID) {
	f.notifyRouter(func() { f.router.ProbeResult(f.clock.Now(), logic.ProbeResult{Member: to, Result: logic.NotSent}) })
}

// writeProbe sends a probe on an established connection and sets its timeout.
func (f *Front) writeProbe(c *connection) {
	c.state, c.probeSentAt = connectionBusy, f.clock.Now()
	f.Deadlines.Set(&c.Deadline, c.probeSentAt+probeTimeout, func() { c.fail(Reply{Result: logic.TimedOut}) })
	if err := c.conn.Probe(); err != nil {
		c.fail(Reply{Result: logic.ConnectFailed})
	}
}

// finishProbe counts and logs the result of a probe and tells it to the router.
func (f *Front) finishProbe(m *member, r Reply, took time.Duration) {
	if r.Result == logic.OK {
		f.Counters.ProbesOK++
	}
	m.recordReply(r, true)
	p := logic.ProbeResult{Member: m.id, Result: r.Result, Took: took, Report: f.loadReport(r)}
	f.notifyRouter(func() { f.router.ProbeResult(f.clock.Now(), p) })
}

// loadReport converts the load report of an answer to the router's terms.
func (f *Front) loadReport(r Reply) logic.Report {
	if !r.Load.Told {
		return logic.Report{Queue: -1}
	}
	return logic.Report{Role: r.Load.Role, Position: positionFromUnixSeconds(f.clock, r.Load.Position), Queue: r.Load.Queue}
}
