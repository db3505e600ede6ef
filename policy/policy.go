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
	matches func(s *Engine, r *endpoint, o observation) bool
	ejects  bool
	respond func(s *Engine, r *endpoint, o observation)
}

// failureRules is evaluated in order; the first that matches decides.
var failureRules = []failureRule{
	// A long told wait or a run of refusals is a shut destination: it comes back cold.
	{"shut", func(s *Engine, r *endpoint, o observation) bool {
		run := r.consecutiveRejections >= outageRejections && s.now-r.firstRejectedAt >= minOutageRejectionTime
		return o.outcome == Overloaded && (o.retryAfter > outageRetryAfter || run)
	}, true, (*Engine).suspectScope},
	{"full", func(_ *Engine, _ *endpoint, o observation) bool { return o.outcome == Overloaded }, false, (*Engine).decreasePacing},
	{"trial failed", func(_ *Engine, r *endpoint, _ observation) bool { return r.ejected }, true, nil},
	// A full table refuses at once and may take the next: a short rest, idle connections closed.
	{"crowded", func(_ *Engine, _ *endpoint, o observation) bool { return o.connectExhausted }, false, (*Engine).pauseConnecting},
	{"in a row", func(_ *Engine, r *endpoint, _ observation) bool { return r.consecutiveFailures >= ejectAfterFailures }, true, nil},
	// Outages may fail only most calls: successes between do not clear them.
	{"mostly failing", func(_ *Engine, r *endpoint, _ observation) bool {
		return bits.OnesCount8(r.recentFailures) >= ejectAfterRecentFailures
	}, true, nil},
	{"failed", func(*Engine, *endpoint, observation) bool { return true }, false, nil},
}

// New returns a Sender that knows nothing but its settings.
func New(set Settings, seed uint64) (*Engine, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	set.FleetSize = max(1, set.FleetSize)
	set.WarmUpInitialCapacity = cmp.Or(max(0, set.WarmUpInitialCapacity), 0.1)
	set.WarmUpDuration = cmp.Or(max(0, set.WarmUpDuration), 30*time.Second)
	set.OverloadWindow = cmp.Or(set.OverloadWindow, 3*time.Second)
	set.OverloadFactor = cmp.Or(max(0, set.OverloadFactor), 1)
	pcg := rand.NewPCG(seed, 0x6f6e7978)
	return &Engine{
		settings: set, pcg: pcg, rng: rand.New(pcg),
		endpoints: map[string]*endpoint{}, lowestReportedLimit: map[int]float64{}, destinations: map[int]*destination{},
		connectShortageUntil: map[int]time.Duration{}, closeIdleUntil: map[int]time.Duration{},
		messages: map[uint32]*message{}, keyQueues: map[string]*keyQueue{},
		tenantTraffic: make([]trafficMeter, len(set.Tenants)),
	}, nil
}

// Step takes what has come in at now and returns what to do, in order.
func (s *Engine) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = now, s.actions[:0]
	s.startedAt = cmp.Or(s.startedAt, now)
	// A wake may come a little early, for a clock coarser than ours: one so near does not count as asked for.
	if s.timerAt <= now+time.Millisecond {
		s.timerAt = 0
	}
	for i := range events {
		s.observe(&events[i])
	}
	s.expireKeyQueues()
	s.handleDeadlines()
	s.dispatch()
	if n := len(s.deadlines); n > 0 {
		s.requestTimer(s.deadlines[0].at)
	}
	if s.requestedTimerAt > 0 && (s.timerAt == 0 || s.requestedTimerAt < s.timerAt) {
		s.timerAt = max(s.requestedTimerAt, now+time.Millisecond)
		s.emit(Action{Kind: SetTimer, Delay: s.timerAt - now})
	}
	s.requestedTimerAt = 0
	return s.actions
}

func (s *Engine) observe(e *Event) {
	switch e.Kind {
	case MessageAccepted:
		s.acceptMessage(e)
	case AttemptFinished:
		s.attemptFinished(e)
	case HealthChecked:
		if r := s.endpoints[e.Endpoint]; r != nil {
			s.recordLimit(r, e.LimitReport)
			r.scope.retryAfterUntil = max(r.scope.retryAfterUntil, s.now+e.RetryAfter)
			s.observeOutcome(r, observation{outcome: e.Outcome, retryAfter: e.RetryAfter, sentAt: s.now - e.Latency}, e.Latency)
			s.recheck(r.scope.destination)
		}
	case MessageCancelled:
		if m := s.messages[e.MessageID]; m != nil {
			s.finishMessage(m)
		}
	case EndpointSnapshot, EndpointDelta:
		s.updateEndpoints(e.Endpoints, e.Kind == EndpointSnapshot)
	case QuotaGranted:
		s.applyGrant(e)
	case WatchFailed:
		if s.settings.WatchRequired {
			s.emit(Action{Kind: WatchEndpoints})
		}
	}
}

