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

// checkDamaged checks that what is read after damage is never wrong: every value and delta that is there is as it was,
// nothing deleted is live, and anything that is missing is reported, with the values that it concerns. A file that was
// cut between two records is as if the later ones had never been written: with truncated nothing need be reported.
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
			continue // its delete was lost
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
		for _, zeros := range []int{1, 100, 5000} { // as file systems leave
			for cut := 0; cut <= len(data); cut += 7 {
				folder := fs.Reboot()
				folder.Put(name, append(bytes.Clone(data[:cut]), make([]byte, zeros)...))
				checkDamaged(t, fmt.Sprintf("%s cut at %d, %d zeros behind", name, cut, zeros), folder, want, true)
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

// Damage in the middle hides nothing that stands behind it, and concerns only what was there before it.
func TestDamageInTheMiddle(t *testing.T) {
	const maxSize = 3000
	fs, want := filledFolder(t, 600, maxSize)
	segments := segmentFiles(fs)
	if len(segments) < 4 {
		t.Fatalf("%d segments only", len(segments))
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
		checkLittleIsLost(t, label, rec, len(want), 3*store.BlockSize+maxSize+100)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
		checkDamaged(t, label, folder, want, false)
	}
}

// checkLittleIsLost checks that at most one range of at most maxBytes is damaged, and nine tenths of the values remain.
func checkLittleIsLost(t *testing.T, label string, rec *store.Recovery, values int, maxBytes int64) {
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

// A segment that is missing is reported, also where a copy of another has its name; files of others are left alone.
func TestMissingAndForeignFiles(t *testing.T) {
	fs, want := filledFolder(t, 600, 3000)
	segments := segmentFiles(fs)
	last := segments[len(segments)-1]
	for _, name := range segments[:len(segments)-1] {
		t.Run(name, func(t *testing.T) {
			folder := fs.Reboot()
			folder.Put(name, nil)
			if _, rec := openStore(t, folder); len(rec.Missing) != 1 || rec.Intact() {
				t.Errorf("without it: %+v", rec)
			}
			folder = fs.Reboot()
			folder.Put(name, bytes.Clone(folder.Data(last)))
			if _, rec := openStore(t, folder); len(rec.Missing) != 1 || len(rec.Foreign) != 1 {
				t.Errorf("a copy of another in its place: %+v", rec)
			}
			folder = fs.Reboot()
			folder.Put("copy of "+name, bytes.Clone(folder.Data(name)))
			folder.Put("00000000.tmp", []byte("stale"))
			if s, rec := openStore(t, folder); len(rec.Foreign) != 2 || want.difference(s, rec) != "" {
				t.Errorf("a copy beside it: %+v", rec)
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
		// Whatever the bytes are, reading and writing may fail, and must not panic.
		for _, key := range rec.Keys {
			_, _ = s.Get(key, nil)
		}
		d := newDriver(s, model{}, 1)
		for range 5 {
			_ = d.step(100)
		}
	})
}
