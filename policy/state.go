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
func (e *Engine) updateEndpoints(entries []Endpoint, complete bool) {
	if e.settings.WatchRequired && complete && len(e.sortedDestinations) == 0 {
		e.emit(Action{Kind: WatchEndpoints})
	}
	if complete {
		keep := make(map[string]bool, len(entries))
		for i := range entries {
			keep[entries[i].ID] = true
		}
		for _, dest := range e.sortedDestinations {
			for _, scope := range slices.Clone(dest.scopes) {
				for _, ep := range slices.Clone(scope.endpoints) {
					if !keep[ep.ID] {
						e.removeEndpoint(ep)
					}
				}
			}
		}
	}
	var changed []*destination
	for _, listed := range entries {
		if !(listed.Weight > 0) || math.IsInf(listed.Weight, 0) {
			listed.Weight = 0 // not told
		}
		ep := e.endpoints[listed.ID]
		switch {
		case listed.Removed:
			if ep != nil {
				e.removeEndpoint(ep)
			}
		case ep == nil:
			e.addEndpoint(listed)
			changed = append(changed, e.destinations[listed.Destination])
		default:
			if listed.InService && !ep.InService {
				ep.lastSuccessAt = 0 // as new: what it answered before it drained tells nothing
			}
			ep.Endpoint = listed
			changed = append(changed, ep.scope.destination)
		}
	}
	for i, dest := range changed {
		if i == 0 || dest != changed[i-1] {
			e.sortEndpoints(dest)
			e.recheck(dest)
		}
	}
	for _, dest := range changed {
		if e.emptyDestinations.has(dest) && dest.hasEndpoints() {
			e.emptyDestinations.remove(dest)
			dest.emptySince = 0
		}
	}
	e.removeEmptyDestinations()
}

// removeEmptyDestinations forgets destinations that have had no route for a warm-up and hold no message. It looks at those alone that are
// due.
func (e *Engine) removeEmptyDestinations() {
	for dest := e.emptyDestinations.first; dest != nil && e.now >= dest.emptySince+e.settings.WarmUpDuration; {
		next := dest.nextEmpty
		if dest.messageCount == 0 {
			e.emptyDestinations.remove(dest)
			delete(e.destinations, dest.id)
			i := sort.Search(len(e.sortedDestinations), func(i int) bool { return e.sortedDestinations[i].id >= dest.id })
			e.sortedDestinations = slices.Delete(e.sortedDestinations, i, i+1)
		}
		dest = next
	}
}

// emptyDestinationList is the destinations without routes, the one whose last route went first in front: a list through them, as
// they come and go one by one.
type emptyDestinationList struct{ first, last *destination }

func (l *emptyDestinationList) has(dest *destination) bool {
	return l.first == dest || dest.previousEmpty != nil
}

func (l *emptyDestinationList) add(dest *destination) {
	if dest.previousEmpty = l.last; l.last == nil {
		l.first = dest
	} else {
		l.last.nextEmpty = dest
	}
	l.last = dest
}

func (l *emptyDestinationList) remove(dest *destination) {
	if dest.previousEmpty == nil {
		l.first = dest.nextEmpty
	} else {
		dest.previousEmpty.nextEmpty = dest.nextEmpty
	}
	if dest.nextEmpty == nil {
		l.last = dest.previousEmpty
	} else {
		dest.nextEmpty.previousEmpty = dest.previousEmpty
	}
	dest.previousEmpty, dest.nextEmpty = nil, nil
}

// hasEndpoints tells whether the destination has a route.
func (dest *destination) hasEndpoints() bool {
	return slices.ContainsFunc(dest.scopes, func(scope *limitScope) bool { return len(scope.endpoints) > 0 })
}

// maxBatch is how many messages a call to a kind of destination may carry.
func (e *Engine) maxBatch(kind int) int {
	if kind >= 0 && kind < len(e.settings.DestinationKinds) {
		return max(1, e.settings.DestinationKinds[kind].MaxBatch)
	}
	return 1
}

// Reconfigure has other settings hold from here on. Open messages keep their class and number of attempts.
func (e *Engine) Reconfigure(settings Settings) error {
	validated, err := New(settings, 0)
	if err == nil {
		e.settings, e.tenantTraffic = validated.settings, validated.tenantTraffic
	}
	return err
}

