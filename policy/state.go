package policy

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"
)

// The records that the decisions in policy.go are made on, and their upkeep. Nothing is decided here.

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

// destination is a destination with its queue.
type destination struct {
	id                int
	scopes            []*limitScope
	queue             []*message // waiting, first to go first
	candidate         *message   // next to go in this dispatch, with its route
	candidateEndpoint *endpoint
	blockedUntil      time.Duration // nothing may go before this unless something touches the destination
	messageCount      int           // messages not forgotten
	activeIndex       int           // place among the active, from 1; 0: not active
	emptySince        time.Duration // when its last route went

	previousEmpty, nextEmpty *destination // among those without routes
}

// call is one call out; messages of one destination may share it.
type call struct {
	endpoint  *endpoint
	pending   int           // messages whose outcome is missing
	delivered bool          // one was delivered
	sentAt    time.Duration // when
	overdueAt time.Duration // overdue after this
	timeoutAt time.Duration // the first of its messages times out then
}

// attempt is one message's part in a call.
type attempt struct {
	number int
	call   *call
}

// message is one message held, or ended with attempts still out.
type message struct {
	id                 uint32
	class              *Class
	destination        *destination
	keyQueue           *keyQueue // order of its key; nil if none
	objectiveAt        time.Duration
	deadline           time.Duration
	queueRank          time.Duration // place in the queue
	attempts           int
	maxAttempts        int // of them; 0: no limit
	inFlight           []attempt
	firstRunAt         time.Duration // send of the first attempt that may have run
	mayHaveRun         bool          // one may have run
	firstRunZone       int
	timeouts           int
	lastFailedEndpoint *endpoint // failed this message last
	ended              bool
	queued             bool
	recovered          bool // an earlier process took it on
}

// keyQueue is the order of one key.
type keyQueue struct {
	key         string
	messages    []*message // in the order taken; the first has the turn
	pausedUntil time.Duration
	expiring    bool // kept for its rest alone
}

// trafficMeter measures a customer's traffic against its share.
type trafficMeter struct {
	level     float64
	updatedAt time.Duration
}

// Engine decides for one relay. It is a pure state machine: equal events give equal actions.
type Engine struct {
	settings             Settings
	pcg                  *rand.PCG // of rng
	rng                  *rand.Rand
	now                  time.Duration
	endpoints            map[string]*endpoint // looked up, never iterated
	destinations         map[int]*destination // looked up, never iterated
	sortedDestinations   []*destination       // by number
	active               []*destination       // with messages waiting
	ready                []*destination       // scratch of dispatch
	emptyDestinations    emptyDestinationList // destinations without routes, until they are forgotten
	expiringKeyQueues    []*keyQueue          // in the order of their rests
	messages             map[uint32]*message
	keyQueues            map[string]*keyQueue
	lowestReportedLimit  map[int]float64       // by kind: the least limit told
	connectShortageUntil map[int]time.Duration // by kind: a failed connection may be a full table's until then
	closeIdleUntil       map[int]time.Duration // by kind: tables were full: connections are closed after use until then
	pendingMessages      int
	callsInFlight        int // used
	tenantTraffic        []trafficMeter
	acceptedTraffic      trafficMeter  // messages handed in, fading over trafficWindow
	startedAt            time.Duration // of the first step
	deadlines            deadlineHeap
	timerAt              time.Duration // earliest wake asked for; 0: none
	requestedTimerAt     time.Duration
	actions              []Action
}

