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
	skipFirst    = 2 * time.Second         // first skip: most outages last longer, a trial costs one call
	skipMost     = 10 * time.Second        // longest skip, the page's own length
	skipGrowth   = 1.5                     // factor from one skip to the next while trials fail
	skipJitter   = 0.2                     // share by which a skip varies: senders do not return in step
	longWait     = 2500 * time.Millisecond // a told wait beyond this means shut, not a limit's span
	shutRefusals = 4                       // refusals in a row, with no answer between, that mean shut
	sparseShut   = 2                       // refusals in a row after which a sparse sender doubts
	hintDoubt    = 0.6                     // chance that one does, and that a connection failed at once does
	sparseSpread = 1.0                     // calls at the pace over which refused sparse senders spread
	shutSpan     = 2 * time.Second         // and over at least this long: longer than a limit's usual span
	streakSkip   = 3                       // failures in a row that skip a route
	streakDoubt  = 2                       // failures in a row after which a route may be in an outage
	recentDoubt  = 3                       // errors or failed connections of the last 8 outcomes that say so
	recentSkip   = 5                       // the same that skip a route
	paceRestart  = 1.0                     // calls a second after a skip
	paceLeast    = 0.03                    // calls a second under which a pace does not fall
	paceSure     = 0.5                     // of its even part of the limit: a pace does not fall below
	paceCreep    = 0.25                    // growth of the pace with each success
	paceCrawl    = 0.03                    // the same near the rate that was refused last
	creepSteps   = 8                       // most seconds that one success counts for
	paceNear     = 0.85                    // "near": above this share of that rate
	paceFree     = 3.0                     // above this multiple of the rate in use a pace does not grow
	paceBurst    = 300 * time.Millisecond  // span of pace that may be sent at once after idling
	toldShare    = 2.0 / 3                 // of a push: less from senders told of failures breaks no failback
	scatter      = 1                       // deviations of the sum of all calls that are kept free
	lapseShare   = 0.1                     // of the window: a call due in doubt lapses after this
	ownPart      = 0.2                     // own deliveries in the part; the rest is even
	roughFactor  = 1.5                     // a rough weight may exceed the truth by this factor
	ownSpan      = 10 * time.Second        // span of the mean rate of own deliveries
	devs         = 6                       // mean deviations over the mean answer time that a time-out allows
	lateDevs     = 4                       // the same after which an answer is overdue
	leastExpect  = 800 * time.Millisecond  // no answer is overdue before this
	endMargin    = 12 * time.Millisecond   // final answers and time-outs come this long before the deadline
	roomShare    = 0.9                     // share of the room beyond which held messages are refused
	gateShare    = 0.4                     // share of the slots that one gate may fill
	overShare    = 0.5                     // of its time left: how much later traffic over its share queues
	lateShare    = 0.5                     // of its time left: how much later a message past its aim queues
	scanDepth    = 500                     // messages of a destination looked at for one that may go
	aliveSpan    = 3 * time.Second         // a route that answered within this is alive
	retryAdvice  = 500 * time.Millisecond  // least advice with a refusal
	leastLimit   = 1.0                     // calls a second that any destination takes
	fewSenders   = 6                       // so many fit any table, and see enough of a route by themselves
	tightMost    = 2                       // failed connections in a row that a full table explains
	tightRest    = 300 * time.Millisecond  // rest of a route with a full table: about an answer's time
	scarceSpan   = 30 * time.Second        // how long a kind whose table was full is short of connections
)

// sample is one outcome at a route, as the failure rules see it.
type sample struct {
	outcome Outcome
	wait    time.Duration
	sent    time.Duration
	short   bool // cut off before an answer could be expected
	tight   bool // no connection, as when a table is full
}

// rule is one failure rule: what it matches, whether the route is skipped, and what else follows.
type rule struct {
	name  string
	match func(s *Engine, r *route, o sample) bool
	skip  bool
	then  func(s *Engine, r *route, o sample)
}

