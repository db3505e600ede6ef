package catalog

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"unsafe"

	"cherrytrestle.example/cherrytrestle/policy"
)

// memory is the size of a catalog in bytes, by part. liveArena is the part of arena that is in use.
type memory struct{ arena, liveArena, destinations, other int }

func (c *Catalog) memory() memory {
	var m memory
	for _, chunk := range c.arena.chunks {
		m.arena += cap(chunk.data)
		m.liveArena += chunk.live
	}
	m.destinations = tableChunkSize * len(c.destinations.chunks) * int(unsafe.Sizeof(destinationSlot{}))
	m.other = tableChunkSize * len(c.endpoints.chunks) * int(unsafe.Sizeof(endpointSlot{}))
	bucketChunks := len(c.endpointIndex.buckets.chunks) + len(c.destinationIndex.buckets.chunks)
	m.other += tableChunkSize * bucketChunks * int(unsafe.Sizeof(uint32(0)))
	m.other += cap(c.arena.chunks) * int(unsafe.Sizeof(arenaChunk{}))
	m.other += cap(c.arena.free) * int(unsafe.Sizeof(int(0)))
	return m
}

// encodedSize returns the size of the encodings of all endpoints in bytes.
func (c *Catalog) encodedSize() int {
	size := 0
	var decoded decodedEndpoint
	for i := range c.endpoints.count - 1 {
		decoded.parse(c.arena.bytesAt(c.endpoints.at(uint32(i + 1)).position))
		size += decoded.length
	}
	return size
}

// memoryTest compares the memory of a catalog of n endpoints with its memory after five snapshots.
type memoryTest struct {
	c        *Catalog
	n        int
	baseline memory   // after five snapshots
	ids      []string // of the endpoints in the catalog, once replacements have begun
}

// check fails the test if the tables have grown since the baseline, if the arena's count of live bytes is wrong, or if
// less than half of the arena is in use, with an allowance of four chunks.
func (m *memoryTest) check(t *testing.T, after string) {
	t.Helper()
	got := m.c.memory()
	live := m.c.encodedSize()
	grown := got.destinations > m.baseline.destinations || got.other > m.baseline.other
	if grown || got.liveArena != live || got.arena > 2*got.liveArena+4*arenaChunkSize {
		t.Errorf("after %s: memory %+v, encodings %d bytes; after five snapshots %+v", after, got, live, m.baseline)
	}
}

// snapshot applies a snapshot whose ids, addresses and destinations differ from those of all other rounds.
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

// replaceOne removes a random endpoint and adds one with another id. A removal may empty a destination.
func (m *memoryTest) replaceOne(t *testing.T, rng *rand.Rand, i int) {
	t.Helper()
	id := &m.ids[rng.IntN(m.n)]
	if m.c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: *id, Removed: true}}).Kind != Removed {
		t.Fatalf("Upsert did not remove endpoint %q", *id)
	}
	*id = fmt.Sprint("once ", i)
	m.c.Upsert(Endpoint{
		Endpoint: policy.Endpoint{ID: *id, Destination: m.negativeDestination(i)},
		Addr:     "127.0.0.1:80",
	})
}

// negativeDestination returns one of n/3 destinations with negative ids, which no snapshot names.
func (m *memoryTest) negativeDestination(i int) policy.DestinationID {
	return policy.DestinationID(-i%(m.n/3) - 1)
}

// addAndRemove adds one endpoint and removes it again.
func (m *memoryTest) addAndRemove() {
	m.c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: "short-lived", Destination: -1}})
	m.c.Upsert(Endpoint{Endpoint: policy.Endpoint{ID: "short-lived", Removed: true}})
}

// The memory of a catalog depends on its content, not on the number of changes. After fifty snapshots, each with
// other ids, addresses and destinations, it is no larger than after five. A snapshot of ten endpoints frees the
// memory of the former endpoints and their encodings. The slots of destinations stay allocated for reuse. At least
// half of the arena is in use.
func TestMemoryIsBounded(t *testing.T) {
	m := &memoryTest{c: New(), n: 20000}
	const rounds = 50
	for round := range rounds {
		m.snapshot(t, round)
		if round == 4 {
			m.baseline = m.c.memory()
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
	m.check(t, "updates, with another endpoint added and removed after each")
	for range m.n {
		m.addAndRemove()
	}
	m.check(t, "adding and removing one endpoint repeatedly")
	if got := len(slices.Collect(m.c.RememberedDestinations())); got > m.n {
		t.Errorf("%d destinations without endpoints, want at most %d", got, m.n)
	}

	applySnapshot(m.c, entries(5, 0))
	m.check(t, "a short snapshot")
	if got := m.c.memory(); got.other > m.baseline.other/3 || got.arena > 2*arenaChunkSize {
		t.Errorf("after a short snapshot: memory %+v; after five long ones %+v", got, m.baseline)
	}
	if m.c.EndpointCount() != 10 || len(m.c.AppendEndpoints(0, nil)) != 2 {
		t.Error("the catalog does not hold the ten endpoints of the short snapshot")
	}
}
