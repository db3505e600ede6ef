package policy

import (
	"math"
	"testing"
	"time"
)

func TestRecoveryBudgetSpacesCalls(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 5})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.suspect(ep)
	ep.scope.recoveryTokens = 0
	// The rate is two thirds of the calls that overload the endpoint at the end of the window, 2*0.36*5*2, less
	// half a call. It is spread over the window and the time after which calls lapse.
	rate := (recoveryPushRatio*2*0.36*5*2 - 0.5) / (2 * (1 + recoveryLapseRatio)) * (1 - ownDeliveryRatio)
	if got, want := h.engine.recoveryBudgetAt(ep), h.now+callInterval(rate); got != want {
		t.Errorf("next call at %v, want %v", got, want)
	}
	ep.recoveredAt, h.engine.now = h.now, h.now+10*time.Second
	if got := h.engine.recoveryBudgetAt(ep); got != 0 || ep.warmingUp {
		t.Errorf("after the warm-up: next call at %v", got)
	}
}

// Guards against relays that all call at the end of a Retry-After, since their recovery budgets filled during it.
func TestRetryAfterSavesNoRecoveryTokens(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 400
	open := 0
	for seed := range uint64(400) {
		engine, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		engine.Step(
			time.Minute,
			[]Event{{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "a", Weight: 400, InService: true}}}},
		)
		ep := engine.endpoints["a"]
		ep.scope.retryAfterUntil = engine.now + 10*time.Second
		obs := observation{outcome: Overloaded, retryAfter: 10 * time.Second, sentAt: engine.now}
		engine.observeOutcome(ep, obs, ms)
		engine.recoveryBudgetAt(ep)
		engine.now = ep.scope.retryAfterUntil
		if engine.recoveryBudgetAt(ep) <= engine.now {
			open++
		}
	}
	if open > 4 {
		t.Errorf("%d of 400 relays call at the end of the Retry-After", open)
	}
}

// Guards against hundreds of relays that save up calls during a long outage and make them together at its end.
func TestDueRecoveryCallsLapse(t *testing.T) {
	settings := testSettings()
	h := newHarness(t, settings, Endpoint{ID: "a", Kind: 1, Weight: 4})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.suspect(ep)
	ep.scope.recoveryTokens = 0
	rate := h.engine.recoveryRate(ep)
	open := 0
	const steps = 10000
	for range steps {
		h.engine.now += 10 * ms
		if h.engine.recoveryBudgetAt(ep) <= h.engine.now {
			open++
		}
	}
	want := rate * recoveryLapseRatio * settings.OverloadWindow.Seconds()
	if got := float64(open) / steps; math.Abs(got-want) > 0.1*want {
		t.Errorf("a call is due %.3f of the time, want %.3f", got, want)
	}
}

// Guards against a warm-up that starts again with each timeout, while the endpoint still answers other calls. This
// happens if calls are lost without a reset of their connections.
func TestTimeoutsBetweenAnswersKeepTheWarmUp(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.suspect(ep)
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	recoveredAt := ep.recoveredAt
	for range 6 {
		h.engine.now += time.Second
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.engine.now - ms}, time.Second)
		h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.engine.now}, ms)
	}
	if recoveredAt == 0 || ep.recoveredAt != recoveredAt || ep.ejected {
		t.Errorf("recovered at %v, then %v, ejected %v", recoveredAt, ep.recoveredAt, ep.ejected)
	}
	h.engine.now += time.Second
	for range 2 {
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.engine.now}, time.Second)
	}
	if ep.recoveredAt != 0 {
		t.Error("two consecutive timeouts did not restart the warm-up")
	}
}

// The answer to a call that was sent before another call failed at once does not start the warm-up. The answer to a
// call sent later does. After a lost call, the answer to any call does.
func TestAnswersToEarlierCallsStartNoWarmUp(t *testing.T) {
	for _, test := range []struct {
		name    string
		outcome Outcome
		sent    time.Duration // of the answered call, relative to the failed calls
		starts  bool
	}{
		{"error", Error, -time.Second, false},
		{"error", Error, time.Second, true},
		{"failed connection", ConnectFailed, -time.Second, false},
		{"lost", Reset, -time.Second, true},
	} {
		h := newHarness(t, testSettings(), Endpoint{ID: "a", Weight: 8})
		ep := h.engine.endpoints["a"]
		failedAt := h.engine.now + time.Minute
		h.engine.now = failedAt
		for range suspectAfterFailures {
			h.engine.observeOutcome(ep, observation{outcome: test.outcome, sentAt: failedAt}, 0)
		}
		h.engine.now += 2 * time.Second
		if !ep.warmingUp {
			t.Fatalf("%s: not suspect", test.name)
		}
		h.engine.recordSuccess(ep, failedAt+test.sent, time.Second)
		if started := ep.recoveredAt > 0; started != test.starts {
			t.Errorf("%s, an answer to a call sent %v after it: warm-up started %v", test.name, test.sent, started)
		}
	}
}
