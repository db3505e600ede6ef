package chart

import (
	"fmt"
	"html/template"
	"math"
	"strings"
)

// Point is a value with the interval that it lies in.
type Point struct{ X, Y, Low, High float64 }

// Line is points of one kind, by rising X.
type Line struct {
	Name, Colour string
	Points       []Point
}

// XY is a chart of values over a number: lines with their intervals as bands.
type XY struct {
	Title, Unit, Axis string
	Height            float64
	Log               bool // the number's axis is logarithmic
	Lines             []Line
}

// Colours are for lines side by side.
var Colours = []string{Blue, Orange, Green, Red, Grey, "#6b4ba1", "#00838f", "#8d6e63"}

// Draw is the chart as SVG.
func (p XY) Draw() template.HTML {
	lowX, highX, lowY, highY := math.Inf(1), math.Inf(-1), math.Inf(1), math.Inf(-1)
	for _, l := range p.Lines {
		for _, q := range l.Points {
			lowX, highX = min(lowX, q.X), max(highX, q.X)
			for _, v := range []float64{q.Y, q.Low, q.High} {
				if !math.IsInf(v, 0) && !math.IsNaN(v) {
					lowY, highY = min(lowY, v), max(highY, v)
				}
			}
		}
	}
	if lowX > highX || lowY > highY {
		return template.HTML(`<p>` + template.HTMLEscapeString(p.Title) + `: nothing to draw</p>`)
	}
	if lowY > 0 && lowY < 0.6*highY {
		lowY = 0
	}
	if highY == lowY {
		highY, lowY = highY+0.5*math.Abs(highY)+1e-9, lowY-0.5*math.Abs(lowY)-1e-9
	}
	log := p.Log && lowX > 0
	at := func(x float64) float64 {
		if log {
			x = math.Log(x)
		}
		return x
	}
	span := max(1e-9, at(highX)-at(lowX))
	inner := p.Height - plotTop - plotBottom
	px := func(x float64) float64 {
		return plotLeft + (plotWidth-plotLeft-plotRight-40)*(at(x)-at(lowX))/span + 20
	}
	py := func(v float64) float64 { return plotTop + inner*(1-min(1, max(0, (v-lowY)/(highY-lowY)))) }
	var b strings.Builder
	fmt.Fprintf(
		&b,
		`<svg viewBox="0 0 %g %g" role="img" aria-label="%s">`,
		plotWidth,
		p.Height,
		template.HTMLEscapeString(p.Title),
	)
	for _, v := range []float64{lowY, (lowY + highY) / 2, highY} {
		fmt.Fprintf(
			&b,
			`<path class="grid" d="M%g %.1fH%g"/><text class="tick" text-anchor="end" x="%g" y="%.1f">%.3g</text>`,
			plotLeft,
			py(v),
			plotWidth-plotRight,
			plotLeft-4,
			py(v)+3,
			v,
		)
	}
	ticks := map[float64]bool{}
	for i, l := range p.Lines {
		colour := l.Colour
		if colour == "" {
			colour = Colours[i%len(Colours)]
		}
		var up, down, line strings.Builder
		for k, q := range l.Points {
			c := "L"
			if k == 0 {
				c = "M"
			}
			fmt.Fprintf(&line, "%s%.1f %.1f", c, px(q.X), py(q.Y))
			low, high := q.Low, q.High
			if math.IsInf(low, 0) || math.IsInf(high, 0) || math.IsNaN(low) {
				low, high = q.Y, q.Y
			}
			fmt.Fprintf(&up, "%s%.1f %.1f", c, px(q.X), py(high))
			back := down.String()
			down.Reset()
			fmt.Fprintf(&down, "L%.1f %.1f%s", px(q.X), py(low), back)
			fmt.Fprintf(
				&b,
				`<circle cx="%.1f" cy="%.1f" r="2.5" fill="%s"><title>%s: %g, %.4g [%.4g, %.4g]</title></circle>`,
				px(q.X),
				py(q.Y),
				colour,
				template.HTMLEscapeString(l.Name),
				q.X,
				q.Y,
				q.Low,
				q.High,
			)
			if !ticks[q.X] && len(ticks) < 20 {
				ticks[q.X] = true
				fmt.Fprintf(
					&b,
					`<text class="tick" text-anchor="middle" x="%.1f" y="%g">%.4g</text>`,
					px(q.X),
					p.Height-5,
					q.X,
				)
			}
		}
		fmt.Fprintf(
			&b,
			`<path fill="%s" opacity=".15" d="%s%sZ"/><path fill="none" stroke="%s" stroke-width="1.5" d="%s"/>`,
			colour,
			up.String(),
			down.String(),
			colour,
			line.String(),
		)
		x := plotLeft + 7*float64(len(p.Title)+len(p.Unit)) + 30 + float64(i)*110
		fmt.Fprintf(
			&b,
			`<rect x="%.1f" y="4" width="8" height="8" fill="%s"/><text class="note" x="%.1f" y="11">%s</text>`,
			x,
			colour,
			x+11,
			template.HTMLEscapeString(l.Name),
		)
	}
	fmt.Fprintf(
		&b,
		`<text class="title" x="%g" y="11">%s</text><text class="note" text-anchor="end" x="%g" y="%g">%s</text></svg>`,
		plotLeft,
		template.HTMLEscapeString(
			p.Title+", "+p.Unit,
		),
		plotWidth-plotRight,
		p.Height-18,
		template.HTMLEscapeString(p.Axis),
	)
	return template.HTML(b.String()) // numbers, and text that is escaped above
}
