// Package policy makes a sender's decisions: which route a message tries, when it moves on, waits, is refused
// or fails. Its interface stands in api.go; all decisions stand here. The mechanism is a tiered provider
// selector: a message tries the routes of its destination in a fixed order, the first failure rule that
// matches an outcome decides, and a failing route is skipped by later messages until its skip expires.
package policy

import (
	"cmp"
	"math"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	initialEjectionTime        = 2 * time.Second         // first skip: most outages last longer, a trial costs one call
	maxEjectionTime            = 10 * time.Second        // longest skip, the page's own length
	ejectionGrowth             = 1.5                     // factor from one skip to the next while trials fail
	ejectionJitter             = 0.2                     // share by which a skip varies: senders do not return in step
	outageRetryAfter           = 2500 * time.Millisecond // a told wait beyond this means shut, not a limit's span
	outageRejections           = 4                       // refusals in a row, with no answer between, that mean shut
	sparseOutageRejections     = 2                       // refusals in a row after which a sparse sender doubts
	weakSignalProbability      = 0.6                     // chance that one does, and that a connection failed at once does
	sparseSpreadCalls          = 1.0                     // calls at the pace over which refused sparse senders spread
	minOutageRejectionTime     = 2 * time.Second         // and over at least this long: longer than a limit's usual span
	ejectAfterFailures         = 3                       // failures in a row that skip a route
	suspectAfterFailures       = 2                       // failures in a row after which a route may be in an outage
	suspectAfterRecentFailures = 3                       // errors or failed connections of the last 8 outcomes that say so
	ejectAfterRecentFailures   = 5                       // the same that skip a route
	pacingRestartRate          = 1.0                     // calls a second after a skip
	minPacingRate              = 0.03                    // calls a second under which a pace does not fall
	minPacingShareRatio        = 0.5                     // of its even part of the limit: a pace does not fall below
	pacingGrowth               = 0.25                    // growth of the pace with each success
	cautiousPacingGrowth       = 0.03                    // the same near the rate that was refused last
	maxGrowthSeconds           = 8                       // most seconds that one success counts for
	nearLimitRatio             = 0.85                    // "near": above this share of that rate
	maxUnusedPacingRatio       = 3.0                     // above this multiple of the rate in use a pace does not grow
	pacingBurstWindow          = 300 * time.Millisecond  // span of pace that may be sent at once after idling
	recoveryPushRatio          = 2.0 / 3                 // of a push: less from senders told of failures breaks no failback
	recoveryDeviations         = 1                       // deviations of the sum of all calls that are kept free
	recoveryLapseRatio         = 0.1                     // of the window: a call due in doubt lapses after this
	ownDeliveryRatio           = 0.2                     // own deliveries in the part; the rest is even
	approximateWeightFactor    = 1.5                     // a rough weight may exceed the truth by this factor
	deliveryRateWindow         = 10 * time.Second        // span of the mean rate of own deliveries
	timeoutDeviations          = 6                       // mean deviations over the mean answer time that a time-out allows
	overdueDeviations          = 4                       // the same after which an answer is overdue
	minLatencyBound            = 800 * time.Millisecond  // no answer is overdue before this
	deadlineMargin             = 12 * time.Millisecond   // final answers and time-outs come this long before the deadline
	maxPendingRatio            = 0.9                     // share of the room beyond which held messages are refused
	maxScopeInFlightRatio      = 0.4                     // share of the slots that one gate may fill
	overQuotaDelayRatio        = 0.5                     // of its time left: how much later traffic over its share queues
	missedObjectiveDelayRatio  = 0.5                     // of its time left: how much later a message past its aim queues
	maxQueueScan               = 500                     // messages of a destination looked at for one that may go
	recentlyHealthyWindow      = 3 * time.Second         // a route that answered within this is alive
	defaultRetryAfter          = 500 * time.Millisecond  // least advice with a refusal
	minScopeCapacity           = 1.0                     // calls a second that any destination takes
	smallFleetSize             = 6                       // so many fit any table, and see enough of a route by themselves
	maxConnectExhaustions      = 2                       // failed connections in a row that a full table explains
	connectExhaustionPause     = 300 * time.Millisecond  // rest of a route with a full table: about an answer's time
	connectShortageWindow      = 30 * time.Second        // how long a kind whose table was full is short of connections
)

// observation is one outcome at a route, as the failure rules see it.
type observation struct {
	outcome          Outcome
	retryAfter       time.Duration
	sentAt           time.Duration
	truncated        bool // cut off before an answer could be expected
	connectExhausted bool // no connection, as when a table is full
}

// failureRule is one failure rule: what it matches, whether the route is skipped, and what else follows.
type failureRule struct {
	name    string
	matches func(e *Engine, ep *endpoint, obs observation) bool
	ejects  bool
	respond func(e *Engine, ep *endpoint, obs observation)
}

