package flightrecorder_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder/recordertest"
	"cherrytrestle.example/cherrytrestle/policy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func written(t testing.TB, rec *flightrecorder.Recorder) []byte {
	t.Helper()
	var b bytes.Buffer
	if _, err := rec.WriteTo(&b); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

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

func newRecorder(ring int) *flightrecorder.Recorder {
	return flightrecorder.NewRecorder(
		flightrecorder.Meta{Name: "n1", Settings: recordertest.Settings()},
		ring,
		func(b []byte) []byte { return append(b, "state"...) },
	)
}

func drawEvent(t *rapid.T) policy.Event {
	kind := rapid.SampledFrom([]policy.EventKind{policy.MessageAccepted, policy.AttemptFinished, policy.MessageCancelled, policy.EndpointSnapshot, policy.EndpointDelta, policy.WatchFailed, policy.TimerFired, policy.HealthChecked}).
		Draw(t, "kind")
	e := policy.Event{Kind: kind}
	number := rapid.IntRange(-3, math.MaxInt32)
	span := rapid.Custom(func(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "ns")) })
	route := rapid.SampledFrom([]string{"", "s-1", "s-2", "a route with \x00 and ü", strings.Repeat("long", 90)})
	switch kind {
	case policy.MessageAccepted:
		e.MessageID, e.Class, e.Tenant, e.Destination = rapid.Uint32().
			Draw(t, "id"),
			number.Draw(
				t,
				"class",
			), number.Draw(
				t,
				"customer",
			), number.Draw(
				t,
				"dest",
			)
		e.TimeLeft, e.Key = span.Draw(t, "left"), rapid.StringN(0, 40, 400).Draw(t, "key")
		if rapid.Bool().Draw(t, "resumed") {
			e.Recovered = &policy.RecoveredMessage{Attempts: number.Draw(t, "attempts")}
			if rapid.Bool().Draw(t, "ran") {
				e.Recovered.MayHaveRun, e.Recovered.SinceFirstRun, e.Recovered.FirstRunZone = true, span.Draw(
					t,
					"ago",
				), number.Draw(
					t,
					"zone",
				)
			}
		}
	case policy.AttemptFinished, policy.HealthChecked:
		e.MessageID, e.Attempt, e.Endpoint = rapid.Uint32().
			Draw(t, "id"),
			number.Draw(
				t,
				"attempt",
			), route.Draw(
				t,
				"route",
			)
		e.Outcome, e.Latency, e.MessageEnded = policy.Outcome(
			rapid.IntRange(0, 7).Draw(t, "outcome"),
		), span.Draw(
			t,
			"took",
		), rapid.Bool().
			Draw(t, "ended")
		if rapid.Bool().Draw(t, "wait") {
			e.RetryAfter = span.Draw(t, "told")
		}
		if rapid.Bool().Draw(t, "report") {
			e.LimitReport = policy.LimitReport{
				Present:   true,
				Remaining: rapid.Float64().Draw(t, "left"),
				Limit:     rapid.Float64().Draw(t, "limit"),
			}
		}
	case policy.MessageCancelled:
		e.MessageID = rapid.Uint32().Draw(t, "id")
	case policy.EndpointSnapshot, policy.EndpointDelta:
		for range rapid.IntRange(0, 5).Draw(t, "entries") {
			e.Endpoints = append(e.Endpoints, policy.Endpoint{
				ID: route.Draw(
					t,
					"route",
				), Destination: number.Draw(t, "dest"), Kind: number.Draw(t, "kind"), Zone: number.Draw(t, "zone"),
				Weight: rapid.Float64().
					Draw(t, "weight"),
				InService: rapid.Bool().Draw(t, "in"), Removed: rapid.Bool().Draw(t, "gone"),
			})
		}
	}
	return e
}