// failureRules is evaluated in order; the first that matches decides.
var failureRules = []rule{
	// A long told wait or a run of refusals is a shut destination: it comes back cold.
	{"shut", func(s *Engine, r *route, o sample) bool {
		run := r.refusals >= shutRefusals && s.now-r.refusedAt >= shutSpan
		return o.outcome == Overloaded && (o.wait > longWait || run)
	}, true, (*Engine).doubtAll},
	{"full", func(_ *Engine, _ *route, o sample) bool { return o.outcome == Overloaded }, false, (*Engine).halve},
	{"trial failed", func(_ *Engine, r *route, _ sample) bool { return r.down }, true, nil},
	// A full table refuses at once and may take the next: a short rest, idle connections closed.
	{"crowded", func(_ *Engine, _ *route, o sample) bool { return o.tight }, false, (*Engine).crowd},
	{"in a row", func(_ *Engine, r *route, _ sample) bool { return r.streak >= streakSkip }, true, nil},
	// Outages may fail only most calls: successes between do not clear them.
	{"mostly failing", func(_ *Engine, r *route, _ sample) bool {
		return bits.OnesCount8(r.recent) >= recentSkip
	}, true, nil},
	{"failed", func(*Engine, *route, sample) bool { return true }, false, nil},
}

// New returns a Sender that knows nothing but its settings.
func New(set Settings, seed uint64) (*Engine, error) {
	if err := set.check(); err != nil {
		return nil, err
	}
	set.FleetSize = max(1, set.FleetSize)
	set.WarmUpInitialCapacity = cmp.Or(max(0, set.WarmUpInitialCapacity), 0.1)
	set.WarmUpDuration = cmp.Or(max(0, set.WarmUpDuration), 30*time.Second)
	set.OverloadWindow = cmp.Or(set.OverloadWindow, 3*time.Second)
	set.OverloadFactor = cmp.Or(max(0, set.OverloadFactor), 1)
	pcg := rand.NewPCG(seed, 0x6f6e7978)
	return &Engine{
		set: set, pcg: pcg, rng: rand.New(pcg),
		routes: map[string]*route{}, least: map[int]float64{}, dests: map[int]*dest{},
		scarce: map[int]time.Duration{}, short: map[int]time.Duration{},
		msgs: map[uint32]*message{}, turns: map[string]*turn{},
		shares: make([]bucket, len(set.Tenants)),
	}, nil
}

// Step takes what has come in at now and returns what to do, in order.
func (s *Engine) Step(now time.Duration, events []Event) []Action {
	s.now, s.acts = now, s.acts[:0]
	s.began = cmp.Or(s.began, now)
	// A wake may come a little early, for a clock coarser than ours: one so near does not count as asked for.
	if s.wakeAt <= now+time.Millisecond {
		s.wakeAt = 0
	}
	for i := range events {
		s.observe(&events[i])
	}
	s.unpark()
	s.endDue()
	s.dispatch()
	if n := len(s.ends); n > 0 {
		s.wake(s.ends[0].at)
	}
	if s.wantWake > 0 && (s.wakeAt == 0 || s.wantWake < s.wakeAt) {
		s.wakeAt = max(s.wantWake, now+time.Millisecond)
		s.act(Action{Kind: SetTimer, Delay: s.wakeAt - now})
	}
	s.wantWake = 0
	return s.acts
}

func (s *Engine) observe(e *Event) {
	switch e.Kind {
	case MessageAccepted:
		s.take(e)
	case AttemptFinished:
		s.finish(e)
	case HealthChecked:
		if r := s.routes[e.Endpoint]; r != nil {
			s.report(r, e.LimitReport)
			r.gate.wait = max(r.gate.wait, s.now+e.RetryAfter)
			s.learn(r, sample{outcome: e.Outcome, wait: e.RetryAfter, sent: s.now - e.Latency}, e.Latency)
			s.touch(r.gate.dest)
		}
	case MessageCancelled:
		if m := s.msgs[e.MessageID]; m != nil {
			s.over(m)
		}
	case EndpointSnapshot, EndpointDelta:
		s.list(e.Endpoints, e.Kind == EndpointSnapshot)
	case QuotaGranted:
		s.grant(e)
	case WatchFailed:
		if s.set.WatchRequired {
			s.act(Action{Kind: WatchEndpoints})
		}
	}
}

// Routes and gates.

// sortRoutes puts routes in their fixed order: listed weight, lower fee, a lot drawn once for each route.
// Guards against hundreds of senders that all load the first of several equal routes.
func (s *Engine) sortRoutes(d *dest) {
	less := func(a, b *route) int {
		switch {
		case a.Weight != b.Weight && !s.set.IgnoreWeights:
			return cmp.Compare(b.Weight, a.Weight)
		case s.fee(a) != s.fee(b):
			return cmp.Compare(s.fee(a), s.fee(b))
		case a.lot != b.lot && s.set.FleetSize > fewSenders:
			return cmp.Compare(a.lot, b.lot)
		}
		return cmp.Compare(a.ID, b.ID)
	}
	for _, g := range d.gates {
		slices.SortFunc(g.routes, less)
	}
	if len(d.gates) > 1 {
		slices.SortFunc(d.gates, func(a, b *gate) int { return less(a.routes[0], b.routes[0]) })
	}
}

