package logic

import (
	"strings"
	"testing"
	"time"
)

// An invalid configuration must be rejected at the start, with an error that names the field.
func TestNewNamesInvalidField(t *testing.T) {
	for want, invalidate := range map[string]func(*Config){
		"Config.Classes is empty":             func(c *Config) { c.Classes = nil },
		"Config.Tick":                         func(c *Config) { c.Tick = 0 },
		"Config.ColdCapacity":                 func(c *Config) { c.ColdCapacity = 2 },
		"Classes[0] (bounded)":                func(c *Config) { c.Classes[0].MaxAge = 0 },
		"Classes[1] (session)":                func(c *Config) { c.Classes[1].TargetLatency = 0 },
		"needs DedupWindow":                   func(c *Config) { c.Classes[3].DedupWindow = 0 },
		"unknown RequiredFreshness or Effect": func(c *Config) { c.Classes[2].RequiredFreshness = 99 },
	} {
		cfg := testConfig()
		invalidate(&cfg)
		if _, err := New(cfg, printingProxy{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("New: %v, want an error with %q", err, want)
		}
	}
}

// Reads that replicas may serve would load the primary, and writes or latest reads at a replica would fail
// or be stale.
func TestPrimaryOrReplicaByClass(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 4)
	for i := 0; i < 40; i++ {
		for _, c := range []int{classBounded, classSession, classAny} {
			if s := f.serve(f.submit(c, 0), ms); s.to == 1 {
				t.Fatalf("class %d went to the primary though replicas are fresh enough", c)
			}
		}
		for _, c := range []int{classDeduplicated, classNonIdempotent, classLatest} {
			if s := f.serve(f.submit(c, 0), ms); s.to != 1 {
				t.Fatalf("class %d went to member %d, not the primary", c, s.to)
			}
		}
		f.advance(50 * ms)
	}
}

// Reads must be spread evenly over the replicas within the RTT window, and a distant one must get none.
func TestRTTWindow(t *testing.T) {
	f := newFakeProxy(t, testConfig())
	f.updateList(ListCached, 4)
	f.now += 10 * ms
	f.router.Timer(f.now, tickTimer)
	for m, rtt := range map[MemberID]time.Duration{1: ms, 2: ms, 3: 15 * ms, 4: 40 * ms} {
		report := Report{Role: RoleReplica, Position: f.now}
		if m == 1 {
			report.Role = RolePrimary
		}
		f.router.ProbeResult(f.now, ProbeResult{Member: m, Took: rtt, Report: report})
	}
	seen := map[MemberID]int{}
	for i := 0; i < 60; i++ {
		seen[f.serve(f.submit(classSession, 0), 0).to]++
	}
	if seen[4] != 0 || seen[2] < 15 || seen[3] < 15 {
		t.Errorf("sends by member %v: want 2 and 3 alike, and none at 4, outside the RTT window", seen)
	}
}

// The reads of a session would see older data than before if they changed replicas. After a change of primary
// the pins are void.
func TestPinsHoldUntilPrimaryChanges(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 6)
	first := f.serve(f.submit(classSession, 5), 10*ms).to
	for i := 0; i < 20; i++ {
		if s := f.serve(f.submit(classSession, 5), 10*ms); s.to != first {
			t.Fatalf("read %d went to member %d, but is pinned to %d", i, s.to, first)
		}
	}
	// Another member reports that it is the primary now, which invalidates the pin.
	other := MemberID(2)
	if first == other {
		other = 3
	}
	f.now += 10 * ms
	f.router.updateRoleAndPosition(f.router.members[other], RolePrimary, f.now, f.now, f.now)
	moved := false
	for i := SessionID(0); i < 12; i++ {
		moved = moved || f.serve(f.submit(classSession, 5), ms).to != first
		f.router.groups[0].term++ // simulates another change of primary
	}
	if !moved {
		t.Error("the session stayed with its old replica through twelve changes of primary")
	}
}

