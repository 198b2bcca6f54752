package state

import (
	"log/slog"
	"time"
)

const (
	// A second's budget of lines about single requests: enough to follow an incident, little against a proxy's traffic.
	requestLinesPerSecond = 20
	// lateBy is how much later than its time a request may be answered before it counts as late: the way back is not
	// part of it, and the client counts it as lost soon after.
	lateBy = 10 * time.Millisecond
)

// requestLog writes one line for each request that ends badly, up to a number of lines each second. What it leaves out
// is counted in the next line.
type requestLog struct {
	second     time.Duration // the one that lines are counted in
	lines      int
	suppressed int
}

// allow tells whether one more line may be written now.
func (l *requestLog) allow(now time.Duration) bool {
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines >= requestLinesPerSecond {
		l.suppressed++
		return false
	}
	l.lines++
	return true
}

// ended notes how a request ended; reason is empty for one that is served.
func (f *Front) ended(q *request, ending, reason string) {
	now := f.clock.Now()
	late := now - q.deadline
	if late > lateBy {
		f.Counters.Late++
	} else if reason == "" {
		return
	}
	if !f.requestLog.allow(now) {
		return
	}
	slog.Info("request ended", "id", q.name, "class", f.cfg.Logic.Classes[q.class].Name, "group", q.group,
		"ending", ending, "reason", reason, "attempts", q.tries, "after", now-q.takenAt, "late", max(late, 0),
		"suppressed", f.requestLog.suppressed)
	f.requestLog.suppressed = 0
}

// refusalNames name the reasons for a refusal in the log.
var refusalNames = [...]string{"no time left", "no usable primary", "no room at any member"}
