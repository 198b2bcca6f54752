package logic

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

const answerGrace = 20 * ms // a final answer may be this late

// simulation generates random valid event sequences, and checks at every action that the router obeys the
// rules. It knows the true state of each member; the router only gets the events that a proxy would
// deliver.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	cfg          Config
	router       *Router
	now          time.Duration
	members      []*simulatedMember
	submitted    map[RequestID]*simulatedRequest
	pending      []pendingAttempt
	unsent       []unsentAttempt
	lateOneIn    int // one attempt in so many waits for a late connection; 0 = none
	probes       []MemberID
	timers       []time.Duration
	nextID       RequestID
	sends        int
	lateSends    int                         // attempts that were sent after waiting
	lastCommits  map[SessionID]time.Duration // the newest commit of each session that was answered
	violation    string
	stalledUntil time.Duration // end of the last stall of the proxy, which excuses late answers
}

// simulatedMember is the true state of a member.
type simulatedMember struct {
	id              MemberID
	group           GroupID
	role            Role
	position        time.Duration
	lag             time.Duration
	state           MemberState
	believedPrimary bool // it was primary, and no answer has reported another role since
	unresponsive    bool
	listedDraining  bool // listed as draining, and not as ready since
}

// simulatedRequest is a request and what has happened to it so far.
type simulatedRequest struct {
	Request
	class        Class
	token        time.Duration
	attempts     []simulatedAttempt
	ended        bool
	finalAnswers int
}

type simulatedAttempt struct {
	sentAt        time.Duration // 0 = not sent
	target        *simulatedMember
	pending       bool
	maybeExecuted bool
}

// unsentAttempt is an attempt whose connection is established at the time due.
type unsentAttempt struct {
	q        *simulatedRequest
	number   int
	due      time.Duration
	notAfter time.Duration
}

// pendingAttempt is an attempt that ends at the time due.
type pendingAttempt struct {
	q      *simulatedRequest
	number int
	due    time.Duration
}

func (s *simulation) reportViolation(rule string) {
	if s.violation == "" {
		s.violation = rule
	}
}

func (s *simulation) findMember(id MemberID) *simulatedMember {
	for _, m := range s.members {
		if m.id == id {
			return m
		}
	}
	if id == 900 { // listed, but there is no process
		return &simulatedMember{id: id, group: 1, unresponsive: true, believedPrimary: true, state: Ready}
	}
	return nil
}

// advance lets time pass and moves the positions of the members.
func (s *simulation) advance(d time.Duration) {
	s.now += d
	for _, m := range s.members {
		if m.role == RolePrimary {
			m.position = s.now
		} else {
			m.position = max(m.position, s.now-m.lag)
		}
	}
}

func (s *simulation) Send(id RequestID, to MemberID, _, notAfter time.Duration) {
	q, m := s.submitted[id], s.findMember(to)
	s.sends++
	switch {
	case q == nil || m == nil:
		s.reportViolation("unknown request or member")
		return
	case m.group != q.Group:
		s.reportViolation("sent outside the group")
	case len(q.attempts) >= s.cfg.MaxAttempts:
		s.reportViolation("too many attempts")
	}
	for _, a := range q.attempts {
		if a.pending && !s.cfg.ParallelAttempts {
			s.reportViolation("two attempts at once")
		}
	}
	q.attempts = append(q.attempts, simulatedAttempt{0, m, true, false})
	number := len(q.attempts) - 1
	if s.lateOneIn > 0 && s.rng.IntN(s.lateOneIn) == 0 {
		wait := time.Duration(s.rng.IntN(1600)) * ms
		s.unsent = append(s.unsent, unsentAttempt{q, number, s.now + wait, notAfter})
		return
	}
	s.write(q, number)
}

