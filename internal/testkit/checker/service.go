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
	Whole         float64         `json:"whole"`
	Worst10s      float64         `json:"worst_10s"`
	Worst10sAt    time.Duration   `json:"worst_10s_at"`
	WorstCustomer string          `json:"worst_customer,omitempty"`
	Worst         float64         `json:"worst_customer_service"` // within its share
	Customers     []CustomerShare `json:"customers"`

	Offered     int `json:"offered"` // first tries
	InFull      int `json:"in_full"`
	InPart      int `json:"in_part"`
	Undelivered int `json:"undelivered"`
	Refused     int `json:"refused"`    // hand-ins turned away at the door, further tries too
	Deferred    int `json:"deferred"`   // notices that tell to come again
	Failed      int `json:"failed"`     // notices that promise nothing, and answers that are neither taken nor refused
	Unanswered  int `json:"unanswered"` // hand-ins without an answer
	Calls       int `json:"calls"`      // that came whole
	CallsFailed int `json:"calls_failed"`
	CallsFull   int `json:"calls_refused"`
	CallsMute   int `json:"calls_without_answer"`

	Median     time.Duration `json:"latency_p50"` // from hand-in to delivery, of the delivered
	P95        time.Duration `json:"latency_p95"`
	P99        time.Duration `json:"latency_p99"`
	LoadLagP99 time.Duration `json:"load_lag_p99"` // of the load against its plan
}

// CustomerShare is the service of one customer, within its share.
type CustomerShare struct {
	Name    string  `json:"name"`
	Offered int     `json:"offered"`
	Over    int     `json:"over_share"` // of these, beyond its share
	Service float64 `json:"service"`
}

// Asked is what was asked for with one first try, and what came of it.
type Asked struct {
	At        time.Duration // when it was due
	Customer  int
	Class     int
	Dest      int
	Worth     float64
	Over      bool          // beyond the customer's share
	Value     float64       // of the worth, delivered
	Delivered time.Duration // 0: never
}

// Tries folds the hand-ins of a record into first tries, in the order in which they were due.
func Tries(h eventlog.Header, events []eventlog.Event) []Asked {
	return newJudge(h, events).tries()
}

func (j *judge) tries() []Asked {
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
	shares := NewShares(j.Header)
	var all []Asked
	for _, x := range firsts {
		a := Asked{At: x.At - x.Delay, Customer: x.Customer, Class: x.Class, Dest: x.Destination, Worth: x.class.Weight}
		if a.Over = shares.Over(a.Customer, a.At); a.Over {
			a.Worth *= j.Rules.OverShareWeightRatio
		}
		if x.at != never {
			a.Delivered = x.at
			a.Value = a.Worth * WorthAfter(x.class, x.at-a.At)
		}
		all = append(all, a)
	}
	return all
}

// Shares tell which first tries are beyond their customers' shares: a bucket each, with room for a second's worth.
type Shares struct {
	customers []eventlog.Customer
	buckets   []struct {
		tokens float64
		at     time.Duration
	}
}

// NewShares returns the shares of a run that has not begun.
func NewShares(h eventlog.Header) Shares {
	s := Shares{customers: h.Customers}
	s.buckets = slices.Grow(s.buckets, len(h.Customers))[:len(h.Customers)]
	for i, c := range h.Customers {
		s.buckets[i].tokens = max(1, c.RateShare)
	}
	return s
}

// Over tells whether a first try of a customer at a time is beyond its share. Times should not go back.
func (s *Shares) Over(customer int, at time.Duration) bool {
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
func WorthAfter(c eventlog.Class, after time.Duration) float64 {
	switch {
	case after <= c.LatencyObjective:
		return 1
	case after > c.Deadline:
		return 0
	}
	return 1 - (1-c.LateWeightRatio)*float64(after-c.LatencyObjective)/float64(c.Deadline-c.LatencyObjective)
}

func (j *judge) service() Service {
	s := Service{Whole: 1, Worst10s: 1, Worst: 1}
	tries := j.tries()
	var latencies, lags []time.Duration
	customers := make([]struct{ worth, value float64 }, len(j.Customers))
	s.Customers = make([]CustomerShare, len(j.Customers))
	worth, value := 0.0, 0.0
	for _, a := range tries {
		s.Offered++
		worth, value = worth+a.Worth, value+a.Value
		switch {
		case a.Delivered == 0:
			s.Undelivered++
		case a.Delivered-a.At <= j.Classes[a.Class].LatencyObjective:
			s.InFull++
		default:
			s.InPart++
		}
		if a.Delivered != 0 {
			latencies = append(latencies, a.Delivered-a.At)
		}
		if a.Customer < len(customers) {
			s.Customers[a.Customer].Offered++
			if a.Over {
				s.Customers[a.Customer].Over++
			} else {
				customers[a.Customer].worth += a.Worth
				customers[a.Customer].value += a.Value
			}
		}
	}
	if worth > 0 {
		s.Whole = value / worth
	}
	for i, c := range customers {
		s.Customers[i].Name, s.Customers[i].Service = j.Customers[i].Name, 1
		if c.worth > 0 {
			s.Customers[i].Service = c.value / c.worth
		}
		if s.WorstCustomer == "" || s.Customers[i].Service < s.Worst {
			s.WorstCustomer, s.Worst = s.Customers[i].Name, s.Customers[i].Service
		}
	}
	s.Worst10s, s.Worst10sAt = worstWindow(tries, j.Duration)
	for _, m := range j.order {
		lags = append(lags, m.Delay)
		switch {
		case m.unheard >= 0:
			s.Unanswered++
		case m.heard >= 0 && refused(j.events[m.heard]):
			s.Refused++
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
			s.CallsMute++
		case j.events[c.reply].Status == 429 || j.events[c.reply].Status == 503:
			s.CallsFull++
		case j.events[c.reply].Status != 200:
			s.CallsFailed++
		}
	}
	s.Median, s.P95, s.P99 = percentile(latencies, 0.5), percentile(latencies, 0.95), percentile(latencies, 0.99)
	s.LoadLagP99 = percentile(lags, 0.99)
	return s
}

// worstWindow is the worst service of any 10 s, a second apart, in which anything was asked for. A run that is shorter
// is one window.
func worstWindow(tries []Asked, length time.Duration) (worst float64, at time.Duration) {
	worst = math.Inf(1)
	for from := time.Duration(0); from == 0 || from+windowSpan <= length; from += time.Second {
		worth, value := 0.0, 0.0
		for _, a := range tries {
			if a.At >= from && a.At < from+windowSpan {
				worth, value = worth+a.Worth, value+a.Value
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
