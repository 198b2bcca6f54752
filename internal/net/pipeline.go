package net

// A client may send queries ahead of the responses to earlier ones. What that may cost is limited here: a query beyond the
// limits waits, and what follows it stays in the kernel's buffer.
const (
	maxPipelinedQueries = 16 // in progress for one client; hundreds at once would crowd out those of other clients
	// maxUnsentBytes is how much of its responses a client may leave unread, beyond what the kernel buffers, before its
	// next query has to wait.
	maxUnsentBytes = 128 << 10
	// reservedResponseBytes is what a query in progress is expected to need for its response: the largest value, as
	// databases send it.
	reservedResponseBytes = 64 << 10
)

// waitReason is why a client's next query has to wait.
type waitReason uint8

const (
	notWaiting     waitReason = iota
	waitsForOwn               // too many of its queries are in progress, or it leaves too much of its responses unread
	waitsForOthers            // the responses to the further queries of all clients take too much memory
)

// waitReason returns whether the client's next query has to wait, and why. The first of a client never has to.
func (c *client) waitReason() waitReason {
	switch {
	case len(c.responses) == 0 && c.socket.unsent == 0:
		return notWaiting
	case len(c.responses) >= maxPipelinedQueries || c.unsentBytes() >= maxUnsentBytes:
		return waitsForOwn
	case c.server.pipelinedBytes+reservedResponseBytes > c.server.maxPipelinedBytes:
		return waitsForOthers
	}
	return notWaiting
}

// setWaiting records why the next query has to wait, if it has to. Meanwhile no further input is read.
func (c *client) setWaiting(reason waitReason) {
	if c.waiting == reason {
		return
	}
	if c.memoryQueueElement != nil {
		c.server.memoryQueue.Remove(c.memoryQueueElement)
		c.memoryQueueElement = nil
	}
	if reason == waitsForOthers {
		c.memoryQueueElement = c.server.memoryQueue.PushBack(c)
	}
	c.waiting = reason
	c.socket.pauseReading(reason != notWaiting)
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