// failureRules is evaluated in order; the first that matches decides.
var failureRules = []failureRule{
	// A long told wait or a run of refusals is a shut destination: it comes back cold.
	{"shut", func(e *Engine, ep *endpoint, obs observation) bool {
		run := ep.consecutiveRejections >= outageRejections && e.now-ep.firstRejectedAt >= minOutageRejectionTime
		return obs.outcome == Overloaded && (obs.retryAfter > outageRetryAfter || run)
	}, true, (*Engine).suspectScope},
	{"full", func(_ *Engine, _ *endpoint, obs observation) bool { return obs.outcome == Overloaded }, false, (*Engine).decreasePacing},
	{"trial failed", func(_ *Engine, ep *endpoint, _ observation) bool { return ep.ejected }, true, nil},
	// A full table refuses at once and may take the next: a short rest, idle connections closed.
	{"crowded", func(_ *Engine, _ *endpoint, obs observation) bool { return obs.connectExhausted }, false, (*Engine).pauseConnecting},
	{"in a row", func(_ *Engine, ep *endpoint, _ observation) bool { return ep.consecutiveFailures >= ejectAfterFailures }, true, nil},
	// Outages may fail only most calls: successes between do not clear them.
	{"mostly failing", func(_ *Engine, ep *endpoint, _ observation) bool {
		return bits.OnesCount8(ep.recentFailures) >= ejectAfterRecentFailures
	}, true, nil},
	{"failed", func(*Engine, *endpoint, observation) bool { return true }, false, nil},
}

// New returns a Sender that knows nothing but its settings.
func New(settings Settings, seed uint64) (*Engine, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.FleetSize = max(1, settings.FleetSize)
	settings.WarmUpInitialCapacity = cmp.Or(max(0, settings.WarmUpInitialCapacity), 0.1)
	settings.WarmUpDuration = cmp.Or(max(0, settings.WarmUpDuration), 30*time.Second)
	settings.OverloadWindow = cmp.Or(settings.OverloadWindow, 3*time.Second)
	settings.OverloadFactor = cmp.Or(max(0, settings.OverloadFactor), 1)
	pcg := rand.NewPCG(seed, 0x6f6e7978)
	return &Engine{
		settings: settings, pcg: pcg, rng: rand.New(pcg),
		endpoints: map[string]*endpoint{}, lowestReportedLimit: map[int]float64{}, destinations: map[int]*destination{},
		connectShortageUntil: map[int]time.Duration{}, closeIdleUntil: map[int]time.Duration{},
		messages: map[uint32]*message{}, keyQueues: map[string]*keyQueue{},
		tenantTraffic: make([]trafficMeter, len(settings.Tenants)),
	}, nil
}

// Step takes what has come in at now and returns what to do, in order.
func (e *Engine) Step(now time.Duration, events []Event) []Action {
	e.now, e.actions = now, e.actions[:0]
	e.startedAt = cmp.Or(e.startedAt, now)
	// A wake may come a little early, for a clock coarser than ours: one so near does not count as asked for.
	if e.timerAt <= now+time.Millisecond {
		e.timerAt = 0
	}
	for i := range events {
		e.observe(&events[i])
	}
	e.expireKeyQueues()
	e.handleDeadlines()
	e.dispatch()
	if n := len(e.deadlines); n > 0 {
		e.requestTimer(e.deadlines[0].at)
	}
	if e.requestedTimerAt > 0 && (e.timerAt == 0 || e.requestedTimerAt < e.timerAt) {
		e.timerAt = max(e.requestedTimerAt, now+time.Millisecond)
		e.emit(Action{Kind: SetTimer, Delay: e.timerAt - now})
	}
	e.requestedTimerAt = 0
	return e.actions
}

func (e *Engine) observe(event *Event) {
	switch event.Kind {
	case MessageAccepted:
		e.acceptMessage(event)
	case AttemptFinished:
		e.attemptFinished(event)
	case HealthChecked:
		if ep := e.endpoints[event.Endpoint]; ep != nil {
			e.recordLimit(ep, event.LimitReport)
			ep.scope.retryAfterUntil = max(ep.scope.retryAfterUntil, e.now+event.RetryAfter)
			e.observeOutcome(ep, observation{outcome: event.Outcome, retryAfter: event.RetryAfter, sentAt: e.now - event.Latency}, event.Latency)
			e.recheck(ep.scope.destination)
		}
	case MessageCancelled:
		if msg := e.messages[event.MessageID]; msg != nil {
			e.finishMessage(msg)
		}
	case EndpointSnapshot, EndpointDelta:
		e.updateEndpoints(event.Endpoints, event.Kind == EndpointSnapshot)
	case QuotaGranted:
		e.applyGrant(event)
	case WatchFailed:
		if e.settings.WatchRequired {
			e.emit(Action{Kind: WatchEndpoints})
		}
	}
}

// Routes and gates.

// sortEndpoints puts routes in their fixed order: listed weight, lower fee, a lot drawn once for each route.
// Guards against hundreds of senders that all load the first of several equal routes.
func (e *Engine) sortEndpoints(dest *destination) {
	less := func(a, b *endpoint) int {
		switch {
		case a.Weight != b.Weight && !e.settings.IgnoreWeights:
			return cmp.Compare(b.Weight, a.Weight)
		case e.zoneCost(a) != e.zoneCost(b):
			return cmp.Compare(e.zoneCost(a), e.zoneCost(b))
		case a.tieBreaker != b.tieBreaker && e.settings.FleetSize > smallFleetSize:
			return cmp.Compare(a.tieBreaker, b.tieBreaker)
		}
		return cmp.Compare(a.ID, b.ID)
	}
	for _, scope := range dest.scopes {
		slices.SortFunc(scope.endpoints, less)
	}
	if len(dest.scopes) > 1 {
		slices.SortFunc(dest.scopes, func(a, b *limitScope) int { return less(a.endpoints[0], b.endpoints[0]) })
	}
}

