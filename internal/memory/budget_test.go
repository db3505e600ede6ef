package memory

import (
	"sync"
	"sync/atomic"
	"testing"
)

// TestBudgetRefusesBeyondItsLimit reserves from many goroutines at once. No more succeed than the limit allows.
func TestBudgetRefusesBeyondItsLimit(t *testing.T) {
	const parts = 10
	budget := NewBudget(100 << 20)
	part := budget.Limit(Calls) / parts
	var succeeded atomic.Int64
	var workers sync.WaitGroup
	for range 32 {
		workers.Go(func() {
			for range 100 {
				if budget.Reserve(Calls, part) {
					succeeded.Add(1)
				}
			}
		})
	}
	workers.Wait()
	if n := succeeded.Load(); n > parts || budget.Used(Calls) != n*part || budget.Refused(Calls) != 3200-n {
		t.Errorf("%d succeeded, used %d, refused %d", n, budget.Used(Calls), budget.Refused(Calls))
	}
}

// TestAccountsAreIndependent fills one account. The others still accept reservations.
func TestAccountsAreIndependent(t *testing.T) {
	budget := NewBudget(96 << 20)
	budget.Add(ClientRequests, 200<<20)
	if budget.Reserve(ClientRequests, 1) {
		t.Error("a reservation beyond the limit succeeded")
	}
	for _, account := range Accounts() {
		if account != ClientRequests && !budget.Reserve(account, 1<<20) {
			t.Errorf("%v: reservation refused", account)
		}
	}
}

// TestSharesLeaveMemoryForTheProgram checks that all accounts together stay well within the limit of the process.
func TestSharesLeaveMemoryForTheProgram(t *testing.T) {
	const limit = 96 << 20
	for _, list := range []int64{0, limit / 25, limit / 10, limit / 4} {
		budget := NewBudget(limit)
		budget.SetEndpointList(list)
		total := list
		for _, account := range Accounts() {
			if account != EndpointList {
				total += budget.Limit(account)
			}
		}
		if total > limit*6/10 {
			t.Errorf("with a list of %d bytes all accounts together may use %d of %d", list, total, int64(limit))
		}
	}
}

// TestScale checks that a smaller limit keeps reservations and refuses further ones.
func TestScale(t *testing.T) {
	budget := NewBudget(100 << 20)
	full := budget.Limit(Messages)
	if !budget.Reserve(Messages, full) {
		t.Fatal("refused within the limit")
	}
	budget.Scale(0.5)
	budget.Release(Messages, full/4)
	if budget.Reserve(Messages, 1) {
		t.Error("accepted beyond the smaller limit")
	}
	budget.Release(Messages, full/2)
	if !budget.Reserve(Messages, full/4) {
		t.Error("refused within the smaller limit")
	}
}

// TestNilBudgetHasNoLimits covers the use without a budget.
func TestNilBudgetHasNoLimits(t *testing.T) {
	var budget *Budget
	budget.Scale(0.5)
	if !budget.Reserve(Calls, 1<<60) || budget.Used(Calls) != 0 || budget.Refused(Calls) != 0 {
		t.Error("a nil budget limits")
	}
	budget.Release(Calls, 1<<60)
}
