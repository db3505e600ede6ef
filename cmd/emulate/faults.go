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
	Fault        string `arg:"" enum:"changes,outages,zone,restarts" help:"changes: of the list, spread over the length. outages: destinations down together, a tenth of them back in one instant. zone: one of 19 zones of relays gone at once. restarts: a twentieth of the relays within a minute."`
	Relays       []int  `help:"Numbers of relays: one world for each." default:"40"`
	Destinations int    `help:"Destinations, of two endpoints each." default:"2500"`
	Count        int    `help:"Of changes or outages." default:"60"`
	loadFlags
	OutageRate float64       `name:"struck" help:"outages: messages a second for each destination struck, beside the others." default:"3"`
	ZoneOutage time.Duration `name:"away" help:"zone: how long its relays are gone." default:"15s"`
	CheckRules bool          `name:"judged" help:"Judge it by the six rules, too: takes room for the record."`
	Mutant     mutantName    `help:"Play it with a relay that has this wrong about it." placeholder:"NAME"`
	Seed       uint64        `default:"1"`
}

const (
	// changesPerReplacement is how many changes of the list replace an endpoint: the new one is added, the old one
	// drains, and is removed.
	changesPerReplacement = 3
	// changesMargin is how long before the world's end the last replacement begins.
	changesMargin = 10 * time.Second
	// zoneCount is the number of zones, of which one is lost.
	zoneCount = 19
	// recoveryDivisor is the part of the outages that end: one in so many.
	recoveryDivisor = 10
	// restartShare is the part of the relays that are restarted, over restartDuration at most.
	restartShare    = 0.05
	restartDuration = time.Minute
)

// faultScenario is a large world with a fault.
type faultScenario struct {
	scenario.File
	start, end time.Duration // of the fault
}

// scenarioWithFault returns the world of so many relays with the fault of the command.
func (c *faultsCommand) scenarioWithFault(relays int) faultScenario {
	f := faultScenario{
		File:  c.scenario(worldSize{relays: relays, destinations: c.Destinations}),
		start: c.Length / 3,
		end:   c.Length * 2 / 3,
	}
	f.DestinationKinds[0] = scenario.DestinationKind{ // ten calls a second for each endpoint
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

// addChanges replaces endpoints one by one over the whole length.
func (c *faultsCommand) addChanges(f *faultScenario) {
	f.start, f.end = 0, c.Length
	endpoints := c.Destinations * f.Destinations[0].Endpoints
	replacements := c.Count / changesPerReplacement
	f.Faults = []scenario.Fault{{
		Kind:     scenario.FaultDrain,
		Start:    scenario.Duration(time.Second),
		Duration: scenario.Duration(c.Length - changesMargin),
		// The plan rounds the number of endpoints up.
		Share:            math.Nextafter(float64(replacements)/float64(endpoints), 0),
		ReplaceEndpoints: true,
		BatchSize:        1,
	}}
}

// addOutages crashes destinations together. A part of them recovers at the end of the fault, the others do not.
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

// Run plays the fault in a world for each number of relays.
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

// play plays the fault with so many relays and prints what it costs. It tells whether the relays handled it well.
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
	out.Printf("%d messages in %.1f s, %.0f a second; peak %.0f MB\n",
		submitted, elapsed, float64(submitted)/elapsed, peak)
	held = observer.print(out, f)
	if c.CheckRules {
		held = printRules(out, checker.Check(observer.world.Result())) && held
	}
	return held, nil
}

// printRules prints how the rules fared. It tells whether all held and the record is complete.
func printRules(out *cli.Printer, result checker.Result) (held bool) {
	held = true
	for _, rule := range result.Rules {
		out.Printf("  %s: %s, %d cases, %d breaks\n", rule.Rule, rule.State, rule.Exercised, rule.ViolationCount)
		held = held && rule.State != checker.Violated
	}
	for _, runError := range result.RunErrors {
		out.Printf("  the record proves less: %v\n", runError)
		held = false
	}
	return held
}