// zoneCost is what a message costs by its route's zone.
func (e *Engine) zoneCost(ep *endpoint) float64 {
	if ep.scope.perEndpoint && ep.Zone >= 0 && ep.Zone < len(e.settings.ZoneCosts) {
		return e.settings.ZoneCosts[ep.Zone]
	}
	return 0
}

// knownLimit is what a gate takes from all senders, on the low side, in calls a second; 0 if nothing tells. One
// that is told in answers and has not been yet is taken for the least told of its kind.
func (e *Engine) knownLimit(scope *limitScope) float64 {
	if l := cmp.Or(scope.reportedLimit, e.lowestReportedLimit[scope.kind]); l > 0 || e.settings.IgnoreWeights || len(scope.endpoints) == 0 {
		return l
	}
	if e.settings.ApproximateWeights {
		return scope.endpoints[0].Weight / approximateWeightFactor
	}
	return scope.endpoints[0].Weight
}

// fairShare is this sender's part of the calls a second that a gate takes from all: a fixed mix of an even part
// and own deliveries, since traffic is uneven. Each adds up to what the gate takes, and so does the mix.
func (e *Engine) fairShare(scope *limitScope) float64 {
	return (1-ownDeliveryRatio)*e.scopeCapacity(scope)/float64(e.settings.FleetSize) + ownDeliveryRatio*e.deliveryRate(scope)
}

// recoveryRate is how many calls a second this sender may make to a route in doubt that takes L from all when
// warm. It falls over at OverloadFactor*share*L*OverloadWindow calls in a window, at the share of its end.
// Senders told of a failure break no rule below two thirds of that: b. Calls are drawn apart: a sum of n
// scatters by sqrt(n), by half a call for each of few. n + scatter*deviation = b gives n, shared by parts
// that add up. A call not made lapses. The share grows with the time since the first delivery, no further
// than deliveries in a row bear out: an outage fails most calls, k in a row have a chance of 2^-k in it.
func (e *Engine) recoveryRate(ep *endpoint) float64 {
	share, warming := e.settings.WarmUpInitialCapacity, 1-e.settings.WarmUpInitialCapacity
	window, warm := e.settings.OverloadWindow.Seconds(), e.settings.WarmUpDuration.Seconds()
	if ep.recoveredAt > 0 {
		share += warming * min((e.now-ep.recoveredAt).Seconds()/warm, 1-math.Pow(0.5, float64(ep.consecutiveSuccesses)))
	}
	capacity := max(e.scopeCapacity(ep.scope), e.deliveryRate(ep.scope))
	b := recoveryPushRatio * e.settings.OverloadFactor * min(1, share+warming*window/warm) * capacity * window
	root := (math.Sqrt(recoveryDeviations*recoveryDeviations+4*b) - recoveryDeviations) / 2
	n := max(root*root, b-recoveryDeviations*math.Sqrt(float64(e.settings.FleetSize))/2)
	return n / (window * (1 + recoveryLapseRatio)) * e.fairShare(ep.scope) / capacity
}

// recoveryBudgetAt is when a route that may be cold takes its next call. Guards against pushing over a returning
// destination: every send to a route in doubt draws on one budget of its gate. The first call is drawn by
// chance, so that the sum over all senders is right. It holds during an outage too, whose end is not told.
func (e *Engine) recoveryBudgetAt(ep *endpoint) time.Duration {
	scope := ep.scope
	ep.warmingUp = ep.warmingUp && (ep.recoveredAt == 0 || e.now < ep.recoveredAt+e.settings.WarmUpDuration)
	if ep.lastSuccessAt == 0 && (scope.consecutiveFailures >= suspectAfterFailures || scope.hasSuspect() || e.now < scope.suspectRemovedAt+e.settings.WarmUpDuration) {
		e.suspect(ep) // not answered yet: it stands as its siblings do, or those it replaced
	}
	if !ep.warmingUp {
		return 0
	}
	rate := e.recoveryRate(ep)
	// A told wait saves nothing up: all who were told it would call at its end.
	scope.recoveryUpdatedAt = max(scope.recoveryUpdatedAt, scope.retryAfterUntil)
	if e.now > scope.recoveryUpdatedAt {
		scope.recoveryTokens += rate * (e.now - scope.recoveryUpdatedAt).Seconds()
		scope.recoveryTokens -= math.Max(0, math.Floor(scope.recoveryTokens-rate*recoveryLapseRatio*e.settings.OverloadWindow.Seconds()))
		scope.recoveryUpdatedAt = e.now
	}
	if scope.recoveryTokens >= 1 {
		return 0
	}
	return scope.recoveryUpdatedAt + max(time.Millisecond, callInterval(rate/(1-scope.recoveryTokens)))
}

// acceptsCallAt is when a route next takes a call, as far as its gate, skip and pace tell; math.MaxInt64 if
// only an outcome can open it.
func (e *Engine) acceptsCallAt(ep *endpoint) time.Duration {
	scope := ep.scope
	if !ep.InService || ep.Removed || ep.ejected && len(ep.calls) > 0 || e.saturated(ep) {
		return math.MaxInt64
	}
	at := max(scope.retryAfterUntil, ep.ejectedUntil, e.recoveryBudgetAt(ep))
	if e.isLargeFleet(scope) {
		e.boundPacing(scope, scope.pacingRate)
	}
	if scope.pacingRate > 0 {
		e.refillTokens(scope)
		if scope.tokens < 1 && !scope.hasGrant(e.now) {
			at = e.requestQuota(scope, at, max(at, scope.tokensUpdatedAt+callInterval(e.tokenRate(scope)/(1-scope.tokens))))
		}
	}
	return at
}

