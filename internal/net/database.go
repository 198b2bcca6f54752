package net

import (
	"container/list"
	"errors"
	"log/slog"
	stdnet "net"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
	"havenproxy/logic"
)

// User, database and load query that the proxy sends to databases.
const (
	databaseUser = "client"
	databaseName = "core"
	loadQuery    = "SHOW load"
)

// responseTimeout is how long a response may take from its first bytes to its end; a database writes it in one go.
// Waiting for an incomplete response until the client's timeout would leave no time for another attempt. A response of
// which more has arrived by then, unread because the loop was late, gets the same time once more.
const responseTimeout = 100 * time.Millisecond

var (
	errMissingRow         = errors.New("response does not contain exactly one row and its completion")
	errIncompleteResponse = errors.New("response is incomplete")
	errPanic              = errors.New("panic in the handling of the response")
	errUnexpectedResponse = errors.New("unexpected response: no command was sent")
)

// DatabaseDialer opens connections to databases. It implements state.Dialer.
type DatabaseDialer struct {
	Loop           *Loop
	ConnectTimeout time.Duration
	Counters       *state.Counters

	malformedLoggedAt time.Duration // when malformed data was last logged
}

// malformedLogInterval is the minimum time between log lines about malformed data from databases.
const malformedLogInterval = 10 * time.Second

// recordMalformed counts malformed data from a database and logs it, at most once per malformedLogInterval.
func (d *DatabaseDialer) recordMalformed(address string, err error) {
	d.Counters.MalformedReplies++
	if now := d.Loop.clock.Now(); d.malformedLoggedAt == 0 ||
		now-d.malformedLoggedAt >= malformedLogInterval {
		d.malformedLoggedAt = now
		slog.Warn("malformed data from a database", "address", address, "error", err)
	}
}

// databaseConn is a connection to a database. It implements state.Conn.
type databaseConn struct {
	dialer           *DatabaseDialer
	address          string
	handler          state.ConnHandler
	cancelDial       func()  // gives up the dial, or closes the socket that it has led to
	socket           *socket // nil until connected
	input            buffer
	output           []byte // the last query
	reply            pg.Reply
	established      bool // the startup is complete
	awaitingResponse bool // to the startup message or to the last query
	probing          bool // the last query was the load query
	closed           bool
	responseTimer    state.Deadline // set while a response is incomplete
	responseStarted  bool
	responseExtended bool          // responseTimer has been set for a second time
	bufferElement    *list.Element // its element in the queue of those that need a large buffer, or nil
}

// Dial implements state.Dialer.
func (d *DatabaseDialer) Dial(address string, handler state.ConnHandler) state.Conn {
	db := &databaseConn{dialer: d, address: address, handler: handler, input: buffer{pool: &d.Loop.databaseBuffers}}
	db.cancelDial = dial(d.Loop, address, d.ConnectTimeout, db, db.onConnected)
	return db
}

// onConnected handles the result of the dial and sends the startup message.
func (db *databaseConn) onConnected(socket *socket, err error) {
	if err != nil {
		db.connectionLost()
		return
	}
	db.socket = socket
	db.socket.readsEnd = true
	db.awaitingResponse = true
	if err := db.write(pg.AppendStartup(nil, databaseUser, databaseName)); err != nil {
		db.connectionLost()
	}
}

// write sends bytes, or queues them. An error means that the connection is broken and that the last byte was not
// written.
func (db *databaseConn) write(b []byte) error {
	if db.closed || db.socket == nil {
		return stdnet.ErrClosed
	}
	return db.socket.write(b)
}

// Send implements state.Conn.
func (db *databaseConn) Send(query state.Query, timeout time.Duration) error {
	db.reply.Reset()
	db.awaitingResponse, db.probing = true, false
	db.output = query.AppendTo(db.output[:0], timeout)
	err := db.write(db.output)
	if cap(db.output) > maxIdleBufferBytes {
		db.output = nil
	}
	return err
}

// Written implements state.Conn.
func (db *databaseConn) Written() bool {
	return !db.closed && db.socket != nil && db.socket.unsent == 0
}

// onWritten implements socketHandler.
func (db *databaseConn) onWritten() {
	if db.established {
		db.notify(db.handler.QueryWritten)
	}
}

// onWriteFailed implements socketHandler.
func (db *databaseConn) onWriteFailed(error) { db.connectionLost() }

// onPanic implements socketHandler. The query may have been executed.
func (db *databaseConn) onPanic() { db.abortMalformed(errPanic) }

// notify passes an event to the handler.
func (db *databaseConn) notify(event func()) { db.dialer.Loop.callShared(event) }

// onHangup implements socketHandler. A response may precede the end of the stream, so onReadable handles both. A reset
// connection has lost what had not been read.
func (db *databaseConn) onHangup() {
	if db.socket != nil && db.socket.paused {
		db.connectionLost()
	}
}

// Probe implements state.Conn.
func (db *databaseConn) Probe() error {
	db.reply.Reset()
	db.awaitingResponse, db.probing = true, true
	return db.write(pg.AppendQuery(nil, loadQuery))
}

// Reusable implements state.Conn. Responses carry no identifier: anything that arrives while no query is pending,
// even if it is still in the kernel's buffer, would be mistaken for the response to the next query.
func (db *databaseConn) Reusable() bool {
	return !db.awaitingResponse && db.Written() && db.input.size() == 0 && db.socket.allInputRead()
}

// Close implements state.Conn.
func (db *databaseConn) Close() {
	if db.closed {
		return
	}
	db.closed = true
	db.leaveBufferQueue()
	db.input.free()
	db.clearResponseTimer()
	db.cancelDial()
}

