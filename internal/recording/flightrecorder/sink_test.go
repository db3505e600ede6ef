package flightrecorder_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder/recordertest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// logWriter is a log that gets a foreign line before each line of a recording.
type logWriter struct {
	mu   sync.Mutex
	text bytes.Buffer
	fail error // returned by Write, unless nil
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

// TestFollowLog checks that a recording followed into a log is complete, including the chunks that the ring has
// dropped.
func TestFollowLog(t *testing.T) {
	var out logWriter
	path := filepath.Join(t.TempDir(), "log")
	steps, size := driveFollowed(t, func(ctx context.Context, rec *flightrecorder.Recorder) error {
		return flightrecorder.FollowLog(ctx, rec, &out)
	})
	if err := os.WriteFile(path, out.text.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	checkComplete(t, []string{path}, steps, size)
}

// TestFollowFolder checks that a recording followed into files is complete, including the chunks that the ring has
// dropped.
func TestFollowFolder(t *testing.T) {
	folder := flightrecorder.Folder{Path: filepath.Join(t.TempDir(), "new"), Limit: 64 << 20, Name: "n 1/x"}
	steps, size := driveFollowed(t, folder.Follow)
	paths, err := filepath.Glob(filepath.Join(folder.Path, "n-1-x-*"+flightrecorder.FileExtension))
	if err != nil {
		t.Fatal(err)
	}
	checkComplete(t, paths, steps, size)
}

// driveFollowed drives an engine while follow writes out its recording. It returns the number of steps and the number
// of bytes in the ring at the end.
func driveFollowed(t *testing.T, follow func(context.Context, *flightrecorder.Recorder) error) (steps, ringSize int) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	var once sync.Once
	afterStep := func(_ *policy.Engine, rec *flightrecorder.Recorder) {
		once.Do(func() {
			go func() { done <- follow(ctx, rec) }()
		})
		steps++
		if steps%500 == 0 {
			time.Sleep(120 * time.Millisecond) // real time for the sink, which reads every 100 ms
		}
	}
	_, rec := recordertest.Drive(6, 30*time.Second, flightrecorder.MinRingSize, afterStep)
	stop()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	return steps, rec.Size()
}

// checkComplete checks that files hold one recording with all steps, and more bytes than the ring holds.
func checkComplete(t *testing.T, paths []string, steps, ringSize int) {
	t.Helper()
	found, err := flightrecorder.Load(paths...)
	if err != nil || len(found) != 1 {
		t.Fatalf("%d recordings, %v", len(found), err)
	}
	got := 0
	for _, e := range entries(t, found[0].Data) {
		switch e.Kind {
		case flightrecorder.Step:
			got++
		case flightrecorder.Lost:
			t.Errorf("lost: %s", e.Text)
		}
	}
	if size := len(found[0].Data); got != steps || ringSize >= size {
		t.Errorf("got %d steps, want %d; the recording has %d bytes, the ring %d", got, steps, size, ringSize)
	}
}

// TestFolderKeepsItsLimit checks that dumps stay within the folder's limit: the oldest recordings and abandoned
// temporary files are removed, and other files stay.
func TestFolderKeepsItsLimit(t *testing.T) {
	dir := t.TempDir()
	foreign := filepath.Join(dir, "notes.txt")
	abandoned := filepath.Join(dir, "old"+flightrecorder.FileExtension+".tmp")
	for _, path := range []string{foreign, abandoned} {
		if err := os.WriteFile(path, make([]byte, 100), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	hourAgo := time.Now().Add(-time.Hour)
	if err := os.Chtimes(abandoned, hourAgo, hourAgo); err != nil {
		t.Fatal(err)
	}
	_, rec := recordertest.Drive(1, time.Minute, 400<<10, nil)
	folder := flightrecorder.Folder{Path: dir, Limit: 1 << 20, Name: "n1"}
	var paths []string
	for range 6 {
		path, err := folder.Dump(rec, "SIGUSR1 (by hand)")
		if err != nil {
			t.Fatal(err)
		}
		checkFolder(t, folder, path)
		paths = append(paths, path)
	}
	if _, err := os.Stat(paths[0]); !errors.Is(err, os.ErrNotExist) {
		t.Error("the oldest file still exists")
	}
	if _, err := os.Stat(foreign); err != nil {
		t.Error(err)
	}
	if _, err := os.Stat(abandoned); !errors.Is(err, os.ErrNotExist) {
		t.Error("an abandoned file still exists")
	}
}

// checkFolder checks after a dump that the folder is within its limit, and that the dump's file sorts last.
func checkFolder(t *testing.T, folder flightrecorder.Folder, path string) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(folder.Path, "*"+flightrecorder.FileExtension))
	if err != nil || len(files) == 0 {
		t.Fatalf("files %v, %v", files, err)
	}
	size := int64(0)
	for _, file := range files {
		info, err := os.Stat(file)
		if err != nil {
			t.Fatal(err)
		}
		size += info.Size()
	}
	if size > folder.Limit || files[len(files)-1] != path || !strings.Contains(path, "sigusr1--by-hand") {
		t.Errorf("%d bytes in %v after %s", size, files, path)
	}
}

func TestDumpFails(t *testing.T) {
	dir := t.TempDir()
	file := filepath.Join(dir, "notes.txt")
	if err := os.WriteFile(file, make([]byte, 100), 0o600); err != nil {
		t.Fatal(err)
	}
	_, rec := recordertest.Drive(1, time.Minute, 400<<10, nil)
	if _, err := (flightrecorder.Folder{Path: dir, Limit: 1000}).Dump(rec, "x"); err == nil {
		t.Error("a ring larger than the folder's limit was written")
	}
	if _, err := (flightrecorder.Folder{Path: file, Limit: 1 << 20}).Dump(rec, "x"); err == nil {
		t.Error("a file was accepted as a folder")
	}
}

// TestSinkFails checks that an error of the log is returned by FollowLog and DumpToLog, and that neither blocks.
func TestSinkFails(t *testing.T) {
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
