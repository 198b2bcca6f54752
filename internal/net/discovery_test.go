package net

import (
	"bytes"
	"fmt"
	stdnet "net"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/discovery"
)

// call is one that has come to an agent, with the connection on which to answer it.
type call struct {
	url  string
	conn *stdnet.TCPConn
}

func (c call) answer(body string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// agent is a discovery service that answers as the test says.
func agent(t *testing.T) (address string, calls chan call) {
	t.Helper()
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	calls = make(chan call, 99)
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { conn.Close() })
			go func() {
				for p := (&peer{conn: conn}); ; {
					head, err := p.next(func(b []byte) (int, error) {
						if at := bytes.Index(b, []byte("\r\n\r\n")); at >= 0 {
							return at + 4, nil
						}
						return 0, nil
					})
					if err != nil {
						return
					}
					calls <- call{strings.SplitN(string(head), " ", 3)[1], conn.(*stdnet.TCPConn)}
				}
			}()
		}
	}()
	return ln.Addr().String(), calls
}

// watcher is a proxy's discovery on a clock that the test puts forward.
type watcher struct {
	t *testing.T
	*Discovery
	now   *skipClock
	front *state.Front
	loop  *Loop
}

func watch(t *testing.T, address string, isAgent bool) *watcher {
	t.Helper()
	clock := &skipClock{SystemClock: state.NewClock()}
	cfg := settings
	cfg.Pull, cfg.Agent = true, isAgent
	front, err := state.New(state.Config{Logic: cfg, MaxConnections: 1, ConnectTimeout: patience}, clock, &Databases{})
	if err != nil {
		t.Fatal(err)
	}
	w := &watcher{t: t, now: clock, front: front, loop: NewLoop(clock, &front.Deadlines, &front.Counters)}
	w.Discovery = NewDiscovery(w.loop, clock, front, address, 3, isAgent)
	w.loop.Post(func() { front.Start(w.Discovery, state.List{}) })
	done := make(chan struct{})
	go func() { w.loop.Run(); close(done) }()
	t.Cleanup(func() { w.loop.Post(w.loop.Stop); <-done })
	return w
}

// seen reads something on the loop.
func (w *watcher) seen(what func() int) int {
	got := make(chan int)
	w.loop.Post(func() { got <- what() })
	return <-got
}

func (w *watcher) failures() int {
	return w.seen(func() int { return int(w.front.Counters.ListFailures) })
}

// until lets time pass in small steps until something is so, and tells how much has passed.
func (w *watcher) until(so func() bool) time.Duration {
	const step = 5 * time.Millisecond
	passed := time.Duration(0)
	for ; !so(); passed += step {
		if passed > time.Minute {
			w.t.Fatal("nothing came of a minute")
		}
		w.now.skipped.Add(int64(step))
		w.seen(func() int { return 0 }) // the loop has looked at what is due
	}
	return passed
}

// calling tells whether a call is out.
func (w *watcher) calling() bool {
	return w.seen(func() int {
		if w.cancel != nil {
			return 1
		}
		return 0
	}) == 1
}

const oneListed = `{"generation":%d,"reset":%t,"instances":[{"instanceId":"a","lifecycle":"in_service"}]}`

// An answer is taken in every form that HTTP allows, in pieces, and its generation asked after.
func TestDiscoveryTakesWholeAnswersInAnyForm(t *testing.T) {
	body := "{\n  \"generation\": 5,\n  \"reset\": true,\n  \"instances\": [\n    {\n      \"instanceId\": \"a\",\n      \"lifecycle\": \"in_service\"\n    }\n  ]\n}\n"
	for name, answer := range map[string]string{
		"length":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"chunked": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x;q=1\r\n%s\r\n0\r\n\r\n", 9, body[:9], len(body)-9, body[9:]),
		"close":   "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		"old":     "HTTP/1.0 200 OK\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			address, calls := agent(t)
			watch(t, address, true)
			c := <-calls
			if c.url != "/v1/endpoints?after=3&wait_ms=50" {
				t.Errorf("the first call is %s", c.url)
			}
			for i := range answer {
				c.conn.Write([]byte(answer[i : i+1]))
			}
			if name == "close" || name == "old" {
				c.conn.CloseWrite()
			}
			if c := <-calls; c.url != "/v1/endpoints?after=5&wait_ms=1500" {
				t.Errorf("the second call is %s", c.url)
			}
		})
	}
}

