package emulate

import (
	"math"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// Measures are what a run is counted by as it goes, in a room that does not grow with the messages.
type Metrics struct {
	Submitted          int // first tries
	DeliveredInTime    int // delivered within the aim
	DeliveredLate      int // delivered after it
	Rejected           int // hand-ins turned away at the door, further tries too
	Deferred           int // notices that tell to come again
	Failed             int // notices that promise nothing, and answers that are neither taken nor refused
	Unanswered         int // hand-ins without an answer
	Calls              int // that were written
	CallsServed        int
	CallsRejected      int
	CallsFailed        int
	ConnectionsOpened  int // connections to hosts
	ConnectionsRefused int // connections that a host with a full table refused
	Overloads          int // places pushed over
	Steps              int // of modules
	Events             int // told to them
	Activations        int // destinations that modules were told of when there was work for them

	classes         []eventlog.Class
	submittedWeight []float64 // asked for, in each second
	deliveredWeight []float64 // of it, delivered
	latencies       *hdrhistogram.Histogram
}

const (
	maxLatency         = 10 * time.Minute
	worstWindowSeconds = 10 // seconds
)

func (m *Metrics) init(classes []eventlog.Class, length time.Duration) {
	m.classes = classes
	m.submittedWeight = make([]float64, int(length/time.Second)+1)
	m.deliveredWeight = make([]float64, len(m.submittedWeight))
	m.latencies = hdrhistogram.New(int64(10*time.Microsecond), int64(maxLatency), 3)
}

func (w *World) weightOf(x *clientMessage) float64 {
	worth := w.classes[x.class].Weight
	if x.overShare {
		worth *= w.header.Rules.OverShareWeightRatio
	}
	return worth
}

func (m *Metrics) secondOf(at time.Duration) int {
	return min(len(m.submittedWeight)-1, int(at/time.Second))
}

func (w *World) recordSubmission(x *clientMessage) {
	w.Submitted++
	w.submittedWeight[w.secondOf(x.submittedAt)] += w.weightOf(x)
}

// delivered counts a delivery, of the first try's the first.
func (w *World) recordDelivery(m *message) {
	x := m.origin
	if x.delivered {
		return
	}
	x.delivered = true
	if w.options.OnDelivery != nil {
		w.options.OnDelivery(x.destination, x.submittedAt, w.Now())
	}
	c := w.classes[x.class]
	took := w.Now() - x.submittedAt
	if took <= c.LatencyObjective {
		w.DeliveredInTime++
	} else {
		w.DeliveredLate++
	}
	w.deliveredWeight[w.secondOf(x.submittedAt)] += w.weightOf(x) * checker.WeightRatioAfter(c, took)
	w.latencies.RecordValue(int64(min(took, maxLatency))) // within its range
}

// Whole is the worth delivered of the worth asked for.
func (m *Metrics) Overall() float64 { return m.OverallBetween(0, maxLatency*1000) }

// Between is the same of what was asked for in a span of whole seconds.
func (m *Metrics) OverallBetween(from, to time.Duration) float64 {
	worth, value := 0.0, 0.0
	for i := int(from / time.Second); i < len(m.submittedWeight) && time.Duration(i)*time.Second < to; i++ {
		worth, value = worth+m.submittedWeight[i], value+m.deliveredWeight[i]
	}
	if worth == 0 {
		return 1
	}
	return value / worth
}

// Worst10s is the worst of any ten seconds, a second apart.
func (m *Metrics) WorstWindow() float64 {
	worst := math.Inf(1)
	for from := 0; from == 0 || from+worstWindowSeconds < len(m.submittedWeight); from++ {
		worst = min(worst, m.OverallBetween(time.Duration(from)*time.Second, time.Duration(from+worstWindowSeconds)*time.Second))
	}
	return worst
}

// Undelivered are the first tries that were never delivered.
func (m *Metrics) Undelivered() int { return m.Submitted - m.DeliveredInTime - m.DeliveredLate }

// Late is the time from hand-in to delivery at a percentile of the delivered, to three digits.
func (m *Metrics) LatencyPercentile(percentile float64) time.Duration {
	return time.Duration(m.latencies.ValueAtPercentile(percentile))
}

// Histogram is the times from hand-in to delivery, in nanoseconds.
func (m *Metrics) Latencies() *hdrhistogram.Histogram { return m.latencies }
