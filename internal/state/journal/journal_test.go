package journal

import (
	"errors"
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
	"cherrytrestle.example/cherrytrestle/policy"
)

// openJournal opens the journal in fs with the smallest disk limit.
func openJournal(t testing.TB, fs store.FS) (*Journal, *Recovery) {
	t.Helper()
	j, recovery, err := Open(fs, Options{Limit: store.MinLimit})
	if err != nil {
		t.Fatal(err)
	}
	return j, recovery
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// message returns a message without attempts. Each field that is set at acceptance has a value.
func message(id policy.MessageID) *Message {
	return &Message{
		ID:             id,
		TraceID:        fmt.Sprint("trace-", id),
		IdempotencyKey: "key",
		OrderingKey:    "order",
		Class:          2,
		ClassName:      "orders",
		Terms:          termsOfOrders(),
		Tenant:         -1,
		TenantName:     "acme",
		Destination:    7,
		Deadline:       time.Unix(1e9, int64(id)),
		Body:           []byte(fmt.Sprint("body of ", id)),
	}
}

// termsOfOrders returns terms of which each field has a value.
func termsOfOrders() *policy.MessageTerms {
	class := policy.Class{
		Effect:           policy.IdempotentByKey,
		DedupAllZones:    true,
		DedupWindow:      10 * time.Second,
		Ordered:          true,
		LatencyObjective: 3 * time.Second,
		Deadline:         16 * time.Second,
		Weight:           0.75,
	}
	return &policy.MessageTerms{Class: class, MaxAttempts: 4}
}

// equalMessages reports whether two messages are equal apart from the differences that normalized removes.
func equalMessages(a, b *Message) bool {
	return reflect.DeepEqual(normalized(a), normalized(b))
}

// normalized returns a copy of a message without the differences between equal messages: the key in the store, the
// body size, the locations and monotonic readings of times, and whether an empty list of attempts is nil.
func normalized(m *Message) Message {
	result := *m
	result.key = 0
	result.bodySize = 0
	result.Deadline = m.Deadline.Round(0).UTC()
	result.UncertainAttempts = nil
	for _, attempt := range m.UncertainAttempts {
		attempt.SentAt = attempt.SentAt.Round(0).UTC()
		result.UncertainAttempts = append(result.UncertainAttempts, attempt)
	}
	return result
}

// checkMessages compares two lists of messages, including their order.
func checkMessages(t *testing.T, got, want []*Message) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d messages, want %d", len(got), len(want))
	}
	for i := range got {
		if !equalMessages(got[i], want[i]) {
			t.Errorf("got %+v, want %+v", got[i], want[i])
		}
	}
}

func TestOpenRecoversUnfinishedMessages(t *testing.T) {
	fs := faultfs.New()
	j, recovery := openJournal(t, fs)
	if len(recovery.Messages) != 0 || !recovery.Intact() {
		t.Fatalf("a new journal is not empty or not intact: %+v", recovery)
	}
	var messages []*Message
	for id := range policy.MessageID(6) {
		messages = append(messages, message(id+1))
	}
	attempted := messages[5] // accepted with attempts, as in a migration
	attempted.Body = nil
	attempted.Attempts = 2
	attempted.UncertainAttempts = []Attempt{{Number: 1, Endpoint: "h", Zone: 1, SentAt: time.Unix(5, 5)}}
	must(t, j.Accept(messages...))

	sentAt := time.Unix(7, 8)
	must(t, j.RecordSends(
		Send{messages[0], Attempt{Number: 0, Endpoint: "s-1", Zone: 1, SentAt: sentAt}},
		Send{messages[1], Attempt{Number: 0, Endpoint: "s-2", Zone: 0, SentAt: sentAt}},
	))
	must(t, j.RecordSends(Send{messages[0], Attempt{Number: 1, Endpoint: "s-3", Zone: 1, SentAt: sentAt}}))
	j.RecordNotRun(messages[0], 0)
	j.RecordFinal(messages[1], FinalAnswer{Retryable: true, RetryAfter: 500 * time.Millisecond})
	j.RecordFinal(messages[2], FinalAnswer{})
	j.RecordCancelled(messages[3])
	j.Remove(messages[4])
	must(t, j.Flush())
	if j.Tracks(messages[4]) || !j.Tracks(messages[3]) {
		t.Error("the removed message is tracked, or the cancelled one is not")
	}

	_, recovery = openJournal(t, fs.Reboot())
	checkMessages(t, recovery.Messages, slices.Delete(messages, 4, 5))
}

