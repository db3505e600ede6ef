package policy

import "time"

// MinRetryAfter is the shortest Retry-After of a rejection, so that rejected clients do not come back at once.
const MinRetryAfter = 500 * time.Millisecond

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of action.
const (
	Send           ActionKind = iota // start an attempt
	Reject                           // end the message; the client may safely retry
	Fail                             // end the message; whether it ran is unknown
	SetTimer                         // deliver a TimerFired event after Delay
	CloseIdle                        // close the idle connections to an endpoint
	WatchEndpoints                   // subscribe to changes of the endpoint list
	RequestQuota                     // ask other relays for Calls to the limit scope of Endpoint
)

// MessageID identifies a message within one relay. The relay numbers the messages that it accepts.
type MessageID uint32

// Action is one decision of an Engine.
type Action struct {
	Kind      ActionKind
	MessageID MessageID
	Endpoint  string
	TimeoutAt time.Duration // Send: the time at which to abandon the attempt
	Delay     time.Duration // Reject: Retry-After for the client; SetTimer: time from now
	Calls     int           // RequestQuota: the number of calls that messages wait for
}
