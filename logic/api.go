package logic

import "time"

// All times are durations on the proxy's monotonic clock, whose zero is arbitrary.
// All IDs are opaque: the router only compares them and returns them.
type (
	// MemberID identifies one member of a group; a machine that replaces another gets a new ID.
	MemberID uint64
	// RequestID identifies one request; a retry by the client has a new ID, and IDs are never reused.
	RequestID uint64
	// SessionID links a session's writes to its later reads; 0 means no session.
	SessionID uint64
	// GroupID identifies a set of members that replicate the same data.
	GroupID int
	// TimerID is chosen by the router and passed back in Events.Timer.
	TimerID uint64
)

// Role is the replication role that a member last reported.
type Role uint8

// The replication roles.
const (
	RoleUnknown Role = iota
	RolePrimary
	RoleReplica
)

// Freshness is what a request class requires of the data it reads, or that it writes.
type Freshness uint8

// The freshness requirements.
const (
	FreshnessAny     Freshness = iota // any member's data, however old
	FreshnessBounded                  // data at most Class.MaxAge old at the time of sending
	FreshnessSession                  // includes all writes of the session
	FreshnessLatest                   // includes all commits made before the request arrived
	FreshnessWrite                    // not a read: only the primary accepts it
)

// Effect tells whether a request may be executed more than once.
type Effect uint8

// The kinds of effects.
const (
	EffectIdempotent    Effect = iota // safe to repeat
	EffectDeduplicated                // has an idempotency key; members drop duplicates for Class.DedupWindow
	EffectNonIdempotent               // must never be executed twice
)

// KeyScope tells which members recognize a duplicate of a request with an idempotency key.
type KeyScope uint8

// The scopes of an idempotency key.
const (
	KeyScopeAll  KeyScope = iota // all members
	KeyScopeZone                 // members of the same zone
	KeyScopeCell                 // members of the same group
)

// ServerChecks is what a member does with a read if its replication lag is too large for it.
type ServerChecks uint8

// The kinds of member-side checks.
const (
	ServerChecksNone   ServerChecks = iota // answers from the data it has
	ServerChecksRefuse                     // ends the attempt with Miss at once
	ServerChecksWait                       // waits a little to catch up, then ends the attempt with Miss
)

// ListRole tells whether the member list names the primary, and how current that is.
type ListRole uint8

// The kinds of role information in the member list.
const (
	ListRoleNone  ListRole = iota // not named
	ListRoleStart                 // the primary at the start, never updated
	ListRoleLate                  // the current primary, seconds late
)

// Class describes one class of request.
type Class struct {
	Name              string // the router uses it only in error messages
	RequiredFreshness Freshness
	MaxAge            time.Duration // for FreshnessBounded: how old the data may be
	TargetLatency     time.Duration // answers within it earn the full worth
	ClientTimeout     time.Duration // how long the client waits, over all its retries
	Effect            Effect
	DedupScope        KeyScope      // for EffectDeduplicated: which members recognize a duplicate
	DedupWindow       time.Duration // for EffectDeduplicated: how long a member recognizes duplicates
	Worth             float64       // value of an answer within TargetLatency, compared to other classes
	Stream            bool          // the answer arrives in parts; see Events.AnswerStarted
}

// Tenant describes one tenant of the deployment.
type Tenant struct {
	Name  string  // not used by the router
	Quota float64 // requests per second over all proxies; 0 = no quota
}

// Config is the configuration of a router. Every field is a fact about the deployment; the zero value of an
// optional field means "no" or "none".
type Config struct {
	Seed    uint64 // for the router's own random numbers
	Proxies int    // number of proxies that share the traffic
	Zone    int    // zone of this proxy; not used by the router

	Classes        []Class
	Tenants        []Tenant
	OverQuotaWorth float64 // worth of a request over its tenant's quota, as a fraction of its class's Worth

	Tick          time.Duration // the proxy delivers events at most once per tick
	ListOnRequest bool          // the member list must be requested (Watch, Fetch); otherwise it is pushed
	LocalAgent    bool          // a local agent serves the list from memory, so frequent calls cost nobody else
	ListRole      ListRole      // whether the member list names the primary
	TokensCarried bool          // requests carry their session's token; otherwise the router tracks commits
	ServerChecks  ServerChecks  // what members do with a read that they are too far behind for

	MayProbe          bool          // members answer probes
	MayCancel         bool          // a pending attempt may be cancelled
	ParallelAttempts  bool          // a request may have two attempts in flight at once
	MaySendRetryAfter bool          // a refusal may carry a retry-after hint
	MaxAttempts       int           // per request; 0 = no limit
	MaxRetryAfter     time.Duration // longest retry-after hint that clients respect

	// A member is cold after a restart: its capacity is reduced at first and grows until it is warm.
	ColdDuration     time.Duration // a restarted member is warm after at most this time
	ColdCapacity     float64       // least capacity of a cold member, as a fraction of its warm capacity
	OverloadMultiple float64       // a cold member fails if it is sent more than this many times its capacity
	IgnoreListedGone bool          // the list is authoritative only for draining, not for gone
}

// Refusal is the reason why a request is refused.
type Refusal uint8

// The reasons for a refusal.
const (
	RefusedNoTime    Refusal = iota // too little time before the deadline, or no further attempt allowed
	RefusedNoPrimary                // the class needs the primary, and no usable one is known
	RefusedOverload                 // no member that may serve it has room, or no retry is allowed
)