func drawAction(t *rapid.T) policy.Action {
	a := policy.Action{Kind: policy.ActionKind(rapid.IntRange(0, 5).Draw(t, "action"))}
	span := time.Duration(rapid.Int64().Draw(t, "span"))
	switch a.Kind {
	case policy.Send:
		a.MessageID, a.Endpoint, a.TimeoutAt = rapid.Uint32().Draw(t, "id"), "s-9", span
	case policy.Reject, policy.Fail:
		a.MessageID, a.Delay = rapid.Uint32().Draw(t, "id"), span
	case policy.SetTimer:
		a.Delay = span
	case policy.CloseIdle:
		a.Endpoint = "s-9"
	}
	return a
}

// Whatever is recorded is read back as it was, over the ends of chunks too.
func TestReadsBackWhatWasRecorded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rec := newRecorder(64 << 20)
		var want []flightrecorder.Entry
		for i := range rapid.IntRange(0, 60).Draw(rt, "entries") {
			now := time.Duration(rapid.Int64Range(-1e12, 1e15).Draw(rt, "now"))
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0:
				rec.Note(fmt.Sprint("note ", i))
				want = append(want, flightrecorder.Entry{Kind: flightrecorder.Note, Text: fmt.Sprint("note ", i)})
			case 1:
				id := rapid.Uint32().Draw(rt, "id")
				rec.Label(id, "trace")
				want = append(want, flightrecorder.Entry{Kind: flightrecorder.Label, MessageID: id, Text: "trace"})
			case 2:
				ids := rapid.SliceOfN(rapid.Uint32(), 1, 4).Draw(rt, "ids")
				may := rapid.Bool().Draw(rt, "may")
				rec.SendChecked(now, "s-1", ids, may)
				want = append(
					want,
					flightrecorder.Entry{
						Kind:       flightrecorder.SendChecked,
						Now:        now,
						Endpoint:   "s-1",
						MessageIDs: ids,
						Allowed:    may,
					},
				)
			default:
				e := flightrecorder.Entry{Kind: flightrecorder.Step, Now: now}
				for range rapid.IntRange(0, 4).Draw(rt, "events") {
					e.Events = append(e.Events, drawEvent(rt))
				}
				for range rapid.IntRange(0, 4).Draw(rt, "actions") {
					e.Actions = append(e.Actions, drawAction(rt))
				}
				rec.Step(e.Now, e.Events, e.Actions)
				want = append(want, e)
			}
		}
		got := entries(t, written(t, rec))
		if got[0].Kind != flightrecorder.Begin || !got[0].Fresh || got[0].Meta.Name != "n1" ||
			!reflect.DeepEqual(got[0].Meta.Settings, recordertest.Settings()) {
			rt.Fatalf("begins with %+v", got[0])
		}
		got = got[1:]
		if len(got) != len(want) {
			rt.Fatalf("%d entries, want %d", len(got), len(want))
		}
		for i := range got {
			got[i].At = 0
			if lists(got[i]) != lists(want[i]) {
				rt.Fatalf("entry %d:\n%s\nwant\n%s", i, lists(got[i]), lists(want[i]))
			}
		}
	})
}

// lists writes an entry out with what its pointers point to, empty lists as none.
func lists(e flightrecorder.Entry) string {
	text := fmt.Sprintf("%+v", e)
	for _, x := range e.Events {
		text += fmt.Sprintf(" %+v %q", x.Recovered, x.Key)
		text = strings.ReplaceAll(text, fmt.Sprintf("Recovered:%p", x.Recovered), "")
	}
	return text
}

