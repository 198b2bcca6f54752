package logic

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// fakeProxy records the actions of a router, and delivers the events that a test generates.
type fakeProxy struct {
	t            *testing.T
	router       *Router
	now          time.Duration
	sends        []sentAttempt
	probes       []MemberID
	finalAnswers map[RequestID]string
	retryHints   map[RequestID]time.Duration
	cancels      int
	watches      int
	nextID       RequestID
	timers       []time.Duration
}

// sentAttempt is one recorded call of Send.
type sentAttempt struct {
	id       RequestID
	number   int
	to       MemberID
	sentAt   time.Duration
	notAfter time.Duration
}

func (f *fakeProxy) Send(id RequestID, to MemberID, _, notAfter time.Duration) {
	n := 0
	for _, s := range f.sends {
		if s.id == id {
			n++
		}
	}
	f.sends = append(f.sends, sentAttempt{id, n, to, f.now, notAfter})
}
func (f *fakeProxy) Probe(to MemberID) { f.probes = append(f.probes, to) }
func (f *fakeProxy) Refuse(id RequestID, retryAfter time.Duration, _ Refusal) {
	f.recordFinalAnswer(id, "refused")
	f.retryHints[id] = retryAfter
}
func (f *fakeProxy) Fail(id RequestID) { f.recordFinalAnswer(id, "failed") }
func (f *fakeProxy) recordFinalAnswer(id RequestID, answer string) {
	if previous := f.finalAnswers[id]; previous != "" {
		f.t.Errorf("request %d: %s after %s", id, answer, previous)
	}
	f.finalAnswers[id] = answer
}
func (f *fakeProxy) Cancel(RequestID, int)                { f.cancels++ }
func (f *fakeProxy) SetTimer(_ TimerID, at time.Duration) { f.timers = append(f.timers, at) }
func (f *fakeProxy) Watch(bool)                           { f.watches++ }
func (f *fakeProxy) Fetch()                               {}
func (f *fakeProxy) Log(string)                           {}

// The classes of the tests' configuration.
const (
	classBounded = iota
	classSession
	classAny
	classDeduplicated
	classNonIdempotent
	classLatest
)

func testConfig() Config {
	return Config{Seed: 7, Proxies: 2, Tick: 5 * ms, Classes: []Class{
		{Name: "bounded", RequiredFreshness: FreshnessBounded, MaxAge: 800 * ms,
			TargetLatency: 500 * ms, ClientTimeout: 1500 * ms, Worth: 1},
		{Name: "session", RequiredFreshness: FreshnessSession,
			TargetLatency: 400 * ms, ClientTimeout: 1000 * ms, Worth: 1},
		{Name: "any", RequiredFreshness: FreshnessAny,
			TargetLatency: 4 * time.Second, ClientTimeout: 8 * time.Second, Worth: 6},
		{Name: "deduplicated", RequiredFreshness: FreshnessWrite, Effect: EffectDeduplicated,
			DedupScope: KeyScopeCell, DedupWindow: 1200 * ms,
			TargetLatency: 1500 * ms, ClientTimeout: 2 * time.Second, Worth: 4},
		{Name: "non-idempotent", RequiredFreshness: FreshnessWrite, Effect: EffectNonIdempotent,
			TargetLatency: 500 * ms, ClientTimeout: 5 * time.Second, Worth: 3},
		{Name: "latest", RequiredFreshness: FreshnessLatest,
			TargetLatency: 500 * ms, ClientTimeout: 2 * time.Second, Worth: 1},
	}, MayProbe: true, MayCancel: true, ParallelAttempts: true, MaySendRetryAfter: true, MaxAttempts: 8,
		MaxRetryAfter: 500 * ms, ColdDuration: 16 * time.Second,
		ColdCapacity: 0.16, OverloadMultiple: 3}
}

func newFakeProxy(t *testing.T, cfg Config) *fakeProxy {
	t.Helper()
	f := &fakeProxy{t: t, now: 1000 * time.Second, finalAnswers: map[RequestID]string{},
		retryHints: map[RequestID]time.Duration{}}
	router, err := New(cfg, f)
	if err != nil {
		t.Fatal(err)
	}
	f.router = router
	return f
}

// newSettledProxy lists n members, of which 1 is the primary, and answers the first probes.
func newSettledProxy(t *testing.T, cfg Config, n int) *fakeProxy {
	t.Helper()
	f := newFakeProxy(t, cfg)
	f.updateList(ListCached, n)
	f.advance(20 * ms)
	return f
}

func newEntry(id int) Member { return Member{ID: MemberID(id), Group: 0, State: Ready} }

