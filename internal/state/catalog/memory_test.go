package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"unsafe"

	"cherrytrestle.example/cherrytrestle/policy"
)

// memory is the size of a catalog in bytes.
type memory struct{ texts, liveTexts, destinations, rest int }

func (c *Catalog) memory() memory {
	var m memory
	for _, chunk := range c.texts.chunks {
		m.texts += cap(chunk.data)
		m.liveTexts += chunk.live
	}
	m.destinations = tableChunkSize * len(c.destinations.chunks) * int(unsafe.Sizeof(destinationSlot{}))
	m.rest = tableChunkSize * len(c.endpoints.chunks) * int(unsafe.Sizeof(endpointSlot{}))
	bucketChunks := len(c.endpointIndex.buckets.chunks) + len(c.destinationIndex.buckets.chunks)
	m.rest += tableChunkSize * bucketChunks * int(unsafe.Sizeof(uint32(0)))
	m.rest += cap(c.texts.chunks) * int(unsafe.Sizeof(textChunk{}))
	m.rest += cap(c.texts.free) * int(unsafe.Sizeof(int(0)))
	return m
}

// liveTexts adds up the texts of all endpoints.
func (c *Catalog) liveTexts() int {
	size := 0
	var t endpointText
	for i := range c.endpoints.count - 1 {
		t.parse(c.texts.bytesAt(c.endpoints.at(uint32(i + 1)).text))
		size += t.length
	}
	return size
}

// memoryTest is a catalog of n endpoints whose memory is compared with that after five snapshots.
type memoryTest struct {
	c     *Catalog
	n     int
	early memory
	ids   []string
}

// check fails the test if the memory has grown, or less than half of the texts' memory is in use.
func (m *memoryTest) check(t *testing.T, after string) {
	t.Helper()
	got := m.c.memory()
	live := m.c.liveTexts()
	grown := got.destinations > m.early.destinations || got.rest > m.early.rest
	if grown || got.liveTexts != live || got.texts > 2*got.liveTexts+4*textChunkSize {
		t.Errorf("after %s: %+v bytes, %d of texts in use; after five snapshots %+v", after, got, live, m.early)
	}
}

// snapshot applies a snapshot with ids, addresses and destinations of its own.
func (m *memoryTest) snapshot(t *testing.T, round int) {
	t.Helper()
	m.c.BeginSnapshot()
	for i := range m.n {
		e := entry(i, round)
		e.Destination += policy.DestinationID(round * m.n)
		e.Addr = fmt.Sprintf("host-%d-%d:80", round, i)
		m.c.Upsert(e)
	}
	for done := false; !done; {
		_, done = m.c.Sweep(100)
	}
	if m.c.EndpointCount() != m.n || m.c.DestinationCount() != m.n/2 {
		t.Fatalf("round %d: %d endpoints, %d destinations", round, m.c.EndpointCount(), m.c.DestinationCount())
	}
}

// replaceOne removes a random endpoint and adds another, every second time with its destination.
func (m *memoryTest) replaceOne(t *testing.T, rng *rand.Rand, i int) {
	t.Helper()
	id := &m.ids[rng.IntN(m.n)]
	if m.c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: *id, Removed: true}}).Kind != Removed {
		t.Fatal("not removed: ", *id)
	}
	*id = fmt.Sprint("once ", i)
	m.c.Upsert(Endpoint{
		Endpoint: policy.Endpoint{ID: *id, Destination: m.negativeDestination(i)},
		Addr:     "127.0.0.1:80",
	})
}

// negativeDestination returns one of a third as many destinations as endpoints.
func (m *memoryTest) negativeDestination(i int) policy.DestinationID {
	return policy.DestinationID(-i%(m.n/3) - 1)
}

// addAndRemove adds one endpoint, and removes it.
func (m *memoryTest) addAndRemove() {
	m.c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: "short-lived", Destination: -1}})
	m.c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: "short-lived", Removed: true}})
}

// Fifty snapshots with other ids, addresses and destinations each time take no more memory than five, and one of ten
// endpoints frees that of endpoints and texts. The slots of destinations stay, for others. At least half of the texts'
// memory is in use.
func TestMemoryIsBounded(t *testing.T) {
	m := &memoryTest{c: New(), n: 20000}
	const rounds = 50
	for round := range rounds {
		m.snapshot(t, round)
		if round == 4 {
			m.early = m.c.memory()
		}
	}
	m.check(t, "fifty snapshots")

	for i := range m.n {
		m.ids = append(m.ids, entry(i, rounds-1).ID)
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range 5 * m.n {
		m.replaceOne(t, rng, i)
	}
	m.check(t, "replacements")

	for i, id := range m.ids {
		m.c.Upsert(Endpoint{
			Endpoint: policy.Endpoint{ID: id, Destination: m.negativeDestination(i), Weight: float64(i)},
			Addr:     "127.0.0.1:80",
		})
		m.addAndRemove()
	}
	m.check(t, "updates, and one endpoint that comes and goes")
	for range m.n {
		m.addAndRemove()
	}
	m.check(t, "one endpoint alone that comes and goes")
	if got := len(slices.Collect(m.c.RememberedDestinations())); got > m.n {
		t.Errorf("%d destinations without endpoints are remembered", got)
	}

	applySnapshot(m.c, entries(5, 0))
	m.check(t, "a short snapshot")
	if got := m.c.memory(); got.rest > m.early.rest/3 || got.texts > 2*textChunkSize {
		t.Errorf("after a short snapshot: %+v bytes; after five long ones %+v", got, m.early)
	}
	if m.c.EndpointCount() != 10 || len(m.c.AppendEndpoints(0, nil)) != 2 {
		t.Error("not the ten endpoints that were listed")
	}
}
