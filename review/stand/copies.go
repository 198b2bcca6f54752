package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["copies"] = playCopies }

const (
	copyOneIn       = 10                     // one answer in so many is followed by a second copy of itself
	copyWithin      = 200 * time.Microsecond // the second copy is written at most so long after the first
	networkDelay    = 300 * time.Microsecond // each way, between the proxy and the stores: same_ms of the site is 0.08 to 0.35
	readingClients  = 6
	readsPerClient  = 1000
	smallValue      = 100 // bytes
	shortWork       = 2 * time.Millisecond
	readTimeoutMs   = 500
	clientWaitsMost = 2 * time.Second
)

// nothingWaits tells whether nothing else waits on the connection: no byte of a further request has arrived.
func (c *storeConn) nothingWaits() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(interface {
		SyscallConn() (syscall.RawConn, error)
	}).SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	raw.Read(func(descriptor uintptr) bool {
		_, _, err := syscall.Recvfrom(int(descriptor), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return quiet
}

// copyMaker has stores write second copies of some answers.
type copyMaker struct {
	rec *record

	mu      sync.Mutex
	random  *rand.Rand
	written int // copies
	held    int // copies not written because a further request had arrived
	crossed int // copies that a further request had crossed when they were written
}

// answered writes a second copy close behind some answers, if nothing else waits on the connection.
func (m *copyMaker) answered(c *storeConn, s statement, answer []byte) {
	m.mu.Lock()
	chosen, pause := m.random.IntN(copyOneIn) == 0, time.Duration(m.random.Int64N(int64(copyWithin)))
	m.mu.Unlock()
	if !chosen {
		return
	}
	for begin := time.Now(); time.Since(begin) < pause; { // a sleep would take longer
	}
	quiet, crossed := c.nothingWaits(), false
	if quiet {
		c.Write(answer)
		crossed = !c.nothingWaits()
		m.rec.add("%s: a second copy of the answer to %s on connection %d (a further request has arrived meanwhile: %v)",
			c.store.name, s.id, c.number, crossed)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !quiet:
		m.held++
	case crossed:
		m.crossed++
		fallthrough
	default:
		m.written++
	}
}

// playCopies has clients read while stores write second copies of some answers.
func playCopies(root string, trouble bool, rec *record) (bool, error) {
	stores, err := plainStores(5, smallValue, shortWork)
	if err != nil {
		return false, err
	}
	copies := &copyMaker{rec: rec, random: rand.New(rand.NewPCG(1, 1))}
	for _, s := range stores {
		link, err := startRelay(s.address, networkDelay)
		if err != nil {
			return false, err
		}
		s.address = link.address // what discovery lists
		s.onRequest = func(c *storeConn, st statement) bool {
			rec.add("%s: runs %s on connection %d", s.name, st.id, c.number)
			return false
		}
		if trouble {
			s.onAnswered = copies.answered
		}
	}
	d, err := startDiscovery(stores)
	if err != nil {
		return false, err
	}
	p, err := startProxy(root, d, cairoSettings, 64, 512)
	if err != nil {
		return false, err
	}
	defer p.stop()
	time.Sleep(time.Second)

	var mu sync.Mutex
	var clients sync.WaitGroup
	served, foreign, notServed := 0, 0, 0
	for k := range readingClients {
		c, err := dial(p.address)
		if err != nil {
			return false, err
		}
		clients.Go(func() {
			for i := range readsPerClient {
				id := fmt.Sprintf("client%dread%04d", k, i)
				class := []string{"own-edit-read", "catalogue-read", "tile-read"}[i%3]
				rec.add("client %d: sends %s", k, id)
				a := c.ask(readText(fmt.Sprintf("%016x", k*readsPerClient+i+1), id, class, readTimeoutMs, 0), clientWaitsMost)
				rec.add("client %d: %s is answered: %s, %.30q", k, id, a.code, a.value)
				mu.Lock()
				switch {
				case a.code == "served" && a.value != valueFor(id, smallValue):
					foreign++
					rec.add("client %d: FOREIGN: %s got a value that was made for another request", k, id)
				case a.code == "served":
					served++
				default:
					notServed++
				}
				mu.Unlock()
				if strings.HasPrefix(a.code, "closed") {
					return
				}
			}
		})
	}
	clients.Wait()
	rec.add("second copies: %d, of these crossed by a request while they were written: %d; held back because a request had arrived: %d",
		copies.written, copies.crossed, copies.held)
	rec.add("reads served with their own value: %d, with a foreign value: %d, not served: %d", served, foreign, notServed)
	if served < readsPerClient {
		return false, fmt.Errorf("only %d reads were served", served)
	}
	return foreign == 0, nil
}
