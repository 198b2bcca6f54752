package net

import (
	"errors"
	"io"
	stdnet "net"
	"net/netip"
	"time"

	"golang.org/x/sys/unix"

	"havenproxy/internal/state"
)

// writeStallTimeout is how long a peer may accept no byte of the output that waits for it. It is longer than any request
// takes, so that a client which only reads slowly or pauses still gets its responses.
const writeStallTimeout = 10 * time.Second

// outputChunkBytes is the size of the chunks into which small writes are gathered while they wait.
const outputChunkBytes = 4 << 10

var errPeerNotReading = errors.New("the peer does not read")

// socketHandler handles the events of a socket. Its methods are called on the loop.
type socketHandler interface {
	// onHangup is called when the peer has closed the connection or ended its sending. It precedes the handling of the
	// input of all sockets.
	onHangup()
	// onReadable is called when input, the end of the stream or an error can be read.
	onReadable()
	// onWritten is called when the output that had to wait has been written.
	onWritten()
	// onWriteFailed is called when the output that waits can't be written any more.
	onWriteFailed(err error)
	// onPanic is called after a panic in one of the other methods. It ends the connection.
	onPanic()
}

// socket is a non-blocking TCP connection on the loop. No operation waits for the peer: output that the kernel doesn't
// take at once is queued, and input is read only when asked for.
type socket struct {
	loop      *Loop
	fd        int // -1 once closed
	id        uint64
	handler   socketHandler
	onDialed  func(error) // the handler of the result of connect(2), until then
	interest  uint32
	paused    bool     // input is left in the kernel's buffer
	readsEnd  bool     // the end of the stream matters only behind the input, also while reading is paused
	output    [][]byte // what the kernel has not taken yet
	gathering bool     // the last chunk of output is the socket's own, and may be appended to within its capacity
	unsent    int      // total bytes of output
	stallTime state.Deadline
}

// newSocket watches a connected or connecting socket. It takes over the descriptor, also if it fails.
func newSocket(loop *Loop, fd int, handler socketHandler, onDialed func(error)) (*socket, error) {
	s := &socket{loop: loop, fd: fd, handler: handler, onDialed: onDialed}
	s.interest = s.wantedInterest()
	var err error
	if s.id, err = loop.poller.add(fd, s.interest); err != nil {
		unix.Close(fd)
		return nil, err
	}
	loop.sockets[s.id] = s
	return s, nil
}

// wantedInterest returns the events that the socket has to be watched for.
func (s *socket) wantedInterest() uint32 {
	interest := uint32(0)
	if !s.paused {
		interest |= eventReadable
	}
	if !s.paused || !s.readsEnd { // an event that isn't handled would be reported again and again
		interest |= unix.EPOLLRDHUP
	}
	if s.unsent > 0 || s.onDialed != nil {
		interest |= eventWritable
	}
	return interest
}

// updateInterest watches for the events that are wanted now.
func (s *socket) updateInterest() {
	if wanted := s.wantedInterest(); s.fd >= 0 && wanted != s.interest {
		s.interest = wanted
		s.loop.poller.modify(s.fd, s.id, wanted)
	}
}

// pauseReading stops or resumes the calls of onReadable. A hang-up is still noticed, unless readsEnd is set and the peer has only
// ended its stream.
func (s *socket) pauseReading(paused bool) {
	s.paused = paused
	s.updateInterest()
}

// handleEvent handles what the poller has reported, except for hang-ups on which only onHangup is called.
func (s *socket) handleEvent(ready uint32) {
	if s.onDialed != nil {
		s.finishDial()
		return
	}
	if ready&(eventReadable|eventHangup) != 0 && !s.paused {
		s.handler.onReadable()
	}
	if ready&eventWritable != 0 && s.fd >= 0 {
		s.flush()
	}
}

