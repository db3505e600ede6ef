package journal

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/state/clock"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
)

func openMemory(t testing.TB, fs store.FS) (*Journal, *Recovery) {
	t.Helper()
	j, rec, err := Open(fs, Options{Limit: store.MinLimit})
	if err != nil {
		t.Fatal(err)
	}
	return j, rec
}

func must(t testing.TB, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func message(id uint32) *Message {
	return &Message{
		ID: id, TraceID: fmt.Sprint("trace-", id), IdempotencyKey: "key", OrderingKey: "order", Class: 2, ClassName: "orders", Tenant: -1, Destination: 7,
		Deadline: time.Unix(1e9, int64(id)), Body: []byte(fmt.Sprint("body of ", id)),
	}
}

// equalMessages tells whether two messages are alike in all that must last.
func equalMessages(a, b *Message) bool {
	x, y := *a, *b
	for _, m := range []*Message{&x, &y} {
		m.key, m.bodySize = 0, 0
		if len(m.UncertainAttempts) == 0 {
			m.UncertainAttempts = nil
		}
		m.UncertainAttempts = slices.Clone(m.UncertainAttempts)
		for i := range m.UncertainAttempts {
			m.UncertainAttempts[i].SentAt = m.UncertainAttempts[i].SentAt.Round(0).UTC()
		}
		m.Deadline = m.Deadline.Round(0).UTC()
	}
	return reflect.DeepEqual(x, y)
}

func TestOpenRecoversUnfinishedMessages(t *testing.T) {
	fs := faultfs.New()
	j, rec := openMemory(t, fs)
	if len(rec.Messages) != 0 || !rec.Intact() {
		t.Fatalf("%+v", rec)
	}
	var ms []*Message
	for id := range uint32(6) {
		ms = append(ms, message(id+1))
	}
	ms[5].Body, ms[5].Attempts, ms[5].UncertainAttempts = nil, 2, []Attempt{
		{Number: 1, Endpoint: "h", Zone: 1, SentAt: time.Unix(5, 5)},
	}
	must(t, j.Accept(ms...))
	at := time.Unix(7, 8)
	must(
		t,
		j.RecordSends(
			Send{ms[0], Attempt{Number: 0, Endpoint: "s-1", Zone: 1, SentAt: at}},
			Send{ms[1], Attempt{Number: 0, Endpoint: "s-2", Zone: 0, SentAt: at}},
		),
	)
	must(t, j.RecordSends(Send{ms[0], Attempt{Number: 1, Endpoint: "s-3", Zone: 1, SentAt: at}}))
	j.RecordNotRun(ms[0], 0)
	j.RecordFinal(ms[1], FinalAnswer{Retryable: true, RetryAfter: 500 * time.Millisecond})
	j.RecordFinal(ms[2], FinalAnswer{})
	j.RecordCancelled(ms[3])
	j.Remove(ms[4])
	must(t, j.Flush())
	if j.Tracks(ms[4]) || !j.Tracks(ms[3]) {
		t.Error("owes the wrong ones")
	}
	_, rec = openMemory(t, fs.Reboot())
	if len(rec.Messages) != 5 {
		t.Fatalf("%d messages", len(rec.Messages))
	}
	for i, m := range rec.Messages {
		if want := ms[[]int{0, 1, 2, 3, 5}[i]]; !equalMessages(m, want) {
			t.Errorf("%+v, want %+v", m, want)
		}
	}
}

// Over many lives, with crashes at any call of the file system, no message that was taken on is forgotten, none that
// ended comes back, and what may have run is never taken for what did not.
func TestCrashesLoseNoMessage(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 3))
		fs := faultfs.New()
		owed, sent, next := map[uint32]bool{}, map[uint32]map[int]bool{}, uint32(0)
		for range rapid.IntRange(1, 5).Draw(rt, "lives") {
			fs = fs.Reboot()
			j, rec, err := Open(fs, Options{Limit: store.MinLimit, MaxBodyBytes: 2000})
			if err != nil {
				rt.Fatal(err)
			}
			there := map[uint32]*Message{}
			for _, m := range rec.Messages {
				there[m.ID] = m
				next = max(next, m.ID)
				body, err := j.Body(m)
				if err != nil || !bytes.HasPrefix(body, []byte(fmt.Sprint("body of ", m.ID))) {
					rt.Fatalf("body of %d: %.30q, %v", m.ID, body, err)
				}
				for n := range sent[m.ID] {
					if !slices.ContainsFunc(m.UncertainAttempts, func(a Attempt) bool { return a.Number == n }) {
						rt.Fatalf("message %d: attempt %d may have run, and is not known", m.ID, n)
					}
				}
			}
			for id := range owed {
				if there[id] == nil {
					rt.Fatalf("message %d is forgotten", id)
				}
			}
			if !rec.Intact() {
				rt.Fatalf("%+v", rec.Store)
			}
			clear(owed)
			ms := rec.Messages
			for _, m := range ms {
				owed[m.ID] = true
			}
			fs.StopAt(1+rng.IntN(400), rng.IntN(6000))
			for err == nil {
				switch n := rng.IntN(10); {
				case n < 4 || len(ms) == 0:
					next++
					m := message(next)
					m.Body = append(m.Body, make([]byte, rng.IntN(4000))...)
					if err = j.Accept(m); errors.Is(err, ErrFull) {
						err = nil
						if len(ms) > 0 {
							j.Remove(ms[0])
							if err = j.Flush(); err == nil {
								delete(owed, ms[0].ID)
							}
							ms = ms[1:]
						}
					} else if err == nil {
						owed[m.ID] = true
						ms = append(ms, m)
					}
				case n < 6:
					m := ms[rng.IntN(len(ms))]
					a := Attempt{Number: m.Attempts, Endpoint: "s", SentAt: time.Unix(1, 0)}
					if err = j.RecordSends(Send{m, a}); err == nil {
						if sent[m.ID] == nil {
							sent[m.ID] = map[int]bool{}
						}
						sent[m.ID][a.Number] = true
					}
				case n < 7:
					m := ms[rng.IntN(len(ms))]
					if len(m.UncertainAttempts) > 0 {
						n := m.UncertainAttempts[0].Number
						delete(sent[m.ID], n) // from the note on either is right
						j.RecordNotRun(m, n)
						err = j.Flush()
					}
				default:
					i := rng.IntN(min(len(ms), 10))
					m := ms[i]
					ms = slices.Delete(slices.Clone(ms), i, i+1)
					delete(owed, m.ID) // from the note on either is right
					j.Remove(m)
					err = j.Flush()
				}
			}
			if !errors.Is(err, faultfs.ErrStopped) {
				rt.Fatal(err)
			}
		}
	})
}

