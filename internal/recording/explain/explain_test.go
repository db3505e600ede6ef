package explain

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder/recordertest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// recordedEngine records a Sender that is told things on given times, and woken as it asks.
type recordedEngine struct {
	engine   *policy.Engine
	recorder *flightrecorder.Recorder
	now      time.Duration
	timerAt  time.Duration
	sends    map[uint32]int // sends
}

func newRecordedEngine(t *testing.T, set policy.Settings) *recordedEngine {
	t.Helper()
	s, err := policy.New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	return &recordedEngine{
		engine: s, now: time.Second, sends: map[uint32]int{},
		recorder: flightrecorder.NewRecorder(
			flightrecorder.Meta{Name: "n1", Revision: policy.Revision(), Seed: 1, Settings: set},
			0,
			s.Snapshot,
		),
	}
}

func (x *recordedEngine) step(evs ...policy.Event) {
	acts := x.engine.Step(x.now, evs)
	x.recorder.Step(x.now, evs, acts)
	for _, a := range acts {
		switch a.Kind {
		case policy.SetTimer:
			x.timerAt = x.now + a.Delay
		case policy.Send:
			x.sends[a.MessageID]++
		}
	}
}

// until lets time pass, with the wakes that were asked for.
func (x *recordedEngine) until(at time.Duration) {
	for x.timerAt > x.now && x.timerAt <= at {
		x.now, x.timerAt = x.timerAt, 0
		x.step(policy.Event{Kind: policy.TimerFired})
	}
	x.now = at
}

func (x *recordedEngine) explain(t *testing.T, opts Options) *Report {
	t.Helper()
	var b bytes.Buffer
	if _, err := x.recorder.WriteTo(&b); err != nil {
		t.Fatal(err)
	}
	rep, err := Explain(b.Bytes(), opts)
	if err != nil || rep.Replay.Difference != nil {
		t.Fatalf("%v, %+v", err, rep)
	}
	return rep
}

func settings() policy.Settings {
	return policy.Settings{
		Classes: []policy.Class{
			{Effect: policy.Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second},
		},
		DestinationKinds: []policy.DestinationKind{
			{MaxBatch: 1},
		}, FleetSize: 1, MaxInFlightCalls: 10, MaxAttempts: 8, OverloadFactor: 2,
	}
}

func accepted(id uint32) policy.Event {
	return policy.Event{Kind: policy.MessageAccepted, MessageID: id, Destination: 7, TimeLeft: 16 * time.Second}
}

// A message that is refused with a wait is held by it for just that long, and its story tells so.
func TestMessageIsExplained(t *testing.T) {
	x := newRecordedEngine(t, settings())
	x.recorder.Label(1, "trace-one")
	x.step(
		policy.Event{
			Kind:      policy.EndpointSnapshot,
			Endpoints: []policy.Endpoint{{ID: "r", Destination: 7, Weight: 50, InService: true}},
		},
		accepted(1),
	)
	x.until(1100 * time.Millisecond)
	x.step(
		policy.Event{
			Kind:       policy.AttemptFinished,
			MessageID:  1,
			Endpoint:   "r",
			Outcome:    policy.Overloaded,
			RetryAfter: 2 * time.Second,
			Latency:    100 * time.Millisecond,
		},
	)
	x.until(4 * time.Second)
	x.step(
		policy.Event{
			Kind:         policy.AttemptFinished,
			MessageID:    1,
			Attempt:      1,
			Endpoint:     "r",
			Outcome:      policy.OK,
			Latency:      500 * time.Millisecond,
			MessageEnded: true,
		},
	)
	rep := x.explain(t, Options{Messages: true})
	d := rep.Destinations[0]
	if d.ID != 7 || d.Accepted != 1 || d.Sent != 2 || d.Calls[policy.OK] != 1 || d.Calls[policy.Overloaded] != 1 {
		t.Errorf("%+v", d)
	}
	if w := d.Waits[policy.RetryAfterPending]; math.Abs(w-2) > 0.01 || math.Abs(d.Waits.Sum()-w) > 0.01 {
		t.Errorf("waits %v", d.Waits)
	}
	m := rep.Messages[1]
	if len(m.Spans) != 1 || m.Spans[0].Cause != policy.RetryAfterPending || len(m.Attempts) != 2 ||
		m.End != "delivered" ||
		m.Attempts[0].RetryAfter != 2*time.Second {
		t.Errorf("%+v", m)
	}
	var text, jsonl, html, changes strings.Builder
	if err := WriteMessage(&text, m); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"trace-one", "waits  2.000s: told to wait r", "refused after 0.100s, told to wait 2s", "delivered, 3.000s after it was taken"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is not told:\n%s", want, text.String())
		}
	}
	if err := WriteJSON(&jsonl, rep); err != nil {
		t.Fatal(err)
	}
	kinds := map[string]int{}
	for line := range strings.Lines(jsonl.String()) {
		var x struct{ Kind string }
		if err := json.Unmarshal([]byte(line), &x); err != nil {
			t.Errorf("%s: %v", line, err)
		}
		kinds[x.Kind]++
	}
	if kinds["report"] != 1 || kinds["destination"] != 1 || kinds["message"] != 1 || kinds["transition"] < 2 {
		t.Errorf("%v", kinds)
	}
	if err := WriteHTML(&html, rep); err != nil || strings.Contains(html.String(), "<script") ||
		strings.Count(html.String(), "<svg") < 4 {
		t.Errorf("%v: %d bytes", err, html.Len())
	}
	if err := WriteTransitions(&changes, rep, 7); err != nil ||
		!strings.Contains(changes.String(), "pace halved from free to") ||
		!strings.Contains(changes.String(), "(refused, wait 2s)") {
		t.Errorf("%v\n%s", err, changes.String())
	}
}

