package policy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/statecodec"
)

// The state of a Sender as bytes, for recordings that begin in mid-life: one description for both directions.

// snapshotForm is raised with every change of what follows: one of another form is refused.
const snapshotForm = 7

// Snapshot appends the Sender's state, between two steps, to buf. Equal states give equal bytes.
func (s *Engine) Snapshot(buf []byte) []byte {
	c := statecodec.Writer(buf)
	s.codeState(c)
	return c.Bytes()
}

// Restore returns a Sender of these settings as Snapshot found it: equal events give equal actions from there on.
func Restore(set Settings, data []byte) (*Engine, error) {
	s, err := New(set, 0)
	if err != nil {
		return nil, err
	}
	c := statecodec.Reader(data)
	s.codeState(c)
	if err := c.Close(); err != nil {
		return nil, fmt.Errorf("policy: snapshot: %w", err)
	}
	for _, d := range s.sortedDestinations {
		s.destinations[d.id] = d
		for _, g := range d.scopes {
			for _, r := range g.endpoints {
				s.endpoints[r.ID] = r
			}
		}
	}
	return s, nil
}

func (s *Engine) codeState(c *statecodec.Coder) {
	form := snapshotForm
	if c.Ints(&form); form != snapshotForm {
		c.Fail()
		return
	}
	state, _ := s.pcg.MarshalBinary() // never fails
	text := string(state)
	if c.Text(&text); c.Reading() && s.pcg.UnmarshalBinary([]byte(text)) != nil {
		c.Fail()
	}
	s.rng = rand.New(s.pcg)
	c.Times(&s.now, &s.timerAt, &s.startedAt, &s.acceptedTraffic.updatedAt)
	c.Floats(&s.acceptedTraffic.level)
	c.Ints(&s.pendingMessages, &s.callsInFlight)
	msgs := func(m **message) { s.codeMessage(c, m) }
	statecodec.List(c, &s.sortedDestinations, func(d **destination) { s.codeDestination(c, d) })
	statecodec.List(c, &s.active, func(d **destination) { s.codeDestination(c, d) })
	var bare []*destination
	for d := s.emptyDestinations.first; d != nil; d = d.nextEmpty {
		bare = append(bare, d)
	}
	statecodec.List(c, &bare, func(d **destination) { s.codeDestination(c, d) })
	for _, d := range bare {
		if c.Reading() && s.emptyDestinations.has(d) {
			c.Fail()
		} else if c.Reading() {
			s.emptyDestinations.add(d)
		}
	}
	statecodec.Map(c, s.messages, func(id *uint32, m **message) { statecodec.Uint(c, id); msgs(m) })
	for _, d := range s.active { // apart from the destinations, so that messages do not nest
		statecodec.List(c, &d.queue, msgs)
	}
	turns := func(t **keyQueue) { s.codeKeyQueue(c, t) }
	statecodec.Map(c, s.keyQueues, func(key *string, t **keyQueue) { c.Text(key); turns(t) })
	statecodec.List(c, &s.expiringKeyQueues, turns)
	statecodec.Map(c, s.lowestReportedLimit, func(k *int, v *float64) { c.Ints(k); c.Floats(v) })
	for _, until := range []map[int]time.Duration{s.connectShortageUntil, s.closeIdleUntil} {
		statecodec.Map(c, until, func(k *int, v *time.Duration) { c.Ints(k); c.Times(v) })
	}
	statecodec.List(c, &s.tenantTraffic, func(b *trafficMeter) { c.Floats(&b.level); c.Times(&b.updatedAt) })
	if len(s.tenantTraffic) != len(s.settings.Tenants) {
		c.Fail()
	}
	statecodec.List(c, (*[]deadlineEntry)(&s.deadlines), func(e *deadlineEntry) { c.Times(&e.at); msgs(&e.message) })
}

func (s *Engine) codeDestination(c *statecodec.Coder, p **destination) {
	statecodec.Must(c, p, func(d *destination) {
		c.Ints(&d.id, &d.messageCount, &d.activeIndex)
		c.Times(&d.blockedUntil, &d.emptySince)
		statecodec.List(c, &d.scopes, func(g **limitScope) { s.codeScope(c, g) })
	})
}

