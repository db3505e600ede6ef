package legacylog

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"
)

// During a compaction the old file and the new one exist at the same time: together they must not exceed the limit.
// Between compactions the log must leave space for the next one.
func TestCompactionKeepsDiskLimit(t *testing.T) {
	const (
		limit          = 100_000
		maxLive        = 20
		maxDiskUse     = limit * 6 / 10 // between compactions
		minCompactions = 10
	)
	dir := t.TempDir()
	l, _ := open(t, dir, limit)
	compactions := 0
	var live []*Message
	for i := range uint32(4000) {
		m := message(i)
		sizeBefore := l.size
		must(t, l.Accept(m))
		must(t, l.RecordSends(Send{m, Attempt{Endpoint: "s-5be2a07c", SentAt: noon}}))
		live = append(live, m)
		if len(live) > maxLive {
			l.Remove(live[0])
			live = live[1:]
			must(t, l.Flush())
		}
		if l.size < sizeBefore {
			compactions++
			// The old file had sizeBefore bytes when the new one existed beside it.
			if sum := sizeBefore + l.size + 4*blockSize; sum > limit {
				t.Fatalf("%d bytes on disk during a compaction, limit %d", sum, limit)
			}
		}
		if got := diskUse(t, dir); got > maxDiskUse {
			t.Fatalf("%d bytes on disk between compactions, limit %d", got, maxDiskUse)
		}
	}
	if compactions < minCompactions {
		t.Errorf("%d compactions, want at least %d", compactions, minCompactions)
	}
	recovery := reopen(t, dir, limit)
	if len(recovery.Messages) != len(live) || len(recovery.Messages[0].UncertainAttempts) != 1 {
		t.Errorf("recovered %d messages, want %d, each with one uncertain attempt", len(recovery.Messages), len(live))
	}
}

func TestInterruptedCompactionLosesNothing(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, ampleLimit)
	must(t, l.Accept(message(1), message(2)))
	data := readLog(t, dir)
	must(t, os.WriteFile(filepath.Join(dir, tempFileName), data[:len(data)/2], 0o600))
	if recovery := reopen(t, dir, ampleLimit); ids(recovery) != "1 2 " {
		t.Errorf("found %q", ids(recovery))
	}
	if _, err := os.Stat(filepath.Join(dir, tempFileName)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the incomplete new file still exists: %v", err)
	}
}

func TestFullLogRejectsOnlyNewMessages(t *testing.T) {
	const limit = 50_000
	dir := t.TempDir()
	l, _ := open(t, dir, limit)
	var live []*Message
	var err error
	for i := uint32(0); err == nil; i++ {
		m := message(i)
		m.Body = make([]byte, 1000)
		if err = l.Accept(m); err == nil {
			live = append(live, m)
		}
	}
	if !errors.Is(err, ErrFull) || len(live) < 5 {
		t.Fatalf("%d messages accepted, want at least 5; then error %v, want ErrFull", len(live), err)
	}
	for round := range 4 { // live messages can still be sent, several times, and removed
		for _, m := range live {
			must(t, l.RecordSends(Send{m, Attempt{Number: round, Endpoint: "s-5be2a07c", SentAt: noon}}))
			l.RecordNotRun(m, round)
		}
	}
	for _, m := range live {
		l.Remove(m)
		must(t, l.Flush())
	}
	must(t, l.Accept(message(9999)))
	if recovery := reopen(t, dir, limit); ids(recovery) != "9999 " {
		t.Errorf("found %q", ids(recovery))
	}
	if got := diskUse(t, dir); got > limit {
		t.Errorf("%d bytes on disk, limit %d", got, limit)
	}
}

func TestEstimatedSizeCoversRecord(t *testing.T) {
	m := message(1)
	m.Body = make([]byte, 500)
	m.Attempts = 8
	m.Final = &FinalAnswer{Retryable: true, RetryAfter: time.Second}
	for number := range 4 {
		sentAt := noon.Add(time.Nanosecond)
		m.UncertainAttempts = append(
			m.UncertainAttempts,
			Attempt{Number: number, Endpoint: "s-5be2a07c", Zone: 1, SentAt: sentAt},
		)
	}
	size := len(appendRecord(nil, record{Kind: recordAccept, ID: 1, Message: m}, m.Body))
	if int64(size) > estimatedSize(m) {
		t.Errorf("a record of %d bytes has an estimated size of %d bytes", size, estimatedSize(m))
	}
}
