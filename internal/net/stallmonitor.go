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

// stallMonitor logs slow iterations of the loop: during one, nothing is read or sent, and no timeout takes effect.
type stallMonitor struct {
	counters *state.Counters
	loggedAt time.Duration
}

// record notes one iteration of the loop and the number of callbacks that it ran.
func (m *stallMonitor) record(begin, end time.Duration, callbacks int) {
	took := end - begin
	longest := took > m.counters.LongestStall
	if longest {
		m.counters.LongestStall = took
	}
	if took < stallThreshold || !longest && end-m.loggedAt < stallLogInterval {
		return
	}
	m.loggedAt = end
	slog.Warn("event loop was blocked", "for", took, "callbacks", callbacks)
}
