package net

import (
	"bytes"
	"fmt"
	"io"
	stdnet "net"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// testTimeout only ends a test that hangs; no result depends on it.
const testTimeout = 20 * time.Second

var testConfig = logic.Config{Tick: time.Millisecond, Classes: []logic.Class{
	{Name: "any", RequiredFreshness: logic.FreshnessAny, TargetLatency: 10 * time.Second,
		ClientTimeout: 20 * time.Second}}}

// noopDiscovery is a state.Discovery that does nothing.
type noopDiscovery struct{}

func (noopDiscovery) Watch(bool) {}
func (noopDiscovery) Fetch()     {}

// adjustableClock is the system's clock, which a test may advance.
type adjustableClock struct {
	*state.SystemClock
	offset atomic.Int64
}

func (c *adjustableClock) Now() time.Duration {
	return c.SystemClock.Now() + time.Duration(c.offset.Load())
}

// advance moves the server's clock forward and wakes the loop, which then runs what is due.
func advance(s *Server, d time.Duration) {
	s.clock.(*adjustableClock).offset.Add(int64(d))
	s.loop.Post(func() {})
}

// newLoop returns a loop.
func newLoop(t *testing.T, clock state.Clock, deadlines *state.Deadlines, counters *state.Counters) *Loop {
	t.Helper()
	loop, err := NewLoop(clock, deadlines, counters)
	if err != nil {
		t.Fatal(err)
	}
	return loop
}

// startProxy runs a server on a port of its own, with one group whose only member is at the given address.
func startProxy(t *testing.T, member string, clients, excess int) (*Server, *state.Dispatcher, *Loop) {
	t.Helper()
	clock := &adjustableClock{SystemClock: state.NewSystemClock()}
	dialer := &DatabaseDialer{ConnectTimeout: testTimeout}
	dispatcher, err := state.New(state.Config{Logic: testConfig, MaxConnections: 16, ConnectTimeout: testTimeout},
		clock, dialer)
	if err != nil {
		t.Fatal(err)
	}
	loop := newLoop(t, clock, &dispatcher.Deadlines, &dispatcher.Counters)
	dialer.Loop, dialer.Counters = loop, &dispatcher.Counters
	s := NewServer(loop, clock, dispatcher, clients, excess, 32<<20)
	s.idleLimit = clients // so that a test closes clients for one reason only
	listen(t, s)
	loop.Post(func() {
		dispatcher.Start(noopDiscovery{}, state.List{Entries: []state.ListEntry{{Name: "m", Address: member, State: logic.Ready}}})
	})
	done := make(chan struct{})
	go func() { loop.Run(); close(done) }()
	t.Cleanup(func() {
		loop.Post(func() { s.Drain(); loop.Stop() })
		<-done
		if n := dispatcher.Counters.Panics; n > 0 {
			t.Errorf("%d panics were contained", n)
		}
	})
	return s, dispatcher, loop
}

// listen lets a server accept clients on a port of its own.
func listen(t *testing.T, s *Server) {
	t.Helper()
	if err := s.Bind("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	if err := s.Listen(); err != nil {
		t.Fatal(err)
	}
}

// startDatabase runs a minimal database that passes each query to respond, and closes the connection if that returns
// false. It returns the database's address.
func startDatabase(t *testing.T, respond func(conn stdnet.Conn, text string) bool) string {
	t.Helper()
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				peer := &peer{conn: conn}
				if _, err := peer.readNext(func(b []byte) (int, error) { _, n, err := pg.NextStartup(b); return n, err }); err != nil {
					return
				}
				conn.Write(pg.AppendStartupResponse(nil))
				for {
					m, err := peer.readMessage()
					if err != nil {
						return
					}
					text, _ := pg.QueryText(m)
					if !respond(conn, string(text)) {
						return
					}
				}
			}()
		}
	}()
	return ln.Addr().String()
}

