package fleetstats

import (
	"math"
	"strconv"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
	"cherrytrestle.example/cherrytrestle/policy"
)

// unknownScope is the scope name for messages that were accepted before the start of their recording, and for
// unlisted endpoints.
const unknownScope = "?"

// message holds the scope and the latency objective of an accepted message.
type message struct {
	scope       string
	objectiveAt time.Duration // the latest time of a delivery that meets the latency objective
}

// call is a call to an endpoint, with an attempt for each of its messages. Calls are reconstructed, because a
// recording contains only attempts: the attempts of one call are sent in one step and finish in one step.
type call struct {
	scope      string
	unfinished int // attempts that have not finished
	rejected   bool
	retryAfter bool
	delivered  bool
}

// endpoint holds the properties of a listed endpoint that assign its attempts to calls and to a rate-limit scope.
type endpoint struct {
	destination string
	scope       string
	maxBatch    int // maximum number of messages in a call
}

// recordingReader adds the counts of one recording to those of the fleet.
type recordingReader struct {
	*Fleet
	meta      flightrecorder.Meta
	endpoints map[string]endpoint
	messages  map[policy.MessageID]message
	calls     map[policy.MessageID]*call // the call of the attempt in flight, by message
}

func (f *Fleet) read(recording flightrecorder.Recording) error {
	entries, err := flightrecorder.NewReader(recording.Data)
	if err != nil {
		return err
	}
	r := &recordingReader{
		Fleet:     f,
		meta:      recording.Meta,
		endpoints: map[string]endpoint{},
		messages:  map[policy.MessageID]message{},
		calls:     map[policy.MessageID]*call{},
	}
	for {
		entry, ok, err := entries.Next()
		if err != nil || !ok {
			return err
		}
		switch entry.Kind {
		case flightrecorder.Begin:
			r.begin(&entry)
		case flightrecorder.Step:
			r.step(&entry)
		}
	}
}

// begin applies the settings of a chunk. If the chunk starts with a snapshot of the engine and no endpoint is known
// yet, begin reads the endpoints from the snapshot. If this build cannot restore the snapshot, calls are counted for
// unknownScope until the next endpoint list.
func (r *recordingReader) begin(entry *flightrecorder.Entry) {
	r.meta.Settings = entry.Meta.Settings
	if entry.Fresh || len(r.endpoints) > 0 {
		return
	}
	engine, err := replay.Restore(entry)
	if err != nil {
		return
	}
	views, _ := engine.Views()
	for _, view := range views {
		r.updateEndpoint(view.Endpoint)
	}
}

func (r *recordingReader) updateEndpoint(listed policy.Endpoint) {
	destination := strconv.Itoa(int(listed.Destination))
	kind := r.meta.Settings.DestinationKind(listed.Kind)
	e := endpoint{destination: destination, scope: destination, maxBatch: kind.BatchSize()}
	if kind.LimitPerEndpoint {
		e.scope += "/" + listed.ID
	}
	r.endpoints[listed.ID] = e
	r.Limits[e.scope] = listed.Weight
}

// endpoint returns the listed endpoint with a name. For an unlisted endpoint, the scope is unknownScope and each call
// has one message.
func (r *recordingReader) endpoint(name string) endpoint {
	if e, ok := r.endpoints[name]; ok {
		return e
	}
	return endpoint{unknownScope, unknownScope, 1}
}

// message returns the accepted message with an id. For an unknown message, the scope is unknownScope and no delivery
// is late.
func (r *recordingReader) message(id policy.MessageID) message {
	if m, ok := r.messages[id]; ok {
		return m
	}
	return message{scope: unknownScope, objectiveAt: math.MaxInt64}
}

// count changes a scope's counts in the bin that contains a time of the engine's clock.
func (r *recordingReader) count(now time.Duration, scope string, change func(*Counts)) {
	bin, counts := r.counts(r.meta.Started.Add(now), scope)
	change(&counts)
	bin[scope] = counts
}

func (r *recordingReader) step(entry *flightrecorder.Entry) {
	for i := range entry.Events {
		r.event(entry.Now, &entry.Events[i])
	}
	openCalls := map[string]*call{} // the last call to each endpoint in this step
	for i := range entry.Actions {
		action := &entry.Actions[i]
		switch action.Kind {
		case policy.Send:
			r.messageSent(entry.Now, action, openCalls)
		case policy.Reject:
			r.count(entry.Now, r.message(action.MessageID).scope, func(c *Counts) { c.RejectedMessages++ })
		case policy.Fail:
			r.count(entry.Now, r.message(action.MessageID).scope, func(c *Counts) { c.FailedMessages++ })
		}
	}
}

// messageSent counts a sent message as part of the last call to its endpoint in this step. If there is no such call,
// or it has the maximum number of messages, the message starts a new call.
func (r *recordingReader) messageSent(now time.Duration, action *policy.Action, openCalls map[string]*call) {
	to := r.endpoint(action.Endpoint)
	open := openCalls[action.Endpoint]
	if open == nil || open.unfinished >= to.maxBatch {
		open = &call{scope: to.scope}
		openCalls[action.Endpoint] = open
		r.count(now, to.scope, func(c *Counts) { c.Calls++ })
	}
	open.unfinished++
	r.calls[action.MessageID] = open
	r.count(now, to.scope, func(c *Counts) { c.Sent++ })
}

func (r *recordingReader) event(now time.Duration, event *policy.Event) {
	switch event.Kind {
	case policy.EndpointSnapshot, policy.EndpointDelta:
		for _, listed := range event.Endpoints {
			r.updateEndpoint(listed)
		}
	case policy.MessageAccepted:
		r.messageAccepted(now, event)
	case policy.AttemptFinished:
		r.attemptFinished(now, event)
	}
}

func (r *recordingReader) messageAccepted(now time.Duration, event *policy.Event) {
	m := message{scope: strconv.Itoa(int(event.Destination)), objectiveAt: now + event.TimeLeft}
	if classes := r.meta.Settings.Classes; event.Class >= 0 && event.Class < len(classes) {
		class := classes[event.Class]
		m.objectiveAt = now + event.TimeLeft - class.Deadline + class.LatencyObjective
	}
	r.messages[event.MessageID] = m
	r.count(now, m.scope, func(c *Counts) {
		c.Accepted++
		if event.Recovered != nil {
			c.Recovered++
		}
	})
}

func (r *recordingReader) attemptFinished(now time.Duration, event *policy.Event) {
	if event.Outcome == policy.OK {
		m := r.message(event.MessageID)
		r.count(now, r.endpoint(event.Endpoint).destination, func(c *Counts) {
			c.Delivered++
			if now > m.objectiveAt {
				c.Late++
			}
		})
	}
	finished := r.calls[event.MessageID]
	if finished == nil {
		return
	}
	delete(r.calls, event.MessageID)
	rejected := event.Outcome == policy.Overloaded || event.Outcome == policy.UnprovenRejection
	finished.rejected = finished.rejected || rejected
	finished.retryAfter = finished.retryAfter || event.RetryAfter > 0
	finished.delivered = finished.delivered || event.Outcome == policy.OK
	finished.unfinished--
	if finished.unfinished == 0 {
		r.count(now, finished.scope, finished.countFailure)
	}
}

// countFailure counts a finished call as rejected or failed if it delivered nothing.
func (c *call) countFailure(counts *Counts) {
	switch {
	case c.delivered:
	case c.rejected:
		counts.Rejected++
		if c.retryAfter {
			counts.WithRetryAfter++
		}
	default:
		counts.FailedCalls++
	}
}
