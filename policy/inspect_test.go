package policy

import (
	"bytes"
	"math"
	"testing"
	"time"
)

// What holds a message is told for each cause that a test can bring about on given times.
func TestBlockersReportTheCause(t *testing.T) {
	settings := Settings{
		Classes: []Class{
			{
				Effect:           IdempotentByKey,
				DedupWindow:      10 * time.Second,
				LatencyObjective: 3 * time.Second,
				Deadline:         16 * time.Second,
			},
			{Effect: Idempotent, Ordered: true, Deadline: 16 * time.Second},
		},
		DestinationKinds: []DestinationKind{{MaxBatch: 1}}, FleetSize: 1, MaxInFlightCalls: 10, OverloadFactor: 2,
	}
	take := func(id uint32, classIndex int, key string) Event {
		return Event{Kind: MessageAccepted, MessageID: id, Class: classIndex, Key: key, TimeLeft: 16 * time.Second}
	}
	done := func(id uint32, n int, outcome Outcome, wait time.Duration) Event {
		return Event{
			Kind:         AttemptFinished,
			MessageID:    id,
			Attempt:      n,
			Endpoint:     "r",
			Outcome:      outcome,
			RetryAfter:   wait,
			MessageEnded: outcome == OK,
			Latency:      100 * time.Millisecond,
		}
	}
	listed := Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "r", InService: true, Weight: 50}}}
	drained := Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "r", Weight: 50}}}
	for _, test := range []struct {
		name  string
		steps [][]Event // a tenth of a second apart
		id    uint32
		want  BlockCause
	}{
		{"no endpoint", [][]Event{{take(1, 0, "")}}, 1, NoEndpoint},
		{"draining", [][]Event{{listed}, {drained, take(1, 0, "")}}, 1, EndpointDraining},
		{"Retry-After", [][]Event{{listed, take(1, 0, "")}, {done(1, 0, Overloaded, 2*time.Second)}}, 1, RetryAfterPending},
		{"crammed", [][]Event{{listed, take(1, 0, "")}, {done(1, 0, OK, 0)}, {take(2, 0, ""), take(3, 0, ""), take(4, 0, ""), take(5, 0, ""), take(6, 0, "")}}, 6, EndpointSaturated},
		{"turn", [][]Event{{listed, take(1, 1, "k"), take(2, 1, "k")}}, 2, WaitingForKey},
		{"pace", [][]Event{{listed, take(1, 0, "")}, {done(1, 0, Overloaded, 0)}, {take(2, 0, ""), take(3, 0, ""), take(4, 0, "")}}, 4, Paced},
		{"skip", [][]Event{
			{listed, take(1, 0, ""), take(2, 0, ""), take(3, 0, "")},
			{done(1, 0, ConnectFailed, 0)},
			{done(2, 0, ConnectFailed, 0)},
			{done(3, 0, ConnectFailed, 0)},
			{done(1, 1, ConnectFailed, 0), done(2, 1, ConnectFailed, 0)},
			{take(9, 0, "")},
		}, 9, EndpointEjected},
	} {
		engine, err := New(settings, 5)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Second
		for _, events := range test.steps {
			engine.Step(now, events)
			now += 100 * time.Millisecond
		}
		before := engine.Snapshot(nil)
		copied, err := Restore(settings, before)
		if err != nil {
			t.Fatal(err)
		}
		var got []Blocker
		for _, h := range copied.Blockers() {
			if h.MessageID == test.id {
				got = append(got, h)
			}
		}
		if len(got) != 1 || got[0].Cause != test.want || got[0].Until <= engine.now && got[0].Until < math.MaxInt64 {
			t.Errorf("%s: %+v, want cause %d", test.name, got, test.want)
		}
		if views, _ := engine.Views(); !bytes.Equal(engine.Snapshot(nil), before) {
			t.Errorf("%s: looking changed the Engine: %v", test.name, views)
		}
	}
}

func TestBlockCausesHaveNames(t *testing.T) {
	for _, test := range []struct {
		cause BlockCause
		want  string
	}{
		{NotBlocked, "not blocked"},
		{RetryAfterPending, "retry-after pending"},
		{NoEndpoint, "no endpoint"},
		{NoEndpoint + 1, "cause(15)"},
		{-1, "cause(-1)"},
	} {
		if got := test.cause.String(); got != test.want {
			t.Errorf("cause %d is named %q, want %q", int(test.cause), got, test.want)
		}
	}
	for cause := NotBlocked; cause <= NoEndpoint; cause++ {
		if cause.String() == "" {
			t.Errorf("cause %d has no name", int(cause))
		}
	}
}
