// Program lab plays the clients, tile stores and discovery of the cases 6 to 10 against the project's own proxy, which runs
// as a process of its own with the command of the deploy file. It exits with 1 if the rule of the case was broken, 0 if it
// held and 2 if the case could not run.
package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab holds the stand-ins, the proxy and the record of one run.
type lab struct {
	trouble           bool // false with TROUBLE=0: the same run without the disruption
	root              string
	dir               string
	begin             time.Time
	stores            []*store
	disco             *discoveryServer
	proxy             *exec.Cmd
	listen            string
	command           string
	env               []string
	memoryMB, sockets int        // the limits of the proxy
	pid               int        // of the proxy's process
	ending            sync.Mutex // held by the one that ends the run, for good

	mu       sync.Mutex
	out      *os.File
	attempts map[string][]attemptRecord
	exited   chan error
}

// attemptRecord is the arrival of one attempt at a tile store.
type attemptRecord struct {
	store string
	at    time.Time
	d     int
}

func (l *lab) record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.out, "%8.3f "+format+"\n", append([]any{time.Since(l.begin).Seconds()}, args...)...)
}

// attempt records the arrival of a statement at a tile store.
func (l *lab) attempt(s *store, st statement) {
	l.mu.Lock()
	l.attempts[st.id] = append(l.attempts[st.id], attemptRecord{s.name, time.Now(), st.d})
	l.mu.Unlock()
	l.record("store %s: id=%s c=%s d=%d arrives", s.name, st.id, st.class, st.d)
}

func (l *lab) attemptsOf(id string) []attemptRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]attemptRecord(nil), l.attempts[id]...)
}

