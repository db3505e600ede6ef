// Package fleetstats counts messages, calls and their outcomes over the recordings of all relays of a fleet, by
// rate-limit scope and time. The caller loads the recordings: the package does no I/O except for writing its table.
package fleetstats

import (
	"fmt"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
)

// Fleet holds the counts of all recordings. A rate-limit scope is named after its destination or, where each endpoint
// has its own limit, DESTINATION/ENDPOINT.
type Fleet struct {
	Relays int
	Start  time.Time // start of the earliest process
	Bin    time.Duration
	Bins   map[int]map[string]Counts // by index of the bin, counted from Start, and by scope name
	Limits map[string]float64        // by scope name: the last listed limit, in calls per second
}

// Read counts the messages, calls and outcomes in recordings, in time bins of the given length. It skips damaged
// parts of recordings.
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

// counts returns the bin that contains a time, and a copy of a scope's counts in this bin. The caller changes the
// copy and stores it in the bin.
func (f *Fleet) counts(at time.Time, scope string) (bin map[string]Counts, counts Counts) {
	number := int(at.Sub(f.Start) / f.Bin)
	if f.Bins[number] == nil {
		f.Bins[number] = map[string]Counts{}
	}
	bin = f.Bins[number]
	return bin, bin[scope]
}
