package net

import (
	"fmt"
	stdnet "net"
	"strings"
	"sync"
	"testing"
	"time"

	"havenproxy/internal/wire/pg"
)

// heldDatabase is a database that answers no query before it is released, and records the queries that arrive.
type heldDatabase struct {
	release chan struct{}
	respond func(conn stdnet.Conn, text string) bool

	mu      sync.Mutex
	arrived []string
}

// startHeldDatabase starts a heldDatabase; respond answers the queries once it is released. It returns its address, too.
func startHeldDatabase(t *testing.T, respond func(stdnet.Conn, string) bool) (*heldDatabase, string) {
	db := &heldDatabase{release: make(chan struct{}), respond: respond}
	return db, startDatabase(t, func(conn stdnet.Conn, text string) bool {
		db.mu.Lock()
		db.arrived = append(db.arrived, text)
		db.mu.Unlock()
		<-db.release
		return respond(conn, text)
	})
}

// echoBeginning responds to a query with the beginning of its text.
func echoBeginning(conn stdnet.Conn, text string) bool { return echo(conn, text[:min(len(text), 200)]) }

// arrivals returns the number of queries that have arrived.
func (db *heldDatabase) arrivals() int {
	db.mu.Lock()
	defer db.mu.Unlock()
	return len(db.arrived)
}

// waitOnLoop waits until a condition holds on the loop.
func waitOnLoop(t *testing.T, loop *Loop, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !onLoop(loop, condition); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition never held")
		}
	}
}

// waitForFullPipeline waits until as many responses of a client are due as may be.
func waitForFullPipeline(t *testing.T, s *Server) {
	t.Helper()
	waitOnLoop(t, s.loop, func() bool {
		for c := range s.clients {
			if len(c.responses) >= maxPipelinedQueries {
				return true
			}
		}
		return false
	})
}

// largeQueryText returns a statement with a value of the largest size, as hexadecimal text.
func largeQueryText(key string) string {
	return strings.Replace(queryText(key), "WHERE", "WHERE '"+strings.Repeat("9f", 64<<10)+"' <> '' AND", 1)
}

// severalQueries returns so many small queries, and then so many large ones, with ids that begin with the name.
func severalQueries(name string, small, large int) (out []byte) {
	for i := range small {
		out = pg.AppendQuery(out, queryText(fmt.Sprint(name, i)))
	}
	for i := range large {
		out = pg.AppendQuery(out, largeQueryText(fmt.Sprint(name, "large", i)))
	}
	return out
}

// departures are clients that send much and leave; their end stands behind what the proxy has not read. They send more than
// the buffers in between hold.
var departures = map[string]struct {
	queries []byte
	reads   bool // the client reads its responses until it leaves
}{
	"small queries, then large ones": {severalQueries("a", 60, 12), true},
	"large queries":                  {severalQueries("a", 0, 24), true},
	"thousands of small queries":     {severalQueries("a", 20000, 0), true},
	"responses left unread":          {severalQueries("a", 60, 12), false},
}

// A client that sent much at once and left had its queries sent to databases afterwards, as soon as its first ones were
// answered: its end stood behind input that the proxy did not read.
func TestNothingIsSentForClientsWhoseEndIsBehindUnreadInput(t *testing.T) {
	for name, c := range departures {
		for outcome, respond := range map[string]func(stdnet.Conn, string) bool{
			"answered": echoBeginning,
			"reset":    func(stdnet.Conn, string) bool { return false }, // repeated, unless the client has left
		} {
			t.Run(name+", "+outcome, func(t *testing.T) {
				db, address := startHeldDatabase(t, respond)
				s, dispatcher, loop := startProxy(t, address, 8, 1)
				p := dialProxy(t, s)
				p.conn.Write(pg.AppendStartup(nil, "client", "core"))
				if c.reads {
					go p.readMessages(1 << 20)
				}
				go func() { // for what passes on the end of a client after the bytes that precede it
					p.conn.Write(c.queries)
					p.conn.(*stdnet.TCPConn).CloseWrite()
				}()
				waitForFullPipeline(t, s)
				time.Sleep(2 * maxUnreadTime) // the client has left meanwhile
				before := db.arrivals()
				close(db.release)
				waitOnLoop(t, loop, func() bool { return len(s.clients) == 0 && dispatcher.OpenRequests() == 0 })
				if after := db.arrivals(); after > before {
					t.Errorf("%d queries arrived before the client left, and %d after that", before, after-before)
				}
			})
		}
	}
}

// A client that sends much at once and stays gets a response to each query, in their order, and is served again once its
// input is read.
func TestClientThatSendsMuchAndStaysIsAnswered(t *testing.T) {
	db, address := startHeldDatabase(t, echoBeginning)
	s, _, _ := startProxy(t, address, 8, 1)
	p := dialProxy(t, s)
	const small, large = 60, 40
	go p.conn.Write(append(pg.AppendStartup(nil, "client", "core"), severalQueries("a", small, large)...))
	waitForFullPipeline(t, s)
	time.Sleep(2 * maxUnreadTime)
	close(db.release)
	if types, _ := p.readMessages(len(startupResponseTypes)); types != startupResponseTypes {
		t.Fatal(types)
	}
	for i := range small + large {
		types, bodies := p.readMessages(2)
		if types == "DC" {
			types, _ = p.readMessages(1)
			types = "DC" + types
		}
		served := types == "DCZ" && (i >= small || strings.Contains(bodies[0], fmt.Sprintf("'a%d'", i)))
		if !served && (types != "EZ" || !strings.Contains(bodies[0], "C"+pg.CodeTooManyConnections)) {
			t.Fatalf("query %d got %q %.100q", i, types, bodies)
		}
	}
	time.Sleep(2 * catchUpTime)
	p.conn.Write(pg.AppendQuery(nil, queryText("afterwards")))
	if types, _ := p.readMessages(3); types != "DCZ" {
		t.Errorf("a query afterwards got %q", types)
	}
}

// What is read ahead of clients that wait is bounded for all of them together.
func TestInputReadAheadIsBoundedForAllClients(t *testing.T) {
	db, address := startHeldDatabase(t, echoBeginning)
	defer close(db.release)
	const clients = 12
	s, _, loop := startProxy(t, address, clients, 1)
	limit := 3 * largeBufferBytes
	onLoop(loop, func() bool { s.maxBufferedBytes = limit; return true })
	for i := range clients {
		p := dialProxy(t, s)
		go p.conn.Write(append(pg.AppendStartup(nil, "client", "core"), severalQueries(fmt.Sprint("c", i, "x"), 20, 20)...))
	}
	waitOnLoop(t, loop, func() bool { return s.bufferedBytes >= limit/2 })
	most := 0
	for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); {
		most = max(most, onLoop(loop, func() int { return s.bufferedBytes }))
	}
	// The client that passes the limit may do so by one large buffer, and the others hold what they had read before.
	if allowed := limit + largeBufferBytes + clients*maxSmallBufferBytes; most > allowed {
		t.Errorf("%d bytes were held, allowed are %d", most, allowed)
	}
}
