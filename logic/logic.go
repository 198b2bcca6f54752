// Package logic decides to which member of a replicated database group a proxy sends each read and write.
//
// It follows "Driver Read Preferences": the request's class determines the freshness, the members of the
// group are filtered by role and known log position, one is chosen at random among those whose round-trip
// time is at most 15 ms above the lowest, and the reads of a session stay pinned to a replica. Further
// mechanisms act only on failures or overload; their doc comments say when. The interface is in api.go,
// the router's state in state.go.
package logic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	rttWindow             = 15 * time.Millisecond // largest excess of a candidate's RTT over the lowest
	longReadDivisor       = 3                     // reads above the smallest MaxAge divided by this are long
	maxAttemptsPerRequest = 3                     // the first attempt and up to two more

	// An answer counts as known to the client this long after the member wrote it, even if the proxy has
	// not received it.
	commitKnownAfter = 100 * time.Millisecond

	quotaWindow = time.Second // time constant of a tenant's request rate

	failureWeight    = 0.2         // of one attempt in the moving average
	failureThreshold = 0.35        // two or three consecutive failures exceed it
	ejectionTime     = time.Second // until the first trial request

	scoreWeightMin     = 0.1 // of an answer while answers are frequent
	scoreWeightMax     = 0.5 // of an answer long after the previous one
	scoreWeightTargets = 4.0 // the weight is the time since the previous answer over this many target latencies
	scoreOverloaded    = 0.5 // above it many answers miss the target, as answer times are roughly exponential
	scoreLate          = 2.0 // of an attempt without an answer in time

	initialFleetLimit   = 36.0             // attempts of all proxies in flight at a member that is new
	recoveredProxyLimit = 3.0              // of each proxy at least; a lower limit recovers to it with time
	limitRecoveryTime   = 10 * time.Second // for each attempt by which a limit recovers
	// The limits of all proxies together stay above this at an overloaded member, which shows its recovery.
	minFleetLimit    = 2.0
	limitCutInterval = 100 * time.Millisecond // lets the effect of one reduction show before the next

	minLimitFraction    = 0.25 // of the limit, for the class that is worth least
	busyQueueLength     = 1.0  // waiting requests; from there on the member has no free worker
	queueReportMaxAge   = time.Second
	primaryReadFraction = 0.7 // of the primary's limit, for reads; the rest is reserved for writes

	retryTokensPerRequest = 0.2  // caps retries at this fraction of requests in the long run
	maxRetryTokens        = 30.0 // for a short burst of failures

	retryAfterNoPrimary = 500 * time.Millisecond // a failover takes seconds
	retryAfterOverload  = 150 * time.Millisecond // an overload ends within a few service times

	listRoleDelay           = 5 * time.Second  // assumed age of a role in the list, which is seconds late
	forgetUnresponsiveAfter = 30 * time.Second // for an unlisted member, if the list is not authoritative

	overloadMultipleFraction = 0.5     // of Config.OverloadMultiple, as a safety margin for cold members
	workWeight               = 0.005   // of one request in the moving averages, which span hundreds
	targetPerServiceTime     = 4       // assumed before the first answer: Class.TargetLatency / service time
	serviceTimeQuantile      = 0.3     // of a class's answer times, as its service time without queueing
	overdueQuantile          = 0.95    // of a class's answer times; a later answer is overdue
	quantileStep             = 0.05    // relative step by which a quantile estimate moves
	lostAnswerWeight         = 0.02    // of one attempt in Router.lostAnswerRate
	lostAnswerThreshold      = 0.05    // in normal operation the rate stays far below
	maxSessionEntries        = 1 << 15 // of pins, and of commits
	tickTimer                = TimerID(1)
)

// New returns a router for one proxy. It takes no action before its first event.
func New(cfg Config, actions Actions) (*Router, error) {
	if err := validateConfig(&cfg, actions); err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, proxy: actions, rng: rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		members: map[MemberID]*member{}, groups: map[GroupID]*group{},
		requests: map[RequestID]*request{}, openWrites: map[SessionID]int{},
		serviceTime: make([]time.Duration, len(cfg.Classes)), overdueAfter: make([]time.Duration, len(cfg.Classes)),
		tenantUsage: make([]decayingCounter, len(cfg.Tenants)), retryTokens: maxRetryTokens}
	r.pins.init(maxSessionEntries)
	r.commits.init(maxSessionEntries)
	for i, c := range cfg.Classes {
		r.serviceTime[i], r.overdueAfter[i] = c.TargetLatency/targetPerServiceTime, c.TargetLatency
		if c.RequiredFreshness == FreshnessBounded && (r.minMaxAge == 0 || c.MaxAge < r.minMaxAge) {
			r.minMaxAge = c.MaxAge
		}
	}
	return r, nil
}

