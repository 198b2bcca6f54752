package main

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"havenproxy/internal/wire/pg"
)

const (
	// smallestMemoryMB is the smallest memory limit that a proxy may get.
	smallestMemoryMB = 32
	// partialClients is how many clients are connected at once: more than the proxy has room for.
	partialClients = 600
	partialFor     = 2 * time.Second
	slowPause      = 20 * time.Millisecond // between two pieces of a client that writes slowly
)

// partialInputs are what the clients of a crowd send: each a part of something large, or something that consists of very many
// small parts. A function sends what follows the startup message, if that is complete.
var partialInputs = map[string]func(conn net.Conn, id int){
	"half a large query": func(conn net.Conn, id int) { conn.Write(startupAnd(largeWrite(id)[:70<<10])) },
	"nearly a large query": func(conn net.Conn, id int) {
		query := largeWrite(id)
		conn.Write(startupAnd(query[:len(query)-1]))
	},
	"a query that stops below the limit of small ones": func(conn net.Conn, id int) {
		conn.Write(startupAnd(largeWrite(id)[:16<<10-100]))
	},
	"a query that stops above the limit of small ones": func(conn net.Conn, id int) {
		conn.Write(startupAnd(largeWrite(id)[:16<<10+100]))
	},
	"a query that stops behind others": func(conn net.Conn, id int) {
		in := startupAnd(pg.AppendQuery(nil, ""))
		conn.Write(append(in, largeWrite(id)[:30<<10]...))
	},
	"a large query in slow pieces": func(conn net.Conn, id int) { writeSlowly(conn, startupAnd(largeWrite(id)), 2<<10) },
	"a large query in fast pieces": func(conn net.Conn, id int) { writeSlowly(conn, startupAnd(largeWrite(id)), 24<<10) },
	"half a startup message":       func(conn net.Conn, _ int) { conn.Write(longStartup()[:7<<10]) },
	"a startup message in slow pieces": func(conn net.Conn, _ int) {
		writeSlowly(conn, longStartup(), 100)
	},
	"a startup message of short parameters": func(conn net.Conn, id int) {
		conn.Write(pg.AppendQuery(longStartup(), readQuery(id, "any", time.Second, 0)))
	},
	"a comment of short fields": func(conn net.Conn, id int) {
		query := readQuery(id, "any", time.Second, 0)
		conn.Write(startupAnd(pg.AppendQuery(nil, strings.Replace(query, " */", strings.Repeat(",a=1", 35<<10)+" */", 1))))
	},
	"half a comment of short fields": func(conn net.Conn, id int) {
		query := readQuery(id, "any", time.Second, 0)
		in := pg.AppendQuery(nil, strings.Replace(query, " */", strings.Repeat(",a=1", 35<<10)+" */", 1))
		conn.Write(startupAnd(in[:len(in)/2]))
	},
	"large queries at once": func(conn net.Conn, id int) {
		for range 4 {
			conn.Write(startupAnd(largeWrite(id)))
		}
	},
	"large values that are not read": func(conn net.Conn, id int) {
		in := startupAnd(nil)
		for i := range 4 {
			in = pg.AppendQuery(in, readQuery(id*10+i, "any", time.Second, 0))
		}
		conn.Write(in)
		time.Sleep(time.Second)
	},
}

// startupAnd returns a startup message and what follows it.
func startupAnd(b []byte) []byte { return append(pg.AppendStartup(nil, "client", "core"), b...) }

// longStartup returns a startup message of about the maximum length, with very many short parameters.
func longStartup() []byte {
	parameters := strings.Repeat("a\x00b\x00", 2000)
	size := 4 + 4 + len(parameters) + 1
	return append([]byte{0, 0, byte(size >> 8), byte(size), 0, 3, 0, 0}, parameters+"\x00"...)
}

// largeWrite returns a query that writes a value of the largest size.
func largeWrite(id int) []byte { return pg.AppendQuery(nil, largeWriteText(1<<20+id, id%2)) }

// largeWriteText returns the text of a write of a value of the largest size.
func largeWriteText(id, group int) string {
	value := `'\x` + strings.Repeat("9f", len(largestValue)) + "' <> '' AND '"
	return strings.Replace(writeQuery(id, 3*time.Second, group), "'", value, 1)
}

// writeSlowly writes in pieces with pauses.
func writeSlowly(conn net.Conn, b []byte, piece int) {
	for ; len(b) > 0; time.Sleep(slowPause) {
		n := min(piece, len(b))
		if _, err := conn.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
	}
}

// Hundreds of clients at once that wrote slowly, stopped in the middle of something large or sent very many short fields took
// a process over its memory limit.
func TestCrowdOfPartialInputKeepsToTheMemoryLimit(t *testing.T) {
	for name, input := range partialInputs {
		t.Run(name, func(t *testing.T) {
			runBeside(t)
			fleet := startDatabases(t, 12, 20*time.Millisecond)
			fleet.value = largestValue
			p, _ := startProxyOfFleet(t, fleet, proxyOptions{sockets: manyDescriptors, memoryMB: smallestMemoryMB})
			var running sync.WaitGroup
			end := time.Now().Add(partialFor)
			for k := range partialClients {
				running.Go(func() { sendAgain(p, end, k, input) })
			}
			running.Wait()
			peakMB := p.kill(t)
			t.Logf("the proxy held %.1f MB at most", peakMB)
			if peakMB > smallestMemoryMB {
				t.Errorf("the proxy held %.1f MB, its limit is %d MB", peakMB, smallestMemoryMB)
			}
		})
	}
}

// sendAgain connects, sends an input and waits until the proxy closes the connection, again and again until the end.
func sendAgain(p *proxyProcess, end time.Time, client int, input func(net.Conn, int)) {
	for i := 0; time.Now().Before(end); i++ {
		conn, err := net.Dial("tcp", p.address)
		if err != nil {
			time.Sleep(slowPause)
			continue
		}
		conn.SetDeadline(end)
		input(conn, client*1000+i)
		conn.Read(make([]byte, 1<<10))
		for n := 0; err == nil; n++ {
			_, err = conn.Read(make([]byte, 4<<10))
		}
		conn.Close()
	}
}
