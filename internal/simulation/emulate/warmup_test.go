package emulate

import (
	"flag"
	"testing"
	"time"
)

var warmUpCaseCount = flag.Uint64("cold", 0,
	"number of random recoveries of a destination to play with each fleet size, including 100 and 300 relays")

// TestRecoveringDestinationIsNotOverloaded: a destination has an outage of any kind and then warms up. In each window
// of the warm-up, the calls of relays that knew of the outage stay within the bound of the destination. Limits,
// demands, warm-ups, windows, restarts, replaced endpoints and weights are drawn at random, for fleets of all sizes.
// Calls of relays that never noticed the outage are only logged: relays share no information in this test, so these
// relays cannot know of the outage.
func TestRecoveringDestinationIsNotOverloaded(t *testing.T) {
	sizes, cases := []int{1, 2, 6, 7, 20, 30}, uint64(12)
	if *warmUpCaseCount > 0 {
		sizes, cases = append(sizes, 100, 300), *warmUpCaseCount
	}
	for _, relays := range sizes {
		worst, exceeded := warmUpCalls{}, 0
		for seed := range cases {
			c := drawWarmUpCase(relays, seed)
			calls := c.play(t, nil)
			worst = worse(worst, calls)
			if calls.exceeded {
				exceeded++
			}
			if !calls.kept() {
				t.Errorf("%.2f of the bound, %.2f by informed relays, at worst %v after the recovery: %v",
					calls.byAll, calls.byInformed, calls.worstAt, c)
			}
		}
		t.Logf("%d relays, seeds 0 to %d: at most %.2f of the bound, %.2f by informed relays; "+
			"%d of %d cases exceed the bound with the calls of all relays; %d calls",
			relays, cases-1, worst.byAll, worst.byInformed, exceeded, cases, worst.calls)
		if worst.calls == 0 {
			t.Errorf("%d relays: no call in any warm-up", relays)
		}
	}
}

// TestRecoveriesThatOverloadedBefore plays cases that exceeded the bound before. Their causes were:
//   - wait: the end of a Retry-After made one endpoint of a limit suspect, and the other endpoints received all
//     calls.
//   - answer: an answer to a call from before the outage began the warm-up at the start of the outage.
//   - delivery: one delivery cleared the suspicion of relays that had one failure, long before the destination was
//     warm.
func TestRecoveriesThatOverloadedBefore(t *testing.T) {
	for _, past := range []struct {
		cause  string
		relays int
		seed   uint64
	}{
		{"wait", 20, 56},
		{"wait", 6, 41},
		{"answer", 7, 33},
		{"delivery", 30, 329},
	} {
		c := drawWarmUpCase(past.relays, past.seed)
		if calls := c.play(t, nil); !calls.kept() {
			t.Errorf("%s: %.2f of the bound, %.2f by informed relays: %v",
				past.cause, calls.byAll, calls.byInformed, c)
		}
	}
}

// TestMutantsOverloadRecoveringDestination: relays with a wrong budget exceed the bound in demanding cases, in which
// correct relays keep it. The service has a limit of 80 calls a second, begins its warm-up of 30 s with a tenth of
// its capacity, and has a demand of 1.5 times its limit.
func TestMutantsOverloadRecoveringDestination(t *testing.T) {
	const cases = 3
	names := []string{"", "no-recovery-budget", "warm-at-once", "budget-three-times", "budget-for-itself"}
	for _, relays := range []int{2, 7, 30} {
		for _, name := range names {
			if name == "budget-for-itself" && relays == 2 {
				continue // two relays with two thirds of N each are within the bound
			}
			exceeded := 0
			for seed := range uint64(cases) {
				c := drawWarmUpCase(relays, seed)
				c.rate = 80
				c.demandRatio = 1.5
				c.initialCapacity = 0.1
				c.overloadFactor = 1
				c.warmUp = 30 * time.Second
				c.window = 3 * time.Second
				if c.weights == unknownWeights {
					c.weights = exactWeights
				}
				if !c.play(t, FindMutant(name)).kept() {
					exceeded++
				}
			}
			t.Logf("%q, %d relays: the bound is exceeded in %d cases of %d", name, relays, exceeded, cases)
			if (exceeded > 0) != (name != "") {
				t.Errorf("%q, %d relays: the bound is exceeded in %d cases of %d", name, relays, exceeded, cases)
			}
		}
	}
}
