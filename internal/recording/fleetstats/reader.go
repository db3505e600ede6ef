package fleetstats

import (
	"math"
	"strconv"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
	"cherrytrestle.example/cherrytrestle/policy"
)

// unknownScope is the scope of messages that were accepted before their recording begins, and of unlisted endpoints.
const unknownScope = "?"

// message is an accepted message.
type message struct {
	scope       string
	objectiveAt time.Duration // the time until which its latency objective is met
}

// call is a call to an endpoint, which has an attempt of each of its messages. A recording has only the attempts: those
// of one call are sent in one step and finish in one step.
type call struct {
	scope      string
	unfinished int // attempts
	rejected   bool
	retryAfter bool
	delivered  bool
}

// endpoint is the part of a listed endpoint that decides to which limit scope its calls belong.
type endpoint struct {
	destination string
	scope       string
	maxBatch    int // messages in a call
}

// recordingReader counts over one recording.
type recordingReader struct {
	*Fleet
	meta      flightrecorder.Meta
	endpoints map[string]endpoint
	messages  map[policy.MessageID]message
	calls     map[policy.MessageID]*call // of the attempt in flight, by message
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

// begin applies the settings of a chunk. In a recording that begins with a snapshot it reads the endpoints from the
// engine's state. If this build cannot restore that, calls count for an unknown scope until the next endpoint list.
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

// endpoint returns the listed endpoint with a name, or one with an unknown scope.
func (r *recordingReader) endpoint(name string) endpoint {
	if e, ok := r.endpoints[name]; ok {
		return e
	}
	return endpoint{unknownScope, unknownScope, 1}
}

// message returns an accepted message, or one with an unknown scope that is never late.
func (r *recordingReader) message(id policy.MessageID) message {
	if m, ok := r.messages[id]; ok {
		return m
	}
	return message{scope: unknownScope, objectiveAt: math.MaxInt64}
}

// count changes a scope's counts at a time.
func (r *recordingReader) count(now time.Duration, scope string, change func(*Counts)) {
	bin, counts := r.counts(r.meta.Started.Add(now), scope)
	change(&counts)
	bin[scope] = counts
}

func (r *recordingReader) step(entry *flightrecorder.Entry) {
	for i := range entry.Events {
		r.event(entry.Now, &entry.Events[i])
	}
	openCalls := map[string]*call{} // the last call of this step, by endpoint
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

// messageSent counts a message as part of the open call to its endpoint, or of a new one if that is full.
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
	finished.rejected = finished.rejected || event.Outcome == policy.Overloaded
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