// retryAfter returns how long the client should wait before it retries; 0 means no hint.
func (r Refusal) retryAfter() time.Duration {
	switch r {
	case RefusedNoPrimary:
		return retryAfterNoPrimary
	case RefusedOverload:
		return retryAfterOverload
	}
	return 0
}

// Request is one query of a client.
type Request struct {
	ID       RequestID
	Class    int // index into Config.Classes
	Tenant   int // index into Config.Tenants
	Group    GroupID
	Session  SessionID
	Deadline time.Duration // when the client gives up waiting for this request
	TokenAge time.Duration // with Config.TokensCarried: time since the session's last commit; 0 = none
	Retry    bool          // the client marked it as a retry; not used by the router
}

// Result is how an attempt or a probe ended.
type Result uint8

// The results; NotExecuted tells which of them prove that the request was not executed.
const (
	OK            Result = iota
	Miss                 // rejected, not executed: the member is not the primary, or lags too far behind
	Failed               // the member answered with an error; may have been executed
	Full                 // rejected, not executed: the queue is full, or the member is draining
	TimedOut             // no answer in time; may have been executed
	ConnectFailed        // no connection could be opened
	Reset                // the connection was lost; may have been executed
	Cancelled            // cancelled by the router; may have been executed
	NotSent              // not sent by the proxy
)

// NotExecuted tells whether the result proves that the request was not executed.
func (r Result) NotExecuted() bool {
	return r == Miss || r == Full || r == ConnectFailed || r == NotSent
}

// Outcome is the end of one attempt; every Send is followed by exactly one.
type Outcome struct {
	Request    RequestID
	Attempt    int // 0 for the request's first Send, then 1, 2, ...
	Member     MemberID
	Result     Result
	Took       time.Duration // time from the Send to this result
	Answered   bool          // the client has its final answer; the first OK always is one
	Role       Role          // the member's role according to the answer
	Position   time.Duration // all commits up to then are applied (rounded down); for an OK write: its commit
	LoadReport Report        // set where answers carry load reports
}

// Report is what a member reports about itself; it may be slightly out of date.
type Report struct {
	Role     Role          // RoleUnknown = not reported
	Position time.Duration // all commits up to then are applied; a lower bound; 0 = unknown
	Queue    float64       // number of requests waiting; negative = unknown
}

// ProbeResult is the result of one Probe.
type ProbeResult struct {
	Member MemberID
	Result Result
	Took   time.Duration // round-trip time of the probe
	Report Report        // valid only if Result is OK
}

// MemberState is a member's state according to the member list.
type MemberState uint8

// The states of a member.
const (
	Gone MemberState = iota
	Ready
	Draining
)

// Member is one entry of the member list.
type Member struct {
	ID        MemberID
	Zone      int
	Group     GroupID
	State     MemberState
	Primary   bool          // named as its group's primary; see ListRole
	Weight    float64       // relative capacity according to the list; not used by the router
	StartedAt time.Duration // when its process last started; 0 = long ago
}

// ListKind tells how a list event relates to the previous ones.
type ListKind uint8

// The kinds of list events.
const (
	ListDelta  ListKind = iota // only the entries that changed
	ListFull                   // the whole list
	ListCached                 // the whole list from a cache, possibly out of date
	ListFailed                 // a call failed or the watch was lost; the list is unchanged
)

// List is an update of the member list.
type List struct {
	Kind    ListKind
	Entries []Member // valid only during the call
}

// Events are the notifications that a proxy delivers to its router. Calls must not overlap, and now must
// never decrease from one call to the next.
type Events interface {
	MemberList(now time.Duration, l List) // the member list was received or updated, or a call failed
	Request(now time.Duration, q Request) // a client sent a request
	// AnswerStarted tells that the first part of a streamed answer has arrived.
	AnswerStarted(now time.Duration, id RequestID, attempt int)
	Outcome(now time.Duration, o Outcome)         // an attempt ended
	ProbeResult(now time.Duration, p ProbeResult) // a probe ended; every Probe is followed by one result
	// MaySend tells whether an attempt that had to wait may still be sent. Otherwise its outcome is
	// NotSent. It changes nothing, and may be called at any time.
	MaySend(now time.Duration, id RequestID, attempt int) bool
	Timer(now time.Duration, id TimerID)       // a timer set with Actions.SetTimer expired
	Abandoned(now time.Duration, id RequestID) // the client disconnected and expects no answer
}

// Actions are the operations that a router requests from its proxy while it handles an event.
type Actions interface {
	// Send starts an attempt. timeout is the time left until the request's deadline. The proxy must not
	// send the request after notAfter, when the known position of the member becomes too old for it, or
	// members may have forgotten an earlier attempt; 0 means no limit. An attempt that isn't sent at once,
	// as it has to wait for a connection, may be sent only if Events.MaySend allows it then.
	Send(id RequestID, to MemberID, timeout, notAfter time.Duration)
	Probe(to MemberID) // asks a member for its load, role and position
	// Refuse gives the final answer that the request failed and is safe to retry, preferably after
	// retryAfter.
	Refuse(id RequestID, retryAfter time.Duration, reason Refusal)
	// Fail gives the final answer that the request failed; it may have been executed.
	Fail(id RequestID)
	Cancel(id RequestID, attempt int)      // cancels a pending attempt; its Outcome still follows
	SetTimer(id TimerID, at time.Duration) // delivers Events.Timer at the given time
	Watch(on bool)                         // subscribes to changes of the member list, or unsubscribes
	Fetch()                                // requests the whole member list once
	Log(text string)                       // writes a line to the proxy's log
}
