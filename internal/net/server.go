package net

import (
	"container/list"
	"log/slog"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"

	"havenproxy/internal/state"
)

const (
	writeTimeout      = 20 * time.Millisecond // a client whose send buffer stays full for longer doesn't read
	keepAliveInterval = time.Minute           // idle time after which the kernel sends keepalive probes to a client
	sendBuffer        = 256 << 10             // bytes in the kernel, room for several of the largest responses
	// Limits the input that the kernel buffers. netpoll reads all of it at once, ahead of the loop: a peer that sends
	// at full speed must not make it hold megabytes.
	receiveBuffer = 128 << 10

	// To make room, clients that don't use their connection are closed: first those that have sent no query for
	// silentTimeout, in which others send queries and get responses, then those without an open request for idleTimeout,
	// which the operators allow after two seconds. Silent clients are also closed where they are more than one in
	// silentDivisor of the maximum.
	silentTimeout    = 250 * time.Millisecond
	silentDivisor    = 4
	idleTimeout      = 2 * time.Second
	idleLimitDivisor = 3 // above one in this many of the maximum, idle clients are closed in advance

	fullLogInterval  = 10 * time.Second // minimum time between log lines about too many clients
	maxLoggedClients = 3                // the first connections after a start are logged
)

// Server accepts clients and takes their queries.
type Server struct {
	loop       *Loop
	clock      state.Clock
	deadlines  *state.Deadlines
	dispatcher *state.Dispatcher
	listener   *listener
	listening  bool

	clients          map[*client]struct{}
	silent           list.List // no complete query yet, oldest first
	idle             list.List // no response due, idle for longest first
	closing          list.List // write side closed, waiting for the client to close
	bufferedBytes    int       // input of all clients that is not processed yet
	maxBufferedBytes int       // above it, a client that holds more than a little is rejected
	maxClients       int
	idleLimit        int // number of clients above which idle ones are closed in advance
	maxExcess        int // clients above maxClients that are rejected with an error
	excessClients    int
	idleTimer        state.Deadline
	fullLoggedAt     time.Duration // when too many clients were last logged
	draining         bool
}

// NewServer returns a server for at most maxClients clients, whose partial queries may occupy maxBufferedBytes. Up to
// maxExcess further clients are rejected with an error.
func NewServer(loop *Loop, clock state.Clock, dispatcher *state.Dispatcher, maxClients, maxExcess, maxBufferedBytes int) *Server {
	return &Server{loop: loop, clock: clock, deadlines: &dispatcher.Deadlines, dispatcher: dispatcher,
		clients: map[*client]struct{}{}, maxClients: maxClients, idleLimit: maxClients / idleLimitDivisor,
		maxExcess: maxExcess, maxBufferedBytes: maxBufferedBytes}
}

// Bind reserves the address. Connections are refused until Listen.
func (server *Server) Bind(address string) error {
	l, err := bind(address)
	if err != nil {
		return err
	}
	l.maxOpen = int64(server.maxClients + server.maxExcess)
	l.onAccept = func(fd int) { server.loop.Post(func() { server.accept(fd) }) }
	l.onFull = func() {
		server.loop.Post(func() {
			l.roomRequested.Store(false)
			server.makeRoom()
		})
	}
	server.listener = l
	return nil
}

// Listen starts to accept clients, unless EndListening has been called already.
func (server *Server) Listen() error {
	if server.listening || server.listener.stopped.Load() {
		return nil
	}
	server.listening = true
	return server.listener.serve()
}

// Address returns the address that the server listens on.
func (server *Server) Address() string { return server.listener.address.String() }