// Bytes inside what clients send never pass for a chunk or a frame: a key that holds a whole recording, this one's own
// earlier bytes too, changes nothing, and does not come up after damage either.
func TestPayloadsNeverPassForChunks(t *testing.T) {
	rec := newRecorder(64 << 20)
	take := func(key string) { rec.Step(time.Second, []policy.Event{{Kind: policy.MessageAccepted, Key: key}}, nil) }
	take("first")
	old := string(written(t, rec))
	take(old)
	other := newRecorder(64 << 20)
	other.Note("hidden")
	take(string(written(t, other)))
	take("last")
	data := written(t, rec)
	all := entries(t, data)
	if len(all) != 5 || all[4].Events[0].Key != "last" || all[2].Events[0].Key != old {
		t.Fatalf("%d entries", len(all))
	}
	if found, err := flightrecorder.Split(data); err != nil || len(found) != 1 || found[0].Chunks != 1 ||
		!bytes.Equal(found[0].Data, data) {
		t.Errorf("%d recordings, %v", len(found), err)
	}
	data[len(data)-1] ^= 1
	data[all[2].At+9] ^= 1 // the frame that holds the recording
	for _, e := range entries(t, data) {
		if e.Kind == flightrecorder.Begin && e.At > 0 || e.Kind == flightrecorder.Note {
			t.Errorf("a payload passes for part of the recording: %+v", e)
		}
	}
}

func TestNewerAndForeignFiles(t *testing.T) {
	for _, data := range [][]byte{nil, []byte("CTFLIGHT"), []byte("something else altogether"), bytes.Repeat([]byte("CTFLIGH"), 100)} {
		if _, err := flightrecorder.NewReader(data); !errors.Is(err, flightrecorder.ErrNoRecording) {
			t.Errorf("%.10q: %v", data, err)
		}
	}
	path := filepath.Join(t.TempDir(), "x")
	if err := os.WriteFile(path, []byte("CTFLIGHT with nothing behind it that is right"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := flightrecorder.Load(path); !errors.Is(err, flightrecorder.ErrNoRecording) ||
		!strings.Contains(err.Error(), path) {
		t.Error(err)
	}
	if _, err := flightrecorder.Load(path + "y"); !errors.Is(err, os.ErrNotExist) {
		t.Error(err)
	}
	newer := bytes.Replace(written(t, newRecorder(0)), []byte(`"format":1`), []byte(`"format":9`), 1)
	flightrecorder.Reseal(newer)
	r, err := flightrecorder.NewReader(newer)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := r.Next(); !errors.Is(err, flightrecorder.ErrNewerFormat) || !strings.Contains(err.Error(), "format 9") {
		t.Error(err)
	}
}

func TestARecorderThatIsOff(t *testing.T) {
	var rec *flightrecorder.Recorder
	rec.Step(1, nil, nil)
	rec.Label(1, "x")
	rec.SendChecked(1, "r", nil, true)
	rec.Note("n")
	if n, err := rec.WriteTo(io.Discard); n != 0 || err != nil {
		t.Errorf("%d, %v", n, err)
	}
}

// A step too large for a frame is lost, and the recording goes on behind it from the state.
func TestAStepThatDoesNotFit(t *testing.T) {
	rec := newRecorder(0)
	rec.Step(1, make([]policy.Event, 1<<20+1), nil)
	rec.Note("behind")
	all := entries(t, written(t, rec))
	last := all[len(all)-3:]
	if last[0].Kind != flightrecorder.Begin || string(last[0].State) != "state" ||
		!strings.Contains(last[1].Text, "is missing") ||
		last[2].Text != "behind" {
		t.Errorf("%+v", all)
	}
}

// logWriter is a log that other lines go into, too.
type logWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
	fail error
}

func (l *logWriter) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail != nil {
		return 0, l.fail
	}
	l.text.WriteString("2026/12/01 11:00:00 INFO something else\n")
	return l.text.Write(p)
}

