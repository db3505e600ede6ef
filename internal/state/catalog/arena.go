package catalog

const textChunkSize = 2048 // bytes; a text that is longer has a chunk of its own

// textChunk is a piece of an arena. What is dead in it is given up with it.
type textChunk struct {
	data []byte
	live int // bytes
}

// textArena holds texts. Their owner moves the last live ones out of a chunk that is sparse, so that half of the room is in
// use at least.
type textArena struct {
	chunks  []textChunk
	free    []int // chunks without data
	current int   // takes the next text
}

// position is a chunk and a place in it in one figure.
func position(chunk, at int) uint32 { return uint32(chunk*textChunkSize + at) }

// bytesAt returns what stands at a position, to the end of its chunk.
func (a *textArena) bytesAt(at uint32) []byte {
	return a.chunks[at/textChunkSize].data[at%textChunkSize:]
}

// add keeps a text, and returns where; full is the chunk that takes no more from here on, -1 if there is none.
func (a *textArena) add(text []byte) (at uint32, full int) {
	if len(text) > textChunkSize {
		k := a.newChunk()
		a.chunks[k] = textChunk{append([]byte(nil), text...), len(text)}
		return position(k, 0), -1
	}
	full = -1
	if len(a.chunks) == 0 {
		a.current = a.openChunk()
	} else if len(a.chunks[a.current].data)+len(text) > textChunkSize {
		full, a.current = a.current, a.openChunk()
	}
	c := &a.chunks[a.current]
	at = position(a.current, len(c.data))
	c.data, c.live = append(c.data, text...), c.live+len(text)
	return at, full
}

// newChunk returns the number of one without data.
func (a *textArena) newChunk() int {
	if n := len(a.free); n > 0 {
		k := a.free[n-1]
		a.free = a.free[:n-1]
		return k
	}
	if len(a.chunks) == 1<<32/textChunkSize {
		panic("catalog: 4 GiB of texts") // no machine that this is for has the memory
	}
	a.chunks = append(a.chunks, textChunk{})
	return len(a.chunks) - 1
}

func (a *textArena) openChunk() int {
	k := a.newChunk()
	a.chunks[k] = textChunk{data: make([]byte, 0, textChunkSize)}
	return k
}

// markDead has n bytes count as dead, and returns their chunk.
func (a *textArena) markDead(at uint32, n int) int {
	k := int(at / textChunkSize)
	a.chunks[k].live -= n
	return k
}

// sparse tells whether less than half of a chunk is live, of one that takes no more.
func (a *textArena) sparse(k int) bool {
	c := &a.chunks[k]
	return k != a.current && c.data != nil && 2*c.live < len(c.data)
}

// release gives up a chunk's data.
func (a *textArena) release(k int) {
	a.chunks[k] = textChunk{}
	a.free = append(a.free, k)
}
