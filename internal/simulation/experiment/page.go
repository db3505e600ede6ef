package experiment

import (
	"cmp"
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherrytrestle.example/cherrytrestle/internal/recording/chart"
)

// Constants of the charts on a page.
const (
	measureChartHeight = 170 // in SVG user units
	latencyChartHeight = 200
	// minLogRatio is the ratio of the last to the first X value of a line from which the X axis is logarithmic.
	minLogRatio = 20
	// nanosecondsPerSecond converts the values of latency histograms to seconds.
	nanosecondsPerSecond = 1e9
)

// latencyPercentiles are the percentiles that the latency chart shows.
var latencyPercentiles = []float64{1, 10, 25, 50, 75, 90, 95, 99, 99.9}

var pageTemplate = template.Must(template.New("page").Parse(
	`<!doctype html><html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body { font: 14px sans-serif; max-width: 1000px; margin: 1em auto; color: #222 } ` +
		`table { border-collapse: collapse } ` +
		`td, th { padding: 2px 8px; text-align: right; border-bottom: 1px solid #e4e4e4 }
td:first-child, th:first-child { text-align: left } {{.Style}}</style>
<h1>{{.Name}}</h1><p>{{.Runs}} runs, plan {{.Plan}}, policy revision {{.Revision}}. ` +
		`Bands and brackets are {{.Confidence}} confidence intervals of the mean over the seeds.</p>
{{range .Charts}}{{.}}{{end}}
<table><tr><th>cell{{range .Heads}}<th>{{.}}{{end}}</tr>` +
		`{{range .Rows}}<tr>{{range .}}<td>{{.}}{{end}}</tr>{{end}}</table></html>
`))

// pageData is the data of pageTemplate.
type pageData struct {
	Name, Plan, Revision string
	Runs                 int
	Confidence           float64
	Style                template.CSS
	Charts               []template.HTML
	Heads                []string
	Rows                 [][]string
}

// WritePage writes an HTML page about results. The page has a chart of each measure over the first numeric factor, with
// a line for each combination of the other factors, a chart of latency percentiles, and a table of the means.
func WritePage(out io.Writer, name string, results []Result) error {
	cells := Cells(results)
	data := pageData{Name: name, Runs: len(results), Confidence: Confidence, Style: template.CSS(chart.Style)}
	if len(results) > 0 {
		data.Plan, data.Revision = results[0].Plan, results[0].Revision
	}
	axis := numericFactor(cells)
	for _, measure := range Measures {
		if image, ok := measureChart(cells, axis, measure); ok {
			data.Charts = append(data.Charts, image)
		}
		data.Heads = append(data.Heads, measure.Name)
	}
	data.Charts = append(data.Charts, latencyChart(cells))
	for _, cell := range cells {
		data.Rows = append(data.Rows, tableRow(cell))
	}
	return pageTemplate.Execute(out, data)
}

// tableRow returns a cell's name and the means of its measures. The mean of MeasureService includes its confidence
// interval.
func tableRow(cell Cell) []string {
	row := []string{cell.Name()}
	for _, measure := range Measures {
		mean, low, high := Interval(cell.Values(measure.Name), Confidence)
		text := fmt.Sprintf("%.4g", mean)
		if measure.Name == MeasureService {
			text = fmt.Sprintf("%.4f [%.4f, %.4f]", mean, low, high)
		}
		row = append(row, text)
	}
	return row
}

// numericFactor returns the index of the first factor with several values that are all numbers, or -1 if there is none.
func numericFactor(cells []Cell) int {
	if len(cells) == 0 {
		return -1
	}
	for i := range cells[0].Levels {
		values := map[string]bool{}
		numeric := true
		for _, cell := range cells {
			if i >= len(cell.Levels) {
				return -1
			}
			value := cell.Levels[i].Value
			_, err := parseNumber(value)
			numeric = numeric && err == nil
			values[value] = true
		}
		if numeric && len(values) > 1 {
			return i
		}
	}
	return -1
}

// measureChart draws a measure over the factor with the index axis, or over the numbers of the cells if axis is -1. ok
// is false if there is no chart because the measure is 0 or missing in all cells.
func measureChart(cells []Cell, axis int, measure Measure) (image template.HTML, ok bool) {
	plot := chart.XY{Title: measure.Name, Unit: measure.Description, Height: measureChartHeight}
	lines := map[string]int{} // indices in plot.Lines by name
	for i, cell := range cells {
		values := cell.Values(measure.Name)
		if len(values) == 0 {
			continue
		}
		ok = ok || values[len(values)-1] != 0
		point := chart.Point{X: float64(i + 1)}
		point.Y, point.Low, point.High = Interval(values, Confidence)
		name := ""
		if axis >= 0 {
			level := cell.Levels[axis]
			point.X, _ = parseNumber(level.Value) // cannot fail: numericFactor has parsed the value
			plot.Axis = level.Path
			name = formatLevels(slices.Delete(slices.Clone(cell.Levels), axis, axis+1))
		}
		index, found := lines[name]
		if !found {
			index = len(plot.Lines)
			lines[name] = index
			plot.Lines = append(plot.Lines, chart.Line{Name: name})
		}
		plot.Lines[index].Points = append(plot.Lines[index].Points, point)
	}
	if !ok {
		return "", false
	}
	for _, line := range plot.Lines {
		slices.SortFunc(line.Points, func(a, b chart.Point) int { return cmp.Compare(a.X, b.X) })
		first, last := line.Points[0].X, line.Points[len(line.Points)-1].X
		plot.Log = plot.Log || first > 0 && last >= minLogRatio*first
	}
	return plot.Draw(), true
}

// latencyChart draws the percentiles of the time from submission to delivery. It has a line for each of the first
// cells, as many as there are colours.
func latencyChart(cells []Cell) template.HTML {
	plot := chart.XY{
		Title:  "lateness",
		Unit:   "seconds from submission to delivery",
		Axis:   "percentile",
		Height: latencyChartHeight,
	}
	for _, cell := range cells[:min(len(cells), len(chart.Colours))] {
		histogram := cell.histogram()
		if histogram == nil {
			continue
		}
		line := chart.Line{Name: strings.TrimSpace(cell.Name())}
		for _, percentile := range latencyPercentiles {
			y := float64(histogram.ValueAtPercentile(percentile)) / nanosecondsPerSecond
			line.Points = append(line.Points, chart.Point{X: percentile, Y: y, Low: y, High: y})
		}
		plot.Lines = append(plot.Lines, line)
	}
	return plot.Draw()
}

// histogram returns the merged latency histograms of a cell's results, or nil if no result has one.
func (c Cell) histogram() (sum *hdrhistogram.Histogram) {
	for _, result := range c.Results {
		histogram := result.Histogram()
		switch {
		case histogram == nil:
		case sum == nil:
			sum = histogram
		default:
			sum.Merge(histogram)
		}
	}
	return sum
}
