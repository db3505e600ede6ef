package experiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// Search is a search for troubles that a base scenario's relays bear badly.
type Search struct {
	Base    scenario.File
	Candidates   int    // that are tried
	Seed    uint64 // of the search
	Workers int    // 0: one for each core
	Mutant   *emulate.Mutant
	// Progress is told after each plan; nil: nobody is.
	Progress func(done int, worst Candidate)
}

// Candidate is what a hunt found: a scenario, and how it went.
type Candidate struct {
	Scenario    scenario.File
	Seed    uint64         // it is played with
	BrokenRules   []checker.Rule // broken
	Service float64
	Plays   int // plans played, those of the shrinking too
}

// worse tells whether a is a better find than b: a rule broken goes before any loss.
func (a Candidate) worse(b Candidate) bool {
	if (len(a.BrokenRules) > 0) != (len(b.BrokenRules) > 0) {
		return len(a.BrokenRules) > 0
	}
	return a.Service < b.Service
}

// Run plays plans and shrinks the worst. The same hunt finds the same, on any number of workers.
func (h Search) Run(ctx context.Context) (Candidate, error) {
	workers := h.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	found := make([]*Candidate, h.Candidates)
	next := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first error
	done, worst := 0, Candidate{Service: 2}
	for range workers {
		wg.Go(func() {
			for i := range next {
				p, err := h.play(drawVariant(h.Base, engine.NewRandom(h.Seed, "hunt", i)), h.Seed+uint64(i))
				mu.Lock()
				if err != nil && first == nil {
					first = fmt.Errorf("hunt: plan %d: %w", i, err)
				}
				if err == nil {
					found[i] = &p
					if p.worse(worst) {
						worst = p
					}
				}
				if done++; h.Progress != nil {
					h.Progress(done, worst)
				}
				mu.Unlock()
			}
		})
	}
	for i := range h.Candidates {
		select {
		case next <- i:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(next)
	wg.Wait()
	if first != nil {
		return Candidate{}, first
	}
	best := Candidate{Service: 2}
	for _, p := range found { // by their numbers, not as they came
		if p != nil && p.worse(best) {
			best = *p
		}
	}
	if best.Scenario.Name == "" {
		return Candidate{}, fmt.Errorf("hunt: nothing was played: %w", ctx.Err())
	}
	best.Plays = done
	return h.shrink(ctx, best), ctx.Err()
}

func (h Search) play(f scenario.File, seed uint64) (Candidate, error) {
	p := Candidate{Scenario: f, Seed: seed}
	w, err := emulate.New(f.Draw(seed), emulate.Options{Record: true, Wrong: h.Mutant})
	if err == nil {
		err = w.Play()
	}
	if err != nil {
		return p, err
	}
	v := checker.Judge(w.Result())
	for _, x := range v.Findings {
		if x.State == checker.Broken {
			p.BrokenRules = append(p.BrokenRules, x.Rule)
		}
	}
	p.Service = v.Service.Whole
	return p, nil
}

// minLossKept is how much of a loss a smaller scenario must keep to take the place of the larger.
const minLossKept = 0.9

// shrink makes a find smaller while it stays what it is: it breaks the same rule, or loses nearly as much.
func (h Search) shrink(ctx context.Context, p Candidate) Candidate {
	loss := 1 - p.Service
	still := func(q Candidate) bool {
		if len(p.BrokenRules) > 0 {
			return slices.Contains(q.BrokenRules, p.BrokenRules[0])
		}
		return 1-q.Service >= minLossKept*loss
	}
	for again := true; again && ctx.Err() == nil; {
		again = false
		for _, f := range smallerScenarios(p.Scenario) {
			if ctx.Err() != nil || f.CheckFor(scenario.EmulatorBounds) != nil {
				continue
			}
			q, err := h.play(f, p.Seed)
			p.Plays++
			if err == nil && still(q) {
				q.Plays = p.Plays
				p, again = q, true
				break
			}
		}
	}
	return p
}

// smallerScenarios are the scenarios that are a step smallerScenarios, those that take most away first.
func smallerScenarios(f scenario.File) (all []scenario.File) {
	add := func(change func(*scenario.File)) {
		c := f.Clone()
		change(&c)
		all = append(all, c)
	}
	for i := range f.Troubles {
		add(func(c *scenario.File) { c.Troubles = slices.Delete(c.Troubles, i, i+1) })
	}
	if len(f.Traffic) > 1 {
		for i := range f.Traffic {
			add(func(c *scenario.File) { c.Traffic = slices.Delete(c.Traffic, i, i+1) })
		}
	}
	last := time.Second
	for _, t := range f.Troubles {
		last = max(last, (t.At+t.For+t.Drain).D()+10*time.Second)
	}
	if last = last.Truncate(time.Second) + time.Second; last < f.Length.D() {
		add(func(c *scenario.File) { shorten(c, last) })
	}
	if f.Relays > 1 {
		add(func(c *scenario.File) {
			c.Relays--
			for i := range c.Troubles {
				c.Troubles[i].Relays = slices.DeleteFunc(c.Troubles[i].Relays, func(r int) bool { return r > c.Relays })
			}
		})
	}
	for i := range f.Traffic {
		if f.Traffic[i].Rate > 10 {
			add(func(c *scenario.File) { c.Traffic[i].Rate = float64(int(c.Traffic[i].Rate / 2)) })
		}
	}
	for i, t := range f.Troubles {
		if t.For.D() > 2*time.Second {
			add(func(c *scenario.File) {
				c.Troubles[i].For = scenario.Duration((t.For.D() / 2).Round(100 * time.Millisecond))
			})
		}
		if len(t.Destinations) > 1 {
			for k := range t.Destinations {
				add(func(c *scenario.File) {
					c.Troubles[i].Destinations = slices.Delete(c.Troubles[i].Destinations, k, k+1)
				})
			}
		}
	}
	return all
}

// shorten has a scenario end earlier.
func shorten(f *scenario.File, length time.Duration) {
	f.Length = scenario.Duration(length)
	f.Traffic = slices.DeleteFunc(f.Traffic, func(t scenario.Traffic) bool { return t.From.D() >= length })
	for i := range f.Traffic {
		f.Traffic[i].To = min(f.Traffic[i].To, f.Length)
	}
}

// faultKinds are the troubles that a hunt draws from.
var faultKinds = []string{
	scenario.Draining, scenario.Gone, scenario.Fail, scenario.Shut, scenario.SlowDown, scenario.Silent, scenario.Death, scenario.Cut,
	scenario.DiscoveryDown, scenario.DiscoveryLate, scenario.Term, scenario.Kill,
}

const maxFaults = 5

// drawVariant is a base scenario with other troubles and another load.
func drawVariant(base scenario.File, rng *rand.Rand) scenario.File {
	f := base.Clone()
	f.Name = base.Name + "-hunted"
	f.About = "Found by a hunt."
	f.Troubles = nil
	places := 0
	for _, d := range f.Destinations {
		places += d.Count
	}
	ms := func(least, most time.Duration) scenario.Duration {
		return scenario.Duration((least + time.Duration(rng.Int64N(int64(most-least)))).Round(100 * time.Millisecond))
	}
	for range 1 + rng.IntN(maxFaults) {
		t := scenario.Trouble{
			Kind: faultKinds[rng.IntN(len(faultKinds))],
			At:   ms(time.Second, f.Length.D()*7/10),
			For:  ms(time.Second, 12*time.Second),
		}
		switch t.Kind {
		case scenario.Draining, scenario.Gone:
			t.Share, t.Replace, t.Batch = 0.1+0.6*rng.Float64(), rng.IntN(4) > 0, 1+rng.IntN(3)
		case scenario.DiscoveryDown:
		case scenario.DiscoveryLate:
			t.Delay = ms(500*time.Millisecond, 5*time.Second)
		case scenario.Term, scenario.Kill:
			t.For, t.Relays = 0, []int{1 + rng.IntN(f.Relays)}
		case scenario.Fail:
			t.Calls = 0.3 + 0.7*rng.Float64()
			t.Destinations = drawDestinations(rng, places)
		case scenario.SlowDown:
			t.Factor = 2 + 15*rng.Float64()
			t.Destinations = drawDestinations(rng, places)
		default:
			t.Destinations = drawDestinations(rng, places)
		}
		f.Troubles = append(f.Troubles, t)
	}
	factor := 0.5 + rng.Float64()
	for i := range f.Traffic {
		f.Traffic[i].Rate = max(1, float64(int(f.Traffic[i].Rate*factor)))
	}
	f.SetDefaults()
	return f
}

// drawDestinations draws one to three of n.
func drawDestinations(rng *rand.Rand, n int) (all []int) {
	for range 1 + rng.IntN(3) {
		if d := 1 + rng.IntN(n); !slices.Contains(all, d) {
			all = append(all, d)
		}
	}
	slices.Sort(all)
	return all
}
