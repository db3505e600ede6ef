package catalog

// tableChunkSize is how many records a table grows by.
const tableChunkSize = 1024

// table is an array that grows and shrinks by chunks, without being copied: a change costs the same at any size.
type table[T any] struct {
	chunks []*[tableChunkSize]T
	count  int
}

func (t *table[T]) at(i uint32) *T { return &t.chunks[i/tableChunkSize][i%tableChunkSize] }

// add appends a zero record and returns its index.
func (t *table[T]) add() uint32 {
	if t.count == len(t.chunks)*tableChunkSize {
		t.chunks = append(t.chunks, new([tableChunkSize]T))
	}
	i := uint32(t.count)
	t.count++
	*t.at(i) = *new(T)
	return i
}

// pop removes the last record. One spare chunk stays, so that a table around a chunk's end does not allocate each time.
func (t *table[T]) pop() {
	t.count--
	used := (t.count + tableChunkSize - 1) / tableChunkSize
	if last := len(t.chunks) - 1; last > used {
		t.chunks[last] = nil
		t.chunks = t.chunks[:last]
	}
}
