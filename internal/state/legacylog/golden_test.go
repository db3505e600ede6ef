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
		ID: id, Trace: "trace", Key: "key", Order: "order", Class: 2, Service: "orders", Customer: 3, Dest: 7,
		Deadline: time.Unix(1e9, int64(id)).UTC(), Body: []byte("body"),
	}
}

func goldenAttempt(n int) Attempt {
	return Attempt{N: n, Host: "s-1", Zone: 1, At: time.Unix(1e9, 0).UTC()}
}

// writeGoldenLog writes a log with every kind of record, and returns the messages that are unfinished in it.
func writeGoldenLog(t *testing.T, folder string) []*Message {
	t.Helper()
	log, _, err := Open(folder, goldenLimit)
	check(t, err)
	untried, sent, deferred, failed, withdrawn, ended := goldenMessage(1), goldenMessage(2), goldenMessage(3), goldenMessage(4), goldenMessage(5), goldenMessage(6)
	rewritten := goldenMessage(7) // as a compaction writes it
	rewritten.Attempts, rewritten.MayRun, rewritten.Final, rewritten.Withdrawn = 3, []Attempt{goldenAttempt(2)}, &Final{Deferred: true, Again: time.Second}, true
	plain := &Message{ID: 8, Deadline: time.Unix(1e9, 0).UTC()}
	check(t, log.Accept(untried, sent, deferred, failed, withdrawn, ended, rewritten, plain))
	check(t, log.Sent(Send{sent, goldenAttempt(0)}, Send{sent, goldenAttempt(1)}, Send{failed, goldenAttempt(0)}, Send{withdrawn, goldenAttempt(0)}))
	log.NeverRan(sent, 1)
	log.Decide(deferred, Final{Deferred: true, Again: 1500 * time.Millisecond})
	log.Decide(failed, Final{})
	log.Withdraw(withdrawn)
	log.End(ended)
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
	data, err := os.ReadFile(filepath.Join(written, name))
	check(t, err)
	golden.Check(t, *update, name, data)

	folder := t.TempDir()
	check(t, os.WriteFile(filepath.Join(folder, name), golden.Read(t, name), 0o600))
	log, found, err := Open(folder, goldenLimit)
	check(t, err)
	defer log.Close()
	if found.Damaged || len(found.Messages) != len(want) {
		t.Fatalf("%d messages, damaged: %v", len(found.Messages), found.Damaged)
	}
	for i, m := range found.Messages {
		if len(m.MayRun) == 0 && len(want[i].MayRun) == 0 {
			m.MayRun, want[i].MayRun = nil, nil
		}
		if len(m.Body) == 0 && len(want[i].Body) == 0 {
			m.Body, want[i].Body = nil, nil
		}
		if !reflect.DeepEqual(m, want[i]) {
			t.Errorf("read as %+v, want %+v", m, want[i])
		}
	}
}
