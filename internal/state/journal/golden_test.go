package journal

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/clock"
	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
	"cherrytrestle.example/cherrytrestle/policy"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// State folders among the golden files.
const (
	goldenState         = "state-terms" // with messages as they are written
	goldenTermlessState = "state"       // with messages that lack their terms, as earlier builds wrote them
)

// goldenStart is the wall time at which the golden journal was created and at which its timeline starts.
var goldenStart = time.Unix(1e9, 0).UTC()

func goldenClock() bootclock.Reading {
	return bootclock.Reading{Wall: goldenStart, BootID: "golden-boot", Uptime: time.Minute}
}

func goldenOptions() Options { return Options{Limit: store.MinLimit, Clock: goldenClock} }

func goldenAnchor() clock.Anchor {
	return clock.Anchor{BootID: "golden-boot", Uptime: time.Minute, Stamp: goldenStart.UnixNano(), Epoch: 1}
}

// goldenRules returns the rules for new messages in the golden journal.
func goldenRules(t *testing.T) []byte {
	t.Helper()
	rules := reload.Rules{
		ClassNames:  []string{"orders"},
		Classes:     []policy.Class{termsOfOrders().Class},
		MaxAttempts: termsOfOrders().MaxAttempts,
	}
	data, err := rules.Encode()
	must(t, err)
	return data
}

// goldenHealth returns the endpoint health in the golden journal.
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
		ZoneName: "b",
		SentAt:   goldenStart.Add(time.Duration(n) * time.Second),
	}
}

// writeGolden writes a journal with messages in all states to a state folder. It returns the messages that are not
// removed.
func writeGolden(t *testing.T, stateFolder string) []*Message {
	t.Helper()
	j, _, err := OpenFolder(stateFolder, goldenOptions())
	must(t, err)
	untried, sent, cancelled := message(1), message(2), message(3)
	deferred, failed, removed := message(4), message(5), message(6)
	attempted := message(7) // has attempts from before it was accepted
	attempted.Attempts = 2
	attempted.UncertainAttempts = []Attempt{goldenAttempt(1)}
	undated := message(8)
	undated.Attempts = 1
	undated.UncertainAttempts = []Attempt{goldenAttempt(0)}
	undated.UncertainAttempts[0].Undated = true
	must(t, j.Accept(untried, sent, cancelled, deferred, failed, removed, attempted, undated))
	must(t, j.RecordSends(Send{sent, goldenAttempt(0)}, Send{sent, goldenAttempt(1)}, Send{sent, goldenAttempt(2)}))
	must(t, j.RecordSends(Send{cancelled, goldenAttempt(0)}, Send{failed, goldenAttempt(0)}))
	j.RecordNotRun(sent, 1)
	j.RecordCancelled(cancelled)
	j.RecordFinal(deferred, FinalAnswer{Retryable: true, RetryAfter: 1500 * time.Millisecond})
	j.RecordFinal(failed, FinalAnswer{})
	j.Remove(removed)
	must(t, j.Flush())
	must(t, j.SaveEndpointHealth(goldenHealth()))
	must(t, j.SaveRules(goldenRules(t)))
	must(t, j.Close())
	return []*Message{untried, sent, cancelled, deferred, failed, attempted, undated}
}

// goldenCopy returns a copy of a golden state folder, which contains only a journal.
func goldenCopy(t *testing.T, name string) string {
	t.Helper()
	stateFolder := t.TempDir()
	must(t, os.CopyFS(stateFolder, os.DirFS(golden.Path(name))))
	return stateFolder
}

// dump returns the content of the store in a state folder as text: keys, values and deltas.
func dump(t *testing.T, stateFolder string) []byte {
	t.Helper()
	st, found, err := store.Open(store.Dir(Folder(stateFolder)), store.Options{Limit: store.MinLimit, ReadOnly: true})
	must(t, err)
	defer func() { must(t, st.Close()) }()
	if !found.Intact() {
		t.Fatalf("the store is not intact: %+v", found)
	}
	var out bytes.Buffer
	for _, key := range found.Keys {
		value, err := st.Get(key, nil)
		must(t, err)
		fmt.Fprintf(&out, "value %d %x\n", key, value)
		for _, delta := range found.Deltas(key) {
			fmt.Fprintf(&out, "delta %d %x\n", key, delta)
		}
	}
	return out.Bytes()
}

// openGolden opens the journal in a state folder and closes it at the end of the test.
func openGolden(t *testing.T, stateFolder string, options Options) (*Journal, *Recovery) {
	t.Helper()
	j, recovery, err := OpenFolder(stateFolder, options)
	must(t, err)
	t.Cleanup(func() { must(t, j.Close()) })
	return j, recovery
}

// This build reads all of the golden journal, which an earlier build wrote, and writes the same values and deltas.
// The segment files themselves are not compared, since each contains a random number.
func TestGoldenJournal(t *testing.T) {
	written := t.TempDir()
	want := writeGolden(t, written)
	if *update {
		must(t, os.RemoveAll(golden.Path(goldenState)))
		must(t, os.CopyFS(golden.Path(goldenState), os.DirFS(written)))
	}
	golden.Check(t, *update, "values-terms.txt", dump(t, written))
	golden.Check(t, false, "values-terms.txt", dump(t, goldenCopy(t, goldenState)))
	recovery := checkGolden(t, goldenState, want)
	if !bytes.Equal(recovery.Rules, goldenRules(t)) {
		t.Errorf("rules %s, want %s", recovery.Rules, goldenRules(t))
	}
}

