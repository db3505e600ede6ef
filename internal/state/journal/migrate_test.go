package journal

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/legacylog"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// writeLegacyLog writes a log of the older form.
func writeLegacyLog(t *testing.T, dir string, n int) []*legacylog.Message {
	t.Helper()
	l, _, err := legacylog.Open(dir, 3e6)
	must(t, err)
	var ms []*legacylog.Message
	for id := range uint32(n) {
		m := &legacylog.Message{
			ID:             id + 1,
			TraceID:        fmt.Sprint("t", id),
			IdempotencyKey: "k",
			Class:          1,
			Destination:    7,
			Deadline:       time.Unix(1e9, 0),
			Body:           []byte("body"),
		}
		must(t, l.Accept(m))
		must(
			t,
			l.RecordSends(
				legacylog.Send{Message: m, Attempt: legacylog.Attempt{Endpoint: "h", Zone: 1, SentAt: time.Unix(2, 0)}},
			),
		)
		ms = append(ms, m)
	}
	l.RecordNotRun(ms[0], 0)
	l.RecordFinal(ms[1], legacylog.FinalAnswer{Retryable: true, RetryAfter: time.Second})
	l.RecordCancelled(ms[2])
	l.Remove(ms[3])
	must(t, l.Close())
	return ms
}

func TestOpenFolderMigratesLegacyLog(t *testing.T) {
	dir := t.TempDir()
	writeLegacyLog(t, dir, 6)
	for life := range 2 {
		j, rec, err := OpenFolder(dir, Options{Limit: 3e6})
		must(t, err)
		if len(rec.Messages) != 5 || rec.Migrated != 5*(1-life) {
			t.Fatalf("life %d: %d messages, %d carried over", life, len(rec.Messages), rec.Migrated)
		}
		m := rec.Messages
		if len(m[0].UncertainAttempts) != 0 || m[1].Final == nil || m[1].Final.RetryAfter != time.Second ||
			!m[2].Cancelled ||
			len(m[3].UncertainAttempts) != 1 ||
			m[3].UncertainAttempts[0].Zone != 1 {
			t.Errorf("life %d: %+v", life, m)
		}
		if _, err := os.Stat(filepath.Join(dir, legacyLogName)); !os.IsNotExist(err) {
			t.Errorf("the older log is still there: %v", err)
		}
		must(t, j.Close())
	}
}

// A crash anywhere on the way leaves the log; the next start takes what is missing, once.
func TestInterruptedMigrationIsCompleted(t *testing.T) {
	for cut := range 40 {
		dir := t.TempDir()
		writeLegacyLog(t, dir, 6)
		log, err := os.ReadFile(filepath.Join(dir, legacyLogName))
		must(t, err)
		j, _, err := OpenFolder(dir, Options{Limit: 3e6})
		must(t, err)
		must(t, j.Close())
		// As if the process had died with a part of the store written, before the log was removed.
		must(t, os.WriteFile(filepath.Join(dir, legacyLogName), log, 0o600))
		names, err := store.Dir(Folder(dir)).List()
		must(t, err)
		for _, name := range names {
			path := filepath.Join(Folder(dir), name)
			data, err := os.ReadFile(path)
			must(t, err)
			must(t, os.WriteFile(path, data[:len(data)*cut/40], 0o600))
		}
		j, rec, err := OpenFolder(dir, Options{Limit: 3e6})
		must(t, err)
		if len(rec.Messages) != 5 {
			t.Errorf("cut at %d of 40: %d messages", cut, len(rec.Messages))
		}
		must(t, j.Close())
	}
}
