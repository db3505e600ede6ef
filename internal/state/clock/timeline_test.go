package clock

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/bootclock"
)

// What a process reads of a time that an earlier one wrote is as long ago as it truly is, on one boot; over a new boot,
// and where the machine tells none, as the wall clock has it.
func TestResumeKeepsElapsedTime(t *testing.T) {
	wall := time.Unix(1e9, 0)
	for name, c := range map[string]struct {
		boots  [2]string
		set    time.Duration // the wall clock, between the two
		passed time.Duration // truly, between the two
		ago    time.Duration // as the second takes it
		epochs [2]int64
	}{
		"nothing is set":                  {[2]string{"a", "a"}, 0, 5 * time.Second, 5 * time.Second, [2]int64{1, 1}},
		"set back by an hour":             {[2]string{"a", "a"}, -time.Hour, 5 * time.Second, 5 * time.Second, [2]int64{1, 1}},
		"set forth by an hour":            {[2]string{"a", "a"}, time.Hour, 5 * time.Second, 5 * time.Second, [2]int64{1, 1}},
		"a drift is no step":              {[2]string{"a", "a"}, 3 * time.Millisecond, 5 * time.Second, 5*time.Second + 3*time.Millisecond, [2]int64{1, 1}},
		"a new boot, set back by 2 s":     {[2]string{"a", "b"}, -2 * time.Second, 5 * time.Second, 3 * time.Second, [2]int64{1, 2}},
		"no boot is told, set back by 2s": {[2]string{"", ""}, -2 * time.Second, 5 * time.Second, 3 * time.Second, [2]int64{0, 0}},
	} {
		up := time.Minute
		one, anchor := Resume(nil, bootclock.Reading{Wall: wall, BootID: c.boots[0], Uptime: up})
		stamp := one.Stamp(wall)
		later := wall.Add(c.passed + c.set)
		two, next := Resume(&anchor, bootclock.Reading{Wall: later, BootID: c.boots[1], Uptime: up + c.passed})
		if ago := later.Sub(two.Time(stamp)); ago != c.ago {
			t.Errorf("%s: taken for %v ago, want %v", name, ago, c.ago)
		}
		if got := [2]int64{one.Epoch, two.Epoch}; got != c.epochs {
			t.Errorf("%s: epochs %v, want %v", name, got, c.epochs)
		}
		// A third process goes on evenly from the second, whatever was set before it.
		if three, _ := Resume(&next, bootclock.Reading{Wall: later.Add(time.Second), BootID: c.boots[1], Uptime: up + c.passed + time.Second}); three.BaseStamp-two.BaseStamp != int64(
			time.Second,
		) {
			t.Errorf("%s: a second later the axis is %v on", name, time.Duration(three.BaseStamp-two.BaseStamp))
		}
	}
}
