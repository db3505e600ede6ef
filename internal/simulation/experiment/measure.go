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
}

// Measures are the measures of a run, in the order in which pages and comparisons have them.
var Measures = []Measure{
	{MeasureService, "worth delivered of the worth asked for"},
	{MeasureWorst10s, "the same of the worst ten seconds"},
	{"in_full", "share of the messages delivered within the aim"},
	{"late_p50", "seconds from hand-in to delivery, median"},
	{MeasureLatencyP99, "seconds from hand-in to delivery, 99 %"},
	{MeasureRejected, "share of the messages turned away at the door"},
	{"deferred", "share given up on with advice to come again"},
	{"failed", "share given up on with no promise"},
	{"undelivered", "share never delivered"},
	{MeasureCalls, "calls for each message"},
	{MeasureCallsRejected, "share of the calls that were refused"},
	{"calls_failed", "share of the calls that failed"},
	{"connections", "new connections for each message"},
	{"connections_full", "share of them that a host with a full table refused"},
	{MeasureOverloads, "destinations pushed over"},
	{MeasureViolatedRules, "rules broken (judged runs)"},
}

// Measurements returns the measures of a run by their names, all but MeasureViolatedRules.
func Measurements(m *emulate.Metrics) map[string]float64 {
	connections := m.ConnectionsOpened + m.ConnectionsRefused
	return map[string]float64{
		MeasureService:       roundFigure(m.Overall()),
		MeasureWorst10s:      roundFigure(m.WorstWindow()),
		"in_full":            ratio(m.DeliveredInTime, m.Submitted),
		"late_p50":           m.LatencyPercentile(50).Seconds(),
		MeasureLatencyP99:    m.LatencyPercentile(99).Seconds(),
		MeasureRejected:      ratio(m.Rejected, m.Submitted),
		"deferred":           ratio(m.Deferred, m.Submitted),
		"failed":             ratio(m.Failed, m.Submitted),
		"undelivered":        ratio(m.Undelivered(), m.Submitted),
		MeasureCalls:         ratio(m.Calls, m.Submitted),
		MeasureCallsRejected: ratio(m.CallsRejected, m.Calls),
		"calls_failed":       ratio(m.CallsFailed, m.Calls),
		"connections":        ratio(connections, m.Submitted),
		"connections_full":   ratio(m.ConnectionsRefused, connections),
		MeasureOverloads:     float64(m.Overloads),
	}
}

func ratio(n, of int) float64 { return roundFigure(float64(n) / float64(max(1, of))) }

// roundFigure rounds to the six digits that results have.
func roundFigure(x float64) float64 { return math.Round(1e6*x) / 1e6 }