// A session's read would miss the session's own write at a replica that is behind. It goes to the primary
// until replicas report later positions.
func TestSessionReadSeesItsWrites(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	write := f.mustBeSent(f.submit(classDeduplicated, 9))
	f.now += 20 * ms
	f.router.Outcome(f.now, Outcome{Request: write.id, Member: 1, Result: OK, Answered: true, Role: RolePrimary,
		Position: f.now})
	if s := f.mustBeSent(f.submit(classSession, 9)); s.to != 1 {
		t.Errorf("the read went to replica %d, which is not known to have the write", s.to)
	}
	f.advance(300 * ms)
	f.submit(classBounded, 0) // bounded reads make probes frequent
	f.advance(1200 * ms)
	if s := f.mustBeSent(f.submit(classSession, 9)); s.to == 1 {
		t.Error("the read still goes to the primary though replicas report later positions")
	}
}

// The answer to a write may be on its way, or lost after the commit. A read of the same session that is
// sent meanwhile, or after an outcome that proves nothing, must go to a member that is certain to have
// the write.
func TestSessionReadSeesPendingWrites(t *testing.T) {
	for _, end := range []Result{TimedOut, Reset, Failed, Cancelled} {
		f := newSettledProxy(t, testConfig(), 3)
		write := f.mustBeSent(f.submit(classNonIdempotent, 9))
		if s := f.serve(f.submit(classSession, 9), ms); s.to == 1 {
			t.Error("a write pending for less than commitKnownAfter keeps reads from the replicas")
		}
		f.now += commitKnownAfter // the positions that replicas have reported are too old now
		if s := f.serve(f.submit(classSession, 9), ms); s.to != 1 {
			t.Errorf("while the write is pending its session's read goes to replica %d", s.to)
		}
		if s := f.serve(f.submit(classSession, 8), ms); s.to == 1 {
			t.Error("another session's read goes to the primary")
		}
		f.now += 20 * ms
		f.end(write, end)
		if s := f.serve(f.submit(classSession, 9), ms); s.to != 1 {
			t.Errorf("after result %d, which proves nothing, the read goes to replica %d", end, s.to)
		}
		f.advance(300 * ms)
		f.submit(classBounded, 0) // bounded reads make probes frequent
		f.advance(1200 * ms)
		if s := f.serve(f.submit(classSession, 9), ms); s.to == 1 {
			t.Error("the read still goes to the primary though replicas report later positions")
		}
	}
	f := newSettledProxy(t, testConfig(), 3)
	for write := f.submit(classNonIdempotent, 9); f.finalAnswers[write] == ""; {
		f.end(f.mustBeSent(write), Full)
	}
	if s := f.serve(f.submit(classSession, 9), ms); s.to == 1 {
		t.Error("a write that was never executed keeps its session's reads from the replicas")
	}
	if len(f.router.openWrites) != 0 {
		t.Errorf("%d sessions still count as having open writes", len(f.router.openWrites))
	}
}

// The age of a bounded read's data counts from its sending, which a new connection may delay.
func TestBoundedReadIsSentWhileDataIsFresh(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	s := f.mustBeSent(f.submit(classBounded, 0))
	m, bound := f.router.members[s.to], f.router.cfg.Classes[classBounded].MaxAge
	if s.to == 1 || s.notAfter != m.position+bound {
		t.Errorf("the read at %d may be sent until %v, its data is fresh enough until %v",
			s.to, s.notAfter, m.position+bound)
	}
	if s := f.mustBeSent(f.submit(classLatest, 0)); s.to != 1 || s.notAfter != 0 {
		t.Errorf("a read at the primary may be sent until %v, want no limit: its data is current", s.notAfter)
	}
}

// A session whose commit was evicted from the full cache would read stale data if it counted as having none.
func TestEvictedCommitsBecomeLowerBound(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 2)
	for i := 0; i <= maxSessionEntries; i++ {
		f.router.recordCommit(SessionID(i+1), f.now+time.Duration(i), f.now)
	}
	if got := f.router.sessionToken(f.now, &Request{Session: 1}); got != f.now {
		t.Errorf("the token of an evicted session is %v, want the newest evicted commit %v", got, f.now)
	}
	if n := f.router.commits.Len(); n != maxSessionEntries {
		t.Errorf("%d commits kept, want %d", n, maxSessionEntries)
	}
}

