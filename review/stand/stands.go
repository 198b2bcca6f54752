package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record is the file that a case writes: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, begin: time.Now()}, err
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f ms  %s\n", float64(time.Since(r.begin).Microseconds())/1000, fmt.Sprintf(format, args...))
}

// ---- Tile stores ----

// store is a stand-in for one tile store. Its hooks are nil or set before it starts.
type store struct {
	name    string
	group   int
	primary bool
	address string

	work       func(s statement) time.Duration                // how long a request works
	value      func(s statement) string                       // the value made for a request
	onAccept   func(c *storeConn)                             // before the greeting is sent
	onRequest  func(c *storeConn, s statement) (end bool)     // before the request runs; true ends the connection without an answer
	onAnswered func(c *storeConn, s statement, answer []byte) // after the answer is written
	idleClose  time.Duration                                  // closes a connection that is idle for so long; 0 = never

	mu          sync.Mutex
	connections int
}

// storeConn is one connection to a store.
type storeConn struct {
	net.Conn
	store  *store
	number int
	reader *bufio.Reader
}

// reset ends the connection with a reset.
func (c *storeConn) reset() {
	c.Conn.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (s *store) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.connections++
			c := &storeConn{Conn: conn, store: s, number: s.connections, reader: bufio.NewReaderSize(conn, 1<<16)}
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return nil
}

func (s *store) serve(c *storeConn) {
	defer c.Close()
	if readStartup(c.reader) != nil {
		return
	}
	if s.onAccept != nil {
		s.onAccept(c)
	}
	c.Write(greeting())
	s.serveRest(c)
}

// serveRest serves the requests on a connection that has been greeted.
func (s *store) serveRest(c *storeConn) {
	for {
		if s.idleClose > 0 {
			c.SetReadDeadline(time.Now().Add(s.idleClose))
			if _, err := c.reader.Peek(1); err != nil {
				return
			}
			c.SetReadDeadline(time.Time{})
		}
		m, err := readMessage(c.reader)
		if err != nil || m.kind != 'Q' {
			return
		}
		text := strings.TrimRight(string(m.body), "\x00")
		st, ok := parseStatement(text)
		var answer []byte
		switch {
		case text == "SHOW load":
			role := 0
			if s.primary {
				role = 1
			}
			answer = appendReady(appendRow(nil, fmt.Sprintf("x0=%.3f,x1=%d,queue=0,util=0.1",
				float64(s.position())/1000, role), "SHOW"))
		case text == "SELECT 1":
			answer = appendReady(appendRow(nil, "1", "SELECT 1"))
		case !ok:
			answer = appendReady(appendError(nil, "08P01", "no client sends this"))
		case st.write && !s.primary:
			answer = appendReady(s.appendNote(appendError(nil, "25006", "not the primary"), time.Now().UnixMilli()-10))
		default:
			if s.onRequest != nil && s.onRequest(c, st) {
				return
			}
			if s.work != nil {
				time.Sleep(s.work(st))
			}
			tag := "SELECT 1"
			if st.write {
				tag = "INSERT 0 1"
			}
			answer = appendReady(s.appendNote(appendRow(nil, s.value(st), tag), s.position()))
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		if ok && s.onAnswered != nil {
			s.onAnswered(c, st, answer)
		}
	}
}

// position returns up to when the store has applied all commits, in Unix milliseconds.
func (s *store) position() int64 {
	if s.primary {
		return time.Now().UnixMilli()
	}
	return time.Now().UnixMilli() - 10
}

func (s *store) appendNote(dst []byte, position int64) []byte {
	role := "replica"
	if s.primary {
		role = "primary"
	}
	return appendStatus(appendStatus(dst, "role", role), "applied_ms", strconv.FormatInt(position, 10))
}

// ---- Discovery ----

type listEntry struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Group     int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
}

type memberList struct {
	Generation int64       `json:"generation"`
	Full       bool        `json:"reset"`
	Members    []listEntry `json:"instances"`
}

// discovery is a stand-in for the agent that serves the list of tile stores. The list does not change.
type discovery struct {
	address string
	list    memberList
}

