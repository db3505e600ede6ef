package policy

import "time"

// Effect says what repeating a message of a class may do.
type Effect int

// The three kinds of effect.
const (
	Idempotent      Effect = iota // may be repeated and refused at will
	IdempotentByKey               // repeats are dropped inside a group of routes and a window
	NonIdempotent                 // must never take effect twice
)

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes of an attempt. Full, ConnectFailed and Moot prove that it never ran.
const (
	OK Outcome = iota
	Error
	Overloaded
	Timeout
	ConnectFailed
	Reset
	Cancelled
	NotSent
)

// Class is one class of message.
type Class struct {
	Effect           Effect        `json:"Effect"`
	DedupAllZones    bool          `json:"GroupAll"` // Keyed: every route of the destination drops repeats; else those of one zone
	DedupWindow      time.Duration `json:"Window"`   // Keyed: how long repeats are dropped, from the first send that may have run
	Ordered          bool          `json:"Ordered"`  // messages of one key take turns
	LatencyObjective time.Duration `json:"Aim"`      // delivered within this, a message earns its full worth
	Deadline         time.Duration `json:"GiveUp"`   // how long a message may be delivered
	Weight           float64       `json:"Value"`    // worth of a message; default 1
}

// DestinationKind is one kind of destination.
type DestinationKind struct {
	LimitPerEndpoint bool `json:"Separate"` // its routes are separate: each has its own limit, pace and outages
	MaxBatch         int  `json:"PerCall"`  // messages in one call at most; default 1
}

// Tenant is one customer of the service.
type Tenant struct {
	Quota float64 `json:"Quota"` // messages a second within its share, over all senders; 0: no share is set
}

// Settings are what a Sender is told when it starts. Zero values of optional fields mean their default.
type Settings struct {
	Classes               []Class           `json:"Classes"`
	DestinationKinds      []DestinationKind `json:"Kinds"`
	Tenants               []Tenant          `json:"Customers"`
	FleetSize             int               `json:"Senders"`        // senders of the fleet; default 1
	MaxInFlightCalls      int               `json:"Slots"`          // calls out at once; 0: no limit
	MaxPendingMessages    int               `json:"MaxHeld"`        // messages held at once; 0: no limit
	MaxAttempts           int               `json:"MaxAttempts"`    // attempts for a message; 0: no limit
	MaxRetryAfter         time.Duration     `json:"MaxRetryAfter"`  // longest advice that a client heeds; 0: none is given
	ApproximateWeights    bool              `json:"RoughWeights"`   // listed weights may be up to half too high or too low
	IgnoreWeights         bool              `json:"NoWeights"`      // listed weights tell nothing
	WatchRequired         bool              `json:"AskList"`        // list changes come only after Watch
	ZoneCosts             []float64         `json:"Carriage"`       // fee for each zone of a separate route
	WarmUpInitialCapacity float64           `json:"ColdShare"`      // share of its capacity that a destination has after an outage; default 0.1
	WarmUpDuration        time.Duration     `json:"WarmWithin"`     // and all of it after this; default 30 s
	OverloadFactor        float64           `json:"OverloadFactor"` // sent more than this multiple of its capacity; default 1
	OverloadWindow        time.Duration     `json:"OverloadWindow"` // for this long, it falls over
	OrderingPause         time.Duration     `json:"OrderPause"`     // rest of a key after an attempt that may still run
}

// Endpoint is one entry of the list of routes.
type Endpoint struct {
	ID          string  `json:"Route"`
	Destination int     `json:"Destination"`
	Kind        int     `json:"Kind"`
	Zone        int     `json:"Zone"`
	Weight      float64 `json:"Weight"`    // calls a second from all senders together; 0: not told
	InService   bool    `json:"InService"` // false: draining
	Removed     bool    `json:"Gone"`      // removed
	Relisted    bool    `json:"Again"`     // as it was listed before, and forgotten since (Resting); of a route that is known it says nothing
}

// EventKind names what an Event tells.
type EventKind int

// The kinds of event.
const (
	MessageAccepted  EventKind = iota // a message was handed in
	AttemptFinished                   // an attempt has its outcome
	MessageCancelled                  // the client has gone
	EndpointSnapshot                  // the whole list of routes
	EndpointDelta                     // changes to the list
	WatchFailed                       // a call for the list failed
	TimerFired                        // a wake came due
	HealthChecked                     // a probe has its outcome
	QuotaGranted                      // what others leave a sender of a limit, or leave it no more
)

// LimitReport is what a destination tells of its limit. It is late and noisy.
type LimitReport struct {
	Present   bool    `json:"Told"`
	Remaining float64 `json:"Left"`  // share of the limit that is left
	Limit     float64 `json:"Limit"` // calls a second; 0: no limit
}

// RecoveredMessage is what became of a message before the process that had taken it on ended. A call that was out then
// may have run.
type RecoveredMessage struct {
	Attempts      int           `json:"Attempts"` // sends used
	MayHaveRun    bool          `json:"Ran"`      // one may have run
	SinceFirstRun time.Duration `json:"RanAgo"`   // how long ago the first of them was sent
	FirstRunZone  int           `json:"RanZone"`  // and to which zone
}

// MaxInitialSpread is the longest time over which the first calls of many senders to what is listed anew spread.
const MaxInitialSpread = initialSpreadTime

// MinRetryAfter is the least time that a client turned away is told to stay away.
const MinRetryAfter = defaultRetryAfter

// Event is one thing that a Sender observes.
type Event struct {
	Kind      EventKind `json:"Kind"`
	MessageID uint32    `json:"ID"` // message

	// Taken
	Key         string            `json:"Key"`
	Class       int               `json:"Class"`
	Tenant      int               `json:"Customer"`
	Destination int               `json:"Destination"`
	TimeLeft    time.Duration     `json:"Left"`    // time left to the deadline
	Recovered   *RecoveredMessage `json:"Resumed"` // taken on by an earlier process; nil if new

	// Finished, Probed; Rights of a separate route
	Attempt      int           `json:"Attempt"`
	Endpoint     string        `json:"Route"`
	Outcome      Outcome       `json:"Outcome"`
	Latency      time.Duration `json:"Took"`
	MessageEnded bool          `json:"Ended"` // the message is over
	RetryAfter   time.Duration `json:"Wait"`  // the wait told with the outcome; 0: none
	LimitReport  LimitReport   `json:"Report"`

	// EndpointSnapshot, EndpointDelta
	Endpoints []Endpoint `json:"List"`

	// Rights of a destination, or of a separate route there. What is heard of others comes as these alone.
	ReservedFraction float64 `json:"Share"` // of its even part that the sender may use of itself: the rest is lent
	GrantedCalls     int     `json:"Calls"` // that it may make beyond that, within Left
}

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