// cannotRun ends the run with exit code 2.
func (l *lab) cannotRun(format string, args ...any) {
	l.ending.Lock()
	l.record("cannot run: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	l.stopProxy()
	os.Exit(2)
}

// finish ends the run with the verdict.
func (l *lab) finish(broken bool, format string, args ...any) {
	l.ending.Lock()
	l.stopProxy()
	verdict := "held: "
	if broken {
		verdict = "BROKEN: "
	}
	l.record(verdict+format, args...)
	fmt.Printf(verdict+format+"\n", args...)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// class is a request class of the settings. Times are in microseconds.
type class struct {
	name, freshness, effect string
	maxAge, aim, limit      int
	worth                   float64
}

// cairoClasses are the classes of cairo-tiles.
var cairoClasses = []class{
	{"tile-read", "bounded", "free", 500000, 200000, 500000, 1},
	{"own-edit-read", "session", "free", 0, 500000, 2000000, 3},
	{"catalogue-read", "any", "free", 0, 400000, 1000000, 2},
	{"order-write", "write", "single_shot", 0, 1000000, 3000000, 4},
}

// startProxy writes the configuration, starts the proxy by the deploy file's command and waits until it answers an empty
// query.
func (l *lab) startProxy(classes []class, change func(settings map[string]any)) {
	var freshness []string
	var maxAge []int
	var list []map[string]any
	for _, c := range classes {
		freshness, maxAge = append(freshness, c.freshness), append(maxAge, c.maxAge)
		list = append(list, map[string]any{"name": c.name, "aim": c.aim, "hard_limit": c.limit, "effect": c.effect,
			"key_scope": "all", "dedup_window": 5000000, "late_value": 0.2, "stream": false, "worth": c.worth})
	}
	settings := map[string]any{
		"discovery": "pushed", "fleet_size": 1, "me": 0, "tick": 5000, "zone": 0, "zones": []string{"cairo-east"},
		"domain_type": "replicas",
		"domain": map[string]any{"freshness": freshness, "max_age": maxAge, "list_role": "none", "server_checks": "none",
			"session_marks": "remembered", "stamps": true, "sync": false, "origin_time": 0},
		"limits": map[string]any{"connect_timeout": 250000, "idle_close": 15000000, "max_attempts": 8,
			"max_retry_after": 500000, "may_cancel": true, "parallel_tries": false, "probes": true, "retry_after": true},
		"reporting":       map[string]any{"fields": []string{"x0", "x1", "queue", "util"}, "how": "probe"},
		"request_classes": list,
		"safety": map[string]any{"cold": 18000000, "cold_share": 0.19, "fall_multiple": 3.0, "overload_for": 1500000,
			"grace_to_answer": 20000, "stop_sending_within": 500000},
	}
	if change != nil {
		change(settings)
	}
	l.listen = freeAddress(l)
	config := map[string]any{"name": "n0", "listen": l.listen, "discovery": l.disco.address, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": l.memoryMB, "sockets": l.sockets}, "known": l.disco.full(), "settings": settings}
	text, _ := json.MarshalIndent(config, "", " ")
	path := filepath.Join(l.dir, "config.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		l.cannotRun("%v", err)
	}
	command := deployCommand(l)
	tmp := filepath.Join(l.dir, "tmp")
	os.Mkdir(tmp, 0o755)
	l.command, l.env = command, []string{"PATH=" + os.Getenv("PATH"), "EDGE_NAME=n0", "EDGE_LISTEN=" + l.listen,
		"EDGE_DISCOVERY=" + l.disco.address, "EDGE_CONFIG=" + path, "TMPDIR=" + tmp}
	l.spawn()
	l.record("proxy started: %s, listens on %s", command, l.listen)
	for time.Since(l.begin) < 10*time.Second {
		if c, err := dial(l); err == nil {
			ok := c.emptyQuery()
			c.conn.Close()
			if ok {
				l.record("proxy is ready")
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	l.cannotRun("the proxy was not ready within 10 s")
}

// spawn starts the proxy process.
func (l *lab) spawn() {
	l.proxy = exec.Command("/bin/sh", "-c", l.command)
	l.proxy.Dir, l.proxy.Env = l.root, l.env
	log := &proxyLog{lab: l}
	l.proxy.Stdout, l.proxy.Stderr = log, log
	if err := l.proxy.Start(); err != nil {
		l.cannotRun("the proxy does not start: %v", err)
	}
	l.exited = make(chan error, 1)
	l.pid = l.proxy.Process.Pid
	os.WriteFile(filepath.Join(l.dir, "pid"), []byte(strconv.Itoa(l.pid)), 0o644)
	proxy, exited := l.proxy, l.exited
	go func() { exited <- proxy.Wait() }()
}

// proxyLog copies the proxy's log to the record.
type proxyLog struct {
	lab  *lab
	rest string
}

func (p *proxyLog) Write(b []byte) (int, error) {
	lines := strings.Split(p.rest+string(b), "\n")
	p.rest = lines[len(lines)-1]
	for _, line := range lines[:len(lines)-1] {
		p.lab.record("proxy: %s", line)
	}
	return len(b), nil
}

// deployCommand returns the command `run` of the deploy file.
func deployCommand(l *lab) string {
	text, err := os.ReadFile(filepath.Join(l.root, "deploy", "balancer.toml"))
	if err != nil {
		l.cannotRun("%v", err)
	}
	for _, line := range strings.Split(string(text), "\n") {
		if rest, ok := strings.CutPrefix(line, "run = \""); ok {
			if command, _, ok := strings.Cut(rest, "\""); ok {
				return command
			}
		}
	}
	l.cannotRun("the deploy file has no run command")
	return ""
}

// freeAddress returns a loopback address that nothing uses now. Its IP address is this process's own, so that nobody else
// takes the port before the proxy does.
func freeAddress(l *lab) string {
	pid := os.Getpid()
	listener, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 100+pid>>16&63, pid>>8&255, 1+pid&127))
	if err != nil {
		l.cannotRun("%v", err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

// stopProxy kills the proxy.
func (l *lab) stopProxy() {
	if l.proxy != nil && l.proxy.Process != nil {
		l.proxy.Process.Signal(syscall.SIGKILL)
		if l.exited != nil {
			select {
			case <-l.exited:
			case <-time.After(2 * time.Second):
			}
		}
		os.Remove(filepath.Join(l.dir, "pid"))
		l.proxy = nil
	}
}

// discoveryServer stands for the agent on the proxy's machine.
type discoveryServer struct {
	lab     *lab
	address string

	mu         sync.Mutex
	generation int
	entries    []*listEntry
	changed    chan struct{}
}

type listEntry struct {
	ID        string  `json:"instanceId"`
	Address   string  `json:"hostPort"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"machineType"`
	Cell      int     `json:"cell"`
	Lifecycle string  `json:"lifecycle"`
	Weight    float64 `json:"weight"`
	StartedMs int64   `json:"startedAtMs"`
	changedIn int
}

type memberList struct {
	Generation int          `json:"generation"`
	Reset      bool         `json:"reset"`
	Instances  []*listEntry `json:"instances"`
}

func (l *lab) startDiscovery() {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		l.cannotRun("%v", err)
	}
	l.disco = &discoveryServer{lab: l, address: listener.Addr().String(), generation: 1, changed: make(chan struct{})}
	for _, s := range l.stores {
		l.disco.entries = append(l.disco.entries, &listEntry{ID: s.name, Address: s.address, Zone: "cairo-east",
			Kind: "std-4core", Cell: s.group, Lifecycle: "in_service", Weight: 1, changedIn: 1})
	}
	go http.Serve(listener, l.disco)
}

// set changes the entry of a tile store.
func (d *discoveryServer) set(s *store, lifecycle string, startedMs int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.generation++
	found := false
	for i, e := range d.entries {
		if e.ID == s.name {
			changed := *e
			changed.Address, changed.Lifecycle, changed.StartedMs, changed.changedIn = s.address, lifecycle, startedMs, d.generation
			d.entries[i], found = &changed, true
		}
	}
	if !found {
		d.entries = append(d.entries, &listEntry{ID: s.name, Address: s.address, Zone: "cairo-east", Kind: "std-4core",
			Cell: s.group, Lifecycle: lifecycle, Weight: 1, StartedMs: startedMs, changedIn: d.generation})
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *discoveryServer) full() memberList {
	list, _ := d.after(-1)
	return list
}

func (d *discoveryServer) after(generation int) (memberList, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := memberList{Generation: d.generation, Reset: generation < 0, Instances: []*listEntry{}}
	for _, e := range d.entries {
		if e.changedIn > generation && !(out.Reset && e.Lifecycle == "terminated") {
			out.Instances = append(out.Instances, e)
		}
	}
	return out, d.changed
}

func (d *discoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after := -1
	if text := r.URL.Query().Get("after"); text != "" {
		after, _ = strconv.Atoi(text)
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	list, changed := d.after(after)
	if !list.Reset && len(list.Instances) == 0 {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		list, _ = d.after(after)
	}
	text, _ := json.Marshal(list)
	w.Header().Set("Content-Length", strconv.Itoa(len(text)))
	w.Write(text)
}

func main() {
	if len(os.Args) != 5 {
		fmt.Println("usage: lab CASE ROOT RECORD FOLDER")
		os.Exit(2)
	}
	out, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", root: os.Args[2], dir: os.Args[4], begin: time.Now(), out: out, memoryMB: 64, sockets: 384,
		attempts: map[string][]attemptRecord{}}
	run, ok := cases[os.Args[1]]
	if !ok {
		l.cannotRun("no case %s", os.Args[1])
	}
	signalled := make(chan os.Signal, 1)
	notifyEnd(signalled)
	go func() {
		select {
		case <-signalled:
			l.cannotRun("the run was ended from outside")
		case <-time.After(110 * time.Second):
			l.cannotRun("the run took more than 110 s")
		}
	}()
	l.record("case %s, trouble %v", os.Args[1], l.trouble)
	run(l)
}
