package policy

import (
	"fmt"
	"testing"
	"time"
)

// A fleet whose relays all start with messages for one destination must not exceed the known limit by far. Without
// pacing, the relays would send all messages at once.
func TestLargeFleetStartsNearTheLimit(t *testing.T) {
	const limit, messages = 20.0, 5
	for _, test := range []struct {
		relays int
		within float64 // maximum calls in three seconds, as a multiple of the limit
	}{{20, 2}, {80, 2}, {300, 6}} {
		sent := 0
		for i := range test.relays {
			settings := testSettings()
			settings.FleetSize = test.relays
			settings.MaxInFlightCalls = 100
			sent += countFirstCalls(t, settings, uint64(i), limit, messages)
		}
		if bound := int(test.within * limit * 3); sent > bound || sent < int(limit) {
			t.Errorf("%d relays: %d calls in three seconds with a limit of %v calls a second, want up to %d",
				test.relays, sent, limit, bound)
		}
	}
}

// countFirstCalls returns the number of calls that a relay makes in its first three seconds, with messages for one
// endpoint.
func countFirstCalls(t *testing.T, settings Settings, seed uint64, limit float64, messages MessageID) (sent int) {
	t.Helper()
	engine, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	events := []Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: limit, InService: true}}}}
	for id := range messages {
		events = append(events, Event{Kind: MessageAccepted, MessageID: id + 1, TimeLeft: 20 * time.Second})
	}
	for now := time.Second; now <= 4*time.Second; now += 50 * ms {
		for _, a := range engine.Step(now, events) {
			if a.Kind == Send {
				sent++
			}
		}
		events = nil
	}
	return sent
}

// Small fleets, and fleets whose destination has no known limit, start without pacing.
func TestSmallFleetStartsWithoutPacing(t *testing.T) {
	for _, test := range []struct {
		relays int
		weight float64
	}{{1, 4}, {smallFleetSize, 4}, {80, 0}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			settings := testSettings()
			settings.FleetSize = test.relays
			h := newHarness(t, settings, Endpoint{ID: "a", Weight: test.weight})
			for id := range MessageID(5) {
				if actions := h.accept(id+1, 0); !hasAction(actions, Send) {
					t.Errorf("message %d: %+v, want it sent", id+1, actions)
				}
			}
		})
	}
}

// A relay with twice the mean traffic gets a higher share of a limit than a relay with half of the mean traffic.
// The rates of a fleet of both kinds do not exceed the limit.
func TestFairPacingRateFollowsTraffic(t *testing.T) {
	const relays, limit, meanRate = 40, 60.0, 5.0 // meanRate: messages a second at each relay
	settings := testSettings()
	settings.FleetSize, settings.Tenants = relays, []Tenant{{Quota: relays * meanRate}}
	pacingRate := func(rate float64) float64 {
		engine, err := New(settings, 1)
		if err != nil {
			t.Fatal(err)
		}
		engine.Step(
			time.Second,
			[]Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: limit, InService: true}}}},
		)
		for i := range int(rate * 20) {
			now := 2*time.Second + time.Duration(float64(i)/rate*float64(time.Second))
			engine.Step(now, []Event{
				{Kind: MessageAccepted, MessageID: MessageID(i), TimeLeft: time.Second},
				{Kind: MessageCancelled, MessageID: MessageID(i)},
			})
		}
		return engine.fairPacingRate(engine.endpoints["a"].scope)
	}
	busy := pacingRate(2 * meanRate)
	quiet := pacingRate(meanRate / 2)
	const fairShare = limit / relays
	if busy < 1.05*fairShare || quiet > 0.65*fairShare {
		t.Errorf("pacing rates %.2f and %.2f with a fair share of %.2f", busy, quiet, fairShare)
	}
	if sum := relays/3*busy + 2*relays/3*quiet; sum > limit {
		t.Errorf("the fleet's pacing rates add up to %.1f of %v", sum, limit)
	}
}

// A rejection lowers a pacing rate above the fair rate to the fair rate at once, and lowers no rate below half of
// the relay's share.
func TestFleetRateAfterRejection(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 80
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 80})
	scope := h.engine.endpoints["a"].scope
	for _, test := range []struct{ rate, want float64 }{
		{5, h.engine.fairPacingRate(scope)}, {0.9, 0.45}, {0.5, 0.4}, {0.2, 0.2},
	} {
		h.now += 10 * time.Second
		h.engine.now = h.now
		scope.pacingRate = test.rate
		scope.recentSends = []time.Duration{h.now, h.now, h.now, h.now, h.now}
		h.engine.decreasePacing(h.engine.endpoints["a"], observation{outcome: Overloaded, sentAt: h.now})
		if scope.pacingRate < test.want*0.99 || scope.pacingRate > test.want*1.01 {
			t.Errorf("a pacing rate of %v becomes %v after a rejection, want %v",
				test.rate, scope.pacingRate, test.want)
		}
	}
}

