package main

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"havenproxy/internal/wire/pg"
)

const (
	departureWork  = 170 * time.Millisecond // how long a request takes
	departures     = 3                      // clients, one after another
	departureStay  = 20 * time.Millisecond  // from sending to closing
	departurePause = 400 * time.Millisecond // between two of them
	relayDelay     = 500 * time.Microsecond // in each direction
	// departureGrace is how long after a client's close an attempt may begin: 0.1 s, and 50 ms that every limit is extended by.
	departureGrace = 150 * time.Millisecond
)

// startRelay starts what stands between clients and a proxy: it takes all that a client sends, and passes it on, and then
// its end, as the proxy reads it.
func startRelay(t *testing.T, to string) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			client, err := listener.Accept()
			if err != nil {
				return
			}
			proxy, err := net.Dial("tcp", to)
			if err != nil {
				client.Close()
				continue
			}
			go relay(client.(*net.TCPConn), proxy.(*net.TCPConn))
			go relay(proxy.(*net.TCPConn), client.(*net.TCPConn))
		}
	}()
	return listener.Addr().String()
}

// relay copies from one connection to another. Reading never waits for the writing.
func relay(from, to *net.TCPConn) {
	type piece struct {
		bytes []byte
		due   time.Time
	}
	pieces := make(chan piece, 1<<16)
	go func() {
		defer close(pieces)
		for {
			b := make([]byte, 32<<10)
			n, err := from.Read(b)
			if n > 0 {
				pieces <- piece{b[:n], time.Now().Add(relayDelay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.bytes); err != nil {
			time.Sleep(relayDelay)
			from.SetLinger(0)
			from.Close()
			to.Close()
			return
		}
	}
	to.CloseWrite()
}

// departureBatches return what a client sends before it leaves, with the ids of its requests.
var departureBatches = map[string]func(first int) (batch []byte, ids []string){
	"writes, reads and large writes": func(first int) ([]byte, []string) { return departureBatch(first, 16, 44, 12) },
	"large writes":                   func(first int) ([]byte, []string) { return departureBatch(first, 0, 0, 24) },
	"thousands of reads":             func(first int) ([]byte, []string) { return departureBatch(first, 0, 8000, 0) },
	"writes and thousands of reads":  func(first int) ([]byte, []string) { return departureBatch(first, 16, 8000, 0) },
	"a few writes":                   func(first int) ([]byte, []string) { return departureBatch(first, 20, 0, 0) },
}

// departureBatch returns so many writes, reads and large writes, and their ids.
func departureBatch(first, writes, reads, largeWrites int) (batch []byte, ids []string) {
	for i := range writes + reads + largeWrites {
		id := first + i
		switch {
		case i < writes:
			batch = pg.AppendQuery(batch, writeQuery(id, 3*time.Second, i%2))
		case i < writes+reads:
			batch = pg.AppendQuery(batch, readQuery(id, "any", time.Second, i%2))
		default:
			id = first + i + 1<<20
			batch = append(batch, largeWrite(first+i)...)
		}
		ids = append(ids, fmt.Sprintf("%016x", id+1))
	}
	return startupAnd(batch), ids
}

// A client closed its connection with much still unread, and its requests were sent on afterwards.
func TestNothingIsSentOnForClientsThatSentMuchAndLeft(t *testing.T) {
	for name, batch := range departureBatches {
		for outcome, answer := range map[string]func(string) []byte{
			"served": nil,
			"reset":  func(string) []byte { return nil },
			"turned away": func(string) []byte {
				return pg.AppendRefusal(nil, 0)
			},
		} {
			for _, reads := range []bool{true, false} {
				t.Run(fmt.Sprintf("%s, %s, answers read %v", name, outcome, reads), func(t *testing.T) {
					runBeside(t)
					checkDepartures(t, batch, answer, reads)
				})
			}
		}
	}
}

// checkDepartures fails the test if an attempt begins too late after the close of its client.
func checkDepartures(t *testing.T, batch func(int) ([]byte, []string), answer func(string) []byte, reads bool) {
	t.Helper()
	fleet := startDatabases(t, 12, departureWork)
	fleet.answerInstead = answer
	p, _ := startProxyOfFleet(t, fleet, proxyOptions{sockets: fewDescriptors})
	front := startRelay(t, p.address)
	begun, late, latest := 0, 0, time.Duration(0)
	for client := range departures {
		in, ids := batch(client * 100000)
		closedAt := sendAndLeave(t, front, in, reads)
		time.Sleep(departurePause)
		for _, id := range ids {
			for _, at := range fleet.attemptsOf(id) {
				begun++
				after := at.Sub(closedAt)
				if latest = max(latest, after); after > departureGrace {
					late++
				}
			}
		}
	}
	t.Logf("%d attempts began, the last %v after the close of its client", begun, latest)
	if late > 0 || begun == 0 {
		t.Errorf("%d of %d attempts began too late", late, begun)
	}
}

// sendAndLeave connects, sends a batch and closes the connection. It returns when.
func sendAndLeave(t *testing.T, address string, batch []byte, reads bool) (closedAt time.Time) {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if reads {
		go func() {
			for buf := make([]byte, 64<<10); err == nil; {
				_, err = conn.Read(buf)
			}
		}()
	}
	if _, err := conn.Write(batch); err != nil {
		t.Fatal(err)
	}
	time.Sleep(departureStay)
	conn.Close()
	return time.Now()
}

// An id ran twice when it came again after its client had left.
func TestIDThatComesAgainRunsOnce(t *testing.T) {
	fleet := startDatabases(t, 12, departureWork)
	p, _ := startProxyOfFleet(t, fleet, proxyOptions{sockets: fewDescriptors})
	var running sync.WaitGroup
	for name, stay := range map[string]time.Duration{
		"at once":              0,
		"while it is out":      departureWork / 2,
		"just before its end":  departureWork - 5*time.Millisecond,
		"after it was served":  2 * departureWork,
		"long after its close": departureWork / 3,
	} {
		for k := range 8 {
			running.Go(func() {
				id := 1<<16 + int(stay/time.Microsecond)*16 + k
				query := writeQuery(id, 3*time.Second, k%2)
				conn, err := net.Dial("tcp", p.address)
				if err != nil {
					t.Error(err)
					return
				}
				conn.Write(startupAnd(pg.AppendQuery(nil, query)))
				time.Sleep(stay)
				conn.Close()
				if name == "long after its close" {
					time.Sleep(3 * departureWork)
				}
				got := p.sendQuery(query, 5*time.Second)
				time.Sleep(departureWork)
				if attempts := fleet.attemptsOf(fmt.Sprintf("%016x", id+1)); len(attempts) > 1 || got.lost {
					t.Errorf("%s: %d attempts; the second request got %+v", name, len(attempts), got)
				}
			})
		}
	}
	running.Wait()
}
