package journal

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/policy"
)

// large adds long benchmarks. All benchmarks of this package use real files, and some compare the legacy log with the
// journal. To run them: go test -run '^$' -bench .
var large = flag.Bool("large", false, "also run benchmarks at 512 MB, with a million records, and BenchmarkPeakHour")

// diskLimit is a disk limit under which benchmarks run.
type diskLimit struct {
	name  string
	bytes int64
}

func diskLimits() []diskLimit {
	limits := []diskLimit{{"3MB", 3e6}, {"64MB", 64e6}}
	if *large {
		limits = append(limits, diskLimit{"512MB", 512e6})
	}
	return limits
}

// limitFor returns a disk limit with ample space for a number of messages.
func limitFor(messages int) int64 { return max(store.MinLimit, int64(messages)*3000) }

// heapBytes returns the bytes in use on the heap after a garbage collection.
func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// milliseconds converts a duration to milliseconds with a fraction.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// reportWrites reports the write amplification: the bytes that the store has written per committed byte.
func reportWrites(b *testing.B, stats store.Stats) {
	b.Helper()
	written := stats.CommittedBytes + stats.CompactedBytes
	b.ReportMetric(float64(written)/float64(stats.CommittedBytes), "write-amp")
}

// BenchmarkAcceptAndRemove accepts a message and removes the oldest one while 30 % of the disk limit is in use. It
// reports the longest accept. In the legacy log, that is one that compacts the whole log.
func BenchmarkAcceptAndRemove(b *testing.B) {
	for _, limit := range diskLimits() {
		for _, kind := range []writerKind{legacyKind, journalKind} {
			b.Run(string(kind)+"/"+limit.name, func(b *testing.B) { benchmarkAcceptAndRemove(b, kind, limit.bytes) })
		}
	}
}

func benchmarkAcceptAndRemove(b *testing.B, kind writerKind, limit int64) {
	const bytesPerMessage = 1300 // upper bound of a message's size on disk, for both kinds of writer
	dir := b.TempDir()
	w := openWriter(b, kind, dir, limit)
	live := policy.MessageID(float64(limit) * 0.3 / bytesPerMessage)
	id := policy.MessageID(0)
	for id < live {
		id++
		must(b, w.accept(id))
	}
	var durations []time.Duration
	b.ReportAllocs()
	for b.Loop() {
		id++
		begin := time.Now()
		err := w.accept(id)
		durations = append(durations, time.Since(begin))
		must(b, err)
		must(b, w.remove(id-live))
	}
	b.StopTimer()
	slices.Sort(durations)
	b.ReportMetric(milliseconds(durations[len(durations)-1]), "longest-ms")
	b.ReportMetric(float64(durations[len(durations)*999/1000].Microseconds()), "p99.9-us")
	b.ReportMetric(float64(live), "live")
	if w, ok := w.(*journalWriter); ok {
		stats := w.journal.Stats()
		reportWrites(b, stats)
		b.ReportMetric(float64(stats.DiskBytes)/float64(stats.LiveBytes), "disk/live")
	}
	must(b, w.close())
	begin := time.Now()
	w = openWriter(b, kind, dir, limit)
	b.ReportMetric(milliseconds(time.Since(begin)), "open-ms")
	must(b, w.close())
}

// BenchmarkOpen measures the recovery of stores with many live values.
func BenchmarkOpen(b *testing.B) {
	counts := []int{1000, 100_000}
	if *large {
		counts = append(counts, 1_000_000)
	}
	for _, count := range counts {
		b.Run(fmt.Sprint(count), func(b *testing.B) { benchmarkOpen(b, count) })
	}
}

func benchmarkOpen(b *testing.B, count int) {
	const batchSize = 100
	dir := b.TempDir()
	options := store.Options{Limit: limitFor(count)}
	st, _, err := store.Open(store.Dir(dir), options)
	must(b, err)
	value := make([]byte, benchBodySize)
	for i := 0; i < count; i += batchSize {
		batch := st.Begin()
		for range batchSize {
			batch.Put(value)
		}
		must(b, st.Commit(batch))
	}
	must(b, st.Close())
	var bytesRead, heapAfter int64
	heapBefore := heapBytes()
	for b.Loop() {
		st, recovery, err := store.Open(store.Dir(dir), options)
		must(b, err)
		if len(recovery.Keys) != count {
			b.Fatalf("recovered %d values, want %d", len(recovery.Keys), count)
		}
		bytesRead += recovery.Bytes()
		b.StopTimer()
		recovery = nil // heapBytes must count only the store
		heapAfter = heapBytes()
		runtime.KeepAlive(st)
		must(b, st.Close())
		b.StartTimer()
	}
	b.ReportMetric(float64(bytesRead)/1e6/b.Elapsed().Seconds(), "MB/s")
	b.ReportMetric(float64(heapAfter-heapBefore)/float64(count), "B/live")
}

// BenchmarkCommit measures the store without the journal: a value, a delta and a deletion in one commit.
func BenchmarkCommit(b *testing.B) {
	const maxLive = 1000
	st, _, err := store.Open(store.Dir(b.TempDir()), store.Options{Limit: 64e6})
	must(b, err)
	value := make([]byte, benchBodySize)
	delta := make([]byte, 30)
	var keys []uint64
	b.ReportAllocs()
	for b.Loop() {
		batch := st.Begin()
		keys = append(keys, batch.Put(value))
		batch.Append(keys[len(keys)-1], delta)
		if len(keys) > maxLive {
			batch.Delete(keys[0])
			keys = append(keys[:0], keys[1:]...)
		}
		must(b, st.Commit(batch))
		if st.CompactionDue() {
			_, err := st.Compact(minCompactionBytes)
			must(b, err)
		}
	}
	must(b, st.Close())
}

// BenchmarkDiskPerMessage reports how many bytes a message takes on disk in addition to its body.
func BenchmarkDiskPerMessage(b *testing.B) {
	const count = 1000
	for _, kind := range []writerKind{legacyKind, journalKind} {
		b.Run(string(kind), func(b *testing.B) {
			for b.Loop() {
				dir := b.TempDir()
				w := openWriter(b, kind, dir, 64e6)
				for id := range policy.MessageID(count) {
					must(b, w.accept(id+1))
				}
				must(b, w.close())
				b.ReportMetric(float64(folderSize(b, dir))/count-benchBodySize, "B/message-beside-body")
			}
		})
	}
}

// folderSize returns the total size in bytes of the files in a folder and its subfolders.
func folderSize(b *testing.B, dir string) int64 {
	b.Helper()
	size := int64(0)
	must(b, filepath.Walk(dir, func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			size += info.Size()
		}
		return err
	}))
	return size
}

// BenchmarkMemoryPerMessage reports how many bytes of memory an open journal uses for each live message whose body is
// only on disk.
func BenchmarkMemoryPerMessage(b *testing.B) {
	for _, count := range []int{1000, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			dir := b.TempDir()
			w := openWriter(b, journalKind, dir, limitFor(count))
			for id := range policy.MessageID(count) {
				must(b, w.accept(id+1))
			}
			must(b, w.close())
			for b.Loop() {
				heapBefore := heapBytes()
				j, recovery, err := OpenFolder(dir, Options{Limit: limitFor(count), MaxBodyBytes: 1})
				must(b, err)
				if len(recovery.Messages) != count {
					b.Fatalf("recovered %d messages, want %d", len(recovery.Messages), count)
				}
				recovery = nil // heapBytes must count only the journal
				b.ReportMetric(float64(heapBytes()-heapBefore)/float64(count), "B/live")
				must(b, j.Close())
			}
		})
	}
}