// With carried tokens, a read must see the commit that its request names, and must not go to the primary
// if replicas have that commit.
func TestCarriedToken(t *testing.T) {
	cfg := testConfig()
	cfg.TokensCarried = true
	f := newSettledProxy(t, cfg, 3)
	send := func(age time.Duration) MemberID {
		f.nextID++
		f.router.Request(f.now, Request{ID: f.nextID, Class: classSession, Session: 4, TokenAge: age,
			Deadline: f.now + time.Second})
		return f.mustBeSent(f.nextID).to
	}
	if to := send(5 * ms); to != 1 {
		t.Errorf("a read 5 ms after its write went to %d; replicas are 10 ms behind", to)
	}
	if to := send(500 * ms); to == 1 {
		t.Error("a read 500 ms after its write went to the primary")
	}
}

// A write without a known primary would wait until its deadline, or go to a replica. It is refused with a
// retry-after hint.
func TestWriteIsRefusedWithoutKnownPrimary(t *testing.T) {
	f := newFakeProxy(t, testConfig())
	f.updateList(ListCached, 3)
	f.advance(20*ms, 1)
	f.now += 400 * ms
	f.router.Timer(f.now, tickTimer)
	id := f.submit(classNonIdempotent, 3)
	f.wantFinalAnswer(id, "refused")
	if f.sendCount(id) != 0 || f.retryHints[id] == 0 {
		t.Errorf("%d sends and retry-after hint %v, want no send and a hint", f.sendCount(id), f.retryHints[id])
	}
}

// A new router knows no role and no position. Requests that arrive before the first probes are answered must
// wait, and not be refused or misrouted.
func TestNewRouterWaitsForFirstProbes(t *testing.T) {
	f := newFakeProxy(t, testConfig())
	f.updateList(ListCached, 3)
	write, read := f.submit(classNonIdempotent, 1), f.submit(classBounded, 0)
	if len(f.sends) != 0 || len(f.finalAnswers) != 0 {
		t.Fatalf("sends %v, final answers %v before any probe was answered", f.sends, f.finalAnswers)
	}
	f.advance(20 * ms)
	if s := f.mustBeSent(write); s.to != 1 {
		t.Errorf("the waiting write went to %d", s.to)
	}
	f.mustBeSent(read)
}

// After a failover the old primary rejects writes because it is a replica. It would get every further write
// until its next probe.
func TestMissOnWriteDemotesPrimary(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	s := f.mustBeSent(f.submit(classNonIdempotent, 1))
	f.now += 2 * ms
	f.router.Outcome(f.now, Outcome{Request: s.id, Member: s.to, Result: Miss, Role: RoleReplica,
		Position: f.now - 10*ms})
	f.wantFinalAnswer(s.id, "refused")
	id := f.submit(classNonIdempotent, 1)
	f.wantFinalAnswer(id, "refused")
	if f.sendCount(id) != 0 {
		t.Error("a write was sent to a member that had just rejected one because it is a replica")
	}
}

// A retry may execute a request twice if the first attempt may have been executed. Whether there is a retry,
// and whether the final answer is refused or failed, depends on effect and result.
func TestRetriesByEffectAndResult(t *testing.T) {
	for _, c := range []struct {
		class  int
		result Result
		sends  int
		final  string
	}{
		{classNonIdempotent, TimedOut, 1, "failed"},
		{classNonIdempotent, Failed, 1, "failed"},
		{classNonIdempotent, Full, 3, "refused"},
		{classDeduplicated, Failed, 3, "failed"},
		{classBounded, Failed, 3, "refused"},
	} {
		f := newSettledProxy(t, testConfig(), 4)
		id := f.submit(c.class, 1)
		for i := 0; i < 5 && f.finalAnswers[id] == ""; i++ {
			f.now += 5 * ms
			f.end(f.mustBeSent(id), c.result)
		}
		if f.finalAnswers[id] != c.final || f.sendCount(id) != c.sends {
			t.Errorf("class %d after %d: %d sends and %q, want %d and %q",
				c.class, c.result, f.sendCount(id), f.finalAnswers[id], c.sends, c.final)
		}
	}
}

// After the dedup window a member no longer recognizes a duplicate, and a retry may cause the effect twice.
func TestNoDeduplicatedRetryAfterDedupWindow(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	id := f.submit(classDeduplicated, 1)
	f.advance(1195 * ms)
	f.end(f.mustBeSent(id), Failed)
	if f.sendCount(id) != 1 {
		t.Error("a deduplicated write was repeated after its dedup window")
	}
	f.wantFinalAnswer(id, "failed")
}

