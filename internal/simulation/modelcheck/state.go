package modelcheck

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// outagePhase is the phase of the destination's outage.
type outagePhase int

const (
	outageNotStarted outagePhase = iota
	outageActive
	outageOver
)

// state is a state of a model. It is immutable once it is in a frontier.
type state struct {
	now         time.Duration
	relays      []relayState
	submitted   int // number of messages
	faults      int // calls not delivered that count towards Model.MaxFaults
	restarts    int // of all relays
	outage      outagePhase
	outageStart time.Duration
	outageEnd   time.Duration
	arrivals    []arrival // calls since the outage's end, within the overload window
	pathStep    int32     // index in pathTable of the last move to this state
	violation   *Violation
}

// arrival is a call that reached the destination after its outage.
type arrival struct {
	at    time.Duration
	relay int
}

// relayState is the state of a relay: its engine, the content of its journal and what it has observed.
type relayState struct {
	engine         []byte        // snapshot of the engine
	epoch          time.Duration // time at which the engine's clock was 0
	incarnation    int           // number of restarts
	timerAt        time.Duration // 0: no timer is set
	messages       []messageState
	calls          []callState               // in flight
	retryAfter     map[string]time.Duration  // latest end of a Retry-After, by rate-limit scope
	observed       map[string]endpointChange // by the ID of the endpoint
	outageFailures int                       // consecutive calls that failed because of the outage
	delayed        []delayedEvent            // events that a mutant delays
}

// endpointChange is what a relay has observed of a draining endpoint.
type endpointChange struct {
	removed    bool          // the relay has observed the removal, too
	observedAt time.Duration // when the relay observed that the endpoint drains
}

// delayedEvent is an event that a mutant withholds from the engine until it is due.
type delayedEvent struct {
	due   time.Duration
	event policy.Event
}

// messageState is the state of a message that a relay accepted.
type messageState struct {
	id         policy.MessageID
	index      int // in Model.Messages
	acceptedAt time.Duration
	deadline   time.Duration
	attempts   int
	ended      bool // the message has a final answer
	// endReported is set when the client or the platform has received the final answer. A restarted relay need not
	// send it again.
	endReported bool
	// lostByJournal is set when a mutant's journal has lost the message. The final answer is due all the same.
	lostByJournal bool
	// fromBeforeRestart is set when the relay restarts. Later messages of the ordering key need not wait for this
	// one then.
	fromBeforeRestart bool

	mayHaveRun   bool
	firstRunAt   time.Duration
	firstRunZone int
	possibleRuns []int // attempts that may have run

	hasUnknownOutcome bool          // a call may still be running at the endpoint
	unknownOutcomeAt  time.Duration // when the relay stopped waiting for that call
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

// message returns the message with an ID; nil if the relay has none.
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

// isUntouched reports whether no event but a restart has affected a relay.
func (r *relayState) isUntouched() bool {
	return len(r.messages) == 0 && len(r.observed) == 0 && len(r.retryAfter) == 0 && r.outageFailures == 0
}

// isInterchangeable reports whether two relays are in the same state because no event has affected either.
func (r *relayState) isInterchangeable(other *relayState) bool {
	return r.isUntouched() && other.isUntouched() && r.incarnation == other.incarnation
}

// allRelays stands for the index of every relay.
const allRelays = -1

// clone copies a state so that a move at the given relay, or at any relay if allRelays is given, does not change the
// original. The copy shares the data of the other relays with the original.
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

// unshare replaces the slices and maps that a copied relay shares with the original by copies.
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

// violate records the violation of an invariant. Only the first violation of a state is kept.
func (s *state) violate(rule checker.Rule, format string, args ...any) {
	if s.violation == nil {
		s.violation = &Violation{rule, fmt.Sprintf("at %v: ", s.now) + fmt.Sprintf(format, args...)}
	}
}

// startError returns the violation of an initial state as an error.
func (s *state) startError() error {
	if s.violation != nil {
		return fmt.Errorf("initial state of the model violates %q: %s", s.violation.Rule, s.violation.Detail)
	}
	return nil
}
