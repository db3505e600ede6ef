// Command simadapter connects decision engines to the simulator. It reads batches of events from standard input, steps
// one policy.Engine for each simulated relay, and writes the actions to standard output. It makes no decisions of its
// own.
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
	description = "Runs decision engines over the simulator's protocol on standard input and output."
)

type app struct {
	Version kong.VersionFlag `help:"Print the version and exit."`
}

// Run processes batches until the input ends.
func (*app) Run(s *cli.Streams) error { return run(s.In, s.Out) }

// instance is the engine of one simulated relay.
type instance struct {
	number int
	engine *policy.Engine // nil before a start, and after a stop or a panic
	events []policy.Event // of the current batch
	active bool           // whether the current batch has items for this instance
}

// adapter runs the instances of one simulation.
type adapter struct {
	instances map[int]*instance // by number
	active    []*instance       // instances with items in the current batch, in the order of their first items
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

// collect applies the items of a batch: it starts and stops instances, and queues each event for its instance.
func (a *adapter) collect(items []simwire.Item) error {
	a.active = a.active[:0]
	for i := range items {
		item := &items[i]
		target := a.activate(item.Instance)
		switch item.Kind {
		case simwire.Start:
			engine, err := policy.New(item.Settings, item.Seed)
			if err != nil {
				return fmt.Errorf("instance %d: %w", item.Instance, err)
			}
			target.engine = engine
			target.events = target.events[:0]
		case simwire.Stop:
			target.engine = nil
			target.events = target.events[:0]
		case simwire.Event:
			target.events = append(target.events, item.Event)
		}
	}
	return nil
}

// activate returns the instance with the given number and marks it as active in the current batch. If the instance does
// not exist, activate creates it.
func (a *adapter) activate(number int) *instance {
	found := a.instances[number]
	if found == nil {
		found = &instance{number: number}
		a.instances[number] = found
	}
	if !found.active {
		found.active = true
		a.active = append(a.active, found)
	}
	return found
}

// step steps the engines of all active instances and writes their actions.
func (a *adapter) step(w *simwire.Writer, now time.Duration) {
	for _, current := range a.active {
		current.active = false
		if current.engine != nil {
			current.step(w, now)
		}
		current.events = current.events[:0]
	}
}

// step steps the engine and writes its actions. If the engine panics, step reports the panic to the simulator and stops
// the instance.
func (i *instance) step(w *simwire.Writer, now time.Duration) {
	defer func() {
		if reason := recover(); reason != nil {
			w.Die(i.number, fmt.Sprint(reason))
			i.engine = nil
		}
	}()
	w.Actions(i.number, i.engine.Step(now, i.events))
}
