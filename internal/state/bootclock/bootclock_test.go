package bootclock

import (
	"testing"
	"time"
)

// Both clocks go on together; the boot stays the same.
func TestNow(t *testing.T) {
	a := Now()
	if a.BootID == "" {
		t.Skip("this machine tells no boot")
	}
	for a.Uptime == Now().Uptime {
	}
	b := Now()
	if b.BootID != a.BootID || b.Uptime <= a.Uptime {
		t.Errorf("%+v, then %+v", a, b)
	}
	if d := b.Wall.Sub(a.Wall) - (b.Uptime - a.Uptime); d.Abs() > time.Second {
		t.Errorf("the clocks part by %v", d)
	}
}
