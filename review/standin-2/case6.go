package main

import (
	"sync/atomic"
	"time"
)

// copyDelay is how close behind its answer a second copy comes.
const copyDelay = 1500 * time.Microsecond

// case6: some answers of tile stores are followed close behind by a second copy, when nothing else waits on the connection. A
// client may only be served the value that was made for its request.
func case6(l *lab) {
	cairoFleet(l)
	var answers atomic.Int64
	for i, s := range l.stores {
		s.work = func(statement) time.Duration { return 40 * time.Millisecond }
		if l.trouble {
			s.copies = func(statement) time.Duration {
				if answers.Add(1)%10 == 0 {
					return copyDelay
				}
				return 0
			}
		}
		l.disco.entries[i].Address = l.startRelay(&s.address, 350*time.Microsecond)
	}
	l.startProxy(cairoClasses, nil)
	g := &load{lab: l, rate: 250, classes: cairoClasses, groups: 2, shares: cairoShares, patience: time.Second}
	g.run(25 * time.Second)
	foreign, served := 0, 0
	for _, q := range g.requests {
		if q.answer.code != "" {
			continue
		}
		served++
		if q.answer.value != q.id {
			foreign++
			l.record("broken: id=%s was served the value of id=%s", q.id, q.answer.value)
		}
	}
	l.finish(foreign > 0, "%d of %d served requests got the value of another", foreign, served)
}
