// Command simadapter connects the simulator's protocol to the decision engine: one policy.Engine for each instance,
// batches from standard input, replies to standard output. It decides nothing itself.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simwire"
	"cherrytrestle.example/cherrytrestle/policy"
)

func main() {
	streams := cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}
	os.Exit(cli.Run(context.Background(), name, description, &app{}, os.Args[1:], streams, cli.Failed))
}

const (
	name        = "simadapter"
	description = "The decision engine on the simulator's protocol, on standard input and output."
)

type app struct {
	Version kong.VersionFlag `help:"Print the version and end."`
}

// Run serves until the input ends.
func (*app) Run(s *cli.Streams) error { return run(s.In, s.Out) }

// instance is the engine of one relay, with its events in the current batch.
type instance struct {
	number int
	engine *policy.Engine // nil: stopped, or it has panicked
	events []policy.Event
	active bool // the current batch has something for it
}

// adapter holds the instances by number, and those that the current batch has something for, in order of appearance.
type adapter struct {
	instances map[int]*instance
	active    []*instance
}

func run(in io.Reader, out io.Writer) error {
	reader := simwire.NewReader(in)
	writer := simwire.NewWriter(out)
	a := adapter{instances: map[int]*instance{}}
	var batch simwire.Batch
	for {
		err := reader.Next(&batch)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.collect(batch.Items); err != nil {
			return err
		}
		a.step(writer, batch.Now)
		if err := writer.End(batch.Number); err != nil {
			return err
		}
	}
}

// collect gives each instance its events, and starts and stops instances.
func (a *adapter) collect(items []simwire.Item) error {
	a.active = a.active[:0]
	for i := range items {
		item := &items[i]
		n := a.activate(item.Instance)
		switch item.Kind {
		case simwire.Start:
			engine, err := policy.New(item.Settings, item.Seed)
			if err != nil {
				return fmt.Errorf("instance %d: %w", item.Instance, err)
			}
			n.engine, n.events = engine, n.events[:0]
		case simwire.Stop:
			n.engine, n.events = nil, n.events[:0]
		case simwire.Event:
			n.events = append(n.events, item.Event)
		}
	}
	return nil
}

// activate returns the instance of a number as one of the current batch.
func (a *adapter) activate(number int) *instance {
	n := a.instances[number]
	if n == nil {
		n = &instance{number: number}
		a.instances[number] = n
	}
	if !n.active {
		n.active = true
		a.active = append(a.active, n)
	}
	return n
}

// step lets the instances of the batch decide, in order.
func (a *adapter) step(w *simwire.Writer, now time.Duration) {
	for _, n := range a.active {
		n.active = false
		if n.engine != nil {
			n.step(w, now)
		}
		n.events = n.events[:0]
	}
}

// step lets one instance decide. A panic ends the instance and is reported.
func (n *instance) step(w *simwire.Writer, now time.Duration) {
	defer func() {
		if reason := recover(); reason != nil {
			w.Die(n.number, fmt.Sprint(reason))
			n.engine = nil
		}
	}()
	w.Actions(n.number, n.engine.Step(now, n.events))
}
