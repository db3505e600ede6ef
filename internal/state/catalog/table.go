package catalog

// tableChunkSize is the number of records by which a table grows.
const tableChunkSize = 1024

// table is an array that grows and shrinks by chunks. Its records are never copied, so that a change costs the same at
// any size.
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

// pop removes the last record. It keeps one spare chunk, so that a table whose size varies around the end of a chunk
// does not allocate each time.
func (t *table[T]) pop() {
	t.count--
	used := (t.count + tableChunkSize - 1) / tableChunkSize
	if last := len(t.chunks) - 1; last > used {
		t.chunks[last] = nil
		t.chunks = t.chunks[:last]
	}
}