// saturated tells whether a route or its gate holds too many slots. Guards against silent or very slow routes
// that would fill the slots before any time-out tells: while the oldest calls are overdue, only a few may be
// out. A jam of the whole fleet looks alike; it ends with the first answer.
func (e *Engine) saturated(ep *endpoint) bool {
	scopeFull := ep.scope.inFlight >= max(2, int(maxScopeInFlightRatio*float64(e.settings.MaxInFlightCalls)))
	return e.settings.MaxInFlightCalls > 0 && (scopeFull || e.hasOverdueCalls(ep, min(ejectAfterFailures, max(1, e.settings.MaxInFlightCalls/4))))
}

// hasOverdueCalls tells whether n calls of a route are overdue, with none answered that were sent later.
func (e *Engine) hasOverdueCalls(ep *endpoint, n int) bool {
	return len(ep.calls) >= n && e.now > ep.calls[n-1].overdueAt && ep.lastAnsweredSendAt < ep.calls[n-1].sentAt
}

// decreasePacing sets the pace to half the last second's rate, once for all calls that were out together.
func (e *Engine) decreasePacing(ep *endpoint, obs observation) {
	scope := ep.scope
	if obs.sentAt < scope.decreasedAt {
		return
	}
	rate := e.sendRate(scope)
	if scope.pacingRate > 0 {
		rate = math.Min(rate, scope.pacingRate)
	}
	if e.isLargeFleet(scope) {
		scope.lastRejectedRate, scope.pacingRate = 0, e.fleetRateAfterRejection(ep, cmp.Or(rate, scope.pacingRate)) // one in seconds: none in the last
	} else {
		// Counts of few calls a second are rough: halvings must not starve a gate whose limit is known.
		least := math.Max(minPacingRate, minPacingShareRatio*e.knownLimit(scope)/float64(e.settings.FleetSize))
		scope.lastRejectedRate, scope.pacingRate = math.Max(rate, least), math.Max(rate/2, least)
	}
	scope.tokens, scope.tokensUpdatedAt, scope.decreasedAt = 0, e.now, e.now
	// A clump refused at hundreds of senders comes again spread over a call's time.
	if e.hasSparseShare(scope) {
		scope.tokens = 0.5 - sparseSpreadCalls*e.rng.Float64()
	}
}

// increasePacing lets the pace grow with a success, slowly near the rate that was refused last.
func (e *Engine) increasePacing(scope *limitScope) {
	if scope.pacingRate == 0 {
		return
	}
	e.refillTokens(scope)
	if scope.pacingRate > maxUnusedPacingRatio*math.Max(1, e.sendRate(scope)) {
		return
	}
	growth := pacingGrowth
	if e.isLargeFleet(scope) {
		growth = e.fleetPacingGrowth(scope)
	} else if scope.lastRejectedRate > 0 && scope.pacingRate > nearLimitRatio*scope.lastRejectedRate {
		growth = cautiousPacingGrowth
	}
	if growth == 0 {
		return
	}
	// Where successes are seconds apart, each counts for the seconds that it stands for.
	steps := min(max(1, (e.now-max(scope.increasedAt, scope.decreasedAt)).Seconds()), maxGrowthSeconds)
	was := scope.pacingRate
	scope.pacingRate, scope.increasedAt = scope.pacingRate*math.Pow(1+growth, steps), e.now
	if e.isLargeFleet(scope) {
		e.boundPacing(scope, was)
	}
	// While one call carries all that waits, more than this part only takes the room of others' backlogs.
	if n := e.maxBatch(scope.kind); n > 1 && len(scope.destination.queue) < n && e.knownLimit(scope) > 0 {
		scope.pacingRate = math.Min(scope.pacingRate, e.fairShare(scope))
	}
}

// looksConnectExhausted tells whether a failed connection looks like a full table: it failed at once, at a route that
// answered of late or, among many senders, of a kind that had such failures. Some in a row are an outage.
func (e *Engine) looksConnectExhausted(ep *endpoint, obs observation) bool {
	truncated := e.settings.FleetSize > smallFleetSize && e.now < e.connectShortageUntil[ep.Kind]
	failed := obs.outcome == ConnectFailed && e.now-obs.sentAt < minLatencyBound
	return failed && ep.scope.connectExhaustions < maxConnectExhaustions && (e.recentlyHealthy(ep) || truncated)
}

// pauseConnecting answers a full connection table.
func (e *Engine) pauseConnecting(ep *endpoint, _ observation) {
	ep.ejectedUntil = e.now + time.Duration((0.5+e.rng.Float64())*float64(connectExhaustionPause))
	e.emit(Action{Kind: CloseIdle, Endpoint: ep.ID})
}

