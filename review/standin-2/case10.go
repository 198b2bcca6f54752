package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The limits of case 10: those of the entry in KNOWN-RED.txt, inside what the pages name.
const (
	case10MemoryMB = 32
	case10Sockets  = 512
	case10Clients  = case10Sockets / 3
)

// case10: half of the tile stores hang for a while, and 170 clients read values of 64 KiB, about 300 a second in all. The proxy
// must stay under its limit of memory.
func case10(l *lab) {
	l.memoryMB, l.sockets = case10MemoryMB, case10Sockets
	cairoFleet(l)
	tile := strings.Repeat("x", 64<<10)
	var hangs atomic.Int64 // until when, in Unix nanoseconds
	for i, s := range l.stores {
		s.value = func(statement) string { return tile }
		s.work = func(statement) time.Duration {
			if left := time.Until(time.Unix(0, hangs.Load())); i%2 == 0 && left > 0 {
				return left
			}
			return 40 * time.Millisecond
		}
	}
	l.startProxy(cairoClasses, nil)
	end := time.Now().Add(40 * time.Second)
	go l.watchMemory(case10MemoryMB, end)
	if l.trouble {
		go func() {
			for time.Now().Before(end) {
				time.Sleep(5 * time.Second)
				l.record("five of ten tile stores hang for 1.5 s")
				hangs.Store(time.Now().Add(1500 * time.Millisecond).UnixNano())
			}
		}()
	}
	var clients sync.WaitGroup
	for n := range case10Clients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(n) * 20 * time.Millisecond)
			l.reader(n, end)
		}()
	}
	clients.Wait()
	rss, peak := l.memory()
	l.finish(peak > case10MemoryMB<<10, "the proxy holds %d KiB, %d KiB at most, its limit is %d KiB", rss, peak, case10MemoryMB<<10)
}

// reader is a client that reads again and again, with a pause of 0.5 s in the mean, on a connection that it keeps.
func (l *lab) reader(n int, end time.Time) {
	rng := rand.New(rand.NewPCG(uint64(n), 10))
	var c *conn
	for i := 0; time.Now().Before(end); i++ {
		if c == nil {
			var err error
			if c, err = dial(l); err != nil {
				l.record("client %d: %v", n, err)
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		q := &request{id: fmt.Sprintf("%08x%08x", n, i), class: "own-edit-read", key: fmt.Sprintf("%016x", n*1000+i+1), group: n % 2,
			d: 2 * time.Second}
		c.ask(q, time.Second)
		l.record("client %d: id=%s sent at %.3f, answer %q after %.3f s", n, q.id, q.sentAt.Sub(l.begin).Seconds(), q.answer.code,
			q.answer.after.Seconds())
		if q.answer.code == "closed" || q.answer.code == "none" {
			c.conn.Close()
			c = nil
		}
		time.Sleep(time.Duration(300+rng.IntN(400)) * time.Millisecond)
	}
	if c != nil {
		c.conn.Close()
	}
}
