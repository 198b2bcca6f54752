package logic

import (
	"testing"
	"time"
)

// A client that named ever new groups filled the memory: each was kept for good, and in a large fleet each tick checked it.
// No table that clients choose the keys of grows with the number of keys.
func TestTablesAreBoundedForKeysThatClientsChoose(t *testing.T) {
	for _, groups := range []int{1, 500} {
		f := newLargeFleet(t, testConfig(), groups)
		f.advance(time.Second)
		known, active := len(f.router.groups), len(f.router.active)
		for i := range 3 * maxSessionEntries {
			for class := range f.router.cfg.Classes {
				f.nextID++
				f.router.Request(f.now, Request{ID: f.nextID, Class: class, Group: GroupID(1000 + i), Session: SessionID(i + 1),
					Deadline: f.now + time.Second})
			}
			if i%100 == 0 {
				f.now += 10 * ms
				f.router.Timer(f.now, tickTimer)
			}
		}
		f.advance(5 * time.Second)
		r := f.router
		if len(r.groups) > known || len(r.active) > active || len(r.requests) != 0 || len(r.waiting) != 0 {
			t.Errorf("%d groups listed: %d groups, %d of them active, %d requests and %d waiting are kept", groups,
				len(r.groups), len(r.active), len(r.requests), len(r.waiting))
		}
		if r.pins.Len() > maxSessionEntries || r.commits.Len() > maxSessionEntries || len(r.openWrites) != 0 {
			t.Errorf("%d groups listed: %d pins, %d commits and %d open writes are kept", groups,
				r.pins.Len(), r.commits.Len(), len(r.openWrites))
		}
	}
}

// A group that is listed while a request for it waits, and one whose members all leave, is known for as long as it is used.
func TestGroupIsKeptWhileItIsUsed(t *testing.T) {
	f := newFakeProxy(t, testConfig())
	id := f.submit(classAny, 7) // waits for the first list
	f.updateList(ListFull, 3)
	f.advance(50 * ms)
	f.mustBeSent(id)
	f.router.MemberList(f.now, List{Kind: ListFull})
	if len(f.router.groups) != 1 {
		t.Error("the group of a request with an open attempt was dropped")
	}
	f.router.Outcome(f.now, Outcome{Request: id, Member: f.sends[0].to, Result: OK, Answered: true})
	f.router.MemberList(f.now, List{Kind: ListFull})
	if len(f.router.groups) != 0 || len(f.router.members) != 0 {
		t.Errorf("%d groups and %d members are left", len(f.router.groups), len(f.router.members))
	}
}
