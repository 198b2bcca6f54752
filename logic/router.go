// Package logic decides to which member of a replicated database group a proxy sends each read and write.
//
// It follows "Driver Read Preferences": the request's class determines the freshness, the members of the
// group are filtered by role and known log position, one is chosen at random among those whose round-trip
// time is at most 15 ms above the lowest, and the reads of a session stay pinned to a replica. Further
// mechanisms act only on failures, overload or low traffic: outlier ejection (isOutlier), retries within a
// retry budget (mayRetry), hedged requests (hedge), an adaptive concurrency limit per member (recordLatency),
// load shedding by worth (limitFraction), slow start of restarted members (withinColdBudget) and on-demand
// probes (probeAndWait). The interface is in api.go, the router's state in state.go.
package logic

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/fifocache"
)

const (
	rttWindow             = 15 * time.Millisecond // largest difference of a candidate's RTT to the lowest
	longReadDivisor       = 3                     // a read is long above the smallest MaxAge divided by this
	maxAttemptsPerRequest = 3                     // the first attempt and up to two retries or hedges

	// The commit of a pending write counts as known to the client after this time, even if the proxy has
	// received no answer.
	commitKnownAfter = 100 * time.Millisecond

	quotaWindow = time.Second // time constant of the decaying counter of a tenant's requests

	failureWeight    = 0.2         // weight of one attempt in member.failureRate; a tenth in Router.failureRate
	failureThreshold = 0.35        // failure rate of an outlier; two or three consecutive failures exceed it
	ejectionTime     = time.Second // time from an ejection to the first trial request

	// The weight of a latency in member.latencyRatio is the time since the previous one, divided by a span of
	// latencyRatioSpan target latencies, within the two bounds.
	latencyRatioWeightMin = 0.1
	latencyRatioWeightMax = 0.5
	latencyRatioSpan      = 4.0
	// Latency ratio above which a member counts as overloaded. As answer times are roughly exponential, many
	// answers miss the target then.
	latencyRatioOverloaded = 0.5
	// Latency ratio recorded for an attempt without an answer in time, and the largest for any other.
	latencyRatioLate = 2.0

	initialFleetLimit   = 36.0             // initial in-flight limit of a member, as the total of all proxies
	recoveredProxyLimit = 3.0              // in-flight limit per proxy to which a lower one recovers with time
	limitRecoveryTime   = 10 * time.Second // time in which a recovering in-flight limit grows by one attempt
	// Least in-flight limit, as the total of all proxies. The answers of an overloaded member to these attempts
	// show when it has recovered.
	minFleetLimit    = 2.0
	limitCutInterval = 100 * time.Millisecond // least time between reductions, so that each shows its effect

	minLimitFraction  = 0.25        // least fraction of a member's in-flight limit that a request may use
	busyQueueLength   = 1.0         // number of waiting requests from which a member has no free worker
	queueReportMaxAge = time.Second // older reports of waiting requests are ignored
	// Fraction of the primary's in-flight limit for reads that prefer replicas. The rest is reserved for
	// requests that only the primary may serve.
	primaryReadFraction = 0.7

	retryTokensPerRequest = 0.2  // tokens that a request adds; caps retries at this fraction in the long run
	maxRetryTokens        = 30.0 // size of the token bucket of retries, which allows a short burst

	retryAfterNoPrimary = 500 * time.Millisecond // retry-after hint; a failover takes seconds
	retryAfterOverload  = 150 * time.Millisecond // retry-after hint; an overload ends in a few service times

	listRoleDelay           = 5 * time.Second  // assumed age of a role in the list, which is seconds late
	forgetUnresponsiveAfter = 30 * time.Second // longest time an unlisted, unresponsive member is kept

	overloadMultipleFraction = 0.5     // fraction of Config.OverloadMultiple used, as a safety margin
	workWeight               = 0.005   // weight of one request in group.meanWork, which spans hundreds
	targetPerServiceTime     = 4       // assumed Class.TargetLatency / service time before the first answer
	serviceTimeQuantile      = 0.3     // quantile of a class's answer times: its service time without queueing
	overdueQuantile          = 0.95    // quantile of a class's answer times; a later answer is overdue
	quantileStep             = 0.05    // largest relative change of a quantile estimate per sample
	lostAnswerWeight         = 0.02    // weight of one attempt in Router.lostAnswerRate
	lostAnswerThreshold      = 0.05    // above it answers are being lost; normally the rate stays far below
	maxSessionEntries        = 1 << 15 // capacity of Router.pins, and of Router.commits
	tickTimer                = TimerID(1)
)

