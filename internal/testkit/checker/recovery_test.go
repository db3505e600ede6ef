package checker

import (
	"fmt"
	"math"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// recoveryWith returns a run in which destination 7 recovers from an outage, at first with a capacity of 4 calls a
// second. Right after the recovery it receives callsOfR1 calls from r1, which observed the outage, and the other
// calls from r2, which did not.
func recoveryWith(calls, callsOfR1 int) *script {
	s := newScript()
	s.outage(second, eventlog.OutageSilent, "a1", "a2")
	s.submit("seen", idempotent, second, 15*second, 202)
	s.abort(s.call("a1", "seen", 1500*ms, 0, 0), 4*second)
	s.recover(10*second, 20, "a1", "a2")
	for i := range calls {
		id := fmt.Sprint("m", i)
		relay := "r1"
		if i >= callsOfR1 {
			relay = "r2"
		}
		submitted := submission(id, idempotent, 10*second, 15*second)
		submitted.Relay = relay
		s.add(submitted)
		s.add(eventlog.Event{
			At:     10*second + ms,
			Kind:   eventlog.SubmissionAnswered,
			ID:     id,
			Relay:  relay,
			Status: 202,
		})
		s.callWith(eventlog.Event{Relay: relay, Endpoint: "a1", IDs: []string{id}}, 10*second+2*ms,
			eventlog.Event{At: 11 * second, Status: 200})
	}
	s.call("a1", "seen", 11*second+500*ms, 12*second, 200)
	return s
}

// An overload violates the rule only if enough of it comes from relays that had observed the outage.
func TestOverloadOfARecoveringService(t *testing.T) {
	capacity := 4 + 16.0*3/14000 // 3 ms after the end of the outage
	budget := int(2*capacity*3 + math.Sqrt(2*capacity*3))
	overload := budget + 1
	// The greatest number of calls by r1 whose part of the overload is below MinInformedRatio.
	maxUninformed := overload * 2 / 3
	for float64(maxUninformed) >= MinInformedRatio*float64(overload) {
		maxUninformed--
	}
	cases := []struct {
		name             string
		calls, callsOfR1 int
		violated         Rule
	}{
		{"within the budget", budget, budget, ""},
		{"over the budget", overload, overload, RecoveryNotOverloaded},
		{"too few calls of informed relays", overload, maxUninformed, ""},
		{"enough calls of informed relays", overload, maxUninformed + 1, RecoveryNotOverloaded},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			result := wantViolated(t, recoveryWith(c.calls, c.callsOfR1), c.violated)
			if r := result.ForRule(RecoveryNotOverloaded); c.violated == "" && r.State != Held {
				t.Errorf("%+v, want held", r)
			}
		})
	}
}

// Connections that are not accepted leave no event at the endpoint. A relay that accepted a message for the
// destination during such an outage counts as having observed the outage.
func TestUnacceptedConnectionsInformARelay(t *testing.T) {
	for cause, state := range map[string]State{
		eventlog.OutageDown:   Violated,
		eventlog.OutageSilent: NotExercised,
	} {
		t.Run(cause, func(t *testing.T) {
			s := newScript()
			s.outage(second, cause, "a1")
			s.submit("m", idempotent, 2*second, 15*second, 202)
			s.recover(10*second, 2, "a1")
			for range 10 {
				s.call("a1", "m", 10*second, 11*second, 500)
			}
			s.call("a1", "m", 12*second, 12*second+ms, 200)
			if r := s.check().ForRule(RecoveryNotOverloaded); r.State != state {
				t.Errorf("%s, want %s", r.State, state)
			}
		})
	}
}
