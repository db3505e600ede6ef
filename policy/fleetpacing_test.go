package policy

import (
	"fmt"
	"testing"
	"time"
)

// A whole fleet that begins with messages for one destination does not together pour out far more than the told limit.
// Senders free at first would send all at once: the check can fail.
func TestLargeFleetStartsNearTheLimit(t *testing.T) {
	const limit, messages = 20.0, 5
	for _, test := range []struct {
		senders int
		within  float64 // of the limit, over three seconds
	}{{20, 2}, {80, 2}, {300, 6}} {
		sent := 0
		for i := range test.senders {
			settings := testSettings()
			settings.FleetSize, settings.MaxInFlightCalls = test.senders, 100
			engine, err := New(settings, uint64(i))
			if err != nil {
				t.Fatal(err)
			}
			events := []Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: limit, InService: true}}}}
			for id := range uint32(messages) {
				events = append(events, Event{Kind: MessageAccepted, MessageID: id + 1, TimeLeft: 20 * time.Second})
			}
			for now := time.Second; now <= 4*time.Second; now += 50 * time.Millisecond {
				for _, a := range engine.Step(now, events) {
					if a.Kind == Send {
						sent++
					}
				}
				events = nil
			}
		}
		if bound := int(test.within * limit * 3); sent > bound || sent < int(limit) {
			t.Errorf(
				"%d senders: %d calls in three seconds of a limit of %v, want up to %d",
				test.senders,
				sent,
				limit,
				bound,
			)
		}
	}
}

// Few senders, and those of a destination that tells no limit, are free at first as ever.
func TestSmallFleetStartsWithoutPacing(t *testing.T) {
	for _, test := range []struct {
		senders int
		weight  float64
	}{{1, 4}, {smallFleetSize, 4}, {80, 0}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			settings := testSettings()
			settings.FleetSize = test.senders
			h := newHarness(t, settings, Endpoint{ID: "a", Weight: test.weight})
			for id := range uint32(5) {
				if actions := h.accept(id+1, 0); !hasAction(actions, Send) {
					t.Errorf("message %d: %+v, want it sent", id+1, actions)
				}
			}
		})
	}
}

// A sender with twice the usual traffic takes more of a limit than one with half of it, and a whole fleet of both no
// more than the limit.
func TestFairPacingRateFollowsTraffic(t *testing.T) {
	const senders, limit, usual = 40, 60.0, 5.0 // messages a second of a sender
	settings := testSettings()
	settings.FleetSize, settings.Tenants = senders, []Tenant{{Quota: senders * usual}}
	pace := func(rate float64) float64 {
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
			engine.Step(
				now,
				[]Event{
					{Kind: MessageAccepted, MessageID: uint32(i), TimeLeft: time.Second},
					{Kind: MessageCancelled, MessageID: uint32(i)},
				},
			)
		}
		return engine.fairPacingRate(engine.endpoints["a"].scope)
	}
	busy, quiet, fairShare := pace(2*usual), pace(usual/2), limit/senders
	if busy < 1.05*fairShare || quiet > 0.65*fairShare {
		t.Errorf("paces %.2f and %.2f of a part of %.2f", busy, quiet, fairShare)
	}
	if sum := senders/3*busy + 2*senders/3*quiet; sum > limit {
		t.Errorf("the fleet's paces add up to %.1f of %v", sum, limit)
	}
}

// Pace after refusal: a sender above its fair pace falls back to it at once, and never under half its part.
func TestFleetRateAfterRejection(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 80
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 80})
	scope := h.engine.endpoints["a"].scope
	for _, test := range []struct{ pace, want float64 }{{5, h.engine.fairPacingRate(scope)}, {0.9, 0.45}, {0.5, 0.4}, {0.2, 0.2}} {
		h.now += 10 * time.Second
		h.engine.now = h.now
		scope.pacingRate, scope.recentSends = test.pace, []time.Duration{h.now, h.now, h.now, h.now, h.now}
		h.engine.decreasePacing(h.engine.endpoints["a"], observation{outcome: Overloaded, sentAt: h.now})
		if scope.pacingRate < test.want*0.99 || scope.pacingRate > test.want*1.01 {
			t.Errorf("a pace of %v becomes %v after a refusal, want %v", test.pace, scope.pacingRate, test.want)
		}
	}
}

