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
	// MaxAge is the age at which a report is dropped: less than a thousandth of its weight is left then.
	MaxAge = 10 * HalfLife
)

// DecayWeight is the weight of a figure at an age: it halves with each HalfLife.
func DecayWeight(age time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / HalfLife.Seconds())
}

// Aggregate sums up what all other members report of one scope, each figure by the weight of its age.
type Aggregate struct {
	ScopeLoad                // RetryAfter: the longest that is left; WarmingUp: that of any
	WarmingUpMembers float64 // the weighted number of members that take it to be warming up
	Members          float64 // the weighted number of members that report of it
}

// AggregateOthers sums up what the other members report of a scope.
func (t *Table) AggregateOthers(now time.Duration, destination policy.DestinationID, endpoint string) Aggregate {
	sum := Aggregate{ScopeLoad: ScopeLoad{Destination: destination, Endpoint: endpoint}}
	key := scopeKey{destination, endpoint}
	backlog := 0.0
	for _, name := range sortedKeys(t.members) { // in one order, so that sums of floats are the same on all relays
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

// add adds all figures but the backlog, which is summed up as a float by the caller.
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
