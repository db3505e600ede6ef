package journal

import (
	"time"

	"onyxroad.dev/onyxroad/internal/bootclock"
)

// Times in the store are on an axis of the journal's own, in nanoseconds. It goes on evenly, whatever is done to the wall clock:
// by the monotonic clock while a process runs, by the boot's clock between two processes of a boot, by the wall clock from one
// boot to the next. What is read back is a time of this process with its monotonic reading, so that time.Since and time.Until
// tell what has truly passed. It began as the wall time; step is how far the wall clock has been set since.

// anchor is what the next process needs to go on with the axis.
type anchor struct {
	Boot string
	Up   time.Duration // of the boot
	At   int64         // on the axis, then
	Step time.Duration // wall time less axis, when last looked at
	// Epoch counts the boots, from 1: between two of them the axis goes by the wall clock. 0: this machine tells no boot.
	Epoch int64
}

// stepLeast is by how much the clocks must part to count as set. Guards against taking the time between the reading of the two,
// or their drift, for a step.
const stepLeast = 10 * time.Millisecond

// axis is the journal's time in one process.
type axis struct {
	base  time.Time // of this process
	at    int64     // on the axis, then
	epoch int64
}

func (x axis) of(t time.Time) int64    { return x.at + int64(t.Sub(x.base)) }
func (x axis) time(ns int64) time.Time { return x.base.Add(time.Duration(ns - x.at)) }

// goOn is the axis of a process that begins at now, and the anchor from then on. Without an anchor the axis begins.
func goOn(a *anchor, now bootclock.Reading) (axis, anchor) {
	if a == nil {
		a = &anchor{}
	}
	wall := now.Wall.UnixNano()
	x := axis{base: now.Wall, at: wall - int64(a.Step), epoch: a.Epoch}
	switch {
	case now.Boot == "":
		x.epoch = 0
	case a.Boot != now.Boot:
		x.epoch++
	default:
		at := a.At + int64(now.Up-a.Up)
		if time.Duration(at-x.at).Abs() < stepLeast {
			return x, *a
		}
		x.at = at // the wall clock was set
	}
	return x, anchor{Boot: now.Boot, Up: now.Up, At: x.at, Step: time.Duration(wall - x.at), Epoch: max(x.epoch, a.Epoch)}
}

// encode writes an anchor.
func (a *anchor) encode(b []byte) []byte {
	b = appendInt(appendText(append(b, anchorVersion), a.Boot), int64(a.Up))
	return appendInt(appendInt(appendInt(b, a.At), int64(a.Step)), a.Epoch)
}

// decodeAnchor reads an anchor; nil if the value is none of this form.
func decodeAnchor(value []byte) *anchor {
	r := &reader{data: value[1:]}
	a := &anchor{Boot: r.text(), Up: time.Duration(r.int()), At: r.int(), Step: time.Duration(r.int()), Epoch: r.int()}
	if r.bad || len(r.data) > 0 {
		return nil
	}
	return a
}
