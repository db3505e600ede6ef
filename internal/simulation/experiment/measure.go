package experiment

import (
	"math"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
)

// The names of measures that others refer to, as results have them.
const (
	MeasureService       = "service"
	MeasureWorst10s      = "worst_10s"
	MeasureLatencyP99    = "late_p99"
	MeasureRejected      = "refused"
	MeasureCalls         = "calls"
	MeasureCallsRejected = "calls_full"
	MeasureOverloads     = "fell"
	MeasureViolatedRules = "broken"
)

// Measure is a figure of a run.
type Measure struct {
	Name        string // its key in results
	Description string

	value func(*emulate.Metrics) float64 // nil: the metrics do not have it
}

// Measures are the measures of a run, in the order in which pages and comparisons have them.
var Measures = []Measure{
	{MeasureService, "worth delivered of the worth asked for", service},
	{MeasureWorst10s, "the same of the worst ten seconds", worst10s},
	{"in_full", "share of the messages delivered within the aim", perMessage(deliveredInTime)},
	{"late_p50", "seconds from hand-in to delivery, median", latencyPercentile(50)},
	{MeasureLatencyP99, "seconds from hand-in to delivery, 99 %", latencyPercentile(99)},
	{MeasureRejected, "share of the messages turned away at the door", perMessage(rejected)},
	{"deferred", "share given up on with advice to come again", perMessage(deferred)},
	{"failed", "share given up on with no promise", perMessage(failed)},
	{"undelivered", "share never delivered", perMessage((*emulate.Metrics).Undelivered)},
	{MeasureCalls, "calls for each message", perMessage(calls)},
	{MeasureCallsRejected, "share of the calls that were refused", perCall(callsRejected)},
	{"calls_failed", "share of the calls that failed", perCall(callsFailed)},
	{"connections", "new connections for each message", perMessage(connections)},
	{"connections_full", "share of them that a host with a full table refused", connectionsRefused},
	{MeasureOverloads, "destinations pushed over", overloads},
	{MeasureViolatedRules, "rules broken (judged runs)", nil},
}

// Measurements returns the measures of a run by their names, all but MeasureViolatedRules.
func Measurements(metrics *emulate.Metrics) map[string]float64 {
	values := map[string]float64{}
	for _, measure := range Measures {
		if measure.value != nil {
			values[measure.Name] = measure.value(metrics)
		}
	}
	return values
}

func service(m *emulate.Metrics) float64   { return roundFigure(m.Overall()) }
func worst10s(m *emulate.Metrics) float64  { return roundFigure(m.WorstWindow()) }
func overloads(m *emulate.Metrics) float64 { return float64(m.Overloads) }

func latencyPercentile(percentile float64) func(*emulate.Metrics) float64 {
	return func(m *emulate.Metrics) float64 { return m.LatencyPercentile(percentile).Seconds() }
}

func connectionsRefused(m *emulate.Metrics) float64 {
	return ratio(m.ConnectionsRefused, connections(m))
}

// The counts of a run that measures are ratios of.
func deliveredInTime(m *emulate.Metrics) int { return m.DeliveredInTime }
func rejected(m *emulate.Metrics) int        { return m.Rejected }
func deferred(m *emulate.Metrics) int        { return m.Deferred }
func failed(m *emulate.Metrics) int          { return m.Failed }
func calls(m *emulate.Metrics) int           { return m.Calls }
func callsRejected(m *emulate.Metrics) int   { return m.CallsRejected }
func callsFailed(m *emulate.Metrics) int     { return m.CallsFailed }
func connections(m *emulate.Metrics) int     { return m.ConnectionsOpened + m.ConnectionsRefused }

// perMessage returns the ratio of a count to the submitted messages.
func perMessage(count func(*emulate.Metrics) int) func(*emulate.Metrics) float64 {
	return func(m *emulate.Metrics) float64 { return ratio(count(m), m.Submitted) }
}

// perCall returns the ratio of a count to the calls.
func perCall(count func(*emulate.Metrics) int) func(*emulate.Metrics) float64 {
	return func(m *emulate.Metrics) float64 { return ratio(count(m), m.Calls) }
}

func ratio(n, of int) float64 { return roundFigure(float64(n) / float64(max(1, of))) }

// roundFigure rounds to the six digits that results have.
func roundFigure(x float64) float64 { return math.Round(1e6*x) / 1e6 }
