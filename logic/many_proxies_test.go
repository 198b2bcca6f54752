package logic

import (
	"testing"
	"time"
)

// The tests in this file are for a proxy that is one of many and gets little traffic. Each names the
// failure that it guards against.

func manyProxiesConfig() Config {
	cfg := testConfig()
	cfg.Proxies = 170
	return cfg
}

// countProbes lets time pass and returns the number of probes, which it answers. It calls each twice per
// second.
func (f *fakeProxy) countProbes(d time.Duration, each func()) (n int) {
	for end := f.now + d; f.now < end; {
		for i := 0; i < 50; i++ {
			f.now += 10 * ms
			f.router.Timer(f.now, tickTimer)
			n += len(f.probes)
			f.answerProbes()
		}
		each()
		n += len(f.probes)
		f.answerProbes()
	}
	return n
}

// Periodic probes of 170 proxies with little traffic each amounted to 7 to 11 per request. With two proxies
// probing stays periodic.
func TestProbesOnDemandWithLowTraffic(t *testing.T) {
	f := newSettledProxy(t, manyProxiesConfig(), 6)
	requests := 0
	probes := f.countProbes(30*time.Second, func() {
		requests++
		if s := f.serve(f.submitAndAnswerProbes(classBounded), 5*ms); s.to == 1 {
			t.Error("a bounded read went to the primary though a probe would find a fresh replica")
		}
	})
	if probes > 2*requests {
		t.Errorf("%d probes for %d requests at one of many proxies", probes, requests)
	}
	ofTwo := newSettledProxy(t, testConfig(), 6)
	probes = ofTwo.countProbes(30*time.Second, func() {
		ofTwo.serve(ofTwo.submitAndAnswerProbes(classBounded), 5*ms)
	})
	if want := 30 * 4 * 5; probes < want { // five replicas, every quarter of 800 ms or slightly later
		t.Errorf("%d probes at one of two proxies, want at least %d", probes, want)
	}
}

// submitAndAnswerProbes submits a request and answers the probes that it causes.
func (f *fakeProxy) submitAndAnswerProbes(class int) RequestID {
	id := f.submit(class, 0)
	f.answerProbes()
	return id
}

// A read that waits for on-demand probes must not wait until its deadline if no replica answers them.
func TestWaitingReadMovesOnIfProbesGoUnanswered(t *testing.T) {
	f := newSettledProxy(t, manyProxiesConfig(), 3)
	f.advance(2 * time.Second)
	id := f.submit(classBounded, 0)
	f.advance(100*ms, 2, 3)
	if s := f.mustBeSent(id); s.to != 1 || s.sentAt > f.now-20*ms {
		t.Errorf("sent to %d, %v before now; want the primary within two short waits", s.to, f.now-s.sentAt)
	}
}

// With low traffic, limits that are shared by many proxies caused part of all requests to be refused.
func TestLowTrafficRefusesNothing(t *testing.T) {
	for _, proxies := range []int{0, 1, 2, 40, 200, 100000} {
		cfg := testConfig()
		cfg.Proxies = proxies
		f := newSettledProxy(t, cfg, 6)
		for i := 0; i < 400; i++ {
			f.advance(100 * ms)
			class := i % len(cfg.Classes)
			id := f.submit(class, SessionID(i%7))
			f.answerProbes()
			f.advance(10 * ms)
			if f.sendCount(id) != 1 {
				t.Fatalf("%d proxies: class %d sent %d times, final answer %q",
					proxies, class, f.sendCount(id), f.finalAnswers[id])
			}
			f.serve(id, cfg.Classes[class].TargetLatency/8)
		}
	}
}