// rowResponse returns a complete response with one row that holds the text.
func rowResponse(text string) []byte {
	value := append([]byte{0, 1, 0, 0, byte(len(text) >> 8), byte(len(text))}, text...)
	out := append([]byte{'D', 0, 0, byte((len(value) + 4) >> 8), byte(len(value) + 4)}, value...)
	return pg.AppendReadyForQuery(append(out, "C\x00\x00\x00\x0dSELECT 1\x00"...))
}

// echo responds to a query with its own text.
func echo(conn stdnet.Conn, text string) bool {
	_, err := conn.Write(rowResponse(text))
	return err == nil
}

// peer reads messages from a connection.
type peer struct {
	conn stdnet.Conn
	buf  []byte
}

// readNext returns the bytes of the next message, whose length parse determines.
func (p *peer) readNext(parse func([]byte) (int, error)) ([]byte, error) {
	for {
		n, err := parse(p.buf)
		if err != nil {
			return nil, err
		}
		if n > 0 {
			raw := p.buf[:n]
			p.buf = p.buf[n:]
			return raw, nil
		}
		in := make([]byte, 4096)
		if n, err = p.conn.Read(in); n == 0 {
			return nil, err
		}
		p.buf = append(p.buf, in[:n]...)
	}
}

// readMessage reads the next message.
func (p *peer) readMessage() (m pg.Message, err error) {
	_, err = p.readNext(func(b []byte) (n int, err error) { m, n, err = pg.Next(b); return n, err })
	return m, err
}

// dialProxy connects to a server.
func dialProxy(t *testing.T, s *Server) *peer {
	t.Helper()
	conn, err := stdnet.Dial("tcp", s.Address())
	if err != nil {
		t.Fatal(err)
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	t.Cleanup(func() { conn.Close() })
	return &peer{conn: conn}
}

// readMessages returns the types and bodies of the next n messages. At an error or the end of the connection it returns
// those before it and adds "!" to the types.
func (p *peer) readMessages(n int) (types string, bodies []string) {
	for len(types) < n {
		m, err := p.readMessage()
		if err != nil {
			return types + "!", bodies
		}
		types, bodies = types+string(m.Type), append(bodies, string(m.Body))
	}
	return types, bodies
}

// queryText returns a statement with a routing comment; the key is also the request's id.
func queryText(key string) string {
	return fmt.Sprintf("SELECT val FROM state WHERE uid = '%s' /* id=%[1]s,c=any,d=15000,cluster=0 */", key)
}

// startupResponseTypes are the types of the messages in response to a startup message.
const startupResponseTypes = "RSSSSZ"

func TestFragmentedPipelinedQueriesAreAnsweredInOrder(t *testing.T) {
	s, _, _ := startProxy(t, startDatabase(t, echo), 8, 1)
	in := pg.AppendStartup(nil, "client", "core")
	const queries = 200 // more than may be in progress; some are refused, in their place
	for i := range queries {
		if in = pg.AppendQuery(in, queryText(fmt.Sprint(i))); i%7 == 0 {
			in = pg.AppendQuery(in, "")
		}
	}
	p := dialProxy(t, s)
	go func() {
		for size := 1; len(in) > 0; size = size*5%1021 + 1 {
			n := min(size, len(in))
			p.conn.Write(in[:n])
			in = in[n:]
		}
	}()
	if types, _ := p.readMessages(len(startupResponseTypes)); types != startupResponseTypes {
		t.Fatalf("response to the startup message: %q", types)
	}
	for i := range queries {
		types, bodies := p.readMessages(1)
		if types == "D" {
			if types, _ = p.readMessages(1); types != "C" || !strings.Contains(bodies[0], fmt.Sprintf("'%d'", i)) {
				t.Fatalf("response %d is %q %q", i, bodies[0], types)
			}
		} else if types != "E" {
			t.Fatalf("response %d is %q", i, types)
		}
		if i%7 == 0 {
			if types, _ = p.readMessages(3); types != "ZIZ" {
				t.Fatalf("after response %d: %q", i, types)
			}
		} else if types, _ = p.readMessages(1); types != "Z" {
			t.Fatalf("after response %d: %q", i, types)
		}
	}
}

// A request with no time left gets a response like any other, and its connection stays open.
func TestRequestWithNoTimeLeftIsRefusedNotMalformed(t *testing.T) {
	s, _, _ := startProxy(t, startDatabase(t, echo), 8, 1)
	p := dialProxy(t, s)
	in := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), strings.Replace(queryText("a"), "d=15000", "d=0", 1))
	p.conn.Write(pg.AppendQuery(in, queryText("b")))
	if types, bodies := p.readMessages(len(startupResponseTypes) + 5); types != startupResponseTypes+"EZDCZ" ||
		!strings.Contains(bodies[6], "C"+pg.CodeTooManyConnections) {
		t.Errorf("%q, %q", types, bodies)
	}
}

