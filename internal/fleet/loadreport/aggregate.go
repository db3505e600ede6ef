package loadreport

import (
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// HalfLife is the time in which a report loses half of its weight.
	HalfLife = 5 * time.Second
	// MaxAge is the age after which a report is dropped. Less than a thousandth of its weight is left then.
	MaxAge = 10 * HalfLife
)

// DecayWeight returns the weight of a report of the given age: 1 at age 0, halved with each HalfLife.
func DecayWeight(age time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / HalfLife.Seconds())
}

// Aggregate combines the loads that all other members report for one scope.
type Aggregate struct {
	// The rates and the backlog are sums, in which each member's load is weighted by the age of its report. RetryAfter
	// is the longest remaining time of any member. WarmingUp is set if any member reports it.
	ScopeLoad
	WarmingUpMembers float64 // weighted number of members that report the scope as warming up
	Members          float64 // weighted number of members that report the scope
}

// AggregateOthers aggregates the loads that all members but the table's own report for a scope.
func (t *Table) AggregateOthers(now time.Duration, destination policy.DestinationID, endpoint string) Aggregate {
	sum := Aggregate{ScopeLoad: ScopeLoad{Destination: destination, Endpoint: endpoint}}
	key := scopeKey{destination, endpoint}
	backlog := 0.0
	for _, name := range sortedKeys(t.members) { // sorted, so that sums of floats are the same on all relays
		stored, ok := t.members[name].reports[ReportNumber(destination)]
		if name == t.self || !ok || stored.expired(now) {
			continue
		}
		i, ok := slices.BinarySearchFunc(stored.scopes, key, func(load ScopeLoad, key scopeKey) int {
			return load.key().compare(key)
		})
		if !ok {
			continue
		}
		load, age := &stored.scopes[i], now-stored.publishedAt
		weight := DecayWeight(age)
		sum.add(load, age, weight)
		backlog += weight * float64(load.Backlog)
	}
	sum.Backlog = int(math.Round(backlog))
	return sum
}

// add adds all fields of a load but the backlog, which the caller sums as a float and rounds.
func (a *Aggregate) add(load *ScopeLoad, age time.Duration, weight float64) {
	a.Members += weight
	a.Demand += weight * load.Demand
	a.Calls += weight * load.Calls
	a.Rejections += weight * load.Rejections
	a.Deliveries += weight * load.Deliveries
	a.Failures += weight * load.Failures
	a.RetryAfter = max(a.RetryAfter, load.RetryAfter-max(0, age))
	if load.WarmingUp {
		a.WarmingUp = true
		a.WarmingUpMembers += weight
	}
}
