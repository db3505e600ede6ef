// Package tally counts across the recordings of a whole fleet what no relay sees by itself: what all of them together
// sent a destination, and what came of it. It is pure: it reads recordings that others have loaded.
package fleetstats

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"math"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Counts is what a fleet did with a destination in a stretch of time.
type Counts struct {
	Accepted         int // messages handed in, those of dead processes too
	Recovered        int // of them, those that an earlier process had
	Calls            int
	Sent             int // messages in these calls
	Rejected         int // calls turned away as full
	WithRetryAfter   int // of them, with a wait told
	FailedCalls      int // calls that ended otherwise, but delivered nothing
	Delivered        int // messages delivered
	Late             int // of them, after their aim
	RejectedMessages int // final answers: come again
	FailedMessages   int // final answers: given up
}

func (c *Counts) add(o *Counts) {
	c.Accepted, c.Recovered, c.Calls, c.Sent = c.Accepted+o.Accepted, c.Recovered+o.Recovered, c.Calls+o.Calls, c.Sent+o.Sent
	c.Rejected, c.WithRetryAfter, c.FailedCalls, c.Delivered, c.Late = c.Rejected+o.Rejected, c.WithRetryAfter+o.WithRetryAfter, c.FailedCalls+o.FailedCalls, c.Delivered+o.Delivered, c.Late+o.Late
	c.RejectedMessages, c.FailedMessages = c.RejectedMessages+o.RejectedMessages, c.FailedMessages+o.FailedMessages
}

// Fleet is what all recordings together tell.
type Fleet struct {
	Relays int
	Start  time.Time // of the process that began first
	// by time since Start in bins, and by place: a destination, or a route that stands apart
	Bins   map[int]map[string]Counts
	Limits map[string]float64 // the rate that the list tells of a place, in calls a second, last
	Bin    time.Duration
}

// message is what is known of a message while it is held.
type message struct {
	scope       string
	objectiveAt time.Duration
}

// call gathers the attempts of one call: they leave in one step, for one route, and end in one.
type call struct {
	scope      string
	unfinished int
	rejected   bool
	retryAfter bool
	delivered  bool
}

// endpoint is an entry of the list, as far as a place goes by it.
type endpoint struct {
	destination string
	scope       string
	maxBatch    int // messages in a call to it
}

// unknownScope is the place of a message that was handed in before its recording begins.
const unknownScope = "?"

// Read counts recordings in bins of so long. What is damaged in them is passed over.
func Read(recordings []flightrecorder.Recording, bin time.Duration) (*Fleet, error) {
	f := &Fleet{Bins: map[int]map[string]Counts{}, Limits: map[string]float64{}, Bin: bin}
	names := map[string]bool{}
	for i, rec := range recordings {
		names[rec.Meta.Name] = true
		if i == 0 || rec.Meta.Started.Before(f.Start) {
			f.Start = rec.Meta.Started
		}
	}
	f.Relays = len(names)
	for _, rec := range recordings {
		if err := f.read(rec); err != nil {
			return nil, fmt.Errorf("recording %016x: %w", rec.ID, err)
		}
	}
	return f, nil
}

// recordingReader is one recording being counted.
type recordingReader struct {
	*Fleet
	meta      flightrecorder.Meta
	endpoints map[string]endpoint
	messages  map[uint32]message
	calls     map[uint32]*call // of the attempt that is out, by message
}

func (f *Fleet) read(rec flightrecorder.Recording) error {
	r, err := flightrecorder.NewReader(rec.Data)
	if err != nil {
		return err
	}
	x := &recordingReader{
		Fleet:     f,
		meta:      rec.Meta,
		endpoints: map[string]endpoint{},
		messages:  map[uint32]message{},
		calls:     map[uint32]*call{},
	}
	for {
		e, ok, err := r.Next()
		if err != nil || !ok {
			return err
		}
		switch e.Kind {
		case flightrecorder.Begin:
			x.begin(&e)
		case flightrecorder.Step:
			x.step(&e)
		}
	}
}

// begin takes the settings of a chunk on. A recording that begins in mid-life has told no list yet: the module's state
// holds it. Where this build cannot read that, calls count as of no known place until a list comes.
func (x *recordingReader) begin(e *flightrecorder.Entry) {
	x.meta.Settings = e.Meta.Settings
	if e.Fresh || len(x.endpoints) > 0 {
		return
	}
	s, err := replay.Restore(e)
	if err != nil {
		return
	}
	views, _ := s.Views()
	for _, v := range views {
		x.updateEndpoint(v.Endpoint)
	}
}

func (x *recordingReader) updateEndpoint(l policy.Endpoint) {
	r := endpoint{destination: strconv.Itoa(l.Destination), maxBatch: 1}
	r.scope = r.destination
	if kinds := x.meta.Settings.DestinationKinds; l.Kind >= 0 && l.Kind < len(kinds) {
		r.maxBatch = max(1, kinds[l.Kind].MaxBatch)
		if kinds[l.Kind].LimitPerEndpoint {
			r.scope += "/" + l.ID
		}
	}
	x.endpoints[l.ID], x.Limits[r.scope] = r, l.Weight
}

