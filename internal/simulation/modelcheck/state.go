package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// outagePhase is how far the destination's outage has come.
type outagePhase int

const (
	outageNotStarted outagePhase = iota
	outageActive
	outageOver
)

// state is a state of a model. It does not change any more once it is in a frontier.
type state struct {
	now         time.Duration
	relays      []relayState
	submitted   int // messages
	faults      int
	restarts    int
	outage      outagePhase
	outageStart time.Duration
	outageEnd   time.Duration
	arrivals    []arrival // since the outage's end, within the overload window
	pathStep    int32     // the last of the path that led here
	violation   *Violation
}

// arrival is a call that reached the destination.
type arrival struct {
	at    time.Duration
	relay int
}

// relayState is a relay: its engine, what its journal holds and what it has observed.
type relayState struct {
	engine         []byte        // its snapshot
	epoch          time.Duration // the engine's time 0
	incarnation    int
	timerAt        time.Duration // 0: no timer is set
	messages       []messageState
	calls          []callState              // in flight
	retryAfter     map[string]time.Duration // until when not to call, by rate-limit scope
	observed       map[string]endpointChange
	outageFailures int            // consecutive failures by the outage that it observed
	delayed        []delayedEvent // by a mutant
}

// endpointChange is what a relay has observed of an endpoint that drains.
type endpointChange struct {
	removed    bool
	observedAt time.Duration // that it drains
}

// delayedEvent is an event that a mutant lets its engine have later.
type delayedEvent struct {
	due   time.Duration
	event policy.Event
}

// messageState is a message that a relay accepted.
type messageState struct {
	id         policy.MessageID
	index      int // in Model.Messages
	acceptedAt time.Duration
	deadline   time.Duration
	attempts   int
	ended      bool
	// endReported says that the client or the platform has learned of the end, so that a restart does not owe it.
	endReported bool
	// forgotten says that a mutant's journal lost the message. The relay owes its end all the same.
	forgotten bool
	// fromBeforeRestart exempts the message from the order of its key.
	fromBeforeRestart bool

	mayHaveRun   bool
	firstRunAt   time.Duration
	firstRunZone int
	possibleRuns []int // attempts that may have run

	hasUnknownOutcome bool // a call may still be running at the endpoint
	unknownOutcomeAt  time.Duration
}

// callState is a call in flight.
type callState struct {
	messageID policy.MessageID
	attempt   int
	endpoint  int // in Model.Endpoints
	sentAt    time.Duration
	timeoutAt time.Duration
}

func newRelayState() relayState {
	return relayState{retryAfter: map[string]time.Duration{}, observed: map[string]endpointChange{}}
}

// message returns the message with an id; nil if the relay has none.
func (r *relayState) message(id policy.MessageID) *messageState {
	i := slices.IndexFunc(r.messages, func(m messageState) bool { return m.id == id })
	if i < 0 {
		return nil
	}
	return &r.messages[i]
}

// hasCall reports whether a call of a message is in flight.
func (r *relayState) hasCall(id policy.MessageID) bool {
	return slices.ContainsFunc(r.calls, func(c callState) bool { return c.messageID == id })
}

// isUntouched reports whether nothing but restarts has happened to a relay.
func (r *relayState) isUntouched() bool {
	return len(r.messages) == 0 && len(r.observed) == 0 && len(r.retryAfter) == 0 && r.outageFailures == 0
}

// isInterchangeable reports whether two relays are in the same state because nothing has happened to either.
func (r *relayState) isInterchangeable(other *relayState) bool {
	return r.isUntouched() && other.isUntouched() && r.incarnation == other.incarnation
}

// allRelays stands for every relay's index.
const allRelays = -1

// clone copies a state so far that a move at one relay, or at all, does not change the original.
func (s *state) clone(relay int) *state {
	c := *s
	c.relays = slices.Clone(s.relays)
	c.arrivals = slices.Clone(s.arrivals)
	for i := range c.relays {
		if relay == allRelays || relay == i {
			c.relays[i].unshare()
		}
	}
	return &c
}

// unshare replaces what a copied relay shares with the original by copies.
func (r *relayState) unshare() {
	r.messages = slices.Clone(r.messages)
	for i := range r.messages {
		r.messages[i].possibleRuns = slices.Clone(r.messages[i].possibleRuns)
	}
	r.calls = slices.Clone(r.calls)
	r.delayed = slices.Clone(r.delayed)
	r.retryAfter = maps.Clone(r.retryAfter)
	r.observed = maps.Clone(r.observed)
}

// violate records that an invariant is violated. Only the first violation of a state counts.
func (s *state) violate(rule checker.Rule, format string, args ...any) {
	if s.violation == nil {
		s.violation = &Violation{rule, fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)}
	}
}

// startError returns the violation of an initial state as an error.
func (s *state) startError() error {
	if s.violation != nil {
		return fmt.Errorf("explore: broken at the start: %s", s.violation.Detail)
	}
	return nil
}
