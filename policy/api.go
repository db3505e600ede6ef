package policy

import "time"

// Effect says what repeating a message of a class may do.
type Effect int

// The three kinds of effect.
const (
	Safe   Effect = iota // may be repeated and refused at will
	Keyed                // repeats are dropped inside a group of routes and a window
	Unsafe               // must never take effect twice
)

// Outcome is how an attempt or a probe ended.
type Outcome int

// The outcomes of an attempt. Full, ConnectFailed and Moot prove that it never ran.
const (
	OK Outcome = iota
	Error
	Full
	Timeout
	ConnectFailed
	Reset
	Cancelled
	Moot
)

// Class is one class of message.
type Class struct {
	Effect   Effect        `json:"Effect"`
	GroupAll bool          `json:"GroupAll"` // Keyed: every route of the destination drops repeats; else those of one zone
	Window   time.Duration `json:"Window"`   // Keyed: how long repeats are dropped, from the first send that may have run
	Ordered  bool          `json:"Ordered"`  // messages of one key take turns
	Aim      time.Duration `json:"Aim"`      // delivered within this, a message earns its full worth
	GiveUp   time.Duration `json:"GiveUp"`   // how long a message may be delivered
	Value    float64       `json:"Value"`    // worth of a message; default 1
}

// Kind is one kind of destination.
type Kind struct {
	Separate bool `json:"Separate"` // its routes are separate: each has its own limit, pace and outages
	PerCall  int  `json:"PerCall"`  // messages in one call at most; default 1
}

// Customer is one customer of the service.
type Customer struct {
	Quota float64 `json:"Quota"` // messages a second within its share, over all senders; 0: no share is set
}

// Settings are what a Sender is told when it starts. Zero values of optional fields mean their default.
type Settings struct {
	Classes        []Class       `json:"Classes"`
	Kinds          []Kind        `json:"Kinds"`
	Customers      []Customer    `json:"Customers"`
	Senders        int           `json:"Senders"`        // senders of the fleet; default 1
	Slots          int           `json:"Slots"`          // calls out at once; 0: no limit
	MaxHeld        int           `json:"MaxHeld"`        // messages held at once; 0: no limit
	MaxAttempts    int           `json:"MaxAttempts"`    // attempts for a message; 0: no limit
	MaxRetryAfter  time.Duration `json:"MaxRetryAfter"`  // longest advice that a client heeds; 0: none is given
	RoughWeights   bool          `json:"RoughWeights"`   // listed weights may be up to half too high or too low
	NoWeights      bool          `json:"NoWeights"`      // listed weights tell nothing
	AskList        bool          `json:"AskList"`        // list changes come only after Watch
	Carriage       []float64     `json:"Carriage"`       // fee for each zone of a separate route
	ColdShare      float64       `json:"ColdShare"`      // share of its capacity that a destination has after an outage; default 0.1
	WarmWithin     time.Duration `json:"WarmWithin"`     // and all of it after this; default 30 s
	OverloadFactor float64       `json:"OverloadFactor"` // sent more than this multiple of its capacity; default 1
	OverloadWindow time.Duration `json:"OverloadWindow"` // for this long, it falls over
	OrderPause     time.Duration `json:"OrderPause"`     // rest of a key after an attempt that may still run
}

// Listing is one entry of the list of routes.
type Listing struct {
	Route       string
	Destination int
	Kind        int
	Zone        int
	Weight      float64 // calls a second from all senders together; 0: not told
	InService   bool    // false: draining
	Gone        bool    // removed
	Again       bool    // as it was listed before, and forgotten since (Resting); of a route that is known it says nothing
}

// EventKind names what an Event tells.
type EventKind int

// The kinds of event.
const (
	Taken       EventKind = iota // a message was handed in
	Finished                     // an attempt has its outcome
	Withdrawn                    // the client has gone
	ListWhole                    // the whole list of routes
	ListChanges                  // changes to the list
	ListFailed                   // a call for the list failed
	Woken                        // a wake came due
	Probed                       // a probe has its outcome
	Rights                       // what others leave a sender of a limit, or leave it no more
)

// Report is what a destination tells of its limit. It is late and noisy.
type Report struct {
	Told  bool
	Left  float64 // share of the limit that is left
	Limit float64 // calls a second; 0: no limit
}

// Resumed is what became of a message before the process that had taken it on ended. A call that was out then
// may have run.
type Resumed struct {
	Attempts int           // sends used
	Ran      bool          // one may have run
	RanAgo   time.Duration // how long ago the first of them was sent
	RanZone  int           // and to which zone
}

// FirstSpread is the longest time over which the first calls of many senders to what is listed anew spread.
const FirstSpread = manySpread

// RetryAdvice is the least time that a client turned away is told to stay away.
const RetryAdvice = retryAdvice

// Event is one thing that a Sender observes.
type Event struct {
	Kind EventKind
	ID   uint32 // message

	// Taken
	Key         string
	Class       int
	Customer    int
	Destination int
	Left        time.Duration // time left to the deadline
	Resumed     *Resumed      // taken on by an earlier process; nil if new

	// Finished, Probed; Rights of a separate route
	Attempt int
	Route   string
	Outcome Outcome
	Took    time.Duration
	Ended   bool          // the message is over
	Wait    time.Duration // the wait told with the outcome; 0: none
	Report  Report

	// ListWhole, ListChanges
	List []Listing

	// Rights of a destination, or of a separate route there. What is heard of others comes as these alone.
	Share float64 // of its even part that the sender may use of itself: the rest is lent
	Calls int     // that it may make beyond that, within Left
}

// ActionKind names what an Action asks for.
type ActionKind int

// The kinds of action.
const (
	Send      ActionKind = iota // start an attempt
	Refuse                      // end the message; the client may safely come again
	Fail                        // end the message; nothing is promised
	Wake                        // ask for a Woken event after Delay
	CloseIdle                   // close the idle connections to a route
	Watch                       // subscribe to list changes
	Ask                         // for Calls to the scope of Route that others may spare
)

// Action is one thing that a Sender decides.
type Action struct {
	Kind  ActionKind
	ID    uint32
	Route string
	At    time.Duration // Send: time to drop the attempt
	Delay time.Duration // Refuse: advice to the client; Wake: time from now
	Calls int           // Ask: as many as messages wait for
}
