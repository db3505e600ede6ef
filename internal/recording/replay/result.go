package replay

import (
	"fmt"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Difference is the first difference of a replay from its recording. Its field names are keys of the JSON output of the
// explain command.
type Difference struct {
	Step     int           // number of the step, from 1
	Offset   int64         // of the entry in the recording, in bytes
	Now      time.Duration // engine time
	What     string        // what differs, for example "action 1 of 2" or "state"
	Recorded string        // the action or other recorded value; empty: none
	Replayed string        // the action or other value of the replay; empty: none
}

// String describes the difference in one line.
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

// Result describes what was replayed, and the first difference.
type Result struct {
	Meta       flightrecorder.Meta // of the recording's first chunk
	Revision   string              // of the engine in this build
	Chunks     int
	Segments   int // parts of the recording that were each replayed without a gap
	Steps      int
	Events     int
	Actions    int
	SendChecks int
	States     int           // snapshots of the engine that were compared at the start of a chunk
	FleetSteps int           // steps of the fleet agent
	From       time.Duration // engine time at the start of the first chunk
	To         time.Duration // engine time of the last replayed step
	Lost       []string      // parts that could not be read or replayed; at most maxLost
	Difference *Difference   // nil: none
}

// SameRevision reports whether the recording was made by the engine's revision in this build.
func (r *Result) SameRevision() bool { return r.Meta.Revision == r.Revision }

// firstDifference returns the index of the first action that differs, or -1. A missing action counts as a difference.
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

// describeAt describes the action at an index. It returns "" if there is none.
func describeAt(actions []policy.Action, i int) string {
	if i >= len(actions) {
		return ""
	}
	return Describe(actions[i])
}

// Describe describes an action in a few words.
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
