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

// Hunt is a search for troubles that a base scenario's relays bear badly.
type Hunt struct {
	Base    scenario.File
	Plans   int    // that are tried
	Seed    uint64 // of the search
	Workers int    // 0: one for each core
	Wrong   *emulate.Mutant
	// Progress is told after each plan; nil: nobody is.
	Progress func(done int, worst Prey)
}

// Prey is what a hunt found: a scenario, and how it went.
type Prey struct {
	File    scenario.File
	Seed    uint64         // it is played with
	Rules   []checker.Rule // broken
	Service float64
	Tried   int // plans played, those of the shrinking too
}

// worse tells whether a is a better find than b: a rule broken goes before any loss.
func (a Prey) worse(b Prey) bool {
	if (len(a.Rules) > 0) != (len(b.Rules) > 0) {
		return len(a.Rules) > 0
	}
	return a.Service < b.Service
}

// Run plays plans and shrinks the worst. The same hunt finds the same, on any number of workers.
func (h Hunt) Run(ctx context.Context) (Prey, error) {
	workers := h.Workers
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	found := make([]*Prey, h.Plans)
	next := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var first error
	done, worst := 0, Prey{Service: 2}
	for range workers {
		wg.Go(func() {
			for i := range next {
				p, err := h.play(vary(h.Base, engine.NewRandom(h.Seed, "hunt", i)), h.Seed+uint64(i))
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
	for i := range h.Plans {
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
		return Prey{}, first
	}
	best := Prey{Service: 2}
	for _, p := range found { // by their numbers, not as they came
		if p != nil && p.worse(best) {
			best = *p
		}
	}
	if best.File.Name == "" {
		return Prey{}, fmt.Errorf("hunt: nothing was played: %w", ctx.Err())
	}
	best.Tried = done
	return h.shrink(ctx, best), ctx.Err()
}

func (h Hunt) play(f scenario.File, seed uint64) (Prey, error) {
	p := Prey{File: f, Seed: seed}
	w, err := emulate.New(f.Draw(seed), emulate.Options{Record: true, Mutant: h.Wrong})
	if err == nil {
		err = w.Play()
	}
	if err != nil {
		return p, err
	}
	v := checker.Check(w.Result())
	for _, x := range v.Rules {
		if x.State == checker.Violated {
			p.Rules = append(p.Rules, x.Rule)
		}
	}
	p.Service = v.Service.Overall
	return p, nil
}

// kept is how much of a loss a smaller scenario must keep to take the place of the larger.
const kept = 0.9

// shrink makes a find smaller while it stays what it is: it breaks the same rule, or loses nearly as much.
func (h Hunt) shrink(ctx context.Context, p Prey) Prey {
	loss := 1 - p.Service
	still := func(q Prey) bool {
		if len(p.Rules) > 0 {
			return slices.Contains(q.Rules, p.Rules[0])
		}
		return 1-q.Service >= kept*loss
	}
	for again := true; again && ctx.Err() == nil; {
		again = false
		for _, f := range smaller(p.File) {
			if ctx.Err() != nil || f.ValidateWithin(scenario.EmulatorBounds) != nil {
				continue
			}
			q, err := h.play(f, p.Seed)
			p.Tried++
			if err == nil && still(q) {
				q.Tried = p.Tried
				p, again = q, true
				break
			}
		}
	}
	return p
}

// smaller are the scenarios that are a step smaller, those that take most away first.
func smaller(f scenario.File) (all []scenario.File) {
	add := func(change func(*scenario.File)) {
		c := f.Clone()
		change(&c)
		all = append(all, c)
	}
	for i := range f.Faults {
		add(func(c *scenario.File) { c.Faults = slices.Delete(c.Faults, i, i+1) })
	}
	if len(f.Traffic) > 1 {
		for i := range f.Traffic {
			add(func(c *scenario.File) { c.Traffic = slices.Delete(c.Traffic, i, i+1) })
		}
	}
	last := time.Second
	for _, t := range f.Faults {
		last = max(last, (t.Start+t.Duration+t.DrainTime).AsDuration()+10*time.Second)
	}
	if last = last.Truncate(time.Second) + time.Second; last < f.Length.AsDuration() {
		add(func(c *scenario.File) { cut(c, last) })
	}
	if f.Relays > 1 {
		add(func(c *scenario.File) {
			c.Relays--
			for i := range c.Faults {
				c.Faults[i].Relays = slices.DeleteFunc(c.Faults[i].Relays, func(r int) bool { return r > c.Relays })
			}
		})
	}
	for i := range f.Traffic {
		if f.Traffic[i].Rate > 10 {
			add(func(c *scenario.File) { c.Traffic[i].Rate = float64(int(c.Traffic[i].Rate / 2)) })
		}
	}
	for i, t := range f.Faults {
		if t.Duration.AsDuration() > 2*time.Second {
			add(func(c *scenario.File) {
				c.Faults[i].Duration = scenario.Duration((t.Duration.AsDuration() / 2).Round(100 * time.Millisecond))
			})
		}
		if len(t.Destinations) > 1 {
			for k := range t.Destinations {
				add(func(c *scenario.File) {
					c.Faults[i].Destinations = slices.Delete(c.Faults[i].Destinations, k, k+1)
				})
			}
		}
	}
	return all
}

// cut has a scenario end earlier.
func cut(f *scenario.File, length time.Duration) {
	f.Length = scenario.Duration(length)
	f.Traffic = slices.DeleteFunc(f.Traffic, func(t scenario.Traffic) bool { return t.From.AsDuration() >= length })
	for i := range f.Traffic {
		f.Traffic[i].To = min(f.Traffic[i].To, f.Length)
	}
}

// struck are the troubles that a hunt draws from.
var struck = []scenario.FaultKind{
	scenario.FaultDrain, scenario.FaultRemove, scenario.FaultFailCalls, scenario.FaultSuspend, scenario.FaultSlow, scenario.FaultSilence, scenario.FaultCrash, scenario.FaultCutOff,
	scenario.FaultDiscoveryDown, scenario.FaultDiscoveryDelay, scenario.FaultTerminate, scenario.FaultKill,
}

const troublesMost = 5

// vary is a base scenario with other troubles and another load.
func vary(base scenario.File, rng *rand.Rand) scenario.File {
	f := base.Clone()
	f.Name = base.Name + "-hunted"
	f.Description = "Found by a hunt."
	f.Faults = nil
	places := 0
	for _, d := range f.Destinations {
		places += d.Count
	}
	ms := func(least, most time.Duration) scenario.Duration {
		return scenario.Duration((least + time.Duration(rng.Int64N(int64(most-least)))).Round(100 * time.Millisecond))
	}
	for range 1 + rng.IntN(troublesMost) {
		t := scenario.Fault{
			Kind:     struck[rng.IntN(len(struck))],
			Start:    ms(time.Second, f.Length.AsDuration()*7/10),
			Duration: ms(time.Second, 12*time.Second),
		}
		switch t.Kind {
		case scenario.FaultDrain, scenario.FaultRemove:
			t.Share, t.ReplaceEndpoints, t.BatchSize = 0.1+0.6*rng.Float64(), rng.IntN(4) > 0, 1+rng.IntN(3)
		case scenario.FaultDiscoveryDown:
		case scenario.FaultDiscoveryDelay:
			t.Delay = ms(500*time.Millisecond, 5*time.Second)
		case scenario.FaultTerminate, scenario.FaultKill:
			t.Duration, t.Relays = 0, []int{1 + rng.IntN(f.Relays)}
		case scenario.FaultFailCalls:
			t.CallRatio = 0.3 + 0.7*rng.Float64()
			t.Destinations = some(rng, places)
		case scenario.FaultSlow:
			t.Factor = 2 + 15*rng.Float64()
			t.Destinations = some(rng, places)
		default:
			t.Destinations = some(rng, places)
		}
		f.Faults = append(f.Faults, t)
	}
	factor := 0.5 + rng.Float64()
	for i := range f.Traffic {
		f.Traffic[i].Rate = max(1, float64(int(f.Traffic[i].Rate*factor)))
	}
	f.SetDefaults()
	return f
}

// some draws one to three of n.
func some(rng *rand.Rand, n int) (all []int) {
	for range 1 + rng.IntN(3) {
		if d := 1 + rng.IntN(n); !slices.Contains(all, d) {
			all = append(all, d)
		}
	}
	slices.Sort(all)
	return all
}
