package policy

import (
	"testing"
	"time"
)

// Guards against ejecting an endpoint that loses single calls: a timeout is no evidence if a later call was
// answered.
func TestLostCallIsNoEvidence(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	for range 5 {
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.now - time.Second}, time.Second)
	}
	if ep.ejected || ep.warmingUp || ep.consecutiveFailures != 0 {
		t.Errorf("ejected %v, suspect %v, %d consecutive failures after lost calls",
			ep.ejected, ep.warmingUp, ep.consecutiveFailures)
	}
}

// Guards against scattered resets that put a healthy endpoint under the recovery budget.
func TestResetAtAHealthyEndpointIsNoEvidence(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	h.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: h.now + 1}, ms)
	h.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: h.now + 1}, ms)
	if ep.warmingUp {
		t.Error("suspect after two resets within 3 s of an answer")
	}
	h.engine.now += recentlyHealthyWindow
	for range 3 {
		h.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: h.now + 1}, ms)
	}
	if !ep.ejected {
		t.Error("not ejected after three consecutive resets and no answer for 3 s")
	}
}