// observeOutcome takes an outcome as an observation of its route.
func (e *Engine) observeOutcome(ep *endpoint, obs observation, latency time.Duration) {
	if e.now < e.closeIdleUntil[ep.Kind] {
		e.emit(Action{Kind: CloseIdle, Endpoint: ep.ID})
	}
	switch obs.outcome {
	case OK:
		e.recordSuccess(ep, obs.sentAt, latency)
		return
	case NotSent, Cancelled:
		return
	case Overloaded:
		if ep.consecutiveRejections == 0 {
			ep.firstRejectedAt = e.now
		}
		ep.consecutiveRejections++
		ep.scope.lastFailureSentAt = max(ep.scope.lastFailureSentAt, obs.sentAt)
		e.suspectOnWeakSignal(ep)
	default:
		ep.answerLost = ep.answerLost || obs.outcome == Reset
		if obs.outcome == Timeout || obs.outcome == Reset {
			// Calls may be lost with the connection that carries them: the next one takes a fresh one.
			e.emit(Action{Kind: CloseIdle, Endpoint: ep.ID})
			// A later call was answered, or the route lives: this one says nothing of its standing.
			// Nor does a call with less time than an answer takes. Guards against a backlog whose late calls
			// keep a route in doubt for good.
			if ep.lastAnsweredSendAt >= obs.sentAt || (obs.outcome == Reset || obs.truncated) && e.recentlyHealthy(ep) {
				return
			}
		}
		if obs.outcome == Timeout {
			e.recordLatency(ep, latency+latency/2)
		}
		obs.connectExhausted = e.looksConnectExhausted(ep, obs)
		if obs.outcome == ConnectFailed && e.now-obs.sentAt < minLatencyBound {
			e.connectShortageUntil[ep.Kind] = e.now + connectShortageWindow
		}
		if obs.connectExhausted {
			ep.scope.connectExhaustions++
			e.suspectOnWeakSignal(ep)
			break
		}
		ep.consecutiveFailures, ep.consecutiveRejections = ep.consecutiveFailures+1, 0
		// An outage answers no call or fails most at once: time-outs between answers are losses, not that.
		if obs.outcome == Error || obs.outcome == ConnectFailed {
			ep.recentFailures = ep.recentFailures<<1 | 1
			ep.scope.lastFailureSentAt = max(ep.scope.lastFailureSentAt, obs.sentAt)
		}
		if ep.consecutiveFailures >= suspectAfterFailures || bits.OnesCount8(ep.recentFailures) >= suspectAfterRecentFailures {
			e.suspect(ep)
		} else {
			e.suspectWeakly(ep)
		}
		// Failures in a row over all routes of a gate tell of an outage of them all.
		if ep.scope.consecutiveFailures++; ep.scope.consecutiveFailures >= ejectAfterFailures {
			e.suspectScope(ep, obs)
		}
	}
	// A call cut off early, for lack of time left, may cast doubt on its route but skips none.
	if obs.truncated {
		return
	}
	for _, rule := range failureRules {
		if rule.matches(e, ep, obs) {
			if rule.respond != nil {
				rule.respond(e, ep, obs)
			}
			if rule.ejects {
				e.eject(ep, obs.sentAt)
			}
			return
		}
	}
}

// recentlyHealthy tells whether a route has answered of late.
func (e *Engine) recentlyHealthy(ep *endpoint) bool {
	return ep.lastSuccessAt > 0 && e.now-ep.lastSuccessAt < recentlyHealthyWindow
}

// suspect puts a route under the recovery budget.
func (e *Engine) suspect(ep *endpoint) {
	if scope := ep.scope; !scope.hasSuspect() {
		scope.recoveryTokens, scope.recoveryUpdatedAt = e.rng.Float64(), e.now
		scope.deliveryRate, scope.deliveryRateAt = e.deliveryRate(scope), e.now
	}
	ep.warmingUp, ep.weaklySuspected, ep.recoveredAt, ep.consecutiveSuccesses, ep.lastFailureSentAt = true, false, 0, 0, ep.scope.lastFailureSentAt
}

// suspectScope does so with all routes that share the limit of one.
func (e *Engine) suspectScope(ep *endpoint, _ observation) {
	for _, other := range ep.scope.endpoints {
		e.suspect(other)
	}
}

// eject enters a route in the skip table. Failures of calls sent before the skip began add nothing.
func (e *Engine) eject(ep *endpoint, sent time.Duration) {
	e.suspect(ep)
	if ep.ejected && sent < ep.ejectedUntil-ep.ejectionTime {
		return
	}
	next := initialEjectionTime
	if ep.ejected && ep.ejectionTime > 0 {
		next = min(maxEjectionTime, time.Duration(float64(ep.ejectionTime)*ejectionGrowth))
	}
	ep.ejectionTime = time.Duration(float64(next) * (1 + ejectionJitter*(2*e.rng.Float64()-1)))
	ep.ejected, ep.ejectedUntil = true, e.now+ep.ejectionTime
}

// recordLatency learns how long answers of a route take. A time-out tells that its answer takes longer.
func (e *Engine) recordLatency(ep *endpoint, latency time.Duration) {
	if ep.latencyMean == 0 {
		ep.latencyMean, ep.latencyDeviation = latency, latency/2
		return
	}
	d := latency - ep.latencyMean
	ep.latencyMean, ep.latencyDeviation = ep.latencyMean+d/8, ep.latencyDeviation+(max(d, -d)-ep.latencyDeviation)/4
}

