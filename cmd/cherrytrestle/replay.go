package main

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
)

// exitDiffers is the exit status of a replay that differs from its recording.
const exitDiffers = 3

//nolint:lll // A struct tag is one line.
type replayCommand struct {
	Files []string `arg:"" name:"file" help:"Recordings: files of a recorder's folder, or logs that hold them." type:"existingfile"`
	Quiet bool     `short:"q" help:"Print only differences and parts that could not be read."`
}

// Run replays the recordings. The exit status is 0 if every replay agrees with its recording, exitDiffers if one
// differs, and cli.Failed if a recording cannot be replayed.
func (c *replayCommand) Run(s *cli.Streams) error {
	found, err := flightrecorder.Load(c.Files...)
	if err != nil {
		return err
	}
	out := cli.NewPrinter(s.Out)
	differs := false
	for _, recording := range found {
		began := time.Now()
		result, err := replay.Play(recording.Data, replay.Visitor{})
		if err != nil {
			return fmt.Errorf("recording %016x: %w", recording.ID, err)
		}
		c.print(out, recording, result, time.Since(began))
		differs = differs || result.Difference != nil
	}
	if out.Err() != nil {
		return out.Err()
	}
	if differs {
		return cli.Exit(exitDiffers)
	}
	return nil
}

// print prints the result of one replay.
func (c *replayCommand) print(
	out *cli.Printer, recording flightrecorder.Recording, result replay.Result, duration time.Duration,
) {
	for _, lost := range result.Lost {
		out.Printf("%016x: not read: %s\n", recording.ID, lost)
	}
	if !c.Quiet {
		out.Printf("%016x: %s, %s, duration %v, %d bytes in %d chunks: ",
			recording.ID, result.Meta.Name, revisions(result),
			(result.To - result.From).Round(time.Millisecond), len(recording.Data), result.Chunks)
		out.Printf("%d steps, %d events, %d actions, %d send checks, %d engine states; %.0f events a second\n",
			result.Steps, result.Events, result.Actions, result.SendChecks, result.States,
			float64(result.Events)/duration.Seconds())
	}
	if result.Difference != nil {
		out.Printf("%016x: DIFFERS: %v\n", recording.ID, result.Difference)
	} else if !c.Quiet {
		out.Printf("%016x: no difference\n", recording.ID)
	}
}

// revisions describes the engine's revision that made the recording and the one that replayed it.
func revisions(result replay.Result) string {
	if result.SameRevision() {
		return "revision " + result.Revision
	}
	return fmt.Sprintf("recorded by revision %s, replayed by %s", result.Meta.Revision, result.Revision)
}
