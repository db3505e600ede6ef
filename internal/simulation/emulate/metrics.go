package emulate

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// minLatency and maxLatency are the range of the latency histogram; longer latencies count as maxLatency.
	minLatency = 10 * time.Microsecond
	maxLatency = 10 * time.Minute
	// latencyDigits is the precision of the latency histogram, in significant digits.
	latencyDigits = 3
	// worstWindow is the length of the window of Metrics.WorstWindow, in seconds.
	worstWindow = 10
)

// Metrics are the figures of a run, which are counted while it is played. Their size does not grow with the number of
// messages.
type Metrics struct {
	Submitted       int // messages
	DeliveredInTime int // within the latency objective
	DeliveredLate   int
	Rejected        int // submissions
	Deferred        int // notices that the client is to submit a message again
	Failed          int // notices that a message failed, and submissions that were answered with an error
	Unanswered      int // submissions

	Calls         int // whose requests were sent completely
	CallsServed   int
	CallsRejected int
	CallsFailed   int

	ConnectionsOpened  int
	ConnectionsRefused int // attempts to connect that exceeded Options.MaxConnections
	Overloads          int // services that were overloaded during their warm-up

	Steps       int // of decision engines
	Events      int // passed to decision engines
	Activations int // additions of a destination to the working set of an engine

	classes         []eventlog.Class
	submittedWeight []float64 // weight of the submitted messages, by the second of their first submission
	deliveredWeight []float64 // weight of the delivered messages, by the second of their first submission
	latencies       *hdrhistogram.Histogram
}

func (m *Metrics) initMetrics(classes []eventlog.Class, length time.Duration) {
	seconds := int(length/time.Second) + 1
	m.classes = classes
	m.submittedWeight = make([]float64, seconds)
	m.deliveredWeight = make([]float64, seconds)
	m.latencies = hdrhistogram.New(int64(minLatency), int64(maxLatency), latencyDigits)
}

// weightOf returns the weight of a message, which is reduced if its customer exceeded its share on submission.
func (w *World) weightOf(m *clientMessage) float64 {
	weight := w.classes[m.class].Weight
	if m.overShare {
		weight *= w.header.Rules.OverShareWeightRatio
	}
	return weight
}

// secondOf returns the index of a time in the weights. Times after the plan's end count in its last second.
func (m *Metrics) secondOf(at time.Duration) int {
	return min(len(m.submittedWeight)-1, int(at/time.Second))
}

// countSubmission counts the first submission of a message.
func (w *World) countSubmission(m *clientMessage) {
	w.Submitted++
	w.submittedWeight[w.secondOf(m.submittedAt)] += w.weightOf(m)
}

// countDelivery counts a delivery, if it is the first one of the client's message.
func (w *World) countDelivery(m *clientMessage) {
	if m.delivered {
		return
	}
	m.delivered = true
	if w.options.OnDelivery != nil {
		w.options.OnDelivery(m.destination, m.submittedAt, w.Now())
	}
	class := w.classes[m.class]
	latency := w.Now() - m.submittedAt
	if latency <= class.LatencyObjective {
		w.DeliveredInTime++
	} else {
		w.DeliveredLate++
	}
	w.deliveredWeight[w.secondOf(m.submittedAt)] += w.weightOf(m) * checker.WeightRatioAfter(class, latency)
	_ = w.latencies.RecordValue(int64(min(latency, maxLatency))) // RecordValue fails only above the range
}

// Overall returns the ratio of the delivered weight to the submitted weight, from 0 to 1; 1 if nothing was submitted.
func (m *Metrics) Overall() float64 { return m.overallOf(0, len(m.submittedWeight)) }

// OverallBetween returns the ratio of Overall for the messages that were submitted in a span of whole seconds.
func (m *Metrics) OverallBetween(from, to time.Duration) float64 {
	end := int((to + time.Second - 1) / time.Second)
	return m.overallOf(int(from/time.Second), min(end, len(m.submittedWeight)))
}

// overallOf returns the ratio of Overall for the messages that were submitted in the seconds from "from" until before
// "to".
func (m *Metrics) overallOf(from, to int) float64 {
	submitted, delivered := 0.0, 0.0
	for second := from; second < to; second++ {
		submitted += m.submittedWeight[second]
		delivered += m.deliveredWeight[second]
	}
	if submitted == 0 {
		return 1
	}
	return delivered / submitted
}

// WorstWindow returns the lowest ratio of Overall in any ten seconds that begin at a whole second.
func (m *Metrics) WorstWindow() float64 {
	worst := math.Inf(1)
	for from := 0; from == 0 || from+worstWindow < len(m.submittedWeight); from++ {
		worst = min(worst, m.overallOf(from, min(from+worstWindow, len(m.submittedWeight))))
	}
	return worst
}

// Undelivered returns how many messages were never delivered.
func (m *Metrics) Undelivered() int { return m.Submitted - m.DeliveredInTime - m.DeliveredLate }

// LatencyPercentile returns a percentile of the latencies of the messages that were delivered, to three significant
// digits.
func (m *Metrics) LatencyPercentile(percentile float64) time.Duration {
	return time.Duration(m.latencies.ValueAtPercentile(percentile))
}

// Latencies returns the latencies of the messages that were delivered, in nanoseconds.
func (m *Metrics) Latencies() *hdrhistogram.Histogram { return m.latencies }
