// Package chart draws charts as SVG, without scripts: step lines and stacked bars on a time axis, and lines of values
// over a parameter.
package chart

import (
	"html/template"
	"math"
	"time"
)

// maxBins is the maximum number of whole bins on a time axis from NewTimeline. A partial last bin may be added.
const maxBins = 240

// minLabelledHeight is a plot's height, in SVG user units, above which the names of shades are written in the plot.
// In lower plots they are only tooltips.
const minLabelledHeight = 100

// Series is one line, or one layer of a stack, with a value for each bin. NaN leaves a gap in a line; a stack must
// not contain NaN.
type Series struct {
	Name, Colour string
	Values       []float64
}

// Plot is one chart on the time axis.
type Plot struct {
	Title, Unit string
	Height      float64
	Max         float64 // upper end of the value axis; 0: derived from the highest value
	Stacked     bool
	Series      []Series
}

// Timeline is a time axis for several plots, with the intervals and times that are highlighted in each of them.
type Timeline struct {
	Length time.Duration
	Bin    time.Duration
	Bins   int
	Shades []Shade
	Marks  []Mark
}

// Shade highlights an interval of the time axis.
type Shade struct {
	Name     string
	From, To time.Duration
}

// Mark is a vertical line at a time of the axis. Text is its tooltip.
type Mark struct {
	At   time.Duration
	Text string
}

// NewTimeline returns a time axis of the given length, but at least one second. Bins start at one second and are
// doubled until at most maxBins whole bins fit on the axis.
func NewTimeline(length time.Duration) *Timeline {
	t := &Timeline{Length: max(length, time.Second), Bin: time.Second}
	for t.Length/t.Bin > maxBins {
		t.Bin *= 2
	}
	t.Bins = int((t.Length + t.Bin - 1) / t.Bin)
	return t
}

// BinAt returns the index of the bin that contains a time. A time before the axis belongs to the first bin, a time
// after it to the last bin.
func (t *Timeline) BinAt(d time.Duration) int { return min(t.Bins-1, max(0, int(d/t.Bin))) }

// Zeros returns a series with the value 0 in each bin.
func (t *Timeline) Zeros() []float64 { return make([]float64, t.Bins) }

func (t *Timeline) x(d time.Duration) float64 {
	return plotLeft + (plotWidth-plotLeft-plotRight)*float64(d)/float64(t.Length)
}

// binEnds returns the horizontal positions of a bin's start and end.
func (t *Timeline) binEnds(bin int) (from, to float64) {
	return t.x(time.Duration(bin) * t.Bin), t.x(min(t.Length, time.Duration(bin+1)*t.Bin))
}

// Draw returns a plot as SVG.
func (t *Timeline) Draw(p Plot) template.HTML {
	maxValue := p.Max
	if maxValue == 0 {
		maxValue = roundUp(p.highest())
	}
	c := newCanvas(p.Title, p.Height)
	y := func(v float64) float64 { return c.y(v / maxValue) }
	t.drawShades(c)
	for _, v := range []float64{0, maxValue / 2, maxValue} {
		c.gridLine(y(v), formatNumber(v))
	}
	t.drawTicks(c)
	if p.Stacked {
		t.drawStack(c, p.Series, y)
	} else {
		for _, s := range p.Series {
			t.drawSteps(c, s, y)
		}
	}
	t.drawMarks(c)
	t.drawLegend(c, p)
	return c.close()
}

func (t *Timeline) drawShades(c *canvas) {
	for i, s := range t.Shades {
		from, to := t.x(s.From), t.x(s.To)
		c.printf(
			`<rect class="shade" x="%.1f" y="%g" width="%.1f" height="%.1f"><title>%s</title></rect>`,
			from, plotTop, max(1, to-from), c.inner, escape(s.Name),
		)
		if c.height > minLabelledHeight {
			c.printf(
				`<text class="note" x="%.1f" y="%.1f">%s</text>`, from+2, plotTop+9+float64(i%3)*9, escape(s.Name),
			)
		}
	}
}

func (t *Timeline) drawTicks(c *canvas) {
	for s, step := time.Duration(0), tickInterval(t.Length); s <= t.Length; s += step {
		c.printf(
			`<text class="tick" text-anchor="middle" x="%.1f" y="%g">%gs</text>`, t.x(s), c.height-5, s.Seconds(),
		)
	}
}

func (t *Timeline) drawMarks(c *canvas) {
	for _, m := range t.Marks {
		c.printf(
			`<path class="mark" d="M%.1f %gV%.1f"><title>%s</title></path>`,
			t.x(m.At), plotTop, plotTop+c.inner, escape(m.Text),
		)
	}
}

// drawLegend writes the title with its unit and, after them, the names of the series.
func (t *Timeline) drawLegend(c *canvas, p Plot) {
	c.printf(`<text class="title" x="%g" y="11">%s</text>`, plotLeft, escape(p.Title+", "+p.Unit))
	x := plotLeft + titleWidth(p.Title, p.Unit)
	for _, s := range p.Series {
		c.legendEntry(x, s.Colour, s.Name)
		x += 24 + 6*float64(len(s.Name))
	}
}

// highest returns the highest value of any series or, for a stacked plot, the highest sum of a bin. It is at least 0.
func (p Plot) highest() (highest float64) {
	for i := range p.Series[0].Values {
		value := 0.0
		for _, s := range p.Series {
			switch v := s.Values[i]; {
			case p.Stacked:
				value += v
			case v > value:
				value = v
			}
		}
		highest = max(highest, value)
	}
	return highest
}

// drawSteps draws a series as a step line, with gaps where the value is NaN.
func (t *Timeline) drawSteps(c *canvas, s Series, y func(float64) float64) {
	c.printf(`<path fill="none" stroke="%s" stroke-width="1.5" d="`, s.Colour)
	penDown := false
	for i, v := range s.Values {
		if math.IsNaN(v) {
			penDown = false
			continue
		}
		from, to := t.binEnds(i)
		if penDown {
			c.printf("V%.1fH%.1f", y(v), to)
		} else {
			c.printf("M%.1f %.1fH%.1f", from, y(v), to)
		}
		penDown = true
	}
	c.printf(`"/>`)
}

// drawStack draws each series on top of the ones before it.
func (t *Timeline) drawStack(c *canvas, series []Series, y func(float64) float64) {
	below := t.Zeros()
	for _, s := range series {
		for i, v := range s.Values {
			if v <= 0 {
				continue
			}
			from, to := t.binEnds(i)
			c.printf(
				`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`,
				from, y(below[i]+v), max(0.5, to-from-0.5), y(below[i])-y(below[i]+v), s.Colour,
			)
			below[i] += v
		}
	}
}

// roundUp rounds x up to 1, 2, 4, 5 or 10 times a power of ten. It returns 1 if x is not positive.
func roundUp(x float64) float64 {
	if x <= 0 {
		return 1
	}
	scale := math.Pow(10, math.Floor(math.Log10(x)))
	for _, m := range []float64{1, 2, 4, 5, 10} {
		if m*scale >= x {
			return m * scale
		}
	}
	return 10 * scale
}

// maxTicks is the maximum number of intervals between ticks on a time axis. It is exceeded on axes that are longer
// than maxTicks times 10 minutes, the longest interval.
const maxTicks = 20

func tickInterval(length time.Duration) time.Duration {
	for _, interval := range []time.Duration{
		time.Second,
		2 * time.Second,
		5 * time.Second,
		10 * time.Second,
		30 * time.Second,
		time.Minute,
		5 * time.Minute,
	} {
		if length/interval <= maxTicks {
			return interval
		}
	}
	return 10 * time.Minute
}
