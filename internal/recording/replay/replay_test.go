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

func written(t testing.TB, rec *flightrecorder.Recorder) []byte {
	t.Helper()
	var b bytes.Buffer
	if _, err := rec.WriteTo(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// Whatever is recorded replays without a difference, from its begin and from any chunk that the ring still holds.
func TestRecordingReplays(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		span := time.Duration(rapid.IntRange(2, 25).Draw(rt, "seconds")) * time.Second
		ring := rapid.SampledFrom([]int{flightrecorder.MinRingSize, 64 << 20}).Draw(rt, "ring")
		_, rec := recordertest.Drive(seed, span, ring, nil)
		res, err := Play(written(t, rec), Visitor{})
		if err != nil || res.Difference != nil || len(res.Lost) > 0 || res.Steps == 0 || res.Segments != 1 {
			rt.Fatalf("%v, %+v", err, res)
		}
	})
}

// A ring that was overwritten many times still begins at a place from which it plays, and within its bound.
func TestRingIsBoundedAndReplays(t *testing.T) {
	maxSize := 0
	_, rec := recordertest.Drive(
		3,
		4*time.Minute,
		flightrecorder.MinRingSize,
		func(_ *policy.Engine, rec *flightrecorder.Recorder) { maxSize = max(maxSize, rec.Size()) },
	)
	data := written(t, rec)
	if maxSize > flightrecorder.MinRingSize*5/4 || len(data) < flightrecorder.MinRingSize/2 {
		t.Errorf("held %d bytes at most, %d at the end, of %d", maxSize, len(data), flightrecorder.MinRingSize)
	}
	res, err := Play(data, Visitor{})
	if err != nil || res.Difference != nil || res.From == 0 || res.Chunks < 2 || res.States != res.Chunks-1 {
		t.Errorf("%v, %+v", err, res)
	}
}

