package catalog

import "bytes"

// arenaChunkSize is the size of a chunk in bytes. A longer encoding has a chunk of its own.
const arenaChunkSize = 2048

// maxArenaChunks is the number of chunks that a 32-bit position can address. They hold 4 GiB of encodings, which is
// more than the memory of any machine that runs a relay.
const maxArenaChunks = 1 << 32 / arenaChunkSize

// noChunk stands for no chunk where a chunk index is expected.
const noChunk = -1

// arenaChunk is a part of an arena. Bytes that are no longer in use are freed together with the whole chunk.
type arenaChunk struct {
	data []byte
	live int // number of bytes in use
}

// byteArena stores the encodings of endpoints in chunks. When a chunk becomes sparse, the Catalog moves the encodings
// that are in use to another chunk and frees the sparse one. So at least half of the data of each full chunk is in
// use.
type byteArena struct {
	chunks  []arenaChunk
	free    []int // indexes of chunks without data
	current int   // index of the chunk to which encodings are added
}

// arenaPosition combines the index of a chunk and an offset in it into one number.
func arenaPosition(chunk, offset int) uint32 { return uint32(chunk*arenaChunkSize + offset) }

// bytesAt returns the bytes from a position to the end of its chunk.
func (a *byteArena) bytesAt(position uint32) []byte {
	return a.chunks[position/arenaChunkSize].data[position%arenaChunkSize:]
}

// add stores an encoding and returns its position. If the current chunk has no room for the encoding, another chunk
// becomes current and full is the index of the previous one. Otherwise full is noChunk.
func (a *byteArena) add(encoding []byte) (position uint32, full int) {
	if len(encoding) > arenaChunkSize {
		k := a.newChunk()
		a.chunks[k] = arenaChunk{data: bytes.Clone(encoding), live: len(encoding)}
		return arenaPosition(k, 0), noChunk
	}
	full = noChunk
	if len(a.chunks) == 0 {
		a.current = a.openChunk()
	} else if len(a.chunks[a.current].data)+len(encoding) > arenaChunkSize {
		full = a.current
		a.current = a.openChunk()
	}
	chunk := &a.chunks[a.current]
	position = arenaPosition(a.current, len(chunk.data))
	chunk.data = append(chunk.data, encoding...)
	chunk.live += len(encoding)
	return position, full
}

// newChunk returns the index of a chunk without data.
func (a *byteArena) newChunk() int {
	if n := len(a.free); n > 0 {
		k := a.free[n-1]
		a.free = a.free[:n-1]
		return k
	}
	if len(a.chunks) == maxArenaChunks {
		panic("catalog: encoded endpoints exceed 4 GiB")
	}
	a.chunks = append(a.chunks, arenaChunk{})
	return len(a.chunks) - 1
}

// openChunk returns the index of an empty chunk with memory for encodings.
func (a *byteArena) openChunk() int {
	k := a.newChunk()
	a.chunks[k] = arenaChunk{data: make([]byte, 0, arenaChunkSize)}
	return k
}

// markDead counts n bytes at a position as no longer in use, and returns the index of their chunk.
func (a *byteArena) markDead(position uint32, n int) int {
	k := int(position / arenaChunkSize)
	a.chunks[k].live -= n
	return k
}

// sparse reports whether a chunk is no longer the current one and less than half of its data is in use.
func (a *byteArena) sparse(k int) bool {
	chunk := &a.chunks[k]
	return k != a.current && chunk.data != nil && 2*chunk.live < len(chunk.data)
}

// release frees a chunk's data. newChunk reuses the index.
func (a *byteArena) release(k int) {
	a.chunks[k] = arenaChunk{}
	a.free = append(a.free, k)
}
