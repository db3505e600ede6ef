package policy

import (
	"testing"
	"time"
)

// In a fleet of hundreds of relays, a relay may see only a single failure of an outage. This is enough to make the
// endpoint suspect, and one delivery clears the suspicion.
func TestSparseShareSuspectsOnOneFailure(t *testing.T) {
	for _, test := range []struct {
		relays  int
		suspect bool
	}{{1, false}, {3, false}, {100, true}, {400, true}} {
		settings := testSettings()
		settings.FleetSize = test.relays
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4})
		ep := h.engine.endpoints["a"]
		h.engine.now = h.now
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.now}, time.Second)
		if ep.warmingUp != test.suspect {
			t.Errorf("%d relays: suspect %v after one failure", test.relays, ep.warmingUp)
		}
		h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
		if ep.warmingUp {
			t.Errorf("%d relays: suspect after a delivery", test.relays)
		}
	}
}

// Guards against relays that together overload a destination after it rejected two calls of each relay in an
// outage.
func TestSparseShareSuspectsOnTwoRejections(t *testing.T) {
	for _, test := range []struct {
		relays    int
		gap, wait time.Duration
		suspect   bool
	}{
		{20, minOutageRejectionTime, 0, true},
		{20, minOutageRejectionTime - ms, 0, false},  // too close together: a burst of calls
		{20, minOutageRejectionTime, 500 * ms, true}, // outages send a Retry-After too
		{10, minOutageRejectionTime, 0, true},        // share above a call in an overload window: a warm-up follows
		{1, minOutageRejectionTime, 0, false},
	} {
		settings := testSettings()
		settings.FleetSize = test.relays
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: 4})
		ep := h.engine.endpoints["a"]
		h.engine.now = h.now
		h.engine.observeOutcome(ep, observation{outcome: Overloaded, sentAt: h.now, retryAfter: test.wait}, ms)
		h.engine.now += test.gap
		h.engine.observeOutcome(ep, observation{outcome: Overloaded, sentAt: h.engine.now, retryAfter: test.wait}, ms)
		if ep.warmingUp != test.suspect {
			t.Errorf("%+v: suspect %v", test, ep.warmingUp)
		}
	}
}

// Guards against hundreds of relays that together overload a destination when it recovers, after one rejection each
// in an outage or one failed connection each in a crash. Most of them must suspect the endpoint. In smaller fleets,
// where each relay makes more calls to an endpoint, no relay may suspect it yet.
func TestWeakSignalsSuspectByChance(t *testing.T) {
	for _, test := range []struct {
		relays      int
		outcome     Outcome
		healthy     bool
		least, most int // relays that suspect the endpoint, of 200
	}{
		{400, Overloaded, false, 100, 140},
		{400, ConnectFailed, false, 100, 140},
		{400, Overloaded, true, 0, 0}, // the endpoint has delivered recently
		{3, Overloaded, false, 0, 0},
		{20, Overloaded, false, 0, 0}, // each share is more than a call in a warm-up
	} {
		settings := testSettings()
		settings.FleetSize = test.relays
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
			if test.healthy {
				engine.recordSuccess(ep, engine.now, ms)
			}
			engine.observeOutcome(ep, observation{outcome: test.outcome, sentAt: engine.now}, ms)
			if ep.warmingUp {
				n++
			}
		}
		if n < test.least || n > test.most {
			t.Errorf("%+v: %d of 200 suspect", test, n)
		}
	}
}

// Guards against calls at the full rate to a replacement endpoint that is listed during an outage.
func TestReplacementInheritsSuspicion(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	for id := range MessageID(3) {
		h.accept(id, 0)
		h.finish(id, "a", ConnectFailed, time.Second, 0)
		h.step(Event{Kind: MessageCancelled, MessageID: id})
	}
	h.step(Event{Kind: EndpointDelta, Endpoints: []Endpoint{{ID: "a", Removed: true}, {ID: "n", InService: true}}})
	if h.engine.recoveryBudgetAt(h.engine.endpoints["n"]) == 0 {
		t.Error("the replacement of a failing endpoint is not under the recovery budget")
	}
}

// A Retry-After of one endpoint that indicates an outage makes all endpoints of its scope suspect. When it ends,
// all of them take calls from the recovery budget only.
func TestOutageSuspectsTheWholeScope(t *testing.T) {
	settings := testSettings()
	settings.WarmUpDuration = 20 * time.Second
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 8}, Endpoint{ID: "b", Weight: 8})
	obs := observation{outcome: Overloaded, retryAfter: 2 * outageRetryAfter, sentAt: h.engine.now}
	h.engine.observeOutcome(h.engine.endpoints["a"], obs, 0)
	for _, name := range []string{"a", "b"} {
		if !h.engine.endpoints[name].warmingUp {
			t.Errorf("endpoint %s is not suspect", name)
		}
	}
}

// One delivery clears the weak suspicion of a relay whose share is less than one call in a warm-up. At other
// relays, it starts the warm-up.
func TestOneDeliveryClearsWeakSuspicion(t *testing.T) {
	for _, test := range []struct {
		limit   float64
		suspect bool
	}{{2, false}, {40, true}} {
		settings := testSettings()
		settings.FleetSize, settings.WarmUpDuration, settings.OverloadWindow = 300, 20*time.Second, 3*time.Second
		h := newHarness(t, settings, Endpoint{ID: "a", Weight: test.limit})
		ep := h.engine.endpoints["a"]
		h.engine.now += time.Minute
		h.engine.observeOutcome(ep, observation{outcome: Error, sentAt: h.engine.now}, 0)
		h.engine.now += time.Second
		if h.engine.recordSuccess(ep, h.engine.now, time.Second); ep.warmingUp != test.suspect {
			t.Errorf("limit %v: suspect after a delivery %v", test.limit, ep.warmingUp)
		}
	}
}
