// Package rehearsal plays a scenario: it starts real relays and stand-ins for all that they talk to, hands messages in,
// has things go wrong as the plan says, and has the record judged.
package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	readyWithin = 30 * time.Second
	clockStep   = 100 * time.Millisecond // a difference between the clocks that is no drift
	settleExtra = time.Second            // beyond the time in which each message must have its end
)

// RecordName is the file of a rehearsal's folder that holds its record.
const RecordName = "record.jsonl"

// RecordingsName is the folder, in each relay's own, that holds what its flight recorder wrote.
const RecordingsName = "recordings"

// Options say how a rehearsal is run.
type Options struct {
	Dir    string // in which all is kept; made if need be
	Binary string // of the relay
	Seed   uint64 // 0: the scenario's own
	Port   int    // the first relay listens on this port, the others on those after it; 0: on any that are free
	// Progress is told once a second how it goes; nil: nothing is told.
	Progress    func(Progress)
	ReadyWithin time.Duration // 0: 30 s
	Record      bool          // the relays record their decisions, whole
}

// Progress is how a rehearsal goes.
type Progress struct {
	At, Length time.Duration
	HandedIn   int
	Troubles   []string // that are on
	Settling   bool     // no more is handed in
}

// Result is a rehearsal that was played.
type Result struct {
	Header  eventlog.Header
	Events  []eventlog.Event
	Verdict checker.Result
}

// stage is a rehearsal at work.
type stage struct {
	plan   scenario.Plan
	opts   Options
	rec    *eventlog.Writer
	world  *fake.World
	relays map[string]*relay
	order  []*relay
	links  map[string]*faultproxy.Link // between relays of a fleet, by scenario.LinkName

	mu       sync.Mutex
	members  map[string]fake.ListedEndpoint // what is listed, without addresses
	handedIn int
	on       []string
	err      error // the first that went wrong beside the relays
	delays   *rand.Rand
	late     map[string]time.Duration // of discovery, by relay
	changes  map[string]chan change   // that discovery has for a relay, in their order

	works sync.WaitGroup
	stop  context.CancelCauseFunc
}

// Run plays a scenario. Where the rehearsal itself fails or ctx ends, it returns the error and what was seen until
// then, which is also in the folder; a broken rule is no error.
func Run(ctx context.Context, file scenario.File, opts Options) (Result, error) {
	if opts.ReadyWithin == 0 {
		opts.ReadyWithin = readyWithin
	}
	plan := file.Draw(opts.Seed)
	if err := os.MkdirAll(opts.Dir, 0o700); err != nil {
		return Result{}, fmt.Errorf("rehearsal: %w", err)
	}
	if err := writePlan(filepath.Join(opts.Dir, "plan.txt"), plan); err != nil {
		return Result{}, err
	}
	out, err := os.Create(filepath.Join(opts.Dir, RecordName))
	if err != nil {
		return Result{}, fmt.Errorf("rehearsal: %w", err)
	}
	defer out.Close()
	header := file.RecordHeader(plan.Seed)
	header.PlanDigest = plan.Digest()
	began := time.Now()
	rec, err := eventlog.NewWriter(out, began, header)
	if err != nil {
		return Result{}, err
	}
	header.Format, header.StartedAt = eventlog.FormatVersion, began.Round(0)
	s := &stage{
		plan: plan, opts: opts, rec: rec, world: fake.NewWorld(plan, rec), relays: map[string]*relay{}, members: map[string]fake.ListedEndpoint{},
		delays: rand.New(
			rand.NewPCG(plan.DiscoverySeed, 1),
		), late: map[string]time.Duration{}, changes: map[string]chan change{},
	}
	err = s.play(ctx)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	events, closeErr := rec.Close(cause)
	return Result{header, events, checker.Check(header, events)}, errors.Join(err, closeErr)
}

func writePlan(path string, plan scenario.Plan) error {
	f, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	_, err = plan.WriteTo(f)
	if err = errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("rehearsal: plan: %w", err)
	}
	return nil
}

