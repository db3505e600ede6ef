package legacylog

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"testing"
	"time"
)

const ampleLimit = 3_000_000

var noon = time.Date(2026, 11, 29, 12, 0, 0, 0, time.UTC)

func open(t *testing.T, dir string, limit int64) (*Log, Recovery) {
	t.Helper()
	l, found, err := Open(dir, limit)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.file.Close() })
	return l, found
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func message(id uint32) *Message {
	return &Message{
		ID: id, TraceID: fmt.Sprintf("trace-%d", id), IdempotencyKey: fmt.Sprintf("key-%d", id), Destination: 7, Tenant: 1,
		Deadline: noon.Add(time.Duration(id) * time.Second), Body: []byte{0, 'b', '\n', byte(id)},
	}
}

// ids lists what was found.
func ids(found Recovery) string {
	text := ""
	for _, m := range found.Messages {
		text += fmt.Sprint(m.ID, " ")
	}
	return text
}

// onDisk is what the folder takes, each file in whole blocks.
func onDisk(t *testing.T, dir string) int64 {
	t.Helper()
	entries, err := os.ReadDir(dir)
	must(t, err)
	sum := int64(0)
	for _, e := range entries {
		info, err := e.Info()
		must(t, err)
		sum += (info.Size() + blockSize - 1) / blockSize * blockSize
	}
	return sum
}

func TestOpenRecoversUnfinishedMessages(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, ampleLimit)
	delivered, refused, pending, taken := message(1), message(2), message(3), message(4)
	must(t, l.Accept(delivered, refused, pending, taken))
	out := Attempt{Number: 0, Endpoint: "s-1", Zone: 1, SentAt: noon}
	must(t, l.RecordSends(Send{delivered, out}, Send{pending, out}))
	l.RecordNotRun(pending, 0)
	second := Attempt{Number: 1, Endpoint: "s-2", Zone: 1, SentAt: noon.Add(time.Second)}
	must(t, l.RecordSends(Send{pending, second}))
	l.Remove(delivered)
	l.RecordFinal(refused, FinalAnswer{Retryable: true, RetryAfter: 700 * time.Millisecond})
	must(t, l.Flush())

	// No Close: the process was killed.
	_, found := open(t, dir, ampleLimit)
	if got := ids(found); got != "2 3 4 " || found.Damaged {
		t.Fatalf("found %q, damaged %v", got, found.Damaged)
	}
	r, p, k := found.Messages[0], found.Messages[1], found.Messages[2]
	if r.Final == nil || !r.Final.Retryable || r.Final.RetryAfter != 700*time.Millisecond {
		t.Errorf("the notice decided on: %+v", r.Final)
	}
	// The refused attempt is used up but never ran; the one that was out may have.
	if p.Attempts != 2 || len(p.UncertainAttempts) != 1 || p.UncertainAttempts[0].Number != 1 ||
		p.UncertainAttempts[0].Zone != 1 ||
		!p.UncertainAttempts[0].SentAt.Equal(second.SentAt) {
		t.Errorf("attempts of the one that was out: %d, %+v", p.Attempts, p.UncertainAttempts)
	}
	if k.TraceID != taken.TraceID || k.IdempotencyKey != taken.IdempotencyKey || k.Destination != 7 || k.Tenant != 1 ||
		!k.Deadline.Equal(taken.Deadline) || !bytes.Equal(k.Body, taken.Body) {
		t.Errorf("taken on %+v, came back %+v", taken, k)
	}
}

func TestOpenDropsTornTail(t *testing.T) {
	whole := t.TempDir()
	l, _ := open(t, whole, ampleLimit)
	must(t, l.Accept(message(1)))
	keep := l.size
	must(t, l.Accept(message(2)))
	data, err := os.ReadFile(filepath.Join(whole, fileName))
	must(t, err)
	for cut := keep; cut < int64(len(data)); cut++ {
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, fileName), data[:cut], 0o600))
		l, found := open(t, dir, ampleLimit)
		if got := ids(found); got != "1 " || found.Damaged {
			t.Fatalf("cut at %d: found %q, damaged %v", cut, got, found.Damaged)
		}
		must(t, l.Accept(message(3)))
		if _, found := open(t, dir, ampleLimit); ids(found) != "1 3 " {
			t.Fatalf("cut at %d: appended after it, found %q", cut, ids(found))
		}
	}
}

