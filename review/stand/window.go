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
)

// guardedStore keeps, as a sound store does, the ids of the writes that it has run for as long as the window is, and
// returns the first result for a repeat within it.
type guardedStore struct {
	mu        sync.Mutex
	firstSeen map[string]time.Time // when the last byte of a write first arrived
	ranAt     map[string]time.Time // when a write was last run
	runs      map[string]int
	lateNext  bool
	resets    map[string]bool
	accepted  int
	late      int
	broken    []string
}

func playWindow(root string, trouble bool, rec *record) (bool, error) {
	g := &guardedStore{firstSeen: map[string]time.Time{}, ranAt: map[string]time.Time{}, runs: map[string]int{}, resets: map[string]bool{}}
	var stores []*store
	for i := range 5 {
		s := &store{name: fmt.Sprintf("s-%d", i), primary: i == 0, value: func(s statement) string { return "value of " + s.id },
			work: func(statement) time.Duration { return 20 * time.Millisecond }}
		if s.primary && trouble {
			s.idleClose = 20 * time.Millisecond
			s.onAccept = func(c *storeConn) {
				g.mu.Lock()
				g.accepted++
				late := g.lateNext
				if late {
					g.lateNext = false
					g.late++
				}
				g.mu.Unlock()
				if late {
					rec.add("%s: connection %d comes up %v late", s.name, c.number, lateBy)
					time.Sleep(lateBy)
				}
			}
		}
		s.onRequest = func(c *storeConn, st statement) bool {
			if !st.write {
				return false
			}
			now := time.Now()
			g.mu.Lock()
			first, seen := g.firstSeen[st.id]
			if !seen {
				g.firstSeen[st.id] = now
			} else {
				rec.add("%s: write %s arrives again, %v after its first attempt (d=%d)", s.name, st.id, now.Sub(first), st.d)
				if now.Sub(first) > dedupWindow+socketsSlack {
					g.broken = append(g.broken, st.id)
				}
			}
			if ran, ok := g.ranAt[st.id]; ok && now.Sub(ran) <= dedupWindow {
				rec.add("%s: write %s is a repeat within the window, not run again", s.name, st.id)
			} else {
				g.ranAt[st.id] = now
				g.runs[st.id]++
				rec.add("%s: write %s runs, for time %d", s.name, st.id, g.runs[st.id])
			}
			reset := trouble && !seen && strings.HasPrefix(st.id, "hit")
			if reset {
				g.resets[st.id] = true
			}
			g.mu.Unlock()
			if !reset {
				return false
			}
			time.Sleep(resetAfter)
			g.mu.Lock()
			g.lateNext = true
			g.mu.Unlock()
			rec.add("%s: the connection under write %s is reset", s.name, st.id)
			c.reset()
			return true
		}
		if err := s.start(); err != nil {
			return false, err
		}
		stores = append(stores, s)
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
	for i := range 24 {
		id := fmt.Sprintf("calm%04d", i)
		if i%6 == 5 {
			id = fmt.Sprintf("hit%05d", i)
		}
		rec.add("client: sends write %s with d=1800", id)
		a := c.ask(writeText(fmt.Sprintf("%016x", i+1), id, "fence-save", "9f03", 1800, 0), 3*time.Second)
		rec.add("client: write %s is answered %s after %v", id, a.code, a.took)
		if a.code == "served" {
			served++
		}
		time.Sleep(100 * time.Millisecond)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	rec.add("served %d of 24; connections accepted by the primary: %d, late: %d", served, g.accepted, g.late)
	if served < 18 {
		return false, errors.New("too few writes were served")
	}
	for id, n := range g.runs {
		if n > 1 {
			rec.add("write %s ran %d times", id, n)
		}
	}
	return len(g.broken) == 0, nil
}
