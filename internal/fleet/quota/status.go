package quota

import (
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// OwnRate is how many calls a second to a scope this member may make without a grant.
func (l *Ledger) OwnRate(now time.Duration, scope Scope) float64 {
	account := l.Accounts[scope]
	if account == nil {
		return 0
	}
	l.Now = now
	return l.ownRate(account)
}

// GrantRate is how many calls a second to a scope this member may grant as a lease holder.
func (l *Ledger) GrantRate(now time.Duration, scope Scope) float64 {
	account := l.Accounts[scope]
	if account == nil {
		return 0
	}
	held := 0.0
	for _, lease := range account.HeldLeases {
		if now < lease.ExpiresAt {
			held += lease.Rate
		}
	}
	return min(held, lendableFraction*account.Limit) * account.CapacityFraction * (1 - headroomRatio)
}

// ScopeStatus describes one scope for status reports. Rates are in calls per second.
type ScopeStatus struct {
	Destination      policy.DestinationID `json:"dest"`
	Endpoint         string               `json:"route,omitempty"`
	Limit            float64              `json:"limit"`   // of all members together, from the endpoint list
	OwnRate          float64              `json:"own"`     // what this member may use without a grant
	Lent             float64              `json:"lent"`    // the part of this member's share that others may use
	LeaseHolder      string               `json:"keeper"`  // receives this member's leases and requests
	GrantRate        float64              `json:"mints"`   // what this member may grant as a lease holder
	CapacityFraction float64              `json:"belief"`  // as a lease holder: accepted fraction of Limit (estimate)
	PendingRequests  int                  `json:"waiting"` // as a lease holder: the length of its request queue
}

// Status describes all scopes with a limit, in sorted order.
func (l *Ledger) Status(now time.Duration) (statuses []ScopeStatus) {
	for _, scope := range l.scopes() {
		account := l.Accounts[scope]
		if account.Limit <= 0 {
			continue
		}
		l.Now = now
		statuses = append(statuses, ScopeStatus{
			Destination:      scope.Destination,
			Endpoint:         scope.Endpoint,
			Limit:            account.Limit,
			OwnRate:          l.ownRate(account),
			Lent:             l.lentRate(account),
			LeaseHolder:      account.LeaseHolder,
			GrantRate:        l.GrantRate(now, scope),
			CapacityFraction: account.CapacityFraction,
			PendingRequests:  len(account.Queue),
		})
	}
	return statuses
}