// ---- Members and groups ----

// MemberList handles an update of the member list.
func (r *Router) MemberList(now time.Duration, l List) {
	r.ensureStarted(now)
	r.listCallEnded(now, l.Kind)
	if l.Kind == ListFailed {
		return
	}
	if l.Kind != ListDelta {
		r.hasUnlisted = true
		for _, m := range r.orderedMembers {
			m.listed = false
		}
	}
	for _, e := range l.Entries {
		r.applyListEntry(now, e)
	}
	if r.hasUnlisted {
		r.forgetUnlisted(now)
	}
	r.resumeWaiting(now)
}

// forgetUnlisted removes the members that are no longer listed, except those that are still in use.
func (r *Router) forgetUnlisted(now time.Duration) {
	r.hasUnlisted = false
	r.orderedMembers = slices.DeleteFunc(r.orderedMembers, func(m *member) bool {
		if m.listed || r.handleUnlisted(now, m) {
			return !m.listed
		}
		r.hasUnlisted = true
		return false
	})
}

// applyListEntry adds or updates the member that an entry of the list describes.
func (r *Router) applyListEntry(now time.Duration, e Member) {
	m := r.members[e.ID]
	if m == nil {
		g := r.getOrCreateGroup(e.Group)
		m = &member{group: g, inFlightLimit: r.proxyShare(initialFleetLimit), coldBudgetUpdatedAt: -1}
		r.members[e.ID] = m
		r.orderedMembers = append(r.orderedMembers, m)
		g.members = append(g.members, m) // it is cold if StartedAt is set, see below
	}
	if e.StartedAt > m.StartedAt { // restarted: its role is unknown, but its position stays valid
		m.role, m.roleAt = RoleUnknown, e.StartedAt
		m.coldSince, m.cold = e.StartedAt, true
	}
	m.listed = e.State != Gone
	r.hasUnlisted = r.hasUnlisted || !m.listed
	if r.cfg.IgnoreListedGone && !m.listed { // probes and answers decide whether it is gone, not the list
		e.State = m.State
	}
	m.Member = e
	if e.Primary && r.cfg.ListRole != ListRoleNone {
		// A list is seconds late: its role counts only if the router has observed no newer one itself.
		at := max(now-listRoleDelay, e.StartedAt)
		if m.role == RoleUnknown || at > m.roleAt && r.cfg.ListRole == ListRoleLate {
			m.role, m.roleAt = RolePrimary, at
		}
	}
	r.updatePrimary(m.group)
}

// handleUnlisted marks an unlisted member as gone, if the list is authoritative for that. It removes the
// member if nothing needs it any longer, and tells whether it did.
func (r *Router) handleUnlisted(now time.Duration, m *member) bool {
	if m.State != Gone && !r.cfg.IgnoreListedGone {
		m.State = Gone
		r.updatePrimary(m.group)
	}
	if len(m.inFlight) > 0 || m.probing ||
		m.State == Ready && (!m.unresponsive || now-m.unresponsiveSince <= forgetUnresponsiveAfter) {
		return false
	}
	delete(r.members, m.ID)
	m.group.members = slices.DeleteFunc(m.group.members, func(x *member) bool { return x == m })
	return true
}

// updatePrimary determines the group's primary: the member with the newest primary role, if it is ready and
// responsive. A change of primary invalidates all pins.
func (r *Router) updatePrimary(g *group) {
	var newest *member
	for _, m := range g.members {
		if m.role == RolePrimary && (newest == nil || m.roleAt > newest.roleAt) {
			newest = m
		}
	}
	if g.primary = nil; newest != nil && !newest.unresponsive && newest.State == Ready {
		if g.primary = newest; newest != g.lastPrimary { // pins survive if the same primary responds again
			g.term++
			g.lastPrimary = newest
		}
	}
}

// updateRoleAndPosition records a role and a position that a member had at the time at.
func (r *Router) updateRoleAndPosition(m *member, role Role, position, at, now time.Duration) {
	if position > 0 {
		m.positionUpdatedAt = now
		m.position = max(m.position, min(position, now))
	}
	if role == RoleUnknown || at < m.roleAt {
		return
	}
	m.roleAt = at
	if m.role != role || role == RolePrimary && m.group.primary != m { // a list may have set the role
		m.role = role
		r.updatePrimary(m.group)
	}
}