// updateEndpoints takes on the list of routes. A route that drains or is gone takes nothing new from here on.
func (s *Engine) updateEndpoints(entries []Endpoint, whole bool) {
	if s.settings.WatchRequired && whole && len(s.sortedDestinations) == 0 {
		s.emit(Action{Kind: WatchEndpoints})
	}
	if whole {
		keep := make(map[string]bool, len(entries))
		for i := range entries {
			keep[entries[i].ID] = true
		}
		for _, d := range s.sortedDestinations {
			for _, g := range slices.Clone(d.scopes) {
				for _, r := range slices.Clone(g.endpoints) {
					if !keep[r.ID] {
						s.removeEndpoint(r)
					}
				}
			}
		}
	}
	var changed []*destination
	for _, l := range entries {
		if !(l.Weight > 0) || math.IsInf(l.Weight, 0) {
			l.Weight = 0 // not told
		}
		r := s.endpoints[l.ID]
		switch {
		case l.Removed:
			if r != nil {
				s.removeEndpoint(r)
			}
		case r == nil:
			s.addEndpoint(l)
			changed = append(changed, s.destinations[l.Destination])
		default:
			if l.InService && !r.InService {
				r.lastSuccessAt = 0 // as new: what it answered before it drained tells nothing
			}
			r.Endpoint = l
			changed = append(changed, r.scope.destination)
		}
	}
	for i, d := range changed {
		if i == 0 || d != changed[i-1] {
			s.sortEndpoints(d)
			s.recheck(d)
		}
	}
	for _, d := range changed {
		if s.emptyDestinations.has(d) && d.hasEndpoints() {
			s.emptyDestinations.remove(d)
			d.emptySince = 0
		}
	}
	s.removeEmptyDestinations()
}

// removeEmptyDestinations forgets destinations that have had no route for a warm-up and hold no message. It looks at those alone that are
// due.
func (s *Engine) removeEmptyDestinations() {
	for d := s.emptyDestinations.first; d != nil && s.now >= d.emptySince+s.settings.WarmUpDuration; {
		next := d.nextEmpty
		if d.messageCount == 0 {
			s.emptyDestinations.remove(d)
			delete(s.destinations, d.id)
			i := sort.Search(len(s.sortedDestinations), func(i int) bool { return s.sortedDestinations[i].id >= d.id })
			s.sortedDestinations = slices.Delete(s.sortedDestinations, i, i+1)
		}
		d = next
	}
}

// emptyDestinationList is the destinations without routes, the one whose last route went first in front: a list through them, as
// they come and go one by one.
type emptyDestinationList struct{ first, last *destination }

func (l *emptyDestinationList) has(d *destination) bool {
	return l.first == d || d.previousEmpty != nil
}

func (l *emptyDestinationList) add(d *destination) {
	if d.previousEmpty = l.last; l.last == nil {
		l.first = d
	} else {
		l.last.nextEmpty = d
	}
	l.last = d
}

func (l *emptyDestinationList) remove(d *destination) {
	if d.previousEmpty == nil {
		l.first = d.nextEmpty
	} else {
		d.previousEmpty.nextEmpty = d.nextEmpty
	}
	if d.nextEmpty == nil {
		l.last = d.previousEmpty
	} else {
		d.nextEmpty.previousEmpty = d.previousEmpty
	}
	d.previousEmpty, d.nextEmpty = nil, nil
}

// hasEndpoints tells whether the destination has a route.
func (d *destination) hasEndpoints() bool {
	return slices.ContainsFunc(d.scopes, func(g *limitScope) bool { return len(g.endpoints) > 0 })
}

// maxBatch is how many messages a call to a kind of destination may carry.
func (s *Engine) maxBatch(kind int) int {
	if kind >= 0 && kind < len(s.settings.DestinationKinds) {
		return max(1, s.settings.DestinationKinds[kind].MaxBatch)
	}
	return 1
}

// Reconfigure has other settings hold from here on. Open messages keep their class and number of attempts.
func (s *Engine) Reconfigure(set Settings) error {
	fresh, err := New(set, 0)
	if err == nil {
		s.settings, s.tenantTraffic = fresh.settings, fresh.tenantTraffic
	}
	return err
}

// applyGrant takes what others leave this sender of a limit. Rights that were not used yet end with the first of them.
func (s *Engine) applyGrant(e *Event) {
	d := s.destinations[e.Destination]
	if d == nil {
		return
	}
	for _, g := range d.scopes {
		if len(g.endpoints) == 0 || !s.isLargeFleet(g) || g.perEndpoint && g.endpoints[0].ID != e.Endpoint {
			continue
		}
		g.quotaShared, g.reservedFraction = true, math.Min(1, math.Max(0, e.ReservedFraction))
		if e.GrantedCalls > 0 && e.TimeLeft > 0 {
			end := s.now + e.TimeLeft
			if g.hasGrant(s.now) {
				end = min(end, g.grantExpiresAt)
			} else {
				g.grantedCalls = 0
			}
			g.grantedCalls, g.grantExpiresAt = g.grantedCalls+e.GrantedCalls, end
		}
		s.recheck(d)
	}
}

