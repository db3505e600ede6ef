package policy

import (
	"bytes"
	"math"
	"testing"
	"time"
)

func blockerSettings() Settings {
	return Settings{
		Classes: []Class{
			{
				Effect:           IdempotentByKey,
				DedupWindow:      10 * time.Second,
				LatencyObjective: 3 * time.Second,
				Deadline:         16 * time.Second,
			},
			{Effect: Idempotent, Ordered: true, Deadline: 16 * time.Second},
		},
		DestinationKinds: []DestinationKind{{MaxBatch: 1}},
		FleetSize:        1,
		MaxInFlightCalls: 10,
		OverloadFactor:   2,
	}
}

// accepted returns events that submit messages of a class with an ordering key, which may be empty.
func accepted(classIndex int, key string, ids ...MessageID) (events []Event) {
	for _, id := range ids {
		event := Event{Kind: MessageAccepted, MessageID: id, Class: classIndex, Key: key, TimeLeft: 16 * time.Second}
		events = append(events, event)
	}
	return events
}

// finished returns the event that ends an attempt at endpoint r.
func finished(id MessageID, attemptNumber int, outcome Outcome, retryAfter time.Duration) Event {
	return Event{
		Kind:         AttemptFinished,
		MessageID:    id,
		Attempt:      attemptNumber,
		Endpoint:     "r",
		Outcome:      outcome,
		RetryAfter:   retryAfter,
		MessageEnded: outcome == OK,
		Latency:      100 * ms,
	}
}

// Blockers reports the cause that blocks a message. The cases are the causes that a test can produce by steps at
// fixed times.
func TestBlockersReportTheCause(t *testing.T) {
	listed := Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "r", InService: true, Weight: 50}}}
	drained := Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "r", Weight: 50}}}
	first := append([]Event{listed}, accepted(0, "", 1)...)
	for _, test := range []struct {
		name  string
		steps [][]Event // a tenth of a second apart
		id    MessageID
		want  BlockCause
	}{
		{"no endpoint", [][]Event{accepted(0, "", 1)}, 1, NoEndpoint},
		{"draining", [][]Event{{listed}, append([]Event{drained}, accepted(0, "", 1)...)}, 1, EndpointDraining},
		{"Retry-After", [][]Event{first, {finished(1, 0, Overloaded, 2*time.Second)}}, 1, RetryAfterPending},
		{
			"saturated",
			[][]Event{first, {finished(1, 0, OK, 0)}, accepted(0, "", 2, 3, 4, 5, 6)},
			6,
			EndpointSaturated,
		},
		{"ordering", [][]Event{append([]Event{listed}, accepted(1, "k", 1, 2)...)}, 2, WaitingForKey},
		{"paced", [][]Event{first, {finished(1, 0, Overloaded, 0)}, accepted(0, "", 2, 3, 4)}, 4, Paced},
		{"ejected", [][]Event{
			append([]Event{listed}, accepted(0, "", 1, 2, 3)...),
			{finished(1, 0, ConnectFailed, 0)},
			{finished(2, 0, ConnectFailed, 0)},
			{finished(3, 0, ConnectFailed, 0)},
			{finished(1, 1, ConnectFailed, 0), finished(2, 1, ConnectFailed, 0)},
			accepted(0, "", 9),
		}, 9, EndpointEjected},
	} {
		t.Run(test.name, func(t *testing.T) { checkBlocker(t, test.steps, test.id, test.want) })
	}
}

// checkBlocker checks that a message is blocked by one cause after some steps. Inspecting the Engine must not
// change it.
func checkBlocker(t *testing.T, steps [][]Event, id MessageID, want BlockCause) {
	t.Helper()
	engine, err := New(blockerSettings(), 5)
	if err != nil {
		t.Fatal(err)
	}
	now := time.Second
	for _, events := range steps {
		engine.Step(now, events)
		now += 100 * ms
	}
	before := engine.Snapshot(nil)
	restored, err := Restore(blockerSettings(), before)
	if err != nil {
		t.Fatal(err)
	}
	var got []Blocker
	for _, blocker := range restored.Blockers() {
		if blocker.MessageID == id {
			got = append(got, blocker)
		}
	}
	if len(got) != 1 || got[0].Cause != want || got[0].Until <= engine.now && got[0].Until < math.MaxInt64 {
		t.Errorf("blockers %+v, want the cause %v", got, want)
	}
	if views, _ := engine.Views(); !bytes.Equal(engine.Snapshot(nil), before) {
		t.Errorf("inspecting the Engine changed it; views: %v", views)
	}
}

// An endpoint is suspect from its failures on until its warm-up is over, and while it is ejected.
func TestSuspect(t *testing.T) {
	settings := blockerSettings()
	settings.WarmUpDuration = 10 * time.Second
	engine, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	listed := Event{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "r", InService: true, Weight: 50}}}
	checked := func(outcome Outcome) Event {
		return Event{Kind: HealthChecked, Endpoint: "r", Outcome: outcome, Latency: time.Second}
	}
	for _, step := range []struct {
		at      time.Duration
		events  []Event
		suspect bool
	}{
		{1 * time.Second, []Event{listed}, false},
		{2 * time.Second, []Event{checked(ConnectFailed), checked(ConnectFailed), checked(ConnectFailed)}, true},
		{6 * time.Second, []Event{checked(OK)}, true},
		{15 * time.Second, nil, true},
		{17 * time.Second, nil, false},
	} {
		engine.Step(step.at, step.events)
		if suspect := engine.Suspect("r"); suspect != step.suspect {
			t.Errorf("at %v: suspect %v, want %v", step.at, suspect, step.suspect)
		}
	}
	if engine.Suspect("unknown") {
		t.Error("an unknown endpoint is suspect")
	}
}