// Queries that precede a protocol error have been accepted: their responses come first. The fatal error after them is
// complete.
func TestPendingResponsesPrecedeFatalError(t *testing.T) {
	s, _, _ := startProxy(t, startDatabase(t, echo), 8, 1)
	for _, invalid := range [][]byte{{'Q', 0xff, 0xff, 0xff, 0xff}, pg.AppendQuery(nil, "SELECT 1"), {'P', 0, 0, 0, 4},
		pg.AppendQuery(nil, strings.Replace(queryText("a"), "c=any", "c=unheard", 1))} {
		p := dialProxy(t, s)
		in := append(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), queryText("a")), invalid...)
		p.conn.Write(append(in, bytes.Repeat([]byte("x"), 1000)...))
		types, bodies := p.readMessages(99)
		if types != startupResponseTypes+"DCZE!" || !strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeProtocolViolation) {
			t.Errorf("after %q: %q, %q", invalid, types, bodies)
		}
	}
	p := dialProxy(t, s)
	p.conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	if types, _ := p.readMessages(99); types != "E!" {
		t.Errorf("response to garbage instead of a startup message: %q", types)
	}
}

// Clients that sent one query and kept their connection open used up the limit on clients, and new clients were
// rejected for as long as those stayed connected.
func TestIdleAndSilentClientsAreClosedToMakeRoom(t *testing.T) {
	s, _, _ := startProxy(t, startDatabase(t, echo), 4, 1)
	start := pg.AppendStartup(nil, "client", "core")
	startAndQuery := pg.AppendQuery(start, "")
	connectAndSend := func(in []byte, want string) *peer {
		t.Helper()
		p := dialProxy(t, s)
		p.conn.Write(in)
		if types, _ := p.readMessages(len(want)); types != want {
			t.Errorf("a client that sent %d bytes got %q, want %q", len(in), types, want)
		}
		return p
	}
	silent := connectAndSend(start, startupResponseTypes) // sends no query
	oldest := connectAndSend(startAndQuery, startupResponseTypes+"IZ")
	second := connectAndSend(startAndQuery, startupResponseTypes+"IZ")
	third := connectAndSend(startAndQuery, startupResponseTypes+"IZ")
	connectAndSend(startAndQuery, "E!").conn.Close()                // no client has been idle or silent for long enough
	for onLoop(s.loop, func() int { return s.listener.open }) > 4 { // it counts as open until it has closed its side too
	}
	advance(s, silentTimeout)
	connectAndSend(startAndQuery, startupResponseTypes+"IZ")
	advance(s, idleTimeout)
	second.conn.Write(pg.AppendQuery(nil, "")) // no longer idle
	second.readMessages(2)
	connectAndSend(startAndQuery, startupResponseTypes+"IZ")
	for name, p := range map[string]*peer{"silent": silent, "oldest": oldest} {
		if types, _ := p.readMessages(1); types != "!" {
			t.Errorf("the %s client got %q, want the end of its connection", name, types)
		}
	}
	for _, p := range []*peer{second, third} {
		p.conn.Write(pg.AppendQuery(nil, ""))
		if types, _ := p.readMessages(2); types != "IZ" {
			t.Errorf("a connected client got %q", types)
		}
	}
	advance(s, idleTimeout)
	first := connectAndSend(start, startupResponseTypes)
	connectAndSend(start, startupResponseTypes)
	connectAndSend(start, startupResponseTypes) // too many silent clients make room for others
	if types, _ := first.readMessages(1); types != "!" {
		t.Errorf("the first of too many silent clients got %q", types)
	}
}

