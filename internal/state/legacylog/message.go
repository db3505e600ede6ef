package legacylog

import (
	"slices"
	"time"
)

// Message is an accepted message and its recorded progress. The types in this file define the stored format, which no
// longer changes. They are separate from the journal's types, so that the journal can change its types and still
// migrate old logs.
type Message struct {
	ID             uint32 `json:"ID"`    // assigned by the caller of Accept
	TraceID        string `json:"Trace"` // sent by the client
	IdempotencyKey string `json:"Key"`   // "" if none
	OrderingKey    string `json:"Order"` // "" if none or if the class is not ordered
	Class          int    `json:"Class"` // index of the class in the configuration at the time of acceptance
	// ClassName identifies the class if the configuration changes, because the index of a class may differ between
	// configurations. It is "" if unknown.
	ClassName   string    `json:"Service,omitempty"`
	Tenant      int       `json:"Customer"`
	Destination int       `json:"Dest"`
	Deadline    time.Time `json:"Deadline"`
	Body        []byte    `json:"-"` // stored after the JSON of the record

	Attempts int `json:"Attempts"` // number of attempts made so far
	// UncertainAttempts are the attempts that may have run: they have no outcome, or their outcome does not prove
	// that the endpoint never processed the message.
	UncertainAttempts []Attempt    `json:"MayRun"`
	Final             *FinalAnswer `json:"Final"` // nil until decided

	// Cancelled reports that the client disconnected before the final answer and no longer waits for one. The message
	// may have run. The log keeps its attempts in case the client submits the message again.
	Cancelled bool `json:"Withdrawn,omitempty"`
}

// Attempt is one attempt to deliver a message.
type Attempt struct {
	Number   int       `json:"N"` // counts from 0 within a message
	Endpoint string    `json:"Host"`
	Zone     int       `json:"Zone"`
	SentAt   time.Time `json:"At"`
}

// FinalAnswer is the final answer of a message that was not delivered.
type FinalAnswer struct {
	Retryable  bool          `json:"Deferred"` // the client may safely submit the message again
	RetryAfter time.Duration `json:"Again"`
}

// Send is an attempt that is about to be made, and its message.
type Send struct {
	Message *Message
	Attempt Attempt
}

// addAttempt counts an attempt as made and adds it to UncertainAttempts, where it stays until an outcome proves that
// it never ran.
func (m *Message) addAttempt(attempt Attempt) {
	m.Attempts = max(m.Attempts, attempt.Number+1)
	m.UncertainAttempts = append(m.UncertainAttempts, attempt)
}

// removeAttempt removes an attempt that never ran from UncertainAttempts. Attempts still counts it.
func (m *Message) removeAttempt(number int) {
	m.UncertainAttempts = slices.DeleteFunc(m.UncertainAttempts, func(a Attempt) bool { return a.Number == number })
}

// Parts of the estimated size of a message in a compacted log, in bytes. Each is an upper bound for the JSON keys and
// numbers. The lengths of strings and of the body are added to them.
const (
	messageOverhead = 280 // of a message without its attempts
	attemptOverhead = 80  // of each uncertain attempt
)

// estimatedSize returns the approximate size of a message in a compacted log, in bytes.
func estimatedSize(m *Message) int64 {
	size := messageOverhead + len(m.Body) + len(m.TraceID) + len(m.IdempotencyKey) + len(m.OrderingKey)
	for _, attempt := range m.UncertainAttempts {
		size += attemptOverhead + len(attempt.Endpoint)
	}
	return int64(size)
}