// applyGrant takes what others leave this sender of a limit. Rights that were not used yet end with the first of them.
func (e *Engine) applyGrant(event *Event) {
	dest := e.destinations[event.Destination]
	if dest == nil {
		return
	}
	for _, scope := range dest.scopes {
		if len(scope.endpoints) == 0 || !e.isLargeFleet(scope) || scope.perEndpoint && scope.endpoints[0].ID != event.Endpoint {
			continue
		}
		scope.quotaShared, scope.reservedFraction = true, math.Min(1, math.Max(0, event.ReservedFraction))
		if event.GrantedCalls > 0 && event.TimeLeft > 0 {
			expiresAt := e.now + event.TimeLeft
			if scope.hasGrant(e.now) {
				expiresAt = min(expiresAt, scope.grantExpiresAt)
			} else {
				scope.grantedCalls = 0
			}
			scope.grantedCalls, scope.grantExpiresAt = scope.grantedCalls+event.GrantedCalls, expiresAt
		}
		e.recheck(dest)
	}
}

// hasGrant tells whether a call may be made beyond the sender's own pace.
func (scope *limitScope) hasGrant(now time.Duration) bool {
	return scope.grantedCalls > 0 && now < scope.grantExpiresAt
}

// tokenRate is the pace that a gate's tokens grow with: of a part that is lent, what is left.
func (e *Engine) tokenRate(scope *limitScope) float64 {
	if scope.quotaShared && scope.reservedFraction < 1 {
		return math.Min(scope.pacingRate, e.knownLimit(scope)/float64(e.settings.FleetSize)) * scope.reservedFraction
	}
	return scope.pacingRate
}

// recheck has a destination looked at again by the next dispatch.
func (e *Engine) recheck(dest *destination) { dest.blockedUntil = 0 }

// hasSuspect tells whether a route of the gate is in doubt.
func (scope *limitScope) hasSuspect() bool {
	return slices.ContainsFunc(scope.endpoints, func(other *endpoint) bool { return other.warmingUp })
}

// removeEndpoint forgets a route. Calls still out keep it alive until their outcomes.
func (e *Engine) removeEndpoint(ep *endpoint) {
	ep.Removed = true
	delete(e.endpoints, ep.ID)
	scope := ep.scope
	if ep.warmingUp {
		scope.suspectRemovedAt = e.now
	}
	scope.endpoints = slices.DeleteFunc(scope.endpoints, func(other *endpoint) bool { return other == ep })
	if scope.perEndpoint {
		scope.destination.scopes = slices.DeleteFunc(scope.destination.scopes, func(other *limitScope) bool { return other == scope })
	}
	if dest := scope.destination; !e.emptyDestinations.has(dest) && !dest.hasEndpoints() {
		dest.emptySince = e.now
		e.emptyDestinations.add(dest)
	}
}

func (e *Engine) addEndpoint(listed Endpoint) {
	dest := e.ensureDestination(listed.Destination)
	ep := &endpoint{Endpoint: listed, tieBreaker: e.rng.Uint64()}
	e.endpoints[listed.ID] = ep
	perEndpoint := listed.Kind >= 0 && listed.Kind < len(e.settings.DestinationKinds) && e.settings.DestinationKinds[listed.Kind].LimitPerEndpoint
	if perEndpoint || len(dest.scopes) == 0 {
		dest.scopes = append(dest.scopes, &limitScope{
			destination: dest, perEndpoint: perEndpoint, kind: listed.Kind, tokens: 1, tokensUpdatedAt: e.now,
			suspectRemovedAt: math.MinInt64 / 2,
		})
		if listed.Relisted {
			// As if it had stood here since. Guards against a first message that waits as at a start each time that it
			// is told of again.
			dest.scopes[len(dest.scopes)-1].tokensUpdatedAt = e.startedAt
		}
	}
	ep.Relisted = false
	ep.scope = dest.scopes[len(dest.scopes)-1]
	ep.scope.endpoints = append(ep.scope.endpoints, ep)
}

func (e *Engine) ensureDestination(id int) *destination {
	dest := e.destinations[id]
	if dest == nil {
		dest = &destination{id: id}
		e.destinations[id] = dest
		i := sort.Search(len(e.sortedDestinations), func(i int) bool { return e.sortedDestinations[i].id > id })
		e.sortedDestinations = slices.Insert(e.sortedDestinations, i, dest)
	}
	return dest
}

