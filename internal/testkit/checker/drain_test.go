package checker

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

func TestDrainRespectedLimits(t *testing.T) {
	testLimits(t, DrainRespected, []limitCase{
		{"sent to an endpoint that is draining", func(s *script, excess time.Duration) {
			s.submit("m", keyed, second, 15*second, 202)
			s.notify(eventlog.StateDraining, 2*second)
			s.call("a1", "m", 3*second+50*ms+excess, 4*second, 200)
		}},
		{"sent to an endpoint that is gone after draining", func(s *script, excess time.Duration) {
			s.submit("m", keyed, second, 15*second, 202)
			s.notify(eventlog.StateDraining, 2*second)
			s.notify(eventlog.StateGone, 2900*ms)
			s.call("a1", "m", 3*second+50*ms+excess, 4*second, 200)
		}},
	})
}

// A relay can violate the rule only if it has a submission or a call for the destination after the grace.
func TestDrainsThatAreExercised(t *testing.T) {
	cases := []struct {
		name        string
		submittedAt time.Duration
		state       State
	}{
		{"submission within the grace", 3 * second, NotExercised},
		{"submission after the grace", 3*second + 1, Held},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScript()
			s.notify(eventlog.StateDraining, 2*second)
			s.submit("m", idempotent, c.submittedAt, 5*second, 503)
			if r := wantViolated(t, s, "").ForRule(DrainRespected); r.State != c.state {
				t.Errorf("%s, want %s", r.State, c.state)
			}
		})
	}
}

func TestAnEndpointBackInService(t *testing.T) {
	s := newScript()
	s.submit("m", keyed, second, 15*second, 202)
	s.notify(eventlog.StateDraining, 2*second)
	s.notify(eventlog.StateGone, 3*second)
	s.notify(eventlog.StateReady, 5*second)
	s.call("a1", "m", 6*second, 7*second, 200)
	wantViolated(t, s, "")
	s.call("a1", "m", 4500*ms, 4600*ms, 429)
	wantViolated(t, s, DrainRespected)
}

// A call that ends before its last byte also counts as a call to the endpoint.
func TestTruncatedCallAfterADrain(t *testing.T) {
	s := newScript()
	s.submit("m", nonIdempotent, second, 15*second, 202)
	s.notify(eventlog.StateGone, 2*second)
	s.truncatedCall(4 * second)
	s.notice("m", eventlog.StateDeferred, 5*second)
	wantViolated(t, s, DrainRespected)
}
