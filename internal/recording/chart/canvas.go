package chart

import (
	"fmt"
	"html/template"
	"math"
	"strings"
)

// The width of a chart and the margins around its plot area, in SVG user units.
const (
	plotWidth  = 960.0
	plotLeft   = 46.0
	plotRight  = 10.0
	plotTop    = 16.0
	plotBottom = 18.0
)

// The colours of lines, bars and bands, as SVG colour values.
const (
	Green  = "#2e8b57"
	Blue   = "#2a6fbb"
	Orange = "#e08a1e"
	Red    = "#c0392b"
	Grey   = "#8a8f98"
)

// Style holds the CSS rules for charts. A page with charts includes them in its style sheet.
const Style = `svg { display: block; width: 100%; margin: .5em 0 } .grid { stroke: #e4e4e4 } ` +
	`.mark { stroke: #6b4ba1; stroke-dasharray: 3 2 }
.shade { fill: #e08a1e; opacity: .13 } .tick, .note { font-size: 9px; fill: #666 } ` +
	`.title { font-size: 11px; fill: #222 }`

// canvas builds an SVG image with a plot area.
type canvas struct {
	b      strings.Builder
	height float64
	inner  float64 // height of the plot area
}

func newCanvas(title string, height float64) *canvas {
	c := &canvas{height: height, inner: height - plotTop - plotBottom}
	c.printf(`<svg viewBox="0 0 %g %g" role="img" aria-label="%s">`, plotWidth, height, escape(title))
	return c
}

func (c *canvas) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(&c.b, format, args...) // writes to a strings.Builder never fail
}

// y returns the vertical position of a fraction of the value axis: 0 is its lower end, 1 its upper end. Fractions
// outside this range are clamped to it.
func (c *canvas) y(fraction float64) float64 {
	return plotTop + c.inner*(1-min(1, max(0, fraction)))
}

func (c *canvas) gridLine(y float64, label string) {
	c.printf(
		`<path class="grid" d="M%g %.1fH%g"/><text class="tick" text-anchor="end" x="%g" y="%.1f">%s</text>`,
		plotLeft, y, plotWidth-plotRight, plotLeft-4, y+3, label,
	)
}

func (c *canvas) legendEntry(x float64, colour, name string) {
	c.printf(
		`<rect x="%.1f" y="4" width="8" height="8" fill="%s"/><text class="note" x="%.1f" y="11">%s</text>`,
		x, colour, x+11, escape(name),
	)
}

// close ends the SVG element and returns the image. The image is safe as HTML, because the titles and names in it are
// escaped.
func (c *canvas) close() template.HTML {
	c.b.WriteString("</svg>")
	return template.HTML(c.b.String())
}

// titleWidth estimates the width of a title with its unit, plus the gap after them, in SVG user units.
func titleWidth(title, unit string) float64 { return 7*float64(len(title)+len(unit)) + 30 }

func escape(text string) string { return template.HTMLEscapeString(text) }

func formatNumber(v float64) string {
	if v == math.Trunc(v) {
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.2g", v)
}