// callInterval is the time between calls at a rate.
func callInterval(rate float64) time.Duration {
	if rate <= 0 {
		return time.Hour
	}
	return min(time.Hour, time.Duration(float64(time.Second)/rate))
}

func (e *Engine) enqueue(msg *message) {
	dest := msg.destination
	i := sort.Search(len(dest.queue), func(i int) bool { return precedes(msg, dest.queue[i]) })
	dest.queue = slices.Insert(dest.queue, i, msg)
	msg.queued = true
	e.recheck(dest)
	if dest.activeIndex == 0 {
		e.active = append(e.active, dest)
		dest.activeIndex = len(e.active)
	}
}

func (e *Engine) dequeue(msg *message) {
	if !msg.queued {
		return
	}
	msg.queued = false
	dest := msg.destination
	i := sort.Search(len(dest.queue), func(i int) bool { return !precedes(dest.queue[i], msg) })
	if len(dest.queue) > maxQueueScan && i < len(dest.queue)/2 {
		// Most leave at the front. Guards against a long queue that is moved for each of its messages, as when all miss
		// their aims.
		copy(dest.queue[1:i+1], dest.queue[:i])
		dest.queue[0] = nil
		dest.queue = dest.queue[1:]
	} else {
		dest.queue = slices.Delete(dest.queue, i, i+1)
	}
	if len(dest.queue) == 0 {
		last := e.active[len(e.active)-1]
		e.active[dest.activeIndex-1], last.activeIndex = last, dest.activeIndex
		e.active, dest.activeIndex = e.active[:len(e.active)-1], 0
	}
}

// finishMessage ends a message that needs no answer of ours.
func (e *Engine) finishMessage(msg *message) {
	if !msg.ended {
		msg.ended = true
		e.pendingMessages--
		e.dequeue(msg)
	}
	e.releaseMessage(msg)
}

// releaseMessage drops an ended message once its attempts have their outcomes, and passes its turn on.
func (e *Engine) releaseMessage(msg *message) {
	if !msg.ended || len(msg.inFlight) > 0 {
		return
	}
	delete(e.messages, msg.id)
	msg.destination.messageCount--
	if queue := msg.keyQueue; queue != nil {
		msg.keyQueue = nil
		queue.messages = slices.DeleteFunc(queue.messages, func(other *message) bool { return other == msg })
		switch {
		case len(queue.messages) > 0:
			e.recheck(queue.messages[0].destination)
		case !queue.expiring:
			queue.expiring = true
			e.expiringKeyQueues = append(e.expiringKeyQueues, queue)
		}
	}
}

// expireKeyQueues forgets turns whose line is empty and whose rest is over.
func (e *Engine) expireKeyQueues() {
	for len(e.expiringKeyQueues) > 0 && e.expiringKeyQueues[0].pausedUntil <= e.now {
		queue := e.expiringKeyQueues[0]
		e.expiringKeyQueues = e.expiringKeyQueues[1:]
		if queue.expiring = false; len(queue.messages) == 0 {
			delete(e.keyQueues, queue.key)
		}
	}
}

type deadlineEntry struct {
	at      time.Duration
	message *message
}

func (entry *deadlineEntry) precedes(other *deadlineEntry) bool {
	return entry.at < other.at || entry.at == other.at && entry.message.id < other.message.id
}

// deadlineHeap is a binary heap, the soonest first. It is written out since container/heap makes a copy of each entry on the
// heap of the program, twice for each message.
type deadlineHeap []deadlineEntry

func (h *deadlineHeap) push(entry deadlineEntry) {
	*h = append(*h, entry)
	a := *h
	i := len(a) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !entry.precedes(&a[parent]) {
			break
		}
		a[i], i = a[parent], parent
	}
	a[i] = entry
}

func (h *deadlineHeap) pop() deadlineEntry {
	a := *h
	n := len(a) - 1
	first, entry := a[0], a[n]
	a[n] = deadlineEntry{}
	*h = a[:n]
	for i := 0; n > 0; {
		c := 2*i + 1
		if c+1 < n && a[c+1].precedes(&a[c]) {
			c++
		}
		if c >= n || !a[c].precedes(&entry) {
			a[i] = entry
			break
		}
		a[i], i = a[c], c
	}
	return first
}

func (e *Engine) emit(a Action) { e.actions = append(e.actions, a) }