// fee is what a message costs by its route's zone.
func (s *Engine) fee(r *route) float64 {
	if r.gate.separate && r.Zone >= 0 && r.Zone < len(s.set.ZoneCosts) {
		return s.set.ZoneCosts[r.Zone]
	}
	return 0
}

// limit is what a gate takes from all senders, on the low side, in calls a second; 0 if nothing tells. One
// that is told in answers and has not been yet is taken for the least told of its kind.
func (s *Engine) limit(g *gate) float64 {
	if l := cmp.Or(g.limit, s.least[g.kind]); l > 0 || s.set.IgnoreWeights || len(g.routes) == 0 {
		return l
	}
	if s.set.ApproximateWeights {
		return g.routes[0].Weight / roughFactor
	}
	return g.routes[0].Weight
}

// part is this sender's part of the calls a second that a gate takes from all: a fixed mix of an even part
// and own deliveries, since traffic is uneven. Each adds up to what the gate takes, and so does the mix.
func (s *Engine) part(g *gate) float64 {
	return (1-ownPart)*s.takes(g)/float64(s.set.FleetSize) + ownPart*s.rate(g)
}

// coldRate is how many calls a second this sender may make to a route in doubt that takes L from all when
// warm. It falls over at OverloadFactor*share*L*OverloadWindow calls in a window, at the share of its end.
// Senders told of a failure break no rule below two thirds of that: b. Calls are drawn apart: a sum of n
// scatters by sqrt(n), by half a call for each of few. n + scatter*deviation = b gives n, shared by parts
// that add up. A call not made lapses. The share grows with the time since the first delivery, no further
// than deliveries in a row bear out: an outage fails most calls, k in a row have a chance of 2^-k in it.
func (s *Engine) coldRate(r *route) float64 {
	share, warming := s.set.WarmUpInitialCapacity, 1-s.set.WarmUpInitialCapacity
	window, warm := s.set.OverloadWindow.Seconds(), s.set.WarmUpDuration.Seconds()
	if r.back > 0 {
		share += warming * min((s.now-r.back).Seconds()/warm, 1-math.Pow(0.5, float64(r.run)))
	}
	takes := max(s.takes(r.gate), s.rate(r.gate))
	b := toldShare * s.set.OverloadFactor * min(1, share+warming*window/warm) * takes * window
	root := (math.Sqrt(scatter*scatter+4*b) - scatter) / 2
	n := max(root*root, b-scatter*math.Sqrt(float64(s.set.FleetSize))/2)
	return n / (window * (1 + lapseShare)) * s.part(r.gate) / takes
}

// coldUntil is when a route that may be cold takes its next call. Guards against pushing over a returning
// destination: every send to a route in doubt draws on one budget of its gate. The first call is drawn by
// chance, so that the sum over all senders is right. It holds during an outage too, whose end is not told.
func (s *Engine) coldUntil(r *route) time.Duration {
	g := r.gate
	r.cold = r.cold && (r.back == 0 || s.now < r.back+s.set.WarmUpDuration)
	if r.okAt == 0 && (g.streak >= streakDoubt || g.doubtful() || s.now < g.coldLeft+s.set.WarmUpDuration) {
		s.doubt(r) // not answered yet: it stands as its siblings do, or those it replaced
	}
	if !r.cold {
		return 0
	}
	rate := s.coldRate(r)
	// A told wait saves nothing up: all who were told it would call at its end.
	g.coldAt = max(g.coldAt, g.wait)
	if s.now > g.coldAt {
		g.credit += rate * (s.now - g.coldAt).Seconds()
		g.credit -= math.Max(0, math.Floor(g.credit-rate*lapseShare*s.set.OverloadWindow.Seconds()))
		g.coldAt = s.now
	}
	if g.credit >= 1 {
		return 0
	}
	return g.coldAt + max(time.Millisecond, span(rate/(1-g.credit)))
}

