package checker

import (
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	ms     = time.Millisecond
	second = time.Second
)

// runLength is the length of the scripted runs.
const runLength = 60 * second

// The classes of the scripted runs, by index.
const (
	keyed = iota
	nonIdempotent
	idempotent
	ordered
	keyedAcrossZones
)

func header() eventlog.Header {
	class := func(name string, effect eventlog.Effect) eventlog.Class {
		return eventlog.Class{
			Name:             name,
			Effect:           effect,
			LatencyObjective: 3 * second,
			Deadline:         16 * second,
			Weight:           1,
			LateWeightRatio:  0.4,
		}
	}
	h := eventlog.Header{
		Format:   eventlog.FormatVersion,
		Scenario: "scripted",
		Duration: runLength,
		Relays:   []string{"r1", "r2"},
		Rules: eventlog.Rules{
			DrainGrace:           second,
			OverloadFactor:       2,
			OverloadWindow:       3 * second,
			OrderingPause:        second,
			DuplicatesAllowed:    true,
			OverShareWeightRatio: 0.2,
		},
		Classes: []eventlog.Class{
			keyed:            class("keyed", eventlog.IdempotentByKey),
			nonIdempotent:    class("nonIdempotent", eventlog.NonIdempotent),
			idempotent:       class("idempotent", eventlog.Idempotent),
			ordered:          class("ordered", eventlog.Idempotent),
			keyedAcrossZones: class("keyedAcrossZones", eventlog.IdempotentByKey),
		},
		Customers: []eventlog.Customer{{Name: "acme"}, {Name: "bolt"}},
	}
	h.Classes[keyed].DedupWindow = 10 * second
	h.Classes[keyedAcrossZones].DedupWindow = 10 * second
	h.Classes[keyedAcrossZones].DedupAcrossZones = true
	h.Classes[ordered].Ordered = true
	return h
}

// script builds the record of a run of relay r1 and, in some tests, r2. Events may be added in any order.
type script struct {
	header eventlog.Header
	events []eventlog.Event
	calls  uint64
}

// newScript returns a run in which relay r1 is ready from the start. Destination 7 has the endpoints a1 in zone a
// and a2 in zone b, and destination 8 has the endpoint b1 in zone a.
func newScript() *script {
	s := &script{header: header()}
	s.endpoint("a1", "a", 7, "")
	s.endpoint("a2", "b", 7, "")
	s.endpoint("b1", "a", 8, "")
	s.process(0, eventlog.StateStart)
	s.process(0, eventlog.StateUp)
	return s
}

func (s *script) add(e eventlog.Event) { s.events = append(s.events, e) }

// endpoint adds a ready endpoint to the endpoint list. service is "" if the endpoint shares the limits of its
// destination.
func (s *script) endpoint(id, zone string, destination int, service string) {
	s.add(eventlog.Event{
		Kind:        eventlog.EndpointChanged,
		Endpoint:    id,
		Zone:        zone,
		Destination: destination,
		Service:     service,
		State:       eventlog.StateReady,
	})
}

// process adds a change of the state of r1's process.
func (s *script) process(at time.Duration, state string) {
	s.add(eventlog.Event{At: at, Kind: eventlog.ProcessChanged, Relay: "r1", State: state})
}

// submission returns the event of submitting a message for destination 7 to r1.
func submission(id string, class int, at, deadline time.Duration) eventlog.Event {
	return eventlog.Event{
		At:          at,
		Kind:        eventlog.MessageSubmitted,
		ID:          id,
		FirstID:     id,
		Relay:       "r1",
		Class:       class,
		Destination: 7,
		Duration:    deadline,
	}
}

// submit adds the submission of a message with the ordering key k, answered after 1 ms, or never if status is 0.
func (s *script) submit(id string, class int, at, deadline time.Duration, status int) {
	e := submission(id, class, at, deadline)
	e.OrderingKey = "k"
	s.add(e)
	if status != 0 {
		s.answer(id, at+ms, status)
	}
}

// answer adds the answer of r1 to a submission.
func (s *script) answer(id string, at time.Duration, status int) {
	s.add(eventlog.Event{At: at, Kind: eventlog.SubmissionAnswered, ID: id, Relay: "r1", Status: status})
}

// call adds a call by r1 with one message, and returns the number of the call. The call is answered at answeredAt,
// or never if status is 0.
func (s *script) call(endpoint, id string, firstByteAt, answeredAt time.Duration, status int) uint64 {
	return s.callWith(eventlog.Event{Relay: "r1", Endpoint: endpoint, IDs: []string{id}}, firstByteAt,
		eventlog.Event{At: answeredAt, Status: status})
}

