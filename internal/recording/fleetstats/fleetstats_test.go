package fleetstats

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

// recordRelay records a life of one relay: a bundle of two is refused with a wait and later delivered, late by one message.
func recordRelay(t *testing.T, name string, started time.Time) flightrecorder.Recording {
	t.Helper()
	set := policy.Settings{
		Classes: []policy.Class{
			{LatencyObjective: time.Second, Deadline: 10 * time.Second},
		}, DestinationKinds: []policy.DestinationKind{{MaxBatch: 2}, {LimitPerEndpoint: true}},
	}
	rec := flightrecorder.NewRecorder(
		flightrecorder.Meta{Name: name, Settings: set, Started: started},
		1<<20,
		func(b []byte) []byte { return b },
	)
	rec.Step(time.Second, []policy.Event{
		{
			Kind: policy.EndpointSnapshot,
			Endpoints: []policy.Endpoint{
				{ID: "a", Destination: 1, Weight: 7},
				{ID: "b", Destination: 2, Kind: 1, Weight: 3},
			},
		},
		{Kind: policy.MessageAccepted, MessageID: 1, Destination: 1, TimeLeft: 10 * time.Second},
		{
			Kind:        policy.MessageAccepted,
			MessageID:   2,
			Destination: 1,
			TimeLeft:    10 * time.Second,
			Recovered:   &policy.RecoveredMessage{},
		},
	}, []policy.Action{{Kind: policy.Send, MessageID: 1, Endpoint: "a"}, {Kind: policy.Send, MessageID: 2, Endpoint: "a"}})
	rec.Step(2*time.Second, []policy.Event{
		{
			Kind:       policy.AttemptFinished,
			MessageID:  1,
			Endpoint:   "a",
			Outcome:    policy.Overloaded,
			RetryAfter: time.Second,
		},
		{Kind: policy.AttemptFinished, MessageID: 2, Endpoint: "a", Outcome: policy.Overloaded},
		{Kind: policy.MessageAccepted, MessageID: 3, Destination: 2, TimeLeft: 10 * time.Second},
	}, []policy.Action{{Kind: policy.Send, MessageID: 3, Endpoint: "b"}, {Kind: policy.Reject, MessageID: 2}})
	rec.Step(
		3*time.Second,
		[]policy.Event{{Kind: policy.AttemptFinished, MessageID: 3, Endpoint: "b", Outcome: policy.Timeout}},
		[]policy.Action{{Kind: policy.Fail, MessageID: 3}, {Kind: policy.Send, MessageID: 1, Endpoint: "a"}},
	)
	rec.Step(
		4*time.Second,
		[]policy.Event{
			{
				Kind:         policy.AttemptFinished,
				MessageID:    1,
				Attempt:      1,
				Endpoint:     "a",
				Outcome:      policy.OK,
				MessageEnded: true,
			},
		},
		nil,
	)
	var data bytes.Buffer
	if _, err := rec.WriteTo(&data); err != nil {
		t.Fatal(err)
	}
	return flightrecorder.Recording{
		Data: data.Bytes(),
		Meta: flightrecorder.Meta{Name: name, Settings: set, Started: started},
	}
}

func TestCountsAcrossRelays(t *testing.T) {
	start := time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)
	f, err := Read(
		[]flightrecorder.Recording{recordRelay(t, "n0", start), recordRelay(t, "n1", start.Add(time.Second))},
		time.Second,
	)
	if err != nil {
		t.Fatal(err)
	}
	if f.Relays != 2 || f.Limits["1"] != 7 || f.Limits["2/b"] != 3 {
		t.Errorf("relays %d, told %v", f.Relays, f.Limits)
	}
	all := map[string]Counts{}
	for _, places := range f.Bins {
		for place, c := range places {
			sum := all[place]
			sum.add(&c)
			all[place] = sum
		}
	}
	for place, want := range map[string]Counts{
		"1":   {Accepted: 4, Recovered: 2, Calls: 4, Sent: 6, Rejected: 2, WithRetryAfter: 2, Delivered: 2, Late: 2, RejectedMessages: 2},
		"2":   {Accepted: 2, FailedMessages: 2},
		"2/b": {Calls: 2, Sent: 2, FailedCalls: 2},
	} {
		if all[place] != want {
			t.Errorf("place %s: %+v, want %+v", place, all[place], want)
		}
	}
	// The second relay began a second later: its first step falls into the next bin.
	if a, b := f.Bins[1]["1"].Accepted, f.Bins[2]["1"].Accepted; a != 2 || b != 2 {
		t.Errorf("taken in the first bins: %d, %d", a, b)
	}
	var out bytes.Buffer
	if err := f.Write(&out, 0, 2*time.Second, "1"); err != nil || strings.Count(out.String(), "\n") != 3 {
		t.Errorf("one place up to 2 s: %v\n%s", err, out.String())
	}
}

// A recording that begins in mid-life, a ring that was written out say, tells its places from the module's state; what
// it says of messages that came before is told apart.
func TestRecordingThatStartsWithASnapshot(t *testing.T) {
	set := policy.Settings{
		Classes:          []policy.Class{{LatencyObjective: time.Second, Deadline: 10 * time.Second}},
		DestinationKinds: []policy.DestinationKind{{}, {LimitPerEndpoint: true}},
	}
	s, err := policy.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	s.Step(time.Second, []policy.Event{
		{
			Kind:      policy.EndpointSnapshot,
			Endpoints: []policy.Endpoint{{ID: "b", Destination: 2, Kind: 1, Weight: 3, InService: true}},
		},
		{Kind: policy.MessageAccepted, MessageID: 1, Destination: 2, TimeLeft: 10 * time.Second},
	})
	meta := flightrecorder.Meta{Name: "n0", Settings: set, Started: time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)}
	rec := flightrecorder.ResumeRecorder(meta, 1<<20, s.Snapshot, time.Second)
	step := func(now time.Duration, evs ...policy.Event) { rec.Step(now, evs, s.Step(now, evs)) }
	step(
		2*time.Second,
		policy.Event{Kind: policy.AttemptFinished, MessageID: 1, Endpoint: "b", Outcome: policy.OK, MessageEnded: true},
		policy.Event{Kind: policy.MessageAccepted, MessageID: 2, Destination: 2, TimeLeft: 10 * time.Second},
	)
	step(3*time.Second, policy.Event{Kind: policy.AttemptFinished, MessageID: 2, Endpoint: "b", Outcome: policy.Error})
	var data bytes.Buffer
	if _, err := rec.WriteTo(&data); err != nil {
		t.Fatal(err)
	}
	f, err := Read([]flightrecorder.Recording{{Data: data.Bytes(), Meta: meta}}, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if f.Limits["2/b"] != 3 || f.Bins[0]["2"] != (Counts{Accepted: 1, Delivered: 1}) {
		t.Errorf("told %v, counted %+v", f.Limits, f.Bins)
	}
	if c := f.Bins[0]["2/b"]; c.Calls == 0 || c.FailedCalls != 1 {
		t.Errorf("calls of the route that stands apart: %+v", c)
	}
}