// Where new work finds no room, ends and outcomes do, and they are written although the new work was not.
func TestFullJournalRejectsOnlyNewMessages(t *testing.T) {
	fs := faultfs.New()
	j, _ := openMemory(t, fs)
	var ms []*Message
	for id := uint32(1); ; id++ {
		m := message(id)
		m.Body = make([]byte, 900)
		err := j.Accept(m)
		if errors.Is(err, ErrFull) {
			break
		}
		must(t, err)
		ms = append(ms, m)
	}
	if j.Tracks(&Message{ID: uint32(len(ms) + 1)}) {
		t.Error("the one that was refused is owed")
	}
	for i, m := range ms {
		must(t, j.RecordSends(Send{m, Attempt{Number: 0, Endpoint: "s-0123456789", Zone: 1, SentAt: time.Unix(1, 1)}}))
		if i%2 == 0 {
			j.RecordNotRun(m, 0)
			if err := j.Accept(&Message{ID: 1e6, Body: make([]byte, 100000)}); !errors.Is(err, ErrFull) {
				t.Fatal(err)
			}
		}
	}
	_, rec := openMemory(t, fs.Reboot())
	if len(rec.Messages) != len(ms) {
		t.Fatalf("%d messages, want %d", len(rec.Messages), len(ms))
	}
	for i, m := range rec.Messages {
		if len(m.UncertainAttempts) != i%2 {
			t.Errorf("message %d: %d may have run", m.ID, len(m.UncertainAttempts))
		}
	}
	for _, m := range ms {
		j.Remove(m)
		must(t, j.Flush())
	}
	must(t, j.Accept(message(1)))
	if err := j.CompactionError(); err != nil {
		t.Error(err)
	}
}

