package main

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"havenproxy/internal/wire/pg"
)

// otherClients send requests at a constant rate, on connections that they keep; some open a new one.
type otherClients struct {
	proxy *proxyProcess
	sent  int

	mu      sync.Mutex
	idle    []*otherConn
	answers []request // since the last call of takeResults
	all     []request
	running sync.WaitGroup

	slowestDial time.Duration
	slowDials   int
	stoppedAt   time.Time // when the proxy was told to stop; zero = not yet

	// leavesAfter returns after what time a client closes its connection although it has no answer; unless nil, and 0 = never.
	leavesAfter func() time.Duration
}

// otherConn is a connection of otherClients.
type otherConn struct {
	net.Conn
	reader messageReader
	ended  bool // a fatal error has come
	// greeted says that something has come from the proxy: it has not shut the connection unread.
	greeted bool
}

// slowDial is the time in which a connection comes up unless the kernel has dropped its first packet.
const slowDial = 500 * time.Millisecond

// stopServesFor is how long after SIGTERM requests still have to be answered; clients that send later may find nobody.
const stopServesFor = 700 * time.Millisecond

// answerTimeout is how long clients of these tests wait for an answer at most, whatever their requests say.
const answerTimeout = 5 * time.Second

// newConnEvery is which requests open a new connection although others are idle.
const newConnEvery = 8

// otherWaits are how long clients wait for their answers.
var otherWaits = []time.Duration{223 * time.Millisecond, 313 * time.Millisecond, 446 * time.Millisecond, 300 * time.Millisecond}

// run sends one request per interval for the given duration, and waits for their answers.
func (o *otherClients) run(duration, interval time.Duration) {
	classes := []string{"any", "session", "bounded", "any", "write"}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		r := request{id: 1<<50 + o.sent, group: o.sent % 2, class: classes[o.sent%len(classes)], timeout: otherWaits[o.sent%len(otherWaits)]}
		fresh := o.sent%newConnEvery == 0
		o.sent++
		r.sentAt = time.Now()
		if o.leavesAfter != nil {
			if after := o.leavesAfter(); after > 0 {
				r.leavesAt = r.sentAt.Add(after)
			}
		}
		o.running.Go(func() {
			r.answer = o.ask(r, fresh)
			o.mu.Lock()
			o.answers, o.all = append(o.answers, r), append(o.all, r)
			o.mu.Unlock()
		})
	}
	o.running.Wait()
}

// ask sends a request on a connection that is idle, or a new one. If the connection ends without an answer it sends it once
// more on a new connection, as the proxy may have closed it meanwhile.
func (o *otherClients) ask(r request, fresh bool) answer {
	query := readQuery(r.id, r.class, r.timeout, r.group)
	if r.class == "write" {
		query = writeQuery(r.id, r.timeout, r.group)
	}
	dialed := time.Now()
	conn, err := o.connection(fresh)
	begin := time.Now() // the client's time counts from when it sends the request
	end := begin.Add(answerTimeout)
	if !r.leavesAt.IsZero() {
		end = r.leavesAt
	}
	var got answer
	if err == nil {
		if got = conn.ask(query, end); got.lost {
			conn.Close()
			if time.Now().Before(end) {
				if conn, err = o.connection(true); err == nil {
					got = conn.ask(query, end)
				}
			}
		}
	}
	o.recordDial(begin.Sub(dialed))
	if err != nil {
		got = answer{code: err.Error(), lost: true, unreached: true}
	}
	got.took = time.Since(begin)
	if conn != nil && got.lost {
		conn.Close()
	}
	if conn != nil && !got.lost && !conn.ended {
		o.mu.Lock()
		o.idle = append(o.idle, conn)
		o.mu.Unlock()
	}
	return got
}

// recordDial records how long it took to connect.
func (o *otherClients) recordDial(took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.slowestDial = max(o.slowestDial, took); took > slowDial {
		o.slowDials++
	}
}

// connection returns an idle connection, or a new one.
func (o *otherClients) connection(fresh bool) (*otherConn, error) {
	o.mu.Lock()
	if last := len(o.idle) - 1; last >= 0 && !fresh {
		conn := o.idle[last]
		o.idle = o.idle[:last]
		o.mu.Unlock()
		return conn, nil
	}
	o.mu.Unlock()
	conn, err := net.DialTimeout("tcp", o.proxy.address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	out := &otherConn{Conn: conn}
	out.reader.conn = conn
	_, err = conn.Write(startupAnd(nil))
	return out, err
}

// ask sends a query and reads its answer.
func (c *otherConn) ask(query string, end time.Time) (out answer) {
	c.SetDeadline(end)
	if _, err := c.Write(pg.AppendQuery(nil, query)); err != nil {
		return answer{code: err.Error(), lost: true, unreached: !c.greeted}
	}
	answered := false
	for {
		message, err := c.reader.next()
		if err != nil {
			return answer{code: err.Error(), lost: true, unreached: !c.greeted}
		}
		c.greeted = true
		switch message.Type {
		case 'C':
			answered = true
		case 'E':
			answered = true
			_, code, _ := strings.Cut(string(message.Body), "\x00C")
			out.code = code[:min(5, len(code))]
			if c.ended = strings.HasPrefix(string(message.Body), "SFATAL\x00"); c.ended {
				c.Close()
				return out
			}
		case 'Z':
			if answered { // else it ends the greeting
				return out
			}
		}
	}
}

// takeResults returns how the requests since the last call ended.
func (o *otherClients) takeResults() (out floodResult) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var took []time.Duration
	out.LostBy = map[string]int{}
	for _, r := range o.answers {
		if r.lost && !r.leavesAt.IsZero() {
			out.Left++
			continue
		}
		if r.lost && (r.unreached || !o.stoppedAt.IsZero() && r.sentAt.After(o.stoppedAt.Add(stopServesFor))) {
			out.Unreached++
		}
		out.Sent++
		took = append(took, r.took)
		switch {
		case r.lost:
			out.Late++
			_, cause, _ := strings.Cut(r.code, ": ")
			out.LostBy[cmp.Or(cause, r.code)]++
		case r.code == "":
			out.Served++
		case r.code == pg.CodeTooManyConnections || r.code == pg.CodeCannotConnectNow:
			out.Refused++
		default:
			out.Failed++
		}
		late := r.took - r.timeout
		out.WorstLateMS = max(out.WorstLateMS, milliseconds(late))
		switch {
		case r.lost || late > lateAllowance:
			out.Lost++
		case r.code == "" && late <= socketSlack:
			out.ServedInTime++
		}
		if !r.lost && late > socketSlack {
			out.Late++
		}
	}
	out.SlowDials, out.SlowestDialMS = o.slowDials, milliseconds(o.slowestDial)
	o.answers, o.slowDials, o.slowestDial = nil, 0, 0
	slices.Sort(took)
	if n := len(took); n > 0 {
		out.MedianMS, out.P99MS, out.LatestMS = milliseconds(took[n/2]), milliseconds(took[n*99/100]), milliseconds(took[n-1])
	}
	return out
}
