package store_test

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
)

// limit is the Options.Limit of the stores under test.
const limit = store.MinLimit

// model is the expected content of a store. It maps each key to its value, followed by the value's deltas.
type model map[uint64][]string

func (m model) clone() model {
	c := model{}
	for key, entry := range m {
		c[key] = slices.Clone(entry)
	}
	return c
}

// difference describes how a store that was just opened differs from the model. It is empty if they are equal.
func (m model) difference(s *store.Store, rec *store.Recovery) string {
	if len(rec.Keys) != len(m) {
		return fmt.Sprintf("%d values, want %d", len(rec.Keys), len(m))
	}
	for _, key := range rec.Keys {
		want, ok := m[key]
		if !ok {
			return fmt.Sprintf("value %d is live, and should not be", key)
		}
		if got, err := s.Get(key, nil); err != nil || string(got) != want[0] {
			return fmt.Sprintf("value %d: %.40q, %v, want %.40q", key, got, err, want[0])
		}
		if got := deltasOf(rec, key); !slices.Equal(got, want[1:]) {
			return fmt.Sprintf("deltas of %d: %q, want %q", key, got, want[1:])
		}
	}
	return ""
}

// modelOf returns the content of a store that was just opened.
func modelOf(t testing.TB, s *store.Store, rec *store.Recovery) model {
	t.Helper()
	m := model{}
	for _, key := range rec.Keys {
		value, err := s.Get(key, nil)
		if err != nil {
			t.Fatal(err)
		}
		m[key] = append([]string{string(value)}, deltasOf(rec, key)...)
	}
	return m
}

func deltasOf(rec *store.Recovery, key uint64) []string {
	var deltas []string
	for _, delta := range rec.Deltas(key) {
		deltas = append(deltas, string(delta))
	}
	return deltas
}

func openStore(t testing.TB, fs store.FS) (*store.Store, *store.Recovery) {
	t.Helper()
	s, rec, err := store.Open(fs, store.Options{Limit: limit})
	if err != nil {
		t.Fatal(err)
	}
	return s, rec
}

// mustCommit commits a batch to which fill adds operations.
func mustCommit(t testing.TB, s *store.Store, fill func(b *store.Batch)) {
	t.Helper()
	b := s.Begin()
	fill(b)
	if err := s.Commit(b); err != nil {
		t.Fatal(err)
	}
}

// mustPut commits a value and returns its key.
func mustPut(t testing.TB, s *store.Store, value []byte) (key uint64) {
	t.Helper()
	mustCommit(t, s, func(b *store.Batch) { key = b.Put(value) })
	return key
}

// mustDelete commits the deletion of a value.
func mustDelete(t testing.TB, s *store.Store, key uint64) {
	t.Helper()
	mustCommit(t, s, func(b *store.Batch) { b.Delete(key) })
}

// driver applies random operations to a store, and the same operations to a model.
type driver struct {
	rng       *rand.Rand
	store     *store.Store
	committed model
	keys      []uint64 // keys of committed, sorted
	// possible are the contents that a crash during a failed commit may leave. It is nil if no commit failed.
	possible []model
}

func newDriver(s *store.Store, m model, seed uint64) *driver {
	d := &driver{rng: rand.New(rand.NewPCG(seed, 5)), store: s, committed: m}
	d.refreshKeys()
	return d
}

// step commits one batch, and does one step of compaction if it is due. If there is no space for the batch, step
// deletes the oldest values. It returns the first error, except a lack of space for the batch or for compaction.
func (d *driver) step(maxSize int) error {
	b := d.store.Begin()
	next := d.fill(b, maxSize)
	err := d.store.Commit(b)
	switch {
	case err == nil:
		d.committed = next
		d.possible = nil
	case errors.Is(err, store.ErrFull) || errors.Is(err, store.ErrNoSpace):
		d.possible = nil
		d.refreshKeys()
		if err := d.deleteOldest(3); err != nil {
			return err
		}
	default:
		return err
	}
	d.refreshKeys()
	if d.store.CompactionDue() {
		if _, err := d.store.Compact(8 << 10); err != nil && !errors.Is(err, store.ErrNoSpace) {
			return err
		}
	}
	return nil
}

// fill adds random operations to a batch and returns the model after them. It sets d.possible to the model after
// each prefix of the operations, because a crash may leave any prefix.
func (d *driver) fill(b *store.Batch, maxSize int) model {
	next := d.committed.clone()
	possible := []model{next.clone()}
	for range 1 + d.rng.IntN(5) {
		switch n := d.rng.IntN(10); {
		case n < 5 || len(d.keys) == 0:
			value := strings.Repeat(fmt.Sprintf("%d.", d.rng.Uint64()), 1+d.rng.IntN(maxSize/20+1))
			key := b.Put([]byte(value[:len(value)/2]), []byte(value[len(value)/2:]))
			next[key] = []string{value}
			d.keys = append(d.keys, key)
		case n < 7:
			if key := d.keys[d.rng.IntN(len(d.keys))]; next[key] != nil {
				delta := fmt.Sprint("delta-", d.rng.Uint64())
				b.Append(key, []byte(delta))
				next[key] = append(slices.Clone(next[key]), delta)
			}
		default:
			i := d.rng.IntN(min(len(d.keys), 40)) // one of the 40 oldest
			b.Delete(d.keys[i])
			delete(next, d.keys[i])
			d.keys = slices.Delete(d.keys, i, i+1)
		}
		possible = append(possible, next.clone())
	}
	d.possible = possible
	return next
}

// deleteOldest deletes up to n of the oldest values. A full store must have space for these deletes.
func (d *driver) deleteOldest(n int) error {
	keys := d.keys[:min(n, len(d.keys))]
	b := d.store.Begin()
	for _, key := range keys {
		b.Delete(key)
	}
	if err := d.store.Commit(b); err != nil {
		return err
	}
	for _, key := range keys {
		delete(d.committed, key)
	}
	return nil
}

// stepWithFault does a step in which file system calls may fail with the error fault. A batch that fails is not
// retried.
func (d *driver) stepWithFault(t *testing.T, maxSize int, fault error) {
	t.Helper()
	before := d.committed.clone()
	err := d.step(maxSize)
	if err == nil {
		return
	}
	if !errors.Is(err, fault) {
		t.Fatal(err)
	}
	if d.possible != nil {
		d.committed = before
	}
	d.refreshKeys()
}

// mustStep does n steps, none of which may fail.
func (d *driver) mustStep(t testing.TB, n, maxSize int) {
	t.Helper()
	for range n {
		if err := d.step(maxSize); err != nil {
			t.Fatal(err)
		}
	}
}

// refreshKeys sets d.keys to the keys of d.committed.
func (d *driver) refreshKeys() {
	d.keys = slices.AppendSeq(d.keys[:0], maps.Keys(d.committed))
	slices.Sort(d.keys)
}

// filledFolder returns a folder after a driver has done the given number of steps, and the folder's expected
// content.
func filledFolder(t testing.TB, steps, maxSize int) (*faultfs.FS, model) {
	t.Helper()
	fs := faultfs.New()
	s, _ := openStore(t, fs)
	d := newDriver(s, model{}, 3)
	d.mustStep(t, steps, maxSize)
	return fs, d.committed
}
