package legacylog

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const ampleLimit = 3_000_000 // bytes on disk

var noon = time.Date(2026, 11, 29, 12, 0, 0, 0, time.UTC)

// open opens a log. At the end of the test it closes the file without writing the pending records.
func open(t *testing.T, dir string, limit int64) (*Log, Recovery) {
	t.Helper()
	l, recovery, err := Open(dir, limit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.file.Close() }) // fails if the test has closed the file
	return l, recovery
}

// reopen opens a log as if the process that wrote it had been killed, and returns the recovery.
func reopen(t *testing.T, dir string, limit int64) Recovery {
	t.Helper()
	l, recovery := open(t, dir, limit)
	must(t, l.file.Close())
	return recovery
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func message(id uint32) *Message {
	return &Message{
		ID:             id,
		TraceID:        fmt.Sprintf("trace-%d", id),
		IdempotencyKey: fmt.Sprintf("key-%d", id),
		Destination:    7,
		Tenant:         1,
		Deadline:       noon.Add(time.Duration(id) * time.Second),
		Body:           []byte{0, 'b', '\n', byte(id)},
	}
}

// ids returns the IDs of the recovered messages, each followed by a space.
func ids(recovery Recovery) string {
	text := ""
	for _, m := range recovery.Messages {
		text += fmt.Sprint(m.ID, " ")
	}
	return text
}

// readLog returns the content of the log file.
func readLog(t *testing.T, dir string) []byte {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(dir, fileName))
	must(t, err)
	return data
}

// writeLog writes a log file to a new folder.
func writeLog(t *testing.T, data []byte) (dir string) {
	t.Helper()
	dir = t.TempDir()
	must(t, os.WriteFile(filepath.Join(dir, fileName), data, 0o600))
	return dir
}

// diskUse returns the disk space that the files of a folder take. Each file takes whole blocks.
func diskUse(t *testing.T, dir string) int64 {
	t.Helper()
	entries, err := os.ReadDir(dir)
	must(t, err)
	sum := int64(0)
	for _, entry := range entries {
		info, err := entry.Info()
		must(t, err)
		sum += (info.Size() + blockSize - 1) / blockSize * blockSize
	}
	return sum
}

func TestOpenRecoversUnfinishedMessages(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, ampleLimit)
	delivered, decided, inFlight, untried := message(1), message(2), message(3), message(4)
	must(t, l.Accept(delivered, decided, inFlight, untried))
	first := Attempt{Number: 0, Endpoint: "s-1", Zone: 1, SentAt: noon}
	must(t, l.RecordSends(Send{delivered, first}, Send{inFlight, first}))
	l.RecordNotRun(inFlight, 0)
	second := Attempt{Number: 1, Endpoint: "s-2", Zone: 1, SentAt: noon.Add(time.Second)}
	must(t, l.RecordSends(Send{inFlight, second}))
	l.Remove(delivered)
	l.RecordFinal(decided, FinalAnswer{Retryable: true, RetryAfter: 700 * time.Millisecond})
	must(t, l.Flush())

	recovery := reopen(t, dir, ampleLimit)
	if got := ids(recovery); got != "2 3 4 " || recovery.Damaged {
		t.Fatalf("found %q, damaged %v", got, recovery.Damaged)
	}
	checkFinal(t, recovery.Messages[0])
	checkSecondAttempt(t, recovery.Messages[1], second)
	checkClientFields(t, recovery.Messages[2], untried)
}

func checkFinal(t *testing.T, m *Message) {
	t.Helper()
	if m.Final == nil || !m.Final.Retryable || m.Final.RetryAfter != 700*time.Millisecond {
		t.Errorf("final answer %+v, want a retryable one with RetryAfter 700ms", m.Final)
	}
}

// checkSecondAttempt checks a message whose first attempt never ran and whose second attempt may have run.
func checkSecondAttempt(t *testing.T, m *Message, second Attempt) {
	t.Helper()
	if m.Attempts != 2 || len(m.UncertainAttempts) != 1 {
		t.Fatalf("%d attempts, of which %+v may have run", m.Attempts, m.UncertainAttempts)
	}
	got := m.UncertainAttempts[0]
	if got.Number != 1 || got.Zone != 1 || !got.SentAt.Equal(second.SentAt) {
		t.Errorf("attempt %+v, want %+v", got, second)
	}
}