func (s *Engine) codeScope(c *statecodec.Coder, p **limitScope) {
	statecodec.Must(c, p, func(g *limitScope) {
		s.codeDestination(c, &g.destination)
		statecodec.List(c, &g.endpoints, func(r **endpoint) { statecodec.Must(c, r, func(r *endpoint) { s.codeEndpoint(c, r) }) })
		c.Bools(&g.perEndpoint, &g.quotaShared)
		c.Ints(&g.kind, &g.inFlight, &g.consecutiveFailures, &g.connectExhaustions, &g.grantedCalls)
		c.Floats(&g.pacingRate, &g.lastRejectedRate, &g.tokens, &g.recoveryTokens, &g.reportedLimit, &g.deliveryRate, &g.reservedFraction)
		c.Times(
			&g.retryAfterUntil,
			&g.decreasedAt,
			&g.increasedAt,
			&g.tokensUpdatedAt,
			&g.recoveryUpdatedAt,
			&g.suspectRemovedAt,
			&g.lastFailureSentAt,
			&g.deliveryRateAt,
			&g.grantExpiresAt,
			&g.quotaRequestedAt,
		)
		statecodec.List(c, &g.recentSends, func(at *time.Duration) { c.Times(at) })
	})
}

func (s *Engine) codeEndpoint(c *statecodec.Coder, r *endpoint) {
	c.Text(&r.ID)
	c.Ints(&r.Destination, &r.Kind, &r.Zone, &r.consecutiveSuccesses, &r.consecutiveFailures, &r.consecutiveRejections)
	c.Floats(&r.Weight)
	c.Bools(&r.InService, &r.Removed, &r.ejected, &r.warmingUp, &r.weaklySuspected, &r.answerLost)
	c.Times(&r.ejectedUntil, &r.ejectionTime, &r.lastFailureSentAt, &r.recoveredAt, &r.firstRejectedAt, &r.lastSuccessAt, &r.lastAnsweredSendAt, &r.latencyMean, &r.latencyDeviation)
	statecodec.Uint(c, &r.tieBreaker)
	statecodec.Uint(c, &r.recentFailures)
	s.codeScope(c, &r.scope)
	statecodec.List(c, &r.calls, func(x **call) { s.codeCall(c, x) })
}

func (s *Engine) codeCall(c *statecodec.Coder, p **call) {
	statecodec.Must(c, p, func(x *call) {
		statecodec.Must(c, &x.endpoint, func(r *endpoint) { s.codeEndpoint(c, r) })
		c.Ints(&x.pending)
		c.Bools(&x.delivered)
		c.Times(&x.sentAt, &x.overdueAt, &x.timeoutAt)
	})
}

func (s *Engine) codeMessage(c *statecodec.Coder, p **message) {
	statecodec.Must(c, p, func(m *message) {
		statecodec.Uint(c, &m.id)
		if c.Reading() {
			m.class = new(Class)
		}
		class := slices.Index(s.settings.Classes, *m.class) // by its value; the settings may no longer name it
		if c.Ints(&class); class >= 0 && class < len(s.settings.Classes) {
			m.class = &s.settings.Classes[class]
		} else {
			statecodec.Int(c, &m.class.Effect)
			c.Bools(&m.class.DedupAllZones, &m.class.Ordered)
			c.Times(&m.class.DedupWindow, &m.class.LatencyObjective, &m.class.Deadline)
			c.Floats(&m.class.Weight)
		}
		s.codeDestination(c, &m.destination)
		s.codeKeyQueue(c, &m.keyQueue)
		c.Times(&m.objectiveAt, &m.deadline, &m.queueRank, &m.firstRunAt)
		c.Ints(&m.attempts, &m.maxAttempts, &m.firstRunZone, &m.timeouts)
		c.Bools(&m.mayHaveRun, &m.ended, &m.queued, &m.recovered)
		statecodec.Ref(c, &m.lastFailedEndpoint, func(r *endpoint) { s.codeEndpoint(c, r) })
		statecodec.List(c, &m.inFlight, func(a *attempt) { c.Ints(&a.number); s.codeCall(c, &a.call) })
	})
}

func (s *Engine) codeKeyQueue(c *statecodec.Coder, p **keyQueue) {
	statecodec.Ref(c, p, func(t *keyQueue) {
		c.Text(&t.key)
		c.Bools(&t.expiring)
		c.Times(&t.pausedUntil)
		statecodec.List(c, &t.messages, func(m **message) { s.codeMessage(c, m) })
	})
}
