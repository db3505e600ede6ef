package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/statecodec"
)

// snapshotForm is raised with every change of what follows: one of another form is refused.
const snapshotForm = 7

// Snapshot appends the Sender's state, between two steps, to buf. Equal states give equal bytes.
func (e *Engine) Snapshot(buf []byte) []byte {
	coder := statecodec.Writer(buf)
	e.codeState(coder)
	return coder.Bytes()
}

// Restore returns a Sender of these settings as Snapshot found it: equal events give equal actions from there on.
func Restore(settings Settings, data []byte) (*Engine, error) {
	e, err := New(settings, 0)
	if err != nil {
		return nil, err
	}
	coder := statecodec.Reader(data)
	e.codeState(coder)
	if err := coder.Close(); err != nil {
		return nil, fmt.Errorf("policy: snapshot: %w", err)
	}
	for _, dest := range e.sortedDestinations {
		e.destinations[dest.id] = dest
		for _, scope := range dest.scopes {
			for _, ep := range scope.endpoints {
				e.endpoints[ep.ID] = ep
			}
		}
	}
	return e, nil
}

func (e *Engine) codeState(coder *statecodec.Coder) {
	form := snapshotForm
	if coder.Ints(&form); form != snapshotForm {
		coder.Fail()
		return
	}
	state, _ := e.pcg.MarshalBinary() // never fails
	text := string(state)
	if coder.Text(&text); coder.Reading() && e.pcg.UnmarshalBinary([]byte(text)) != nil {
		coder.Fail()
	}
	e.rng = rand.New(e.pcg)
	coder.Times(&e.now, &e.timerAt, &e.startedAt, &e.acceptedTraffic.updatedAt)
	coder.Floats(&e.acceptedTraffic.level)
	coder.Ints(&e.pendingMessages, &e.callsInFlight)
	codeMsg := func(msg **message) { e.codeMessage(coder, msg) }
	statecodec.List(coder, &e.sortedDestinations, func(dest **destination) { e.codeDestination(coder, dest) })
	statecodec.List(coder, &e.active, func(dest **destination) { e.codeDestination(coder, dest) })
	var empty []*destination
	for dest := e.emptyDestinations.first; dest != nil; dest = dest.nextEmpty {
		empty = append(empty, dest)
	}
	statecodec.List(coder, &empty, func(dest **destination) { e.codeDestination(coder, dest) })
	for _, dest := range empty {
		if coder.Reading() && e.emptyDestinations.has(dest) {
			coder.Fail()
		} else if coder.Reading() {
			e.emptyDestinations.add(dest)
		}
	}
	statecodec.Map(coder, e.messages, func(id *uint32, msg **message) { statecodec.Uint(coder, id); codeMsg(msg) })
	for _, dest := range e.active { // apart from the destinations, so that messages do not nest
		statecodec.List(coder, &dest.queue, codeMsg)
	}
	codeQueue := func(queue **keyQueue) { e.codeKeyQueue(coder, queue) }
	statecodec.Map(coder, e.keyQueues, func(key *string, queue **keyQueue) { coder.Text(key); codeQueue(queue) })
	statecodec.List(coder, &e.expiringKeyQueues, codeQueue)
	statecodec.Map(coder, e.lowestReportedLimit, func(k *int, v *float64) { coder.Ints(k); coder.Floats(v) })
	for _, until := range []map[int]time.Duration{e.connectShortageUntil, e.closeIdleUntil} {
		statecodec.Map(coder, until, func(k *int, v *time.Duration) { coder.Ints(k); coder.Times(v) })
	}
	statecodec.List(coder, &e.tenantTraffic, func(meter *trafficMeter) { coder.Floats(&meter.level); coder.Times(&meter.updatedAt) })
	if len(e.tenantTraffic) != len(e.settings.Tenants) {
		coder.Fail()
	}
	statecodec.List(coder, (*[]deadlineEntry)(&e.deadlines), func(entry *deadlineEntry) { coder.Times(&entry.at); codeMsg(&entry.message) })
}

func (e *Engine) codeDestination(coder *statecodec.Coder, p **destination) {
	statecodec.Must(coder, p, func(dest *destination) {
		coder.Ints(&dest.id, &dest.messageCount, &dest.activeIndex)
		coder.Times(&dest.blockedUntil, &dest.emptySince)
		statecodec.List(coder, &dest.scopes, func(scope **limitScope) { e.codeScope(coder, scope) })
	})
}

