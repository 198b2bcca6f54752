package net

import (
	"container/list"

	"havenproxy/internal/wire/pg"
)

const (
	// maxIdleBufferBytes is the capacity of the largest buffer that a connection keeps while it is empty.
	maxIdleBufferBytes = 16 << 10
	// maxSmallBufferBytes is the capacity up to which a buffer grows as needed; more input takes a large buffer.
	maxSmallBufferBytes = 2 * maxIdleBufferBytes
	// largeBufferBytes is the capacity of a large buffer: for the largest message and what is read with its end.
	largeBufferBytes = pg.MaxMessage + readBufferBytes
	// maxIdleSpareBuffers is how many large buffers a pool keeps while none is in use.
	maxIdleSpareBuffers = 4
)

// buffer is the input buffer of a connection. Bytes are added at its end and processed from its front. Large storage is
// taken from a pool and returned to it, as many are needed in a burst, each for a moment.
//
// Processed bytes are only skipped, and the rest moves when its storage is full: moving it for each message would take work
// that grows with the square of what a peer sends.
type buffer struct {
	pool    *bufferPool
	storage []byte
	start   int // index in storage of the first byte that is not processed yet
}

// unprocessed returns the bytes that are not processed yet. They are valid until the next append.
func (b *buffer) unprocessed() []byte { return b.storage[b.start:] }

// size returns the number of bytes that are not processed yet.
func (b *buffer) size() int { return len(b.storage) - b.start }

// room returns how many bytes of input may be added now, up to the size of one read. It is 0 if that takes a large buffer and
// the pool has none.
func (b *buffer) room() int {
	if cap(b.storage) >= largeBufferBytes || b.pool.available() {
		return readBufferBytes
	}
	return min(max(maxSmallBufferBytes-b.size(), 0), readBufferBytes)
}

// grow gives the buffer large storage.
func (b *buffer) grow() { b.replace(b.pool.take()) }

// append adds input to the buffer.
func (b *buffer) append(in []byte) {
	if len(b.storage)+len(in) > cap(b.storage) {
		b.makeRoom(b.size() + len(in))
	}
	b.storage = append(b.storage, in...)
}

// makeRoom moves the unprocessed bytes to the front of storage of at least the given capacity.
func (b *buffer) makeRoom(needed int) {
	switch {
	case needed <= cap(b.storage) && (b.start >= b.size() || cap(b.storage) >= largeBufferBytes):
		b.replace(b.storage[:0])
	case needed > maxSmallBufferBytes:
		b.grow()
	default:
		b.replace(make([]byte, 0, min(max(needed, 2*b.size()), maxSmallBufferBytes)))
	}
}

// replace moves the unprocessed bytes to other storage, or to the front of the same.
func (b *buffer) replace(by []byte) {
	old := b.storage
	b.storage, b.start = append(by, b.unprocessed()...), 0
	if cap(old) > 0 && cap(b.storage) > 0 && &old[:1][0] != &b.storage[:1][0] {
		b.pool.put(old)
	}
}

// held returns the memory that unprocessed input takes, in bytes.
func (b *buffer) held() int {
	if b.size() == 0 {
		return 0
	}
	return cap(b.storage)
}

// discard drops the first n unprocessed bytes.
func (b *buffer) discard(n int) {
	b.start += n
	switch left := b.size(); {
	case left == 0 && cap(b.storage) > maxIdleBufferBytes:
		b.free()
	case left == 0:
		b.storage, b.start = b.storage[:0], 0
	case left <= maxIdleBufferBytes && cap(b.storage) >= largeBufferBytes:
		b.replace(make([]byte, 0, left))
	}
}

// free drops all input and the memory for it.
func (b *buffer) free() {
	b.pool.put(b.storage)
	b.storage, b.start = nil, 0
}

// bufferPool hands out large buffers, and bounds how many are in use at once.
type bufferPool struct {
	max     int // how many may be in use
	inUse   int
	spare   [][]byte
	waiting list.List // of *databaseConn, those that need a buffer, in order
}

// available reports whether a buffer may be taken, after those that wait for one.
func (p *bufferPool) available() bool { return p.inUse < p.max && p.waiting.Len() == 0 }

// take returns an empty buffer of at least largeBufferBytes.
func (p *bufferPool) take() []byte {
	p.inUse++
	last := len(p.spare) - 1
	if last < 0 {
		return make([]byte, 0, largeBufferBytes)
	}
	spare := p.spare[last]
	p.spare = p.spare[:last]
	return spare
}

// put takes back storage that is no longer used, if it is a large buffer. The connection that has waited for longest gets it.
func (p *bufferPool) put(b []byte) {
	if cap(b) < largeBufferBytes {
		return
	}
	p.inUse--
	p.spare = append(p.spare, b[:0])
	if first := p.waiting.Front(); first != nil && p.inUse < p.max {
		first.Value.(*databaseConn).bufferAvailable()
		return
	}
	if p.inUse == 0 && len(p.spare) > maxIdleSpareBuffers {
		clear(p.spare[maxIdleSpareBuffers:])
		p.spare = p.spare[:maxIdleSpareBuffers]
	}
}
