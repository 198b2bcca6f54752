package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["pipeline"] = playPipeline }

const (
	valueSize   = 64 << 10 // "values of at most 64 KiB"
	rounds      = 6
	commands    = 24                    // sent at once, or with TROUBLE=0 one after another
	handlingFor = 20 * time.Millisecond // what the client takes for each answer before it reads the next
	smallValue  = 100                   // size of the values of other cases, in bytes
)

// plainStores starts a group of n stores that follow the pages and have no fault. The first is the primary.
func plainStores(n, valueSize int, work time.Duration) ([]*store, error) {
	var stores []*store
	for i := range n {
		s := &store{name: fmt.Sprintf("s-%d", i), primary: i == 0,
			value: func(s statement) string { return valueFor(s.id, valueSize) },
			work:  func(statement) time.Duration { return work }}
		if err := s.start(); err != nil {
			return nil, err
		}
		stores = append(stores, s)
	}
	return stores, nil
}

// valueFor returns the value that a store makes for a request.
func valueFor(id string, size int) string {
	v := "value of " + id + " "
	return v + strings.Repeat("x", max(0, size-len(v)))
}

// playPipeline has one client send many commands at once, whose answers hold the largest values, while another sends
// one small request after another.
func playPipeline(root string, trouble bool, rec *record) (bool, error) {
	stores, err := plainStores(5, valueSize, 50*time.Millisecond)
	if err != nil {
		return false, err
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
	answered, lost := 0, 0
	count := func(who, id string, a answer) {
		mu.Lock()
		defer mu.Unlock()
		rec.add("%s: %s is answered: %s, %d bytes", who, id, a.code, len(a.value))
		switch {
		case strings.HasPrefix(a.code, "closed"):
			lost++
		case a.code == "served" && a.value != valueFor(id, valueSize):
			lost++
			rec.add("%s: %s has another value than the one made for it", who, id)
		default:
			answered++
		}
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() { // the other client
		defer close(done)
		c, err := dial(p.address)
		for i := 0; err == nil; i++ {
			id := fmt.Sprintf("other%03d", i)
			rec.add("other client: sends %s", id)
			a := c.ask(readText(fmt.Sprintf("%016x", 1000+i), id, "catalogue-read", 1000, 0), 3*time.Second)
			count("other client", id, a)
			if strings.HasPrefix(a.code, "closed") {
				return
			}
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
			}
		}
	}()
	for round := 0; round < rounds && !p.hasExited(); round++ {
		c, err := dial(p.address)
		if err != nil {
			return false, err
		}
		var out []byte
		var ids []string
		for i := range commands {
			id := fmt.Sprintf("round%dcmd%02d", round, i)
			text := readText(fmt.Sprintf("%016x", i+1), id, "own-edit-read", 2000, 0)
			ids = append(ids, id)
			if !trouble {
				rec.add("client: sends %s", id)
				count("client", id, c.ask(text, 5*time.Second))
				time.Sleep(handlingFor)
				continue
			}
			out = append(out, queryMessage(text)...)
		}
		if trouble {
			rec.add("client: sends %s to %s at once, %d bytes", ids[0], ids[len(ids)-1], len(out))
			c.SetDeadline(time.Now().Add(10 * time.Second))
			if _, err := c.Write(out); err != nil {
				return false, err
			}
			for _, id := range ids {
				count("client", id, c.read())
				time.Sleep(handlingFor)
			}
		}
		c.Close()
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	<-done
	crashed := p.hasExited()
	if crashed {
		rec.add("the proxy's process has ended by itself; its log says:")
		for _, line := range strings.Split(p.log(), "\n") {
			if strings.HasPrefix(line, "panic") || strings.Contains(line, "havenproxy/") {
				rec.add("  %s", line)
			}
		}
	}
	rec.add("answered: %d, taken and never answered: %d", answered, lost)
	return !crashed && lost == 0, nil
}