// opensAt is when a route next takes a call, as far as its gate, skip and pace tell; math.MaxInt64 if
// only an outcome can open it.
func (s *Engine) opensAt(r *route) time.Duration {
	g := r.gate
	if !r.InService || r.Removed || r.down && len(r.calls) > 0 || s.crammed(r) {
		return math.MaxInt64
	}
	at := max(g.wait, r.skipUntil, s.coldUntil(r))
	if s.many(g) {
		s.keepPace(g, g.pace)
	}
	if g.pace > 0 {
		s.refill(g)
		if g.tokens < 1 && !g.righted(s.now) {
			at = s.ask(g, at, max(at, g.tokensAt+span(s.own(g)/(1-g.tokens))))
		}
	}
	return at
}

// crammed tells whether a route or its gate holds too many slots. Guards against silent or very slow routes
// that would fill the slots before any time-out tells: while the oldest calls are overdue, only a few may be
// out. A jam of the whole fleet looks alike; it ends with the first answer.
func (s *Engine) crammed(r *route) bool {
	full := r.gate.out >= max(2, int(gateShare*float64(s.set.MaxInFlightCalls)))
	return s.set.MaxInFlightCalls > 0 && (full || s.overdue(r, min(streakSkip, max(1, s.set.MaxInFlightCalls/4))))
}

// overdue tells whether n calls of a route are overdue, with none answered that were sent later.
func (s *Engine) overdue(r *route, n int) bool {
	return len(r.calls) >= n && s.now > r.calls[n-1].expect && r.okSent < r.calls[n-1].sent
}

// halve sets the pace to half the last second's rate, once for all calls that were out together.
func (s *Engine) halve(r *route, o sample) {
	g := r.gate
	if o.sent < g.halvedAt {
		return
	}
	rate := s.lastSecond(g)
	if g.pace > 0 {
		rate = math.Min(rate, g.pace)
	}
	if s.many(g) {
		g.ceiling, g.pace = 0, s.cut(r, cmp.Or(rate, g.pace)) // one in seconds: none in the last
	} else {
		// Counts of few calls a second are rough: halvings must not starve a gate whose limit is known.
		least := math.Max(paceLeast, paceSure*s.limit(g)/float64(s.set.FleetSize))
		g.ceiling, g.pace = math.Max(rate, least), math.Max(rate/2, least)
	}
	g.tokens, g.tokensAt, g.halvedAt = 0, s.now, s.now
	// A clump refused at hundreds of senders comes again spread over a call's time.
	if s.sparse(g) {
		g.tokens = 0.5 - sparseSpread*s.rng.Float64()
	}
}

// creep lets the pace grow with a success, slowly near the rate that was refused last.
func (s *Engine) creep(g *gate) {
	if g.pace == 0 {
		return
	}
	s.refill(g)
	if g.pace > paceFree*math.Max(1, s.lastSecond(g)) {
		return
	}
	growth := paceCreep
	if s.many(g) {
		growth = s.manyGrowth(g)
	} else if g.ceiling > 0 && g.pace > paceNear*g.ceiling {
		growth = paceCrawl
	}
	if growth == 0 {
		return
	}
	// Where successes are seconds apart, each counts for the seconds that it stands for.
	steps := min(max(1, (s.now-max(g.creptAt, g.halvedAt)).Seconds()), creepSteps)
	was := g.pace
	g.pace, g.creptAt = g.pace*math.Pow(1+growth, steps), s.now
	if s.many(g) {
		s.keepPace(g, was)
	}
	// While one call carries all that waits, more than this part only takes the room of others' backlogs.
	if n := s.perCall(g.kind); n > 1 && len(g.dest.queue) < n && s.limit(g) > 0 {
		g.pace = math.Min(g.pace, s.part(g))
	}
}

// crowded tells whether a failed connection looks like a full table: it failed at once, at a route that
// answered of late or, among many senders, of a kind that had such failures. Some in a row are an outage.
func (s *Engine) crowded(r *route, o sample) bool {
	short := s.set.FleetSize > fewSenders && s.now < s.scarce[r.Kind]
	failed := o.outcome == ConnectFailed && s.now-o.sent < leastExpect
	return failed && r.gate.tights < tightMost && (s.alive(r) || short)
}

// crowd answers a full connection table.
func (s *Engine) crowd(r *route, _ sample) {
	r.skipUntil = s.now + time.Duration((0.5+s.rng.Float64())*float64(tightRest))
	s.act(Action{Kind: CloseIdle, Endpoint: r.ID})
}

