package bootclock

import (
	"testing"
	"time"
)

// Between two readings, both clocks advance by about the same time, and the boot ID stays the same.
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
		t.Errorf("first reading %+v, second reading %+v", first, second)
	}
	if d := second.Wall.Sub(first.Wall) - (second.Uptime - first.Uptime); d.Abs() > time.Second {
		t.Errorf("the wall clock advanced by %v more than the boot clock", d)
	}
}