// A recording that goes into a log or into files as it comes is all there, also where the ring has long dropped it.
func TestFollowedRecordingsAreWhole(t *testing.T) {
	for _, kind := range []string{"log", "files"} {
		ctx, stop := context.WithCancel(context.Background())
		var out logWriter
		folder := flightrecorder.Folder{Path: filepath.Join(t.TempDir(), "new"), Limit: 64 << 20, Name: "n 1/x"}
		done := make(chan error, 1)
		var once sync.Once
		steps := 0
		_, rec := recordertest.Drive(
			6,
			30*time.Second,
			flightrecorder.MinRingSize,
			func(_ *policy.Engine, rec *flightrecorder.Recorder) {
				once.Do(func() {
					go func() {
						if kind == "log" {
							done <- flightrecorder.FollowLog(ctx, rec, &out)
						} else {
							done <- folder.Follow(ctx, rec)
						}
					}()
				})
				if steps++; steps%500 == 0 {
					time.Sleep(120 * time.Millisecond) // real time for the sink, which looks so often
				}
			},
		)
		stop()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		var paths []string
		if kind == "log" {
			paths = []string{filepath.Join(t.TempDir(), "log")}
			if err := os.WriteFile(paths[0], out.text.Bytes(), 0o600); err != nil {
				t.Fatal(err)
			}
		} else {
			paths, _ = filepath.Glob(filepath.Join(folder.Path, "n-1-x-*"+flightrecorder.FileExtension))
		}
		found, err := flightrecorder.Load(paths...)
		if err != nil || len(found) != 1 {
			t.Fatalf("%s: %d recordings, %v", kind, len(found), err)
		}
		got := 0
		for _, e := range entries(t, found[0].Data) {
			switch e.Kind {
			case flightrecorder.Step:
				got++
			case flightrecorder.Lost:
				t.Errorf("%s: lost: %s", kind, e.Text)
			}
		}
		if got != steps || rec.Size() >= len(found[0].Data) {
			t.Errorf(
				"%s: %d steps of %d, %d bytes of which the ring holds %d",
				kind,
				got,
				steps,
				len(found[0].Data),
				rec.Size(),
			)
		}
	}
}

