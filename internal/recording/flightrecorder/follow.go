package flightrecorder

import (
	"bytes"
	"context"
	"log/slog"
	"time"
)

// followInterval is the shortest time between two looks of a sink at a recording: it collects what comes meanwhile.
const followInterval = 100 * time.Millisecond

// position is how far a sink has followed a recording.
type position struct {
	chunk  uint32
	offset int
}

// piece is a part of a chunk that a sink has not got yet.
type piece struct {
	chunk  uint32
	offset int // 0: the chunk begins here
	data   []byte
}

// followChunks passes a recording's pieces to write until ctx ends, and then what is left of it.
func followChunks(ctx context.Context, r *Recorder, write func(piece) error) error {
	appended := r.startFollowing()
	var at position
	for ending := false; ; {
		pieces, next, lost := r.readFrom(at)
		at = next
		if lost > 0 {
			slog.Warn("recorder: the ring was overwritten before it was written out", "chunks", lost)
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

// waitForMore waits for followInterval, and then until there is something new. It returns false when ctx ends.
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

// readFrom copies what came after a position, and returns the position behind it. lost counts the chunks that left the
// ring before they were followed to their ends; at most one of them had been followed to its end.
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

// startFollowing returns a channel that receives a value when there is something new.
func (r *Recorder) startFollowing() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.followed = true
	return r.appended
}