// recordReply records that a member answered. After a long silence it may have restarted, so it counts as
// cold.
func (r *Router) recordReply(m *member, now time.Duration) {
	m.lastReplyAt = now
	if m.unresponsive {
		m.unresponsive = false
		if now-m.unresponsiveSince > restartSilence {
			m.coldSince, m.cold = now, true
			m.inFlightLimit, m.score = r.proxyShare(initialFleetLimit), 0
		}
		r.updatePrimary(m.group)
	}
}

// markUnresponsive records that a member doesn't answer probes, and sends its pending attempts elsewhere
// where that is safe.
func (r *Router) markUnresponsive(m *member, now time.Duration) {
	if m.unresponsive {
		return
	}
	m.unresponsive, m.unresponsiveSince = true, now
	r.updatePrimary(m.group)
	r.hedge(now, m)
}

// hedge sends a second attempt for each request that is pending at an unresponsive member. It does so too
// for overdue requests if answers get lost, which means that many are missing though the others arrive in
// time. Otherwise overdue answers point to overload, which more attempts would make worse. An attempt far
// past its time counts as a failure, so that a member that answers nothing but probes is ejected.
func (r *Router) hedge(now time.Duration, m *member) {
	for _, a := range m.inFlight { // route may append to it, but removes nothing
		q, age := a.req, now-a.sentAt
		if !a.overdue && age > max(2*r.overdueAfter[q.Class], q.class.TargetLatency) {
			a.overdue = true
			r.updateFailureRate(now, m, 1)
			if m.score < scoreOverloaded && !m.unresponsive {
				r.lostAnswerRate += lostAnswerWeight * (1 - r.lostAnswerRate)
			}
		}
		answerLost := r.losesAnswers(m) && age > r.overdueAfter[q.Class] && !r.isLongRead(q)
		if (m.unresponsive || answerLost) && a == q.attempts[len(q.attempts)-1] && !q.waiting &&
			r.mayRetry(now, q) {
			r.route(now, q)
		}
	}
}

// losesAnswers tells whether a missing answer of the member is more likely lost than late.
func (r *Router) losesAnswers(m *member) bool {
	return r.lostAnswerRate > lostAnswerThreshold && m.score < scoreOverloaded
}

// ---- Choice of a member ----

// requiresPrimary tells whether only the primary may serve the class; all other classes prefer replicas.
func (c *Class) requiresPrimary() bool {
	return c.RequiredFreshness == FreshnessWrite || c.RequiredFreshness == FreshnessLatest
}

// isFreshEnough tells whether a replica's position satisfies the request's class. As the known position
// is a lower bound, the age computed from it is an upper bound.
func (q *request) isFreshEnough(m *member, now time.Duration) bool {
	switch q.class.RequiredFreshness {
	case FreshnessAny:
		return true
	case FreshnessBounded:
		return m.position > 0 && m.position >= now-q.class.MaxAge
	case FreshnessSession:
		return m.position >= q.token
	}
	return false
}

// usable tells whether the member may be sent requests: it is ready, responsive and not ejected as an
// outlier.
func (r *Router) usable(m *member, now time.Duration) bool {
	if m.State != Ready || m.unresponsive {
		return false
	}
	if r.isOutlier(m) { // after the ejection time, one trial request at a time
		return now >= m.ejectedUntil && len(m.inFlight) == 0
	}
	return true
}

// atLimit tells whether the member's limit has no room for another attempt of this proxy. A fractional
// rest of the limit admits a request with that probability.
func (r *Router) atLimit(now time.Duration, m *member, fraction float64) bool {
	if m.inFlightLimit < recoveredProxyLimit {
		m.inFlightLimit = min(m.inFlightLimit+float64(now-m.limitUpdatedAt)/float64(limitRecoveryTime),
			recoveredProxyLimit)
	}
	m.limitUpdatedAt = now
	room := m.inFlightLimit*fraction - float64(len(m.inFlight))
	full := room <= 0 || room < 1 && r.admissionDraw >= room
	m.limitReached = m.limitReached || full
	return full
}

// overloaded tells whether the member has no room for a read: it is at its limit, or its last report
// shows waiting requests, which is the only sign of the load from other proxies. Answers that have
// arrived in time since the report override it.
func (r *Router) overloaded(now time.Duration, m *member, fraction float64) bool {
	queueing := m.reportedQueue >= busyQueueLength && now-m.queueReportedAt < queueReportMaxAge
	return queueing && (m.scoredAt <= m.queueReportedAt || m.score >= scoreOverloaded) ||
		r.atLimit(now, m, fraction)
}

