package memory

import (
	"math"
	"sync"
	"sync/atomic"
)

// Account is a purpose that memory is reserved for. Each account has a part of the budget for itself, so that one kind
// of peer cannot use up what is meant for another.
type Account int

// The accounts.
const (
	ClientConnections   Account = iota // connections of clients
	ClientRequests                     // clients' requests that are read or await their responses
	Messages                           // accepted messages, without their bodies, and answers to ended ones
	Bodies                             // bodies of accepted messages that are kept in memory besides the journal
	Calls                              // calls to endpoints, with their requests
	EndpointConnections                // connections to endpoints
	Responses                          // responses of endpoints
	EndpointList                       // endpoints that discovery has listed
	accountCount
)

var accountNames = [accountCount]string{
	"client_connections", "client_requests", "messages", "bodies", "calls", "endpoint_connections", "responses",
	"endpoint_list",
}

// String returns the name of the account as it is written in logs and in the names of metrics.
func (a Account) String() string { return accountNames[a] }

// Accounts returns all accounts.
func Accounts() []Account {
	accounts := make([]Account, accountCount)
	for i := range accounts {
		accounts[i] = Account(i)
	}
	return accounts
}

// shares are the parts of the process's memory limit that the accounts may use. What remains is for the program
// itself, and for memory that the garbage collector has not freed yet.
var shares = [accountCount]float64{
	ClientConnections:   0.12,
	ClientRequests:      0.07,
	Messages:            0.07,
	Bodies:              0.03,
	Calls:               0.05,
	EndpointConnections: 0.06,
	Responses:           0.03,
	EndpointList:        0.25,
}

// smallListShare is the part of the limit up to which an endpoint list leaves the other accounts their whole shares. A
// longer list takes from them.
const smallListShare = 0.04

// Budget bounds the memory that the peers of a process can make it hold. Memory is reserved before it is allocated, and
// released when nothing refers to it any more. A nil Budget has no limits.
type Budget struct {
	limit    int64 // of the process, in bytes
	accounts [accountCount]account

	mu       sync.Mutex
	fraction float64 // of the limit that this process may use
}

type account struct {
	limit   atomic.Int64 // in bytes
	used    atomic.Int64 // in bytes
	refused atomic.Int64 // reservations that were refused
}

// NewBudget returns the budget of a process that may use up to limit bytes of memory.
func NewBudget(limit int64) *Budget {
	b := &Budget{limit: limit, fraction: 1}
	b.setLimits()
	return b
}

// Scale sets the limits of all accounts to a fraction of what the process may use alone. Reservations above a new limit
// stay; more are refused until enough is released.
func (b *Budget) Scale(fraction float64) {
	if b == nil {
		return
	}
	b.mu.Lock()
	b.fraction = fraction
	b.mu.Unlock()
	b.setLimits()
}

// SetEndpointList sets the bytes that the endpoint list takes.
func (b *Budget) SetEndpointList(bytes int64) {
	if b == nil || b.accounts[EndpointList].used.Swap(bytes) == bytes {
		return
	}
	b.setLimits()
}

// setLimits sets the limits of all accounts.
func (b *Budget) setLimits() {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := float64(b.limit) * b.fraction
	longList := max(0, float64(b.Used(EndpointList))-smallListShare*total)
	for i := range b.accounts {
		available := total
		if Account(i) != EndpointList {
			available = max(0, total-longList)
		}
		b.accounts[i].limit.Store(int64(available * shares[i]))
	}
}

// Reserve reserves bytes for an account. It returns false, and reserves nothing, if the account would exceed its limit.
func (b *Budget) Reserve(a Account, bytes int64) bool {
	if b == nil {
		return true
	}
	account := &b.accounts[a]
	if account.used.Add(bytes) <= account.limit.Load() {
		return true
	}
	account.used.Add(-bytes)
	account.refused.Add(1)
	return false
}

// ReserveWithin reserves bytes like Reserve, but leaves a part of the account free: it fails if the account would
// exceed a fraction of its limit.
func (b *Budget) ReserveWithin(a Account, bytes int64, fraction float64) bool {
	if b != nil && float64(b.Used(a)+bytes) > fraction*float64(b.Limit(a)) {
		b.accounts[a].refused.Add(1)
		return false
	}
	return b.Reserve(a, bytes)
}

// Add reserves bytes for an account even beyond its limit. It is for memory that the process holds in any case.
func (b *Budget) Add(a Account, bytes int64) {
	if b != nil {
		b.accounts[a].used.Add(bytes)
	}
}

// Release returns reserved bytes to an account.
func (b *Budget) Release(a Account, bytes int64) { b.Add(a, -bytes) }

// Limit returns the limit of an account, in bytes.
func (b *Budget) Limit(a Account) int64 {
	if b == nil {
		return math.MaxInt64
	}
	return b.accounts[a].limit.Load()
}

// Used returns the bytes that are reserved for an account.
func (b *Budget) Used(a Account) int64 {
	if b == nil {
		return 0
	}
	return b.accounts[a].used.Load()
}

// Refused returns how many reservations of an account were refused.
func (b *Budget) Refused(a Account) int64 {
	if b == nil {
		return 0
	}
	return b.accounts[a].refused.Load()
}