// hasGrant tells whether a call may be made beyond the sender's own pace.
func (g *limitScope) hasGrant(now time.Duration) bool {
	return g.grantedCalls > 0 && now < g.grantExpiresAt
}

// tokenRate is the pace that a gate's tokens grow with: of a part that is lent, what is left.
func (s *Engine) tokenRate(g *limitScope) float64 {
	if g.quotaShared && g.reservedFraction < 1 {
		return math.Min(g.pacingRate, s.knownLimit(g)/float64(s.settings.FleetSize)) * g.reservedFraction
	}
	return g.pacingRate
}

// recheck has a destination looked at again by the next dispatch.
func (s *Engine) recheck(d *destination) { d.blockedUntil = 0 }

// hasSuspect tells whether a route of the gate is in doubt.
func (g *limitScope) hasSuspect() bool {
	return slices.ContainsFunc(g.endpoints, func(x *endpoint) bool { return x.warmingUp })
}

// removeEndpoint forgets a route. Calls still out keep it alive until their outcomes.
func (s *Engine) removeEndpoint(r *endpoint) {
	r.Removed = true
	delete(s.endpoints, r.ID)
	g := r.scope
	if r.warmingUp {
		g.suspectRemovedAt = s.now
	}
	g.endpoints = slices.DeleteFunc(g.endpoints, func(x *endpoint) bool { return x == r })
	if g.perEndpoint {
		g.destination.scopes = slices.DeleteFunc(g.destination.scopes, func(x *limitScope) bool { return x == g })
	}
	if d := g.destination; !s.emptyDestinations.has(d) && !d.hasEndpoints() {
		d.emptySince = s.now
		s.emptyDestinations.add(d)
	}
}

func (s *Engine) addEndpoint(l Endpoint) {
	d := s.ensureDestination(l.Destination)
	r := &endpoint{Endpoint: l, tieBreaker: s.rng.Uint64()}
	s.endpoints[l.ID] = r
	separate := l.Kind >= 0 && l.Kind < len(s.settings.DestinationKinds) && s.settings.DestinationKinds[l.Kind].LimitPerEndpoint
	if separate || len(d.scopes) == 0 {
		d.scopes = append(d.scopes, &limitScope{
			destination: d, perEndpoint: separate, kind: l.Kind, tokens: 1, tokensUpdatedAt: s.now,
			suspectRemovedAt: math.MinInt64 / 2,
		})
		if l.Relisted {
			// As if it had stood here since. Guards against a first message that waits as at a start each time that it
			// is told of again.
			d.scopes[len(d.scopes)-1].tokensUpdatedAt = s.startedAt
		}
	}
	r.Relisted = false
	r.scope = d.scopes[len(d.scopes)-1]
	r.scope.endpoints = append(r.scope.endpoints, r)
}

func (s *Engine) ensureDestination(id int) *destination {
	d := s.destinations[id]
	if d == nil {
		d = &destination{id: id}
		s.destinations[id] = d
		i := sort.Search(len(s.sortedDestinations), func(i int) bool { return s.sortedDestinations[i].id > id })
		s.sortedDestinations = slices.Insert(s.sortedDestinations, i, d)
	}
	return d
}

// callInterval is the time between calls at a rate.
func callInterval(rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return min(time.Hour, time.Duration(float64(time.Second)/rate))
}

func (s *Engine) enqueue(m *message) {
	d := m.destination
	i := sort.Search(len(d.queue), func(i int) bool { return precedes(m, d.queue[i]) })
	d.queue = slices.Insert(d.queue, i, m)
	m.queued = true
	s.recheck(d)
	if d.activeIndex == 0 {
		s.active = append(s.active, d)
		d.activeIndex = len(s.active)
	}
}

func (s *Engine) dequeue(m *message) {
	if !m.queued {
		return
	}
	m.queued = false
	d := m.destination
	i := sort.Search(len(d.queue), func(i int) bool { return !precedes(d.queue[i], m) })
	if len(d.queue) > maxQueueScan && i < len(d.queue)/2 {
		// Most leave at the front. Guards against a long queue that is moved for each of its messages, as when all miss
		// their aims.
		copy(d.queue[1:i+1], d.queue[:i])
		d.queue[0] = nil
		d.queue = d.queue[1:]
	} else {
		d.queue = slices.Delete(d.queue, i, i+1)
	}
	if len(d.queue) == 0 {
		last := s.active[len(s.active)-1]
		s.active[d.activeIndex-1], last.activeIndex = last, d.activeIndex
		s.active, d.activeIndex = s.active[:len(s.active)-1], 0
	}
}