// limitFraction returns the fraction of a member's limit that the request may use. It decreases with the
// ratio of worth to service time of the request's class, relative to the best class. Thus the least
// valuable requests are shed first when limits are reached.
func (r *Router) limitFraction(q *request) float64 {
	worth := func(i int) float64 { return r.cfg.Classes[i].Worth / max(r.serviceTime[i].Seconds(), 1e-6) }
	own, best := worth(q.Class), 0.0
	for i := range r.cfg.Classes {
		best = max(best, worth(i))
	}
	if q.overQuota {
		own *= r.cfg.OverQuotaWorth
	}
	if own < best {
		return max(minLimitFraction, math.Sqrt(own/best))
	}
	return 1
}

// chooseMember returns the member for the request's next attempt, or nil and the reason for a refusal. With
// a member it returns the reason to give if send rejects the attempt.
func (r *Router) chooseMember(now time.Duration, q *request) (*member, Refusal) {
	groupPrimary, fraction := q.group.primary, r.limitFraction(q)
	// One draw for all members: if each has room for half an attempt, half of all requests are shed. With a
	// draw per member, one of them would nearly always admit the request.
	r.admissionDraw = r.rng.Float64()
	if q.class.requiresPrimary() {
		if groupPrimary == nil || !r.usable(groupPrimary, now) {
			r.probeAndWait(now, q, len(q.group.members), func(*member) bool { return true })
			return nil, RefusedNoPrimary
		}
		if r.atLimit(now, groupPrimary, fraction) || !r.withinColdBudget(now, groupPrimary) {
			return nil, RefusedOverload
		}
		return groupPrimary, RefusedNoTime
	}
	if pinned, ok := r.pins.get(q.pinKey()); ok && q.Session != 0 && pinned.term == q.group.term &&
		r.isEligibleReplica(now, q, pinned.replica) && q.isFreshEnough(pinned.replica, now) &&
		!r.overloaded(now, pinned.replica, fraction) &&
		r.withinColdBudget(now, pinned.replica) {
		return pinned.replica, RefusedNoTime
	}
	if r.isLongRead(q) {
		if replicas := r.longReadReplicas(now, q); len(replicas) > 0 {
			if i := slices.IndexFunc(replicas, func(m *member) bool {
				return !r.overloaded(now, m, fraction)
			}); i >= 0 {
				return replicas[i], RefusedNoTime
			}
			return nil, RefusedOverload
		}
	}
	if m := r.pickReplica(now, q, fraction, func(m *member) bool { return q.isFreshEnough(m, now) }); m != nil {
		return m, RefusedNoTime
	}
	if r.probeAndWait(now, q, 1, func(m *member) bool {
		return r.isEligibleReplica(now, q, m) || m == groupPrimary && q.probeRounds > 0
	}) {
		return nil, RefusedOverload
	}
	if groupPrimary != nil && r.usable(groupPrimary, now) && !q.hasTried(groupPrimary) &&
		!r.overloaded(now, groupPrimary, primaryReadFraction*fraction) && r.withinColdBudget(now, groupPrimary) {
		return groupPrimary, RefusedNoTime
	}
	// If members check freshness themselves, any replica is safe: one that lags too far rejects the read.
	if r.cfg.ServerChecks != ServerChecksNone {
		if m := r.pickReplica(now, q, fraction, func(*member) bool { return true }); m != nil {
			return m, RefusedNoTime
		}
	}
	return nil, RefusedOverload
}

// isEligibleReplica tells whether the member is a usable replica that the request has not tried. It doesn't
// consider the position and the load.
func (r *Router) isEligibleReplica(now time.Duration, q *request, m *member) bool {
	return m.role != RolePrimary && r.usable(m, now) && !q.hasTried(m)
}

// pickReplica chooses at random among the replicas that pass the filter, have room and are within the RTT
// window.
func (r *Router) pickReplica(
	now time.Duration, q *request, fraction float64, filter func(*member) bool,
) *member {
	var candidates []*member
	for _, m := range q.group.members {
		if r.isEligibleReplica(now, q, m) && filter(m) && !r.overloaded(now, m, fraction) {
			candidates = append(candidates, m)
		}
	}
	candidates = r.filterByRTT(candidates)
	for len(candidates) > 0 {
		m := candidates[r.rng.IntN(len(candidates))]
		if r.withinColdBudget(now, m) {
			return m
		}
		candidates = slices.DeleteFunc(candidates, func(x *member) bool { return x == m })
	}
	return nil
}

