package catalog

import "bytes"

// textChunkSize is the size of a chunk in bytes. A text that is longer has a chunk of its own.
const textChunkSize = 2048

// maxTextChunks is how many chunks a position can name: 4 GiB of texts, more than a machine for a relay has memory for.
const maxTextChunks = 1 << 32 / textChunkSize

// noChunk is the index of no chunk.
const noChunk = -1

// textChunk is a part of an arena. Dead bytes are freed with the whole chunk.
type textChunk struct {
	data []byte
	live int // bytes
}

// textArena holds texts. Its owner moves the last live ones out of a chunk that is sparse, so that at least half of the
// memory is in use.
type textArena struct {
	chunks  []textChunk
	free    []int // chunks without data
	current int   // takes the next text
}

// textPosition is a chunk and an offset in it as one number.
func textPosition(chunk, offset int) uint32 { return uint32(chunk*textChunkSize + offset) }

// bytesAt returns the bytes from a position to the end of its chunk.
func (a *textArena) bytesAt(position uint32) []byte {
	return a.chunks[position/textChunkSize].data[position%textChunkSize:]
}

// add stores a text and returns its position. full is the chunk that takes no more texts from now on, or noChunk.
func (a *textArena) add(text []byte) (position uint32, full int) {
	if len(text) > textChunkSize {
		k := a.newChunk()
		a.chunks[k] = textChunk{data: bytes.Clone(text), live: len(text)}
		return textPosition(k, 0), noChunk
	}
	full = noChunk
	if len(a.chunks) == 0 {
		a.current = a.openChunk()
	} else if len(a.chunks[a.current].data)+len(text) > textChunkSize {
		full = a.current
		a.current = a.openChunk()
	}
	chunk := &a.chunks[a.current]
	position = textPosition(a.current, len(chunk.data))
	chunk.data = append(chunk.data, text...)
	chunk.live += len(text)
	return position, full
}

// newChunk returns the index of a chunk without data.
func (a *textArena) newChunk() int {
	if n := len(a.free); n > 0 {
		k := a.free[n-1]
		a.free = a.free[:n-1]
		return k
	}
	if len(a.chunks) == maxTextChunks {
		panic("catalog: more than 4 GiB of texts")
	}
	a.chunks = append(a.chunks, textChunk{})
	return len(a.chunks) - 1
}

// openChunk returns the index of an empty chunk for texts.
func (a *textArena) openChunk() int {
	k := a.newChunk()
	a.chunks[k] = textChunk{data: make([]byte, 0, textChunkSize)}
	return k
}

// markDead has n bytes count as dead, and returns the index of their chunk.
func (a *textArena) markDead(position uint32, n int) int {
	k := int(position / textChunkSize)
	a.chunks[k].live -= n
	return k
}

// sparse reports whether a chunk takes no more texts and less than half of it is live.
func (a *textArena) sparse(k int) bool {
	chunk := &a.chunks[k]
	return k != a.current && chunk.data != nil && 2*chunk.live < len(chunk.data)
}

// release frees a chunk's data.
func (a *textArena) release(k int) {
	a.chunks[k] = textChunk{}
	a.free = append(a.free, k)
}
