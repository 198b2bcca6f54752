package state

import (
	"log/slog"
	"time"
)

const (
	// maxRequestLinesPerSecond limits the log lines about single requests: enough to follow an incident, few compared
	// with a proxy's traffic.
	maxRequestLinesPerSecond = 20
	// lateTolerance is how long after its deadline a request may be answered before it counts as late. The deadline
	// does not include the network delay to the client, and the client counts the request as lost soon after this
	// tolerance.
	lateTolerance = 10 * time.Millisecond
	// maxQuotedBytes is how much of a name that a client has chosen is repeated in the log and in errors.
	maxQuotedBytes = 64
)

// abbreviate returns a name that a client has chosen as it is repeated in the log and in errors: a name can be as long as a
// query, and quoting makes it up to four times longer.
func abbreviate(name string) string {
	if len(name) <= maxQuotedBytes {
		return name
	}
	return name[:maxQuotedBytes] + "..."
}

// requestLog limits the rate of log lines about requests that were refused, failed or late. The number of
// suppressed lines is logged with the next line.
type requestLog struct {
	second     time.Duration // start of the second in which lines were counted
	lines      int
	suppressed int
}

// allow reports whether another line may be written now, and counts it as written or suppressed.
func (l *requestLog) allow(now time.Duration) bool {
	if second := now.Truncate(time.Second); second != l.second {
		l.second, l.lines = second, 0
	}
	if l.lines >= maxRequestLinesPerSecond {
		l.suppressed++
		return false
	}
	l.lines++
	return true
}

// recordRequestEnd counts a request that ended late, and logs one that ended late or for a reason. The reason is
// empty for a request that was served or abandoned.
func (d *Dispatcher) recordRequestEnd(q *request, ending, reason string) {
	now := d.clock.Now()
	late := now - q.answerDeadline
	if late > lateTolerance {
		d.Counters.Late++
	} else if reason == "" {
		return
	}
	if !d.requestLog.allow(now) {
		return
	}
	slog.Info("request ended", "id", abbreviate(q.clientRequestID), "class", d.cfg.Logic.Classes[q.class].Name, "group", q.group,
		"ending", ending, "reason", reason, "attempts", q.attempts, "after", now-q.receivedAt, "late", max(late, 0),
		"suppressed", d.requestLog.suppressed)
	d.requestLog.suppressed = 0
}

// refusalNames holds the names of refusal reasons in the log, indexed by logic.Refusal.
var refusalNames = [...]string{"no time left", "no usable primary", "no room at any member"}
