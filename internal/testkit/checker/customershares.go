package checker

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// CustomerShares tell which messages exceed their customers' shares. Each customer with a share has a token bucket that
// holds one second's worth of it, and at least one message.
type CustomerShares struct {
	customers []eventlog.Customer
	buckets   []tokenBucket
}

type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// NewCustomerShares returns the shares at the beginning of a run.
func NewCustomerShares(h eventlog.Header) CustomerShares {
	s := CustomerShares{customers: h.Customers, buckets: make([]tokenBucket, len(h.Customers))}
	for i, c := range h.Customers {
		s.buckets[i].tokens = bucketSize(c)
	}
	return s
}

func bucketSize(c eventlog.Customer) float64 { return max(1, c.RateShare) }

// Exceeded reports whether a customer's message at a time exceeds its share, and takes a token if it does not. Times
// must not go back.
func (s *CustomerShares) Exceeded(customer int, at time.Duration) bool {
	if customer < 0 || customer >= len(s.customers) || s.customers[customer].RateShare <= 0 {
		return false
	}
	c, bucket := s.customers[customer], &s.buckets[customer]
	gained := c.RateShare * max(0, at-bucket.updatedAt).Seconds()
	bucket.tokens = min(bucketSize(c), bucket.tokens+gained)
	bucket.updatedAt = max(bucket.updatedAt, at)
	if bucket.tokens < 1 {
		return true
	}
	bucket.tokens--
	return false
}
