package store_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/state/store/faultfs"
)

const limit = store.MinLimit

// model is what a store must hold: a plain map.
type model map[uint64][]string // value and deltas

func (m model) clone() model {
	c := model{}
	for k, v := range m {
		c[k] = slices.Clone(v)
	}
	return c
}

// differs tells how a store that was just opened differs from a model; empty if it does not.
func (m model) differs(s *store.Store, rec *store.Recovery) string {
	if len(rec.Keys) != len(m) {
		return fmt.Sprintf("%d values, want %d", len(rec.Keys), len(m))
	}
	for _, key := range rec.Keys {
		want, ok := m[key]
		if !ok {
			return fmt.Sprintf("value %d lives, and should not", key)
		}
		if got, err := s.Get(key, nil); err != nil || string(got) != want[0] {
			return fmt.Sprintf("value %d: %.40q, %v, want %.40q", key, got, err, want[0])
		}
		var got []string
		for _, d := range rec.Deltas(key) {
			got = append(got, string(d))
		}
		if !slices.Equal(got, want[1:]) {
			return fmt.Sprintf("deltas of %d: %q, want %q", key, got, want[1:])
		}
	}
	return ""
}

func open(t testing.TB, fs store.FS) (*store.Store, *store.Recovery) {
	t.Helper()
	s, rec, err := store.Open(fs, store.Options{Limit: limit})
	if err != nil {
		t.Fatal(err)
	}
	return s, rec
}

// driver does random work on a store and keeps the model in step. What a call that failed did is left open: maybe holds
// the models that a crash in it may leave.
type driver struct {
	rng   *rand.Rand
	s     *store.Store
	m     model
	keys  []uint64
	maybe []model
	full  int
}

func newDriver(s *store.Store, m model, seed uint64) *driver {
	d := &driver{rng: rand.New(rand.NewPCG(seed, 5)), s: s, m: m}
	for k := range m {
		d.keys = append(d.keys, k)
	}
	slices.Sort(d.keys)
	return d
}

// step commits one batch, and compacts a little. It returns the first error that is not a want of room.
func (d *driver) step(sizeMost int) error {
	b := d.s.Begin()
	next := d.m.clone()
	states := []model{d.m.clone()} // each prefix of a batch may stand after a crash
	for range 1 + d.rng.IntN(5) {
		switch n := d.rng.IntN(10); {
		case n < 5 || len(d.keys) == 0:
			value := strings.Repeat(fmt.Sprintf("%d.", d.rng.Uint64()), 1+d.rng.IntN(sizeMost/20+1))
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
			i := d.rng.IntN(min(len(d.keys), 40)) // mostly the old ones
			b.Delete(d.keys[i])
			delete(next, d.keys[i])
			d.keys = slices.Delete(d.keys, i, i+1)
		}
		states = append(states, next.clone())
	}
	d.maybe = states
	err := d.s.Commit(b)
	switch {
	case err == nil:
		d.m, d.maybe = next, nil
	case errors.Is(err, store.ErrFull) || errors.Is(err, store.ErrNoSpace):
		d.full++
		d.maybe = nil
		d.sync()
		b := d.s.Begin() // deletes find room
		for _, key := range d.keys[:min(3, len(d.keys))] {
			b.Delete(key)
		}
		if err := d.s.Commit(b); err != nil {
			return err
		}
		for _, key := range d.keys[:min(3, len(d.keys))] {
			delete(d.m, key)
		}
	default:
		return err
	}
	d.sync()
	if d.s.CompactionDue() {
		if _, err := d.s.Compact(8 << 10); err != nil && !errors.Is(err, store.ErrNoSpace) {
			return err
		}
	}
	return nil
}

// sync has the driver choose among what the model holds.
func (d *driver) sync() {
	d.keys = d.keys[:0]
	for k := range d.m {
		d.keys = append(d.keys, k)
	}
	slices.Sort(d.keys)
}

// What a store holds is what a plain map would hold, over many lives, compactions and a full disk, and its files keep
// within the limit.
func TestHoldsWhatAMapWouldHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fs, m := faultfs.New(), model{}
		seed := rapid.Uint64().Draw(rt, "seed")
		size := rapid.SampledFrom([]int{10, 300, 3000, 40000}).Draw(rt, "size")
		for life := range rapid.IntRange(1, 3).Draw(rt, "lives") {
			s, rec, err := store.Open(fs, store.Options{Limit: limit})
			if err != nil {
				rt.Fatal(err)
			}
			if diff := m.differs(s, rec); diff != "" || !rec.Intact() ||
				len(rec.Torn)+len(rec.Stale)+len(rec.Foreign) > 0 {
				rt.Fatalf("life %d: %s: %+v", life, diff, rec)
			}
			d := newDriver(s, m, seed+uint64(life))
			for range rapid.IntRange(0, 250).Draw(rt, "steps") {
				if err := d.step(size); err != nil {
					rt.Fatal(err)
				}
				if used := fs.Size(512); used > limit {
					rt.Fatalf("%d bytes on disk of %d", used, limit)
				}
			}
			m = d.m
			if err := s.Close(); err != nil {
				rt.Fatal(err)
			}
		}
	})
}

