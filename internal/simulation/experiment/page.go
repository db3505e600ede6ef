package experiment

import (
	"fmt"
	"html/template"
	"io"
	"slices"
	"strings"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherrytrestle.example/cherrytrestle/internal/recording/chart"
)

var page = template.Must(
	template.New("page").Parse(`<!doctype html><html lang="en"><meta charset="utf-8"><title>{{.Name}}</title>
<style>body { font: 14px sans-serif; max-width: 1000px; margin: 1em auto; color: #222 } table { border-collapse: collapse } td, th { padding: 2px 8px; text-align: right; border-bottom: 1px solid #e4e4e4 }
td:first-child, th:first-child { text-align: left } {{.Style}}</style>
<h1>{{.Name}}</h1><p>{{.Runs}} runs, plan {{.Plan}}, decisions {{.Revision}}. Bands and brackets are {{.Confidence}} intervals of the mean over the seeds.</p>
{{range .Charts}}{{.}}{{end}}
<table><tr><th>cell{{range .Heads}}<th>{{.}}{{end}}</tr>{{range .Rows}}<tr>{{range .}}<td>{{.}}{{end}}</tr>{{end}}</table></html>
`),
)

// WritePage writes one page with plots of results: each measure over the first factor that is a number, a line for each of
// the others' values, and how late messages were.
func WritePage(out io.Writer, name string, all []Result) error {
	cells := Cells(all)
	type head struct {
		Name, Plan, Revision string
		Runs                 int
		Confidence           float64
		Style                template.CSS
		Charts               []template.HTML
		Heads                []string
		Rows                 [][]string
	}
	h := head{Name: name, Runs: len(all), Confidence: Confidence, Style: template.CSS(chart.Style)}
	if len(all) > 0 {
		h.Plan, h.Revision = all[0].Plan, all[0].Revision
	}
	axis := numericFactor(cells)
	for _, m := range MeasureNames {
		if c, ok := renderChart(cells, axis, m); ok {
			h.Charts = append(h.Charts, c)
		}
	}
	h.Charts = append(h.Charts, latencyChart(cells))
	for _, m := range MeasureNames {
		h.Heads = append(h.Heads, m[0])
	}
	for _, c := range cells {
		row := []string{c.Name()}
		for _, m := range MeasureNames {
			mean, low, high := Interval(c.Values(m[0]), Confidence)
			text := fmt.Sprintf("%.4g", mean)
			if m[0] == "service" {
				text = fmt.Sprintf("%.4f [%.4f, %.4f]", mean, low, high)
			}
			row = append(row, text)
		}
		h.Rows = append(h.Rows, row)
	}
	return page.Execute(out, h)
}

// numericFactor is the place of the first factor whose values are all numbers and not all alike; -1 if there is none.
func numericFactor(cells []Cell) int {
	if len(cells) == 0 {
		return -1
	}
	for i := range cells[0].Cell {
		values := map[string]bool{}
		ok := true
		for _, c := range cells {
			if i >= len(c.Cell) {
				return -1
			}
			_, err := parseNumber(c.Cell[i].Value)
			ok = ok && err == nil
			values[c.Cell[i].Value] = true
		}
		if ok && len(values) > 1 {
			return i
		}
	}
	return -1
}

// renderChart draws a measure that is not 0 throughout.
func renderChart(cells []Cell, axis int, m [2]string) (template.HTML, bool) {
	p := chart.XY{Title: m[0], Unit: m[1], Height: 170}
	lines := map[string]*chart.Line{}
	var order []string
	any := false
	for i, c := range cells {
		values := c.Values(m[0])
		if len(values) == 0 {
			continue
		}
		any = any || values[len(values)-1] != 0
		q := chart.Point{X: float64(i + 1)}
		q.Y, q.Low, q.High = Interval(values, Confidence)
		name := ""
		if axis >= 0 {
			q.X, _ = parseNumber(c.Cell[axis].Value)
			p.Axis = c.Cell[axis].Path
			rest := slices.Delete(slices.Clone(c.Cell), axis, axis+1)
			name = formatLevels(rest)
		}
		if lines[name] == nil {
			lines[name] = &chart.Line{Name: name}
			order = append(order, name)
		}
		lines[name].Points = append(lines[name].Points, q)
	}
	if !any {
		return "", false
	}
	for _, n := range order {
		l := *lines[n]
		slices.SortFunc(l.Points, func(a, b chart.Point) int { return compareFloats(a.X, b.X) })
		if first, last := l.Points[0].X, l.Points[len(l.Points)-1].X; first > 0 && last >= 20*first {
			p.Log = true
		}
		p.Lines = append(p.Lines, l)
	}
	return p.Draw(), true
}

func compareFloats(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// latencyChart draws the time from hand-in to delivery over its percentile, for up to eight cells, the seeds of each
// together.
func latencyChart(cells []Cell) template.HTML {
	p := chart.XY{Title: "lateness", Unit: "seconds from hand-in to delivery", Axis: "percentile", Height: 200}
	for _, c := range cells[:min(len(cells), len(chart.Colours))] {
		var sum *hdrhistogram.Histogram
		for _, r := range c.Results {
			if h := r.Histogram(); h != nil && sum == nil {
				sum = h
			} else if h != nil {
				sum.Merge(h)
			}
		}
		if sum == nil {
			continue
		}
		l := chart.Line{Name: strings.TrimSpace(c.Name())}
		for _, x := range []float64{1, 10, 25, 50, 75, 90, 95, 99, 99.9} {
			y := float64(sum.ValueAtPercentile(x)) / 1e9
			l.Points = append(l.Points, chart.Point{X: x, Y: y, Low: y, High: y})
		}
		p.Lines = append(p.Lines, l)
	}
	return p.Draw()
}
