package state

import (
	"container/list"
	"log/slog"
	"slices"
	"time"

	"havenproxy/logic"
)

// idleCloseFraction is the fraction of the databases' idle timeout after which this proxy closes an idle connection
// itself. A request sent while the database closes the connection would end as a reset.
const idleCloseFraction = 0.9

// maxWriteTime is how long a database may take to accept a whole query. The time for a reply that the query states is
// counted from its first byte.
const maxWriteTime = 100 * time.Millisecond

// settleTime is how long a connection is not used after a reply. A database may send a second copy of the reply, or
// noise, close behind it. Replies carry no identifier, so a query that is sent before the copy has arrived would get the
// copy as its reply.
const settleTime = 2 * time.Millisecond

// limitLogInterval is the minimum time between two log lines that the connection limit is reached.
const limitLogInterval = 10 * time.Second

// Dialer opens connections to databases.
type Dialer interface {
	// Dial starts to connect and returns at once. It calls no method of the handler before it has returned.
	Dial(address string, handler ConnHandler) Conn
}

// Conn is a connection to a database.
type Conn interface {
	// Send writes a query to which the database must reply within the given time, or begins to: if Written is false
	// then, ConnHandler.QueryWritten follows. An error means that the last byte was not and will not be written.
	Send(Query, time.Duration) error
	// Written reports whether the last byte of the last query was written.
	Written() bool
	// Probe writes a query for the load report.
	Probe() error
	// Reusable reports whether the next query may be sent: the connection is open, no query is pending, and no data
	// has been received beyond the replies to earlier queries.
	Reusable() bool
	// Close closes the connection and frees its file descriptor. It may be called at any time, also before the
	// connection is established.
	Close()
}

// ConnHandler receives the events of a connection.
type ConnHandler interface {
	Connected()      // the connection is established and ready for its first query
	QueryWritten()   // the last byte of a query was written that Send could not write at once
	Reply(Reply)     // the reply to the last query, or the error with which the database rejects the connection
	Disconnected()   // the connection was lost or could not be established
	MalformedReply() // the data received is not a valid reply; the connection is closed
}

// Reply is the reply of a database to a query or a probe.
type Reply struct {
	Result         logic.Result
	StatementError bool // the request itself caused the error
	Body           []byte
	Role           logic.Role
	Position       int64 // Unix milliseconds; 0 = unknown
	LoadReport     LoadReport
}

// LoadReport is what a database reports about its load. Present is false if the reply contained no report.
type LoadReport struct {
	Present  bool
	Role     logic.Role
	Position float64 // Unix seconds; 0 = unknown
	Queue    float64 // waiting requests; negative = unknown
}

// connectionState is the state of a connection to a database.
type connectionState uint8

// The states of a connection.
const (
	connectionOpening  connectionState = iota // not established yet
	connectionSettling                        // a reply has come, and more may follow; see settleTime
	connectionIdle
	connectionBusy // waiting for the reply to a query or a probe
	connectionClosed
)

// connection is a connection to a member, with the attempt or probe that uses it or waits for it. Its Deadline limits, by
// state, the time to connect, to settle, the time that a probe takes, and the time that it stays idle.
type connection struct {
	Deadline
	dispatcher  *Dispatcher
	target      *member
	address     string // to which it was opened
	conn        Conn
	state       connectionState
	probing     bool          // reserved for a probe that was sent or waits for the connection
	reused      bool          // the probe is not the first query on this connection
	probeSentAt time.Duration // when the probe was written
	attempt     *attempt
	idleElement *list.Element // its element in Dispatcher.idleConnections; nil = in use or waited for
}

// assignConnection sends an attempt on an idle connection. If there is none, a connection that settles will send it, or
// else a new one.
func (d *Dispatcher) assignConnection(a *attempt) {
	m := a.target
	if c := d.takeIdle(m); c != nil {
		d.writeAttempt(c, a)
		return
	}
	if i := slices.IndexFunc(m.settling, func(c *connection) bool { return c.attempt == nil }); i >= 0 {
		c := m.settling[i]
		c.attempt, a.connection = a, c
		d.removeFromIdleOrder(c)
		return
	}
	c := d.openConnection(m)
	if c == nil { // the limit is this proxy's own and says nothing about the member
		d.abortAttempt(a, Reply{Result: logic.NotSent})
		return
	}
	c.attempt, a.connection = a, c
	m.opening = append(m.opening, c)
}

// takeIdle returns the most recently used idle connection of a member and marks it as no longer idle. It returns nil
// if there is none.
func (d *Dispatcher) takeIdle(m *member) *connection {
	for n := len(m.idleConnections); n > 0; n = len(m.idleConnections) {
		c := m.idleConnections[n-1]
		if !c.idleExpired() && c.conn.Reusable() {
			m.idleConnections = m.idleConnections[:n-1]
			d.Deadlines.Clear(&c.Deadline)
			d.removeFromIdleOrder(c)
			return c
		}
		d.closeConnection(c) // it has received unexpected data or the end of the stream; the new query has not been written
	}
	return nil
}

