package loadreport

import (
	"slices"
	"testing"
	"time"
)

// Lives under the own name are gone past a few times; who goes on answering is another process, and this one falls
// silent until none was heard for long.
func TestNameClaim(t *testing.T) {
	type at struct {
		s      int // seconds
		raise  bool
		silent bool // then
	}
	for name, c := range map[string][]at{
		"a folder that is old":           {{5, true, false}},
		"one that is older still, later": {{5, true, false}, {7, true, false}, {40, true, false}, {80, true, false}},
		"a twin":                         {{5, true, false}, {6, true, false}, {7, true, false}, {8, false, true}, {40, false, true}, {99, false, true}, {160, true, false}},
	} {
		var claim NameClaim
		for _, x := range c {
			now := time.Duration(x.s) * time.Second
			if raise := claim.ObserveRival(now); raise != x.raise || claim.Suspended(now) != x.silent {
				t.Errorf("%s, after %d s: raise %v, silent %v", name, x.s, raise, claim.Suspended(now))
			}
		}
	}
	var claim NameClaim
	if !claim.Suspend(time.Second, 10*time.Second) || claim.Suspend(2*time.Second, time.Second) ||
		!claim.Suspended(10*time.Second) ||
		claim.Suspended(11*time.Second) {
		t.Error("a name that others saw with another address")
	}
}

// What comes before its sender's clock is known waits for that, the newest of it, and the sender is asked now and then.
func TestInbox(t *testing.T) {
	in := Inbox[int]{ClockRequestInterval: time.Second, MaxDeferred: 2}
	var asked []int
	for i := range 25 {
		now := time.Duration(i) * 100 * time.Millisecond
		_, known, ask := in.Receive(i, "a", 7, time.Hour+now, now)
		if known {
			t.Fatal("known before it answered")
		}
		if ask {
			asked = append(asked, i)
		}
	}
	if !slices.Equal(asked, []int{0, 10, 20}) {
		t.Error("asked at", asked)
	}
	now := 3 * time.Second
	if aside := in.ClockReceived("a", 7, time.Hour+now, now, now); !slices.Equal(aside, []int{23, 24}) {
		t.Error("put aside:", aside)
	}
	if held, known, ask := in.Receive(25, "a", 7, time.Hour+now, now+time.Second); !known || ask ||
		held < time.Second ||
		held > time.Second+20*time.Millisecond {
		t.Error("held up by", held, known, ask)
	}
	if _, known, ask := in.Receive(26, "a", 8, 0, now+2*time.Second); known || !ask {
		t.Error("another boot's clock is known, or not asked for")
	}
	if len(in.ClockReceived("a", 8, 0, now, now)) != 1 {
		t.Error("what another boot told is not put aside")
	}
}
