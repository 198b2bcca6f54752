// Package run starts the proxy from its configuration and stops it on a signal.
package run

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"havenproxy/internal/net"
	"havenproxy/internal/state"
	"havenproxy/internal/wire/settings"
)

const (
	reservedSockets = 24 // descriptors for the process itself; the rest is split between clients and databases
	excessDivisor   = 16 // 1/excessDivisor of the descriptors serves excess clients, which only get an error
	// databaseShare is the share of the descriptors for connections to databases. Each request in flight holds one, and
	// clients hold up to a third of the descriptors for requests. What exceeds that third is for probes, which need a
	// connection to each database.
	databaseShare = 0.4

	// bufferDivisor: incomplete client queries may take 1/bufferDivisor of the memory limit, the large queries in progress as
	// much again, and so the responses to queries that clients send ahead.
	bufferDivisor  = 8
	maxBufferBytes = 32 << 20 // upper bound for these buffers, even where the memory limit allows more
	// The memory of the Go runtime is limited to memoryLimitShare of the memory limit, and so that it leaves programMemory
	// for the program itself, which the runtime doesn't count, and a tenth of the limit free.
	memoryLimitShare = 0.7
	memoryUsedShare  = 0.9
	programMemory    = 10 << 20 // bytes

	acceptGracePeriod = 500 * time.Millisecond // new clients keep coming for 0.4 s after SIGTERM
	drainPollInterval = 5 * time.Millisecond   // how often a draining proxy checks whether it can exit
	// SIGKILL follows SIGTERM after the longest request deadline plus 0.7 s, and deadlines over 3 s count as 3 s. The proxy
	// exits by itself before that, stopMargin after the longest deadline.
	longestDeadlineCap = 3 * time.Second
	stopMargin         = 400 * time.Millisecond
	// drainMargin is how long before the proxy's exit it closes idle clients. Until then clients are served on the
	// connections they hold: where this is the only proxy they have no other, and a client that is closed early can't
	// connect to anything until the next proxy process runs.
	drainMargin  = 300 * time.Millisecond
	answerMargin = 100 * time.Millisecond // how long before the proxy's exit the last requests must be answered

	maxListenDelay     = time.Second      // how long the listener waits at most for the first response of discovery
	counterLogInterval = 10 * time.Second // how often the counters are logged

	// A configuration that can't be used is read again for two seconds: what the new discovery has must be known 4 s
	// after SIGHUP.
	reloadRetryInterval = 100 * time.Millisecond
	maxReloadRetries    = 20

	defaultSockets        = 1024
	defaultConnectTimeout = 250 * time.Millisecond
)

// Main runs the proxy that the file named by EDGE_CONFIG configures, until a signal stops it or it fails. droppedLogLines
// returns the number of lines that the program's log has lost.
func Main(droppedLogLines func() uint64) error {
	signal.Ignore(syscall.SIGPIPE)     // a closed log pipe must not end the proxy
	signals := make(chan os.Signal, 4) // caught from the start: an uncaught SIGHUP ends the process
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1, syscall.SIGHUP)
	defer func() {
		signal.Stop(signals)
		close(signals) // ends handleSignals
	}()
	path := os.Getenv("EDGE_CONFIG")
	if path == "" {
		return fmt.Errorf("EDGE_CONFIG is not set")
	}
	cfg, err := readConfig(path)
	if err != nil {
		return err
	}
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(runtimeMemoryLimit(cfg.MemoryMB))
	}
	p, err := newProxy(cfg, droppedLogLines)
	if err != nil {
		return err
	}
	slog.Info("started", "name", cfg.Name, "listen", p.server.Address(), "discovery", cfg.Discovery,
		"databases", len(cfg.InitialList.Members))
	go p.handleSignals(signals, path)
	p.loop.Run()
	if p.fatalErr != nil {
		return p.fatalErr
	}
	slog.Info("stopped", "unanswered", p.dispatcher.OpenRequests(), "counters", &p.dispatcher.Counters)
	return nil
}

// runtimeMemoryLimit returns the limit in bytes of what the Go runtime may use of a process's memory.
func runtimeMemoryLimit(memoryMB int) int64 {
	total := float64(int64(memoryMB) << 20)
	return int64(max(min(memoryLimitShare*total, memoryUsedShare*total-programMemory), total/4))
}

