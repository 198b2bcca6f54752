package net

import (
	"bytes"
	"io"
	"testing"
	"time"

	"havenproxy/internal/state"
	"havenproxy/internal/wire/pg"
)

// manualClock is a clock that a test moves.
type manualClock struct{ now time.Duration }

func (c *manualClock) Now() time.Duration  { return c.now }
func (c *manualClock) Unix() time.Duration { return c.now }

// endlessWork is busyWork that always has more.
type endlessWork struct {
	queue *busyQueue
	clock *manualClock
	cost  time.Duration
	turns int
}

func (w *endlessWork) connection() *socket { return nil }

func (w *endlessWork) handleBusy() {
	w.clock.now += w.cost
	w.turns++
	w.queue.add(w)
}

// One turn of the loop cost what all connections asked at once.
func TestBusyConnectionsGetAShareOfTheProcessorInTurns(t *testing.T) {
	for _, c := range []struct{ cores, others, want float64 }{{1, 0, 0.7}, {1, 0.3, 0.4}, {1, 0.9, 0.2}, {0.2, 0, 0.14}, {0.2, 0.15, 0.04}} {
		clock := &manualClock{now: time.Hour}
		queue := &busyQueue{clock: clock, counters: &state.Counters{}, run: busyWork.handleBusy, cores: c.cores}
		var works []*endlessWork
		for range 300 {
			works = append(works, &endlessWork{queue: queue, clock: clock, cost: 10 * time.Microsecond})
			queue.add(works[len(works)-1])
		}
		begin, spent := clock.now, time.Duration(0)
		for clock.now < begin+10*time.Second {
			queue.recordOthers(clock.now, time.Duration(c.others*float64(100*time.Microsecond)))
			before := clock.now
			queue.serve()
			if turn := clock.now - before; turn > busyTurnTime+works[0].cost {
				t.Fatalf("a turn took %v, allowed are %v", turn, busyTurnTime)
			}
			if clock.now > begin+time.Second { // the use of the others has been measured
				spent += clock.now - before
			}
			clock.now = before + max(clock.now-before, 100*time.Microsecond)
		}
		if share := spent.Seconds() / 9; share > 1.1*c.want || share < 0.9*c.want {
			t.Errorf("%+v: %.3f of the time was spent on busy connections", c, share)
		}
		for _, work := range works {
			if work.turns < works[0].turns-1 || work.turns > works[0].turns {
				t.Errorf("%+v: a connection had %d turns, the first one %d", c, work.turns, works[0].turns)
			}
		}
	}
}

// A time for which the process was stopped is not counted as spent on busy connections.
func TestTimeOfAStopIsNotCountedAgainstBusyConnections(t *testing.T) {
	clock := &manualClock{now: time.Hour}
	queue := &busyQueue{clock: clock, counters: &state.Counters{}, run: busyWork.handleBusy, cores: 1}
	work := &endlessWork{queue: queue, clock: clock, cost: 10 * time.Second}
	queue.add(work)
	queue.serve()
	clock.now += 2 * time.Millisecond
	queue.serve()
	if work.turns != 2 {
		t.Errorf("the connection had %d turns, want 2", work.turns)
	}
}

// A connection that is used for one request at a time is not busy; one that sends at full speed is, until it has paused.
func TestConnectionsAreBusyWhileTheySendAtFullSpeed(t *testing.T) {
	var oneAtATime, fullSpeed usage
	now := time.Hour
	for range 1000 {
		oneAtATime.add(now, 1)
		fullSpeed.add(now, maxMessagesPerWake)
		if oneAtATime.busy(now, crowdedBurst) {
			t.Fatal("a connection with one request at a time is busy")
		}
		now += usageInterval
	}
	if !fullSpeed.busy(now, usageBurst) {
		t.Error("a connection at full speed is not busy")
	}
	if now += usageBurst*usageInterval + maxUsageDebt; fullSpeed.busy(now, usageBurst) {
		t.Error("a connection is still busy after a pause")
	}
	for range usageBurst {
		fullSpeed.add(now, 1)
	}
	if fullSpeed.busy(now, usageBurst) {
		t.Error("a connection is busy after a burst that is allowed")
	}
}

// sendEmptyQueries sends empty queries at full speed until the connection ends, and reads the responses.
func (p *peer) sendEmptyQueries() {
	go io.Copy(io.Discard, p.conn)
	for batch := bytes.Repeat(pg.AppendQuery(nil, ""), 1000); ; {
		if _, err := p.conn.Write(batch); err != nil {
			return
		}
	}
}

// waitForBusyClients waits until so many clients are busy at once.
func waitForBusyClients(t *testing.T, s *Server, clients int) {
	t.Helper()
	waitOnLoop(t, s.loop, func() bool {
		busy := 0
		for c := range s.clients {
			if c.usage.busy(s.clock.Now(), usageBurst) {
				busy++
			}
		}
		return busy >= clients
	})
}

// Clients that sent empty queries at full speed held all places, and everybody else was turned away.
func TestRequestGetsThePlaceOfAClientThatSendsNone(t *testing.T) {
	const clients = 4
	s, dispatcher, loop := startProxy(t, startDatabase(t, echo), clients, 2)
	for range clients {
		p := dialProxy(t, s)
		p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), ""))
		p.readMessages(len(startupResponseTypes) + 2) // several silent clients at once would be closed
		go p.sendEmptyQueries()
	}
	waitForBusyClients(t, s, clients)
	dialServed(t, s)
	dialServed(t, s)
	if evicted := onLoop(loop, func() uint64 { return dispatcher.Counters.ClientsEvicted }); evicted < 2 {
		t.Errorf("%d clients lost their place, want 2", evicted)
	}
}

// A client that sends requests keeps its place, however many it sends.
func TestBusyClientWithRequestsKeepsItsPlace(t *testing.T) {
	const clients = 4
	s, _, _ := startProxy(t, startDatabase(t, echo), clients, 2)
	for range clients {
		p := dialServed(t, s)
		go p.sendEmptyQueries()
	}
	p := dialProxy(t, s)
	p.conn.Write(pg.AppendQuery(pg.AppendStartup(nil, "client", "core"), queryText("a")))
	if types, _ := p.readMessages(99); types != "E!" {
		t.Errorf("a client without a place got %q", types)
	}
}

// A client that sent at full speed while its connection was being closed kept it open: its wait as a busy client cleared the
// timer that ends the connection.
func TestBusyClientIsClosedInTime(t *testing.T) {
	s, _, loop := startProxy(t, startDatabase(t, echo), 4, 1)
	p := dialServed(t, s)
	go p.sendEmptyQueries()
	waitForBusyClients(t, s, 1)
	onLoop(loop, func() bool {
		for c := range s.clients {
			c.partialQuery = true
			c.closeWithError(pg.CodeCannotConnectNow, "closed by the test")
		}
		return true
	})
	waitOnLoop(t, loop, func() bool { return len(s.clients) == 0 })
}