// sendWaiting sends the attempts whose connections are established, if the router still allows it.
func (s *simulation) sendWaiting() {
	waiting := s.unsent
	s.unsent = nil
	for _, u := range waiting {
		m := u.q.attempts[u.number].target
		o := Outcome{Request: u.q.ID, Attempt: u.number, Member: m.id, Result: NotSent, Answered: u.q.ended}
		switch {
		case u.due > s.now && s.now < u.q.Deadline:
			s.unsent = append(s.unsent, u)
			continue
		case s.now >= u.q.Deadline:
			o.Result = ConnectFailed
		case (u.notAfter == 0 || s.now <= u.notAfter) && s.router.MaySend(s.now, u.q.ID, u.number):
			s.lateSends++
			s.write(u.q, u.number)
			continue
		}
		u.q.attempts[u.number].pending = false
		s.router.Outcome(s.now, o)
	}
}

// write sends an attempt on its connection and checks that this breaks no rule.
func (s *simulation) write(q *simulatedRequest, number int) {
	m := q.attempts[number].target
	switch {
	case q.ended:
		s.reportViolation("sent after the final answer")
	case s.cfg.IgnoreListedGone && m.listedDraining, !s.cfg.IgnoreListedGone && m.state != Ready:
		s.reportViolation("sent to a draining or gone member")
	}
	for i, a := range q.attempts {
		if i == number || q.class.Effect == EffectIdempotent || a.sentAt == 0 || !a.pending && !a.maybeExecuted {
			continue
		}
		if q.class.Effect == EffectNonIdempotent || s.now-a.sentAt > q.class.DedupWindow {
			s.reportViolation("effect may occur twice")
		}
	}
	if !m.believedPrimary && s.cfg.ServerChecks == ServerChecksNone {
		switch q.class.RequiredFreshness {
		case FreshnessBounded:
			if m.position < s.now-q.class.MaxAge {
				s.reportViolation("stale bounded read")
			}
		case FreshnessSession:
			if m.position < q.token {
				s.reportViolation("stale session read")
			}
		case FreshnessLatest:
			s.reportViolation("fresh read at a replica")
		}
	}
	q.attempts[number].sentAt = s.now
	due := min(s.now+time.Duration(s.rng.IntN(300))*ms, q.Deadline)
	if m.unresponsive || s.rng.IntN(12) == 0 {
		due = q.Deadline
	}
	s.pending = append(s.pending, pendingAttempt{q, number, due})
}

func (s *simulation) Probe(to MemberID) { s.probes = append(s.probes, to) }

func (s *simulation) Refuse(id RequestID, _ time.Duration, _ Refusal) {
	q := s.submitted[id]
	for _, a := range q.attempts {
		if q.class.Effect != EffectIdempotent && (a.pending || a.maybeExecuted) {
			s.reportViolation("refused though it may have been executed")
		}
	}
	s.recordFinalAnswer(q)
}
func (s *simulation) Fail(id RequestID) { s.recordFinalAnswer(s.submitted[id]) }
func (s *simulation) recordFinalAnswer(q *simulatedRequest) {
	q.finalAnswers++
	q.ended = true
	if q.finalAnswers > 1 || s.now > max(q.Deadline, s.stalledUntil)+answerGrace {
		s.reportViolation("final answer late or twice")
	}
}
func (s *simulation) Cancel(RequestID, int)                {}
func (s *simulation) SetTimer(_ TimerID, at time.Duration) { s.timers = append(s.timers, at) }
func (s *simulation) Watch(bool)                           {}
func (s *simulation) Fetch()                               {}
func (s *simulation) Log(string)                           {}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), submitted: map[RequestID]*simulatedRequest{},
		now: 100 * time.Second}
	s.cfg = testConfig()
	s.cfg.Seed = seed
	s.cfg.TokensCarried, s.cfg.ListOnRequest = s.rng.IntN(2) == 0, s.rng.IntN(2) == 0
	s.cfg.ParallelAttempts, s.cfg.MayCancel = s.rng.IntN(4) > 0, s.rng.IntN(2) == 0
	s.cfg.IgnoreListedGone, s.cfg.Proxies = s.rng.IntN(2) == 0, []int{0, 2, 40, 200, -3}[s.rng.IntN(5)]
	s.cfg.ListRole, s.cfg.MaxAttempts = ListRole(s.rng.IntN(3)), 1+s.rng.IntN(8)
	s.lateOneIn = []int{0, 2, 3, 10}[seed%4]
	for i := 0; i < 9; i++ {
		m := &simulatedMember{id: MemberID(i + 1), group: GroupID(i / 5), role: RoleReplica, lag: 20 * ms,
			state: Ready}
		if i%5 == 0 {
			m.role, m.believedPrimary = RolePrimary, true
		}
		s.members = append(s.members, m)
	}
	s.advance(0)
	router, err := New(s.cfg, s)
	if err != nil {
		t.Fatal(err)
	}
	s.router = router
	s.sendList(ListCached)
	return s
}