// Routes and gates.

// sortEndpoints puts routes in their fixed order: listed weight, lower fee, a lot drawn once for each route.
// Guards against hundreds of senders that all load the first of several equal routes.
func (s *Engine) sortEndpoints(d *destination) {
	less := func(a, b *endpoint) int {
		switch {
		case a.Weight != b.Weight && !s.settings.IgnoreWeights:
			return cmp.Compare(b.Weight, a.Weight)
		case s.zoneCost(a) != s.zoneCost(b):
			return cmp.Compare(s.zoneCost(a), s.zoneCost(b))
		case a.tieBreaker != b.tieBreaker && s.settings.FleetSize > smallFleetSize:
			return cmp.Compare(a.tieBreaker, b.tieBreaker)
		}
		return cmp.Compare(a.ID, b.ID)
	}
	for _, g := range d.scopes {
		slices.SortFunc(g.endpoints, less)
	}
	if len(d.scopes) > 1 {
		slices.SortFunc(d.scopes, func(a, b *limitScope) int { return less(a.endpoints[0], b.endpoints[0]) })
	}
}

// zoneCost is what a message costs by its route's zone.
func (s *Engine) zoneCost(r *endpoint) float64 {
	if r.scope.perEndpoint && r.Zone >= 0 && r.Zone < len(s.settings.ZoneCosts) {
		return s.settings.ZoneCosts[r.Zone]
	}
	return 0
}

// knownLimit is what a gate takes from all senders, on the low side, in calls a second; 0 if nothing tells. One
// that is told in answers and has not been yet is taken for the least told of its kind.
func (s *Engine) knownLimit(g *limitScope) float64 {
	if l := cmp.Or(g.reportedLimit, s.lowestReportedLimit[g.kind]); l > 0 || s.settings.IgnoreWeights || len(g.endpoints) == 0 {
		return l
	}
	if s.settings.ApproximateWeights {
		return g.endpoints[0].Weight / approximateWeightFactor
	}
	return g.endpoints[0].Weight
}

// fairShare is this sender's part of the calls a second that a gate takes from all: a fixed mix of an even part
// and own deliveries, since traffic is uneven. Each adds up to what the gate takes, and so does the mix.
func (s *Engine) fairShare(g *limitScope) float64 {
	return (1-ownDeliveryRatio)*s.scopeCapacity(g)/float64(s.settings.FleetSize) + ownDeliveryRatio*s.deliveryRate(g)
}

// recoveryRate is how many calls a second this sender may make to a route in doubt that takes L from all when
// warm. It falls over at OverloadFactor*share*L*OverloadWindow calls in a window, at the share of its end.
// Senders told of a failure break no rule below two thirds of that: b. Calls are drawn apart: a sum of n
// scatters by sqrt(n), by half a call for each of few. n + scatter*deviation = b gives n, shared by parts
// that add up. A call not made lapses. The share grows with the time since the first delivery, no further
// than deliveries in a row bear out: an outage fails most calls, k in a row have a chance of 2^-k in it.
func (s *Engine) recoveryRate(r *endpoint) float64 {
	share, warming := s.settings.WarmUpInitialCapacity, 1-s.settings.WarmUpInitialCapacity
	window, warm := s.settings.OverloadWindow.Seconds(), s.settings.WarmUpDuration.Seconds()
	if r.recoveredAt > 0 {
		share += warming * min((s.now-r.recoveredAt).Seconds()/warm, 1-math.Pow(0.5, float64(r.consecutiveSuccesses)))
	}
	takes := max(s.scopeCapacity(r.scope), s.deliveryRate(r.scope))
	b := recoveryPushRatio * s.settings.OverloadFactor * min(1, share+warming*window/warm) * takes * window
	root := (math.Sqrt(recoveryDeviations*recoveryDeviations+4*b) - recoveryDeviations) / 2
	n := max(root*root, b-recoveryDeviations*math.Sqrt(float64(s.settings.FleetSize))/2)
	return n / (window * (1 + recoveryLapseRatio)) * s.fairShare(r.scope) / takes
}

