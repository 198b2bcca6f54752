package logic

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"havenproxy/internal/fifocache"
)

// This file defines the state of a router; router.go, probing.go and discovery.go operate on it.

// Router chooses a member for each request of one proxy. It is not safe for concurrent use.
type Router struct {
	cfg     Config
	actions Actions // implemented by the proxy, which executes the actions
	rng     *rand.Rand

	started             bool          // the first event has arrived
	admissionDraw       float64       // random number in [0, 1) for the current request; see atLimit
	startedAt           time.Duration // when the first event arrived
	lastTickAt          time.Duration
	stalledAt           time.Duration        // the last tick that came late; see wasStalled
	members             map[MemberID]*member // for lookups only: iteration order is random
	groups              map[GroupID]*group   // for lookups only
	orderedMembers      []*member            // all members, in the order in which they were first listed
	hasUnlisted         bool                 // some members are no longer listed
	active              []*group             // groups in use; in a large fleet, a tick checks only these
	changed             []*group             // groups that the list being handled has changed
	requests            map[RequestID]*request
	waiting             []*request // requests that wait for probe results or the next tick
	pins                *fifocache.Cache[pinKey, pin]
	commits             *fifocache.Cache[SessionID, time.Duration] // the newest known commit of each session
	newestEvictedCommit time.Duration                              // the newest commit evicted from commits
	openWrites          map[SessionID]int                          // number of writes in flight, for sessions with any

	serviceTime       []time.Duration   // per class, estimated answer time without queueing
	overdueAfter      []time.Duration   // per class, the time after which an answer is overdue
	lastBoundedReadAt time.Duration     // when the last bounded read arrived
	minMaxAge         time.Duration     // smallest MaxAge of any class; 0 = no class has one
	tenantUsage       []decayingCounter // per tenant, recent requests within its quota
	// lostAnswerRate is an EWMA: the fraction of answers that are missing from members that otherwise
	// answer in time.
	lostAnswerRate float64
	failureRate    float64 // EWMA over all members: fraction of attempts that failed
	retryTokens    float64 // retry budget (token bucket): number of further attempts that may be sent now

	listCallAt     time.Duration // when the pending list call was made; 0 = none is pending
	nextListCallAt time.Duration // when to make the next list call; 0 = none is due
}

// member is the router's view of one member.
type member struct {
	Member
	listed   bool // the latest member list contains it
	group    *group
	role     Role
	roleAt   time.Duration // the time that the information about the role is from
	position time.Duration // all commits up to then are applied; a lower bound that only grows

	rtt               time.Duration // round-trip time of probes, EWMA; 0 = no probe was answered
	probing           bool          // a probe is pending
	probedAt          time.Duration // when the last probe was sent
	lastReplyAt       time.Duration // when it last answered a probe or a request
	positionUpdatedAt time.Duration // when it last reported its position
	unresponsive      bool          // a probe got no answer, and nothing has arrived since
	unresponsiveSince time.Duration // when unresponsive was last set

	inFlight            []*attempt    // this proxy's attempts that are pending there, oldest first
	latencyRatio        float64       // EWMA of answer time divided by Class.TargetLatency
	inFlightLimit       float64       // adaptive concurrency limit for this proxy's attempts; may be fractional
	lastLatencyAt       time.Duration // when latencyRatio was last updated
	limitUpdatedAt      time.Duration // until when the recovery of inFlightLimit with time is accounted for
	reportedQueue       float64       // number of waiting requests in its last report
	queueReportedAt     time.Duration
	limitCutAt          time.Duration // when inFlightLimit was last reduced
	limitReached        bool          // inFlightLimit has excluded the member from a choice since it last grew
	failureRate         float64       // EWMA: fraction of attempts that failed; see isOutlier
	ejectedUntil        time.Duration // while it is an outlier, it gets no trial request before that
	coldSince           time.Duration // when its process started, or it answered again after a long silence
	cold                bool          // it has reduced capacity and slow start applies; see withinColdBudget
	coldBudget          float64       // while cold: work that may be sent, in seconds; never above zero
	coldBudgetUpdatedAt time.Duration
}

