package agent

import (
	"bytes"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder/recordertest"
	"cherrytrestle.example/cherrytrestle/policy"
)

func testSettings() Settings {
	return Settings{
		Self:             "me",
		Incarnation:      loadreport.Incarnation{Generation: 1, Boot: 2},
		Members:          []string{"me", "a", "b"},
		DestinationKinds: recordertest.Settings().DestinationKinds,
	}
}

func quotaSettings() Settings {
	settings := testSettings()
	settings.ShareQuota = true
	settings.FleetSize = 20
	return settings
}

func noViews() []policy.EndpointView { return nil }

// engineHistory returns the recorded steps of an engine.
func engineHistory(t *testing.T, seed uint64) []flightrecorder.Entry {
	t.Helper()
	_, recorder := recordertest.Drive(seed, 20*time.Second, 64<<20, nil)
	var buf bytes.Buffer
	if _, err := recorder.WriteTo(&buf); err != nil {
		t.Fatal(err)
	}
	reader, err := flightrecorder.NewReader(buf.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	var steps []flightrecorder.Entry
	for {
		entry, ok, err := reader.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return steps
		}
		if entry.Kind == flightrecorder.Step {
			steps = append(steps, entry)
		}
	}
}

// historyInput returns the input for the n-th recorded step. Every 97th step also receives a report of another
// member.
func historyInput(entry flightrecorder.Entry, n int) Input {
	in := Input{Events: entry.Events, Actions: entry.Actions, Views: noViews}
	if n%97 == 0 {
		in.Received = []loadreport.Report{{
			Name:        "a",
			Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1},
			Sequence:    uint64(n + 1),
			Scopes:      []loadreport.ScopeLoad{{Destination: 1, Calls: 2}},
		}}
	}
	return in
}

// addQuota adds a message to a step's input with which another member lends and requests quota, and an action with
// which this member requests quota.
func addQuota(in *Input, n int) {
	scope := quota.Scope{Destination: 1}
	in.Quota = []quota.Message{{
		Member:      "a",
		Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1},
		Seq:         uint64(n + 1),
		Leases:      []quota.Lease{{Scope: scope, Rate: 0.1, Delivered: uint32(n)}},
		Requests:    []quota.Request{{Scope: scope, ID: uint32(n), Calls: 1}},
	}}
	request := policy.Action{Kind: policy.RequestQuota, Endpoint: "s-1", Calls: 2}
	in.Actions = append(slices.Clip(in.Actions), request)
}

// An agent that is restored from a snapshot in the middle of a history continues with the same output and state as
// one that is not restored.
func TestRestoredAgentContinuesAlike(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { testRestoredAgent(t, seed) })
	}
	if _, err := Restore([]byte("no state")); err == nil {
		t.Error("Restore accepts bytes that are not a snapshot")
	}
}

func testRestoredAgent(t *testing.T, seed uint64) {
	original := New(quotaSettings())
	restored := New(quotaSettings())
	published := 0
	quotaOutputs := 0
	for i, entry := range engineHistory(t, seed) {
		in := historyInput(entry, i)
		if i%61 == 0 {
			addQuota(&in, i)
		}
		want := original.Step(entry.Now, in)
		got := restored.Step(entry.Now, in)
		if !reflect.DeepEqual(want, got) {
			t.Fatalf("step %d: original returned %v, restored %v", i, want, got)
		}
		published += len(want.Published)
		quotaOutputs += len(want.Quota) + len(want.Events)
		if i%701 == 700 {
			restored = restoredCopy(t, original)
		}
	}
	if quotaOutputs < 50 {
		t.Errorf("%d quota messages and events, want at least 50", quotaOutputs)
	}
	if published < 20 || original.Reports().AggregateOthers(original.Now, 1, "").Members == 0 {
		t.Errorf("%d reports published, want at least 20, and a report of another member must be held", published)
	}
}

// restoredCopy restores an agent from the original's snapshot, and checks that the copy writes the same snapshot.
func restoredCopy(t *testing.T, original *Agent) *Agent {
	t.Helper()
	snapshot := original.Snapshot(nil)
	restored, err := Restore(snapshot)
	if err != nil {
		t.Fatal(err)
	}
	if again := restored.Snapshot(nil); !bytes.Equal(snapshot, again) {
		t.Fatal("the restored agent writes another snapshot than the original")
	}
	return restored
}

// BenchmarkStep measures the two steps that process one message: its acceptance and call, and its delivery.
func BenchmarkStep(b *testing.B) {
	a := New(testSettings())
	var list []policy.Endpoint
	for d := range policy.DestinationID(30) {
		list = append(list, policy.Endpoint{ID: fmt.Sprint("s-", d), Destination: d, Weight: 50, InService: true})
	}
	a.Step(time.Second, Input{Events: []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: list}}})
	events := make([]policy.Event, 1)
	actions := make([]policy.Action, 1)
	b.ReportAllocs()
	id := policy.MessageID(0)
	for now := time.Second; b.Loop(); now += time.Millisecond {
		id++
		destination := policy.DestinationID(id % 30)
		events[0] = policy.Event{Kind: policy.MessageAccepted, MessageID: id, Destination: destination}
		actions[0] = policy.Action{Kind: policy.Send, MessageID: id, Endpoint: list[id%30].ID}
		a.Step(now, Input{Events: events, Actions: actions, Views: noViews})
		events[0] = policy.Event{
			Kind:         policy.AttemptFinished,
			MessageID:    id,
			Endpoint:     list[id%30].ID,
			Outcome:      policy.OK,
			MessageEnded: true,
		}
		a.Step(now, Input{Events: events, Views: noViews})
	}
}
