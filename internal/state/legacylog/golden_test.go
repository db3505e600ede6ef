package legacylog

import (
	"flag"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

const goldenLimit = 3e6

// goldenMessage returns a message without attempts. Each field that is set at acceptance has a value.
func goldenMessage(id uint32) *Message {
	return &Message{
		ID:             id,
		TraceID:        "trace",
		IdempotencyKey: "key",
		OrderingKey:    "order",
		Class:          2,
		ClassName:      "orders",
		Tenant:         3,
		Destination:    7,
		Deadline:       time.Unix(1e9, int64(id)).UTC(),
		Body:           []byte("body"),
	}
}

func goldenAttempt(n int) Attempt {
	return Attempt{Number: n, Endpoint: "s-1", Zone: 1, SentAt: time.Unix(1e9, 0).UTC()}
}

// writeGoldenLog writes a log with records of all kinds. It returns the messages that are not removed.
func writeGoldenLog(t *testing.T, folder string) []*Message {
	t.Helper()
	log, _, err := Open(folder, goldenLimit)
	must(t, err)
	untried, sent, deferred := goldenMessage(1), goldenMessage(2), goldenMessage(3)
	failed, cancelled, removed := goldenMessage(4), goldenMessage(5), goldenMessage(6)
	compacted := goldenMessage(7) // accepted with progress, as a compaction writes it
	compacted.Attempts = 3
	compacted.UncertainAttempts = []Attempt{goldenAttempt(2)}
	compacted.Final = &FinalAnswer{Retryable: true, RetryAfter: time.Second}
	compacted.Cancelled = true
	empty := &Message{ID: 8, Deadline: time.Unix(1e9, 0).UTC()}
	must(t, log.Accept(untried, sent, deferred, failed, cancelled, removed, compacted, empty))
	must(t, log.RecordSends(
		Send{sent, goldenAttempt(0)},
		Send{sent, goldenAttempt(1)},
		Send{failed, goldenAttempt(0)},
		Send{cancelled, goldenAttempt(0)},
	))
	log.RecordNotRun(sent, 1)
	log.RecordFinal(deferred, FinalAnswer{Retryable: true, RetryAfter: 1500 * time.Millisecond})
	log.RecordFinal(failed, FinalAnswer{})
	log.RecordCancelled(cancelled)
	log.Remove(removed)
	must(t, log.Close())
	return []*Message{untried, sent, deferred, failed, cancelled, compacted, empty}
}

// withoutEmptySlices returns a copy of a message in which empty slices are nil.
func withoutEmptySlices(m *Message) Message {
	result := *m
	if len(m.UncertainAttempts) == 0 {
		result.UncertainAttempts = nil
	}
	if len(m.Body) == 0 {
		result.Body = nil
	}
	return result
}

// This build writes the same bytes as the golden log, which an earlier build wrote, and reads all its messages.
func TestGoldenLog(t *testing.T) {
	written := t.TempDir()
	want := writeGoldenLog(t, written)
	data, err := os.ReadFile(filepath.Join(written, fileName))
	must(t, err)
	golden.Check(t, *update, fileName, data)

	folder := t.TempDir()
	must(t, os.WriteFile(filepath.Join(folder, fileName), golden.Read(t, fileName), 0o600))
	log, recovery, err := Open(folder, goldenLimit)
	must(t, err)
	defer func() { must(t, log.Close()) }()
	if recovery.Damaged || len(recovery.Messages) != len(want) {
		t.Fatalf("recovered %d messages, want %d; damaged: %v", len(recovery.Messages), len(want), recovery.Damaged)
	}
	for i := range want {
		got, want := withoutEmptySlices(recovery.Messages[i]), withoutEmptySlices(want[i])
		if !reflect.DeepEqual(got, want) {
			t.Errorf("read as %+v, want %+v", got, want)
		}
	}
}