// A rejected message does not count as the relay's own traffic, since its client retries it.
func TestRejectedTrafficDoesNotCount(t *testing.T) {
	settings := testSettings()
	settings.FleetSize, settings.Tenants = 80, []Tenant{{Quota: 80}}
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 8})
	scope := h.engine.endpoints["a"].scope
	before := h.engine.fairPacingRate(scope)
	for id := range MessageID(20) {
		h.engine.acceptMessage(&Event{Kind: MessageAccepted, MessageID: id, TimeLeft: time.Minute})
	}
	if got := h.engine.fairPacingRate(scope); got <= before {
		t.Errorf("the fair pacing rate is %v after 20 messages, want more than the %v before", got, before)
	}
	for id := range MessageID(20) {
		h.engine.reject(h.engine.messages[id])
	}
	if after := h.engine.fairPacingRate(scope); after != before {
		t.Errorf("the fair pacing rate is %v after the messages were rejected, want %v as before", after, before)
	}
}

// With quotas, a pacing rate returns to the fair rate, even if one success counts for several seconds of growth. It
// stays there without a backlog or after a rejection. With a backlog and without a recent rejection, it grows to
// twice the fair rate. Without quotas and with a backlog, it grows beyond that.
func TestFleetPacingGrowth(t *testing.T) {
	for _, test := range []struct {
		name                      string
		quotas, backlog, rejected bool
		least, most               float64 // final rate, as a multiple of the fair pacing rate
	}{
		{"quotas", true, false, false, 0.99, 1},
		{"quotas, a backlog", true, true, false, 1.9, 2},
		{"quotas, a backlog, rejected", true, true, true, 0.99, 1.2}, // above 1: kept from when the share was greater
		{"no quotas, a backlog", false, true, false, 3.1, 100},
		{"no quotas", false, false, false, 0.99, 3},
	} {
		t.Run(test.name, func(t *testing.T) {
			settings := testSettings()
			settings.FleetSize = 80
			if test.quotas {
				settings.Tenants = []Tenant{{Quota: 80}}
			}
			got := growPacing(t, settings, test.backlog, test.rejected)
			if got < test.least || got > test.most+1e-9 {
				t.Errorf("%v times the fair pacing rate after a minute of successes, want %v to %v",
					got, test.least, test.most)
			}
		})
	}
}

// growPacing lets a pacing rate grow for a minute of successes, from half of the fair rate, and returns it as a
// multiple of the fair rate.
func growPacing(t *testing.T, settings Settings, backlog, rejected bool) (ratio float64) {
	t.Helper()
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 80})
	scope := h.engine.endpoints["a"].scope
	h.accept(0, 0)
	scope.pacingRate /= 2
	for id := range MessageID(60) { // one message a second: the mean rate of a relay
		h.now += time.Second
		h.accept(id+1, 0)
		queue := scope.destination.queue
		scope.destination.queue = nil
		if backlog {
			scope.destination.queue = []*message{{}}
		}
		if rejected {
			scope.decreasedAt = h.now - 5*time.Second
		}
		below := scope.pacingRate < h.engine.fairPacingRate(scope)
		scope.increasedAt = h.now - maxGrowthSeconds*time.Second // the success counts for the maximum time
		h.engine.increasePacing(scope)
		ratio = scope.pacingRate / h.engine.fairPacingRate(scope)
		if len(settings.Tenants) > 0 && below && scope.pacingRate > h.engine.fairPacingRate(scope) {
			t.Errorf("one success raised the pacing rate from below the fair rate to %v times the fair rate", ratio)
		}
		h.engine.boundPacing(scope, scope.pacingRate)
		ratio = scope.pacingRate / h.engine.fairPacingRate(scope)
		scope.destination.queue = queue
	}
	return ratio
}

// After many consecutive rejections, the pacing rate of a relay in a large fleet still allows one call within the
// deadline of a message, or half of the relay's share if that is less. It never falls below a twentieth of the
// share.
func TestFleetPacingKeepsATrialWithinTheDeadline(t *testing.T) {
	for _, test := range []struct{ limit, least, most float64 }{
		{4, 0.019, 0.021}, // share of one call in 25 s: half of the share
		{40, 0.08, 0.09},  // share of four calls in 10 s: one call within the deadline of 12 s
		{400, 0.19, 0.21}, // share of four calls a second: a twentieth of the share
	} {
		settings := testSettings()
		settings.FleetSize = 80
		settings.Classes = []Class{
			{Effect: IdempotentByKey, Deadline: 12 * time.Second, LatencyObjective: 3 * time.Second, Weight: 1},
		}
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: test.limit})
		ep := h.engine.endpoints["a"]
		h.engine.initializePacing(ep.scope)
		for range 30 {
			h.now += time.Second
			h.engine.now = h.now
			ep.consecutiveRejections++
			h.engine.decreasePacing(ep, observation{outcome: Overloaded, sentAt: h.now})
		}
		if rate := ep.scope.pacingRate; rate < test.least || rate > test.most {
			t.Errorf("limit %v: a pacing rate of %v after 30 rejections, want %v to %v",
				test.limit, rate, test.least, test.most)
		}
	}
}
