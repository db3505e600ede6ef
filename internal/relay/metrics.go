package relay

import (
	"io"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// metricsTimeout is how long a reader of the metrics waits for the loop: later values are of no use to it.
const metricsTimeout = 300 * time.Millisecond

// metricsRequest asks the loop to bring its gauges up to date.
type metricsRequest struct{ done chan struct{} }

// countResult counts the final result of a message.
func (r *Relay) countResult(m *journal.Message, result metrics.Result) {
	class := m.ClassName
	if class == "" && m.Class >= 0 && m.Class < len(r.activeConfig.ClassNames) {
		class = r.activeConfig.ClassNames[m.Class]
	}
	r.metrics.CountResult(class, result)
}

// finalResult is the result that a final answer is counted as.
func finalResult(f journal.FinalAnswer) metrics.Result {
	if f.Retryable {
		return metrics.Rejected
	}
	return metrics.Failed
}

// updateGauges brings the gauges of the loop's state up to date. An endpoint is unavailable while it drains, is
// ejected, or has a Retry-After that has not passed.
func (r *Relay) updateGauges() {
	r.metrics.Pending.Store(int64(r.pending))
	r.metrics.Members.Store(int64(r.catalog.EndpointCount()))
	views, _ := r.engine.Views()
	now := r.now()
	count := int64(r.drainingEndpoints)
	for _, v := range views {
		if v.InService && unavailable(v, now) {
			count++
		}
	}
	r.metrics.UnavailableMembers.Store(count)
}

func unavailable(v policy.EndpointView, now time.Duration) bool {
	return !v.InService || v.Ejected || now < v.EjectedUntil || now < v.RetryAfterUntil
}

// writeMetrics writes the metrics' page, with gauges that are up to date if the loop answers in time.
func (r *Relay) writeMetrics(w io.Writer) {
	r.refreshGauges()
	_, _ = r.metrics.WriteTo(w) // fails only if the reader has left
}

// refreshGauges asks the loop to update its gauges, and waits for that at most metricsTimeout.
func (r *Relay) refreshGauges() {
	timeout := time.NewTimer(metricsTimeout)
	defer timeout.Stop()
	request := metricsRequest{make(chan struct{})}
	select {
	case r.events <- request:
	case <-r.loopDone:
		return
	case <-timeout.C:
		return
	}
	select {
	case <-request.done:
	case <-r.loopDone:
	case <-timeout.C:
	}
}
