// Package stores sets the embedded store beside others on the relay's own work: a message of 1,000 bytes is put, gets one delta
// when it is sent, and is deleted, each in a commit of its own, with so many live. It is a module of its own, so that the relay does
// not depend on what it is compared with: go test -bench . in this folder.
package stores

import (
	"encoding/binary"
	"fmt"
	"io/fs"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/pebble/v2"
	"go.etcd.io/bbolt"

	"onyxroad.dev/onyxroad/internal/store"
)

const (
	bodySize  = 1000
	deltaSize = 30
)

// subject is one of the stores.
type subject interface {
	put(id uint64, value []byte) error
	delta(id uint64, delta []byte) error
	end(id uint64) error
	close() error
}

func key(id uint64) []byte { return binary.BigEndian.AppendUint64(nil, id) }

func deltaKey(id uint64) []byte { return append(key(id), 1) }

type own struct {
	s    *store.Store
	keys map[uint64]uint64
}

func (o *own) commit(b *store.Batch) error {
	if err := o.s.Commit(b); err != nil {
		return err
	}
	if o.s.Due() {
		_, err := o.s.Compact(8 << 10)
		return err
	}
	return nil
}

func (o *own) put(id uint64, value []byte) error {
	b := o.s.Begin()
	o.keys[id] = b.Put(value)
	return o.commit(b)
}

func (o *own) delta(id uint64, delta []byte) error {
	b := o.s.Begin()
	b.Append(o.keys[id], delta)
	return o.commit(b)
}

func (o *own) end(id uint64) error {
	b := o.s.Begin()
	b.Delete(o.keys[id])
	delete(o.keys, id)
	return o.commit(b)
}

func (o *own) close() error { return o.s.Close() }

type bolt struct{ db *bbolt.DB }

var bucket = []byte("messages")

func (o *bolt) update(change func(*bbolt.Bucket) error) error {
	return o.db.Update(func(tx *bbolt.Tx) error { return change(tx.Bucket(bucket)) })
}

func (o *bolt) put(id uint64, value []byte) error {
	return o.update(func(b *bbolt.Bucket) error { return b.Put(key(id), value) })
}

func (o *bolt) delta(id uint64, delta []byte) error {
	return o.update(func(b *bbolt.Bucket) error { return b.Put(deltaKey(id), delta) })
}

func (o *bolt) end(id uint64) error {
	return o.update(func(b *bbolt.Bucket) error {
		if err := b.Delete(deltaKey(id)); err != nil {
			return err
		}
		return b.Delete(key(id))
	})
}

func (o *bolt) close() error { return o.db.Close() }

type lsm struct{ db *pebble.DB }

func (o *lsm) put(id uint64, value []byte) error { return o.db.Set(key(id), value, pebble.NoSync) }

func (o *lsm) delta(id uint64, delta []byte) error {
	return o.db.Set(deltaKey(id), delta, pebble.NoSync)
}

func (o *lsm) end(id uint64) error {
	b := o.db.NewBatch()
	if err := b.Delete(deltaKey(id), nil); err != nil {
		return err
	}
	if err := b.Delete(key(id), nil); err != nil {
		return err
	}
	return b.Commit(pebble.NoSync)
}

func (o *lsm) close() error { return o.db.Close() }

func open(tb testing.TB, kind, dir string, live int) subject {
	switch kind {
	case "own":
		s, _, err := store.Open(store.Dir(dir), store.Options{Limit: max(store.LeastLimit, int64(live)*4300)})
		must(tb, err)
		return &own{s, map[uint64]uint64{}}
	case "bbolt":
		// Without its syncs, as the platform asks for none: what it may lose with the machine then is the same.
		db, err := bbolt.Open(filepath.Join(dir, "db"), 0o600, &bbolt.Options{NoSync: true, NoFreelistSync: true, FreelistType: bbolt.FreelistMapType})
		must(tb, err)
		must(tb, db.Update(func(tx *bbolt.Tx) error { _, err := tx.CreateBucketIfNotExists(bucket); return err }))
		return &bolt{db}
	}
	db, err := pebble.Open(dir, &pebble.Options{Logger: silent{}})
	must(tb, err)
	return &lsm{db}
}

type silent struct{}

func (silent) Infof(string, ...any)  {}
func (silent) Errorf(string, ...any) {}
func (silent) Fatalf(format string, args ...any) {
	panic(fmt.Sprintf(format, args...))
}

func must(tb testing.TB, err error) {
	tb.Helper()
	if err != nil {
		tb.Fatal(err)
	}
}

// BenchmarkMessage is a message's life: put, delta, end.
func BenchmarkMessage(b *testing.B) {
	value, delta := make([]byte, bodySize), make([]byte, deltaSize)
	for _, live := range []int{700, 15_000} {
		for _, kind := range []string{"own", "bbolt", "pebble"} {
			b.Run(fmt.Sprintf("%s/%d", kind, live), func(b *testing.B) {
				dir := b.TempDir()
				s := open(b, kind, dir, live)
				next := uint64(0)
				for range live {
					next++
					must(b, s.put(next, value))
				}
				var times []time.Duration
				b.ReportAllocs()
				for b.Loop() {
					next++
					began := time.Now()
					must(b, s.put(next, value))
					times = append(times, time.Since(began))
					must(b, s.delta(next, delta))
					must(b, s.end(next-uint64(live)))
				}
				b.StopTimer()
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "longest-ms")
				var disk int64
				must(b, filepath.WalkDir(dir, func(_ string, d fs.DirEntry, err error) error {
					if err == nil && d.Type().IsRegular() {
						if info, err := d.Info(); err == nil {
							disk += info.Size()
						}
					}
					return err
				}))
				b.ReportMetric(float64(disk)/1e6, "disk-MB")
				must(b, s.close())
			})
		}
	}
}
