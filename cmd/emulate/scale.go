package main

import (
	"context"
	"fmt"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

type scaleCommand struct {
	Relays       []int         `help:"Numbers of relays." default:"1,2,10,100"`
	Destinations int           `help:"Destinations." default:"100"`
	Worlds       []string      `help:"Numbers of relays and of destinations, in place of --relays and --destinations." placeholder:"RELAYSxDESTINATIONS,..."`
	Rate         float64       `help:"Messages a second, of all clients." default:"200"`
	Length       time.Duration `help:"Virtual time." default:"1m"`
	Seed         uint64        `default:"1"`
}

type size struct{ relays, destinations int }

func (c *scaleCommand) sizes() (all []size, err error) {
	for _, x := range c.Worlds {
		relays, destinations, ok := strings.Cut(x, "x")
		n, err1 := strconv.Atoi(relays)
		d, err2 := strconv.Atoi(destinations)
		if !ok || err1 != nil || err2 != nil || n < 1 || d < 1 {
			return nil, fmt.Errorf("--worlds: %q is not RELAYSxDESTINATIONS, such as 300x1000", x)
		}
		all = append(all, size{n, d})
	}
	if len(all) == 0 {
		for _, n := range c.Relays {
			all = append(all, size{n, c.Destinations})
		}
	}
	return all, nil
}

// Run plays a world for each size, with the load as it is. What they hold is the heap after a collection: of a world in
// which nothing has happened, with one relay and with all, and of one at its end. Peak is the most that the program
// held of the machine's memory meanwhile.
func (c *scaleCommand) Run(ctx context.Context, s *cli.Streams) error {
	sizes, err := c.sizes()
	if err != nil {
		return err
	}
	fmt.Fprintf(s.Out, "%v of virtual time, %g messages a second\n", c.Length, c.Rate)
	fmt.Fprintf(
		s.Out,
		"%7s %12s %9s %9s %10s %9s %9s %8s %8s %6s %9s %12s %9s %9s %13s %8s %8s\n",
		"relays",
		"destinations",
		"messages",
		"service",
		"worst 10 s",
		"p99 s",
		"refused",
		"full",
		"calls",
		"fell",
		"seconds",
		"messages/s",
		"MB",
		"peak MB",
		"B/destination",
		"B/relay",
		"B/pair",
	)
	for _, x := range sizes {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := c.play(s, x); err != nil {
			return err
		}
	}
	return nil
}

func (c *scaleCommand) play(s *cli.Streams, x size) error {
	f := scaleScenario(x.relays, x.destinations, c.Rate, c.Length)
	if err := f.ValidateWithin(scenario.EmulatorBounds); err != nil {
		return err
	}
	build := func(f scenario.File) (*emulate.World, error) {
		return emulate.New(f.DrawWithoutArrivals(c.Seed), emulate.Options{ZoneLatency: 2 * time.Millisecond})
	}
	before := heap()
	one := f.Clone()
	one.Relays = 1
	w, err := build(one)
	if err != nil {
		return err
	}
	ofOne := heap() - before
	runtime.KeepAlive(w)
	w = nil
	before = heap()
	peak, stop := watchMemory()
	defer stop()
	began := time.Now()
	if w, err = build(f); err != nil {
		return err
	}
	took := time.Since(began)
	atRest := heap() - before
	began = time.Now()
	if err := w.Play(); err != nil {
		return err
	}
	took += time.Since(began)
	stop()
	end := heap() - before
	m := experiment.Measurements(&w.Metrics)
	perRelay := float64(atRest-ofOne) / float64(max(1, x.relays-1))
	fmt.Fprintf(
		s.Out,
		"%7d %12d %9d %9.4f %10.4f %9.3f %9.4f %8.4f %8.3f %6d %9.1f %12.0f %9.0f %9.0f %13.0f %8.0f %8.1f\n",
		x.relays,
		x.destinations,
		w.Submitted,
		m["service"],
		m["worst_10s"],
		m["late_p99"],
		m["refused"],
		m["calls_full"],
		m["calls"],
		w.Overloads,
		took.Seconds(),
		float64(w.Submitted)/took.Seconds(),
		float64(end)/1e6,
		float64(peak.Load())/1e6,
		(float64(ofOne)-perRelay)/float64(
			x.destinations,
		),
		perRelay,
		float64(end-ofOne)/float64(x.relays)/float64(x.destinations),
	)
	runtime.KeepAlive(w)
	return nil
}

func heap() int64 {
	debug.FreeOSMemory()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// watchMemory notes the most bytes that the program holds of the machine's memory, looking ten times a second, until it
// is stopped.
func watchMemory() (peak *atomic.Int64, stop func()) {
	peak = &atomic.Int64{}
	look := func() {
		held := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
		metrics.Read(held)
		peak.Store(max(peak.Load(), int64(held[0].Value.Uint64()-held[1].Value.Uint64())))
	}
	quit, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for {
			look()
			select {
			case <-tick.C:
			case <-quit:
				return
			}
		}
	}()
	return peak, sync.OnceFunc(func() { look(); close(quit); <-done })
}

// scaleScenario is a world of plain shape whose parts are the same for any number of relays: destinations that take
// twice what is asked of them in the mean, a tenth of which fail together for ten seconds at half time.
func scaleScenario(relays, destinations int, rate float64, length time.Duration) scenario.File {
	d := func(x time.Duration) scenario.Duration { return scenario.Duration(x) }
	f := scenario.File{
		Name: "scale", Length: d(length), Relays: relays, Zones: []string{"north", "south"},
		Classes: []scenario.Class{
			{
				Name:             "order",
				TrafficShare:     8,
				Effect:           "keyed",
				DedupWindow:      d(10 * time.Second),
				LatencyObjective: d(3 * time.Second),
				Deadline:         d(12 * time.Second),
				LateWeightRatio:  0.4,
			},
			{
				Name:             "payment",
				TrafficShare:     1,
				Effect:           "unsafe",
				LatencyObjective: d(3 * time.Second),
				Deadline:         d(10 * time.Second),
				LateWeightRatio:  0.4,
			},
			{
				Name:             "status",
				TrafficShare:     1,
				Effect:           "safe",
				LatencyObjective: d(4 * time.Second),
				Deadline:         d(10 * time.Second),
				LateWeightRatio:  0.4,
			},
		},
		DestinationKinds: []scenario.DestinationKind{{
			Name: "store", ServiceTime: d(200 * time.Millisecond), ServiceTimeVariation: 0.5, MaxConcurrentCalls: 8, Limit: "rate", RetryAfterRatio: 0.5, MinRetryAfter: d(300 * time.Millisecond),
		}},
		Destinations: []scenario.Destination{
			{Kind: "store", Count: destinations, LimitRate: max(1, 2*rate/float64(destinations))},
		},
		Traffic: []scenario.Traffic{{Rate: rate}},
		Faults: []scenario.Fault{
			{Kind: scenario.FaultFailCalls, Start: d(length / 2), Duration: d(min(10*time.Second, length/4)), Share: 0.1},
		},
	}
	f.SetDefaults()
	return f
}