// Idle clients were closed only when a new client exceeded the limit. A load balancer in front of the proxies opens
// no more than a share of its descriptors, so no new client came, and requests found no connection.
func TestIdleClientsAreClosedAboveIdleLimit(t *testing.T) {
	s, _, loop := startProxy(t, startDatabase(t, echo), 6, 1)
	loop.Post(func() { s.idleLimit = 2 })
	startAndQuery := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "")
	var connected []*peer
	for range 3 {
		p := dialProxy(t, s)
		p.conn.Write(startAndQuery)
		p.readMessages(len(startupResponseTypes) + 2)
		connected = append(connected, p)
	}
	advance(s, idleTimeout)
	if types, _ := connected[0].readMessages(1); types != "!" {
		t.Errorf("the first of three clients, of which two may stay, got %q", types)
	}
	for _, p := range connected[1:] {
		p.conn.Write(pg.AppendQuery(nil, ""))
		if types, _ := p.readMessages(2); types != "IZ" {
			t.Errorf("a client that may stay got %q", types)
		}
	}
}

// A client that sends nothing or only a part of a query is timed out; one whose request is in progress is not.
func TestSilentClientsAndPartialQueriesTimeOut(t *testing.T) {
	received, release := make(chan struct{}, 9), make(chan struct{})
	s, _, _ := startProxy(t, startDatabase(t, func(c stdnet.Conn, text string) bool {
		received <- struct{}{}
		<-release
		return echo(c, text)
	}), 40, 1)
	start := slices.Clip(pg.AppendStartup(nil, "client", "core"))
	startAndQuery := pg.AppendQuery(start, "")
	waiting := dialProxy(t, s)
	waiting.conn.Write(pg.AppendQuery(start, queryText("a")))
	waiting.readMessages(len(startupResponseTypes))
	<-received
	var timedOut []*peer
	for _, in := range [][]byte{{}, start[:9], start, startAndQuery[:len(startAndQuery)-1],
		append(slices.Clip(startAndQuery), 'Q', 0)} {
		p := dialProxy(t, s)
		p.conn.Write(in)
		timedOut = append(timedOut, p)
	}
	for seen := 0; seen < 9+5+2; { // until the partial messages have arrived
		got := make(chan int)
		s.loop.Post(func() { got <- s.bufferedBytes })
		seen = <-got
	}
	advance(s, queryTimeout)
	for i, p := range timedOut {
		if types, bodies := p.readMessages(99); !strings.HasSuffix(types, "E!") ||
			!strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeProtocolViolation) {
			t.Errorf("client %d got %q", i, types)
		}
	}
	close(release)
	if types, _ := waiting.readMessages(3); types != "DCZ" {
		t.Errorf("the client whose request was in progress got %q", types)
	}
}

// A client over the limit gets a complete error. A client that closes its connection no longer counts against the
// limit.
func TestExcessClientGetsCompleteError(t *testing.T) {
	s, _, _ := startProxy(t, startDatabase(t, echo), 1, 4)
	first := dialProxy(t, s)
	start := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), "")
	first.conn.Write(start)
	if types, _ := first.readMessages(len(startupResponseTypes) + 2); types != startupResponseTypes+"IZ" {
		t.Fatalf("the first client got %q", types)
	}
	second := dialProxy(t, s)
	second.conn.Write(start)
	if types, bodies := second.readMessages(99); types != "E!" || !strings.Contains(bodies[0], "C"+pg.CodeTooManyConnections) {
		t.Errorf("the second client got %q", types)
	}
	first.conn.Close() // the proxy accepts another client once it has noticed
	for {
		p := dialProxy(t, s)
		p.conn.Write(start)
		if types, _ := p.readMessages(len(startupResponseTypes)); types == startupResponseTypes {
			break
		}
	}
}

