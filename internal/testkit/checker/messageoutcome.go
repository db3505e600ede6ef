package checker

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// MessageOutcome is the result of a client's message over all its submissions.
type MessageOutcome struct {
	DueAt           time.Duration // when the plan first submits the message
	Customer        int
	Class           int
	Destination     int
	Weight          float64       // reduced if the message exceeds the customer's share
	OverShare       bool          // the message exceeds the customer's share
	DeliveredWeight float64       // the part of Weight that counts as delivered
	DeliveredAt     time.Duration // 0: not delivered
}

// latency returns the time from the message's due time to its delivery.
func (o MessageOutcome) latency() time.Duration { return o.DeliveredAt - o.DueAt }

// MessageOutcomes returns the outcomes of the messages of a record, in the order of their first submissions.
func MessageOutcomes(h eventlog.Header, events []eventlog.Event) []MessageOutcome {
	return newRecord(h, events).messageOutcomes()
}

func (r *record) messageOutcomes() []MessageOutcome {
	firsts, deliveredAt := r.firstSubmissions()
	shares := NewCustomerShares(r.Header)
	outcomes := make([]MessageOutcome, 0, len(firsts))
	for _, m := range firsts {
		o := MessageOutcome{
			DueAt:       m.At - m.Delay,
			Customer:    m.Customer,
			Class:       m.Class,
			Destination: m.Destination,
			Weight:      m.class.Weight,
		}
		o.OverShare = shares.Exceeded(o.Customer, o.DueAt)
		if o.OverShare {
			o.Weight *= r.Rules.OverShareWeightRatio
		}
		if at, ok := deliveredAt[m.FirstID]; ok {
			o.DeliveredAt = at
			o.DeliveredWeight = o.Weight * WeightRatioAfter(m.class, o.latency())
		}
		outcomes = append(outcomes, o)
	}
	return outcomes
}

// firstSubmissions returns the first submission of each message. For each message of which an accepted submission
// was delivered, it also returns the time of the earliest delivery, by the id of the first submission.
func (r *record) firstSubmissions() (firsts []*message, deliveredAt map[string]time.Duration) {
	seen := map[string]bool{}
	deliveredAt = map[string]time.Duration{}
	for _, m := range r.submissions {
		if !seen[m.FirstID] {
			seen[m.FirstID] = true
			firsts = append(firsts, m)
		}
		if !r.accepted(m) {
			continue
		}
		if at, _, ok := r.delivery(m); ok {
			if earlier, delivered := deliveredAt[m.FirstID]; !delivered || at < earlier {
				deliveredAt[m.FirstID] = at
			}
		}
	}
	return firsts, deliveredAt
}

// WeightRatioAfter returns the part of its weight, from 0 to 1, that a message of a class contributes if it is
// delivered after a latency: 1 up to the latency objective, then falling linearly to LateWeightRatio at the
// deadline, and 0 after the deadline.
func WeightRatioAfter(c eventlog.Class, latency time.Duration) float64 {
	switch {
	case latency <= c.LatencyObjective:
		return 1
	case latency > c.Deadline:
		return 0
	}
	return 1 - (1-c.LateWeightRatio)*float64(latency-c.LatencyObjective)/float64(c.Deadline-c.LatencyObjective)
}