// filterByRTT removes the members whose RTT is unknown or exceeds the lowest by more than rttWindow.
func (r *Router) filterByRTT(candidates []*member) []*member {
	lowest := time.Duration(-1)
	for _, m := range candidates {
		if m.rtt > 0 && (lowest < 0 || m.rtt < lowest) {
			lowest = m.rtt
		}
	}
	return slices.DeleteFunc(candidates, func(m *member) bool {
		return lowest >= 0 && (m.rtt == 0 || m.rtt > lowest+rttWindow)
	})
}

// isLongRead tells whether the request is a read without a freshness requirement that takes long compared
// to the smallest MaxAge. Such a read may stall log replay on its replica. At randomly chosen replicas,
// such reads would make one replica after the other too stale for bounded reads.
func (r *Router) isLongRead(q *request) bool {
	return q.class.RequiredFreshness == FreshnessAny && r.minMaxAge > 0 &&
		r.serviceTime[q.Class] > r.minMaxAge/longReadDivisor
}

// longReadReplicas returns the replicas for long reads: those furthest behind, in proportion to the part
// of the group's work that long reads cause. If these are overloaded, further long reads are refused,
// because stalling one more replica costs more than the reads are worth.
func (r *Router) longReadReplicas(now time.Duration, q *request) []*member {
	var replicas []*member
	for _, m := range q.group.members {
		if r.isEligibleReplica(now, q, m) && q.isFreshEnough(m, now) && !m.cold {
			replicas = append(replicas, m)
		}
	}
	replicas = r.filterByRTT(replicas)
	slices.SortStableFunc(replicas, func(a, b *member) int { return cmp.Compare(a.position, b.position) })
	count := int(q.group.meanLongWork/max(q.group.meanWork, 1e-9)*float64(len(replicas)) + 0.5)
	return replicas[:min(max(count, 1), len(replicas))]
}

// ---- Requests, attempts and outcomes ----

// Request handles a new request: it is sent, waits for probes, or is answered at once.
func (r *Router) Request(now time.Duration, in Request) {
	r.ensureStarted(now)
	if in.Class < 0 || in.Class >= len(r.cfg.Classes) || r.requests[in.ID] != nil {
		r.proxy.Fail(in.ID)
		return
	}
	q := &request{Request: in, class: &r.cfg.Classes[in.Class], group: r.getOrCreateGroup(in.Group)}
	r.requests[in.ID] = q
	q.group.recentRequests.increment(now, requestRateWindow)
	r.markActive(q.group)
	q.overQuota = r.exceedsQuota(now, in.Tenant)
	r.retryTokens = min(r.retryTokens+retryTokensPerRequest, maxRetryTokens)
	serviceTime := r.serviceTime[q.Class].Seconds()
	q.group.meanWork += workWeight * (serviceTime - q.group.meanWork)
	if !r.isLongRead(q) {
		serviceTime = 0
	}
	q.group.meanLongWork += workWeight * (serviceTime - q.group.meanLongWork)
	if q.class.RequiredFreshness == FreshnessBounded {
		r.lastBoundedReadAt = now
	}
	q.token = r.sessionToken(now, &in)
	if r.awaitsFirstProbes(now, q.group) {
		r.addWaiting(q)
	} else {
		r.routeOrFinish(now, q)
	}
}

// exceedsQuota tells whether a tenant's request is over its quota, and counts the request if it is not. A
// refusal reverts the count.
func (r *Router) exceedsQuota(now time.Duration, tenant int) bool {
	if tenant < 0 || tenant >= len(r.tenantUsage) || r.cfg.Tenants[tenant].Quota <= 0 {
		return false
	}
	if r.tenantUsage[tenant].valueAt(now, quotaWindow) >=
		max(r.proxyShare(r.cfg.Tenants[tenant].Quota)*quotaWindow.Seconds(), 1) {
		return true
	}
	r.tenantUsage[tenant].increment(now, quotaWindow)
	return false
}

// sessionToken returns the commit that a session's read must see. For a session without a known commit
// that is the newest evicted one. A pending write may have been committed and answered, and its answer
// lost on the way; its commit counts as known after commitKnownAfter.
func (r *Router) sessionToken(now time.Duration, in *Request) time.Duration {
	if r.cfg.TokensCarried {
		if in.TokenAge > 0 {
			return now - in.TokenAge
		}
		return 0
	}
	token, ok := r.commits.get(in.Session)
	if !ok {
		token = r.newestEvictedCommit
	}
	if r.openWrites[in.Session] > 0 {
		token = max(token, now-commitKnownAfter)
	}
	return token
}

