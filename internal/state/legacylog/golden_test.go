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

var update = flag.Bool("update", false, "write the golden files anew")

const goldenLimit = 3e6

// goldenMessage is a message of which all is set that its client told.
func goldenMessage(id uint32) *Message {
	return &Message{
		ID: id, TraceID: "trace", IdempotencyKey: "key", OrderingKey: "order", Class: 2, ClassName: "orders", Tenant: 3, Destination: 7,
		Deadline: time.Unix(1e9, int64(id)).UTC(), Body: []byte("body"),
	}
}

func goldenAttempt(n int) Attempt {
	return Attempt{Number: n, Endpoint: "s-1", Zone: 1, SentAt: time.Unix(1e9, 0).UTC()}
}

// writeGoldenLog writes a log with every kind of record, and returns the messages that are unfinished in it.
func writeGoldenLog(t *testing.T, folder string) []*Message {
	t.Helper()
	log, _, err := Open(folder, goldenLimit)
	check(t, err)
	untried, sent, deferred, failed, withdrawn, ended := goldenMessage(
		1,
	), goldenMessage(
		2,
	), goldenMessage(
		3,
	), goldenMessage(
		4,
	), goldenMessage(
		5,
	), goldenMessage(
		6,
	)
	rewritten := goldenMessage(7) // as a compaction writes it
	rewritten.Attempts, rewritten.UncertainAttempts, rewritten.Final, rewritten.Cancelled = 3, []Attempt{
		goldenAttempt(2),
	}, &FinalAnswer{
		Retryable:  true,
		RetryAfter: time.Second,
	}, true
	plain := &Message{ID: 8, Deadline: time.Unix(1e9, 0).UTC()}
	check(t, log.Accept(untried, sent, deferred, failed, withdrawn, ended, rewritten, plain))
	check(
		t,
		log.RecordSends(
			Send{sent, goldenAttempt(0)},
			Send{sent, goldenAttempt(1)},
			Send{failed, goldenAttempt(0)},
			Send{withdrawn, goldenAttempt(0)},
		),
	)
	log.RecordNotRun(sent, 1)
	log.RecordFinal(deferred, FinalAnswer{Retryable: true, RetryAfter: 1500 * time.Millisecond})
	log.RecordFinal(failed, FinalAnswer{})
	log.RecordCancelled(withdrawn)
	log.Remove(ended)
	check(t, log.Close())
	return []*Message{untried, sent, deferred, failed, withdrawn, rewritten, plain}
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// Another build reads and writes the same log.
func TestGoldenLog(t *testing.T) {
	written := t.TempDir()
	want := writeGoldenLog(t, written)
	data, err := os.ReadFile(filepath.Join(written, fileName))
	check(t, err)
	golden.Check(t, *update, fileName, data)

	folder := t.TempDir()
	check(t, os.WriteFile(filepath.Join(folder, fileName), golden.Read(t, fileName), 0o600))
	log, found, err := Open(folder, goldenLimit)
	check(t, err)
	defer log.Close()
	if found.Damaged || len(found.Messages) != len(want) {
		t.Fatalf("%d messages, damaged: %v", len(found.Messages), found.Damaged)
	}
	for i, m := range found.Messages {
		if len(m.UncertainAttempts) == 0 && len(want[i].UncertainAttempts) == 0 {
			m.UncertainAttempts, want[i].UncertainAttempts = nil, nil
		}
		if len(m.Body) == 0 && len(want[i].Body) == 0 {
			m.Body, want[i].Body = nil, nil
		}
		if !reflect.DeepEqual(m, want[i]) {
			t.Errorf("read as %+v, want %+v", m, want[i])
		}
	}
}