// idleExpired reports whether the idle timeout is over and has not taken effect yet.
func (c *connection) idleExpired() bool {
	at, set := c.Deadline.Time()
	return set && c.dispatcher.clock.Now() >= at
}

// addToIdleOrder adds a connection that may be closed to make room to Dispatcher.idleConnections.
func (d *Dispatcher) addToIdleOrder(c *connection) {
	if c.idleElement == nil {
		c.idleElement = d.idleConnections.PushBack(c)
	}
}

// removeFromIdleOrder removes a connection from Dispatcher.idleConnections.
func (d *Dispatcher) removeFromIdleOrder(c *connection) {
	if c.idleElement != nil {
		d.idleConnections.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// openConnection starts to connect to a member. If the limit of connections is reached, it first closes the
// connection that has been idle for longest, to any member; it returns nil if there is none.
func (d *Dispatcher) openConnection(target *member) *connection {
	if d.connections >= d.cfg.MaxConnections && !d.closeOldestIdle() {
		d.Counters.ConnectionLimitReached++
		if now := d.clock.Now(); d.limitLoggedAt == 0 || now-d.limitLoggedAt >= limitLogInterval {
			d.limitLoggedAt = now
			slog.Warn("limit of database connections reached", "open", d.connections)
		}
		return nil
	}
	d.connections++
	d.Counters.Opened++
	c := &connection{dispatcher: d, target: target, address: target.address}
	target.connections[c] = struct{}{}
	c.conn = d.dialer.Dial(target.address, c)
	d.Deadlines.Set(&c.Deadline, d.clock.Now()+d.cfg.ConnectTimeout, c.Disconnected)
	return c
}

// closeOldestIdle closes the connection that has been unused for longest, to any member. It reports whether there was
// one.
func (d *Dispatcher) closeOldestIdle() bool {
	oldest := d.idleConnections.Front()
	if oldest == nil {
		return false
	}
	d.closeConnection(oldest.Value.(*connection))
	return true
}

// writeWaiting sends an attempt that has waited for a connection, if that is still allowed. Otherwise it ends as NotSent,
// and the connection is released.
func (d *Dispatcher) writeWaiting(c *connection, a *attempt) {
	if d.maySend(a) {
		d.writeAttempt(c, a)
		return
	}
	c.attempt, a.connection = nil, nil
	d.releaseConnection(c)
	d.attemptEnded(a, Reply{Result: logic.NotSent})
}

// maySend reports whether the limits of an attempt that has waited still allow to send it.
func (d *Dispatcher) maySend(a *attempt) bool {
	now := d.clock.Now()
	return now < a.timeoutAt && (a.sendBy == 0 || now <= a.sendBy) && d.router.MaySend(now, a.req.id, a.number) &&
		a.req.clientPresence() == ClientPresent
}

// writeAttempt sends an attempt on an established connection.
func (d *Dispatcher) writeAttempt(c *connection, a *attempt) {
	d.Deadlines.Clear(&c.Deadline)
	c.state, c.attempt, a.connection = connectionBusy, a, c
	if err := c.conn.Send(a.req.query, a.timeoutAt-d.clock.Now()); err != nil {
		d.abortAttempt(a, Reply{Result: logic.ConnectFailed})
		return
	}
	if a.written = c.conn.Written(); !a.written {
		d.limitWriting(a)
	}
}

// limitWriting ends an attempt whose database doesn't take the whole query in time. Such a query is not executed.
func (d *Dispatcher) limitWriting(a *attempt) {
	a.writeBy = d.clock.Now() + maxWriteTime
	if a.sendBy > 0 {
		a.writeBy = min(a.writeBy, a.sendBy)
	}
	d.setTimeout(a)
}

// QueryWritten implements ConnHandler.
func (c *connection) QueryWritten() {
	if a := c.attempt; a != nil && c.state == connectionBusy {
		a.written = true
		c.dispatcher.setTimeout(a)
	}
}

// closeConnection closes a connection and removes it from all lists that contain it.
func (d *Dispatcher) closeConnection(c *connection) {
	if c.state == connectionClosed {
		return
	}
	c.state = connectionClosed
	d.connections--
	d.Deadlines.Clear(&c.Deadline)
	d.removeFromIdleOrder(c)
	c.conn.Close()
	target := c.target
	delete(target.connections, c)
	same := func(x *connection) bool { return x == c }
	target.idleConnections = slices.DeleteFunc(target.idleConnections, same)
	target.opening = slices.DeleteFunc(target.opening, same)
	target.settling = slices.DeleteFunc(target.settling, same)
	if target.probe == c {
		target.probe = nil
	}
	d.removeIfGone(target)
}

// usable reports whether a connection may be used again: it leads to the member's current address, the member is ready, and
// no data is left over.
func (c *connection) usable() bool {
	return c.target.state == logic.Ready && c.address == c.target.address && c.conn.Reusable()
}

// settle keeps a connection from its next use until no copy of the reply can follow any more. It closes a
// connection that is not usable.
func (d *Dispatcher) settle(c *connection) {
	c.state = connectionSettling
	if !c.usable() {
		d.closeConnection(c)
		return
	}
	c.target.settling = append(c.target.settling, c)
	d.addToIdleOrder(c)
	d.Deadlines.Set(&c.Deadline, d.clock.Now()+settleTime, c.settled)
}

// settled uses a connection for the attempt that waits for it, or makes it available.
func (c *connection) settled() {
	d, a := c.dispatcher, c.attempt
	c.target.settling = slices.DeleteFunc(c.target.settling, func(x *connection) bool { return x == c })
	switch {
	case a == nil:
		d.releaseConnection(c)
	case c.usable():
		d.writeWaiting(c, a)
	default:
		c.replace()
	}
}

// replace closes a connection that can't be used after a reply. The attempt that waits for it gets another one.
func (c *connection) replace() {
	d, a := c.dispatcher, c.attempt
	c.attempt = nil
	d.closeConnection(c)
	switch {
	case a == nil:
	case d.maySend(a):
		a.connection = nil
		d.assignConnection(a)
	default:
		a.connection = nil
		d.attemptEnded(a, Reply{Result: logic.NotSent})
	}
}

// releaseConnection makes an established connection available, or closes it if it is not usable. An attempt that waits for another connection to this member is sent on it at once; the other
// connection is released in turn when it is established.
func (d *Dispatcher) releaseConnection(c *connection) {
	target := c.target
	c.state = connectionIdle
	if !c.usable() {
		d.closeConnection(c)
		return
	}
	if i := slices.IndexFunc(target.opening, func(x *connection) bool { return x.attempt != nil }); i >= 0 {
		a := target.opening[i].attempt
		target.opening[i].attempt = nil
		d.removeFromIdleOrder(c)
		d.writeWaiting(c, a)
		return
	}
	target.idleConnections = append(target.idleConnections, c)
	d.addToIdleOrder(c)
	if d.cfg.DatabaseIdleTimeout > 0 {
		d.Deadlines.Set(&c.Deadline, d.clock.Now()+time.Duration(idleCloseFraction*float64(d.cfg.DatabaseIdleTimeout)), func() {
			d.Counters.ClosedIdle++
			d.closeConnection(c)
		})
	}
}

// Connected implements ConnHandler.
func (c *connection) Connected() {
	d := c.dispatcher
	if c.state != connectionOpening {
		return
	}
	d.Deadlines.Clear(&c.Deadline)
	if c.probing {
		d.writeProbe(c)
		return
	}
	c.target.opening = slices.DeleteFunc(c.target.opening, func(x *connection) bool { return x == c })
	if a := c.attempt; a != nil {
		d.writeWaiting(c, a)
		return
	}
	d.releaseConnection(c)
}

// Reply implements ConnHandler.
func (c *connection) Reply(r Reply) {
	d := c.dispatcher
	switch c.state {
	case connectionOpening: // the database rejected the connection; no query was written
		if r.Result != logic.Full {
			r.Result = logic.ConnectFailed
		}
		c.fail(r)
		return
	case connectionSettling, connectionIdle, connectionClosed: // after unexpected data, no reply could be trusted
		c.Disconnected()
		return
	}
	if c.probing {
		took := d.clock.Now() - c.probeSentAt
		c.probing, c.target.probe = false, nil
		d.settle(c)
		d.finishProbe(c.target, r, took)
		return
	}
	a := c.attempt
	c.attempt, a.connection = nil, nil
	d.settle(c)
	d.attemptEnded(a, r)
}

// Disconnected implements ConnHandler. A request whose connection could not be established was not executed; one
// whose connection was lost later may have been executed. The database may have closed a reused connection before a
// probe arrived on it, which says nothing about the member: the probe is repeated on a new connection.
func (c *connection) Disconnected() {
	switch c.state {
	case connectionClosed:
		return
	case connectionSettling:
		c.replace()
		return
	}
	if c.probing && c.reused && c.state == connectionBusy && c.target.state == logic.Ready {
		c.dispatcher.closeConnection(c)
		c.dispatcher.openProbe(c.target)
		return
	}
	r := Reply{Result: logic.Reset}
	if !c.queryWritten() {
		r.Result = logic.ConnectFailed
	}
	c.fail(r)
}

// queryWritten reports whether the whole query or probe that uses the connection was written.
func (c *connection) queryWritten() bool {
	return c.state != connectionOpening && (c.attempt == nil || c.attempt.written)
}

// MalformedReply implements ConnHandler. A request that was sent may have been executed. A probe yields no report, but
// shows that the member is alive, so its result is Failed instead of Reset.
func (c *connection) MalformedReply() {
	r := Reply{Result: logic.Reset}
	switch {
	case c.state == connectionClosed:
		return
	case c.state == connectionSettling:
		c.replace()
		return
	case !c.queryWritten():
		r.Result = logic.ConnectFailed
	case c.probing:
		r.Result = logic.Failed
	}
	c.fail(r)
}

// fail closes a connection and ends the attempt or probe that uses it with the given result.
func (c *connection) fail(r Reply) {
	a := c.attempt
	c.dispatcher.closeConnection(c)
	switch {
	case a != nil:
		c.dispatcher.attemptEnded(a, r)
	case c.probing:
		c.dispatcher.finishProbe(c.target, r, 0)
	}
}
