package bootclock

import (
	"testing"
	"time"
)

// Both clocks advance together, and the boot ID stays the same.
func TestNow(t *testing.T) {
	first := Now()
	if first.BootID == "" {
		t.Skip("this machine has no boot ID")
	}
	second := Now()
	for second.Uptime == first.Uptime {
		second = Now()
	}
	if second.BootID != first.BootID || second.Uptime <= first.Uptime {
		t.Errorf("%+v, then %+v", first, second)
	}
	if d := second.Wall.Sub(first.Wall) - (second.Uptime - first.Uptime); d.Abs() > time.Second {
		t.Errorf("the clocks differ by %v", d)
	}
}
