package logic

import "time"

const (
	// List calls that fail are spaced out. The pause and what else passes between a silent watch and the next
	// call's answer stay inside six seconds; at an agent's, inside the half second that a drain grants.
	askAgainMin   = 250 * time.Millisecond
	askAgainMax   = 750 * time.Millisecond
	agentAgainMin = 20 * time.Millisecond
	agentAgainMax = 100 * time.Millisecond
	callPatient   = 5 * time.Second // a call without any reply is taken for failed
)

func (r *Router) ask(now time.Duration) {
	r.askAt, r.callAt = 0, now
	r.act.Watch(true)
}

// callAnswered follows the one outstanding list call.
func (r *Router) callAnswered(now time.Duration, kind ListKind) {
	if !r.cfg.Pull || kind == ListCached {
		return
	}
	r.callAt = 0
	if kind == ListFailed {
		least, most := askAgainMin, askAgainMax
		if r.cfg.Agent {
			least, most = agentAgainMin, agentAgainMax
		}
		r.askAt = now + least + time.Duration(r.rng.Int64N(int64(most-least)))
	}
}
