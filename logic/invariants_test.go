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
	probes       []MemberID
	timers       []time.Duration
	nextID       RequestID
	sends        int
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
	sentAt        time.Duration
	target        *simulatedMember
	pending       bool
	maybeExecuted bool
}

// pendingAttempt is an attempt that ends at the time due.
type pendingAttempt struct {
	q      *simulatedRequest
	number int
	due    time.Duration
}

func (w *simulation) reportViolation(rule string) {
	if w.violation == "" {
		w.violation = rule
	}
}

func (w *simulation) findMember(id MemberID) *simulatedMember {
	for _, m := range w.members {
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
func (w *simulation) advance(d time.Duration) {
	w.now += d
	for _, m := range w.members {
		if m.role == RolePrimary {
			m.position = w.now
		} else {
			m.position = max(m.position, w.now-m.lag)
		}
	}
}

func (w *simulation) Send(id RequestID, to MemberID, _, _ time.Duration) {
	q, m := w.submitted[id], w.findMember(to)
	w.sends++
	switch {
	case q == nil || m == nil:
		w.reportViolation("unknown request or member")
		return
	case q.ended:
		w.reportViolation("sent after the final answer")
	case m.group != q.Group:
		w.reportViolation("sent outside the group")
	case w.cfg.IgnoreListedGone && m.listedDraining, !w.cfg.IgnoreListedGone && m.state != Ready:
		w.reportViolation("sent to a draining or gone member")
	case len(q.attempts) >= w.cfg.MaxAttempts:
		w.reportViolation("too many attempts")
	}
	for _, a := range q.attempts {
		if a.pending && !w.cfg.ParallelAttempts {
			w.reportViolation("two attempts at once")
		}
		if q.class.Effect == EffectIdempotent || !a.pending && !a.maybeExecuted {
			continue
		}
		if q.class.Effect == EffectNonIdempotent || w.now-a.sentAt > q.class.DedupWindow {
			w.reportViolation("effect may occur twice")
		}
	}
	if !m.believedPrimary && w.cfg.ServerChecks == ServerChecksNone {
		switch q.class.RequiredFreshness {
		case FreshnessBounded:
			if m.position < w.now-q.class.MaxAge {
				w.reportViolation("stale bounded read")
			}
		case FreshnessSession:
			if m.position < q.token {
				w.reportViolation("stale session read")
			}
		case FreshnessLatest:
			w.reportViolation("fresh read at a replica")
		}
	}
	q.attempts = append(q.attempts, simulatedAttempt{w.now, m, true, false})
	due := min(w.now+time.Duration(w.rng.IntN(300))*ms, q.Deadline)
	if m.unresponsive || w.rng.IntN(12) == 0 {
		due = q.Deadline
	}
	w.pending = append(w.pending, pendingAttempt{q, len(q.attempts) - 1, due})
}

func (w *simulation) Probe(to MemberID) { w.probes = append(w.probes, to) }

func (w *simulation) Refuse(id RequestID, _ time.Duration, _ Refusal) {
	q := w.submitted[id]
	for _, a := range q.attempts {
		if q.class.Effect != EffectIdempotent && (a.pending || a.maybeExecuted) {
			w.reportViolation("refused though it may have been executed")
		}
	}
	w.recordFinalAnswer(q)
}
func (w *simulation) Fail(id RequestID) { w.recordFinalAnswer(w.submitted[id]) }
func (w *simulation) recordFinalAnswer(q *simulatedRequest) {
	q.finalAnswers++
	q.ended = true
	if q.finalAnswers > 1 || w.now > max(q.Deadline, w.stalledUntil)+answerGrace {
		w.reportViolation("final answer late or twice")
	}
}
func (w *simulation) Cancel(RequestID, int)                {}
func (w *simulation) SetTimer(_ TimerID, at time.Duration) { w.timers = append(w.timers, at) }
func (w *simulation) Watch(bool)                           {}
func (w *simulation) Fetch()                               {}
func (w *simulation) Log(string)                           {}

func newSimulation(t *testing.T, seed uint64) *simulation {
	w := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 1)), submitted: map[RequestID]*simulatedRequest{},
		now: 100 * time.Second}
	w.cfg = testConfig()
	w.cfg.Seed = seed
	w.cfg.TokensCarried, w.cfg.ListOnRequest = w.rng.IntN(2) == 0, w.rng.IntN(2) == 0
	w.cfg.ParallelAttempts, w.cfg.MayCancel = w.rng.IntN(4) > 0, w.rng.IntN(2) == 0
	w.cfg.IgnoreListedGone, w.cfg.Proxies = w.rng.IntN(2) == 0, []int{0, 2, 40, 200, -3}[w.rng.IntN(5)]
	w.cfg.ListRole, w.cfg.MaxAttempts = ListRole(w.rng.IntN(3)), 1+w.rng.IntN(8)
	for i := 0; i < 9; i++ {
		m := &simulatedMember{id: MemberID(i + 1), group: GroupID(i / 5), role: RoleReplica, lag: 20 * ms,
			state: Ready}
		if i%5 == 0 {
			m.role, m.believedPrimary = RolePrimary, true
		}
		w.members = append(w.members, m)
	}
	w.advance(0)
	router, err := New(w.cfg, w)
	if err != nil {
		t.Fatal(err)
	}
	w.router = router
	w.sendList(ListCached)
	return w
}

