package net

import (
	"encoding/binary"
	"fmt"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxPolledEvents is how many sockets one wait reports at most: more than a proxy has descriptors, so that the loop
	// sees all hang-ups before it handles any input.
	maxPolledEvents = 4096

	eventReadable = unix.EPOLLIN
	eventWritable = unix.EPOLLOUT
	eventHangup   = unix.EPOLLRDHUP | unix.EPOLLHUP | unix.EPOLLERR
)

// wakeID is the id of the poller's own event descriptor.
const wakeID = 0

// poller waits for events on sockets with epoll(7), level-triggered. All its methods but wake belong to one goroutine.
type poller struct {
	epoll  int
	wakeFD int
	events []unix.EpollEvent
	lastID uint64 // ids are never reused, unlike descriptors: an event of a closed socket matches no open one
}

// newPoller returns a poller that watches no socket yet.
func newPoller() (*poller, error) {
	epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
	if err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	wakeFD, err := unix.Eventfd(0, unix.EFD_CLOEXEC|unix.EFD_NONBLOCK)
	if err != nil {
		unix.Close(epoll)
		return nil, os.NewSyscallError("eventfd", err)
	}
	p := &poller{epoll: epoll, wakeFD: wakeFD, events: make([]unix.EpollEvent, maxPolledEvents)}
	if err := p.control(unix.EPOLL_CTL_ADD, wakeFD, wakeID, eventReadable); err != nil {
		p.close()
		return nil, err
	}
	return p, nil
}

// close releases the poller's descriptors.
func (p *poller) close() {
	unix.Close(p.epoll)
	unix.Close(p.wakeFD)
}

// add watches a descriptor, and returns the id with which its events are reported.
func (p *poller) add(fd int, interest uint32) (uint64, error) {
	p.lastID++
	return p.lastID, p.control(unix.EPOLL_CTL_ADD, fd, p.lastID, interest)
}

// modify changes the events that are watched for. Closing a descriptor ends its watch.
func (p *poller) modify(fd int, id uint64, interest uint32) error {
	return p.control(unix.EPOLL_CTL_MOD, fd, id, interest)
}

// remove ends the watch of a descriptor that stays open.
func (p *poller) remove(fd int) error { return p.control(unix.EPOLL_CTL_DEL, fd, 0, 0) }

func (p *poller) control(operation, fd int, id uint64, interest uint32) error {
	event := unix.EpollEvent{Events: interest, Fd: int32(uint32(id)), Pad: int32(uint32(id >> 32))}
	if err := unix.EpollCtl(p.epoll, operation, fd, &event); err != nil {
		return os.NewSyscallError("epoll_ctl", err)
	}
	return nil
}

// polledEvent says what a socket is ready for: a set of eventReadable, eventWritable and eventHangup.
type polledEvent struct {
	id    uint64
	ready uint32
}

// wait appends the events of the sockets that are ready to dst. It waits for one up to the timeout, which is rounded up
// to milliseconds, or until wake is called; a negative timeout means no limit.
func (p *poller) wait(dst []polledEvent, timeout time.Duration) []polledEvent {
	milliseconds := -1
	if timeout >= 0 {
		milliseconds = int((timeout + time.Millisecond - 1) / time.Millisecond)
	}
	n, err := unix.EpollWait(p.epoll, p.events, milliseconds)
	if err != nil && err != unix.EINTR {
		panic(fmt.Sprintf("epoll_wait: %v", err)) // only invalid arguments cause another error
	}
	for _, e := range p.events[:max(n, 0)] {
		id := uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32
		if id == wakeID {
			var counter [8]byte
			unix.Read(p.wakeFD, counter[:])
			continue
		}
		dst = append(dst, polledEvent{id: id, ready: e.Events})
	}
	return dst
}

// wake ends a wait that is in progress, or else the next one. It may be called from any goroutine.
func (p *poller) wake() {
	var one [8]byte
	binary.NativeEndian.PutUint64(one[:], 1)
	unix.Write(p.wakeFD, one[:])
}
