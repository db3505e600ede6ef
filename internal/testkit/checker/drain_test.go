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

// A call that is cut before its last byte is one more call to the endpoint all the same.
func TestTruncatedCallAfterADrain(t *testing.T) {
	s := newScript()
	s.submit("m", nonIdempotent, second, 15*second, 202)
	s.notify(eventlog.StateGone, 2*second)
	s.truncatedCall(4 * second)
	s.notice("m", eventlog.StateDeferred, 5*second)
	wantViolated(t, s, DrainRespected)
}