// The folder's limit holds, the oldest files go first, files of others stay, and half-written ones are cleared away.
func TestFolderKeepsItsLimit(t *testing.T) {
	dir := t.TempDir()
	foreign, stale := filepath.Join(dir, "notes.txt"), filepath.Join(dir, "old"+flightrecorder.FileExtension+".tmp")
	for _, path := range []string{foreign, stale} {
		if err := os.WriteFile(path, make([]byte, 100), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hourAgo := time.Now().Add(-time.Hour)
	if err := os.Chtimes(stale, hourAgo, hourAgo); err != nil {
		t.Fatal(err)
	}
	_, rec := recordertest.Drive(1, time.Minute, 400<<10, nil)
	folder := flightrecorder.Folder{Path: dir, Limit: 1 << 20, Name: "n1"}
	var first string
	for i := range 6 {
		path, err := folder.Dump(rec, "SIGUSR1 (by hand)")
		if err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			first = path
		}
		var sum int64
		files, _ := filepath.Glob(filepath.Join(dir, "*"+flightrecorder.FileExtension))
		for _, f := range files {
			info, err := os.Stat(f)
			if err != nil {
				t.Fatal(err)
			}
			sum += info.Size()
		}
		if sum > folder.Limit || len(files) == 0 || files[len(files)-1] != path ||
			!strings.Contains(path, "sigusr1--by-hand") {
			t.Errorf("%d bytes in %v after %s", sum, files, path)
		}
	}
	if _, err := os.Stat(first); !errors.Is(err, os.ErrNotExist) {
		t.Error("the oldest file is still there")
	}
	if _, err := os.Stat(foreign); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(stale); !errors.Is(err, os.ErrNotExist) {
		t.Error("a half-written file is still there")
	}
	if _, err := (flightrecorder.Folder{Path: dir, Limit: 1000}).Dump(rec, "x"); err == nil {
		t.Error("a ring is kept that the folder has no room for")
	}
	if _, err := (flightrecorder.Folder{Path: foreign, Limit: 1 << 20}).Dump(rec, "x"); err == nil {
		t.Error("a file was taken for a folder")
	}
}

// A sink that fails is told of, and holds nothing up.
func TestASinkThatFails(t *testing.T) {
	rec := newRecorder(0)
	rec.Note("x")
	out := &logWriter{fail: syscall.ENOSPC}
	if err := flightrecorder.FollowLog(context.Background(), rec, out); !errors.Is(err, syscall.ENOSPC) {
		t.Error(err)
	}
	if err := flightrecorder.DumpToLog(rec, "x", out); !errors.Is(err, syscall.ENOSPC) {
		t.Error(err)
	}
}

// Parts of one recording in several files, some of them twice, are put together.
func TestPartsArePutTogether(t *testing.T) {
	var kept [][]byte
	n := 0
	_, rec := recordertest.Drive(
		2,
		40*time.Second,
		flightrecorder.MinRingSize,
		func(_ *policy.Engine, rec *flightrecorder.Recorder) {
			if n++; n%1200 == 0 {
				kept = append(kept, written(t, rec))
			}
		},
	)
	kept = append(kept, written(t, rec))
	_, other := recordertest.Drive(9, 3*time.Second, flightrecorder.MinRingSize, nil)
	found, err := flightrecorder.Split(append([][]byte{written(t, other), []byte("junk")}, kept...)...)
	if err != nil || len(found) != 2 {
		t.Fatalf("%d recordings, %v", len(found), err)
	}
	for _, rec := range found {
		steps := 0
		for _, e := range entries(t, rec.Data) {
			if e.Kind == flightrecorder.Lost {
				t.Error(e.Text)
			}
			if e.Kind == flightrecorder.Step {
				steps++
			}
		}
		if rec.Chunks > 1 && steps < n {
			t.Errorf("%d steps of %d", steps, n)
		}
	}
}

func FuzzReader(f *testing.F) {
	_, rec := recordertest.Drive(1, 1500*time.Millisecond, flightrecorder.MinRingSize, nil)
	data := written(f, rec)
	f.Add(data)
	f.Add(append(data[:len(data)/2:len(data)/2], data...))
	f.Fuzz(func(t *testing.T, data []byte) {
		flightrecorder.Reseal(data) // so that what is behind the checksums is reached, too
		r, err := flightrecorder.NewReader(data)
		if err != nil {
			return
		}
		for {
			if _, ok, err := r.Next(); !ok || err != nil {
				return
			}
		}
	})
}

func BenchmarkStep(b *testing.B) {
	rec := flightrecorder.NewRecorder(
		flightrecorder.Meta{Settings: recordertest.Settings()},
		0,
		func(b []byte) []byte { return append(b, make([]byte, 4096)...) },
	)
	took := policy.Event{
		Kind:        policy.MessageAccepted,
		MessageID:   1,
		Class:       1,
		Destination: 7,
		TimeLeft:    16 * time.Second,
	}
	done := policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    1,
		Endpoint:     "s-5be2a07c",
		Latency:      250 * time.Millisecond,
		MessageEnded: true,
	}
	events := []policy.Event{took, done}
	actions := []policy.Action{
		{Kind: policy.Send, MessageID: 1, Endpoint: "s-5be2a07c", TimeoutAt: time.Hour},
		{Kind: policy.SetTimer, Delay: time.Millisecond},
	}
	now := time.Second
	b.ReportAllocs()
	for b.Loop() {
		now += 5 * time.Millisecond
		events[0].MessageID++
		events[1].MessageID, actions[0].MessageID = events[0].MessageID, events[0].MessageID
		rec.Step(now, events, actions)
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(4*b.N), "ns/event")
	before := rec.Written()
	rec.Label(events[0].MessageID, "9b1f03aa5c7e2d41")
	rec.Step(now, events, actions)
	b.ReportMetric(float64(rec.Written()-before), "bytes/message")
}

func BenchmarkReader(b *testing.B) {
	_, rec := recordertest.Drive(4, 30*time.Second, 64<<20, nil)
	data := written(b, rec)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if got := entries(b, data); binary.Size(got) == 0 {
			b.Fatal("nothing read")
		}
	}
}
