package journal

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// Message is an accepted message and its recorded progress. Its JSON keys must not change: in a hot restart, one
// process passes its messages to the next as JSON.
type Message struct {
	ID             policy.MessageID `json:"ID"`    // assigned by the relay
	TraceID        string           `json:"Trace"` // sent by the client
	IdempotencyKey string           `json:"Key"`   // "" if none
	OrderingKey    string           `json:"Order"` // "" if none or if the class is not ordered
	Class          int              `json:"Class"` // index of the class in the configuration at the time of acceptance
	// ClassName identifies the class where a client names it and in metrics, because the index of a class may differ
	// between configurations. It is "" if unknown.
	ClassName string `json:"Service"`
	// Terms bind the message until it is complete, whatever the settings of this or of a later process are. They are
	// nil if they are unknown, since earlier programs did not store them. They are not part of the JSON form: a
	// successor sets the terms of a message that its predecessor passes on.
	Terms  *policy.MessageTerms `json:"-"`
	Tenant int                  `json:"Customer"`
	// TenantName identifies the tenant in any other process, as Tenant is an index of a configuration. It is "" if it
	// is unknown or if there are no tenants. It is not part of the JSON form: a successor knows its predecessor's
	// tenants.
	TenantName  string               `json:"-"`
	Destination policy.DestinationID `json:"Dest"`
	Deadline    time.Time            `json:"Deadline"`
	Body        []byte               `json:"Body"` // nil if it is only on disk: see Journal.Body

	Attempts int `json:"Attempts"` // number of attempts made so far
	// UncertainAttempts are the attempts that may have run: they have no outcome, or their outcome does not prove
	// that the endpoint never processed the message.
	UncertainAttempts []Attempt    `json:"MayRun"`
	Final             *FinalAnswer `json:"Final"` // nil until decided

	// Cancelled reports that the client disconnected before the final answer and no longer waits for one. The message
	// may have run. The journal keeps its attempts in case the client submits the message again.
	Cancelled bool `json:"Withdrawn"`
	// Delivered reports that the message was delivered. It is kept without its body, and as cancelled, in case its
	// client did not receive the answer and submits it again.
	Delivered bool `json:"-"`
	// Uncertain reports that records of this message may have been lost: it may have run on any endpoint.
	Uncertain bool `json:"Doubtful"`

	key      uint64 // key of the message in the store; 0 if the message is not stored
	bodySize int    // in bytes, even if the body is only on disk
}

// Attempt is one attempt to deliver a message.
type Attempt struct {
	Number   int    `json:"N"` // counts from 0 within a message
	Endpoint string `json:"Host"`
	// Zone is the index of the endpoint's zone in the configuration of the process that made the attempt. ZoneName
	// identifies the zone in any other process. It is "" if it is unknown, since earlier programs did not store it. It
	// is not part of the JSON form: messages that are passed on as JSON have no attempts.
	Zone     int       `json:"Zone"`
	ZoneName string    `json:"-"`
	SentAt   time.Time `json:"At"`
	// Undated reports that the machine was rebooted after the attempt, or that this cannot be determined. SentAt then
	// depends on the wall clock alone, which may have been set in the meantime.
	Undated bool `json:"Undated"`
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

// Size returns the length of the body in bytes, whether it is in memory or on disk.
func (m *Message) Size() int { return max(m.bodySize, len(m.Body)) }

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
