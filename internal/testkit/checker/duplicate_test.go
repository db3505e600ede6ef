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

// An endpoint may observe that a relay gave up a call after another endpoint has received the next one. A call that is
// answered, or that its endpoint ends, was still out.
func TestEndOfAGivenUpCallIsObservedLate(t *testing.T) {
	const repeatAt = 3 * second
	run := func(end func(s *script, call uint64)) *script {
		s := newScript()
		s.header.Rules.DuplicatesAllowed = false
		s.submit("m", idempotent, second, 15*second, 202)
		call := s.call("a1", "m", 2*second, 0, 0)
		end(s, call)
		s.call("a2", "m", repeatAt, 5*second, 200)
		return s
	}
	wantViolated(t, run(func(s *script, call uint64) { s.abort(call, repeatAt+Tolerance) }), "")
	wantViolated(t, run(func(s *script, call uint64) { s.abort(call, repeatAt+Tolerance+ms) }), NoDuplicateEffect)
	wantViolated(t, run(func(s *script, call uint64) {
		s.add(eventlog.Event{
			At: repeatAt + ms, Kind: eventlog.CallAborted, Call: call, Relay: "r1", Cause: eventlog.CauseEndpoint,
		})
	}), NoDuplicateEffect)
	wantViolated(t, run(func(s *script, call uint64) {
		s.add(eventlog.Event{At: repeatAt + ms, Kind: eventlog.CallAnswered, Call: call, Relay: "r1", Status: 200})
	}), NoDuplicateEffect)
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
