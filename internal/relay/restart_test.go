package relay

import (
	"errors"
	"fmt"
	"io"
	"runtime"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/policy"
)

// countingFS counts the reads, writes and syncs of a file system, and the bytes that are read.
type countingFS struct {
	store.FS
	reads, bytesRead, writes, syncs int
}

type countingFile struct {
	store.File
	fs *countingFS
}

func (c *countingFS) Open(name string, create bool) (store.File, error) {
	f, err := c.FS.Open(name, create)
	return countingFile{f, c}, err
}

func (f countingFile) ReadAt(b []byte, at int64) (int, error) {
	f.fs.reads++
	f.fs.bytesRead += len(b)
	return f.File.ReadAt(b, at)
}

func (f countingFile) WriteAt(b []byte, at int64) (int, error) {
	f.fs.writes++
	return f.File.WriteAt(b, at)
}

func (f countingFile) Sync() error {
	f.fs.syncs++
	return f.File.Sync()
}

// fillJournal fills the journal of a relay until it accepts no more messages, as a killed process would leave it.
// If sent is set, every second message has an attempt in flight, and otherwise none was ever sent. It returns the
// number of messages and the size of the journal.
func fillJournal(t testing.TB, cfg Config, bodySize int, sent bool) (messages int, bytes int64) {
	t.Helper()
	options := cfg.Operator.Journal.Options(int64(cfg.Limits.DiskMB*1e6) - reservedDiskBytes)
	j, _, err := journal.OpenFolder(cfg.StateDir, options)
	if err != nil {
		t.Fatal(err)
	}
	for {
		m := &journal.Message{
			ID:             policy.MessageID(messages + 1),
			TraceID:        fmt.Sprintf("%016x", messages),
			IdempotencyKey: "k",
			ClassName:      "order",
			Terms:          firstTerms(&cfg),
			Destination:    7,
			Body:           make([]byte, bodySize),
			Deadline:       time.Now().Add(time.Hour), // the relay reduces it to the deadline of the class
		}
		err := j.Accept(m)
		if err == nil {
			messages++
			if sent && messages%2 == 0 {
				attempt := journal.Attempt{Endpoint: "s-1", ZoneName: "a", SentAt: time.Now()}
				err = j.RecordSends(journal.Send{Message: m, Attempt: attempt})
			}
		}
		if errors.Is(err, journal.ErrFull) {
			break
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	bytes = j.Stats().CommittedBytes
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return messages, bytes
}

// The work of a restart with the largest journal that the disk limit allows grows in proportion to the content of the
// journal, whatever the limit of pending messages. There is a bound on the reads and allocations for each message, the
// bytes read are at most twice the disk limit, and there are few writes before clients can see that the relay is
// ready.
func TestRestartWithLargestJournal(t *testing.T) {
	for _, c := range []struct {
		name       string
		diskMB     float64
		bodySize   int
		sent       bool
		maxPending int
	}{
		{"small messages", 3, 0, false, 1 << 20},
		{"small messages, room for few", 3, 0, false, 50},
		{"small messages, one in two sent", 3, 0, true, 1 << 20},
		{"large messages", 3, 60 << 10, false, 1 << 20},
		{"four times the disk", 12, 0, false, 1 << 20},
		{"four times the disk, room for half", 12, 0, true, 40_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			cfg := newTestRelay(t).cfg
			cfg.StateDir = t.TempDir()
			cfg.Limits.DiskMB = c.diskMB
			cfg.Settings.MaxPendingMessages = c.maxPending
			n, size := fillJournal(t, cfg, c.bodySize, c.sent)
			fs := &countingFS{}
			cfg.WrapJournalFS = func(under store.FS) store.FS {
				fs.FS = under
				return fs
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r, err := New(cfg, discardLog(), io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			r.callCtx = t.Context()
			r.recoverState()
			runtime.ReadMemStats(&after)
			t.Cleanup(func() {
				r.egress.Close()
				r.calls.Wait()
				_ = r.journal.Close()
			})
			measured := map[string][2]int{ // each with its upper bound
				"messages lost":         {n - len(r.messages), 0},
				"reads":                 {fs.reads, 2*n + 100},
				"bytes read":            {fs.bytesRead, int(2e6 * c.diskMB)},
				"writes":                {fs.writes, 4},
				"syncs":                 {fs.syncs, 4},
				"allocations":           {int(after.Mallocs - before.Mallocs), 16*n + 2000},
				"bytes allocated in kB": {int(after.TotalAlloc-before.TotalAlloc) >> 10, 3*n + 28<<10},
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			measured["bytes in use in kB"] = [2]int{(int(after.HeapAlloc) - int(before.HeapAlloc)) >> 10, n + 8<<10}
			for what, x := range measured {
				if x[0] > x[1] {
					t.Errorf("%s: %d, want at most %d", what, x[0], x[1])
				}
			}
			t.Logf("%d messages in %d kB: %v", n, size>>10, measured)
			runtime.KeepAlive(r)
		})
	}
}
