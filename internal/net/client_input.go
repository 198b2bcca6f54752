package net

import (
	"bytes"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

// This file handles the input of a client: reading, messages and queries.

// onReadable implements socketHandler. The input of a busy client is left unread until the loop has served others.
func (c *client) onReadable() {
	now := c.server.clock.Now()
	switch {
	case c.resuming: // what was read before comes first
		c.backlog.leftUnread(now)
	case c.busy(now):
		c.waitAsBusy()
	case c.readInput():
		if c.accountBuffer(); c.mayHoldInput() && c.busy(c.server.clock.Now()) {
			c.processLater()
			return
		}
		c.processInput()
	}
}

// mayHoldInput reports whether what was read may be held until the client's turn: it is a complete message, and the input of all
// clients does not take too much memory. A partial one is only accounted, or refused for lack of memory.
func (c *client) mayHoldInput() bool { return !c.server.inputFull() && c.messageComplete() }

// readInput reads a limited part of the available input. It reports whether the connection is still open.
func (c *client) readInput() bool {
	room := c.input.room()
	n, err := c.socket.read(&c.input)
	if err != nil {
		c.close()
		return false
	}
	now := c.server.clock.Now()
	c.usage.add(now, n/usageBytes)
	c.backlog.read(now, n, n < room, c.server.loop.polledBefore)
	return true
}

// processInput handles complete messages in the input buffer, at most maxMessagesPerWake; the loop turns to other
// connections before it handles further ones. A query that has to wait stays in the buffer.
func (c *client) processInput() {
	defer c.updateEvictionList()
	c.batching = true
	handled := c.handleMessages()
	c.batching = false
	c.sendResponses()
	if c.connState >= stateClosing {
		c.input.discard(c.input.size()) // input after the final response is ignored
		c.accountBuffer()
		if c.connState == stateClosing {
			c.updateReading()
		}
		return
	}
	if handled > 0 {
		c.messages += handled
		c.usage.add(c.server.clock.Now(), handled)
		c.leaveMemoryQueue() // others that wait for memory come first
	}
	reason := notWaiting
	if c.input.size() > 0 {
		reason = c.waitReason()
	}
	c.setWaiting(reason)
	if c.mayHandleNext(reason) && c.messageComplete() {
		c.processLater()
	}
	c.updateReading()
	c.updateQueryTimer(handled > 0)
	c.accountBuffer()
	if c.lacksMemory(reason) {
		c.rejectPartialQuery()
	}
}

// lacksMemory reports whether there is no memory for the rest of a partial query that could be submitted.
func (c *client) lacksMemory(reason waitReason) bool {
	if c.resuming || reason == waitsForOwn || reason == waitsForOthers {
		return false
	}
	return c.input.room() == 0 || c.server.inputFull() && c.input.size() > c.server.inputShare()
}

// rejectPartialQuery closes the connection of a client that has sent a part of a query for which there is no memory.
func (c *client) rejectPartialQuery() {
	c.server.dispatcher.Counters.ClientsRejected++ // the partial query has not been accepted as a request
	c.closeWithError(pg.CodeTooManyConnections, "no memory for a query of this size now")
	c.input.discard(c.input.size())
	c.accountBuffer()
}

// mayHandleNext reports whether the next message may be handled: submitted, or refused to make room for what follows it.
func (c *client) mayHandleNext(reason waitReason) bool {
	return reason == notWaiting || reason == waitsForInput && c.input.size() >= c.maxHeldInput()
}

// handleMessages handles messages until none is complete, the connection closes, the next has to wait, or as
// many are handled as may be in one wake. It returns how many were.
func (c *client) handleMessages() (handled int) {
	limit := c.messageLimit()
	for ; c.connState < stateClosing && handled < limit; handled++ {
		reason := c.waitReason()
		if !c.mayHandleNext(reason) {
			return handled
		}
		n, err := c.handleMessage(c.input.unprocessed(), reason == notWaiting)
		c.input.discard(n)
		if err != nil {
			c.protocolError(err)
			return handled
		}
		if n == 0 {
			return handled
		}
	}
	return handled
}

// messageComplete reports whether the first message in the input buffer is complete or invalid.
func (c *client) messageComplete() bool {
	if c.connState == stateStartup {
		_, n, err := pg.NextStartup(c.input.unprocessed())
		return n > 0 || err != nil
	}
	_, n, err := pg.Next(c.input.unprocessed())
	return n > 0 || err != nil
}

// updateQueryTimer starts the timeout for the rest of a partial query, once per query, and clears it when no partial
// query is left.
func (c *client) updateQueryTimer(newQuery bool) {
	if !c.hasQueried || c.connState >= stateClosing {
		return // the timeout for the first query, set on accept, or that for the client's end still runs
	}
	partialQuery := c.input.size() > 0 && c.waiting == notWaiting && !c.resuming && !c.inBusyQueue
	switch {
	case partialQuery && (newQuery || !c.partialQuery):
		c.server.deadlines.Set(&c.timer, c.server.clock.Now()+queryTimeout, c.queryTimedOut)
	case !partialQuery && c.partialQuery:
		c.server.deadlines.Clear(&c.timer)
	}
	c.partialQuery = partialQuery
}

func (c *client) queryTimedOut() { c.protocolError(errQueryTimeout) }

// accountBuffer updates the server's total of input buffered for all clients.
func (c *client) accountBuffer() {
	held := c.input.held()
	c.server.bufferedBytes += held - c.accountedBytes
	c.accountedBytes = held
}

// handleMessage handles the first message in buf and returns its length, or 0 if the message is incomplete. Unless a query may
// be submitted, it is refused.
func (c *client) handleMessage(buf []byte, maySubmit bool) (int, error) {
	if c.connState == stateStartup {
		return c.handleStartup(buf)
	}
	m, n, err := pg.Next(buf)
	if n == 0 || err != nil {
		return 0, err
	}
	switch m.Type {
	case pg.TypeTerminate:
		c.close()
		return n, nil
	case pg.TypeQuery:
		text, err := pg.QueryText(m)
		if err != nil {
			return n, err
		}
		return n, c.handleQuery(text, maySubmit)
	}
	return n, pg.ErrMalformed // only the simple query protocol is supported
}

// handleStartup handles a startup, encryption or cancel request and returns its length, or 0 if it is incomplete.
func (c *client) handleStartup(buf []byte) (int, error) {
	kind, n, err := pg.NextStartup(buf)
	if n == 0 || err != nil {
		return 0, err
	}
	switch {
	case kind == pg.StartupEncryption:
		if c.encryptionRequests++; c.encryptionRequests > maxEncryptionRequests {
			return n, pg.ErrMalformed
		}
		c.write(pg.AppendEncryptionRefusal(nil))
	case kind == pg.StartupCancel:
		c.close()
	case c.excess && c.server.oldestWithoutRequest() == nil:
		c.rejectExcess()
	default:
		c.connState = stateServing
		c.write(pg.AppendStartupResponse(nil))
	}
	return n, nil
}

// handleQuery submits a query to the dispatcher as a request. An error means that the query is invalid. A query that there
// is no room for, or that may not be submitted, is refused before it is copied or parsed.
func (c *client) handleQuery(text []byte, maySubmit bool) error {
	if !c.hasQueried {
		c.hasQueried = true
		c.server.deadlines.Clear(&c.timer)
	}
	resp := &pendingResponse{client: c}
	switch {
	case c.excess && !c.server.makeRoomForRequest(c, text):
		c.rejectExcess()
		return nil
	case len(bytes.Trim(text, " \t\r\n;")) == 0:
		c.emptyQueries++
		c.responses = append(c.responses, resp)
		resp.complete(pg.AppendEmptyQueryResponse(nil))
		return nil
	case !maySubmit || !c.server.dispatcher.HasRoomForQuery(len(text)):
		c.responses = append(c.responses, resp)
		c.server.dispatcher.RefuseForSize(resp)
		return nil
	}
	return c.submit(string(text), resp)
}

// rejectExcess closes the connection of a client for which there is no room.
func (c *client) rejectExcess() {
	c.server.dispatcher.Counters.ClientsRejected++
	c.closeWithError(pg.CodeTooManyConnections, "too many clients")
}

// submit parses a query and submits it. An error means that it is invalid.
func (c *client) submit(text string, resp *pendingResponse) error {
	st, err := pg.ParseStatement(text)
	if err != nil {
		return err
	}
	c.responses = append(c.responses, resp)
	c.server.loop.callShared(func() {
		resp.id, err = c.server.dispatcher.Submit(state.Request{ClientRequestID: st.ID, Class: st.Class, Timeout: st.Timeout,
			Session: st.Session, Group: st.Group, TokenMillis: st.TokenMillis, Retry: st.Retry, Query: &st, QueryBytes: len(text),
			Responder: resp})
	})
	c.hasRequested = c.hasRequested || err == nil
	switch {
	case c.connState == stateClosed:
		c.abandon(resp)
	case err != nil:
		c.responses = c.responses[:len(c.responses)-1]
	}
	c.accountResponses()
	return err
}