func (e *Engine) recordSuccess(ep *endpoint, sent, latency time.Duration) {
	scope := ep.scope
	// A table that was full and takes a call again was not away. Guards against connections closed after
	// every use for an outage of others: each call of a fleet then cost a handshake.
	if scope.connectExhaustions > 0 && scope.consecutiveFailures == 0 && e.settings.FleetSize > smallFleetSize {
		e.closeIdleUntil[ep.Kind] = e.now + connectShortageWindow
	}
	ep.lastSuccessAt, ep.lastAnsweredSendAt, ep.consecutiveFailures, ep.consecutiveRejections, ep.answerLost = e.now, max(ep.lastAnsweredSendAt, sent), 0, 0, false
	ep.recentFailures, scope.consecutiveFailures, scope.connectExhaustions = ep.recentFailures<<1, 0, 0
	e.recordLatency(ep, latency)
	if ep.ejected {
		ep.ejected, ep.ejectedUntil, ep.ejectionTime = false, 0, 0
		// Where a sibling answered all the while, the destination was not away: its pace stands.
		if !slices.ContainsFunc(scope.endpoints, func(other *endpoint) bool { return other != ep && e.recentlyHealthy(other) }) {
			scope.pacingRate, scope.tokens, scope.tokensUpdatedAt = pacingRestartRate, 0, e.now
		}
	}
	e.recordDelivery(scope)
	// What was sent before a call that failed at once tells of no return.
	if ep.consecutiveSuccesses++; ep.warmingUp && ep.recoveredAt == 0 && sent > ep.lastFailureSentAt {
		ep.recoveredAt, ep.warmingUp = e.now, !ep.weaklySuspected || e.fairShare(ep.scope)*e.settings.WarmUpDuration.Seconds() > 1
	}
	e.increasePacing(scope)
}

// Messages.

func (e *Engine) acceptMessage(event *Event) {
	// the strictest
	class := &Class{Effect: NonIdempotent, Ordered: true, LatencyObjective: event.TimeLeft / 2, Deadline: event.TimeLeft, Weight: 1}
	if event.Class >= 0 && event.Class < len(e.settings.Classes) {
		class = &e.settings.Classes[event.Class]
	}
	msg := &message{id: event.MessageID, class: class, maxAttempts: e.settings.MaxAttempts, destination: e.ensureDestination(event.Destination)}
	msg.deadline = e.now + event.TimeLeft - deadlineMargin
	msg.objectiveAt = e.now + class.LatencyObjective - max(0, class.Deadline-event.TimeLeft)
	msg.queueRank = e.now + time.Duration(float64(msg.objectiveAt-e.now)/math.Max(class.Weight, 0.01))
	if e.exceedsQuota(event.Tenant) {
		msg.queueRank += time.Duration(overQuotaDelayRatio * float64(event.TimeLeft))
	}
	e.messages[msg.id] = msg
	e.countAccepted()
	e.pendingMessages++
	msg.destination.messageCount++
	if class.Ordered && event.Key != "" {
		e.joinKeyQueue(msg, event.Key)
	}
	e.recoverMessage(msg, event.Recovered)
	e.deadlines.push(deadlineEntry{msg.deadline, msg})
	e.deadlines.push(deadlineEntry{msg.objectiveAt, msg})
	e.enqueue(msg)
	e.shedLoad()
}

// exceedsQuota counts a message against its customer's share and tells whether it lies beyond.
func (e *Engine) exceedsQuota(c int) bool {
	if c < 0 || c >= len(e.tenantTraffic) || e.settings.Tenants[c].Quota <= 0 {
		return false
	}
	meter, rate := &e.tenantTraffic[c], e.settings.Tenants[c].Quota/float64(e.settings.FleetSize)
	meter.level, meter.updatedAt = math.Max(0, meter.level-rate*(e.now-meter.updatedAt).Seconds())+1, e.now
	if meter.level > 1+2*rate {
		meter.level--
		return true
	}
	return false
}

// shedLoad refuses the last message of the longest queue while little room is left.
func (e *Engine) shedLoad() {
	if e.settings.MaxPendingMessages <= 0 || e.pendingMessages <= int(maxPendingRatio*float64(e.settings.MaxPendingMessages)) {
		return
	}
	longest := slices.MaxFunc(e.active, func(a, b *destination) int {
		return cmp.Or(len(a.queue)-len(b.queue), b.id-a.id)
	})
	for i := len(longest.queue) - 1; i >= max(0, len(longest.queue)-maxQueueScan); i-- {
		if msg := longest.queue[i]; e.mayShed(msg) {
			e.reject(msg)
			return
		}
	}
}

func (e *Engine) attemptFinished(event *Event) {
	msg := e.messages[event.MessageID]
	ep, c := e.endpoints[event.Endpoint], e.takeCall(msg, event.Attempt)
	if c != nil {
		ep = c.endpoint
	}
	// A told wait keeps every message from the gate until it is over, whoever was told.
	if ep != nil && event.RetryAfter > 0 {
		ep.scope.retryAfterUntil = max(ep.scope.retryAfterUntil, e.now+event.RetryAfter)
	}
	if c == nil {
		return
	}
	e.recordLimit(ep, event.LimitReport)
	c.pending, c.delivered = c.pending-1, c.delivered || event.Outcome == OK
	if c.pending == 0 {
		e.recordCallEnd(c)
		outcome := event.Outcome
		if c.delivered {
			outcome = OK
		}
		due := c.sentAt + min(minLatencyBound, cmp.Or(msg.class.LatencyObjective, minLatencyBound))
		truncated := (outcome == Timeout || outcome == ConnectFailed) && c.timeoutAt < due
		e.observeOutcome(ep, observation{outcome: outcome, retryAfter: event.RetryAfter, sentAt: c.sentAt, truncated: truncated}, event.Latency)
	}
	e.recheck(msg.destination)
	e.recordPossibleEffect(msg, event, c)
	switch {
	case event.MessageEnded:
		e.finishMessage(msg)
	case msg.ended:
		e.releaseMessage(msg)
	case e.attemptsExhausted(msg):
		e.rejectOrFail(msg)
	default:
		e.enqueue(msg)
	}
}

