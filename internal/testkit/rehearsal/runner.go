package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	progressInterval   = time.Second
	clockCheckInterval = time.Second
	minClockStep       = 100 * time.Millisecond // a smaller difference between wall and monotonic clock is drift
	settlePollInterval = 50 * time.Millisecond
	settleMargin       = time.Second // added to the time within which each message needs its final answer
)

// runner is a rehearsal in progress.
type runner struct {
	plan       scenario.Plan
	options    Options
	record     *eventlog.Writer
	world      *fake.World
	discovery  *discovery
	relays     map[string]*relay
	relayOrder []*relay                    // indexed as in the plan
	links      map[string]*faultproxy.Link // between the relays of a fleet, by scenario.LinkName

	mu           sync.Mutex
	submitted    int
	activeFaults []string
	err          error // the first error that was passed to fail

	tasks  sync.WaitGroup // goroutines that run concurrently with the plan
	cancel context.CancelCauseFunc
}

func newRunner(plan scenario.Plan, options Options, record *eventlog.Writer) *runner {
	world := fake.NewWorld(plan, record)
	return &runner{
		plan:      plan,
		options:   options,
		record:    record,
		world:     world,
		discovery: newDiscovery(plan, record, world),
		relays:    map[string]*relay{},
	}
}

// run starts endpoints and relays, executes the plan, and stops everything again, also after an error.
func (r *runner) run(parent context.Context) (err error) {
	ctx, cancel := context.WithCancelCause(parent)
	r.cancel = cancel
	defer func() {
		cancel(nil)
		r.stop(err == nil)
	}()
	if err := r.start(ctx); err != nil {
		return err
	}
	startedAt := time.Now()
	r.tasks.Go(func() { r.watchClock(ctx) })
	r.tasks.Go(func() { r.reportProgress(ctx, startedAt) })
	var plan sync.WaitGroup
	plan.Go(func() { r.executeSteps(ctx, startedAt) })
	plan.Go(func() { r.submitArrivals(ctx, startedAt) })
	plan.Wait()
	if err := r.failure(ctx); err != nil {
		return err
	}
	r.settle(ctx)
	return r.failure(ctx)
}

// failure returns the error that ended the rehearsal early; nil if there is none.
func (r *runner) failure(ctx context.Context) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return r.err
	}
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("rehearsal: interrupted: %w", cause)
	}
	return nil
}

// fail ends the rehearsal with an error. Later errors are dropped.
func (r *runner) fail(err error) {
	r.mu.Lock()
	if r.err == nil {
		r.err = err
	}
	r.mu.Unlock()
	r.cancel(err)
}

// sleepUntil waits until a deadline, and returns false if ctx ends first.
func sleepUntil(ctx context.Context, deadline time.Time) bool {
	if wait := time.Until(deadline); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	return ctx.Err() == nil
}

// start starts the endpoints, the discovery agents and the relays, and waits until the relays are ready. In a fleet it
// also starts the links and the queries of peer views.
func (r *runner) start(ctx context.Context) error {
	for _, endpoint := range r.plan.Endpoints {
		if endpoint.AddedLater {
			continue
		}
		if err := r.discovery.startEndpoint(endpoint); err != nil {
			return err
		}
		r.discovery.recordState(endpoint, eventlog.StateReady)
	}
	for i := range r.plan.File.Relays {
		if err := r.addRelay(ctx, i); err != nil {
			return err
		}
	}
	if !r.plan.File.Fleet.Enabled {
		return r.startRelays(ctx)
	}
	if err := r.connectFleet(); err != nil {
		return err
	}
	if err := r.startRelays(ctx); err != nil {
		return err
	}
	for _, relay := range r.relayOrder {
		if err := relay.saveOlderState(); err != nil {
			return err
		}
		r.tasks.Go(func() { r.watchPeerViews(ctx, relay) })
	}
	return nil
}

func (r *runner) startRelays(ctx context.Context) error {
	results := make(chan error, len(r.relayOrder))
	for _, relay := range r.relayOrder {
		r.tasks.Go(func() { results <- relay.start(ctx) })
	}
	var err error
	for range r.relayOrder {
		err = errors.Join(err, <-results)
	}
	return err
}