func TestDamagedRecordHidesNoOther(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, ampleLimit)
	must(t, l.Accept(message(1)))
	first := l.size
	must(t, l.Accept(message(2)))
	second := l.size
	must(t, l.Accept(message(3)))
	data, err := os.ReadFile(filepath.Join(dir, fileName))
	must(t, err)
	for at := first; at < second; at++ {
		bad := bytes.Clone(data)
		bad[at] ^= 0x55
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, fileName), bad, 0o600))
		if _, found := open(t, dir, ampleLimit); ids(found) != "1 3 " || !found.Damaged {
			t.Fatalf("byte %d damaged: found %q, damaged %v", at, ids(found), found.Damaged)
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
	data, err := os.ReadFile(filepath.Join(source, fileName))
	must(t, err)
	for range 300 {
		bad := bytes.Clone(data)
		for range 1 + rng.IntN(8) {
			bad[rng.IntN(len(bad))] = byte(rng.Uint32())
		}
		dir := t.TempDir()
		must(t, os.WriteFile(filepath.Join(dir, fileName), bad[:rng.IntN(len(bad))], 0o600))
		l, found := open(t, dir, ampleLimit)
		before := len(found.Messages)
		must(t, l.Accept(message(1000)))
		if _, found := open(t, dir, ampleLimit); len(found.Messages) != before+1 {
			t.Fatalf("%d messages found, then %d with one more", before, len(found.Messages))
		}
		l.file.Close()
	}
}

// The old and the new file stand side by side during a compaction: neither may grow past its share.
func TestCompactionKeepsDiskLimit(t *testing.T) {
	const limit = 100_000
	dir := t.TempDir()
	l, _ := open(t, dir, limit)
	compactions := 0
	var held []*Message
	for i := range uint32(4000) {
		m := message(i)
		before := l.size
		must(t, l.Accept(m))
		must(t, l.RecordSends(Send{m, Attempt{Endpoint: "s-5be2a07c", SentAt: noon}}))
		if held = append(held, m); len(held) > 20 {
			l.Remove(held[0])
			held = held[1:]
			must(t, l.Flush())
		}
		if l.size < before {
			compactions++
			// before is what the old file held when the new one stood beside it.
			if sum := before + l.size + 4*blockSize; sum > limit {
				t.Fatalf("%d bytes on disk during a compaction", sum)
			}
		}
		if got := onDisk(t, dir); got > limit*6/10 {
			t.Fatalf("%d bytes on disk", got)
		}
	}
	if compactions < 10 {
		t.Errorf("%d compactions", compactions)
	}
	if _, found := open(t, dir, limit); len(found.Messages) != len(held) ||
		len(found.Messages[0].UncertainAttempts) != 1 {
		t.Errorf("%d messages held, %d found", len(held), len(found.Messages))
	}
}

func TestInterruptedCompactionLosesNothing(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, ampleLimit)
	must(t, l.Accept(message(1), message(2)))
	data, err := os.ReadFile(filepath.Join(dir, fileName))
	must(t, err)
	must(t, os.WriteFile(filepath.Join(dir, tempFileName), data[:len(data)/2], 0o600))
	if _, found := open(t, dir, ampleLimit); ids(found) != "1 2 " {
		t.Errorf("found %q", ids(found))
	}
	if _, err := os.Stat(filepath.Join(dir, tempFileName)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("the unfinished file is still there: %v", err)
	}
}

