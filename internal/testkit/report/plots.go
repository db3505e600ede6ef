package report

import (
	"html/template"
	"math"
	"net/http"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/chart"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// newTimeline returns the time axis of a run, with its faults as shades, and restarts and overloads as marks.
func newTimeline(h eventlog.Header, events []eventlog.Event) *chart.Timeline {
	length := h.Duration
	if n := len(events); n > 0 {
		length = max(length, events[n-1].At)
	}
	timeline := chart.NewTimeline(length)
	for _, e := range events {
		switch e.Kind {
		case eventlog.FaultChanged:
			shadeFault(timeline, e)
		case eventlog.ProcessChanged:
			if isRestart(e.State) && e.At < h.Duration {
				timeline.Marks = append(timeline.Marks, chart.Mark{At: e.At, Text: e.Relay + " " + e.State})
			}
		case eventlog.ServiceOverloaded:
			timeline.Marks = append(timeline.Marks, chart.Mark{At: e.At, Text: e.Service + " overloaded"})
		}
	}
	return timeline
}

// shadeFault adds the shade of a fault that begins, or sets the end of the shade of a fault that ends.
func shadeFault(timeline *chart.Timeline, e eventlog.Event) {
	if e.State == eventlog.StateBegin {
		timeline.Shades = append(timeline.Shades, chart.Shade{Name: e.Name, From: e.At, To: timeline.Length})
		return
	}
	for i := range timeline.Shades {
		if timeline.Shades[i].Name == e.Name {
			timeline.Shades[i].To = e.At
		}
	}
}

// isRestart reports whether a process enters this state during a restart.
func isRestart(state string) bool {
	return state == eventlog.StateTerm || state == eventlog.StateKill || state == eventlog.StateUp
}

// plots returns the charts of a run.
func plots(timeline *chart.Timeline, h eventlog.Header, events []eventlog.Event) []template.HTML {
	messages := newMessageSeries(timeline, checker.MessageOutcomes(h, events))
	all := []template.HTML{
		timeline.Draw(chart.Plot{
			Title:  "service",
			Unit:   "by time due",
			Height: 150,
			Max:    1,
			Series: []chart.Series{
				{Name: "weight delivered / weight submitted", Colour: chart.Green, Values: messages.service},
			},
		}),
		timeline.Draw(chart.Plot{
			Title:  "latency",
			Unit:   "seconds, by time due",
			Height: 130,
			Series: []chart.Series{
				{Name: "95 %", Colour: chart.Orange, Values: messages.p95},
				{Name: "median", Colour: chart.Blue, Values: messages.median},
			},
		}),
		timeline.Draw(chart.Plot{
			Title:  "submitted",
			Unit:   "messages a second",
			Height: 110,
			Series: []chart.Series{{Name: "messages", Colour: chart.Blue, Values: messages.submitted}},
		}),
		timeline.Draw(chart.Plot{
			Title:   "calls",
			Unit:    "a second, by outcome",
			Height:  130,
			Stacked: true,
			Series:  callSeries(timeline, events),
		}),
	}
	return append(all, endpointPlots(timeline, events)...)
}

// messageSeries holds the figures of the messages that were due in each bin of the timeline.
type messageSeries struct {
	submitted []float64 // messages a second
	service   []float64 // weight delivered / weight submitted; NaN: nothing was submitted
	median    []float64 // latency in seconds; NaN: no message was delivered
	p95       []float64 // as median, at 95 %
}

func newMessageSeries(timeline *chart.Timeline, messages []checker.MessageOutcome) messageSeries {
	weight := timeline.Zeros()
	delivered := timeline.Zeros()
	latencies := make([][]time.Duration, timeline.Bins)
	series := messageSeries{
		submitted: timeline.Zeros(),
		service:   timeline.Zeros(),
		median:    timeline.Zeros(),
		p95:       timeline.Zeros(),
	}
	for _, m := range messages {
		bin := timeline.BinAt(m.DueAt)
		weight[bin] += m.Weight
		delivered[bin] += m.DeliveredWeight
		series.submitted[bin] += 1 / timeline.Bin.Seconds()
		if m.DeliveredAt > 0 {
			latencies[bin] = append(latencies[bin], m.DeliveredAt-m.DueAt)
		}
	}
	for bin := range series.service {
		series.service[bin] = math.NaN()
		if weight[bin] > 0 {
			series.service[bin] = delivered[bin] / weight[bin]
		}
		series.median[bin], series.p95[bin] = latencyQuantiles(latencies[bin])
	}
	return series
}

// latencyQuantiles sorts latencies and returns their median and 95th percentile in seconds; NaN if there are none.
func latencyQuantiles(latencies []time.Duration) (median, p95 float64) {
	n := len(latencies)
	if n == 0 {
		return math.NaN(), math.NaN()
	}
	slices.Sort(latencies)
	return latencies[n/2].Seconds(), latencies[min(n-1, n*95/100)].Seconds()
}

// The indexes of the series that callSeries returns.
const (
	deliveredCalls = iota
	rejectedCalls
	failedCalls
	unansweredCalls
)

// callSeries returns the calls a second by outcome. A call counts at the time at which it was received.
func callSeries(timeline *chart.Timeline, events []eventlog.Event) []chart.Series {
	series := []chart.Series{
		deliveredCalls:  {Name: "delivered", Colour: chart.Green, Values: timeline.Zeros()},
		rejectedCalls:   {Name: "refused", Colour: chart.Orange, Values: timeline.Zeros()},
		failedCalls:     {Name: "failed", Colour: chart.Red, Values: timeline.Zeros()},
		unansweredCalls: {Name: "no answer", Colour: chart.Grey, Values: timeline.Zeros()},
	}
	perSecond := 1 / timeline.Bin.Seconds()
	receivedIn := map[uint64]int{} // the bin in which each call was received
	for _, e := range events {
		switch e.Kind {
		case eventlog.CallReceived:
			bin := timeline.BinAt(e.At)
			receivedIn[e.Call] = bin
			series[unansweredCalls].Values[bin] += perSecond // until the call is answered
		case eventlog.CallAnswered:
			if bin, ok := receivedIn[e.Call]; ok {
				series[unansweredCalls].Values[bin] -= perSecond
				series[outcomeOf(e.Status)].Values[bin] += perSecond
			}
		}
	}
	return series
}

// outcomeOf returns the index of the series for calls that were answered with a status.
func outcomeOf(status int) int {
	switch status {
	case http.StatusOK:
		return deliveredCalls
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return rejectedCalls
	default:
		return failedCalls
	}
}