// finishMessage ends a message that needs no answer of ours.
func (s *Engine) finishMessage(m *message) {
	if !m.ended {
		m.ended = true
		s.pendingMessages--
		s.dequeue(m)
	}
	s.releaseMessage(m)
}

// releaseMessage drops an ended message once its attempts have their outcomes, and passes its turn on.
func (s *Engine) releaseMessage(m *message) {
	if !m.ended || len(m.inFlight) > 0 {
		return
	}
	delete(s.messages, m.id)
	m.destination.messageCount--
	if t := m.keyQueue; t != nil {
		m.keyQueue = nil
		t.messages = slices.DeleteFunc(t.messages, func(x *message) bool { return x == m })
		switch {
		case len(t.messages) > 0:
			s.recheck(t.messages[0].destination)
		case !t.expiring:
			t.expiring = true
			s.expiringKeyQueues = append(s.expiringKeyQueues, t)
		}
	}
}

// expireKeyQueues forgets turns whose line is empty and whose rest is over.
func (s *Engine) expireKeyQueues() {
	for len(s.expiringKeyQueues) > 0 && s.expiringKeyQueues[0].pausedUntil <= s.now {
		t := s.expiringKeyQueues[0]
		s.expiringKeyQueues = s.expiringKeyQueues[1:]
		if t.expiring = false; len(t.messages) == 0 {
			delete(s.keyQueues, t.key)
		}
	}
}

type deadlineEntry struct {
	at      time.Duration
	message *message
}

func (e *deadlineEntry) precedes(o *deadlineEntry) bool {
	return e.at < o.at || e.at == o.at && e.message.id < o.message.id
}

// deadlineHeap is a binary heap, the soonest first. It is written out since container/heap makes a copy of each entry on the
// heap of the program, twice for each message.
type deadlineHeap []deadlineEntry

func (h *deadlineHeap) push(e deadlineEntry) {
	*h = append(*h, e)
	a := *h
	i := len(a) - 1
	for i > 0 {
		up := (i - 1) / 2
		if !e.precedes(&a[up]) {
			break
		}
		a[i], i = a[up], up
	}
	a[i] = e
}

func (h *deadlineHeap) pop() deadlineEntry {
	a := *h
	n := len(a) - 1
	first, e := a[0], a[n]
	a[n] = deadlineEntry{}
	*h = a[:n]
	for i := 0; n > 0; {
		c := 2*i + 1
		if c+1 < n && a[c+1].precedes(&a[c]) {
			c++
		}
		if c >= n || !a[c].precedes(&e) {
			a[i] = e
			break
		}
		a[i], i = a[c], c
	}
	return first
}

func (s *Engine) emit(a Action) { s.actions = append(s.actions, a) }

// requestTimer asks to be woken at t, if nothing earlier is asked for.
func (s *Engine) requestTimer(t time.Duration) {
	if t < math.MaxInt64 && (s.requestedTimerAt == 0 || t < s.requestedTimerAt) {
		s.requestedTimerAt = t
	}
}

// sendRate is the rate of calls in the last second.
func (s *Engine) sendRate(g *limitScope) float64 {
	i := 0
	for i < len(g.recentSends) && g.recentSends[i] <= s.now-time.Second {
		i++
	}
	g.recentSends = append(g.recentSends[:0], g.recentSends[i:]...)
	return float64(len(g.recentSends))
}

// decay is what is left after a while of a count that fades over a span.
func decay(since, span time.Duration) float64 { return math.Exp(-float64(since) / float64(span)) }

// deliveryRate is the mean rate of own deliveries of a gate; while a route of it is in doubt, as of the doubt.
func (s *Engine) deliveryRate(g *limitScope) float64 {
	if g.hasSuspect() {
		return g.deliveryRate
	}
	return g.deliveryRate * decay(s.now-g.deliveryRateAt, deliveryRateWindow)
}