// Reads at a member that stopped answering would end at their deadlines. If it doesn't answer a probe
// either, it gets no more requests, and its pending reads are sent elsewhere too (hedged requests).
func TestReadsMoveFromUnresponsiveMember(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 4)
	var stuck []RequestID
	for i := 0; i < 30; i++ {
		id := f.submit(classBounded, 0)
		if f.mustBeSent(id).to == 2 {
			stuck = append(stuck, id)
		} else {
			f.serve(id, 0)
		}
	}
	if len(stuck) == 0 {
		t.Fatal("no read went to member 2")
	}
	f.advance(700*ms, 2)
	for _, id := range stuck {
		if f.sendCount(id) != 2 || f.mustBeSent(id).to == 2 {
			t.Errorf("read %d: %d sends, the last to %d; want a second one elsewhere",
				id, f.sendCount(id), f.mustBeSent(id).to)
		}
	}
	for i := 0; i < 30; i++ {
		if s := f.serve(f.submit(classAny, 0), 0); s.to == 2 {
			t.Fatal("a read went to the unresponsive member")
		}
	}
}

// A probe that the proxy could not send, because it had no room for a connection, says nothing about the
// member.
func TestUnsentProbeIsNoFailure(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	f.probes = nil
	for len(f.probes) == 0 { // until probes are due
		f.now += 10 * ms
		f.router.Timer(f.now, tickTimer)
	}
	for _, m := range f.probes {
		f.router.ProbeResult(f.now, ProbeResult{Member: m, Result: NotSent})
	}
	f.serve(f.submit(classAny, 0), 0)
	if s := f.serve(f.submit(classNonIdempotent, 1), 0); s.to != 1 {
		t.Errorf("the write went to %d, want the primary", s.to)
	}
}

// Writes to a primary that doesn't answer probes would time out, and could not be retried then.
func TestWritesAreRefusedIfPrimaryIsUnresponsive(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	f.advance(1500*ms, 1)
	id := f.submit(classNonIdempotent, 1)
	f.wantFinalAnswer(id, "refused")
	if f.sendCount(id) != 0 {
		t.Error("a write was sent to an unresponsive primary")
	}
}

// A member whose attempts fail quickly never looks busy, and would keep its share of the requests. As an
// outlier it is ejected, and then gets one trial request at a time.
func TestFastFailingMemberIsEjected(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 4)
	sends := 0
	for i := 0; i < 200; i++ {
		id := f.submit(classAny, 0)
		for f.finalAnswers[id] == "" {
			if s := f.mustBeSent(id); s.to == 3 {
				sends++
				f.end(s, Failed)
			} else {
				f.end(s, OK)
			}
		}
		f.advance(10 * ms)
	}
	if sends > 12 {
		t.Errorf("the failing member got %d of 200 reads", sends)
	}
}

// A member that answers probes fast but requests late looks healthy to probes. Its adaptive concurrency
// limit must shrink, so that the others get most of the requests.
func TestSlowMemberGetsFewerRequests(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 4)
	type pendingAttempt struct {
		s   sentAttempt
		due time.Duration
	}
	var inFlight []pendingAttempt
	got := map[MemberID]int{}
	for i := 0; i < 1500; i++ {
		id := f.submit(classBounded, 0)
		if s, ok := f.lastSend(id); ok {
			took := 60 * ms
			if s.to == 3 {
				took = 600 * ms
			}
			inFlight = append(inFlight, pendingAttempt{s, f.now + took})
			if i > 500 {
				got[s.to]++
			}
		}
		f.advance(10 * ms)
		var remaining []pendingAttempt
		for _, a := range inFlight {
			if a.due <= f.now {
				f.end(a.s, OK)
			} else {
				remaining = append(remaining, a)
			}
		}
		inFlight = remaining
	}
	if got[3]*4 > got[2] || got[3] == 0 {
		t.Errorf("sends by member %v: want fewer than a quarter of member 2's at member 3, but some", got)
	}
}