// recoveryBudgetAt is when a route that may be cold takes its next call. Guards against pushing over a returning
// destination: every send to a route in doubt draws on one budget of its gate. The first call is drawn by
// chance, so that the sum over all senders is right. It holds during an outage too, whose end is not told.
func (s *Engine) recoveryBudgetAt(r *endpoint) time.Duration {
	g := r.scope
	r.warmingUp = r.warmingUp && (r.recoveredAt == 0 || s.now < r.recoveredAt+s.settings.WarmUpDuration)
	if r.lastSuccessAt == 0 && (g.consecutiveFailures >= suspectAfterFailures || g.hasSuspect() || s.now < g.suspectRemovedAt+s.settings.WarmUpDuration) {
		s.suspect(r) // not answered yet: it stands as its siblings do, or those it replaced
	}
	if !r.warmingUp {
		return 0
	}
	rate := s.recoveryRate(r)
	// A told wait saves nothing up: all who were told it would call at its end.
	g.recoveryUpdatedAt = max(g.recoveryUpdatedAt, g.retryAfterUntil)
	if s.now > g.recoveryUpdatedAt {
		g.recoveryTokens += rate * (s.now - g.recoveryUpdatedAt).Seconds()
		g.recoveryTokens -= math.Max(0, math.Floor(g.recoveryTokens-rate*recoveryLapseRatio*s.settings.OverloadWindow.Seconds()))
		g.recoveryUpdatedAt = s.now
	}
	if g.recoveryTokens >= 1 {
		return 0
	}
	return g.recoveryUpdatedAt + max(time.Millisecond, callInterval(rate/(1-g.recoveryTokens)))
}

// acceptsCallAt is when a route next takes a call, as far as its gate, skip and pace tell; math.MaxInt64 if
// only an outcome can open it.
func (s *Engine) acceptsCallAt(r *endpoint) time.Duration {
	g := r.scope
	if !r.InService || r.Removed || r.ejected && len(r.calls) > 0 || s.saturated(r) {
		return math.MaxInt64
	}
	at := max(g.retryAfterUntil, r.ejectedUntil, s.recoveryBudgetAt(r))
	if s.isLargeFleet(g) {
		s.boundPacing(g, g.pacingRate)
	}
	if g.pacingRate > 0 {
		s.refillTokens(g)
		if g.tokens < 1 && !g.hasGrant(s.now) {
			at = s.requestQuota(g, at, max(at, g.tokensUpdatedAt+callInterval(s.tokenRate(g)/(1-g.tokens))))
		}
	}
	return at
}

// saturated tells whether a route or its gate holds too many slots. Guards against silent or very slow routes
// that would fill the slots before any time-out tells: while the oldest calls are overdue, only a few may be
// out. A jam of the whole fleet looks alike; it ends with the first answer.
func (s *Engine) saturated(r *endpoint) bool {
	full := r.scope.inFlight >= max(2, int(maxScopeInFlightRatio*float64(s.settings.MaxInFlightCalls)))
	return s.settings.MaxInFlightCalls > 0 && (full || s.hasOverdueCalls(r, min(ejectAfterFailures, max(1, s.settings.MaxInFlightCalls/4))))
}

// hasOverdueCalls tells whether n calls of a route are overdue, with none answered that were sent later.
func (s *Engine) hasOverdueCalls(r *endpoint, n int) bool {
	return len(r.calls) >= n && s.now > r.calls[n-1].overdueAt && r.lastAnsweredSendAt < r.calls[n-1].sentAt
}

// decreasePacing sets the pace to half the last second's rate, once for all calls that were out together.
func (s *Engine) decreasePacing(r *endpoint, o observation) {
	g := r.scope
	if o.sentAt < g.decreasedAt {
		return
	}
	rate := s.sendRate(g)
	if g.pacingRate > 0 {
		rate = math.Min(rate, g.pacingRate)
	}
	if s.isLargeFleet(g) {
		g.lastRejectedRate, g.pacingRate = 0, s.fleetRateAfterRejection(r, cmp.Or(rate, g.pacingRate)) // one in seconds: none in the last
	} else {
		// Counts of few calls a second are rough: halvings must not starve a gate whose limit is known.
		least := math.Max(minPacingRate, minPacingShareRatio*s.knownLimit(g)/float64(s.settings.FleetSize))
		g.lastRejectedRate, g.pacingRate = math.Max(rate, least), math.Max(rate/2, least)
	}
	g.tokens, g.tokensUpdatedAt, g.decreasedAt = 0, s.now, s.now
	// A clump refused at hundreds of senders comes again spread over a call's time.
	if s.hasSparseShare(g) {
		g.tokens = 0.5 - sparseSpreadCalls*s.rng.Float64()
	}
}

