package policy

import (
	"slices"
	"time"
)

// limitScope is the scope that shares a limit, a pace, told waits and outages: a destination, or one route
// where its kind has separate routes.
type limitScope struct {
	destination         *destination
	endpoints           []*endpoint // sorted by rank
	perEndpoint         bool
	kind                int
	retryAfterUntil     time.Duration // no send before this: a told wait
	pacingRate          float64       // calls a second; 0: free
	lastRejectedRate    float64       // rate that was refused last
	decreasedAt         time.Duration
	increasedAt         time.Duration
	tokens              float64
	tokensUpdatedAt     time.Duration
	recentSends         []time.Duration // sends of the last second
	recoveryTokens      float64         // calls that routes in doubt may take now, as of recoveryUpdatedAt; one at most
	recoveryUpdatedAt   time.Duration
	lastFailureSentAt   time.Duration // latest send of a call that failed at once
	suspectRemovedAt    time.Duration // when a route in doubt last left the list; long ago if none
	reportedLimit       float64       // reported, calls a second
	deliveryRate        float64       // own deliveries a second, in the mean, as of deliveryRateAt
	deliveryRateAt      time.Duration
	inFlight            int // calls out
	consecutiveFailures int // failures in a row
	connectExhaustions  int // failed connections that looked like a full table, since the last delivery

	quotaShared      bool          // others may use a part of this sender's, and it of theirs
	reservedFraction float64       // of its even part that is its own
	grantedCalls     int           // calls beyond it
	grantExpiresAt   time.Duration // until then
	quotaRequestedAt time.Duration
}

// endpoint is one way to a destination, with its entry in the skip table.
type endpoint struct {
	Endpoint
	scope                         *limitScope
	tieBreaker                    uint64        // decides between equal routes
	calls                         []*call       // out, in order of sending
	ejectedUntil                  time.Duration // skipped by messages before this
	ejectionTime                  time.Duration // length of the last skip; 0 in good standing
	ejected                       bool          // skipped, and nothing delivered since
	warmingUp                     bool          // may be in an outage or coming back from one
	answerLost                    bool          // an answer was, and none came since
	weaklySuspected               bool          // on one failure alone: one delivery clears it
	lastFailureSentAt             time.Duration // gate's, as of the last doubt
	recoveredAt                   time.Duration // first delivery of a call sent since then, while cold; 0: none yet
	consecutiveSuccesses          int           // deliveries in a row since the last doubt
	consecutiveFailures           int           // failures in a row
	recentFailures                uint8         // last 8 deliveries, errors and failed connections, a bit set for a failure
	consecutiveRejections         int           // refusals since the last other answer
	firstRejectedAt               time.Duration // the first of them
	lastSuccessAt                 time.Duration // last delivery
	lastAnsweredSendAt            time.Duration // latest send that was answered
	latencyMean, latencyDeviation time.Duration // answer times
}

// hasSuspect tells whether a route of the gate is in doubt.
func (scope *limitScope) hasSuspect() bool {
	return slices.ContainsFunc(scope.endpoints, func(other *endpoint) bool { return other.warmingUp })
}

// recentlyHealthy tells whether a route has answered of late.
func (e *Engine) recentlyHealthy(ep *endpoint) bool {
	return ep.lastSuccessAt > 0 && e.now-ep.lastSuccessAt < recentlyHealthyWindow
}

// recordLimit notes what a route's destination told of its limit.
func (e *Engine) recordLimit(ep *endpoint, report LimitReport) {
	if report.Present && report.Limit > 0 {
		ep.scope.reportedLimit = report.Limit
		if least := e.lowestReportedLimit[ep.Kind]; least == 0 || report.Limit < least {
			e.lowestReportedLimit[ep.Kind] = report.Limit
		}
	}
}
