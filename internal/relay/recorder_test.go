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

// withRecorder has a test relay record; nothing was told to its module before.
func withRecorder(t *testing.T, set operatorfile.Recorder) (*Relay, *bytes.Buffer) {
	t.Helper()
	c, err := parseConfig(
		[]byte(`{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","settings":` + settingsJSON +
			`,"known":{"version":1,"full":true,"servers":[
		{"id":"s-1","addr":"127.0.0.1:1","zone":"a","kind":"gateway","cell":7,"state":"ready","weight":50}]}}`),
	)
	if err != nil {
		t.Fatal(err)
	}
	c.StateDir, c.Operator.Recorder = t.TempDir(), set
	var out bytes.Buffer
	r, err := New(c, slog.New(slog.NewTextHandler(&out, nil)), &out)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.egress.Close(); r.journal.Close() })
	return r, &out
}

// A loop that panics leaves its recording, and the panic goes on.
func TestACrashKeepsTheRecording(t *testing.T) {
	for _, folder := range []string{"", filepath.Join(t.TempDir(), "kept")} {
		r, out := withRecorder(
			t,
			operatorfile.Recorder{Enabled: true, RingMB: 1, Write: operatorfile.WriteKept, Folder: folder, FolderMB: 2},
		)
		r.recoverState()
		r.post(tick{})
		r.post(&callFinished{}) // a call that there is not
		crashed := func() (x any) {
			defer func() { x = recover() }()
			r.loop(t.Context())
			return nil
		}()
		if crashed == nil {
			t.Fatal("no crash: the test shows nothing")
		}
		paths, _ := filepath.Glob(filepath.Join(folder, "n3-*-crash"+flightrecorder.FileExtension))
		var found []flightrecorder.Recording
		var err error
		if folder == "" {
			found, err = flightrecorder.Split(flightrecorder.FromLog(out.Bytes()))
		} else {
			found, err = flightrecorder.Load(paths...)
		}
		if err != nil || len(found) != 1 {
			t.Fatalf("%d recordings in %v, %v: %s", len(found), paths, err, out)
		}
		if res, err := replay.Play(found[0].Data, replay.Visitor{}); err != nil || res.Difference != nil ||
			res.Steps != 1 {
			t.Errorf("%v, %+v", err, res)
		}
	}
}

func TestWithoutARecorderNothingIsKept(t *testing.T) {
	r, out := withRecorder(t, operatorfile.Recorder{})
	r.DumpRecording("SIGUSR1")
	if !bytes.Contains(out.Bytes(), []byte("recorder is off")) {
		t.Errorf("%s", out)
	}
	plain := newTestRelay(t)
	if res := post(t, plain, door(t, plain), "m1"); res.StatusCode != http.StatusAccepted {
		t.Errorf("status %d", res.StatusCode)
	}
}
