package main

import (
	"context"
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/simulation/experiment"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

//nolint:lll // A struct tag is one line.
type scaleCommand struct {
	Relays       []int    `help:"Numbers of relays; one run for each." default:"1,2,10,100"`
	Destinations int      `help:"Number of destinations." default:"100"`
	Sizes        []string `name:"worlds" help:"Numbers of relays and of destinations of each run, in place of --relays and --destinations." placeholder:"RELAYSxDESTINATIONS,..."`
	loadFlags
	Seed uint64 `default:"1"`
}

// scaleRow holds the measurements of one run.
type scaleRow struct {
	size      simulationSize
	measures  map[string]float64
	submitted int
	overloads int
	elapsed   time.Duration
	peak      int64 // highest memory of the process, in bytes
	// Heap sizes in bytes.
	oneRelay int64   // of a simulation with one relay, before its start
	perRelay float64 // of each further relay, before the start
	end      int64   // of the whole simulation, at its end
}

// scaleColumns are the columns of the table.
var scaleColumns = []struct {
	title  string
	width  int
	format string // for a width and a value
	value  func(scaleRow) any
}{
	{"relays", 7, "%*d", func(r scaleRow) any { return r.size.relays }},
	{"destinations", 12, "%*d", func(r scaleRow) any { return r.size.destinations }},
	{"messages", 9, "%*d", func(r scaleRow) any { return r.submitted }},
	{"service", 9, "%*.4f", func(r scaleRow) any { return r.measures[experiment.MeasureService] }},
	{"worst 10 s", 10, "%*.4f", func(r scaleRow) any { return r.measures[experiment.MeasureWorst10s] }},
	{"p99 s", 9, "%*.3f", func(r scaleRow) any { return r.measures[experiment.MeasureLatencyP99] }},
	{"refused", 9, "%*.4f", func(r scaleRow) any { return r.measures[experiment.MeasureRejected] }},
	{"full", 8, "%*.4f", func(r scaleRow) any { return r.measures[experiment.MeasureCallsRejected] }},
	{"calls", 8, "%*.3f", func(r scaleRow) any { return r.measures[experiment.MeasureCalls] }},
	{"fell", 6, "%*d", func(r scaleRow) any { return r.overloads }},
	{"seconds", 9, "%*.1f", func(r scaleRow) any { return r.elapsed.Seconds() }},
	{"messages/s", 12, "%*.0f", func(r scaleRow) any { return float64(r.submitted) / r.elapsed.Seconds() }},
	{"MB", 9, "%*.0f", func(r scaleRow) any { return float64(r.end) / bytesPerMB }},
	{"peak MB", 9, "%*.0f", func(r scaleRow) any { return float64(r.peak) / bytesPerMB }},
	{"B/destination", 13, "%*.0f", scaleRow.bytesPerDestination},
	{"B/relay", 8, "%*.0f", func(r scaleRow) any { return r.perRelay }},
	{"B/pair", 8, "%*.1f", scaleRow.bytesPerPair},
}

// bytesPerDestination returns the heap that a destination takes before the start, without the relays.
func (r scaleRow) bytesPerDestination() any {
	return (float64(r.oneRelay) - r.perRelay) / float64(r.size.destinations)
}

// bytesPerPair returns the heap at the end beyond that of a simulation with one relay before its start, for each pair
// of a relay and a destination. It estimates the state that the messages leave behind.
func (r scaleRow) bytesPerPair() any {
	return float64(r.end-r.oneRelay) / float64(r.size.relays) / float64(r.size.destinations)
}

// Run plays a simulation of each size under the same load, and prints a row for each.
func (c *scaleCommand) Run(ctx context.Context, s *cli.Streams) error {
	sizes, err := c.simulationSizes()
	if err != nil {
		return err
	}
	out := cli.NewPrinter(s.Out)
	out.Printf("%v of virtual time, %g messages per second\n", c.Length, c.Rate)
	for i, column := range scaleColumns {
		out.Printf("%s%*s", columnSeparator(i), column.width, column.title)
	}
	out.Printf("\n")
	for _, size := range sizes {
		if err := ctx.Err(); err != nil {
			return err
		}
		row, err := c.measure(size)
		if err != nil {
			return err
		}
		for i, column := range scaleColumns {
			out.Printf(columnSeparator(i)+column.format, column.width, column.value(row))
		}
		out.Printf("\n")
	}
	return finish(out, exitHeld)
}

func columnSeparator(index int) string {
	if index == 0 {
		return ""
	}
	return " "
}

// simulationSizes returns the sizes that the flags name.
func (c *scaleCommand) simulationSizes() (sizes []simulationSize, err error) {
	for _, text := range c.Sizes {
		relays, destinations, ok := strings.Cut(text, "x")
		r, errRelays := strconv.Atoi(relays)
		d, errDestinations := strconv.Atoi(destinations)
		if !ok || errRelays != nil || errDestinations != nil || r < 1 || d < 1 {
			return nil, fmt.Errorf("--worlds: %q is not RELAYSxDESTINATIONS, such as 300x1000", text)
		}
		sizes = append(sizes, simulationSize{relays: r, destinations: d})
	}
	if len(sizes) == 0 {
		for _, relays := range c.Relays {
			sizes = append(sizes, simulationSize{relays: relays, destinations: c.Destinations})
		}
	}
	return sizes, nil
}

// measure plays a simulation of a size. It measures the heap, after a garbage collection, in three states: before the
// start with one relay, before the start with all relays, and at the end.
func (c *scaleCommand) measure(size simulationSize) (scaleRow, error) {
	row := scaleRow{size: size}
	file := c.scenario(size)
	if err := file.ValidateWithin(scenario.EmulatorBounds); err != nil {
		return row, err
	}
	var err error
	if row.oneRelay, err = c.heapWithOneRelay(file); err != nil {
		return row, err
	}
	before := heapBytes()
	memory := watchMemory()
	defer memory.stop()
	start := time.Now()
	world, err := c.newWorld(file)
	if err != nil {
		return row, err
	}
	row.elapsed = time.Since(start)
	initial := heapBytes() - before
	start = time.Now()
	if err := world.Play(); err != nil {
		return row, err
	}
	row.elapsed += time.Since(start)
	row.peak = memory.stop()
	row.end = heapBytes() - before
	row.perRelay = float64(initial-row.oneRelay) / float64(max(1, size.relays-1))
	row.measures = experiment.Measurements(&world.Metrics)
	row.submitted = world.Submitted
	row.overloads = world.Overloads
	return row, nil
}

func (c *scaleCommand) newWorld(file scenario.File) (*emulate.World, error) {
	return emulate.New(file.DrawWithoutArrivals(c.Seed), emulate.Options{ZoneLatency: zoneLatency})
}

// heapWithOneRelay returns the bytes of the heap that a simulation of the scenario with a single relay takes before its
// start.
func (c *scaleCommand) heapWithOneRelay(file scenario.File) (int64, error) {
	file = file.Clone()
	file.Relays = 1
	before := heapBytes()
	world, err := c.newWorld(file)
	if err != nil {
		return 0, err
	}
	used := heapBytes() - before
	runtime.KeepAlive(world)
	return used, nil
}
