package logic

import (
	"slices"
	"testing"
	"time"
)

// largeFleetOf lists groups of six members; member IDs count from 1, and the first of each group is its primary.
func largeFleetOf(t *testing.T, cfg Config, groups int) *front {
	f := newFront(t, cfg)
	l := List{Kind: ListCached}
	for i := range groups * 6 {
		l.Entries = append(l.Entries, Member{ID: MemberID(i + 1), Group: GroupID(i / 6), State: Ready, Size: 1})
	}
	f.r.Members(f.now, l)
	return f
}

// tick lets housekeeping run for so long; nobody answers pings.
func (f *front) tick(length time.Duration) {
	for end := f.now + length; f.now < end; {
		f.now += 10 * ms
		f.r.Timer(f.now, tickTimer)
	}
}

func TestLargeFleetIsPingedOnlyWhereItIsUsed(t *testing.T) {
	for _, fronts := range []int{2, 300} {
		cfg := testConfig()
		cfg.Fronts = fronts
		f := largeFleetOf(t, cfg, 500)
		f.tick(2 * time.Second)
		if len(f.probes) > 0 {
			t.Errorf("%d fronts: %d pings before any request", fronts, len(f.probes))
		}
		f.request(clsBounded, 0) // to group 0
		f.tick(time.Second)
		elsewhere := slices.DeleteFunc(slices.Clone(f.probes), func(m MemberID) bool { return m <= 6 })
		if len(elsewhere) > 0 || len(f.probes) == 0 {
			t.Errorf("%d fronts: of %d pings for a read of group 0, %d go elsewhere", fronts, len(f.probes), len(elsewhere))
		}
		if len(f.r.used) > 1 {
			t.Errorf("%d fronts: housekeeping looks at %d groups for one request", fronts, len(f.r.used))
		}
	}
}

func TestLargeFleetsFirstRequestsAreServed(t *testing.T) {
	cfg := testConfig()
	cfg.Fronts = 300
	for _, class := range []int{clsBounded, clsSession, clsAny, clsGuarded, clsUnsafe} {
		f := largeFleetOf(t, cfg, 500)
		id := f.request(class, 7)
		f.pongs() // where the class needs to know positions or the primary
		f.mustSend(id)
	}
}