// A request that gets malformed data, or whose connection ends without a response, may have been executed: it must
// not count as unsent, and the client must get an error.
func TestMalformedOrMissingResponseFailsRequest(t *testing.T) {
	for name, respond := range map[string]func(stdnet.Conn, string) bool{
		"garbage": func(c stdnet.Conn, _ string) bool { c.Write([]byte("\x00\xff\xff\xff\xff nonsense")); return true },
		"closes":  func(stdnet.Conn, string) bool { return false },
		"no row": func(c stdnet.Conn, _ string) bool {
			c.Write(pg.AppendReadyForQuery([]byte("C\x00\x00\x00\x0dSELECT 1\x00")))
			return true
		},
	} {
		s, dispatcher, loop := startProxy(t, startDatabase(t, respond), 8, 1)
		p := dialProxy(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), queryText("a")))
		if types, _ := p.readMessages(len(startupResponseTypes) + 2); types != startupResponseTypes+"EZ" {
			t.Errorf("%s: the client got %q", name, types)
		}
		got := make(chan uint64)
		loop.Post(func() { got <- dispatcher.Counters.Reset })
		if n := <-got; n == 0 {
			t.Errorf("%s: no reset was counted", name)
		}
		loop.Post(func() { got <- dispatcher.Counters.MalformedReplies })
		if malformed := <-got > 0; malformed != (name != "closes") {
			t.Errorf("%s: counted as malformed: %v", name, malformed)
		}
	}
}

// A duplicate response or garbage after a response was mistaken for the response to the next request on that connection.
// The response before it is valid.
func TestDataAfterResponseIsNotMistakenForNextResponse(t *testing.T) {
	for name, extra := range map[string]func(response []byte) []byte{
		"a copy":      func(a []byte) []byte { return a },
		"half a copy": func(a []byte) []byte { return a[:len(a)/2] },
		"a byte":      func([]byte) []byte { return []byte("D") },
		"noise":       func([]byte) []byte { return []byte("\x00\xff\xff\xff\xff nonsense") },
	} {
		s, _, _ := startProxy(t, startDatabase(t, func(c stdnet.Conn, text string) bool {
			_, err := c.Write(append(rowResponse(text), extra(rowResponse(text))...))
			return err == nil
		}), 8, 1)
		p := dialProxy(t, s)
		p.conn.Write(pg.AppendStartup(nil, "client", "core"))
		p.readMessages(len(startupResponseTypes))
		for i := range 9 {
			p.conn.Write(pg.AppendQuery(nil, queryText(fmt.Sprint(i))))
			if types, bodies := p.readMessages(3); types != "DCZ" || !strings.Contains(bodies[0], fmt.Sprintf("'%d'", i)) {
				t.Fatalf("%s: request %d got %q %q", name, i, types, bodies)
			}
		}
	}
}

// A client that uses the id of another client's open request gets an error. A connection for which there is no
// descriptor is closed before the loop learns of it, but still makes the loop close silent clients.
func TestDuplicateRequestIDsAndConnectionBursts(t *testing.T) {
	received, release := make(chan struct{}), make(chan struct{})
	s, dispatcher, loop := startProxy(t, startDatabase(t, func(c stdnet.Conn, text string) bool {
		close(received)
		<-release
		return echo(c, text)
	}), 2, 0)
	in := pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), queryText("a"))
	first := dialProxy(t, s)
	first.conn.Write(in)
	<-received
	second := dialProxy(t, s)
	second.conn.Write(pg.AppendStartup(nil, "client", "core"))
	second.readMessages(len(startupResponseTypes))
	if types, _ := dialProxy(t, s).readMessages(1); types != "!" {
		t.Errorf("a client too many got %q", types)
	}
	advance(s, silentTimeout) // the connection closed for lack of a descriptor makes the loop close the silent client
	for {
		p := dialProxy(t, s)
		p.conn.Write(pg.AppendStartup(nil, "client", "core"))
		if types, _ := p.readMessages(len(startupResponseTypes)); types == startupResponseTypes {
			second = p
			break
		}
	}
	second.conn.Write(pg.AppendQuery(nil, queryText("a")))
	if types, bodies := second.readMessages(1); types != "E" || !strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeProtocolViolation) {
		t.Errorf("the second client got %q", types)
	}
	close(release)
	if types, _ := first.readMessages(len(startupResponseTypes) + 3); types != startupResponseTypes+"DCZ" {
		t.Errorf("the first client got %q", types)
	}
	got := make(chan uint64)
	loop.Post(func() { got <- dispatcher.Counters.Clients })
	if n := <-got; n != 3 {
		t.Errorf("the loop has seen %d clients, want 3: there were descriptors for 2 and later for 1 more", n)
	}
}

