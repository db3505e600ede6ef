package policy

import "time"

// BlockCause is the reason why a message is not sent to an endpoint.
type BlockCause int

// The causes, in the order in which they are evaluated. The first that applies is reported. Of the causes that end
// at a known time (OrderingPause to Paced), the one that ends last is reported.
const (
	NotBlocked        BlockCause = iota // the message is sent when its turn in the queue comes
	AttemptsExhausted                   // the message has no attempt or no time left
	EndpointDraining                    // the endpoint is draining
	WaitingForKey                       // an earlier message with the same ordering key is pending
	WrongDedupZone                      // the message may have run, and only endpoints of another zone drop repeats
	InsufficientTime                    // the time left is less than the endpoint's mean latency
	TrialInFlight                       // the endpoint is ejected, and the one trial call is in flight
	EndpointSaturated                   // too many calls are in flight, or the oldest of them are overdue
	OrderingPause                       // the message's ordering key is paused
	RetryAfterPending                   // a Retry-After is in force
	EndpointEjected                     // the endpoint is ejected
	WarmUpBudget                        // the recovery budget of a suspect endpoint is used up
	Paced                               // the scope's pacing rate does not allow a call yet
	ConcurrencyLimit                    // Settings.MaxInFlightCalls calls are in flight
	NoEndpoint                          // the message's destination has no endpoint
)

// Blocker is the reason why a waiting message is not sent to one endpoint.
type Blocker struct {
	MessageID MessageID
	Endpoint  string // empty with NoEndpoint
	Cause     BlockCause
	Until     time.Duration // end of the cause; math.MaxInt64 if only an outcome or an endpoint list change ends it
}

// Blockers returns what blocks each waiting message at each endpoint of its destination, sorted by destination and
// by position in the queue. Call it on a copy (Restore of a Snapshot): like a dispatch, it may mark an endpoint as
// suspect.
func (e *Engine) Blockers() (blockers []Blocker) {
	for _, dest := range e.sortedDestinations {
		for _, msg := range dest.queue {
			if !dest.hasEndpoints() {
				blockers = append(blockers, Blocker{MessageID: msg.id, Cause: NoEndpoint, Until: never})
			}
			for _, scope := range dest.scopes {
				for _, ep := range scope.endpoints {
					cause, until := e.findBlocker(msg, ep)
					blockers = append(blockers, Blocker{MessageID: msg.id, Endpoint: ep.ID, Cause: cause, Until: until})
				}
			}
		}
	}
	return blockers
}

// findBlocker returns what blocks a message at an endpoint, and until when.
func (e *Engine) findBlocker(msg *message, ep *endpoint) (BlockCause, time.Duration) {
	if cause := e.openEndedBlocker(msg, ep); cause != NotBlocked {
		return cause, never
	}
	cause, until := e.timedBlocker(msg, ep)
	limit := e.settings.MaxInFlightCalls
	if cause == NotBlocked && limit > 0 && e.callsInFlight >= limit {
		return ConcurrencyLimit, never
	}
	return cause, until
}

// openEndedBlocker returns the first cause that applies and has no known end, or NotBlocked if there is none.
func (e *Engine) openEndedBlocker(msg *message, ep *endpoint) BlockCause {
	switch {
	case e.attemptsExhausted(msg) || e.now >= msg.deadline:
		return AttemptsExhausted
	case !ep.InService || ep.Removed:
		return EndpointDraining
	case msg.keyQueue != nil && msg.keyQueue.messages[0] != msg:
		return WaitingForKey
	case e.attemptAllowedAt(msg, ep) == never:
		return WrongDedupZone
	case msg.deadline-e.now < ep.latencyMean:
		return InsufficientTime
	case ep.ejected && len(ep.calls) > 0:
		return TrialInFlight
	case e.saturated(ep):
		return EndpointSaturated
	}
	return NotBlocked
}

