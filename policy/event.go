package policy

import "time"

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
