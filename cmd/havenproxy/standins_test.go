package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"havenproxy/internal/wire/discovery"
	"havenproxy/internal/wire/pg"
)

// groupSize is the number of databases in a group: one primary and its replicas.
const groupSize = 6

// databaseFleet is a set of stand-in databases, each listening on a loopback port of its own.
type databaseFleet struct {
	servers []*databaseServer

	workTime time.Duration // how long a request takes
	value    string        // what a request returns; empty = the server's name
	// answerInstead, unless nil, returns the answer to a request after its work; nil = the connection is reset.
	answerInstead func(id string) []byte

	noise func(conn net.Conn) // unless nil, what every other server sends before its answers while noisy is set
	noisy atomic.Bool

	mu       sync.Mutex
	attempts map[string][]time.Time // when each attempt arrived at any server, by the request's id
}

// attemptsOf returns when the attempts of a request arrived.
func (f *databaseFleet) attemptsOf(id string) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.attempts[id])
}

// databaseServer is one stand-in database of a fleet.
type databaseServer struct {
	fleet   *databaseFleet
	name    string
	address string
	group   int
	primary bool
	noisy   bool // it takes part in the noise of the fleet

	mu          sync.Mutex
	connections int                  // accepted connections
	probes      int                  // queries for the load report
	arrivals    map[string]time.Time // when each request arrived, by its id
}

// startDatabases starts count databases, which stop at the end of the test.
func startDatabases(t *testing.T, count int, workTime time.Duration) *databaseFleet {
	t.Helper()
	fleet := &databaseFleet{workTime: workTime, attempts: map[string][]time.Time{}}
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		server := &databaseServer{fleet: fleet, name: fmt.Sprintf("s-%08x", i), address: listener.Addr().String(),
			group: i / groupSize, primary: i%groupSize == 0, noisy: i%2 == 1, arrivals: map[string]time.Time{}}
		fleet.servers = append(fleet.servers, server)
		go server.accept(listener)
	}
	return fleet
}

