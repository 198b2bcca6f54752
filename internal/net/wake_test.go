package net

import (
	"bytes"
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
