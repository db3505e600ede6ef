package catalog

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// entry returns the i-th entry of a list, with an id and address of the form that a platform uses. Each destination has
// two endpoints. Each generation has other ids.
func entry(i, generation int) Endpoint {
	return Endpoint{
		Endpoint: policy.Endpoint{
			ID:          fmt.Sprintf("ep-%06d-%02d", i, generation),
			Destination: policy.DestinationID(i / 2),
			Kind:        i / 2 % 3,
			Zone:        i % 3,
			Weight:      float64(5 + i%40),
			InService:   true,
		},
		Addr: fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255),
	}
}

func entries(destinations, generation int) []Endpoint {
	list := make([]Endpoint, 2*destinations)
	for i := range list {
		list[i] = entry(i, generation)
	}
	return list
}

// applySnapshot applies a snapshot to the catalog, with a sweep in parts.
func applySnapshot(c *Catalog, list []Endpoint) {
	c.BeginSnapshot()
	for i := range list {
		c.Upsert(list[i])
	}
	for done := false; !done; {
		_, done = c.Sweep(256)
	}
}

// heapSize returns the size of all live heap objects in bytes.
func heapSize() float64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}

// sizes are the numbers of destinations with which the benchmarks run.
var sizes = []int{1000, 10000, 50000, 140000}

func eachSize(b *testing.B, run func(b *testing.B, c *Catalog, list []Endpoint)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("destinations=%d", n), func(b *testing.B) {
			list := entries(n, 0)
			before := heapSize()
			c := New()
			applySnapshot(c, list)
			size := heapSize() - before
			b.ReportAllocs()
			run(b, c, list)
			b.ReportMetric(size/float64(len(list)), "B/endpoint")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkUpsert measures an entry that changes an endpoint's weight. Consecutive entries are far apart in the list,
// so that their memory is not in the processor's cache.
func BenchmarkUpsert(b *testing.B) {
	eachSize(b, func(b *testing.B, c *Catalog, list []Endpoint) {
		for i := 0; b.Loop(); i++ {
			e := &list[i*7919%len(list)]
			e.Weight++
			if c.Upsert(*e).Kind != Updated {
				b.Fatal("Upsert did not update the endpoint")
			}
		}
	})
}

// BenchmarkReplace measures the removal of an endpoint and the addition of one in its place.
func BenchmarkReplace(b *testing.B) {
	eachSize(b, func(b *testing.B, c *Catalog, list []Endpoint) {
		for i := 0; b.Loop(); i++ {
			e := list[i*7919%len(list)]
			e.Removed = true
			if c.Upsert(e).Kind != Removed {
				b.Fatal("Upsert did not remove the endpoint")
			}
			e.Removed = false
			if c.Upsert(e).Kind != Added {
				b.Fatal("Upsert did not add the endpoint")
			}
		}
	})
}

// BenchmarkIdenticalSnapshot measures a snapshot that changes nothing.
func BenchmarkIdenticalSnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, c *Catalog, list []Endpoint) {
		for b.Loop() {
			applySnapshot(c, list)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(list)), "ns/endpoint")
	})
}

// BenchmarkNewSnapshot measures a snapshot in which all ids are new, including the sweep of the old endpoints.
func BenchmarkNewSnapshot(b *testing.B) {
	eachSize(b, func(b *testing.B, c *Catalog, list []Endpoint) {
		for i := 1; b.Loop(); i++ {
			b.StopTimer()
			for k := range list {
				list[k] = entry(k, i)
			}
			b.StartTimer()
			applySnapshot(c, list)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(list)), "ns/endpoint")
	})
}

// BenchmarkAppendEndpoints measures the catalog's part in the activation of a destination.
func BenchmarkAppendEndpoints(b *testing.B) {
	eachSize(b, func(b *testing.B, c *Catalog, list []Endpoint) {
		var endpoints []Endpoint
		for i := 0; b.Loop(); i++ {
			endpoints = c.AppendEndpoints(policy.DestinationID(i*7919%(len(list)/2)), endpoints[:0])
			if len(endpoints) != 2 {
				b.Fatalf("%d endpoints, want 2", len(endpoints))
			}
		}
	})
}

// BenchmarkWorkingSet measures the activation of a destination and the eviction of another one. The number of active
// destinations stays about the same.
func BenchmarkWorkingSet(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("active=%d", n), func(b *testing.B) {
			w := NewWorkingSet(time.Duration(n))
			now := time.Duration(0)
			for ; now < time.Duration(n); now++ {
				w.Activate(policy.DestinationID(now), now)
			}
			b.ReportAllocs()
			for b.Loop() {
				now++
				w.Activate(policy.DestinationID(now), now)
				w.EvictIdle(now, 16, func(policy.DestinationID) bool { return true })
			}
			if w.Len() < n-1 || w.Len() > n+1 {
				b.Fatalf("%d active destinations, want about %d", w.Len(), n)
			}
		})
	}
}