// Many proxies that each sent one request to a restarted member overloaded it together. The total that many
// routers with different seeds send within three seconds must stay within the member's capacity.
func TestColdMemberLoadIsBoundedOverAllProxies(t *testing.T) {
	const proxies, members, perSecond = 150, 6, 300 // of all proxies; about 60 at each warm replica
	cfg := manyProxiesConfig()
	cfg.Proxies = proxies
	sent, warm := 0, 0
	for i := 0; i < proxies; i++ {
		cfg.Seed = uint64(i)
		f := newSettledProxy(t, cfg, members)
		runSteps := func(n int) {
			for k := 0; k < n; k++ {
				f.advance(10 * ms)
				if (k+i)%(proxies*100/perSecond) == 0 {
					if s, ok := f.lastSend(f.submitAndAnswerProbes(classSession)); ok {
						f.serve(s.id, 5*ms)
					}
				}
			}
		}
		runSteps(1500)
		f.sends = nil
		f.router.MemberList(f.now, List{Entries: []Member{{ID: 2, State: Ready, StartedAt: f.now}}})
		runSteps(300)
		for _, s := range f.sends {
			switch s.to {
			case 2:
				sent++
			case 3:
				warm++
			}
		}
	}
	// Its capacity during the three seconds is 0.16 to 0.32 of a warm member's; three times that is
	// allowed.
	if limit := float64(warm) * 0.24 * 3; float64(sent) > limit || sent == 0 {
		t.Errorf("%d reads at the cold member in 3 s, %d at a warm one; want some, but at most %.0f",
			sent, warm, limit)
	}
}

// When the list omitted all members, or listed them as gone, though they were serving, every request was
// refused. If the list is authoritative for gone members, that is still right.
func TestNonAuthoritativeListRemovesNoMembers(t *testing.T) {
	var gone []Member
	for id := MemberID(1); id <= 4; id++ {
		gone = append(gone, Member{ID: id, State: Gone})
	}
	for _, ignoreListedGone := range []bool{true, false} {
		cfg := testConfig()
		cfg.IgnoreListedGone = ignoreListedGone
		f := newSettledProxy(t, cfg, 4)
		for _, l := range []List{{Kind: ListFull}, {Entries: gone}} {
			f.router.MemberList(f.now, l)
			f.advance(500 * ms)
			if id := f.submit(classAny, 0); (f.sendCount(id) == 1) != ignoreListedGone {
				t.Errorf("IgnoreListedGone %v: %d sends after the list omitted all members",
					ignoreListedGone, f.sendCount(id))
			}
		}
	}
	cfg := testConfig()
	cfg.IgnoreListedGone = true
	f := newSettledProxy(t, cfg, 2)
	f.router.MemberList(f.now, List{Entries: []Member{{ID: 2, State: Draining}}})
	f.router.MemberList(f.now, List{Entries: []Member{{ID: 2, State: Gone}}})
	for i := 0; i < 20; i++ {
		if s, ok := f.lastSend(f.submit(classAny, 0)); ok && s.to == 2 {
			t.Fatal("sent to a member that had been listed as draining")
		}
	}
}

// With a list that is not authoritative for gone members, replaced members would be kept forever. A member
// that it omits is removed once it has been unresponsive for long.
func TestUnlistedUnresponsiveMembersAreForgotten(t *testing.T) {
	cfg := testConfig()
	cfg.IgnoreListedGone = true
	f := newSettledProxy(t, cfg, 4)
	f.updateList(ListFull, 3)
	for i := 0; i < 300; i++ {
		f.advance(200*ms, 4)
		for _, id := range []MemberID{4} { // its probes time out
			f.router.ProbeResult(f.now, ProbeResult{Member: id, Result: TimedOut})
		}
		f.updateList(ListFull, 3)
	}
	if len(f.router.orderedMembers) != 3 || len(f.router.groups[0].members) != 3 ||
		len(f.router.members) != 3 {
		t.Errorf("%d members kept, want 3", len(f.router.orderedMembers))
	}
}

