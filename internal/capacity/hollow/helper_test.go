package hollow

import (
	"testing"
	"testing/synctest"
	"time"
)

// checkRange fails the test if the value of a metric is missing or not within minimum and maximum.
func checkRange(t *testing.T, m Measurement, metric Metric, minimum, maximum float64) {
	t.Helper()
	if value, ok := m.Values[metric]; !ok || !(value >= minimum && value <= maximum) {
		t.Errorf("size %d: %s is %g, want %g to %g", m.Size, metric, value, minimum, maximum)
	}
}

// inBubble runs test in virtual time and then waits for a minute, in which the probes and calls that memberlist leaves
// running after its shutdown end. Without the wait they would never end, since virtual time stops when the function of
// the bubble returns.
func inBubble(t *testing.T, test func(t *testing.T)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(time.Minute)
		test(t)
	})
}

// startFleet starts a fleet. The test must call stop before it returns, so that the fleet stops before the wait at the
// end of inBubble.
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
