package legacylog

import (
	"slices"
	"time"
)

// Message is an accepted message with all that the log knows of its progress. The types of this file are those of the
// stored format, which no longer changes. They are apart from the journal's, so that the journal may change its own and
// still read old logs.
type Message struct {
	ID             uint32 `json:"ID"`    // assigned by the log's user
	TraceID        string `json:"Trace"` // sent by the client
	IdempotencyKey string `json:"Key"`   // "" if none
	OrderingKey    string `json:"Order"` // "" if none or if the class is not ordered
	Class          int    `json:"Class"` // index in the configuration at the time of acceptance
	// ClassName identifies the class across configurations, in which the same class may have another index. It is ""
	// if unknown.
	ClassName   string    `json:"Service,omitempty"`
	Tenant      int       `json:"Customer"`
	Destination int       `json:"Dest"`
	Deadline    time.Time `json:"Deadline"`
	Body        []byte    `json:"-"` // stands behind the JSON of its record

	Attempts int `json:"Attempts"` // made so far
	// UncertainAttempts are those attempts that may have run: they have no outcome, or one that does not prove that
	// the endpoint never processed them.
	UncertainAttempts []Attempt    `json:"MayRun"`
	Final             *FinalAnswer `json:"Final"` // nil until decided

	// Cancelled reports that the client left without an answer and waits for none. The message may have run, which
	// must be known if the client submits it again.
	Cancelled bool `json:"Withdrawn,omitempty"`
}

// Attempt is one attempt to deliver a message.
type Attempt struct {
	Number   int       `json:"N"` // counts from 0 within a message
	Endpoint string    `json:"Host"`
	Zone     int       `json:"Zone"`
	SentAt   time.Time `json:"At"`
}

// FinalAnswer is the answer that ends a message which was not delivered.
type FinalAnswer struct {
	Retryable  bool          `json:"Deferred"` // the client may safely submit the message again
	RetryAfter time.Duration `json:"Again"`
}

// Send is an attempt that is about to be made, and its message.
type Send struct {
	Message *Message
	Attempt Attempt
}

// addAttempt counts an attempt as made. It is uncertain until its outcome proves that it never ran.
func (m *Message) addAttempt(attempt Attempt) {
	m.Attempts = max(m.Attempts, attempt.Number+1)
	m.UncertainAttempts = append(m.UncertainAttempts, attempt)
}

// removeAttempt drops an attempt that is proven not to have run. It still counts as made.
func (m *Message) removeAttempt(number int) {
	m.UncertainAttempts = slices.DeleteFunc(m.UncertainAttempts, func(a Attempt) bool { return a.Number == number })
}

// Estimates of what a message takes in a compacted log, in bytes. They are upper bounds for the JSON of a record with
// its keys and numbers; strings and the body come in addition.
const (
	messageOverhead = 280
	attemptOverhead = 80
)

// estimatedSize returns about what a message takes in a compacted log.
func estimatedSize(m *Message) int64 {
	size := messageOverhead + len(m.Body) + len(m.TraceID) + len(m.IdempotencyKey) + len(m.OrderingKey)
	for _, attempt := range m.UncertainAttempts {
		size += attemptOverhead + len(attempt.Endpoint)
	}
	return int64(size)
}