// A full journal rejects new messages and still writes attempts, outcomes and removals. Pending outcomes are written
// even if the new message in the same batch is rejected.
func TestFullJournalRejectsOnlyNewMessages(t *testing.T) {
	fs := faultfs.New()
	j, _ := openJournal(t, fs)
	var messages []*Message
	for id := policy.MessageID(1); ; id++ {
		m := message(id)
		m.Body = make([]byte, 900)
		err := j.Accept(m)
		if errors.Is(err, ErrFull) {
			break
		}
		must(t, err)
		messages = append(messages, m)
	}
	if j.Tracks(&Message{ID: policy.MessageID(len(messages) + 1)}) {
		t.Error("the rejected message is tracked")
	}
	for i, m := range messages {
		attempt := Attempt{Number: 0, Endpoint: "s-0123456789", Zone: 1, SentAt: time.Unix(1, 1)}
		must(t, j.RecordSends(Send{m, attempt}))
		if i%2 == 0 {
			j.RecordNotRun(m, 0)
			if err := j.Accept(&Message{ID: 1e6, Body: make([]byte, 100000)}); !errors.Is(err, ErrFull) {
				t.Fatalf("accept a message that is too large for the space left: error %v, want ErrFull", err)
			}
		}
	}
	_, recovery := openJournal(t, fs.Reboot())
	if len(recovery.Messages) != len(messages) {
		t.Fatalf("recovered %d messages, want %d", len(recovery.Messages), len(messages))
	}
	for i, m := range recovery.Messages {
		if len(m.UncertainAttempts) != i%2 {
			t.Errorf("message %d: %d uncertain attempts, want %d", m.ID, len(m.UncertainAttempts), i%2)
		}
	}
	for _, m := range messages {
		j.Remove(m)
		must(t, j.Flush())
	}
	must(t, j.Accept(message(1)))
	if err := j.CompactionError(); err != nil {
		t.Errorf("compaction failed: %v", err)
	}
}

// Lost records may be deltas of any message that was accepted before them. Damage therefore makes these messages
// uncertain, and no others.
func TestDamageMarksOnlyEarlierMessagesUncertain(t *testing.T) {
	fs := faultfs.New()
	j, _ := openJournal(t, fs)
	for id := range policy.MessageID(40) {
		m := message(id + 1)
		m.Body = make([]byte, 3000)
		must(t, j.Accept(m))
	}
	name := fs.Files()[0]
	data := fs.Data(name)
	data[len(data)/2] ^= 1
	_, recovery := openJournal(t, fs.Reboot())
	uncertain := 0
	for _, m := range recovery.Messages {
		if m.Uncertain {
			uncertain++
		}
	}
	if recovery.Intact() || len(recovery.Messages) < 37 || uncertain < 15 || uncertain > 25 {
		t.Errorf("recovered %d messages, want at least 37 and damage; %d uncertain, want 15 to 25: %+v",
			len(recovery.Messages), uncertain, recovery.Store)
	}
}

// The folder does not grow while messages are accepted and removed: its maximum size in the last third of the run is
// at most 2 % above that in the first third. To show that the run is long enough, it is repeated without removals:
// the journal must then reach its limit and reject a message.
func TestDiskUseStaysBounded(t *testing.T) {
	const (
		limit           = 1 << 20
		messagesInThird = 8000
		maxLive         = 30
	)
	for _, removes := range []bool{true, false} {
		t.Run(fmt.Sprint("removes=", removes), func(t *testing.T) {
			w := openWriter(t, journalKind, t.TempDir(), limit).(*journalWriter)
			var maxBytes [3]int64
			rejected := false
			for id := policy.MessageID(1); id <= 3*messagesInThird && !rejected; id++ {
				rejected = w.accept(id) != nil
				if removes && id > maxLive {
					must(t, w.remove(id-maxLive))
				}
				third := &maxBytes[int(id-1)/messagesInThird]
				*third = max(*third, w.journal.Stats().DiskBytes)
			}
			grown := maxBytes[2] > maxBytes[0]+maxBytes[0]/50
			if removes && (rejected || grown || maxBytes[2] > limit) {
				t.Errorf("maximum disk use in each third of the run: %v; rejected: %v", maxBytes, rejected)
			}
			if !removes && !rejected {
				t.Errorf("no message is rejected; maximum disk use in each third of the run: %v", maxBytes)
			}
			must(t, w.close())
		})
	}
}
