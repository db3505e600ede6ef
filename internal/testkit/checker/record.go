package checker

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// never is later than the time of any event.
const never = time.Duration(math.MaxInt64)

// noEvent is the index that stands for an event that the record does not have.
const noEvent = -1

// record holds the events of a run, with indexes for the lookups of the checks. The checks refer to an event by its
// index in events.
type record struct {
	eventlog.Header
	events      []eventlog.Event
	messages    map[string]*message // by id of the submission
	submissions []*message          // in the order of submission
	calls       map[uint64]*call    // by number
	allCalls    []*call             // in the order of their first bytes
	received    []*call             // the complete calls, in the order of their last bytes
	endpoints   map[string]endpoint // by id
	// downtimes are, by relay, the spans from a SIGTERM, SIGKILL or SIGSTOP until restartGrace after the relay is ready
	// or continues.
	downtimes map[string][]timeSpan
	starts    map[string][]time.Duration // by relay: when each of its processes started
	end       time.Duration              // the time of the last event
	complete  bool                       // the run was recorded to its planned end

	runErrors           []Violation
	inconclusiveReasons []string
	clockSteps          int
}

// message is one submission of a message, with the events that concern it.
type message struct {
	eventlog.Event                // MessageSubmitted
	index          int            // of the MessageSubmitted event
	class          eventlog.Class // Classes[Event.Class] of the header, zero if there is no such entry
	answer         int            // index of the SubmissionAnswered event, or noEvent
	noAnswer       int            // index of the SubmissionUnanswered event, or noEvent
	notices        []int          // indexes of the MessageNotice events
	attempts       []attempt      // one for each complete call with the message, in the order of the calls' last bytes
}

// call is one call to an endpoint.
type call struct {
	eventlog.Event      // CallReceived or CallTruncated
	index          int  // of that event
	complete       bool // the endpoint received the last byte
	reply          int  // index of the CallAnswered event, or noEvent
	aborted        int  // index of the CallAborted event, or noEvent
}

// attempt is one message in a complete call.
type attempt struct {
	*call
	position int // index of the message in the call's IDs
}

// endpoint holds the fields of an entry of the endpoint list that do not change during a run.
type endpoint struct {
	zone        string
	service     string // whose limits apply: the destination's, or the endpoint's own if it has any
	destination int
}

// timeSpan is the half-open interval [from, to).
type timeSpan struct{ from, to time.Duration }

// restriction is a time span in which a relay must not call an endpoint or a service.
type restriction struct {
	timeSpan
	event int // index of the event that imposed the restriction
}

// newRecord indexes the events of a run.
func newRecord(h eventlog.Header, events []eventlog.Event) *record {
	r := &record{
		Header:    h,
		events:    events,
		messages:  map[string]*message{},
		calls:     map[uint64]*call{},
		endpoints: map[string]endpoint{},
		downtimes: map[string][]timeSpan{},
		starts:    map[string][]time.Duration{},
	}
	for i, e := range events {
		r.add(i, e)
		r.end = e.At
	}
	slices.SortStableFunc(r.allCalls, func(a, b *call) int { return cmp.Compare(a.FirstByteAt, b.FirstByteAt) })
	if !r.complete && len(r.inconclusiveReasons) == 0 {
		r.addInconclusiveReason("the record has no end: its writer was killed")
	}
	if lag := r.loadLag(); lag > maxLoadLag {
		r.addInconclusiveReason("the load was late by itself: %v at the 99th percentile, %v at most",
			lag.Round(time.Millisecond), maxLoadLag)
	}
	return r
}

func (r *record) add(i int, e eventlog.Event) {
	switch e.Kind {
	case eventlog.MessageSubmitted:
		r.addSubmission(i, e)
	case eventlog.SubmissionAnswered, eventlog.SubmissionUnanswered, eventlog.MessageNotice:
		r.addMessageEvent(i, e)
	case eventlog.CallReceived, eventlog.CallTruncated:
		r.addCall(i, e)
	case eventlog.CallAnswered, eventlog.CallAborted:
		r.addCallEnd(i, e)
	case eventlog.EndpointChanged:
		service := cmp.Or(e.Service, fmt.Sprint(e.Destination))
		r.endpoints[e.Endpoint] = endpoint{zone: e.Zone, service: service, destination: e.Destination}
	case eventlog.ProcessChanged:
		r.addProcessEvent(e)
	case eventlog.ClockStepped:
		r.clockSteps++
	case eventlog.RunInvalid:
		r.addRunError(e.At, []int{i}, "%s", e.Cause)
	case eventlog.RunEnded:
		r.complete = e.Cause == ""
		if !r.complete {
			r.addInconclusiveReason("the run was cut short: %s", e.Cause)
		}
	}
}