// finishDial passes the result of connect(2) to onDialed.
func (s *socket) finishDial() {
	done := s.onDialed
	s.onDialed = nil
	s.updateInterest()
	code, err := unix.GetsockoptInt(s.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	done(err)
}

// read appends input to the buffer, at most as many bytes as it has room for, and returns how many. It reads nothing if no
// input has arrived or the buffer has no room, and returns io.EOF at the end of the stream.
func (s *socket) read(into *buffer) (int, error) {
	room := into.room()
	if room == 0 {
		return 0, nil
	}
	for {
		n, err := unix.Read(s.fd, s.loop.readBuffer[:room])
		switch {
		case err == unix.EINTR:
			continue
		case err == unix.EAGAIN:
			return 0, nil
		case err != nil:
			return 0, err
		case n == 0:
			return 0, io.EOF
		}
		into.append(s.loop.readBuffer[:n])
		return n, nil
	}
}

// write sends bytes, or queues those that the kernel doesn't take now; onWritten follows for these. The bytes must not be
// changed later. An error means that nothing was queued and that the connection is broken.
func (s *socket) write(b []byte) error {
	if s.fd < 0 {
		return stdnet.ErrClosed
	}
	if s.unsent == 0 {
		n, err := s.send(b)
		if err != nil {
			return err
		}
		if b = b[n:]; len(b) == 0 {
			return nil
		}
		s.setStallTimeout()
	}
	s.enqueue(b)
	s.updateInterest()
	return nil
}

// enqueue adds bytes to the queued output. Small ones are copied into a common chunk, so that many take little memory.
func (s *socket) enqueue(b []byte) {
	s.unsent += len(b)
	if len(b) >= outputChunkBytes {
		s.output, s.gathering = append(s.output, b), false
		return
	}
	last := len(s.output) - 1
	if !s.gathering || last < 0 || len(s.output[last])+len(b) > cap(s.output[last]) {
		s.output, s.gathering = append(s.output, make([]byte, 0, outputChunkBytes)), true
		last++
	}
	s.output[last] = append(s.output[last], b...)
}

// send passes bytes to the kernel and returns how many it took.
func (s *socket) send(b []byte) (int, error) {
	for {
		n, err := unix.Write(s.fd, b)
		switch err {
		case nil:
			return n, nil
		case unix.EINTR:
		case unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM:
			return 0, nil
		default:
			return 0, err
		}
	}
}

// flush writes queued output.
func (s *socket) flush() {
	for len(s.output) > 0 {
		n, err := s.send(s.output[0])
		if err != nil {
			s.handler.onWriteFailed(err)
			return
		}
		if n == 0 {
			return
		}
		s.unsent -= n
		s.setStallTimeout()
		if s.output[0] = s.output[0][n:]; len(s.output[0]) > 0 {
			return
		}
		s.output[0] = nil
		s.output = s.output[1:]
	}
	s.output = nil
	s.loop.deadlines.Clear(&s.stallTime)
	s.updateInterest()
	s.handler.onWritten()
}

// setStallTimeout limits the time until the kernel takes more of the output.
func (s *socket) setStallTimeout() {
	s.loop.deadlines.Set(&s.stallTime, s.loop.clock.Now()+writeStallTimeout, func() {
		s.handler.onWriteFailed(errPeerNotReading)
	})
}

// allInputRead reports whether the kernel's buffer holds neither unread bytes nor an unread end of stream.
func (s *socket) allInputRead() bool {
	if s.fd < 0 {
		return false
	}
	for {
		_, _, err := unix.Recvfrom(s.fd, s.loop.readBuffer[:1], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		if err != unix.EINTR {
			return err == unix.EAGAIN
		}
	}
}

// peerClosed reports whether the end of the connection has arrived, also behind input that is not read yet.
func (s *socket) peerClosed() bool {
	return s.fd < 0 || hangupPending(s.fd)
}

// hangupPending reports whether the end of a connection has arrived at its descriptor.
func hangupPending(fd int) bool {
	polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	for {
		if _, err := unix.Poll(polled, 0); err != unix.EINTR {
			return polled[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
		}
	}
}

// peerAddress returns the address of the peer for the log, or an empty string if it is not known.
func (s *socket) peerAddress() string {
	peer, err := unix.Getpeername(s.fd)
	if err != nil {
		return ""
	}
	switch a := peer.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port)).String()
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port)).String()
	}
	return ""
}

// closeWrite shuts down the sending side; what the peer sends can still be read.
func (s *socket) closeWrite() {
	if s.fd >= 0 {
		unix.Shutdown(s.fd, unix.SHUT_WR)
	}
}

// unwatch ends all callbacks and leaves the descriptor open.
func (s *socket) unwatch() {
	s.loop.poller.remove(s.fd)
	delete(s.loop.sockets, s.id)
	s.fd = -1
}

// close closes the socket and drops its queued output. No callback follows.
func (s *socket) close() {
	if s.fd < 0 {
		return
	}
	s.loop.deadlines.Clear(&s.stallTime)
	delete(s.loop.sockets, s.id)
	unix.Close(s.fd)
	s.fd, s.output, s.unsent = -1, nil, 0
}
