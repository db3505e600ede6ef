package store_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
)

const segmentSuffix = ".seg"

// checkDamaged checks that a store never returns wrong data after damage. Every live value must be as it was put. A
// deleted value may be live again, and a value may be missing, only if damage or a torn write is reported. The
// deltas of a value may differ only if the value is reported as uncertain, or if a torn write is reported. With
// truncated, none of these reports is required, because a file that was cut between two records looks as if the
// later records had never been written.
func checkDamaged(t *testing.T, label string, fs *faultfs.FS, want model, truncated bool) {
	t.Helper()
	s, rec, err := store.Open(fs, store.Options{Limit: limit})
	if err != nil {
		t.Fatalf("%s: %v", label, err)
	}
	torn := len(rec.Torn) > 0 || truncated
	reported := torn || !rec.Intact()
	for _, key := range rec.Keys {
		entry, ok := want[key]
		if !ok {
			if !reported {
				t.Fatalf("%s: deleted value %d is live, and nothing is reported", label, key)
			}
			continue // its delete was lost, and damage is reported
		}
		if got, err := s.Get(key, nil); err != nil || string(got) != entry[0] {
			t.Fatalf("%s: value %d: %.40q, %v", label, key, got, err)
		}
		deltas := deltasOf(rec, key)
		if !slices.Equal(deltas, entry[1:]) && !torn && !rec.Uncertain(key) {
			t.Fatalf("%s: value %d has deltas %q, want %q, and is not reported as uncertain: %+v",
				label, key, deltas, entry[1:], rec.Lost)
		}
	}
	if len(rec.Keys) < len(want) && !reported {
		t.Fatalf("%s: %d values of %d, and nothing is reported", label, len(rec.Keys), len(want))
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

// segmentFiles returns the names of a folder's segments.
func segmentFiles(fs *faultfs.FS) []string {
	return slices.DeleteFunc(fs.Files(), func(name string) bool { return !strings.HasSuffix(name, segmentSuffix) })
}

func TestOpenTruncatedAtEveryByte(t *testing.T) {
	fs, want := filledFolder(t, 12, 300)
	for _, name := range segmentFiles(fs) {
		data := fs.Data(name)
		for cut := range data {
			folder := fs.Reboot()
			folder.Put(name, bytes.Clone(data[:cut]))
			checkDamaged(t, fmt.Sprintf("%s cut at %d of %d", name, cut, len(data)), folder, want, true)
		}
		for _, zeros := range []int{1, 100, 5000} { // file systems may leave zeros at the end of a file
			for cut := 0; cut <= len(data); cut += 7 {
				folder := fs.Reboot()
				folder.Put(name, append(bytes.Clone(data[:cut]), make([]byte, zeros)...))
				checkDamaged(t, fmt.Sprintf("%s cut at %d, then %d zeros", name, cut, zeros), folder, want, true)
			}
		}
	}
}

func TestOpenWithEveryByteFlipped(t *testing.T) {
	fs, want := filledFolder(t, 12, 300)
	for _, name := range fs.Files() {
		data := fs.Data(name)
		for at := range data {
			masks := []byte{0xff}
			if at < store.HeaderSize {
				masks = []byte{1, 2, 4, 8, 16, 32, 64, 128}
			}
			for _, mask := range masks {
				folder := fs.Reboot()
				damaged := bytes.Clone(data)
				damaged[at] ^= mask
				folder.Put(name, damaged)
				checkDamaged(t, fmt.Sprintf("%s byte %d flipped by %#x", name, at, mask), folder, want, false)
			}
		}
	}
}

// A flipped byte in the middle of a segment must not hide the records after it: only records near it are lost, and
// the loss is reported.
func TestDamageInTheMiddle(t *testing.T) {
	const maxSize = 3000
	fs, want := filledFolder(t, 600, maxSize)
	segments := segmentFiles(fs)
	if len(segments) < 4 {
		t.Fatalf("%d segments, want at least 4", len(segments))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		folder := fs.Reboot()
		name := segments[rng.IntN(len(segments)-1)]
		data := bytes.Clone(folder.Data(name))
		at := store.HeaderSize + rng.IntN(len(data)-store.HeaderSize)
		data[at] ^= 0x40
		folder.Put(name, data)
		label := fmt.Sprintf("%s byte %d", name, at)
		s, rec := openStore(t, folder)
		checkLossIsBounded(t, label, rec, len(want), 3*store.BlockSize+maxSize+100)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		checkDamaged(t, label, folder, want, false)
	}
}

// checkLossIsBounded checks that at most one range of at most maxBytes is damaged, and that at least nine tenths of
// the values remain.
func checkLossIsBounded(t *testing.T, label string, rec *store.Recovery, values int, maxBytes int64) {
	t.Helper()
	if len(rec.Damaged) > 1 || rec.Intact() && len(rec.Keys) != values {
		t.Fatalf("%s: %+v", label, rec)
	}
	if len(rec.Damaged) == 0 {
		return
	}
	lost := rec.Damaged[0].To - rec.Damaged[0].From
	if lost > maxBytes || len(rec.Keys) < values*9/10 {
		t.Fatalf("%s: %d bytes lost, %d values of %d: %+v", label, lost, len(rec.Keys), values, rec.Damaged)
	}
}

// A missing segment is reported, even if a copy of another segment has its name. Files that do not belong to the
// store are reported as foreign, and do not change what is read.
func TestMissingAndForeignFiles(t *testing.T) {
	fs, want := filledFolder(t, 600, 3000)
	segments := segmentFiles(fs)
	last := segments[len(segments)-1]
	for _, name := range segments[:len(segments)-1] {
		t.Run(name, func(t *testing.T) {
			folder := fs.Reboot()
			folder.Put(name, nil)
			if _, rec := openStore(t, folder); len(rec.Missing) != 1 || rec.Intact() {
				t.Errorf("segment removed: %+v", rec)
			}
			folder = fs.Reboot()
			folder.Put(name, bytes.Clone(folder.Data(last)))
			if _, rec := openStore(t, folder); len(rec.Missing) != 1 || len(rec.Foreign) != 1 {
				t.Errorf("segment replaced by a copy of another: %+v", rec)
			}
			folder = fs.Reboot()
			folder.Put("copy of "+name, bytes.Clone(folder.Data(name)))
			folder.Put("00000000.tmp", []byte("stale"))
			if s, rec := openStore(t, folder); len(rec.Foreign) != 2 || want.difference(s, rec) != "" {
				t.Errorf("with a copy under another name and a temporary file: %+v", rec)
			}
		})
	}
}

func FuzzOpen(f *testing.F) {
	fs, _ := filledFolder(f, 12, 300)
	f.Add(fs.Data(fs.Files()[0]), 0, byte(1))
	f.Fuzz(func(_ *testing.T, data []byte, at int, mask byte) {
		folder := faultfs.New()
		if len(data) > 0 && at >= 0 {
			data = bytes.Clone(data)
			data[at%len(data)] ^= mask
		}
		folder.Put("00000001"+segmentSuffix, data)
		s, rec, err := store.Open(folder, store.Options{Limit: limit})
		if err != nil {
			return
		}
		// With any bytes, reading and writing may fail but must not panic.
		for _, key := range rec.Keys {
			_, _ = s.Get(key, nil)
		}
		d := newDriver(s, model{}, 1)
		for range 5 {
			_ = d.step(100)
		}
	})
}
