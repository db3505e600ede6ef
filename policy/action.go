package policy

import "time"

// MinRetryAfter is the shortest Retry-After of a rejection, unless Settings.MaxRetryAfter is shorter. It keeps
// rejected clients from retrying at once.
const MinRetryAfter = 500 * time.Millisecond

// ActionKind is the kind of an Action.
type ActionKind int

// The kinds of action.
const (
	Send           ActionKind = iota // start an attempt
	Reject                           // reject the message: its client may safely retry it
	Fail                             // fail the message: it may have run
	SetTimer                         // deliver a TimerFired event after Delay
	CloseIdle                        // close the idle connections to an endpoint
	WatchEndpoints                   // subscribe to changes of the endpoint list
	RequestQuota                     // request a grant of Calls for the limit scope of Endpoint from other relays
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
	Calls     int           // RequestQuota: the number of calls that the waiting messages need
}
