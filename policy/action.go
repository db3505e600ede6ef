package policy

import "time"

// MinRetryAfter is the least time that a client turned away is told to stay away.
const MinRetryAfter = defaultRetryAfter

// ActionKind names what an Action asks for.
type ActionKind int

// The kinds of action.
const (
	Send           ActionKind = iota // start an attempt
	Reject                           // end the message; the client may safely come again
	Fail                             // end the message; nothing is promised
	SetTimer                         // ask for a Woken event after Delay
	CloseIdle                        // close the idle connections to a route
	WatchEndpoints                   // subscribe to list changes
	RequestQuota                     // for Calls to the scope of Route that others may spare
)

// Action is one thing that a Sender decides.
type Action struct {
	Kind      ActionKind
	MessageID uint32
	Endpoint  string
	TimeoutAt time.Duration // Send: time to drop the attempt
	Delay     time.Duration // Refuse: advice to the client; Wake: time from now
	Calls     int           // Ask: as many as messages wait for
}
