package policy

import (
	"testing"
	"time"
)

// A sender of hundreds may see one failure of an outage: that is enough to doubt, and one delivery to clear.
func TestSparseShareSuspectsOnOneFailure(t *testing.T) {
	for _, test := range []struct {
		senders int
		cold    bool
	}{{1, false}, {3, false}, {100, true}, {400, true}} {
		settings := testSettings()
		settings.FleetSize = test.senders
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4})
		ep := h.engine.endpoints["a"]
		h.engine.now = h.now
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.now}, time.Second)
		if ep.warmingUp != test.cold {
			t.Errorf("%d senders: in doubt %v after one failure", test.senders, ep.warmingUp)
		}
		h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
		if ep.warmingUp {
			t.Errorf("%d senders: in doubt after a delivery", test.senders)
		}
	}
}

// A shut destination was pushed over by hundreds of senders that it had refused twice each.
func TestSparseShareSuspectsOnTwoRejections(t *testing.T) {
	for _, test := range []struct {
		senders   int
		gap, wait time.Duration
		cold      bool
	}{
		{20, minOutageRejectionTime, 0, true},
		{20, minOutageRejectionTime - ms, 0, false},  // a clump: over by then
		{20, minOutageRejectionTime, 500 * ms, true}, // waits are told by shut destinations too
		{10, minOutageRejectionTime, 0, true},        // its part is more than a call in the span of a fall: a warm-up follows
		{1, minOutageRejectionTime, 0, false},
	} {
		settings := testSettings()
		settings.FleetSize = test.senders
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4})
		ep := h.engine.endpoints["a"]
		h.engine.now = h.now
		h.engine.observeOutcome(ep, observation{outcome: Overloaded, sentAt: h.now, retryAfter: test.wait}, ms)
		h.engine.now += test.gap
		h.engine.observeOutcome(ep, observation{outcome: Overloaded, sentAt: h.engine.now, retryAfter: test.wait}, ms)
		if ep.warmingUp != test.cold {
			t.Errorf("%+v: in doubt %v", test, ep.warmingUp)
		}
	}
}

// Hundreds of senders refused once by a shut destination, or told by one failed connection of a crashed one,
// pushed it over together as it came back. Most of them doubt now; where each sees more of a route, none does yet.
func TestWeakSignalsSuspectByChance(t *testing.T) {
	for _, test := range []struct {
		senders     int
		outcome     Outcome
		alive       bool
		least, most int // in doubt, of 200
	}{
		{400, Overloaded, false, 100, 140},
		{400, ConnectFailed, false, 100, 140},
		{400, Overloaded, true, 0, 0}, // it answered within the last seconds
		{3, Overloaded, false, 0, 0},
		{20, Overloaded, false, 0, 0}, // its part is more than a call in a warm-up
	} {
		settings := testSettings()
		settings.FleetSize = test.senders
		n := 0
		for seed := range uint64(200) {
			engine, err := New(settings, seed)
			if err != nil {
				t.Fatal(err)
			}
			engine.Step(
				time.Minute,
				[]Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: 4, InService: true}}}},
			)
			ep := engine.endpoints["a"]
			engine.connectShortageUntil[0] = engine.now + time.Minute
			if test.alive {
				engine.recordSuccess(ep, engine.now, ms)
			}
			engine.observeOutcome(ep, observation{outcome: test.outcome, sentAt: engine.now}, ms)
			if ep.warmingUp {
				n++
			}
		}
		if n < test.least || n > test.most {
			t.Errorf("%+v: %d of 200 in doubt", test, n)
		}
	}
}

// A replacement listed during an outage was once sent to at full pace.
func TestReplacementInheritsSuspicion(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	for id := range uint32(3) {
		h.accept(id, 0)
		h.finish(id, "a", ConnectFailed, time.Second, 0)
		h.step(Event{Kind: MessageCancelled, MessageID: id})
	}
	h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", Removed: true}, {ID: "n", InService: true}}})
	if h.engine.recoveryBudgetAt(h.engine.endpoints["n"]) == 0 {
		t.Error("the replacement of a failing route is not under the recovery budget")
	}
}

// A told wait that means shut, at one route, puts all routes of its limit in doubt: at its end none of them is free.
func TestOutageSuspectsTheWholeScope(t *testing.T) {
	settings := testSettings()
	settings.WarmUpDuration = 20 * time.Second
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 8}, Endpoint{ID: "b", Weight: 8})
	h.engine.observeOutcome(h.engine.endpoints["a"], observation{outcome: Overloaded, retryAfter: 2 * outageRetryAfter, sentAt: h.engine.now}, 0)
	for _, name := range []string{"a", "b"} {
		if !h.engine.endpoints[name].warmingUp {
			t.Errorf("route %s is not in doubt", name)
		}
	}
}

// One delivery clears the slight doubt of a sender whose part is under a call in a warm-up; of others it begins the
// warm-up.
func TestOneDeliveryClearsWeakSuspicion(t *testing.T) {
	for _, test := range []struct {
		limit float64
		cold  bool
	}{{2, false}, {40, true}} {
		settings := testSettings()
		settings.FleetSize, settings.WarmUpDuration, settings.OverloadWindow = 300, 20*time.Second, 3*time.Second
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: test.limit})
		ep := h.engine.endpoints["a"]
		h.engine.now += time.Minute
		h.engine.observeOutcome(ep, observation{outcome: Error, sentAt: h.engine.now}, 0)
		h.engine.now += time.Second
		if h.engine.recordSuccess(ep, h.engine.now, time.Second); ep.warmingUp != test.cold {
			t.Errorf("limit %v: in doubt after a delivery %v", test.limit, ep.warmingUp)
		}
	}
}