// A store whose process stops at any call of append, roll, compaction and removal holds what was committed, and of the
// commit at hand a part from its begin.
func TestStoppedAtEveryCall(t *testing.T) {
	for _, partial := range []int{0, 1, 100, 4000, 1 << 20} {
		stride := 1 // every call; with a part written every third
		if partial > 0 {
			stride = 3
		}
		for n := 1; ; n += stride {
			fs := faultfs.New()
			s, _ := open(t, fs)
			d := newDriver(s, model{}, uint64(partial))
			fs.StopAt(n, partial)
			var err error
			steps := 0
			for ; steps < 260 && err == nil; steps++ {
				err = d.step(3000)
			}
			if err == nil {
				if n < 200 {
					t.Fatalf("only %d calls: the test shows little", n)
				}
				break // the whole run
			}
			after, rec := open(t, fs.Reboot())
			ok := d.m.differs(after, rec)
			for _, m := range d.maybe {
				if ok != "" && m.differs(after, rec) == "" {
					ok = ""
				}
			}
			if ok != "" || !rec.Intact() {
				t.Fatalf("stopped at call %d with %d bytes written: %s: %+v", n, partial, ok, rec)
			}
			// And the next life goes on from there, through more compactions.
			m := model{}
			for _, key := range rec.Keys {
				value, err := after.Get(key, nil)
				if err != nil {
					t.Fatal(err)
				}
				m[key] = []string{string(value)}
				for _, x := range rec.Deltas(key) {
					m[key] = append(m[key], string(x))
				}
			}
			if n%5 == 0 {
				reboot := fs.Reboot()
				again, _ := open(t, reboot)
				d := newDriver(again, m, 1)
				for range 60 {
					if err := d.step(3000); err != nil {
						t.Fatal(err)
					}
				}
				last, rec := open(t, reboot.Reboot())
				if diff := d.m.differs(last, rec); diff != "" {
					t.Fatalf("a life after a stop at call %d: %s", n, diff)
				}
			}
		}
	}
}

// filled is a folder with a few segments, and what it holds.
func filled(t testing.TB, steps, size int) (*faultfs.FS, model) {
	t.Helper()
	fs := faultfs.New()
	s, _ := open(t, fs)
	d := newDriver(s, model{}, 3)
	for range steps {
		if err := d.step(size); err != nil {
			t.Fatal(err)
		}
	}
	return fs, d.m
}

// What can be read after damage is never wrong: every value and delta that is there is as it was, nothing that had
// ended lives, and if anything is missing it is told, with the values that it touches.
func neverWrong(t *testing.T, what string, fs *faultfs.FS, want model, cut bool) {
	t.Helper()
	s, rec, err := store.Open(fs, store.Options{Limit: limit})
	if err != nil {
		t.Fatalf("%s: %v", what, err)
	}
	lost := 0
	for _, key := range rec.Keys {
		m, ok := want[key]
		if !ok {
			if rec.Intact() && len(rec.Torn) == 0 && !cut {
				t.Fatalf("%s: value %d lives again, and nothing is told", what, key)
			}
			continue // its end was lost: told
		}
		got, err := s.Get(key, nil)
		if err != nil || string(got) != m[0] {
			t.Fatalf("%s: value %d: %.40q, %v", what, key, got, err)
		}
		var deltas []string
		for _, d := range rec.Deltas(key) {
			deltas = append(deltas, string(d))
		}
		if !slices.Equal(deltas, m[1:]) {
			if !rec.Uncertain(key) && len(rec.Torn) == 0 && !cut {
				t.Fatalf(
					"%s: value %d has deltas %q, want %q, and is not told as doubtful: %+v",
					what,
					key,
					deltas,
					m[1:],
					rec.Lost,
				)
			}
			lost++
		}
	}
	// cut between two records it is as if they had not come
	if len(rec.Keys) < len(want) && rec.Intact() && len(rec.Torn) == 0 && !cut {
		t.Fatalf("%s: %d values of %d, and nothing is told", what, len(rec.Keys), len(want))
	}
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
}

