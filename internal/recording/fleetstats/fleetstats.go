// Package fleetstats counts, over the recordings of all relays of a fleet, their messages and calls to each destination
// and the outcomes. It is pure: its input are recordings that the caller has loaded.
package fleetstats

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
)

// Fleet has the counts of all recordings. The name of a limit scope is its destination or, where each endpoint has a
// limit of its own, DESTINATION/ENDPOINT.
type Fleet struct {
	Relays int
	Start  time.Time // of the process that started first
	Bin    time.Duration
	Bins   map[int]map[string]Counts // by number of the bin, from Start, and by limit scope
	Limits map[string]float64        // the last limit of each scope in the endpoint list, in calls a second
}

// Read counts over recordings, in bins of a length. It skips damaged parts.
func Read(recordings []flightrecorder.Recording, bin time.Duration) (*Fleet, error) {
	f := &Fleet{Bins: map[int]map[string]Counts{}, Limits: map[string]float64{}, Bin: bin}
	names := map[string]bool{}
	for i, recording := range recordings {
		names[recording.Meta.Name] = true
		if i == 0 || recording.Meta.Started.Before(f.Start) {
			f.Start = recording.Meta.Started
		}
	}
	f.Relays = len(names)
	for _, recording := range recordings {
		if err := f.read(recording); err != nil {
			return nil, fmt.Errorf("recording %016x: %w", recording.ID, err)
		}
	}
	return f, nil
}

// counts returns the bin of a time and a scope's counts in it. The caller changes the counts and stores them in bin.
func (f *Fleet) counts(at time.Time, scope string) (bin map[string]Counts, counts Counts) {
	number := int(at.Sub(f.Start) / f.Bin)
	if f.Bins[number] == nil {
		f.Bins[number] = map[string]Counts{}
	}
	bin = f.Bins[number]
	return bin, bin[scope]
}