// accept serves connections until the listener is closed.
func (s *databaseServer) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connections++
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve greets a client and answers its queries until the connection ends.
func (s *databaseServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := &messageReader{conn: conn}
	if _, err := reader.read(func(b []byte) (int, error) { _, n, err := pg.NextStartup(b); return n, err }); err != nil {
		return
	}
	conn.Write(pg.AppendStartupResponse(nil))
	for {
		message, err := reader.next()
		if err != nil {
			return
		}
		text, _ := pg.QueryText(message)
		answer := s.answer(string(text))
		if answer == nil {
			conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if s.fleet.noisy.Load() && s.noisy {
			s.fleet.noise(conn)
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// answer returns the load report for a probe, and otherwise the server's name as the one value, after workTime where the
// query carries a routing comment. It returns nil if the connection is to be reset.
func (s *databaseServer) answer(text string) []byte {
	if text == "SHOW load" {
		s.mu.Lock()
		s.probes++
		s.mu.Unlock()
		role := 0
		if s.primary {
			role = 1
		}
		return pg.AppendReadyForQuery(appendRow(nil, fmt.Sprintf("x0=%.3f,x1=%d,queue=0,util=0.1",
			float64(time.Now().UnixMilli())/1000, role)))
	}
	if statement, err := pg.ParseStatement(text); err == nil {
		s.mu.Lock()
		s.arrivals[statement.ID] = time.Now()
		s.mu.Unlock()
		s.fleet.mu.Lock()
		s.fleet.attempts[statement.ID] = append(s.fleet.attempts[statement.ID], time.Now())
		s.fleet.mu.Unlock()
		time.Sleep(s.fleet.workTime)
		if s.fleet.answerInstead != nil {
			return s.fleet.answerInstead(statement.ID)
		}
	}
	return s.appendRole(appendRow(nil, cmp.Or(s.fleet.value, s.name)))
}

// appendRole appends the server's role and position and the end of the answer.
func (s *databaseServer) appendRole(dst []byte) []byte {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	for _, parameter := range []string{"role\x00" + role + "\x00",
		"applied_ms\x00" + strconv.FormatInt(time.Now().UnixMilli(), 10) + "\x00"} {
		dst = appendMessage(dst, 'S', parameter)
	}
	return pg.AppendReadyForQuery(dst)
}

// appendMessage appends a message of the PostgreSQL protocol.
func appendMessage(dst []byte, kind byte, body string) []byte {
	size := len(body) + 4
	return append(append(dst, kind, byte(size>>24), byte(size>>16), byte(size>>8), byte(size)), body...)
}

// appendRow appends an answer of one row with one value, without its ReadyForQuery message.
func appendRow(dst []byte, value string) []byte {
	dst = appendMessage(dst, 'T', "\x00\x01val\x00")
	size := len(value)
	dst = appendMessage(dst, 'D',
		"\x00\x01"+string([]byte{byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)})+value)
	return appendMessage(dst, 'C', "SELECT 1\x00")
}

// messageReader splits the bytes read from a connection into messages.
type messageReader struct {
	conn   net.Conn
	unread []byte // read from the connection and not yet returned
}

// read returns the bytes of the next message. Parse returns the length of the message at the front of its argument, or 0
// if the message is incomplete.
func (r *messageReader) read(parse func([]byte) (int, error)) ([]byte, error) {
	for {
		n, err := parse(r.unread)
		if err != nil {
			return nil, err
		}
		if n > 0 {
			out := r.unread[:n]
			r.unread = r.unread[n:]
			return out, nil
		}
		chunk := make([]byte, 4096)
		if n, err = r.conn.Read(chunk); n == 0 {
			return nil, err
		}
		r.unread = append(r.unread, chunk[:n]...)
	}
}

// next returns the next message after the startup message.
func (r *messageReader) next() (message pg.Message, err error) {
	_, err = r.read(func(b []byte) (n int, err error) { message, n, err = pg.Next(b); return n, err })
	return message, err
}

// discoveryService is a stand-in for the agent that serves the list of databases.
type discoveryService struct {
	address string

	mu         sync.Mutex
	generation int64
	members    map[string]discovery.Member
	changedIn  map[string]int64 // the generation in which a member last changed
	changed    chan struct{}    // closed by the next change
	calls      []string         // the URL of each call
	bytes      int              // total size of the response bodies
	alwaysFull bool             // each call gets the full list, in a new generation
}

// bytesSent returns the total size of the lists that were sent.
func (d *discoveryService) bytesSent() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}

// startDiscovery starts a service that lists all databases of the fleet as in service, in generation 1.
func startDiscovery(t *testing.T, fleet *databaseFleet) *discoveryService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := &discoveryService{address: listener.Addr().String(), generation: 1, members: map[string]discovery.Member{},
		changedIn: map[string]int64{}, changed: make(chan struct{})}
	for _, server := range fleet.servers {
		service.members[server.name] = server.listEntry(discovery.InService)
		service.changedIn[server.name] = 1
	}
	server := &http.Server{Handler: service}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return service
}

// startProxyOfFleet starts the discovery service of a fleet, and a proxy that knows its list, alone unless the options say how
// many proxies there are. It waits until the proxy is ready.
func startProxyOfFleet(t *testing.T, fleet *databaseFleet, options proxyOptions) (*proxyProcess, *discoveryService) {
	t.Helper()
	service := startDiscovery(t, fleet)
	options.initialList, _ = service.list(-1)
	options.discovery, options.fleetSize = service.address, cmp.Or(options.fleetSize, 1)
	p := startProxy(t, options)
	p.awaitReady(t, 5*time.Second)
	return p, service
}

// listEntry returns the server's entry in the list.
func (s *databaseServer) listEntry(lifecycle string) discovery.Member {
	return discovery.Member{ID: s.name, Address: s.address, Zone: "cairo-east", Group: s.group,
		Lifecycle: lifecycle, Weight: 1}
}

// setLifecycle changes the lifecycle of databases in one generation.
func (d *discoveryService) setLifecycle(lifecycle string, servers ...*databaseServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, server := range servers {
		d.members[server.name] = server.listEntry(lifecycle)
		d.changedIn[server.name] = d.generation
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// list returns the changes after a generation, or the full list if after is negative, and a channel that the next
// change closes.
func (d *discoveryService) list(after int64) (discovery.List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := discovery.List{Generation: d.generation, Full: after < 0, Members: []discovery.Member{}}
	for name, member := range d.members {
		if d.changedIn[name] > after && (!out.Full || member.Lifecycle != discovery.Terminated) {
			out.Members = append(out.Members, member)
		}
	}
	slices.SortFunc(out.Members, func(a, b discovery.Member) int { return strings.Compare(a.ID, b.ID) })
	return out, d.changed
}

// ServeHTTP implements http.Handler.
func (d *discoveryService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls = append(d.calls, r.URL.String())
	alwaysFull := d.alwaysFull
	if alwaysFull {
		d.generation++
	}
	d.mu.Unlock()
	after := int64(-1)
	if text := r.URL.Query().Get("after"); text != "" && !alwaysFull {
		after, _ = strconv.ParseInt(text, 10, 64)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	list, changed := d.list(after)
	if !list.Full && len(list.Members) == 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		list, _ = d.list(after)
	}
	text, _ := json.Marshal(list)
	d.mu.Lock()
	d.bytes += len(text)
	d.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	io.WriteString(w, string(text))
}
