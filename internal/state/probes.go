package state

import (
	"time"

	"havenproxy/logic"
)

// probeTimeout is how long a probe may take from its writing. Opening a connection for it is bounded by
// ConnectTimeout.
const probeTimeout = 250 * time.Millisecond

// Probe implements logic.Actions. A probe has exclusive use of an idle or new connection and is timed from its
// writing, so that the round-trip time includes neither the handshake nor an earlier request. Each member has at most
// one probe in progress.
func (d *Dispatcher) Probe(to logic.MemberID) {
	m := d.membersByID[to]
	if m == nil || m.probe != nil {
		d.reportProbeNotSent(to)
		return
	}
	d.Counters.Probes++
	if c := d.takeIdle(m); c != nil {
		c.probing, c.reused, m.probe = true, true, c
		d.writeProbe(c)
		return
	}
	d.openProbe(m)
}

// openProbe opens a connection whose first query is a probe.
func (d *Dispatcher) openProbe(m *member) {
	c := d.openConnection(m)
	if c == nil {
		d.reportProbeNotSent(m.id)
		return
	}
	c.probing, c.reused, m.probe = true, false, c
}

// reportProbeNotSent tells the router that no probe was sent, which says nothing about the member.
func (d *Dispatcher) reportProbeNotSent(to logic.MemberID) {
	d.notifyRouter(func() { d.router.ProbeResult(d.clock.Now(), logic.ProbeResult{Member: to, Result: logic.NotSent}) })
}

// writeProbe sends a probe on an established connection and sets its timeout.
func (d *Dispatcher) writeProbe(c *connection) {
	c.state, c.probeSentAt = connectionBusy, d.clock.Now()
	d.Deadlines.Set(&c.Deadline, c.probeSentAt+probeTimeout, func() { c.fail(Reply{Result: logic.TimedOut}) })
	if err := c.conn.Probe(); err != nil {
		c.fail(Reply{Result: logic.ConnectFailed})
	}
}

// finishProbe counts and logs the result of a probe and reports it to the router.
func (d *Dispatcher) finishProbe(m *member, r Reply, took time.Duration) {
	if r.Result == logic.OK {
		d.Counters.ProbesOK++
	}
	m.recordReply(r, true)
	p := logic.ProbeResult{Member: m.id, Result: r.Result, Took: took, Report: d.loadReport(r)}
	d.notifyRouter(func() { d.router.ProbeResult(d.clock.Now(), p) })
}

// loadReport converts the load report of a reply for the router.
func (d *Dispatcher) loadReport(r Reply) logic.Report {
	if !r.LoadReport.Present {
		return logic.Report{Queue: -1}
	}
	return logic.Report{Role: r.LoadReport.Role, Position: positionFromUnixSeconds(d.clock, r.LoadReport.Position),
		Queue: r.LoadReport.Queue}
}
