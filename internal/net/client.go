package net

import (
	"container/list"
	"errors"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
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
	// maxMessagesPerCrowdedWake is the same while the loop is crowded: a startup message and the first query.
	maxMessagesPerCrowdedWake = 2
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
	hasRequested       bool // a request has been accepted
	messages           int  // complete messages so far
	emptyQueries       int
	encryptionRequests int
	writeClosed        bool // nothing more is sent to the client
	partialQuery       bool // part of a query has arrived, and timer limits the wait for the rest
	waiting            waitReason
	backlog            backlog
	catchUpTimer       state.Deadline
	memoryQueueElement *list.Element // its element in Server.memoryQueue, or nil
	resuming           bool          // input that was read before is handled once the loop, or the busy queue, turns to it
	usage              usage
	inBusyQueue        bool
	batching           bool // complete responses are sent together once the messages at hand are handled
	pipelinedBytes     int  // what it has in Server.pipelinedBytes
	responses          []*pendingResponse
	timer              state.Deadline

	evictionList *list.List // the server's list of silent, idle or closing clients that holds this one, or nil
	listElement  *list.Element
	listedSince  time.Duration // when the client was added to evictionList
}

// onHangup implements socketHandler: a client that has closed its connection expects no response any more.
func (c *client) onHangup() { c.close() }

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
	c.updateReading()
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

// abandon abandons the request of a response, if it is open. One that is being submitted has no id yet, and submit
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
	c.server.listener.open--
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
