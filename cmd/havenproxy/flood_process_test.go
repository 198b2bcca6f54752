package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"havenproxy/internal/wire/pg"
)

// floodEnv makes this test program a flood: its value is a flood in JSON.
const floodEnv = "HAVENPROXY_TEST_FLOOD"

// flood says what clients send to a proxy at full speed. It runs as a process of its own, so that its load does not delay
// what the tests measure.
type flood struct {
	Address string
	Kind    string // a key of floodKinds
	Clients int
	Reads   bool // the clients read what they are sent
	Seconds float64
}

// floodKinds are what one client sends on a connection, as fast as it can, until the connection ends.
var floodKinds = map[string]func(c *floodConn){
	"one byte at a time":         func(c *floodConn) { c.startup(); c.sendEach(pg.AppendQuery(nil, "")) },
	"half a query, then a close": func(c *floodConn) { c.startup(); c.send(largeWrite(c.next())[:5]) },
	"a query, then a close": func(c *floodConn) {
		c.startup()
		c.send(pg.AppendQuery(nil, readQuery(c.next(), "any", time.Second, 0)))
	},
	"connects and closes":     func(*floodConn) {},
	"startup, then a close":   func(c *floodConn) { c.startup() },
	"encryption requests":     func(c *floodConn) { c.send(specialStartup(sslRequest)); c.send(specialStartup(gssRequest)) },
	"cancel requests":         func(c *floodConn) { c.send(append(specialStartup(cancelRequest), make([]byte, 8)...)) },
	"terminate messages":      func(c *floodConn) { c.startup(); c.send([]byte{'X', 0, 0, 0, 4}) },
	"unknown messages":        func(c *floodConn) { c.startup(); c.send([]byte{'?', 0, 0, 0, 4}) },
	"noise":                   func(c *floodConn) { c.send([]byte(strings.Repeat("\x00\x01\xff", 10<<10))) },
	"largest unsound queries": func(c *floodConn) { c.startup(); c.sendQueries(1, longUnsoundQuery) },
	"largest writes": func(c *floodConn) {
		c.startup()
		c.sendQueries(1, func(i int) string { return largeWriteText(1<<20+i, i%2) })
	},
	"reads with long comments": func(c *floodConn) { c.startup(); c.sendQueries(1, longCommentQuery) },
	"reads of two groups": func(c *floodConn) {
		c.startup()
		c.sendQueries(20, func(i int) string { return readQuery(1<<20+i, "any", time.Second, i%2) })
	},
	"reads with little time left": func(c *floodConn) {
		c.startup()
		c.sendQueries(20, func(i int) string { return readQuery(1<<20+i, "any", 6*time.Millisecond, i%2) })
	},
}

func init() {
	for name, query := range fullSpeedQueries {
		floodKinds[name] = func(c *floodConn) { c.startup(); c.sendQueries(batchQueries, query) }
	}
}

// Request codes that stand in place of a protocol version.
const (
	cancelRequest = 80877102
	sslRequest    = 80877103
	gssRequest    = 80877104
)

// specialStartup returns the beginning of a startup packet with a request code.
func specialStartup(code uint32) []byte {
	size := uint32(8)
	if code == cancelRequest {
		size = 16
	}
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(nil, size), code)
}

// longUnsoundQuery returns the largest query whose comment has very many fields, and no id.
func longUnsoundQuery(int) string {
	return "SELECT val FROM state WHERE uid = '1' /* " + strings.Repeat("a=1,", 32<<10) + "c=any,d=1000,cluster=0 */"
}

// longCommentQuery returns a read with many fields in its comment.
func longCommentQuery(i int) string {
	return strings.Replace(readQuery(1<<20+i, "any", time.Second, i%2), " */", strings.Repeat(",a=1", 3<<10)+" */", 1)
}

// floodConn is a connection of a flood.
type floodConn struct {
	net.Conn
	client *floodClient
	err    error
}

// floodClient sends on one connection after the other.
type floodClient struct {
	flood flood
	first int // number of its first query
	sent  int // queries sent
}

// next returns the number of the next query. It is unique in the flood.
func (c *floodConn) next() int {
	c.client.sent++
	return c.client.first + c.client.sent
}

// send sends bytes.
func (c *floodConn) send(b []byte) {
	if c.err == nil {
		_, c.err = c.Write(b)
	}
}

// startup sends a startup message.
func (c *floodConn) startup() { c.send(startupAnd(nil)) }

// sendEach sends bytes one by one, again and again.
func (c *floodConn) sendEach(b []byte) {
	for i := 0; c.err == nil; i++ {
		c.send(b[i%len(b) : i%len(b)+1])
	}
}

// sendQueries sends queries, some at once, until the connection ends.
func (c *floodConn) sendQueries(atOnce int, query func(int) string) {
	for c.err == nil {
		var batch []byte
		for range atOnce {
			batch = pg.AppendQuery(batch, query(c.next()))
		}
		c.send(batch)
	}
}

// run connects and sends until the end.
func (c *floodClient) run(end time.Time) {
	for time.Now().Before(end) {
		conn, err := net.Dial("tcp", c.flood.Address)
		if err != nil {
			time.Sleep(time.Millisecond)
			continue
		}
		conn.SetDeadline(end)
		if c.flood.Reads {
			go io.Copy(io.Discard, conn)
		}
		floodKinds[c.flood.Kind](&floodConn{Conn: conn, client: c})
		conn.Close()
	}
}

// runFlood is the program of a flood process. It prints how many queries were sent.
func runFlood(text string) error {
	var f flood
	if err := json.Unmarshal([]byte(text), &f); err != nil {
		return err
	}
	end := time.Now().Add(time.Duration(f.Seconds * float64(time.Second)))
	clients := make([]floodClient, f.Clients)
	var running sync.WaitGroup
	for i := range clients {
		clients[i] = floodClient{flood: f, first: i << 32}
		running.Go(func() { clients[i].run(end) })
	}
	running.Wait()
	total := 0
	for i := range clients {
		total += clients[i].sent
	}
	fmt.Println(total)
	return nil
}

// startFlood starts a flood on some cores. The result waits for its end and returns how many queries were sent.
func startFlood(t *testing.T, f flood, cores string) (wait func() string) {
	t.Helper()
	text, err := json.Marshal(f)
	if err != nil {
		t.Fatal(err)
	}
	command := onCores(cores, os.Args[0], floodEnv+"="+string(text))
	var output strings.Builder
	command.Stdout, command.Stderr = &output, os.Stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { command.Process.Kill() })
	return func() string {
		if err := command.Wait(); err != nil {
			t.Fatalf("the flood failed: %v", err)
		}
		return strings.TrimSpace(output.String())
	}
}
