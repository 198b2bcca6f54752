package net

import (
	"sync"
	"syscall"

	"github.com/cloudwego/netpoll"
)

// descriptor is that of a connection, for what netpoll doesn't offer. netpoll closes it on a goroutine of its own, and
// the number may then be another connection's: it is used under the lock, and no more once it is to be closed.
type descriptor struct {
	conn netpoll.Connection
	mu   sync.Mutex
	fd   int // -1 once it is to be closed
}

// descriptorOf is to be called before netpoll may close the connection: when it is accepted or attached.
func descriptorOf(conn netpoll.Connection) *descriptor {
	d := &descriptor{conn: conn, fd: -1}
	if c, ok := conn.(netpoll.Conn); ok {
		d.fd = c.Fd()
	}
	conn.AddCloseCallback(func(netpoll.Connection) error { // the callback added last runs first, and the closing last
		d.mu.Lock()
		defer d.mu.Unlock()
		d.fd = -1
		return nil
	})
	return d
}

// empty tells that nothing of the connection is still to be taken in, neither bytes nor their end. netpoll moves them
// from the kernel to its reader at any time, so the reader is looked at last.
func (d *descriptor) empty() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fd < 0 {
		return false
	}
	_, _, err := syscall.Recvfrom(d.fd, make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return err == syscall.EAGAIN && d.conn.Reader().Len() == 0
}

// endSending tells the peer that nothing more comes; what it sends may still be read.
func (d *descriptor) endSending() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fd >= 0 {
		syscall.Shutdown(d.fd, syscall.SHUT_WR)
	}
}
