package policy

import (
	"testing"
	"time"
)

// Timeouts of calls that later ones overtook once ejected endpoints that lost single calls.
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

// Scattered resets once put healthy endpoints under the recovery budget.
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