// recordPossibleEffect notes for a message what its attempt may have done.
func (e *Engine) recordPossibleEffect(msg *message, event *Event, c *call) {
	switch event.Outcome {
	case ConnectFailed:
		msg.lastFailedEndpoint = c.endpoint
		return
	case Overloaded, NotSent:
		return
	case Timeout, Reset, Cancelled:
		msg.timeouts++
		if msg.keyQueue != nil {
			msg.keyQueue.pausedUntil = max(msg.keyQueue.pausedUntil, e.now+e.settings.OrderingPause)
		}
	}
	msg.lastFailedEndpoint = c.endpoint
	if !msg.mayHaveRun || c.sentAt < msg.firstRunAt {
		e.recordFirstRun(msg, c.sentAt, c.endpoint.Zone)
	}
}

// mayReject tells whether a refusal keeps the rule of effects: the client may come again.
func (e *Engine) mayReject(msg *message) bool {
	free := msg.class.Effect == Idempotent || msg.class.Effect == IdempotentByKey && msg.class.DedupAllZones
	return !msg.ended && (free || !msg.mayHaveRun && len(msg.inFlight) == 0)
}

// attemptAllowedAt is the one guard of all sends. It tells when a send of m to r keeps the rules;
// math.MaxInt64 if never as things stand.
func (e *Engine) attemptAllowedAt(msg *message, ep *endpoint) time.Duration {
	const never = time.Duration(math.MaxInt64)
	// Rule 1: nothing after the end, nothing past the time or the attempts.
	if msg.ended || e.now >= msg.deadline || msg.maxAttempts > 0 && msg.attempts >= msg.maxAttempts {
		return never
	}
	// Rule 2: one attempt at a time; repeats only where they are dropped.
	if len(msg.inFlight) > 0 {
		return never
	}
	if msg.mayHaveRun {
		switch msg.class.Effect {
		case NonIdempotent:
			return never
		case IdempotentByKey:
			if !msg.class.DedupAllZones && ep.Zone != msg.firstRunZone || e.now >= msg.dedupWindowEnd() {
				return never
			}
		}
	}
	// Rule 3: routes in service only.
	if !ep.InService || ep.Removed || ep.Destination != msg.destination.id {
		return never
	}
	// Rule 6: the key's turn and its rest.
	at := time.Duration(0)
	if queue := msg.keyQueue; queue != nil {
		if queue.messages[0] != msg {
			return never
		}
		if msg.attempts == 0 {
			at = queue.pausedUntil
		}
	}
	// Rule 4: the recovery budget. Rule 5: told waits.
	return max(at, ep.scope.retryAfterUntil, e.recoveryBudgetAt(ep))
}

// Route choice.

// selectEndpoint returns the first route in order that takes the message now; else nil and when one may.
func (e *Engine) selectEndpoint(msg *message) (*endpoint, time.Duration) {
	fallback, soonest := (*endpoint)(nil), time.Duration(math.MaxInt64)
	for _, scope := range msg.destination.scopes {
		var best *endpoint
		for _, ep := range scope.endpoints {
			at := e.attemptAllowedAt(msg, ep)
			if msg.deadline-e.now < ep.latencyMean {
				continue // no time left for an answer
			}
			// An unsafe message is lost with its attempt: others try a skipped route first.
			if ep.ejected && msg.class.Effect == NonIdempotent {
				at = max(at, msg.deadline-(msg.deadline-msg.objectiveAt)/2)
			}
			if at < math.MaxInt64 {
				at = max(at, e.acceptsCallAt(ep))
			}
			if at > e.now {
				soonest = min(soonest, at)
				continue
			}
			if ep == msg.lastFailedEndpoint || e.hasOverdueCalls(ep, 1) {
				fallback = ep
				continue
			}
			// Routes that share a gate are one tier: the one with fewest calls out, in order.
			if best == nil || len(ep.calls) < len(best.calls) {
				best = ep
			}
		}
		if best != nil {
			return best, e.now
		}
	}
	return fallback, soonest
}

// selectNext finds the destination's next message that may go, or when one may.
func (e *Engine) selectNext(dest *destination) {
	dest.candidate, dest.candidateEndpoint, dest.blockedUntil = nil, nil, math.MaxInt64
	for _, scope := range dest.scopes {
		for _, ep := range scope.endpoints {
			dest.blockedUntil = min(dest.blockedUntil, e.acceptsCallAt(ep))
		}
	}
	if dest.blockedUntil > e.now {
		return
	}
	dest.blockedUntil = math.MaxInt64
	for i := 0; i < len(dest.queue) && i < maxQueueScan; i++ {
		ep, at := e.selectEndpoint(dest.queue[i])
		if ep != nil {
			dest.candidate, dest.candidateEndpoint, dest.blockedUntil = dest.queue[i], ep, 0
			return
		}
		dest.blockedUntil = min(dest.blockedUntil, at)
	}
}

// Queue and dispatch.

// precedes tells which of two messages goes first.
func precedes(a, b *message) bool {
	return a.queueRank < b.queueRank || a.queueRank == b.queueRank && a.id < b.id
}

