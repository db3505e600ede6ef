package checker

import (
	"math"
	"net/http"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// serviceWindow is the length of the windows of which a service names the worst.
	serviceWindow = 10 * time.Second
	// serviceWindowStep is the time between the beginnings of these windows.
	serviceWindowStep = time.Second
)

// Service is how good a run was for the clients: the weight that was delivered over the weight that was submitted, from
// 0 to 1. A delivery within the latency objective counts in full, one after it in part. All submissions of a message
// count as one.
type Service struct {
	Overall              float64           `json:"whole"`
	WorstWindow          float64           `json:"worst_10s"`
	WorstWindowAt        time.Duration     `json:"worst_10s_at"`
	WorstCustomer        string            `json:"worst_customer,omitempty"`
	WorstCustomerService float64           `json:"worst_customer_service"` // within its share
	Customers            []CustomerService `json:"customers"`

	Submitted       int `json:"offered"` // messages
	DeliveredInTime int `json:"in_full"` // within the latency objective
	DeliveredLate   int `json:"in_part"`
	Undelivered     int `json:"undelivered"`
	Rejected        int `json:"refused"`    // submissions that were answered with 429 or 503
	Deferred        int `json:"deferred"`   // submissions with a notice to submit again
	Failed          int `json:"failed"`     // submissions with any other notice, or with an answer that is an error
	Unanswered      int `json:"unanswered"` // submissions
	Calls           int `json:"calls"`      // that were received completely
	CallsFailed     int `json:"calls_failed"`
	CallsRejected   int `json:"calls_refused"`
	CallsUnanswered int `json:"calls_without_answer"`

	LatencyP50 time.Duration `json:"latency_p50"` // from the due time to the delivery, of the delivered messages
	LatencyP95 time.Duration `json:"latency_p95"`
	LatencyP99 time.Duration `json:"latency_p99"`
	LoadLagP99 time.Duration `json:"load_lag_p99"` // of the submissions against their plan
}

// CustomerService is the service of one customer, within its share.
type CustomerService struct {
	Name      string  `json:"name"`
	Submitted int     `json:"offered"`    // messages
	OverShare int     `json:"over_share"` // those of them that exceed its share
	Service   float64 `json:"service"`
}

// weightSum adds up the weight of messages.
type weightSum struct{ submitted, delivered float64 }

func (s *weightSum) add(o MessageOutcome) {
	s.submitted += o.Weight
	s.delivered += o.DeliveredWeight
}

// service returns the delivered part of the weight, 1 if nothing was submitted.
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

// addCustomers adds the service of each customer, and names the worst-served one.
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

// addSubmission counts a submission that did not end in a delivery.
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

// worstWindow returns the worst service of any window in which a message was due, and when that window begins. A run
// that is shorter than a window is one window.
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

// percentile returns the least of the values that is not below a ratio of them, and 0 if there are none.
func percentile(values []time.Duration, ratio float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	rank := int(math.Ceil(ratio * float64(len(sorted))))
	return sorted[min(len(sorted)-1, max(0, rank-1))]
}
