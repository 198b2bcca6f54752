package net

import (
	"fmt"
	stdnet "net"
	"strings"
	"testing"
	"time"

	"havenproxy/internal/wire/pg"
)

// held describes what a server, its dispatcher and its loop still count for clients; it is empty if that is nothing.
func held(s *Server) string {
	return onLoop(s.loop, func() string {
		counts := fmt.Sprintf("clients %d, buffered %d, pipelined %d, excess %d, open %d, memory queue %d, silent %d, idle %d, "+
			"closing %d, requests %d", len(s.clients), s.bufferedBytes, s.pipelinedBytes, s.excessClients,
			s.listener.open, s.memoryQueue.Len(), s.silent.Len(), s.idle.Len(), s.closing.Len(),
			s.dispatcher.OpenRequests())
		if strings.Trim(counts, "abcdefghijklmnopqrstuvwxyz 0,") == "" {
			return ""
		}
		return counts
	})
}

// clientEnds are ways in which the connections of clients end. The databases of these tests don't respond.
var clientEnds = map[string]func(t *testing.T, s *Server, p *peer){
	"closed at once": func(_ *testing.T, _ *Server, p *peer) { p.conn.Close() },
	"reset at once":  func(_ *testing.T, _ *Server, p *peer) { reset(p) },
	"half a startup": func(_ *testing.T, _ *Server, p *peer) { p.send([]byte{0, 0, 1}); p.conn.Close() },
	"a cancel request": func(_ *testing.T, _ *Server, p *peer) {
		p.conn.Write([]byte{0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 0, 0, 0, 0, 0})
	},
	"nothing in time":    func(_ *testing.T, s *Server, _ *peer) { advance(s, queryTimeout) },
	"terminated":         func(_ *testing.T, _ *Server, p *peer) { p.send([]byte("X\x00\x00\x00\x04")) },
	"half a large query": func(_ *testing.T, _ *Server, p *peer) { p.send(largeQueryBytes()[:100<<10]); reset(p) },
	"a large query in time": func(t *testing.T, s *Server, p *peer) {
		p.send(largeQueryBytes()[:100<<10])
		for onLoop(s.loop, func() int { return s.bufferedBytes }) < 100<<10 {
		}
		advance(s, queryTimeout)
	},
	"malformed": func(_ *testing.T, _ *Server, p *peer) { p.send(pg.AppendQuery(nil, "SELECT 1")) },
	"too long":  func(_ *testing.T, _ *Server, p *peer) { p.send([]byte{'Q', 0, 0x10, 0, 0}) },
	"malformed, behind": func(_ *testing.T, _ *Server, p *peer) {
		p.send(append(manyQueries(p, 3), 'Q', 0, 0, 0, 0))
		p.conn.Close()
	},
	"an id twice": func(_ *testing.T, _ *Server, p *peer) {
		p.send(append(manyQueries(p, 1), manyQueries(p, 1)...))
		reset(p)
	},
	"one in progress":  func(_ *testing.T, _ *Server, p *peer) { p.send(manyQueries(p, 1)); p.conn.Close() },
	"many in progress": func(_ *testing.T, _ *Server, p *peer) { p.send(manyQueries(p, 300)); p.conn.Close() },
	"many, reset":      func(_ *testing.T, _ *Server, p *peer) { p.send(manyQueries(p, 300)); reset(p) },
	"many, terminated": func(_ *testing.T, _ *Server, p *peer) {
		p.send(append(manyQueries(p, 9), "X\x00\x00\x00\x04"...))
		p.conn.Close()
	},
	"many, answered late": func(_ *testing.T, s *Server, p *peer) {
		p.send(manyQueries(p, 40))
		advance(s, testTimeout)
		p.conn.Close()
	},
	"empty queries": func(_ *testing.T, _ *Server, p *peer) {
		p.send([]byte(strings.Repeat("Q\x00\x00\x00\x05\x00", 20000)))
		reset(p)
	},
	"drained": func(_ *testing.T, s *Server, p *peer) {
		p.send(pg.AppendQuery(nil, ""))
		p.readMessages(len(startupResponseTypes) + 2)
		s.loop.Post(func() { s.CloseIdle(true) })
	},
}

// send sends a startup message and what follows it.
func (p *peer) send(b []byte) { p.conn.Write(append(pg.AppendStartup(nil, "client", "core"), b...)) }

// reset ends a connection with a reset.
func reset(p *peer) {
	p.conn.(*stdnet.TCPConn).SetLinger(0)
	p.conn.Close()
}

// largeQueryBytes returns a query of about the maximum length.
func largeQueryBytes() []byte {
	return pg.AppendQuery(nil, strings.Replace(queryText("large"), "WHERE", "WHERE '"+strings.Repeat("x", 150<<10)+"' <> '' AND", 1))
}

// manyQueries returns so many queries with ids of their own.
func manyQueries(p *peer, n int) (out []byte) {
	for i := range n {
		out = pg.AppendQuery(out, queryText(fmt.Sprint(p.conn.LocalAddr(), "-", i)))
	}
	return out
}

// What a client occupies must be given back once, however its connection ends. Given back twice, it lets the limits never
// take effect; never given back, it fills them for good.
func TestEveryEndOfAClientGivesBackWhatItHeld(t *testing.T) {
	testConfig.MayCancel = true // so that an attempt ends with its client
	defer func() { testConfig.MayCancel = false }()
	for name, end := range clientEnds {
		t.Run(name, func(t *testing.T) {
			silent := make(chan struct{})
			defer close(silent)
			s, _, _ := startProxy(t, startDatabase(t, func(stdnet.Conn, string) bool { <-silent; return false }), 6, 3)
			onLoop(s.loop, func() bool { s.maxPipelinedBytes = 2 * reservedResponseBytes; return true })
			for range 8 { // more than there is room for
				p := dialProxy(t, s)
				end(t, s, p)
				t.Cleanup(func() { p.conn.Close() })
			}
			counts := held(s)
			for end := time.Now().Add(testTimeout / 4); counts != "" && time.Now().Before(end); counts = held(s) {
				time.Sleep(time.Millisecond)
			}
			if counts != "" {
				t.Errorf("still counted: %s", counts)
			}
		})
	}
}
