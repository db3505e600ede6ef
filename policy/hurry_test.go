package policy

import (
	"testing"
	"time"
)

// A class with less time than an answer of most hosts may take has all its calls cut before that. A host that hangs is skipped all the
// same; a call of a class with more time that was cut as early, for want of time left, still skips none.
func TestHostsThatHangAreSkippedForShortTimes(t *testing.T) {
	hasty := Class{Effect: Safe, Aim: 350 * time.Millisecond, GiveUp: 900 * time.Millisecond, Value: 1}
	for _, c := range []struct {
		name  string
		class Class
		left  time.Duration
		skips bool
	}{
		{"short times", hasty, 600 * time.Millisecond, true},
		{"long times, little left", Class{Effect: Safe, Aim: 3 * time.Second, GiveUp: 16 * time.Second, Value: 1}, 600 * time.Millisecond, false},
		{"short times, hardly any left", hasty, 300 * time.Millisecond, false},
	} {
		s, err := New(Settings{Classes: []Class{c.class}, Kinds: []Kind{{PerCall: 1}}, Senders: 2}, 1)
		if err != nil {
			t.Fatal(err)
		}
		type out struct {
			at time.Duration
			ev Event
		}
		var outs []out
		evs := []Event{{Kind: ListWhole, List: []Listing{{Route: "hangs", Destination: 5, Weight: 30, InService: true}}}}
		now, id, cut := time.Second, uint32(0), 0
		for now < 9*time.Second && (s.routes["hangs"] == nil || !s.routes["hangs"].down) {
			id++
			evs = append(evs, Event{Kind: Taken, ID: id, Destination: 5, Left: c.left})
			for _, a := range s.Step(now, evs) {
				if a.Kind == Send {
					outs = append(outs, out{a.At, Event{
						Kind: Finished, ID: a.ID, Attempt: s.msgs[a.ID].sends - 1, Route: a.Route, Outcome: Timeout, Took: a.At - now,
					}})
				}
			}
			now, evs = now+50*time.Millisecond, nil
			for len(outs) > 0 && outs[0].at <= now {
				evs, outs, cut = append(evs, outs[0].ev), outs[1:], cut+1
			}
		}
		if down := s.routes["hangs"].down; down != c.skips || cut < streakSkip {
			t.Errorf("%s: skipped %v after %d calls, want %v", c.name, down, cut, c.skips)
		}
	}
}