// recordDelivery adds a delivery to that rate, which does not fall while a route of the gate is in doubt.
func (s *Engine) recordDelivery(g *limitScope) {
	since := (s.now - g.deliveryRateAt).Seconds()
	if g.hasSuspect() && g.deliveryRate > 0 {
		since = min(since, 1/g.deliveryRate)
	}
	g.deliveryRate, g.deliveryRateAt = g.deliveryRate*math.Exp(-since/deliveryRateWindow.Seconds())+1/deliveryRateWindow.Seconds(), s.now
}

// countAccepted counts a message that was handed in.
func (s *Engine) countAccepted() {
	b := &s.acceptedTraffic
	b.level, b.updatedAt = b.level*decay(s.now-b.updatedAt, trafficWindow)+1, s.now
}

// refillTokens adds to a gate's tokens what its pace has earned, up to one and a burst.
func (s *Engine) refillTokens(g *limitScope) {
	g.tokens = math.Min(1+s.burstTokens(g), g.tokens+s.tokenRate(g)*(s.now-g.tokensUpdatedAt).Seconds())
	g.tokensUpdatedAt = s.now
}

// recordLimit notes what a route's destination told of its limit.
func (s *Engine) recordLimit(r *endpoint, rep LimitReport) {
	if rep.Present && rep.Limit > 0 {
		r.scope.reportedLimit = rep.Limit
		if least := s.lowestReportedLimit[r.Kind]; least == 0 || rep.Limit < least {
			s.lowestReportedLimit[r.Kind] = rep.Limit
		}
	}
}

// takeCall takes the attempt of an outcome off its message; nil if it is not known.
func (s *Engine) takeCall(m *message, n int) *call {
	if m == nil {
		return nil
	}
	for i, a := range m.inFlight {
		if a.number == n {
			m.inFlight = slices.Delete(m.inFlight, i, i+1)
			return a.call
		}
	}
	return nil
}

// joinKeyQueue puts a message at the end of its key's line.
func (s *Engine) joinKeyQueue(m *message, key string) {
	t := s.keyQueues[key]
	if t == nil {
		t = &keyQueue{key: key}
		s.keyQueues[key] = t
	}
	t.messages = append(t.messages, m)
	m.keyQueue = t
}

// recordCallStart books a call that goes out, and what it takes of its gate's slots, pace and recovery budget.
func (s *Engine) recordCallStart(c *call) {
	g := c.endpoint.scope
	s.callsInFlight++
	g.inFlight++
	c.endpoint.calls = append(c.endpoint.calls, c)
	s.sendRate(g)
	g.recentSends = append(g.recentSends, s.now)
	if g.pacingRate > 0 && g.hasGrant(s.now) {
		g.grantedCalls--
	} else if g.pacingRate > 0 {
		g.tokens--
	}
	if c.endpoint.warmingUp {
		g.recoveryTokens--
	}
}

// recordCallEnd books a call whose last outcome is in.
func (s *Engine) recordCallEnd(c *call) {
	s.callsInFlight--
	c.endpoint.scope.inFlight--
	c.endpoint.calls = slices.DeleteFunc(c.endpoint.calls, func(x *call) bool { return x == c })
}

// maxFleetSize bounds the told number of senders. Guards against one that was mistyped: no sender's part would let a
// call through within a message's time.
const maxFleetSize = 1_000_000

// validate tells what makes no sense in settings.
func (set *Settings) validate() error {
	if len(set.Classes) == 0 {
		return errors.New("policy: settings name no class")
	}
	if min(set.FleetSize, set.MaxInFlightCalls, set.MaxPendingMessages, set.MaxAttempts) < 0 {
		return errors.New("policy: settings hold a negative count")
	}
	if set.FleetSize > maxFleetSize {
		return fmt.Errorf("policy: settings name %d senders, %d at most", set.FleetSize, maxFleetSize)
	}
	least := min(set.MaxRetryAfter, set.WarmUpDuration, set.OverloadWindow, set.OrderingPause)
	sum := set.WarmUpInitialCapacity + set.OverloadFactor
	for _, c := range set.Classes {
		least = min(least, c.DedupWindow, c.LatencyObjective, c.Deadline)
		sum += c.Weight
	}
	for _, c := range set.Tenants {
		sum += c.Quota
	}
	if least < 0 {
		return errors.New("policy: settings hold a negative time")
	}
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		return errors.New("policy: settings hold a figure that is not a number")
	}
	return nil
}
