package discovery

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain makes the property tests reproducible: one fixed seed, and no files of recorded failures.
func TestMain(m *testing.M) {
	flag.Parse()
	flag.Set("rapid.seed", "20261201")
	flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// A list of generation 0 is a valid list. Treated as no list, the full list would be requested in a loop, without
// waiting.
func TestGenerationZeroIsWatched(t *testing.T) {
	for after, want := range map[int64]string{0: "http://h:1/v1/endpoints?after=0&wait_ms=1000",
		NoGeneration: "http://h:1/v1/endpoints"} {
		if got := EndpointsURL("h:1", after, time.Second); got != want {
			t.Errorf("generation %d: %q", after, got)
		}
	}
}

func TestGarbageIsRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		garbage := rapid.SliceOfN(rapid.Byte(), 0, 200).Draw(t, "garbage")
		if l, err := ParseList(garbage); err == nil && len(l.Members) > 0 {
			t.Fatalf("%q was accepted as %+v", garbage, l)
		}
	})
}

func TestParseList(t *testing.T) {
	l, err := ParseList([]byte(`{"generation":43,"reset":false,"more":1,"instances":[
	 {"instanceId":"s-5be2a07c","hostPort":"10.1.0.18:6432","zone":"a","cell":3,"lifecycle":"terminating","weight":1.0,"startedAtMs":7}]}`))
	if err != nil || l.Generation != 43 || l.Full || len(l.Members) != 1 ||
		l.Members[0] != (Member{"s-5be2a07c", "10.1.0.18:6432", "a", 3, Terminating, 1, 7}) {
		t.Errorf("%+v, error %v", l, err)
	}
	for _, bad := range []string{"{", `{"instances":[{"lifecycle":"in_service"}]}`,
		`{"instances":[{"instanceId":"a","lifecycle":"odd"}]}`} {
		if _, err := ParseList([]byte(bad)); err == nil {
			t.Errorf("%s was accepted", bad)
		}
	}
}
