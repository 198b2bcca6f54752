package net

import (
	"errors"
	"fmt"
	"log/slog"
	stdnet "net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/state"
)

const (
	// acceptBacklog is how many connections may wait to be accepted; the kernel reduces it to its own limit.
	acceptBacklog = 4096
	// maxAcceptsPerTurn is how many clients are accepted before the loop turns to those that are connected, and
	// maxAcceptCallsPerTurn the same with those that have left already, which cost little.
	maxAcceptsPerTurn     = 16
	maxAcceptCallsPerTurn = 64
	// acceptRetryDelay is the pause after an error that an immediate retry would only repeat, such as lack of descriptors.
	acceptRetryDelay = 5 * time.Millisecond
	// acceptLogInterval is the minimum time between log lines about such errors.
	acceptLogInterval = 10 * time.Second
)

// listener accepts connections on the loop, a limited number in each turn; others wait in the kernel.
type listener struct {
	loop    *Loop
	fd      int
	address stdnet.Addr
	socket  *socket // watches fd; nil until serve
	maxOpen int     // maximum number of open connections
	open    int
	stopped bool
	// waitingSince is since when connections may have been waiting in the kernel, with what their clients have sent.
	waitingSince time.Duration
	retryTimer   state.Deadline
	loggedAt     time.Duration // when an error was last logged; 0 = never

	// onAccept is called with each accepted connection that there is room for, and since when it may have been waiting.
	onAccept func(fd int, waitingSince time.Duration)
	onFull   func() // called after a connection was closed for which there is no room
}

// bind reserves an address; nobody can connect before serve.
func bind(loop *Loop, address string) (*listener, error) {
	tcp, err := stdnet.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	family, socketAddress := sockaddr(tcp)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	setBufferSizes(fd) // accepted sockets inherit all options
	setClientOptions(fd)
	if err := unix.Bind(fd, socketAddress); err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", address, os.NewSyscallError("bind", err))
	}
	if bound, err := unix.Getsockname(fd); err == nil {
		tcp.Port = sockaddrPort(bound)
	}
	return &listener{loop: loop, fd: fd, address: tcp}, nil
}

// serve starts to listen, and to accept connections until stop.
func (l *listener) serve() (err error) {
	if err := unix.Listen(l.fd, acceptBacklog); err != nil {
		return os.NewSyscallError("listen", err)
	}
	l.socket, err = newSocket(l.loop, l.fd, l, nil)
	return err
}

// onReadable implements socketHandler.
func (l *listener) onReadable() { l.acceptPending(maxAcceptCallsPerTurn, maxAcceptsPerTurn) }

// acceptPending accepts connections that wait, with a limited number of calls and of clients.
func (l *listener) acceptPending(calls, clients int) {
	if l.waitingSince == 0 {
		l.waitingSince = l.loop.polledBefore
	}
	for last := l.open + clients; calls > 0 && l.open < last; calls-- {
		fd, _, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
			l.admit(fd)
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED): // the next call may succeed
		case errors.Is(err, unix.EAGAIN):
			l.waitingSince = 0
			return
		default:
			l.retryLater(err)
			return
		}
	}
}

// retryLater pauses after an error.
func (l *listener) retryLater(err error) {
	if now := l.loop.clock.Now(); l.loggedAt == 0 || now-l.loggedAt >= acceptLogInterval {
		l.loggedAt = now
		slog.Warn("failed to accept a connection", "error", err)
	}
	l.loop.counters.AcceptErrors++
	l.socket.pauseReading(true)
	l.loop.deadlines.Set(&l.retryTimer, l.loop.clock.Now()+acceptRetryDelay, func() { l.socket.pauseReading(false) })
}

// admit passes a connection to onAccept. One whose client has closed it already, or that there is no descriptor for, is
// closed.
func (l *listener) admit(fd int) {
	if hangupPending(fd) {
		l.loop.counters.ClientsLeftAtOnce++
		unix.SetsockoptLinger(fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1}) // a reset costs the least
		unix.Close(fd)
		return
	}
	if l.open >= l.maxOpen {
		l.loop.counters.ClientsShut++
		unix.Close(fd)
		l.onFull()
		return
	}
	l.open++
	l.onAccept(fd, l.waitingSince)
}

// stop accepts the connections that have been made, and refuses further ones. The descriptor keeps its number, and the
// address, until the process ends.
func (l *listener) stop() {
	if l.stopped {
		return
	}
	l.stopped = true
	if l.socket != nil {
		l.loop.deadlines.Clear(&l.retryTimer)
		l.acceptPending(acceptBacklog, acceptBacklog)
		l.loop.deadlines.Clear(&l.retryTimer)
		l.socket.unwatch()
	}
	unix.Shutdown(l.fd, unix.SHUT_RD)
}

// onHangup implements socketHandler. A listening socket has no peer.
func (l *listener) onHangup() {}

// onWritten implements socketHandler.
func (l *listener) onWritten() {}

// onWriteFailed implements socketHandler.
func (l *listener) onWriteFailed(error) {}

// onPanic implements socketHandler. It is not called; see Loop.contain.
func (l *listener) onPanic() {}

// sockaddr converts a TCP address to its socket address family and address.
func sockaddr(tcp *stdnet.TCPAddr) (family int, address unix.Sockaddr) {
	if tcp.IP == nil || tcp.IP.To4() != nil {
		v4 := &unix.SockaddrInet4{Port: tcp.Port}
		copy(v4.Addr[:], tcp.IP.To4())
		return unix.AF_INET, v4
	}
	v6 := &unix.SockaddrInet6{Port: tcp.Port}
	copy(v6.Addr[:], tcp.IP.To16())
	return unix.AF_INET6, v6
}

// sockaddrPort returns the port of a socket address, or 0 if it has none.
func sockaddrPort(address unix.Sockaddr) int {
	switch a := address.(type) {
	case *unix.SockaddrInet4:
		return a.Port
	case *unix.SockaddrInet6:
		return a.Port
	}
	return 0
}