// endpoint is where a route leads.
func (x *recordingReader) endpoint(name string) endpoint {
	if r, ok := x.endpoints[name]; ok {
		return r
	}
	return endpoint{unknownScope, unknownScope, 1}
}

// message is a message that is held, or one of which nothing is known.
func (x *recordingReader) message(id uint32) message {
	if m, ok := x.messages[id]; ok {
		return m
	}
	return message{scope: unknownScope, objectiveAt: math.MaxInt64}
}

func (x *recordingReader) count(now time.Duration, place string, count func(*Counts)) {
	bin := int(x.meta.Started.Add(now).Sub(x.Start) / x.Bin)
	if x.Bins[bin] == nil {
		x.Bins[bin] = map[string]Counts{}
	}
	c := x.Bins[bin][place]
	count(&c)
	x.Bins[bin][place] = c
}

func (x *recordingReader) step(e *flightrecorder.Entry) {
	for i := range e.Events {
		x.event(e.Now, &e.Events[i])
	}
	open := map[string]*call{}
	for i := range e.Actions {
		a := &e.Actions[i]
		m := x.message(a.MessageID)
		switch a.Kind {
		case policy.Send:
			to := x.endpoint(a.Endpoint)
			place, c := to.scope, open[a.Endpoint]
			if c == nil || c.unfinished >= to.maxBatch {
				c = &call{scope: place}
				open[a.Endpoint] = c
				x.count(e.Now, place, func(n *Counts) { n.Calls++ })
			}
			c.unfinished++
			x.calls[a.MessageID] = c
			x.count(e.Now, place, func(n *Counts) { n.Sent++ })
		case policy.Reject:
			x.count(e.Now, m.scope, func(n *Counts) { n.RejectedMessages++ })
		case policy.Fail:
			x.count(e.Now, m.scope, func(n *Counts) { n.FailedMessages++ })
		}
	}
}

func (x *recordingReader) event(now time.Duration, e *policy.Event) {
	switch e.Kind {
	case policy.EndpointSnapshot, policy.EndpointDelta:
		for _, l := range e.Endpoints {
			x.updateEndpoint(l)
		}
	case policy.MessageAccepted:
		m := message{scope: strconv.Itoa(e.Destination), objectiveAt: now + e.TimeLeft}
		if e.Class >= 0 && e.Class < len(x.meta.Settings.Classes) {
			c := x.meta.Settings.Classes[e.Class]
			m.objectiveAt = now + e.TimeLeft - c.Deadline + c.LatencyObjective
		}
		x.messages[e.MessageID] = m
		x.count(now, m.scope, func(n *Counts) {
			n.Accepted++
			if e.Recovered != nil {
				n.Recovered++
			}
		})
	case policy.AttemptFinished:
		m, c := x.message(e.MessageID), x.calls[e.MessageID]
		if e.Outcome == policy.OK {
			x.count(now, x.endpoint(e.Endpoint).destination, func(n *Counts) {
				n.Delivered++
				if now > m.objectiveAt {
					n.Late++
				}
			})
		}
		if c == nil {
			return
		}
		delete(x.calls, e.MessageID)
		c.rejected, c.retryAfter, c.delivered = c.rejected ||
			e.Outcome == policy.Overloaded, c.retryAfter ||
			e.RetryAfter > 0, c.delivered ||
			e.Outcome == policy.OK
		if c.unfinished--; c.unfinished > 0 {
			return
		}
		x.count(now, c.scope, func(n *Counts) {
			switch {
			case c.delivered:
			case c.rejected:
				n.Rejected++
				if c.retryAfter {
					n.WithRetryAfter++
				}
			default:
				n.FailedCalls++
			}
		})
	}
}

// Write prints the counts between two times: by place, or for one place by bin.
func (f *Fleet) Write(w io.Writer, from, to time.Duration, place string) error {
	rows := map[string]*Counts{}
	for bin, places := range f.Bins {
		at := time.Duration(bin) * f.Bin
		if at < from || to > 0 && at >= to {
			continue
		}
		for name, c := range places {
			key := name
			if place != "" {
				if name != place && place != "all" {
					continue
				}
				key = fmt.Sprintf("%6.1fs", at.Seconds())
			}
			if rows[key] == nil {
				rows[key] = &Counts{}
			}
			rows[key].add(&c)
		}
	}
	keys := slices.SortedFunc(
		maps.Keys(rows),
		func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) },
	)
	fmt.Fprintf(w, "%d relays, from %s\n", f.Relays, f.Start.Format(time.RFC3339))
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "place\ttold/s\ttaken\tresumed\tcalls\tsent\tfull\twaits\tbad\tok\tlate\tdeferred\tfailed\t")
	for _, k := range keys {
		c := rows[k]
		fmt.Fprintf(
			tw,
			"%s\t%.1f\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			k,
			f.Limits[k],
			c.Accepted,
			c.Recovered,
			c.Calls,
			c.Sent,
			c.Rejected,
			c.WithRetryAfter,
			c.FailedCalls,
			c.Delivered,
			c.Late,
			c.RejectedMessages,
			c.FailedMessages,
		)
	}
	return tw.Flush()
}
