package catalog

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// entry is an endpoint as a platform names them: two to a destination.
func entry(i, generation int) Endpoint {
	return Endpoint{policy.Endpoint{
		ID: fmt.Sprintf(
			"ep-%06d-%02d",
			i,
			generation,
		), Destination: i / 2, Kind: i / 2 % 3, Zone: i % 3, Weight: float64(5 + i%40),
		InService: true,
	}, fmt.Sprintf("10.%d.%d.%d:8080", i>>16, i>>8&255, i&255)}
}

func entries(destinations, generation int) []Endpoint {
	list := make([]Endpoint, 2*destinations)
	for i := range list {
		list[i] = entry(i, generation)
	}
	return list
}

// tell tells a whole list, and sweeps it in slices.
func tell(c *Catalog, list []Endpoint) {
	c.BeginSnapshot()
	for i := range list {
		c.Upsert(list[i])
	}
	for done := false; !done; {
		_, done = c.Sweep(256)
	}
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

var sizes = []int{1000, 10000, 50000, 140000}

func eachSize(b *testing.B, run func(b *testing.B, c *Catalog, list []Endpoint)) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("destinations=%d", n), func(b *testing.B) {
			list := entries(n, 0)
			before := heap()
			c := New()
			tell(c, list)
			held := heap() - before
			b.ReportAllocs()
			run(b, c, list)
			b.ReportMetric(held/float64(len(list)), "B/endpoint")
			runtime.KeepAlive(c)
		})
	}
}

// BenchmarkPut is one entry that changes an endpoint's weight: of the whole list in turn, so that no memory is warm.
func BenchmarkPut(b *testing.B) {
	eachSize(b, func(b *testing.B, c *Catalog, list []Endpoint) {
		for i := 0; b.Loop(); i++ {
			e := &list[i*7919%len(list)]
			e.Weight++
			if c.Upsert(*e).Kind != Updated {
				b.Fatal("not changed")
			}
		}
	})
}

// BenchmarkReplace is an endpoint that goes and one that takes its place.
func BenchmarkReplace(b *testing.B) {
	eachSize(b, func(b *testing.B, c *Catalog, list []Endpoint) {
		for i := 0; b.Loop(); i++ {
			e := list[i*7919%len(list)]
			e.Removed = true
			if c.Upsert(e).Kind != Removed {
				b.Fatal("not removed")
			}
			e.Removed = false
			if c.Upsert(e).Kind != Added {
				b.Fatal("not added")
			}
		}
	})
}

// BenchmarkIdentical is a whole list that changes nothing.
func BenchmarkIdentical(b *testing.B) {
	eachSize(b, func(b *testing.B, c *Catalog, list []Endpoint) {
		for b.Loop() {
			tell(c, list)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(list)), "ns/endpoint")
	})
}

// BenchmarkEverNew is a whole list of other ids, with the sweep of the old.
func BenchmarkEverNew(b *testing.B) {
	eachSize(b, func(b *testing.B, c *Catalog, list []Endpoint) {
		for i := 1; b.Loop(); i++ {
			b.StopTimer()
			for k := range list {
				list[k] = entry(k, i)
			}
			b.StartTimer()
			tell(c, list)
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*len(list)), "ns/endpoint")
	})
}

// BenchmarkOf is what a destination that wakes costs here.
func BenchmarkOf(b *testing.B) {
	eachSize(b, func(b *testing.B, c *Catalog, list []Endpoint) {
		var of []Endpoint
		for i := 0; b.Loop(); i++ {
			if of = c.AppendEndpoints(i*7919%(len(list)/2), of[:0]); len(of) != 2 {
				b.Fatal("not two endpoints")
			}
		}
	})
}

// BenchmarkWorkingSet is one destination woken and another put to rest, with so many awake.
func BenchmarkWorkingSet(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("awake=%d", n), func(b *testing.B) {
			w := NewWorkingSet(time.Duration(n))
			now := time.Duration(0)
			for ; now < time.Duration(n); now++ {
				w.Activate(int(now), now)
			}
			b.ReportAllocs()
			for b.Loop() {
				now++
				w.Activate(int(now), now)
				w.EvictIdle(now, 16, func(int) bool { return true })
			}
			if w.Len() < n-1 || w.Len() > n+1 {
				b.Fatalf("%d awake", w.Len())
			}
		})
	}
}
