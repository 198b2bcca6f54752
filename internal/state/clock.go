package state

import (
	"math"
	"time"
)

// Clock is the monotonic clock that the router's times refer to, together with the wall clock, from which times of
// other machines are converted.
type Clock interface {
	Now() time.Duration
	Unix() time.Duration // wall clock time since the Unix epoch
}

// clockBase is the clock's reading at the start of the process. Times before the start stay above zero, because zero
// means "long ago" or "unknown".
const clockBase = 24 * time.Hour

// SystemClock implements Clock with the machine's clocks.
type SystemClock struct{ start time.Time }

// NewSystemClock returns a SystemClock that starts at clockBase.
func NewSystemClock() *SystemClock { return &SystemClock{time.Now()} }

// Now implements Clock. It reads the monotonic clock.
func (c *SystemClock) Now() time.Duration { return clockBase + time.Since(c.start) }

// Unix implements Clock. It reads the wall clock.
func (c *SystemClock) Unix() time.Duration { return time.Duration(time.Now().UnixNano()) }

// fromUnix converts a Unix time to the router's clock. It returns 0 if the time is unknown or lies before the zero of
// that clock.
func fromUnix(c Clock, unix time.Duration) time.Duration {
	if unix <= 0 {
		return 0
	}
	return max(c.Now()-(c.Unix()-unix), 0)
}

// positionFromUnixSeconds converts a position in Unix seconds to the router's clock. Parsing may have rounded the
// float up, so the next smaller float is used: data must never count as fresher than it is.
func positionFromUnixSeconds(c Clock, seconds float64) time.Duration {
	if !(seconds > 0 && seconds < 1e10) {
		return 0
	}
	return fromUnix(c, time.Duration(math.Floor(math.Nextafter(seconds, 0)*1e6))*time.Microsecond)
}

// tokenAge returns the age of the commit that a token names, or 0 if there is no token. A commit time that was
// rounded up to the next millisecond may still lie in the future; its age is 1 ns, because 0 means that there was no
// commit.
func tokenAge(c Clock, unixMilli int64) time.Duration {
	if unixMilli <= 0 {
		return 0
	}
	return max(c.Unix()-time.Duration(unixMilli)*time.Millisecond, 1)
}