// group is the router's view of one replicated group.
type group struct {
	id             GroupID
	members        []*member
	openRequests   int     // number of its requests in Router.requests
	primary        *member // nil if no usable primary is known
	lastPrimary    *member // the last known primary, kept while it is unresponsive
	meanWork       float64 // EWMA of the estimated service time per request, in seconds
	meanLongWork   float64 // the part of meanWork that long reads cause; see isLongRead
	recentRequests decayingCounter
	active         bool // it is in Router.active
	changed        bool // it is in Router.changed
	term           int  // number of changes of primary; pins of an earlier term are void
}

// request is a request that has no final answer yet, or still has attempts pending.
type request struct {
	Request
	class         *Class
	group         *group
	token         time.Duration // for session reads: the commit that the read must see
	attempts      []*attempt
	maybeExecuted bool // some attempt may have been executed
	done          bool // it has its final answer, or needs none
	overQuota     bool // its tenant was over its quota when it arrived
	usesQuota     bool // it is counted in Router.tenantUsage
	arrivedAt     time.Duration
	waiting       bool // it is in Router.waiting

	probeRounds      int           // number of rounds of probes sent for it
	lastProbeRoundAt time.Duration // when the last round was sent
}

// attempt is one sending of a request to a member.
type attempt struct {
	req             *request
	number          int // 0 for the request's first attempt
	target          *member
	sentAt          time.Duration // when the router decided to send it
	coldSince       time.Duration // the target's coldSince at that time
	pending         bool          // it has no outcome yet
	maybeExecuted   bool          // its outcome doesn't exclude that it was executed
	cancelRequested bool
	overdue         bool // it took much longer than usual for its class, and was counted as a failure
}

// pinKey identifies the reads that share a pin.
type pinKey struct {
	session SessionID
	class   int
	group   GroupID
}

// pin is the replica that last served a session's read; it is valid until the group's term changes.
type pin struct {
	replica *member
	term    int
}

// decayingCounter counts recent events: the count decays exponentially with time.
type decayingCounter struct {
	value     float64
	updatedAt time.Duration
}

// valueAt returns the count with its decay until now.
func (d *decayingCounter) valueAt(now, timeConstant time.Duration) float64 {
	return d.value * math.Exp(-float64(now-d.updatedAt)/float64(max(timeConstant, 1)))
}

// increment counts one event.
func (d *decayingCounter) increment(now, timeConstant time.Duration) {
	d.value, d.updatedAt = d.valueAt(now, timeConstant)+1, now
}

// withdraw takes back one event that was counted at an earlier time: what is left of it.
func (d *decayingCounter) withdraw(countedAt, timeConstant time.Duration) {
	left := math.Exp(-float64(d.updatedAt-countedAt) / float64(max(timeConstant, 1)))
	d.value = max(d.value-left, 0)
}

// getOrCreateGroup returns the group with an ID. It creates the group if necessary, even before it is listed.
func (r *Router) getOrCreateGroup(id GroupID) *group {
	if r.groups[id] == nil {
		r.groups[id] = &group{id: id}
	}
	return r.groups[id]
}

// dropUnusedGroup forgets a group without members and requests. Clients name groups, and may name ever new ones.
func (r *Router) dropUnusedGroup(g *group) {
	if len(g.members) > 0 || g.openRequests > 0 || r.groups[g.id] != g {
		return
	}
	delete(r.groups, g.id)
	if g.active {
		g.active = false
		r.active = slices.DeleteFunc(r.active, func(x *group) bool { return x == g })
	}
}

// forgetRequest removes a request for which nothing is left to do.
func (r *Router) forgetRequest(q *request) {
	if r.requests[q.ID] == q {
		delete(r.requests, q.ID)
		q.group.openRequests--
		r.dropUnusedGroup(q.group)
	}
}

func (q *request) pinKey() pinKey { return pinKey{q.Session, q.Class, q.Group} }

// hasTried tells whether any attempt of the request was sent to the member.
func (q *request) hasTried(m *member) bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.target == m })
}

// pending tells whether any attempt of the request has no outcome yet.
func (q *request) pending() bool {
	return slices.ContainsFunc(q.attempts, func(a *attempt) bool { return a.pending })
}