// No list is taken from an answer that is cut short, not even one that would pass for whole, nor from what is none.
func TestDiscoveryTakesNothingFromTornAnswers(t *testing.T) {
	body := fmt.Sprintf(oneListed, 9, true)
	for name, answer := range map[string]string{
		"half":           "HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n" + body,
		"half chunked":   fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(body), body),
		"cut JSON":       "HTTP/1.1 200 OK\r\n\r\n" + body[:len(body)-1],
		"no HTTP":        "nonsense\r\n\r\n" + body,
		"bad length":     "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n" + body,
		"bad status":     "HTTP/1.1 abc\r\n\r\n" + body,
		"long head":      "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 2<<20) + "\r\n\r\n" + body,
		"too long":       "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat(" ", discovery.MaxBody) + body,
		"busy":           "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
		"gone elsewhere": "HTTP/1.1 302 Found\r\nLocation: /v1/others\r\nContent-Length: 0\r\n\r\n",
		"reset":          "HTTP/1.1 200 OK\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			address, calls := agent(t)
			w := watch(t, address, true)
			c := <-calls
			c.conn.Write([]byte(answer))
			if name == "reset" {
				c.conn.SetLinger(0)
				c.conn.Close()
			}
			c.conn.CloseWrite()
			for w.failures() == 0 { // at once: no time passes
			}
			w.until(w.calling)
			if c := <-calls; c.url != "/v1/endpoints?after=3&wait_ms=50" {
				t.Errorf("the next call is %s", c.url)
			}
		})
	}
}

// What passes between the last answer and the next one stays inside what is allowed, also where the call after a
// silent watch fails too. The watch used to wait 12 s, and the pause behind it up to 4 s.
func TestDiscoveryIsAskedAnewInTime(t *testing.T) {
	for _, isAgent := range []bool{false, true} {
		address, calls := agent(t)
		w := watch(t, address, isAgent)
		(<-calls).answer(fmt.Sprintf(oneListed, 5, true))
		silent := <-calls
		passed := w.until(func() bool { return w.failures() == 1 })
		if passed < watchWait {
			t.Errorf("the watch was given up after %v", passed)
		}
		anew := w.until(w.calling)
		if silent.conn == (<-calls).conn {
			t.Error("asked anew on the connection that has fallen silent")
		}
		anew += w.until(func() bool { return w.failures() == 2 }) + w.until(w.calling)
		c := <-calls
		if passed += anew; passed > 5500*time.Millisecond || isAgent && anew > 600*time.Millisecond {
			t.Errorf("agent %v: asked for the last time %v after the watch began, %v after it was given up", isAgent, passed, anew)
		}
		silent.answer(fmt.Sprintf(oneListed, 99, true)) // too late
		c.answer(fmt.Sprintf(oneListed, 6, true))
		if c := <-calls; c.url != "/v1/endpoints?after=6&wait_ms=1500" {
			t.Errorf("then it calls %s", c.url)
		}
	}
}

// A call that is reset is made again: at once where the connection had served before and may have been ended for
// that, else within a drain's grace.
func TestDiscoveryIsAskedAnewAfterAReset(t *testing.T) {
	address, calls := agent(t)
	w := watch(t, address, true)
	reset := func(c call) {
		c.conn.SetLinger(0)
		c.conn.Close()
	}
	reset(<-calls)
	for w.failures() == 0 {
	}
	if passed := w.until(w.calling); passed > 150*time.Millisecond {
		t.Errorf("asked anew after %v", passed)
	}
	(<-calls).answer(fmt.Sprintf(oneListed, 5, true))
	reset(<-calls)
	if c := <-calls; !strings.HasPrefix(c.url, "/v1/endpoints?after=5&") {
		t.Errorf("then it calls %s", c.url)
	}
	if got := w.failures(); got != 1 {
		t.Errorf("%d failures told, want the first", got)
	}
}

