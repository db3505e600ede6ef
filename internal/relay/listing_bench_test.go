package relay

import (
	"bytes"
	"fmt"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
)

// listText is a whole list of so many destinations, each with two hosts, that begins with some.
func listText(version, destinations int, first ...string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,"full":true,"servers":[`, version)
	for i, e := range first {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(e)
	}
	for i := range 2 * destinations {
		if i > 0 || len(first) > 0 {
			b.WriteByte(',')
		}
		b.WriteString(hostText(i, i/2, "ready"))
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

// hostText is the entry of a host that nobody answers at.
func hostText(i, dest int, state string) string {
	return fmt.Sprintf(
		`{"id":"h-%08x","addr":"127.%d.%d.%d:1","zone":"%c","kind":"gateway","cell":%d,"state":%q,"weight":500.0,"started_ms":0}`,
		uint32(i)*2654435761,
		1+i>>16,
		i>>8&255,
		i&255,
		'a'+i%2,
		100+dest,
		state,
	)
}

// BenchmarkListEntry tells what an entry of a long list costs: to read, and to apply.
func BenchmarkListEntry(b *testing.B) {
	c, err := parseConfig([]byte(`{"settings":` + settingsJSON + `}`))
	if err != nil {
		b.Fatal(err)
	}
	const destinations = 10_000
	text := listText(1, destinations)
	for _, bench := range []struct {
		name string
		take func() func(Entry) error
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
				if err := NewListReader(&boundedSource{src: bytes.NewReader(text)}, c.parseEndpoint).Next(&ListHead{}, bench.take()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(2*destinations), "ns/entry")
		})
	}
	b.Run("skip", func(b *testing.B) {
		for range b.N {
			if err := NewListReader(&boundedSource{src: bytes.NewReader(text)}, nil).Next(&ListHead{}, nil); err != nil {
				b.Fatal(err)
			}
		}
		b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/(2*destinations), "ns/entry")
	})
}
