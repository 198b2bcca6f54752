package state

import (
	"container/list"
	"log/slog"
	"slices"
	"time"

	"havenproxy/logic"
)

// probeTimeout is how long a probe may take, a new connection included.
const probeTimeout = 250 * time.Millisecond

// idlePart of the time after which a database closes an idle connection is how long one is kept here: a request
// that crosses the close would end as a reset.
const idlePart = 0.9

// tellFull is how often it is logged that there is no room for another connection, at most.
const tellFull = 10 * time.Second

// Opener opens connections to databases. It returns at once; the listener's methods are called later.
type Opener interface {
	Open(address string, to Listener) Conn
	// GivenUp counts connections that were closed in the making and hold their descriptor still.
	GivenUp() int
}

// Conn is a connection to a database. Close may be called at any time, also before it is up.
type Conn interface {
	// Send writes a command. An error tells that its last byte was not written.
	Send(Command, time.Duration) error
	// Probe asks for the load report.
	Probe() error
	// Quiet tells whether the next command may go out: nothing has come that belongs to none.
	Quiet() bool
	Close()
}

// Listener is told what happens on a connection.
type Listener interface {
	Up()         // it may be sent the first command
	Reply(Reply) // the answer to the last command
	Down()       // it is lost, or never came up
	Spoilt()     // what came is no answer; it is closed
}

// Reply is what a database answered.
type Reply struct {
	Result   logic.Result
	Unfit    bool // an error that is the request's own fault
	Body     []byte
	Role     logic.Role
	Position int64 // Unix milliseconds; 0 = not told
	Load     Load
}

// Load is a load report; Told is false where there was none.
type Load struct {
	Told     bool
	Role     logic.Role
	Position float64 // Unix seconds; 0 = not told
	Queue    float64 // negative = not told
}

type connectionState uint8

const (
	connectionOpening connectionState = iota
	connectionIdle
	connectionBusy
	connectionClosed
)

// connection is a connection to a database with what it is used for.
type connection struct {
	Deadline
	f       *Front
	m       *member
	conn    Conn
	state   connectionState
	probing bool          // a probe is out on it, or waits for it to come up
	kept    bool          // that probe is not the first command on it
	asked   time.Duration // when the probe was written
	attempt *attempt
	lru     *list.Element // its place among the idle connections; nil = it is not idle
}

// place puts an attempt on a connection: an idle one, or a new one.
func (f *Front) place(a *attempt) {
	m := a.to
	if c := f.takeIdle(m); c != nil {
		f.write(c, a)
		return
	}
	c := f.open(m)
	if c == nil { // this proxy's want, which tells nothing of the member
		f.abort(a, Reply{Result: logic.Moot})
		return
	}
	c.attempt, a.connection = a, c
	m.opening = append(m.opening, c)
}

// takeIdle gives a member's idle connection that was used last, or nil.
func (f *Front) takeIdle(m *member) *connection {
	for n := len(m.idle); n > 0; n = len(m.idle) {
		c := m.idle[n-1]
		if c.conn.Quiet() {
			m.idle = m.idle[:n-1]
			f.notIdle(c)
			return c
		}
		f.close(c) // an answer's second copy, or its end: nothing has been written yet
	}
	return nil
}

// notIdle takes a connection out of the order in which idle ones are closed.
func (f *Front) notIdle(c *connection) {
	f.Deadlines.Clear(&c.Deadline)
	if c.lru != nil {
		f.idle.Remove(c.lru)
		c.lru = nil
	}
}

// open starts a connection, if need be in the place of one that is idle elsewhere.
func (f *Front) open(m *member) *connection {
	if f.connections+f.opener.GivenUp() >= f.cfg.MaxConnections && !f.makeRoom() {
		f.Counters.NoRoom++
		if now := f.clock.Now(); f.fullAt == 0 || now-f.fullAt >= tellFull {
			f.fullAt = now
			slog.Warn("no room for another database connection", "open", f.connections, "given_up", f.opener.GivenUp())
		}
		return nil
	}
	f.connections++
	f.Counters.Opened++
	c := &connection{f: f, m: m}
	m.connections[c] = struct{}{}
	c.conn = f.opener.Open(m.address, c)
	f.Deadlines.Set(&c.Deadline, f.clock.Now()+f.cfg.ConnectTimeout, c.Down)
	return c
}

// makeRoom closes the connection that has been idle for longest, whatever it was used for.
func (f *Front) makeRoom() bool {
	oldest := f.idle.Front()
	if oldest == nil {
		return false
	}
	f.close(oldest.Value.(*connection))
	return true
}

// write sends an attempt over a connection that is up.
func (f *Front) write(c *connection, a *attempt) {
	f.Deadlines.Clear(&c.Deadline)
	if a.by > 0 && f.clock.Now() > a.by {
		c.attempt, a.connection = nil, nil
		f.rest(c)
		f.end(a, Reply{Result: logic.Moot})
		return
	}
	c.state, c.attempt, a.connection = connectionBusy, a, c
	if err := c.conn.Send(a.req.cmd, a.until-f.clock.Now()); err != nil {
		f.abort(a, Reply{Result: logic.ConnectFailed})
		return
	}
	a.sent = true
}

