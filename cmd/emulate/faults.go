package main

import (
	"context"
	"fmt"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// The faults, by their names on the command line.
const (
	faultChanges  = "changes"
	faultOutages  = "outages"
	faultZone     = "zone"
	faultRestarts = "restarts"
)

//nolint:lll // A struct tag is one line.
type faultsCommand struct {
	Fault        string `arg:"" enum:"changes,outages,zone,restarts" help:"changes: endpoints are replaced one by one over the whole run. outages: destinations crash together, and a tenth of them recover together. zone: all relays of one of 19 zones are killed together. restarts: a twentieth of the relays are restarted within a minute."`
	Relays       []int  `help:"Numbers of relays; one run for each." default:"40"`
	Destinations int    `help:"Number of destinations, each with two endpoints." default:"2500"`
	Count        int    `help:"Number of list changes or of outages." default:"60"`
	loadFlags
	OutageRate float64       `name:"struck" help:"outages: additional messages per second to each destination that crashes." default:"3"`
	ZoneOutage time.Duration `name:"away" help:"zone: time until the killed relays start again." default:"15s"`
	CheckRules bool          `name:"judged" help:"Check the six rules, too. This keeps all events in memory."`
	Mutant     mutantName    `help:"Play this mutant, a broken relay, in place of the unmodified one." placeholder:"NAME"`
	Seed       uint64        `default:"1"`
}

const (
	// changesPerReplacement is the number of list changes that replace an endpoint: the new endpoint is added, the old
	// one drains, and the old one is removed.
	changesPerReplacement = 3
	// changesMargin is by how much the period in which replacements begin is shorter than the run.
	changesMargin = 10 * time.Second
	// zoneCount is the number of zones of the zone fault, which kills the relays of one of them.
	zoneCount = 19
	// recoveryDivisor determines how many outages end before the run does: one in recoveryDivisor.
	recoveryDivisor = 10
	// restartShare is the fraction of the relays that are restarted, spread over at most restartDuration.
	restartShare    = 0.05
	restartDuration = time.Minute
)

// faultScenario is a scenario with many relays and destinations, and a fault.
type faultScenario struct {
	scenario.File
	start, end time.Duration // of the fault
}

// scenarioWithFault returns a scenario with a number of relays and the fault of the command.
func (c *faultsCommand) scenarioWithFault(relays int) faultScenario {
	f := faultScenario{
		File:  c.scenario(simulationSize{relays: relays, destinations: c.Destinations}),
		start: c.Length / 3,
		end:   c.Length * 2 / 3,
	}
	f.DestinationKinds[0] = scenario.DestinationKind{ // each endpoint serves ten calls per second
		Name:                 "store",
		ServiceTime:          scenario.Duration(500 * time.Millisecond),
		ServiceTimeVariation: 0.5,
		MaxConcurrentCalls:   5,
	}
	switch c.Fault {
	case faultChanges:
		c.addChanges(&f)
	case faultOutages:
		c.addOutages(&f)
	case faultZone:
		c.addZoneLoss(&f)
	case faultRestarts:
		c.addRestarts(&f)
	}
	f.SetDefaults()
	return f
}

// addChanges replaces endpoints one by one over the whole run.
func (c *faultsCommand) addChanges(f *faultScenario) {
	f.start, f.end = 0, c.Length
	endpoints := c.Destinations * f.Destinations[0].Endpoints
	replacements := c.Count / changesPerReplacement
	f.Faults = []scenario.Fault{{
		Kind:     scenario.FaultDrain,
		Start:    scenario.Duration(time.Second),
		Duration: scenario.Duration(c.Length - changesMargin),
		// The planner rounds the number of endpoints up. The next smaller share prevents one endpoint too many.
		Share:            math.Nextafter(float64(replacements)/float64(endpoints), 0),
		ReplaceEndpoints: true,
		BatchSize:        1,
	}}
}

// addOutages crashes destinations together. One in recoveryDivisor recovers at the end of the fault, the others do not
// recover.
func (c *faultsCommand) addOutages(f *faultScenario) {
	var crashed []int
	for i := range c.Count {
		crashed = append(crashed, 1+i*c.Destinations/c.Count)
	}
	recovering := (c.Count + recoveryDivisor - 1) / recoveryDivisor
	f.Faults = []scenario.Fault{
		{
			Kind:         scenario.FaultCrash,
			Start:        scenario.Duration(f.start),
			Duration:     scenario.Duration(f.end - f.start),
			Destinations: crashed[:recovering],
		},
		{
			Kind:         scenario.FaultCrash,
			Start:        scenario.Duration(f.start),
			Duration:     scenario.Duration(c.Length - f.start),
			Destinations: crashed[recovering:],
		},
	}
	f.Traffic = append(f.Traffic, scenario.Traffic{Rate: c.OutageRate * float64(c.Count), Destinations: crashed})
}

// addZoneLoss kills all relays of a zone at once.
func (c *faultsCommand) addZoneLoss(f *faultScenario) {
	f.Zones = nil
	for i := range zoneCount {
		f.Zones = append(f.Zones, fmt.Sprintf("z%d", i+1))
	}
	f.Destinations[0].Zones = nil
	f.end = f.start + c.ZoneOutage
	f.Faults = []scenario.Fault{{
		Kind:  scenario.FaultKill,
		Start: scenario.Duration(f.start),
		Zone:  f.Zones[0],
	}}
}

// addRestarts restarts relays one after the other.
func (c *faultsCommand) addRestarts(f *faultScenario) {
	f.end = f.start + min(restartDuration, c.Length/3)
	restarts := math.Ceil(restartShare * float64(f.Relays))
	f.Faults = []scenario.Fault{{
		Kind:    scenario.FaultTerminate,
		Start:   scenario.Duration(f.start),
		Share:   restartShare,
		Stagger: scenario.Duration(float64(f.end-f.start) / restarts),
	}}
}

// Run plays the fault once with each number of relays.
func (c *faultsCommand) Run(ctx context.Context, s *cli.Streams) error {
	mutant, err := c.Mutant.find()
	if err != nil {
		return err
	}
	out := cli.NewPrinter(s.Out)
	held := true
	for _, relays := range c.Relays {
		if err := ctx.Err(); err != nil {
			return err
		}
		ok, err := c.play(out, relays, func(o *emulate.Options) { o.Mutant = mutant })
		if err != nil {
			return err
		}
		held = held && ok
	}
	return finish(out, ruleStatus(held))
}

// play plays the fault with a number of relays and prints its cost. change changes the emulator's options. play reports
// whether the relays handled the fault well.
func (c *faultsCommand) play(out *cli.Printer, relays int, change func(*emulate.Options)) (held bool, err error) {
	f := c.scenarioWithFault(relays)
	if err := f.ValidateWithin(scenario.EmulatorBounds); err != nil {
		return false, err
	}
	observer := newFaultObserver(f.DrawWithoutArrivals(c.Seed))
	options := observer.options()
	if c.Fault == faultZone {
		options.RestartDelay = c.ZoneOutage
	}
	options.Record = c.CheckRules
	change(&options)
	memory := watchMemory()
	defer memory.stop()
	start := time.Now()
	if observer.world, err = emulate.New(observer.plan, options); err != nil {
		return false, err
	}
	if err := observer.world.Play(); err != nil {
		return false, err
	}
	elapsed := time.Since(start).Seconds()
	peak := float64(memory.stop()) / bytesPerMB
	out.Printf("%s: %d relays, %d destinations, %v of virtual time, ", c.Fault, relays, c.Destinations, c.Length)
	submitted := observer.world.Submitted
	out.Printf("%d messages in %.1f s of real time, %.0f per second; peak memory %.0f MB\n",
		submitted, elapsed, float64(submitted)/elapsed, peak)
	held = observer.print(out, f)
	if c.CheckRules {
		held = printRules(out, checker.Check(observer.world.Result())) && held
	}
	return held, nil
}

// printRules prints the result of each rule. It reports whether no rule was violated and the run has no errors.
func printRules(out *cli.Printer, result checker.Result) (held bool) {
	held = true
	for _, rule := range result.Rules {
		out.Printf("  %s: %s, %d cases, %d violations\n", rule.Rule, rule.State, rule.Exercised, rule.ViolationCount)
		held = held && rule.State != checker.Violated
	}
	for _, runError := range result.RunErrors {
		out.Printf("  error of the run: %v\n", runError)
		held = false
	}
	return held
}
