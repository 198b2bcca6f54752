package net

import "havenproxy/internal/wire/pg"

// A client may send queries ahead of the responses to earlier ones. What that may cost is limited here: a query beyond the
// limits waits in the input buffer. Once that is full, what follows stays in the kernel's buffer, and may hide that the client
// has closed its connection; see backlog. Before the next query is submitted the input is read on to where it ends, and
// queries that there is no room for are refused.
const (
	maxPipelinedQueries = 16 // in progress for one client; hundreds at once would crowd out those of other clients
	// maxUnsentBytes is how much of its responses a client may leave unread, beyond what the kernel buffers, before its
	// next query has to wait.
	maxUnsentBytes = 128 << 10
	// reservedResponseBytes is what a query in progress is expected to need for its response: the largest value, as
	// databases send it.
	reservedResponseBytes = 64 << 10
	// maxHeldInputBytes is how much input of a client whose next query waits is read ahead.
	maxHeldInputBytes = pg.MaxMessage
)

// waitReason is why a client's next query has to wait.
type waitReason uint8

const (
	notWaiting     waitReason = iota
	waitsForOwn               // too many of its queries are in progress, or it leaves too much of its responses unread
	waitsForOthers            // the responses to the further queries of all clients take too much memory
	waitsForInput             // it may have closed its connection, behind input that is not read yet
)

// waitReason returns whether the client's next query has to wait, and why. Others' responses don't keep the only query of a
// client.
func (c *client) waitReason() waitReason {
	onlyQuery := len(c.responses) == 0 && c.socket.unsent == 0
	switch {
	case c.connState == stateStartup:
		return notWaiting
	case len(c.responses) >= maxPipelinedQueries || c.unsentBytes() >= maxUnsentBytes:
		return waitsForOwn
	case !onlyQuery && c.server.pipelinedBytes+reservedResponseBytes > c.server.maxPipelinedBytes:
		return waitsForOthers
	case c.endMayBeHidden():
		return waitsForInput
	}
	return notWaiting
}

// setWaiting records why the next query has to wait, if it has to.
func (c *client) setWaiting(reason waitReason) {
	if reason != waitsForOthers {
		c.leaveMemoryQueue()
	} else if c.memoryQueueElement == nil {
		c.memoryQueueElement = c.server.memoryQueue.PushBack(c)
	}
	c.waiting = reason
	if reason == waitsForInput {
		c.awaitCatchUp()
	}
}

// leaveMemoryQueue removes the client from the queue of those that wait for memory, if it is there.
func (c *client) leaveMemoryQueue() {
	if c.memoryQueueElement != nil {
		c.server.memoryQueue.Remove(c.memoryQueueElement)
		c.memoryQueueElement = nil
	}
}

// updateReading starts or stops reading the client's input.
func (c *client) updateReading() {
	reading := !c.inBusyQueue &&
		(c.waiting == notWaiting || c.waiting == waitsForInput || c.input.size() < c.maxHeldInput())
	if !reading {
		c.backlog.leftUnread(c.server.clock.Now())
	}
	if c.socket.paused == reading {
		c.socket.pauseReading(!reading)
	}
}

// maxHeldInput returns how much input may be held while the next query waits: none if all clients together hold too much.
func (c *client) maxHeldInput() int {
	switch {
	case c.server.inputFull():
		return 0
	case c.input.room() < readBufferBytes:
		return maxSmallBufferBytes
	}
	return maxHeldInputBytes
}

// resumeLater processes the waiting input of a client for which the reason to wait has changed, once the current event is
// handled.
func (c *client) resumeLater() {
	if c.waiting != notWaiting && c.waitReason() != c.waiting {
		c.processLater()
	}
}

// addPipelinedBytes changes the total of memory for responses. As many of the clients that wait for it may continue as
// there is room for, in the order in which they began to wait.
func (s *Server) addPipelinedBytes(change int) {
	if s.pipelinedBytes += change; change >= 0 {
		return
	}
	room := (s.maxPipelinedBytes - s.pipelinedBytes) / reservedResponseBytes
	for e := s.memoryQueue.Front(); e != nil && room > 0; e = e.Next() {
		e.Value.(*client).processLater()
		room--
	}
}

// unsentBytes returns the size of the complete responses that the kernel has not taken yet.
func (c *client) unsentBytes() int {
	total := c.socket.unsent
	for _, resp := range c.responses {
		total += len(resp.messages)
	}
	return total
}

// accountResponses updates the server's total for the responses to further queries: that of complete ones, and the
// expected size of the others. When it falls, clients that waited for it may continue.
func (c *client) accountResponses() {
	bytes := 0
	if c.connState != stateClosed {
		bytes = c.unsentBytes()
		for i, resp := range c.responses {
			if i > 0 && !resp.done {
				bytes += reservedResponseBytes
			}
		}
	}
	change := bytes - c.pipelinedBytes
	c.pipelinedBytes = bytes
	c.server.addPipelinedBytes(change)
	c.resumeLater()
}
