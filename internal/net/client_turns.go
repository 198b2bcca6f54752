package net

import "time"

// This file handles the turns of a client: which of its input is handled at once, in the next iteration of the loop, or in the
// queue of busy connections.

// busy reports whether the client's input has to wait for that of others.
func (c *client) busy(now time.Duration) bool {
	if c.server.loop.crowded(now) {
		return c.usage.busy(now, crowdedBurst)
	}
	return c.usage.busy(now, usageBurst)
}

// sendsOneAtATime reports whether the client has sent requests, and not much at once lately.
func (c *client) sendsOneAtATime(now time.Duration) bool {
	return c.hasRequested && !c.usage.busy(now, crowdedBurst)
}

// messageLimit returns how many messages of the client may be handled before the loop turns to others.
func (c *client) messageLimit() int {
	if c.server.loop.crowded(c.server.clock.Now()) {
		return maxMessagesPerCrowdedWake
	}
	return maxMessagesPerWake
}

// waitAsBusy puts the client into the queue of busy connections.
func (c *client) waitAsBusy() {
	if c.inBusyQueue {
		return
	}
	c.inBusyQueue = true
	c.updateReading()
	c.updateQueryTimer(false)
	c.server.logBusy(c)
	c.server.loop.busy.add(c)
}

// handleBusy implements busyWork.
func (c *client) handleBusy() {
	c.inBusyQueue = false
	switch {
	case c.connState == stateClosed:
	case c.resuming:
		c.resuming = false
		c.processInput()
	case c.readInput():
		c.processInput()
	}
}

// connection implements busyWork.
func (c *client) connection() *socket { return c.socket }

// processLater processes the rest of the input once the loop has handled its other events, or those of other busy clients.
func (c *client) processLater() {
	if c.resuming {
		return
	}
	c.resuming = true
	if c.inBusyQueue || c.busy(c.server.clock.Now()) {
		c.waitAsBusy()
		return
	}
	c.server.loop.Post(c.resume)
}

// resume processes the rest of the input, in a later iteration of the loop if this one has taken long.
func (c *client) resume() {
	if c.server.loop.turnSpent() {
		c.server.loop.Post(c.resume)
		return
	}
	c.resuming = false
	c.processInput()
}
