package net

import (
	"log/slog"
	"time"

	"havenproxy/internal/state"
)

const (
	// holdToTell is how long one round of the loop may take before it is logged. Requests wait 200 ms and more.
	holdToTell = 50 * time.Millisecond
	// holdLogEvery is how often that is logged at most, but for rounds that are longer than any before.
	holdLogEvery = 10 * time.Second
)

// holdWatch tells of rounds that held the loop up: nothing is read, sent or given up meanwhile.
type holdWatch struct {
	counters *state.Counters
	loggedAt time.Duration
}

// round notes one round of the loop, with the number of callbacks that it ran.
func (w *holdWatch) round(begin, end time.Duration, callbacks int) {
	took := end - begin
	longest := took > w.counters.LongestHold
	if longest {
		w.counters.LongestHold = took
	}
	if took < holdToTell || !longest && end-w.loggedAt < holdLogEvery {
		return
	}
	w.loggedAt = end
	slog.Warn("loop was held up", "for", took, "callbacks", callbacks)
}
