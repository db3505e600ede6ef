package relay

import (
	"io"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// countResult counts the end of a message.
func (r *Relay) countResult(m *journal.Message, e metrics.Result) {
	class := m.ClassName
	if class == "" && m.Class >= 0 && m.Class < len(r.activeConfig.ClassNames) {
		class = r.activeConfig.ClassNames[m.Class]
	}
	r.metrics.CountResult(class, e)
}

func finalResult(f journal.FinalAnswer) metrics.Result {
	if f.Retryable {
		return metrics.Rejected
	}
	return metrics.Failed
}

// updateGauges brings the loop's own figures up to date. A host is avoided while it drains, is skipped, or told to
// wait.
func (r *Relay) updateGauges() {
	r.metrics.Pending.Store(int64(r.pending))
	r.metrics.Members.Store(int64(r.catalog.EndpointCount()))
	views, _ := r.engine.Views()
	avoided, now := int64(r.drainingEndpoints), r.now()
	for _, v := range views {
		if v.InService && unavailable(v, now) {
			avoided++
		}
	}
	r.metrics.UnavailableMembers.Store(avoided)
}

func unavailable(v policy.EndpointView, now time.Duration) bool {
	return !v.InService || v.Ejected || now < v.EjectedUntil || now < v.RetryAfterUntil
}

// writeMetrics asks the loop for its own figures, but does not wait for long: late ones are of no use.
func (r *Relay) writeMetrics(w io.Writer) {
	late := time.NewTimer(metricsTimeout)
	defer late.Stop()
	g := metricsRequest{make(chan struct{})}
	select {
	case r.events <- g:
		select {
		case <-g.done:
		case <-r.loopDone:
		case <-late.C:
		}
	case <-r.loopDone:
	case <-late.C:
	}
	r.metrics.WriteTo(w)
}
