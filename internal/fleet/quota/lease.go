package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

const (
	// LeaseDuration is how long a lease lasts.
	LeaseDuration = 2 * time.Second
	// LeaseMargin is added to the time for which a lender does not use what it lent, on top of the lease's duration and
	// the clock drift (loadreport.MaxClockDrift). It covers steps that run slightly late.
	LeaseMargin = 150 * time.Millisecond
	// ReservedFraction is the fraction of its even share that a member never lends.
	ReservedFraction = 0.2

	lendableFraction = 1 - ReservedFraction

	// renewInterval is the time between renewals of a lease, which is renewed several times before it expires.
	renewInterval = 600 * time.Millisecond
	// resendInterval is how long a lease or a request may stay unacknowledged before it is sent again.
	resendInterval = 300 * time.Millisecond
	// startupWindow is the time after the start in which leases are renewed every resendInterval. The member has not
	// yet received messages from all others then, so that its choice of lease holders still changes.
	startupWindow = 4 * time.Second
)

// lentLease is the lender's record of a lease.
type lentLease struct {
	Holder string  `cbor:"To"`
	Rate   float64 `cbor:"Rate"`
	// ReservedUntil is when the lender may use the rate itself again.
	ReservedUntil time.Duration `cbor:"Until"`
}

// heldLease is the holder's record of a lease.
type heldLease struct {
	Lender string `cbor:"From"`
	loadreport.Incarnation
	Rate      float64       `cbor:"Rate"`
	ExpiresAt time.Duration `cbor:"Until"`
}

// reservationTime is how long a lender does not use a rate after it has lent it.
func (l *Ledger) reservationTime() time.Duration {
	drift := 2 * loadreport.MaxClockDrift
	return time.Duration(float64(l.Settings.LeaseDuration)*(1+drift)) + l.Settings.LeaseMargin
}

// evenShare is the rate that each member would have if nothing were lent.
func (l *Ledger) evenShare(account *Account) float64 {
	return account.Limit / float64(max(1, l.Settings.FleetSize))
}

// ownRate is the part of its even share that this member may use without a grant.
func (l *Ledger) ownRate(account *Account) float64 {
	return max(0, l.evenShare(account)-l.lentRate(account))
}

// lentRate is the part of this member's even share that other members may still use.
func (l *Ledger) lentRate(account *Account) float64 {
	rate := 0.0
	if l.earlierLeasesPossible() {
		rate = lendableFraction * l.evenShare(account) // an earlier incarnation may have lent all that is lendable
	}
	return rate + account.outstandingRate(l.Now)
}

// outstandingRate is the rate that is lent to members other than the excepted ones. Of several leases to one holder,
// only the one with the greatest rate counts, until the lender may use that rate again.
func (a *Account) outstandingRate(now time.Duration, except ...string) (sum float64) {
	rates := map[string]float64{}
	for _, lease := range a.LentLeases {
		if now < lease.ReservedUntil && !slices.Contains(except, lease.Holder) {
			rates[lease.Holder] = max(rates[lease.Holder], lease.Rate)
		}
	}
	for _, holder := range slices.Sorted(maps.Keys(rates)) { // sorted, so that the floating-point sum is deterministic
		sum += rates[holder]
	}
	return sum
}

// renewLeases chooses the lease holder of each scope anew and renews the lease to it.
func (l *Ledger) renewLeases(scopes []Scope) {
	interval := renewInterval
	if l.Now < l.StartedAt+startupWindow {
		interval = resendInterval
	}
	l.RenewAt = l.Now + interval
	for _, scope := range scopes {
		account := l.Accounts[scope]
		account.LeaseHolder = l.leaseHolder(scope)
		l.renewLease(scope, account)
	}
}

// resendLeases renews the leases of members that have not acknowledged them within resendInterval.
func (l *Ledger) resendLeases(scopes []Scope) {
	for _, member := range slices.Sorted(maps.Keys(l.Peers)) {
		p := l.Peers[member]
		if p.LeasesAcked || l.Now < p.LeasesSentAt+resendInterval || l.Now >= p.LeasesSentAt+renewInterval {
			continue
		}
		for _, scope := range scopes {
			if account := l.Accounts[scope]; account.LeaseHolder == member {
				l.renewLease(scope, account)
			}
		}
	}
}

