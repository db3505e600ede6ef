package upstream

import (
	"math"
	"testing"
	"time"
)

// The service recovers with a capacity of 4 calls a second, a fifth of 20. Calls at more than twice that rate over 3 s
// overload it, and it stays out of service.
func TestOverloadWhileWarmingUp(t *testing.T) {
	service := newTestService(testSpec())
	service.Recover(0)
	budget := OverloadBudget(2, 4, 3*time.Second) // at the time of recovery; it grows with the capacity
	admitted := 0
	for admitted < 100 && !service.HandleCall(0, "a", 1).CausedOverload {
		admitted++
	}
	if admitted != int(budget) {
		t.Errorf("overloaded by call %d, the budget is %.2f calls", admitted+1, budget)
	}
	if r := service.HandleCall(time.Hour, "a", 1); r.Result != Unanswered || !service.Overloaded() {
		t.Errorf("an hour later: %+v", r)
	}
}

func TestNoOverloadBelowTheFactor(t *testing.T) {
	service := newTestService(testSpec())
	service.Recover(0)
	const interval = 140 * time.Millisecond // 7.1 calls a second, less than twice 4
	for at := time.Duration(0); at < 20*time.Second; at += interval {
		if service.HandleCall(at, "a", 1).CausedOverload {
			t.Fatalf("overloaded at %v", at)
		}
	}
}

func TestCapacityRisesLinearly(t *testing.T) {
	warmUp := WarmUp{StartedAt: 10 * time.Second, FullCapacity: 20, InitialCapacity: 0.2, Duration: 10 * time.Second}
	for at, want := range map[time.Duration]float64{
		9 * time.Second:  0,
		10 * time.Second: 4,
		15 * time.Second: 12,
		20 * time.Second: 20,
		time.Hour:        20,
	} {
		if got := warmUp.CapacityAt(at); math.Abs(got-want) > 1e-9 {
			t.Errorf("at %v: %v, want %v", at, got, want)
		}
	}
}