// routeOrFinish sends a request, or finishes it if it can neither be sent nor wait.
func (r *Router) routeOrFinish(now time.Duration, q *request) {
	if ok, reason := r.route(now, q); !ok && !q.waiting && !q.pending() {
		r.finish(q, reason)
	}
}

// addWaiting lets a request wait for probe results or for the next tick.
func (r *Router) addWaiting(q *request) {
	if !q.waiting {
		q.waiting = true
		r.waiting = append(r.waiting, q)
	}
}

// route sends the request's next attempt if a member can be chosen, and returns the reason for a refusal
// if not.
func (r *Router) route(now time.Duration, q *request) (bool, Refusal) {
	m, reason := r.chooseMember(now, q)
	return m != nil && r.send(now, q, m), reason
}

// send is the only function that sends requests; it checks every rule a last time.
func (r *Router) send(now time.Duration, q *request, m *member) bool {
	// There is too little time left. Lowering the estimate makes sure that a class whose requests always
	// have little time is tried again.
	if q.Deadline-now <= r.serviceTime[q.Class] {
		updateQuantile(&r.serviceTime[q.Class], 0, serviceTimeQuantile)
		return false
	}
	if q.done || m.group != q.group || m.State != Ready || !r.effectAllowsAttempt(now, q, m) ||
		r.cfg.MaxAttempts > 0 && len(q.attempts) >= r.cfg.MaxAttempts {
		return false
	}
	if len(q.attempts) > 0 {
		r.retryTokens--
	}
	a := &attempt{req: q, number: len(q.attempts), target: m, sentAt: now, pending: true}
	q.attempts = append(q.attempts, a)
	m.inFlight = append(m.inFlight, a)
	r.markActive(m.group)
	m.coldBudget -= r.serviceTime[q.Class].Seconds() // only relevant while the member is cold
	if r.tracksCommit(q) {
		r.openWrites[q.Session]++
	}
	r.proxy.Send(q.ID, m.ID, q.Deadline-now, r.freshUntil(q, m))
	return true
}

// freshUntil returns the time until which a replica's known position is fresh enough for a bounded read,
// or 0 if there is no limit. The age of the data counts from the sending, which a new connection may
// delay for too long.
func (r *Router) freshUntil(q *request, m *member) time.Duration {
	if q.class.RequiredFreshness != FreshnessBounded || m == q.group.primary ||
		r.cfg.ServerChecks != ServerChecksNone {
		return 0
	}
	return m.position + q.class.MaxAge
}

// effectAllowsAttempt tells whether another attempt can't cause the request's effect twice. Pending
// attempts count as possibly executed.
func (r *Router) effectAllowsAttempt(now time.Duration, q *request, m *member) bool {
	if !r.cfg.ParallelAttempts && q.pending() {
		return false
	}
	for _, a := range q.attempts {
		switch {
		case q.class.Effect == EffectIdempotent || !a.pending && !a.maybeExecuted:
		case q.class.Effect == EffectNonIdempotent, now-a.sentAt >= q.class.DedupWindow-r.cfg.Tick,
			q.class.DedupScope == KeyScopeZone && a.target.Zone != m.Zone:
			return false
		}
	}
	return true
}

// finish gives a request its final answer: a refusal if the client can safely retry, otherwise a failure.
func (r *Router) finish(q *request, reason Refusal) {
	if q.done {
		return
	}
	q.done = true
	if !q.maybeExecuted && !q.pending() || q.class.Effect == EffectIdempotent ||
		q.class.Effect == EffectDeduplicated && q.class.DedupScope == KeyScopeAll {
		// Jitter keeps refused clients from retrying at the same time.
		retryAfter := reason.retryAfter()
		retryAfter = min(retryAfter/2+time.Duration(r.rng.Int64N(int64(retryAfter)+1)), r.cfg.MaxRetryAfter)
		if !r.cfg.MaySendRetryAfter {
			retryAfter = 0
		}
		if !q.overQuota && q.Tenant >= 0 && q.Tenant < len(r.tenantUsage) {
			r.tenantUsage[q.Tenant].value--
		}
		r.proxy.Refuse(q.ID, retryAfter, reason)
	} else {
		r.proxy.Fail(q.ID)
	}
	r.forgetOrCancel(q)
}

// forgetOrCancel removes a request that is done, or cancels the attempts that are still pending.
func (r *Router) forgetOrCancel(q *request) {
	if !q.pending() {
		delete(r.requests, q.ID)
		return
	}
	for _, a := range q.attempts {
		if a.pending && r.cfg.MayCancel && !a.cancelRequested {
			a.cancelRequested = true
			r.proxy.Cancel(q.ID, a.number)
		}
	}
}

