// Command drill is the adapter between the bench's wire and the decision module: one Sender for each
// instance, batches from standard input, replies to standard output. It decides nothing.
package main

import (
	"context"
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
	os.Exit(
		cli.Run(
			context.Background(),
			"drill",
			"The decision module on the simulator's wire, on standard input and output.",
			&app{},
			os.Args[1:],
			cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr},
			cli.Failed,
		),
	)
}

type app struct {
	Version kong.VersionFlag `help:"Print the version and end."`
}

// Run serves until the input ends.
func (*app) Run(s *cli.Streams) error { return run(s.In, s.Out) }

// instance is one relay's Sender and its events in the batch at hand.
type instance struct {
	number int
	sender *policy.Engine
	events []policy.Event
	busy   bool // has something in this batch
}

func run(in io.Reader, out io.Writer) error {
	r, w := simwire.NewReader(in), simwire.NewWriter(out)
	instances := map[int]*instance{}
	var b simwire.Batch
	var busy []*instance
	for {
		if err := r.Next(&b); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
		busy = busy[:0]
		for i := range b.Items {
			it := &b.Items[i]
			n := instances[it.Instance]
			if n == nil {
				n = &instance{number: it.Instance}
				instances[it.Instance] = n
			}
			if !n.busy {
				n.busy = true
				busy = append(busy, n)
			}
			switch it.Kind {
			case simwire.Start:
				s, err := policy.New(it.Settings, it.Seed)
				if err != nil {
					return fmt.Errorf("instance %d: %v", it.Instance, err)
				}
				n.sender, n.events = s, n.events[:0]
			case simwire.Stop:
				n.sender, n.events = nil, n.events[:0]
			case simwire.Event:
				n.events = append(n.events, it.Event)
			}
		}
		for _, n := range busy {
			n.busy = false
			if n.sender != nil {
				step(w, n, b.Now)
			}
			n.events = n.events[:0]
		}
		if err := w.End(b.Number); err != nil {
			return err
		}
	}
}

// step lets one instance decide, and reports a panic in the wire's own word for it.
func step(w *simwire.Writer, n *instance, now time.Duration) {
	defer func() {
		if p := recover(); p != nil {
			w.Die(n.number, fmt.Sprint(p))
			n.sender = nil
		}
	}()
	w.Actions(n.number, n.sender.Step(now, n.events))
}
