package journal

import (
	"errors"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/legacylog"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// The benchmarks run the log of the form before and the journal side by side, on files: go test -run '^$' -bench . and
// with -large at 512 MB, too.
var large = flag.Bool("large", false, "benchmarks at 512 MB and a million records")

const benchBodySize = 1000

func limits() map[string]int64 {
	all := map[string]int64{"3MB": 3e6, "64MB": 64e6}
	if *large {
		all["512MB"] = 512e6
	}
	return all
}

// writer is either of the two.
type writer interface {
	accept(id uint32) error
	end(id uint32) error
	close() error
}

type legacyWriter struct {
	l  *legacylog.Log
	ms map[uint32]*legacylog.Message
}

func (s *legacyWriter) accept(id uint32) error {
	m := &legacylog.Message{
		ID:             id,
		TraceID:        "9b1f03aa5c7e2d41",
		IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		Deadline:       time.Unix(1e9, 0),
		Body:           make([]byte, benchBodySize),
	}
	s.ms[id] = m
	return s.l.Accept(m)
}

func (s *legacyWriter) end(id uint32) error {
	s.l.Remove(s.ms[id])
	delete(s.ms, id)
	return s.l.Flush()
}

func (s *legacyWriter) close() error { return s.l.Close() }

type journalWriter struct {
	j  *Journal
	ms map[uint32]*Message
}

func (s *journalWriter) accept(id uint32) error {
	m := &Message{
		ID:             id,
		TraceID:        "9b1f03aa5c7e2d41",
		IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
		Deadline:       time.Unix(1e9, 0),
		Body:           make([]byte, benchBodySize),
	}
	s.ms[id] = m
	return s.j.Accept(m)
}

func (s *journalWriter) end(id uint32) error {
	s.j.Remove(s.ms[id])
	delete(s.ms, id)
	return s.j.Flush()
}

func (s *journalWriter) close() error { return s.j.Close() }

func openWriter(b testing.TB, kind, dir string, limit int64) writer {
	b.Helper()
	if kind == "log" {
		l, found, err := legacylog.Open(dir, limit)
		must(b, err)
		s := &legacyWriter{l, map[uint32]*legacylog.Message{}}
		for _, m := range found.Messages {
			s.ms[m.ID] = m
		}
		return s
	}
	j, rec, err := OpenFolder(dir, Options{Limit: limit})
	must(b, err)
	s := &journalWriter{j, map[uint32]*Message{}}
	for _, m := range rec.Messages {
		s.ms[m.ID] = m
	}
	return s
}

// BenchmarkAcceptAndRemove takes a message on and ends the oldest, with 30 % of the limit live, and tells the longest
// accept: the one in which the old log writes itself anew.
func BenchmarkAcceptAndRemove(b *testing.B) {
	for _, name := range []string{"3MB", "64MB", "512MB"} {
		limit, ok := limits()[name]
		if !ok {
			continue
		}
		for _, kind := range []string{"log", "journal"} {
			b.Run(kind+"/"+name, func(b *testing.B) {
				dir := b.TempDir()
				s := openWriter(b, kind, dir, limit)
				live := uint32(float64(limit) * 0.3 / 1300)
				next := uint32(0)
				for next < live {
					next++
					must(b, s.accept(next))
				}
				var times []time.Duration
				b.ReportAllocs()
				for b.Loop() {
					next++
					began := time.Now()
					err := s.accept(next)
					times = append(times, time.Since(began))
					must(b, err)
					must(b, s.end(next-live))
				}
				b.StopTimer()
				slices.Sort(times)
				b.ReportMetric(float64(times[len(times)-1].Microseconds())/1000, "longest-ms")
				b.ReportMetric(float64(times[len(times)*999/1000].Microseconds()), "p99.9-us")
				b.ReportMetric(float64(live), "live")
				if s, ok := s.(*journalWriter); ok {
					st := s.j.Stats()
					b.ReportMetric(float64(st.CommittedBytes+st.CompactedBytes)/float64(st.CommittedBytes), "write-amp")
					b.ReportMetric(float64(st.DiskBytes)/float64(st.LiveBytes), "disk/live")
				}
				must(b, s.close())
				began := time.Now()
				s = openWriter(b, kind, dir, limit)
				b.ReportMetric(float64(time.Since(began).Microseconds())/1000, "open-ms")
				must(b, s.close())
			})
		}
	}
}

// BenchmarkOpen recovers stores of so many live records.
func BenchmarkOpen(b *testing.B) {
	counts := []int{1000, 100_000}
	if *large {
		counts = append(counts, 1_000_000)
	}
	for _, n := range counts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			s, _, err := store.Open(store.Dir(dir), store.Options{Limit: max(store.MinLimit, int64(n)*3000)})
			must(b, err)
			value := make([]byte, benchBodySize)
			for i := 0; i < n; i += 100 {
				batch := s.Begin()
				for range 100 {
					batch.Put(value)
				}
				must(b, s.Commit(batch))
			}
			must(b, s.Close())
			var bytes int64
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for b.Loop() {
				s, rec, err := store.Open(store.Dir(dir), store.Options{Limit: max(store.MinLimit, int64(n)*3000)})
				must(b, err)
				if len(rec.Keys) != n {
					b.Fatal(len(rec.Keys))
				}
				bytes += rec.Bytes()
				b.StopTimer()
				rec = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(s)
				must(b, s.Close())
				b.StartTimer()
			}
			b.ReportMetric(float64(bytes)/1e6/b.Elapsed().Seconds(), "MB/s")
			b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(n), "B/live")
		})
	}
}

