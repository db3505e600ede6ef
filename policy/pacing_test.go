package policy

import (
	"math"
	"testing"
	"time"
)

func TestPacingDecreasesIncreasesAndRestarts(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 2})
	for id := range MessageID(8) {
		h.accept(id, 0)
	}
	scope := h.engine.endpoints["a"].scope
	if scope.pacingRate != 0 {
		t.Fatalf("the pacing rate starts at %v, want none", scope.pacingRate)
	}
	h.finish(0, "a", Overloaded, 100*ms, 0)
	if scope.pacingRate != 4 {
		t.Errorf("pacing rate %v after a rejection at 8 in the last second, want 4", scope.pacingRate)
	}
	h.finish(1, "a", Overloaded, ms, 0)
	if scope.pacingRate != 4 {
		t.Errorf("pacing rate %v after a rejection of the same burst, want 4", scope.pacingRate)
	}
	h.finish(2, "a", OK, ms, 0)
	if want := 4 * (1 + pacingGrowth); scope.pacingRate != want {
		t.Errorf("pacing rate %v after a delivery, want %v", scope.pacingRate, want)
	}
	for id := MessageID(3); id < 6; id++ {
		h.finish(id, "a", Error, ms, 0)
	}
	ep := h.engine.endpoints["a"]
	if !ep.ejected {
		t.Fatal("three consecutive failures did not eject the endpoint")
	}
	h.engine.observeOutcome(ep, observation{outcome: OK, sentAt: h.now}, ms)
	if want := pacingRestartRate * (1 + pacingGrowth); ep.ejected || scope.pacingRate != want {
		t.Errorf("pacing rate %v at the end of an ejection, want %v", scope.pacingRate, want)
	}
}

// Guards against starving a scope with a known limit by repeated decreases, each based on a count of few calls a
// second.
func TestPacingKeepsHalfTheEvenShare(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1, Weight: 20})
	ep := h.engine.endpoints["a"]
	for range 5 {
		h.now += time.Second
		h.engine.now = h.now
		h.engine.decreasePacing(ep, observation{outcome: Overloaded, sentAt: h.now})
	}
	if want := 20 * minPacingShareRatio; ep.scope.pacingRate != want {
		t.Errorf("pacing rate %v after five rejections, want %v", ep.scope.pacingRate, want)
	}
}

// Guards against slow growth where calls are rare. If each success counted the same, a pacing rate would grow
// thirty times slower with one call in several seconds than with ten calls a second.
func TestPacingGrowsWithTimeBetweenSuccesses(t *testing.T) {
	h := newHarness(t, testSettings(), Endpoint{ID: "a", Kind: 1})
	scope := h.engine.endpoints["a"].scope
	scope.pacingRate, scope.decreasedAt, scope.tokensUpdatedAt = 0.1, h.now, h.now
	h.engine.now = h.now + 4*time.Second
	h.engine.increasePacing(scope)
	if want := 0.1 * math.Pow(1+pacingGrowth, 4); math.Abs(scope.pacingRate-want) > 1e-9 {
		t.Errorf("pacing rate %v after a success in 4 s, want %v", scope.pacingRate, want)
	}
}

func TestCallIntervalIsBounded(t *testing.T) {
	for _, test := range []struct {
		rate float64
		want time.Duration
	}{{0, time.Hour}, {1e-9, time.Hour}, {math.Inf(1), 0}, {4, 250 * ms}} {
		if got := callInterval(test.rate); got != test.want {
			t.Errorf("%v calls a second: interval %v, want %v", test.rate, got, test.want)
		}
	}
}