// AnswerStarted handles the start of a streamed answer: as the client has part of it, no further attempt
// may be sent.
func (r *Router) AnswerStarted(now time.Duration, id RequestID, _ int) {
	r.ensureStarted(now)
	if q := r.requests[id]; q != nil {
		q.done = true
	}
}

// Abandoned handles the disconnection of a request's client. Its pending attempts are scored as late,
// because clients that leave early would otherwise hide an overload.
func (r *Router) Abandoned(now time.Duration, id RequestID) {
	r.ensureStarted(now)
	if q := r.requests[id]; q != nil && !q.done {
		q.done = true
		for _, a := range q.attempts {
			if a.pending {
				r.score(now, a.target, q.class.TargetLatency, scoreLate)
			}
		}
		r.forgetOrCancel(q)
	}
}

// Outcome handles the end of an attempt.
func (r *Router) Outcome(now time.Duration, o Outcome) {
	r.ensureStarted(now)
	q := r.requests[o.Request]
	if q == nil || o.Attempt < 0 || o.Attempt >= len(q.attempts) || !q.attempts[o.Attempt].pending {
		return
	}
	a := q.attempts[o.Attempt]
	a.pending = false
	a.target.inFlight = slices.DeleteFunc(a.target.inFlight, func(x *attempt) bool { return x == a })
	a.maybeExecuted = !o.Result.NotExecuted()
	q.maybeExecuted = q.maybeExecuted || a.maybeExecuted
	if r.tracksCommit(q) {
		if r.openWrites[q.Session]--; r.openWrites[q.Session] == 0 {
			delete(r.openWrites, q.Session)
		}
	}
	r.recordOutcome(now, a, o)
	if q.done = q.done || o.Answered; q.done {
		r.forgetOrCancel(q)
		return
	}
	ok, reason := false, RefusedOverload
	if r.mayRetry(now, q) {
		ok, reason = r.route(now, q)
	}
	if !ok && !q.pending() && !q.waiting {
		r.finish(q, reason)
	}
}

// mayRetry tells whether the request may have another attempt. Attempts are limited per request, by a
// retry budget for all requests, so that retries don't aggravate an overload, and by the deadline.
func (r *Router) mayRetry(now time.Duration, q *request) bool {
	return !q.done && len(q.attempts) < maxAttemptsPerRequest && r.retryTokens >= 1 &&
		now+r.serviceTime[q.Class] < q.Deadline
}

// recordOutcome updates the state from an outcome: reply, role, position, answer time, failure, commit
// and pin.
func (r *Router) recordOutcome(now time.Duration, a *attempt, o Outcome) {
	q, m := a.req, a.target
	if a.maybeExecuted && o.Result != OK && r.tracksCommit(q) { // its commit may be as late as now
		r.recordCommit(q.Session, now, now)
	}
	switch o.Result {
	case OK, Miss, Failed, Full:
		r.recordReply(m, now)
		role, position := o.Role, o.Position
		if q.class.RequiredFreshness == FreshnessWrite && o.Result == Miss && role == RoleUnknown {
			role = RoleReplica
		}
		// The position is that of the commit, not of the member.
		if q.class.RequiredFreshness == FreshnessWrite && o.Result == OK {
			if r.tracksCommit(q) {
				r.recordCommit(q.Session, position, now)
			}
			position = 0
		}
		r.updateRoleAndPosition(m, role, position, now, now)
		if o.LoadReport.Queue >= 0 {
			m.reportedQueue, m.queueReportedAt = o.LoadReport.Queue, now
		}
		r.updateRoleAndPosition(m, o.LoadReport.Role, o.LoadReport.Position,
			cmp.Or(o.LoadReport.Position, now), now)
	}
	switch o.Result {
	case OK:
		took := now - a.sentAt
		updateQuantile(&r.serviceTime[q.Class], took, serviceTimeQuantile)
		updateQuantile(&r.overdueAfter[q.Class], took, overdueQuantile)
		r.score(now, m, q.class.TargetLatency, min(float64(took)/float64(q.class.TargetLatency), scoreLate))
		r.updateFailureRate(now, m, 0)
		r.lostAnswerRate -= lostAnswerWeight * r.lostAnswerRate
		if q.class.RequiredFreshness != FreshnessWrite && q.Session != 0 && m.role == RoleReplica {
			r.pins.put(q.pinKey(), pin{m, q.group.term})
		}
	case TimedOut:
		if !r.losesAnswers(m) {
			r.score(now, m, q.class.TargetLatency, scoreLate)
		}
	case Failed, Full, ConnectFailed, Reset:
		if r.updateFailureRate(now, m, 1); o.Result == Full {
			r.score(now, m, q.class.TargetLatency, scoreLate)
		}
		if o.Result == ConnectFailed {
			r.sendProbe(now, m)
		}
	}
}