func TestCutAtEveryByte(t *testing.T) {
	fs, want := filled(t, 12, 300)
	for _, name := range fs.Files() {
		if !strings.HasSuffix(name, ".seg") {
			continue
		}
		data := fs.Data(name)
		for cut := range data {
			g := fs.Reboot()
			g.Put(name, bytes.Clone(data[:cut]))
			neverWrong(t, fmt.Sprintf("%s cut at %d of %d", name, cut, len(data)), g, want, true)
		}
		for _, zeros := range []int{1, 100, 5000} { // as file systems leave
			for cut := 0; cut <= len(data); cut += 7 {
				g := fs.Reboot()
				g.Put(name, append(bytes.Clone(data[:cut]), make([]byte, zeros)...))
				neverWrong(t, fmt.Sprintf("%s cut at %d, %d zeros behind", name, cut, zeros), g, want, true)
			}
		}
	}
}

func TestEveryByteFlipped(t *testing.T) {
	fs, want := filled(t, 12, 300)
	for _, name := range fs.Files() {
		data := fs.Data(name)
		for at := range data {
			bits := []byte{0xff}
			if at < store.HeaderSize {
				bits = []byte{1, 2, 4, 8, 16, 32, 64, 128}
			}
			for _, bit := range bits {
				g := fs.Reboot()
				bad := bytes.Clone(data)
				bad[at] ^= bit
				g.Put(name, bad)
				neverWrong(t, fmt.Sprintf("%s byte %d flipped by %#x", name, at, bit), g, want, false)
			}
		}
	}
}

// Damage in the middle hides nothing that stands behind it, and touches only what was there before it.
func TestDamageInTheMiddle(t *testing.T) {
	fs, want := filled(t, 600, 3000)
	var segs []string
	for _, name := range fs.Files() {
		if strings.HasSuffix(name, ".seg") {
			segs = append(segs, name)
		}
	}
	if len(segs) < 4 {
		t.Fatalf("%d segments only", len(segs))
	}
	rng := rand.New(rand.NewPCG(1, 1))
	for range 200 {
		g := fs.Reboot()
		name := segs[rng.IntN(len(segs)-1)]
		bad := bytes.Clone(g.Data(name))
		at := store.HeaderSize + rng.IntN(len(bad)-store.HeaderSize)
		bad[at] ^= 0x40
		g.Put(name, bad)
		s, rec := open(t, g)
		if len(rec.Damaged) > 1 || rec.Intact() && len(rec.Keys) != len(want) {
			t.Fatalf("%s byte %d: %+v", name, at, rec)
		}
		if span := int64(0); len(rec.Damaged) == 1 {
			span = rec.Damaged[0].To - rec.Damaged[0].From
			if span > 3*store.BlockSize+3100 || len(rec.Keys) < len(want)*9/10 {
				t.Fatalf(
					"%s byte %d: %d bytes lost, %d values of %d: %+v",
					name,
					at,
					span,
					len(rec.Keys),
					len(want),
					rec.Damaged,
				)
			}
		}
		s.Close()
		neverWrong(t, fmt.Sprintf("%s byte %d", name, at), g, want, false)
	}
	// one that is missing is told, also where another's copy stands in its place
	for _, name := range segs[:len(segs)-1] {
		g := fs.Reboot()
		g.Put(name, nil)
		if _, rec := open(t, g); len(rec.Missing) != 1 || rec.Intact() {
			t.Errorf("without %s: %+v", name, rec)
		}
		g = fs.Reboot()
		g.Put(name, bytes.Clone(g.Data(segs[len(segs)-1])))
		if _, rec := open(t, g); len(rec.Missing) != 1 || len(rec.Foreign) != 1 {
			t.Errorf("another's copy as %s: %+v", name, rec)
		}
		g = fs.Reboot()
		g.Put("copy of "+name, bytes.Clone(g.Data(name)))
		g.Put("00000000.tmp", []byte("stale"))
		if s, rec := open(t, g); len(rec.Foreign) != 2 || want.differs(s, rec) != "" {
			t.Errorf("a copy beside %s: %+v", name, rec)
		}
	}
}

