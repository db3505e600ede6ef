package quota

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// A destination may take less than its limit says. A lease holder estimates the fraction that it takes from the
// outcomes of calls, which all members report, and grants no more than that. Like the congestion window of a single
// sender, the estimate decreases by a factor when calls are rejected and grows while few are.
const (
	// estimateInterval is the least time between two estimates.
	estimateInterval = 500 * time.Millisecond
	// minOutcomes is how many outcomes an estimate needs.
	minOutcomes = 8
	// sparseEstimateInterval is the time after which fewer outcomes suffice to let the estimate grow, if none of them
	// was rejected.
	sparseEstimateInterval = 2 * time.Second
	// ignoreAfterDecrease is how long outcomes are ignored after a decrease: those calls were made before it.
	ignoreAfterDecrease = 800 * time.Millisecond
	// maxRejectedRatio is the part of calls that may be rejected without a decrease.
	maxRejectedRatio = 0.12
	// decreaseGain is the decrease, as a multiple of the part of calls that was rejected.
	decreaseGain = 1.2
	// minDecreaseFactor bounds one decrease: at least this part is left.
	minDecreaseFactor = 0.25
	// minCapacityFraction bounds all decreases together: some calls still show whether the destination recovers.
	minCapacityFraction = 0.08
	// episodeWindow is the time after IgnoreOutcomesUntil in which another decrease belongs to the same drop of
	// capacity. What the first decrease of an episode finds is the nearest to the capacity.
	episodeWindow = 3 * time.Second

	// While few calls are rejected the estimate grows by these parts of itself a second: fast up to near what was
	// rejected last, slowly past it, and fast again beyond that, since the capacity is another one then.
	fastGrowthRate = 0.35
	slowGrowthRate = 0.08
	// slowGrowthFrom and slowGrowthTo bound the slow range, as multiples of LastRejectedFraction.
	slowGrowthFrom = 0.85
	slowGrowthTo   = 1.1
)

// outcomeCount is how many calls of a member's incarnation were delivered and rejected, in all.
type outcomeCount struct {
	loadreport.Incarnation
	Delivered uint32 `cbor:"Done"`
	Rejected  uint32 `cbor:"Refused"`
}

// outcomeSum adds up outcomes of all members.
type outcomeSum struct {
	_         struct{} `cbor:",toarray"`
	Delivered float64
	Rejected  float64
}

func (s outcomeSum) total() float64 { return s.Delivered + s.Rejected }

// RecordOutcome records that a call of this member was delivered or rejected.
func (l *Ledger) RecordOutcome(scope Scope, rejected bool) {
	account := l.Accounts[scope]
	if account == nil {
		return
	}
	if rejected {
		account.Rejected++
		return
	}
	account.Delivered++
}

// recordOwnOutcomes records this member's outcomes where it is itself the lease holder.
func (l *Ledger) recordOwnOutcomes(account *Account) {
	own := outcomeCount{l.Settings.Incarnation, account.Delivered, account.Rejected}
	account.recordMemberOutcomes(l.Now, l.Settings.Self, own)
}

// recordMemberOutcomes takes a member's counts, and adds what is new of them to the account's sums. The first counts of
// an incarnation are only a start: what happened before them is unknown.
func (a *Account) recordMemberOutcomes(now time.Duration, member string, reported outcomeCount) {
	last, known := a.MemberOutcomes[member]
	incarnation := reported.Incarnation
	if !known || incarnation.Compare(last.Incarnation) > 0 {
		a.MemberOutcomes[member] = reported
		return
	}
	outdated := reported.Delivered < last.Delivered || reported.Rejected < last.Rejected
	if incarnation != last.Incarnation || outdated {
		return
	}
	a.MemberOutcomes[member] = reported
	if now >= a.IgnoreOutcomesUntil {
		a.Outcomes.Delivered += float64(reported.Delivered - last.Delivered)
		a.Outcomes.Rejected += float64(reported.Rejected - last.Rejected)
	}
}

// estimateCapacity lowers the estimate of the capacity by the part of calls that was rejected, once for all calls that
// were under way together, and lets it grow where few were.
func (a *Account) estimateCapacity(now time.Duration) {
	if !a.estimateDue(now) {
		return
	}
	rejectedRatio := a.Outcomes.Rejected / max(1, a.Outcomes.total())
	a.EstimatedAt = now
	a.Outcomes = outcomeSum{}
	a.Growing = rejectedRatio <= maxRejectedRatio
	if a.Growing {
		return
	}
	if now >= a.IgnoreOutcomesUntil+episodeWindow {
		a.LastRejectedFraction = a.CapacityFraction * (1 - rejectedRatio)
	}
	a.IgnoreOutcomesUntil = now + ignoreAfterDecrease
	factor := max(minDecreaseFactor, 1-decreaseGain*rejectedRatio)
	a.CapacityFraction = max(minCapacityFraction, a.CapacityFraction*factor)
	a.Tokens = min(a.Tokens, 1)
}

// estimateDue reports whether there are outcomes enough for a new estimate.
func (a *Account) estimateDue(now time.Duration) bool {
	elapsed := now - a.EstimatedAt
	if elapsed < estimateInterval {
		return false
	}
	if a.Outcomes.total() >= minOutcomes {
		return true
	}
	return a.Outcomes.Rejected <= 0 && elapsed >= sparseEstimateInterval
}

// growCapacity lets the estimate grow for the time since the last refill, and for a second at most.
func (a *Account) growCapacity(elapsed time.Duration) {
	rate := 0.0
	if a.Growing {
		rate = fastGrowthRate
		if a.CapacityFraction > slowGrowthFrom*a.LastRejectedFraction &&
			a.CapacityFraction < slowGrowthTo*a.LastRejectedFraction {
			rate = slowGrowthRate
		}
	}
	a.CapacityFraction = min(1, a.CapacityFraction*(1+rate*min(1, elapsed.Seconds())))
}
