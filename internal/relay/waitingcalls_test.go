package relay

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
	"cherrytrestle.example/cherrytrestle/policy"
)

// newAnsweringEndpoint adds an endpoint that answers each request, and returns the number of its requests.
func newAnsweringEndpoint(t *testing.T, r *Relay) *atomic.Int32 {
	t.Helper()
	var requests atomic.Int32
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, _ *http.Request) bool {
		requests.Add(1)
		nettest.Send(conn, nettest.OKResponse)
		return true
	})
	r.catalog.Upsert(catalog.Endpoint{Endpoint: policy.Endpoint{ID: "s-1", Kind: 1, InService: true}, Addr: addr})
	return &requests
}

// TestCallWaitsForMemory uses up the memory for calls. A message is accepted all the same, its call is made once there
// is memory, and all memory is released at the end.
func TestCallWaitsForMemory(t *testing.T) {
	r := newTestRelay(t)
	requests := newAnsweringEndpoint(t, r)
	limit := r.budget.Limit(memory.Calls)
	r.budget.Add(memory.Calls, limit)
	answers := submitAll(r, newSubmission("m1", 7, 8*time.Second))
	if answers[0].Status != http.StatusAccepted {
		t.Errorf("status %d", answers[0].Status)
	}
	stepUntil(t, r, "the call waits", func() bool { return len(r.waitingCalls) == 1 })
	if requests.Load() != 0 || r.callsInFlight != 0 {
		t.Errorf("%d requests, %d calls in flight", requests.Load(), r.callsInFlight)
	}
	if m := r.messagesByTrace["m1"]; len(m.UncertainAttempts) != 0 {
		t.Error("the journal holds a send that was not made")
	}
	r.budget.Release(memory.Calls, limit)
	stepUntil(t, r, "the message is delivered", func() bool { return isDelivered(r, "m1") })
	if used := r.budget.Used(memory.Calls); requests.Load() != 1 || used != 0 {
		t.Errorf("%d requests, %d bytes still reserved", requests.Load(), used)
	}
}

// TestWaitingCallIsReturned ends a call that waits for memory, as a hand-over does. Its message has surely not run.
func TestWaitingCallIsReturned(t *testing.T) {
	r := newTestRelay(t)
	newAnsweringEndpoint(t, r)
	r.budget.Add(memory.Calls, r.budget.Limit(memory.Calls))
	submitAll(r, newSubmission("m1", 7, 8*time.Second))
	stepUntil(t, r, "the call waits", func() bool { return len(r.waitingCalls) == 1 })
	r.returnWaitingCalls()
	m := r.messagesByTrace["m1"]
	if m.inFlight != 0 || len(m.UncertainAttempts) != 0 || len(r.deferredEvents) == 0 {
		t.Errorf("in flight %d, uncertain %v, events %v", m.inFlight, m.UncertainAttempts, r.deferredEvents)
	}
}

// TestMessagesAreBoundedInBytes submits messages to an endpoint that is out of service, up to the limit of their
// memory. More are rejected, and their memory is free again once they have ended.
func TestMessagesAreBoundedInBytes(t *testing.T) {
	r := newTestRelay(t)
	r.budget.Scale(0.01)
	r.catalog.Upsert(catalog.Endpoint{Endpoint: policy.Endpoint{ID: "s-1", Kind: 1}, Addr: "127.0.0.1:1"})
	statuses := map[int]int{}
	for i := range 300 {
		submission := newSubmission(fmt.Sprint("m", i), 7, time.Second)
		statuses[submitAll(r, submission)[0].Status]++
	}
	used, limit := r.budget.Used(memory.Messages), r.budget.Limit(memory.Messages)
	if statuses[http.StatusServiceUnavailable] == 0 || used > limit {
		t.Errorf("statuses %v, %d of %d bytes", statuses, used, limit)
	}
}
