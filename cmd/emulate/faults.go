package main

import (
	"context"
	"fmt"
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

type faultsCommand struct {
	Fault        string        `arg:"" enum:"changes,outages,zone,restarts" help:"changes: of the list, spread over the length. outages: destinations down together, a tenth of them back in one instant. zone: one of 19 zones of relays gone at once. restarts: a twentieth of the relays within a minute."`
	Relays       []int         `help:"Numbers of relays: one world for each." default:"40"`
	Destinations int           `help:"Destinations, of two endpoints each." default:"2500"`
	Count        int           `help:"Of changes or outages." default:"60"`
	Rate         float64       `help:"Messages a second, of all clients." default:"200"`
	Length       time.Duration `help:"Virtual time." default:"1m"`
	Struck       float64       `help:"outages: messages a second for each destination struck, beside the others." default:"3"`
	Away         time.Duration `help:"zone: how long its relays are gone." default:"15s"`
	Judged       bool          `help:"Judge it by the six rules, too: takes room for the record."`
	Mutant       string        `help:"Play it with a relay that has this wrong about it." placeholder:"NAME"`
	Seed         uint64        `default:"1"`
}

// The parts of a fault's day.
const (
	replaceSteps = 3 // changes that replace an endpoint: a new one is listed, the old one drains, and is gone
	zones        = 19
	backShare    = 10 // one in so many is back
	restartShare = 0.05
	restartSpan  = time.Minute
	beforeUntil  = 5 * time.Second // before a fault: what is handed in later may still wait when it begins
	sendsWithin  = time.Second     // that may still leave for an endpoint after its drain was heard
)

// file is the world of a fault, and when it begins and ends.
func (c *faultsCommand) file(relays int) (f scenario.File, begin, end time.Duration) {
	d := func(x time.Duration) scenario.Duration { return scenario.Duration(x) }
	f = scaleScenario(relays, c.Destinations, c.Rate, c.Length)
	// ten calls a second an endpoint
	f.DestinationKinds[0] = scenario.DestinationKind{Name: "store", ServiceTime: d(500 * time.Millisecond), ServiceTimeVariation: 0.5, MaxConcurrentCalls: 5}
	begin, end = c.Length/3, c.Length*2/3
	switch c.Fault {
	case "changes":
		begin, end = 0, c.Length
		endpoints := c.Destinations * f.Destinations[0].Endpoints
		// rounded up to the count by the plan
		share := math.Nextafter(float64(c.Count/replaceSteps)/float64(endpoints), 0)
		f.Faults = []scenario.Fault{
			{
				Kind:             scenario.FaultDrain,
				Start:            d(time.Second),
				Duration:         d(c.Length - 10*time.Second),
				Share:            share,
				ReplaceEndpoints: true,
				BatchSize:        1,
			},
		}
	case "outages":
		var down []int
		for i := range c.Count {
			down = append(down, 1+i*c.Destinations/c.Count)
		}
		back := (c.Count + backShare - 1) / backShare
		f.Faults = []scenario.Fault{
			{Kind: scenario.FaultCrash, Start: d(begin), Duration: d(end - begin), Destinations: down[:back]},
			{Kind: scenario.FaultCrash, Start: d(begin), Duration: d(c.Length - begin), Destinations: down[back:]},
		}
		f.Traffic = append(f.Traffic, scenario.Traffic{Rate: c.Struck * float64(c.Count), Destinations: down})
	case "zone":
		f.Zones = nil
		for i := range zones {
			f.Zones = append(f.Zones, fmt.Sprintf("z%d", i+1))
		}
		f.Destinations[0].Zones = nil
		end = begin + c.Away
		f.Faults = []scenario.Fault{{Kind: scenario.FaultKill, Start: d(begin), Zone: "z1"}}
	case "restarts":
		end = begin + min(restartSpan, c.Length/3)
		count := math.Ceil(restartShare * float64(relays))
		f.Faults = []scenario.Fault{
			{
				Kind:    scenario.FaultTerminate,
				Start:   d(begin),
				Share:   restartShare,
				Stagger: d(time.Duration(float64(end-begin) / count)),
			},
		}
	}
	f.SetDefaults()
	return f, begin, end
}

// Run plays the fault in a world for each number of relays.
func (c *faultsCommand) Run(ctx context.Context, s *cli.Streams) error {
	wrong, err := mutant(c.Mutant)
	if err != nil {
		return err
	}
	held := true
	for _, n := range c.Relays {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		ok, err := c.play(s, n, func(o *emulate.Options) { o.Mutant = wrong })
		if err != nil {
			return err
		}
		held = held && ok
	}
	if !held {
		return exit(exitBroken)
	}
	return nil
}

// play plays the fault with so many relays, and tells whether all held.
func (c *faultsCommand) play(s *cli.Streams, relays int, change func(*emulate.Options)) (held bool, err error) {
	f, begin, end := c.file(relays)
	if err := f.ValidateWithin(scenario.EmulatorBounds); err != nil {
		return false, err
	}
	x := newFaultWatch(f.DrawWithoutArrivals(c.Seed), begin, end)
	opts := x.options()
	if c.Fault == "zone" {
		opts.RestartDelay = c.Away
	}
	opts.Record = c.Judged
	change(&opts)
	peak, stop := watchMemory()
	defer stop()
	began := time.Now()
	if x.w, err = emulate.New(x.plan, opts); err != nil {
		return false, err
	}
	if err := x.w.Play(); err != nil {
		return false, err
	}
	took := time.Since(began)
	stop()
	fmt.Fprintf(
		s.Out,
		"%s: %d relays, %d destinations, %v of virtual time, %d messages in %.1f s, %.0f a second; peak %.0f MB\n",
		c.Fault,
		relays,
		c.Destinations,
		c.Length,
		x.w.Submitted,
		took.Seconds(),
		float64(x.w.Submitted)/took.Seconds(),
		float64(peak.Load())/1e6,
	)
	held = x.tell(s)
	if c.Judged {
		v := checker.Check(x.w.Result())
		for _, f := range v.Rules {
			fmt.Fprintf(s.Out, "  %s: %s, %d cases, %d breaks\n", f.Rule, f.State, f.Exercised, f.ViolationCount)
			held = held && f.State != checker.Violated
		}
		for _, fault := range v.RunErrors {
			fmt.Fprintf(s.Out, "  the record proves less: %v\n", fault)
			held = false
		}
	}
	return held, nil
}

// faultWatch measures a fault as it is played.
type faultWatch struct {
	w          *emulate.World
	plan       scenario.Plan
	relays     int
	begin, end time.Duration

	changes map[heardChange]*spread
	order   []heardChange
	drained map[string][]time.Duration // by route: when each relay heard that it takes nothing new; 0: it has not
	late    int                        // sends after that and sendsWithin

	dest   map[string]int           // of a route
	out    map[int][2]time.Duration // destinations that are down, from and to
	spent  int                      // sends to them
	by     map[int]int              // by relay
	found  map[[2]int]struct{}      // pairs of relay and destination that spent some
	back   count                    // of messages for those that came back, since
	others count                    // of messages for all that were never down
	ended  int                      // relays
}

type count struct{ asked, served int }

func (c count) String() string {
	return fmt.Sprintf("%d of %d (%.4f)", c.served, c.asked, float64(c.served)/float64(max(1, c.asked)))
}

type heardChange struct{ route, state string }

// spread is how a change has come to the relays.
type spread struct {
	told, last time.Duration
	heard      int
}

func newFaultWatch(plan scenario.Plan, begin, end time.Duration) *faultWatch {
	x := &faultWatch{
		plan: plan, relays: plan.File.Relays, begin: begin, end: end,
		changes: map[heardChange]*spread{}, drained: map[string][]time.Duration{},
		dest: map[string]int{}, out: map[int][2]time.Duration{}, by: map[int]int{}, found: map[[2]int]struct{}{},
	}
	for _, e := range x.plan.Endpoints {
		x.dest[e.ID] = e.Destination
	}
	places := map[string]int{}
	for _, p := range x.plan.Services {
		places[p.Name] = p.Destination
	}
	for _, step := range x.plan.Steps {
		switch state := map[scenario.Op]string{scenario.OpAddEndpoint: eventlog.StateReady, scenario.OpDrainEndpoint: eventlog.StateDraining, scenario.OpRemoveEndpoint: eventlog.StateGone}[step.Op]; {
		case state != "":
			c := heardChange{step.Target, state}
			x.changes[c] = &spread{told: step.At}
			x.order = append(x.order, c)
		case step.Op == scenario.OpCrash:
			x.out[places[step.Target]] = [2]time.Duration{step.At, math.MaxInt64}
		case step.Op == scenario.OpRestore:
			d := places[step.Target]
			x.out[d] = [2]time.Duration{x.out[d][0], step.At}
		case step.Op == scenario.OpKill || step.Op == scenario.OpTerminate:
			x.ended++
		}
	}
	return x
}

func (x *faultWatch) options() emulate.Options {
	return emulate.Options{
		ZoneLatency: 2 * time.Millisecond,
		OnListChange: func(relay int, route, state string) {
			s := x.changes[heardChange{route, state}]
			s.heard++
			if s.last = x.w.Now(); state == eventlog.StateReady {
				return
			}
			if x.drained[route] == nil {
				x.drained[route] = make([]time.Duration, x.relays)
			}
			if x.drained[route][relay] == 0 {
				x.drained[route][relay] = x.w.Now()
			}
		},
		OnStep: func(relay int, _ time.Duration, _ []policy.Event, acts []policy.Action) {
			if x.w == nil {
				return // its relays have begun; nothing was handed in yet
			}
			now := x.w.Now()
			for _, a := range acts {
				if a.Kind != policy.Send {
					continue
				}
				if at := x.drained[a.Endpoint]; at != nil && at[relay] > 0 &&
					now > at[relay]+sendsWithin+checker.Tolerance {
					x.late++
				}
				d := x.dest[a.Endpoint]
				if out, ok := x.out[d]; ok && now >= out[0] && now < out[1] {
					x.spent++
					x.by[relay]++
					x.found[[2]int{relay, d}] = struct{}{}
				}
			}
		},
		OnSubmission: func(_, dest int) {
			if c := x.count(dest, x.w.Now()); c != nil {
				c.asked++
			}
		},
		OnDelivery: func(dest int, asked, _ time.Duration) {
			if c := x.count(dest, asked); c != nil {
				c.served++
			}
		},
	}
}

// count is where a message counts that was asked for at a time; nil: its destination was down then, or will be.
func (x *faultWatch) count(dest int, at time.Duration) *count {
	switch out, ok := x.out[dest]; {
	case !ok:
		return &x.others
	case out[1] < x.plan.File.Length.AsDuration() && at >= out[1]:
		return &x.back
	}
	return nil
}

// tell prints what was measured; false if a rule was broken or a relay does not have a change.
func (x *faultWatch) tell(s *cli.Streams) bool {
	share := func(from, to time.Duration) float64 { return x.w.OverallBetween(from, to) }
	fmt.Fprintf(
		s.Out,
		"  worth served: before %.4f, meanwhile %.4f, after %.4f; destinations pushed over: %d\n",
		share(0, x.begin-beforeUntil),
		share(x.begin, x.end),
		share(x.end, x.plan.File.Length.AsDuration()),
		x.w.Overloads,
	)
	fmt.Fprintf(
		s.Out,
		"  calls %d: refused %d, failed %d; not opened %d; hand-ins refused %d, unanswered %d; deferred %d, failed %d\n",
		x.w.Calls,
		x.w.CallsRejected,
		x.w.CallsFailed,
		x.w.ConnectionsRefused,
		x.w.Rejected,
		x.w.Unanswered,
		x.w.Deferred,
		x.w.Failed,
	)
	held := x.w.Overloads == 0
	if len(x.order) > 0 {
		var all []time.Duration
		missing := 0
		for _, c := range x.order {
			s := x.changes[c]
			if s.heard != x.relays {
				missing++
				continue
			}
			all = append(all, s.last-s.told)
		}
		slices.Sort(all)
		at := func(share float64) time.Duration {
			if len(all) == 0 {
				return 0
			}
			return all[int(share*float64(len(all)-1))].Round(time.Millisecond)
		}
		fmt.Fprintf(
			s.Out,
			"  %d changes; %d that some relay does not have; the last relay has one after %v in the median, %v at most\n",
			len(x.order),
			missing,
			at(0.5),
			at(1),
		)
		fmt.Fprintf(
			s.Out,
			"  sends more than %v after the relay had heard that an endpoint takes nothing new: %d\n",
			sendsWithin,
			x.late,
		)
		held = held && missing == 0 && x.late == 0
	}
	if len(x.out) > 0 {
		most := 0
		for _, n := range x.by {
			most = max(most, n)
		}
		fmt.Fprintf(
			s.Out,
			"  %d destinations down: %d calls to them, %.2f a destination, %.2f a relay (%d at most); %d pairs of relay and destination made one\n",
			len(x.out),
			x.spent,
			float64(x.spent)/float64(len(x.out)),
			float64(x.spent)/float64(x.relays),
			most,
			len(x.found),
		)
		fmt.Fprintf(
			s.Out,
			"  messages served: for those that came back, from then on, %v; for those that were never down %v\n",
			x.back,
			x.others,
		)
	}
	if x.ended > 0 {
		fmt.Fprintf(s.Out, "  %d relays ended\n", x.ended)
	}
	return held
}