// BenchmarkCommit is the store alone: a put, a delta and a delete in a commit.
func BenchmarkCommit(b *testing.B) {
	s, _, err := store.Open(store.Dir(b.TempDir()), store.Options{Limit: 64e6})
	must(b, err)
	value, delta := make([]byte, benchBodySize), make([]byte, 30)
	var keys []uint64
	b.ReportAllocs()
	for b.Loop() {
		batch := s.Begin()
		keys = append(keys, batch.Put(value))
		batch.Append(keys[len(keys)-1], delta)
		if len(keys) > 1000 {
			batch.Delete(keys[0])
			keys = append(keys[:0], keys[1:]...)
		}
		must(b, s.Commit(batch))
		if s.CompactionDue() {
			_, err := s.Compact(8 << 10)
			must(b, err)
		}
	}
	must(b, s.Close())
}

// BenchmarkDiskPerMessage tells how many bytes a message takes on disk.
func BenchmarkDiskPerMessage(b *testing.B) {
	for _, kind := range []string{"log", "journal"} {
		b.Run(kind, func(b *testing.B) {
			for b.Loop() {
				dir := b.TempDir()
				s := openWriter(b, kind, dir, 64e6)
				for id := range uint32(1000) {
					must(b, s.accept(id+1))
				}
				must(b, s.close())
				var sum int64
				must(b, filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
					if err == nil && info.Mode().IsRegular() {
						sum += info.Size()
					}
					return err
				}))
				b.ReportMetric(float64(sum)/1000-benchBodySize, "B/message-beside-body")
			}
		})
	}
}

// BenchmarkMemoryPerMessage tells what a live message takes in memory with its body left on disk, all that the journal holds of it.
func BenchmarkMemoryPerMessage(b *testing.B) {
	for _, n := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			dir := b.TempDir()
			s := openWriter(b, "journal", dir, max(store.MinLimit, int64(n)*3000))
			for id := range uint32(n) {
				must(b, s.accept(id+1))
			}
			must(b, s.close())
			for b.Loop() {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				j, rec, err := OpenFolder(dir, Options{Limit: max(store.MinLimit, int64(n)*3000), MaxBodyBytes: 1})
				must(b, err)
				if len(rec.Messages) != n {
					b.Fatal(len(rec.Messages))
				}
				rec = nil
				runtime.GC()
				runtime.ReadMemStats(&after)
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/float64(n), "B/live")
				must(b, j.Close())
			}
		})
	}
}

// BenchmarkPeakHour plays an hour of messages, in virtual time: arrivals swell from 40 to 360 a second and back,
// nine of ten messages end within 0.6 s and the others within 12 s, a fifth has a second attempt; the limit is the
// platform's. What it tells is what the hour costs, and that none of it was refused.
func BenchmarkPeakHour(b *testing.B) {
	if !*large {
		b.Skip("with -large")
	}
	for _, limit := range []int64{3e6, 64e6} {
		b.Run(fmt.Sprint(limit/1e6, "MB"), func(b *testing.B) {
			for b.Loop() {
				rng := rand.New(rand.NewPCG(1, 7))
				j, _, err := OpenFolder(b.TempDir(), Options{Limit: limit})
				must(b, err)
				const tick, hour = 5 * time.Millisecond, time.Hour
				ends := make([][]*Message, int(12*time.Second/tick)+1)
				id, refused, live, most, longest := uint32(0), 0, 0, 0, time.Duration(0)
				for at := time.Duration(0); at < hour; at += tick {
					now := int(at/tick) % len(ends)
					began := time.Now()
					for _, m := range ends[now] {
						j.Remove(m)
						live--
					}
					ends[now] = ends[now][:0]
					swell := math.Sin(math.Pi * float64(at) / float64(hour))
					var ms []*Message
					for n := (40 + 320*swell*swell) * tick.Seconds(); n > 0 && rng.Float64() < n; n-- {
						id++
						ms = append(
							ms,
							&Message{
								ID:             id,
								TraceID:        "9b1f03aa5c7e2d41",
								IdempotencyKey: "5c0f6e1a2b3d4c59a8b7c6d5e4f30211",
								Deadline:       time.Unix(1e9, 0),
								Body:           make([]byte, 100+rng.IntN(500)),
							},
						)
					}
					if err := j.Accept(ms...); errors.Is(err, ErrFull) {
						refused += len(ms)
						continue
					} else {
						must(b, err)
					}
					for _, m := range ms {
						attempts := 1 + rng.IntN(5)/4
						for n := range attempts {
							must(
								b,
								j.RecordSends(
									Send{m, Attempt{Number: n, Endpoint: "s-5be2a07c", SentAt: time.Unix(1e9, 0)}},
								),
							)
						}
						lasts := time.Duration(rng.Float64() * float64(600*time.Millisecond))
						if rng.IntN(10) == 0 {
							lasts = time.Duration(rng.Float64() * float64(12*time.Second-tick))
						}
						k := (now + 1 + int(lasts/tick)) % len(ends)
						ends[k] = append(ends[k], m)
						live++
					}
					must(b, j.Flush())
					most, longest = max(most, live), max(longest, time.Since(began))
				}
				st := j.Stats()
				b.ReportMetric(float64(id), "messages")
				b.ReportMetric(float64(refused), "refused")
				b.ReportMetric(float64(most), "most-live")
				b.ReportMetric(float64(st.CommittedBytes+st.CompactedBytes)/float64(st.CommittedBytes), "write-amp")
				b.ReportMetric(float64(st.CommittedBytes)/1e6, "MB-written")
				b.ReportMetric(float64(longest.Microseconds())/1000, "longest-step-ms")
				must(b, j.Close())
			}
		})
	}
}
