package logic

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	baseProbeInterval = time.Second // interval of periodic probes while no bounded reads arrive
	// Probes of a replica per smallest MaxAge while bounded reads arrive; fewer if answers tell its position.
	probesPerMaxAge = 4
	rttWeight       = 0.2                    // weight of one probe in member.rtt, which spans about ten probes
	stallThreshold  = 100 * time.Millisecond // time since the last tick from which this proxy has stalled
	// Least interval of ticks: the resolution of probe timeouts, probing and waiting requests.
	minTickInterval = 10 * time.Millisecond
	startupWait     = 300 * time.Millisecond // longest wait for first probes, which take milliseconds

	// Periodic probing of a group is replaced by on-demand probing if it would exceed both of these limits,
	// or in a large fleet the second one.
	maxProbeRatePerMember = 20.0 // probes per second from all proxies; they take about 1% of a core
	maxProbesPerRequest   = 2.0  // probes of the group by this proxy, per request

	// Probes that a group gets regularly while probing is on demand, per request.
	backgroundProbesPerRequest = 0.05
	requestRateWindow          = 10 * time.Second       // time constant of the decaying counter of requests
	probeWait                  = 25 * time.Millisecond  // wait per round of probes, which take milliseconds
	minProbeGap                = 100 * time.Millisecond // least time from a member's last probe to one on demand
	maxProbeRounds             = 2                      // rounds of on-demand probes per request
	// Probe interval of an unresponsive member in a group with low traffic, while requests arrive.
	unresponsiveProbeInterval = 4 * time.Second

	// In a fleet of more members only the groups in use are probed. Probing every member at the shortest
	// interval would take more than 1% of a core, and more connections than a proxy may hold, as each member
	// needs one.
	largeFleetSize = 32

	// A member that takes longer to answer a probe is unresponsive. Probes bypass the request queue, so a
	// longer delay points to the machine or the network, not to load.
	probeReplyTimeout = 80 * time.Millisecond
	// Least silence of a member with a pending attempt before it is probed, and the probe interval while a
	// group's primary is unknown.
	urgentProbeInterval = 150 * time.Millisecond
	restartSilence      = time.Second // a member unresponsive for longer may have restarted, and counts as cold
)

// ensureStarted starts the timer, and the list calls if the list is not pushed, at the router's first
// event.
func (r *Router) ensureStarted(now time.Duration) {
	if r.started {
		return
	}
	r.started, r.startedAt = true, now
	r.actions.SetTimer(tickTimer, now+max(minTickInterval, r.cfg.Tick))
	if r.cfg.ListOnRequest {
		r.callList(now)
	}
}

// Timer runs the periodic work (a tick): list calls, probes, probe timeouts, hedged requests and waiting
// requests. A tick that comes late after a stall of this proxy checks no member.
func (r *Router) Timer(now time.Duration, id TimerID) {
	r.ensureStarted(now)
	if id != tickTimer {
		return
	}
	r.actions.SetTimer(tickTimer, now+max(minTickInterval, r.cfg.Tick))
	if r.listCallAt > 0 && now-r.listCallAt > listCallTimeout {
		r.listCallEnded(now, ListFailed)
	}
	if r.nextListCallAt > 0 && now >= r.nextListCallAt {
		r.callList(now)
	}
	switch {
	case r.wasStalled(now):
		r.stalledAt = now
	case r.isLargeFleet():
		r.checkActiveGroups(now)
	default:
		for _, m := range r.orderedMembers {
			r.checkMember(now, m)
		}
	}
	r.lastTickAt = now
	r.resumeWaiting(now)
}

// isLargeFleet tells whether only the groups in use are probed and checked.
func (r *Router) isLargeFleet() bool { return len(r.orderedMembers) > largeFleetSize }

// markActive makes each tick in a large fleet check a group for as long as it has traffic, or probes or
// attempts pending. A group without members has nothing to check.
func (r *Router) markActive(g *group) {
	if !g.active && len(g.members) > 0 {
		g.active = true
		r.active = append(r.active, g)
	}
}

// checkActiveGroups checks the members of the groups in use, so that the work of a tick grows with this
// proxy's traffic and not with the size of the fleet.
func (r *Router) checkActiveGroups(now time.Duration) {
	r.active = slices.DeleteFunc(r.active, func(g *group) bool {
		busy := len(g.members) > 0 && !r.isLowTraffic(now, g)
		for _, m := range g.members {
			r.checkMember(now, m)
			busy = busy || m.probing || len(m.inFlight) > 0
		}
		g.active = busy
		return !busy
	})
}