func (s *simulation) sendList(kind ListKind) {
	l := List{Kind: kind}
	for _, m := range s.members {
		e := Member{ID: m.id, Group: m.group, State: m.state}
		// In this simulation the list names the current primary or none.
		e.Primary = s.cfg.ListRole != ListRoleNone && m.role == RolePrimary
		m.listedDraining = m.state == Draining || m.listedDraining && m.state != Ready
		if m.state != Gone || kind == ListDelta {
			l.Entries = append(l.Entries, e)
		}
	}
	if kind == ListFull && s.rng.IntN(3) == 0 { // one member that doesn't exist, and one listed twice
		l.Entries = append(l.Entries, Member{ID: 900, Group: 1, State: Ready}, l.Entries[0])
	}
	s.router.MemberList(s.now, l)
}

// injectFault causes replication lag, an unresponsive member, a drain, a change of primary, an empty list
// or a stall of the proxy, or repairs a member.
func (s *simulation) injectFault() {
	m := s.members[s.rng.IntN(len(s.members))]
	switch s.rng.IntN(8) {
	case 6: // the list is empty though no member is gone; valid only with IgnoreListedGone
		if s.cfg.IgnoreListedGone {
			s.router.MemberList(s.now, List{Kind: ListFull})
		}
	case 7:
		s.advance(time.Duration(300+s.rng.IntN(1700)) * ms)
		s.stalledUntil = s.now
	case 0:
		m.lag = time.Duration(s.rng.IntN(3000)) * ms
	case 1:
		m.unresponsive = !m.unresponsive
	case 2:
		m.state = MemberState(s.rng.IntN(3))
		s.sendList(ListDelta)
	case 3, 4:
		m.lag, m.unresponsive, m.state = 15*ms, false, Ready
		s.sendList(ListFull)
	case 5:
		for _, x := range s.members {
			if x.group == m.group && x.role == RolePrimary {
				x.role = RoleReplica
			}
		}
		m.role, m.believedPrimary = RolePrimary, true
	}
}

// randomQueue returns a number of waiting requests as a member may report it, valid or not.
func (s *simulation) randomQueue() float64 {
	return []float64{-1, 0, 0, 0, 3, 1e300, math.NaN(), math.Inf(1)}[s.rng.IntN(8)]
}

func (s *simulation) submit() {
	s.nextID++
	c := s.rng.IntN(len(s.cfg.Classes))
	in := Request{ID: s.nextID, Class: c, Group: GroupID(s.rng.IntN(2)), Session: SessionID(1 + s.rng.IntN(6)),
		Deadline: s.now + s.cfg.Classes[c].ClientTimeout*time.Duration(2+s.rng.IntN(99))/100}
	q := &simulatedRequest{Request: in, class: s.cfg.Classes[c]}
	if q.class.RequiredFreshness == FreshnessSession && s.cfg.TokensCarried && s.rng.IntN(3) > 0 {
		q.TokenAge = time.Duration(1+s.rng.IntN(1500)) * ms
		q.token = s.now - q.TokenAge
	} else if q.class.RequiredFreshness == FreshnessSession && !s.cfg.TokensCarried {
		q.token = s.lastCommits[in.Session]
	}
	s.submitted[q.ID] = q
	s.router.Request(s.now, q.Request)
}

