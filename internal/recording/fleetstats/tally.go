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

// Count is what a fleet did with a destination in a stretch of time.
type Count struct {
	Taken    int // messages handed in, those of dead processes too
	Resumed  int // of them, those that an earlier process had
	Calls    int
	Sent     int // messages in these calls
	Refused  int // calls turned away as full
	Waits    int // of them, with a wait told
	Bad      int // calls that ended otherwise, but delivered nothing
	OK       int // messages delivered
	Late     int // of them, after their aim
	Deferred int // final answers: come again
	Failed   int // final answers: given up
}

func (c *Count) add(o *Count) {
	c.Taken, c.Resumed, c.Calls, c.Sent = c.Taken+o.Taken, c.Resumed+o.Resumed, c.Calls+o.Calls, c.Sent+o.Sent
	c.Refused, c.Waits, c.Bad, c.OK, c.Late = c.Refused+o.Refused, c.Waits+o.Waits, c.Bad+o.Bad, c.OK+o.OK, c.Late+o.Late
	c.Deferred, c.Failed = c.Deferred+o.Deferred, c.Failed+o.Failed
}

// Fleet is what all recordings together tell.
type Fleet struct {
	Relays int
	Start  time.Time // of the process that began first
	// by time since Start in bins, and by place: a destination, or a route that stands apart
	Bins map[int]map[string]Count
	Told map[string]float64 // the rate that the list tells of a place, in calls a second, last
	Bin  time.Duration
}

// message is what is known of a message while it is held.
type message struct {
	place string
	due   time.Duration
}

// call gathers the attempts of one call: they leave in one step, for one route, and end in one.
type call struct {
	place string
	left  int
	full  bool
	wait  bool
	ok    bool
}

// route is an entry of the list, as far as a place goes by it.
type route struct {
	dest  string
	place string
	most  int // messages in a call to it
}

// unknown is the place of a message that was handed in before its recording begins.
const unknown = "?"

// Read counts recordings in bins of so long. What is damaged in them is passed over.
func Read(recordings []flightrecorder.Recording, bin time.Duration) (*Fleet, error) {
	f := &Fleet{Bins: map[int]map[string]Count{}, Told: map[string]float64{}, Bin: bin}
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

// reading is one recording being counted.
type reading struct {
	*Fleet
	meta   flightrecorder.Meta
	routes map[string]route
	msgs   map[uint32]message
	calls  map[uint32]*call // of the attempt that is out, by message
}

func (f *Fleet) read(rec flightrecorder.Recording) error {
	r, err := flightrecorder.NewReader(rec.Data)
	if err != nil {
		return err
	}
	x := &reading{
		Fleet:  f,
		meta:   rec.Meta,
		routes: map[string]route{},
		msgs:   map[uint32]message{},
		calls:  map[uint32]*call{},
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
func (x *reading) begin(e *flightrecorder.Entry) {
	x.meta.Settings = e.Meta.Settings
	if e.Fresh || len(x.routes) > 0 {
		return
	}
	s, err := replay.Restore(e)
	if err != nil {
		return
	}
	views, _ := s.Views()
	for _, v := range views {
		x.list(v.Endpoint)
	}
}

func (x *reading) list(l policy.Endpoint) {
	r := route{dest: strconv.Itoa(l.Destination), most: 1}
	r.place = r.dest
	if kinds := x.meta.Settings.DestinationKinds; l.Kind >= 0 && l.Kind < len(kinds) {
		r.most = max(1, kinds[l.Kind].MaxBatch)
		if kinds[l.Kind].LimitPerEndpoint {
			r.place += "/" + l.ID
		}
	}
	x.routes[l.ID], x.Told[r.place] = r, l.Weight
}

// to is where a route leads.
func (x *reading) to(name string) route {
	if r, ok := x.routes[name]; ok {
		return r
	}
	return route{unknown, unknown, 1}
}

// message is a message that is held, or one of which nothing is known.
func (x *reading) message(id uint32) message {
	if m, ok := x.msgs[id]; ok {
		return m
	}
	return message{place: unknown, due: math.MaxInt64}
}

func (x *reading) at(now time.Duration, place string, count func(*Count)) {
	bin := int(x.meta.Started.Add(now).Sub(x.Start) / x.Bin)
	if x.Bins[bin] == nil {
		x.Bins[bin] = map[string]Count{}
	}
	c := x.Bins[bin][place]
	count(&c)
	x.Bins[bin][place] = c
}

func (x *reading) step(e *flightrecorder.Entry) {
	for i := range e.Events {
		x.event(e.Now, &e.Events[i])
	}
	open := map[string]*call{}
	for i := range e.Actions {
		a := &e.Actions[i]
		m := x.message(a.MessageID)
		switch a.Kind {
		case policy.Send:
			to := x.to(a.Endpoint)
			place, c := to.place, open[a.Endpoint]
			if c == nil || c.left >= to.most {
				c = &call{place: place}
				open[a.Endpoint] = c
				x.at(e.Now, place, func(n *Count) { n.Calls++ })
			}
			c.left++
			x.calls[a.MessageID] = c
			x.at(e.Now, place, func(n *Count) { n.Sent++ })
		case policy.Reject:
			x.at(e.Now, m.place, func(n *Count) { n.Deferred++ })
		case policy.Fail:
			x.at(e.Now, m.place, func(n *Count) { n.Failed++ })
		}
	}
}

func (x *reading) event(now time.Duration, e *policy.Event) {
	switch e.Kind {
	case policy.EndpointSnapshot, policy.EndpointDelta:
		for _, l := range e.Endpoints {
			x.list(l)
		}
	case policy.MessageAccepted:
		m := message{place: strconv.Itoa(e.Destination), due: now + e.TimeLeft}
		if e.Class >= 0 && e.Class < len(x.meta.Settings.Classes) {
			c := x.meta.Settings.Classes[e.Class]
			m.due = now + e.TimeLeft - c.Deadline + c.LatencyObjective
		}
		x.msgs[e.MessageID] = m
		x.at(now, m.place, func(n *Count) {
			n.Taken++
			if e.Recovered != nil {
				n.Resumed++
			}
		})
	case policy.AttemptFinished:
		m, c := x.message(e.MessageID), x.calls[e.MessageID]
		if e.Outcome == policy.OK {
			x.at(now, x.to(e.Endpoint).dest, func(n *Count) {
				n.OK++
				if now > m.due {
					n.Late++
				}
			})
		}
		if c == nil {
			return
		}
		delete(x.calls, e.MessageID)
		c.full, c.wait, c.ok = c.full ||
			e.Outcome == policy.Overloaded, c.wait ||
			e.RetryAfter > 0, c.ok ||
			e.Outcome == policy.OK
		if c.left--; c.left > 0 {
			return
		}
		x.at(now, c.place, func(n *Count) {
			switch {
			case c.ok:
			case c.full:
				n.Refused++
				if c.wait {
					n.Waits++
				}
			default:
				n.Bad++
			}
		})
	}
}

// Write prints the counts between two times: by place, or for one place by bin.
func (f *Fleet) Write(w io.Writer, from, to time.Duration, place string) error {
	rows := map[string]*Count{}
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
				rows[key] = &Count{}
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
			f.Told[k],
			c.Taken,
			c.Resumed,
			c.Calls,
			c.Sent,
			c.Refused,
			c.Waits,
			c.Bad,
			c.OK,
			c.Late,
			c.Deferred,
			c.Failed,
		)
	}
	return tw.Flush()
}
