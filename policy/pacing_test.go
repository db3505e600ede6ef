package policy

import (
	"math"
	"testing"
	"time"
)

func TestPacingDecreasesIncreasesAndRestarts(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 2})
	for id := range uint32(8) {
		h.accept(id, 0)
	}
	scope := h.engine.endpoints["a"].scope
	if scope.pacingRate != 0 {
		t.Fatalf("the pace starts at %v, want free", scope.pacingRate)
	}
	h.finish(0, "a", Overloaded, 100*ms, 0)
	if scope.pacingRate != 4 {
		t.Errorf("pace %v after a refusal at 8 in the last second, want 4", scope.pacingRate)
	}
	h.finish(1, "a", Overloaded, ms, 0)
	if scope.pacingRate != 4 {
		t.Errorf("pace %v after a refusal of the same burst, want 4", scope.pacingRate)
	}
	h.finish(2, "a", OK, ms, 0)
	if want := 4 * (1 + pacingGrowth); scope.pacingRate != want {
		t.Errorf("pace %v after a delivery, want %v", scope.pacingRate, want)
	}
	for id := uint32(3); id < 6; id++ {
		h.finish(id, "a", Error, ms, 0)
	}
	ep := h.engine.endpoints["a"]
	if !ep.ejected {
		t.Fatal("three failures in a row did not skip the route")
	}
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	if want := pacingRestartRate * (1 + pacingGrowth); ep.ejected || scope.pacingRate != want {
		t.Errorf("pace %v at the end of a skip, want %v", scope.pacingRate, want)
	}
}

// Halving counts of few calls a second again and again starved gates whose limit was known.
func TestPacingKeepsHalfTheEvenShare(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 20})
	ep := h.engine.endpoints["a"]
	for range 5 {
		h.now += time.Second
		h.engine.now = h.now
		h.engine.decreasePacing(ep, observation{outcome: Overloaded, sentAt: h.now})
	}
	if want := 20 * minPacingShareRatio; ep.scope.pacingRate != want {
		t.Errorf("pace %v after five refusals, want %v", ep.scope.pacingRate, want)
	}
}

// At a call in some seconds a pace once recovered thirty times slower than at ten a second.
func TestPacingGrowsWithTimeBetweenSuccesses(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1})
	scope := h.engine.endpoints["a"].scope
	scope.pacingRate, scope.decreasedAt, scope.tokensUpdatedAt = 0.1, h.now, h.now
	h.engine.now = h.now + 4*time.Second
	h.engine.increasePacing(scope)
	if want := 0.1 * math.Pow(1+pacingGrowth, 4); math.Abs(scope.pacingRate-want) > 1e-9 {
		t.Errorf("pace %v after a success in 4 s, want %v", scope.pacingRate, want)
	}
}

func TestCallIntervalIsBounded(t *testing.T) {
	if callInterval(0) != time.Hour || callInterval(1e-9) != time.Hour || callInterval(math.Inf(1)) != 0 || callInterval(4) != 250*ms {
		t.Errorf("spans %v %v %v", callInterval(0), callInterval(1e-9), callInterval(4))
	}
}
