package journal

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/clock"
	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

const goldenState = "state" // a state folder in testdata

// goldenStart is the wall time at which the golden journal began: its axis began there, too.
var goldenStart = time.Unix(1e9, 0).UTC()

func goldenClock() bootclock.Reading {
	return bootclock.Reading{Wall: goldenStart, BootID: "golden-boot", Uptime: time.Minute}
}

func goldenOptions() Options { return Options{Limit: store.MinLimit, Clock: goldenClock} }

func goldenAnchor() clock.Anchor {
	return clock.Anchor{BootID: "golden-boot", Uptime: time.Minute, Stamp: goldenStart.UnixNano(), Epoch: 1}
}

// goldenHealth is what the golden journal keeps of the hosts' standing.
func goldenHealth() []byte {
	return endpointhealth.Encode([]endpointhealth.Record{
		{
			Endpoint:         "s-1",
			ObservedAt:       goldenStart,
			RetryAfterUntil:  goldenStart.Add(time.Second),
			Ejected:          true,
			WarmingUp:        true,
			RecentlyRejected: true,
		},
		{Endpoint: "s-2", ObservedAt: goldenStart, RecentlyHealthy: true},
	})
}

func goldenAttempt(n int) Attempt {
	return Attempt{
		Number:   n,
		Endpoint: fmt.Sprint("s-", n),
		Zone:     1,
		SentAt:   goldenStart.Add(time.Duration(n) * time.Second),
	}
}

// writeGolden writes messages of every kind to a state folder, and returns those that are unfinished.
func writeGolden(t *testing.T, state string) []*Message {
	t.Helper()
	j, _, err := OpenFolder(state, goldenOptions())
	must(t, err)
	untried, sent, withdrawn, deferred, failed, ended := message(
		1,
	), message(
		2,
	), message(
		3,
	), message(
		4,
	), message(
		5,
	), message(
		6,
	)
	tried := message(7) // when it was taken on
	tried.Attempts, tried.UncertainAttempts = 2, []Attempt{goldenAttempt(1)}
	undated := message(8)
	undated.Attempts, undated.UncertainAttempts = 1, []Attempt{goldenAttempt(0)}
	undated.UncertainAttempts[0].Undated = true
	must(t, j.Accept(untried, sent, withdrawn, deferred, failed, ended, tried, undated))
	must(t, j.RecordSends(Send{sent, goldenAttempt(0)}, Send{sent, goldenAttempt(1)}, Send{sent, goldenAttempt(2)}))
	must(t, j.RecordSends(Send{withdrawn, goldenAttempt(0)}, Send{failed, goldenAttempt(0)}))
	j.RecordNotRun(sent, 1)
	j.RecordCancelled(withdrawn)
	j.RecordFinal(deferred, FinalAnswer{Retryable: true, RetryAfter: 1500 * time.Millisecond})
	j.RecordFinal(failed, FinalAnswer{})
	j.Remove(ended)
	must(t, j.Flush())
	must(t, j.SaveEndpointHealth(goldenHealth()))
	must(t, j.Close())
	return []*Message{untried, sent, withdrawn, deferred, failed, tried, undated}
}

// goldenCopy is a copy of the golden state folder, with the journal alone.
func goldenCopy(t *testing.T) string {
	t.Helper()
	state := t.TempDir()
	must(t, os.CopyFS(state, os.DirFS(golden.Path(goldenState))))
	return state
}

// dump tells what stands in the store of a state folder: keys, values and deltas.
func dump(t *testing.T, state string) []byte {
	t.Helper()
	s, found, err := store.Open(store.Dir(Folder(state)), store.Options{Limit: store.MinLimit, ReadOnly: true})
	must(t, err)
	defer s.Close()
	if !found.Intact() {
		t.Fatalf("the store is not sound: %+v", found)
	}
	var out bytes.Buffer
	for _, key := range found.Keys {
		value, err := s.Get(key, nil)
		must(t, err)
		fmt.Fprintf(&out, "value %d %x\n", key, value)
		for _, delta := range found.Deltas(key) {
			fmt.Fprintf(&out, "delta %d %x\n", key, delta)
		}
	}
	return out.Bytes()
}

// checkMessages compares what was found with what is expected, in order.
func checkMessages(t *testing.T, got, want []*Message) {
	t.Helper()
	if len(got) != len(want) {
		t.Fatalf("%d messages, want %d", len(got), len(want))
	}
	for i := range got {
		if !equalMessages(got[i], want[i]) {
			t.Errorf("read as %+v, want %+v", got[i], want[i])
		}
	}
}

