package explain

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder/recordertest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// recordedEngine is an engine whose steps are recorded, with a virtual clock and a timer.
type recordedEngine struct {
	engine   *policy.Engine
	recorder *flightrecorder.Recorder
	now      time.Duration
	timerAt  time.Duration
	sends    map[policy.MessageID]int // attempts by message
}

func newRecordedEngine(t *testing.T) *recordedEngine {
	t.Helper()
	settings := policy.Settings{
		Classes: []policy.Class{
			{Effect: policy.Idempotent, LatencyObjective: 3 * time.Second, Deadline: 16 * time.Second},
		},
		DestinationKinds: []policy.DestinationKind{{MaxBatch: 1}},
		FleetSize:        1,
		MaxInFlightCalls: 10,
		MaxAttempts:      8,
		OverloadFactor:   2,
	}
	engine, err := policy.New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	meta := flightrecorder.Meta{Name: "n1", Revision: policy.Revision(), Seed: 1, Settings: settings}
	return &recordedEngine{
		engine:   engine,
		recorder: flightrecorder.NewRecorder(meta, 0, engine.Snapshot),
		now:      time.Second,
		sends:    map[policy.MessageID]int{},
	}
}

func (e *recordedEngine) step(events ...policy.Event) {
	actions := e.engine.Step(e.now, events)
	e.recorder.Step(e.now, events, actions)
	for _, action := range actions {
		switch action.Kind {
		case policy.SetTimer:
			e.timerAt = e.now + action.Delay
		case policy.Send:
			e.sends[action.MessageID]++
		}
	}
}

// advanceTo advances the clock to a time, and fires the timer whenever it is due on the way.
func (e *recordedEngine) advanceTo(at time.Duration) {
	for e.timerAt > e.now && e.timerAt <= at {
		e.now = e.timerAt
		e.timerAt = 0
		e.step(policy.Event{Kind: policy.TimerFired})
	}
	e.now = at
}

func (e *recordedEngine) explain(t *testing.T, options Options) *Report {
	t.Helper()
	var b bytes.Buffer
	if _, err := e.recorder.WriteTo(&b); err != nil {
		t.Fatal(err)
	}
	report, err := Explain(b.Bytes(), options)
	if err != nil || report.Replay.Difference != nil {
		t.Fatalf("explain: error %v, report %+v", err, report)
	}
	return report
}

// endpointSnapshot returns an endpoint list with one endpoint, which belongs to destination 7.
func endpointSnapshot() policy.Event {
	return policy.Event{
		Kind:      policy.EndpointSnapshot,
		Endpoints: []policy.Endpoint{{ID: "r", Destination: 7, Weight: 50, InService: true}},
	}
}

func accepted(id policy.MessageID) policy.Event {
	return policy.Event{Kind: policy.MessageAccepted, MessageID: id, Destination: 7, TimeLeft: 16 * time.Second}
}

func connectFailed(id policy.MessageID, attempt int) policy.Event {
	return policy.Event{
		Kind:      policy.AttemptFinished,
		MessageID: id,
		Attempt:   attempt,
		Endpoint:  "r",
		Outcome:   policy.ConnectFailed,
	}
}

// recordRetryAfter records a message that is rejected with a Retry-After of two seconds, and then delivered.
func recordRetryAfter(t *testing.T) *recordedEngine {
	t.Helper()
	e := newRecordedEngine(t)
	e.recorder.Label(1, "trace-one")
	e.step(endpointSnapshot(), accepted(1))
	e.advanceTo(1100 * time.Millisecond)
	e.step(policy.Event{
		Kind:       policy.AttemptFinished,
		MessageID:  1,
		Endpoint:   "r",
		Outcome:    policy.Overloaded,
		RetryAfter: 2 * time.Second,
		Latency:    100 * time.Millisecond,
	})
	e.advanceTo(4 * time.Second)
	e.step(policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    1,
		Attempt:      1,
		Endpoint:     "r",
		Outcome:      policy.OK,
		Latency:      500 * time.Millisecond,
		MessageEnded: true,
	})
	return e
}

// TestMessageIsExplained checks that all of a message's wait is attributed to the Retry-After that caused it.
func TestMessageIsExplained(t *testing.T) {
	report := recordRetryAfter(t).explain(t, Options{Messages: true})
	d := report.Destinations[0]
	if d.ID != 7 || d.Accepted != 1 || d.Sent != 2 {
		t.Errorf("destination %+v", d)
	}
	if d.Calls[policy.OK] != 1 || d.Calls[policy.Overloaded] != 1 {
		t.Errorf("calls %v", d.Calls)
	}
	if w := d.Waits[policy.RetryAfterPending]; math.Abs(w-2) > 0.01 || math.Abs(d.Waits.Sum()-w) > 0.01 {
		t.Errorf("waits %v", d.Waits)
	}
	m := report.Messages[1]
	if len(m.Spans) != 1 || m.Spans[0].Cause != policy.RetryAfterPending {
		t.Errorf("spans %+v", m.Spans)
	}
	if len(m.Attempts) != 2 || m.Attempts[0].RetryAfter != 2*time.Second || m.End != "delivered" {
		t.Errorf("message %+v", m)
	}
}

func TestWriteMessage(t *testing.T) {
	report := recordRetryAfter(t).explain(t, Options{Messages: true})
	var text strings.Builder
	if err := WriteMessage(&text, report.Messages[1]); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"trace-one",
		"waits  2.000s: told to wait r",
		"refused after 0.100s, told to wait 2s",
		"delivered, 3.000s after it was accepted",
	} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("%q is missing:\n%s", want, text.String())
		}
	}
}

