package net

import (
	"time"

	"havenproxy/internal/state"
)

const (
	// busyTurnTime is how much time one turn of the loop spends on busy connections.
	busyTurnTime = 250 * time.Microsecond
	// loopShare is the part of its processor time that the process spends in the loop at most, as long as busy connections are
	// what asks for more. A process that uses up its share of a core may be stopped by the platform, and everybody waits.
	loopShare = 0.7
	// minBusyShare is the part that is spent on busy connections in any case.
	minBusyShare = 0.2
	// usageWindow is the time over which the use by the connections that are not busy is measured.
	usageWindow = 50 * time.Millisecond
)

// busyWork is the input of a busy connection, whose turn comes later.
type busyWork interface {
	// handleBusy handles a limited part of the input.
	handleBusy()
	// connection returns the socket of the connection.
	connection() *socket
}

// busyQueue holds the busy connections that have input. Each is served in its turn, after the connections that are not busy,
// and all together get what these leave of the process's share of a core, but for a reserve.
type busyQueue struct {
	clock    state.Clock
	counters *state.Counters
	run      func(busyWork) // calls handleBusy
	cores    float64        // processor time that the process gets in a second, in seconds
	waiting  []busyWork
	earned   time.Duration // processor time that may be spent; negative if too much was
	earnedAt time.Duration // when earned was computed

	othersShare  float64       // of a core that was spent on other connections lately
	othersSpent  time.Duration // on them since windowBegins
	windowBegins time.Duration
}

// add appends a connection. It must not be in the queue.
func (q *busyQueue) add(work busyWork) {
	q.waiting = append(q.waiting, work)
	q.counters.BusyWaits++
}

// recordOthers records time that was spent on other connections.
func (q *busyQueue) recordOthers(now, spent time.Duration) {
	q.othersSpent += spent
	if window := now - q.windowBegins; window >= usageWindow {
		q.othersShare = (q.othersShare + q.othersSpent.Seconds()/window.Seconds()) / 2
		q.windowBegins, q.othersSpent = now, 0
	}
}

// share returns the part of a core that may be spent on busy connections.
func (q *busyQueue) share() float64 {
	return max(loopShare*q.cores-q.othersShare, minBusyShare*q.cores)
}

// next returns when a connection may be served, and whether one waits.
func (q *busyQueue) next() (at time.Duration, waiting bool) {
	lacking := max(-q.earned, 0)
	return q.earnedAt + time.Duration(float64(lacking)/q.share()), len(q.waiting) > 0
}

// serve serves those that wait, in their order, for as long as a turn may take. It returns how many it has served.
func (q *busyQueue) serve() (served int) {
	if len(q.waiting) == 0 {
		return 0
	}
	now := q.clock.Now()
	q.earned = min(q.earned+time.Duration(float64(now-q.earnedAt)*q.share()), busyTurnTime)
	q.earnedAt = now
	for ; served < len(q.waiting) && q.earned > 0; served++ {
		work := q.waiting[served]
		q.waiting[served] = nil
		q.run(work)
		begin := now
		now = q.clock.Now()
		q.earned -= min(now-begin, busyTurnTime) // what took longer was spent while the process was stopped
	}
	q.waiting = append(q.waiting[:0], q.waiting[served:]...)
	return served
}