// requestTimer asks to be woken at t, if nothing earlier is asked for.
func (e *Engine) requestTimer(t time.Duration) {
	if t < math.MaxInt64 && (e.requestedTimerAt == 0 || t < e.requestedTimerAt) {
		e.requestedTimerAt = t
	}
}

// sendRate is the rate of calls in the last second.
func (e *Engine) sendRate(scope *limitScope) float64 {
	i := 0
	for i < len(scope.recentSends) && scope.recentSends[i] <= e.now-time.Second {
		i++
	}
	scope.recentSends = append(scope.recentSends[:0], scope.recentSends[i:]...)
	return float64(len(scope.recentSends))
}

// decay is what is left after a while of a count that fades over a span.
func decay(since, span time.Duration) float64 { return math.Exp(-float64(since) / float64(span)) }

// deliveryRate is the mean rate of own deliveries of a gate; while a route of it is in doubt, as of the doubt.
func (e *Engine) deliveryRate(scope *limitScope) float64 {
	if scope.hasSuspect() {
		return scope.deliveryRate
	}
	return scope.deliveryRate * decay(e.now-scope.deliveryRateAt, deliveryRateWindow)
}

// recordDelivery adds a delivery to that rate, which does not fall while a route of the gate is in doubt.
func (e *Engine) recordDelivery(scope *limitScope) {
	since := (e.now - scope.deliveryRateAt).Seconds()
	if scope.hasSuspect() && scope.deliveryRate > 0 {
		since = min(since, 1/scope.deliveryRate)
	}
	scope.deliveryRate, scope.deliveryRateAt = scope.deliveryRate*math.Exp(-since/deliveryRateWindow.Seconds())+1/deliveryRateWindow.Seconds(), e.now
}

// countAccepted counts a message that was handed in.
func (e *Engine) countAccepted() {
	meter := &e.acceptedTraffic
	meter.level, meter.updatedAt = meter.level*decay(e.now-meter.updatedAt, trafficWindow)+1, e.now
}

// refillTokens adds to a gate's tokens what its pace has earned, up to one and a burst.
func (e *Engine) refillTokens(scope *limitScope) {
	scope.tokens = math.Min(1+e.burstTokens(scope), scope.tokens+e.tokenRate(scope)*(e.now-scope.tokensUpdatedAt).Seconds())
	scope.tokensUpdatedAt = e.now
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

// takeCall takes the attempt of an outcome off its message; nil if it is not known.
func (e *Engine) takeCall(msg *message, n int) *call {
	if msg == nil {
		return nil
	}
	for i, a := range msg.inFlight {
		if a.number == n {
			msg.inFlight = slices.Delete(msg.inFlight, i, i+1)
			return a.call
		}
	}
	return nil
}

// joinKeyQueue puts a message at the end of its key's line.
func (e *Engine) joinKeyQueue(msg *message, key string) {
	queue := e.keyQueues[key]
	if queue == nil {
		queue = &keyQueue{key: key}
		e.keyQueues[key] = queue
	}
	queue.messages = append(queue.messages, msg)
	msg.keyQueue = queue
}

// recordCallStart books a call that goes out, and what it takes of its gate's slots, pace and recovery budget.
func (e *Engine) recordCallStart(c *call) {
	scope := c.endpoint.scope
	e.callsInFlight++
	scope.inFlight++
	c.endpoint.calls = append(c.endpoint.calls, c)
	e.sendRate(scope)
	scope.recentSends = append(scope.recentSends, e.now)
	if scope.pacingRate > 0 && scope.hasGrant(e.now) {
		scope.grantedCalls--
	} else if scope.pacingRate > 0 {
		scope.tokens--
	}
	if c.endpoint.warmingUp {
		scope.recoveryTokens--
	}
}

// recordCallEnd books a call whose last outcome is in.
func (e *Engine) recordCallEnd(c *call) {
	e.callsInFlight--
	c.endpoint.scope.inFlight--
	c.endpoint.calls = slices.DeleteFunc(c.endpoint.calls, func(call1 *call) bool { return call1 == c })
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
	for _, class := range set.Classes {
		least = min(least, class.DedupWindow, class.LatencyObjective, class.Deadline)
		sum += class.Weight
	}
	for _, tenant := range set.Tenants {
		sum += tenant.Quota
	}
	if least < 0 {
		return errors.New("policy: settings hold a negative time")
	}
	if math.IsNaN(sum) || math.IsInf(sum, 0) {
		return errors.New("policy: settings hold a figure that is not a number")
	}
	return nil
}
