package explain

import (
	"fmt"
	"html/template"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/chart"
)

// maxPlottedDestinations bounds the destinations that a page plots.
const maxPlottedDestinations = 40

// pageData is what the page's template shows.
type pageData struct {
	Name    string
	Text    string
	Plots   []template.HTML
	Changes string
}

// WriteHTML writes one page with plots, all on one time axis, without a script. The times in which an endpoint was
// ejected, warming up or under a Retry-After are shaded.
func WriteHTML(w io.Writer, report *Report) error {
	var text, transitions strings.Builder
	if err := WriteText(&text, report); err != nil {
		return err
	}
	if err := WriteTransitions(&transitions, report, -1); err != nil {
		return err
	}
	return page.Execute(w, pageData{
		Name:    report.Meta.Name,
		Text:    text.String(),
		Plots:   plots(report),
		Changes: transitions.String(),
	})
}

// plots draws the relay's queue and calls, then the endpoints of the destinations whose messages waited longest.
func plots(report *Report) []template.HTML {
	axis := chart.Timeline{Length: max(time.Millisecond, report.To-report.From), Bin: report.Bin, Bins: report.Bins}
	drawn := []template.HTML{
		axis.Draw(chart.Plot{
			Title:  "messages waiting",
			Unit:   "the most in a bin",
			Height: 110,
			Series: []chart.Series{{Name: "all destinations", Colour: chart.Blue, Values: report.Queued}},
		}),
		axis.Draw(chart.Plot{
			Title:  "slots",
			Unit:   "taken, the most in a bin",
			Height: 90,
			Max:    float64(report.MaxInFlightCalls),
			Series: []chart.Series{{Name: "taken", Colour: chart.Orange, Values: report.InFlightCalls}},
		}),
	}
	sorted := DestinationsByWait(report)
	for _, destination := range sorted[:min(maxPlottedDestinations, len(sorted))] {
		for i, endpoint := range destination.Endpoints {
			shaded := axis
			shaded.Shades = shadedSpans(endpoint, report.Bin)
			drawn = append(drawn, endpointPlots(&shaded, endpoint, report.Bin)...)
			if i == 0 {
				drawn = append(drawn, queuePlot(&shaded, endpoint))
			}
		}
	}
	return drawn
}

// endpointPlots draws an endpoint's outcomes. If it is the first endpoint of its limit scope, a plot of the scope's
// limit and pacing rate precedes them.
func endpointPlots(axis *chart.Timeline, endpoint *Endpoint, bin time.Duration) (drawn []template.HTML) {
	if endpoint.LimitScope == endpoint.Name {
		drawn = append(drawn, axis.Draw(chart.Plot{
			Title:  fmt.Sprintf("destination %d, %s", endpoint.Destination, endpoint.Name),
			Unit:   "calls a second",
			Height: 120,
			Series: []chart.Series{
				{Name: "limit believed", Colour: chart.Grey, Values: withGaps(endpoint.EstimatedLimit)},
				{Name: "refused last", Colour: chart.Red, Values: withGaps(endpoint.LastRejectedRate)},
				{Name: "pace", Colour: chart.Blue, Values: withGaps(endpoint.PacingRate)},
			},
		}))
	}
	perSecond := 1 / bin.Seconds()
	return append(drawn, axis.Draw(chart.Plot{
		Title:   "outcomes, " + endpoint.Name,
		Unit:    "a second",
		Height:  90,
		Stacked: true,
		Series: []chart.Series{
			{Name: "delivered", Colour: chart.Green, Values: scaled(endpoint.Delivered, perSecond)},
			{Name: "refused", Colour: chart.Orange, Values: scaled(endpoint.Rejected, perSecond)},
			{Name: "failed", Colour: chart.Red, Values: scaled(endpoint.Failed, perSecond)},
		},
	}))
}

func queuePlot(axis *chart.Timeline, endpoint *Endpoint) template.HTML {
	return axis.Draw(chart.Plot{
		Title:  fmt.Sprintf("waiting for destination %d", endpoint.Destination),
		Unit:   "messages",
		Height: 80,
		Series: []chart.Series{{Name: "waiting", Colour: chart.Blue, Values: endpoint.Queued}},
	})
}

// withGaps returns a series in which the value 0, which means unknown, is a gap.
func withGaps(values []float64) []float64 {
	out := slices.Clone(values)
	for i, v := range out {
		if v == 0 {
			out[i] = math.NaN()
		}
	}
	return out
}

func scaled(values []float64, factor float64) []float64 {
	out := slices.Clone(values)
	for i := range out {
		out[i] *= factor
	}
	return out
}

// shadedSpans returns the intervals in which an endpoint was ejected, warming up or under a Retry-After.
func shadedSpans(endpoint *Endpoint, bin time.Duration) (shades []chart.Shade) {
	for _, state := range []struct {
		name  string
		inBin []bool
	}{
		{"skipped", endpoint.Ejected},
		{"in doubt", endpoint.WarmingUp},
		{"told to wait", endpoint.RetryAfter},
	} {
		start := -1 // of the span that is open
		for i, set := range append(slices.Clone(state.inBin), false) {
			switch {
			case set && start < 0:
				start = i
			case !set && start >= 0:
				shades = append(shades, chart.Shade{
					Name: state.name,
					From: time.Duration(start) * bin,
					To:   time.Duration(i) * bin,
				})
				start = -1
			}
		}
	}
	return shades
}

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><meta charset="utf-8"><title>What held messages up: {{.Name}}</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; color: #222; max-width: 1100px; margin: 1.5em auto; padding: 0 1em }
pre { background: #f6f4f0; padding: .6em; overflow-x: auto; font-size: 12px }
` + chart.Style + `
</style>
<h1>What held messages up: {{.Name}}</h1>
<pre>{{.Text}}</pre>
<p>Time runs from the begin of the stretch. Skips, doubts and told waits are shaded: point at them for their names.</p>
{{range .Plots}}{{.}}
{{end}}<h2>What changed</h2>
<pre>{{.Changes}}</pre>
</html>
`))
