package replay

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder/recordertest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// recordingOf returns the recording of a recorder.
func recordingOf(t testing.TB, recorder *flightrecorder.Recorder) []byte {
	t.Helper()
	var b bytes.Buffer
	if _, err := recorder.WriteTo(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// TestRecordingReplays checks that random histories replay without a difference, both complete recordings and those of
// which the ring holds only the last chunks.
func TestRecordingReplays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		span := time.Duration(rapid.IntRange(2, 25).Draw(rt, "seconds")) * time.Second
		ring := rapid.SampledFrom([]int{flightrecorder.MinRingSize, 64 << 20}).Draw(rt, "ring")
		_, rec := recordertest.Drive(seed, span, ring, nil)
		res, err := Play(recordingOf(t, rec), Visitor{})
		if err != nil || res.Difference != nil || len(res.Lost) > 0 || res.Steps == 0 || res.Segments != 1 {
			rt.Fatalf("%v, %+v", err, res)
		}
	})
}

// TestRingIsBoundedAndReplays records far more than the ring's size. The ring must stay within its bound, and its
// contents at the end must replay.
func TestRingIsBoundedAndReplays(t *testing.T) {
	maxSize := 0
	measureSize := func(_ *policy.Engine, rec *flightrecorder.Recorder) { maxSize = max(maxSize, rec.Size()) }
	_, rec := recordertest.Drive(3, 4*time.Minute, flightrecorder.MinRingSize, measureSize)
	data := recordingOf(t, rec)
	if maxSize > flightrecorder.MinRingSize*5/4 || len(data) < flightrecorder.MinRingSize/2 {
		t.Errorf("ring held up to %d bytes, %d at the end, want about %d",
			maxSize, len(data), flightrecorder.MinRingSize)
	}
	res, err := Play(data, Visitor{})
	if err != nil || res.Difference != nil || res.From == 0 || res.Chunks < 2 || res.States != res.Chunks-1 {
		t.Errorf("%v, %+v", err, res)
	}
}

// edit returns a copy of a recording with another revision. change is called with each entry and its index, and may
// modify the entry.
func edit(t *testing.T, data []byte, revision string, change func(n int, e *flightrecorder.Entry)) []byte {
	t.Helper()
	reader, err := flightrecorder.NewReader(data)
	if err != nil {
		t.Fatal(err)
	}
	var rec *flightrecorder.Recorder
	for n := 0; ; n++ {
		e, ok, err := reader.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return recordingOf(t, rec)
		}
		change(n, &e)
		switch e.Kind {
		case flightrecorder.Begin:
			if rec == nil {
				meta := e.Meta
				meta.Revision = revision
				rec = flightrecorder.NewRecorder(meta, 64<<20, func(b []byte) []byte { return b })
			}
		case flightrecorder.Step:
			rec.Step(e.Now, e.Events, e.Actions)
		case flightrecorder.SendChecked:
			rec.SendChecked(e.Now, e.Endpoint, e.MessageIDs, e.Allowed)
		}
	}
}

// changeFirst replaces one action of a recording: the first one after entry 20 for which change returns true. It
// returns the changed recording and the time of the action's step.
func changeFirst(t *testing.T, data []byte, change func(a *policy.Action) bool) (changed []byte, at time.Duration) {
	t.Helper()
	done := false
	changed = edit(t, data, policy.Revision(), func(n int, e *flightrecorder.Entry) {
		for i := range e.Actions {
			action := e.Actions[i]
			if !done && n > 20 && change(&action) {
				e.Actions[i] = action
				done = true
				at = e.Now
			}
		}
	})
	if !done {
		t.Error("no action was changed")
	}
	return changed, at
}

// TestFirstDifferenceIsReported checks that the replay of a recording with one changed action reports the step and
// both actions.
func TestFirstDifferenceIsReported(t *testing.T) {
	_, rec := recordertest.Drive(5, 10*time.Second, 64<<20, nil)
	data := recordingOf(t, rec)
	for _, c := range []struct {
		name   string
		change func(a *policy.Action) bool
		want   string
	}{
		{"endpoint", func(a *policy.Action) bool { a.Endpoint += "x"; return a.Kind == policy.Send }, "send"},
		{"timeout", func(a *policy.Action) bool { a.TimeoutAt++; return a.Kind == policy.Send }, "send"},
		{"timer", func(a *policy.Action) bool { a.Delay++; return a.Kind == policy.SetTimer }, "timer"},
		{"Retry-After", func(a *policy.Action) bool { a.Delay++; return a.Kind == policy.Reject }, "reject"},
	} {
		t.Run(c.name, func(t *testing.T) {
			changed, at := changeFirst(t, data, c.change)
			res, err := Play(changed, Visitor{})
			if err != nil || res.Difference == nil {
				t.Fatalf("%v, %+v", err, res)
			}
			if d := res.Difference; d.Now != at || !strings.Contains(d.Replayed, c.want) || d.Recorded == d.Replayed {
				t.Errorf("changed at %v: %v", at, d)
			}
		})
	}
}

