package fleetstats

// Counts holds the counts of one rate-limit scope in one time bin, summed over all relays. Calls and sent messages
// count for the scope of their endpoint, other messages for the scope that is named after their destination.
type Counts struct {
	Accepted         int // messages, including the recovered ones
	Recovered        int // messages that an earlier process had accepted
	Calls            int
	Sent             int // messages in these calls, counted once for each attempt
	Rejected         int // calls that delivered nothing and that the endpoint rejected as overloaded
	WithRetryAfter   int // rejected calls with a Retry-After
	FailedCalls      int // other calls that delivered nothing
	Delivered        int // messages
	Late             int // messages that were delivered after their latency objective
	RejectedMessages int // final answers that ask the client to retry
	FailedMessages   int // final answers that report a failure
}

func (c *Counts) add(other *Counts) {
	c.Accepted += other.Accepted
	c.Recovered += other.Recovered
	c.Calls += other.Calls
	c.Sent += other.Sent
	c.Rejected += other.Rejected
	c.WithRetryAfter += other.WithRetryAfter
	c.FailedCalls += other.FailedCalls
	c.Delivered += other.Delivered
	c.Late += other.Late
	c.RejectedMessages += other.RejectedMessages
	c.FailedMessages += other.FailedMessages
}
