package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// leaver is a client that sends much at once and goes.
type leaver struct {
	ids    []string
	closed time.Time
}

// case9: a client sends many commands at once and closes its connection right after. No attempt for them may begin more than
// 0.1 s after the close.
func case9(l *lab) {
	cairoFleet(l)
	for _, s := range l.stores {
		s.work = func(st statement) time.Duration {
			if st.class == "catalogue-read" {
				return 90 * time.Millisecond
			}
			if st.write {
				return 170 * time.Millisecond
			}
			return 50 * time.Millisecond
		}
	}
	l.startProxy(cairoClasses, nil)
	front := l.startFront(500 * time.Microsecond)
	g := &load{lab: l, rate: 20, classes: cairoClasses, groups: 2, shares: cairoShares, patience: time.Second}
	var leavers []*leaver
	done := make(chan bool)
	go func() {
		time.Sleep(3 * time.Second)
		for i := range 10 {
			leavers = append(leavers, l.sendMuchAndGo(front, i))
			time.Sleep(700 * time.Millisecond)
		}
		close(done)
	}()
	g.run(12 * time.Second)
	<-done
	broken, begun := 0, 0
	for _, c := range leavers {
		for _, id := range c.ids {
			for _, a := range l.attemptsOf(id) {
				begun++
				if late := a.at.Sub(c.closed); late > 150*time.Millisecond {
					broken++
					l.record("broken: id=%s, an attempt began %.3f s after the client's close", id, late.Seconds())
				}
			}
		}
	}
	l.finish(broken > 0, "%d of %d attempts for clients that left began more than 0.15 s after the close", broken, begun)
}

// sendMuchAndGo sends 16 writes, 44 reads and 12 writes with values of 64 KiB at once, reads whatever it is sent, and closes
// the connection right after. Without the trouble it stays for 3 s.
func (l *lab) sendMuchAndGo(address string, n int) *leaver {
	out := &leaver{}
	rng := rand.New(rand.NewPCG(uint64(n), 99))
	batch := startupMessage()
	for i := range 72 {
		id := fmt.Sprintf("%016x", rng.Uint64())
		out.ids = append(out.ids, id)
		text := fmt.Sprintf("SELECT val FROM state WHERE uid = '%016x' /* id=%s,c=catalogue-read,d=1000,cluster=%d */", rng.Uint64(), id, n%2)
		if i < 16 {
			text = fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%016x', '\\x9f03') RETURNING val /* id=%s,c=order-write,d=3000,cluster=%d */", rng.Uint64(), id, n%2)
		}
		if i >= 60 {
			text = fmt.Sprintf("INSERT INTO state (uid, val) VALUES ('%016x', '\\x%s') RETURNING val /* id=%s,c=order-write,d=3000,cluster=%d */",
				rng.Uint64(), strings.Repeat("9f", 64<<10), id, n%2)
		}
		batch = append(batch, message('Q', text+"\x00")...)
	}
	c, err := net.Dial("tcp", address)
	if err != nil {
		l.cannotRun("%v", err)
	}
	go func() { // it reads whatever it is sent
		b := make([]byte, 64<<10)
		for {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}()
	c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	sent, err := c.Write(batch)
	l.record("client %d: sent %d of %d bytes, 72 commands from id=%s to id=%s (%v)", n, sent, len(batch), out.ids[0], out.ids[71], err)
	if !l.trouble {
		time.Sleep(3 * time.Second)
	}
	c.Close()
	out.closed = time.Now()
	l.record("client %d: closed", n)
	return out
}