// Long reads stall log replay, and spread over all replicas would make all too stale for bounded reads. From
// the first one on they go to the replica furthest behind.
func TestLongReadsGoToReplicaFurthestBehind(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 5)
	for i := 0; i < 300; i++ { // so that long reads are a small part of the work
		f.serve(f.submit(classSession, 0), 100*ms)
	}
	first := f.mustBeSent(f.submit(classAny, 0)).to
	if again := f.mustBeSent(f.submit(classAny, 0)).to; again != first {
		t.Errorf("the first long reads went to %d and %d, so that two replicas stall", first, again)
	}
	f.router.members[4].position = f.now - 3*time.Second
	for i := 0; i < 2; i++ {
		if s := f.mustBeSent(f.submit(classAny, 0)); s.to != 4 {
			t.Errorf("a long read went to %d, not to the replica furthest behind", s.to)
		}
	}
	f.router.members[4].inFlightLimit = 0 // overloaded: the others must not be stalled all the same
	id := f.submit(classAny, 0)
	f.wantFinalAnswer(id, "refused")
}

// Reads sent to a member that the list shows as draining or gone would be rejected or lost.
func TestListedDrainStopsReads(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	for i, state := range []MemberState{Draining, Gone} {
		e := newEntry(2 + i)
		e.State = state
		f.router.MemberList(f.now, List{Kind: ListDelta, Entries: []Member{e}})
		for j := 0; j < 20; j++ {
			if s := f.serve(f.submit(classBounded, 0), 0); int(s.to) == 2+i {
				t.Fatalf("a read went to a member in state %d", state)
			}
		}
	}
}

// A restarted member has little capacity at first, and an equal share of the requests would overload it. With
// slow start it gets far fewer than the others, but some.
func TestColdMemberIsWarmedUpSlowly(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 5)
	for i := 0; i < 100; i++ {
		f.serve(f.submit(classBounded, 0), 10*ms)
		f.advance(10 * ms)
	}
	e := newEntry(3)
	e.StartedAt = f.now
	f.router.MemberList(f.now, List{Kind: ListDelta, Entries: []Member{e}})
	got := map[MemberID]int{}
	for i := 0; i < 300; i++ {
		got[f.serve(f.submit(classBounded, 0), 5*ms).to]++
		f.advance(10 * ms)
	}
	if got[3]*2 > got[2] || got[3] == 0 {
		t.Errorf("sends by member %v: want fewer than half of member 2's at member 3, the cold one, but some", got)
	}
}

// Pinned reads also count against the budget of a cold member, because many of them would overload it.
func TestPinnedReadsDoNotOverloadColdMember(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 5)
	pinned := f.serve(f.submit(classSession, 9), 10*ms).to
	e := newEntry(int(pinned))
	e.StartedAt = f.now
	f.router.MemberList(f.now, List{Kind: ListDelta, Entries: []Member{e}})
	f.advance(20 * ms)
	for i := range 20 {
		id := f.submit(classSession, 9)
		if s, ok := f.lastSend(id); ok && s.to == pinned {
			t.Fatalf("read %d of the session went to the cold member", i)
		}
		f.serve(id, 0)
	}
}

// Events for unknown requests, members or timers, duplicate outcomes and members removed during an attempt
// must neither crash the router nor leave state behind.
func TestUnusualEvents(t *testing.T) {
	cfg := testConfig()
	cfg.ListOnRequest = true
	f := newFakeProxy(t, cfg)
	f.router.Outcome(f.now, Outcome{Request: 99, Result: OK})
	f.router.Abandoned(f.now, 99)
	f.router.AnswerStarted(f.now, 99, 0)
	f.router.Timer(f.now, 12345)
	f.router.ProbeResult(f.now, ProbeResult{Member: 77})
	f.router.MemberList(f.now, List{Kind: ListFailed})
	f.updateList(ListFull, 3)
	f.advance(400 * ms)
	f.nextID++
	f.router.Request(f.now, Request{ID: f.nextID, Class: classAny, Group: 8, Deadline: f.now + time.Second})
	f.wantFinalAnswer(f.nextID, "refused") // a group without members
	f.nextID++
	f.router.Request(f.now, Request{ID: f.nextID, Class: 1000, Deadline: f.now + time.Second})
	f.wantFinalAnswer(f.nextID, "failed")
	s := f.mustBeSent(f.submit(classBounded, 0))
	f.router.MemberList(f.now, List{Kind: ListFull, Entries: []Member{newEntry(1)}}) // the read's member is gone
	f.end(s, OK)
	f.end(s, OK)
	f.router.MemberList(f.now, List{Kind: ListFull, Entries: []Member{newEntry(1)}})
	if len(f.router.requests) != 0 || len(f.router.orderedMembers) != 1 {
		t.Errorf("%d requests and %d members kept, want 0 and 1",
			len(f.router.requests), len(f.router.orderedMembers))
	}
}

