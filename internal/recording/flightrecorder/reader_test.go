package flightrecorder_test

import (
	"bytes"
	"encoding/binary"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder/recordertest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// TestPayloadsAreNeverReadAsChunks checks that bytes from clients are never read as a chunk or a frame. Two ordering
// keys hold whole recordings: a copy of the earlier part of this recording, and another recording. The recording is
// read undamaged, and then with damage to its last frame and to the frame that holds the copy.
func TestPayloadsAreNeverReadAsChunks(t *testing.T) {
	rec := newRecorder(64 << 20)
	accept := func(key string) {
		rec.Step(time.Second, []policy.Event{{Kind: policy.MessageAccepted, Key: key}}, nil)
	}
	accept("first")
	old := string(ringData(t, rec))
	accept(old)
	other := newRecorder(64 << 20)
	other.Note("hidden")
	accept(string(ringData(t, other)))
	accept("last")
	data := ringData(t, rec)
	all := entries(t, data)
	if len(all) != 5 || all[4].Events[0].Key != "last" || all[2].Events[0].Key != old {
		t.Fatalf("%d entries", len(all))
	}
	if found, err := flightrecorder.Split(data); err != nil || len(found) != 1 || found[0].Chunks != 1 ||
		!bytes.Equal(found[0].Data, data) {
		t.Errorf("%d recordings, %v", len(found), err)
	}
	data[len(data)-1] ^= 1
	data[all[2].At+9] ^= 1 // the frame that holds the copy of this recording
	for _, e := range entries(t, data) {
		if e.Kind == flightrecorder.Begin && e.At > 0 || e.Kind == flightrecorder.Note {
			t.Errorf("a payload is read as part of the recording: %+v", e)
		}
	}
}

func TestNewerAndForeignFiles(t *testing.T) {
	for _, data := range [][]byte{
		nil,
		[]byte("CTFLIGHT"),
		[]byte("something else altogether"),
		bytes.Repeat([]byte("CTFLIGH"), 100),
	} {
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
	newer := bytes.Replace(ringData(t, newRecorder(0)), []byte(`"format":1`), []byte(`"format":9`), 1)
	flightrecorder.Reseal(newer)
	r, err := flightrecorder.NewReader(newer)
	if err != nil {
		t.Fatal(err)
	}
	_, _, err = r.Next()
	if !errors.Is(err, flightrecorder.ErrNewerFormat) || !strings.Contains(err.Error(), "format 9") {
		t.Error(err)
	}
}

// TestPartsAreJoined checks that parts of one recording are joined if they are in several files, some of them twice.
func TestPartsAreJoined(t *testing.T) {
	var dumps [][]byte
	n := 0
	afterStep := func(_ *policy.Engine, rec *flightrecorder.Recorder) {
		n++
		if n%1200 == 0 {
			dumps = append(dumps, ringData(t, rec))
		}
	}
	_, rec := recordertest.Drive(2, 40*time.Second, flightrecorder.MinRingSize, afterStep)
	dumps = append(dumps, ringData(t, rec))
	_, other := recordertest.Drive(9, 3*time.Second, flightrecorder.MinRingSize, nil)
	found, err := flightrecorder.Split(append([][]byte{ringData(t, other), []byte("junk")}, dumps...)...)
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
	data := ringData(f, rec)
	f.Add(data)
	f.Add(append(data[:len(data)/2:len(data)/2], data...))
	f.Fuzz(func(_ *testing.T, data []byte) {
		flightrecorder.Reseal(data) // without valid checksums, most frames would not be decoded
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

func BenchmarkReader(b *testing.B) {
	_, rec := recordertest.Drive(4, 30*time.Second, 64<<20, nil)
	data := ringData(b, rec)
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		if got := entries(b, data); binary.Size(got) == 0 {
			b.Fatal("nothing read")
		}
	}
}
