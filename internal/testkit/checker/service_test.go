package checker

import (
	"fmt"
	"math"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// serviceRun returns a run of 30 s with four messages of the first customer and three of the second, whose share is
// one message a second.
func serviceRun() *script {
	s := newScript()
	s.header.Duration = 30 * second
	s.header.Customers[1].RateShare = 1
	s.submit("in time", keyed, second, 16*second, 202)
	s.call("a1", "in time", 2*second, 4*second, 200)
	s.submit("late", keyed, 2*second, 16*second, 202)
	s.call("a1", "late", 3*second, 2*second+9500*ms, 200) // half-way from the objective to the deadline: 0.7
	s.submit("undelivered", keyed, 25*second, 5*second, 202)
	s.notice("undelivered", eventlog.StateUndeliverable, 27*second)
	// A message that is rejected and submitted again counts once.
	s.submit("rejected", keyed, 3*second, 16*second, 503)
	again := submission("again", keyed, 4*second, 15*second)
	again.FirstID = "rejected"
	s.add(again)
	s.answer("again", 4*second, 202)
	s.call("a1", "again", 5*second, 6*second-ms, 200)
	for i := range 3 {
		id := fmt.Sprint("b", i)
		e := submission(id, keyed, 5*second, 5*second)
		e.Customer = 1
		s.add(e)
		s.answer(id, 5*second, 202)
		if i == 0 {
			s.call("a1", id, 6*second, 6*second+ms, 200)
		} else {
			s.notice(id, eventlog.StateDeferred, 6*second)
		}
	}
	return s
}

// count is a counter of a Service with its expected value.
type count struct {
	name      string
	got, want int
}

func checkCounts(t *testing.T, counts []count) {
	t.Helper()
	for _, c := range counts {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", c.name, c.got, c.want)
		}
	}
}

func TestService(t *testing.T) {
	s := serviceRun().check().Service
	ratios := []struct {
		name      string
		got, want float64
	}{
		{"overall", s.Overall, (1 + 0.7 + 0 + 1 + 1) / (5 + 2*0.2)},
		{"worst window", s.WorstWindow, 0},
		{"worst customer", s.WorstCustomerService, 2.7 / 4},
		{"second customer", s.Customers[1].Service, 1},
	}
	for _, r := range ratios {
		if math.Abs(r.got-r.want) > 1e-9 {
			t.Errorf("%s: %v, want %v", r.name, r.got, r.want)
		}
	}
	if s.WorstCustomer != "acme" || s.WorstWindowAt < 16*second {
		t.Errorf("worst customer %q, worst window at %v", s.WorstCustomer, s.WorstWindowAt)
	}
	checkCounts(t, []count{
		{"over share", s.Customers[1].OverShare, 2},
		{"submitted", s.Submitted, 7},
		{"delivered in time", s.DeliveredInTime, 3},
		{"delivered late", s.DeliveredLate, 1},
		{"undelivered", s.Undelivered, 3},
		{"rejected", s.Rejected, 1},
		{"deferred", s.Deferred, 2},
		{"failed", s.Failed, 1},
	})
}

func TestServiceOfUndeliveredSubmissionsAndCalls(t *testing.T) {
	s := newScript()
	s.submit("unanswered", keyed, second, 5*second, 0)
	s.add(eventlog.Event{
		At:    2 * second,
		Kind:  eventlog.SubmissionUnanswered,
		ID:    "unanswered",
		Relay: "r1",
		Cause: eventlog.CauseTimeout,
	})
	s.submit("rejected", keyed, second, 5*second, 503)
	s.submit("invalid", keyed, second, 5*second, 400)
	s.call("a1", "rejected", 2*second, 3*second, 200) // counts as undelivered: the submission was rejected
	s.call("a1", "invalid", 2*second, 3*second, 429)
	s.call("a1", "invalid", 2*second, 3*second, 500)
	s.call("a1", "invalid", 2*second, 0, 0)
	service := s.check().Service
	checkCounts(t, []count{
		{"undelivered", service.Undelivered, 3},
		{"unanswered", service.Unanswered, 1},
		{"rejected", service.Rejected, 1},
		{"failed", service.Failed, 1},
		{"calls", service.Calls, 4},
		{"calls rejected", service.CallsRejected, 1},
		{"calls failed", service.CallsFailed, 1},
		{"calls unanswered", service.CallsUnanswered, 1},
	})
}
