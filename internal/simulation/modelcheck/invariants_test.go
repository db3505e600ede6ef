package modelcheck

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// invariantTestNow is when the actions of the tests are made.
const invariantTestNow = 10 * time.Second

// ranInZone0 is a message whose first attempt may have run in zone 0, a second ago.
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

// invariantTests have an action or a state that violates an invariant.
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
		violation: `at 10s: relay 0 sends message 1 to "b", of which one is not there`,
	},
	{
		name:      "sent after its end",
		message:   messageState{id: 1, ended: true},
		act:       sendToB,
		violation: "at 10s: message 1 is sent after its end",
	},
	{
		name:      "non-idempotent message repeated",
		class:     classNonIdempotent,
		message:   ranInZone0,
		act:       sendToB,
		violation: "at 10s: message 1 must never run twice, may have run, and is sent again",
	},
	{
		name:      "repeated in another zone",
		class:     classIdempotentByKey,
		message:   ranInZone0,
		act:       sendToB,
		violation: "at 10s: message 1 may have run in zone 0 and is repeated in zone 1",
	},
	{
		name:      "repeated after its window",
		class:     classIdempotentByKey,
		message:   messageState{id: 1, mayHaveRun: true, firstRunAt: invariantTestNow - 3*time.Second},
		act:       sendToB,
		violation: "at 10s: message 1 is repeated 1s after its window",
	},
	{
		name:    "rejected after it may have run",
		class:   classIdempotentByKey,
		message: ranInZone0,
		act:     endWith(policy.Reject),
		violation: "at 10s: message 1 is refused, which says that it may come again, " +
			"though a call may have run",
	},
	{
		name:      "ended twice",
		message:   messageState{id: 1, ended: true},
		act:       endWith(policy.Fail),
		violation: "at 10s: message 1 ends twice",
	},
	{
		name:      "no end in time",
		message:   messageState{id: 1, deadline: invariantTestNow - time.Second},
		act:       func(_ *explorer, s *state) { s.checkFinalAnswers(0) },
		violation: "at 10s: message 1, taken on by relay 0 at 0s, has no end 1s after its time",
	},
	{
		name:    "draining endpoint called",
		class:   classIdempotent,
		message: messageState{id: 1},
		act: func(x *explorer, s *state) {
			s.relays[0].observed["b"] = endpointChange{observedAt: invariantTestNow - 2*time.Second}
			sendToB(x, s)
		},
		violation: "at 10s: relay 0 sends to b 2s after it was told that it is no longer in service",
	},
	{
		name:    "Retry-After ignored",
		class:   classIdempotent,
		message: messageState{id: 1},
		act: func(x *explorer, s *state) {
			s.relays[0].retryAfter[""] = invariantTestNow + time.Second
			sendToB(x, s)
		},
		violation: "at 10s: relay 0 sends to b 1s before the end of a told wait",
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
				t.Errorf("%+v, not %q", s.violation, test.violation)
			}
		})
	}
}