// Failed list calls are repeated after a pause, which must be short enough that a change is known within
// six seconds; with a local agent, where calls cost nobody else anything, within the notice of a draining
// member.
func TestFailedListCallsAreRepeatedWithPauses(t *testing.T) {
	for _, c := range []struct {
		agent       bool
		least, most time.Duration
	}{{false, 250 * ms, 760 * ms}, {true, 20 * ms, 110 * ms}} {
		cfg := testConfig()
		cfg.ListOnRequest, cfg.LocalAgent = true, c.agent
		f := newFakeProxy(t, cfg)
		f.router.MemberList(f.now, List{Kind: ListFailed})
		for failed, i := f.now, 0; i < 1000; i++ {
			before := f.watches
			f.now += 10 * ms
			f.router.Timer(f.now, tickTimer)
			if f.watches == before {
				continue
			}
			if pause := f.now - failed; pause < c.least || pause > c.most {
				t.Errorf("agent %v: a call %v after the last one failed, want %v to %v",
					c.agent, pause, c.least, c.most)
			}
			f.router.MemberList(f.now, List{Kind: ListFailed})
			failed = f.now
		}
		if least := int(10 * time.Second / c.most); f.watches < least {
			t.Errorf("agent %v: %d calls in 10 s, want %d at least", c.agent, f.watches, least)
		}
	}
}

// A primary that answers probes but no requests would keep getting writes, which end at their deadlines. Its
// attempts count as failed once they are far past their time, so that it is ejected until it answers again.
func TestMemberThatAnswersOnlyProbesIsEjected(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	var writes []RequestID
	for i := 0; i < 3; i++ {
		writes = append(writes, f.submit(classNonIdempotent, 1))
		f.mustBeSent(writes[i])
	}
	f.advance(400 * ms)
	if id := f.submit(classNonIdempotent, 1); f.sendCount(id) != 1 {
		t.Fatal("refused before the target latency had passed")
	}
	f.advance(700 * ms)
	id := f.submit(classNonIdempotent, 1)
	f.wantFinalAnswer(id, "refused")
	if f.sendCount(id) != 0 {
		t.Error("a write was sent to a primary that has answered none for longer than the target latency")
	}
	for _, write := range writes {
		f.end(f.mustBeSent(write), OK)
	}
	f.advance(2 * time.Second)
	if id := f.submit(classNonIdempotent, 1); f.sendCount(id) != 1 {
		t.Error("still refused after the primary answered")
	}
}

// When limits are reached, the class with the least worth for its work is shed first; below the limits
// none is.
func TestLeastValuableClassIsShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Classes[classBounded].Worth = 0.1 // a session read takes the same work and is worth ten times as much
	f := newSettledProxy(t, cfg, 4)
	for _, m := range f.router.orderedMembers {
		m.inFlightLimit = 10
	}
	countRefused := func(class, n int) (refused int) {
		for i := 0; i < n; i++ {
			if f.finalAnswers[f.submit(class, 0)] == "refused" {
				refused++
			}
		}
		return refused
	}
	if n := countRefused(classBounded, 6); n != 0 {
		t.Errorf("%d of 6 refused though members have room", n)
	}
	if n := countRefused(classBounded, 40); n < 20 {
		t.Errorf("%d of 40 low-value reads refused, want most", n)
	}
	if n := countRefused(classSession, 10); n != 0 {
		t.Errorf("%d of 10 high-value reads refused though room is reserved for them", n)
	}
}