func readConfig(path string) (settings.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Config{}, err
	}
	return settings.ParseConfig(text)
}

// proxy holds the parts of the running program and how far it has come in starting and stopping.
type proxy struct {
	loop       *net.Loop
	clock      state.Clock
	dispatcher *state.Dispatcher
	server     *net.Server
	discovery  *net.DiscoveryClient

	droppedLogLines func() uint64
	longestDeadline time.Duration // the longest ClientTimeout of a request class, at most longestDeadlineCap
	stopping        bool
	fatalErr        error          // the error that stopped the loop, or nil
	listenTimer     state.Deadline // runs while the listener waits for discovery
	stopTimer       state.Deadline // the next step of stopping
	counterTimer    state.Deadline
	exitAt          time.Duration // when a stopping proxy exits at the latest
}

// splitDescriptors divides the descriptors between clients, connections to databases, and excess clients, which only
// get an error.
func splitDescriptors(sockets int) (clients, connections, excess int) {
	sockets -= reservedSockets
	connections, excess = int(databaseShare*float64(sockets)), sockets/excessDivisor
	return sockets - connections - excess, connections, excess
}

// newProxy creates the parts of a proxy and binds its listen address. Nothing runs, and no client can connect, until its
// loop runs.
func newProxy(cfg settings.Config, droppedLogLines func() uint64) (*proxy, error) {
	sockets := cfg.Sockets
	if sockets <= 0 {
		sockets = defaultSockets
	}
	clients, connections, excess := splitDescriptors(sockets)
	if clients <= 0 || connections <= 0 {
		return nil, fmt.Errorf("configuration: limits.sockets: %d is too low", cfg.Sockets)
	}
	deployment := cfg.Settings
	if deployment.ConnectTimeout <= 0 {
		deployment.ConnectTimeout = defaultConnectTimeout
	}
	// "pushed" means that the simulator pushes changes to the router. A real proxy has an agent on its machine
	// instead, which responds only when asked: without a watch the proxy would keep the list it started with for
	// good.
	deployment.Config.LocalAgent, deployment.Config.ListOnRequest = !deployment.Config.ListOnRequest, true
	p := &proxy{clock: state.NewSystemClock(), droppedLogLines: droppedLogLines}
	dialer := &net.DatabaseDialer{ConnectTimeout: deployment.ConnectTimeout}
	var err error
	maxBuffered := maxBufferBytes
	if cfg.MemoryMB > 0 {
		maxBuffered = min(cfg.MemoryMB<<20/bufferDivisor, maxBufferBytes)
	}
	p.dispatcher, err = state.New(state.Config{Logic: deployment.Config, Zones: deployment.Zones,
		DatabaseIdleTimeout: deployment.DatabaseIdleTimeout, ConnectTimeout: deployment.ConnectTimeout, MaxConnections: connections,
		MaxQueryBytes: maxBuffered}, p.clock, dialer)
	if err != nil {
		return nil, err
	}
	for _, c := range deployment.Config.Classes {
		p.longestDeadline = min(max(p.longestDeadline, c.ClientTimeout), longestDeadlineCap)
	}
	if p.loop, err = net.NewLoop(p.clock, &p.dispatcher.Deadlines, &p.dispatcher.Counters); err != nil {
		return nil, err
	}
	p.loop.LimitInput(maxBuffered)
	if cfg.Cores > 0 {
		p.loop.LimitCores(min(cfg.Cores, 1)) // the loop runs on one core at a time
	}
	dialer.Loop, dialer.Counters = p.loop, &p.dispatcher.Counters
	p.server = net.NewServer(p.loop, p.clock, p.dispatcher, clients, excess, maxBuffered)
	if err := p.server.Bind(cfg.Listen); err != nil {
		return nil, err
	}
	p.discovery = net.NewDiscoveryClient(p.loop, p.clock, p.dispatcher, cfg.Discovery, cfg.InitialList.Generation,
		deployment.Config.LocalAgent)
	p.loop.Post(func() { p.startServing(net.ConvertList(cfg.InitialList)) })
	return p, nil
}