// TestMissingActionIsReported replays a recording that lacks an action of the engine.
func TestMissingActionIsReported(t *testing.T) {
	_, rec := recordertest.Drive(5, 10*time.Second, 64<<20, nil)
	dropped := false
	changed := edit(t, recordingOf(t, rec), policy.Revision(), func(n int, e *flightrecorder.Entry) {
		if n > 20 && !dropped && len(e.Actions) > 0 {
			e.Actions = slices.Clone(e.Actions[:len(e.Actions)-1])
			dropped = true
		}
	})
	res, err := Play(changed, Visitor{})
	if err != nil || res.Difference == nil || res.Difference.Recorded != "" {
		t.Errorf("%v, %+v", err, res)
	}
}

// TestChangedSendCheckIsReported replays a recording in which each check has the opposite result.
func TestChangedSendCheckIsReported(t *testing.T) {
	_, rec := recordertest.Drive(5, 10*time.Second, 64<<20, nil)
	changed := edit(t, recordingOf(t, rec), policy.Revision(), func(_ int, e *flightrecorder.Entry) {
		e.Allowed = !e.Allowed
	})
	res, err := Play(changed, Visitor{})
	if err != nil || res.Difference == nil || !strings.Contains(res.Difference.What, "still leave") {
		t.Errorf("%v, %+v", err, res)
	}
}

// TestRecordingOfAnotherRevision checks that a recording of another revision is replayed, and that the result reports
// the other revision. A recording that begins with a state that this build cannot read is an error.
func TestRecordingOfAnotherRevision(t *testing.T) {
	_, rec := recordertest.Drive(5, 10*time.Second, 64<<20, nil)
	res, err := Play(edit(t, recordingOf(t, rec), "0123", func(int, *flightrecorder.Entry) {}), Visitor{})
	if err != nil || res.Difference != nil || res.SameRevision() || res.Steps == 0 {
		t.Errorf("%v, %+v", err, res)
	}
	engine, err := policy.New(recordertest.Settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	meta := flightrecorder.Meta{Revision: "0123", Settings: recordertest.Settings()}
	unknownState := func(b []byte) []byte { return append(b, 0xfe, 0xff, 1) }
	recorder := flightrecorder.NewRecorder(meta, flightrecorder.MinRingSize, unknownState)
	for i := range 40000 { // more steps than the ring holds, so that its first chunk begins with a state
		now := time.Second + time.Duration(i)*time.Millisecond
		events := []policy.Event{{Kind: policy.TimerFired}}
		recorder.Step(now, events, engine.Step(now, events))
	}
	if res, err := Play(recordingOf(t, recorder), Visitor{}); err == nil || len(res.Lost) == 0 {
		t.Errorf("an unreadable state was accepted: %v, %+v", err, res)
	}
}

// TestTermsOfRecoveredMessagesAreReplayed checks that a message that was recovered with terms which the settings no
// longer have is replayed under these terms, and that the recording has a format that holds them.
func TestTermsOfRecoveredMessagesAreReplayed(t *testing.T) {
	settings := recordertest.Settings()
	engine, err := policy.New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	recorder := flightrecorder.NewRecorder(flightrecorder.Meta{Settings: settings, Seed: 1}, 0, engine.Snapshot)
	recovered := &policy.RecoveredMessage{
		Attempts:   1,
		MayHaveRun: true,
		Terms: &policy.MessageTerms{
			Class:       policy.Class{Effect: policy.NonIdempotent, Deadline: 5 * time.Second, Weight: 3},
			MaxAttempts: 2,
		},
	}
	for i := range 3 {
		now := time.Second + time.Duration(i)*time.Millisecond
		var events []policy.Event
		if i == 1 {
			accepted := policy.Event{Kind: policy.MessageAccepted, MessageID: 1, TimeLeft: time.Second}
			accepted.Recovered = recovered
			events = append(events, accepted)
		}
		recorder.PrepareStep(events)
		actions := engine.Step(now, events)
		recorder.Step(now, events, actions)
		if i == 1 && (len(actions) == 0 || actions[0].Kind != policy.Fail) {
			t.Fatalf("actions %+v, want the message to fail", actions)
		}
	}
	res, err := Play(recordingOf(t, recorder), Visitor{})
	last := lastFormat(t, recordingOf(t, recorder))
	if last != flightrecorder.Format {
		t.Errorf("format %d, want %d", last, flightrecorder.Format)
	}
	if err != nil || res.Difference != nil || len(res.Lost) > 0 || res.Steps != 3 {
		t.Errorf("%v, %+v", err, res)
	}
}

// lastFormat returns the format of the last chunk of a recording.
func lastFormat(t *testing.T, data []byte) (format int) {
	t.Helper()
	reader, err := flightrecorder.NewReader(data)
	if err != nil {
		t.Fatal(err)
	}
	for {
		e, ok, err := reader.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return format
		}
		if e.Kind == flightrecorder.Begin {
			format = e.Meta.Format
		}
	}
}