// New returns a router for one proxy, which executes its actions. The router takes no action before its
// first event.
func New(cfg Config, proxy Actions) (*Router, error) {
	if err := validateConfig(&cfg, proxy); err != nil {
		return nil, err
	}
	r := &Router{cfg: cfg, actions: proxy, rng: rand.New(rand.NewPCG(cfg.Seed, 0x9e3779b97f4a7c15)),
		members: map[MemberID]*member{}, groups: map[GroupID]*group{},
		requests: map[RequestID]*request{}, openWrites: map[SessionID]int{},
		serviceTime: make([]time.Duration, len(cfg.Classes)), overdueAfter: make([]time.Duration, len(cfg.Classes)),
		tenantUsage: make([]decayingCounter, len(cfg.Tenants)), retryTokens: maxRetryTokens}
	r.pins = fifocache.New[pinKey, pin](maxSessionEntries)
	r.commits = fifocache.New[SessionID, time.Duration](maxSessionEntries)
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
	r.updateChangedGroups()
	r.resumeWaiting(now)
}

// markChanged makes updateChangedGroups update a group.
func (r *Router) markChanged(g *group) {
	if !g.changed {
		g.changed = true
		r.changed = append(r.changed, g)
	}
}

// updateChangedGroups determines the primaries of the groups that a list has changed and drops the members
// that are no longer known, once for each group: a list may hold thousands of entries of one group.
func (r *Router) updateChangedGroups() {
	for _, g := range r.changed {
		g.changed = false
		r.updatePrimary(g)
		g.members = slices.DeleteFunc(g.members, func(m *member) bool { return r.members[m.ID] != m })
		r.dropUnusedGroup(g)
	}
	clear(r.changed)
	r.changed = r.changed[:0]
}

// forgetUnlisted removes the members that are no longer listed, except those that handleUnlisted keeps.
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
	r.markChanged(m.group)
}

// handleUnlisted marks an unlisted member as gone, if the list is authoritative for that. It removes the
// member, and tells whether it did; updateChangedGroups removes it from its group. It keeps a member with
// attempts or a probe pending, and a ready one until it has been unresponsive for longer than
// forgetUnresponsiveAfter.
func (r *Router) handleUnlisted(now time.Duration, m *member) bool {
	if m.State != Gone && !r.cfg.IgnoreListedGone {
		m.State = Gone
		r.markChanged(m.group)
	}
	if len(m.inFlight) > 0 || m.probing ||
		m.State == Ready && (!m.unresponsive || now-m.unresponsiveSince <= forgetUnresponsiveAfter) {
		return false
	}
	delete(r.members, m.ID)
	r.markChanged(m.group)
	return true
}

// updatePrimary determines the group's primary: the member with the newest primary role, if it is ready and
// responsive. A change of primary invalidates all pins in the group.
func (r *Router) updatePrimary(g *group) {
	newest := g.newestPrimary()
	if g.primary = nil; newest != nil && !newest.unresponsive && newest.State == Ready {
		if g.primary = newest; newest != g.lastPrimary { // pins survive if the same primary responds again
			g.term++
			g.lastPrimary = newest
		}
	}
}

// newestPrimary returns the member with the newest primary role, usable or not, or nil.
func (g *group) newestPrimary() *member {
	var newest *member
	for _, m := range g.members {
		if m.role == RolePrimary && (newest == nil || m.roleAt > newest.roleAt) {
			newest = m
		}
	}
	return newest
}

// updateRoleAndPosition records the role that a member had at the time at, unless a newer one is known, and
// a position that it has reached.
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