func TestFullLogRejectsOnlyNewMessages(t *testing.T) {
	const limit = 50_000
	dir := t.TempDir()
	l, _ := open(t, dir, limit)
	var held []*Message
	var err error
	for i := uint32(0); err == nil; i++ {
		m := message(i)
		m.Body = make([]byte, 1000)
		if err = l.Accept(m); err == nil {
			held = append(held, m)
		}
	}
	if !errors.Is(err, ErrFull) || len(held) < 5 {
		t.Fatalf("%d taken on, then %v", len(held), err)
	}
	for round := range 4 { // what is held can be sent, again and again, and ended
		for _, m := range held {
			must(t, l.RecordSends(Send{m, Attempt{Number: round, Endpoint: "s-5be2a07c", SentAt: noon}}))
			l.RecordNotRun(m, round)
		}
	}
	for _, m := range held {
		l.Remove(m)
		must(t, l.Flush())
	}
	must(t, l.Accept(message(9999)))
	if _, found := open(t, dir, limit); ids(found) != "9999 " {
		t.Errorf("found %q", ids(found))
	}
	if got := onDisk(t, dir); got > limit {
		t.Errorf("%d bytes on disk", got)
	}
}

func TestFailedWriteChangesNothing(t *testing.T) {
	dir := t.TempDir()
	l, _ := open(t, dir, ampleLimit)
	one, two := message(1), message(2)
	must(t, l.Accept(one, two))
	good := l.file
	bad, err := os.Open(filepath.Join(dir, fileName)) // takes no writes, as a full disk
	must(t, err)
	defer bad.Close()
	l.file = bad
	if err := l.Accept(message(3)); err == nil {
		t.Error("taken on without a record")
	}
	if err := l.RecordSends(Send{one, Attempt{Endpoint: "s-1", SentAt: noon}}); err == nil || one.Attempts != 0 {
		t.Errorf("sent without a record: %v", err)
	}
	l.Remove(two)
	if err := l.Flush(); err == nil {
		t.Error("an end counts as written")
	}
	l.file = good
	must(t, l.Flush()) // the end was kept
	must(t, l.Accept(message(4)))
	if _, found := open(t, dir, ampleLimit); ids(found) != "1 4 " {
		t.Errorf("found %q", ids(found))
	}
}

func TestEstimatedSizeCoversRecord(t *testing.T) {
	m := message(1)
	m.Body = make([]byte, 500)
	m.Attempts = 8
	m.Final = &FinalAnswer{Retryable: true, RetryAfter: time.Second}
	for n := range 4 {
		m.UncertainAttempts = append(
			m.UncertainAttempts,
			Attempt{Number: n, Endpoint: "s-5be2a07c", Zone: 1, SentAt: noon.Add(time.Nanosecond)},
		)
	}
	if got := len(appendRecord(nil, record{Kind: recordAccept, ID: 1, Message: m}, m.Body)); int64(got) > estimatedSize(m) {
		t.Errorf("a record of %d bytes counts as %d", got, estimatedSize(m))
	}
}

// Whatever stands in the file, it is read to an end, and a record behind it is found.
func FuzzReplay(f *testing.F) {
	whole := appendRecord(nil, record{Kind: recordAccept, ID: 1, Message: message(1)}, []byte("body"))
	whole = appendRecord(whole, record{Kind: recordSend, ID: 1, Attempt: &Attempt{Endpoint: "s-1"}}, nil)
	f.Add(appendRecord(whole, record{Kind: recordCancelled, ID: 1}, nil))
	f.Add(whole[:len(whole)-3])
	last := appendRecord(nil, record{Kind: recordAccept, ID: 1 << 30, Message: message(1 << 30)}, nil)
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &Log{live: map[uint32]*Message{}}
		good, _ := l.replay(data)
		if good > int64(len(data)) {
			t.Fatalf("%d good bytes of %d", good, len(data))
		}
		again := &Log{live: map[uint32]*Message{}}
		end, damaged := again.replay(append(data[:good:good], last...))
		if end != good+int64(len(last)) || again.live[1<<30] == nil || damaged && len(l.live) == 0 && good == 0 {
			t.Errorf("%d good bytes, then %d, damaged %v", good, end, damaged)
		}
	})
}
