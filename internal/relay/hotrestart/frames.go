package hotrestart

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Frame is one message between the two processes. Exactly one field is set. The tags pin the keys: the other process
// may be of another build.
type Frame struct {
	Hello      *Hello           `json:"Hello,omitempty"`    // from the successor, first
	Welcome    bool             `json:"Welcome,omitempty"`  // to it: the predecessor hands over when it ends
	State      *State           `json:"State,omitempty"`    // to it, once
	Outcome    *Outcome         `json:"Outcome,omitempty"`  // to it
	Submission *Submission      `json:"HandIn,omitempty"`   // to it
	Answer     *Answer          `json:"Answer,omitempty"`   // from it
	Cancel     policy.MessageID `json:"Withdraw,omitempty"` // to it: the message whose client left without its answer
}

// Hello says which process takes over.
type Hello struct {
	Revision string `json:"Revision"` // of its policy
}

// State is the state of a relay beside its journal.
type State struct {
	Now      time.Duration `json:"Now"`      // by the policy's clock
	At       time.Time     `json:"At"`       // by the wall clock, at the same moment
	WakeAt   time.Time     `json:"WakeAt"`   // when the policy's timer fires; zero: none is set
	Snapshot []byte        `json:"Snapshot"` // policy.Engine.Snapshot
	Config   reload.Config `json:"Terms"`    // in force

	// The endpoint list. If LargeList is set it is too long for the policy to hold all of it: then Endpoints are those
	// that the policy holds, and Destinations is empty.
	Version      int64                  `json:"Version"`
	LargeList    bool                   `json:"Large"`
	Endpoints    []Endpoint             `json:"Routes"`
	Destinations []policy.DestinationID `json:"Cells"` // that the list has named

	LastID           policy.MessageID  `json:"LastID"` // of messages
	Messages         []Message         `json:"Messages"`
	Attempts         []Attempt         `json:"Attempts"`        // without an outcome
	PendingEvents    []policy.Event    `json:"Later"`           // of the policy's next step
	FinishedMessages []FinishedMessage `json:"Ended,omitempty"` // in the order in which they finished
}

// FinishedMessage is a message that has ended, and what its client is answered if it submits the message again until
// then.
type FinishedMessage struct {
	TraceID string    `json:"Trace"`
	Status  int       `json:"Status"`
	Until   time.Time `json:"Until"`
}

// Endpoint is an endpoint of the list, with its address.
type Endpoint struct {
	policy.Endpoint
	Addr string `json:"Addr"`
}

// Message is what a relay knows of a message beside the journal.
type Message struct {
	ID              policy.MessageID `json:"ID"`
	TraceID         string           `json:"Trace"`
	AttemptsStarted int              `json:"Sends"`
	Completed       bool             `json:"Ended"`  // the policy has done with it
	HasDuplicates   bool             `json:"Shared"` // other submissions were answered with it, too
	ResubmittedAs   policy.MessageID `json:"Next"`   // the message that it goes on as; 0: none
}

// Attempt is an attempt whose call is in flight.
type Attempt struct {
	ID       policy.MessageID `json:"ID"` // of its message
	Number   int              `json:"N"`
	Endpoint string           `json:"Route"`
	Zone     int              `json:"Zone"`
	SentAt   time.Time        `json:"Sent"`
	Finished bool             `json:"Over"` // its outcome is known, its call goes on for others
}

// Outcome is how an attempt of the predecessor ended.
type Outcome struct {
	ID           policy.MessageID   `json:"ID"` // of its message
	Number       int                `json:"N"`
	Outcome      policy.Outcome     `json:"Outcome"`
	MessageEnded bool               `json:"Gone"`
	RetryAfter   time.Duration      `json:"Wait"`
	LimitReport  policy.LimitReport `json:"Report"`
	Latency      time.Duration      `json:"Took"`
	CallFinished bool               `json:"Last"` // its call has ended, too: no other outcome follows
}

// Submission is a message that a client of the predecessor submits.
type Submission struct {
	Seq     uint64           `json:"Seq"` // of its Answer
	Message *journal.Message `json:"Message"`
}

// Answer is what that client is answered.
type Answer struct {
	Seq        uint64           `json:"Seq"`
	ID         policy.MessageID `json:"ID"` // of the message; 0: it was not accepted
	Status     int              `json:"Status"`
	RetryAfter time.Duration    `json:"Again"`
	Text       string           `json:"Text"`
}
