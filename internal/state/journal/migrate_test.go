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

const legacyLimit = 3e6 // bytes on disk

// writeLegacyLog writes a legacy log with six messages, one of which is removed.
func writeLegacyLog(t *testing.T, dir string) {
	t.Helper()
	log, _, err := legacylog.Open(dir, legacyLimit)
	must(t, err)
	var messages []*legacylog.Message
	for id := range uint32(6) {
		m := &legacylog.Message{
			ID:             id + 1,
			TraceID:        fmt.Sprint("t", id),
			IdempotencyKey: "k",
			Class:          1,
			Destination:    7,
			Deadline:       time.Unix(1e9, 0),
			Body:           []byte("body"),
		}
		must(t, log.Accept(m))
		attempt := legacylog.Attempt{Endpoint: "h", Zone: 1, SentAt: time.Unix(2, 0)}
		must(t, log.RecordSends(legacylog.Send{Message: m, Attempt: attempt}))
		messages = append(messages, m)
	}
	log.RecordNotRun(messages[0], 0)
	log.RecordFinal(messages[1], legacylog.FinalAnswer{Retryable: true, RetryAfter: time.Second})
	log.RecordCancelled(messages[2])
	log.Remove(messages[3])
	must(t, log.Close())
}

func TestOpenFolderMigratesLegacyLog(t *testing.T) {
	dir := t.TempDir()
	writeLegacyLog(t, dir)
	for i, migrated := range []int{5, 0} {
		j, recovery, err := OpenFolder(dir, Options{Limit: legacyLimit})
		must(t, err)
		if len(recovery.Messages) != 5 || recovery.Migrated != migrated {
			t.Fatalf("start %d: %d messages, want 5; %d migrated, want %d",
				i, len(recovery.Messages), recovery.Migrated, migrated)
		}
		checkMigrated(t, recovery.Messages)
		if _, err := os.Stat(filepath.Join(dir, legacyLogName)); !os.IsNotExist(err) {
			t.Errorf("the legacy log still exists: %v", err)
		}
		must(t, j.Close())
	}
}

// checkMigrated checks the messages of writeLegacyLog after their migration.
func checkMigrated(t *testing.T, messages []*Message) {
	t.Helper()
	notRun, final, cancelled, sent := messages[0], messages[1], messages[2], messages[3]
	if len(notRun.UncertainAttempts) != 0 {
		t.Errorf("uncertain attempts of the message that never ran: %+v", notRun.UncertainAttempts)
	}
	if final.Final == nil || final.Final.RetryAfter != time.Second {
		t.Errorf("final answer %+v, want RetryAfter 1s", final.Final)
	}
	if !cancelled.Cancelled {
		t.Errorf("the message is not cancelled: %+v", cancelled)
	}
	if len(sent.UncertainAttempts) != 1 || sent.UncertainAttempts[0].Zone != 1 {
		t.Errorf("uncertain attempts of the message that was sent: %+v", sent.UncertainAttempts)
	}
}

// A crash during the migration leaves the legacy log in place. The next start migrates only the messages that are not
// in the journal yet.
func TestInterruptedMigrationIsCompleted(t *testing.T) {
	const cuts = 40
	for cut := range cuts {
		dir := t.TempDir()
		writeLegacyLog(t, dir)
		log, err := os.ReadFile(filepath.Join(dir, legacyLogName))
		must(t, err)
		j, _, err := OpenFolder(dir, Options{Limit: legacyLimit})
		must(t, err)
		must(t, j.Close())
		// Simulate a process that was killed after it wrote a part of the store and before it removed the legacy log.
		must(t, os.WriteFile(filepath.Join(dir, legacyLogName), log, 0o600))
		names, err := store.Dir(Folder(dir)).List()
		must(t, err)
		for _, name := range names {
			path := filepath.Join(Folder(dir), name)
			data, err := os.ReadFile(path)
			must(t, err)
			must(t, os.WriteFile(path, data[:len(data)*cut/cuts], 0o600))
		}
		j, recovery, err := OpenFolder(dir, Options{Limit: legacyLimit})
		must(t, err)
		if len(recovery.Messages) != 5 {
			t.Errorf("store cut at %d/%d of its size: %d messages, want 5", cut, cuts, len(recovery.Messages))
		}
		must(t, j.Close())
	}
}
