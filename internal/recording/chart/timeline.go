// Package plot draws charts on a time axis as SVG, without scripts: lines as steps, and stacks.
package chart

import (
	"fmt"
	"html/template"
	"math"
	"strings"
	"time"
)

// The sizes of a plot, in SVG's units.
const (
	plotWidth  = 960.0
	plotLeft   = 46.0
	plotRight  = 10.0
	plotTop    = 16.0
	plotBottom = 18.0
	maxBins    = 240 // along the time axis, by default
)

// Series is one line, or one layer of a stack, with a value for each bin; NaN leaves a gap.
type Series struct {
	Name, Colour string
	Values       []float64
}

// Plot is one chart on the time axis.
type Plot struct {
	Title, Unit string
	Height      float64
	Max         float64 // of the value axis; 0: what the values need
	Stacked     bool
	Series      []Series
}

// Timeline is what all plots of a page share.
type Timeline struct {
	Length time.Duration
	Bin    time.Duration
	Bins   int
	Shades []Shade
	Marks  []Mark
}

// Shade marks a span.
type Shade struct {
	Name     string
	From, To time.Duration
}

// Mark marks a moment.
type Mark struct {
	At   time.Duration
	Text string
}

// NewTimeline returns a time axis of a length, in bins of a second or, where it is long, of more.
func NewTimeline(length time.Duration) *Timeline {
	t := &Timeline{Length: max(length, time.Second), Bin: time.Second}
	for t.Length/t.Bin > maxBins {
		t.Bin *= 2
	}
	t.Bins = int((t.Length + t.Bin - 1) / t.Bin)
	return t
}

// At is the bin of a time; times off the axis count at its ends.
func (t *Timeline) At(d time.Duration) int { return min(t.Bins-1, max(0, int(d/t.Bin))) }

// Zeros is room for a value in each bin.
func (t *Timeline) Zeros() []float64 { return make([]float64, t.Bins) }

func (t *Timeline) x(d time.Duration) float64 {
	return plotLeft + (plotWidth-plotLeft-plotRight)*float64(d)/float64(t.Length)
}

// Draw is a plot as SVG.
func (t *Timeline) Draw(p Plot) template.HTML {
	most := p.Max
	if most == 0 {
		most = roundUp(p.highest())
	}
	inner := p.Height - plotTop - plotBottom
	y := func(v float64) float64 { return plotTop + inner*(1-min(1, max(0, v/most))) }
	var b strings.Builder
	fmt.Fprintf(
		&b,
		`<svg viewBox="0 0 %g %g" role="img" aria-label="%s">`,
		plotWidth,
		p.Height,
		template.HTMLEscapeString(p.Title),
	)
	for i, s := range t.Shades {
		fmt.Fprintf(&b, `<rect class="shade" x="%.1f" y="%g" width="%.1f" height="%.1f"><title>%s</title></rect>`,
			t.x(s.From), plotTop, max(1, t.x(s.To)-t.x(s.From)), inner, template.HTMLEscapeString(s.Name))
		if p.Height > 100 {
			fmt.Fprintf(
				&b,
				`<text class="note" x="%.1f" y="%.1f">%s</text>`,
				t.x(s.From)+2,
				plotTop+9+float64(i%3)*9,
				template.HTMLEscapeString(s.Name),
			)
		}
	}
	for _, v := range []float64{0, most / 2, most} {
		fmt.Fprintf(
			&b,
			`<path class="grid" d="M%g %.1fH%g"/><text class="tick" text-anchor="end" x="%g" y="%.1f">%s</text>`,
			plotLeft,
			y(v),
			plotWidth-plotRight,
			plotLeft-4,
			y(v)+3,
			formatNumber(v),
		)
	}
	for s, step := time.Duration(0), tickInterval(t.Length); s <= t.Length; s += step {
		fmt.Fprintf(
			&b,
			`<text class="tick" text-anchor="middle" x="%.1f" y="%g">%gs</text>`,
			t.x(s),
			p.Height-5,
			s.Seconds(),
		)
	}
	if p.Stacked {
		t.stack(&b, p, y)
	} else {
		for _, s := range p.Series {
			t.line(&b, s, y)
		}
	}
	for _, m := range t.Marks {
		fmt.Fprintf(
			&b,
			`<path class="mark" d="M%.1f %gV%.1f"><title>%s</title></path>`,
			t.x(m.At),
			plotTop,
			plotTop+inner,
			template.HTMLEscapeString(m.Text),
		)
	}
	x := plotLeft
	fmt.Fprintf(&b, `<text class="title" x="%g" y="11">%s</text>`, x, template.HTMLEscapeString(p.Title+", "+p.Unit))
	x += 7*float64(len(p.Title)+len(p.Unit)) + 30
	for _, s := range p.Series {
		fmt.Fprintf(
			&b,
			`<rect x="%.1f" y="4" width="8" height="8" fill="%s"/><text class="note" x="%.1f" y="11">%s</text>`,
			x,
			s.Colour,
			x+11,
			template.HTMLEscapeString(s.Name),
		)
		x += 24 + 6*float64(len(s.Name))
	}
	b.WriteString("</svg>")
	return template.HTML(b.String()) // numbers, and text that is escaped above
}