// Shares of the time by cause come out as they were made: a skip after failures in a row, and the pace after it.
func TestSharesByCause(t *testing.T) {
	x := newRecordedEngine(t, settings())
	x.step(
		policy.Event{
			Kind:      policy.EndpointSnapshot,
			Endpoints: []policy.Endpoint{{ID: "r", Destination: 7, Weight: 50, InService: true}},
		},
		accepted(1),
		accepted(2),
		accepted(3),
	)
	for id := range uint32(3) {
		x.until(x.now + 10*time.Millisecond)
		x.step(
			policy.Event{Kind: policy.AttemptFinished, MessageID: id + 1, Endpoint: "r", Outcome: policy.ConnectFailed},
		)
	}
	x.until(x.now + 10*time.Millisecond)
	var failed []policy.Event
	for id, n := range x.sends {
		if n == 2 {
			failed = append(
				failed,
				policy.Event{
					Kind:      policy.AttemptFinished,
					MessageID: id,
					Attempt:   1,
					Endpoint:  "r",
					Outcome:   policy.ConnectFailed,
				},
			)
		}
	}
	x.step(failed...)
	from := x.now
	x.until(from + time.Second)
	x.step(policy.Event{Kind: policy.TimerFired})
	rep := x.explain(t, Options{From: from})
	d := rep.Destinations[0]
	if share := d.Waits[policy.EndpointEjected] / d.Waits.Sum(); share < 0.99 || d.Waits.Sum() < 2.5 ||
		d.MaxQueued != 3 {
		t.Errorf("%v, %+v", share, d)
	}
	var text strings.Builder
	if err := WriteText(&text, rep); err != nil || !strings.Contains(text.String(), "skipped 100 %") {
		t.Errorf("%v\n%s", err, text.String())
	}
}

// An explanation of a history with everything in it adds up: what waits is accounted for, and none waits longer than it
// was there.
func TestWaitsAddUp(t *testing.T) {
	for seed := range uint64(3) {
		_, rec := recordertest.Drive(seed, 30*time.Second, 64<<20, nil)
		var b bytes.Buffer
		if _, err := rec.WriteTo(&b); err != nil {
			t.Fatal(err)
		}
		rep, err := Explain(b.Bytes(), Options{Messages: true})
		if err != nil || rep.Replay.Difference != nil || len(rep.Destinations) != 5 {
			t.Fatalf("%v, %+v", err, rep.Replay)
		}
		sum, spans := 0.0, 0.0
		causes := Waits{}
		for _, d := range rep.Destinations {
			sum += d.Waits.Sum()
			for c, x := range d.Waits {
				causes[c] += x
			}
		}
		for _, m := range rep.Messages {
			waited := 0.0
			for _, s := range m.Spans {
				waited += (s.To - s.From).Seconds()
			}
			end := m.EndedAt
			if end == 0 {
				end = rep.To
			}
			if spans += waited; waited > (end-m.AcceptedAt).Seconds()+0.011 {
				t.Errorf("seed %d: message %d waited %.3fs within %v", seed, m.ID, waited, end-m.AcceptedAt)
			}
		}
		if math.Abs(sum-spans) > 0.001*sum || sum == 0 || len(causes.Sorted()) < 5 {
			t.Errorf("seed %d: %v message-seconds by destination, %v by message; %v", seed, sum, spans, causes)
		}
	}
	if _, err := Explain(nil, Options{}); err == nil {
		t.Error("nothing was explained")
	}
}

func TestAllCausesAndOutcomesHaveNames(t *testing.T) {
	for c := policy.NotBlocked; c <= policy.NoEndpoint; c++ {
		if CauseName(c) == "" {
			t.Errorf("cause %d has no name", c)
		}
	}
	if CauseName(-1) != "cause -1" || OutcomeName(99) != "outcome 99" || OutcomeName(policy.NotSent) == "" {
		t.Error("odd causes and outcomes have no name")
	}
}
