package report

import (
	"cmp"
	"fmt"
	"html/template"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/chart"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// maxEndpointPlots bounds how many endpoints have a plot, so that the page of a large run stays readable.
const maxEndpointPlots = 60

// endpointSeries holds the calls a second that an endpoint received and could serve, in each bin of the timeline.
type endpointSeries struct {
	id          string
	destination int
	received    []float64
	capacity    []float64
	current     upstream.WarmUp // capacity from the last change on
	filled      int             // leading bins of capacity that are set
}

// fillCapacity sets the capacity of the bins before end that are not set yet, from the current warm-up.
func (s *endpointSeries) fillCapacity(end int, bin time.Duration) {
	for ; s.filled < end; s.filled++ {
		s.capacity[s.filled] = s.current.CapacityAt(time.Duration(s.filled)*bin + bin/2)
	}
}

// endpointPlots draws the calls that each endpoint received, together with its capacity.
func endpointPlots(timeline *chart.Timeline, events []eventlog.Event) []template.HTML {
	endpoints := newEndpointSeries(timeline, events)
	var all []template.HTML
	for _, s := range endpoints[:min(maxEndpointPlots, len(endpoints))] {
		s.fillCapacity(timeline.Bins, timeline.Bin)
		all = append(all, timeline.Draw(chart.Plot{
			Title:  fmt.Sprintf("%s of destination %d", s.id, s.destination),
			Unit:   "calls a second",
			Height: 84,
			Series: []chart.Series{
				{Name: "capacity", Colour: chart.Grey, Values: s.capacity},
				{Name: "received", Colour: chart.Blue, Values: s.received},
			},
		}))
	}
	return all
}

// newEndpointSeries returns the series of all endpoints, sorted by destination. Those of one destination are in the
// order of the first CapacityChanged event of each endpoint.
func newEndpointSeries(timeline *chart.Timeline, events []eventlog.Event) []*endpointSeries {
	byID := map[string]*endpointSeries{}
	var order []*endpointSeries
	for _, e := range events {
		s := byID[e.Endpoint]
		switch e.Kind {
		case eventlog.CapacityChanged:
			if s == nil {
				s = &endpointSeries{
					id:          e.Endpoint,
					destination: e.Destination,
					received:    timeline.Zeros(),
					capacity:    timeline.Zeros(),
				}
				byID[e.Endpoint] = s
				order = append(order, s)
			}
			s.fillCapacity(timeline.BinAt(e.At), timeline.Bin)
			s.current = upstream.WarmUp{
				StartedAt:       e.At,
				FullCapacity:    e.Rate,
				InitialCapacity: e.Share,
				Duration:        e.Duration,
			}
		case eventlog.CallReceived:
			if s != nil {
				s.received[timeline.BinAt(e.At)] += 1 / timeline.Bin.Seconds()
			}
		}
	}
	slices.SortStableFunc(order, func(a, b *endpointSeries) int { return cmp.Compare(a.destination, b.destination) })
	return order
}
