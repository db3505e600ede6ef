package fleetstats

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

var testStart = time.Date(2026, 12, 1, 9, 0, 0, 0, time.UTC)

func accepted(id policy.MessageID, destination policy.DestinationID) policy.Event {
	return policy.Event{
		Kind:        policy.MessageAccepted,
		MessageID:   id,
		Destination: destination,
		TimeLeft:    10 * time.Second,
	}
}

func send(id policy.MessageID, endpoint string) policy.Action {
	return policy.Action{Kind: policy.Send, MessageID: id, Endpoint: endpoint}
}

func finished(id policy.MessageID, endpoint string, outcome policy.Outcome) policy.Event {
	return policy.Event{Kind: policy.AttemptFinished, MessageID: id, Endpoint: endpoint, Outcome: outcome}
}

func recordingOf(t *testing.T, recorder *flightrecorder.Recorder, meta flightrecorder.Meta) flightrecorder.Recording {
	t.Helper()
	var data bytes.Buffer
	if _, err := recorder.WriteTo(&data); err != nil {
		t.Fatal(err)
	}
	return flightrecorder.Recording{Data: data.Bytes(), Meta: meta}
}

// recordRelay records one relay: a call with two messages is rejected with a Retry-After, and one of the messages is
// delivered later, after its latency objective. A call to another destination times out.
func recordRelay(t *testing.T, name string, started time.Time) flightrecorder.Recording {
	t.Helper()
	meta := flightrecorder.Meta{
		Name:    name,
		Started: started,
		Settings: policy.Settings{
			Classes:          []policy.Class{{LatencyObjective: time.Second, Deadline: 10 * time.Second}},
			DestinationKinds: []policy.DestinationKind{{MaxBatch: 2}, {LimitPerEndpoint: true}},
		},
	}
	endpoints := policy.Event{
		Kind: policy.EndpointSnapshot,
		Endpoints: []policy.Endpoint{
			{ID: "a", Destination: 1, Weight: 7},
			{ID: "b", Destination: 2, Kind: 1, Weight: 3},
		},
	}
	recovered := accepted(2, 1)
	recovered.Recovered = &policy.RecoveredMessage{}
	withRetryAfter := finished(1, "a", policy.Overloaded)
	withRetryAfter.RetryAfter = time.Second
	delivered := finished(1, "a", policy.OK)
	delivered.Attempt = 1
	delivered.MessageEnded = true

	recorder := flightrecorder.NewRecorder(meta, 1<<20, func(b []byte) []byte { return b })
	recorder.Step(
		time.Second,
		[]policy.Event{endpoints, accepted(1, 1), recovered},
		[]policy.Action{send(1, "a"), send(2, "a")},
	)
	recorder.Step(
		2*time.Second,
		[]policy.Event{withRetryAfter, finished(2, "a", policy.Overloaded), accepted(3, 2)},
		[]policy.Action{send(3, "b"), {Kind: policy.Reject, MessageID: 2}},
	)
	recorder.Step(
		3*time.Second,
		[]policy.Event{finished(3, "b", policy.Timeout)},
		[]policy.Action{{Kind: policy.Fail, MessageID: 3}, send(1, "a")},
	)
	recorder.Step(4*time.Second, []policy.Event{delivered}, nil)
	return recordingOf(t, recorder, meta)
}

// readTwoRelays returns the counts of two relays with equal recordings. The second relay started a second later.
func readTwoRelays(t *testing.T) *Fleet {
	t.Helper()
	f, err := Read([]flightrecorder.Recording{
		recordRelay(t, "n0", testStart),
		recordRelay(t, "n1", testStart.Add(time.Second)),
	}, time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func TestCountsAcrossRelays(t *testing.T) {
	f := readTwoRelays(t)
	if f.Relays != 2 || f.Limits["1"] != 7 || f.Limits["2/b"] != 3 {
		t.Errorf("relays %d, limits %v, want 2 relays and the limits 1: 7, 2/b: 3", f.Relays, f.Limits)
	}
	all := map[string]Counts{}
	for _, scopes := range f.Bins {
		for scope, counts := range scopes {
			sum := all[scope]
			sum.add(&counts)
			all[scope] = sum
		}
	}
	for scope, want := range map[string]Counts{
		"1": {
			Accepted:         4,
			Recovered:        2,
			Calls:            4,
			Sent:             6,
			Rejected:         2,
			WithRetryAfter:   2,
			Delivered:        2,
			Late:             2,
			RejectedMessages: 2,
		},
		"2":   {Accepted: 2, FailedMessages: 2},
		"2/b": {Calls: 2, Sent: 2, FailedCalls: 2},
	} {
		if all[scope] != want {
			t.Errorf("scope %s: counts %+v, want %+v", scope, all[scope], want)
		}
	}
	// The first step of the second relay falls into the next bin.
	if a, b := f.Bins[1]["1"].Accepted, f.Bins[2]["1"].Accepted; a != 2 || b != 2 {
		t.Errorf("accepted in bins 1 and 2: %d and %d, want 2 and 2", a, b)
	}
}

// TestWriteOneScope checks that the table of one scope up to 2 s has two header lines and one bin.
func TestWriteOneScope(t *testing.T) {
	var out bytes.Buffer
	err := readTwoRelays(t).Write(&out, 0, 2*time.Second, "1")
	if err != nil || strings.Count(out.String(), "\n") != 3 {
		t.Errorf("table of one scope up to 2 s: error %v, want 3 lines:\n%s", err, out.String())
	}
}

// TestRecordingThatStartsWithASnapshot reads a recording that starts with a snapshot and has no endpoint list, like a
// dump of the recorder's ring. The rate-limit scopes must be those in the snapshot. Messages that were accepted
// before the snapshot must not be counted as accepted.
func TestRecordingThatStartsWithASnapshot(t *testing.T) {
	settings := policy.Settings{
		Classes:          []policy.Class{{LatencyObjective: time.Second, Deadline: 10 * time.Second}},
		DestinationKinds: []policy.DestinationKind{{}, {LimitPerEndpoint: true}},
	}
	engine, err := policy.New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	engine.Step(time.Second, []policy.Event{
		{
			Kind:      policy.EndpointSnapshot,
			Endpoints: []policy.Endpoint{{ID: "b", Destination: 2, Kind: 1, Weight: 3, InService: true}},
		},
		accepted(1, 2),
	})
	meta := flightrecorder.Meta{Name: "n0", Settings: settings, Started: testStart}
	recorder := flightrecorder.ResumeRecorder(meta, 1<<20, engine.Snapshot, time.Second)
	step := func(now time.Duration, events ...policy.Event) {
		recorder.Step(now, events, engine.Step(now, events))
	}
	delivered := finished(1, "b", policy.OK)
	delivered.MessageEnded = true
	step(2*time.Second, delivered, accepted(2, 2))
	step(3*time.Second, finished(2, "b", policy.Error))

	f, err := Read([]flightrecorder.Recording{recordingOf(t, recorder, meta)}, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if f.Limits["2/b"] != 3 || f.Bins[0]["2"] != (Counts{Accepted: 1, Delivered: 1}) {
		t.Errorf("limits %v, counts %+v", f.Limits, f.Bins)
	}
	if c := f.Bins[0]["2/b"]; c.Calls == 0 || c.FailedCalls != 1 {
		t.Errorf("calls of an endpoint with its own limit: %+v", c)
	}
}
