package relay

import (
	"context"
	"log/slog"
	"strconv"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// connObserver counts what happens on connections to endpoints in the metrics.
type connObserver struct{ metrics *metrics.Registry }

// newConnObserver returns an observer whose counters are all in the metrics from the start.
func newConnObserver(registry *metrics.Registry) connObserver {
	for _, reason := range egress.CloseReasons() {
		registry.ConnectionsClosed.Add(reason, 0)
	}
	for _, when := range egress.Surpluses() {
		registry.SurplusReceived.Add(when, 0)
	}
	return connObserver{registry}
}

// RequestWritten implements egress.Observer.
func (o connObserver) RequestWritten(messages int) { o.metrics.UpstreamRequests.Add(int64(messages)) }

// ConnOpened implements egress.Observer.
func (o connObserver) ConnOpened() { o.metrics.ConnectionsOpened.Add(1) }

// ConnClosed implements egress.Observer.
func (o connObserver) ConnClosed(reason egress.CloseReason) {
	o.metrics.ConnectionsClosed.Add(reason.String(), 1)
}

// SurplusReceived implements egress.Observer.
func (o connObserver) SurplusReceived(when egress.Surplus) {
	o.metrics.SurplusReceived.Add(when.String(), 1)
}

// clientObserver counts what happens on connections of clients in the metrics.
type clientObserver struct{ metrics *metrics.Registry }

// newClientObserver returns an observer whose counters of connections are all in the metrics from the start.
func newClientObserver(registry *metrics.Registry) clientObserver {
	for _, reason := range ingress.CloseReasons() {
		registry.ClientConnectionsClosed.Add(reason, 0)
	}
	return clientObserver{registry}
}

// ConnOpened implements ingress.Observer.
func (o clientObserver) ConnOpened() {
	o.metrics.ClientConnectionsOpened.Add(1)
	o.metrics.ClientConnections.Add(1)
}

// ConnClosed implements ingress.Observer.
func (o clientObserver) ConnClosed(reason ingress.CloseReason) {
	o.metrics.ClientConnections.Add(-1)
	o.metrics.ClientConnectionsClosed.Add(reason.String(), 1)
}

// RequestRejected implements ingress.Observer.
func (o clientObserver) RequestRejected(status int) {
	o.metrics.RequestsRejected.Add(strconv.Itoa(status), 1)
}

// debugEnabled reports whether the history of each message is logged.
func (r *Relay) debugEnabled() bool { return r.log.Enabled(context.Background(), slog.LevelDebug) }

// observeAttempt counts and logs the outcome of an attempt.
func (r *Relay) observeAttempt(a *attempt, result egress.Result) {
	r.metrics.Attempts.Add(result.Outcome.String(), 1)
	if r.debugEnabled() {
		r.log.Debug("attempt ended", "message", a.message.TraceID, "attempt", a.number, "endpoint", a.call.EndpointID,
			"zone", a.call.zone, "outcome", result.Outcome.String(), "message_ended", result.MessageEnded,
			"retry_after", result.RetryAfter, "latency", result.Latency)
	}
}

// logAccepted logs a message that was accepted.
func (r *Relay) logAccepted(m *journal.Message) {
	if r.debugEnabled() {
		r.log.Debug("message accepted", "message", m.TraceID, "class", m.ClassName, "destination", m.Destination,
			"body_bytes", m.Size(), "deadline", m.Deadline)
	}
}

// logCancelled logs that a message ended because its client left before the answer.
func (r *Relay) logCancelled(m *message) {
	if r.debugEnabled() {
		r.log.Debug("message cancelled", "message", m.TraceID, "in_flight", m.inFlight,
			"uncertain_attempts", len(m.UncertainAttempts))
	}
}

// logDuplicate logs the answer to a submission under the id of an earlier message, and the state of that message. known
// is nil if the message is finished.
func (r *Relay) logDuplicate(trace string, known *message, status int) {
	switch {
	case !r.debugEnabled():
	case known == nil:
		r.log.Debug("submission of a finished message", "message", trace, "status", status)
	default:
		r.log.Debug("submission of a known message", "message", trace, "status", status,
			"result", known.result.String(), "in_flight", known.inFlight)
	}
}

// logCallResumed logs that a call that waited for memory has got it.
func (r *Relay) logCallResumed(c *call) {
	if !r.debugEnabled() {
		return
	}
	for _, a := range c.attempts {
		r.log.Debug("call resumed with memory", "message", a.message.TraceID, "endpoint", c.EndpointID,
			"waited", time.Since(c.SentAt), "body_bytes", len(a.Body))
	}
}

// logFinal logs the final answer to a message that was not delivered.
func (r *Relay) logFinal(m *journal.Message, final journal.FinalAnswer) {
	if r.debugEnabled() {
		r.log.Debug("message not delivered", "message", m.TraceID, "retryable", final.Retryable,
			"uncertain_attempts", len(m.UncertainAttempts))
	}
}

// logNotified logs that the platform has confirmed a final notification.
func (r *Relay) logNotified(m *journal.Message) {
	if r.debugEnabled() {
		r.log.Debug("notification confirmed", "message", m.TraceID)
	}
}

// notificationRetried counts a request with final notifications that was not confirmed.
func (r *Relay) notificationRetried() { r.metrics.NotificationRetries.Add(1) }

// notificationsConfirmed counts notifications that the platform has confirmed, and tells the loop.
func (r *Relay) notificationsConfirmed(ids []policy.MessageID) {
	r.metrics.NotificationsSent.Add(int64(len(ids)))
	r.post(notificationsAcked{ids})
}