// changedSettings returns settings that differ from those of recordertest.
func changedSettings() policy.Settings {
	settings := recordertest.Settings()
	settings.MaxAttempts = 2
	settings.MaxInFlightCalls = 3
	settings.Classes[0].Effect = policy.NonIdempotent
	return settings
}

// driveWithChangedSettings changes the settings during a run, and records the change only if recorded is set.
func driveWithChangedSettings(t *testing.T, recorded bool) (*policy.Engine, *flightrecorder.Recorder) {
	t.Helper()
	steps := 0
	return recordertest.Drive(5, 6*time.Second, 64<<20, func(engine *policy.Engine, rec *flightrecorder.Recorder) {
		steps++
		if steps != 60 {
			return
		}
		if err := engine.Reconfigure(changedSettings()); err != nil {
			t.Fatal(err)
		}
		if recorded {
			rec.Reconfigured(changedSettings())
		}
	})
}

// TestChangedSettings checks that a run whose settings change replays without a difference if the change is recorded,
// and with one if it is not.
func TestChangedSettings(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		t.Run(fmt.Sprintf("recorded=%t", recorded), func(t *testing.T) {
			_, rec := driveWithChangedSettings(t, recorded)
			res, err := Play(recordingOf(t, rec), Visitor{})
			if err != nil || (res.Difference == nil) != recorded {
				t.Errorf("%v, %+v", err, res.Difference)
			}
		})
	}
}

// TestRecordingOfARestoredEngine checks that a recording that begins with the state of a restored engine replays.
func TestRecordingOfARestoredEngine(t *testing.T) {
	engine, rec := driveWithChangedSettings(t, true)
	first, err := Play(recordingOf(t, rec), Visitor{})
	if err != nil {
		t.Fatal(err)
	}
	restored, err := policy.Restore(changedSettings(), engine.Snapshot(nil))
	if err != nil {
		t.Fatal(err)
	}
	meta := flightrecorder.Meta{Revision: policy.Revision(), Settings: changedSettings()}
	resumed := flightrecorder.ResumeRecorder(meta, 0, restored.Snapshot, first.To)
	for i := range 20 {
		now := first.To + time.Duration(i+1)*50*time.Millisecond
		events := []policy.Event{{
			Kind:        policy.MessageAccepted,
			MessageID:   policy.MessageID(1<<20 + i),
			Destination: 1,
			TimeLeft:    3 * time.Second,
		}}
		resumed.Step(now, events, restored.Step(now, events))
	}
	res, err := Play(recordingOf(t, resumed), Visitor{})
	if err != nil || res.Difference != nil || res.Steps != 20 {
		t.Errorf("%v, %+v", err, res)
	}
}

