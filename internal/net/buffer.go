package net

import "havenproxy/internal/wire/pg"

const (
	// maxIdleBufferBytes is the capacity of the largest buffer that a connection keeps while it is empty.
	maxIdleBufferBytes = 16 << 10
	// maxSmallBufferBytes is the capacity up to which a buffer grows as needed; more input takes a large buffer.
	maxSmallBufferBytes = 2 * maxIdleBufferBytes
	// largeBufferBytes is the capacity of a large buffer: for the largest message and what is read with its end.
	largeBufferBytes = pg.MaxMessage + readBufferBytes
	maxSpareBuffers  = 8
)

// buffer is the input buffer of a connection. Bytes are added at its end and processed from its front. Large storage is
// taken from the loop's spare buffers and returned to them, as many are needed in a burst, each for a moment.
//
// Processed bytes are only skipped, and the rest moves when its storage is full: moving it for each message would take work
// that grows with the square of what a peer sends.
type buffer struct {
	loop    *Loop
	storage []byte
	start   int // index in storage of the first byte that is not processed yet
}

// unprocessed returns the bytes that are not processed yet. They are valid until the next append.
func (b *buffer) unprocessed() []byte { return b.storage[b.start:] }

// size returns the number of bytes that are not processed yet.
func (b *buffer) size() int { return len(b.storage) - b.start }

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
		b.replace(b.loop.takeLargeBuffer())
	default:
		b.replace(make([]byte, 0, min(max(needed, 2*b.size()), maxSmallBufferBytes)))
	}
}

// replace moves the unprocessed bytes to other storage, or to the front of the same.
func (b *buffer) replace(by []byte) {
	old := b.storage
	b.storage, b.start = append(by, b.unprocessed()...), 0
	if cap(old) > 0 && cap(b.storage) > 0 && &old[:1][0] != &b.storage[:1][0] {
		b.loop.returnLargeBuffer(old)
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
	b.loop.returnLargeBuffer(b.storage)
	b.storage, b.start = nil, 0
}

// takeLargeBuffer returns an empty buffer of at least largeBufferBytes.
func (l *Loop) takeLargeBuffer() []byte {
	last := len(l.spareBuffers) - 1
	if last < 0 {
		return make([]byte, 0, largeBufferBytes)
	}
	spare := l.spareBuffers[last]
	l.spareBuffers = l.spareBuffers[:last]
	return spare
}

// returnLargeBuffer keeps a large buffer that is no longer used, up to maxSpareBuffers.
func (l *Loop) returnLargeBuffer(b []byte) {
	if cap(b) >= largeBufferBytes && len(l.spareBuffers) < maxSpareBuffers {
		l.spareBuffers = append(l.spareBuffers, b[:0])
	}
}