// close ends a connection and takes it out of all that it is in.
func (f *Front) close(c *connection) {
	if c.state == connectionClosed {
		return
	}
	c.state = connectionClosed
	f.connections--
	f.notIdle(c)
	c.conn.Close()
	m := c.m
	delete(m.connections, c)
	same := func(x *connection) bool { return x == c }
	m.idle, m.opening = slices.DeleteFunc(m.idle, same), slices.DeleteFunc(m.opening, same)
	if m.probe == c {
		m.probe = nil
	}
	f.forgetGone(m)
}

// rest makes a connection that is up free for the next attempt. One that waits for a connection of its own to
// come up takes it; the other is kept for the next.
func (f *Front) rest(c *connection) {
	m := c.m
	c.state = connectionIdle
	if m.state != logic.Ready || !c.conn.Quiet() {
		f.close(c)
		return
	}
	if i := slices.IndexFunc(m.opening, func(x *connection) bool { return x.attempt != nil }); i >= 0 {
		a := m.opening[i].attempt
		m.opening[i].attempt = nil
		f.write(c, a)
		return
	}
	m.idle = append(m.idle, c)
	c.lru = f.idle.PushBack(c)
	if f.cfg.IdleClose > 0 {
		f.Deadlines.Set(&c.Deadline, f.clock.Now()+time.Duration(idlePart*float64(f.cfg.IdleClose)), func() {
			f.Counters.ClosedIdle++
			f.close(c)
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
		f.ask(c)
		return
	}
	c.m.opening = slices.DeleteFunc(c.m.opening, func(x *connection) bool { return x == c })
	if a := c.attempt; a != nil {
		f.write(c, a)
		return
	}
	f.rest(c)
}

// Reply implements Listener.
func (c *connection) Reply(r Reply) {
	f := c.f
	switch c.state {
	case connectionOpening: // it did not come up, and nothing was written
		if r.Result != logic.Full {
			r.Result = logic.ConnectFailed
		}
		c.fail(r)
		return
	case connectionIdle, connectionClosed: // what nobody asked for makes the next answer doubtful
		c.Down()
		return
	}
	if c.probing {
		took := f.clock.Now() - c.asked
		c.probing, c.m.probe = false, nil
		f.rest(c)
		f.probed(c.m, r, took)
		return
	}
	a := c.attempt
	c.attempt, a.connection = nil, nil
	f.rest(c)
	f.end(a, r)
}

// Down implements Listener. Whether the last byte was written tells a request that never ran from one that may
// have. A kept connection may have ended before its probe, which then tells nothing of the member: it is asked again on
// a new one.
func (c *connection) Down() {
	if c.state == connectionClosed {
		return
	}
	if c.probing && c.kept && c.state == connectionBusy && c.m.state == logic.Ready {
		c.f.close(c)
		c.f.openProbe(c.m)
		return
	}
	r := Reply{Result: logic.Reset}
	if c.state == connectionOpening {
		r.Result = logic.ConnectFailed
	}
	c.fail(r)
}

// Spoilt implements Listener. The request may have run; a probe has told nothing, but its member lives.
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

// fail ends a connection and what is out on it.
func (c *connection) fail(r Reply) {
	a := c.attempt
	c.f.close(c)
	switch {
	case a != nil:
		c.f.end(a, r)
	case c.probing:
		c.f.probed(c.m, r, 0)
	}
}

// Probe implements logic.Actions. A probe has its connection to itself while it is out, an idle one or a new one, and its
// time counts from its writing: a ping is to measure the way, not a handshake or a request before it.
func (f *Front) Probe(to logic.MemberID) {
	m := f.members[to]
	if m == nil || m.probe != nil {
		f.notProbed(to)
		return
	}
	f.Counters.Probes++
	if c := f.takeIdle(m); c != nil {
		c.probing, c.kept, m.probe = true, true, c
		f.ask(c)
		return
	}
	f.openProbe(m)
}

// openProbe opens a connection whose first command is a probe.
func (f *Front) openProbe(m *member) {
	c := f.open(m)
	if c == nil {
		f.notProbed(m.id)
		return
	}
	c.probing, c.kept, m.probe = true, false, c
}

// notProbed tells that no probe went out; that says nothing of the member.
func (f *Front) notProbed(to logic.MemberID) {
	f.tell(func() { f.router.Probed(f.clock.Now(), logic.Probed{Member: to, Result: logic.Moot}) })
}

func (f *Front) ask(c *connection) {
	c.state, c.asked = connectionBusy, f.clock.Now()
	f.Deadlines.Set(&c.Deadline, c.asked+probeTimeout, func() { c.fail(Reply{Result: logic.TimedOut}) })
	if err := c.conn.Probe(); err != nil {
		c.fail(Reply{Result: logic.ConnectFailed})
	}
}

func (f *Front) probed(m *member, r Reply, took time.Duration) {
	if r.Result == logic.OK {
		f.Counters.ProbesOK++
	}
	m.heard(r, true)
	p := logic.Probed{Member: m.id, Result: r.Result, Took: took, Report: f.report(r)}
	f.tell(func() { f.router.Probed(f.clock.Now(), p) })
}

func (f *Front) report(r Reply) logic.Report {
	if !r.Load.Told {
		return logic.Report{Queue: -1}
	}
	return logic.Report{Role: r.Load.Role, Position: positionOf(f.clock, r.Load.Position), Queue: r.Load.Queue}
}
