// Package fleetstats counts across the recordings of a whole fleet what no relay sees by itself: what all of them
// together sent to a destination, and the outcomes. It is pure: it reads recordings that others have loaded.
package fleetstats

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
)

// Fleet is what all recordings together contain. A limit scope is named by its destination or, where each endpoint has
// a limit of its own, by destination and endpoint.
type Fleet struct {
	Relays int
	Start  time.Time // of the process that started first
	Bin    time.Duration
	Bins   map[int]map[string]Counts // by time since Start in bins, and by limit scope
	Limits map[string]float64        // the last limit of each scope in the endpoint list, in calls a second
}

// Read counts recordings, in bins of a length. What is damaged in them is skipped.
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

// counts returns a scope's counts in a bin, to be changed and stored by the caller.
func (f *Fleet) counts(at time.Time, scope string) (bin map[string]Counts, counts Counts) {
	number := int(at.Sub(f.Start) / f.Bin)
	if f.Bins[number] == nil {
		f.Bins[number] = map[string]Counts{}
	}
	bin = f.Bins[number]
	return bin, bin[scope]
}
