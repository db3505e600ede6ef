package clock

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
)

// resumeCase describes two consecutive processes.
type resumeCase struct {
	bootIDs    [2]string     // of the two processes
	wallStep   time.Duration // by which the wall clock is set between the processes
	elapsed    time.Duration // true time from the start of the first process to that of the second
	wantAge    time.Duration // age in the second process of a time that the first process stored
	wantEpochs [2]int64      // of the two processes
}

// Within one boot, a time that an earlier process stored has its true age, even if the wall clock was set. After a
// reboot, and on a machine without boot IDs, its age follows from the wall clock.
func TestResumeKeepsElapsedTime(t *testing.T) {
	const elapsed = 5 * time.Second
	for name, c := range map[string]resumeCase{
		"the clock is not set": {
			bootIDs:    [2]string{"a", "a"},
			elapsed:    elapsed,
			wantAge:    elapsed,
			wantEpochs: [2]int64{1, 1},
		},
		"set back by an hour": {
			bootIDs:    [2]string{"a", "a"},
			wallStep:   -time.Hour,
			elapsed:    elapsed,
			wantAge:    elapsed,
			wantEpochs: [2]int64{1, 1},
		},
		"set forward by an hour": {
			bootIDs:    [2]string{"a", "a"},
			wallStep:   time.Hour,
			elapsed:    elapsed,
			wantAge:    elapsed,
			wantEpochs: [2]int64{1, 1},
		},
		"drift below MinStep": {
			bootIDs:    [2]string{"a", "a"},
			wallStep:   3 * time.Millisecond,
			elapsed:    elapsed,
			wantAge:    elapsed + 3*time.Millisecond,
			wantEpochs: [2]int64{1, 1},
		},
		"rebooted, set back by 2 s": {
			bootIDs:    [2]string{"a", "b"},
			wallStep:   -2 * time.Second,
			elapsed:    elapsed,
			wantAge:    elapsed - 2*time.Second,
			wantEpochs: [2]int64{1, 2},
		},
		"no boot ID, set back by 2 s": {
			bootIDs:    [2]string{"", ""},
			wallStep:   -2 * time.Second,
			elapsed:    elapsed,
			wantAge:    elapsed - 2*time.Second,
			wantEpochs: [2]int64{0, 0},
		},
	} {
		t.Run(name, func(t *testing.T) { checkResume(t, c) })
	}
}

func checkResume(t *testing.T, c resumeCase) {
	t.Helper()
	wall := time.Unix(1e9, 0)
	uptime := time.Minute
	first, anchor := Resume(nil, bootclock.Reading{Wall: wall, BootID: c.bootIDs[0], Uptime: uptime})
	stamp := first.Stamp(wall)

	wall = wall.Add(c.elapsed + c.wallStep)
	uptime += c.elapsed
	second, anchor := Resume(&anchor, bootclock.Reading{Wall: wall, BootID: c.bootIDs[1], Uptime: uptime})
	if age := wall.Sub(second.Time(stamp)); age != c.wantAge {
		t.Errorf("the stored time is %v ago, want %v", age, c.wantAge)
	}
	if got := [2]int64{first.Epoch, second.Epoch}; got != c.wantEpochs {
		t.Errorf("epochs %v, want %v", got, c.wantEpochs)
	}

	// From the second process to a third one, the timeline advances by the true time, even if the wall clock was set
	// before.
	wall = wall.Add(time.Second)
	uptime += time.Second
	third, _ := Resume(&anchor, bootclock.Reading{Wall: wall, BootID: c.bootIDs[1], Uptime: uptime})
	if passed := third.BaseStamp - second.BaseStamp; passed != int64(time.Second) {
		t.Errorf("the timeline has advanced by %v after a second", time.Duration(passed))
	}
}
