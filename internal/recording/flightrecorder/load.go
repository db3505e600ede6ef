package flightrecorder

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
)

// Recording holds the chunks of one recording, joined from one or more files.
type Recording struct {
	ID     uint64
	Chunks int // number of chunks in Data
	Data   []byte
	Meta   Meta // of the first chunk
}

// Load reads all recordings in files. A file may be a recording written by a sink, a dump of a ring, or a log that
// holds recordings. Parts of one recording in several files are joined. Of several copies of a chunk, the longest is
// used. Recordings are sorted by the start times of their processes.
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

// Split finds the recordings in the contents of files and joins their parts as Load does.
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

// chunkKey identifies a chunk of a recording.
type chunkKey struct {
	recording uint64 // id of the recording
	chunk     uint32 // number of the chunk
}

// foundChunk is a chunk that was found in one or more files.
type foundChunk struct {
	meta Meta
	data []byte // the longest copy found
}

// collector collects the chunks of several files.
type collector struct {
	chunks map[chunkKey]foundChunk
	order  []chunkKey // keys of chunks, in the order in which the chunks were found
}

// addFile adds the chunks in the contents of a file, if there are any.
func (c *collector) addFile(data []byte) error {
	r, err := NewReader(data)
	if err != nil {
		return nil // no recording in this file: Split fails if no file holds one
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

// addChunk adds a chunk without its data, unless the chunk was found before.
func (c *collector) addChunk(key chunkKey, meta Meta) {
	if _, known := c.chunks[key]; !known {
		c.chunks[key] = foundChunk{meta: meta}
		c.order = append(c.order, key)
	}
}

// addData sets a chunk's data, unless a copy of the chunk that was found before is at least as long.
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
	indexes := map[uint64]int{} // indexes in found, by recording id
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