func startDiscovery(stores []*store) (*discovery, error) {
	d := &discovery{list: memberList{Generation: 1, Full: true}}
	for _, s := range stores {
		d.list.Members = append(d.list.Members, listEntry{ID: s.name, Address: s.address, Zone: "cairo-east", Kind: "std-4core",
			Group: s.group, Lifecycle: "in_service", Weight: 1})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d.address = listener.Addr().String()
	go http.Serve(listener, d)
	return d, nil
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := d.list
	if after := r.URL.Query().Get("after"); after == strconv.FormatInt(d.list.Generation, 10) {
		wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
		select {
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		out.Full, out.Members = false, []listEntry{}
	}
	text, _ := json.Marshal(out)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
}

// ---- The proxy ----

// proxy is a process of the project's program, started with the command of the deploy file.
type proxy struct {
	address string
	cmd     *exec.Cmd
	exited  chan struct{}
	folder  string
}

// deployCommand returns the command of the deploy file that starts a proxy.
func deployCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^run\s*=\s*"([^"]*)"`).FindSubmatch(text)
	if found == nil {
		return "", errors.New("the deploy file has no run")
	}
	return string(found[1]), nil
}

func startProxy(root string, d *discovery, settings string, memoryMB, sockets int) (*proxy, error) {
	command, err := deployCommand(root)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: free.Addr().String(), folder: folder, exited: make(chan struct{})}
	free.Close()
	config, err := json.Marshal(map[string]any{"name": "n0", "listen": p.address, "discovery": d.address,
		"seed": "8c1f30d27a5be964", "limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"known": d.list, "settings": json.RawMessage(settings)})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "proxy.log"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	p.cmd = exec.Command("/bin/sh", "-c", command)
	if core := os.Getenv("CORE"); core != "" {
		p.cmd = exec.Command("taskset", "-c", core, "/bin/sh", "-c", command)
	}
	p.cmd.Dir = root
	p.cmd.Env = append(os.Environ(), "EDGE_NAME=n0", "EDGE_LISTEN="+p.address, "EDGE_DISCOVERY="+d.address,
		"EDGE_CONFIG="+path, "TMPDIR="+folder)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// The proxy ends with this process, however that ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { p.cmd.Wait(); close(p.exited) }()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if c, err := dial(p.address); err == nil {
			a := c.ask("", time.Second)
			c.Close()
			if a.code == "empty" {
				return p, nil
			}
		}
	}
	p.stop()
	return nil, errors.New("the proxy did not become ready")
}

// stop ends the proxy and removes its files.
func (p *proxy) stop() {
	p.cmd.Process.Kill()
	<-p.exited
	if keep := os.Getenv("KEEP_LOG"); keep != "" {
		os.WriteFile(keep, []byte(p.log()), 0o644)
	}
	os.RemoveAll(p.folder)
}

// hasExited tells whether the process has ended.
func (p *proxy) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *proxy) log() string {
	text, _ := os.ReadFile(filepath.Join(p.folder, "proxy.log"))
	return string(text)
}

// ---- Clients ----

// client is one connection of a client.
type client struct {
	net.Conn
	reader  *bufio.Reader
	greeted bool
}

// answer is the answer to one request.
type answer struct {
	code  string // "served", "empty", an SQLSTATE, or "closed: ..." if the connection ended without a whole answer
	value string
	took  time.Duration
}

// dial connects and sends the startup message.
func dial(address string) (*client, error) {
	conn, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{Conn: conn, reader: bufio.NewReaderSize(conn, 1<<16)}
	_, err = conn.Write(startupMessage())
	return c, err
}

// ask sends one query and reads its answer.
func (c *client) ask(text string, timeout time.Duration) answer {
	begin := time.Now()
	c.SetDeadline(begin.Add(timeout))
	if _, err := c.Write(queryMessage(text)); err != nil {
		return answer{code: "closed: " + err.Error()}
	}
	a := c.read()
	a.took = time.Since(begin)
	return a
}

// read reads the answer to the next query.
func (c *client) read() (a answer) {
	complete := false
	for {
		m, err := readMessage(c.reader)
		if err != nil {
			if a.code != "" && a.code != "served" {
				return a // a fatal error needs no ReadyForQuery
			}
			return answer{code: "closed: " + err.Error()}
		}
		switch m.kind {
		case 'D':
			a.value = string(m.body[6:])
		case 'C':
			complete = true
		case 'I':
			a.code = "empty"
		case 'E':
			a.code = errorCode(m.body)
		case 'Z':
			if !c.greeted {
				c.greeted = true
				continue
			}
			if a.code == "" && complete {
				a.code = "served"
			}
			return a
		}
	}
}

func names(stores []*store) string {
	var out []string
	for _, s := range stores {
		out = append(out, s.name)
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
