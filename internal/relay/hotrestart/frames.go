package hotrestart

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Frame is the unit of transmission between the two processes. Exactly one field is set. The tags fix the JSON keys,
// since the other process may be of another build.
type Frame struct {
	Hello      *Hello           `json:"Hello,omitempty"`    // from the successor: its first frame
	Welcome    bool             `json:"Welcome,omitempty"`  // to the successor: the sender hands over when it ends
	State      *State           `json:"State,omitempty"`    // to the successor, once
	Outcome    *Outcome         `json:"Outcome,omitempty"`  // to the successor
	Submission *Submission      `json:"HandIn,omitempty"`   // to the successor
	Answer     *Answer          `json:"Answer,omitempty"`   // from the successor
	Cancel     policy.MessageID `json:"Withdraw,omitempty"` // to the successor: a message whose client left unanswered
}

// Hello identifies the process that wants to take over.
type Hello struct {
	Revision string `json:"Revision"` // of its policy module
}

// State is the part of a relay's state that its journal does not hold.
type State struct {
	Now      time.Duration `json:"Now"`      // time of the policy's clock
	At       time.Time     `json:"At"`       // time of the wall clock at the same moment
	WakeAt   time.Time     `json:"WakeAt"`   // when the policy's timer fires; zero: no timer is set
	Snapshot []byte        `json:"Snapshot"` // the policy's state, from policy.Engine.Snapshot
	Config   reload.Config `json:"Terms"`    // the configuration in force

	// The endpoint list. If LargeList is set, the list is too long for the policy to hold all of it. Endpoints are then
	// only those that the policy holds, and Destinations is empty.
	Version      int64                  `json:"Version"`
	LargeList    bool                   `json:"Large"`
	Endpoints    []Endpoint             `json:"Routes"`
	Destinations []policy.DestinationID `json:"Cells"` // named by the list, now or earlier

	LastID           policy.MessageID  `json:"LastID"` // the last message ID that was assigned
	Messages         []Message         `json:"Messages"`
	Attempts         []Attempt         `json:"Attempts"`        // those whose calls are in flight
	PendingEvents    []policy.Event    `json:"Later"`           // events for the policy's next step
	FinishedMessages []FinishedMessage `json:"Ended,omitempty"` // in the order in which they finished
}

// FinishedMessage is a message that has ended. If its client submits it again before Until, the client is answered with
// Status.
type FinishedMessage struct {
	TraceID string    `json:"Trace"`
	Status  int       `json:"Status"`
	Until   time.Time `json:"Until"`
}

// Endpoint is an endpoint of the list with its address.
type Endpoint struct {
	policy.Endpoint
	Addr string `json:"Addr"`
}

// Message is the part of a message's state that the journal does not hold.
type Message struct {
	ID              policy.MessageID `json:"ID"`
	TraceID         string           `json:"Trace"`
	AttemptsStarted int              `json:"Sends"`
	Completed       bool             `json:"Ended"`  // the policy makes no more decisions on it
	HasDuplicates   bool             `json:"Shared"` // a second submission of it was accepted: it cannot be cancelled
	ResubmittedAs   policy.MessageID `json:"Next"`   // message ID of its resubmission by the client; 0: none
}

// Attempt is an attempt whose call is in flight.
type Attempt struct {
	ID       policy.MessageID `json:"ID"` // ID of its message
	Number   int              `json:"N"`
	Endpoint string           `json:"Route"`
	Zone     int              `json:"Zone"`
	SentAt   time.Time        `json:"Sent"`
	Finished bool             `json:"Over"` // its outcome is known; its call is in flight for other attempts
}

// Outcome reports how an attempt of the predecessor ended.
type Outcome struct {
	ID           policy.MessageID   `json:"ID"` // ID of the attempt's message
	Number       int                `json:"N"`
	Outcome      policy.Outcome     `json:"Outcome"`
	MessageEnded bool               `json:"Gone"` // nothing more is to be done for the message
	RetryAfter   time.Duration      `json:"Wait"`
	LimitReport  policy.LimitReport `json:"Report"`
	Latency      time.Duration      `json:"Took"`
	CallFinished bool               `json:"Last"` // its call has ended, too: no other outcome of the attempt follows
}

// Submission is a message that a client submits to the predecessor after the hand-over.
type Submission struct {
	Seq     uint64           `json:"Seq"` // the same as in the Answer
	Message *journal.Message `json:"Message"`
}

// Answer is the response to the client of a Submission.
type Answer struct {
	Seq        uint64           `json:"Seq"` // the same as in the Submission
	ID         policy.MessageID `json:"ID"`  // ID of the message; 0: it was not accepted
	Status     int              `json:"Status"`
	RetryAfter time.Duration    `json:"Again"`
	Text       string           `json:"Text"`
}
