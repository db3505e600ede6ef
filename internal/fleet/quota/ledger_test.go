package quota

import (
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

// A single member with a backlog is granted all calls of the rate that the fleet lends. When its lease holder stops,
// another one takes over within seconds.
func TestSingleBackloggedMemberUsesAllLentRate(t *testing.T) {
	const (
		limit      = 40.0
		n          = 20
		backlogged = 7
		lentRate   = (1 - ReservedFraction) * limit
	)
	f := newTestFleet(n, n, limit, defects{}, midpoint)
	requested := func(i int) int {
		if i == backlogged {
			return 16
		}
		return 0
	}
	f.run(t, 6*time.Second, requested) // by then no lease of an earlier incarnation is possible any more
	if got := f.run(t, 10*time.Second, requested); got < 0.95*lentRate || got > lentRate+1 {
		t.Errorf("%.1f calls a second were granted, the fleet lends %.1f", got, lentRate)
	}
	f.stop(f.members[backlogged].ledger.Accounts[testScope].LeaseHolder)
	f.run(t, 10*time.Second, requested)
	if got := f.run(t, 10*time.Second, requested); got < 0.9*lentRate {
		t.Errorf(
			"%.1f calls a second were granted after the lease holder had stopped, the fleet lends %.1f",
			got, lentRate,
		)
	}
}

// limitedDestination rejects calls beyond its capacity, by a token bucket.
type limitedDestination struct {
	capacity float64 // calls a second
	tokens   float64
}

func (d *limitedDestination) refill(elapsed time.Duration) {
	d.tokens = min(d.capacity/4, d.tokens+d.capacity*elapsed.Seconds())
}

func (d *limitedDestination) accepts() bool {
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}

// runAgainst steps the fleet on a reliable network for a time, and makes all granted calls to a destination. It returns
// how many calls were delivered per second, and which fraction was rejected.
func (f *testFleet) runAgainst(
	t *testing.T,
	destination *limitedDestination,
	length time.Duration,
) (rate, rejectedRatio float64) {
	t.Helper()
	const interval = 20 * time.Millisecond
	twoCalls := func(int) int { return 2 }
	total, rejected := 0.0, 0.0
	for end := f.now + length; f.now < end; f.now += interval {
		destination.refill(interval)
		f.granted = []float64{0}
		if err := f.step(reliableDelay, twoCalls); err != nil {
			t.Fatal(err)
		}
		for call := range int(f.granted[0]) {
			total++
			accepted := destination.accepts()
			if !accepted {
				rejected++
			}
			f.members[call%len(f.members)].ledger.RecordOutcome(testScope, !accepted)
		}
	}
	return (total - rejected) / length.Seconds(), rejected / max(1, total)
}

// If a destination accepts less than its limit, the granted rate falls within seconds. It rises again once the
// destination accepts more.
func TestCapacityEstimateFollowsDestination(t *testing.T) {
	const (
		limit    = 40.0
		n        = 12
		lentRate = (1 - ReservedFraction) * limit
	)
	f := newTestFleet(n, n, limit, defects{}, midpoint)
	destination := &limitedDestination{capacity: limit}
	f.runAgainst(t, destination, 10*time.Second)
	if rate, rejected := f.runAgainst(t, destination, 10*time.Second); rate < 0.9*lentRate || rejected > 0.02 {
		t.Errorf("at full capacity: %.1f calls a second delivered, fraction %.2f rejected", rate, rejected)
	}

	destination.capacity = limit / 4
	f.runAgainst(t, destination, 8*time.Second)
	rate, rejected := f.runAgainst(t, destination, 20*time.Second)
	t.Logf(
		"capacity %.0f: %.1f calls a second delivered, fraction %.2f rejected",
		destination.capacity, rate, rejected,
	)
	if rate < 0.6*destination.capacity || rejected > 0.2 {
		t.Errorf(
			"capacity lowered to %.0f: %.1f calls a second delivered, fraction %.2f rejected",
			destination.capacity, rate, rejected,
		)
	}

	destination.capacity = limit
	f.runAgainst(t, destination, 40*time.Second)
	if rate, rejected := f.runAgainst(t, destination, 10*time.Second); rate < 0.85*lentRate || rejected > 0.1 {
		t.Errorf("capacity raised again: %.1f calls a second delivered, fraction %.2f rejected", rate, rejected)
	}
}

// If there are more limits than a ledger has accounts for, ledgers with equal limits create accounts for the same
// scopes, although maps are iterated in random order.
func TestScopeSelectionIsDeterministic(t *testing.T) {
	limits := loadreport.Limits{}
	for destination := range policy.DestinationID(maxScopes + 100) {
		limits[destination] = map[string]float64{"": 10, "a": 5, "b": 5}
	}
	var first map[Scope]*Account
	for range 3 {
		ledger := New(0, Settings{})
		ledger.SetLimits(time.Second, limits)
		if len(ledger.Accounts) != maxScopes {
			t.Fatalf("%d accounts, want %d", len(ledger.Accounts), maxScopes)
		}
		if first == nil {
			first = ledger.Accounts
		}
		for scope := range ledger.Accounts {
			if first[scope] == nil {
				t.Fatalf("scope %v has an account in only one of two ledgers with equal limits", scope)
			}
		}
	}
}
