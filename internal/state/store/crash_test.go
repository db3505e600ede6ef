package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"syscall"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
)

// A process may stop at any file system call of a commit, a segment roll, a compaction or a segment removal. The
// next process must find everything that was committed, and of the interrupted commit only its first operations.
func TestProcessStopsAtEveryCall(t *testing.T) {
	const (
		steps   = 260
		maxSize = 3000
	)
	for _, partial := range []int{0, 1, 100, 4000, 1 << 20} {
		stride := 1 // every call; every third if a write at that call is partly done
		if partial > 0 {
			stride = 3
		}
		for n := 1; ; n += stride {
			fs := faultfs.New()
			s, _ := openStore(t, fs)
			d := newDriver(s, model{}, uint64(partial))
			fs.StopAt(n, partial)
			var err error
			for i := 0; i < steps && err == nil; i++ {
				err = d.step(maxSize)
			}
			if err == nil { // the run ended before the n-th call
				if n < 200 {
					t.Fatalf("the run ended before call %d: want at least 200 calls", n)
				}
				break
			}
			checkAfterStop(t, fmt.Sprintf("stopped at call %d with %d bytes written", n, partial), fs, d, n%5 == 0)
		}
	}
}

// checkAfterStop checks what the next process finds in the folder of a stopped one. With continueWork, the next
// process also does more steps, including compactions, and checkAfterStop checks what they leave.
func checkAfterStop(t *testing.T, label string, fs *faultfs.FS, d *driver, continueWork bool) {
	t.Helper()
	s, rec := openStore(t, fs.Reboot())
	diff := d.committed.difference(s, rec)
	for _, m := range d.possible {
		if diff != "" && m.difference(s, rec) == "" {
			diff = ""
		}
	}
	if diff != "" || !rec.Intact() {
		t.Fatalf("%s: %s: %+v", label, diff, rec)
	}
	m := modelOf(t, s, rec)
	if !continueWork {
		return
	}
	folder := fs.Reboot()
	s, _ = openStore(t, folder)
	next := newDriver(s, m, 1)
	next.mustStep(t, 60, 3000)
	s, rec = openStore(t, folder.Reboot())
	if diff := next.committed.difference(s, rec); diff != "" {
		t.Fatalf("%s, after another process: %s", label, diff)
	}
}

// The file system returns errors at any call. Nothing that was committed may be lost, nothing from a failed commit
// may remain, and work must continue once the errors end.
func TestErrorsAtEveryCall(t *testing.T) {
	for _, fault := range []error{syscall.EIO, syscall.ENOSPC} {
		for _, partial := range []int{0, 50, 5000} {
			for n := 1; n < 300; n += 1 + n/15 {
				t.Run(fmt.Sprintf("%v/partial=%d/call=%d", fault, partial, n), func(t *testing.T) {
					checkErrorAtCall(t, fault, partial, n)
				})
			}
		}
	}
}

// checkErrorAtCall makes three successive calls fail, starting with the n-th. A failing write still writes up to
// partial bytes.
func checkErrorAtCall(t *testing.T, fault error, partial, n int) {
	t.Helper()
	fs := faultfs.New()
	s, _ := openStore(t, fs)
	d := newDriver(s, model{}, 9)
	calls := 0
	fs.Fail(func(faultfs.Call) error {
		calls++
		if calls >= n && calls < n+3 {
			return fault
		}
		return nil
	}, func(faultfs.Call) int { return partial })
	for range 200 {
		d.stepWithFault(t, 3000, fault)
	}
	fs.Fail(nil, nil)
	for range 20 {
		if err := d.step(3000); err != nil {
			t.Fatalf("after the fault: %v", err)
		}
	}
	s, rec := openStore(t, fs.Reboot())
	if diff := d.committed.difference(s, rec); diff != "" || !rec.Intact() {
		t.Fatalf("%s: %+v", diff, rec)
	}
}

// The disk becomes full at various sizes, also during a compaction. Writes may fail, but nothing that was committed
// may be lost, and work must continue once there is space again.
func TestFullDisk(t *testing.T) {
	for capacity := int64(20 << 10); capacity < limit; capacity += 60 << 10 {
		fs := faultfs.New()
		s, _ := openStore(t, fs)
		d := newDriver(s, model{}, uint64(capacity))
		fs.SetCapacity(capacity)
		for range 200 {
			d.stepWithFault(t, 3000, syscall.ENOSPC)
		}
		fs.SetCapacity(0)
		for range 50 {
			if err := d.step(3000); err != nil {
				t.Fatalf("a disk of %d bytes, after the limit was lifted: %v", capacity, err)
			}
		}
		s, rec := openStore(t, fs.Reboot())
		if diff := d.committed.difference(s, rec); diff != "" || !rec.Intact() {
			t.Fatalf("a disk of %d bytes: %s", capacity, diff)
		}
	}
}

// When there is nothing to compact, new values are rejected while there is still space for deltas and deletes.
func TestFullWithoutGarbage(t *testing.T) {
	fs := faultfs.New()
	s, _ := openStore(t, fs)
	keys := putUntilFull(t, s)
	if st := s.Stats(); st.LiveBytes < limit/2 || st.AvailableForValues > 2000 || st.AvailableBytes < limit/8 {
		t.Errorf("stats of a full store: %+v", st)
	}
	for range 2 {
		for _, key := range keys {
			mustCommit(t, s, func(b *store.Batch) { b.Append(key, bytes.Repeat([]byte{1}, 40)) })
			if s.CompactionDue() {
				if _, err := s.Compact(4 << 10); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	for _, key := range keys {
		mustDelete(t, s, key)
	}
	if used := fs.Size(512); used > limit {
		t.Errorf("%d bytes on disk, limit %d", used, limit)
	}
}

// putUntilFull puts values of 900 bytes until the store rejects one, and returns their keys.
func putUntilFull(t *testing.T, s *store.Store) (keys []uint64) {
	t.Helper()
	for {
		b := s.Begin()
		key := b.Put(bytes.Repeat([]byte{7}, 900))
		err := s.Commit(b)
		if errors.Is(err, store.ErrFull) {
			return keys
		}
		if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, key)
	}
}

// A value that contains whole segments, records and headers of the same store must not be read as any of them, even
// if the record of the value is cut at any byte.
func TestValuesAreNeverReadAsRecords(t *testing.T) {
	fs := faultfs.New()
	s, _ := openStore(t, fs)
	live := mustPut(t, s, []byte("the one to be deleted by another's body"))
	deleted := mustPut(t, s, []byte("deleted"))
	mustDelete(t, s, deleted)
	name := fs.Files()[0]
	hidden := bytes.Clone(fs.Data(name))
	body := append(make([]byte, store.BlockSize-len(hidden)%store.BlockSize), hidden...)
	before := len(hidden)
	mustPut(t, s, bytes.Repeat(body, 3))
	data := fs.Data(name)
	for cut := before; cut < len(data); cut++ {
		folder := fs.Reboot()
		folder.Put(name, bytes.Clone(data[:cut]))
		if _, rec := openStore(t, folder); !slices.Equal(rec.Keys, []uint64{live}) {
			t.Fatalf("cut at %d: values %v", cut, rec.Keys)
		}
	}
}
