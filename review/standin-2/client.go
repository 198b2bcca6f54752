package main

import (
	"bufio"
	"cmp"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

func notifyEnd(c chan os.Signal) { signal.Notify(c, syscall.SIGTERM, syscall.SIGINT) }

// conn is a connection of a usual client.
type conn struct {
	conn net.Conn
	r    *bufio.Reader
	used int // requests answered on it

	starting bool // the answer to the startup message is not read yet
}

// open connects to the proxy and sends the startup message. Its answer is read with that to the first request.
func open(l *lab) (*conn, error) {
	c, err := net.DialTimeout("tcp", l.listen, time.Second)
	if err != nil {
		return nil, err
	}
	if _, err := c.Write(startupMessage()); err != nil {
		c.Close()
		return nil, err
	}
	return &conn{conn: c, r: bufio.NewReader(c), starting: true}, nil
}

// dial connects to the proxy and completes the startup.
func dial(l *lab) (*conn, error) {
	c, err := net.DialTimeout("tcp", l.listen, time.Second)
	if err != nil {
		return nil, err
	}
	out := &conn{conn: c, r: bufio.NewReader(c)}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err = c.Write(startupMessage()); err == nil {
		var kind byte
		var body []byte
		for kind != 'Z' && err == nil {
			if kind, body, err = readMessage(out.r); kind == 'E' {
				err = fmt.Errorf("error %s at the startup", errorCode(body))
			}
		}
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	c.SetDeadline(time.Time{})
	return out, nil
}

func (c *conn) emptyQuery() bool {
	c.conn.SetDeadline(time.Now().Add(time.Second))
	defer c.conn.SetDeadline(time.Time{})
	if _, err := c.conn.Write(message('Q', "\x00")); err != nil {
		return false
	}
	for {
		kind, _, err := readMessage(c.r)
		if err != nil || kind == 'Z' {
			return err == nil
		}
	}
}

// answer is the final answer to a request. Code is "" if it was served, an SQLSTATE, "closed" if the connection ended
// without an answer, or "none" if none came in time.
type answer struct {
	code, value string
	after       time.Duration // from the sending of the request's last byte
}

// request is one request of a usual client.
type request struct {
	id, class, key string
	write          bool
	d              time.Duration
	group          int
	value          string // the value that a write carries, in hexadecimal; "" = a short one
	sentAt         time.Time
	answer         answer
}

// text returns the request's statement.
func (q *request) text() string {
	comment := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=%d */", q.id, q.class, q.d.Milliseconds(), q.group)
	if q.write {
		return fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%s', '\\x%s') RETURNING val %s", q.key, cmp.Or(q.value, "9f03"), comment)
	}
	return fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' %s", q.key, comment)
}

// ask sends a request and waits for its answer, for patience longer than the request's own time.
func (c *conn) ask(q *request, patience time.Duration) {
	q.sentAt = time.Now()
	c.conn.SetDeadline(q.sentAt.Add(q.d + patience))
	_, err := c.conn.Write(message('Q', q.text()+"\x00"))
	q.sentAt = time.Now()
	q.answer.code = "closed"
	served := false
	for err == nil {
		var kind byte
		var body []byte
		if kind, body, err = readMessage(c.r); err != nil {
			break
		}
		switch kind {
		case 'D':
			q.answer.value = rowValue(body)
		case 'C':
			served = true
		case 'E':
			q.answer.code = errorCode(body)
		case 'Z':
			if c.starting {
				c.starting = false
				continue
			}
			if served {
				q.answer.code = ""
			}
			q.answer.after = time.Since(q.sentAt)
			c.used++
			return
		}
	}
	q.answer.after = time.Since(q.sentAt)
	if e, ok := err.(net.Error); ok && e.Timeout() {
		q.answer.code = "none"
	}
}

// load is a stream of requests of usual clients at a steady rate. They keep connections and open another when all are busy;
// a request that crosses the end of a resting connection is sent once more on a new one.
type load struct {
	lab      *lab
	rate     float64
	classes  []class
	groups   int
	patience time.Duration
	mu       sync.Mutex
	free     []*conn
	requests []*request
	wait     sync.WaitGroup
	shares   []float64 // of the classes
}

// run sends requests for the given time and waits for their answers.
func (g *load) run(span time.Duration) {
	rng := rand.New(rand.NewPCG(7, 7))
	begin := time.Now()
	for i := 0; ; i++ {
		due := begin.Add(time.Duration(float64(i) / g.rate * float64(time.Second)))
		if due.Sub(begin) > span {
			break
		}
		time.Sleep(time.Until(due))
		draw, k := rng.Float64(), 0
		for ; k < len(g.shares)-1 && draw >= g.shares[k]; k++ {
			draw -= g.shares[k]
		}
		c := g.classes[k]
		q := &request{id: fmt.Sprintf("%016x", rng.Uint64()), class: c.name, key: fmt.Sprintf("%016x", rng.Uint64()),
			write: c.freshness == "write", group: rng.IntN(g.groups), d: time.Duration(c.limit) * time.Microsecond}
		g.mu.Lock()
		g.requests = append(g.requests, q)
		g.mu.Unlock()
		g.wait.Add(1)
		go func() {
			defer g.wait.Done()
			g.send(q)
		}()
	}
	g.wait.Wait()
}

func (g *load) send(q *request) {
	for try := 0; try < 2; try++ {
		g.mu.Lock()
		var c *conn
		if n := len(g.free); n > 0 && try == 0 {
			c, g.free = g.free[n-1], g.free[:n-1]
		}
		g.mu.Unlock()
		if c == nil {
			var err error
			if c, err = open(g.lab); err != nil {
				q.answer.code = "unreachable"
				g.lab.record("client: id=%s could not connect: %v", q.id, err)
				return
			}
		}
		resting := c.used > 0
		c.ask(q, g.patience)
		g.lab.record("client: id=%s c=%s d=%d cluster=%d sent at %.3f, answer %q after %.3f s", q.id, q.class,
			q.d.Milliseconds(), q.group, q.sentAt.Sub(g.lab.begin).Seconds(), q.answer.code, q.answer.after.Seconds())
		if q.answer.code == "closed" || q.answer.code == "none" {
			c.conn.Close()
			if q.answer.code == "closed" && resting && q.answer.after < 50*time.Millisecond {
				continue // it crossed the end of a resting connection
			}
			return
		}
		g.mu.Lock()
		g.free = append(g.free, c)
		g.mu.Unlock()
		return
	}
}
