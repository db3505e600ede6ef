package discovery

import (
	"bytes"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/discoverytest"
)

// BenchmarkListEntry measures the time per entry of a long list: to read it, to read it and put it into a catalog, and
// to skip it.
func BenchmarkListEntry(b *testing.B) {
	const destinations = 10_000
	text := discoverytest.ListJSON(1, destinations)
	for _, bench := range []struct {
		name       string
		newHandler func() func(Entry) error
	}{
		{"read", func() func(Entry) error { return func(Entry) error { return nil } }},
		{"read-and-put", func() func(Entry) error {
			known := catalog.New()
			known.BeginSnapshot()
			return func(e Entry) error { known.Upsert(e.Endpoint); return nil }
		}},
	} {
		b.Run(bench.name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				lists := NewListReader(bytes.NewReader(text), testParser())
				if err := lists.Next(&ListHead{}, bench.newHandler()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(2*destinations), "ns/entry")
		})
	}
	b.Run("skip", func(b *testing.B) {
		for range b.N {
			if err := NewListReader(bytes.NewReader(text), nil).Next(&ListHead{}, nil); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(2*destinations), "ns/entry")
	})
}