// connectionLost reports the end of the connection to the handler, unless the handler has closed it itself. A fatal
// error that was received before is reported as the reply.
func (db *databaseConn) connectionLost() {
	if db.closed {
		return
	}
	if db.awaitingResponse && db.reply.Code != "" { // nothing has to follow a fatal error
		r := db.stateReply()
		db.notify(func() { db.handler.Reply(r) })
	}
	if db.closed {
		return
	}
	db.Close()
	db.notify(db.handler.Disconnected)
}

// onReadable implements socketHandler. It processes a limited part of the available input, up to the end of a response.
func (db *databaseConn) onReadable() {
	if db.input.room() == 0 {
		db.awaitBuffer()
		return
	}
	if _, err := db.socket.read(&db.input); err != nil {
		db.connectionLost()
		return
	}
	for used := 0; !db.closed; {
		m, n, err := pg.Next(db.input.unprocessed()[used:])
		switch {
		case err != nil:
		case n > 0 && !db.awaitingResponse:
			err = errUnexpectedResponse
		case n > 0:
			err = db.reply.Add(m)
		}
		if err != nil { // data after malformed data can't be trusted either
			db.abortMalformed(err)
			return
		}
		if used += n; n == 0 || db.reply.Ready() {
			db.input.discard(used)
			if n > 0 {
				db.clearResponseTimer()
				db.responseComplete()
			} else if db.awaitingResponse && db.established && !db.responseStarted {
				db.responseStarted = true
				db.setResponseTimer()
			}
			return
		}
	}
}

// awaitBuffer leaves the rest of a large response in the kernel's buffer until others are complete. That time doesn't count
// as the database's.
func (db *databaseConn) awaitBuffer() {
	if db.bufferElement != nil {
		return
	}
	db.bufferElement = db.input.pool.waiting.PushBack(db)
	db.socket.pauseReading(true)
	db.clearResponseTimer()
}

// bufferAvailable continues to read a response for which there is a large buffer now.
func (db *databaseConn) bufferAvailable() {
	db.leaveBufferQueue()
	db.input.grow()
	db.socket.pauseReading(false)
	db.responseStarted = true
	db.setResponseTimer()
}

// leaveBufferQueue removes the connection from the queue of those that need a large buffer, if it is there.
func (db *databaseConn) leaveBufferQueue() {
	if db.bufferElement != nil {
		db.input.pool.waiting.Remove(db.bufferElement)
		db.bufferElement = nil
	}
}

// setResponseTimer limits the wait for the rest of a response.
func (db *databaseConn) setResponseTimer() {
	loop := db.dialer.Loop
	loop.deadlines.Set(&db.responseTimer, loop.clock.Now()+responseTimeout, db.responseTimedOut)
}

// clearResponseTimer ends the wait for the rest of a response.
func (db *databaseConn) clearResponseTimer() {
	db.responseStarted, db.responseExtended = false, false
	db.dialer.Loop.deadlines.Clear(&db.responseTimer)
}

// responseTimedOut fails an incomplete response, unless more of it has arrived that the loop has not read yet.
func (db *databaseConn) responseTimedOut() {
	if db.responseExtended || db.socket.allInputRead() {
		db.abortMalformed(errIncompleteResponse)
		return
	}
	db.responseExtended = true
	db.setResponseTimer()
}

// responseComplete passes a complete response to the handler; the first one completes the startup. Data that follows
// the response stays in the buffer: no other query can be sent on the connection, but the response is valid.
func (db *databaseConn) responseComplete() {
	db.awaitingResponse = false
	if !db.established && db.reply.Code == "" {
		db.established = true
		db.reply.Reset()
		db.notify(db.handler.Connected)
		return
	}
	r := db.stateReply()
	if r.Result == logic.OK && !db.reply.Served() {
		db.abortMalformed(errMissingRow)
		return
	}
	db.notify(func() { db.handler.Reply(r) })
	if !db.awaitingResponse {
		db.reply.Reset() // a connection that rests holds no large response
	}
}

// abortMalformed closes a connection on which malformed data has arrived and valid data can't be recognized any more.
func (db *databaseConn) abortMalformed(err error) {
	db.dialer.recordMalformed(db.address, err)
	db.Close()
	db.notify(db.handler.MalformedReply)
}

// stateReply converts the response to a state.Reply.
func (db *databaseConn) stateReply() state.Reply {
	r := state.Reply{Result: logic.Failed, Body: db.reply.Body, Position: db.reply.Position, Role: parseRole(db.reply.Role)}
	switch db.reply.Code {
	case "":
		r.Result = logic.OK
	case pg.CodeReadOnlyTransaction, pg.CodeSnapshotTooOld:
		r.Result = logic.Miss
	case pg.CodeTooManyConnections, pg.CodeCannotConnectNow:
		r.Result = logic.Full
	default:
		r.StatementError = pg.IsStatementError(db.reply.Code)
	}
	report := db.reply.LoadReport
	if db.probing && r.Result == logic.OK {
		report = db.reply.Row()
	}
	if l := pg.ParseLoadReport(report); l.Present {
		r.LoadReport = state.LoadReport{Present: true, Role: parseRole(l.Role), Position: l.Position, Queue: l.Queue}
	}
	return r
}

// parseRole converts the name of a role as databases report it.
func parseRole(name string) logic.Role {
	switch name {
	case pg.RolePrimary:
		return logic.RolePrimary
	case pg.RoleReplica:
		return logic.RoleReplica
	}
	return logic.RoleUnknown
}