// learn takes an outcome as an observation of its route.
func (s *Engine) learn(r *route, o sample, took time.Duration) {
	if s.now < s.short[r.Kind] {
		s.act(Action{Kind: CloseIdle, Endpoint: r.ID})
	}
	switch o.outcome {
	case OK:
		s.delivered(r, o.sent, took)
		return
	case NotSent, Cancelled:
		return
	case Overloaded:
		if r.refusals == 0 {
			r.refusedAt = s.now
		}
		r.refusals++
		r.gate.failSent = max(r.gate.failSent, o.sent)
		s.hint(r)
	default:
		r.lost = r.lost || o.outcome == Reset
		if o.outcome == Timeout || o.outcome == Reset {
			// Calls may be lost with the connection that carries them: the next one takes a fresh one.
			s.act(Action{Kind: CloseIdle, Endpoint: r.ID})
			// A later call was answered, or the route lives: this one says nothing of its standing.
			// Nor does a call with less time than an answer takes. Guards against a backlog whose late calls
			// keep a route in doubt for good.
			if r.okSent >= o.sent || (o.outcome == Reset || o.short) && s.alive(r) {
				return
			}
		}
		if o.outcome == Timeout {
			s.answered(r, took+took/2)
		}
		o.tight = s.crowded(r, o)
		if o.outcome == ConnectFailed && s.now-o.sent < leastExpect {
			s.scarce[r.Kind] = s.now + scarceSpan
		}
		if o.tight {
			r.gate.tights++
			s.hint(r)
			break
		}
		r.streak, r.refusals = r.streak+1, 0
		// An outage answers no call or fails most at once: time-outs between answers are losses, not that.
		if o.outcome == Error || o.outcome == ConnectFailed {
			r.recent = r.recent<<1 | 1
			r.gate.failSent = max(r.gate.failSent, o.sent)
		}
		if r.streak >= streakDoubt || bits.OnesCount8(r.recent) >= recentDoubt {
			s.doubt(r)
		} else {
			s.suspect(r)
		}
		// Failures in a row over all routes of a gate tell of an outage of them all.
		if r.gate.streak++; r.gate.streak >= streakSkip {
			s.doubtAll(r, o)
		}
	}
	// A call cut off early, for lack of time left, may cast doubt on its route but skips none.
	if o.short {
		return
	}
	for _, f := range failureRules {
		if f.match(s, r, o) {
			if f.then != nil {
				f.then(s, r, o)
			}
			if f.skip {
				s.skip(r, o.sent)
			}
			return
		}
	}
}

// alive tells whether a route has answered of late.
func (s *Engine) alive(r *route) bool { return r.okAt > 0 && s.now-r.okAt < aliveSpan }

// doubt puts a route under the recovery budget.
func (s *Engine) doubt(r *route) {
	if g := r.gate; !g.doubtful() {
		g.credit, g.coldAt = s.rng.Float64(), s.now
		g.got, g.gotAt = s.rate(g), s.now
	}
	r.cold, r.slight, r.back, r.run, r.failSent = true, false, 0, 0, r.gate.failSent
}

// doubtAll does so with all routes that share the limit of one.
func (s *Engine) doubtAll(r *route, _ sample) {
	for _, x := range r.gate.routes {
		s.doubt(x)
	}
}

// skip enters a route in the skip table. Failures of calls sent before the skip began add nothing.
func (s *Engine) skip(r *route, sent time.Duration) {
	s.doubt(r)
	if r.down && sent < r.skipUntil-r.skipLen {
		return
	}
	next := skipFirst
	if r.down && r.skipLen > 0 {
		next = min(skipMost, time.Duration(float64(r.skipLen)*skipGrowth))
	}
	r.skipLen = time.Duration(float64(next) * (1 + skipJitter*(2*s.rng.Float64()-1)))
	r.down, r.skipUntil = true, s.now+r.skipLen
}

// answered learns how long answers of a route take. A time-out tells that its answer takes longer.
func (s *Engine) answered(r *route, took time.Duration) {
	if r.mean == 0 {
		r.mean, r.dev = took, took/2
		return
	}
	d := took - r.mean
	r.mean, r.dev = r.mean+d/8, r.dev+(max(d, -d)-r.dev)/4
}

