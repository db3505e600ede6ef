package store_test

import (
	"bytes"
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
)

// A store must hold the same content as a plain map, across restarts, compactions and lack of space, and its files
// must stay within the limit.
func TestStoreMatchesModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fs := faultfs.New()
		m := model{}
		seed := rapid.Uint64().Draw(rt, "seed")
		size := rapid.SampledFrom([]int{10, 300, 3000, 40000}).Draw(rt, "size")
		for process := range rapid.IntRange(1, 3).Draw(rt, "processes") {
			s, rec, err := store.Open(fs, store.Options{Limit: limit})
			if err != nil {
				rt.Fatal(err)
			}
			if diff := m.difference(s, rec); diff != "" || !rec.Intact() ||
				len(rec.Torn)+len(rec.Stale)+len(rec.Foreign) > 0 {
				rt.Fatalf("process %d: %s: %+v", process, diff, rec)
			}
			d := newDriver(s, m, seed+uint64(process))
			for range rapid.IntRange(0, 250).Draw(rt, "steps") {
				if err := d.step(size); err != nil {
					rt.Fatal(err)
				}
				if used := fs.Size(512); used > limit {
					rt.Fatalf("%d bytes on disk, limit %d", used, limit)
				}
			}
			m = d.committed
			if err := s.Close(); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

func TestLockAndReadOnly(t *testing.T) {
	dir := store.Dir(t.TempDir())
	s, _, err := store.Open(dir, store.Options{Limit: limit, Sync: store.SyncCommit})
	if err != nil {
		t.Fatal(err)
	}
	key := mustPut(t, s, []byte("value"))
	if _, _, err := store.Open(dir, store.Options{Limit: limit}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	reader, rec, err := store.Open(dir, store.Options{Limit: limit, ReadOnly: true}) // while s is open for writing
	if err != nil || !slices.Equal(rec.Keys, []uint64{key}) {
		t.Fatalf("%v, %+v", err, rec)
	}
	b := reader.Begin()
	b.Delete(key)
	if err := reader.Commit(b); !errors.Is(err, store.ErrReadOnly) {
		t.Errorf("commit to a read-only store: %v", err)
	}
	if _, err := reader.Compact(1); !errors.Is(err, store.ErrReadOnly) {
		t.Errorf("compaction of a read-only store: %v", err)
	}
	if err := errors.Join(reader.Close(), s.Close()); err != nil {
		t.Fatal(err)
	}
}

// A folder with a newer format is rejected and left unchanged.
func TestNewerFormat(t *testing.T) {
	fs, _ := filledFolder(t, 20, 300)
	fs = fs.Reboot()
	name := fs.Files()[0]
	newer := fs.Data(name)
	h, err := store.ParseHeader(newer)
	if err != nil {
		t.Fatal(err)
	}
	h.Format = store.Format + 1
	copy(newer, h.Append(nil))
	before := fs.Reboot()
	if _, _, err := store.Open(fs, store.Options{Limit: limit}); !errors.Is(err, store.ErrNewerFormat) ||
		!strings.Contains(err.Error(), name) {
		t.Errorf("%s with a newer format: %v", name, err)
	}
	for _, name := range before.Files() {
		if !bytes.Equal(before.Data(name), fs.Data(name)) {
			t.Errorf("%s was changed", name)
		}
	}
}

func TestLimitTooSmall(t *testing.T) {
	fs, _ := filledFolder(t, 20, 300)
	if _, _, err := store.Open(fs.Reboot(), store.Options{Limit: 1000}); err == nil {
		t.Error("a limit of 1000 bytes is accepted")
	}
}

func TestBatches(t *testing.T) {
	s, _ := openStore(t, faultfs.New())
	b := s.Begin()
	b.Append(77, []byte("x"))
	if err := s.Commit(b); !errors.Is(err, store.ErrKeyNotFound) {
		t.Errorf("delta of a key that does not exist: %v", err)
	}
	b = s.Begin()
	b.Put(make([]byte, 1<<20))
	if err := s.Commit(b); !errors.Is(err, store.ErrTooLarge) {
		t.Errorf("value of 1 MiB: %v", err)
	}
	b = s.Begin()
	key := b.Put([]byte("a"))
	b.Append(key, []byte("in the same batch"))
	b.Delete(999)
	if err := s.Commit(b); err != nil {
		t.Error(err)
	}
	// This batch is larger than a segment.
	b = s.Begin()
	var keys []uint64
	for range 12 {
		keys = append(keys, b.Put(make([]byte, 30<<10)))
	}
	if err := s.Commit(b); err != nil {
		t.Error(err)
	}
	for _, key := range keys {
		if got, err := s.Get(key, nil); err != nil || len(got) != 30<<10 {
			t.Errorf("value %d: %d bytes, %v", key, len(got), err)
		}
	}
	if _, err := s.Get(12345, nil); !errors.Is(err, store.ErrKeyNotFound) {
		t.Errorf("value of a key that does not exist: %v", err)
	}
}

// Each policy syncs as often as documented, also if the clock is set back.
func TestSyncPolicies(t *testing.T) {
	for _, c := range []struct {
		policy             store.SyncPolicy
		commits            []int // time of each commit, in seconds
		minSyncs, maxSyncs int   // syncs of segment files
	}{
		{policy: store.SyncNever, commits: []int{1, 2, 3, 4}, minSyncs: 0, maxSyncs: 0},
		{policy: store.SyncCommit, commits: []int{1, 1, 1, 1}, minSyncs: 4, maxSyncs: 5},
		{policy: store.SyncInterval, commits: []int{10, 10, 10, 10, 16, 16, 2, 2}, minSyncs: 3, maxSyncs: 4},
	} {
		t.Run(c.policy.String(), func(t *testing.T) {
			fs := faultfs.New()
			now := time.Unix(0, 0)
			s, _, err := store.Open(fs, store.Options{
				Limit:    limit,
				Sync:     c.policy,
				Interval: 5 * time.Second,
				Now:      func() time.Time { return now },
			})
			if err != nil {
				t.Fatal(err)
			}
			syncs := 0
			fs.Fail(func(call faultfs.Call) error {
				if call.Op == "sync" {
					syncs++
				}
				return nil
			}, nil)
			for _, seconds := range c.commits {
				now = time.Unix(int64(seconds), 0)
				mustPut(t, s, []byte("x"))
			}
			if syncs < c.minSyncs || syncs > c.maxSyncs {
				t.Errorf("%d syncs, want %d to %d", syncs, c.minSyncs, c.maxSyncs)
			}
		})
	}
}

func TestSyncPolicyString(t *testing.T) {
	for policy, want := range map[store.SyncPolicy]string{
		store.SyncNever:    "never",
		store.SyncInterval: "interval",
		store.SyncCommit:   "commit",
		7:                  "SyncPolicy(7)",
	} {
		if got := policy.String(); got != want {
			t.Errorf("SyncPolicy %d: %q, want %q", int(policy), got, want)
		}
	}
}