// A fifth of all answers got lost though probes were answered, and reads ended at their deadlines. Such
// reads are hedged. With occasional slow answers nothing is hedged, nor if all answers are late.
func TestLostAnswersAreHedged(t *testing.T) {
	countHedges := func(took func(i int) time.Duration) (number, refused int) {
		f := newSettledProxy(t, testConfig(), 5)
		for i := 0; i < 600; i++ {
			id := f.submit(classSession, 0)
			s, ok := f.lastSend(id)
			if !ok {
				refused++
				continue
			}
			if d := took(i); d > 0 {
				f.advance(d)
				f.end(f.mustBeSent(id), OK)
			} else {
				f.advance(700 * ms)
				if f.sendCount(id) > 1 {
					f.end(f.mustBeSent(id), OK)
					f.router.Outcome(f.now, Outcome{Request: id, Attempt: s.number, Member: s.to, Result: Cancelled,
						Answered: true})
				} else {
					f.advance(300 * ms)
					f.end(s, TimedOut)
				}
			}
			if i >= 300 {
				number += f.sendCount(id) - 1
			}
		}
		return number, refused
	}
	quick := func(i int) time.Duration { return time.Duration(10+i%5*10) * ms }
	lost, refused := countHedges(func(i int) time.Duration {
		if i%5 == 4 {
			return 0
		}
		return quick(i)
	})
	if lost < 20 || refused > 30 {
		t.Errorf("%d hedges for 60 lost answers, %d of 600 requests refused", lost, refused)
	}
	if number, _ := countHedges(func(i int) time.Duration {
		if i%40 == 39 {
			return 390 * ms
		}
		return quick(i)
	}); number != 0 {
		t.Errorf("%d hedges in normal operation", number)
	}
	if number, _ := countHedges(func(i int) time.Duration {
		return time.Duration(300+i%5*50) * ms
	}); number != 0 {
		t.Errorf("%d hedges though all answers are late", number)
	}
}

// When slow replicas fell behind, every proxy sent reads to primaries although these reported long
// queues. Answers that this proxy gets in time override the report.
func TestReportedQueueExcludesMember(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	reportQueue := func(m MemberID, reportedQueue float64) {
		f.router.members[m].probing = true
		f.router.ProbeResult(f.now, ProbeResult{Member: m, Took: ms,
			Report: Report{Role: RoleReplica, Position: f.now, Queue: reportedQueue}})
	}
	reportQueue(2, 5)
	for i := 0; i < 30; i++ {
		if s := f.serve(f.submit(classAny, 0), 0); s.to == 2 {
			t.Fatal("a read went to a member with waiting requests while another had none")
		}
	}
	f.now += ms
	f.router.recordLatency(f.now, f.router.members[2], 500*ms, 0.1)
	used := false
	for i := 0; i < 30; i++ {
		used = used || f.serve(f.submit(classAny, 0), 0).to == 2
	}
	if !used {
		t.Error("a report still excludes a member that has answered in time since")
	}
	reportQueue(2, 5)
	reportQueue(3, 5)
	f.router.members[1].reportedQueue, f.router.members[1].queueReportedAt = 5, f.now
	if id := f.submit(classAny, 0); f.sendCount(id) != 0 {
		t.Error("a read was sent though every member reports waiting requests")
	}
	f.now += 2 * time.Second
	if f.router.overloaded(f.now, f.router.members[2], 1) {
		t.Error("a report of two seconds ago still counts")
	}
}

// After a stall the proxy handled its timer before the probe replies that had arrived meanwhile, so all
// probed members counted as unresponsive.
func TestStallMarksNoMemberUnresponsive(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	for len(f.probes) == 0 {
		f.now += 10 * ms
		f.router.Timer(f.now, tickTimer)
	}
	f.now += 900 * ms
	f.router.Timer(f.now, tickTimer)
	for _, m := range f.router.orderedMembers {
		if m.unresponsive {
			t.Fatalf("member %d counts as unresponsive because the proxy had stalled", m.ID)
		}
	}
	f.advance(20 * ms)
	if id := f.submit(classNonIdempotent, 1); f.sendCount(id) != 1 {
		t.Error("a write was not sent after a stall")
	}
}