// startServing starts the router, and opens the listener when the first call to discovery has ended or maxListenDelay has
// passed. The proxy is expected to know whatever discovery has from the moment its process starts, and the list in its
// configuration may be out of date.
func (p *proxy) startServing(initialList state.List) {
	startedAt := p.clock.Now()
	listen := func() {
		p.dispatcher.Deadlines.Clear(&p.listenTimer)
		p.discovery.OnFirstCallDone(nil)
		if p.stopping {
			return
		}
		if err := p.server.Listen(); err != nil {
			p.fatalErr = err
			p.loop.Stop()
			return
		}
		slog.Info("listening", "after", p.clock.Now()-startedAt)
	}
	p.discovery.OnFirstCallDone(listen)
	p.dispatcher.Deadlines.Set(&p.listenTimer, startedAt+maxListenDelay, listen)
	p.dispatcher.Start(p.discovery, initialList)
	p.scheduleCounterLog()
}

// scheduleCounterLog logs the counters at regular intervals, because a process that is killed can't log them at its end.
func (p *proxy) scheduleCounterLog() {
	p.dispatcher.Deadlines.Set(&p.counterTimer, p.clock.Now()+counterLogInterval, func() {
		p.logCounters()
		p.scheduleCounterLog()
	})
}

// logCounters logs the counters and what is open.
func (p *proxy) logCounters() {
	slog.Info("counters", "pending", p.dispatcher.OpenRequests(), "connections", p.dispatcher.Connections(),
		"log_dropped", p.droppedLogLines(), "counters", &p.dispatcher.Counters)
}

// handleSignals handles signals until their channel is closed: SIGUSR1 logs the counters, SIGHUP reloads the configuration
// file at path, and any other signal stops the proxy. A file that can't be used, as while it is being written, is read
// again after reloadRetryInterval, up to maxReloadRetries times.
func (p *proxy) handleSignals(signals <-chan os.Signal, path string) {
	retry := time.NewTimer(0)
	<-retry.C
	for retries := 0; ; {
		select {
		case s, open := <-signals:
			switch {
			case !open:
				return
			case s == syscall.SIGUSR1:
				p.loop.Post(p.logCounters)
				continue
			case s != syscall.SIGHUP:
				p.loop.Post(p.stop)
				continue
			}
			retries = 0
		case <-retry.C:
			retries++
		}
		retry.Stop()
		if !p.reload(path, retries) && retries < maxReloadRetries {
			retry.Reset(reloadRetryInterval)
		}
	}
}

// reload reads the configuration again and switches to the discovery address in it. It applies no other change, and keeps
// requests, pins and connections. A file that can't be used changes nothing. It reports whether the file was usable.
func (p *proxy) reload(path string, retries int) bool {
	cfg, err := readConfig(path)
	if err != nil {
		if retries == 0 || retries == maxReloadRetries {
			slog.Error("can't reload", "file", path, "error", err, "retries", retries)
		}
		return false
	}
	p.loop.Post(func() {
		slog.Info("reloaded", "discovery", cfg.Discovery, "retries", retries)
		p.discovery.SwitchAddress(cfg.Discovery)
	})
	return true
}

// stop shuts the proxy down gracefully: it accepts new clients for acceptGracePeriod, then serves those that are
// connected until drainMargin before its exit, then closes idle clients and exits after the last answer, at the
// latest at exitAt.
func (p *proxy) stop() {
	if p.stopping {
		return
	}
	p.stopping = true
	slog.Info("stopping", "pending", p.dispatcher.OpenRequests())
	now := p.clock.Now()
	p.exitAt = now + p.longestDeadline + stopMargin
	p.dispatcher.ShutDownAt(p.exitAt - answerMargin)
	p.dispatcher.Deadlines.Set(&p.stopTimer, now+acceptGracePeriod, func() {
		p.server.StopListening()
		p.dispatcher.Deadlines.Set(&p.stopTimer, p.exitAt-drainMargin, p.drain)
	})
}

// drain closes clients as soon as they wait for no answer, and polls until none is left.
func (p *proxy) drain() {
	p.server.Drain()
	p.dispatcher.Deadlines.Set(&p.stopTimer, p.clock.Now()+drainPollInterval, p.pollDrained)
}

// pollDrained stops the loop once every client is closed and every request has ended, or at exitAt.
func (p *proxy) pollDrained() {
	now := p.clock.Now()
	if p.server.CloseIdle(now >= p.exitAt-answerMargin) && p.dispatcher.OpenRequests() == 0 || now >= p.exitAt {
		p.loop.Stop()
		return
	}
	p.dispatcher.Deadlines.Set(&p.stopTimer, now+drainPollInterval, p.pollDrained)
}
