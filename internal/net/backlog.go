package net

import "time"

const (
	// maxUnreadTime is how long input may stay unread before it counts as a backlog that may hide the end of its connection. No
	// attempt may begin more than 100 ms after that end.
	maxUnreadTime = 50 * time.Millisecond
	// minBacklogBytes is the size of a backlog that may have filled the buffers between the client and the proxy. The end that
	// follows less is in the kernel's buffer, where it is noticed without reading.
	minBacklogBytes = 16 << 10
	// catchUpTime is how long after the last large piece of a backlog more of it may follow: a round trip to the client or to
	// what passes its bytes on.
	catchUpTime = 20 * time.Millisecond
)

// backlog tracks whether the input of a connection has been left unread, so that the client's end may stand behind it. TCP
// delivers an end only after all bytes that precede it, and it stops these when the receiver's buffer is full.
type backlog struct {
	unreadSince time.Duration // since when some input may be unread; 0 = none was when last seen
	unreadBytes int           // what has been read since then
	settledAt   time.Duration // until then more of a backlog may follow
}

// leftUnread records that some input may have been unread since the given time.
func (b *backlog) leftUnread(since time.Duration) {
	if b.unreadSince == 0 {
		b.unreadSince = since
	}
}

// read records that n bytes were read, which left nothing unread if drained is set; else some may have been unread since
// the given time.
func (b *backlog) read(now time.Duration, n int, drained bool, since time.Duration) {
	if now < b.settledAt && n >= minBacklogBytes {
		b.settledAt = now + catchUpTime
	}
	b.unreadBytes += n
	if drained {
		b.drained(now)
		return
	}
	b.leftUnread(since)
}

// drained records that no input is unread.
func (b *backlog) drained(now time.Duration) {
	if b.overdue(now) && b.unreadBytes >= minBacklogBytes {
		b.settledAt = now + catchUpTime
	}
	b.unreadSince, b.unreadBytes = 0, 0
}

// overdue reports whether input has been unread for too long, or since before an earlier backlog had settled.
func (b *backlog) overdue(now time.Duration) bool {
	return b.unreadSince > 0 && (now-b.unreadSince > maxUnreadTime || b.unreadSince < b.settledAt)
}

// endMayBeHidden reports whether the client may have closed its connection without that being seen, because its end stands
// behind input that is not read yet.
func (c *client) endMayBeHidden() bool {
	now := c.server.clock.Now()
	if c.backlog.overdue(now) && c.socket.allInputRead() {
		c.backlog.drained(now)
	}
	return c.backlog.overdue(now) || now < c.backlog.settledAt
}

// awaitCatchUp processes the input again when a backlog may have settled, unless more of it comes before.
func (c *client) awaitCatchUp() {
	at := c.backlog.settledAt
	if c.backlog.unreadSince > 0 {
		at = max(at, c.server.clock.Now()+catchUpTime)
	}
	c.server.deadlines.Set(&c.catchUpTimer, at, c.processLater)
}
