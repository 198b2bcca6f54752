package net

import (
	"context"
	stdnet "net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// dial starts to connect to an address and passes the socket to done on the loop, later than its own return: with an
// error if the connection failed. The result is a function that gives the attempt up and frees its descriptor at once;
// done is not called after that. Only the name of a host that is no IP address is resolved on another goroutine, within
// the timeout; the caller limits the time to connect.
func dial(loop *Loop, address string, timeout time.Duration, handler socketHandler, done func(*socket, error)) (cancel func()) {
	d := &dialing{loop: loop, handler: handler, done: done}
	if host, _, err := stdnet.SplitHostPort(address); err == nil && stdnet.ParseIP(host) != nil {
		d.connect(stdnet.ResolveTCPAddr("tcp", address))
		return d.cancel
	}
	go func() {
		tcp, err := resolve(address, timeout)
		loop.Post(func() { d.connect(tcp, err) })
	}()
	return d.cancel
}

// resolve returns the first address of a host.
func resolve(address string, timeout time.Duration) (*stdnet.TCPAddr, error) {
	host, port, err := stdnet.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithTimeout(context.Background(), timeout)
	defer stop()
	addresses, err := stdnet.DefaultResolver.LookupNetIP(ctx, "ip", host)
	if err != nil {
		return nil, err
	}
	number, err := stdnet.DefaultResolver.LookupPort(ctx, "tcp", port)
	if err != nil {
		return nil, err
	}
	return &stdnet.TCPAddr{IP: addresses[0].Unmap().AsSlice(), Port: number}, nil
}

// dialing is a connection that is being established.
type dialing struct {
	loop      *Loop
	handler   socketHandler
	done      func(*socket, error)
	socket    *socket // nil until connect(2) has been called
	cancelled bool
}

// cancel gives the connection up.
func (d *dialing) cancel() {
	d.cancelled = true
	if d.socket != nil {
		d.socket.close()
	}
}

// connect starts to connect to a resolved address.
func (d *dialing) connect(address *stdnet.TCPAddr, err error) {
	if d.cancelled {
		return
	}
	if err == nil {
		err = d.startConnect(address)
	}
	if err != nil {
		d.loop.Post(func() { d.finish(err) })
	}
}

// startConnect calls connect(2) on a new socket; finish follows.
func (d *dialing) startConnect(address *stdnet.TCPAddr) error {
	family, socketAddress := sockaddr(address)
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return os.NewSyscallError("socket", err)
	}
	setBufferSizes(fd)
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	if err := unix.Connect(fd, socketAddress); err != nil && err != unix.EINPROGRESS && err != unix.EINTR {
		unix.Close(fd)
		return os.NewSyscallError("connect", err)
	}
	d.socket, err = newSocket(d.loop, fd, d.handler, d.finish)
	return err
}

// finish reports the result.
func (d *dialing) finish(err error) {
	switch {
	case d.cancelled:
	case err != nil:
		if d.socket != nil {
			d.socket.close()
		}
		d.done(nil, err)
	default:
		d.done(d.socket, nil)
	}
}

// setBufferSizes fixes the sizes of a socket's buffers in the kernel, which would grow otherwise.
func setBufferSizes(fd int) {
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
}