// updateFailureRate adds an attempt to the failure rates (1 = failed, 0 = not) and ejects the member if
// it has become an outlier.
func (r *Router) updateFailureRate(now time.Duration, m *member, failed float64) {
	m.failureRate += failureWeight * (failed - m.failureRate)
	r.failureRate += failureWeight / 10 * (failed - r.failureRate)
	if failed > 0 && r.isOutlier(m) && now >= m.ejectedUntil {
		m.ejectedUntil = now + ejectionTime
	}
}

// isOutlier tells whether the member fails more often than all members do on average. A bad network or a
// broken release makes all members fail alike.
func (r *Router) isOutlier(m *member) bool { return m.failureRate > failureThreshold+2*r.failureRate }

// tracksCommit tells whether the router must track the request's commit for later reads of its session.
func (r *Router) tracksCommit(q *request) bool {
	return q.class.RequiredFreshness == FreshnessWrite && q.Session != 0 && !r.cfg.TokensCarried
}

// recordCommit records the newest commit of a session.
func (r *Router) recordCommit(session SessionID, commit, now time.Duration) {
	previous, _ := r.commits.get(session)
	evicted, _ := r.commits.put(session, max(previous, cmp.Or(commit, now)))
	r.newestEvictedCommit = max(r.newestEvictedCommit, evicted)
}

// ---- Overload and cold members ----

// updateQuantile moves an estimate of a quantile one step towards a sample.
func updateQuantile(estimate *time.Duration, sample time.Duration, quantile float64) {
	if sample <= *estimate {
		quantile--
	}
	*estimate += time.Duration(quantile * quantileStep * float64(*estimate))
}

// score adds the ratio of an answer time to its target latency to the member's score, and adapts the
// member's limit to the score. This protects against overload, and against members that answer probes fast
// but requests slowly.
func (r *Router) score(now time.Duration, m *member, target time.Duration, ratio float64) {
	if r.wasStalled(now) {
		return
	}
	weight := min(max(float64(now-m.scoredAt)/(scoreWeightTargets*float64(target)), scoreWeightMin),
		scoreWeightMax)
	m.scoredAt = now
	m.score += weight * (ratio - m.score)
	inFlight := float64(len(m.inFlight) + 1)
	switch {
	case m.score > scoreOverloaded && now-m.limitCutAt >= limitCutInterval:
		m.inFlightLimit = max(r.proxyShare(minFleetLimit), min(m.inFlightLimit, inFlight)*(1-weight))
		m.limitCutAt = now
	case m.score <= scoreOverloaded && (m.limitReached || inFlight >= m.inFlightLimit/2):
		m.inFlightLimit += min(2/max(m.inFlightLimit, 1), m.inFlightLimit)
		m.limitReached = false
	}
}

// proxyShare returns this proxy's share of a total for all proxies.
func (r *Router) proxyShare(total float64) float64 { return total / float64(max(r.cfg.Proxies, 1)) }

// withinColdBudget tells whether a cold member's budget allows another request. The budget prevents an
// overload after a restart: it is refilled with the member's fraction of warm capacity, times this
// proxy's work per member of the group, times half of Config.OverloadMultiple. It starts with a random debt
// and never exceeds zero, so that the total of all proxies is bounded.
func (r *Router) withinColdBudget(now time.Duration, m *member) bool {
	if m.cold = m.cold && now-m.coldSince < r.cfg.ColdDuration; !m.cold {
		return true
	}
	capacityShare := r.cfg.ColdCapacity +
		(1-r.cfg.ColdCapacity)*max(0, float64(now-m.coldSince))/float64(r.cfg.ColdDuration)
	if m.coldBudgetUpdatedAt < m.coldSince {
		m.coldBudget, m.coldBudgetUpdatedAt = -r.rng.Float64()*m.group.meanWork, now
	}
	capacityShare *= max(r.cfg.OverloadMultiple*overloadMultipleFraction, 1) / float64(len(m.group.members))
	refillRate := capacityShare * r.requestRate(now, m.group) * m.group.meanWork
	m.coldBudget, m.coldBudgetUpdatedAt =
		min(m.coldBudget+refillRate*(now-m.coldBudgetUpdatedAt).Seconds(), 0), now
	return m.coldBudget >= 0
}