// play sets all up, plays, and takes all down again, whatever happens.
func (s *stage) play(parent context.Context) (err error) {
	ctx, stop := context.WithCancelCause(parent)
	s.stop = stop
	defer func() {
		stop(nil)
		s.takeDown(err == nil)
	}()
	if err := s.setUp(ctx); err != nil {
		return err
	}
	clients := sync.WaitGroup{}
	began := time.Now()
	at := func(d time.Duration) bool { return sleepUntil(ctx, began.Add(d)) }
	s.works.Go(func() { s.watchClocks(ctx) })
	s.works.Go(func() { s.tellProgress(ctx, began) })
	clients.Go(func() {
		for _, step := range s.plan.Steps {
			if !at(step.At) {
				return
			}
			s.do(ctx, step)
		}
	})
	clients.Go(func() { s.handIn(ctx, began, at) })
	clients.Wait()
	if err := s.failed(ctx); err != nil {
		return err
	}
	s.settle(ctx)
	return s.failed(ctx)
}

// failed is why the rehearsal cannot go on; nil if it can.
func (s *stage) failed(ctx context.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	if cause := context.Cause(ctx); cause != nil {
		return fmt.Errorf("rehearsal: interrupted: %w", cause)
	}
	return nil
}

func (s *stage) fail(err error) {
	s.mu.Lock()
	if s.err == nil {
		s.err = err
	}
	s.mu.Unlock()
	s.stop(err)
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	if wait := time.Until(t); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
	return ctx.Err() == nil
}

// setUp starts the hosts, the agents and the relays, and waits until these are ready.
func (s *stage) setUp(ctx context.Context) error {
	for _, e := range s.plan.Endpoints {
		if e.AddedLater {
			continue
		}
		if _, err := s.world.AddEndpoint(e); err != nil {
			return err
		}
		s.members[e.ID] = member(e)
		s.changed(e, eventlog.StateReady)
	}
	for i := range s.plan.File.Relays {
		if err := s.addRelay(ctx, i); err != nil {
			return err
		}
	}
	if err := s.wireFleet(); err != nil {
		return err
	}
	starts := make(chan error, len(s.order))
	for _, r := range s.order {
		s.works.Go(func() { starts <- r.start(ctx, s.opts.ReadyWithin) })
	}
	var err error
	for range s.order {
		err = errors.Join(err, <-starts)
	}
	if err == nil && s.plan.File.Fleet.Enabled {
		for _, r := range s.order {
			if err := r.keepOlder(); err != nil {
				return err
			}
			s.works.Go(func() { s.watchBeliefs(ctx, r) })
		}
	}
	return err
}

func (s *stage) addRelay(ctx context.Context, i int) error {
	name := scenario.RelayName(i + 1)
	dir := filepath.Join(s.opts.Dir, name)
	state := filepath.Join(dir, "state")
	// What an earlier rehearsal left in the folder is no message of this one.
	if err := errors.Join(os.RemoveAll(dir), os.MkdirAll(state, 0o700)); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	port := 0
	if s.opts.Port > 0 {
		port = s.opts.Port + i
	}
	var list []fake.ListedEndpoint
	for _, e := range s.plan.Endpoints {
		if !e.AddedLater {
			list = append(list, s.at(s.members[e.ID], name))
		}
	}
	agent, err := fake.NewDiscoveryAgent(name, s.rec, s.world, list)
	if err != nil {
		return err
	}
	addr, release, err := reserve(port)
	if err != nil {
		return errors.Join(err, agent.Close())
	}
	r := &relay{
		name: name, binary: s.opts.Binary, dir: dir, addr: addr, release: release, rec: s.rec, agent: agent, file: s.plan.File, record: s.opts.Record,
		clients: fake.NewClients(name, addr, s.plan.File, s.rec, s.world),
	}
	s.relays[name] = r
	s.order = append(s.order, r)
	changes := make(chan change, len(s.plan.Steps)) // each step makes one at most
	s.changes[name] = changes
	s.works.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case c := <-changes:
				if sleepUntil(ctx, c.due) {
					agent.Update(c.ListedEndpoint)
				}
			}
		}
	})
	return nil
}

// change is one of the list that a relay is told of at a time.
type change struct {
	fake.ListedEndpoint
	due time.Time
}

func member(e scenario.Endpoint) fake.ListedEndpoint {
	return fake.ListedEndpoint{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Destination: e.Destination, State: eventlog.StateReady, Weight: e.Weight}
}

