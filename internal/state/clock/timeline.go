// Package axis is the time of a journal that outlasts processes: an axis that goes on evenly, whatever is done to the
// wall clock. By the monotonic clock while a process runs, by the boot's clock between two processes of a boot, by the
// wall clock from one boot to the next. It began as the wall time. It is pure: what the clocks say is the caller's.
package clock

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
)

// Anchor is what the next process needs to go on with the axis.
type Anchor struct {
	BootID     string
	Uptime     time.Duration // of the boot
	Stamp      int64         // on the axis, then
	WallOffset time.Duration // wall time less axis, when last looked at
	// Epoch counts the boots, from 1: between two of them the axis goes by the wall clock. 0: this machine tells no
	// boot.
	Epoch int64
}

// MinStep is by how much the clocks must part to count as set. Guards against taking the time between the reading of
// the two, or their drift, for a step.
const MinStep = 10 * time.Millisecond

// Timeline is the time in one process, in nanoseconds.
type Timeline struct {
	Base      time.Time // of this process, with its monotonic reading
	BaseStamp int64     // on the axis, then
	Epoch     int64     // as Anchor's; 0 where the machine tells no boot
}

// Stamp is a time of this process on the axis.
func (x Timeline) Stamp(t time.Time) int64 { return x.BaseStamp + int64(t.Sub(x.Base)) }

// Time is what stands on the axis as a time of this process, with its monotonic reading, so that time.Since and
// time.Until tell what has truly passed.
func (x Timeline) Time(ns int64) time.Time { return x.Base.Add(time.Duration(ns - x.BaseStamp)) }

// Resume is the axis of a process that begins at now, and the anchor from then on. Without an anchor the axis begins.
func Resume(a *Anchor, now bootclock.Reading) (Timeline, Anchor) {
	if a == nil {
		a = &Anchor{}
	}
	wall := now.Wall.UnixNano()
	x := Timeline{Base: now.Wall, BaseStamp: wall - int64(a.WallOffset), Epoch: a.Epoch}
	switch {
	case now.BootID == "":
		x.Epoch = 0
	case a.BootID != now.BootID:
		x.Epoch++
	default:
		at := a.Stamp + int64(now.Uptime-a.Uptime)
		if time.Duration(at-x.BaseStamp).Abs() < MinStep {
			return x, *a
		}
		x.BaseStamp = at // the wall clock was set
	}
	return x, Anchor{
		BootID:     now.BootID,
		Uptime:     now.Uptime,
		Stamp:      x.BaseStamp,
		WallOffset: time.Duration(wall - x.BaseStamp),
		Epoch:      max(x.Epoch, a.Epoch),
	}
}
