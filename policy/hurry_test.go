package policy

import (
	"testing"
	"time"
)

// A class with less time than an answer of most hosts may take has all its calls cut before that. A host that hangs is
// skipped all the same; a call of a class with more time that was cut as early, for want of time left, still skips
// none.
func TestHangingEndpointIsEjectedWithShortDeadlines(t *testing.T) {
	hasty := Class{
		Effect:           Idempotent,
		LatencyObjective: 350 * time.Millisecond,
		Deadline:         900 * time.Millisecond,
		Weight:           1,
	}
	for _, test := range []struct {
		name  string
		class Class
		left  time.Duration
		skips bool
	}{
		{"short times", hasty, 600 * time.Millisecond, true},
		{"long times, little left", Class{Effect: Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second, Weight: 1}, 600 * time.Millisecond, false},
		{"short times, hardly any left", hasty, 300 * time.Millisecond, false},
	} {
		engine, err := New(
			Settings{Classes: []Class{test.class}, DestinationKinds: []DestinationKind{{MaxBatch: 1}}, FleetSize: 2},
			1,
		)
		if err != nil {
			t.Fatal(err)
		}
		type out struct {
			at time.Duration
			ev Event
		}
		var outs []out
		events := []Event{
			{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "hangs", Destination: 5, Weight: 30, InService: true}}},
		}
		now, id, cut := time.Second, uint32(0), 0
		for now < 9*time.Second && (engine.endpoints["hangs"] == nil || !engine.endpoints["hangs"].ejected) {
			id++
			events = append(events, Event{Kind: MessageAccepted, MessageID: id, Destination: 5, TimeLeft: test.left})
			for _, a := range engine.Step(now, events) {
				if a.Kind == Send {
					outs = append(outs, out{a.TimeoutAt, Event{
						Kind: AttemptFinished, MessageID: a.MessageID, Attempt: engine.messages[a.MessageID].attempts - 1, Endpoint: a.Endpoint, Outcome: Timeout, Latency: a.TimeoutAt - now,
					}})
				}
			}
			now, events = now+50*time.Millisecond, nil
			for len(outs) > 0 && outs[0].at <= now {
				events, outs, cut = append(events, outs[0].ev), outs[1:], cut+1
			}
		}
		if down := engine.endpoints["hangs"].ejected; down != test.skips || cut < ejectAfterFailures {
			t.Errorf("%s: skipped %v after %d calls, want %v", test.name, down, cut, test.skips)
		}
	}
}
