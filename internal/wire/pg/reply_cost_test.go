package pg

import "testing"

// Very many parameters, or errors, of a database took three times the time that they take without memory for each.
func TestRepeatedMessagesOfAReplyCostNoMemory(t *testing.T) {
	for name, raw := range map[string][]byte{"unknown parameter": message('S', "application_name\x00proxy\x00"),
		"role": message('S', "role\x00replica\x00"), "load report": message('S', "load\x00x0=1,queue=7\x00"),
		"error": message('E', "SERROR\x00CXX000\x00\x00"), "notice": message('N', "SNOTICE\x00\x00")} {
		m, _, _ := Next(raw)
		var r Reply
		r.Add(m)
		if allocated := testing.AllocsPerRun(100, func() {
			r.size = 0
			if err := r.Add(m); err != nil {
				t.Fatal(err)
			}
		}); allocated > 0 {
			t.Errorf("%s: %v allocations for each", name, allocated)
		}
	}
}

func TestParameterWithoutItsTwoStringsIsMalformed(t *testing.T) {
	for _, body := range []string{"", "\x00", "role", "role\x00", "role\x00primary", "role\x00primary\x00\x00", "role\x00a\x00b\x00"} {
		m, _, _ := Next(message('S', body))
		var r Reply
		if err := r.Add(m); err != ErrMalformed {
			t.Errorf("%q: %v", body, err)
		}
	}
	for _, body := range []string{"\x00\x00", "role\x00\x00", "role\x00primary\x00"} {
		m, _, _ := Next(message('S', body))
		var r Reply
		if err := r.Add(m); err != nil {
			t.Errorf("%q: %v", body, err)
		}
	}
}
