package policy

import (
	"slices"
	"time"
)

// limitScope is the set of endpoints that share a rate limit, a Retry-After time and outages: all endpoints of a
// destination, or a single endpoint if the destination's kind has a limit per endpoint.
type limitScope struct {
	destination *destination
	endpoints   []*endpoint // in the order of selection
	perEndpoint bool        // holds a single endpoint
	kind        int

	retryAfterUntil time.Duration // no call before this: a Retry-After is in force
	inFlight        int           // calls in flight

	// Pacing, see pacing.go.
	pacingRate       float64 // calls a second; 0: not paced
	lastRejectedRate float64 // rate at the last rejection; 0: none
	decreasedAt      time.Duration
	increasedAt      time.Duration
	tokens           float64
	tokensUpdatedAt  time.Duration
	recentSends      []time.Duration // send times of the calls of the last second

	// Capacity, see capacity.go.
	reportedLimit  float64 // calls a second; 0: not reported
	deliveryRate   float64 // mean of this relay's deliveries a second, as of deliveryRateAt
	deliveryRateAt time.Duration

	// Health, see outcome.go and slowstart.go.
	recoveryTokens      float64 // calls that suspect endpoints may take, as of recoveryUpdatedAt; overdue ones lapse
	recoveryUpdatedAt   time.Duration
	lastFailureSentAt   time.Duration // latest send time of a call that failed at once or was rejected
	suspectRemovedAt    time.Duration // last removal of a suspect endpoint; in the distant past if none
	consecutiveFailures int           // over all endpoints of the scope
	connectExhaustions  int           // connections that failed as at a full connection table since the last delivery

	// Quota lent and borrowed, see quota.go.
	quotaShared      bool          // this relay and the others lend each other parts of their shares
	reservedFraction float64       // fraction of this relay's even share that is not lent
	grantedCalls     int           // granted calls left, in addition to this relay's share
	grantExpiresAt   time.Duration // when the granted calls expire
	quotaRequestedAt time.Duration
}

// endpoint is an entry of the endpoint list with its state. There may be very many endpoints, so small fields are
// placed next to each other to save memory.
type endpoint struct {
	Endpoint
	scope      *limitScope
	tieBreaker uint64  // random; orders endpoints that are otherwise equal
	calls      []*call // in flight, in the order in which they were sent

	// Ejection, see ejection.go.
	ejectedUntil time.Duration // no message is sent to the endpoint before this
	ejectionTime time.Duration // length of the last ejection; 0 if the endpoint has delivered since
	ejected      bool          // was ejected, and has delivered nothing since

	// Suspicion and recovery, see suspicion.go and slowstart.go.
	warmingUp            bool          // suspect: may be in an outage, or is coming back from one
	weaklySuspected      bool          // the suspicion is weak, as after a single failure: one delivery may clear it
	lastFailureSentAt    time.Duration // the scope's lastFailureSentAt when the endpoint became suspect
	recoveredAt          time.Duration // first delivery, while suspect, of a call sent after lastFailureSentAt; 0: none
	consecutiveSuccesses int           // since the endpoint became suspect

	// Outcomes, see outcome.go.
	consecutiveFailures   int
	answerLost            bool          // a connection broke before the answer, and no delivery followed
	recentFailures        uint8         // last 8 deliveries, errors and failed connections, a bit each; 1: failure
	consecutiveRejections int           // since the last delivery or failure
	firstRejectedAt       time.Duration // time of the first of these rejections
	lastSuccessAt         time.Duration
	lastAnsweredSendAt    time.Duration // latest send time of a call that was delivered

	latencyMean      time.Duration
	latencyDeviation time.Duration // mean deviation from latencyMean
}

// recentlyHealthyWindow is the time after a delivery for which an endpoint counts as healthy.
const recentlyHealthyWindow = 3 * time.Second

// recentlyHealthy reports whether an endpoint has delivered within recentlyHealthyWindow.
func (e *Engine) recentlyHealthy(ep *endpoint) bool {
	return ep.lastSuccessAt > 0 && e.now-ep.lastSuccessAt < recentlyHealthyWindow
}

// hasSuspect reports whether an endpoint of the scope is suspect.
func (scope *limitScope) hasSuspect() bool {
	return slices.ContainsFunc(scope.endpoints, func(ep *endpoint) bool { return ep.warmingUp })
}

// retryAfter blocks the scope until the given time, unless it is already blocked for longer. The block applies to
// all messages, not only to the one whose answer carried the Retry-After.
func (scope *limitScope) retryAfter(until time.Duration) {
	scope.retryAfterUntil = max(scope.retryAfterUntil, until)
}
