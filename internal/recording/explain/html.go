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

// maxPlottedDestinations is the maximum number of destinations on a page.
const maxPlottedDestinations = 40

// pageData is the input of the page's template.
type pageData struct {
	Name    string
	Text    string
	Plots   []template.HTML
	Changes string
}

// WriteHTML writes a report as one HTML page without scripts. All plots share one time axis. The times in which an
// endpoint was ejected, warming up or under a Retry-After are shaded.
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

// plots draws the relay's waiting messages and calls in flight, then the endpoints of the destinations whose messages
// waited longest.
func plots(report *Report) []template.HTML {
	axis := chart.Timeline{Length: max(time.Millisecond, report.To-report.From), Bin: report.Bin, Bins: report.Bins}
	drawn := []template.HTML{
		axis.Draw(chart.Plot{
			Title:  "messages waiting",
			Unit:   "maximum per bin",
			Height: 110,
			Series: []chart.Series{{Name: "all destinations", Colour: chart.Blue, Values: report.Queued}},
		}),
		axis.Draw(chart.Plot{
			Title:  "calls in flight",
			Unit:   "maximum per bin",
			Height: 90,
			Max:    float64(report.MaxInFlightCalls),
			Series: []chart.Series{{Name: "in flight", Colour: chart.Orange, Values: report.InFlightCalls}},
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

// endpointPlots draws an endpoint's outcomes. For the first endpoint of a rate-limit scope, a plot of the scope's
// limit and pacing rate comes before them.
func endpointPlots(axis *chart.Timeline, endpoint *Endpoint, bin time.Duration) (drawn []template.HTML) {
	if endpoint.LimitScope == endpoint.Name {
		drawn = append(drawn, axis.Draw(chart.Plot{
			Title:  fmt.Sprintf("destination %d, %s", endpoint.Destination, endpoint.Name),
			Unit:   "calls/s",
			Height: 120,
			Series: []chart.Series{
				{Name: "estimated limit", Colour: chart.Grey, Values: withGaps(endpoint.EstimatedLimit)},
				{Name: "last rejected rate", Colour: chart.Red, Values: withGaps(endpoint.LastRejectedRate)},
				{Name: "pacing rate", Colour: chart.Blue, Values: withGaps(endpoint.PacingRate)},
			},
		}))
	}
	perSecond := 1 / bin.Seconds()
	return append(drawn, axis.Draw(chart.Plot{
		Title:   "outcomes, " + endpoint.Name,
		Unit:    "attempts/s",
		Height:  90,
		Stacked: true,
		Series: []chart.Series{
			{Name: "delivered", Colour: chart.Green, Values: scaled(endpoint.Delivered, perSecond)},
			{Name: "rejected", Colour: chart.Orange, Values: scaled(endpoint.Rejected, perSecond)},
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

// withGaps returns a copy of a series in which 0, which means that there is no value, is replaced by a gap.
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
		{"ejected", endpoint.Ejected},
		{"warming up", endpoint.WarmingUp},
		{"Retry-After", endpoint.RetryAfter},
	} {
		start := -1 // first bin of the open span; -1: no span is open
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
<html lang="en"><meta charset="utf-8"><title>Why messages waited: {{.Name}}</title>
<style>
body { font: 14px/1.4 system-ui, sans-serif; color: #222; max-width: 1100px; margin: 1.5em auto; padding: 0 1em }
pre { background: #f6f4f0; padding: .6em; overflow-x: auto; font-size: 12px }
` + chart.Style + `
</style>
<h1>Why messages waited: {{.Name}}</h1>
<pre>{{.Text}}</pre>
<p>Time 0 of the plots is the start of the explained interval. The times in which an endpoint was ejected, warming up
or under a Retry-After are shaded. Hover over a shaded area for its name. The texts on this page name these
states "skipped", "in doubt" and "told to wait".</p>
{{range .Plots}}{{.}}
{{end}}<h2>Changes of endpoint state</h2>
<pre>{{.Changes}}</pre>
</html>
`))