// A response that does not end fails the attempt long before the client's time is up.
func TestIncompleteResponseTimesOut(t *testing.T) {
	started := make(chan struct{})
	s, dispatcher, loop := startProxy(t, startDatabase(t, func(c stdnet.Conn, text string) bool {
		c.Write(rowResponse(text)[:9])
		close(started)
		return true
	}), 8, 1)
	p := dialProxy(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), queryText("a")))
	<-started
	if types, _ := p.readMessages(len(startupResponseTypes) + 2); types != startupResponseTypes+"EZ" {
		t.Errorf("the client got %q", types)
	}
	got := make(chan uint64)
	loop.Post(func() { got <- dispatcher.Counters.Reset })
	if n := <-got; n != 1 {
		t.Errorf("%d resets", n)
	}
}

// Connections that are refused or fail while being opened must not stay counted: after as many as the limit allows,
// no connection could be opened any more.
func TestFailedConnectionsAreNotCounted(t *testing.T) {
	s, _, loop := startProxy(t, "127.0.0.1:1", 8, 1)
	p := dialProxy(t, s)
	p.conn.Write(pg.AppendStartup(nil, "client", "core"))
	p.readMessages(len(startupResponseTypes))
	for i := range 40 { // more than the limit on connections
		p.conn.Write(pg.AppendQuery(nil, queryText(fmt.Sprint(i))))
		p.readMessages(2)
	}
	got := make(chan int)
	loop.Post(func() { got <- s.dispatcher.Connections() })
	if n := <-got; n != 0 {
		t.Errorf("%d connections are counted", n)
	}
}

// The kernel let the buffer of a database connection grow to megabytes while a response came that never ended.
func TestDatabaseReceiveBufferIsBounded(t *testing.T) {
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var deadlines state.Deadlines
	loop := newLoop(t, state.NewSystemClock(), &deadlines, &state.Counters{})
	dial(loop, ln.Addr().String(), testTimeout, nil, func(s *socket, err error) {
		defer loop.Stop()
		if err != nil {
			t.Error(err)
			return
		}
		defer s.close()
		got, err := syscall.GetsockoptInt(s.fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF)
		if err != nil || got != 2*receiveBufferBytes { // the kernel doubles the value; by default it lets the buffer grow
			t.Errorf("receive buffer of %d bytes, error %v; want a fixed size of %d", got, err, 2*receiveBufferBytes)
		}
	})
	loop.Run()
}

// A draining proxy must not drop input that it has read but not processed.
func TestDrainWaitsForPartialQuery(t *testing.T) {
	s, _, loop := startProxy(t, startDatabase(t, echo), 8, 1)
	p := dialProxy(t, s)
	start := pg.AppendStartup(nil, "client", "core")
	p.conn.Write(start)
	p.readMessages(len(startupResponseTypes))
	partial := pg.AppendQuery(nil, "")[:3]
	drained := func() bool {
		got := make(chan bool)
		loop.Post(func() { got <- s.CloseIdle(false) })
		return <-got
	}
	p.conn.Write(partial)
	for seen := false; !seen; { // until the proxy has the partial query
		got := make(chan bool)
		loop.Post(func() {
			for c := range s.clients {
				seen = c.input.size() == len(partial)
			}
			got <- seen
		})
		<-got
	}
	if drained() {
		t.Error("a client with a partial query was closed")
	}
	p.conn.Write(pg.AppendQuery(nil, "")[3:])
	if types, _ := p.readMessages(2); types != "IZ" {
		t.Errorf("its query got %q", types)
	}
	for !drained() {
	}
	if types, _ := p.readMessages(1); types != "!" {
		t.Errorf("the idle client got %q", types)
	}
}

