package policy

import (
	"testing"
	"time"
)

// Time-outs of calls that later ones overtook once skipped routes that lost single calls.
func TestLostCallIsNoEvidence(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	for range 5 {
		h.engine.observeOutcome(ep, observation{outcome: Timeout, sentAt: h.now - time.Second}, time.Second)
	}
	if ep.ejected || ep.warmingUp || ep.consecutiveFailures != 0 {
		t.Errorf("down %v, cold %v, streak %d after lost calls", ep.ejected, ep.warmingUp, ep.consecutiveFailures)
	}
}

// Scattered resets once put living routes under the recovery budget.
func TestResetAtAHealthyEndpointIsNoEvidence(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a"})
	ep := h.engine.endpoints["a"]
	h.engine.now = h.now
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	h.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: h.now + 1}, ms)
	h.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: h.now + 1}, ms)
	if ep.warmingUp {
		t.Error("in doubt after two resets within 3 s of an answer")
	}
	h.engine.now += recentlyHealthyWindow
	for range 3 {
		h.engine.observeOutcome(ep, observation{outcome: Reset, sentAt: h.now + 1}, ms)
	}
	if !ep.ejected {
		t.Error("not skipped after three resets in a row and no answer for 3 s")
	}
}
