package policy

import (
	"slices"
	"time"
)

// limitScope is the set of endpoints that share a rate limit, a Retry-After time and their outages: all endpoints of a
// destination, or a single one where its kind has a limit per endpoint.
type limitScope struct {
	destination *destination
	endpoints   []*endpoint // in the order of selection
	perEndpoint bool        // holds a single endpoint
	kind        int

	retryAfterUntil time.Duration // no call before this: a Retry-After is in force
	inFlight        int           // calls

	// Pacing, see pacing.go.
	pacingRate       float64 // calls a second; 0: not paced
	lastRejectedRate float64 // rate at the last rejection; 0: none
	decreasedAt      time.Duration
	increasedAt      time.Duration
	tokens           float64
	tokensUpdatedAt  time.Duration
	recentSends      []time.Duration // calls of the last second

	// Capacity, see capacity.go.
	reportedLimit  float64 // calls a second; 0: not reported
	deliveryRate   float64 // mean of this relay's deliveries a second, as of deliveryRateAt
	deliveryRateAt time.Duration

	// Health, see outcome.go and slowstart.go.
	recoveryTokens      float64 // calls that suspect endpoints may take, as of recoveryUpdatedAt; one at most
	recoveryUpdatedAt   time.Duration
	lastFailureSentAt   time.Duration // latest send of a call that failed at once
	suspectRemovedAt    time.Duration // last removal of a suspect endpoint; in the distant past if none
	consecutiveFailures int           // over all endpoints
	connectExhaustions  int           // connections that failed as at a full table, since the last delivery

	// Quota lent and borrowed, see quota.go.
	quotaShared      bool          // other relays may use a part of this one's share, and it of theirs
	reservedFraction float64       // of the even share that is not lent
	grantedCalls     int           // calls that may be made beyond it
	grantExpiresAt   time.Duration // and until when
	quotaRequestedAt time.Duration
}

// endpoint is an entry of the endpoint list with its state. There may be very many: small fields stand side by side.
type endpoint struct {
	Endpoint
	scope      *limitScope
	tieBreaker uint64  // orders equal endpoints
	calls      []*call // in flight, in the order in which they were sent

	// Ejection, see ejection.go.
	ejectedUntil time.Duration // messages pass it by before this
	ejectionTime time.Duration // length of the last ejection; 0 if it has delivered since
	ejected      bool          // was ejected, and has delivered nothing since

	// Suspicion and recovery, see suspicion.go and slowstart.go.
	warmingUp            bool          // suspect: may be in an outage, or is coming back from one
	weaklySuspected      bool          // on the evidence of one failure: one delivery clears it
	lastFailureSentAt    time.Duration // the scope's, when the endpoint became suspect
	recoveredAt          time.Duration // first delivery of a call sent after that, while warming up; 0: none yet
	consecutiveSuccesses int           // since the endpoint became suspect

	// Outcomes, see outcome.go.
	consecutiveFailures   int
	answerLost            bool          // an answer was lost, and none came since
	recentFailures        uint8         // last 8 deliveries, errors and failed connections; failures have their bit set
	consecutiveRejections int           // since the last answer of another kind
	firstRejectedAt       time.Duration // the first of them
	lastSuccessAt         time.Duration
	lastAnsweredSendAt    time.Duration // latest send that was answered

	latencyMean      time.Duration
	latencyDeviation time.Duration // mean deviation
}

// recentlyHealthyWindow is the time for which one delivery shows that an endpoint is up.
const recentlyHealthyWindow = 3 * time.Second

// recentlyHealthy reports whether an endpoint has delivered of late.
func (e *Engine) recentlyHealthy(ep *endpoint) bool {
	return ep.lastSuccessAt > 0 && e.now-ep.lastSuccessAt < recentlyHealthyWindow
}

// hasSuspect reports whether an endpoint of the scope is suspect.
func (scope *limitScope) hasSuspect() bool {
	return slices.ContainsFunc(scope.endpoints, func(ep *endpoint) bool { return ep.warmingUp })
}

// retryAfter blocks the scope until the given time, unless it is blocked for longer. It holds for all messages, not
// only for the one whose answer carried the Retry-After.
func (scope *limitScope) retryAfter(until time.Duration) {
	scope.retryAfterUntil = max(scope.retryAfterUntil, until)
}