// increasePacing lets the pace grow with a success, slowly near the rate that was refused last.
func (s *Engine) increasePacing(g *limitScope) {
	if g.pacingRate == 0 {
		return
	}
	s.refillTokens(g)
	if g.pacingRate > maxUnusedPacingRatio*math.Max(1, s.sendRate(g)) {
		return
	}
	growth := pacingGrowth
	if s.isLargeFleet(g) {
		growth = s.fleetPacingGrowth(g)
	} else if g.lastRejectedRate > 0 && g.pacingRate > nearLimitRatio*g.lastRejectedRate {
		growth = cautiousPacingGrowth
	}
	if growth == 0 {
		return
	}
	// Where successes are seconds apart, each counts for the seconds that it stands for.
	steps := min(max(1, (s.now-max(g.increasedAt, g.decreasedAt)).Seconds()), maxGrowthSeconds)
	was := g.pacingRate
	g.pacingRate, g.increasedAt = g.pacingRate*math.Pow(1+growth, steps), s.now
	if s.isLargeFleet(g) {
		s.boundPacing(g, was)
	}
	// While one call carries all that waits, more than this part only takes the room of others' backlogs.
	if n := s.maxBatch(g.kind); n > 1 && len(g.destination.queue) < n && s.knownLimit(g) > 0 {
		g.pacingRate = math.Min(g.pacingRate, s.fairShare(g))
	}
}

// looksConnectExhausted tells whether a failed connection looks like a full table: it failed at once, at a route that
// answered of late or, among many senders, of a kind that had such failures. Some in a row are an outage.
func (s *Engine) looksConnectExhausted(r *endpoint, o observation) bool {
	short := s.settings.FleetSize > smallFleetSize && s.now < s.connectShortageUntil[r.Kind]
	failed := o.outcome == ConnectFailed && s.now-o.sentAt < minLatencyBound
	return failed && r.scope.connectExhaustions < maxConnectExhaustions && (s.recentlyHealthy(r) || short)
}

// pauseConnecting answers a full connection table.
func (s *Engine) pauseConnecting(r *endpoint, _ observation) {
	r.ejectedUntil = s.now + time.Duration((0.5+s.rng.Float64())*float64(connectExhaustionPause))
	s.emit(Action{Kind: CloseIdle, Endpoint: r.ID})
}

// observeOutcome takes an outcome as an observation of its route.
func (s *Engine) observeOutcome(r *endpoint, o observation, took time.Duration) {
	if s.now < s.closeIdleUntil[r.Kind] {
		s.emit(Action{Kind: CloseIdle, Endpoint: r.ID})
	}
	switch o.outcome {
	case OK:
		s.recordSuccess(r, o.sentAt, took)
		return
	case NotSent, Cancelled:
		return
	case Overloaded:
		if r.consecutiveRejections == 0 {
			r.firstRejectedAt = s.now
		}
		r.consecutiveRejections++
		r.scope.lastFailureSentAt = max(r.scope.lastFailureSentAt, o.sentAt)
		s.suspectOnWeakSignal(r)
	default:
		r.answerLost = r.answerLost || o.outcome == Reset
		if o.outcome == Timeout || o.outcome == Reset {
			// Calls may be lost with the connection that carries them: the next one takes a fresh one.
			s.emit(Action{Kind: CloseIdle, Endpoint: r.ID})
			// A later call was answered, or the route lives: this one says nothing of its standing.
			// Nor does a call with less time than an answer takes. Guards against a backlog whose late calls
			// keep a route in doubt for good.
			if r.lastAnsweredSendAt >= o.sentAt || (o.outcome == Reset || o.truncated) && s.recentlyHealthy(r) {
				return
			}
		}
		if o.outcome == Timeout {
			s.recordLatency(r, took+took/2)
		}
		o.connectExhausted = s.looksConnectExhausted(r, o)
		if o.outcome == ConnectFailed && s.now-o.sentAt < minLatencyBound {
			s.connectShortageUntil[r.Kind] = s.now + connectShortageWindow
		}
		if o.connectExhausted {
			r.scope.connectExhaustions++
			s.suspectOnWeakSignal(r)
			break
		}
		r.consecutiveFailures, r.consecutiveRejections = r.consecutiveFailures+1, 0
		// An outage answers no call or fails most at once: time-outs between answers are losses, not that.
		if o.outcome == Error || o.outcome == ConnectFailed {
			r.recentFailures = r.recentFailures<<1 | 1
			r.scope.lastFailureSentAt = max(r.scope.lastFailureSentAt, o.sentAt)
		}
		if r.consecutiveFailures >= suspectAfterFailures || bits.OnesCount8(r.recentFailures) >= suspectAfterRecentFailures {
			s.suspect(r)
		} else {
			s.suspectWeakly(r)
		}
		// Failures in a row over all routes of a gate tell of an outage of them all.
		if r.scope.consecutiveFailures++; r.scope.consecutiveFailures >= ejectAfterFailures {
			s.suspectScope(r, o)
		}
	}
	// A call cut off early, for lack of time left, may cast doubt on its route but skips none.
	if o.truncated {
		return
	}
	for _, f := range failureRules {
		if f.matches(s, r, o) {
			if f.respond != nil {
				f.respond(s, r, o)
			}
			if f.ejects {
				s.eject(r, o.sentAt)
			}
			return
		}
	}
}

