package checker

import (
	"math"
	"net/http"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// serviceWindow is the length of the windows among which Service reports the worst.
	serviceWindow = 10 * time.Second
	// serviceWindowStep is the time between the starts of successive windows.
	serviceWindowStep = time.Second
)

// Service measures how well a run served its clients. The service for a set of messages is their delivered weight
// divided by their submitted weight, from 0 to 1. A delivery within the latency objective counts in full, a later
// one in part. A message that is submitted several times counts once.
type Service struct {
	Overall              float64           `json:"whole"`
	WorstWindow          float64           `json:"worst_10s"`
	WorstWindowAt        time.Duration     `json:"worst_10s_at"`
	WorstCustomer        string            `json:"worst_customer,omitempty"`
	WorstCustomerService float64           `json:"worst_customer_service"` // for messages within the customer's share
	Customers            []CustomerService `json:"customers"`

	Submitted       int `json:"offered"` // messages
	DeliveredInTime int `json:"in_full"` // within the latency objective
	DeliveredLate   int `json:"in_part"`
	Undelivered     int `json:"undelivered"`
	Rejected        int `json:"refused"`    // submissions that were answered with 429 or 503
	Deferred        int `json:"deferred"`   // submissions whose first notice asks the client to submit again
	Failed          int `json:"failed"`     // submissions with any other first notice, or with an error as answer
	Unanswered      int `json:"unanswered"` // submissions
	Calls           int `json:"calls"`      // received completely
	CallsFailed     int `json:"calls_failed"`
	CallsRejected   int `json:"calls_refused"`
	CallsUnanswered int `json:"calls_without_answer"`

	LatencyP50 time.Duration `json:"latency_p50"` // from the due time to the delivery, for delivered messages
	LatencyP95 time.Duration `json:"latency_p95"`
	LatencyP99 time.Duration `json:"latency_p99"`
	LoadLagP99 time.Duration `json:"load_lag_p99"` // lag of the submissions behind their plan
}

// CustomerService is the service for the messages of one customer within its share.
type CustomerService struct {
	Name      string  `json:"name"`
	Submitted int     `json:"offered"`    // messages
	OverShare int     `json:"over_share"` // messages that exceed the share
	Service   float64 `json:"service"`
}

// weightSum sums the submitted and the delivered weight of messages.
type weightSum struct{ submitted, delivered float64 }

func (s *weightSum) add(o MessageOutcome) {
	s.submitted += o.Weight
	s.delivered += o.DeliveredWeight
}

// service returns the delivered weight divided by the submitted weight, or 1 if nothing was submitted.
func (s *weightSum) service() float64 {
	if s.submitted <= 0 {
		return 1
	}
	return s.delivered / s.submitted
}

// measureService measures the service of a run.
func measureService(r *record) Service {
	outcomes := r.messageOutcomes()
	s := Service{LoadLagP99: r.loadLag()}
	s.WorstWindow, s.WorstWindowAt = worstWindow(outcomes, r.Duration)
	s.addMessages(r, outcomes)
	s.addCustomers(r, outcomes)
	for _, m := range r.submissions {
		s.addSubmission(r, m)
	}
	for _, c := range r.received {
		s.addCall(r, c)
	}
	return s
}

// addMessages adds the outcomes and the latencies of all messages.
func (s *Service) addMessages(r *record, outcomes []MessageOutcome) {
	var total weightSum
	var latencies []time.Duration
	for _, o := range outcomes {
		s.Submitted++
		total.add(o)
		if o.DeliveredAt == 0 {
			s.Undelivered++
			continue
		}
		latencies = append(latencies, o.latency())
		if o.latency() <= r.Classes[o.Class].LatencyObjective {
			s.DeliveredInTime++
		} else {
			s.DeliveredLate++
		}
	}
	s.Overall = total.service()
	s.LatencyP50 = percentile(latencies, 0.5)
	s.LatencyP95 = percentile(latencies, 0.95)
	s.LatencyP99 = percentile(latencies, 0.99)
}

// addCustomers adds the service of each customer, and sets the customer with the worst service.
func (s *Service) addCustomers(r *record, outcomes []MessageOutcome) {
	s.Customers = make([]CustomerService, len(r.Customers))
	sums := make([]weightSum, len(r.Customers))
	for _, o := range outcomes {
		if o.Customer >= len(r.Customers) {
			continue
		}
		s.Customers[o.Customer].Submitted++
		if o.OverShare {
			s.Customers[o.Customer].OverShare++
		} else {
			sums[o.Customer].add(o)
		}
	}
	s.WorstCustomerService = 1
	for i := range s.Customers {
		c := &s.Customers[i]
		c.Name, c.Service = r.Customers[i].Name, sums[i].service()
		if s.WorstCustomer == "" || c.Service < s.WorstCustomerService {
			s.WorstCustomer, s.WorstCustomerService = c.Name, c.Service
		}
	}
}

// addSubmission counts a submission as unanswered, rejected, deferred or failed if it is one of these.
func (s *Service) addSubmission(r *record, m *message) {
	switch {
	case m.noAnswer != noEvent:
		s.Unanswered++
	case m.answer != noEvent && isOverloaded(r.events[m.answer].Status):
		s.Rejected++
	case m.answer != noEvent && !r.accepted(m):
		s.Failed++
	case len(m.notices) == 0:
	case r.events[m.notices[0]].State == eventlog.StateDeferred:
		s.Deferred++
	default:
		s.Failed++
	}
}

// addCall counts a call by its answer.
func (s *Service) addCall(r *record, c *call) {
	s.Calls++
	if c.reply == noEvent {
		s.CallsUnanswered++
		return
	}
	switch status := r.events[c.reply].Status; {
	case isOverloaded(status):
		s.CallsRejected++
	case status != http.StatusOK:
		s.CallsFailed++
	}
}

// worstWindow returns the worst service of any window in which a message was due, and when that window begins. It
// returns service 1 if no message was due. A run that is shorter than a window is one window.
func worstWindow(outcomes []MessageOutcome, length time.Duration) (worst float64, at time.Duration) {
	worst = math.Inf(1)
	for from := time.Duration(0); from == 0 || from+serviceWindow <= length; from += serviceWindowStep {
		var sum weightSum
		for _, o := range outcomes {
			if o.DueAt >= from && o.DueAt < from+serviceWindow {
				sum.add(o)
			}
		}
		if sum.submitted > 0 && sum.service() < worst {
			worst, at = sum.service(), from
		}
	}
	if math.IsInf(worst, 1) {
		return 1, 0
	}
	return worst, at
}

// percentile returns the smallest value that has at least the given ratio of all values at or below it, or 0 if
// there are no values.
func percentile(values []time.Duration, ratio float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(ratio * float64(len(sorted))))
	return sorted[min(len(sorted)-1, max(0, rank-1))]
}