func (s *simulation) endDueAttempts() {
	var remaining []pendingAttempt
	due := s.pending
	s.pending = nil
	for _, f := range due {
		if f.due > s.now {
			remaining = append(remaining, f)
			continue
		}
		s.endAttempt(f)
	}
	s.pending = append(s.pending, remaining...)
}

func (s *simulation) endAttempt(f pendingAttempt) {
	q, a := f.q, &f.q.attempts[f.number]
	m := a.target
	o := Outcome{Request: q.ID, Attempt: f.number, Member: m.id, Took: s.now - a.sentAt}
	switch k := s.rng.IntN(20); {
	case s.now >= q.Deadline || m.unresponsive:
		o.Result = TimedOut
	case q.class.RequiredFreshness == FreshnessWrite && m.role != RolePrimary:
		o.Result = Miss
	case k == 0:
		o.Result = Failed
	case k == 1:
		o.Result = Full
	case k == 2:
		o.Result = ConnectFailed
	case k == 3:
		o.Result = Reset
	default:
		o.Result = OK
	}
	a.pending, a.maybeExecuted = false, !o.Result.NotExecuted()
	if o.Result == OK || o.Result == Miss || o.Result == Failed || o.Result == Full {
		o.Role, o.Position = m.role, m.position.Truncate(ms)
		if m.role != RolePrimary {
			m.believedPrimary = false
		}
	}
	if o.Result == OK && !q.ended {
		q.ended = true
		q.finalAnswers++
		if q.class.RequiredFreshness == FreshnessWrite {
			o.Position = s.now
			s.lastCommits[q.Session] = s.now
		}
	}
	o.Answered = q.ended
	s.router.Outcome(s.now, o)
}

func (s *simulation) run(steps int) string {
	s.lastCommits = map[SessionID]time.Duration{}
	for i := 0; i < steps && s.violation == ""; i++ {
		s.advance(time.Duration(1+s.rng.IntN(10)) * ms)
		for len(s.timers) > 0 && s.timers[0] <= s.now {
			s.timers = s.timers[1:]
			s.router.Timer(s.now, tickTimer)
		}
		pendingProbes := s.probes
		s.probes = nil
		for _, id := range pendingProbes {
			m := s.findMember(id)
			p := ProbeResult{Member: id, Took: ms,
				Report: Report{Role: m.role, Position: m.position, Queue: s.randomQueue()}}
			if m.unresponsive {
				p = ProbeResult{Member: id, Result: TimedOut, Took: 250 * ms}
			}
			s.router.ProbeResult(s.now, p)
		}
		s.sendWaiting()
		s.endDueAttempts()
		if s.rng.IntN(40) == 0 {
			s.injectFault()
		}
		if s.rng.IntN(100) == 0 {
			s.router.MemberList(s.now, List{Kind: ListFailed})
		}
		for n := s.rng.IntN(3); n > 0 && i < steps-1800; n-- {
			s.submit()
		}
		for _, q := range s.submitted {
			if !q.ended && s.now > max(q.Deadline, s.stalledUntil)+answerGrace {
				s.reportViolation("no final answer")
			}
			if q.ended && s.now > q.Deadline+time.Second {
				delete(s.submitted, q.ID)
			}
		}
	}
	if s.violation == "" && len(s.router.requests) != 0 {
		s.reportViolation("requests kept after all have ended")
	}
	if s.violation == "" && len(s.router.openWrites) != 0 {
		s.reportViolation("writes counted after all have ended")
	}
	for _, m := range s.router.orderedMembers {
		if s.violation == "" && len(m.inFlight) != 0 {
			s.reportViolation("attempts counted at a member after all have ended")
		}
	}
	return s.violation
}

