package policy

import "time"

// Outcome is how an attempt or a health check ended.
type Outcome int

// The outcomes of an attempt. Overloaded, ConnectFailed and NotSent prove that the message never ran.
const (
	OK            Outcome = iota // delivered
	Error                        // the endpoint answered with an error
	Overloaded                   // rejected by a rate limit or an overload
	Timeout                      // no answer in time
	ConnectFailed                // no connection could be made
	Reset                        // the connection broke before the answer
	Cancelled                    // the relay abandoned the attempt
	NotSent                      // the call never left the relay
	// UnprovenRejection is a rejection that may not be the answer to the attempt: it counts as a rejection by the
	// endpoint, but does not prove that the message never ran.
	UnprovenRejection
)

// DestinationID is the number of a destination in the endpoint list and in messages.
type DestinationID int

// Endpoint is one entry of the endpoint list. Recordings encode it under its JSON tags, as they do all types of
// this file.
type Endpoint struct {
	ID          string        `json:"Route"`
	Destination DestinationID `json:"Destination"`
	Kind        int           `json:"Kind"` // index into Settings.DestinationKinds
	Zone        int           `json:"Zone"`
	// Weight is the capacity in calls a second from all relays together; 0: unknown.
	Weight float64 `json:"Weight"`
	// InService is false while the endpoint is draining.
	InService bool `json:"InService"`
	// Removed is set if the endpoint has left the list.
	Removed bool `json:"Gone"`
	// Relisted is set if the endpoint was listed before and has been evicted since (see Evictable). It has no
	// effect on an endpoint that the Engine already has.
	Relisted bool `json:"Again"`
}

// EventKind is the kind of an Event.
type EventKind int

// The kinds of event.
const (
	MessageAccepted  EventKind = iota // a client has submitted a message
	AttemptFinished                   // an attempt has its outcome
	MessageCancelled                  // a message needs no further attempts: its client has left, or has its answer
	EndpointSnapshot                  // the complete endpoint list
	EndpointDelta                     // changes to the endpoint list
	WatchFailed                       // a request for the endpoint list has failed
	TimerFired                        // the timer of a SetTimer action has fired
	HealthChecked                     // a health check has its outcome
	QuotaGranted                      // the quota that other relays grant this one has changed
)

// LimitReport is an endpoint's report of its rate limit. The figures are delayed and noisy.
type LimitReport struct {
	Present   bool    `json:"Told"`
	Remaining float64 `json:"Left"`  // fraction of the limit that is left
	Limit     float64 `json:"Limit"` // calls a second; 0: no limit
}

// RecoveredMessage describes the attempts that an earlier process made for a message that it had accepted. A call
// that was in flight when that process ended may have run.
type RecoveredMessage struct {
	Attempts      int           `json:"Attempts"` // attempts used
	MayHaveRun    bool          `json:"Ran"`      // at least one attempt may have run
	SinceFirstRun time.Duration `json:"RanAgo"`   // time since the first attempt that may have run was sent
	FirstRunZone  int           `json:"RanZone"`  // zone that this attempt was sent to
	// Terms are those under which the earlier process accepted the message. If they are nil, the terms of the settings
	// apply: recordings of earlier versions contain none. They are not part of the JSON form, in which no recovered
	// message is passed on.
	Terms *MessageTerms `json:"-"`
}

// Event is one observation for an Engine. Which fields hold a value depends on its kind.
type Event struct {
	Kind      EventKind `json:"Kind"`
	MessageID MessageID `json:"ID"`

	// MessageAccepted.
	Key         string            `json:"Key"`      // ordering key; empty: none
	Class       int               `json:"Class"`    // index into Settings.Classes, unless Recovered has Terms
	Tenant      int               `json:"Customer"` // index into Settings.Tenants
	Destination DestinationID     `json:"Destination"`
	TimeLeft    time.Duration     `json:"Left"`    // time to the deadline
	Recovered   *RecoveredMessage `json:"Resumed"` // set if an earlier process accepted the message

	// AttemptFinished and HealthChecked. Endpoint is also set for QuotaGranted if the endpoint has its own limit
	// scope.
	Attempt      int           `json:"Attempt"`
	Endpoint     string        `json:"Route"`
	Outcome      Outcome       `json:"Outcome"`
	Latency      time.Duration `json:"Took"`
	MessageEnded bool          `json:"Ended"` // the message has its final answer
	RetryAfter   time.Duration `json:"Wait"`  // Retry-After of the answer; 0: none
	LimitReport  LimitReport   `json:"Report"`

	// EndpointSnapshot and EndpointDelta.
	Endpoints []Endpoint `json:"List"`

	// QuotaGranted, for a destination or for an endpoint with its own limit scope. These two figures are all that
	// an Engine receives about the load of other relays.
	ReservedFraction float64 `json:"Share"` // fraction of the relay's even share that it has not lent to others
	GrantedCalls     int     `json:"Calls"` // calls that the relay may make in addition, within TimeLeft
}
