package net

import (
	"container/list"
	"log/slog"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

const (
	keepAliveInterval  = time.Minute // idle time after which the kernel sends keepalive probes to a client
	sendBufferBytes    = 256 << 10   // in the kernel; room for several of the largest responses, or the largest query
	receiveBufferBytes = 128 << 10   // in the kernel, where input waits that the loop has not read

	// To make room, clients that don't use their connection are closed: first those that have not sent a complete
	// query within silentTimeout of connecting, long enough for others to send queries and get responses, then those
	// that have had no pending response for idleTimeout; operators allow closing idle clients after two seconds.
	// Silent clients are also closed while they are more than 1/silentDivisor of the maximum number of clients.
	silentTimeout    = 250 * time.Millisecond
	silentDivisor    = 4
	idleTimeout      = 2 * time.Second
	idleLimitDivisor = 3 // above 1/idleLimitDivisor of the maximum, idle clients are closed in advance

	minInputShare = 2 << 10 // bytes; a small query is accepted whatever the number of clients

	fullLogInterval  = 10 * time.Second // minimum time between log lines about too many clients
	busyLogInterval  = 10 * time.Second // minimum time between log lines about busy clients
	maxLoggedClients = 3                // the first connections after a start are logged
)

// Server accepts clients and submits their queries to the dispatcher.
type Server struct {
	loop       *Loop
	clock      state.Clock
	deadlines  *state.Deadlines
	dispatcher *state.Dispatcher
	listener   *listener
	listening  bool

	clients          map[*client]struct{}
	memoryQueue      list.List // those whose next query waits for others, in order; see client.waitReason
	silent           list.List // no complete query yet, oldest first
	idle             list.List // no response pending, longest idle first
	closing          list.List // write side closed, waiting for the client to close
	bufferedBytes    int       // input of all clients that is not processed yet
	maxBufferedBytes int       // above it, a client with more than its inputShare is rejected
	// pipelinedBytes is the memory for responses that clients don't read at once, and for those to queries that they sent
	// ahead of a response. No further query is handled ahead if that may take it above maxPipelinedBytes.
	pipelinedBytes    int
	maxPipelinedBytes int
	maxClients        int
	idleLimit         int // number of clients above which idle ones are closed in advance
	maxExcess         int // clients above maxClients that are rejected with an error
	excessClients     int
	idleTimer         state.Deadline
	fullLoggedAt      time.Duration // when too many clients were last logged
	busyLoggedAt      time.Duration // when a busy client was last logged
	draining          bool
}

// NewServer returns a server for at most maxClients clients. Their partial queries may occupy maxBufferedBytes, and the
// responses to queries that they send ahead as much again. Up to maxExcess further clients are rejected with an error.
func NewServer(loop *Loop, clock state.Clock, dispatcher *state.Dispatcher, maxClients, maxExcess,
	maxBufferedBytes int) *Server {
	return &Server{loop: loop, clock: clock, deadlines: &dispatcher.Deadlines, dispatcher: dispatcher,
		clients: map[*client]struct{}{}, maxClients: maxClients,
		idleLimit: maxClients / idleLimitDivisor, maxExcess: maxExcess, maxBufferedBytes: maxBufferedBytes,
		maxPipelinedBytes: maxBufferedBytes}
}

// Bind reserves the address. Connections are refused until Listen.
func (s *Server) Bind(address string) error {
	l, err := bind(s.loop, address)
	if err != nil {
		return err
	}
	l.maxOpen = s.maxClients + s.maxExcess
	l.onAccept, l.onFull = s.accept, s.makeRoom
	s.listener = l
	return nil
}

// Listen starts to accept clients, unless StopListening has been called already.
func (s *Server) Listen() error {
	if s.listening || s.listener.stopped {
		return nil
	}
	s.listening = true
	return s.listener.serve()
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.address.String() }

// accept creates the client of a new connection, before any of its input is read.
func (s *Server) accept(fd int, waitingSince time.Duration) {
	c := &client{server: s, input: buffer{pool: &s.loop.clientBuffers}}
	var err error
	if c.socket, err = newSocket(s.loop, fd, c, nil); err != nil {
		s.listener.open--
		slog.Warn("failed to set up a client connection", "error", err)
		return
	}
	if !c.allInputSeen() {
		c.backlog.leftUnread(waitingSince)
	}
	if s.dispatcher.Counters.Clients++; s.dispatcher.Counters.Clients <= maxLoggedClients {
		slog.Info("client connected", "number", s.dispatcher.Counters.Clients)
	}
	s.makeRoom()
	if c.excess = s.atCapacity(); c.excess {
		s.excessClients++
		if now := s.clock.Now(); s.fullLoggedAt == 0 || now-s.fullLoggedAt >= fullLogInterval {
			s.fullLoggedAt = now
			slog.Warn("too many clients, rejecting new ones", "clients", len(s.clients))
		}
	}
	s.clients[c] = struct{}{}
	c.updateEvictionList()
	s.enforceIdleLimit()
	s.deadlines.Set(&c.timer, s.clock.Now()+queryTimeout, c.queryTimedOut)
	if s.excessClients > s.maxExcess { // no descriptor left, even to send an error
		c.close()
	}
}

// setClientOptions disables Nagle's algorithm, so that small responses are sent at once, and enables TCP keepalive.
func setClientOptions(fd int) {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1)
	for _, option := range []int{unix.TCP_KEEPIDLE, unix.TCP_KEEPINTVL} {
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, option, int(keepAliveInterval/time.Second))
	}
}

