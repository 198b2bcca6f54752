package main

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["window"] = playWindow }

const (
	dedupWindow  = 1500 * time.Millisecond // dedup_window of the class in deltaSettings
	socketsSlack = 50 * time.Millisecond   // "every time limit is extended by 50 ms"
	resetAfter   = 1400 * time.Millisecond // a request's connection is reset so long after its arrival
	lateBy       = 200 * time.Millisecond  // a late connection comes up after this time
	earlyClose   = 20 * time.Millisecond   // idle connections are closed after this time
	writes       = 48
	hitOneIn     = 6 // the connection under one write in so many is reset
	hitPrefix    = "hit"
)

// guardedStore is what the primary knows of guarded writes. As a sound store does, it keeps the ids of the writes that it
// has run for as long as the window is, and does not run a repeat within it.
type guardedStore struct {
	rec     *record
	trouble bool

	mu        sync.Mutex
	firstSeen map[string]time.Time // when a write's first attempt arrived
	ranAt     map[string]time.Time // when a write was last run
	runs      map[string]int
	tooLate   int  // attempts that arrived after the window
	lateNext  bool // the next connection comes up late
	accepted  int
	late      int
}

// accept holds up a connection that comes up late.
func (g *guardedStore) accept(c *storeConn) {
	g.mu.Lock()
	g.accepted++
	late := g.lateNext
	if g.lateNext = false; late {
		g.late++
	}
	g.mu.Unlock()
	if late {
		g.rec.add("%s: connection %d comes up %v late", c.store.name, c.number, lateBy)
		time.Sleep(lateBy)
	}
}

// request runs a write, unless it is a repeat within the window. It tells whether the connection was reset.
func (g *guardedStore) request(c *storeConn, s statement) bool {
	if !s.write {
		return false
	}
	now := time.Now()
	g.mu.Lock()
	first, repeat := g.firstSeen[s.id]
	if !repeat {
		g.firstSeen[s.id] = now
	} else {
		g.rec.add("%s: %s arrives again, %v after its first attempt, with d=%d", c.store.name, s.id, now.Sub(first), s.d)
		if now.Sub(first) > dedupWindow+socketsSlack {
			g.tooLate++
		}
	}
	if ran, ok := g.ranAt[s.id]; ok && now.Sub(ran) <= dedupWindow {
		g.rec.add("%s: %s is a repeat within the window and is not run again", c.store.name, s.id)
	} else {
		g.ranAt[s.id] = now
		g.runs[s.id]++
		g.rec.add("%s: runs %s, run %d of it", c.store.name, s.id, g.runs[s.id])
	}
	g.mu.Unlock()
	if !g.trouble || repeat || !strings.HasPrefix(s.id, hitPrefix) {
		return false
	}
	time.Sleep(resetAfter)
	g.mu.Lock()
	g.lateNext = true
	g.mu.Unlock()
	g.rec.add("%s: the connection under %s is reset", c.store.name, s.id)
	c.reset()
	return true
}

// playWindow has a client write while connections are reset under some writes and the next connection comes up late.
func playWindow(root string, trouble bool, rec *record) (bool, error) {
	stores, err := plainStores(5, smallValue, 20*time.Millisecond)
	if err != nil {
		return false, err
	}
	g := &guardedStore{rec: rec, trouble: trouble, firstSeen: map[string]time.Time{}, ranAt: map[string]time.Time{},
		runs: map[string]int{}}
	primary := stores[0]
	primary.onRequest = g.request
	if trouble {
		primary.idleClose, primary.onAccept = earlyClose, g.accept
	}
	d, err := startDiscovery(stores)
	if err != nil {
		return false, err
	}
	p, err := startProxy(root, d, deltaSettings, 64, 512)
	if err != nil {
		return false, err
	}
	defer p.stop()
	time.Sleep(time.Second)

	c, err := dial(p.address)
	if err != nil {
		return false, err
	}
	served := 0
	for i := range writes {
		id := fmt.Sprintf("write%02d", i)
		if i%hitOneIn == hitOneIn-1 {
			id = hitPrefix + id
		}
		rec.add("client: sends %s with d=1800", id)
		a := c.ask(writeText(fmt.Sprintf("%016x", i+1), id, "fence-save", "9f03", 1800, 0), 3*time.Second)
		rec.add("client: %s is answered: %s, after %v", id, a.code, a.took)
		if a.code == "served" {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	twice := 0
	for id, n := range g.runs {
		if n > 1 {
			twice++
			rec.add("%s ran %d times", id, n)
		}
	}
	rec.add("served: %d of %d; run more than once: %d; attempts after the window: %d; connections to the primary: %d, late: %d",
		served, writes, twice, g.tooLate, g.accepted, g.late)
	if served < writes/2 {
		return false, errors.New("too few writes were served")
	}
	return g.tooLate == 0, nil
}