// A list older than the one in hand would undo a drain: the whole one is asked for, and counts as it comes.
func TestDiscoveryDoesNotGoBack(t *testing.T) {
	address, calls := agent(t)
	w := watch(t, address, true)
	(<-calls).answer(`{"generation":5,"reset":true,"instances":[{"instanceId":"a","lifecycle":"terminating"}]}`)
	(<-calls).answer(fmt.Sprintf(oneListed, 4, true))
	for w.failures() == 0 {
	}
	w.until(w.calling)
	c := <-calls
	if c.url != "/v1/endpoints" {
		t.Errorf("then it calls %s", c.url)
	}
	c.answer(fmt.Sprintf(oneListed, 4, true))
	if c := <-calls; c.url != "/v1/endpoints?after=4&wait_ms=1500" {
		t.Errorf("at last it calls %s", c.url)
	}
}

// After a move, what the old address still says is void, and the new one is asked for the whole list at once.
func TestDiscoveryMovesAtOnce(t *testing.T) {
	address, calls := agent(t)
	next, nextCalls := agent(t)
	w := watch(t, address, true)
	old := <-calls
	w.loop.Post(func() { w.Move(next) })
	c := <-nextCalls
	if c.url != "/v1/endpoints" {
		t.Errorf("the new address gets %s", c.url)
	}
	old.answer(fmt.Sprintf(oneListed, 99, true))
	c.answer(fmt.Sprintf(oneListed, 2, true))
	if c := <-nextCalls; c.url != "/v1/endpoints?after=2&wait_ms=1500" {
		t.Errorf("then it gets %s", c.url)
	}
	if got := w.seen(func() int { return int(w.generation) }); got != 2 {
		t.Errorf("generation %d, want the new address's", got)
	}
}

var _ state.Watcher = (*Discovery)(nil)

// send writes a piece of an answer's body and waits until it has been read.
func (w *watcher) send(c call, progress *callProgress, piece string) {
	w.t.Helper()
	sentAt := w.now.Now()
	fmt.Fprint(c.conn, piece)
	for end := time.Now().Add(patience); progress.lastByte.Load() < int64(sentAt); time.Sleep(100 * time.Microsecond) {
		if time.Now().After(end) {
			w.t.Fatal("a piece of the answer was never read")
		}
	}
}

// inHand gives the progress of the call that is out.
func (w *watcher) inHand() *callProgress {
	got := make(chan *callProgress)
	w.loop.Post(func() { got <- w.progress })
	return <-got
}

func TestLongListThatKeepsComingIsNotGivenUp(t *testing.T) {
	for _, isAgent := range []bool{true, false} {
		address, calls := agent(t)
		w := watch(t, address, isAgent)
		c := <-calls
		body := fmt.Sprintf(oneListed, 9, true) + strings.Repeat(" ", 4000)
		fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
		progress := w.inHand()
		for sent := 0; sent < len(body); sent += 1000 { // each piece comes in time, the last one after the patience
			piece := body[sent:min(sent+1000, len(body))]
			w.send(c, progress, piece)
			w.now.skipped.Add(int64(130 * time.Millisecond))
			w.seen(func() int { return 0 })
		}
		if n := w.failures(); n > 0 {
			t.Errorf("agent %v: the call was given up %d times", isAgent, n)
		}
	}
}

func TestHalfAListThatStopsIsGivenUpAsSoonAsASilentCall(t *testing.T) {
	address, calls := agent(t)
	w := watch(t, address, true)
	c := <-calls
	fmt.Fprint(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n")
	w.send(c, w.inHand(), "{")
	passed := w.until(func() bool { return w.failures() > 0 })
	if most := firstWait + agentPatience + 50*time.Millisecond; passed > most {
		t.Errorf("given up after %v, want %v at most", passed, most)
	}
}
