package modelcheck

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// invariantTestNow is the time at which the tests act.
const invariantTestNow = 10 * time.Second

// ranInZone0 is a message whose first attempt may have run in zone 0 one second before invariantTestNow.
var ranInZone0 = messageState{
	id:         1,
	mayHaveRun: true,
	firstRunAt: invariantTestNow - time.Second,
	deadline:   invariantTestNow,
}

func sendToB(x *explorer, s *state) {
	x.send(s, 0, policy.Action{MessageID: 1, Endpoint: "b"})
}

func endWith(kind policy.ActionKind) func(x *explorer, s *state) {
	return func(x *explorer, s *state) { x.endMessage(s, 0, policy.Action{Kind: kind, MessageID: 1}) }
}

// invariantTests are actions and states that each violate an invariant.
var invariantTests = []struct {
	name      string
	class     int
	message   messageState
	act       func(x *explorer, s *state)
	violation string
}{
	{
		name:      "unknown message",
		act:       sendToB,
		violation: `at 10s: relay 0 sends message 1 to "b": unknown message or endpoint`,
	},
	{
		name:      "sent after its final answer",
		message:   messageState{id: 1, ended: true},
		act:       sendToB,
		violation: "at 10s: message 1 is sent after its final answer",
	},
	{
		name:      "non-idempotent message repeated",
		class:     classNonIdempotent,
		message:   ranInZone0,
		act:       sendToB,
		violation: "at 10s: message 1 is not idempotent, may have run, and is sent again",
	},
	{
		name:      "repeated in another zone",
		class:     classIdempotentByKey,
		message:   ranInZone0,
		act:       sendToB,
		violation: "at 10s: message 1 may have run in zone 0 and is sent again in zone 1",
	},
	{
		name:      "repeated after its deduplication window",
		class:     classIdempotentByKey,
		message:   messageState{id: 1, mayHaveRun: true, firstRunAt: invariantTestNow - 3*time.Second},
		act:       sendToB,
		violation: "at 10s: message 1 is sent again 1s after its deduplication window",
	},
	{
		name:    "rejected after it may have run",
		class:   classIdempotentByKey,
		message: ranInZone0,
		act:     endWith(policy.Reject),
		violation: "at 10s: message 1 is rejected, so that it may be submitted again, " +
			"though a call may have run",
	},
	{
		name:      "two final answers",
		message:   messageState{id: 1, ended: true},
		act:       endWith(policy.Fail),
		violation: "at 10s: message 1 has two final answers",
	},
	{
		name:      "no final answer in time",
		message:   messageState{id: 1, deadline: invariantTestNow - time.Second},
		act:       func(_ *explorer, s *state) { s.checkFinalAnswers(0) },
		violation: "at 10s: message 1, accepted by relay 0 at 0s, has no final answer 1s after its deadline",
	},
	{
		name:    "draining endpoint called",
		class:   classIdempotent,
		message: messageState{id: 1},
		act: func(x *explorer, s *state) {
			s.relays[0].observed["b"] = endpointChange{observedAt: invariantTestNow - 2*time.Second}
			sendToB(x, s)
		},
		violation: "at 10s: relay 0 calls b 2s after it observed that the endpoint drains",
	},
	{
		name:    "Retry-After ignored",
		class:   classIdempotent,
		message: messageState{id: 1},
		act: func(x *explorer, s *state) {
			s.relays[0].retryAfter[""] = invariantTestNow + time.Second
			sendToB(x, s)
		},
		violation: "at 10s: relay 0 calls b 1s before the end of a Retry-After",
	},
}

func TestInvariantsFail(t *testing.T) {
	for _, test := range invariantTests {
		t.Run(test.name, func(t *testing.T) {
			model := &Model{
				Relays:    1,
				Settings:  modelSettings(),
				Endpoints: newEndpoints(20, 0, 1),
				Messages:  newMessages(test.class),
			}
			x, s, err := newExplorer(model, nil)
			if err != nil {
				t.Fatal(err)
			}
			s.now = invariantTestNow
			if test.message.id != 0 {
				s.relays[0].messages = []messageState{test.message}
			}
			test.act(x, s)
			if s.violation == nil || s.violation.Detail != test.violation {
				t.Errorf("violation %+v, want %q", s.violation, test.violation)
			}
		})
	}
}
