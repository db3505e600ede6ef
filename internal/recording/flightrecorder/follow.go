package flightrecorder

import (
	"bytes"
	"context"
	"log/slog"
	"time"
)

// followInterval is the shortest time between two reads of a recording by a sink. A sink writes what was recorded in
// between in one go.
const followInterval = 100 * time.Millisecond

// position is the point up to which a sink has read a recording.
type position struct {
	chunk  uint32 // number of the chunk
	offset int    // in the chunk, in bytes
}

// piece is a part of a chunk that a sink has not written yet.
type piece struct {
	chunk  uint32
	offset int // of data in the chunk; 0: the chunk begins here
	data   []byte
}

// followChunks passes the pieces of a recording to write as they are recorded. When ctx ends, it passes the remaining
// pieces and returns.
func followChunks(ctx context.Context, r *Recorder, write func(piece) error) error {
	appended := r.startFollowing()
	var at position
	for ending := false; ; {
		pieces, next, lost := r.readFrom(at)
		at = next
		if lost > 0 {
			slog.Warn("flight recorder: chunks were dropped from the ring before they were written out", "chunks", lost)
		}
		for _, p := range pieces {
			if err := write(p); err != nil {
				return err
			}
		}
		if ending {
			return nil
		}
		ending = !waitForMore(ctx, appended)
	}
}

// waitForMore waits for followInterval, and then until something was appended to the recording. It returns false as
// soon as ctx ends.
func waitForMore(ctx context.Context, appended <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(followInterval):
	}
	select {
	case <-ctx.Done():
		return false
	case <-appended:
		return true
	}
}

// readFrom copies what was recorded after a position, and returns the position after the copied data. lost counts the
// chunks that were dropped from the ring before they were read to their ends. It also counts the chunk at from if that
// chunk was dropped after it had been read completely: the position does not show that the chunk was complete.
func (r *Recorder) readFrom(from position) (pieces []piece, to position, lost int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	to = from
	follow := func(c chunk) {
		if c.number < to.chunk {
			return
		}
		if c.number > to.chunk {
			lost += int(c.number - to.chunk)
			to = position{chunk: c.number}
		}
		if to.offset < len(c.data) {
			pieces = append(pieces, piece{chunk: c.number, offset: to.offset, data: bytes.Clone(c.data[to.offset:])})
		}
		to.offset = len(c.data)
	}
	for _, c := range r.closedChunks {
		follow(c)
		if c.number == to.chunk {
			to = position{chunk: c.number + 1}
		}
	}
	follow(chunk{number: r.enc.chunk, data: r.enc.buf})
	return pieces, to, lost
}

// startFollowing returns a channel that receives a value after something was appended to the recording.
func (r *Recorder) startFollowing() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followed = true
	return r.appended
}