// recentlyHealthy tells whether a route has answered of late.
func (s *Engine) recentlyHealthy(r *endpoint) bool {
	return r.lastSuccessAt > 0 && s.now-r.lastSuccessAt < recentlyHealthyWindow
}

// suspect puts a route under the recovery budget.
func (s *Engine) suspect(r *endpoint) {
	if g := r.scope; !g.hasSuspect() {
		g.recoveryTokens, g.recoveryUpdatedAt = s.rng.Float64(), s.now
		g.deliveryRate, g.deliveryRateAt = s.deliveryRate(g), s.now
	}
	r.warmingUp, r.weaklySuspected, r.recoveredAt, r.consecutiveSuccesses, r.lastFailureSentAt = true, false, 0, 0, r.scope.lastFailureSentAt
}

// suspectScope does so with all routes that share the limit of one.
func (s *Engine) suspectScope(r *endpoint, _ observation) {
	for _, x := range r.scope.endpoints {
		s.suspect(x)
	}
}

// eject enters a route in the skip table. Failures of calls sent before the skip began add nothing.
func (s *Engine) eject(r *endpoint, sent time.Duration) {
	s.suspect(r)
	if r.ejected && sent < r.ejectedUntil-r.ejectionTime {
		return
	}
	next := initialEjectionTime
	if r.ejected && r.ejectionTime > 0 {
		next = min(maxEjectionTime, time.Duration(float64(r.ejectionTime)*ejectionGrowth))
	}
	r.ejectionTime = time.Duration(float64(next) * (1 + ejectionJitter*(2*s.rng.Float64()-1)))
	r.ejected, r.ejectedUntil = true, s.now+r.ejectionTime
}

// recordLatency learns how long answers of a route take. A time-out tells that its answer takes longer.
func (s *Engine) recordLatency(r *endpoint, took time.Duration) {
	if r.latencyMean == 0 {
		r.latencyMean, r.latencyDeviation = took, took/2
		return
	}
	d := took - r.latencyMean
	r.latencyMean, r.latencyDeviation = r.latencyMean+d/8, r.latencyDeviation+(max(d, -d)-r.latencyDeviation)/4
}

func (s *Engine) recordSuccess(r *endpoint, sent, took time.Duration) {
	g := r.scope
	// A table that was full and takes a call again was not away. Guards against connections closed after
	// every use for an outage of others: each call of a fleet then cost a handshake.
	if g.connectExhaustions > 0 && g.consecutiveFailures == 0 && s.settings.FleetSize > smallFleetSize {
		s.closeIdleUntil[r.Kind] = s.now + connectShortageWindow
	}
	r.lastSuccessAt, r.lastAnsweredSendAt, r.consecutiveFailures, r.consecutiveRejections, r.answerLost = s.now, max(r.lastAnsweredSendAt, sent), 0, 0, false
	r.recentFailures, g.consecutiveFailures, g.connectExhaustions = r.recentFailures<<1, 0, 0
	s.recordLatency(r, took)
	if r.ejected {
		r.ejected, r.ejectedUntil, r.ejectionTime = false, 0, 0
		// Where a sibling answered all the while, the destination was not away: its pace stands.
		if !slices.ContainsFunc(g.endpoints, func(x *endpoint) bool { return x != r && s.recentlyHealthy(x) }) {
			g.pacingRate, g.tokens, g.tokensUpdatedAt = pacingRestartRate, 0, s.now
		}
	}
	s.recordDelivery(g)
	// What was sent before a call that failed at once tells of no return.
	if r.consecutiveSuccesses++; r.warmingUp && r.recoveredAt == 0 && sent > r.lastFailureSentAt {
		r.recoveredAt, r.warmingUp = s.now, !r.weaklySuspected || s.fairShare(r.scope)*s.settings.WarmUpDuration.Seconds() > 1
	}
	s.increasePacing(g)
}

// Messages.

