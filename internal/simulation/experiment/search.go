package experiment

import (
	"context"
	"fmt"
	"sync"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// aboveAnyService exceeds the service of every candidate, which is at most 1. It marks the initial worst candidate, so
// that every candidate is worse.
const aboveAnyService = 2

// Search is a random search for faults that the relays of a scenario handle badly.
type Search struct {
	Base       scenario.File
	Candidates int             // number of candidates to draw
	Seed       uint64          // of the search; candidates get this seed and the following ones
	Workers    int             // 0: one for each core
	Mutant     *emulate.Mutant // nil: the unmodified relay
	// Progress is called after each candidate, with the worst candidate so far. nil: no progress is reported.
	Progress func(done int, worst Candidate)
}

// Candidate is a scenario that a search has played, and the outcome.
type Candidate struct {
	Scenario      scenario.File
	Seed          uint64 // with which the scenario is played
	ViolatedRules []checker.Rule
	Service       float64 // delivered share of the submitted weight, 0 to 1
	Plays         int     // simulations that the search has played so far, including those that shrink the scenario
}

// worse reports whether the outcome of a is worse than that of b. A violated rule is worse than any loss of service.
func (a Candidate) worse(b Candidate) bool {
	if (len(a.ViolatedRules) > 0) != (len(b.ViolatedRules) > 0) {
		return len(a.ViolatedRules) > 0
	}
	return a.Service < b.Service
}

// Run plays the candidates and shrinks the scenario of the worst one. Its result does not depend on the number of
// workers. If the context ends the search early, Run returns the worst candidate so far and the context's error.
func (s Search) Run(ctx context.Context) (Candidate, error) {
	played, err := s.playCandidates(ctx)
	if err != nil {
		return Candidate{}, err
	}
	if len(played) == 0 {
		return Candidate{}, fmt.Errorf("search: no candidate was played: %w", ctx.Err())
	}
	worst := played[0]
	for _, candidate := range played[1:] {
		if candidate.worse(worst) {
			worst = candidate
		}
	}
	worst.Plays = len(played)
	return s.shrink(ctx, worst), ctx.Err()
}

// playCandidates plays the candidates until the context is done. It returns those that were played in the order of
// their numbers, so that the order in which workers finish has no effect on the result.
func (s Search) playCandidates(ctx context.Context) ([]Candidate, error) {
	candidates := make([]*Candidate, s.Candidates)
	worst := Candidate{Service: aboveAnyService}
	done := 0
	var firstErr error
	var mu sync.Mutex
	ForEach(ctx, s.Workers, s.Candidates, func(i int) {
		variant := drawVariant(s.Base, engine.NewRandom(s.Seed, "hunt", i))
		candidate, err := s.play(variant, s.Seed+uint64(i))
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil:
			candidates[i] = &candidate
			if candidate.worse(worst) {
				worst = candidate
			}
		case firstErr == nil:
			firstErr = fmt.Errorf("search: candidate %d: %w", i, err)
		}
		done++
		if s.Progress != nil {
			s.Progress(done, worst)
		}
	})
	var played []Candidate
	for _, candidate := range candidates {
		if candidate != nil {
			played = append(played, *candidate)
		}
	}
	return played, firstErr
}

// play plays a scenario and checks the rules.
func (s Search) play(file scenario.File, seed uint64) (Candidate, error) {
	candidate := Candidate{Scenario: file, Seed: seed}
	world, err := Simulate(file.Draw(seed), emulate.Options{Record: true, Mutant: s.Mutant})
	if err != nil {
		return candidate, err
	}
	checked := checker.Check(world.Result())
	for _, rule := range checked.Rules {
		if rule.State == checker.Violated {
			candidate.ViolatedRules = append(candidate.ViolatedRules, rule.Rule)
		}
	}
	candidate.Service = checked.Service.Overall
	return candidate, nil
}