// A primary that was unresponsive for a moment and stayed primary invalidated all pins of its group.
func TestPinsSurviveUnresponsivePrimary(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 6)
	pinned := f.serve(f.submit(classSession, 5), 10*ms).to
	f.advance(1500*ms, 1)
	if f.router.groups[0].primary != nil {
		t.Fatal("the unresponsive primary still counts as usable")
	}
	f.router.members[1].probing = false
	f.advance(1200 * ms)
	if f.router.groups[0].primary == nil {
		t.Fatal("the primary does not count as usable again")
	}
	for i := 0; i < 10; i++ {
		if to := f.serve(f.submit(classSession, 5), ms).to; to != pinned {
			t.Fatalf("the session moved from %d to %d", pinned, to)
		}
	}
}

// Retry tokens were spent even if no member could be chosen, so that later requests had no retry.
func TestRetryTokensAreSpentBySendsOnly(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 1) // only the primary, so that no retry is possible
	before := f.router.retryTokens
	for i := 0; i < 20; i++ {
		f.end(f.mustBeSent(f.submit(classAny, 0)), Reset)
		f.now += time.Second
		f.advance(2 * time.Second)
	}
	if f.router.retryTokens < before {
		t.Errorf("%v of %v tokens left without a second attempt", f.router.retryTokens, before)
	}
}

// Requests with little time left were sent though they could not end in time. But the estimated service
// time must not exclude a class whose requests always have little time: it decreases until one is sent.
func TestTooLittleTimeIsRefusedButTriedAgain(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	submitShort := func() RequestID {
		f.nextID++
		f.router.Request(f.now, Request{ID: f.nextID, Class: classSession, Deadline: f.now + 30*ms})
		return f.nextID
	}
	id := submitShort() // the target latency is 400 ms; the service time has not been measured yet
	f.wantFinalAnswer(id, "refused")
	if f.sendCount(id) != 0 {
		t.Error("sent with 30 ms left though the class is estimated to take 100 ms")
	}
	for i := 0; f.sendCount(id) == 0; i++ {
		if i > 100 {
			t.Fatal("a class whose requests have little time is never tried again")
		}
		f.now += ms
		id = submitShort()
	}
	f.serve(id, 5*ms)
}

// After a stall the answers that had waited in this proxy looked late, and reduced the limits of all
// members.
func TestStallChangesNoLimit(t *testing.T) {
	f := newSettledProxy(t, testConfig(), 3)
	before := f.router.members[1].inFlightLimit
	ids := []RequestID{f.submit(classNonIdempotent, 1), f.submit(classNonIdempotent, 2),
		f.submit(classNonIdempotent, 3)}
	f.now += 900 * ms
	f.end(f.mustBeSent(ids[0]), OK)
	f.router.Timer(f.now, tickTimer)
	f.end(f.mustBeSent(ids[1]), OK)
	if m := f.router.members[1]; m.inFlightLimit != before || m.latencyRatio != 0 {
		t.Errorf("limit %v of %v and latency ratio %v after answers that waited in this proxy",
			m.inFlightLimit, before, m.latencyRatio)
	}
	f.advance(600 * ms)
	f.end(f.mustBeSent(ids[2]), OK)
	if f.router.members[1].latencyRatio == 0 {
		t.Error("a late answer without a stall doesn't count")
	}
}

// If many members each had room for half an attempt, nearly every request was admitted, because each
// member had its own random draw and one of them nearly always accepted. In a large fleet that kept all
// answers late.
func TestHalfFullMembersShedHalf(t *testing.T) {
	f := newSettledProxy(t, manyProxiesConfig(), 9)
	sent := 0
	for i := 0; i < 200; i++ {
		for _, m := range f.router.orderedMembers {
			m.inFlightLimit, m.limitUpdatedAt = 0.5, f.now
		}
		id := f.submit(classAny, 0)
		if s, ok := f.lastSend(id); ok {
			sent++
			f.end(s, OK)
		}
	}
	if sent < 50 || sent > 130 {
		t.Errorf("%d of 200 requests sent to half-full members", sent)
	}
}
