package net

import (
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// descriptor holds the file descriptor of a connection, for system calls that netpoll doesn't offer. netpoll closes the
// descriptor on a goroutine of its own, after which its number may belong to another connection. So it is used only
// under the lock, and no longer once it is about to be closed.
type descriptor struct {
	conn netpoll.Connection
	mu   sync.Mutex
	fd   int // -1 once it is about to be closed
}

// newDescriptor must be called before netpoll may close the connection: when it is accepted, or when its callbacks are
// set.
func newDescriptor(conn netpoll.Connection) *descriptor {
	d := &descriptor{conn: conn, fd: -1}
	if c, ok := conn.(netpoll.Conn); ok {
		d.fd = c.Fd()
	}
	conn.AddCloseCallback(func(netpoll.Connection) error { // the last callback added runs first, before the one that closes
		d.mu.Lock()
		defer d.mu.Unlock()
		d.fd = -1
		return nil
	})
	return d
}

// readBuffersEmpty reports whether the connection has neither unread bytes nor an unread end of stream. netpoll moves
// bytes from the kernel to its reader at any time, so the reader is checked last.
func (d *descriptor) readBuffersEmpty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fd < 0 {
		return false
	}
	_, _, err := syscall.Recvfrom(d.fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN && d.conn.Reader().Len() == 0
}

// closeWrite shuts down the sending side; what the peer sends can still be read.
func (d *descriptor) closeWrite() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fd >= 0 {
		syscall.Shutdown(d.fd, syscall.SHUT_WR)
	}
}
