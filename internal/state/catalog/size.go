package catalog

import "unsafe"

// Size estimates the memory of the catalog, in bytes.
func (c *Catalog) Size() int64 {
	return c.arena.size() + c.endpoints.size() + c.endpointIndex.buckets.size() +
		c.destinations.size() + c.destinationIndex.buckets.size()
}

// size returns the memory of the chunks, in bytes. A longer encoding has a chunk of its own, which counts like others:
// its length is bounded by that of a list entry.
func (a *byteArena) size() int64 { return int64(len(a.chunks)-len(a.free)) * arenaChunkSize }

// size returns the memory of the table, in bytes.
func (t *table[T]) size() int64 {
	var chunk [tableChunkSize]T
	return int64(len(t.chunks)) * int64(unsafe.Sizeof(chunk))
}
