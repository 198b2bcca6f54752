package net

import (
	"log/slog"
	"time"

	"havenproxy/internal/state"
)

const (
	// stallThreshold is how long one iteration of the loop may take before it is logged. Request timeouts are 200 ms or longer.
	stallThreshold = 50 * time.Millisecond
	// stallLogInterval is the minimum time between these log lines, except for iterations longer than any before.
	stallLogInterval = 10 * time.Second
)

// turnPhase is a part of an iteration of the loop.
type turnPhase uint8

// The phases of an iteration, in their order.
const (
	phaseHangups turnPhase = iota
	phasePosted
	phaseEvents
	phaseDeadlines
	phaseBusy
	turnPhases
)

// turnPhaseNames are the names of the phases in the log.
var turnPhaseNames = [turnPhases]string{"hangups", "posted", "events", "deadlines", "busy"}

// stallMonitor logs slow iterations of the loop: during one, nothing is read or sent, and no timeout takes effect.
type stallMonitor struct {
	clock    state.Clock
	counters *state.Counters
	loggedAt time.Duration

	begin   time.Duration // of the current iteration
	ended   time.Duration // when its last phase ended
	phases  [turnPhases]time.Duration
	handled int           // callbacks that it has run
	took    time.Duration // by the last iteration, without its busy connections
}

// beginTurn starts to measure an iteration.
func (m *stallMonitor) beginTurn(now time.Duration) {
	m.begin, m.ended, m.phases, m.handled = now, now, [turnPhases]time.Duration{}, 0
}

// endPhase records the end of a phase that has run so many callbacks.
func (m *stallMonitor) endPhase(phase turnPhase, callbacks int) {
	now := m.clock.Now()
	m.phases[phase] += now - m.ended
	m.ended = now
	m.handled += callbacks
}

// endTurn notes the iteration. A slow one is logged with what its phases took.
func (m *stallMonitor) endTurn() {
	took := m.ended - m.begin
	m.took = took - m.phases[phaseBusy]
	longest := took > m.counters.LongestStall
	if longest {
		m.counters.LongestStall = took
	}
	if took < stallThreshold || !longest && m.ended-m.loggedAt < stallLogInterval {
		return
	}
	m.loggedAt = m.ended
	attributes := []any{"for", took, "callbacks", m.handled}
	for phase, name := range turnPhaseNames {
		attributes = append(attributes, name, m.phases[phase])
	}
	slog.Warn("event loop was blocked", attributes...)
}
