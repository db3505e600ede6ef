package main

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/recording/replay"
)

var errNoRecordings = errors.New("the relay has no recordings")

// replayRecordings replays the recordings of a relay of a testFleet. It returns an error if a replayed decision of the
// engine or of the fleet's agent differs, if a part of a recording is lost, or if no step of the fleet's agent is
// recorded.
func replayRecordings(r *relayProcess) error {
	files, err := filepath.Glob(filepath.Join(r.dir, "recordings", "*"))
	if err != nil {
		return err
	}
	if len(files) == 0 {
		return errNoRecordings
	}
	slices.Sort(files)
	recordings, err := flightrecorder.Load(files...)
	if err != nil {
		return err
	}
	fleetSteps := 0
	for _, recording := range recordings {
		result, err := replay.Play(recording.Data, replay.Visitor{})
		if err != nil {
			return err
		}
		if result.Difference != nil {
			return fmt.Errorf("replay: %s", result.Difference)
		}
		if len(result.Lost) > 0 {
			return fmt.Errorf("replay: parts of the recording are lost: %q", result.Lost)
		}
		fleetSteps += result.FleetSteps
	}
	if fleetSteps == 0 {
		return fmt.Errorf("replay: no step of the fleet's agent in %d recordings", len(recordings))
	}
	return nil
}
