// Package clock provides a timeline that continues across processes and is not affected when the wall clock is set. The
// timeline follows the monotonic clock within a process, the boot clock from one process to the next of the same boot,
// and the wall clock from one boot to the next. A new timeline starts at the wall time. The package reads no clock
// itself: callers pass the readings.
package clock

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
)

// Anchor relates the timeline to the clocks at one moment. A process stores it so that the next one can continue the
// timeline.
type Anchor struct {
	BootID     string
	Uptime     time.Duration // time since boot when the anchor was made
	Stamp      int64         // timeline time when the anchor was made, in nanoseconds
	WallOffset time.Duration // wall time minus timeline time when the anchor was made
	// Epoch counts the boots from 1. From one epoch to the next, the timeline follows the wall clock. It is 0 if no
	// process so far had a boot ID.
	Epoch int64
}

// MinStep is the smallest deviation of the wall clock from the boot clock that counts as setting the wall clock.
// Smaller deviations may be drift, or the time that passes between reading the two clocks.
const MinStep = 10 * time.Millisecond

// Timeline converts between times of one process and stamps, which are times on the timeline in nanoseconds.
type Timeline struct {
	Base      time.Time // when the process began, with a monotonic reading
	BaseStamp int64     // stamp of Base
	Epoch     int64     // number of the boot, as in Anchor; 0 if this process has no boot ID
}

// Stamp converts a time of this process to a stamp.
func (t Timeline) Stamp(at time.Time) int64 { return t.BaseStamp + int64(at.Sub(t.Base)) }

// Time converts a stamp to a time of this process. The result has a monotonic reading, so that time.Since and
// time.Until are correct even if the wall clock is set.
func (t Timeline) Time(stamp int64) time.Time { return t.Base.Add(time.Duration(stamp - t.BaseStamp)) }

// Resume continues the timeline of the anchor last in a process that begins now, or starts a new timeline if last is
// nil. It also returns the anchor to store for the next process.
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
		timeline.BaseStamp = stamp // the wall clock was set: follow the boot clock
	}
	return timeline, Anchor{
		BootID:     now.BootID,
		Uptime:     now.Uptime,
		Stamp:      timeline.BaseStamp,
		WallOffset: time.Duration(wall - timeline.BaseStamp),
		Epoch:      max(timeline.Epoch, last.Epoch),
	}
}
