package checker

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

func TestNoMessageLostLimits(t *testing.T) {
	testLimits(t, NoMessageLost, []limitCase{
		{"a late notice", func(s *script, excess time.Duration) {
			s.submit("m", keyed, second, 5*second, 202)
			s.notice("m", eventlog.StateUndeliverable, 6*second+350*ms+excess)
		}},
		{"a late delivery", func(s *script, excess time.Duration) {
			s.submit("m", keyed, second, 5*second, 202)
			s.call("a1", "m", 2*second, 6*second+350*ms+excess, 200)
		}},
		{"overdue after a restart", func(s *script, excess time.Duration) {
			s.submit("m", keyed, second, 5*second, 202)
			s.process(6*second, eventlog.StateKill)
			s.process(6*second+ms, eventlog.StateExit)
			s.process(7*second, eventlog.StateStart)
			s.process(8*second, eventlog.StateUp)
			s.notice("m", eventlog.StateUndeliverable, 9500*ms+excess)
		}},
		{"sent after it was rejected", func(s *script, excess time.Duration) {
			s.submit("m", nonIdempotent, second, 5*second, 503)
			s.call("a1", "m", second+ms+50*ms+excess, 2*second, 200)
		}},
		{"sent after its notice", func(s *script, excess time.Duration) {
			s.submit("m", idempotent, second, 5*second, 202)
			s.notice("m", eventlog.StateDeferred, 2*second)
			s.call("a1", "m", 2*second+50*ms+excess, 3*second, 200)
		}},
	})
}

// A message without a final answer violates the rule if the answer is due before the run ends, and not if it is due
// later.
func TestAMessageWithoutAFinalAnswer(t *testing.T) {
	due := FinalAnswerTimeout + Tolerance
	cases := []struct {
		name     string
		deadline time.Duration
		violated Rule
	}{
		{"due when the run ends", runLength - second - due, NoMessageLost},
		{"due after the run", runLength - second - due + 1, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScript()
			s.submit("m", keyed, second, c.deadline, 202)
			wantViolated(t, s, c.violated)
		})
	}
}

// A relay may end a client's connection without an answer only while it restarts.
func TestConnectionsWithoutAnAnswer(t *testing.T) {
	cases := []struct {
		name     string
		cause    string
		killed   bool
		violated Rule
	}{
		{"closed by the relay", eventlog.CauseClosed, false, NoMessageLost},
		{"closed by a kill", eventlog.CauseClosed, true, ""},
		{"timeout of the client", eventlog.CauseTimeout, false, ""},
		{"not sent", eventlog.CauseNotSent, false, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScript()
			s.submit("m", keyed, second, 5*second, 0)
			if c.killed {
				s.process(second+100*ms, eventlog.StateKill)
				s.process(second+101*ms, eventlog.StateExit)
			}
			s.add(eventlog.Event{
				At:    second + 200*ms,
				Kind:  eventlog.SubmissionUnanswered,
				ID:    "m",
				Relay: "r1",
				Cause: c.cause,
			})
			wantViolated(t, s, c.violated)
		})
	}
}

func TestNoticesMustAgree(t *testing.T) {
	s := newScript()
	s.submit("m", idempotent, second, 5*second, 202)
	s.notice("m", eventlog.StateDeferred, 2*second)
	s.notice("m", eventlog.StateDeferred, 3*second) // a notice may be repeated
	wantViolated(t, s, "")
	s.notice("m", eventlog.StateUndeliverable, 4*second)
	wantViolated(t, s, NoMessageLost)
}
