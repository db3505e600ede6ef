package emulate

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
	"cherrytrestle.example/cherrytrestle/internal/state/clock"
)

const (
	// unknownAttemptAge is the age of an attempt whose start time is unknown. It exceeds every deduplication window.
	unknownAttemptAge = 24 * time.Hour
	// wallClockStart is the time that all machines' wall clocks show when a run begins, in Unix seconds.
	wallClockStart = 1e9
)

// machineClocks holds the clocks of a relay's machine, and the timeline that the relay derives from them for its
// journal. A relay dates the entries that it reads from its journal by this timeline, not by the time of the world.
type machineClocks struct {
	stepped  time.Duration // sum of all steps of the wall clock
	boots    int           // reboots so far
	bootedAt time.Duration

	anchor           *clock.Anchor // stored in the journal; nil: none yet
	timeline         clock.Timeline
	processStartedAt time.Duration
}

// read reads the clocks at a time of the world. For a relay that trusts the wall clock, the uptime includes the wall
// clock's steps, so that the relay counts a step as elapsed time.
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

// start resumes the timeline in a new process from the stored anchor, if there is one, and stores the new anchor.
func (c *machineClocks) start(now time.Duration, trustsWallClock bool) {
	timeline, anchor := clock.Resume(c.anchor, c.read(now, trustsWallClock))
	c.timeline, c.anchor, c.processStartedAt = timeline, &anchor, now
}

// end is called when a process exits gracefully. It stores a new anchor if the wall clock was stepped while the process
// ran.
func (c *machineClocks) end(now time.Duration, trustsWallClock bool) {
	if _, anchor := clock.Resume(c.anchor, c.read(now, trustsWallClock)); anchor.WallOffset != c.anchor.WallOffset {
		c.anchor = &anchor
	}
}

// stamp translates a time of the world to the timeline.
func (c *machineClocks) stamp(at time.Duration) int64 {
	return c.timeline.Stamp(c.timeline.Base.Add(at - c.processStartedAt))
}

// time translates a stamp of the timeline to the time of the world, as the process estimates it.
func (c *machineClocks) time(stamp int64) time.Duration {
	return c.processStartedAt + c.timeline.Time(stamp).Sub(c.timeline.Base)
}

// age returns how long ago an attempt started, as the process estimates it. The age is unknownAttemptAge if the machine
// has rebooted since, or if the attempt seems to start in the future.
func (c *machineClocks) age(a attemptRecord, now time.Duration) time.Duration {
	age := now - c.time(a.startedAt)
	if a.epoch != c.timeline.Epoch || age < 0 {
		return unknownAttemptAge
	}
	return age
}
