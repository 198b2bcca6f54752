package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["endless"] = playEndless }

const (
	memoryLimitMB   = 64 // limits.memory_mb of the proxy
	memorySampling  = 10 * time.Millisecond
	firstSpoilt     = 3               // the index of the first store that begins an answer that never ends; the later ones do it too
	spoiltFrom      = 60              // the number of the request whose answer that is, at each of these stores
	noticesPerWrite = 64 << 10        // bytes
	endlessFor      = 5 * time.Second // the store gives the answer up after this time
	endlessBytes    = 3 << 30         // or after so many bytes
	readingClients  = 10
	readDeadline    = 1000                   // d of their requests, in ms
	answerSlack     = 500 * time.Millisecond // an answer later than the deadline plus this is lost
	clientGivesUp   = 5 * time.Second        // the client ends its connection when no answer has come
	readsFor        = 8 * time.Second        // the clients begin no request later
	betweenReads    = 20 * time.Millisecond
	leastInTime     = 20 // fewer answers in time: the case could not run
)

// endlessAnswer has a store begin one answer that never ends: notices, one after the other.
type endlessAnswer struct {
	rec *record

	mu       sync.Mutex
	requests int
	spoilt   int
}

// request counts the requests of a store and spoils the answer to one of them.
func (e *endlessAnswer) request(c *storeConn, s statement) bool {
	e.mu.Lock()
	e.requests++
	spoil := e.spoilt == 0 && e.requests >= spoiltFrom
	if spoil {
		e.spoilt++
	}
	e.mu.Unlock()
	if !spoil {
		return false
	}
	e.rec.add("%s: runs %s and begins an answer that never ends", c.store.name, s.id)
	var notices []byte
	for len(notices) < noticesPerWrite {
		notices = appendMessage(notices, 'N', "SNOTICE\x00C00000\x00Mlog\x00\x00")
	}
	begin, sent := time.Now(), 0
	for time.Since(begin) < endlessFor && sent < endlessBytes {
		n, err := c.Write(notices)
		if sent += n; err != nil {
			break
		}
	}
	e.rec.add("%s: the answer to %s is over after %v and %d MB: the proxy has closed, or the store gives up", c.store.name, s.id,
		time.Since(begin).Round(time.Millisecond), sent>>20)
	return true
}

// residentMB returns the memory that a process holds now, in MB.
func residentMB(pid int) int {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for _, line := range strings.Split(string(text), "\n") {
		kilobytes := 0
		if n, _ := fmt.Sscanf(line, "VmRSS: %d kB", &kilobytes); n == 1 {
			return kilobytes >> 10
		}
	}
	return 0
}

// playEndless has clients read while some stores send one answer each that never ends.
func playEndless(root string, trouble bool, rec *record) (bool, error) {
	stores, err := plainStores(6, smallValue, 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	for _, s := range stores[firstSpoilt:] {
		if spoiler := (&endlessAnswer{rec: rec}); trouble {
			s.onRequest = spoiler.request
		}
	}
	d, err := startDiscovery(stores)
	if err != nil {
		return false, err
	}
	p, err := startProxy(root, d, cairoSettings, memoryLimitMB, 512)
	if err != nil {
		return false, err
	}
	defer p.stop()
	time.Sleep(500 * time.Millisecond)

	var mu sync.Mutex
	var clients sync.WaitGroup
	inTime, late, never := 0, 0, 0
	begin := time.Now()
	for k := range readingClients {
		c, err := dial(p.address)
		if err != nil {
			return false, err
		}
		clients.Go(func() {
			for i := 0; time.Since(begin) < readsFor; i++ {
				id := fmt.Sprintf("client%dread%04d", k, i)
				rec.add("client %d: sends %s with d=%d", k, id, readDeadline)
				a := c.ask(readText(fmt.Sprintf("%016x", k*10000+i+1), id, "catalogue-read", readDeadline, 0), clientGivesUp)
				rec.add("client %d: %s is answered: %s, after %v", k, id, a.code, a.took)
				mu.Lock()
				switch {
				case strings.HasPrefix(a.code, "closed"):
					never++
				case a.took > readDeadline*time.Millisecond+answerSlack:
					late++
				default:
					inTime++
				}
				mu.Unlock()
				if strings.HasPrefix(a.code, "closed") {
					return
				}
				time.Sleep(betweenReads)
			}
		})
	}
	stop, sampled := make(chan struct{}), make(chan int)
	go func() {
		most := 0
		for {
			select {
			case <-stop:
				sampled <- most
				return
			case <-time.After(memorySampling):
				if now := residentMB(p.cmd.Process.Pid); now > most {
					if most = now; now > memoryLimitMB {
						rec.add("platform: the proxy holds %d MB, its limit is %d MB", now, memoryLimitMB)
					}
				}
			}
		}
	}()
	clients.Wait()
	close(stop)
	most := <-sampled
	rec.add("answered in time or up to 0.5 s after it: %d; later: %d; not at all within 5 s: %d; most memory: %d MB of %d MB",
		inTime, late, never, most, memoryLimitMB)
	if inTime < leastInTime {
		return false, fmt.Errorf("only %d requests were answered in time", inTime)
	}
	return late+never == 0 && most <= memoryLimitMB, nil
}
