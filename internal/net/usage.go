package net

import "time"

const (
	// usageInterval is the time in which a connection may cause one unit of work: one message, or usageBytes of input.
	usageInterval = 5 * time.Millisecond
	usageBytes    = 4 << 10
	// usageBurst is how many units it may cause at once before it counts as busy, and crowdedBurst while the loop is crowded:
	// enough for the first request of a connection.
	usageBurst   = 16
	crowdedBurst = 3
	// maxUsageDebt limits for how long a connection counts as busy after it has caused no more work.
	maxUsageDebt = 200 * time.Millisecond
)

// usage measures how much work the input of a connection has caused lately. What a connection causes at a steady rate of one
// unit in usageInterval, or in bursts of usageBurst units, does not make it busy.
type usage struct {
	paidAt time.Duration // when all work so far would have been done at the steady rate
}

// add records units of work.
func (u *usage) add(now time.Duration, units int) {
	u.paidAt = min(max(u.paidAt, now)+time.Duration(units)*usageInterval, now+usageBurst*usageInterval+maxUsageDebt)
}

// busy reports whether the connection has lately caused more work than at the steady rate, by more than a burst of so many units.
func (u *usage) busy(now time.Duration, burst int) bool {
	return u.paidAt > now+time.Duration(burst)*usageInterval
}
