package experiment

import (
	"math"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
)

// The names of the measures that other code refers to. They are keys of Result.Measures.
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

// Measure is a figure of a run, such as the number of calls per message.
type Measure struct {
	Name        string // key in Result.Measures
	Description string

	value func(*emulate.Metrics) float64 // nil: not computed from the metrics
}

// Measures are the measures of a run, in the order of pages and comparisons.
var Measures = []Measure{
	{MeasureService, "delivered weight / submitted weight", service},
	{MeasureWorst10s, "delivered weight / submitted weight, worst ten seconds", worst10s},
	{"in_full", "share of the messages delivered within the latency objective", perMessage(deliveredInTime)},
	{"late_p50", "seconds from submission to delivery, median", latencyPercentile(50)},
	{MeasureLatencyP99, "seconds from submission to delivery, 99th percentile", latencyPercentile(99)},
	{MeasureRejected, "rejected submissions per message", perMessage(rejected)},
	{"deferred", "share of the messages deferred, to be submitted again", perMessage(deferred)},
	{"failed", "share of the messages failed, with no advice to submit again", perMessage(failed)},
	{"undelivered", "share of the messages never delivered", perMessage((*emulate.Metrics).Undelivered)},
	{MeasureCalls, "calls per message", perMessage(calls)},
	{MeasureCallsRejected, "share of the calls that were rejected", perCall(callsRejected)},
	{"calls_failed", "share of the calls that failed", perCall(callsFailed)},
	{"connections", "new connections per message, refused ones included", perMessage(connections)},
	{"connections_full", "share of the new connections refused by an endpoint at its limit", connectionsRefused},
	{MeasureOverloads, "services overloaded during their warm-up", overloads},
	{MeasureViolatedRules, "violated rules, if the plan has judged = true", nil},
}

// Measurements returns the values of all measures of a run by name, except MeasureViolatedRules.
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

// The counts from which the ratios of the measures are computed.
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

// roundFigure rounds to the six decimal places that results are stored with.
func roundFigure(x float64) float64 { return math.Round(1e6*x) / 1e6 }
