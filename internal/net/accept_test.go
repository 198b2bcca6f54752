package net

import (
	"testing"

	"havenproxy/internal/wire/pg"
)

// dialWhileBlocked blocks the loop while so many clients connect, and lets it run one turn. It returns how many clients the
// server has after that turn.
func dialWhileBlocked(t *testing.T, s *Server, clients int, connected func(*peer)) (accepted int) {
	t.Helper()
	release := blockLoop(s.loop)
	for range clients {
		connected(dialProxy(t, s))
	}
	after := make(chan int, 1)
	// The first turn runs the outer function before it accepts connections, and the second one the inner function.
	s.loop.Post(func() { s.loop.Post(func() { after <- len(s.clients) }) })
	release()
	return <-after
}

// All connections that had come meanwhile were accepted in one turn of the loop, while everybody else waited.
func TestOneTurnAcceptsFewConnections(t *testing.T) {
	s, dispatcher, loop := startProxy(t, startDatabase(t, echo), 500, 1)
	const clients, allowed = 100, 32
	if accepted := dialWhileBlocked(t, s, clients, func(*peer) {}); accepted > allowed {
		t.Errorf("one turn accepted %d connections, allowed are %d", accepted, allowed)
	}
	waitOnLoop(t, loop, func() bool { return dispatcher.Counters.Clients == clients })
}

// A connection whose client had closed it already cost as much as that of a client that stays.
func TestConnectionThatIsClosedAlreadyMakesNoClient(t *testing.T) {
	s, dispatcher, loop := startProxy(t, startDatabase(t, echo), 500, 1)
	const clients = 10
	dialWhileBlocked(t, s, clients, func(p *peer) { p.conn.Close() })
	waitOnLoop(t, loop, func() bool { return dispatcher.Counters.ClientsLeftAtOnce == clients })
	if n := onLoop(loop, func() uint64 { return dispatcher.Counters.Clients }); n != 0 {
		t.Errorf("%d clients were made", n)
	}
}

// Connections that were made before the server stops are accepted, also if more wait than a turn accepts.
func TestConnectionsMadeBeforeTheStopAreServed(t *testing.T) {
	s, _, loop := startProxy(t, startDatabase(t, echo), 400, 1)
	const clients = 4 * maxAcceptsPerTurn
	release := blockLoop(loop)
	loop.Post(s.StopListening)
	var peers []*peer
	for range clients {
		peers = append(peers, dialProxy(t, s))
	}
	release()
	for i, p := range peers {
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), ""))
		if types, _ := p.readMessages(len(startupResponseTypes) + 2); types != startupResponseTypes+"IZ" {
			t.Fatalf("client %d got %q", i, types)
		}
	}
}