func (s *Engine) acceptMessage(e *Event) {
	// the strictest
	c := &Class{Effect: NonIdempotent, Ordered: true, LatencyObjective: e.TimeLeft / 2, Deadline: e.TimeLeft, Weight: 1}
	if e.Class >= 0 && e.Class < len(s.settings.Classes) {
		c = &s.settings.Classes[e.Class]
	}
	m := &message{id: e.MessageID, class: c, maxAttempts: s.settings.MaxAttempts, destination: s.ensureDestination(e.Destination)}
	m.deadline = s.now + e.TimeLeft - deadlineMargin
	m.objectiveAt = s.now + c.LatencyObjective - max(0, c.Deadline-e.TimeLeft)
	m.queueRank = s.now + time.Duration(float64(m.objectiveAt-s.now)/math.Max(c.Weight, 0.01))
	if s.exceedsQuota(e.Tenant) {
		m.queueRank += time.Duration(overQuotaDelayRatio * float64(e.TimeLeft))
	}
	s.messages[m.id] = m
	s.countAccepted()
	s.pendingMessages++
	m.destination.messageCount++
	if c.Ordered && e.Key != "" {
		s.joinKeyQueue(m, e.Key)
	}
	s.recoverMessage(m, e.Recovered)
	s.deadlines.push(deadlineEntry{m.deadline, m})
	s.deadlines.push(deadlineEntry{m.objectiveAt, m})
	s.enqueue(m)
	s.shedLoad()
}

// exceedsQuota counts a message against its customer's share and tells whether it lies beyond.
func (s *Engine) exceedsQuota(c int) bool {
	if c < 0 || c >= len(s.tenantTraffic) || s.settings.Tenants[c].Quota <= 0 {
		return false
	}
	b, rate := &s.tenantTraffic[c], s.settings.Tenants[c].Quota/float64(s.settings.FleetSize)
	b.level, b.updatedAt = math.Max(0, b.level-rate*(s.now-b.updatedAt).Seconds())+1, s.now
	if b.level > 1+2*rate {
		b.level--
		return true
	}
	return false
}

// shedLoad refuses the last message of the longest queue while little room is left.
func (s *Engine) shedLoad() {
	if s.settings.MaxPendingMessages <= 0 || s.pendingMessages <= int(maxPendingRatio*float64(s.settings.MaxPendingMessages)) {
		return
	}
	long := slices.MaxFunc(s.active, func(a, b *destination) int {
		return cmp.Or(len(a.queue)-len(b.queue), b.id-a.id)
	})
	for i := len(long.queue) - 1; i >= max(0, len(long.queue)-maxQueueScan); i-- {
		if m := long.queue[i]; s.mayShed(m) {
			s.reject(m)
			return
		}
	}
}

func (s *Engine) attemptFinished(e *Event) {
	m := s.messages[e.MessageID]
	r, c := s.endpoints[e.Endpoint], s.takeCall(m, e.Attempt)
	if c != nil {
		r = c.endpoint
	}
	// A told wait keeps every message from the gate until it is over, whoever was told.
	if r != nil && e.RetryAfter > 0 {
		r.scope.retryAfterUntil = max(r.scope.retryAfterUntil, s.now+e.RetryAfter)
	}
	if c == nil {
		return
	}
	s.recordLimit(r, e.LimitReport)
	c.pending, c.delivered = c.pending-1, c.delivered || e.Outcome == OK
	if c.pending == 0 {
		s.recordCallEnd(c)
		o := e.Outcome
		if c.delivered {
			o = OK
		}
		due := c.sentAt + min(minLatencyBound, cmp.Or(m.class.LatencyObjective, minLatencyBound))
		short := (o == Timeout || o == ConnectFailed) && c.timeoutAt < due
		s.observeOutcome(r, observation{outcome: o, retryAfter: e.RetryAfter, sentAt: c.sentAt, truncated: short}, e.Latency)
	}
	s.recheck(m.destination)
	s.recordPossibleEffect(m, e, c)
	switch {
	case e.MessageEnded:
		s.finishMessage(m)
	case m.ended:
		s.releaseMessage(m)
	case s.attemptsExhausted(m):
		s.rejectOrFail(m)
	default:
		s.enqueue(m)
	}
}

// recordPossibleEffect notes for a message what its attempt may have done.
func (s *Engine) recordPossibleEffect(m *message, e *Event, c *call) {
	switch e.Outcome {
	case ConnectFailed:
		m.lastFailedEndpoint = c.endpoint
		return
	case Overloaded, NotSent:
		return
	case Timeout, Reset, Cancelled:
		m.timeouts++
		if m.keyQueue != nil {
			m.keyQueue.pausedUntil = max(m.keyQueue.pausedUntil, s.now+s.settings.OrderingPause)
		}
	}
	m.lastFailedEndpoint = c.endpoint
	if !m.mayHaveRun || c.sentAt < m.firstRunAt {
		s.recordFirstRun(m, c.sentAt, c.endpoint.Zone)
	}
}

// mayReject tells whether a refusal keeps the rule of effects: the client may come again.
func (s *Engine) mayReject(m *message) bool {
	free := m.class.Effect == Idempotent || m.class.Effect == IdempotentByKey && m.class.DedupAllZones
	return !m.ended && (free || !m.mayHaveRun && len(m.inFlight) == 0)
}

