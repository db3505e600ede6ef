package fleetstats

// Counts are what a fleet did with a limit scope in a bin of time.
type Counts struct {
	Accepted         int // messages, those that an earlier process had included
	Recovered        int // of them, those that an earlier process had
	Calls            int
	Sent             int // messages in these calls
	Rejected         int // calls that ended as overloaded
	WithRetryAfter   int // of them, those with a Retry-After
	FailedCalls      int // calls that ended otherwise, but delivered nothing
	Delivered        int // messages
	Late             int // of them, after their latency objective
	RejectedMessages int // final answers that ask the client to retry
	FailedMessages   int // final answers that give up
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
