package flightrecorder_test

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder/recordertest"
	"cherrytrestle.example/cherrytrestle/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// ringData returns the contents of a recorder's ring.
func ringData(t testing.TB, rec *flightrecorder.Recorder) []byte {
	t.Helper()
	var b bytes.Buffer
	if _, err := rec.WriteTo(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// entries reads a whole recording.
func entries(t testing.TB, data []byte) (all []flightrecorder.Entry) {
	t.Helper()
	r, err := flightrecorder.NewReader(data)
	if err != nil {
		t.Fatal(err)
	}
	for {
		e, ok, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return all
		}
		all = append(all, e)
	}
}

func newRecorder(ringSize int) *flightrecorder.Recorder {
	meta := flightrecorder.Meta{Name: "n1", Settings: recordertest.Settings()}
	appendState := func(b []byte) []byte { return append(b, "state"...) }
	return flightrecorder.NewRecorder(meta, ringSize, appendState)
}

var (
	drawNumber      = rapid.IntRange(-3, math.MaxInt32)
	drawDuration    = rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "ns")) })
	drawDestination = rapid.Map(drawNumber, func(n int) policy.DestinationID { return policy.DestinationID(n) })
	drawMessageID   = rapid.Map(rapid.Uint32(), func(n uint32) policy.MessageID { return policy.MessageID(n) })
	drawName        = rapid.SampledFrom([]string{
		"", "s-1", "s-2", "a name with \x00 and ü", strings.Repeat("long", 90),
	})
)

func drawEvent(t *rapid.T) policy.Event {
	kind := rapid.SampledFrom([]policy.EventKind{
		policy.MessageAccepted,
		policy.AttemptFinished,
		policy.MessageCancelled,
		policy.EndpointSnapshot,
		policy.EndpointDelta,
		policy.WatchFailed,
		policy.TimerFired,
		policy.HealthChecked,
		policy.QuotaGranted,
	}).Draw(t, "kind")
	e := policy.Event{Kind: kind}
	switch kind {
	case policy.MessageAccepted:
		drawMessage(t, &e)
	case policy.AttemptFinished, policy.HealthChecked:
		drawAttempt(t, &e)
	case policy.MessageCancelled:
		e.MessageID = drawMessageID.Draw(t, "id")
	case policy.EndpointSnapshot, policy.EndpointDelta:
		for range rapid.IntRange(0, 5).Draw(t, "endpoints") {
			e.Endpoints = append(e.Endpoints, policy.Endpoint{
				ID:          drawName.Draw(t, "endpoint"),
				Destination: drawDestination.Draw(t, "destination"),
				Kind:        drawNumber.Draw(t, "kind"),
				Zone:        drawNumber.Draw(t, "zone"),
				Weight:      rapid.Float64().Draw(t, "weight"),
				InService:   rapid.Bool().Draw(t, "in service"),
				Removed:     rapid.Bool().Draw(t, "removed"),
				Relisted:    rapid.Bool().Draw(t, "relisted"),
			})
		}
	case policy.QuotaGranted:
		e.Destination = drawDestination.Draw(t, "destination")
		e.Endpoint = drawName.Draw(t, "endpoint")
		e.ReservedFraction = rapid.Float64().Draw(t, "reserved fraction")
		e.GrantedCalls = drawNumber.Draw(t, "granted calls")
		e.TimeLeft = drawDuration.Draw(t, "time left")
	}
	return e
}