// at is an entry with the address that a relay has for it.
func (s *stage) at(m fake.ListedEndpoint, relay string) fake.ListedEndpoint {
	if h := s.world.Endpoint(m.ID); h != nil {
		m.Addr = h.Addr(relay)
	}
	return m
}

func (s *stage) changed(e scenario.Endpoint, state string) {
	place := ""
	if e.Service == e.ID {
		place = e.ID // a route that stands apart
	}
	s.rec.Add(eventlog.Event{Kind: eventlog.EndpointChanged, Endpoint: e.ID, Destination: e.Destination, Zone: e.Zone, Service: place, State: state})
}

// takeDown ends the relays, in order if the rehearsal went well, and the stand-ins.
func (s *stage) takeDown(inOrder bool) {
	var ends sync.WaitGroup
	for _, r := range s.order {
		ends.Go(func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if inOrder {
				r.terminate()
			} else {
				r.kill()
			}
		})
	}
	ends.Wait()
	for _, r := range s.order {
		r.clients.Close()
		r.agent.Close()
		r.release()
	}
	s.world.Close()
	s.works.Wait()
	for _, l := range s.links {
		l.Close()
	}
}

// handIn hands the messages in when they are due.
func (s *stage) handIn(ctx context.Context, began time.Time, at func(time.Duration) bool) {
	for i, a := range s.plan.Arrivals {
		if !at(a.At) {
			return
		}
		s.order[a.Relay].clients.Submit(ctx, a, time.Since(began)-a.At)
		s.mu.Lock()
		s.handedIn = i + 1
		s.mu.Unlock()
	}
	at(s.plan.File.Length.AsDuration())
}

// settle waits until all that was handed in must have its end.
func (s *stage) settle(ctx context.Context) {
	for _, r := range s.order {
		r.clients.Wait()
	}
	s.mu.Lock()
	s.on = nil
	s.mu.Unlock()
	longest := time.Duration(0)
	for _, c := range s.plan.File.Classes {
		longest = max(longest, c.Deadline.AsDuration())
	}
	by := time.Now().Add(longest + checker.FinalAnswerTimeout + checker.Tolerance + settleExtra)
	for time.Now().Before(by) && s.world.UnresolvedMessages() > 0 && sleepUntil(ctx, time.Now().Add(50*time.Millisecond)) {
	}
}

// tellProgress tells how it goes, and sees that a run that is killed leaves what it saw.
func (s *stage) tellProgress(ctx context.Context, began time.Time) {
	for n := 1; sleepUntil(ctx, began.Add(time.Duration(n)*time.Second)); n++ {
		if err := s.rec.Flush(); err != nil {
			s.fail(err)
			return
		}
		if s.opts.Progress == nil {
			continue
		}
		s.mu.Lock()
		p := Progress{
			At: time.Since(
				began,
			), Length: s.plan.File.Length.AsDuration(), HandedIn: s.handedIn, Troubles: append([]string(nil), s.on...),
			Settling: time.Since(began) > s.plan.File.Length.AsDuration(),
		}
		s.mu.Unlock()
		s.opts.Progress(p)
	}
}

// watchClocks records steps of the wall clock. Nothing here goes by it, but the relays' deadlines over a restart do.
func (s *stage) watchClocks(ctx context.Context) {
	for {
		was := time.Now()
		if !sleepUntil(ctx, was.Add(time.Second)) {
			return
		}
		now := time.Now()
		monotonic, wall := now.Sub(was), now.Round(0).Sub(was.Round(0))
		if step := wall - monotonic; step.Abs() > clockStep {
			s.rec.Add(eventlog.Event{Kind: eventlog.ClockStepped, Duration: step})
		}
	}
}

// ReadRecord reads the record of a rehearsal's folder.
func ReadRecord(dir string) (Result, error) {
	f, err := os.Open(filepath.Join(dir, RecordName))
	if err != nil {
		return Result{}, fmt.Errorf("rehearsal: %w", err)
	}
	defer f.Close()
	h, events, err := eventlog.Read(f)
	if err != nil {
		return Result{}, err
	}
	return Result{h, events, checker.Check(h, events)}, nil
}