func (s *Engine) delivered(r *route, sent, took time.Duration) {
	g := r.gate
	// A table that was full and takes a call again was not away. Guards against connections closed after
	// every use for an outage of others: each call of a fleet then cost a handshake.
	if g.tights > 0 && g.streak == 0 && s.set.FleetSize > fewSenders {
		s.short[r.Kind] = s.now + scarceSpan
	}
	r.okAt, r.okSent, r.streak, r.refusals, r.lost = s.now, max(r.okSent, sent), 0, 0, false
	r.recent, g.streak, g.tights = r.recent<<1, 0, 0
	s.answered(r, took)
	if r.down {
		r.down, r.skipUntil, r.skipLen = false, 0, 0
		// Where a sibling answered all the while, the destination was not away: its pace stands.
		if !slices.ContainsFunc(g.routes, func(x *route) bool { return x != r && s.alive(x) }) {
			g.pace, g.tokens, g.tokensAt = paceRestart, 0, s.now
		}
	}
	s.count(g)
	// What was sent before a call that failed at once tells of no return.
	if r.run++; r.cold && r.back == 0 && sent > r.failSent {
		r.back, r.cold = s.now, !r.slight || s.part(r.gate)*s.set.WarmUpDuration.Seconds() > 1
	}
	s.creep(g)
}

// Messages.

func (s *Engine) take(e *Event) {
	// the strictest
	c := &Class{Effect: NonIdempotent, Ordered: true, LatencyObjective: e.TimeLeft / 2, Deadline: e.TimeLeft, Weight: 1}
	if e.Class >= 0 && e.Class < len(s.set.Classes) {
		c = &s.set.Classes[e.Class]
	}
	m := &message{id: e.MessageID, class: c, most: s.set.MaxAttempts, dest: s.destination(e.Destination)}
	m.deadline = s.now + e.TimeLeft - endMargin
	m.due = s.now + c.LatencyObjective - max(0, c.Deadline-e.TimeLeft)
	m.rank = s.now + time.Duration(float64(m.due-s.now)/math.Max(c.Weight, 0.01))
	if s.overShare(e.Tenant) {
		m.rank += time.Duration(overShare * float64(e.TimeLeft))
	}
	s.msgs[m.id] = m
	s.tally()
	s.held++
	m.dest.held++
	if c.Ordered && e.Key != "" {
		s.join(m, e.Key)
	}
	s.resume(m, e.Recovered)
	s.ends.push(end{m.deadline, m})
	s.ends.push(end{m.due, m})
	s.enqueue(m)
	s.makeRoom()
}

// overShare counts a message against its customer's share and tells whether it lies beyond.
func (s *Engine) overShare(c int) bool {
	if c < 0 || c >= len(s.shares) || s.set.Tenants[c].Quota <= 0 {
		return false
	}
	b, rate := &s.shares[c], s.set.Tenants[c].Quota/float64(s.set.FleetSize)
	b.level, b.at = math.Max(0, b.level-rate*(s.now-b.at).Seconds())+1, s.now
	if b.level > 1+2*rate {
		b.level--
		return true
	}
	return false
}

// makeRoom refuses the last message of the longest queue while little room is left.
func (s *Engine) makeRoom() {
	if s.set.MaxPendingMessages <= 0 || s.held <= int(roomShare*float64(s.set.MaxPendingMessages)) {
		return
	}
	long := slices.MaxFunc(s.active, func(a, b *dest) int {
		return cmp.Or(len(a.queue)-len(b.queue), b.id-a.id)
	})
	for i := len(long.queue) - 1; i >= max(0, len(long.queue)-scanDepth); i-- {
		if m := long.queue[i]; s.mayDrop(m) {
			s.refuse(m)
			return
		}
	}
}

func (s *Engine) finish(e *Event) {
	m := s.msgs[e.MessageID]
	r, c := s.routes[e.Endpoint], s.detach(m, e.Attempt)
	if c != nil {
		r = c.r
	}
	// A told wait keeps every message from the gate until it is over, whoever was told.
	if r != nil && e.RetryAfter > 0 {
		r.gate.wait = max(r.gate.wait, s.now+e.RetryAfter)
	}
	if c == nil {
		return
	}
	s.report(r, e.LimitReport)
	c.left, c.ok = c.left-1, c.ok || e.Outcome == OK
	if c.left == 0 {
		s.end(c)
		o := e.Outcome
		if c.ok {
			o = OK
		}
		due := c.sent + min(leastExpect, cmp.Or(m.class.LatencyObjective, leastExpect))
		short := (o == Timeout || o == ConnectFailed) && c.cut < due
		s.learn(r, sample{outcome: o, wait: e.RetryAfter, sent: c.sent, short: short}, e.Latency)
	}
	s.touch(m.dest)
	s.account(m, e, c)
	switch {
	case e.MessageEnded:
		s.over(m)
	case m.ended:
		s.forget(m)
	case s.spent(m):
		s.giveUp(m)
	default:
		s.enqueue(m)
	}
}