// attemptAllowedAt is the one guard of all sends. It tells when a send of m to r keeps the rules;
// math.MaxInt64 if never as things stand.
func (s *Engine) attemptAllowedAt(m *message, r *endpoint) time.Duration {
	const never = time.Duration(math.MaxInt64)
	// Rule 1: nothing after the end, nothing past the time or the attempts.
	if m.ended || s.now >= m.deadline || m.maxAttempts > 0 && m.attempts >= m.maxAttempts {
		return never
	}
	// Rule 2: one attempt at a time; repeats only where they are dropped.
	if len(m.inFlight) > 0 {
		return never
	}
	if m.mayHaveRun {
		switch m.class.Effect {
		case NonIdempotent:
			return never
		case IdempotentByKey:
			if !m.class.DedupAllZones && r.Zone != m.firstRunZone || s.now >= m.dedupWindowEnd() {
				return never
			}
		}
	}
	// Rule 3: routes in service only.
	if !r.InService || r.Removed || r.Destination != m.destination.id {
		return never
	}
	// Rule 6: the key's turn and its rest.
	at := time.Duration(0)
	if t := m.keyQueue; t != nil {
		if t.messages[0] != m {
			return never
		}
		if m.attempts == 0 {
			at = t.pausedUntil
		}
	}
	// Rule 4: the recovery budget. Rule 5: told waits.
	return max(at, r.scope.retryAfterUntil, s.recoveryBudgetAt(r))
}

// Route choice.

// selectEndpoint returns the first route in order that takes the message now; else nil and when one may.
func (s *Engine) selectEndpoint(m *message) (*endpoint, time.Duration) {
	second, soonest := (*endpoint)(nil), time.Duration(math.MaxInt64)
	for _, g := range m.destination.scopes {
		var best *endpoint
		for _, r := range g.endpoints {
			at := s.attemptAllowedAt(m, r)
			if m.deadline-s.now < r.latencyMean {
				continue // no time left for an answer
			}
			// An unsafe message is lost with its attempt: others try a skipped route first.
			if r.ejected && m.class.Effect == NonIdempotent {
				at = max(at, m.deadline-(m.deadline-m.objectiveAt)/2)
			}
			if at < math.MaxInt64 {
				at = max(at, s.acceptsCallAt(r))
			}
			if at > s.now {
				soonest = min(soonest, at)
				continue
			}
			if r == m.lastFailedEndpoint || s.hasOverdueCalls(r, 1) {
				second = r
				continue
			}
			// Routes that share a gate are one tier: the one with fewest calls out, in order.
			if best == nil || len(r.calls) < len(best.calls) {
				best = r
			}
		}
		if best != nil {
			return best, s.now
		}
	}
	return second, soonest
}

// selectNext finds the destination's next message that may go, or when one may.
func (s *Engine) selectNext(d *destination) {
	d.candidate, d.candidateEndpoint, d.blockedUntil = nil, nil, math.MaxInt64
	for _, g := range d.scopes {
		for _, r := range g.endpoints {
			d.blockedUntil = min(d.blockedUntil, s.acceptsCallAt(r))
		}
	}
	if d.blockedUntil > s.now {
		return
	}
	d.blockedUntil = math.MaxInt64
	for i := 0; i < len(d.queue) && i < maxQueueScan; i++ {
		r, at := s.selectEndpoint(d.queue[i])
		if r != nil {
			d.candidate, d.candidateEndpoint, d.blockedUntil = d.queue[i], r, 0
			return
		}
		d.blockedUntil = min(d.blockedUntil, at)
	}
}

// Queue and dispatch.

// precedes tells which of two messages goes first.
func precedes(a, b *message) bool {
	return a.queueRank < b.queueRank || a.queueRank == b.queueRank && a.id < b.id
}

// dispatch sends what may go, first in order first, while slots last. Destinations that nothing touched since
// they were found closed are not looked at.
func (s *Engine) dispatch() {
	ready := s.ready[:0]
	for _, d := range s.active {
		if d.blockedUntil <= s.now {
			ready = append(ready, d)
			d.candidate, d.blockedUntil = nil, 0
		}
	}
	s.ready = ready
	for s.settings.MaxInFlightCalls <= 0 || s.callsInFlight < s.settings.MaxInFlightCalls {
		var best *destination
		for _, d := range ready {
			if d.candidate == nil && d.blockedUntil <= s.now && len(d.queue) > 0 {
				s.selectNext(d)
			}
			if d.candidate != nil && (best == nil || precedes(d.candidate, best.candidate)) {
				best = d
			}
		}
		if best == nil {
			break
		}
		s.startCall(best)
		best.candidate = nil
	}
	for _, d := range ready {
		s.rejectUnservable(d)
	}
	for _, d := range s.active {
		if d.blockedUntil > s.now {
			s.requestTimer(d.blockedUntil)
		}
	}
}

