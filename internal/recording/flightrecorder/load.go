package flightrecorder

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Recording is the bytes of one recording, put together from wherever its chunks were found.
type Recording struct {
	ID     uint64
	Chunks int
	Data   []byte
	Meta   Meta // of its first chunk
}

// Load finds the recordings in files: what a sink wrote, a dump of a ring, or the log of a relay that records into it.
// Parts of one recording in several files are joined; where two hold the same chunk the longer one counts. Recordings
// are in the order of their processes' starts.
func Load(paths ...string) ([]Recording, error) {
	var all [][]byte
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("flightrecorder: %w", err)
		}
		if !bytes.HasPrefix(data, []byte(magic)) {
			if inLog := FromLog(data); len(inLog) > 0 {
				data = inLog
			}
		}
		all = append(all, data)
	}
	found, err := Split(all...)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", strings.Join(paths, ", "), err)
	}
	return found, nil
}

// Split finds the recordings in the bytes of several files.
func Split(files ...[]byte) ([]Recording, error) {
	c := collector{chunks: map[chunkKey]foundChunk{}}
	for _, data := range files {
		if err := c.addFile(data); err != nil {
			return nil, err
		}
	}
	if len(c.order) == 0 {
		return nil, ErrNoRecording
	}
	return c.recordings(), nil
}

// chunkKey names a chunk of a recording.
type chunkKey struct {
	recording uint64
	chunk     uint32
}

// foundChunk is a chunk as files hold it.
type foundChunk struct {
	meta Meta
	data []byte // the longest found
}

// collector collects the chunks of several files.
type collector struct {
	chunks map[chunkKey]foundChunk
	order  []chunkKey // in which they were found
}

// addFile adds the chunks of a file, if there are any.
func (c *collector) addFile(data []byte) error {
	r, err := NewReader(data)
	if err != nil {
		return nil // a file without a recording: Split fails if none has one
	}
	r.allRecordings = true
	var open chunkKey
	from := -1
	for {
		e, ok, err := r.Next()
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		if e.Kind != Begin {
			continue
		}
		if from >= 0 {
			c.addData(open, data[from:e.At])
		}
		open = chunkKey{recording: e.ID, chunk: e.Chunk}
		from = int(e.At)
		c.addChunk(open, e.Meta)
	}
	if from >= 0 {
		c.addData(open, data[from:])
	}
	return nil
}

// addChunk adds a chunk, unless another file had it already.
func (c *collector) addChunk(key chunkKey, meta Meta) {
	if _, known := c.chunks[key]; !known {
		c.chunks[key] = foundChunk{meta: meta}
		c.order = append(c.order, key)
	}
}

// addData takes a chunk's data if no file had more of it.
func (c *collector) addData(key chunkKey, data []byte) {
	if chunk := c.chunks[key]; len(data) > len(chunk.data) {
		chunk.data = data
		c.chunks[key] = chunk
	}
}

// recordings joins the chunks of each recording, in the order of their numbers.
func (c *collector) recordings() []Recording {
	slices.SortStableFunc(c.order, func(a, b chunkKey) int {
		if a.recording != b.recording {
			return 0
		}
		return cmp.Compare(a.chunk, b.chunk)
	})
	var found []Recording
	indexes := map[uint64]int{} // of found, by id
	for _, key := range c.order {
		i, known := indexes[key.recording]
		if !known {
			i = len(found)
			indexes[key.recording] = i
			found = append(found, Recording{ID: key.recording, Meta: c.chunks[key].meta})
		}
		found[i].Chunks++
		found[i].Data = append(found[i].Data, c.chunks[key].data...)
	}
	slices.SortStableFunc(found, func(a, b Recording) int { return a.Meta.Started.Compare(b.Meta.Started) })
	return found
}
