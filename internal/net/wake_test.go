package net

import (
	"bytes"
	"fmt"
	stdnet "net"
	"strings"
	"testing"

	"havenproxy/internal/wire/pg"
)

// A client that sent small queries at full speed had thousands of them handled, and their responses written one by one,
// while all other connections waited.
func TestOneWakeHandlesFewMessagesOfAClient(t *testing.T) {
	s, _, loop := startProxy(t, startDatabase(t, echo), 8, 1)
	p := dialProxy(t, s)
	p.conn.Write(pg.AppendStartup(nil, "client", "core"))
	if types, _ := p.readMessages(len(startupResponseTypes)); types != startupResponseTypes {
		t.Fatal(types)
	}
	query := pg.AppendQuery(nil, "")
	const queries, allowed = 5000, 16
	var c *client
	onLoop(loop, func() bool {
		for c = range s.clients {
		}
		return true
	})
	release := blockLoop(loop)
	p.conn.Write(bytes.Repeat(query, queries))
	left := make(chan int, 1)
	// The first wake runs this function before it handles the input, and the second one runs the inner function before that.
	loop.Post(func() { loop.Post(func() { left <- c.input.size() / len(query) }) })
	release()
	if handled := queries - <-left; handled > allowed {
		t.Errorf("one wake handled %d messages, allowed are %d", handled, allowed)
	}
	if types, _ := p.readMessages(2 * queries); types != strings.Repeat("IZ", queries) {
		t.Errorf("the responses are %.60q", types)
	}
}

// Each response woke all clients that waited for memory, although there was room for one of them.
func TestRoomForOneResponseWakesOneClient(t *testing.T) {
	release := make(chan struct{})
	s, _, loop := startProxy(t, startDatabase(t, func(conn stdnet.Conn, text string) bool {
		<-release
		return echo(conn, text)
	}), 20, 1)
	const clients = 10
	onLoop(loop, func() bool { s.maxPipelinedBytes = reservedResponseBytes; return true })
	for i := range clients {
		sendQueriesAtOnce(t, s, fmt.Sprint("client", i, "query"), 3)
	}
	for onLoop(loop, func() int { return s.memoryQueue.Len() }) < clients {
	}
	woken := onLoop(loop, func() (woken int) {
		s.addPipelinedBytes(-reservedResponseBytes)
		for c := range s.clients {
			if c.resuming {
				woken++
			}
		}
		s.pipelinedBytes += reservedResponseBytes
		return woken
	})
	if woken != 1 {
		t.Errorf("%d clients were woken, want 1", woken)
	}
	close(release)
	for onLoop(loop, func() bool { return s.memoryQueue.Len() > 0 || s.dispatcher.OpenRequests() > 0 }) {
	}
}
