package experiment

import (
	"context"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	// minLossKept is the fraction of a loss of service that a smaller scenario must still cause to replace the larger
	// one.
	minLossKept = 0.9
	// minSettleTime is the shortest time from the last fault to the end of a shortened scenario.
	minSettleTime = 10 * time.Second
	// minLength is the length of a shortened scenario without faults, before it is rounded up.
	minLength = time.Second
	// minRate is the highest rate of traffic that is not halved, in messages per second.
	minRate = 10
	// minFaultDuration is the longest duration of a fault that is not halved.
	minFaultDuration = 2 * time.Second
	// timeUnit is the unit to which drawn and halved times are rounded.
	timeUnit = 100 * time.Millisecond
)

// shrink makes the scenario of a candidate smaller, one step at a time, as long as the smaller scenario reproduces the
// problem. The problem is the violation of the candidate's first violated rule, or a loss of service of at least
// minLossKept times the candidate's loss if the candidate violates no rule.
func (s Search) shrink(ctx context.Context, found Candidate) Candidate {
	loss := 1 - found.Service
	reproduces := func(candidate Candidate) bool {
		if len(found.ViolatedRules) > 0 {
			return slices.Contains(candidate.ViolatedRules, found.ViolatedRules[0])
		}
		return 1-candidate.Service >= minLossKept*loss
	}
	for ctx.Err() == nil {
		smaller, ok := s.shrinkStep(ctx, &found, reproduces)
		if !ok {
			break
		}
		found = smaller
	}
	return found
}

// shrinkStep returns the first smaller scenario that reproduces the problem of found. It adds the simulations that it
// plays to found.Plays.
func (s Search) shrinkStep(ctx context.Context, found *Candidate, reproduces func(Candidate) bool) (Candidate, bool) {
	for _, file := range smallerScenarios(found.Scenario) {
		if ctx.Err() != nil {
			break
		}
		if file.ValidateWithin(scenario.EmulatorBounds) != nil {
			continue
		}
		candidate, err := s.play(file, found.Seed)
		found.Plays++
		if err == nil && reproduces(candidate) {
			candidate.Plays = found.Plays
			return candidate, true
		}
	}
	return Candidate{}, false
}

// smallerScenarios returns the scenarios that are one step smaller. The steps that usually remove most come first.
func smallerScenarios(file scenario.File) (smaller []scenario.File) {
	add := func(change func(*scenario.File)) {
		changed := file.Clone()
		change(&changed)
		smaller = append(smaller, changed)
	}
	for i := range file.Faults {
		add(func(f *scenario.File) { f.Faults = slices.Delete(f.Faults, i, i+1) })
	}
	if len(file.Traffic) > 1 {
		for i := range file.Traffic {
			add(func(f *scenario.File) { f.Traffic = slices.Delete(f.Traffic, i, i+1) })
		}
	}
	if length := shortestLength(file); length < file.Length.AsDuration() {
		add(func(f *scenario.File) { shorten(f, length) })
	}
	if file.Relays > 1 {
		add(removeRelay)
	}
	for i, traffic := range file.Traffic {
		if traffic.Rate > minRate {
			add(func(f *scenario.File) { f.Traffic[i].Rate = float64(int(traffic.Rate / 2)) })
		}
	}
	for i := range file.Faults {
		for _, change := range smallerFault(file.Faults[i]) {
			add(func(f *scenario.File) { change(&f.Faults[i]) })
		}
	}
	return smaller
}

// smallerFault returns the steps that make a fault smaller.
func smallerFault(fault scenario.Fault) (changes []func(*scenario.Fault)) {
	if fault.Duration.AsDuration() > minFaultDuration {
		half := scenario.Duration((fault.Duration.AsDuration() / 2).Round(timeUnit))
		changes = append(changes, func(f *scenario.Fault) { f.Duration = half })
	}
	if len(fault.Destinations) > 1 {
		for i := range fault.Destinations {
			changes = append(changes, func(f *scenario.Fault) {
				f.Destinations = slices.Delete(f.Destinations, i, i+1)
			})
		}
	}
	return changes
}

// shortestLength returns a length, in whole seconds, that contains all faults and minSettleTime after the last one.
func shortestLength(file scenario.File) time.Duration {
	length := minLength
	for _, fault := range file.Faults {
		length = max(length, (fault.Start+fault.Duration+fault.DrainTime).AsDuration()+minSettleTime)
	}
	return length.Truncate(time.Second) + time.Second
}

// shorten sets an earlier end of a scenario, and removes the traffic after it.
func shorten(file *scenario.File, length time.Duration) {
	file.Length = scenario.Duration(length)
	isCut := func(traffic scenario.Traffic) bool { return traffic.From.AsDuration() >= length }
	file.Traffic = slices.DeleteFunc(file.Traffic, isCut)
	for i := range file.Traffic {
		file.Traffic[i].To = min(file.Traffic[i].To, file.Length)
	}
}

// removeRelay removes the last relay from the scenario and from its faults.
func removeRelay(file *scenario.File) {
	file.Relays--
	isRemoved := func(relay int) bool { return relay > file.Relays }
	for i := range file.Faults {
		file.Faults[i].Relays = slices.DeleteFunc(file.Faults[i].Relays, isRemoved)
	}
}