// dispatch sends what may go, first in order first, while slots last. Destinations that nothing touched since
// they were found closed are not looked at.
func (e *Engine) dispatch() {
	ready := e.ready[:0]
	for _, dest := range e.active {
		if dest.blockedUntil <= e.now {
			ready = append(ready, dest)
			dest.candidate, dest.blockedUntil = nil, 0
		}
	}
	e.ready = ready
	for e.settings.MaxInFlightCalls <= 0 || e.callsInFlight < e.settings.MaxInFlightCalls {
		var best *destination
		for _, dest := range ready {
			if dest.candidate == nil && dest.blockedUntil <= e.now && len(dest.queue) > 0 {
				e.selectNext(dest)
			}
			if dest.candidate != nil && (best == nil || precedes(dest.candidate, best.candidate)) {
				best = dest
			}
		}
		if best == nil {
			break
		}
		e.startCall(best)
		best.candidate = nil
	}
	for _, dest := range ready {
		e.rejectUnservable(dest)
	}
	for _, dest := range e.active {
		if dest.blockedUntil > e.now {
			e.requestTimer(dest.blockedUntil)
		}
	}
}

// rejectUnservable refuses what waits for nothing: messages of a destination that opens only after their deadlines.
// The client may come again elsewhere, to a sender that was told less.
func (e *Engine) rejectUnservable(dest *destination) {
	for i := len(dest.queue) - 1; i >= 0; i-- {
		if msg := dest.queue[i]; dest.blockedUntil < math.MaxInt64 && dest.blockedUntil >= msg.deadline && e.mayShed(msg) {
			e.reject(msg)
		}
	}
}

// startCall starts a call with the destination's next message and, where its kind allows, with further ones.
// They share one fate: after a failure it carries one, after an answer that was lost half as many.
func (e *Engine) startCall(dest *destination) {
	ep := dest.candidateEndpoint
	c := &call{endpoint: ep, sentAt: e.now, overdueAt: e.now + e.latencyBound(ep, overdueDeviations)}
	capacity := e.maxBatch(ep.Kind)
	if ep.consecutiveFailures > 0 || ep.ejected {
		capacity = 1
	} else if ep.answerLost {
		capacity = (capacity + 1) / 2
	}
	if !e.addToCall(dest.candidate, c) {
		return
	}
	for i := 0; c.pending < capacity && i < len(dest.queue) && i < maxQueueScan; {
		if msg := dest.queue[i]; msg.lastFailedEndpoint == ep || !e.addToCall(msg, c) {
			i++
		}
	}
	e.recordCallStart(c)
}

// addToCall adds an attempt of m to a call, if the guard lets it.
func (e *Engine) addToCall(msg *message, c *call) bool {
	if e.attemptAllowedAt(msg, c.endpoint) > e.now {
		return false
	}
	e.dequeue(msg)
	msg.inFlight = append(msg.inFlight, attempt{msg.attempts, c})
	msg.attempts++
	c.pending++
	timeoutAt := e.attemptTimeoutAt(msg, c.endpoint)
	if c.timeoutAt == 0 || timeoutAt < c.timeoutAt {
		c.timeoutAt = timeoutAt
	}
	e.emit(Action{Kind: Send, MessageID: msg.id, Endpoint: c.endpoint.ID, TimeoutAt: timeoutAt})
	return true
}

// latencyBound is how long an answer of a route may take: its mean and so many mean deviations.
func (e *Engine) latencyBound(ep *endpoint, deviations int) time.Duration {
	if ep.latencyMean == 0 {
		return 2 * minLatencyBound
	}
	return max(minLatencyBound, ep.latencyMean+time.Duration(deviations)*ep.latencyDeviation)
}

// attemptTimeoutAt is when an attempt times out: as long as the route's answers have taken, at most half the time left.
// An unsafe message has no second try and waits twice as long; a trial of a skipped route waits least.
func (e *Engine) attemptTimeoutAt(msg *message, ep *endpoint) time.Duration {
	left := msg.deadline - e.now
	usualLatency := max(e.latencyBound(ep, timeoutDeviations), msg.class.LatencyObjective/2)
	if msg.class.Effect == IdempotentByKey && !msg.class.DedupAllZones {
		usualLatency = max(usualLatency, msg.class.LatencyObjective) // a repeat is bound to few routes
	}
	if e.settings.MaxInFlightCalls > 0 && 2*e.callsInFlight > e.settings.MaxInFlightCalls {
		usualLatency = min(usualLatency, msg.class.LatencyObjective)
	}
	if ep.ejected {
		usualLatency = msg.class.LatencyObjective / 2
	}
	if msg.class.Effect == NonIdempotent {
		return e.now + min(left, 2*usualLatency)
	}
	// Where half of the time is less than an answer may take, one try has all of it.
	if left/2 >= e.latencyBound(ep, overdueDeviations) {
		left /= 2
	}
	return e.now + min(left, usualLatency)
}

// Deadlines.

// handleDeadlines gives every message whose time is up its final answer.
func (e *Engine) handleDeadlines() {
	for len(e.deadlines) > 0 && (e.deadlines[0].at <= e.now || e.deadlines[0].message.ended) {
		msg := e.deadlines.pop().message
		switch {
		case msg.ended:
		case e.attemptsExhausted(msg) || e.now >= msg.deadline:
			e.rejectOrFail(msg)
		case e.now >= msg.objectiveAt:
			e.deprioritize(msg)
		}
	}
}

// deprioritize moves a message back that has missed its aim: what is still in time goes first, with more to lose.
func (e *Engine) deprioritize(msg *message) {
	queued := msg.queued
	e.dequeue(msg)
	after := missedObjectiveDelayRatio * float64(msg.deadline-e.now) / math.Max(msg.class.Weight, 0.01)
	msg.queueRank = max(msg.queueRank, e.now+time.Duration(after))
	if queued {
		e.enqueue(msg)
	}
}