func (f *fakeProxy) updateList(kind ListKind, n int) {
	var l List
	l.Kind = kind
	for i := 1; i <= n; i++ {
		l.Entries = append(l.Entries, newEntry(i))
	}
	f.router.MemberList(f.now, l)
}

// advance lets time pass and answers probes, except those of the unresponsive members: member 1 answers
// as the primary, all others as replicas that are 10 ms behind.
func (f *fakeProxy) advance(d time.Duration, unresponsive ...MemberID) {
	for end := f.now + d; f.now < end; {
		f.now += 10 * ms
		f.router.Timer(f.now, tickTimer)
		f.answerProbes(unresponsive...)
	}
}

func (f *fakeProxy) answerProbes(unresponsive ...MemberID) {
	pendingProbes := f.probes
	f.probes = nil
	for _, m := range pendingProbes {
		if slices.Contains(unresponsive, m) {
			continue
		}
		report := Report{Role: RoleReplica, Position: f.now - 10*ms}
		if m == 1 {
			report = Report{Role: RolePrimary, Position: f.now}
		}
		f.router.ProbeResult(f.now, ProbeResult{Member: m, Took: ms, Report: report})
	}
}

func (f *fakeProxy) submit(class int, session SessionID) RequestID {
	f.nextID++
	f.router.Request(f.now, Request{ID: f.nextID, Class: class, Session: session,
		Deadline: f.now + f.router.cfg.Classes[class].ClientTimeout})
	return f.nextID
}

// lastSend returns a request's newest attempt.
func (f *fakeProxy) lastSend(id RequestID) (sentAttempt, bool) {
	for _, s := range slices.Backward(f.sends) {
		if s.id == id {
			return s, true
		}
	}
	return sentAttempt{}, false
}

func (f *fakeProxy) mustBeSent(id RequestID) sentAttempt {
	f.t.Helper()
	s, ok := f.lastSend(id)
	if !ok {
		f.t.Fatalf("request %d was not sent; its final answer is %q", id, f.finalAnswers[id])
	}
	return s
}

func (f *fakeProxy) sendCount(id RequestID) (n int) {
	for _, s := range f.sends {
		if s.id == id {
			n++
		}
	}
	return n
}

// end delivers the outcome of an attempt, with the role and position that the member would report.
func (f *fakeProxy) end(s sentAttempt, result Result) {
	o := Outcome{Request: s.id, Attempt: s.number, Member: s.to, Result: result, Took: f.now - s.sentAt,
		Answered: result == OK}
	if result == OK || result == Miss || result == Failed || result == Full {
		o.Role, o.Position = RoleReplica, f.now-10*ms
		if s.to == 1 {
			o.Role, o.Position = RolePrimary, f.now
		}
	}
	if result == OK {
		f.finalAnswers[s.id] = "served"
	}
	f.router.Outcome(f.now, o)
}

func (f *fakeProxy) serve(id RequestID, took time.Duration) sentAttempt {
	f.t.Helper()
	s := f.mustBeSent(id)
	f.now += took
	f.end(s, OK)
	return s
}

func (f *fakeProxy) wantFinalAnswer(id RequestID, want string) {
	f.t.Helper()
	if got := f.finalAnswers[id]; got != want {
		f.t.Errorf("request %d: final answer %q, want %q", id, got, want)
	}
}

func ExampleRouter() {
	// The proxy implements Actions; this one prints what it is asked to send.
	r, err := New(Config{Seed: 1, Tick: ms,
		Classes: []Class{{Name: "lookup", RequiredFreshness: FreshnessAny,
			TargetLatency: 100 * ms, ClientTimeout: time.Second}}}, printingProxy{})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	r.MemberList(now, List{Kind: ListFull, Entries: []Member{{ID: 42, Group: 3, State: Ready}}})
	r.Request(now, Request{ID: 1, Class: 0, Group: 3, Deadline: now + time.Second})
	// Output: send request 1 to member 42
}

type printingProxy struct{}

func (printingProxy) Send(id RequestID, to MemberID, _, notAfter time.Duration) {
	fmt.Printf("send request %d to member %d\n", id, to)
}
func (printingProxy) Probe(MemberID)                           {}
func (printingProxy) Refuse(RequestID, time.Duration, Refusal) {}
func (printingProxy) Fail(RequestID)                           {}
func (printingProxy) Cancel(RequestID, int)                    {}
func (printingProxy) SetTimer(TimerID, time.Duration)          {}
func (printingProxy) Watch(bool)                               {}
func (printingProxy) Fetch()                                   {}
func (printingProxy) Log(string)                               {}

var _ Events = (*Router)(nil)