// A value that holds whole segments, records and headers of this very store passes for none of them, also where the
// record that holds it is torn at any byte.
func TestValuesNeverPassForRecords(t *testing.T) {
	fs := faultfs.New()
	s, _ := open(t, fs)
	b := s.Begin()
	victim := b.Put([]byte("the one to be ended by another's body"))
	if err := s.Commit(b); err != nil {
		t.Fatal(err)
	}
	b = s.Begin()
	ended := b.Put([]byte("ended"))
	if err := s.Commit(b); err != nil {
		t.Fatal(err)
	}
	b = s.Begin()
	b.Delete(ended)
	if err := s.Commit(b); err != nil {
		t.Fatal(err)
	}
	name := fs.Files()[0]
	hidden := bytes.Clone(fs.Data(name))
	body := append(make([]byte, store.BlockSize-len(hidden)%store.BlockSize), hidden...)
	before := len(hidden)
	b = s.Begin()
	b.Put(bytes.Repeat(body, 3))
	if err := s.Commit(b); err != nil {
		t.Fatal(err)
	}
	data := fs.Data(name)
	for cut := before; cut < len(data); cut++ {
		g := fs.Reboot()
		g.Put(name, bytes.Clone(data[:cut]))
		if _, rec := open(t, g); !slices.Equal(rec.Keys, []uint64{victim}) {
			t.Fatalf("cut at %d: values %v", cut, rec.Keys)
		}
	}
}

// Errors of the file system at every call: nothing that was committed is lost, nothing is held that was not, and once
// they are over work goes on.
func TestErrorsAtEveryCall(t *testing.T) {
	for _, fault := range []error{syscall.EIO, syscall.ENOSPC} {
		for _, short := range []int{0, 50, 5000} {
			for n := 1; n < 300; n += 1 + n/15 {
				fs := faultfs.New()
				s, _ := open(t, fs)
				d := newDriver(s, model{}, 9)
				seen := 0
				fs.Fail(func(c faultfs.Call) error {
					if seen++; seen >= n && seen < n+3 {
						return fault
					}
					return nil
				}, func(faultfs.Call) int { return short })
				for range 200 {
					m := d.m.clone()
					if err := d.step(3000); err != nil {
						if !errors.Is(err, fault) {
							t.Fatalf("call %d: %v", n, err)
						}
						if d.maybe != nil {
							d.m = m // the batch is given up
						}
						d.sync()
					}
				}
				fs.Fail(nil, nil)
				for range 20 {
					if err := d.step(3000); err != nil {
						t.Fatalf("call %d: after the fault: %v", n, err)
					}
				}
				after, rec := open(t, fs.Reboot())
				if diff := d.m.differs(after, rec); diff != "" || !rec.Intact() {
					t.Fatalf("%v at call %d, %d bytes written: %s: %+v", fault, n, short, diff, rec)
				}
			}
		}
	}
}

// A disk that is full, at whatever size, also in mid-compaction: new values are refused, deletes find room in the end,
// and once there is room all goes on.
func TestAFullDisk(t *testing.T) {
	for room := int64(20 << 10); room < limit; room += 60 << 10 {
		fs := faultfs.New()
		s, _ := open(t, fs)
		d := newDriver(s, model{}, uint64(room))
		fs.SetCapacity(room)
		for range 200 {
			m := d.m.clone()
			if err := d.step(3000); err != nil {
				if !errors.Is(err, syscall.ENOSPC) {
					t.Fatal(err)
				}
				if d.maybe != nil {
					d.m = m
				}
				d.sync()
			}
		}
		fs.SetCapacity(0)
		for range 50 {
			if err := d.step(3000); err != nil {
				t.Fatalf("room again: %v", err)
			}
		}
		after, rec := open(t, fs.Reboot())
		if diff := d.m.differs(after, rec); diff != "" || !rec.Intact() {
			t.Fatalf("a disk of %d bytes: %s", room, diff)
		}
	}
}

// With nothing to compact new values are refused before there is no room for deltas and deletes.
func TestTheLimitWithNothingToCompact(t *testing.T) {
	fs := faultfs.New()
	s, _ := open(t, fs)
	var keys []uint64
	for {
		b := s.Begin()
		key := b.Put(bytes.Repeat([]byte{7}, 900))
		if err := s.Commit(b); errors.Is(err, store.ErrFull) {
			break
		} else if err != nil {
			t.Fatal(err)
		}
		keys = append(keys, key)
	}
	if st := s.Stats(); st.LiveBytes < limit/2 || st.AvailableForValues > 2000 || st.AvailableBytes < limit/8 {
		t.Errorf("%+v", st)
	}
	for range 2 {
		for _, key := range keys {
			b := s.Begin()
			b.Append(key, bytes.Repeat([]byte{1}, 40))
			if err := s.Commit(b); err != nil {
				t.Fatal(err)
			}
			if s.CompactionDue() {
				if _, err := s.Compact(4 << 10); err != nil {
					t.Fatal(err)
				}
			}
		}
	}
	for _, key := range keys {
		b := s.Begin()
		b.Delete(key)
		if err := s.Commit(b); err != nil {
			t.Fatal(err)
		}
	}
	if used := fs.Size(512); used > limit {
		t.Errorf("%d bytes of %d", used, limit)
	}
}

