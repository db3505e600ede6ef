// Package quota shares the rate limit of a destination among all relays of a fleet. It is pure: no clock, no I/O, no
// random numbers. Times are the member's own monotonic ones; a message carries an upper bound of its time in transit,
// which whoever delivers it has estimated (loadreport.TransitEstimator).
//
// Each member has an even share of a limit. It always keeps a reserved fraction of that share for its own calls and
// lends the rest, for a lease, to one member: the lease holder of that scope, which is the first live member in the
// scope's own order. A lease holder turns the rate that it holds into whole calls and grants them to members that
// request some.
//
// The sum of what all members may use at one moment never exceeds the limit, whatever is lost, duplicated, delayed,
// stopped or restarted on the way:
//
//   - A lender does not use what it has lent until the lease is over by its own clock, plus a margin for clocks that
//     run at different speeds.
//   - A lease holder stops before that: it counts the lease from the latest time at which the lender can have sent it.
//   - A process that starts may have granted leases in an earlier incarnation that it does not remember. It waits until
//     such leases have expired, or until all members have said that they hold none.
//   - Of a silent member's share, nothing is used by others but what it has lent itself.
package quota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

const (
	// checkInterval is the longest time between two updates of an account.
	checkInterval = 100 * time.Millisecond
	// maxScopes bounds the accounts of a ledger.
	maxScopes = 1024
	// minNotifiedChange is the change of the reserved fraction from which on the policy is notified.
	minNotifiedChange = 0.005
	// never stands for the time of what has not happened yet: long before any monotonic time.
	never = -time.Hour
)

// Settings are what a Ledger is made of.
type Settings struct {
	Self        string                 `cbor:"Self"`
	Incarnation loadreport.Incarnation `cbor:"Life"`
	Members     []string               `cbor:"Members"` // those in the configuration
	// FleetSize is the configured size of the fleet. Shares are computed from it, however many members are listed.
	FleetSize     int           `cbor:"Senders"`
	LeaseDuration time.Duration `cbor:"Lease"`
	LeaseMargin   time.Duration `cbor:"Margin"`
	// Fresh is set if no earlier incarnation of this member can have granted a lease.
	Fresh bool `cbor:"Fresh"`
}

// Account is a Ledger's state of one Scope. Its fields are exported for snapshots only.
type Account struct {
	// Limit is how many calls a second all members together may make; 0: there is none, or no longer.
	Limit       float64     `cbor:"Limit"`
	LentLeases  []lentLease `cbor:"Lent"`
	LeaseHolder string      `cbor:"Keeper"` // the member that gets this member's leases and requests
	HeldLeases  []heldLease `cbor:"Held"`   // sorted by lender

	// The token bucket of a lease holder, and the requests that it serves.
	Tokens     float64         `cbor:"Tokens"`
	RefilledAt time.Duration   `cbor:"At"`
	Queue      []queuedRequest `cbor:"Queue"`

	// The estimate of how much of the limit the destination takes; see estimateCapacity.
	CapacityFraction float64 `cbor:"Belief"`
	// LastRejectedFraction is the part of CapacityFraction that was delivered when calls were rejected last.
	LastRejectedFraction float64       `cbor:"Met"`
	EstimatedAt          time.Duration `cbor:"Looked"`
	// IgnoreOutcomesUntil is set after a decrease: outcomes that are reported before do not count.
	IgnoreOutcomesUntil time.Duration           `cbor:"Deaf"`
	Growing             bool                    `cbor:"Grows"`    // few calls were rejected before the last estimate
	Outcomes            outcomeSum              `cbor:"Outcomes"` // reported since EstimatedAt
	MemberOutcomes      map[string]outcomeCount `cbor:"Counts"`   // the last report of each member

	Pending   pendingRequest `cbor:"Want"`
	Delivered uint32         `cbor:"Done"`    // this member's delivered calls, in this incarnation
	Rejected  uint32         `cbor:"Refused"` // this member's rejected calls, in this incarnation
	// NotifiedFraction is the fraction of the even share that the policy was notified of last.
	NotifiedFraction float64 `cbor:"Told"`
}

// State is all that a Ledger keeps between two steps, exported for snapshots only.
type State struct {
	Settings  Settings           `cbor:"Set"`
	StartedAt time.Duration      `cbor:"Began"`
	Seq       uint64             `cbor:"Seq"`    // of the last message sent
	NextID    uint32             `cbor:"NextID"` // of the last request made
	Accounts  map[Scope]*Account `cbor:"Accounts"`
	Peers     map[string]*peer   `cbor:"Peers"`
	RenewAt   time.Duration      `cbor:"RenewAt"`
	CheckAt   time.Duration      `cbor:"LookAt"`
	Now       time.Duration      `cbor:"Now"`
}

// Ledger records, for one member, which share of each limit it may use, which it has lent, and which it holds.
type Ledger struct {
	State
	sortedScopes []Scope // of the accounts; rebuilt by scopes
	outbox       map[string]*Message
	changes      []Change
}

// Change notifies the policy of what this member may use.
type Change struct {
	Scope            Scope
	ReservedFraction float64       // of its even share, which this member may use without a grant
	Calls            int           // granted beyond that, to be made now
	TTL              time.Duration // after which the granted calls are void
}

