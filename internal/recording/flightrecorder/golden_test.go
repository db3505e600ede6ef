package flightrecorder_test

import (
	"bytes"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder/recordertest"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
	"cherrytrestle.example/cherrytrestle/policy"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const (
	goldenID       = 0x1122334455667788
	goldenSeed     = 5
	goldenSteps    = 30
	goldenInterval = 100 * time.Millisecond
)

// goldenRun is a short run of an engine, with or without the fleet agent.
type goldenRun struct {
	engine   *policy.Engine
	agent    *agent.Agent // nil: the fleet is off
	recorder *flightrecorder.Recorder
	events   []policy.Event // of the next step
}

func newGoldenRun(t *testing.T, fleet bool) *goldenRun {
	t.Helper()
	settings := recordertest.Settings()
	engine, err := policy.New(settings, goldenSeed)
	if err != nil {
		t.Fatal(err)
	}
	meta := flightrecorder.Meta{
		Name:     "n1",
		Revision: "golden",
		Program:  "v1",
		Seed:     goldenSeed,
		Settings: settings,
		Started:  time.Unix(1e9, 0).UTC(),
	}
	run := &goldenRun{engine: engine, recorder: flightrecorder.NewRecorderWithID(goldenID, meta, 0, engine.Snapshot)}
	if fleet {
		run.agent = agent.New(agent.Settings{
			Self:             "n1",
			Incarnation:      loadreport.Incarnation{Generation: 1, Boot: 2},
			Members:          []string{"n1", "n2"},
			DestinationKinds: settings.DestinationKinds,
			ShareQuota:       true,
			FleetSize:        2,
		})
		run.recorder.RecordFleet(run.agent.Snapshot)
	}
	return run
}

func goldenEndpoints() []policy.Endpoint {
	return []policy.Endpoint{
		{ID: "s-1", Destination: 1, Weight: 5, InService: true},
		{ID: "s-2", Destination: 1, Zone: 1, Weight: 5, InService: true},
		{ID: "s-3", Destination: 3, Kind: 1, Weight: 5, InService: true},
	}
}

// goldenInput returns what the agent receives from another member in a step.
func goldenInput(step int) agent.Input {
	incarnation := loadreport.Incarnation{Generation: 4, Boot: 5}
	scope := quota.Scope{Destination: 1}
	number := uint64(step + 1)
	switch step % 5 {
	case 2:
		return agent.Input{Received: []loadreport.Report{{
			Name:        "n2",
			Incarnation: incarnation,
			Sequence:    number,
			Age:         time.Millisecond,
			Scopes: []loadreport.ScopeLoad{
				{Destination: 1, Demand: 2, Calls: 1, Backlog: 3, RetryAfter: time.Second},
			},
		}}}
	case 3:
		return agent.Input{Quota: []quota.Message{{
			Member:           "n2",
			Incarnation:      incarnation,
			Seq:              number,
			TransitTime:      time.Millisecond,
			AckedSeq:         1,
			AckedIncarnation: loadreport.Incarnation{Generation: 1, Boot: 2},
			Ping:             true,
			Leases:           []quota.Lease{{Scope: scope, Rate: 1, Delivered: uint32(step)}},
			Requests:         []quota.Request{{Scope: scope, ID: uint32(step), Calls: 2, Delivered: uint32(step)}},
			Grants:           []quota.Grant{{Scope: scope, ID: 1, Calls: 1}},
		}}}
	}
	return agent.Input{}
}

// step steps the engine and the agent, records the step as the relay does, and collects the events of the next step.
func (r *goldenRun) step(number int, now time.Duration) {
	events := r.events
	r.events = nil
	actions := r.engine.Step(now, events)
	if r.agent == nil {
		r.recorder.Step(now, events, actions)
	} else {
		r.stepFleet(number, now, events, actions)
	}
	for _, action := range actions {
		switch action.Kind {
		case policy.Send:
			r.events = append(r.events, goldenOutcome(number, action))
		case policy.SetTimer:
			r.events = append(r.events, policy.Event{Kind: policy.TimerFired})
		}
	}
}

// stepFleet steps the agent, and records its step together with the engine's.
func (r *goldenRun) stepFleet(number int, now time.Duration, events []policy.Event, actions []policy.Action) {
	in := goldenInput(number)
	in.Events = events
	in.Actions = actions
	in.Views = func() []policy.EndpointView {
		views, _ := r.engine.Views()
		return views
	}
	out := r.agent.Step(now, in)
	record := agent.Record{
		Received:      in.Received,
		Published:     out.Published,
		QuotaReceived: in.Quota,
		QuotaSent:     out.Quota,
	}
	r.recorder.StepWithFleet(now, events, actions, record.Append(nil))
	r.events = out.Events
}

// goldenOutcome returns the outcome of an attempt.
func goldenOutcome(number int, action policy.Action) policy.Event {
	e := policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    action.MessageID,
		Endpoint:     action.Endpoint,
		Latency:      goldenInterval,
		MessageEnded: true,
	}
	if number%4 == 0 {
		e.Outcome = policy.Overloaded
		e.MessageEnded = false
		e.RetryAfter = time.Second
	}
	if number%4 == 1 {
		e.LimitReport = policy.LimitReport{Present: true, Remaining: 0.5, Limit: 5}
	}
	return e
}