// rejectUnservable refuses what waits for nothing: messages of a destination that opens only after their deadlines.
// The client may come again elsewhere, to a sender that was told less.
func (s *Engine) rejectUnservable(d *destination) {
	for i := len(d.queue) - 1; i >= 0; i-- {
		if m := d.queue[i]; d.blockedUntil < math.MaxInt64 && d.blockedUntil >= m.deadline && s.mayShed(m) {
			s.reject(m)
		}
	}
}

// startCall starts a call with the destination's next message and, where its kind allows, with further ones.
// They share one fate: after a failure it carries one, after an answer that was lost half as many.
func (s *Engine) startCall(d *destination) {
	r := d.candidateEndpoint
	c := &call{endpoint: r, sentAt: s.now, overdueAt: s.now + s.latencyBound(r, overdueDeviations)}
	room := s.maxBatch(r.Kind)
	if r.consecutiveFailures > 0 || r.ejected {
		room = 1
	} else if r.answerLost {
		room = (room + 1) / 2
	}
	if !s.addToCall(d.candidate, c) {
		return
	}
	for i := 0; c.pending < room && i < len(d.queue) && i < maxQueueScan; {
		if m := d.queue[i]; m.lastFailedEndpoint == r || !s.addToCall(m, c) {
			i++
		}
	}
	s.recordCallStart(c)
}

// addToCall adds an attempt of m to a call, if the guard lets it.
func (s *Engine) addToCall(m *message, c *call) bool {
	if s.attemptAllowedAt(m, c.endpoint) > s.now {
		return false
	}
	s.dequeue(m)
	m.inFlight = append(m.inFlight, attempt{m.attempts, c})
	m.attempts++
	c.pending++
	cut := s.attemptTimeoutAt(m, c.endpoint)
	if c.timeoutAt == 0 || cut < c.timeoutAt {
		c.timeoutAt = cut
	}
	s.emit(Action{Kind: Send, MessageID: m.id, Endpoint: c.endpoint.ID, TimeoutAt: cut})
	return true
}

// latencyBound is how long an answer of a route may take: its mean and so many mean deviations.
func (s *Engine) latencyBound(r *endpoint, devs int) time.Duration {
	if r.latencyMean == 0 {
		return 2 * minLatencyBound
	}
	return max(minLatencyBound, r.latencyMean+time.Duration(devs)*r.latencyDeviation)
}

// attemptTimeoutAt is when an attempt times out: as long as the route's answers have taken, at most half the time left.
// An unsafe message has no second try and waits twice as long; a trial of a skipped route waits least.
func (s *Engine) attemptTimeoutAt(m *message, r *endpoint) time.Duration {
	left := m.deadline - s.now
	usual := max(s.latencyBound(r, timeoutDeviations), m.class.LatencyObjective/2)
	if m.class.Effect == IdempotentByKey && !m.class.DedupAllZones {
		usual = max(usual, m.class.LatencyObjective) // a repeat is bound to few routes
	}
	if s.settings.MaxInFlightCalls > 0 && 2*s.callsInFlight > s.settings.MaxInFlightCalls {
		usual = min(usual, m.class.LatencyObjective)
	}
	if r.ejected {
		usual = m.class.LatencyObjective / 2
	}
	if m.class.Effect == NonIdempotent {
		return s.now + min(left, 2*usual)
	}
	// Where half of the time is less than an answer may take, one try has all of it.
	if left/2 >= s.latencyBound(r, overdueDeviations) {
		left /= 2
	}
	return s.now + min(left, usual)
}

// Deadlines.

// handleDeadlines gives every message whose time is up its final answer.
func (s *Engine) handleDeadlines() {
	for len(s.deadlines) > 0 && (s.deadlines[0].at <= s.now || s.deadlines[0].message.ended) {
		m := s.deadlines.pop().message
		switch {
		case m.ended:
		case s.attemptsExhausted(m) || s.now >= m.deadline:
			s.rejectOrFail(m)
		case s.now >= m.objectiveAt:
			s.deprioritize(m)
		}
	}
}

// deprioritize moves a message back that has missed its aim: what is still in time goes first, with more to lose.
func (s *Engine) deprioritize(m *message) {
	queued := m.queued
	s.dequeue(m)
	after := missedObjectiveDelayRatio * float64(m.deadline-s.now) / math.Max(m.class.Weight, 0.01)
	m.queueRank = max(m.queueRank, s.now+time.Duration(after))
	if queued {
		s.enqueue(m)
	}
}