// wasStalled tells whether the current events were delayed because this proxy stalled. Their answer times
// and missing replies must not be blamed on the members.
func (r *Router) wasStalled(now time.Duration) bool {
	return now == r.stalledAt || r.lastTickAt > 0 && now-r.lastTickAt >= stallThreshold
}

// checkMember detects an unresponsive member, hedges its attempts, and sends a probe if one is due.
func (r *Router) checkMember(now time.Duration, m *member) {
	if m.probing && m.lastReplyAt < m.probedAt && now-m.probedAt > probeReplyTimeout {
		r.markUnresponsive(m, now)
	}
	r.hedge(now, m)
	sinceProbe := now - m.probedAt
	// For a class whose answers usually take long, the silence must be longer, because a probe per pending
	// answer would cost more than it saves.
	urgent := len(m.inFlight) > 0 && !m.unresponsive &&
		now-max(m.lastReplyAt, m.inFlight[0].sentAt, m.probedAt) >
			max(urgentProbeInterval, r.overdueAfter[m.inFlight[0].req.Class]/2)
	g, positionInterval, maxInterval := m.group, r.probeInterval(now), baseProbeInterval
	if m.role == RolePrimary {
		positionInterval = baseProbeInterval
	}
	if r.isLowTraffic(now, g) {
		urgent = urgent || m.unresponsive && sinceProbe >= unresponsiveProbeInterval &&
			g.recentRequests.updatedAt > m.probedAt
		maxInterval = time.Duration(
			min(float64(len(g.members))/(backgroundProbesPerRequest*r.requestRate(now, g)), 3600) * 1e9)
		positionInterval = maxInterval
	}
	if r.isLargeFleet() && m.probedAt == 0 && positionInterval > baseProbeInterval { // never needed so far
		maxInterval, positionInterval = math.MaxInt64, math.MaxInt64
	}
	if m.probedAt == 0 && !r.isLargeFleet() || urgent || sinceProbe >= maxInterval ||
		sinceProbe >= positionInterval && now-m.positionUpdatedAt >= positionInterval ||
		maxInterval == baseProbeInterval && g.primary == nil &&
			sinceProbe >= min(positionInterval, urgentProbeInterval) {
		r.sendProbe(now, m)
	}
}

// sendProbe probes a member if it is ready, no probe of it is pending, and Config.MayProbe is set.
func (r *Router) sendProbe(now time.Duration, m *member) {
	if r.cfg.MayProbe && !m.probing && m.State == Ready {
		m.probing, m.probedAt = true, now
		r.markActive(m.group)
		r.actions.Probe(m.ID)
	}
}

// ProbeResult handles the result of a probe. Any answer shows that the member is responsive.
func (r *Router) ProbeResult(now time.Duration, p ProbeResult) {
	r.ensureStarted(now)
	m := r.members[p.Member]
	if m == nil || !m.probing {
		return
	}
	m.probing = false
	switch p.Result {
	case OK:
		m.rtt = cmp.Or(m.rtt, max(p.Took, 1))
		m.rtt += time.Duration(rttWeight * float64(p.Took-m.rtt))
		r.recordReply(m, now)
		// A primary's position is the time of its report. A replica's may be earlier, so that its role
		// never counts as newer than it is.
		m.reportedQueue, m.queueReportedAt = p.Report.Queue, now
		r.updateRoleAndPosition(m, p.Report.Role, p.Report.Position, cmp.Or(p.Report.Position, now), now)
	case Full, Miss, Failed:
		r.recordReply(m, now)
	case NotSent: // the probe was not sent
	default:
		if m.lastReplyAt <= m.probedAt {
			r.markUnresponsive(m, now)
		}
	}
	r.resumeWaiting(now)
}

// awaitsFirstProbes tells whether requests to a group must wait because the router is new and the group has
// no members yet, or some have not answered their first probe. In a large fleet each request causes the
// probes that it needs instead.
func (r *Router) awaitsFirstProbes(now time.Duration, g *group) bool {
	if now-r.startedAt >= startupWait || !r.cfg.MayProbe || r.isLargeFleet() {
		return false
	}
	return len(g.members) == 0 || slices.ContainsFunc(g.members, func(m *member) bool {
		return m.State == Ready && m.lastReplyAt == 0 && !m.unresponsive
	})
}

