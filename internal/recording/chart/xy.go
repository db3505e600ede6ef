package chart

import (
	"fmt"
	"html/template"
	"math"
	"strings"
)

// Point is the value Y at the parameter value X. The interval around Y goes from Low to High; both are NaN or
// infinite if the interval is unknown.
type Point struct{ X, Y, Low, High float64 }

// Line is a series of points, ordered by X.
type Line struct {
	Name, Colour string
	Points       []Point
}

// XY is a chart of values over a parameter. Each line has a band that shows the intervals of its points. Axis is the
// label of the parameter's axis.
type XY struct {
	Title, Unit, Axis string
	Height            float64
	Log               bool // the parameter's axis is logarithmic, if all its values are positive
	Lines             []Line
}

// Colours are the default colours of a chart's lines, by the line's index. They repeat after the last one.
var Colours = []string{Blue, Orange, Green, Red, Grey, "#6b4ba1", "#00838f", "#8d6e63"}

const (
	maxXTicks    = 20  // maximum number of ticks on the parameter's axis
	xMargin      = 20  // SVG user units between the plot area's edges and the first and last points
	legendOffset = 110 // SVG user units between the starts of two legend entries
	// minAxisRatio is the ratio of the lowest to the highest value below which the value axis starts at 0.
	minAxisRatio = 0.6
)

// valueRange holds the ends of both axes.
type valueRange struct{ lowX, highX, lowY, highY float64 }

// valueRange returns the ends of the axes that include all points. ok is false if no point has a finite value.
func (p XY) valueRange() (r valueRange, ok bool) {
	r = valueRange{math.Inf(1), math.Inf(-1), math.Inf(1), math.Inf(-1)}
	for _, line := range p.Lines {
		for _, point := range line.Points {
			r.lowX = min(r.lowX, point.X)
			r.highX = max(r.highX, point.X)
			for _, v := range []float64{point.Y, point.Low, point.High} {
				if !math.IsInf(v, 0) && !math.IsNaN(v) {
					r.lowY = min(r.lowY, v)
					r.highY = max(r.highY, v)
				}
			}
		}
	}
	if r.lowX > r.highX || r.lowY > r.highY {
		return r, false
	}
	if r.lowY > 0 && r.lowY < minAxisRatio*r.highY {
		r.lowY = 0
	}
	if r.highY == r.lowY { // the axis needs a length above 0, because py divides by it
		r.highY += 0.5*math.Abs(r.highY) + 1e-9
		r.lowY -= 0.5*math.Abs(r.lowY) + 1e-9
	}
	return r, true
}

// xyDrawing is the state of drawing an XY chart.
type xyDrawing struct {
	*canvas
	valueRange
	log    bool
	ticked map[float64]bool // the values of X that have a tick
}

// Draw returns the chart as SVG.
func (p XY) Draw() template.HTML {
	values, ok := p.valueRange()
	if !ok {
		return template.HTML(`<p>` + escape(p.Title) + `: no data</p>`)
	}
	d := &xyDrawing{
		canvas:     newCanvas(p.Title, p.Height),
		valueRange: values,
		log:        p.Log && values.lowX > 0,
		ticked:     map[float64]bool{},
	}
	for _, v := range []float64{values.lowY, (values.lowY + values.highY) / 2, values.highY} {
		d.gridLine(d.py(v), fmt.Sprintf("%.3g", v))
	}
	for i, line := range p.Lines {
		if line.Colour == "" {
			line.Colour = Colours[i%len(Colours)]
		}
		d.drawLine(line)
		x := plotLeft + titleWidth(p.Title, p.Unit) + float64(i)*legendOffset
		d.legendEntry(x, line.Colour, line.Name)
	}
	d.printf(
		`<text class="title" x="%g" y="11">%s</text><text class="note" text-anchor="end" x="%g" y="%g">%s</text>`,
		plotLeft, escape(p.Title+", "+p.Unit), plotWidth-plotRight, p.Height-18, escape(p.Axis),
	)
	return d.close()
}

// px returns the horizontal position of a value of X.
func (d *xyDrawing) px(x float64) float64 {
	length := max(1e-9, d.scale(d.highX)-d.scale(d.lowX))
	return plotLeft + (plotWidth-plotLeft-plotRight-2*xMargin)*(d.scale(x)-d.scale(d.lowX))/length + xMargin
}

// py returns the vertical position of a value of Y.
func (d *xyDrawing) py(v float64) float64 { return d.y((v - d.lowY) / (d.highY - d.lowY)) }

// scale returns X as it is, or its logarithm on a logarithmic axis.
func (d *xyDrawing) scale(x float64) float64 {
	if d.log {
		return math.Log(x)
	}
	return x
}

// drawLine draws a line's points, the line between them and the band of their intervals. The outline of the band
// follows the upper ends of the intervals, and returns along their lower ends.
func (d *xyDrawing) drawLine(line Line) {
	var upper, values strings.Builder
	lower := ""
	for i, point := range line.Points {
		command := "L"
		if i == 0 {
			command = "M"
		}
		low, high := point.Low, point.High
		if math.IsInf(low, 0) || math.IsInf(high, 0) || math.IsNaN(low) { // no interval is known
			low, high = point.Y, point.Y
		}
		x := d.px(point.X)
		values.WriteString(pathStep(command, x, d.py(point.Y)))
		upper.WriteString(pathStep(command, x, d.py(high)))
		lower = pathStep("L", x, d.py(low)) + lower
		d.drawPoint(line, point)
	}
	d.printf(
		`<path fill="%s" opacity=".15" d="%s%sZ"/><path fill="none" stroke="%s" stroke-width="1.5" d="%s"/>`,
		line.Colour, upper.String(), lower, line.Colour, values.String(),
	)
}

func pathStep(command string, x, y float64) string { return fmt.Sprintf("%s%.1f %.1f", command, x, y) }

// drawPoint draws a point. It also draws a tick at the point's X, unless there is one or the axis has maxXTicks.
func (d *xyDrawing) drawPoint(line Line, point Point) {
	d.printf(
		`<circle cx="%.1f" cy="%.1f" r="2.5" fill="%s"><title>%s: %g, %.4g [%.4g, %.4g]</title></circle>`,
		d.px(point.X), d.py(point.Y), line.Colour, escape(line.Name), point.X, point.Y, point.Low, point.High,
	)
	if d.ticked[point.X] || len(d.ticked) >= maxXTicks {
		return
	}
	d.ticked[point.X] = true
	d.printf(
		`<text class="tick" text-anchor="middle" x="%.1f" y="%g">%.4g</text>`, d.px(point.X), d.height-5, point.X,
	)
}
