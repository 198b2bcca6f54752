package main

import (
	"strings"
	"time"
)

var cases = map[string]func(*lab){"6": case6, "7": case7, "8": case8, "9": case9, "10": case10}

// cairoFleet starts ten tile stores in two groups, each of one primary and four replicas.
func cairoFleet(l *lab) {
	for i := range 10 {
		l.newStore([]string{"s-a0", "s-a1", "s-a2", "s-a3", "s-a4", "s-b0", "s-b1", "s-b2", "s-b3", "s-b4"}[i], i/5, i%5 == 0)
	}
	l.startDiscovery()
}

// cairoShares are the shares of the classes of cairo-tiles.
var cairoShares = []float64{0.43, 0.29, 0.21, 0.07}

// endlessLine is a query without an id, whose comment goes on to the length of the longest query: a value of 64 KiB takes
// 128 KiB as hexadecimal text.
func endlessLine() []byte {
	return message('Q', "SELECT val FROM state WHERE uid = '7f3a9c21e0b4d655' /* "+strings.Repeat(",", 128<<10)+" */\x00")
}

// case7: bad clients send a query whose line goes on and on. No usual client's request may be lost for that.
func case7(l *lab) {
	cairoFleet(l)
	l.startProxy(cairoClasses, nil)
	g := &load{lab: l, rate: 60, classes: cairoClasses, groups: 2, shares: cairoShares, patience: 15 * time.Second}
	if l.trouble {
		for range 4 {
			go badClient(l, 4*time.Second)
		}
	}
	g.run(12 * time.Second)
	lost := 0
	for _, q := range g.requests {
		if q.answer.code == "unreachable" {
			continue
		}
		if q.answer.code == "closed" || q.answer.code == "none" || q.answer.after > q.d+500*time.Millisecond {
			lost++
			l.record("lost: id=%s c=%s d=%d answer %q after %.3f s", q.id, q.class, q.d.Milliseconds(), q.answer.code,
				q.answer.after.Seconds())
		}
	}
	l.finish(lost > 0, "%d of %d requests had no answer half a second after their time", lost, len(g.requests))
}

// badClient connects after a time and sends an endless line once.
func badClient(l *lab, after time.Duration) {
	time.Sleep(after)
	c, err := open(l)
	if err != nil {
		l.record("bad client: %v", err)
		return
	}
	defer c.conn.Close()
	line := endlessLine()
	l.record("bad client: sends a query of %d bytes without an id", len(line))
	begin := time.Now()
	c.conn.SetDeadline(begin.Add(30 * time.Second))
	c.conn.Write(line)
	for {
		kind, body, err := readMessage(c.r)
		if err != nil || kind == 'E' {
			l.record("bad client: error %q, end %v, after %.3f s", errorCode(body), err, time.Since(begin).Seconds())
			return
		}
	}
}