// If clients that leave early did not count, the fast answers alone would hide the overload of a member.
func TestAbandonedRequestsReduceLimit(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 2)
	m := f.router.members[2]
	before := m.inFlightLimit
	for i := 0; i < 40; i++ {
		id := f.submit(classBounded, 0)
		if f.sendCount(id) == 0 {
			continue
		}
		f.advance(150 * ms)
		if i%3 == 0 {
			f.end(f.mustBeSent(id), OK)
		} else {
			f.router.Abandoned(f.now, id)
			f.finalAnswers[id] = "abandoned"
			f.end(f.mustBeSent(id), Cancelled)
		}
		f.answerProbes()
	}
	if m.inFlightLimit > before/3 {
		t.Errorf("limit %.1f of %.1f after two thirds of the clients left", m.inFlightLimit, before)
	}
}

// Under overload, requests of a tenant over its quota are shed before those of tenants within theirs.
func TestRequestsOverQuotaAreShedFirst(t *testing.T) {
	cfg := testConfig()
	cfg.Tenants, cfg.OverQuotaWorth = []Tenant{{Name: "a", Quota: 20}, {Name: "b", Quota: 20}}, 0.1
	f := newSettledProxy(t, cfg, 4)
	refused := map[int]int{}
	submitMany := func(tenant, n int) {
		for i := 0; i < n; i++ {
			f.nextID++
			f.router.Request(f.now, Request{ID: f.nextID, Class: classSession, Tenant: tenant,
				Deadline: f.now + time.Second})
			if f.finalAnswers[f.nextID] == "refused" {
				refused[tenant]++
			}
		}
	}
	for _, m := range f.router.orderedMembers {
		m.inFlightLimit = 10
	}
	submitMany(0, 40)
	submitMany(1, 8)
	if refused[0] < 15 || refused[1] > 0 {
		t.Errorf("refused by tenant %v, want most of tenant 0's over its quota and none of tenant 1's", refused)
	}
}

// Failures that affect all members alike, here resets of two fifths of the first attempts, would eject all
// members if each was judged alone: failures of a part of the attempts would become refusals of all.
func TestFailuresOfAllMembersEjectNone(t *testing.T) {
	f, ejected := newSettledProxy(t, testConfig(), 6), 0
	for i := 0; i < 600; i++ {
		id := f.submit(classSession, 0)
		for n := 0; f.finalAnswers[id] == ""; n++ {
			res := OK
			if (i+n)%5 < 2 && n == 0 { // two fifths of the first attempts are reset
				res = Reset
			}
			f.end(f.mustBeSent(id), res)
		}
		f.advance(10 * ms)
		for _, m := range f.router.orderedMembers[1:] {
			if i > 100 && !f.router.usable(m, f.now) {
				ejected++
			}
		}
	}
	if ejected > 60 {
		t.Errorf("replicas were found ejected %d times in 500 requests", ejected)
	}
}

// Long reads may use only a fraction of their replica's limit; at the full limit most would time out there.
func TestLongReadsLeaveRoomAtTheirReplica(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 5)
	for i := 0; i < 300; i++ {
		f.serve(f.submit(classSession, 0), 100*ms)
	}
	for _, m := range f.router.orderedMembers {
		m.inFlightLimit = 4
	}
	sent := 0
	for i := 0; i < 5; i++ {
		sent += f.sendCount(f.submit(classAny, 0))
	}
	if sent == 0 || sent >= 4 {
		t.Errorf("%d long reads sent at a limit of 4, want some and room left", sent)
	}
}

// The list names a new primary, but the old one's own claim is newer; then the new one reports its role
// itself.
func TestNewestPrimaryClaimWins(t *testing.T) {
	cfg := testConfig()
	cfg.ListRole = ListRoleLate
	f := newSettledProxy(t, cfg, 3)
	named := newEntry(2)
	named.Primary = true
	f.router.members[2].role, f.router.members[2].roleAt = RoleUnknown, 0
	f.router.MemberList(f.now, List{Kind: ListDelta, Entries: []Member{named}})
	if s := f.serve(f.submit(classLatest, 0), ms); s.to != 1 {
		t.Fatalf("a late list overrode member 1's newer report: sent to %d", s.to)
	}
	f.now += 5 * ms
	f.router.updateRoleAndPosition(f.router.members[2], RolePrimary, f.now, f.now, f.now)
	if s := f.mustBeSent(f.submit(classLatest, 0)); s.to != 2 {
		t.Errorf("sent to %d, though member 2's report is the newest", s.to)
	}
}
