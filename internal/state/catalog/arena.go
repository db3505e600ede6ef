package catalog

const chunkSize = 2048 // bytes; a text that is longer has a chunk of its own

// chunk is a piece of an arena. What is dead in it is given up with it.
type chunk struct {
	data []byte
	live int // bytes
}

// arena holds texts. Their owner moves the last live ones out of a chunk that is sparse, so that half of the room is in
// use at least.
type arena struct {
	chunks  []chunk
	free    []int // chunks without data
	current int   // takes the next text
}

// position is a chunk and a place in it in one figure.
func position(chunk, at int) uint32 { return uint32(chunk*chunkSize + at) }

// from returns what stands at a position, to the end of its chunk.
func (a *arena) from(at uint32) []byte { return a.chunks[at/chunkSize].data[at%chunkSize:] }

// add keeps a text, and returns where; full is the chunk that takes no more from here on, -1 if there is none.
func (a *arena) add(text []byte) (at uint32, full int) {
	if len(text) > chunkSize {
		k := a.chunk()
		a.chunks[k] = chunk{append([]byte(nil), text...), len(text)}
		return position(k, 0), -1
	}
	full = -1
	if len(a.chunks) == 0 {
		a.current = a.open()
	} else if len(a.chunks[a.current].data)+len(text) > chunkSize {
		full, a.current = a.current, a.open()
	}
	c := &a.chunks[a.current]
	at = position(a.current, len(c.data))
	c.data, c.live = append(c.data, text...), c.live+len(text)
	return at, full
}

// chunk returns the number of one without data.
func (a *arena) chunk() int {
	if n := len(a.free); n > 0 {
		k := a.free[n-1]
		a.free = a.free[:n-1]
		return k
	}
	if len(a.chunks) == 1<<32/chunkSize {
		panic("catalog: 4 GiB of texts") // no machine that this is for has the memory
	}
	a.chunks = append(a.chunks, chunk{})
	return len(a.chunks) - 1
}

func (a *arena) open() int {
	k := a.chunk()
	a.chunks[k] = chunk{data: make([]byte, 0, chunkSize)}
	return k
}

// drop has n bytes count as dead, and returns their chunk.
func (a *arena) drop(at uint32, n int) int {
	k := int(at / chunkSize)
	a.chunks[k].live -= n
	return k
}

// sparse tells whether less than half of a chunk is live, of one that takes no more.
func (a *arena) sparse(k int) bool {
	c := &a.chunks[k]
	return k != a.current && c.data != nil && 2*c.live < len(c.data)
}

// release gives up a chunk's data.
func (a *arena) release(k int) {
	a.chunks[k] = chunk{}
	a.free = append(a.free, k)
}
