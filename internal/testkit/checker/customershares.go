package checker

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// CustomerShares determines which messages exceed their customers' shares. Each customer with a share has a token
// bucket, from which each message takes a token. The bucket holds the tokens of one second, and at least one.
type CustomerShares struct {
	customers []eventlog.Customer
	buckets   []tokenBucket
}

type tokenBucket struct {
	tokens    float64
	updatedAt time.Duration
}

// NewCustomerShares returns the shares at the start of a run, with full buckets.
func NewCustomerShares(h eventlog.Header) CustomerShares {
	s := CustomerShares{customers: h.Customers, buckets: make([]tokenBucket, len(h.Customers))}
	for i, c := range h.Customers {
		s.buckets[i].tokens = bucketSize(c)
	}
	return s
}

func bucketSize(c eventlog.Customer) float64 { return max(1, c.RateShare) }

// Exceeded reports whether a message that a customer submits at a time exceeds the customer's share, and takes a
// token if it does not. The calls for a customer should be in the order of their times: a time before the previous
// one adds no tokens.
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
