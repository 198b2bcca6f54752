package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

// The limits of case 8, both seen in the operators' reports.
const (
	case8MemoryMB = 48
	case8Sockets  = 384
)

// case8: bad clients send hundreds of commands at once, writes with values of 64 KiB. The proxy must stay under its limit of
// memory: over it, the platform kills the process.
func case8(l *lab) {
	l.memoryMB, l.sockets = case8MemoryMB, case8Sockets
	cairoFleet(l)
	tile := strings.Repeat("x", 64<<10)
	for _, s := range l.stores {
		s.value = func(statement) string { return tile } // to a read what is stored, to a write what it stores
		s.work = func(st statement) time.Duration {
			if st.write {
				return 100 * time.Millisecond
			}
			return 50 * time.Millisecond
		}
	}
	l.startProxy(cairoClasses, nil)
	g := &load{lab: l, rate: 200, classes: cairoClasses, groups: 2, shares: cairoShares, patience: time.Second}
	end := time.Now().Add(48 * time.Second)
	if l.trouble {
		for n := range 24 {
			go l.hundredsOfWrites(n, 3*time.Second, end)
		}
	}
	go l.watchMemory(case8MemoryMB, end)
	g.run(45 * time.Second)
	rss, peak := l.memory()
	l.finish(peak > case8MemoryMB<<10, "the proxy holds %d KiB, %d KiB at most, its limit is %d KiB", rss, peak, case8MemoryMB<<10)
}

// watchMemory ends the run as broken once the proxy holds more than its limit.
func (l *lab) watchMemory(limitMB int, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(20 * time.Millisecond)
		if rss, _ := l.memory(); rss > limitMB<<10 {
			l.finish(true, "the proxy holds %d KiB, its limit is %d KiB: the platform kills it", rss, limitMB<<10)
		}
	}
}

// memory returns the resident memory of the proxy's process in KiB, now and at most.
func (l *lab) memory() (now, peak int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", l.pid))
	for _, line := range strings.Split(string(text), "\n") {
		fmt.Sscanf(line, "VmRSS: %d", &now)
		fmt.Sscanf(line, "VmHWM: %d", &peak)
	}
	return now, peak
}

// hundredsOfWrites is a bad client: it sends 200 writes with values of 64 KiB at once, reads all it is sent, and does the
// same again.
func (l *lab) hundredsOfWrites(n int, after time.Duration, end time.Time) {
	time.Sleep(after)
	value := strings.Repeat("9f", 64<<10)
	for round := 0; time.Now().Before(end); round++ {
		c, err := dial(l)
		if err != nil {
			l.record("bad client %d: %v", n, err)
			time.Sleep(100 * time.Millisecond)
			continue
		}
		for ; err == nil && time.Now().Before(end); round++ {
			err = l.writeMany(c, n, round, value)
		}
		c.conn.Close()
	}
}

// writeMany sends 200 writes at once and reads their answers.
func (l *lab) writeMany(c *conn, n, round int, value string) error {
	const count = 200
	go func() {
		for i := range count {
			q := &request{id: fmt.Sprintf("bad%02x%05x%04x", n, round, i), class: "order-write", write: true,
				key: fmt.Sprintf("%016x", n<<20+round<<10+i+1), group: (n + i) % 2, d: 3 * time.Second, value: value}
			if _, err := c.conn.Write(message('Q', q.text()+"\x00")); err != nil {
				return
			}
		}
	}()
	served, refused, failed := 0, 0, 0
	var err error
	for served+refused+failed < count && err == nil {
		var kind byte
		var body []byte
		kind, body, err = readMessage(c.r)
		switch {
		case kind == 'C':
			served++
		case kind == 'E' && errorCode(body) == "53300":
			refused++
		case kind == 'E':
			failed++
		}
	}
	l.record("bad client %d: of %d writes %d served, %d refused, %d failed (%v)", n, count, served, refused, failed, err)
	return err
}
