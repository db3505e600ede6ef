package chart

import (
	"math"
	"strings"
	"testing"
	"time"
)

func TestNewTimeline(t *testing.T) {
	for name, test := range map[string]struct {
		length, bin time.Duration
		bins        int
	}{
		"no length":        {0, time.Second, 1},
		"last bin partial": {1500 * time.Millisecond, time.Second, 2},
		"most bins of 1 s": {maxBins * time.Second, time.Second, maxBins},
		"longer bins":      {400 * time.Second, 2 * time.Second, 200},
	} {
		t.Run(name, func(t *testing.T) {
			axis := NewTimeline(test.length)
			if axis.Bin != test.bin || axis.Bins != test.bins {
				t.Errorf("%d bins of %v, want %d of %v", axis.Bins, axis.Bin, test.bins, test.bin)
			}
			if first, last := axis.BinAt(-time.Second), axis.BinAt(time.Hour); first != 0 || last != test.bins-1 {
				t.Errorf("times before and after the axis are in bins %d and %d of %d", first, last, test.bins)
			}
		})
	}
}

func TestPlotsEscapeText(t *testing.T) {
	const text = `<script>"&`
	axis := NewTimeline(3 * time.Second)
	axis.Shades = []Shade{{Name: text, To: time.Second}}
	axis.Marks = []Mark{{Text: text}}
	plot := Plot{Title: text, Unit: text, Height: 120, Series: []Series{{Name: text, Values: axis.Zeros()}}}
	stacked := plot
	stacked.Stacked = true
	lines := XY{Title: text, Unit: text, Axis: text, Height: 100, Lines: []Line{{Name: text, Points: []Point{{}}}}}
	for name, svg := range map[string]string{
		"steps": string(axis.Draw(plot)),
		"stack": string(axis.Draw(stacked)),
		"lines": string(lines.Draw()),
		"empty": string(XY{Title: text}.Draw()),
	} {
		if strings.Contains(svg, "<script") || !strings.Contains(svg, "&lt;script&gt;") {
			t.Errorf("%s: text is not escaped: %s", name, svg)
		}
	}
}

// TestGapsInSeries checks that the line of a series is interrupted where a value is missing.
func TestGapsInSeries(t *testing.T) {
	axis := NewTimeline(4 * time.Second)
	values := []float64{1, math.NaN(), 2, 2}
	svg := string(axis.Draw(Plot{Height: 60, Series: []Series{{Values: values}}}))
	_, path, _ := strings.Cut(svg, `stroke-width="1.5" d="`)
	path, _, _ = strings.Cut(path, `"`)
	if moves := strings.Count(path, "M"); moves != 2 {
		t.Errorf("a line with one gap has %d parts, want 2: %s", moves, path)
	}
}