func checkClientFields(t *testing.T, got, want *Message) {
	t.Helper()
	if got.TraceID != want.TraceID || got.IdempotencyKey != want.IdempotencyKey ||
		got.Destination != want.Destination || got.Tenant != want.Tenant ||
		!got.Deadline.Equal(want.Deadline) || !bytes.Equal(got.Body, want.Body) {
		t.Errorf("accepted %+v, recovered %+v", want, got)
	}
}

func TestOpenDropsTornTail(t *testing.T) {
	source := t.TempDir()
	l, _ := open(t, source, ampleLimit)
	must(t, l.Accept(message(1)))
	firstEnd := l.size
	must(t, l.Accept(message(2)))
	data := readLog(t, source)
	for cut := firstEnd; cut < int64(len(data)); cut++ {
		dir := writeLog(t, data[:cut])
		l, recovery := open(t, dir, ampleLimit)
		if got := ids(recovery); got != "1 " || recovery.Damaged {
			t.Fatalf("cut at byte %d: found %q, damaged %v", cut, got, recovery.Damaged)
		}
		must(t, l.Accept(message(3)))
		if recovery := reopen(t, dir, ampleLimit); ids(recovery) != "1 3 " {
			t.Fatalf("cut at byte %d: after an append, found %q", cut, ids(recovery))
		}
	}
}

func TestDamagedRecordHidesNoOther(t *testing.T) {
	source := t.TempDir()
	l, _ := open(t, source, ampleLimit)
	must(t, l.Accept(message(1)))
	firstEnd := l.size
	must(t, l.Accept(message(2)))
	secondEnd := l.size
	must(t, l.Accept(message(3)))
	data := readLog(t, source)
	for at := firstEnd; at < secondEnd; at++ {
		damaged := bytes.Clone(data)
		damaged[at] ^= 0x55
		dir := writeLog(t, damaged)
		if recovery := reopen(t, dir, ampleLimit); ids(recovery) != "1 3 " || !recovery.Damaged {
			t.Fatalf("byte %d damaged: found %q, damaged %v", at, ids(recovery), recovery.Damaged)
		}
	}
}

func TestOpenSurvivesArbitraryContent(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	source := t.TempDir()
	l, _ := open(t, source, ampleLimit)
	for i := range uint32(20) {
		must(t, l.Accept(message(i)))
		must(t, l.RecordSends(Send{l.live[i], Attempt{Endpoint: "s-1", SentAt: noon}}))
	}
	data := readLog(t, source)
	for range 300 {
		damaged := bytes.Clone(data)
		for range 1 + rng.IntN(8) {
			damaged[rng.IntN(len(damaged))] = byte(rng.Uint32())
		}
		dir := writeLog(t, damaged[:rng.IntN(len(damaged))])
		l, recovery := open(t, dir, ampleLimit)
		before := len(recovery.Messages)
		must(t, l.Accept(message(1000)))
		if recovery := reopen(t, dir, ampleLimit); len(recovery.Messages) != before+1 {
			t.Fatalf("recovered %d messages, then %d after one more was accepted", before, len(recovery.Messages))
		}
		must(t, l.file.Close())
	}
}

func TestFailedWriteChangesNothing(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, ampleLimit)
	one, two := message(1), message(2)
	must(t, l.Accept(one, two))
	writable := l.file
	readOnly, err := os.Open(filepath.Join(dir, fileName)) // rejects writes, as a full disk does
	must(t, err)
	defer func() { must(t, readOnly.Close()) }()
	l.file = readOnly
	if err := l.Accept(message(3)); err == nil {
		t.Error("Accept returns no error although its write failed")
	}
	if err := l.RecordSends(Send{one, Attempt{Endpoint: "s-1", SentAt: noon}}); err == nil || one.Attempts != 0 {
		t.Errorf("RecordSends with a failed write: error %v, %d attempts, want an error and none", err, one.Attempts)
	}
	l.Remove(two)
	if err := l.Flush(); err == nil {
		t.Error("Flush returns no error although its write failed")
	}
	l.file = writable
	must(t, l.Flush()) // the removal was still pending
	must(t, l.Accept(message(4)))
	if recovery := reopen(t, dir, ampleLimit); ids(recovery) != "1 4 " {
		t.Errorf("found %q", ids(recovery))
	}
}
