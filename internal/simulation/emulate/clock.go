package emulate

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/clock"
)

const (
	// unknownAttemptAge is the age of an attempt whose start cannot be dated: beyond every deduplication window.
	unknownAttemptAge = 24 * time.Hour
	// wallClockStart is what machines' wall clocks show at the start, in Unix seconds.
	wallClockStart = 1e9
)

// machineClocks are the clocks of a relay's machine, and the timeline that the relay derives from them for its journal.
// A relay dates what it reads from its journal by this timeline, and not by the time of the world.
type machineClocks struct {
	stepped  time.Duration // by which the wall clock was stepped in all
	boots    int
	bootedAt time.Duration

	anchor           *clock.Anchor // in the journal
	timeline         clock.Timeline
	processStartedAt time.Duration
}

// read reads the clocks at a time of the world. A relay that trusts the wall clock takes its steps for time passing.
func (c *machineClocks) read(now time.Duration, trustsWallClock bool) bootclock.Reading {
	reading := bootclock.Reading{
		Wall:   time.Unix(wallClockStart, 0).Add(now + c.stepped),
		BootID: fmt.Sprint(c.boots),
		Uptime: now - c.bootedAt,
	}
	if trustsWallClock {
		reading.Uptime += c.stepped
	}
	return reading
}

// reboot restarts the machine.
func (c *machineClocks) reboot(now time.Duration) {
	c.boots++
	c.bootedAt = now
}

// start resumes the timeline in a new process.
func (c *machineClocks) start(now time.Duration, trustsWallClock bool) {
	timeline, anchor := clock.Resume(c.anchor, c.read(now, trustsWallClock))
	c.timeline, c.anchor, c.processStartedAt = timeline, &anchor, now
}

// end saves by how much the clocks have diverged, as a process does that shuts down gracefully.
func (c *machineClocks) end(now time.Duration, trustsWallClock bool) {
	if _, anchor := clock.Resume(c.anchor, c.read(now, trustsWallClock)); anchor.WallOffset != c.anchor.WallOffset {
		c.anchor = &anchor
	}
}

// stamp translates a time of the world to the timeline.
func (c *machineClocks) stamp(at time.Duration) int64 {
	return c.timeline.Stamp(c.timeline.Base.Add(at - c.processStartedAt))
}

// time translates a stamp of the timeline to the time of the world, as far as the process can know it.
func (c *machineClocks) time(stamp int64) time.Duration {
	return c.processStartedAt + c.timeline.Time(stamp).Sub(c.timeline.Base)
}

// age returns how long ago an attempt started, as far as the process can know it.
func (c *machineClocks) age(a attemptRecord, now time.Duration) time.Duration {
	age := now - c.time(a.startedAt)
	if a.epoch != c.timeline.Epoch || age < 0 {
		return unknownAttemptAge
	}
	return age
}
