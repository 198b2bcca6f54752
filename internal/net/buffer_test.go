package net

import (
	"testing"
	"time"

	"havenproxy/internal/wire/pg"
)

// bufferWork are uses of a buffer with an amount of input in bytes.
var bufferWork = map[string]func(b *buffer, size int){
	"many small messages": func(b *buffer, size int) {
		b.append(make([]byte, size))
		for range size / 6 {
			b.discard(6)
		}
	},
	"one message in many pieces": func(b *buffer, size int) {
		for range size {
			b.append([]byte{0})
			b.discard(0)
		}
	},
	"messages that pass through a buffer that holds others": func(b *buffer, size int) {
		b.append(make([]byte, size))
		for range size {
			b.append([]byte{0})
			b.discard(1)
		}
	},
}

// shortestTime returns the shortest time that a use of a buffer takes in several tries.
func shortestTime(work func(*buffer, int), size int) time.Duration {
	shortest := time.Hour
	for range 10 {
		b := buffer{pool: &bufferPool{max: 1}}
		begin := time.Now()
		work(&b, size)
		shortest = min(shortest, time.Since(begin))
	}
	return shortest
}

// The rest of the input was moved for each message that was taken from its front, and for each piece of a message. With 16
// times the input, work in proportion takes 16 times as long, and work that grows with its square 256 times.
func TestInputIsMovedOnlyNowAndThen(t *testing.T) {
	const times, allowed = 16, 64
	for name, work := range bufferWork {
		little := max(shortestTime(work, pg.MaxMessage/times), 10*time.Microsecond)
		if much := shortestTime(work, pg.MaxMessage); much > allowed*little {
			t.Errorf("%s: took %v, and %v with %d times the input", name, little, much, times)
		}
	}
}

// Input keeps its bytes and their order however it is added and processed.
func TestBufferKeepsItsBytes(t *testing.T) {
	b := buffer{pool: &bufferPool{max: 1}}
	var added, processed byte
	for step := range 20000 {
		piece := make([]byte, step*7919%(readBufferBytes/8))
		for i := range piece {
			piece[i] = added
			added++
		}
		b.append(piece)
		n := b.size() * (step % 3) / 2
		if b.size() > pg.MaxMessage {
			n = b.size()
		}
		for _, got := range b.unprocessed()[:n] {
			if got != processed {
				t.Fatalf("step %d: got %d, want %d", step, got, processed)
			}
			processed++
		}
		if b.discard(n); b.held() > largeBufferBytes {
			t.Fatalf("step %d: the buffer holds %d bytes", step, b.held())
		}
	}
}