// Damage touches the messages that it may be about, and no others.
func TestDamageMarksOnlyEarlierMessagesUncertain(t *testing.T) {
	fs := faultfs.New()
	j, _ := openMemory(t, fs)
	for id := range uint32(40) {
		m := message(id + 1)
		m.Body = make([]byte, 3000)
		must(t, j.Accept(m))
	}
	name := fs.Files()[0]
	data := fs.Data(name)
	data[len(data)/2] ^= 1
	_, rec := openMemory(t, fs.Reboot())
	doubtful := 0
	for _, m := range rec.Messages {
		if m.Uncertain {
			doubtful++
		}
	}
	if rec.Intact() || len(rec.Messages) < 37 || doubtful < 15 || doubtful > 25 {
		t.Errorf("%d messages, %d doubtful: %+v", len(rec.Messages), doubtful, rec.Store)
	}
}

// fixedTimeline is the axis of a machine whose clock was never set.
var fixedTimeline = clock.Timeline{Base: time.Unix(0, 0), Epoch: 1}

func TestDecodeRejectsMalformedInput(t *testing.T) {
	value := append(message(3).appendHeader(nil, fixedTimeline), "body"...)
	for cut := range len(value) - len("body") {
		if m, ok := decodeMessage(value[:cut], fixedTimeline); ok {
			t.Errorf("a message cut at byte %d is taken: %+v", cut, m)
		}
	}
	m := message(1)
	for name, delta := range map[string][]byte{
		"empty":              nil,
		"unknown kind":       {99},
		"send without field": {byte(deltaSend)},
		"final cut off":      {byte(deltaFinal), 2},
		"cancelled and more": {byte(deltaCancelled), 1},
		"not run and more":   append([]byte{byte(deltaNotRun), 2}, strings.Repeat("x", 9)...),
	} {
		if m.applyDelta(delta, fixedTimeline) {
			t.Errorf("%s: delta %v is accepted", name, delta)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(append(message(3).appendHeader(nil, fixedTimeline), "body"...))
	f.Add(appendAttempt([]byte{byte(deltaSend)}, &Attempt{Number: 1, Endpoint: "h", Zone: 2, SentAt: time.Unix(1, 2)}, fixedTimeline))
	f.Fuzz(func(t *testing.T, data []byte) {
		m, ok := decodeMessage(data, fixedTimeline)
		if !ok {
			message(1).applyDelta(data, fixedTimeline)
			return
		}
		again, ok := decodeMessage(append(m.appendHeader(nil, fixedTimeline), m.Body...), fixedTimeline)
		if !ok || !equalMessages(m, again) {
			t.Errorf("%+v, %+v", m, again)
		}
	})
}

// Over many messages taken on and ended the folder does not grow: what it holds at most in the last part of the run is
// no more than in the first. A journal that ended nothing would fill its limit and turn messages away, which the test
// shows.
func TestDiskUseStaysBounded(t *testing.T) {
	const limit, each, live = 1 << 20, 8000, 30
	for _, ends := range []bool{true, false} {
		s := openWriter(t, "journal", t.TempDir(), limit).(*journalWriter)
		var most [3]int64
		refused := false
		for id := uint32(1); id <= 3*each && !refused; id++ {
			refused = s.accept(id) != nil
			if ends && id > live {
				must(t, s.end(id-live))
			}
			part := &most[int(id-1)/each]
			*part = max(*part, s.j.Stats().DiskBytes)
		}
		if grown := most[2] > most[0]+most[0]/50; ends && (refused || grown || most[2] > limit) {
			t.Errorf("at most %v bytes in the thirds of the run, a message turned away: %v", most, refused)
		}
		if !ends && !refused {
			t.Errorf("a journal of %v bytes that ends nothing turns nothing away", most)
		}
		must(t, s.close())
	}
}
