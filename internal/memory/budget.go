package memory

import (
	"math"
	"sync/atomic"
)

// Account is a purpose that memory is reserved for. Each account has a part of the budget for itself, so that one kind
// of peer cannot use up what is meant for another.
type Account int

// The accounts.
const (
	ClientConnections Account = iota // connections of clients
	ClientRequests                   // clients' requests that are read or await their responses
	Messages                         // accepted messages, and the answers to those that have ended
	Calls                            // calls to endpoints, with their requests
	Responses                        // responses of endpoints
	EndpointList                     // endpoints that discovery has listed
	accountCount
)

var accountNames = [accountCount]string{
	"client_connections", "client_requests", "messages", "calls", "responses", "endpoint_list",
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
	ClientConnections: 0.12,
	ClientRequests:    0.08,
	Messages:          0.08,
	Calls:             0.06,
	Responses:         0.04,
	EndpointList:      0.05,
}

// Budget bounds the memory that the peers of a process can make it hold. Memory is reserved before it is allocated, and
// released when nothing refers to it any more. A nil Budget has no limits.
type Budget struct {
	limit    int64 // of the process, in bytes
	accounts [accountCount]account
}

type account struct {
	limit   atomic.Int64 // in bytes
	used    atomic.Int64 // in bytes
	refused atomic.Int64 // reservations that were refused
}

// NewBudget returns the budget of a process that may use up to limit bytes of memory.
func NewBudget(limit int64) *Budget {
	b := &Budget{limit: limit}
	b.Scale(1)
	return b
}

// Scale sets the limits of all accounts to a fraction of what the process may use alone. Reservations above a new limit
// stay; more are refused until enough is released.
func (b *Budget) Scale(fraction float64) {
	if b == nil {
		return
	}
	for i := range b.accounts {
		b.accounts[i].limit.Store(int64(float64(b.limit) * shares[i] * fraction))
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
