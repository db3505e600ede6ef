package main

import (
	"fmt"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
)

// playAll replays recordings, and fails if anything differs or none has a step of the fleet agent.
func playAll(files []string) error {
	found, err := flightrecorder.Load(files...)
	if err != nil {
		return err
	}
	beside := 0
	for _, rec := range found {
		res, err := replay.Play(rec.Data, replay.Visitor{})
		if err != nil {
			return err
		}
		if res.Difference != nil {
			return fmt.Errorf("replay: %s", res.Difference)
		}
		if len(res.Lost) > 0 {
			return fmt.Errorf("replay: lost %q", res.Lost)
		}
		beside += res.FleetSteps
	}
	if beside == 0 {
		return fmt.Errorf("replay: no step beside the module's among %d recordings", len(found))
	}
	return nil
}
