package flightrecorder

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/base64"
	"fmt"
	"os"
	"slices"
	"strings"
)

// logPrefix begins a line of a log that holds a part of a recording.
const logPrefix = "flight "

// maxLineSize bounds such a line, in bytes.
const maxLineSize = 64 << 10

// Recording is the bytes of one recording, put together from wherever its chunks were found.
type Recording struct {
	ID     uint64
	Chunks int
	Data   []byte
	Meta   Meta // of its first chunk
}

// Load finds the recordings in files: what a sink wrote, a kept ring, or the log of a relay that records into it. Parts
// of one recording that stand in several files are put together; where two hold the same chunk the longer one counts.
// Recordings come in the order of their processes' starts.
func Load(paths ...string) ([]Recording, error) {
	var all [][]byte
	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("flight: %w", err)
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

// FromLog decodes the lines of a log that hold parts of recordings, in their order. A line that cannot be decoded is
// passed over: what it held is told as lost by the Reader.
func FromLog(log []byte) (data []byte) {
	lines := bufio.NewScanner(bytes.NewReader(log))
	lines.Buffer(nil, maxLineSize)
	for lines.Scan() {
		// Whoever collected the log may have put something before the line.
		_, text, ok := bytes.Cut(lines.Bytes(), []byte(logPrefix))
		if !ok {
			continue
		}
		if part, err := base64.StdEncoding.DecodeString(string(bytes.TrimSpace(text))); err == nil {
			data = append(data, part...)
		}
	}
	return data
}

// Split finds the recordings in the bytes of several files.
func Split(all ...[]byte) ([]Recording, error) {
	type key struct {
		id    uint64
		chunk uint32
	}
	chunks := map[key][]byte{}
	metas := map[key]Meta{}
	var order []key
	for _, data := range all {
		r, err := NewReader(data)
		if err != nil {
			continue
		}
		r.allRecordings = true
		var open key
		from := -1
		end := func(to int) {
			if from >= 0 && to-from > len(chunks[open]) {
				chunks[open] = data[from:to]
			}
		}
		for {
			e, ok, err := r.Next()
			if err != nil {
				return nil, err
			}
			if !ok {
				break
			}
			if e.Kind != Begin {
				continue
			}
			end(int(e.At))
			open, from = key{e.ID, e.Chunk}, int(e.At)
			if _, known := chunks[open]; !known {
				chunks[open], metas[open] = nil, e.Meta
				order = append(order, open)
			}
		}
		end(len(data))
	}
	if len(order) == 0 {
		return nil, ErrNoRecording
	}
	slices.SortStableFunc(order, func(a, b key) int {
		if a.id != b.id {
			return 0
		}
		return cmp.Compare(a.chunk, b.chunk)
	})
	var found []Recording
	at := map[uint64]int{}
	for _, k := range order {
		i, known := at[k.id]
		if !known {
			i = len(found)
			at[k.id] = i
			found = append(found, Recording{ID: k.id, Meta: metas[k]})
		}
		found[i].Chunks++
		found[i].Data = append(found[i].Data, chunks[k]...)
	}
	slices.SortStableFunc(found, func(a, b Recording) int { return a.Meta.Started.Compare(b.Meta.Started) })
	return found, nil
}