// acceptMessages adds the acceptance of two messages to the events of the next step, and in some steps another event.
func (r *goldenRun) acceptMessages(number int) {
	id := policy.MessageID(number + 1)
	r.recorder.Label(id, fmt.Sprintf("trace-%d", id))
	for i := range policy.MessageID(2) {
		e := policy.Event{
			Kind:        policy.MessageAccepted,
			MessageID:   10*id + i,
			Class:       number % 3,
			Tenant:      number % 2,
			Destination: 1,
			TimeLeft:    4 * time.Second,
		}
		if e.Class == 1 {
			e.Key = "key"
		}
		if number == 7 {
			e.Recovered = &policy.RecoveredMessage{
				Attempts:      1,
				MayHaveRun:    true,
				SinceFirstRun: time.Second,
				FirstRunZone:  1,
			}
		}
		r.events = append(r.events, e)
	}
	switch number {
	case 9:
		r.events = append(r.events, policy.Event{Kind: policy.MessageCancelled, MessageID: 10 * id})
	case 11:
		r.events = append(r.events, policy.Event{Kind: policy.WatchFailed})
	case 13:
		removed := goldenEndpoints()[1]
		removed.InService = false
		removed.Removed = true
		r.events = append(r.events, policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{removed}})
	}
}

// record runs the engine and returns its recording.
func (r *goldenRun) record(t *testing.T) []byte {
	t.Helper()
	r.events = []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: goldenEndpoints()}}
	for number := range goldenSteps {
		now := time.Second + time.Duration(number)*goldenInterval
		r.acceptMessages(number)
		r.step(number, now)
		switch number {
		case 15:
			ids := []policy.MessageID{160, 161}
			r.recorder.SendChecked(now, "s-1", ids, r.engine.StillAllowed("s-1", ids, now))
		case 20:
			r.recorder.Note("a remark")
			r.recorder.Reconfigured(recordertest.Settings()) // begins a chunk with snapshots
		}
	}
	return ringData(t, r.recorder)
}

// rewrite records the entries of a recording with a new Recorder, and returns the new recording.
func rewrite(t *testing.T, entries []flightrecorder.Entry) []byte {
	t.Helper()
	var recorder *flightrecorder.Recorder
	var state, fleetState []byte
	for i, e := range entries {
		switch e.Kind {
		case flightrecorder.Begin:
			state = e.State
			hasFleet := entries[i+1].Kind == flightrecorder.FleetState
			if hasFleet {
				fleetState = entries[i+1].State
			}
			if recorder != nil {
				recorder.Reconfigured(e.Meta.Settings)
				continue
			}
			appendState := func(b []byte) []byte { return append(b, state...) }
			recorder = flightrecorder.NewRecorderWithID(e.ID, e.Meta, 0, appendState)
			if hasFleet {
				recorder.RecordFleet(func(b []byte) []byte { return append(b, fleetState...) })
			}
		case flightrecorder.Step:
			var fleetStep []byte
			if i+1 < len(entries) && entries[i+1].Kind == flightrecorder.FleetStep {
				fleetStep = entries[i+1].State
			}
			recorder.StepWithFleet(e.Now, e.Events, e.Actions, fleetStep)
		case flightrecorder.SendChecked:
			recorder.SendChecked(e.Now, e.Endpoint, e.MessageIDs, e.Allowed)
		case flightrecorder.Label:
			recorder.Label(e.MessageID, e.Text)
		case flightrecorder.Note:
			recorder.Note(e.Text)
		}
	}
	return ringData(t, recorder)
}

// playGolden replays a whole recording and compares the engine's state at the second chunk. Then it replays the
// recording from that chunk.
func playGolden(t *testing.T, data []byte, entries []flightrecorder.Entry, fleet bool) {
	t.Helper()
	second := slices.IndexFunc(entries, func(e flightrecorder.Entry) bool {
		return e.Kind == flightrecorder.Begin && !e.Fresh
	})
	if second < 0 {
		t.Fatal("no chunk begins with a snapshot")
	}
	compared := false
	before := func(s *policy.Engine, e *flightrecorder.Entry) {
		if !compared && e.At > entries[second].At {
			compared = true
			if !bytes.Equal(s.Snapshot(nil), entries[second].State) {
				t.Error("the engine's state differs from the recorded snapshot")
			}
		}
	}
	check := func(name string, part []byte, visit replay.Visitor) {
		t.Helper()
		result, err := replay.Play(part, visit)
		if err != nil {
			t.Errorf("%s: %v", name, err)
			return
		}
		complete := len(result.Lost) == 0 && result.Segments == 1 && (result.FleetSteps > 0) == fleet
		if result.Difference != nil || !complete {
			t.Errorf("%s: %+v", name, result)
		}
	}
	check("whole", data, replay.Visitor{BeforeStep: before})
	check("from the snapshot", data[entries[second].At:], replay.Visitor{})
	if !compared {
		t.Error("no state was compared")
	}
}

// TestGoldenRecordings checks that this build makes the same recordings as earlier builds, reads them, replays them
// without a difference, and writes their entries again as the same bytes.
func TestGoldenRecordings(t *testing.T) {
	for name, fleet := range map[string]bool{"fleet-off": false, "fleet-on": true} {
		t.Run(name, func(t *testing.T) {
			data := golden.Check(t, *update, name+".flight", newGoldenRun(t, fleet).record(t))
			all := entries(t, data)
			golden.Check(t, *update, name+".txt", dump(t, all))
			golden.Check(t, false, name+".flight", rewrite(t, all))
			playGolden(t, data, all, fleet)
			grant := fmt.Appendf(nil, "  event {%d ", policy.QuotaGranted)
			granted := bytes.Contains(golden.Read(t, name+".txt"), grant)
			if granted != fleet {
				t.Errorf("recording has a QuotaGranted event: %t, want %t", granted, fleet)
			}
		})
	}
}
