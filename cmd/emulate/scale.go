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
	Relays       []int    `help:"Numbers of relays." default:"1,2,10,100"`
	Destinations int      `help:"Destinations." default:"100"`
	Sizes        []string `name:"worlds" help:"Numbers of relays and of destinations, in place of --relays and --destinations." placeholder:"RELAYSxDESTINATIONS,..."`
	loadFlags
	Seed uint64 `default:"1"`
}

// scaleRow is the measures of one world.
type scaleRow struct {
	size      worldSize
	measures  map[string]float64
	submitted int
	overloads int
	elapsed   time.Duration
	peak      int64 // bytes that the process held
	// The bytes of the heap: of a world with one relay and of each further one, before anything has happened, and of
	// the world at its end.
	oneRelay int64
	perRelay float64
	end      int64
}

// scaleColumns are the columns of the table.
var scaleColumns = []struct {
	title  string
	width  int
	format string // of a width and a value
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

// bytesPerDestination returns what a destination takes beside the relays.
func (r scaleRow) bytesPerDestination() any {
	return (float64(r.oneRelay) - r.perRelay) / float64(r.size.destinations)
}

// bytesPerPair returns what the messages have left behind, for each pair of a relay and a destination.
func (r scaleRow) bytesPerPair() any {
	return float64(r.end-r.oneRelay) / float64(r.size.relays) / float64(r.size.destinations)
}

// Run plays a world of each size under the same load, and prints a row for each.
func (c *scaleCommand) Run(ctx context.Context, s *cli.Streams) error {
	sizes, err := c.worldSizes()
	if err != nil {
		return err
	}
	out := cli.NewPrinter(s.Out)
	out.Printf("%v of virtual time, %g messages a second\n", c.Length, c.Rate)
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

// worldSizes returns the sizes that the flags name.
func (c *scaleCommand) worldSizes() (sizes []worldSize, err error) {
	for _, text := range c.Sizes {
		relays, destinations, ok := strings.Cut(text, "x")
		r, errRelays := strconv.Atoi(relays)
		d, errDestinations := strconv.Atoi(destinations)
		if !ok || errRelays != nil || errDestinations != nil || r < 1 || d < 1 {
			return nil, fmt.Errorf("--worlds: %q is not RELAYSxDESTINATIONS, such as 300x1000", text)
		}
		sizes = append(sizes, worldSize{relays: r, destinations: d})
	}
	if len(sizes) == 0 {
		for _, relays := range c.Relays {
			sizes = append(sizes, worldSize{relays: relays, destinations: c.Destinations})
		}
	}
	return sizes, nil
}

// measure plays a world. Its memory is the heap after a collection, in three states: with one relay and with all before
// anything has happened, and at the end.
func (c *scaleCommand) measure(size worldSize) (scaleRow, error) {
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

// heapWithOneRelay returns the bytes of a world with one of its relays.
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