func (p Plot) highest() (most float64) {
	for i := range p.Series[0].Values {
		sum := 0.0
		for _, s := range p.Series {
			if v := s.Values[i]; p.Stacked {
				sum += v
			} else if v > sum {
				sum = v
			}
		}
		most = max(most, sum)
	}
	return most
}

// line draws a series as steps, with gaps where there is no value.
func (t *Timeline) line(b *strings.Builder, s Series, y func(float64) float64) {
	fmt.Fprintf(b, `<path fill="none" stroke="%s" stroke-width="1.5" d="`, s.Colour)
	pen := false
	for i, v := range s.Values {
		if math.IsNaN(v) {
			pen = false
			continue
		}
		from, to := t.x(time.Duration(i)*t.Bin), t.x(min(t.Length, time.Duration(i+1)*t.Bin))
		if pen {
			fmt.Fprintf(b, "V%.1fH%.1f", y(v), to)
		} else {
			fmt.Fprintf(b, "M%.1f %.1fH%.1f", from, y(v), to)
		}
		pen = true
	}
	b.WriteString(`"/>`)
}

func (t *Timeline) stack(b *strings.Builder, p Plot, y func(float64) float64) {
	below := t.Zeros()
	for _, s := range p.Series {
		for i, v := range s.Values {
			if v <= 0 {
				continue
			}
			x, to := t.x(time.Duration(i)*t.Bin), t.x(min(t.Length, time.Duration(i+1)*t.Bin))
			fmt.Fprintf(
				b,
				`<rect x="%.1f" y="%.1f" width="%.1f" height="%.1f" fill="%s"/>`,
				x,
				y(below[i]+v),
				max(0.5, to-x-0.5),
				y(below[i])-y(below[i]+v),
				s.Colour,
			)
			below[i] += v
		}
	}
}

// roundUp is a round number that is not below x.
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

func tickInterval(length time.Duration) time.Duration {
	for _, s := range []time.Duration{time.Second, 2 * time.Second, 5 * time.Second, 10 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute} {
		if length/s <= 20 {
			return s
		}
	}
	return 10 * time.Minute
}

func formatNumber(v float64) string {
	if v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2g", v)
}

// The colours of the charts.
const (
	Green, Blue, Orange, Red, Grey = "#2e8b57", "#2a6fbb", "#e08a1e", "#c0392b", "#8a8f98"
)

// Style is what a page's style sheet needs for the charts.
const Style = `svg { display: block; width: 100%; margin: .5em 0 } .grid { stroke: #e4e4e4 } .mark { stroke: #6b4ba1; stroke-dasharray: 3 2 }
.shade { fill: #e08a1e; opacity: .13 } .tick, .note { font-size: 9px; fill: #666 } .title { font-size: 11px; fill: #222 }`
