// Package axis is the time of a journal that outlasts processes: an axis that goes on evenly, whatever is done to the wall clock. By the monotonic
// clock while a process runs, by the boot's clock between two processes of a boot, by the wall clock from one boot to the next. It began as
// the wall time. It is pure: what the clocks say is the caller's.
package clock

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
)

// Anchor is what the next process needs to go on with the axis.
type Anchor struct {
	Boot string
	Up   time.Duration // of the boot
	At   int64         // on the axis, then
	Step time.Duration // wall time less axis, when last looked at
	// Epoch counts the boots, from 1: between two of them the axis goes by the wall clock. 0: this machine tells no boot.
	Epoch int64
}

// StepLeast is by how much the clocks must part to count as set. Guards against taking the time between the reading of the two,
// or their drift, for a step.
const StepLeast = 10 * time.Millisecond

// Axis is the time in one process, in nanoseconds.
type Axis struct {
	Base  time.Time // of this process, with its monotonic reading
	At    int64     // on the axis, then
	Epoch int64     // as Anchor's; 0 where the machine tells no boot
}

// Of is a time of this process on the axis.
func (x Axis) Of(t time.Time) int64 { return x.At + int64(t.Sub(x.Base)) }

// Time is what stands on the axis as a time of this process, with its monotonic reading, so that time.Since and time.Until tell what has
// truly passed.
func (x Axis) Time(ns int64) time.Time { return x.Base.Add(time.Duration(ns - x.At)) }

// GoOn is the axis of a process that begins at now, and the anchor from then on. Without an anchor the axis begins.
func GoOn(a *Anchor, now bootclock.Reading) (Axis, Anchor) {
	if a == nil {
		a = &Anchor{}
	}
	wall := now.Wall.UnixNano()
	x := Axis{Base: now.Wall, At: wall - int64(a.Step), Epoch: a.Epoch}
	switch {
	case now.Boot == "":
		x.Epoch = 0
	case a.Boot != now.Boot:
		x.Epoch++
	default:
		at := a.At + int64(now.Up-a.Up)
		if time.Duration(at-x.At).Abs() < StepLeast {
			return x, *a
		}
		x.At = at // the wall clock was set
	}
	return x, Anchor{Boot: now.Boot, Up: now.Up, At: x.At, Step: time.Duration(wall - x.At), Epoch: max(x.Epoch, a.Epoch)}
}
