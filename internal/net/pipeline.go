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

// canSubmit reports whether the client's next query may be handled now. The first of a client always may. A further one
// waits while too many are in progress, while the client leaves too much of its responses unread, or while the responses
// to the further queries of all clients take too much memory.
func (c *client) canSubmit() bool {
	switch {
	case len(c.responses) == 0 && c.socket.unsent == 0:
		return true
	case len(c.responses) >= maxPipelinedQueries || c.unsentBytes() >= maxUnsentBytes:
		return false
	}
	return c.server.pipelinedBytes+reservedResponseBytes <= c.server.maxPipelinedBytes
}

// setBlocked records whether the next query has to wait. Meanwhile no further input is read.
func (c *client) setBlocked(blocked bool) {
	if c.blocked == blocked {
		return
	}
	c.blocked = blocked
	c.socket.pauseReading(blocked)
	if blocked {
		c.server.blocked[c] = struct{}{}
	} else {
		delete(c.server.blocked, c)
	}
}

// resumeLater processes the waiting input of a blocked client that may continue, once the current event is handled.
func (c *client) resumeLater() {
	if c.blocked && c.canSubmit() {
		c.processLater()
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