// callWith adds a call with the relay, the endpoint and the message ids of e, and its answer unless answer.Status
// is 0. The endpoint receives the last byte of the call 1 ms after the first.
func (s *script) callWith(e eventlog.Event, firstByteAt time.Duration, answer eventlog.Event) uint64 {
	s.calls++
	e.At, e.FirstByteAt = firstByteAt+ms, firstByteAt
	e.Kind, e.Call, e.Weight = eventlog.CallReceived, s.calls, 1
	s.add(e)
	if answer.Status != 0 {
		answer.Kind, answer.Call, answer.Relay, answer.Endpoint = eventlog.CallAnswered, s.calls, e.Relay, e.Endpoint
		s.add(answer)
	}
	return s.calls
}

// truncatedCall adds a call by r1 to a1 that ends before its last byte.
func (s *script) truncatedCall(at time.Duration) {
	s.calls++
	s.add(eventlog.Event{
		At:          at,
		FirstByteAt: at,
		Kind:        eventlog.CallTruncated,
		Call:        s.calls,
		Relay:       "r1",
		Endpoint:    "a1",
	})
}

// abort adds the event that the connection of a call ended before an answer.
func (s *script) abort(call uint64, at time.Duration) {
	s.add(eventlog.Event{At: at, Kind: eventlog.CallAborted, Call: call, Relay: "r1", Cause: eventlog.CauseRelay})
}

// notice adds a notice of r1 about a message.
func (s *script) notice(id, state string, at time.Duration) {
	s.add(eventlog.Event{At: at, Kind: eventlog.MessageNotice, Relay: "r1", ID: id, State: state})
}

// notify adds the notification of r1 about the state of a1.
func (s *script) notify(state string, at time.Duration) {
	s.add(eventlog.Event{At: at, Kind: eventlog.RelayNotified, Relay: "r1", Endpoint: "a1", State: state})
}

// outage adds the start of an outage of destination 7.
func (s *script) outage(at time.Duration, cause string, endpoints ...string) {
	s.add(eventlog.Event{
		At:          at,
		Kind:        eventlog.OutageStarted,
		Service:     "7",
		Destination: 7,
		Endpoints:   endpoints,
		Cause:       cause,
	})
}

// recover adds the end of an outage of destination 7. The destination then warms up from a fifth of its capacity
// (in calls a second) to all of it in 14 s.
func (s *script) recover(at time.Duration, capacity float64, endpoints ...string) {
	s.add(eventlog.Event{
		At:          at,
		Kind:        eventlog.OutageEnded,
		Service:     "7",
		Destination: 7,
		Endpoints:   endpoints,
		Rate:        capacity,
		Share:       0.2,
		Duration:    14 * second,
	})
}

// sorted returns the events so far in the order of their times.
func (s *script) sorted() []eventlog.Event {
	events := slices.Clone(s.events)
	slices.SortStableFunc(events, func(a, b eventlog.Event) int { return int(a.At - b.At) })
	return events
}

// check ends the run and checks it.
func (s *script) check() Result {
	return Check(s.header, append(s.sorted(), eventlog.Event{At: runLength, Kind: eventlog.RunEnded}))
}

// wantViolated checks that a run is conclusive and has no run errors, and that it violates only the given rule, or
// none if violated is "".
func wantViolated(t *testing.T, s *script, violated Rule) Result {
	t.Helper()
	result := s.check()
	for _, r := range result.Rules {
		if (r.State == Violated) != (r.Rule == violated) {
			t.Errorf("%s: %s %+v; want only %q violated", r.Rule, r.State, r.Violations, violated)
		}
		for _, v := range r.Violations {
			if v.Text == "" || len(v.Evidence) < 2 && r.Rule != RetryAfterRespected {
				t.Errorf("%s: a violation without evidence: %+v", r.Rule, v)
			}
		}
	}
	if len(result.RunErrors)+len(result.InconclusiveReasons) > 0 {
		t.Errorf("run errors %v, inconclusive: %v", result.RunErrors, result.InconclusiveReasons)
	}
	return result
}

// limitCase is a run that violates a rule if and only if it exceeds a limit.
type limitCase struct {
	name string
	run  func(s *script, excess time.Duration) // below 0: within the limit
}

// testLimits checks that each run violates only the given rule if it exceeds its limit by a microsecond, and holds
// the rule if it stays within the limit by a microsecond.
func testLimits(t *testing.T, rule Rule, cases []limitCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScript()
			c.run(s, -time.Microsecond)
			if r := wantViolated(t, s, "").ForRule(rule); r.State != Held {
				t.Errorf("inside the limit: %s, want held", r.State)
			}
			s = newScript()
			c.run(s, time.Microsecond)
			wantViolated(t, s, rule)
		})
	}
}
