package quota

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// A destination may accept fewer calls than its limit allows. From the outcomes of calls that all members report, a
// lease holder estimates the fraction of the limit that the destination accepts, and grants no more than that fraction.
// Like the congestion window of a single sender, the estimate decreases by a factor when calls are rejected and grows
// while few are.
const (
	// estimateInterval is the least time between two estimates.
	estimateInterval = 500 * time.Millisecond
	// minOutcomes is the number of outcomes from which on an estimate is made.
	minOutcomes = 8
	// sparseEstimateInterval is the time after which fewer than minOutcomes outcomes, even none, suffice to let the
	// estimate grow if no call was rejected.
	sparseEstimateInterval = 2 * time.Second
	// ignoreAfterDecrease is how long outcomes are ignored after a decrease, because their calls were made before it.
	ignoreAfterDecrease = 800 * time.Millisecond
	// maxRejectedRatio is the fraction of calls that may be rejected without a decrease.
	maxRejectedRatio = 0.12
	// decreaseGain is the relative decrease of the estimate, as a multiple of the fraction of calls that was rejected.
	decreaseGain = 1.2
	// minDecreaseFactor is the least factor by which one decrease multiplies the estimate.
	minDecreaseFactor = 0.25
	// minCapacityFraction is the least estimate, so that some calls still show whether the destination recovers.
	minCapacityFraction = 0.08
	// episodeWindow is the time after IgnoreOutcomesUntil in which another decrease belongs to the same drop of
	// capacity. Only the first decrease of a drop sets LastRejectedFraction, because it measures the capacity best.
	episodeWindow = 3 * time.Second

	// While few calls are rejected, the estimate grows by these fractions of itself per second. It grows fast until
	// it is near LastRejectedFraction, slowly around that value, and fast again above it, because the destination's
	// capacity must have increased by then.
	fastGrowthRate = 0.35
	slowGrowthRate = 0.08
	// slowGrowthFrom and slowGrowthTo bound the range of slow growth, as multiples of LastRejectedFraction.
	slowGrowthFrom = 0.85
	slowGrowthTo   = 1.1
)

// outcomeCount holds how many calls one incarnation of a member has made in total, by outcome.
type outcomeCount struct {
	loadreport.Incarnation
	Delivered uint32 `cbor:"Done"`
	Rejected  uint32 `cbor:"Refused"`
}

// outcomeSum holds the number of outcomes of all members together.
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

// recordOwnOutcomes adds this member's own outcomes to the account's sums, for the case that this member is the lease
// holder itself.
func (l *Ledger) recordOwnOutcomes(account *Account) {
	own := outcomeCount{l.Settings.Incarnation, account.Delivered, account.Rejected}
	account.recordMemberOutcomes(l.Now, l.Settings.Self, own)
}

// recordMemberOutcomes stores the counts that a member reports, and adds their increase since its last report to the
// account's sums. The first counts of an incarnation are only a baseline, since the time of their calls is unknown.
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

// estimateCapacity lowers the capacity estimate in proportion to the fraction of calls that was rejected, or lets it
// grow if few were rejected. All calls that were in flight at the time of a decrease cause only that one decrease.
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

// estimateDue reports whether there are enough outcomes for a new estimate.
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

// growCapacity lets the estimate grow for the time since the last refill, but for one second at most.
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
