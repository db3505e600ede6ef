package main

import "cherrytrestle.example/cherrytrestle/internal/capacity"

// series is a capacity.Series to which points are added during the measurement.
type series struct {
	capacity.Series
}

func newSeries(name, axis string, unit capacity.Unit) *series {
	return &series{capacity.Series{Name: name, Axis: axis, Unit: unit}}
}

func (s *series) add(size int, value float64) {
	s.Points = append(s.Points, capacity.Point{Size: float64(size), Value: value})
}

// addFailure adds a size at which the measured operation did not complete.
func (s *series) addFailure(size int) {
	s.Points = append(s.Points, capacity.Point{Size: float64(size), Failed: true})
}

// collect converts series to the form in which they are stored.
func collect(all ...*series) []capacity.Series {
	collected := make([]capacity.Series, 0, len(all))
	for _, s := range all {
		collected = append(collected, s.Series)
	}
	return collected
}
