// Package explain determines from a recording why messages waited: for one message, a destination or an interval of
// time. It replays the recording and, between steps, inspects a copy of the decision engine. It does no I/O except
// for writing its reports.
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
	// minBin is the minimum length of a bin of the time axis. Bins are longer if there would be more than maxBins.
	minBin  = 250 * time.Millisecond
	maxBins = 600
	// maxTransitions and maxSpans limit the memory of a report. maxSpans applies to each message.
	maxTransitions = 100_000
	maxSpans       = 1000
)

// Options select the part of a recording to explain, and the detail of the report.
type Options struct {
	From time.Duration // time of the engine's clock
	To   time.Duration // 0: the end of the recording
	// SampleInterval is the recorded time between two samples of the engine's state; 0: a sample after each step. The
	// cause that blocks a message at one sample is assumed to block it until the next sample.
	SampleInterval time.Duration
	// Messages adds the history of each message to the report, which needs memory for each message.
	Messages bool
}

// builder builds a report during a replay.
type builder struct {
	options       Options
	report        *Report
	settings      policy.Settings
	destinations  map[policy.DestinationID]*Destination
	endpoints     map[string]*Endpoint
	destinationOf map[policy.MessageID]policy.DestinationID // by message
	traces        map[policy.MessageID]string               // trace ids of messages that are not yet accepted
	outcomes      map[string]string                         // texts of the current step's outcomes, by endpoint

	steppedAt time.Duration    // the time of the last step
	sampledAt time.Duration    // the time of the last sample
	sampled   bool             // sampledAt and blockers are valid
	blockers  []policy.Blocker // for each waiting message, the blocker that ends first, at the last sample

	err error
}

// Explain replays a recording and returns a report of why its messages waited.
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
		Settings:   func(settings policy.Settings) { b.settings = settings },
		Begin:      b.begin,
		BeforeStep: b.beforeStep,
		AfterStep:  b.afterStep,
		Other:      b.other,
	})
	if err := cmp.Or(err, b.err); err != nil {
		return nil, err
	}
	b.attributeWaits(report.To)
	b.addDestinations()
	return report, nil
}

// newReport returns an empty report. Its time axis covers the part of the recording that the options select.
func newReport(data []byte, options Options) (*Report, error) {
	from, to, meta, err := recordedInterval(data)
	if err != nil {
		return nil, err
	}
	from = max(from, options.From)
	if options.To > 0 {
		to = min(to, options.To)
	}
	if to < from {
		return nil, fmt.Errorf(
			"explain: the selected interval does not overlap the recording: start %v is after end %v", from, to,
		)
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

// recordedInterval returns the earliest and the latest time of a recording's steps, and the metadata of its last
// chunk.
func recordedInterval(data []byte) (from, to time.Duration, meta flightrecorder.Meta, err error) {
	reader, err := flightrecorder.NewReader(data)
	if err != nil {
		return 0, 0, meta, err
	}
	from = math.MaxInt64
	for {
		entry, ok, err := reader.Next()
		if err != nil {
			return 0, 0, meta, err
		}
		if !ok {
			break
		}
		switch entry.Kind {
		case flightrecorder.Begin:
			meta = entry.Meta
		case flightrecorder.Step: // not always in order of time: the clock may go backwards
			from = min(from, entry.Now)
			to = max(to, entry.Now)
		}
	}
	return min(from, to), to, meta, nil
}

// addDestinations adds the destinations and their endpoints to the report, sorted.
func (b *builder) addDestinations() {
	for _, destination := range b.destinations {
		b.report.Destinations = append(b.report.Destinations, destination)
		slices.SortFunc(destination.Endpoints, func(x, y *Endpoint) int { return cmp.Compare(x.Name, y.Name) })
	}
	slices.SortFunc(b.report.Destinations, func(x, y *Destination) int { return cmp.Compare(x.ID, y.ID) })
}

// destination returns the destination with an id, and creates it if there is none.
func (b *builder) destination(id policy.DestinationID) *Destination {
	destination := b.destinations[id]
	if destination == nil {
		destination = &Destination{ID: id, Calls: map[policy.Outcome]int{}, Waits: Waits{}}
		b.destinations[id] = destination
	}
	return destination
}

// endpoint returns the endpoint of a view, and creates it if there is none.
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

// begin samples the engine at the start of a segment.
func (b *builder) begin(engine *policy.Engine, entry *flightrecorder.Entry) {
	b.sample(engine, entry.Now)
}

// beforeStep samples the state after the previous step if that step was not sampled because it followed a sample too
// soon, and if at least a sample interval has passed since that step. Without this sample, the time since that step
// would be attributed to the causes found by the earlier sample.
func (b *builder) beforeStep(engine *policy.Engine, entry *flightrecorder.Entry) {
	if b.sampled && b.steppedAt > b.sampledAt && entry.Now-b.steppedAt >= b.options.SampleInterval {
		b.sample(engine, b.steppedAt)
	}
}

// afterStep processes the events and actions of a step, and samples the engine if a sample is due.
func (b *builder) afterStep(engine *policy.Engine, entry *flightrecorder.Entry) {
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
	case len(b.outcomes) > 0: // transitions are reported with the outcomes of this step only
		views, _ := engine.Views()
		b.updateEndpoints(now, views)
	}
}

// other processes entries that are not steps.
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