// withInputUnread runs f on the loop for the only client. The loop reads nothing meanwhile, so that what f sends stays in
// the kernel's buffer.
func withInputUnread(t *testing.T, s *Server, f func(only *client)) {
	t.Helper()
	done := make(chan int)
	s.loop.Post(func() {
		for c := range s.clients {
			f(c)
		}
		done <- len(s.clients)
	})
	if clients := <-done; clients != 1 {
		t.Fatalf("%d clients are connected", clients)
	}
}

// dialServed connects a client and waits for the response to its first query.
func dialServed(t *testing.T, s *Server) *peer {
	t.Helper()
	p := dialProxy(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), queryText("a")))
	if types, _ := p.readMessages(len(startupResponseTypes) + 3); types != startupResponseTypes+"DCZ" {
		t.Fatalf("the client got %q", types)
	}
	return p
}

// A client that keeps sending while its connection is being closed loses no response by that, and none of its input is
// accepted. Closing with unread bytes used to reset the connection.
func TestInputDuringCloseIsReadButNotAccepted(t *testing.T) {
	s, dispatcher, loop := startProxy(t, startDatabase(t, echo), 8, 1)
	p := dialServed(t, s)
	withInputUnread(t, s, func(c *client) {
		c.closeIfIdle(false)
		p.conn.Write(pg.AppendQuery(nil, queryText("b"))) // the connection is closing, and the loop has seen none of this
	})
	if n, err := p.conn.Read(make([]byte, 1)); n != 0 || err != io.EOF {
		t.Fatalf("the client got %d bytes, error %v, want the end of its connection", n, err)
	}
	if _, err := p.conn.Write(pg.AppendQuery(nil, queryText("c"))); err != nil {
		t.Errorf("the connection was reset: %v", err)
	}
	p.conn.Close()
	for left := 1; left > 0; {
		got := make(chan bool)
		loop.Post(func() { left = len(s.clients); got <- dispatcher.Counters.Accepted > 1 })
		if <-got {
			t.Fatal("input during the close was accepted")
		}
	}
}

// Input that has arrived but has not been read delays closing: the client gets the response to it first.
func TestCloseWaitsForInputInKernelBuffer(t *testing.T) {
	s, _, _ := startProxy(t, startDatabase(t, echo), 8, 1)
	p := dialServed(t, s)
	withInputUnread(t, s, func(c *client) {
		p.conn.Write(pg.AppendQuery(nil, queryText("b")))
		if c.allInputSeen() {
			t.Error("the client may be closed to make room although it has sent a query")
		}
		c.closeIfIdle(false)
	})
	if types, _ := p.readMessages(3); types != "DCZ" {
		t.Errorf("the client got %q", types)
	}
}

// Many clients that each send a part of a large query must not exhaust the memory.
func TestTotalSizeOfPartialQueriesIsBounded(t *testing.T) {
	s, _, loop := startProxy(t, startDatabase(t, echo), 8, 1)
	set := make(chan struct{})
	loop.Post(func() { s.maxBufferedBytes = 30 << 10; close(set) })
	<-set
	start, partial := pg.AppendStartup(nil, "client", "core"), pg.AppendQuery(nil, strings.Repeat("x", 40<<10))[:20<<10]
	first, second := dialProxy(t, s), dialProxy(t, s)
	first.conn.Write(append(start, partial...))
	for buffered := 0; buffered < len(partial); { // until the proxy has the partial query
		got := make(chan int)
		loop.Post(func() { got <- s.bufferedBytes })
		buffered = <-got
	}
	second.conn.Write(append(start, partial...))
	if types, bodies := second.readMessages(99); types != startupResponseTypes+"E!" ||
		!strings.Contains(bodies[len(bodies)-1], "C"+pg.CodeTooManyConnections) {
		t.Errorf("the second client got %q", types)
	}
	first.conn.Close()
	for buffered := 1; buffered > 0; {
		got := make(chan int)
		loop.Post(func() { got <- s.bufferedBytes })
		buffered = <-got
	}
}

