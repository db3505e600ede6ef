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
)

// countingFS counts what goes through a file system.
type countingFS struct {
	store.FS
	reads, read, writes, syncs int
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
	f.fs.read += len(b)
	return f.File.ReadAt(b, at)
}

func (f countingFile) WriteAt(b []byte, at int64) (int, error) {
	f.fs.writes++
	return f.File.WriteAt(b, at)
}

func (f countingFile) Sync() error { f.fs.syncs++; return f.File.Sync() }

// largest fills the journal of a relay until it takes no more, as a process that is killed leaves it, and returns what
// it holds: messages that were never sent, or one in two with an attempt out.
func largest(t testing.TB, cfg Config, body int, sent bool) (messages int, bytes int64) {
	t.Helper()
	j, _, err := journal.OpenFolder(
		cfg.StateDir,
		cfg.Operator.Journal.Options(int64(cfg.Limits.DiskMB*1e6)-besideJournal),
	)
	if err != nil {
		t.Fatal(err)
	}
	for {
		m := &journal.Message{
			ID: uint32(
				messages + 1,
			), TraceID: fmt.Sprintf("%016x", messages), IdempotencyKey: "k", ClassName: "order", Destination: 7, Body: make([]byte, body),
			Deadline: time.Now().Add(time.Hour), // of which a process grants what the class has
		}
		err := j.Accept(m)
		if err == nil {
			messages++
			if sent && messages%2 == 0 {
				err = j.RecordSends(
					journal.Send{Message: m, Attempt: journal.Attempt{Endpoint: "s-1", SentAt: time.Now()}},
				)
			}
		}
		if errors.Is(err, journal.ErrFull) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
	}
	bytes = j.Stats().CommittedBytes
	if err := j.Close(); err != nil {
		t.Fatal(err)
	}
	return messages, bytes
}

// What a restart does with the largest journal that its disk allows grows with what that holds and no faster, whatever
// may be held: so many reads and allocations a message, each byte read no more than three times, and few writes before
// clients are told that it is ready.
func TestARestartWithTheLargestJournal(t *testing.T) {
	for _, c := range []struct {
		name   string
		diskMB float64
		body   int
		sent   bool
		room   int
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
			cfg.StateDir, cfg.Limits.DiskMB, cfg.Settings.MaxPendingMessages = t.TempDir(), c.diskMB, c.room
			n, size := largest(t, cfg, c.body, c.sent)
			fs := &countingFS{}
			cfg.WrapJournalFS = func(under store.FS) store.FS { fs.FS = under; return fs }
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			r, err := New(cfg, quiet(), io.Discard)
			if err != nil {
				t.Fatal(err)
			}
			r.callCtx = t.Context()
			r.recoverState()
			runtime.ReadMemStats(&after)
			t.Cleanup(func() { r.egress.Close(); r.calls.Wait(); r.journal.Close() })
			did := map[string][2]int{ // and may do at most
				"messages lost":         {n - len(r.messages), 0},
				"reads":                 {fs.reads, 2*n + 100},
				"bytes read":            {fs.read, int(2e6 * c.diskMB)},
				"writes":                {fs.writes, 4},
				"syncs":                 {fs.syncs, 4},
				"allocations":           {int(after.Mallocs - before.Mallocs), 16*n + 2000},
				"bytes allocated in kB": {int(after.TotalAlloc-before.TotalAlloc) >> 10, 3*n + 28<<10},
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			did["bytes in use in kB"] = [2]int{(int(after.HeapAlloc) - int(before.HeapAlloc)) >> 10, n + 8<<10}
			for what, is := range did {
				if is[0] > is[1] {
					t.Errorf("%s: %d, at most %d", what, is[0], is[1])
				}
			}
			t.Logf("%d messages in %d kB: %v", n, size>>10, did)
			runtime.KeepAlive(r)
		})
	}
}
