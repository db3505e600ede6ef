package main

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"sync"
	"time"
)

// memoryInterval is the interval at which a memoryWatch reads the memory in use.
const memoryInterval = 100 * time.Millisecond

// bytesPerMB converts printed amounts of memory.
const bytesPerMB = 1e6

// heapBytes runs a garbage collection and returns the bytes of the heap in use after it.
func heapBytes() int64 {
	debug.FreeOSMemory()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// residentBytes returns the bytes of memory that the Go runtime has obtained from the operating system and not
// returned.
func residentBytes() int64 {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
	}
	metrics.Read(samples)
	return int64(samples[0].Value.Uint64() - samples[1].Value.Uint64())
}

// memoryWatch records the peak of the memory that the process holds.
type memoryWatch struct {
	peak int64 // in bytes; belongs to the goroutine of run until done is closed
	quit chan struct{}
	done chan struct{}
	once sync.Once
}

// watchMemory starts a memoryWatch. The caller must stop it.
func watchMemory() *memoryWatch {
	w := &memoryWatch{quit: make(chan struct{}), done: make(chan struct{})}
	go w.run()
	return w
}

func (w *memoryWatch) run() {
	defer close(w.done)
	ticker := time.NewTicker(memoryInterval)
	defer ticker.Stop()
	for {
		w.peak = max(w.peak, residentBytes())
		select {
		case <-ticker.C:
		case <-w.quit:
			w.peak = max(w.peak, residentBytes())
			return
		}
	}
}

// stop ends the watch and returns the peak in bytes. It may be called several times.
func (w *memoryWatch) stop() int64 {
	w.once.Do(func() { close(w.quit) })
	<-w.done
	return w.peak
}