// accept creates the client of a new connection, before any of its input is read.
func (server *Server) accept(fd int) {
	conn, err := netpoll.NewFDConnection(fd)
	if err != nil {
		server.listener.open.Add(-1)
		slog.Warn("failed to set up a client connection", "error", err)
		return
	}
	setClientOptions(fd)
	conn.SetWriteTimeout(writeTimeout)
	c := &client{server: server, conn: conn, fd: newDescriptor(conn)}
	if server.dispatcher.Counters.Clients++; server.dispatcher.Counters.Clients <= maxLoggedClients {
		slog.Info("client connected", "number", server.dispatcher.Counters.Clients)
	}
	server.makeRoom()
	if c.excess = server.atCapacity(); c.excess {
		server.excessClients++
		if now := server.clock.Now(); server.fullLoggedAt == 0 || now-server.fullLoggedAt >= fullLogInterval {
			server.fullLoggedAt = now
			slog.Warn("too many clients, rejecting new ones", "clients", len(server.clients))
		}
	}
	server.clients[c] = struct{}{}
	c.updateEvictionList()
	server.closeIdleClients()
	conn.AddCloseCallback(func(netpoll.Connection) error {
		server.listener.open.Add(-1)
		return nil
	})
	server.deadlines.Set(&c.timer, server.clock.Now()+queryTimeout, c.queryTimedOut)
	setCallbacks(server.loop, conn, c.onReadable, c.onClosed)
	if server.excessClients > server.maxExcess { // no descriptor left, even to send an error
		c.close()
	}
}

// setClientOptions disables Nagle's algorithm, so that small responses are sent at once, and enables TCP keepalive.
func setClientOptions(fd int) {
	syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_NODELAY, 1)
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE, 1)
	for _, option := range []int{syscall.TCP_KEEPIDLE, syscall.TCP_KEEPINTVL} {
		syscall.SetsockoptInt(fd, syscall.IPPROTO_TCP, option, int(keepAliveInterval/time.Second))
	}
}

// atCapacity reports whether the maximum number of clients is connected.
func (server *Server) atCapacity() bool {
	return len(server.clients)-server.excessClients >= server.maxClients
}

// makeRoom closes clients that don't use their connection, as long as there is no room for another one.
func (server *Server) makeRoom() {
	now := server.clock.Now()
	for {
		e := server.silent.Front()
		full := server.atCapacity() || len(server.clients) >= server.maxClients+server.maxExcess
		if closing := server.closing.Front(); full && closing != nil {
			closing.Value.(*client).close()
			continue
		}
		if manySilent := server.silent.Len() > server.maxClients/silentDivisor; !manySilent && !full {
			return
		} else if e == nil || !manySilent && now-e.Value.(*client).listedSince < silentTimeout {
			if e = server.idle.Front(); e == nil || now-e.Value.(*client).listedSince < idleTimeout {
				return
			}
		}
		server.evict(e.Value.(*client))
	}
}

// closeIdleClients closes clients that have been idle for idleTimeout while more than idleLimit clients are connected.
// Their descriptors may be needed by other clients: a load balancer in front of the proxies opens no more than a share
// of its descriptors.
func (server *Server) closeIdleClients() {
	now := server.clock.Now()
	for e := server.idle.Front(); e != nil && len(server.clients) > server.idleLimit; e = server.idle.Front() {
		c := e.Value.(*client)
		if due := c.listedSince + idleTimeout; due > now {
			server.deadlines.Set(&server.idleTimer, due, server.closeIdleClients)
			return
		}
		server.evict(c)
	}
}

// evict closes a client to make room for others. A client with input that the loop has not seen is neither silent nor
// idle any more, so it is only removed from its list; updateEvictionList adds it to the right one once its input is
// read. If it stayed in the list, makeRoom would examine it forever.
func (server *Server) evict(c *client) {
	if !c.allInputSeen() {
		c.leaveEvictionList()
		return
	}
	server.dispatcher.Counters.ClientsEvicted++
	c.close()
}

// EndListening accepts no further clients. Connected clients are served as before.
func (server *Server) EndListening() { server.listener.stop() }

// Drain ends the listener and has clients closed as soon as they await no response.
func (server *Server) Drain() {
	server.draining = true
	server.EndListening()
}

// Drained closes the clients that await no response, with last set also those with a partial query, and reports whether
// none is left. Input that the loop has not seen yet is answered too, and clients that are closing have some time to do
// so; call Drained again until it returns true.
func (server *Server) Drained(last bool) bool {
	for c := range server.clients {
		c.closeIfIdle(last)
	}
	return len(server.clients) == 0
}
