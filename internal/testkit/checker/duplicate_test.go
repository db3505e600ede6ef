package checker

import (
	"fmt"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

func TestNoDuplicateEffectLimits(t *testing.T) {
	testLimits(t, NoDuplicateEffect, []limitCase{
		{"a repeat by key after the deduplication window", func(s *script, excess time.Duration) {
			s.submit("m", keyed, second, 15*second, 202)
			s.call("a1", "m", 2*second, 3*second, 500)
			s.call("a1", "m", 12*second+50*ms+excess, 13*second, 200)
		}},
		{"a repeat by key in another zone before the rejection", func(s *script, excess time.Duration) {
			s.submit("m", keyed, second, 15*second, 202)
			s.call("a1", "m", 2*second, 3*second, 429)
			s.call("a2", "m", 3*second-excess, 4*second, 200)
		}},
		{"a non-idempotent repeat before the rejection", func(s *script, excess time.Duration) {
			s.submit("m", nonIdempotent, second, 15*second, 202)
			s.call("a1", "m", 2*second, 3*second, 503)
			s.call("a1", "m", 3*second-excess, 4*second, 200)
		}},
		{"a non-idempotent message deferred while it may run", func(s *script, excess time.Duration) {
			s.submit("m", nonIdempotent, second, 15*second, 202)
			s.call("a1", "m", 2*second, 3*second, 429)
			s.notice("m", eventlog.StateDeferred, 3*second-excess)
		}},
	})
}

func TestRepeatsThatNoClassForbids(t *testing.T) {
	s := newScript()
	for _, class := range []int{idempotent, keyedAcrossZones} {
		id := fmt.Sprint("m", class)
		s.submit(id, class, second, 15*second, 202)
		s.call("a1", id, 2*second, 3*second, 500)
		s.call("a2", id, 4*second, 5*second, 500)
		s.notice(id, eventlog.StateDeferred, 6*second)
	}
	wantViolated(t, s, "")
	s.header.Rules.DuplicatesAllowed = false
	wantViolated(t, s, "") // the calls did not overlap
	s.call("a2", fmt.Sprint("m", idempotent), 4*second+10*ms, 5*second, 500)
	wantViolated(t, s, NoDuplicateEffect)
}

func TestOverlappingCalls(t *testing.T) {
	s := newScript()
	s.submit("m", idempotent, second, 15*second, 202)
	s.call("a1", "m", 2*second, 4*second, 200)
	s.call("a2", "m", 3*second, 5*second, 200)
	wantViolated(t, s, "")
	s.header.Rules.DuplicatesAllowed = false
	wantViolated(t, s, NoDuplicateEffect)
}

// A call that ends before its last byte did not run, so its message may be sent to any endpoint. A call whose
// connection ends after the last byte may have run.
func TestRepeatsAfterAbortedCalls(t *testing.T) {
	s := newScript()
	s.submit("m", nonIdempotent, second, 15*second, 202)
	s.truncatedCall(2 * second)
	s.call("a2", "m", 3*second, 4*second, 200)
	wantViolated(t, s, "")
	s = newScript()
	s.submit("m", nonIdempotent, second, 15*second, 202)
	s.abort(s.call("a1", "m", 2*second, 0, 0), 2500*ms)
	s.call("a2", "m", 3*second, 4*second, 200)
	wantViolated(t, s, NoDuplicateEffect)
}

// Each message of a batch has its own result.
func TestRepeatsAfterABatch(t *testing.T) {
	s := newScript()
	ids := []string{"m1", "m2", "m3"}
	for _, id := range ids {
		s.submit(id, nonIdempotent, second, 15*second, 202)
	}
	s.callWith(eventlog.Event{Relay: "r1", Endpoint: "a1", IDs: ids}, 2*second,
		eventlog.Event{At: 3 * second, Status: 200, States: []string{"ok", "later", "error"}})
	s.call("a1", "m2", 4*second, 5*second, 200)
	s.notice("m3", eventlog.StateUndeliverable, 4*second)
	wantViolated(t, s, "")
	s.call("a1", "m3", 3500*ms, 3600*ms, 200)
	wantViolated(t, s, NoDuplicateEffect)
}