// Combinations of faults that no other test lists may break a rule: a stale read, an effect that occurs
// twice, a send to a draining member, a final answer that is late, missing or given twice.
func TestRulesHoldInRandomRuns(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		s := newSimulation(t, seed)
		if violation := s.run(4000); violation != "" {
			t.Errorf("seed %d: %s at %v", seed, violation, s.now)
		}
		if s.sends < 250 || s.lateOneIn > 0 && s.lateSends < 10 {
			t.Errorf("seed %d: only %d sends, %d of them late, too few to test anything", seed, s.sends, s.lateSends)
		}
	}
}

// FuzzRules checks the same rules as TestRulesHoldInRandomRuns with seeds from the fuzzer.
func FuzzRules(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if violation := newSimulation(t, seed).run(3000); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	})
}

// A check of the simulation that never reports anything would hide violations of its rule.
func TestCheckerDetectsViolations(t *testing.T) {
	for want, act := range map[string]func(s *simulation, q *simulatedRequest){
		"sent after the final answer": func(s *simulation, q *simulatedRequest) {
			q.ended = true
			s.Send(q.ID, 1, 0, 0)
		},
		"sent to a draining or gone member": func(s *simulation, q *simulatedRequest) {
			s.members[1].state = Draining
			s.Send(q.ID, 2, 0, 0)
		},
		"sent outside the group": func(s *simulation, q *simulatedRequest) { s.Send(q.ID, 9, 0, 0) },
		"effect may occur twice": func(s *simulation, q *simulatedRequest) {
			q.class.Effect = EffectNonIdempotent
			s.cfg.ParallelAttempts = true
			s.Send(q.ID, 1, 0, 0)
			s.Send(q.ID, 1, 0, 0)
		},
		"stale bounded read": func(s *simulation, q *simulatedRequest) {
			s.members[1].position = s.now - time.Hour
			q.class.RequiredFreshness, q.class.MaxAge = FreshnessBounded, time.Second
			s.Send(q.ID, 2, 0, 0)
		},
		"stale session read": func(s *simulation, q *simulatedRequest) {
			q.class.RequiredFreshness, q.token = FreshnessSession, s.now
			s.Send(q.ID, 2, 0, 0)
		},
		"final answer late or twice": func(s *simulation, q *simulatedRequest) { s.Fail(q.ID); s.Fail(q.ID) },
		"refused though it may have been executed": func(s *simulation, q *simulatedRequest) {
			q.class.Effect = EffectDeduplicated
			s.Send(q.ID, 1, 0, 0)
			s.Refuse(q.ID, 0, RefusedNoTime)
		},
	} {
		s := newSimulation(t, 3)
		q := &simulatedRequest{Request: Request{ID: 1, Group: 0, Deadline: s.now + time.Second},
			class: Class{RequiredFreshness: FreshnessAny, ClientTimeout: time.Second}}
		s.submitted[1] = q
		s.cfg.MaxAttempts, s.lateOneIn = 8, 0
		if act(s, q); s.violation != want {
			t.Errorf("the checker reports %q, want %q", s.violation, want)
		}
	}
}

// BenchmarkRequest also checks that the router's state doesn't grow with the number of requests and
// sessions.
func BenchmarkRequest(b *testing.B) {
	r, _ := New(testConfig(), discardingProxy{})
	now := 100 * time.Second
	l := List{Kind: ListFull}
	for i := 1; i <= 12; i++ {
		l.Entries = append(l.Entries, Member{ID: MemberID(i), Group: GroupID(i / 7), State: Ready})
	}
	r.MemberList(now, l)
	now += time.Second
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now += ms
		id := RequestID(i + 1)
		r.Request(now, Request{ID: id, Class: classAny, Session: SessionID(i), Deadline: now + time.Second})
		r.Outcome(now, Outcome{Request: id, Member: 1, Result: OK, Answered: true, Role: RoleReplica,
			Position: now})
	}
	if len(r.requests) > 0 || r.pins.Len() > maxSessionEntries {
		b.Fatalf("%d requests, %d pins kept", len(r.requests), r.pins.Len())
	}
}

type discardingProxy struct{ printingProxy }

func (discardingProxy) Send(RequestID, MemberID, time.Duration, time.Duration) {}
