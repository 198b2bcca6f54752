package net

import (
	"bytes"
	"container/list"
	"errors"
	"slices"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

const (
	// queryTimeout is how long a client may take to send its first complete query, and the rest of a query that it has
	// begun. A client that sends nothing or stops midway occupies a descriptor to no use; it must get an error or be
	// closed within three seconds.
	queryTimeout = 2200 * time.Millisecond
	// Closing a socket that holds unread input resets the connection, which may lose the last responses. So the proxy
	// closes its write side first and gives the client lingerTimeout, many round-trip times, to close the other.
	lingerTimeout         = 200 * time.Millisecond
	maxEncryptionRequests = 2 // a client may ask for each of the two kinds of encryption once
	// maxMessagesPerWake is how many messages of one client the loop handles before it turns to other connections.
	maxMessagesPerWake = 4
)

var errQueryTimeout = errors.New("no whole query in time")

// connState is the stage of a client's connection.
type connState uint8

const (
	stateStartup connState = iota
	stateServing
	stateClosing // the final response is queued or sent; further input is discarded
	stateClosed
)

// client is the connection of one client.
type client struct {
	server             *Server
	socket             *socket
	input              buffer
	connState          connState
	excess             bool // over the client limit: rejected after its startup message
	accountedBytes     int  // bytes of input that are included in Server.bufferedBytes
	hasQueried         bool // a complete query has arrived
	encryptionRequests int
	writeClosed        bool // nothing more is sent to the client
	partialQuery       bool // part of a query has arrived, and timer limits the wait for the rest
	waiting            waitReason
	backlog            backlog
	catchUpTimer       state.Deadline
	memoryQueueElement *list.Element // its element in Server.memoryQueue, or nil
	resuming           bool          // processInput is posted to the loop
	batching           bool          // complete responses are sent together once the messages at hand are handled
	pipelinedBytes     int           // what it has in Server.pipelinedBytes
	responses          []*pendingResponse
	timer              state.Deadline

	evictionList *list.List // the server's list of silent, idle or closing clients that holds this one, or nil
	listElement  *list.Element
	listedSince  time.Duration // when the client was added to evictionList
}

// pendingResponse is the response to one query. Responses are sent in the order of the queries.
type pendingResponse struct {
	client     *client
	id         logic.RequestID
	messages   []byte // the encoded response
	done       bool
	closeAfter bool // the connection is closed after this response
}

// onHangup implements socketHandler: a client that has closed its connection expects no response any more.
func (c *client) onHangup() { c.close() }

// onReadable implements socketHandler. It reads and processes a limited part of the available input.
func (c *client) onReadable() {
	if c.resuming { // what was read before comes first
		c.backlog.leftUnread(c.server.clock.Now())
		return
	}
	room := c.input.room()
	n, err := c.socket.read(&c.input)
	if err != nil {
		c.close()
		return
	}
	c.backlog.read(c.server.clock.Now(), n, n < room, c.server.loop.polledBefore)
	c.processInput()
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
		return
	}
	if handled > 0 {
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

// handleMessages handles messages until none is complete, the connection closes, the next has to wait, or
// maxMessagesPerWake are handled. It returns how many were.
func (c *client) handleMessages() (handled int) {
	for ; c.connState < stateClosing && handled < maxMessagesPerWake; handled++ {
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

// processLater processes the rest of the input once the loop has handled its other events.
func (c *client) processLater() {
	if c.resuming {
		return
	}
	c.resuming = true
	c.server.loop.Post(func() {
		c.resuming = false
		c.processInput()
	})
}

// updateQueryTimer starts the timeout for the rest of a partial query, once per query, and clears it when no partial
// query is left.
func (c *client) updateQueryTimer(newQuery bool) {
	if !c.hasQueried {
		return // the timeout for the first query, set on accept, still runs
	}
	partialQuery := c.input.size() > 0 && c.waiting == notWaiting && !c.resuming
	switch {
	case partialQuery && (newQuery || !c.partialQuery):
		c.server.deadlines.Set(&c.timer, c.server.clock.Now()+queryTimeout, c.queryTimedOut)
	case !partialQuery && c.partialQuery:
		c.server.deadlines.Clear(&c.timer)
	}
	c.partialQuery = partialQuery
}

func (c *client) queryTimedOut() { c.protocolError(errQueryTimeout) }

// protocolError counts the error and closes the connection with it.
func (c *client) protocolError(err error) {
	c.server.dispatcher.Counters.Malformed++
	c.closeWithError(pg.CodeProtocolViolation, err.Error())
}

// updateEvictionList moves the client to the list from which it may be closed to make room: silent clients have sent
// no complete query yet, idle clients await no response, and closing clients have not closed their side yet after the
// proxy closed its own.
func (c *client) updateEvictionList() {
	var to *list.List
	switch {
	case c.connState == stateClosing && c.writeClosed:
		to = &c.server.closing
	case c.connState >= stateClosing:
	case !c.hasQueried:
		to = &c.server.silent
	case len(c.responses) == 0 && c.input.size() == 0 && c.socket.unsent == 0:
		to = &c.server.idle
	}
	if to == c.evictionList {
		return
	}
	c.leaveEvictionList()
	if c.evictionList = to; to != nil {
		c.listedSince, c.listElement = c.server.clock.Now(), to.PushBack(c)
	}
}

// leaveEvictionList removes the client from the eviction list that holds it, if any.
func (c *client) leaveEvictionList() {
	if c.evictionList != nil {
		c.evictionList.Remove(c.listElement)
		c.evictionList = nil
	}
}

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
	case c.excess:
		c.server.dispatcher.Counters.ClientsRejected++
		c.closeWithError(pg.CodeTooManyConnections, "too many clients")
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
	case len(bytes.Trim(text, " \t\r\n;")) == 0:
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
	switch {
	case c.connState == stateClosed:
		c.abandon(resp)
	case err != nil:
		c.responses = c.responses[:len(c.responses)-1]
	}
	c.accountResponses()
	return err
}

// Client implements state.Responder. An end that has arrived is handled once the loop has handled the current event.
func (resp *pendingResponse) Client() state.ClientPresence {
	c := resp.client
	switch {
	case c.connState == stateClosed:
		return state.ClientLeft
	case c.socket.peerClosed():
		c.server.loop.Post(c.close)
		return state.ClientLeft
	case c.endMayBeHidden():
		return state.ClientUnknown
	}
	return state.ClientPresent
}

// Served implements state.Responder.
func (resp *pendingResponse) Served(body []byte) { resp.complete(pg.AppendResult(nil, body)) }

// Refused implements state.Responder.
func (resp *pendingResponse) Refused(retryAfter time.Duration) {
	resp.complete(pg.AppendRefusal(nil, retryAfter))
}

// Failed implements state.Responder.
func (resp *pendingResponse) Failed() { resp.complete(pg.AppendFailure(nil)) }

// complete records the response, and sends it with those that precede it once all of them are complete.
func (resp *pendingResponse) complete(messages []byte) {
	resp.done, resp.messages = true, messages
	if !resp.client.batching {
		resp.client.sendResponses()
	}
}

// sendResponses sends all complete responses that precede the first incomplete one.
func (c *client) sendResponses() {
	output, closeAfter := c.takeResponses()
	for _, chunk := range output {
		c.write(chunk)
	}
	if closeAfter {
		c.closeGracefully()
	}
	c.accountResponses()
	if len(output) > 0 {
		c.closeIfDrained()
		c.updateEvictionList()
	}
}

// takeResponses removes the complete responses that precede the first incomplete one, and returns their bytes, the small
// ones joined. It also reports whether the connection is to be closed after them.
func (c *client) takeResponses() (output [][]byte, closeAfter bool) {
	n := 0
	joined := false // the last chunk of output is joined, and may be appended to
	for ; n < len(c.responses) && c.responses[n].done && !closeAfter; n++ {
		messages := c.responses[n].messages
		closeAfter = c.responses[n].closeAfter
		small := len(messages) < outputChunkBytes
		if small && joined {
			last := len(output) - 1
			output[last] = append(output[last], messages...)
			continue
		}
		output, joined = append(output, messages), small
	}
	c.responses = slices.Delete(c.responses, 0, n) // clears what it removes, so that no response is held
	return output, closeAfter
}

// write sends bytes. What the client doesn't read is queued.
func (c *client) write(b []byte) {
	if c.connState == stateClosed {
		return
	}
	if err := c.socket.write(b); err != nil {
		c.close()
	}
}

// onWritten implements socketHandler.
func (c *client) onWritten() {
	if c.connState == stateClosing && len(c.responses) == 0 && !c.writeClosed {
		c.shutDownWrite()
	}
	c.accountResponses()
	c.closeIfDrained()
	c.updateEvictionList()
}

// onWriteFailed implements socketHandler.
func (c *client) onWriteFailed(err error) {
	if errors.Is(err, errPeerNotReading) {
		c.server.dispatcher.Counters.ClientsNotReading++
	}
	c.close()
}

// onPanic implements socketHandler. Its open requests end as those of a client that has left.
func (c *client) onPanic() { c.close() }

// closeIfDrained closes a client of a draining server once it has its last response.
func (c *client) closeIfDrained() {
	if c.server.draining && len(c.responses) == 0 {
		c.server.loop.Post(func() { c.closeIfIdle(false) })
	}
}

// closeWithError sends a fatal error and closes the connection. Pending responses come first: the queries that
// preceded the error have been accepted.
func (c *client) closeWithError(code, text string) {
	if c.connState >= stateClosing {
		return
	}
	c.connState = stateClosing
	c.stopWaiting() // what the client still sends is read and ignored
	c.server.deadlines.Clear(&c.timer)
	resp := &pendingResponse{client: c, closeAfter: true}
	c.responses = append(c.responses, resp)
	resp.complete(pg.AppendFatal(nil, code, text))
}

// closeIfIdle closes a connection that awaits no response. A partial query, which has not been accepted, prevents this
// unless allowPartial is set, once the client has had its time to send the rest.
func (c *client) closeIfIdle(allowPartial bool) {
	if c.connState < stateClosing && len(c.responses) == 0 && c.socket.unsent == 0 && !c.resuming &&
		(allowPartial || c.input.size() == 0) && c.allInputSeen() {
		c.closeGracefully()
	}
}

// allInputSeen reports whether the loop has seen all input that has arrived.
func (c *client) allInputSeen() bool { return c.socket.allInputRead() }

// closeGracefully closes the write side, once all responses are written, and waits for the client to close the
// connection. Input that arrives meanwhile is read, so that no reset discards the last responses, but it is not
// processed: the client sees that it got no response and sends the query elsewhere.
func (c *client) closeGracefully() {
	if c.connState == stateClosed {
		return
	}
	c.connState = stateClosing
	c.stopWaiting()
	c.input.discard(c.input.size())
	c.accountBuffer()
	if c.socket.unsent == 0 {
		c.shutDownWrite()
		return
	}
	c.server.deadlines.Set(&c.timer, c.server.clock.Now()+writeStallTimeout, c.close)
}

// shutDownWrite tells the client that no more responses follow, and limits the time until it closes its side.
func (c *client) shutDownWrite() {
	c.writeClosed = true
	c.socket.closeWrite()
	c.updateEvictionList()
	c.server.deadlines.Set(&c.timer, c.server.clock.Now()+lingerTimeout, c.close)
}

// stopWaiting ends the wait of the next query for good, because it is not handled any more.
func (c *client) stopWaiting() {
	c.setWaiting(notWaiting)
	c.server.deadlines.Clear(&c.catchUpTimer)
}

// abandonRequests abandons the client's open requests. The end of one may end others of the client, which must not find
// them in c.responses any more.
func (c *client) abandonRequests() {
	responses := c.responses
	c.responses = nil
	for _, resp := range responses {
		c.abandon(resp)
	}
}

// abandon abandons the request of a response, if it is open. One that is being submitted has no id yet, and handleQuery
// abandons it.
func (c *client) abandon(resp *pendingResponse) {
	if !resp.done && resp.id != 0 {
		c.server.loop.callShared(func() { c.server.dispatcher.Abandon(resp.id) })
	}
}

// close closes the connection immediately, releases what it holds and abandons the client's open requests.
func (c *client) close() {
	if c.connState == stateClosed {
		return
	}
	c.connState = stateClosed
	c.server.deadlines.Clear(&c.timer)
	c.socket.close()
	c.stopWaiting()
	c.server.listener.open.Add(-1)
	c.abandonRequests()
	c.input.free()
	c.accountBuffer()
	c.accountResponses()
	c.updateEvictionList()
	delete(c.server.clients, c)
	if c.excess {
		c.server.excessClients--
	}
}