func (w *simulation) sendList(kind ListKind) {
	l := List{Kind: kind}
	for _, m := range w.members {
		e := Member{ID: m.id, Group: m.group, State: m.state}
		// In this simulation the list names the current primary or none.
		e.Primary = w.cfg.ListRole != ListRoleNone && m.role == RolePrimary
		m.listedDraining = m.state == Draining || m.listedDraining && m.state != Ready
		if m.state != Gone || kind == ListDelta {
			l.Entries = append(l.Entries, e)
		}
	}
	if kind == ListFull && w.rng.IntN(3) == 0 { // one member that doesn't exist, and one listed twice
		l.Entries = append(l.Entries, Member{ID: 900, Group: 1, State: Ready}, l.Entries[0])
	}
	w.router.MemberList(w.now, l)
}

// injectFault causes replication lag, an unresponsive member, a drain, a change of primary, an empty list
// or a stall of the proxy, or repairs a member.
func (w *simulation) injectFault() {
	m := w.members[w.rng.IntN(len(w.members))]
	switch w.rng.IntN(8) {
	case 6: // the list is empty though no member is gone; valid only with IgnoreListedGone
		if w.cfg.IgnoreListedGone {
			w.router.MemberList(w.now, List{Kind: ListFull})
		}
	case 7:
		w.advance(time.Duration(300+w.rng.IntN(1700)) * ms)
		w.stalledUntil = w.now
	case 0:
		m.lag = time.Duration(w.rng.IntN(3000)) * ms
	case 1:
		m.unresponsive = !m.unresponsive
	case 2:
		m.state = MemberState(w.rng.IntN(3))
		w.sendList(ListDelta)
	case 3, 4:
		m.lag, m.unresponsive, m.state = 15*ms, false, Ready
		w.sendList(ListFull)
	case 5:
		for _, x := range w.members {
			if x.group == m.group && x.role == RolePrimary {
				x.role = RoleReplica
			}
		}
		m.role, m.believedPrimary = RolePrimary, true
	}
}

// randomQueue returns a number of waiting requests as a member may report it, valid or not.
func (w *simulation) randomQueue() float64 {
	return []float64{-1, 0, 0, 0, 3, 1e300, math.NaN(), math.Inf(1)}[w.rng.IntN(8)]
}

func (w *simulation) submit() {
	w.nextID++
	c := w.rng.IntN(len(w.cfg.Classes))
	in := Request{ID: w.nextID, Class: c, Group: GroupID(w.rng.IntN(2)), Session: SessionID(1 + w.rng.IntN(6)),
		Deadline: w.now + w.cfg.Classes[c].ClientTimeout*time.Duration(2+w.rng.IntN(99))/100}
	q := &simulatedRequest{Request: in, class: w.cfg.Classes[c]}
	if q.class.RequiredFreshness == FreshnessSession && w.cfg.TokensCarried && w.rng.IntN(3) > 0 {
		q.TokenAge = time.Duration(1+w.rng.IntN(1500)) * ms
		q.token = w.now - q.TokenAge
	} else if q.class.RequiredFreshness == FreshnessSession && !w.cfg.TokensCarried {
		q.token = w.lastCommits[in.Session]
	}
	w.submitted[q.ID] = q
	w.router.Request(w.now, q.Request)
}

func (w *simulation) endDueAttempts() {
	var remaining []pendingAttempt
	due := w.pending
	w.pending = nil
	for _, f := range due {
		if f.due > w.now {
			remaining = append(remaining, f)
			continue
		}
		w.endAttempt(f)
	}
	w.pending = append(w.pending, remaining...)
}

func (w *simulation) endAttempt(f pendingAttempt) {
	q, a := f.q, &f.q.attempts[f.number]
	m := a.target
	o := Outcome{Request: q.ID, Attempt: f.number, Member: m.id, Took: w.now - a.sentAt}
	switch k := w.rng.IntN(20); {
	case w.now >= q.Deadline || m.unresponsive:
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
			o.Position = w.now
			w.lastCommits[q.Session] = w.now
		}
	}
	o.Answered = q.ended
	w.router.Outcome(w.now, o)
}

