package relay

import (
	"bytes"
	"log/slog"
	"net/http"
	"path/filepath"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/config/operatorfile"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
)

// newRecordedRelay returns a relay with a recorder, and the relay's log. The relay's state is not recovered yet.
func newRecordedRelay(t *testing.T, settings operatorfile.Recorder) (*Relay, *bytes.Buffer) {
	t.Helper()
	c := newTestConfig(t)
	c.Operator.Recorder = settings
	var out bytes.Buffer
	r, err := New(c, slog.New(slog.NewTextHandler(&out, nil)), &out)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		r.egress.Close()
		_ = r.journal.Close()
	})
	return r, &out
}

// When the loop panics, its recording is written and the panic continues.
func TestPanicDumpsRecording(t *testing.T) {
	for name, folder := range map[string]string{"log": "", "folder": filepath.Join(t.TempDir(), "kept")} {
		t.Run(name, func(t *testing.T) {
			settings := operatorfile.Recorder{
				Enabled:  true,
				RingMB:   1,
				Write:    operatorfile.WriteRing,
				Folder:   folder,
				FolderMB: 2,
			}
			r, out := newRecordedRelay(t, settings)
			r.recoverState()
			r.post(tick{})
			r.post(&callFinished{}) // its call is nil: the step panics
			if panicOfLoop(t, r) == nil {
				t.Fatal("the loop did not panic")
			}
			found, err := recordingsOf(t, folder, out)
			if err != nil || len(found) != 1 {
				t.Fatalf("%d recordings, want 1; err %v; log %s", len(found), err, out)
			}
			played, err := replay.Play(found[0].Data, replay.Visitor{})
			if err != nil || played.Difference != nil || played.Steps != 1 {
				t.Errorf("replay: err %v, %+v", err, played)
			}
		})
	}
}

// panicOfLoop runs the loop and returns the value of its panic.
func panicOfLoop(t *testing.T, r *Relay) (x any) {
	t.Helper()
	defer func() { x = recover() }()
	r.loop(t.Context())
	return nil
}

// recordingsOf reads the recordings of a crash from a folder, or from the log if folder is empty.
func recordingsOf(t *testing.T, folder string, log *bytes.Buffer) ([]flightrecorder.Recording, error) {
	t.Helper()
	if folder == "" {
		return flightrecorder.Split(flightrecorder.FromLog(log.Bytes()))
	}
	paths, err := filepath.Glob(filepath.Join(folder, "n3-*-crash"+flightrecorder.FileExtension))
	if err != nil {
		t.Fatal(err)
	}
	return flightrecorder.Load(paths...)
}

func TestNoRecordingWithoutRecorder(t *testing.T) {
	r, out := newRecordedRelay(t, operatorfile.Recorder{})
	r.DumpRecording("SIGUSR1")
	if !bytes.Contains(out.Bytes(), []byte("recorder is off")) {
		t.Errorf("the log does not report that the recorder is off: %s", out)
	}
	plain := newTestRelay(t)
	if res := submit(t, plain, serveClients(t, plain), "m1"); res.StatusCode != http.StatusAccepted {
		t.Errorf("status %d", res.StatusCode)
	}
}