func (r *record) addSubmission(i int, e eventlog.Event) {
	m := &message{Event: e, index: i, answer: noEvent, noAnswer: noEvent}
	if e.Class >= 0 && e.Class < len(r.Classes) {
		m.class = r.Classes[e.Class]
	}
	r.messages[e.ID] = m
	r.submissions = append(r.submissions, m)
}

func (r *record) addMessageEvent(i int, e eventlog.Event) {
	m := r.messages[e.ID]
	if m == nil {
		if e.Kind == eventlog.MessageNotice {
			r.addRunError(e.At, []int{i}, "%s sent a notice for message %s, which nobody handed in", e.Relay, e.ID)
		}
		return
	}
	switch e.Kind {
	case eventlog.SubmissionAnswered:
		m.answer = i
	case eventlog.SubmissionUnanswered:
		m.noAnswer = i
	case eventlog.MessageNotice:
		m.notices = append(m.notices, i)
	}
}

func (r *record) addCall(i int, e eventlog.Event) {
	c := &call{
		Event:    e,
		index:    i,
		complete: e.Kind == eventlog.CallReceived,
		reply:    noEvent,
		aborted:  noEvent,
	}
	r.calls[e.Call] = c
	r.allCalls = append(r.allCalls, c)
	if !c.complete {
		return
	}
	r.received = append(r.received, c)
	for position, id := range e.IDs {
		m := r.messages[id]
		if m == nil {
			r.addRunError(e.At, []int{i}, "%s called %s with message %s, which nobody handed in",
				e.Relay, e.Endpoint, id)
			continue
		}
		r.checkAddress(m, c)
		m.attempts = append(m.attempts, attempt{call: c, position: position})
	}
}

// checkAddress checks that a call with a message was made by the relay that the message was submitted to, and to an
// endpoint of the message's destination.
func (r *record) checkAddress(m *message, c *call) {
	evidence := []int{m.index, c.index}
	destination := r.endpoints[c.Endpoint].destination
	switch {
	case m.Relay != c.Relay:
		r.addRunError(c.At, evidence, "%s sent message %s, which was handed in to %s", c.Relay, m.ID, m.Relay)
	case m.Destination != destination:
		r.addRunError(c.At, evidence, "message %s for destination %d went to %s of destination %d",
			m.ID, m.Destination, c.Endpoint, destination)
	}
}

func (r *record) addCallEnd(i int, e eventlog.Event) {
	c := r.calls[e.Call]
	switch {
	case c == nil:
	case e.Kind == eventlog.CallAnswered && c.reply == noEvent:
		c.reply = i
	case e.Kind == eventlog.CallAborted && c.aborted == noEvent:
		c.aborted = i
	}
}

// addProcessEvent updates the downtimes and process starts of a relay. A process that exits while its relay is not
// down is a run error.
func (r *record) addProcessEvent(e eventlog.Event) {
	downtimes := r.downtimes[e.Relay]
	down := len(downtimes) > 0 && downtimes[len(downtimes)-1].to == never
	switch e.State {
	case eventlog.StateTerm, eventlog.StateKill, eventlog.StateStop:
		if !down {
			r.downtimes[e.Relay] = append(downtimes, timeSpan{from: e.At, to: never})
		}
	case eventlog.StateUp, eventlog.StateCont:
		if down {
			downtimes[len(downtimes)-1].to = e.At + restartGrace
		}
	case eventlog.StateStart:
		r.starts[e.Relay] = append(r.starts[e.Relay], e.At)
	case eventlog.StateExit:
		if !down {
			cause := cmp.Or(e.Cause, fmt.Sprint("status ", e.Status))
			r.addRunError(e.At, nil, "%s ended by itself: %s", e.Relay, cause)
		}
	}
}

func (r *record) addRunError(at time.Duration, evidence []int, format string, args ...any) {
	if len(r.runErrors) < maxViolations {
		text := fmt.Sprintf(format, args...)
		r.runErrors = append(r.runErrors, Violation{At: at, Text: text, Evidence: evidence})
	}
}

func (r *record) addInconclusiveReason(format string, args ...any) {
	r.inconclusiveReasons = append(r.inconclusiveReasons, fmt.Sprintf(format, args...))
}

// loadLag returns the 99th percentile of the submissions' lag behind their plan.
func (r *record) loadLag() time.Duration {
	lags := make([]time.Duration, len(r.submissions))
	for i, m := range r.submissions {
		lags[i] = m.Delay
	}
	return percentile(lags, 0.99)
}

// downUntil reports whether a relay is down at a time, and when that downtime ends.
func (r *record) downUntil(relay string, at time.Duration) (until time.Duration, down bool) {
	for _, downtime := range r.downtimes[relay] {
		if at >= downtime.from && at < downtime.to {
			return downtime.to, true
		}
	}
	return 0, false
}

// startedBetween reports whether a process of a relay started later than after and no later than until.
func (r *record) startedBetween(relay string, after, until time.Duration) bool {
	return slices.ContainsFunc(r.starts[relay], func(t time.Duration) bool { return t > after && t <= until })
}