// account notes for a message what its attempt may have done.
func (s *Engine) account(m *message, e *Event, c *call) {
	switch e.Outcome {
	case ConnectFailed:
		m.avoid = c.r
		return
	case Overloaded, NotSent:
		return
	case Timeout, Reset, Cancelled:
		m.timeouts++
		if m.turn != nil {
			m.turn.rest = max(m.turn.rest, s.now+s.set.OrderingPause)
		}
	}
	m.avoid = c.r
	if !m.ran || c.sent < m.ranAt {
		s.mark(m, c.sent, c.r.Zone)
	}
}

// mayRefuse tells whether a refusal keeps the rule of effects: the client may come again.
func (s *Engine) mayRefuse(m *message) bool {
	free := m.class.Effect == Idempotent || m.class.Effect == IdempotentByKey && m.class.DedupAllZones
	return !m.ended && (free || !m.ran && len(m.out) == 0)
}

// mayAttempt is the one guard of all sends. It tells when a send of m to r keeps the rules;
// math.MaxInt64 if never as things stand.
func (s *Engine) mayAttempt(m *message, r *route) time.Duration {
	const never = time.Duration(math.MaxInt64)
	// Rule 1: nothing after the end, nothing past the time or the attempts.
	if m.ended || s.now >= m.deadline || m.most > 0 && m.sends >= m.most {
		return never
	}
	// Rule 2: one attempt at a time; repeats only where they are dropped.
	if len(m.out) > 0 {
		return never
	}
	if m.ran {
		switch m.class.Effect {
		case NonIdempotent:
			return never
		case IdempotentByKey:
			if !m.class.DedupAllZones && r.Zone != m.ranZone || s.now >= m.windowEnd() {
				return never
			}
		}
	}
	// Rule 3: routes in service only.
	if !r.InService || r.Removed || r.Destination != m.dest.id {
		return never
	}
	// Rule 6: the key's turn and its rest.
	at := time.Duration(0)
	if t := m.turn; t != nil {
		if t.line[0] != m {
			return never
		}
		if m.sends == 0 {
			at = t.rest
		}
	}
	// Rule 4: the recovery budget. Rule 5: told waits.
	return max(at, r.gate.wait, s.coldUntil(r))
}

// Route choice.