// recordReply records that a member answered a probe or a request. After a long silence it may have
// restarted, so it counts as cold and its in-flight limit starts afresh.
func (r *Router) recordReply(m *member, now time.Duration) {
	m.lastReplyAt = now
	if m.unresponsive {
		m.unresponsive = false
		if now-m.unresponsiveSince > restartSilence {
			m.coldSince, m.cold = now, true
			m.inFlightLimit, m.latencyRatio = r.proxyShare(initialFleetLimit), 0
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

// hedge hedges requests: it sends another attempt, within the retry budget, for each request whose newest
// attempt is pending at an unresponsive member. It does so too for overdue requests if answers get lost,
// which means that many are missing though the others arrive in time. Otherwise overdue answers point to
// overload, which more attempts would make worse. An attempt far past its time counts as a failure, so that
// a member that answers nothing but probes is ejected.
func (r *Router) hedge(now time.Duration, m *member) {
	for _, a := range m.inFlight { // route may append to it, but removes nothing
		q, age := a.req, now-a.sentAt
		if !a.overdue && age > max(2*r.overdueAfter[q.Class], q.class.TargetLatency) {
			a.overdue = true
			r.updateFailureRate(now, m, 1)
			if m.latencyRatio < latencyRatioOverloaded && !m.unresponsive {
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

// losesAnswers tells whether a missing answer of the member is more likely lost than late: answers get lost
// in general, and the member is not overloaded.
func (r *Router) losesAnswers(m *member) bool {
	return r.lostAnswerRate > lostAnswerThreshold && m.latencyRatio < latencyRatioOverloaded
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
// outlier. An ejected member gets trial requests after the ejection time.
func (r *Router) usable(m *member, now time.Duration) bool {
	if m.State != Ready || m.unresponsive {
		return false
	}
	if r.isOutlier(m) { // after the ejection time, one trial request at a time
		return now >= m.ejectedUntil && len(m.inFlight) == 0
	}
	return true
}

// atLimit tells whether the given fraction of the member's in-flight limit has no room for another attempt
// of this proxy. If the remaining room is a fraction of an attempt, it is the probability of admission. A low
// limit first recovers by the time that has passed.
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
// shows waiting requests, which is the only sign of the load from other proxies. A report is overridden
// by later latencies if the member's latency ratio is low.
func (r *Router) overloaded(now time.Duration, m *member, fraction float64) bool {
	queueing := m.reportedQueue >= busyQueueLength && now-m.queueReportedAt < queueReportMaxAge
	return queueing && (m.lastLatencyAt <= m.queueReportedAt || m.latencyRatio >= latencyRatioOverloaded) ||
		r.atLimit(now, m, fraction)
}

// limitFraction returns the fraction of a member's in-flight limit that the request may use. It is the
// square root of the request's worth per service time relative to the best class, and at least
// minLimitFraction. Thus the least valuable requests are shed first when limits are reached.
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
	if pinned, ok := r.pins.Get(q.pinKey()); ok && q.Session != 0 && pinned.term == q.group.term &&
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

// isEligibleReplica tells whether the member is usable, not known as a primary and not yet tried by the
// request. It doesn't consider the position and the load.
func (r *Router) isEligibleReplica(now time.Duration, q *request, m *member) bool {
	return m.role != RolePrimary && r.usable(m, now) && !q.hasTried(m)
}

// pickReplica chooses at random among the eligible replicas that pass the filter, have room, are within the
// RTT window and within their cold budget. It returns nil if there is none.
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

// filterByRTT removes the members whose RTT is unknown or exceeds the lowest by more than rttWindow. If no
// RTT is known, it keeps all.
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

// longReadReplicas returns the warm replicas for long reads: those furthest behind, at least one, and
// otherwise in proportion to the part of the group's work that long reads cause. If these are overloaded,
// chooseMember refuses further long reads, because stalling one more replica costs more than they are worth.
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

// Request handles a new request: it is sent, waits for probes, or is refused or failed at once.
func (r *Router) Request(now time.Duration, in Request) {
	r.ensureStarted(now)
	if in.Class < 0 || in.Class >= len(r.cfg.Classes) || r.requests[in.ID] != nil {
		r.actions.Fail(in.ID)
		return
	}
	q := &request{Request: in, arrivedAt: now, class: &r.cfg.Classes[in.Class],
		group: r.getOrCreateGroup(in.Group)}
	r.requests[in.ID] = q
	q.group.openRequests++
	q.group.recentRequests.increment(now, requestRateWindow)
	r.markActive(q.group)
	r.applyQuota(now, q)
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

// applyQuota tells a request that its tenant is over its quota, or else counts the request. A refusal takes
// the count back.
func (r *Router) applyQuota(now time.Duration, q *request) {
	if q.Tenant < 0 || q.Tenant >= len(r.tenantUsage) || r.cfg.Tenants[q.Tenant].Quota <= 0 {
		return
	}
	usage := &r.tenantUsage[q.Tenant]
	q.overQuota = usage.valueAt(now, quotaWindow) >=
		max(r.proxyShare(r.cfg.Tenants[q.Tenant].Quota)*quotaWindow.Seconds(), 1)
	if !q.overQuota {
		usage.increment(now, quotaWindow)
		q.usesQuota = true
	}
}

// sessionToken returns the commit that a session's read must see. With Config.TokensCarried it comes from
// the request, and 0 means none. Otherwise, for a session without a known commit, it is the newest evicted
// one. A pending write may have been committed and answered, and its answer lost on the way; its commit
// counts as known after commitKnownAfter.
func (r *Router) sessionToken(now time.Duration, in *Request) time.Duration {
	if r.cfg.TokensCarried {
		if in.TokenAge > 0 {
			return now - in.TokenAge
		}
		return 0
	}
	token, ok := r.commits.Get(in.Session)
	if !ok {
		token = r.newestEvictedCommit
	}
	if r.openWrites[in.Session] > 0 {
		token = max(token, now-commitKnownAfter)
	}
	return token
}

// routeOrFinish sends a request, or finishes it if it can neither be sent nor wait and no attempt is pending.
func (r *Router) routeOrFinish(now time.Duration, q *request) {
	if ok, reason := r.route(now, q); !ok && !q.waiting && !q.pending() {
		r.finish(q, reason)
	}
}

// addWaiting lets a request wait for probe results, the next tick or a member list.
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

// send starts an attempt at a member, and tells whether it did. As the only function that starts attempts,
// it checks the time left, the group, the member's state, the request's effect and Config.MaxAttempts.
func (r *Router) send(now time.Duration, q *request, m *member) bool {
	// There is too little time left. Lowering the estimate makes sure that a class whose requests always
	// have little time is tried again.
	if q.Deadline-now <= r.serviceTime[q.Class] {
		updateQuantile(&r.serviceTime[q.Class], 0, serviceTimeQuantile)
		return false
	}
	if q.done || m.group != q.group || m.State != Ready || !r.effectAllowsAttempt(now, q, m, nil) ||
		r.cfg.MaxAttempts > 0 && len(q.attempts) >= r.cfg.MaxAttempts {
		return false
	}
	if len(q.attempts) > 0 {
		r.retryTokens--
	}
	a := &attempt{req: q, number: len(q.attempts), target: m, sentAt: now, coldSince: m.coldSince, pending: true}
	q.attempts = append(q.attempts, a)
	m.inFlight = append(m.inFlight, a)
	r.markActive(m.group)
	m.coldBudget -= r.serviceTime[q.Class].Seconds() // only relevant while the member is cold
	if r.tracksCommit(q) {
		r.openWrites[q.Session]++
	}
	r.actions.Send(q.ID, m.ID, q.Deadline-now, earlierLimit(r.freshUntil(q, m), r.repeatUntil(q, a)))
	return true
}

// earlierLimit returns the earlier of two times, of which 0 means no limit.
func earlierLimit(a, b time.Duration) time.Duration {
	if a == 0 || b > 0 && b < a {
		return b
	}
	return a
}

// MaySend implements Events: it repeats the checks of send and chooseMember whose result may have changed
// since, and on which a rule depends. Those that only spread load or avoid failures are not repeated.
func (r *Router) MaySend(now time.Duration, id RequestID, number int) bool {
	q := r.requests[id]
	if q == nil || q.done || number < 0 || number >= len(q.attempts) || !q.attempts[number].pending {
		return false
	}
	a := q.attempts[number]
	m := a.target
	restarted := m.cold && m.coldSince > a.coldSince // the attempt is not part of its cold budget
	return now < q.Deadline && m.State == Ready && !restarted && r.effectAllowsAttempt(now, q, m, a) &&
		r.dataAllowsAttempt(now, q, m)
}

// dataAllowsAttempt tells whether the member has the role and the position that the request needs. A
// member that is no longer the primary rejects a write, so for writes it is enough that no newer primary is
// known; it doesn't reject a read.
func (r *Router) dataAllowsAttempt(now time.Duration, q *request, m *member) bool {
	switch {
	case q.class.RequiredFreshness == FreshnessWrite:
		return m == q.group.newestPrimary()
	case m == q.group.primary || r.cfg.ServerChecks != ServerChecksNone && !q.class.requiresPrimary():
		return true
	}
	return q.isFreshEnough(m, now)
}

// repeatUntil returns the time until which the attempt may be sent although others of its request may have
// been executed: later, members may have forgotten the idempotency key. 0 means no limit.
func (r *Router) repeatUntil(q *request, self *attempt) time.Duration {
	until := time.Duration(0)
	if q.class.Effect != EffectDeduplicated {
		return until
	}
	for _, a := range q.attempts {
		if a != self && (a.pending || a.maybeExecuted) {
			until = earlierLimit(until, a.sentAt+q.class.DedupWindow-r.cfg.Tick-1)
		}
	}
	return until
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

// effectAllowsAttempt tells whether another attempt can't cause the request's effect twice; self is that
// attempt, or nil if it doesn't exist yet. Pending attempts count as possibly executed. It also enforces
// Config.ParallelAttempts.
func (r *Router) effectAllowsAttempt(now time.Duration, q *request, m *member, self *attempt) bool {
	if until := r.repeatUntil(q, self); until != 0 && now > until {
		return false
	}
	for _, a := range q.attempts {
		switch {
		case a == self:
		case a.pending && !r.cfg.ParallelAttempts:
			return false
		case q.class.Effect == EffectIdempotent || !a.pending && !a.maybeExecuted:
		case q.class.Effect == EffectNonIdempotent,
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
		if q.usesQuota {
			r.tenantUsage[q.Tenant].withdraw(q.arrivedAt, quotaWindow)
		}
		r.actions.Refuse(q.ID, retryAfter, reason)
	} else {
		r.actions.Fail(q.ID)
	}
	r.forgetOrCancel(q)
}

// forgetOrCancel removes a request that is done. While attempts are pending it is kept, and they are
// cancelled if Config.MayCancel is set.
func (r *Router) forgetOrCancel(q *request) {
	if !q.pending() {
		r.forgetRequest(q)
		return
	}
	for _, a := range q.attempts {
		if a.pending && r.cfg.MayCancel && !a.cancelRequested {
			a.cancelRequested = true
			r.actions.Cancel(q.ID, a.number)
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

// Abandoned handles the disconnection of a request's client. Its pending attempts are recorded as
// late, because clients that leave early would otherwise hide an overload.
func (r *Router) Abandoned(now time.Duration, id RequestID) {
	r.ensureStarted(now)
	if q := r.requests[id]; q != nil && !q.done {
		q.done = true
		for _, a := range q.attempts {
			if a.pending {
				r.recordLatency(now, a.target, q.class.TargetLatency, latencyRatioLate)
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

// mayRetry tells whether the request may have another attempt. Attempts are limited per request, by the
// deadline, and by a retry budget for all requests, so that retries don't aggravate an overload. The budget
// is a token bucket: each request adds a fraction of a token, and send takes one for a further attempt.
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
		r.recordLatency(now, m, q.class.TargetLatency,
			min(float64(took)/float64(q.class.TargetLatency), latencyRatioLate))
		r.updateFailureRate(now, m, 0)
		r.lostAnswerRate -= lostAnswerWeight * r.lostAnswerRate
		if q.class.RequiredFreshness != FreshnessWrite && q.Session != 0 && m.role == RoleReplica {
			r.pins.Put(q.pinKey(), pin{m, q.group.term})
		}
	case TimedOut:
		if !r.losesAnswers(m) {
			r.recordLatency(now, m, q.class.TargetLatency, latencyRatioLate)
		}
	case Failed, Full, ConnectFailed, Reset:
		if r.updateFailureRate(now, m, 1); o.Result == Full {
			r.recordLatency(now, m, q.class.TargetLatency, latencyRatioLate)
		}
		if o.Result == ConnectFailed {
			r.sendProbe(now, m)
		}
	}
}

// updateFailureRate adds an attempt to the failure rates (1 = failed, 0 = not), which are EWMAs. If the
// member is an outlier, a failure ejects it, again after each failed trial request (outlier ejection).
func (r *Router) updateFailureRate(now time.Duration, m *member, failed float64) {
	m.failureRate += failureWeight * (failed - m.failureRate)
	r.failureRate += failureWeight / 10 * (failed - r.failureRate)
	if failed > 0 && r.isOutlier(m) && now >= m.ejectedUntil {
		m.ejectedUntil = now + ejectionTime
	}
}

// isOutlier tells whether the member's failure rate exceeds failureThreshold plus twice the mean rate of all
// members. A bad network or a broken release makes all members fail alike, and ejects none.
func (r *Router) isOutlier(m *member) bool { return m.failureRate > failureThreshold+2*r.failureRate }

// tracksCommit tells whether the router must track the request's commit for later reads of its session.
func (r *Router) tracksCommit(q *request) bool {
	return q.class.RequiredFreshness == FreshnessWrite && q.Session != 0 && !r.cfg.TokensCarried
}

// recordCommit records a commit of a session, if it is the newest. If the commit is 0 (unknown), it is
// taken to be as late as now.
func (r *Router) recordCommit(session SessionID, commit, now time.Duration) {
	previous, _ := r.commits.Get(session)
	evicted, _ := r.commits.Put(session, max(previous, cmp.Or(commit, now)))
	r.newestEvictedCommit = max(r.newestEvictedCommit, evicted)
}

// ---- Overload and cold members ----

// updateQuantile moves an estimate of a quantile one step towards a sample. The sizes of steps up and down
// are such that the estimate settles where that fraction of the samples lies below it.
func updateQuantile(estimate *time.Duration, sample time.Duration, quantile float64) {
	if sample <= *estimate {
		quantile--
	}
	*estimate += time.Duration(quantile * quantileStep * float64(*estimate))
}

// recordLatency adds the ratio of an answer time to its target latency to member.latencyRatio, an EWMA, and
// adapts member.inFlightLimit, an adaptive concurrency limit: while the average is high, the limit is reduced
// by a fraction, at most once per limitCutInterval; while it is low and the limit is in use, the limit grows.
// This protects against overload, and against members that answer probes fast but requests slowly. A latency
// that a stall of this proxy may have caused is ignored.
func (r *Router) recordLatency(now time.Duration, m *member, target time.Duration, ratio float64) {
	if r.wasStalled(now) {
		return
	}
	weight := min(max(float64(now-m.lastLatencyAt)/(latencyRatioSpan*float64(target)), latencyRatioWeightMin),
		latencyRatioWeightMax)
	m.lastLatencyAt = now
	m.latencyRatio += weight * (ratio - m.latencyRatio)
	inFlight := float64(len(m.inFlight) + 1)
	switch {
	case m.latencyRatio > latencyRatioOverloaded && now-m.limitCutAt >= limitCutInterval:
		m.inFlightLimit = max(r.proxyShare(minFleetLimit), min(m.inFlightLimit, inFlight)*(1-weight))
		m.limitCutAt = now
	case m.latencyRatio <= latencyRatioOverloaded && (m.limitReached || inFlight >= m.inFlightLimit/2):
		m.inFlightLimit += min(2/max(m.inFlightLimit, 1), m.inFlightLimit)
		m.limitReached = false
	}
}

// proxyShare returns this proxy's share of a total for all proxies.
func (r *Router) proxyShare(total float64) float64 { return total / float64(max(r.cfg.Proxies, 1)) }

// withinColdBudget implements slow start: it tells whether a cold member's budget allows another request. A
// warm member is not limited by it. The budget prevents an overload after a restart: it is refilled with
// the member's fraction of warm capacity, times this proxy's work per member of the group, times half of
// Config.OverloadMultiple (at least 1), and send takes the request's estimated service time from it. It
// starts with a random debt and never exceeds zero, so that the total of all proxies is bounded.
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
