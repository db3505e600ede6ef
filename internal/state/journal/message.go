package journal

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// Message is an accepted message with all that the journal knows of its progress. Its JSON keys are stored: they pass
// from one process to the next in a hot restart.
type Message struct {
	ID             policy.MessageID `json:"ID"`    // assigned by the relay
	TraceID        string           `json:"Trace"` // sent by the client
	IdempotencyKey string           `json:"Key"`   // "" if none
	OrderingKey    string           `json:"Order"` // "" if none or if the class is not ordered
	Class          int              `json:"Class"` // index in the configuration at the time of acceptance
	// ClassName identifies the class across configurations, in which the same class may have another index. It is ""
	// if unknown.
	ClassName   string               `json:"Service"`
	Tenant      int                  `json:"Customer"`
	Destination policy.DestinationID `json:"Dest"`
	Deadline    time.Time            `json:"Deadline"`
	Body        []byte               `json:"Body"` // nil if it was left on disk: see Journal.Body

	Attempts int `json:"Attempts"` // made so far
	// UncertainAttempts are those attempts that may have run: they have no outcome, or one that does not prove that
	// the endpoint never processed them.
	UncertainAttempts []Attempt    `json:"MayRun"`
	Final             *FinalAnswer `json:"Final"` // nil until decided

	// Cancelled reports that the client left without an answer and waits for none. The message may have run, which
	// must be known if the client submits it again.
	Cancelled bool `json:"Withdrawn"`
	// Uncertain reports that lost records may have been about this message: it may have run on any endpoint.
	Uncertain bool `json:"Doubtful"`

	key      uint64 // in the store; 0 if it is not stored
	bodySize int    // in bytes, also while the body is on disk alone
}

// Attempt is one attempt to deliver a message.
type Attempt struct {
	Number   int       `json:"N"` // counts from 0 within a message
	Endpoint string    `json:"Host"`
	Zone     int       `json:"Zone"`
	SentAt   time.Time `json:"At"`
	// Undated reports that the machine was rebooted after the attempt, or that this cannot be determined. SentAt then
	// depends on the wall clock alone, which may have been set.
	Undated bool `json:"Undated"`
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

// Size returns the length of the body in bytes, whether it is in memory or on disk.
func (m *Message) Size() int { return max(m.bodySize, len(m.Body)) }

// addAttempt counts an attempt as made. It is uncertain until its outcome proves that it never ran.
func (m *Message) addAttempt(attempt Attempt) {
	m.Attempts = max(m.Attempts, attempt.Number+1)
	m.UncertainAttempts = append(m.UncertainAttempts, attempt)
}

// removeAttempt drops an attempt that is proven not to have run. It still counts as made.
func (m *Message) removeAttempt(number int) {
	m.UncertainAttempts = slices.DeleteFunc(m.UncertainAttempts, func(a Attempt) bool { return a.Number == number })
}