func drawMessage(t *rapid.T, e *policy.Event) {
	e.MessageID = drawMessageID.Draw(t, "id")
	e.Class = drawNumber.Draw(t, "class")
	e.Tenant = drawNumber.Draw(t, "tenant")
	e.Destination = drawDestination.Draw(t, "destination")
	e.TimeLeft = drawDuration.Draw(t, "time left")
	e.Key = rapid.StringN(0, 40, 400).Draw(t, "key")
	if !rapid.Bool().Draw(t, "recovered") {
		return
	}
	e.Recovered = &policy.RecoveredMessage{Attempts: drawNumber.Draw(t, "attempts")}
	if rapid.Bool().Draw(t, "may have run") {
		e.Recovered.MayHaveRun = true
		e.Recovered.SinceFirstRun = drawDuration.Draw(t, "since first run")
		e.Recovered.FirstRunZone = drawNumber.Draw(t, "zone")
	}
	if rapid.Bool().Draw(t, "has terms") {
		class := policy.Class{
			Effect:           policy.Effect(rapid.IntRange(0, 2).Draw(t, "effect")),
			Ordered:          rapid.Bool().Draw(t, "ordered"),
			DedupAllZones:    rapid.Bool().Draw(t, "dedup in all zones"),
			DedupWindow:      drawDuration.Draw(t, "dedup window"),
			LatencyObjective: drawDuration.Draw(t, "latency objective"),
			Deadline:         drawDuration.Draw(t, "deadline"),
			Weight:           rapid.Float64().Draw(t, "weight"),
		}
		e.Recovered.Terms = &policy.MessageTerms{Class: class, MaxAttempts: drawNumber.Draw(t, "max attempts")}
	}
}

func drawAttempt(t *rapid.T, e *policy.Event) {
	e.MessageID = drawMessageID.Draw(t, "id")
	e.Attempt = drawNumber.Draw(t, "attempt")
	e.Endpoint = drawName.Draw(t, "endpoint")
	e.Outcome = policy.Outcome(rapid.IntRange(0, 7).Draw(t, "outcome"))
	e.Latency = drawDuration.Draw(t, "latency")
	e.MessageEnded = rapid.Bool().Draw(t, "ended")
	if rapid.Bool().Draw(t, "has Retry-After") {
		e.RetryAfter = drawDuration.Draw(t, "Retry-After")
	}
	if rapid.Bool().Draw(t, "has limit report") {
		e.LimitReport = policy.LimitReport{
			Present:   true,
			Remaining: rapid.Float64().Draw(t, "remaining"),
			Limit:     rapid.Float64().Draw(t, "limit"),
		}
	}
}

func drawAction(t *rapid.T) policy.Action {
	a := policy.Action{Kind: policy.ActionKind(rapid.IntRange(0, int(policy.RequestQuota)).Draw(t, "action"))}
	duration := drawDuration.Draw(t, "duration")
	switch a.Kind {
	case policy.Send:
		a.MessageID = drawMessageID.Draw(t, "id")
		a.Endpoint = "s-9"
		a.TimeoutAt = duration
	case policy.Reject, policy.Fail:
		a.MessageID = drawMessageID.Draw(t, "id")
		a.Delay = duration
	case policy.SetTimer:
		a.Delay = duration
	case policy.CloseIdle:
		a.Endpoint = "s-9"
	case policy.RequestQuota:
		a.Endpoint = "s-9"
		a.Calls = drawNumber.Draw(t, "calls")
	}
	return a
}

// recordEntry records a random entry, and returns the entry that must be read.
func recordEntry(t *rapid.T, rec *flightrecorder.Recorder, i int) flightrecorder.Entry {
	now := time.Duration(rapid.Int64Range(-1e12, 1e15).Draw(t, "now"))
	var e flightrecorder.Entry
	switch rapid.IntRange(0, 5).Draw(t, "what") {
	case 0:
		e.Kind = flightrecorder.Note
		e.Text = fmt.Sprint("note ", i)
		rec.Note(e.Text)
	case 1:
		e.Kind = flightrecorder.Label
		e.MessageID = drawMessageID.Draw(t, "id")
		e.Text = "trace"
		rec.Label(e.MessageID, e.Text)
	case 2:
		e.Kind = flightrecorder.SendChecked
		e.Now = now
		e.Endpoint = "s-1"
		e.MessageIDs = rapid.SliceOfN(drawMessageID, 1, 4).Draw(t, "ids")
		e.Allowed = rapid.Bool().Draw(t, "allowed")
		rec.SendChecked(now, e.Endpoint, e.MessageIDs, e.Allowed)
	default:
		e.Kind = flightrecorder.Step
		e.Now = now
		for range rapid.IntRange(0, 4).Draw(t, "events") {
			e.Events = append(e.Events, drawEvent(t))
		}
		for range rapid.IntRange(0, 4).Draw(t, "actions") {
			e.Actions = append(e.Actions, drawAction(t))
		}
		rec.Step(e.Now, e.Events, e.Actions)
	}
	return e
}