// addRelay prepares the relay with an index, its discovery agent and its clients. It does not start the relay.
func (r *runner) addRelay(ctx context.Context, index int) error {
	name := scenario.RelayName(index + 1)
	dir := filepath.Join(r.options.Dir, name)
	// An earlier rehearsal may have left messages in the folder that are unknown to this one.
	if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(stateDir(dir), 0o700)); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	port := 0
	if r.options.Port > 0 {
		port = r.options.Port + index
	}
	agent, err := fake.NewDiscoveryAgent(name, r.record, r.world, r.discovery.firstList(name))
	if err != nil {
		return err
	}
	addr, release, err := reserveAddress(port)
	if err != nil {
		return errors.Join(err, agent.Close())
	}
	added := &relay{
		name:            name,
		binary:          r.options.Binary,
		dir:             dir,
		addr:            addr,
		releaseAddr:     release,
		readyTimeout:    r.options.ReadyTimeout,
		recordDecisions: r.options.RecordDecisions,
		record:          r.record,
		agent:           agent,
		clients:         fake.NewClients(name, addr, r.plan.File, r.record, r.world),
		file:            r.plan.File,
	}
	r.relays[name] = added
	r.relayOrder = append(r.relayOrder, added)
	updates := r.discovery.addRelay(name, len(r.plan.Steps)) // each step makes at most one update
	r.tasks.Go(func() { deliverUpdates(ctx, agent, updates) })
	return nil
}

// stop stops the relays and then the fakes. The relays end gracefully if graceful is true, else by SIGKILL.
func (r *runner) stop(graceful bool) {
	var relays sync.WaitGroup
	for _, relay := range r.relayOrder {
		relays.Go(func() { relay.stop(graceful) })
	}
	relays.Wait()
	for _, relay := range r.relayOrder {
		relay.clients.Close()
		_ = relay.agent.Close() // the relay has ended and no longer uses the agent
		relay.releaseAddr()
	}
	r.world.Close()
	r.tasks.Wait()
	for _, link := range r.links {
		_ = link.Close() // the relays at both ends have ended
	}
}

// executeSteps executes the steps of the plan when they are due, until ctx ends.
func (r *runner) executeSteps(ctx context.Context, startedAt time.Time) {
	for _, step := range r.plan.Steps {
		if !sleepUntil(ctx, startedAt.Add(step.At)) {
			return
		}
		if err := r.execute(ctx, step); err != nil {
			r.fail(err)
			return // the steps that follow may need this one
		}
	}
}

// submitArrivals submits the messages when they are due, and returns when the scenario's length has passed or ctx ends.
func (r *runner) submitArrivals(ctx context.Context, startedAt time.Time) {
	for i, arrival := range r.plan.Arrivals {
		if !sleepUntil(ctx, startedAt.Add(arrival.At)) {
			return
		}
		r.relayOrder[arrival.Relay].clients.Submit(ctx, arrival, time.Since(startedAt)-arrival.At)
		r.mu.Lock()
		r.submitted = i + 1
		r.mu.Unlock()
	}
	sleepUntil(ctx, startedAt.Add(r.plan.File.Length.AsDuration()))
}

// settle waits until every message has its final answer, or until the time at which the last one is overdue.
func (r *runner) settle(ctx context.Context) {
	for _, relay := range r.relayOrder {
		relay.clients.Wait()
	}
	r.mu.Lock()
	r.activeFaults = nil
	r.mu.Unlock()
	longest := time.Duration(0)
	for _, class := range r.plan.File.Classes {
		longest = max(longest, class.Deadline.AsDuration())
	}
	deadline := time.Now().Add(longest + checker.FinalAnswerTimeout + checker.Tolerance + settleMargin)
	for time.Now().Before(deadline) && r.world.UnresolvedMessages() > 0 {
		if !sleepUntil(ctx, time.Now().Add(settlePollInterval)) {
			return
		}
	}
}

// reportProgress reports the progress once a second. It also flushes the record, so that the record of a run that is
// killed lacks at most the last second.
func (r *runner) reportProgress(ctx context.Context, startedAt time.Time) {
	for n := 1; sleepUntil(ctx, startedAt.Add(time.Duration(n)*progressInterval)); n++ {
		if err := r.record.Flush(); err != nil {
			r.fail(err)
			return
		}
		if r.options.Progress != nil {
			r.options.Progress(r.progress(time.Since(startedAt)))
		}
	}
}

func (r *runner) progress(elapsed time.Duration) Progress {
	length := r.plan.File.Length.AsDuration()
	r.mu.Lock()
	defer r.mu.Unlock()
	return Progress{
		Elapsed:      elapsed,
		Length:       length,
		Submitted:    r.submitted,
		ActiveFaults: slices.Clone(r.activeFaults),
		Settling:     elapsed > length,
	}
}

// watchClock records steps of the wall clock. The rehearsal does not depend on the wall clock, but relays may: without
// a boot clock they carry the deadlines of stored messages over a restart by the wall clock.
func (r *runner) watchClock(ctx context.Context) {
	for {
		before := time.Now()
		if !sleepUntil(ctx, before.Add(clockCheckInterval)) {
			return
		}
		now := time.Now()
		monotonic, wall := now.Sub(before), now.Round(0).Sub(before.Round(0))
		if step := wall - monotonic; step.Abs() > minClockStep {
			r.record.Add(eventlog.Event{Kind: eventlog.ClockStepped, Duration: step})
		}
	}
}
