package logic

import (
	"testing"
	"time"
)

// A list whose entries all belong to one group took work that grew with the square of their number, while the proxy did
// nothing else: with each entry the whole group was searched for its primary.
func TestListOfOneLargeGroupIsAppliedInTime(t *testing.T) {
	const (
		members = 20000 // as many as a list of the maximum size may describe
		maxTime = 200 * time.Millisecond
	)
	full := List{Kind: ListFull}
	for i := range members {
		full.Entries = append(full.Entries, Member{ID: MemberID(i + 1), State: Ready, Weight: 1})
	}
	draining := List{Kind: ListDelta}
	for _, e := range full.Entries {
		e.State = Draining
		draining.Entries = append(draining.Entries, e)
	}
	f := newFakeProxy(t, testConfig())
	for _, step := range []struct {
		name string
		list List
	}{{"all join", full}, {"all drain", draining}, {"all leave", List{Kind: ListFull}}} {
		begin := time.Now()
		f.router.MemberList(f.now, step.list)
		if took := time.Since(begin); took > maxTime {
			t.Errorf("%s: took %v", step.name, took)
		}
	}
	if left := len(f.router.members) + len(f.router.orderedMembers); left != 0 {
		t.Errorf("%d members are left", left)
	}
}