// TestReaderReadsWhatWasRecorded checks that random entries are read back as they were recorded.
func TestReaderReadsWhatWasRecorded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rec := newRecorder(64 << 20)
		var want []flightrecorder.Entry
		for i := range rapid.IntRange(0, 60).Draw(rt, "entries") {
			want = append(want, recordEntry(rt, rec, i))
		}
		got := entries(t, ringData(t, rec))
		if got[0].Kind != flightrecorder.Begin || !got[0].Fresh || got[0].Meta.Name != "n1" ||
			!reflect.DeepEqual(got[0].Meta.Settings, recordertest.Settings()) {
			rt.Fatalf("first entry: %+v", got[0])
		}
		got = got[1:]
		if len(got) != len(want) {
			rt.Fatalf("%d entries, want %d", len(got), len(want))
		}
		for i := range got {
			got[i].At = 0
			if format(got[i]) != format(want[i]) {
				rt.Fatalf("entry %d:\n%s\nwant\n%s", i, format(got[i]), format(want[i]))
			}
		}
	})
}

// format formats an entry for comparison: pointers are replaced by the values that they point to, and empty lists equal
// nil ones.
func format(e flightrecorder.Entry) string {
	text := fmt.Sprintf("%+v", e)
	for _, x := range e.Events {
		text += fmt.Sprintf(" %+v %q", x.Recovered, x.Key)
		text = strings.ReplaceAll(text, fmt.Sprintf("Recovered:%p", x.Recovered), "")
		if x.Recovered != nil && x.Recovered.Terms != nil {
			text += fmt.Sprintf(" %+v", *x.Recovered.Terms)
			text = strings.ReplaceAll(text, fmt.Sprintf("Terms:%p", x.Recovered.Terms), "")
		}
	}
	return text
}

// TestNilRecorder checks that the methods of a nil Recorder do nothing.
func TestNilRecorder(t *testing.T) {
	var rec *flightrecorder.Recorder
	rec.PrepareStep(nil)
	rec.Step(1, nil, nil)
	rec.Label(1, "x")
	rec.SendChecked(1, "r", nil, true)
	rec.Note("n")
	if n, err := rec.WriteTo(io.Discard); n != 0 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
}

// TestStepTooLarge checks that a step too large for a frame is left out, and that the recording continues after it with
// a chunk that begins with the engine's state.
func TestStepTooLarge(t *testing.T) {
	rec := newRecorder(0)
	rec.Step(1, make([]policy.Event, 1<<20+1), nil)
	rec.Note("behind")
	all := entries(t, ringData(t, rec))
	last := all[len(all)-3:]
	if last[0].Kind != flightrecorder.Begin || string(last[0].State) != "state" ||
		!strings.Contains(last[1].Text, "is missing") ||
		last[2].Text != "behind" {
		t.Errorf("%+v", all)
	}
}

func BenchmarkStep(b *testing.B) {
	meta := flightrecorder.Meta{Settings: recordertest.Settings()}
	appendState := func(b []byte) []byte { return append(b, make([]byte, 4096)...) }
	rec := flightrecorder.NewRecorder(meta, 0, appendState)
	accepted := policy.Event{
		Kind:        policy.MessageAccepted,
		MessageID:   1,
		Class:       1,
		Destination: 7,
		TimeLeft:    16 * time.Second,
	}
	finished := policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    1,
		Endpoint:     "s-5be2a07c",
		Latency:      250 * time.Millisecond,
		MessageEnded: true,
	}
	events := []policy.Event{accepted, finished}
	actions := []policy.Action{
		{Kind: policy.Send, MessageID: 1, Endpoint: "s-5be2a07c", TimeoutAt: time.Hour},
		{Kind: policy.SetTimer, Delay: time.Millisecond},
	}
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += 5 * time.Millisecond
		events[0].MessageID++
		events[1].MessageID = events[0].MessageID
		actions[0].MessageID = events[0].MessageID
		rec.Step(now, events, actions)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(4*b.N), "ns/event")
	before := rec.OpenChunkSize()
	rec.Label(events[0].MessageID, "9b1f03aa5c7e2d41")
	rec.Step(now, events, actions)
	b.ReportMetric(float64(rec.OpenChunkSize()-before), "bytes/message")
}