// A message that is handed back is not counted as own traffic: its client comes again.
func TestRejectedTrafficDoesNotCount(t *testing.T) {
	settings := testSettings()
	settings.FleetSize, settings.Tenants = 80, []Tenant{{Quota: 80}}
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 8})
	scope := h.engine.endpoints["a"].scope
	before := h.engine.fairPacingRate(scope)
	for id := range uint32(20) {
		h.engine.acceptMessage(&Event{Kind: MessageAccepted, MessageID: id, TimeLeft: time.Minute})
	}
	if kept := h.engine.fairPacingRate(scope); kept <= before {
		t.Errorf("a fair pace of %v with 20 messages more, %v before", kept, before)
	}
	for id := range uint32(20) {
		h.engine.reject(h.engine.messages[id])
	}
	if after := h.engine.fairPacingRate(scope); after != before {
		t.Errorf("a fair pace of %v once they were handed back, %v before", after, before)
	}
}

// Where rates are told a pace comes back to the fair one, not past it by one success that stands for seconds, and stays
// there without a backlog or after a refusal; with a backlog and no refusal for long it grows, to twice the fair one.
// Where none are told it grows.
func TestFleetPacingGrowth(t *testing.T) {
	for _, test := range []struct {
		name                   string
		told, backlog, refused bool
		least, most            float64 // of the fair pace, in the end
	}{
		{"told", true, false, false, 0.99, 1},
		{"told, a backlog", true, true, false, 1.9, 2},
		{"told, a backlog, refused", true, true, true, 0.99, 1.2}, // what it had when its share was greater
		{"not told, a backlog", false, true, false, 3.1, 100},
		{"not told", false, false, false, 0.99, 3},
	} {
		settings := testSettings()
		settings.FleetSize = 80
		if test.told {
			settings.Tenants = []Tenant{{Quota: 80}}
		}
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: 80})
		scope := h.engine.endpoints["a"].scope
		h.accept(0, 0)
		scope.pacingRate /= 2
		got := 0.0
		for id := range uint32(60) { // at the usual rate
			h.now += time.Second
			h.accept(id+1, 0)
			queue := scope.destination.queue
			if scope.destination.queue = nil; test.backlog {
				scope.destination.queue = []*message{{}}
			}
			if test.refused {
				scope.decreasedAt = h.now - 5*time.Second
			}
			below := scope.pacingRate < h.engine.fairPacingRate(scope)
			scope.increasedAt = h.now - maxGrowthSeconds*time.Second // the success stands for as long as one may
			if h.engine.increasePacing(scope); test.told && below && scope.pacingRate > h.engine.fairPacingRate(scope) {
				t.Errorf("%s: one success led from under the fair pace to %v of it", test.name, scope.pacingRate/h.engine.fairPacingRate(scope))
			}
			h.engine.boundPacing(scope, scope.pacingRate)
			got, scope.destination.queue = scope.pacingRate/h.engine.fairPacingRate(scope), queue
		}
		if got < test.least || got > test.most+1e-9 {
			t.Errorf("%s: %v of the fair pace after a minute of successes, want %v to %v", test.name, got, test.least, test.most)
		}
	}
}

// A pace of many that was refused again and again still leaves a call in the time that a message has, or half its part.
func TestFleetPacingKeepsATrialWithinTheDeadline(t *testing.T) {
	for _, test := range []struct{ limit, least, most float64 }{
		{4, 0.019, 0.021}, // a part of a call in 25 s: half of it
		{40, 0.08, 0.09},  // of four in 10 s: one in the twelve seconds of a message
		{400, 0.19, 0.21}, // of four a second: a twentieth of it
	} {
		settings := testSettings()
		settings.FleetSize, settings.Classes = 80, []Class{
			{Effect: IdempotentByKey, Deadline: 12 * time.Second, LatencyObjective: 3 * time.Second, Weight: 1},
		}
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: test.limit})
		ep := h.engine.endpoints["a"]
		h.engine.initializePacing(ep.scope)
		for range 30 {
			h.now += time.Second
			h.engine.now, ep.consecutiveRejections = h.now, ep.consecutiveRejections+1
			h.engine.decreasePacing(ep, observation{outcome: Overloaded, sentAt: h.now})
		}
		if p := ep.scope.pacingRate; p < test.least || p > test.most {
			t.Errorf("limit %v: a pace of %v after 30 refusals, want %v to %v", test.limit, p, test.least, test.most)
		}
	}
}
