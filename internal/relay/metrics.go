package relay

import (
	"io"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// metricsTimeout bounds how long a request for the metrics waits for the loop to update the gauges. After that the
// gauges keep their previous values: a later response would be of no use to the client.
const metricsTimeout = 300 * time.Millisecond

// metricsRequest has the loop update its gauges and then close done.
type metricsRequest struct{ done chan struct{} }

// countResult counts the final result of a message in the metrics of its class.
func (r *Relay) countResult(m *journal.Message, result metrics.Result) {
	class := m.ClassName
	if class == "" && m.Class >= 0 && m.Class < len(r.activeConfig.ClassNames) {
		class = r.activeConfig.ClassNames[m.Class]
	}
	r.metrics.CountResult(class, result)
}

// finalResult returns the result that the metrics count for a final answer.
func finalResult(f journal.FinalAnswer) metrics.Result {
	if f.Retryable {
		return metrics.Rejected
	}
	return metrics.Failed
}

// updateGauges sets the gauges from the loop's state. An endpoint is unavailable while it drains, is ejected, or has a
// Retry-After that has not passed.
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

// writeMetrics writes the metrics page. Its gauges are up to date if the loop updates them within metricsTimeout.
func (r *Relay) writeMetrics(w io.Writer) {
	r.refreshGauges()
	r.updateMemoryGauges()
	_, _ = r.metrics.WriteTo(w) // fails only if the client has disconnected
}

// refreshGauges has the loop update its gauges, and waits for at most metricsTimeout.
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

// updateMemoryGauges sets the gauges of the process's memory.
func (r *Relay) updateMemoryGauges() {
	usage := memory.ReadUsage()
	r.metrics.MemoryResident.Store(usage.Resident)
	r.metrics.MemoryPeak.Store(usage.Peak)
	r.metrics.HeapBytes.Store(usage.Heap)
	r.metrics.GCCycles.Store(usage.GCCycles)
	for _, account := range memory.Accounts() {
		r.metrics.MemoryReserved.Set(account.String(), r.budget.Used(account))
		r.metrics.MemoryRefused.Set(account.String(), r.budget.Refused(account))
	}
}
