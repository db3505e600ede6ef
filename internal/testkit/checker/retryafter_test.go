package checker

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// overloaded adds a call by r1 to a1 with one message, which is answered at 3 s with a Retry-After.
func (s *script) overloaded(id string, status int, retryAfter time.Duration) {
	s.callWith(eventlog.Event{Relay: "r1", Endpoint: "a1", IDs: []string{id}}, 2*second,
		eventlog.Event{At: 3 * second, Status: status, RetryAfter: retryAfter})
}

func TestRetryAfterRespectedLimits(t *testing.T) {
	testLimits(t, RetryAfterRespected, []limitCase{
		{"called before the end of the Retry-After", func(s *script, excess time.Duration) {
			s.submit("m", keyed, second, 15*second, 202)
			s.overloaded("m", 429, 2*second)
			s.call("a2", "m", 5*second-ms-ms-excess, 6*second, 200)
		}},
		{"called after the grace for calls under way", func(s *script, excess time.Duration) {
			s.submit("m", keyed, second, 15*second, 202)
			s.overloaded("m", 429, 2*second)
			s.call("a1", "m", 3*second+100*ms-ms+excess, 6*second, 200)
		}},
	})
}

func TestRetryAfterBindsTheService(t *testing.T) {
	cases := []struct {
		name               string
		service1, service2 string
		violated           Rule
	}{
		{"endpoints of one service", "", "", RetryAfterRespected},
		{"endpoints that are services of their own", "a1", "a2", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScript()
			s.endpoint("a1", "a", 7, c.service1)
			s.endpoint("a2", "b", 7, c.service2)
			s.submit("m", idempotent, second, 15*second, 202)
			s.overloaded("m", 503, 5*second)
			s.call("a2", "m", 4*second, 5*second, 200)
			wantViolated(t, s, c.violated)
		})
	}
}

// A replaced endpoint at the same address answers calls that a relay means for the earlier one, until the relay is
// notified. Its Retry-After then restricts the destination, but not the new endpoint alone.
func TestRetryAfterOfAnUnknownEndpoint(t *testing.T) {
	for _, c := range []struct {
		service    string
		notifiedAt time.Duration // the call begins at 2 s
		violated   Rule
	}{
		{"a1", 2*second + ms, ""},
		{"a1", 2 * second, RetryAfterRespected},
		{"a1", 0, RetryAfterRespected}, // never, or from the start
		{"", 2*second + ms, RetryAfterRespected},
	} {
		s := newScript()
		s.endpoint("a1", "a", 7, c.service)
		if c.notifiedAt > 0 {
			s.notify(eventlog.StateReady, c.notifiedAt)
		}
		s.submit("m", idempotent, second, 15*second, 202)
		s.overloaded("m", 429, 5*second)
		s.call("a1", "m", 4*second, 5*second, 200)
		wantViolated(t, s, c.violated)
	}
}

func TestARestartEndsRetryAfterAndOrder(t *testing.T) {
	s := newScript()
	s.submit("m1", ordered, second, 15*second, 202)
	s.submit("m2", ordered, second+10*ms, 15*second, 202)
	s.overloaded("m1", 429, 10*second)
	s.process(4*second, eventlog.StateKill)
	s.process(4*second+ms, eventlog.StateExit)
	s.process(5*second, eventlog.StateStart)
	s.process(5*second+ms, eventlog.StateUp)
	s.call("a1", "m2", 6*second, 7*second, 200)
	s.call("a1", "m1", 8*second, 9*second, 200)
	wantViolated(t, s, "")
}