// A journal that another build wrote is read in full, and what this one writes is the same but for the random numbers
// of segments.
func TestGoldenJournal(t *testing.T) {
	written := t.TempDir()
	want := writeGolden(t, written)
	if *update {
		must(t, os.RemoveAll(golden.Path(goldenState)))
		must(t, os.CopyFS(golden.Path(goldenState), os.DirFS(written)))
	}
	golden.Check(t, *update, "values.txt", dump(t, written))
	golden.Check(t, false, "values.txt", dump(t, goldenCopy(t)))

	j, found, err := OpenFolder(goldenCopy(t), goldenOptions())
	must(t, err)
	defer j.Close()
	if !found.Intact() || found.ClockStep != 0 {
		t.Errorf("found %+v", found)
	}
	checkMessages(t, found.Messages, want)
	if !bytes.Equal(found.EndpointHealth, goldenHealth()) {
		t.Errorf("standing %s", found.EndpointHealth)
	}
	if j.anchor != goldenAnchor() {
		t.Errorf("anchor %+v, want %+v", j.anchor, goldenAnchor())
	}
}

// The axis of a golden journal goes on over a wall clock that was set while no process ran.
func TestGoldenAnchor(t *testing.T) {
	options := goldenOptions()
	options.Clock = func() bootclock.Reading {
		now := goldenClock()
		now.Wall, now.Uptime = now.Wall.Add(time.Hour), now.Uptime+5*time.Second
		return now
	}
	j, found, err := OpenFolder(goldenCopy(t), options)
	must(t, err)
	defer j.Close()
	if found.ClockStep != time.Hour-5*time.Second {
		t.Errorf("stepped by %v", found.ClockStep)
	}
	if got, want := j.timeline.BaseStamp, goldenStart.Add(5*time.Second).UnixNano(); got != want {
		t.Errorf("the axis goes on at %d, want %d", got, want)
	}
}

// goldenLegacyLog is the log of the older form that an earlier build wrote.
const goldenLegacyLog = "../legacylog/testdata/golden/wal.log"

// A log of the older form is carried over in full.
func TestGoldenLegacyLogMigration(t *testing.T) {
	log, err := os.ReadFile(goldenLegacyLog)
	must(t, err)
	state := t.TempDir()
	must(t, os.WriteFile(filepath.Join(state, legacyLogName), log, 0o600))
	j, found, err := OpenFolder(state, goldenOptions())
	must(t, err)
	must(t, j.Close())
	carried := found.Migrated
	golden.Check(t, *update, "carried-over.txt", dump(t, state))

	// The next process reads the same from the journal alone.
	j, found, err = OpenFolder(state, goldenOptions())
	must(t, err)
	defer j.Close()
	old := func(id uint32) *Message {
		return &Message{
			ID: id, TraceID: "trace", IdempotencyKey: "key", OrderingKey: "order", Class: 2, ClassName: "orders", Tenant: 3, Destination: 7,
			Deadline: time.Unix(1e9, int64(id)), Body: []byte("body"),
		}
	}
	attempt := func(n int) []Attempt {
		return []Attempt{{Number: n, Endpoint: "s-1", Zone: 1, SentAt: goldenStart, Undated: true}}
	}
	untried, sent, deferred, failed, withdrawn, rewritten := old(1), old(2), old(3), old(4), old(5), old(7)
	sent.Attempts, sent.UncertainAttempts = 2, attempt(0)
	deferred.Final = &FinalAnswer{Retryable: true, RetryAfter: 1500 * time.Millisecond}
	failed.Attempts, failed.UncertainAttempts, failed.Final = 1, attempt(0), &FinalAnswer{}
	withdrawn.Attempts, withdrawn.UncertainAttempts, withdrawn.Cancelled = 1, attempt(0), true
	rewritten.Attempts, rewritten.UncertainAttempts, rewritten.Final, rewritten.Cancelled = 3, attempt(
		2,
	), &FinalAnswer{
		Retryable:  true,
		RetryAfter: time.Second,
	}, true
	plain := &Message{ID: 8, Deadline: goldenStart}
	want := []*Message{untried, sent, deferred, failed, withdrawn, rewritten, plain}
	checkMessages(t, found.Messages, want)
	if carried != len(want) || found.Migrated != 0 {
		t.Errorf("%d carried over, then %d", carried, found.Migrated)
	}
}