// This build reads all of the golden journal of an earlier build. The terms of its messages and the names
// of the zones of their attempts are unknown.
func TestGoldenJournalWithoutTerms(t *testing.T) {
	golden.Check(t, false, "values.txt", dump(t, goldenCopy(t, goldenTermlessState)))
	want := writeGolden(t, t.TempDir())
	for _, m := range want {
		m.Terms = nil
		m.TenantName = ""
		for i := range m.UncertainAttempts {
			m.UncertainAttempts[i].ZoneName = ""
		}
	}
	checkGolden(t, goldenTermlessState, want)
}

// checkGolden checks that a golden journal is read in full, and returns what was read.
func checkGolden(t *testing.T, name string, want []*Message) *Recovery {
	t.Helper()
	j, recovery := openGolden(t, goldenCopy(t, name), goldenOptions())
	if !recovery.Intact() || recovery.ClockStep != 0 {
		t.Errorf("the recovery is not intact, or the clock step is not 0: %+v", recovery)
	}
	checkMessages(t, recovery.Messages, want)
	if !bytes.Equal(recovery.EndpointHealth, goldenHealth()) {
		t.Errorf("endpoint health %s, want %s", recovery.EndpointHealth, goldenHealth())
	}
	if j.anchor != goldenAnchor() {
		t.Errorf("anchor %+v, want %+v", j.anchor, goldenAnchor())
	}
	return recovery
}

// The timeline of the golden journal continues without a step even if the wall clock was set while no process ran.
func TestGoldenAnchor(t *testing.T) {
	options := goldenOptions()
	options.Clock = func() bootclock.Reading {
		now := goldenClock()
		now.Wall = now.Wall.Add(time.Hour)
		now.Uptime += 5 * time.Second
		return now
	}
	j, recovery := openGolden(t, goldenCopy(t, goldenState), options)
	if recovery.ClockStep != time.Hour-5*time.Second {
		t.Errorf("clock step %v, want %v", recovery.ClockStep, time.Hour-5*time.Second)
	}
	if got, want := j.timeline.BaseStamp, goldenStart.Add(5*time.Second).UnixNano(); got != want {
		t.Errorf("the timeline continues at %d, want %d", got, want)
	}
}

// goldenLegacyLog is the path of a legacy log that an earlier build wrote.
const goldenLegacyLog = "../legacylog/testdata/golden/wal.log"

// goldenMigrated returns the messages of the golden legacy log as they are after the migration.
func goldenMigrated() []*Message {
	legacy := func(id policy.MessageID) *Message {
		return &Message{
			ID:             id,
			TraceID:        "trace",
			IdempotencyKey: "key",
			OrderingKey:    "order",
			Class:          2,
			ClassName:      "orders",
			Tenant:         3,
			Destination:    7,
			Deadline:       time.Unix(1e9, int64(id)),
			Body:           []byte("body"),
		}
	}
	attempted := func(m *Message, uncertain int) {
		m.Attempts = uncertain + 1
		m.UncertainAttempts = []Attempt{
			{Number: uncertain, Endpoint: "s-1", Zone: 1, SentAt: goldenStart, Undated: true},
		}
	}
	untried := legacy(1)
	sent := legacy(2)
	attempted(sent, 0)
	sent.Attempts = 2 // the second attempt never ran
	deferred := legacy(3)
	deferred.Final = &FinalAnswer{Retryable: true, RetryAfter: 1500 * time.Millisecond}
	failed := legacy(4)
	attempted(failed, 0)
	failed.Final = &FinalAnswer{}
	cancelled := legacy(5)
	attempted(cancelled, 0)
	cancelled.Cancelled = true
	compacted := legacy(7)
	attempted(compacted, 2)
	compacted.Final = &FinalAnswer{Retryable: true, RetryAfter: time.Second}
	compacted.Cancelled = true
	empty := &Message{ID: 8, Deadline: goldenStart}
	return []*Message{untried, sent, deferred, failed, cancelled, compacted, empty}
}

// All messages of the golden legacy log are migrated with their progress.
func TestGoldenLegacyLogMigration(t *testing.T) {
	log, err := os.ReadFile(goldenLegacyLog)
	must(t, err)
	stateFolder := t.TempDir()
	must(t, os.WriteFile(filepath.Join(stateFolder, legacyLogName), log, 0o600))
	j, recovery, err := OpenFolder(stateFolder, goldenOptions())
	must(t, err)
	must(t, j.Close())
	migrated := recovery.Migrated
	golden.Check(t, *update, "carried-over.txt", dump(t, stateFolder))

	// The next process recovers the same messages from the journal alone.
	_, recovery = openGolden(t, stateFolder, goldenOptions())
	want := goldenMigrated()
	checkMessages(t, recovery.Messages, want)
	if migrated != len(want) || recovery.Migrated != 0 {
		t.Errorf("%d messages migrated, want %d; then %d, want 0", migrated, len(want), recovery.Migrated)
	}
}