// resumeWaiting routes the waiting requests, except those that must await first probes and have time to
// do so.
func (r *Router) resumeWaiting(now time.Duration) {
	waiting := r.waiting
	r.waiting = nil
	for _, q := range waiting {
		q.waiting = false
		switch {
		case q.done:
		case r.awaitsFirstProbes(now, q.group) && now+r.serviceTime[q.Class] < q.Deadline-2*minTickInterval:
			r.addWaiting(q)
		default:
			r.routeOrFinish(now, q)
		}
	}
}

// isLowTraffic tells whether a group is probed on demand: periodic probes would be too many for the number of
// this proxy's requests and, unless the fleet is large, also too many for the members.
func (r *Router) isLowTraffic(now time.Duration, g *group) bool {
	probeRate := 1 / r.probeInterval(now).Seconds()
	tooManyProbes := r.isLargeFleet() || probeRate*float64(r.cfg.Proxies) > maxProbeRatePerMember
	return tooManyProbes && probeRate*float64(len(g.members)) > maxProbesPerRequest*r.requestRate(now, g)
}

// anyReplied tells whether any member of the group has ever answered this proxy.
func (g *group) anyReplied() bool {
	return slices.ContainsFunc(g.members, func(m *member) bool { return m.lastReplyAt > 0 })
}

// requestRate returns the number of requests per second that this proxy received for a group recently.
func (r *Router) requestRate(now time.Duration, g *group) float64 {
	return g.recentRequests.valueAt(now, requestRateWindow) /
		min(requestRateWindow, now-r.startedAt+time.Second).Seconds()
}

// probeInterval returns the interval of periodic probes, which is shorter while bounded reads arrive.
func (r *Router) probeInterval(now time.Duration) time.Duration {
	if r.minMaxAge > 0 && now-r.lastBoundedReadAt < baseProbeInterval {
		return min(baseProbeInterval, max(r.minMaxAge/probesPerMaxAge, r.cfg.Tick))
	}
	return baseProbeInterval
}

// probeAndWait sends on-demand probes for a request that no member can serve as far as positions and roles
// are known, and lets the request wait for the results. It probes up to count members that pass the filter,
// one more in the second round: the pinned replica or else the primary first, the others at random. It does
// so only in groups with low traffic, and tells whether the request waits.
func (r *Router) probeAndWait(now time.Duration, q *request, count int, filter func(*member) bool) bool {
	if !r.cfg.MayProbe || !r.isLowTraffic(now, q.group) || now+probeWait+r.serviceTime[q.Class] >= q.Deadline {
		return false
	}
	isAwaited := func(m *member) bool { return m.probing && filter(m) }
	timeout := probeWait
	if r.isLargeFleet() && !q.group.anyReplied() {
		timeout = startupWait // connections must be opened first
	}
	if q.probeRounds > 0 && now-q.lastProbeRoundAt < timeout && slices.ContainsFunc(q.group.members, isAwaited) {
		r.addWaiting(q)
		return true
	}
	// Without a primary no position advances, so a second round can't help.
	anotherRound := q.probeRounds == 0 || q.probeRounds < maxProbeRounds && q.group.primary != nil
	var candidates []*member
	for _, m := range q.group.members {
		if anotherRound && m.State == Ready && !m.probing && now-m.probedAt >= minProbeGap &&
			(!m.unresponsive || q.probeRounds == 0 && count > 1) && filter(m) {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return false
	}
	r.rng.Shuffle(len(candidates), func(i, j int) {
		candidates[i], candidates[j] = candidates[j], candidates[i]
	})
	if pinned, ok := r.pins.Get(q.pinKey()); ok && slices.Contains(candidates, pinned.replica) {
		candidates[0] = pinned.replica
	} else if i := slices.Index(candidates, q.group.primary); i > 0 { // it serves the request if no replica can
		candidates[0], candidates[i] = candidates[i], candidates[0]
	}
	for _, m := range candidates[:min(count+q.probeRounds, len(candidates))] {
		r.sendProbe(now, m)
	}
	q.probeRounds, q.lastProbeRoundAt = q.probeRounds+1, now
	r.addWaiting(q)
	return true
}
