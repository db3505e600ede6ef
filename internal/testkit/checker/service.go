package checker

import (
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// Service is how good a run was: the worth delivered, in full within the aim and in part after it, over the worth asked
// for. A client's further tries belong to its first.
type Service struct {
	Overall              float64           `json:"whole"`
	WorstWindow          float64           `json:"worst_10s"`
	WorstWindowAt        time.Duration     `json:"worst_10s_at"`
	WorstCustomer        string            `json:"worst_customer,omitempty"`
	WorstCustomerService float64           `json:"worst_customer_service"` // within its share
	Customers            []CustomerService `json:"customers"`

	Submitted       int `json:"offered"` // first tries
	DeliveredInTime int `json:"in_full"`
	DeliveredLate   int `json:"in_part"`
	Undelivered     int `json:"undelivered"`
	Rejected        int `json:"refused"`    // hand-ins turned away at the door, further tries too
	Deferred        int `json:"deferred"`   // notices that tell to come again
	Failed          int `json:"failed"`     // notices that promise nothing, and answers that are neither taken nor refused
	Unanswered      int `json:"unanswered"` // hand-ins without an answer
	Calls           int `json:"calls"`      // that came whole
	CallsFailed     int `json:"calls_failed"`
	CallsRejected   int `json:"calls_refused"`
	CallsUnanswered int `json:"calls_without_answer"`

	LatencyP50 time.Duration `json:"latency_p50"` // from hand-in to delivery, of the delivered
	LatencyP95 time.Duration `json:"latency_p95"`
	LatencyP99 time.Duration `json:"latency_p99"`
	LoadLagP99 time.Duration `json:"load_lag_p99"` // of the load against its plan
}

// CustomerShare is the service of one customer, within its share.
type CustomerService struct {
	Name      string  `json:"name"`
	Submitted int     `json:"offered"`
	OverShare int     `json:"over_share"` // of these, beyond its share
	Service   float64 `json:"service"`
}

// Asked is what was asked for with one first try, and what came of it.
type MessageOutcome struct {
	DueAt           time.Duration // when it was due
	Customer        int
	Class           int
	Destination     int
	Weight          float64
	OverShare       bool          // beyond the customer's share
	DeliveredWeight float64       // of the worth, delivered
	DeliveredAt     time.Duration // 0: never
}

// Tries folds the hand-ins of a record into first tries, in the order in which they were due.
func MessageOutcomes(h eventlog.Header, events []eventlog.Event) []MessageOutcome {
	return newJudge(h, events).tries()
}

func (j *judge) tries() []MessageOutcome {
	type first struct {
		*message
		at time.Duration // of its delivery
	}
	var firsts []*first
	of := map[string]*first{}
	for _, m := range j.order {
		x := of[m.FirstID]
		if x == nil {
			x = &first{m, never}
			of[m.FirstID] = x
			firsts = append(firsts, x)
		}
		if at, _, ok := j.delivered(m); ok && j.taken(m) {
			x.at = min(x.at, at)
		}
	}
	shares := NewCustomerShares(j.Header)
	var all []MessageOutcome
	for _, x := range firsts {
		a := MessageOutcome{DueAt: x.At - x.Delay, Customer: x.Customer, Class: x.Class, Destination: x.Destination, Weight: x.class.Weight}
		if a.OverShare = shares.Exceeded(a.Customer, a.DueAt); a.OverShare {
			a.Weight *= j.Rules.OverShareWeightRatio
		}
		if x.at != never {
			a.DeliveredAt = x.at
			a.DeliveredWeight = a.Weight * WeightRatioAfter(x.class, x.at-a.DueAt)
		}
		all = append(all, a)
	}
	return all
}

// Shares tell which first tries are beyond their customers' shares: a bucket each, with room for a second's worth.
type CustomerShares struct {
	customers []eventlog.Customer
	buckets   []struct {
		tokens float64
		at     time.Duration
	}
}

// NewShares returns the shares of a run that has not begun.
func NewCustomerShares(h eventlog.Header) CustomerShares {
	s := CustomerShares{customers: h.Customers}
	s.buckets = slices.Grow(s.buckets, len(h.Customers))[:len(h.Customers)]
	for i, c := range h.Customers {
		s.buckets[i].tokens = max(1, c.RateShare)
	}
	return s
}

// Over tells whether a first try of a customer at a time is beyond its share. Times should not go back.
func (s *CustomerShares) Exceeded(customer int, at time.Duration) bool {
	if customer < 0 || customer >= len(s.customers) || s.customers[customer].RateShare <= 0 {
		return false
	}
	b, quota := &s.buckets[customer], s.customers[customer].RateShare
	b.tokens = min(max(1, quota), b.tokens+quota*max(0, at-b.at).Seconds())
	b.at = max(b.at, at)
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}

// WorthAfter is the share of its worth that a message has when it is delivered after a time.
func WeightRatioAfter(c eventlog.Class, after time.Duration) float64 {
	switch {
	case after <= c.LatencyObjective:
		return 1
	case after > c.Deadline:
		return 0
	}
	return 1 - (1-c.LateWeightRatio)*float64(after-c.LatencyObjective)/float64(c.Deadline-c.LatencyObjective)
}

func (j *judge) service() Service {
	s := Service{Overall: 1, WorstWindow: 1, WorstCustomerService: 1}
	tries := j.tries()
	var latencies, lags []time.Duration
	customers := make([]struct{ worth, value float64 }, len(j.Customers))
	s.Customers = make([]CustomerService, len(j.Customers))
	worth, value := 0.0, 0.0
	for _, a := range tries {
		s.Submitted++
		worth, value = worth+a.Weight, value+a.DeliveredWeight
		switch {
		case a.DeliveredAt == 0:
			s.Undelivered++
		case a.DeliveredAt-a.DueAt <= j.Classes[a.Class].LatencyObjective:
			s.DeliveredInTime++
		default:
			s.DeliveredLate++
		}
		if a.DeliveredAt != 0 {
			latencies = append(latencies, a.DeliveredAt-a.DueAt)
		}
		if a.Customer < len(customers) {
			s.Customers[a.Customer].Submitted++
			if a.OverShare {
				s.Customers[a.Customer].OverShare++
			} else {
				customers[a.Customer].worth += a.Weight
				customers[a.Customer].value += a.DeliveredWeight
			}
		}
	}
	if worth > 0 {
		s.Overall = value / worth
	}
	for i, c := range customers {
		s.Customers[i].Name, s.Customers[i].Service = j.Customers[i].Name, 1
		if c.worth > 0 {
			s.Customers[i].Service = c.value / c.worth
		}
		if s.WorstCustomer == "" || s.Customers[i].Service < s.WorstCustomerService {
			s.WorstCustomer, s.WorstCustomerService = s.Customers[i].Name, s.Customers[i].Service
		}
	}
	s.WorstWindow, s.WorstWindowAt = worstWindow(tries, j.Duration)
	for _, m := range j.order {
		lags = append(lags, m.Delay)
		switch {
		case m.unheard >= 0:
			s.Unanswered++
		case m.heard >= 0 && refused(j.events[m.heard]):
			s.Rejected++
		case m.heard >= 0 && !j.taken(m):
			s.Failed++
		case len(m.notices) > 0 && j.events[m.notices[0]].State == eventlog.StateDeferred:
			s.Deferred++
		case len(m.notices) > 0:
			s.Failed++
		}
	}
	for _, c := range j.arrived {
		s.Calls++
		switch {
		case c.reply < 0:
			s.CallsUnanswered++
		case j.events[c.reply].Status == 429 || j.events[c.reply].Status == 503:
			s.CallsRejected++
		case j.events[c.reply].Status != 200:
			s.CallsFailed++
		}
	}
	s.LatencyP50, s.LatencyP95, s.LatencyP99 = percentile(latencies, 0.5), percentile(latencies, 0.95), percentile(latencies, 0.99)
	s.LoadLagP99 = percentile(lags, 0.99)
	return s
}

// worstWindow is the worst service of any 10 s, a second apart, in which anything was asked for. A run that is shorter
// is one window.
func worstWindow(tries []MessageOutcome, length time.Duration) (worst float64, at time.Duration) {
	worst = math.Inf(1)
	for from := time.Duration(0); from == 0 || from+serviceWindow <= length; from += time.Second {
		worth, value := 0.0, 0.0
		for _, a := range tries {
			if a.DueAt >= from && a.DueAt < from+serviceWindow {
				worth, value = worth+a.Weight, value+a.DeliveredWeight
			}
		}
		if worth > 0 && value/worth < worst {
			worst, at = value/worth, from
		}
	}
	if math.IsInf(worst, 1) {
		return 1, 0
	}
	return worst, at
}

// percentile is the least value that is not below a share of all; 0 of none.
func percentile(values []time.Duration, share float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, max(0, int(math.Ceil(share*float64(len(sorted))))-1))]
}
