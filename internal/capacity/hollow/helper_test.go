package hollow

import (
	"testing"
	"testing/synctest"
	"time"
)

// checkRange fails if a value is out of its bounds, or was not measured.
func checkRange(t *testing.T, m Measurement, metric Metric, minimum, maximum float64) {
	t.Helper()
	if value, ok := m.Values[metric]; !ok || !(value >= minimum && value <= maximum) {
		t.Errorf("%d: %s is %g, want %g to %g", m.Size, metric, value, minimum, maximum)
	}
}

// inBubble runs test in virtual time. Probes and calls that memberlist leaves behind end after it: time would stand
// still once test is over.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		test(t)
	})
}

// startFleet starts a fleet. It is stopped within the bubble, before the wait at the end.
func startFleet(t *testing.T, options Options) (f *Fleet, stop func()) {
	t.Helper()
	f, err := Start(options)
	if err != nil {
		t.Fatal(err)
	}
	return f, func() {
		if err := f.Close(); err != nil {
			t.Error(err)
		}
	}
}