// edit plays a recording again with something of it changed, and has it recorded so.
func edit(t *testing.T, data []byte, revision string, change func(n int, e *flightrecorder.Entry)) []byte {
	t.Helper()
	r, err := flightrecorder.NewReader(data)
	if err != nil {
		t.Fatal(err)
	}
	var rec *flightrecorder.Recorder
	for n := 0; ; n++ {
		e, ok, err := r.Next()
		if err != nil {
			t.Fatal(err)
		}
		if !ok {
			return written(t, rec)
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

// changeFirst changes the first action behind the recording's begin for which change returns true. It returns the
// recording and the time of that step.
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
		t.Error("nothing was changed")
	}
	return changed, at
}

// The first action that differs is reported, whatever it is: a replay that cannot fail shows nothing.
func TestFirstDifferenceIsReported(t *testing.T) {
	_, rec := recordertest.Drive(5, 10*time.Second, 64<<20, nil)
	data := written(t, rec)
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

func TestMissingActionIsReported(t *testing.T) {
	_, rec := recordertest.Drive(5, 10*time.Second, 64<<20, nil)
	dropped := false
	changed := edit(t, written(t, rec), policy.Revision(), func(n int, e *flightrecorder.Entry) {
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

func TestOtherSendCheckIsReported(t *testing.T) {
	_, rec := recordertest.Drive(5, 10*time.Second, 64<<20, nil)
	changed := edit(t, written(t, rec), policy.Revision(), func(_ int, e *flightrecorder.Entry) {
		e.Allowed = !e.Allowed
	})
	res, err := Play(changed, Visitor{})
	if err != nil || res.Difference == nil || !strings.Contains(res.Difference.What, "still leave") {
		t.Errorf("%v, %+v", err, res)
	}
}

// A recording of another revision is reported and replayed; from its middle only where this build can read the state.
func TestAnotherRevision(t *testing.T) {
	_, rec := recordertest.Drive(5, 10*time.Second, 64<<20, nil)
	res, err := Play(edit(t, written(t, rec), "0123", func(int, *flightrecorder.Entry) {}), Visitor{})
	if err != nil || res.Difference != nil || res.SameRevision() || res.Steps == 0 {
		t.Errorf("%v, %+v", err, res)
	}
	// A state that this build does not know.
	s, err := policy.New(recordertest.Settings(), 1)
	if err != nil {
		t.Fatal(err)
	}
	odd := flightrecorder.NewRecorder(
		flightrecorder.Meta{Revision: "0123", Settings: recordertest.Settings()},
		flightrecorder.MinRingSize,
		func(b []byte) []byte { return append(b, 0xfe, 0xff, 1) },
	)
	for i := range 40000 {
		now := time.Second + time.Duration(i)*time.Millisecond
		evs := []policy.Event{{Kind: policy.TimerFired}}
		odd.Step(now, evs, s.Step(now, evs))
	}
	if res, err := Play(written(t, odd), Visitor{}); err == nil || len(res.Lost) == 0 {
		t.Errorf("a state of no known form: %v, %+v", err, res)
	}
}

// changedSettings are other settings than those of a recordertest run.
func changedSettings() policy.Settings {
	settings := recordertest.Settings()
	settings.MaxAttempts = 2
	settings.MaxInFlightCalls = 3
	settings.Classes[0].Effect = policy.NonIdempotent
	return settings
}

// driveWithChangedSettings has the settings change during a run; the recorder is notified only if recorded is set.
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

// Settings that change during a run are recorded, and it replays without a difference; if they are not recorded it does
// not.
func TestChangedSettings(t *testing.T) {
	for _, recorded := range []bool{true, false} {
		t.Run(fmt.Sprintf("recorded=%t", recorded), func(t *testing.T) {
			_, rec := driveWithChangedSettings(t, recorded)
			res, err := Play(written(t, rec), Visitor{})
			if err != nil || (res.Difference == nil) != recorded {
				t.Errorf("%v, %+v", err, res.Difference)
			}
		})
	}
}

// A module that is restored begins a recording with its state, which replays without a difference.
func TestRestoredModule(t *testing.T) {
	engine, rec := driveWithChangedSettings(t, true)
	first, err := Play(written(t, rec), Visitor{})
	if err != nil {
		t.Fatal(err)
	}
	restored, err := policy.Restore(changedSettings(), engine.Snapshot(nil))
	if err != nil {
		t.Fatal(err)
	}
	resumed := flightrecorder.ResumeRecorder(
		flightrecorder.Meta{Revision: policy.Revision(), Settings: changedSettings()},
		0,
		restored.Snapshot,
		first.To,
	)
	for i := range 20 {
		now := first.To + time.Duration(i+1)*50*time.Millisecond
		events := []policy.Event{
			{
				Kind:        policy.MessageAccepted,
				MessageID:   policy.MessageID(1<<20 + i),
				Destination: 1,
				TimeLeft:    3 * time.Second,
			},
		}
		resumed.Step(now, events, restored.Step(now, events))
	}
	res, err := Play(written(t, resumed), Visitor{})
	if err != nil || res.Difference != nil || res.Steps != 20 {
		t.Errorf("%v, %+v", err, res)
	}
}

// A clock that steps is part of the recording: the module is replayed with it as it was.
func TestClockSteps(t *testing.T) {
	s, err := policy.New(recordertest.Settings(), 9)
	if err != nil {
		t.Fatal(err)
	}
	rec := flightrecorder.NewRecorder(
		flightrecorder.Meta{Revision: policy.Revision(), Seed: 9, Settings: recordertest.Settings()},
		flightrecorder.MinRingSize,
		s.Snapshot,
	)
	list := policy.Event{
		Kind:      policy.EndpointSnapshot,
		Endpoints: []policy.Endpoint{{ID: "a", Weight: 3, InService: true}},
	}
	times := []time.Duration{
		time.Second, 2 * time.Second, time.Hour, 30 * time.Second, 31 * time.Second, -time.Second, time.Minute,
	}
	for i, now := range times {
		evs := []policy.Event{
			list,
			{Kind: policy.MessageAccepted, MessageID: policy.MessageID(i + 1), TimeLeft: 16 * time.Second},
		}
		rec.Step(now, evs, s.Step(now, evs))
	}
	var seen []time.Duration
	res, err := Play(
		written(t, rec),
		Visitor{AfterStep: func(_ *policy.Engine, e *flightrecorder.Entry) { seen = append(seen, e.Now) }},
	)
	if err != nil || res.Difference != nil || len(seen) != 7 || seen[3] != 30*time.Second || seen[5] != -time.Second {
		t.Errorf("%v, %+v, %v", err, res, seen)
	}
}

// A recording cut at any byte plays as far as it goes, and one with any byte changed never differs from itself unseen:
// what cannot be read is reported.
func TestTruncatedAndDamagedRecordings(t *testing.T) {
	_, rec := recordertest.Drive(7, 2500*time.Millisecond, flightrecorder.MinRingSize, nil)
	data := written(t, rec)
	whole, err := Play(data, Visitor{})
	if err != nil || whole.Difference != nil {
		t.Fatalf("%v, %+v", err, whole)
	}
	last := 0
	for cut := range data {
		res, err := Play(data[:cut], Visitor{})
		if err != nil {
			if last > 0 {
				t.Fatalf("cut at %d: %v", cut, err)
			}
			continue
		}
		if res.Difference != nil || res.Steps < last || res.Steps == whole.Steps && cut < len(data)-200 {
			t.Fatalf("cut at %d of %d: %+v", cut, len(data), res)
		}
		last = res.Steps
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

// After a damaged chunk the next one is played from.
func TestDamagedChunkIsSkipped(t *testing.T) {
	_, rec := recordertest.Drive(8, 3*time.Minute, 8*flightrecorder.MinRingSize, nil)
	data := written(t, rec)
	whole, err := Play(data, Visitor{})
	if err != nil || whole.Chunks < 3 {
		t.Fatalf("%v, %+v", err, whole)
	}
	bad := bytes.Clone(data)
	bad[len(bad)/2] ^= 4
	res, err := Play(bad, Visitor{})
	if err != nil || res.Difference != nil || len(res.Lost) == 0 || res.Segments != 2 || res.Steps < whole.Steps/2 ||
		res.Steps >= whole.Steps {
		t.Errorf("%v, %d steps of %d: %+v", err, res.Steps, whole.Steps, res)
	}
}

func FuzzPlay(f *testing.F) {
	_, rec := recordertest.Drive(2, 1500*time.Millisecond, flightrecorder.MinRingSize, nil)
	data := written(f, rec)
	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Fuzz(func(_ *testing.T, data []byte) {
		if len(data) > 1<<20 {
			return
		}
		_, _ = Play(data, Visitor{}) // may fail, must end, and must not panic
		if found, err := flightrecorder.Split(data); err == nil {
			for _, x := range found {
				_, _ = Play(x.Data, Visitor{})
			}
		}
	})
}

func BenchmarkReplay(b *testing.B) {
	_, rec := recordertest.Drive(4, time.Minute, 64<<20, nil)
	data := written(b, rec)
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