func TestWriteJSON(t *testing.T) {
	report := recordRetryAfter(t).explain(t, Options{Messages: true})
	var out strings.Builder
	if err := WriteJSON(&out, report); err != nil {
		t.Fatal(err)
	}
	kinds := map[string]int{}
	for line := range strings.Lines(out.String()) {
		var record struct{ Kind string }
		if err := json.Unmarshal([]byte(line), &record); err != nil {
			t.Errorf("%s: %v", line, err)
		}
		kinds[record.Kind]++
	}
	if kinds["report"] != 1 || kinds["destination"] != 1 || kinds["message"] != 1 || kinds["transition"] < 2 {
		t.Errorf("lines by kind: %v", kinds)
	}
}

func TestWriteHTML(t *testing.T) {
	report := recordRetryAfter(t).explain(t, Options{Messages: true})
	var html strings.Builder
	if err := WriteHTML(&html, report); err != nil {
		t.Fatal(err)
	}
	if strings.Contains(html.String(), "<script") || strings.Count(html.String(), "<svg") < 4 {
		t.Errorf("a page of %d bytes has a script or fewer than 4 plots", html.Len())
	}
}

func TestWriteTransitions(t *testing.T) {
	report := recordRetryAfter(t).explain(t, Options{Messages: true})
	var out strings.Builder
	if err := WriteTransitions(&out, report, 7); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"pace halved from free to", "(refused, wait 2s)"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing:\n%s", want, out.String())
		}
	}
}

// TestWaitsForAnEjectedEndpoint checks that the time after consecutive failures is attributed to the ejection.
func TestWaitsForAnEjectedEndpoint(t *testing.T) {
	e := newRecordedEngine(t)
	e.step(endpointSnapshot(), accepted(1), accepted(2), accepted(3))
	for id := range policy.MessageID(3) {
		e.advanceTo(e.now + 10*time.Millisecond)
		e.step(connectFailed(id+1, 0))
	}
	e.advanceTo(e.now + 10*time.Millisecond)
	var failed []policy.Event
	for id, n := range e.sends {
		if n == 2 {
			failed = append(failed, connectFailed(id, 1))
		}
	}
	e.step(failed...)
	from := e.now
	e.advanceTo(from + time.Second)
	e.step(policy.Event{Kind: policy.TimerFired})

	report := e.explain(t, Options{From: from})
	d := report.Destinations[0]
	ratio := d.Waits[policy.EndpointEjected] / d.Waits.Sum()
	if ratio < 0.99 || d.Waits.Sum() < 2.5 || d.MaxQueued != 3 {
		t.Errorf("share of the ejection in the waits: %v, destination %+v", ratio, d)
	}
	var text strings.Builder
	if err := WriteText(&text, report); err != nil || !strings.Contains(text.String(), "skipped 100 %") {
		t.Errorf("error %v, text:\n%s", err, text.String())
	}
}

// TestWaitsAddUp checks on random histories that the sum of all waits is the same by destination and by message, and
// that no message waits longer than the time from its acceptance to its end.
func TestWaitsAddUp(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			_, recorder := recordertest.Drive(seed, 30*time.Second, 64<<20, nil)
			var b bytes.Buffer
			if _, err := recorder.WriteTo(&b); err != nil {
				t.Fatal(err)
			}
			report, err := Explain(b.Bytes(), Options{Messages: true})
			if err != nil || report.Replay.Difference != nil || len(report.Destinations) != 5 {
				t.Fatalf("explain: error %v, replay %+v", err, report.Replay)
			}
			byDestination := 0.0
			causes := Waits{}
			for _, d := range report.Destinations {
				byDestination += d.Waits.Sum()
				for cause, seconds := range d.Waits {
					causes[cause] += seconds
				}
			}
			byMessage := 0.0
			for _, m := range report.Messages {
				byMessage += messageWait(t, report, m)
			}
			if math.Abs(byDestination-byMessage) > 0.001*byDestination || byDestination == 0 {
				t.Errorf("%v message-seconds by destination, %v by message", byDestination, byMessage)
			}
			if len(causes.Sorted()) < 5 {
				t.Errorf("waits for fewer than 5 causes: %v", causes)
			}
		})
	}
}

// messageWait returns the time that a message waited, in seconds. It checks that this is not longer than the time
// from the message's acceptance to its end.
func messageWait(t *testing.T, report *Report, m *Message) (waited float64) {
	t.Helper()
	for _, s := range m.Spans {
		waited += (s.To - s.From).Seconds()
	}
	end := m.EndedAt
	if end == 0 {
		end = report.To
	}
	if waited > (end-m.AcceptedAt).Seconds()+0.011 {
		t.Errorf("message %d waited %.3fs within %v", m.ID, waited, end-m.AcceptedAt)
	}
	return waited
}

func TestEmptyRecordingIsAnError(t *testing.T) {
	if _, err := Explain(nil, Options{}); err == nil {
		t.Error("no error for an empty recording")
	}
}

func TestAllCausesAndOutcomesHaveNames(t *testing.T) {
	for c := policy.NotBlocked; c <= policy.NoEndpoint; c++ {
		if CauseName(c) == "" {
			t.Errorf("cause %d has no name", c)
		}
	}
	if CauseName(-1) != "cause -1" || OutcomeName(99) != "outcome 99" || OutcomeName(policy.NotSent) == "" {
		t.Error("wrong names for unknown causes and outcomes, or no name for NotSent")
	}
}