func (e *Engine) codeScope(coder *statecodec.Coder, p **limitScope) {
	statecodec.Must(coder, p, func(scope *limitScope) {
		e.codeDestination(coder, &scope.destination)
		statecodec.List(coder, &scope.endpoints, func(ep **endpoint) { statecodec.Must(coder, ep, func(ep *endpoint) { e.codeEndpoint(coder, ep) }) })
		coder.Bools(&scope.perEndpoint, &scope.quotaShared)
		coder.Ints(&scope.kind, &scope.inFlight, &scope.consecutiveFailures, &scope.connectExhaustions, &scope.grantedCalls)
		coder.Floats(&scope.pacingRate, &scope.lastRejectedRate, &scope.tokens, &scope.recoveryTokens, &scope.reportedLimit, &scope.deliveryRate, &scope.reservedFraction)
		coder.Times(
			&scope.retryAfterUntil,
			&scope.decreasedAt,
			&scope.increasedAt,
			&scope.tokensUpdatedAt,
			&scope.recoveryUpdatedAt,
			&scope.suspectRemovedAt,
			&scope.lastFailureSentAt,
			&scope.deliveryRateAt,
			&scope.grantExpiresAt,
			&scope.quotaRequestedAt,
		)
		statecodec.List(coder, &scope.recentSends, func(at *time.Duration) { coder.Times(at) })
	})
}

func (e *Engine) codeEndpoint(coder *statecodec.Coder, ep *endpoint) {
	coder.Text(&ep.ID)
	coder.Ints(&ep.Destination, &ep.Kind, &ep.Zone, &ep.consecutiveSuccesses, &ep.consecutiveFailures, &ep.consecutiveRejections)
	coder.Floats(&ep.Weight)
	coder.Bools(&ep.InService, &ep.Removed, &ep.ejected, &ep.warmingUp, &ep.weaklySuspected, &ep.answerLost)
	coder.Times(&ep.ejectedUntil, &ep.ejectionTime, &ep.lastFailureSentAt, &ep.recoveredAt, &ep.firstRejectedAt, &ep.lastSuccessAt, &ep.lastAnsweredSendAt, &ep.latencyMean, &ep.latencyDeviation)
	statecodec.Uint(coder, &ep.tieBreaker)
	statecodec.Uint(coder, &ep.recentFailures)
	e.codeScope(coder, &ep.scope)
	statecodec.List(coder, &ep.calls, func(c **call) { e.codeCall(coder, c) })
}

func (e *Engine) codeCall(coder *statecodec.Coder, p **call) {
	statecodec.Must(coder, p, func(c *call) {
		statecodec.Must(coder, &c.endpoint, func(ep *endpoint) { e.codeEndpoint(coder, ep) })
		coder.Ints(&c.pending)
		coder.Bools(&c.delivered)
		coder.Times(&c.sentAt, &c.overdueAt, &c.timeoutAt)
	})
}

func (e *Engine) codeMessage(coder *statecodec.Coder, p **message) {
	statecodec.Must(coder, p, func(msg *message) {
		statecodec.Uint(coder, &msg.id)
		if coder.Reading() {
			msg.class = new(Class)
		}
		classIndex := slices.Index(e.settings.Classes, *msg.class) // by its value; the settings may no longer name it
		if coder.Ints(&classIndex); classIndex >= 0 && classIndex < len(e.settings.Classes) {
			msg.class = &e.settings.Classes[classIndex]
		} else {
			statecodec.Int(coder, &msg.class.Effect)
			coder.Bools(&msg.class.DedupAllZones, &msg.class.Ordered)
			coder.Times(&msg.class.DedupWindow, &msg.class.LatencyObjective, &msg.class.Deadline)
			coder.Floats(&msg.class.Weight)
		}
		e.codeDestination(coder, &msg.destination)
		e.codeKeyQueue(coder, &msg.keyQueue)
		coder.Times(&msg.objectiveAt, &msg.deadline, &msg.queueRank, &msg.firstRunAt)
		coder.Ints(&msg.attempts, &msg.maxAttempts, &msg.firstRunZone, &msg.timeouts)
		coder.Bools(&msg.mayHaveRun, &msg.ended, &msg.queued, &msg.recovered)
		statecodec.Ref(coder, &msg.lastFailedEndpoint, func(ep *endpoint) { e.codeEndpoint(coder, ep) })
		statecodec.List(coder, &msg.inFlight, func(a *attempt) { coder.Ints(&a.number); e.codeCall(coder, &a.call) })
	})
}

func (e *Engine) codeKeyQueue(coder *statecodec.Coder, p **keyQueue) {
	statecodec.Ref(coder, p, func(queue *keyQueue) {
		coder.Text(&queue.key)
		coder.Bools(&queue.expiring)
		coder.Times(&queue.pausedUntil)
		statecodec.List(coder, &queue.messages, func(msg **message) { e.codeMessage(coder, msg) })
	})
}