// Queries left in the buffer of a client whose connection has closed are not accepted.
func TestNoQueryIsAcceptedFromClosedClient(t *testing.T) {
	server, dispatcher, _ := startProxy(t, "127.0.0.1:1", 8, 1)
	c := &client{server: server, connState: stateClosed, input: buffer{storage: pg.AppendQuery(nil, queryText("a")), pool: &server.loop.clientBuffers}}
	onLoop(server.loop, func() bool { c.processInput(); return true })
	if dispatcher.Counters.Accepted != 0 || c.input.size() != 0 {
		t.Errorf("%d requests accepted, %d bytes left", dispatcher.Counters.Accepted, c.input.size())
	}
}

// A client that disconnects abandons its open request.
func TestClientDisconnectAbandonsRequest(t *testing.T) {
	received := make(chan struct{})
	s, dispatcher, loop := startProxy(t, startDatabase(t, func(c stdnet.Conn, _ string) bool {
		close(received)
		c.Read(make([]byte, 1)) // until the proxy cancels the attempt
		return false
	}), 8, 1)
	p := dialProxy(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), queryText("a")))
	<-received
	p.conn.Close()
	for { // until the loop has noticed
		got := make(chan uint64)
		loop.Post(func() { got <- dispatcher.Counters.Abandoned })
		if <-got == 1 {
			break
		}
	}
}

// An accept call may still use the listener's descriptor after its server has stopped. When the descriptor was
// closed, the next server's listener got the same number, and the stopped server accepted the next server's clients.
func TestStoppedServerDoesNotAcceptForNextServer(t *testing.T) {
	for range 50 {
		first := NewServer(newLoop(t, state.NewSystemClock(), &state.Deadlines{}, &state.Counters{}), nil, &state.Dispatcher{}, 1, 1, 1)
		listen(t, first)
		fd := first.listener.fd
		first.Drain()
		if _, err := stdnet.Dial("tcp", first.Address()); err == nil {
			t.Fatal("a stopped server accepts connections")
		}
		if _, err := syscall.GetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_TYPE); err != nil {
			t.Fatalf("the descriptor was closed while an accept call may still use it: %v", err)
		}
	}
}

// Silent clients with input that the loop had not seen stayed in the list of silent clients, and makeRoom examined them
// forever.
func TestSilentClientsSendingAtOnceDoNotBlockLoop(t *testing.T) {
	const clients = 8
	s, dispatcher, loop := startProxy(t, startDatabase(t, echo), clients, 1)
	var peers []*peer
	for range clients/silentDivisor + 1 {
		peers = append(peers, dialProxy(t, s))
	}
	for seen := 0; seen < len(peers); {
		got := make(chan int)
		loop.Post(func() { got <- int(dispatcher.Counters.Clients) })
		seen = <-got
	}
	blocked, release := make(chan struct{}), make(chan struct{})
	loop.Post(func() { close(blocked); <-release })
	<-blocked
	peers = append(peers, dialProxy(t, s)) // it waits in the kernel, and is accepted before the others' input is read
	for i, p := range peers {
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), queryText(fmt.Sprint(i))))
	}
	close(release)
	for i, p := range peers {
		if types, _ := p.readMessages(len(startupResponseTypes) + 3); types != startupResponseTypes+"DCZ" {
			t.Errorf("client %d got %s", i, types)
		}
	}
}