// renewLease lends the available rate of a scope to its lease holder, and reports this member's outcomes to it.
func (l *Ledger) renewLease(scope Scope, account *Account) {
	if account.Limit <= 0 {
		return
	}
	rate := l.availableRate(account)
	l.recordLentLease(account, rate)
	l.refill(account)
	if account.LeaseHolder == l.Settings.Self {
		l.recordOwnOutcomes(account)
		if rate > 0 {
			account.addHeldLease(heldLease{
				Lender:      l.Settings.Self,
				Incarnation: l.Settings.Incarnation,
				Rate:        rate,
				ExpiresAt:   l.Now + l.Settings.LeaseDuration,
			}, l.Now)
		}
		return
	}
	// A lease from this member to itself ends at once when another member becomes lease holder.
	account.HeldLeases = slices.DeleteFunc(account.HeldLeases, func(lease heldLease) bool {
		return lease.Lender == l.Settings.Self
	})
	m := l.messageTo(account.LeaseHolder)
	m.Leases = append(m.Leases, Lease{
		Scope:     scope,
		Rate:      rate,
		Delivered: account.Delivered,
		Rejected:  account.Rejected,
	})
}

// availableRate is the part of the lendable rate that is not lent to members other than the lease holder.
func (l *Ledger) availableRate(account *Account) float64 {
	if l.earlierLeasesPossible() {
		return 0
	}
	lentToOthers := account.outstandingRate(l.Now, account.LeaseHolder, l.Settings.Self)
	return max(0, lendableFraction*l.evenShare(account)-lentToOthers)
}

// recordLentLease records that a rate is lent to the lease holder now.
func (l *Ledger) recordLentLease(account *Account, rate float64) {
	if account.LeaseHolder != l.Settings.Self { // a lease from this member to itself ends at once
		account.LentLeases = slices.DeleteFunc(account.LentLeases, func(lease lentLease) bool {
			return lease.Holder == l.Settings.Self
		})
	}
	if rate <= 0 {
		return
	}
	// An earlier lease with a greater rate stays, since the holder may still use that rate (see outstandingRate).
	account.LentLeases = slices.DeleteFunc(account.LentLeases, func(lease lentLease) bool {
		return lease.Holder == account.LeaseHolder && lease.Rate <= rate
	})
	account.LentLeases = append(account.LentLeases, lentLease{
		Holder:        account.LeaseHolder,
		Rate:          rate,
		ReservedUntil: l.Now + l.reservationTime(),
	})
}

// receiveLease processes a received lease and the outcomes that are reported with it.
func (l *Ledger) receiveLease(m Message, lease Lease) {
	account := l.Accounts[lease.Scope]
	if account == nil || !(lease.Rate >= 0) { // an unknown scope, or a rate that is negative or not a number
		return
	}
	l.refill(account)
	account.recordMemberOutcomes(l.Now, m.Member, outcomeCount{m.Incarnation, lease.Delivered, lease.Rejected})
	account.addHeldLease(heldLease{
		Lender:      m.Member,
		Incarnation: m.Incarnation,
		// No member can lend more than the lendable part of its even share.
		Rate: min(lease.Rate, lendableFraction*l.evenShare(account)),
		// Counted from the earliest time at which the message can have been sent.
		ExpiresAt: l.Now - m.TransitTime + l.Settings.LeaseDuration,
	}, l.Now)
}

// addHeldLease stores a lease in place of an earlier one of the same lender, unless it has expired already.
func (a *Account) addHeldLease(lease heldLease, now time.Duration) {
	if lease.ExpiresAt <= now {
		return
	}
	i, found := slices.BinarySearchFunc(a.HeldLeases, lease.Lender, func(held heldLease, lender string) int {
		return cmp.Compare(held.Lender, lender)
	})
	if found {
		a.HeldLeases[i] = lease
		return
	}
	a.HeldLeases = slices.Insert(a.HeldLeases, i, lease)
}
