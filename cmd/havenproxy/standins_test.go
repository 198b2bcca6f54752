package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"havenproxy/internal/wire/discovery"
	"havenproxy/internal/wire/pg"
)

// groupSize is how many databases of the fleet hold the same data: one primary and its replicas.
const groupSize = 6

// databaseFleet stands in for databases, each listening on a loopback port of its own.
type databaseFleet struct {
	servers []*databaseServer

	workTime time.Duration // what a request takes
}

// databaseServer is one database of a fleet.
type databaseServer struct {
	fleet   *databaseFleet
	name    string
	address string
	group   int
	primary bool

	mu          sync.Mutex
	connections int                  // that were accepted
	probes      int                  // load reports that were asked for
	arrivals    map[string]time.Time // by the request's id
}

// startDatabases starts so many databases; they stop with the test.
func startDatabases(t *testing.T, count int, workTime time.Duration) *databaseFleet {
	t.Helper()
	fleet := &databaseFleet{workTime: workTime}
	for i := range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { listener.Close() })
		server := &databaseServer{fleet: fleet, name: fmt.Sprintf("s-%08x", i), address: listener.Addr().String(),
			group: i / groupSize, primary: i%groupSize == 0, arrivals: map[string]time.Time{}}
		fleet.servers = append(fleet.servers, server)
		go server.accept(listener)
	}
	return fleet
}

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

func (s *databaseServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := &messageReader{conn: conn}
	if _, err := reader.cut(func(b []byte) (int, error) { _, n, err := pg.NextOpening(b); return n, err }); err != nil {
		return
	}
	conn.Write(pg.AppendWelcome(nil))
	for {
		message, err := reader.next()
		if err != nil {
			return
		}
		text, _ := pg.QueryText(message)
		if _, err := conn.Write(s.answer(string(text))); err != nil {
			return
		}
	}
}

func (s *databaseServer) answer(text string) []byte {
	if text == "SHOW load" {
		s.mu.Lock()
		s.probes++
		s.mu.Unlock()
		role := 0
		if s.primary {
			role = 1
		}
		return pg.AppendReady(appendRow(nil, fmt.Sprintf("x0=%.3f,x1=%d,queue=0,util=0.1",
			float64(time.Now().UnixMilli())/1000, role)))
	}
	if statement, err := pg.ParseStatement(text); err == nil {
		s.mu.Lock()
		s.arrivals[statement.ID] = time.Now()
		s.mu.Unlock()
		time.Sleep(s.fleet.workTime)
	}
	return s.appendRole(appendRow(nil, s.name))
}

// appendRole tells role and position, and that the answer ends.
func (s *databaseServer) appendRole(dst []byte) []byte {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	for _, parameter := range []string{"role\x00" + role + "\x00",
		"applied_ms\x00" + strconv.FormatInt(time.Now().UnixMilli(), 10) + "\x00"} {
		dst = appendMessage(dst, 'S', parameter)
	}
	return pg.AppendReady(dst)
}

func appendMessage(dst []byte, kind byte, body string) []byte {
	size := len(body) + 4
	return append(append(dst, kind, byte(size>>24), byte(size>>16), byte(size>>8), byte(size)), body...)
}

func appendRow(dst []byte, value string) []byte {
	dst = appendMessage(dst, 'T', "\x00\x01val\x00")
	size := len(value)
	dst = appendMessage(dst, 'D', "\x00\x01"+string([]byte{byte(size >> 24), byte(size >> 16), byte(size >> 8), byte(size)})+value)
	return appendMessage(dst, 'C', "SELECT 1\x00")
}

// messageReader cuts messages off what a connection brings.
type messageReader struct {
	conn net.Conn
	left []byte
}

func (r *messageReader) cut(parse func([]byte) (int, error)) ([]byte, error) {
	for {
		n, err := parse(r.left)
		if err != nil {
			return nil, err
		}
		if n > 0 {
			out := r.left[:n]
			r.left = r.left[n:]
			return out, nil
		}
		in := make([]byte, 4096)
		if n, err = r.conn.Read(in); n == 0 {
			return nil, err
		}
		r.left = append(r.left, in[:n]...)
	}
}

func (r *messageReader) next() (message pg.Message, err error) {
	_, err = r.cut(func(b []byte) (n int, err error) { message, n, err = pg.Next(b); return n, err })
	return message, err
}

// discoveryService stands in for the agent that tells the list of databases.
type discoveryService struct {
	address string

	mu         sync.Mutex
	generation int64
	instances  map[string]discovery.Instance
	changedAt  map[string]int64 // the generation in which an instance last changed
	changed    chan struct{}    // closed with the next change
	calls      []string
	bytes      int // of all answers' bodies
}

// bytesSent tells how many bytes of lists were sent.
func (d *discoveryService) bytesSent() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.bytes
}

// startDiscovery starts a service that lists the fleet's databases as ready, as generation 1.
func startDiscovery(t *testing.T, fleet *databaseFleet) *discoveryService {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	service := &discoveryService{address: listener.Addr().String(), generation: 1, instances: map[string]discovery.Instance{},
		changedAt: map[string]int64{}, changed: make(chan struct{})}
	for _, server := range fleet.servers {
		service.instances[server.name] = server.instance(discovery.InService)
		service.changedAt[server.name] = 1
	}
	server := &http.Server{Handler: service}
	go server.Serve(listener)
	t.Cleanup(func() { server.Close() })
	return service
}

func (s *databaseServer) instance(lifecycle string) discovery.Instance {
	return discovery.Instance{ID: s.name, Address: s.address, Zone: "cairo-east", Group: s.group, Lifecycle: lifecycle, Weight: 1}
}

// set changes the lifecycle of databases, in one generation.
func (d *discoveryService) set(lifecycle string, servers ...*databaseServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	for _, server := range servers {
		d.instances[server.name] = server.instance(lifecycle)
		d.changedAt[server.name] = d.generation
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// list gives what changed after a generation, and a channel that is closed when there is more; below zero, all of it.
func (d *discoveryService) list(after int64) (discovery.List, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := discovery.List{Generation: d.generation, Whole: after < 0, Instances: []discovery.Instance{}}
	for name, instance := range d.instances {
		if d.changedAt[name] > after && (!out.Whole || instance.Lifecycle != discovery.Terminated) {
			out.Instances = append(out.Instances, instance)
		}
	}
	slices.SortFunc(out.Instances, func(a, b discovery.Instance) int { return strings.Compare(a.ID, b.ID) })
	return out, d.changed
}

// ServeHTTP implements http.Handler.
func (d *discoveryService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	d.calls = append(d.calls, r.URL.String())
	d.mu.Unlock()
	after := int64(-1)
	if text := r.URL.Query().Get("after"); text != "" {
		after, _ = strconv.ParseInt(text, 10, 64)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	list, changed := d.list(after)
	if !list.Whole && len(list.Instances) == 0 {
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