// choose returns the first route in order that takes the message now; else nil and when one may.
func (s *Engine) choose(m *message) (*route, time.Duration) {
	second, soonest := (*route)(nil), time.Duration(math.MaxInt64)
	for _, g := range m.dest.gates {
		var best *route
		for _, r := range g.routes {
			at := s.mayAttempt(m, r)
			if m.deadline-s.now < r.mean {
				continue // no time left for an answer
			}
			// An unsafe message is lost with its attempt: others try a skipped route first.
			if r.down && m.class.Effect == NonIdempotent {
				at = max(at, m.deadline-(m.deadline-m.due)/2)
			}
			if at < math.MaxInt64 {
				at = max(at, s.opensAt(r))
			}
			if at > s.now {
				soonest = min(soonest, at)
				continue
			}
			if r == m.avoid || s.overdue(r, 1) {
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

// next finds the destination's next message that may go, or when one may.
func (s *Engine) next(d *dest) {
	d.cand, d.candRt, d.opens = nil, nil, math.MaxInt64
	for _, g := range d.gates {
		for _, r := range g.routes {
			d.opens = min(d.opens, s.opensAt(r))
		}
	}
	if d.opens > s.now {
		return
	}
	d.opens = math.MaxInt64
	for i := 0; i < len(d.queue) && i < scanDepth; i++ {
		r, at := s.choose(d.queue[i])
		if r != nil {
			d.cand, d.candRt, d.opens = d.queue[i], r, 0
			return
		}
		d.opens = min(d.opens, at)
	}
}

// Queue and dispatch.

// before tells which of two messages goes first.
func before(a, b *message) bool {
	return a.rank < b.rank || a.rank == b.rank && a.id < b.id
}

// dispatch sends what may go, first in order first, while slots last. Destinations that nothing touched since
// they were found closed are not looked at.
func (s *Engine) dispatch() {
	ready := s.ready[:0]
	for _, d := range s.active {
		if d.opens <= s.now {
			ready = append(ready, d)
			d.cand, d.opens = nil, 0
		}
	}
	s.ready = ready
	for s.set.MaxInFlightCalls <= 0 || s.slots < s.set.MaxInFlightCalls {
		var best *dest
		for _, d := range ready {
			if d.cand == nil && d.opens <= s.now && len(d.queue) > 0 {
				s.next(d)
			}
			if d.cand != nil && (best == nil || before(d.cand, best.cand)) {
				best = d
			}
		}
		if best == nil {
			break
		}
		s.launch(best)
		best.cand = nil
	}
	for _, d := range ready {
		s.release(d)
	}
	for _, d := range s.active {
		if d.opens > s.now {
			s.wake(d.opens)
		}
	}
}

// release refuses what waits for nothing: messages of a destination that opens only after their deadlines.
// The client may come again elsewhere, to a sender that was told less.
func (s *Engine) release(d *dest) {
	for i := len(d.queue) - 1; i >= 0; i-- {
		if m := d.queue[i]; d.opens < math.MaxInt64 && d.opens >= m.deadline && s.mayDrop(m) {
			s.refuse(m)
		}
	}
}

// launch starts a call with the destination's next message and, where its kind allows, with further ones.
// They share one fate: after a failure it carries one, after an answer that was lost half as many.
func (s *Engine) launch(d *dest) {
	r := d.candRt
	c := &call{r: r, sent: s.now, expect: s.now + s.expect(r, lateDevs)}
	room := s.perCall(r.Kind)
	if r.streak > 0 || r.down {
		room = 1
	} else if r.lost {
		room = (room + 1) / 2
	}
	if !s.send(d.cand, c) {
		return
	}
	for i := 0; c.left < room && i < len(d.queue) && i < scanDepth; {
		if m := d.queue[i]; m.avoid == r || !s.send(m, c) {
			i++
		}
	}
	s.begin(c)
}

// send adds an attempt of m to a call, if the guard lets it.
func (s *Engine) send(m *message, c *call) bool {
	if s.mayAttempt(m, c.r) > s.now {
		return false
	}
	s.unqueue(m)
	m.out = append(m.out, attempt{m.sends, c})
	m.sends++
	c.left++
	cut := s.cutAt(m, c.r)
	if c.cut == 0 || cut < c.cut {
		c.cut = cut
	}
	s.act(Action{Kind: Send, MessageID: m.id, Endpoint: c.r.ID, TimeoutAt: cut})
	return true
}

// expect is how long an answer of a route may take: its mean and so many mean deviations.
func (s *Engine) expect(r *route, devs int) time.Duration {
	if r.mean == 0 {
		return 2 * leastExpect
	}
	return max(leastExpect, r.mean+time.Duration(devs)*r.dev)
}

// cutAt is when an attempt times out: as long as the route's answers have taken, at most half the time left.
// An unsafe message has no second try and waits twice as long; a trial of a skipped route waits least.
func (s *Engine) cutAt(m *message, r *route) time.Duration {
	left := m.deadline - s.now
	usual := max(s.expect(r, devs), m.class.LatencyObjective/2)
	if m.class.Effect == IdempotentByKey && !m.class.DedupAllZones {
		usual = max(usual, m.class.LatencyObjective) // a repeat is bound to few routes
	}
	if s.set.MaxInFlightCalls > 0 && 2*s.slots > s.set.MaxInFlightCalls {
		usual = min(usual, m.class.LatencyObjective)
	}
	if r.down {
		usual = m.class.LatencyObjective / 2
	}
	if m.class.Effect == NonIdempotent {
		return s.now + min(left, 2*usual)
	}
	// Where half of the time is less than an answer may take, one try has all of it.
	if left/2 >= s.expect(r, lateDevs) {
		left /= 2
	}
	return s.now + min(left, usual)
}

// Deadlines.

// endDue gives every message whose time is up its final answer.
func (s *Engine) endDue() {
	for len(s.ends) > 0 && (s.ends[0].at <= s.now || s.ends[0].m.ended) {
		m := s.ends.pop().m
		switch {
		case m.ended:
		case s.spent(m) || s.now >= m.deadline:
			s.giveUp(m)
		case s.now >= m.due:
			s.late(m)
		}
	}
}

// late moves a message back that has missed its aim: what is still in time goes first, with more to lose.
func (s *Engine) late(m *message) {
	queued := m.queued
	s.unqueue(m)
	after := lateShare * float64(m.deadline-s.now) / math.Max(m.class.Weight, 0.01)
	m.rank = max(m.rank, s.now+time.Duration(after))
	if queued {
		s.enqueue(m)
	}
}