// inputFull reports whether the input that waits for the rest of its query takes too much memory.
func (s *Server) inputFull() bool { return s.bufferedBytes > s.maxBufferedBytes }

// inputShare returns how much of a partial query a client may hold while all clients together hold too much. The shares of
// all clients take no more than that total once more.
func (s *Server) inputShare() int {
	return min(max(s.maxBufferedBytes/s.maxClients, minInputShare), maxIdleBufferBytes)
}

// atCapacity reports whether the maximum number of clients is connected.
func (s *Server) atCapacity() bool {
	return len(s.clients)-s.excessClients >= s.maxClients
}

// makeRoom closes clients that don't use their connection, as long as there is no room for another one: first those
// that are closing already, then silent and idle ones. It also closes silent clients while they are more than
// 1/silentDivisor of maxClients.
func (s *Server) makeRoom() {
	now := s.clock.Now()
	for {
		e := s.silent.Front()
		full := s.atCapacity() || len(s.clients) >= s.maxClients+s.maxExcess
		if closing := s.closing.Front(); full && closing != nil {
			closing.Value.(*client).close()
			continue
		}
		if manySilent := s.silent.Len() > s.maxClients/silentDivisor; !manySilent && !full {
			return
		} else if e == nil || !manySilent && now-e.Value.(*client).listedSince < silentTimeout {
			if e = s.idle.Front(); e == nil || now-e.Value.(*client).listedSince < idleTimeout {
				return
			}
		}
		s.evict(e.Value.(*client))
	}
}

// oldestWithoutRequest returns the client that has waited for longest in the queue of busy connections, of those that have sent
// more empty queries than a burst and no request, or nil.
func (s *Server) oldestWithoutRequest() *client {
	for _, work := range s.loop.busy.waiting {
		c, ok := work.(*client)
		if ok && c.connState == stateServing && c.emptyQueries > usageBurst && !c.hasRequested && !c.excess {
			return c
		}
	}
	return nil
}

// logBusy logs a client whose input has to wait for that of others, at most once per busyLogInterval.
func (s *Server) logBusy(c *client) {
	now := s.clock.Now()
	if s.busyLoggedAt > 0 && now-s.busyLoggedAt < busyLogInterval {
		return
	}
	s.busyLoggedAt = now
	slog.Info("busy client", "address", c.socket.peerAddress(), "messages", c.messages, "empty_queries", c.emptyQueries,
		"requested", c.hasRequested, "waiting", len(s.loop.busy.waiting), "crowded", s.loop.crowded(now))
}

// makeRoomForRequest gives the place of another client to an excess one, if its query is a request. It reports whether there
// was one: a client that uses its place for nothing but empty queries at full speed, if no other can be closed.
func (s *Server) makeRoomForRequest(c *client, text []byte) bool {
	s.makeRoom()
	var other *client
	if s.atCapacity() {
		other = s.oldestWithoutRequest()
	}
	if s.atCapacity() && other == nil || !s.dispatcher.HasRoomForQuery(len(text)) {
		return false
	}
	if _, err := pg.ParseStatement(string(text)); err != nil {
		return false
	}
	if other != nil {
		s.dispatcher.Counters.ClientsEvicted++
		other.close()
	}
	c.excess = false
	s.excessClients--
	return true
}

// enforceIdleLimit closes clients that have been idle for idleTimeout while more than idleLimit clients are connected.
// Their descriptors may be needed by other clients: a load balancer in front of the proxies opens no more than a share
// of its descriptors.
func (s *Server) enforceIdleLimit() {
	now := s.clock.Now()
	for e := s.idle.Front(); e != nil && len(s.clients) > s.idleLimit; e = s.idle.Front() {
		c := e.Value.(*client)
		if due := c.listedSince + idleTimeout; due > now {
			s.deadlines.Set(&s.idleTimer, due, s.enforceIdleLimit)
			return
		}
		s.evict(c)
	}
}

// evict closes a client to make room for others. A client with input that the loop has not seen is neither silent nor
// idle any more, so it is only removed from its list; updateEvictionList adds it to the right one once its input is
// read. If it stayed in the list, makeRoom would examine it forever.
func (s *Server) evict(c *client) {
	if !c.allInputSeen() {
		c.leaveEvictionList()
		return
	}
	s.dispatcher.Counters.ClientsEvicted++
	c.close()
}

// StopListening stops accepting clients. Connected clients are served as before.
func (s *Server) StopListening() { s.listener.stop() }

// Drain stops the listener and has clients closed as soon as they await no response.
func (s *Server) Drain() {
	s.draining = true
	s.StopListening()
}

// CloseIdle closes the clients that await no response, with allowPartial set also those with a partial query, and
// reports whether no client is left. Input that the loop has not seen yet is processed first, and clients have
// lingerTimeout to close their side; call CloseIdle again until it returns true.
func (s *Server) CloseIdle(allowPartial bool) bool {
	for c := range s.clients {
		c.closeIfIdle(allowPartial)
	}
	return len(s.clients) == 0
}