func (w *simulation) run(steps int) string {
	w.lastCommits = map[SessionID]time.Duration{}
	for i := 0; i < steps && w.violation == ""; i++ {
		w.advance(time.Duration(1+w.rng.IntN(10)) * ms)
		for len(w.timers) > 0 && w.timers[0] <= w.now {
			w.timers = w.timers[1:]
			w.router.Timer(w.now, tickTimer)
		}
		pendingProbes := w.probes
		w.probes = nil
		for _, id := range pendingProbes {
			m := w.findMember(id)
			p := ProbeResult{Member: id, Took: ms,
				Report: Report{Role: m.role, Position: m.position, Queue: w.randomQueue()}}
			if m.unresponsive {
				p = ProbeResult{Member: id, Result: TimedOut, Took: 250 * ms}
			}
			w.router.ProbeResult(w.now, p)
		}
		w.endDueAttempts()
		if w.rng.IntN(40) == 0 {
			w.injectFault()
		}
		if w.rng.IntN(100) == 0 {
			w.router.MemberList(w.now, List{Kind: ListFailed})
		}
		for n := w.rng.IntN(3); n > 0 && i < steps-1800; n-- {
			w.submit()
		}
		for _, q := range w.submitted {
			if !q.ended && w.now > max(q.Deadline, w.stalledUntil)+answerGrace {
				w.reportViolation("no final answer")
			}
			if q.ended && w.now > q.Deadline+time.Second {
				delete(w.submitted, q.ID)
			}
		}
	}
	if w.violation == "" && len(w.router.requests) != 0 {
		w.reportViolation("requests kept after all have ended")
	}
	return w.violation
}

func TestRulesHoldInRandomRuns(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		w := newSimulation(t, seed)
		if violation := w.run(4000); violation != "" {
			t.Errorf("seed %d: %s at %v", seed, violation, w.now)
		}
		if w.sends < 250 {
			t.Errorf("seed %d: only %d sends, too few to test anything", seed, w.sends)
		}
	}
}

func FuzzRules(f *testing.F) {
	f.Add(uint64(1))
	f.Fuzz(func(t *testing.T, seed uint64) {
		if violation := newSimulation(t, seed).run(3000); violation != "" {
			t.Errorf("seed %d: %s", seed, violation)
		}
	})
}

// TestCheckerDetectsViolations tests the checks of the simulation themselves.
func TestCheckerDetectsViolations(t *testing.T) {
	for want, act := range map[string]func(w *simulation, q *simulatedRequest){
		"sent after the final answer": func(w *simulation, q *simulatedRequest) {
			q.ended = true
			w.Send(q.ID, 1, 0, 0)
		},
		"sent to a draining or gone member": func(w *simulation, q *simulatedRequest) {
			w.members[1].state = Draining
			w.Send(q.ID, 2, 0, 0)
		},
		"sent outside the group": func(w *simulation, q *simulatedRequest) { w.Send(q.ID, 9, 0, 0) },
		"effect may occur twice": func(w *simulation, q *simulatedRequest) {
			q.class.Effect = EffectNonIdempotent
			w.cfg.ParallelAttempts = true
			w.Send(q.ID, 1, 0, 0)
			w.Send(q.ID, 1, 0, 0)
		},
		"stale bounded read": func(w *simulation, q *simulatedRequest) {
			w.members[1].position = w.now - time.Hour
			q.class.RequiredFreshness, q.class.MaxAge = FreshnessBounded, time.Second
			w.Send(q.ID, 2, 0, 0)
		},
		"stale session read": func(w *simulation, q *simulatedRequest) {
			q.class.RequiredFreshness, q.token = FreshnessSession, w.now
			w.Send(q.ID, 2, 0, 0)
		},
		"final answer late or twice": func(w *simulation, q *simulatedRequest) { w.Fail(q.ID); w.Fail(q.ID) },
		"refused though it may have been executed": func(w *simulation, q *simulatedRequest) {
			q.class.Effect = EffectDeduplicated
			w.Send(q.ID, 1, 0, 0)
			w.Refuse(q.ID, 0, RefusedNoTime)
		},
	} {
		w := newSimulation(t, 3)
		q := &simulatedRequest{Request: Request{ID: 1, Group: 0, Deadline: w.now + time.Second},
			class: Class{RequiredFreshness: FreshnessAny, ClientTimeout: time.Second}}
		w.submitted[1] = q
		w.cfg.MaxAttempts = 8
		if act(w, q); w.violation != want {
			t.Errorf("the checker reports %q, want %q", w.violation, want)
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
	if len(r.requests) > 0 || len(r.pins.values) > maxSessionEntries {
		b.Fatalf("%d requests, %d pins kept", len(r.requests), len(r.pins.values))
	}
}

type discardingProxy struct{ printingProxy }

func (discardingProxy) Send(RequestID, MemberID, time.Duration, time.Duration) {}