// New returns the Ledger of a member that starts now.
func New(now time.Duration, settings Settings) *Ledger {
	settings.LeaseDuration = cmp.Or(settings.LeaseDuration, LeaseDuration)
	settings.LeaseMargin = cmp.Or(settings.LeaseMargin, LeaseMargin)
	return &Ledger{
		State: State{
			Settings:  settings,
			StartedAt: now,
			Now:       now,
			Accounts:  map[Scope]*Account{},
			Peers:     map[string]*peer{},
		},
		outbox: map[string]*Message{},
	}
}

// FinishRestore prepares a Ledger whose State was read from a snapshot.
func (l *Ledger) FinishRestore() {
	l.outbox = map[string]*Message{}
	if l.Accounts == nil {
		l.Accounts = map[Scope]*Account{}
	}
	if l.Peers == nil {
		l.Peers = map[string]*peer{}
	}
	for _, account := range l.Accounts {
		if account.MemberOutcomes == nil {
			account.MemberOutcomes = map[string]outcomeCount{}
		}
	}
}

// SetIncarnation continues the member under another incarnation.
func (l *Ledger) SetIncarnation(incarnation loadreport.Incarnation) {
	l.Settings.Incarnation = incarnation
}

// SetLimits takes the limits of the endpoint list. What was lent of a scope that is gone stays lent until the lease is
// over.
func (l *Ledger) SetLimits(now time.Duration, limits loadreport.Limits) {
	l.Now = now
	for scope, account := range l.Accounts {
		l.refill(account)
		account.Limit = limits[scope.Destination][scope.Endpoint]
	}
	// In sorted order: where there are more than maxScopes limits, equal events choose the same ones.
	for _, destination := range slices.Sorted(maps.Keys(limits)) {
		endpoints := limits[destination]
		for _, endpoint := range slices.Sorted(maps.Keys(endpoints)) {
			isSum := endpoint == "" && len(endpoints) > 1 // of endpoints with limits of their own: it limits nothing
			if limit := endpoints[endpoint]; limit > 0 && !isSum {
				l.addAccount(Scope{Destination: destination, Endpoint: endpoint}, limit)
			}
		}
	}
}

func (l *Ledger) addAccount(scope Scope, limit float64) {
	if l.Accounts[scope] != nil || len(l.Accounts) >= maxScopes {
		return
	}
	l.sortedScopes = l.sortedScopes[:0]
	l.Accounts[scope] = &Account{
		Limit:            limit,
		RefilledAt:       l.Now,
		CapacityFraction: 1,
		MemberOutcomes:   map[string]outcomeCount{},
		NotifiedFraction: 1,
	}
}

func (l *Ledger) removeAccounts(scopes []Scope) {
	for _, scope := range scopes {
		l.sortedScopes = l.sortedScopes[:0]
		delete(l.Accounts, scope)
	}
}

// scopes returns the scopes of all accounts, sorted.
func (l *Ledger) scopes() []Scope {
	if len(l.sortedScopes) != len(l.Accounts) { // whoever adds or removes an account empties sortedScopes
		l.sortedScopes = l.sortedScopes[:0]
		for scope := range l.Accounts {
			l.sortedScopes = append(l.sortedScopes, scope)
		}
		slices.SortFunc(l.sortedScopes, Scope.compare)
	}
	return l.sortedScopes
}

// Step does what is due, and returns the messages to send to other members and the changes to apply to the policy.
func (l *Ledger) Step(now time.Duration) (messages []Message, changes []Change) {
	l.Now = now
	scopes := l.scopes()
	if l.earlierLeasesPossible() {
		l.queryEarlierLeases()
	}
	if now >= l.RenewAt {
		l.renewLeases(scopes)
	}
	l.resendLeases(scopes)

	checkDue := now >= l.CheckAt
	if checkDue {
		l.CheckAt = now + checkInterval
	}
	var unused []Scope
	for _, scope := range scopes {
		account := l.Accounts[scope]
		l.sendRequest(scope, account)
		if !checkDue && !account.hasWaitingRequest() {
			continue
		}
		l.updateAccount(scope, account)
		if account.unused() {
			unused = append(unused, scope)
		}
	}
	l.removeAccounts(unused)
	return l.takeMessages(), l.takeChanges()
}

// updateAccount grants what can be granted, and brings the account up to date.
func (l *Ledger) updateAccount(scope Scope, account *Account) {
	l.refill(account)
	account.estimateCapacity(l.Now)
	l.grantTokens(scope, account)
	l.notifyReservedFraction(scope, account)
	account.LentLeases = slices.DeleteFunc(account.LentLeases, func(lease lentLease) bool {
		return l.Now >= lease.ReservedUntil
	})
}

// notifyReservedFraction notifies the policy if the fraction of its share that this member may use has changed.
func (l *Ledger) notifyReservedFraction(scope Scope, account *Account) {
	if account.Limit <= 0 {
		return
	}
	fraction := l.ownRate(account) / max(1e-9, l.evenShare(account))
	if math.Abs(fraction-account.NotifiedFraction) > minNotifiedChange {
		account.NotifiedFraction = fraction
		l.changes = append(l.changes, Change{Scope: scope, ReservedFraction: fraction})
	}
}

// unused reports whether an account has neither a limit nor a lease in either direction.
func (a *Account) unused() bool {
	return a.Limit == 0 && len(a.LentLeases) == 0 && len(a.HeldLeases) == 0
}

// takeChanges returns the changes collected since the last call.
func (l *Ledger) takeChanges() []Change {
	changes := l.changes
	l.changes = nil
	for i := range changes {
		if account := l.Accounts[changes[i].Scope]; account != nil {
			changes[i].ReservedFraction = account.NotifiedFraction // an earlier change may carry an older one
		}
	}
	return changes
}
