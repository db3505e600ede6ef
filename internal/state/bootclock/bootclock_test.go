package bootclock

import (
	"testing"
	"time"
)

// Both clocks go on together; the boot stays the same.
func TestNow(t *testing.T) {
	a := Now()
	if a.Boot == "" {
		t.Skip("this machine tells no boot")
	}
	for a.Up == Now().Up {
	}
	b := Now()
	if b.Boot != a.Boot || b.Up <= a.Up {
		t.Errorf("%+v, then %+v", a, b)
	}
	if d := b.Wall.Sub(a.Wall) - (b.Up - a.Up); d.Abs() > time.Second {
		t.Errorf("the clocks part by %v", d)
	}
}
