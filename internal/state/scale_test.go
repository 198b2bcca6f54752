package state

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"havenproxy/logic"
)

// idleOpener makes connections that never come up.
type idleOpener struct{}

func (idleOpener) Open(string, Listener) Conn { return &conn{} }
func (idleOpener) GivenUp() int               { return 0 }

type noWatcher struct{}

func (noWatcher) Watch(bool) {}
func (noWatcher) Fetch()     {}

// fleetFront is a front with its real router that lists so many databases, six to a group.
func fleetFront(b *testing.B, databases int) *Front {
	slog.SetDefault(slog.New(slog.NewTextHandler(io.Discard, nil)))
	f, err := New(Config{Logic: logic.Config{Tick: 5 * time.Millisecond, Fronts: 300, MayProbe: true,
		Classes: []logic.Class{{Name: "any", Read: logic.Any, Aim: time.Second, Limit: 2 * time.Second}}},
		ConnectTimeout: 250 * time.Millisecond, MaxConnections: 400}, NewClock(), idleOpener{})
	if err != nil {
		b.Fatal(err)
	}
	known := List{}
	for i := range databases {
		known.Entries = append(known.Entries, fleetEntry(i, logic.Ready))
	}
	f.Start(noWatcher{}, known)
	return f
}

func fleetEntry(i int, state logic.MemberState) Entry {
	return Entry{Name: fmt.Sprintf("s-%08x", i), Address: "127.0.0.1:1", Group: i / 6, State: state, Size: 1}
}

func BenchmarkListOfThreeChanges(b *testing.B) {
	for _, databases := range []int{200, 3200} {
		b.Run(fmt.Sprint(databases), func(b *testing.B) {
			f := fleetFront(b, databases)
			states := []logic.MemberState{logic.Draining, logic.Ready}
			for i := 0; b.Loop(); i++ {
				l := List{Kind: logic.ListDelta}
				for n := range 3 {
					l.Entries = append(l.Entries, fleetEntry(n*6, states[i%2]))
				}
				f.Listed(l)
			}
		})
	}
}

func BenchmarkHousekeepingOfIdleFleet(b *testing.B) {
	for _, databases := range []int{200, 3200} {
		b.Run(fmt.Sprint(databases), func(b *testing.B) {
			f := fleetFront(b, databases)
			for b.Loop() {
				f.tell(func() { f.router.Timer(f.clock.Now(), logic.TimerID(1)) })
			}
		})
	}
}
