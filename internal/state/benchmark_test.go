package state

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"havenproxy/logic"
)

// stuckOpener opens connections that are never established.
type stuckOpener struct{}

func (stuckOpener) Open(string, Listener) Conn { return &fakeConn{} }
func (stuckOpener) GivenUp() int               { return 0 }

// noWatcher is a Watcher that never reports a list.
type noWatcher struct{}

func (noWatcher) Watch(bool) {}
func (noWatcher) Fetch()     {}

// newFleetDispatcher returns a started Front with a real router and the given number of databases, six in each group.
func newFleetDispatcher(b *testing.B, databases int) *Front {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	f, err := New(Config{Logic: logic.Config{Tick: 5 * time.Millisecond, Proxies: 300, MayProbe: true,
		Classes: []logic.Class{{Name: "any", RequiredFreshness: logic.FreshnessAny, TargetLatency: time.Second,
			ClientTimeout: 2 * time.Second}}},
		ConnectTimeout: 250 * time.Millisecond, MaxConnections: 400}, NewClock(), stuckOpener{})
	if err != nil {
		b.Fatal(err)
	}
	known := List{}
	for i := range databases {
		known.Entries = append(known.Entries, fleetMember(i, logic.Ready))
	}
	f.Start(noWatcher{}, known)
	return f
}

// fleetMember returns the list entry of database i.
func fleetMember(i int, state logic.MemberState) Entry {
	return Entry{Name: fmt.Sprintf("s-%08x", i), Address: "127.0.0.1:1", Group: i / 6, State: state, Weight: 1}
}

// BenchmarkListOfThreeChanges measures applying a change of three databases to fleets of different sizes.
func BenchmarkListOfThreeChanges(b *testing.B) {
	for _, databases := range []int{200, 3200} {
		b.Run(fmt.Sprint(databases), func(b *testing.B) {
			f := newFleetDispatcher(b, databases)
			states := []logic.MemberState{logic.Draining, logic.Ready}
			for i := 0; b.Loop(); i++ {
				l := List{Kind: logic.ListDelta}
				for n := range 3 {
					l.Entries = append(l.Entries, fleetMember(n*6, states[i%2]))
				}
				f.Listed(l)
			}
		})
	}
}

// BenchmarkHousekeepingOfIdleFleet measures the router's periodic work for fleets without requests.
func BenchmarkHousekeepingOfIdleFleet(b *testing.B) {
	for _, databases := range []int{200, 3200} {
		b.Run(fmt.Sprint(databases), func(b *testing.B) {
			f := newFleetDispatcher(b, databases)
			for b.Loop() {
				f.notifyRouter(func() { f.router.Timer(f.clock.Now(), logic.TimerID(1)) })
			}
		})
	}
}
