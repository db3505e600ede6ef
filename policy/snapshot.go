package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/statecodec"
)

// snapshotVersion is the version of the snapshot format. Increment it with every change of the code* methods below,
// each of which defines the format for both writing and reading. Snapshots of other versions are rejected.
const snapshotVersion = 7

// Snapshot appends the state of an Engine between two steps to buf. Equal states give equal bytes. A recording that
// begins in the middle of a run starts with a snapshot.
func (e *Engine) Snapshot(buf []byte) []byte {
	coder := statecodec.NewWriter(buf)
	e.codeState(coder)
	return coder.Bytes()
}

// Restore returns an Engine with the given settings in the state of a snapshot. From there on, equal events give
// the same actions as in the Engine that wrote the snapshot.
func Restore(settings Settings, data []byte) (*Engine, error) {
	e, err := New(settings, 0)
	if err != nil {
		return nil, err
	}
	coder := statecodec.NewReader(data)
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

// codeState writes or reads the whole state, depending on the direction of the coder. The order of the fields, here
// and in the methods below, is part of the format.
func (e *Engine) codeState(coder *statecodec.Coder) {
	version := snapshotVersion
	coder.Ints(&version)
	if version != snapshotVersion {
		coder.Fail()
		return
	}
	e.codeGenerator(coder)
	coder.Durations(&e.now, &e.timerAt, &e.startedAt, &e.acceptedTraffic.updatedAt)
	coder.Floats(&e.acceptedTraffic.level)
	coder.Ints(&e.pendingMessages, &e.callsInFlight)
	e.codeDestinations(coder)
	e.codeMessages(coder)
	e.codeTables(coder)
	statecodec.List(coder, (*[]deadlineEntry)(&e.deadlines), func(entry *deadlineEntry) {
		coder.Durations(&entry.at)
		e.codeMessage(coder, &entry.message)
	})
}

// codeGenerator writes or reads the state of the random number generator.
func (e *Engine) codeGenerator(coder *statecodec.Coder) {
	state, _ := e.pcg.MarshalBinary() // never fails
	text := string(state)
	coder.Text(&text)
	if coder.Reading() && e.pcg.UnmarshalBinary([]byte(text)) != nil {
		coder.Fail()
	}
	e.rng = rand.New(e.pcg)
}

// codeDestinations writes or reads all destinations, and the lists of the active and of the empty ones.
func (e *Engine) codeDestinations(coder *statecodec.Coder) {
	codeDestination := func(dest **destination) { e.codeDestination(coder, dest) }
	statecodec.List(coder, &e.sortedDestinations, codeDestination)
	statecodec.List(coder, &e.active, codeDestination)
	var empty []*destination
	for dest := e.emptyDestinations.first; dest != nil; dest = dest.nextEmpty {
		empty = append(empty, dest)
	}
	statecodec.List(coder, &empty, codeDestination)
	if !coder.Reading() {
		return
	}
	for _, dest := range empty {
		if e.emptyDestinations.has(dest) {
			coder.Fail()
		} else {
			e.emptyDestinations.add(dest)
		}
	}
}

// codeMessages writes or reads all messages, the queues of the destinations and those of the ordering keys. Queues
// are written separately from their destinations, so that messages do not nest.
func (e *Engine) codeMessages(coder *statecodec.Coder) {
	codeMessage := func(msg **message) { e.codeMessage(coder, msg) }
	codeKeyQueue := func(queue **keyQueue) { e.codeKeyQueue(coder, queue) }
	statecodec.Map(coder, e.messages, func(id *MessageID, msg **message) {
		statecodec.Uint(coder, id)
		codeMessage(msg)
	})
	for _, dest := range e.active {
		statecodec.List(coder, &dest.queue, codeMessage)
	}
	statecodec.Map(coder, e.keyQueues, func(key *string, queue **keyQueue) {
		coder.Text(key)
		codeKeyQueue(queue)
	})
	statecodec.List(coder, &e.expiringKeyQueues, codeKeyQueue)
}

// codeTables writes or reads the tables that are indexed by destination kind or by tenant.
func (e *Engine) codeTables(coder *statecodec.Coder) {
	statecodec.Map(coder, e.lowestReportedLimit, func(kind *int, limit *float64) {
		coder.Ints(kind)
		coder.Floats(limit)
	})
	for _, table := range []map[int]time.Duration{e.connectShortageUntil, e.closeIdleUntil} {
		statecodec.Map(coder, table, func(kind *int, until *time.Duration) {
			coder.Ints(kind)
			coder.Durations(until)
		})
	}
	statecodec.List(coder, &e.tenantTraffic, func(meter *trafficMeter) {
		coder.Floats(&meter.level)
		coder.Durations(&meter.updatedAt)
	})
	if len(e.tenantTraffic) != len(e.settings.Tenants) {
		coder.Fail()
	}
}

// codeDestination writes or reads a destination without its queue.
func (e *Engine) codeDestination(coder *statecodec.Coder, p **destination) {
	statecodec.NonNil(coder, p, func(dest *destination) {
		statecodec.Int(coder, &dest.id)
		coder.Ints(&dest.messageCount, &dest.activeIndex)
		coder.Durations(&dest.blockedUntil, &dest.emptySince)
		statecodec.List(coder, &dest.scopes, func(scope **limitScope) { e.codeScope(coder, scope) })
	})
}

// codeScope writes or reads a limit scope with its endpoints.
func (e *Engine) codeScope(coder *statecodec.Coder, p **limitScope) {
	statecodec.NonNil(coder, p, func(scope *limitScope) {
		e.codeDestination(coder, &scope.destination)
		statecodec.List(coder, &scope.endpoints, func(p **endpoint) {
			statecodec.NonNil(coder, p, func(ep *endpoint) { e.codeEndpoint(coder, ep) })
		})
		coder.Bools(&scope.perEndpoint, &scope.quotaShared)
		coder.Ints(
			&scope.kind, &scope.inFlight, &scope.consecutiveFailures, &scope.connectExhaustions, &scope.grantedCalls,
		)
		coder.Floats(
			&scope.pacingRate, &scope.lastRejectedRate, &scope.tokens, &scope.recoveryTokens, &scope.reportedLimit,
			&scope.deliveryRate, &scope.reservedFraction,
		)
		coder.Durations(
			&scope.retryAfterUntil, &scope.decreasedAt, &scope.increasedAt, &scope.tokensUpdatedAt,
			&scope.recoveryUpdatedAt, &scope.suspectRemovedAt, &scope.lastFailureSentAt, &scope.deliveryRateAt,
			&scope.grantExpiresAt, &scope.quotaRequestedAt,
		)
		statecodec.List(coder, &scope.recentSends, func(at *time.Duration) { coder.Durations(at) })
	})
}

// codeEndpoint writes or reads an endpoint with its calls.
func (e *Engine) codeEndpoint(coder *statecodec.Coder, ep *endpoint) {
	coder.Text(&ep.ID)
	statecodec.Int(coder, &ep.Destination)
	coder.Ints(&ep.Kind, &ep.Zone, &ep.consecutiveSuccesses, &ep.consecutiveFailures, &ep.consecutiveRejections)
	coder.Floats(&ep.Weight)
	coder.Bools(&ep.InService, &ep.Removed, &ep.ejected, &ep.warmingUp, &ep.weaklySuspected, &ep.answerLost)
	coder.Durations(
		&ep.ejectedUntil, &ep.ejectionTime, &ep.lastFailureSentAt, &ep.recoveredAt, &ep.firstRejectedAt,
		&ep.lastSuccessAt, &ep.lastAnsweredSendAt, &ep.latencyMean, &ep.latencyDeviation,
	)
	statecodec.Uint(coder, &ep.tieBreaker)
	statecodec.Uint(coder, &ep.recentFailures)
	e.codeScope(coder, &ep.scope)
	statecodec.List(coder, &ep.calls, func(c **call) { e.codeCall(coder, c) })
}

// codeCall writes or reads a call in flight.
func (e *Engine) codeCall(coder *statecodec.Coder, p **call) {
	statecodec.NonNil(coder, p, func(c *call) {
		statecodec.NonNil(coder, &c.endpoint, func(ep *endpoint) { e.codeEndpoint(coder, ep) })
		coder.Ints(&c.pending)
		coder.Bools(&c.delivered)
		coder.Durations(&c.sentAt, &c.overdueAt, &c.timeoutAt)
	})
}

// codeMessage writes or reads a message with its attempts in flight.
func (e *Engine) codeMessage(coder *statecodec.Coder, p **message) {
	statecodec.NonNil(coder, p, func(msg *message) {
		statecodec.Uint(coder, &msg.id)
		e.codeClass(coder, msg)
		e.codeDestination(coder, &msg.destination)
		e.codeKeyQueue(coder, &msg.keyQueue)
		coder.Durations(&msg.objectiveAt, &msg.deadline, &msg.queueRank, &msg.firstRunAt)
		coder.Ints(&msg.attempts, &msg.maxAttempts, &msg.firstRunZone, &msg.timeouts)
		coder.Bools(&msg.mayHaveRun, &msg.ended, &msg.queued, &msg.recovered)
		statecodec.Pointer(coder, &msg.lastFailedEndpoint, func(ep *endpoint) { e.codeEndpoint(coder, ep) })
		statecodec.List(coder, &msg.inFlight, func(a *attempt) {
			coder.Ints(&a.number)
			e.codeCall(coder, &a.call)
		})
	})
}

// codeClass writes or reads the class of a message: its index in the settings, or its fields if the settings no
// longer contain it.
func (e *Engine) codeClass(coder *statecodec.Coder, msg *message) {
	if coder.Reading() {
		msg.class = new(Class)
	}
	index := slices.Index(e.settings.Classes, *msg.class)
	coder.Ints(&index)
	if index >= 0 && index < len(e.settings.Classes) {
		msg.class = &e.settings.Classes[index]
		return
	}
	statecodec.Int(coder, &msg.class.Effect)
	coder.Bools(&msg.class.DedupAllZones, &msg.class.Ordered)
	coder.Durations(&msg.class.DedupWindow, &msg.class.LatencyObjective, &msg.class.Deadline)
	coder.Floats(&msg.class.Weight)
}

// codeKeyQueue writes or reads the queue of an ordering key.
func (e *Engine) codeKeyQueue(coder *statecodec.Coder, p **keyQueue) {
	statecodec.Pointer(coder, p, func(queue *keyQueue) {
		coder.Text(&queue.key)
		coder.Bools(&queue.expiring)
		coder.Durations(&queue.pausedUntil)
		statecodec.List(coder, &queue.messages, func(msg **message) { e.codeMessage(coder, msg) })
	})
}
