package replay

import (
	"fmt"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Difference is the first difference of a replay from its recording. Its fields' names are keys of a command's JSON
// output.
type Difference struct {
	Step     int           // number of the step, from 1
	Offset   int64         // in the recording
	Now      time.Duration // the engine's time
	What     string
	Recorded string // the first action that differs; empty: none
	Replayed string
}

// String returns the difference in one line.
func (d *Difference) String() string {
	return fmt.Sprintf("step %d at %v (offset %d): %s: recorded %s, replayed %s", d.Step, d.Now, d.Offset, d.What,
		orNone(d.Recorded), orNone(d.Replayed))
}

func orNone(action string) string {
	if action == "" {
		return "none"
	}
	return action
}

// Result counts what was replayed, and has the first difference.
type Result struct {
	Meta       flightrecorder.Meta // of the recording's first chunk
	Revision   string              // of the engine that replayed
	Chunks     int
	Segments   int // parts of the recording that were each replayed without a gap
	Steps      int
	Events     int
	Actions    int
	SendChecks int
	States     int // snapshots of the engine that were compared at the start of a chunk
	FleetSteps int // steps of the fleet's agent
	From       time.Duration
	To         time.Duration
	Lost       []string    // what could not be read or replayed, at most maxLost
	Difference *Difference // nil: none
}

// SameRevision reports whether the recording was made by the engine's revision in this build.
func (r *Result) SameRevision() bool { return r.Meta.Revision == r.Revision }

// firstDifference returns the index of the first action that differs, or -1. Missing actions differ.
func firstDifference(a, b []policy.Action) int {
	if slices.Equal(a, b) {
		return -1
	}
	for i := range min(len(a), len(b)) {
		if a[i] != b[i] {
			return i
		}
	}
	return min(len(a), len(b))
}

// describeAt returns the text of the action with an index, or "" if there is none.
func describeAt(actions []policy.Action, i int) string {
	if i >= len(actions) {
		return ""
	}
	return Describe(actions[i])
}

// Describe returns an action as text.
func Describe(a policy.Action) string {
	switch a.Kind {
	case policy.Send:
		return fmt.Sprintf("send %d to %s until %v", a.MessageID, a.Endpoint, a.TimeoutAt)
	case policy.Reject:
		return fmt.Sprintf("reject %d, retry after %v", a.MessageID, a.Delay)
	case policy.Fail:
		return fmt.Sprintf("fail %d", a.MessageID)
	case policy.SetTimer:
		return fmt.Sprintf("set timer to %v", a.Delay)
	case policy.CloseIdle:
		return "close idle " + a.Endpoint
	case policy.WatchEndpoints:
		return "watch"
	}
	return fmt.Sprintf("action %d", a.Kind)
}
