package logic

import "time"

const (
	// A failed list call is repeated after a random pause between these bounds. The time from a lost watch
	// to the answer of the next call, pause included, must stay below six seconds; with a local agent, below
	// the half second of notice that a draining member gives.
	listRetryMin      = 250 * time.Millisecond
	listRetryMax      = 750 * time.Millisecond
	agentListRetryMin = 20 * time.Millisecond
	agentListRetryMax = 100 * time.Millisecond
	listCallTimeout   = 5 * time.Second // a call without any reply for longer counts as failed
)

// callList asks the discovery service for the member list and its changes.
func (r *Router) callList(now time.Duration) {
	r.nextListCallAt, r.listCallAt = 0, now
	r.actions.Watch(true)
}

// listCallEnded ends the one pending list call and schedules the next one if it failed. It does nothing if
// the list is pushed, or comes from a cache while the call is still pending.
func (r *Router) listCallEnded(now time.Duration, kind ListKind) {
	if !r.cfg.ListOnRequest || kind == ListCached {
		return
	}
	r.listCallAt = 0
	if kind == ListFailed {
		minPause, maxPause := listRetryMin, listRetryMax
		if r.cfg.LocalAgent {
			minPause, maxPause = agentListRetryMin, agentListRetryMax
		}
		r.nextListCallAt = now + minPause + time.Duration(r.rng.Int64N(int64(maxPause-minPause)))
	}
}
