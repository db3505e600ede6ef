package hollow

import (
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

var (
	full     = flag.Bool("full", false, "measure at all sizes that fit a machine, for half an hour and up to 2 GB")
	sizes    = flag.String("sizes", "", "with -full: a JSON array of the sizes instead of the usual ones")
	readings = flag.String("readings", "", "file that readings are added to, one JSON object a line")
)

// record logs a measurement, and appends it to the file of -readings.
func record(t *testing.T, name string, m Measurement) {
	t.Helper()
	text := fmt.Sprintf("%s, %d:", name, m.Size)
	for _, metric := range slices.Sorted(maps.Keys(m.Values)) {
		text += fmt.Sprintf(" %s %.4g", metric, m.Values[metric])
	}
	t.Log(text)
	if *readings == "" {
		return
	}
	line, err := json.Marshal(Record{name, m})
	if err != nil {
		t.Fatal(err)
	}
	file, err := os.OpenFile(*readings, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if _, err := file.Write(append(line, '\n')); err != nil {
		t.Fatal(err)
	}
}

// sizesToMeasure returns the short sizes, or with -full the long ones.
func sizesToMeasure(t *testing.T, short []int, long ...int) []int {
	t.Helper()
	if !*full {
		return short
	}
	if *sizes != "" {
		var chosen []int
		if err := json.Unmarshal([]byte(*sizes), &chosen); err != nil {
			t.Fatal(err)
		}
		return chosen
	}
	return long
}

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
