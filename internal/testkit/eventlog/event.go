package eventlog

import "time"

// Kind is the type of an event. The values are those of the event log file.
type Kind string

// The kinds of event. Each comment lists the fields that the kind sets besides At and Kind.
const (
	// MessageSubmitted: a client is about to send a request. ID, FirstID, Relay, Class, Customer, Destination,
	// OrderingKey, Duration (until the deadline), Delay (lag behind the plan).
	MessageSubmitted Kind = "offer"
	// SubmissionAnswered: the client got an answer. ID, Relay, Status, RetryAfter.
	SubmissionAnswered Kind = "heard"
	// SubmissionUnanswered: the client got no answer. ID, Relay, Cause: see the Cause constants.
	SubmissionUnanswered Kind = "unheard"
	// CallReceived: an endpoint received the last byte of a call. Call, Relay, Endpoint, IDs, FirstByteAt, Destination,
	// Weight (the load that it puts on the service).
	CallReceived Kind = "call"
	// CallTruncated: a call ended before the endpoint received its last byte. Call, Relay, Endpoint, FirstByteAt.
	CallTruncated Kind = "broken"
	// CallAnswered: an endpoint is about to send an answer. Call, Relay, Endpoint, Status, RetryAfter, States (of a
	// batch with status 200, in the order of the call's IDs).
	CallAnswered Kind = "reply"
	// CallAborted: a call's connection ended before an answer. Call, Relay, Endpoint, Cause (CauseRelay or
	// CauseEndpoint).
	CallAborted Kind = "ended"
	// EndpointChanged: the platform changed an entry of its endpoint list. Endpoint, Destination, Service (if the
	// endpoint has limits of its own), Zone, State.
	EndpointChanged Kind = "change"
	// RelayNotified: a relay was notified of the state of an endpoint. Relay, Endpoint, State, Destination.
	RelayNotified Kind = "told"
	// MessageNotice: a relay notified the platform of how a message ended. Relay, ID, State (undeliverable or
	// deferred), RetryAfter.
	MessageNotice Kind = "notice"
	// ProcessChanged: a relay's process changed. Relay, State (see the State constants), Status, Cause.
	ProcessChanged Kind = "process"
	// OutageStarted: a service begins to fail. Service, Destination, Endpoints, Cause (see the Outage constants).
	OutageStarted Kind = "outage"
	// OutageEnded: a service recovered from an outage and warms up. Service, Destination, Endpoints, Rate (its
	// capacity when warm, in calls a second), Share (the initial ratio of Rate), Duration (until it is warm).
	OutageEnded Kind = "back"
	// ServiceOverloaded: a service was overloaded while it warmed up. Service, Destination, Endpoints.
	ServiceOverloaded Kind = "fell"
	// CapacityChanged: the capacity of an endpoint from now on. Endpoint, Destination, Rate (calls a second), Share
	// (the initial ratio of Rate), Duration (until the full Rate).
	CapacityChanged Kind = "able"
	// FaultChanged: a fault of the scenario begins or ends. Name, State (begin or end), Cause (its effect).
	FaultChanged Kind = "trouble"
	// ClockStepped: the machine's wall clock was stepped. Duration (by how much).
	ClockStepped Kind = "clock"
	// LinkChanged: the state of the link from one relay to another. Relay, Name (the other), State (LinkHealthy,
	// LinkCut or LinkFaulty), Cause.
	LinkChanged Kind = "link"
	// PeerView: a relay was queried about another. Relay, Name (the other), State (as the relay sees it), Duration
	// (the age of the newest report that the relay has received, below 0: none), Delay (the time that the query
	// took), Status (the other's incarnation).
	PeerView Kind = "belief"
	// RunInvalid: something that makes the run invalid, such as a call with a message that no client submitted. Relay,
	// Endpoint, ID, Cause.
	RunInvalid Kind = "fault"
	// RunEnded: the last event of a complete record. Cause, if the run was cut short.
	RunEnded Kind = "end"
)

// Causes of SubmissionUnanswered (why the client got no answer) and of CallAborted (which side ended the
// connection).
const (
	CauseTimeout  = "timeout" // the client's timeout passed
	CauseClosed   = "closed"  // the relay ended the connection though the request was sent completely
	CauseNotSent  = "unsent"  // no connection was made, or it broke before the request's last byte
	CauseRelay    = "relay"
	CauseEndpoint = "host"
)

// How a service fails during an outage.
const (
	OutageFailing   = "failing" // some calls, or all, are answered with errors
	OutageSuspended = "shut"    // it rejects all calls
	OutageSilent    = "silent"  // calls are not answered
	OutageDown      = "down"    // connections are not accepted, which leaves no event at the endpoints
)

// States of entries of the endpoint list.
const (
	StateReady    = "ready"
	StateDraining = "draining"
	StateGone     = "gone"
)

// States of processes.
const (
	StateStart = "start"
	StateUp    = "up"   // the relay answered that it is ready
	StateTerm  = "term" // SIGTERM was sent
	StateKill  = "kill" // SIGKILL was sent
	StateExit  = "exit" // the process has ended
	StateHUP   = "hup"  // SIGHUP was sent
	StateStop  = "stop" // SIGSTOP was sent
	StateCont  = "cont" // SIGCONT was sent
)

// States of links between relays.
const (
	LinkHealthy = "sound"
	LinkCut     = "cut"
	LinkFaulty  = "faulty" // some datagrams pass
)

// States of faults of the scenario.
const (
	StateBegin = "begin"
	StateEnd   = "end"
)

// States of messages in notices to the platform.
const (
	StateUndeliverable = "undeliverable"
	StateDeferred      = "deferred"
)

// Event is one observation. Each Kind lists the fields that it sets.
type Event struct {
	At   time.Duration `json:"at"` // since the start of the run; the file stores all durations in nanoseconds
	Kind Kind          `json:"k"`

	ID        string   `json:"id,omitempty"`
	FirstID   string   `json:"of,omitempty"` // id of the message's first submission
	Relay     string   `json:"relay,omitempty"`
	Endpoint  string   `json:"host,omitempty"`
	Endpoints []string `json:"hosts,omitempty"`
	// Service is the rate-limit scope: a destination, or one endpoint with limits of its own.
	Service     string        `json:"place,omitempty"`
	Destination int           `json:"dest,omitempty"`
	Zone        string        `json:"zone,omitempty"`
	Class       int           `json:"class,omitempty"`
	Customer    int           `json:"cust,omitempty"`
	OrderingKey string        `json:"order,omitempty"`
	Call        uint64        `json:"call,omitempty"`
	IDs         []string      `json:"ids,omitempty"`
	FirstByteAt time.Duration `json:"first,omitempty"` // when the endpoint received a call's first byte
	Weight      float64       `json:"weight,omitempty"`
	Status      int           `json:"status,omitempty"`
	States      []string      `json:"states,omitempty"`
	State       string        `json:"state,omitempty"`
	RetryAfter  time.Duration `json:"wait,omitempty"`
	Duration    time.Duration `json:"for,omitempty"`
	Delay       time.Duration `json:"late,omitempty"`
	Rate        float64       `json:"rate,omitempty"`
	Share       float64       `json:"share,omitempty"`
	Name        string        `json:"name,omitempty"`
	Cause       string        `json:"cause,omitempty"`
}
