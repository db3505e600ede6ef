// Package explain says from a recording what messages waited for: for one message, a destination or a stretch of time.
// It replays the recording and inspects, after each step, a copy of the decision engine. It decides nothing and does no
// I/O.
package explain

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// minBin is the length of a bin of the time axis where it is short.
	minBin = 250 * time.Millisecond
	// maxBins bounds the bins of the time axis: they are longer where it is long.
	maxBins = 600
	// maxTransitions and maxSpans bound the memory of a report; maxSpans those of one message.
	maxTransitions = 100_000
	maxSpans       = 1000
)

// Options say what is explained.
type Options struct {
	From time.Duration // of the engine's time
	To   time.Duration // 0: to the end
	// SampleInterval is how often, in recorded time, the messages are inspected; 0: after each step. What blocks a
	// message at one sample counts until the next.
	SampleInterval time.Duration
	// Messages keeps a Message of each message, by number; it takes memory in proportion to them.
	Messages bool
}

// builder makes a report of a replay.
type builder struct {
	options       Options
	report        *Report
	settings      policy.Settings
	destinations  map[policy.DestinationID]*Destination
	endpoints     map[string]*Endpoint
	destinationOf map[policy.MessageID]policy.DestinationID // by message
	traces        map[policy.MessageID]string               // of messages that are not accepted yet
	outcomes      map[string]string                         // of the current step, by endpoint

	steppedAt time.Duration    // the last step
	sampledAt time.Duration    // the last sample
	sampled   bool             // there is a last sample
	blockers  []policy.Blocker // what blocked each waiting message at the last sample

	err error
}

// Explain replays a recording and explains it.
func Explain(data []byte, options Options) (*Report, error) {
	report, err := newReport(data, options)
	if err != nil {
		return nil, err
	}
	b := &builder{
		options:       options,
		report:        report,
		destinations:  map[policy.DestinationID]*Destination{},
		endpoints:     map[string]*Endpoint{},
		destinationOf: map[policy.MessageID]policy.DestinationID{},
		traces:        map[policy.MessageID]string{},
		outcomes:      map[string]string{},
	}
	report.Replay, err = replay.Play(data, replay.Visitor{
		Settings: func(settings policy.Settings) { b.settings = settings },
		Begin:    b.begin,
		Before:   b.beforeStep,
		Step:     b.step,
		Other:    b.other,
	})
	if err := cmp.Or(err, b.err); err != nil {
		return nil, err
	}
	b.attributeWaits(report.To)
	b.addDestinations()
	return report, nil
}

// newReport returns the empty report of a recording, with its time axis.
func newReport(data []byte, options Options) (*Report, error) {
	from, to, meta, err := extent(data)
	if err != nil {
		return nil, err
	}
	from = max(from, options.From)
	if options.To > 0 {
		to = min(to, options.To)
	}
	if to < from {
		return nil, fmt.Errorf("explain: the recording holds nothing from %v to %v", from, to)
	}
	bin := minBin
	for (to-from)/bin >= maxBins {
		bin *= 2
	}
	bins := int((to-from)/bin) + 1
	return &Report{
		Meta:             meta,
		From:             from,
		To:               to,
		Bin:              bin,
		Bins:             bins,
		MaxInFlightCalls: meta.Settings.MaxInFlightCalls,
		InFlightCalls:    make([]float64, bins),
		Queued:           make([]float64, bins),
		Messages:         map[policy.MessageID]*Message{},
	}, nil
}

// extent is the time that a recording spans.
func extent(data []byte) (from, to time.Duration, meta flightrecorder.Meta, err error) {
	r, err := flightrecorder.NewReader(data)
	if err != nil {
		return 0, 0, meta, err
	}
	from = math.MaxInt64
	for {
		entry, ok, err := r.Next()
		if err != nil {
			return 0, 0, meta, err
		}
		if !ok {
			break
		}
		switch entry.Kind {
		case flightrecorder.Begin:
			meta = entry.Meta
		case flightrecorder.Step: // a clock may step back
			from = min(from, entry.Now)
			to = max(to, entry.Now)
		}
	}
	return min(from, to), to, meta, nil
}

// addDestinations puts the destinations and their endpoints into the report, sorted.
func (b *builder) addDestinations() {
	for _, destination := range b.destinations {
		b.report.Destinations = append(b.report.Destinations, destination)
		slices.SortFunc(destination.Endpoints, func(x, y *Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	}
	slices.SortFunc(b.report.Destinations, func(x, y *Destination) int { return cmp.Compare(x.ID, y.ID) })
}

func (b *builder) destination(id policy.DestinationID) *Destination {
	destination := b.destinations[id]
	if destination == nil {
		destination = &Destination{ID: id, Calls: map[policy.Outcome]int{}, Waits: Waits{}}
		b.destinations[id] = destination
	}
	return destination
}

func (b *builder) endpoint(view policy.EndpointView) *Endpoint {
	endpoint := b.endpoints[view.ID]
	if endpoint == nil {
		endpoint = newEndpoint(view, b.report.Bins)
		b.endpoints[view.ID] = endpoint
		destination := b.destination(view.Destination)
		destination.Endpoints = append(destination.Endpoints, endpoint)
	}
	return endpoint
}

// begin samples the state of an engine that was restored from a snapshot.
func (b *builder) begin(engine *policy.Engine, entry *flightrecorder.Entry) {
	b.sample(engine, entry.Now)
}

// beforeStep makes up for a step that came too soon after a sample to be sampled itself: what it left behind holds all
// the while until the next step. Without this, a pause would be explained by what blocked messages before it.
func (b *builder) beforeStep(engine *policy.Engine, entry *flightrecorder.Entry) {
	if b.sampled && b.steppedAt > b.sampledAt && entry.Now-b.steppedAt >= b.options.SampleInterval {
		b.sample(engine, b.steppedAt)
	}
}

func (b *builder) step(engine *policy.Engine, entry *flightrecorder.Entry) {
	now := entry.Now
	b.steppedAt = now
	clear(b.outcomes)
	for i := range entry.Events {
		b.event(now, &entry.Events[i])
	}
	for i := range entry.Actions {
		b.action(now, &entry.Actions[i])
	}
	switch {
	case !b.sampled || now < b.sampledAt || now-b.sampledAt >= b.options.SampleInterval:
		b.sample(engine, now)
	case len(b.outcomes) > 0: // so that transitions are reported with the outcomes that caused them
		views, _ := engine.Views()
		b.updateEndpoints(now, views)
	}
}

func (b *builder) other(entry *flightrecorder.Entry) {
	switch entry.Kind {
	case flightrecorder.Label:
		b.traces[entry.MessageID] = entry.Text
	case flightrecorder.Note:
		b.report.Notes = append(b.report.Notes, entry.Text)
	case flightrecorder.Lost:
		b.blockers = nil
		b.sampled = false
	}
}