func TestTwoProcessesAndOtherFolders(t *testing.T) {
	dir := store.Dir(t.TempDir())
	s, _, err := store.Open(dir, store.Options{Limit: limit, Sync: store.SyncCommit})
	if err != nil {
		t.Fatal(err)
	}
	b := s.Begin()
	key := b.Put([]byte("value"))
	if err := s.Commit(b); err != nil {
		t.Fatal(err)
	}
	if _, _, err := store.Open(dir, store.Options{Limit: limit}); !errors.Is(err, store.ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	ro, rec, err := store.Open(dir, store.Options{Limit: limit, ReadOnly: true}) // beside the one that writes
	if err != nil || !slices.Equal(rec.Keys, []uint64{key}) {
		t.Fatalf("%v, %+v", err, rec)
	}
	b = ro.Begin()
	b.Delete(key)
	if err := ro.Commit(b); !errors.Is(err, store.ErrReadOnly) {
		t.Error(err)
	}
	if _, err := ro.Compact(1); !errors.Is(err, store.ErrReadOnly) {
		t.Error(err)
	}
	if err := errors.Join(ro.Close(), s.Close()); err != nil {
		t.Fatal(err)
	}
	// A newer format is refused and left as it is.
	fs, _ := filled(t, 20, 300)
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
		t.Error(err)
	}
	for _, name := range before.Files() {
		if !bytes.Equal(before.Data(name), fs.Data(name)) {
			t.Errorf("%s was changed", name)
		}
	}
	if _, _, err := store.Open(fs, store.Options{Limit: 1000}); err == nil {
		t.Error("a limit of 1000 bytes is taken")
	}
}

func TestBatches(t *testing.T) {
	s, _ := open(t, faultfs.New())
	b := s.Begin()
	b.Append(77, []byte("x"))
	if err := s.Commit(b); !errors.Is(err, store.ErrKeyNotFound) {
		t.Error(err)
	}
	b = s.Begin()
	b.Put(make([]byte, 1<<20))
	if err := s.Commit(b); !errors.Is(err, store.ErrTooLarge) {
		t.Error(err)
	}
	b = s.Begin()
	key := b.Put([]byte("a"))
	b.Append(key, []byte("in the same batch"))
	b.Delete(999)
	if err := s.Commit(b); err != nil {
		t.Error(err)
	}
	// A batch of more than a segment holds.
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
			t.Errorf("%d bytes, %v", len(got), err)
		}
	}
	if _, err := s.Get(12345, nil); !errors.Is(err, store.ErrKeyNotFound) {
		t.Error(err)
	}
}

// The sync policies sync when they say, also where the clock is set back.
func TestSyncPolicies(t *testing.T) {
	for _, c := range []struct {
		policy store.SyncPolicy
		times  []int // seconds of the commits
		want   int   // syncs of files at least
		most   int
	}{
		{store.SyncNever, []int{1, 2, 3, 4}, 0, 0},
		{store.SyncCommit, []int{1, 1, 1, 1}, 4, 5},
		{store.SyncInterval, []int{10, 10, 10, 10, 16, 16, 2, 2}, 3, 4},
	} {
		fs := faultfs.New()
		now := time.Unix(0, 0)
		s, _, err := store.Open(
			fs,
			store.Options{
				Limit:    limit,
				Sync:     c.policy,
				Interval: 5 * time.Second,
				Now:      func() time.Time { return now },
			},
		)
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
		for _, at := range c.times {
			now = time.Unix(int64(at), 0)
			b := s.Begin()
			b.Put([]byte("x"))
			if err := s.Commit(b); err != nil {
				t.Fatal(err)
			}
		}
		if syncs < c.want || syncs > c.most {
			t.Errorf("policy %d: %d syncs, want %d to %d", c.policy, syncs, c.want, c.most)
		}
	}
}

func FuzzOpen(f *testing.F) {
	fs, _ := filled(f, 12, 300)
	f.Add(fs.Data(fs.Files()[0]), 0, byte(1))
	f.Fuzz(func(t *testing.T, data []byte, at int, bit byte) {
		g := faultfs.New()
		if len(data) > 0 && at >= 0 {
			data = bytes.Clone(data)
			data[at%len(data)] ^= bit
		}
		g.Put("00000001.seg", data)
		s, rec, err := store.Open(g, store.Options{Limit: limit})
		if err != nil {
			return
		}
		for _, key := range rec.Keys {
			s.Get(key, nil)
		}
		d := newDriver(s, model{}, 1)
		for range 5 {
			d.step(100)
		}
	})
}
