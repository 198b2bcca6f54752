package logic

import (
	"slices"
	"testing"
	"time"
)

// newLargeFleet lists groups of six members. Member IDs count from 1, and the first member of each group
// is its primary.
func newLargeFleet(t *testing.T, cfg Config, groups int) *fakeProxy {
	f := newFakeProxy(t, cfg)
	l := List{Kind: ListCached}
	for i := range groups * 6 {
		l.Entries = append(l.Entries, Member{ID: MemberID(i + 1), Group: GroupID(i / 6), State: Ready, Weight: 1})
	}
	f.router.MemberList(f.now, l)
	return f
}

// advanceWithoutReplies lets time pass without answering probes.
func (f *fakeProxy) advanceWithoutReplies(length time.Duration) {
	for end := f.now + length; f.now < end; {
		f.now += 10 * ms
		f.router.Timer(f.now, tickTimer)
	}
}

// Probing every member of a large fleet takes too much CPU time and too many connections. Only groups that
// get requests are probed and checked.
func TestLargeFleetIsProbedOnlyWhereUsed(t *testing.T) {
	for _, proxies := range []int{2, 300} {
		cfg := testConfig()
		cfg.Proxies = proxies
		f := newLargeFleet(t, cfg, 500)
		f.advanceWithoutReplies(2 * time.Second)
		if len(f.probes) > 0 {
			t.Errorf("%d proxies: %d probes before any request", proxies, len(f.probes))
		}
		f.submit(classBounded, 0) // to group 0
		f.advanceWithoutReplies(time.Second)
		elsewhere := slices.DeleteFunc(slices.Clone(f.probes), func(m MemberID) bool { return m <= 6 })
		if len(elsewhere) > 0 || len(f.probes) == 0 {
			t.Errorf("%d proxies: of %d probes for a read of group 0, %d go to other groups",
				proxies, len(f.probes), len(elsewhere))
		}
		if len(f.router.active) > 1 {
			t.Errorf("%d proxies: a tick checks %d groups for one request", proxies, len(f.router.active))
		}
	}
}

// The first request to a group finds no known role or position, because nothing has been probed. It must be
// sent after the probes that it causes, and not be refused.
func TestFirstRequestsInLargeFleetAreServed(t *testing.T) {
	cfg := testConfig()
	cfg.Proxies = 300
	for _, class := range []int{classBounded, classSession, classAny, classDeduplicated, classNonIdempotent} {
		f := newLargeFleet(t, cfg, 500)
		id := f.submit(class, 7)
		f.answerProbes() // if the class needs a position or the primary
		f.mustBeSent(id)
	}
}