// timedBlocker returns, of the causes that end at a known time, the one that ends last, and its end. It returns
// NotBlocked if no such cause applies.
func (e *Engine) timedBlocker(msg *message, ep *endpoint) (cause BlockCause, until time.Duration) {
	until = e.now
	consider := func(candidate BlockCause, at time.Duration) {
		if at > until {
			cause = candidate
			until = at
		}
	}
	if msg.keyQueue != nil && msg.attempts == 0 {
		consider(OrderingPause, msg.keyQueue.pausedUntil)
	}
	consider(RetryAfterPending, ep.scope.retryAfterUntil)
	consider(EndpointEjected, ep.ejectedUntil)
	consider(WarmUpBudget, e.recoveryBudgetAt(ep))
	consider(Paced, e.acceptsCallAt(ep))
	return cause, until
}

// HasMessage reports whether the engine has a message: it has no final answer yet, or an attempt in flight.
func (e *Engine) HasMessage(id MessageID) bool { return e.messages[id] != nil }

// Suspect reports whether an endpoint may be coming back from an outage, as of the last step: it is ejected, or it
// takes calls from the recovery budget only. It is false for an endpoint that the engine does not have.
func (e *Engine) Suspect(endpointID string) bool {
	ep := e.endpoints[endpointID]
	if ep == nil {
		return false
	}
	return ep.ejected || ep.warmingUp && !e.isWarm(ep)
}

// RecoveryLapse returns the time after which a call that the recovery budget allowed, and that was not made, lapses.
func (e *Engine) RecoveryLapse() time.Duration {
	return time.Duration(recoveryLapseRatio * float64(e.settings.OverloadWindow))
}

// EndpointView is the state of an endpoint and of its limit scope. Rates are in calls a second.
type EndpointView struct {
	Endpoint
	PacingRate       float64 // of the scope; 0: not paced
	LastRejectedRate float64 // of the scope; 0: none
	Limit            float64 // of the scope, for all relays together; 0: not known
	FairShare        float64 // of the scope's capacity, for this relay
	RetryAfterUntil  time.Duration
	DecreasedAt      time.Duration // last decrease of the pacing rate; 0: none
	EjectedUntil     time.Duration
	RecoveredAt      time.Duration // first delivery since the endpoint became suspect; 0: none
	LatencyMean      time.Duration
	Ejected          bool
	WarmingUp        bool
	RecentlyHealthy  bool // the endpoint has delivered within recentlyHealthyWindow
	Calls            int  // in flight at the endpoint
	InFlight         int  // in flight in the scope
	Queued           int  // messages waiting at the destination
}

// Views returns the state of all endpoints, by destination, and the number of calls in flight.
func (e *Engine) Views() (views []EndpointView, callsInFlight int) {
	for _, dest := range e.sortedDestinations {
		for _, scope := range dest.scopes {
			for _, ep := range scope.endpoints {
				views = append(views, e.view(dest, scope, ep))
			}
		}
	}
	return views, e.callsInFlight
}

// view returns the state of one endpoint.
func (e *Engine) view(dest *destination, scope *limitScope, ep *endpoint) EndpointView {
	return EndpointView{
		Endpoint:         ep.Endpoint,
		PacingRate:       scope.pacingRate,
		LastRejectedRate: scope.lastRejectedRate,
		Limit:            e.knownLimit(scope),
		FairShare:        e.fairShare(scope),
		RetryAfterUntil:  scope.retryAfterUntil,
		DecreasedAt:      scope.decreasedAt,
		EjectedUntil:     ep.ejectedUntil,
		RecoveredAt:      ep.recoveredAt,
		LatencyMean:      ep.latencyMean,
		Ejected:          ep.ejected,
		WarmingUp:        ep.warmingUp,
		RecentlyHealthy:  e.recentlyHealthy(ep),
		Calls:            len(ep.calls),
		InFlight:         scope.inFlight,
		Queued:           len(dest.queue),
	}
}
