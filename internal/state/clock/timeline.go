// Package clock provides a timeline that continues over processes and is not affected when the wall clock is set. It
// follows the monotonic clock within a process, the boot clock between two processes of one boot, and the wall clock
// between two boots. It began as the wall time. The package reads no clock itself: callers pass the readings.
package clock

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
)

// Anchor is what a process stores so that the next one can continue the timeline.
type Anchor struct {
	BootID     string
	Uptime     time.Duration // of the machine, when the anchor was made
	Stamp      int64         // on the timeline, at that time
	WallOffset time.Duration // wall time minus timeline, when the anchor was made
	// Epoch counts the boots from 1. Between two epochs the timeline follows the wall clock. It is 0 if the machine has
	// no boot ID.
	Epoch int64
}

// MinStep is the least difference between the clocks that counts as setting the wall clock. It guards against taking
// their drift, or the time between reading one and the other, for a step.
const MinStep = 10 * time.Millisecond

// Timeline maps times of one process to nanoseconds on the timeline.
type Timeline struct {
	Base      time.Time // when the process began, with its monotonic reading
	BaseStamp int64     // on the timeline, at that time
	Epoch     int64     // as in Anchor; 0 if the machine has no boot ID
}

// Stamp returns a time of this process on the timeline.
func (t Timeline) Stamp(at time.Time) int64 { return t.BaseStamp + int64(at.Sub(t.Base)) }

// Time returns a stamp as a time of this process. It has a monotonic reading, so that time.Since and time.Until measure
// what has truly passed.
func (t Timeline) Time(stamp int64) time.Time { return t.Base.Add(time.Duration(stamp - t.BaseStamp)) }

// Resume returns the timeline of a process that begins now, and the anchor to store for the next one. The timeline
// begins if last is nil.
func Resume(last *Anchor, now bootclock.Reading) (Timeline, Anchor) {
	if last == nil {
		last = &Anchor{}
	}
	wall := now.Wall.UnixNano()
	timeline := Timeline{Base: now.Wall, BaseStamp: wall - int64(last.WallOffset), Epoch: last.Epoch}
	switch {
	case now.BootID == "":
		timeline.Epoch = 0
	case last.BootID != now.BootID:
		timeline.Epoch++
	default:
		stamp := last.Stamp + int64(now.Uptime-last.Uptime)
		if time.Duration(stamp-timeline.BaseStamp).Abs() < MinStep {
			return timeline, *last
		}
		timeline.BaseStamp = stamp // the wall clock was set
	}
	return timeline, Anchor{
		BootID:     now.BootID,
		Uptime:     now.Uptime,
		Stamp:      timeline.BaseStamp,
		WallOffset: time.Duration(wall - timeline.BaseStamp),
		Epoch:      max(timeline.Epoch, last.Epoch),
	}
}
