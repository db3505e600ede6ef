package flightrecorder

import (
	"context"
	"log/slog"
	"time"
)

// followInterval is the shortest time between two looks of a sink at a recording: it collects what comes meanwhile.
const followInterval = 100 * time.Millisecond

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
