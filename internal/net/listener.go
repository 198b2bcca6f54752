package net

import (
	"errors"
	"fmt"
	"log/slog"
	stdnet "net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// acceptBacklog is how many connections may wait to be accepted; the kernel cuts it to its own limit.
	acceptBacklog = 4096
	// acceptPause is how long accepting rests after an error that a new call would only repeat, such as no descriptor.
	acceptPause = 5 * time.Millisecond
	// acceptLogEvery is how often such errors are logged at most.
	acceptLogEvery = 10 * time.Second
)

// listener accepts connections on a goroutine of its own, in blocking calls: what came before the first call is accepted
// like all else, with no registration in between that could miss it. Its descriptor is never closed, only shut down, so
// that its number can't become another connection's while a call is under way.
type listener struct {
	fd      int
	address stdnet.Addr
	most    int64 // connections that may be open
	open    atomic.Int64
	ended   atomic.Bool

	accepted func(fd int) // is given each connection that there is room for
	full     func()       // lets the loop make room
	asking   atomic.Bool  // full was called, and room not made yet
}

// bind reserves an address; nobody can connect before serve. The errors are those of the system calls.
func bind(address string) (*listener, error) {
	tcp, err := stdnet.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, err
	}
	family, socketAddress := socketAddressOf(tcp)
	fd, err := syscall.Socket(family, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, os.NewSyscallError("socket", err)
	}
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer) // accepted sockets inherit these
	syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
	if err := syscall.Bind(fd, socketAddress); err != nil {
		syscall.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", address, os.NewSyscallError("bind", err))
	}
	if bound, err := syscall.Getsockname(fd); err == nil {
		tcp.Port = portOf(bound)
	}
	return &listener{fd: fd, address: tcp}, nil
}

// serve lets clients connect and hands them over until end.
func (l *listener) serve() error {
	if err := syscall.Listen(l.fd, acceptBacklog); err != nil {
		return os.NewSyscallError("listen", err)
	}
	go l.acceptAll()
	return nil
}

func (l *listener) acceptAll() {
	var loggedAt time.Time
	for !l.ended.Load() {
		fd, _, err := syscall.Accept4(l.fd, syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC)
		switch {
		case err == nil:
			l.take(fd)
		case l.ended.Load():
		case errors.Is(err, syscall.EINTR), errors.Is(err, syscall.ECONNABORTED): // the next one may be well
		default:
			if time.Since(loggedAt) >= acceptLogEvery {
				loggedAt = time.Now()
				slog.Warn("can't accept", "error", err)
			}
			time.Sleep(acceptPause)
		}
	}
}

// take hands a connection over. It comes ahead of the loop: of a burst of hundreds, those that there are no descriptors
// for are closed here.
func (l *listener) take(fd int) {
	if l.open.Add(1) <= l.most {
		l.accepted(fd)
		return
	}
	l.open.Add(-1)
	syscall.Close(fd)
	if !l.asking.Swap(true) { // who is closed here can't make room by coming
		l.full()
	}
}

// end refuses further connections. The call in hand returns.
func (l *listener) end() {
	l.ended.Store(true)
	syscall.Shutdown(l.fd, syscall.SHUT_RD)
}

func socketAddressOf(tcp *stdnet.TCPAddr) (family int, address syscall.Sockaddr) {
	if tcp.IP == nil || tcp.IP.To4() != nil {
		v4 := &syscall.SockaddrInet4{Port: tcp.Port}
		copy(v4.Addr[:], tcp.IP.To4())
		return syscall.AF_INET, v4
	}
	v6 := &syscall.SockaddrInet6{Port: tcp.Port}
	copy(v6.Addr[:], tcp.IP.To16())
	return syscall.AF_INET6, v6
}

func portOf(address syscall.Sockaddr) int {
	switch a := address.(type) {
	case *syscall.SockaddrInet4:
		return a.Port
	case *syscall.SockaddrInet6:
		return a.Port
	}
	return 0
}