// TestClockStepsAreReplayed checks that the engine is stepped with the recorded times, also where the clock jumped
// forwards or backwards.
func TestClockStepsAreReplayed(t *testing.T) {
	engine, err := policy.New(recordertest.Settings(), 9)
	if err != nil {
		t.Fatal(err)
	}
	meta := flightrecorder.Meta{Revision: policy.Revision(), Seed: 9, Settings: recordertest.Settings()}
	recorder := flightrecorder.NewRecorder(meta, flightrecorder.MinRingSize, engine.Snapshot)
	list := policy.Event{
		Kind:      policy.EndpointSnapshot,
		Endpoints: []policy.Endpoint{{ID: "a", Weight: 3, InService: true}},
	}
	times := []time.Duration{
		time.Second, 2 * time.Second, time.Hour, 30 * time.Second, 31 * time.Second, -time.Second, time.Minute,
	}
	for i, now := range times {
		events := []policy.Event{
			list,
			{Kind: policy.MessageAccepted, MessageID: policy.MessageID(i + 1), TimeLeft: 16 * time.Second},
		}
		recorder.Step(now, events, engine.Step(now, events))
	}
	var seen []time.Duration
	visitor := Visitor{
		AfterStep: func(_ *policy.Engine, e *flightrecorder.Entry) { seen = append(seen, e.Now) },
	}
	res, err := Play(recordingOf(t, recorder), visitor)
	if err != nil || res.Difference != nil || len(seen) != 7 || seen[3] != 30*time.Second || seen[5] != -time.Second {
		t.Errorf("%v, %+v, %v", err, res, seen)
	}
}

// TestTruncatedAndDamagedRecordings cuts a recording at each byte. The steps before the cut must replay. Then it flips
// one bit at many places. The replay must fail or report a lost part, and must not find a difference.
func TestTruncatedAndDamagedRecordings(t *testing.T) {
	_, rec := recordertest.Drive(7, 2500*time.Millisecond, flightrecorder.MinRingSize, nil)
	data := recordingOf(t, rec)
	complete, err := Play(data, Visitor{})
	if err != nil || complete.Difference != nil {
		t.Fatalf("%v, %+v", err, complete)
	}
	lastSteps := 0
	for cut := range data {
		res, err := Play(data[:cut], Visitor{})
		if err != nil {
			if lastSteps > 0 {
				t.Fatalf("cut at %d: %v", cut, err)
			}
			continue
		}
		if res.Difference != nil || res.Steps < lastSteps || res.Steps == complete.Steps && cut < len(data)-200 {
			t.Fatalf("cut at %d of %d: %+v", cut, len(data), res)
		}
		lastSteps = res.Steps
	}
	for at := 0; at < len(data); at += 1 + at%3 {
		bad := bytes.Clone(data)
		bad[at] ^= 1 << (at % 8)
		res, err := Play(bad, Visitor{})
		if err == nil && (res.Difference != nil || len(res.Lost) == 0) {
			t.Fatalf("byte %d changed: %+v", at, res)
		}
	}
}

// TestDamagedChunkIsSkipped checks that a replay starts again at the chunk after a damaged one.
func TestDamagedChunkIsSkipped(t *testing.T) {
	_, rec := recordertest.Drive(8, 3*time.Minute, 8*flightrecorder.MinRingSize, nil)
	data := recordingOf(t, rec)
	complete, err := Play(data, Visitor{})
	if err != nil || complete.Chunks < 3 {
		t.Fatalf("%v, %+v", err, complete)
	}
	bad := bytes.Clone(data)
	bad[len(bad)/2] ^= 4
	res, err := Play(bad, Visitor{})
	if err != nil || res.Difference != nil || len(res.Lost) == 0 || res.Segments != 2 ||
		res.Steps < complete.Steps/2 || res.Steps >= complete.Steps {
		t.Errorf("%v, %d steps of %d: %+v", err, res.Steps, complete.Steps, res)
	}
}

func FuzzPlay(f *testing.F) {
	_, rec := recordertest.Drive(2, 1500*time.Millisecond, flightrecorder.MinRingSize, nil)
	data := recordingOf(f, rec)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(_ *testing.T, data []byte) {
		if len(data) > 1<<20 {
			return
		}
		_, _ = Play(data, Visitor{}) // may fail, but must return and must not panic
		if found, err := flightrecorder.Split(data); err == nil {
			for _, recording := range found {
				_, _ = Play(recording.Data, Visitor{}) // the same requirements as above
			}
		}
	})
}

func BenchmarkReplay(b *testing.B) {
	_, rec := recordertest.Drive(4, time.Minute, 64<<20, nil)
	data := recordingOf(b, rec)
	events := 0
	for b.Loop() {
		res, err := Play(data, Visitor{})
		if err != nil || res.Difference != nil {
			b.Fatal(err, res.Difference)
		}
		events += res.Events
	}
	b.ReportMetric(float64(events)/b.Elapsed().Seconds(), "events/s")
}
