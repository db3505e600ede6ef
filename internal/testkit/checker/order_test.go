package checker

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

func TestOrderKeptLimits(t *testing.T) {
	testLimits(t, OrderKept, []limitCase{
		{"sent while the previous message runs", func(s *script, excess time.Duration) {
			s.submit("m1", ordered, second, 15*second, 202)
			s.submit("m2", ordered, second+10*ms, 15*second, 202)
			s.call("a1", "m1", 2*second, 3*second, 200)
			s.call("a1", "m2", 3*second-excess, 4*second, 200)
		}},
		{"sent within the ordering pause", func(s *script, excess time.Duration) {
			s.submit("m1", ordered, second, 15*second, 202)
			s.submit("m2", ordered, second+10*ms, 15*second, 202)
			s.abort(s.call("a1", "m1", 2*second, 0, 0), 2500*ms)
			s.call("a1", "m1", 2600*ms, 2700*ms, 200)
			s.call("a1", "m2", 3500*ms-excess, 4*second, 200)
		}},
		{"sent before the previous message is given up", func(s *script, excess time.Duration) {
			s.submit("m1", ordered, second, 15*second, 202)
			s.submit("m2", ordered, second+10*ms, 15*second, 202)
			s.notice("m1", eventlog.StateDeferred, 3*second)
			s.call("a1", "m2", 3*second-50*ms-excess, 4*second, 200)
		}},
	})
}

// A relay may give up one message of a batch while the call continues for the others. The ordering pause begins at
// that time, which no endpoint observes, so that the pause cannot be checked. The end of a call with only one
// message is observed.
func TestOrderAfterAMessageIsGivenUp(t *testing.T) {
	cases := []struct {
		name     string
		batch    []string
		pause    time.Duration
		violated Rule
	}{
		{"in a batch", []string{"m1", "other"}, 0, ""},
		{"alone, after the ordering pause", []string{"m1"}, second, ""},
		{"alone, within the ordering pause", []string{"m1"}, second - 1, OrderKept},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScript()
			s.submit("m1", ordered, second, 3*second, 202)
			s.submit("other", idempotent, second, 15*second, 202)
			s.submit("m2", ordered, second+10*ms, 15*second, 202)
			batch := eventlog.Event{Relay: "r1", Endpoint: "a1", IDs: c.batch}
			s.abort(s.callWith(batch, 2*second, eventlog.Event{}), 4*second)
			s.notice("m1", eventlog.StateDeferred, 4*second)
			s.call("a1", "m2", 4*second+c.pause, 6*second, 200)
			s.call("a1", "other", 8*second, 9*second, 200)
			wantViolated(t, s, c.violated)
		})
	}
}
