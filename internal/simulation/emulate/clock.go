package emulate

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/clock"
)

// longAgoRan is what a relay tells its module of an attempt whose time it cannot know: past every window in which
// repeats are dropped.
const unknownAttemptAge = 24 * time.Hour

// clocks are those of a relay's machine, and the time that its journal goes by, as package journal has it. What a relay
// reads from its journal is timed by them and not by the world's clock.
type machineClocks struct {
	stepped          time.Duration // by which the wall clock has been set
	boots            int
	bootedAt         time.Duration
	processStartedAt time.Duration  // the process
	anchor           *clock.Anchor  // in the journal
	timeline         clock.Timeline // of the process
}

// read reads them at a time of the world.
func (c *machineClocks) read(now time.Duration, trustsWall bool) bootclock.Reading {
	r := bootclock.Reading{
		Wall:   time.Unix(1e9, 0).Add(now + c.stepped),
		BootID: fmt.Sprint(c.boots),
		Uptime: now - c.bootedAt,
	}
	if trustsWall {
		r.Uptime += c.stepped
	}
	return r
}

// start goes on with the axis in a new process.
func (c *machineClocks) start(now time.Duration, trustsWall bool) {
	x, a := clock.Resume(c.anchor, c.read(now, trustsWall))
	c.timeline, c.anchor, c.processStartedAt = x, &a, now
}

// end is what a process that ends in order leaves: by how much the clocks have parted.
func (c *machineClocks) end(now time.Duration, trustsWall bool) {
	if _, a := clock.Resume(c.anchor, c.read(now, trustsWall)); a.WallOffset != c.anchor.WallOffset {
		c.anchor = &a
	}
}

// stamp is a time of the process on the axis.
func (c *machineClocks) stamp(at time.Duration) int64 {
	return c.timeline.Stamp(c.timeline.Base.Add(at - c.processStartedAt))
}

// time is what stands on the axis, as the process takes it.
func (c *machineClocks) time(stamp int64) time.Duration {
	return c.processStartedAt + c.timeline.Time(stamp).Sub(c.timeline.Base)
}

// ago is how long ago an attempt began, as far as the process can tell.
func (c *machineClocks) timeSince(a attemptRecord, now time.Duration) time.Duration {
	ago := now - c.time(a.startedAt)
	if a.epoch != c.timeline.Epoch || ago < 0 {
		return unknownAttemptAge
	}
	return ago
}
