package logic

import (
	"testing"
	"time"
)

// A refused request gave its tenant a whole request back, although the count of it had decayed since: with requests that
// were refused late a tenant got far more than its quota.
func TestRefusalGivesBackWhatIsLeftOfARequest(t *testing.T) {
	cfg := testConfig()
	cfg.Proxies, cfg.ParallelAttempts = 1, false
	cfg.Tenants = []Tenant{{Name: "a", Quota: 10}}
	f := newSettledProxy(t, cfg, 3)
	submit := func() (ids []RequestID) {
		for range 8 {
			f.nextID++
			f.router.Request(f.now, Request{ID: f.nextID, Class: classNonIdempotent, Session: 1, Deadline: f.now + 5*time.Second})
			ids = append(ids, f.nextID)
		}
		return ids
	}
	refused := submit()
	f.now += 2 * time.Second
	submit() // these stay
	for _, id := range refused {
		for f.finalAnswers[id] == "" {
			f.router.Outcome(f.now, Outcome{Request: id, Attempt: f.sendsOf(id) - 1, Member: 1, Result: Full})
		}
	}
	if left := f.router.tenantUsage[0].valueAt(f.now, quotaWindow); left < 7.9 || left > 8.1 {
		t.Errorf("%v requests are counted after 8 of 16 were refused, want 8", left)
	}
}

// sendsOf returns how many attempts of a request were sent.
func (f *fakeProxy) sendsOf(id RequestID) (n int) {
	for _, s := range f.sends {
		if s.id == id {
			n++
		}
	}
	return n
}
