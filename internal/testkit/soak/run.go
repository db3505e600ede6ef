package soak

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/rehearsal"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// ScenarioName is the name of the file, in the folder of a seed, with the scenario that was played.
const ScenarioName = "scenario.toml"

// Options are the options of a soak.
type Options struct {
	Seeds      Seeds
	Binary     string // path of the relay's program
	Dir        string // each seed has a folder in it
	Parallel   int    // number of scenarios that are played at the same time
	ShrinkRuns int    // the most scenarios played to make one that violates a rule smaller
	// Finished is called after each seed, one call at a time.
	Finished func(SeedResult)
}

// Seeds is a range of seeds, both included.
type Seeds struct{ First, Last uint64 }

// SeedResult is the result of a seed.
type SeedResult struct {
	Seed    uint64
	File    scenario.File // what was played; if a rule was violated, the smallest scenario that violated one
	Dir     string        // the folder with the record of that scenario
	Verdict checker.Result
	History []string // of the message of the first violation, a line an event
	Err     error    // the rehearsal itself failed, for example because a relay ended
}

// State returns the state of the run; Violated if the rehearsal failed.
func (r SeedResult) State() checker.State {
	if r.Err != nil {
		return checker.Violated
	}
	return r.Verdict.State()
}

// Run plays the scenarios of all seeds, and returns their results in the order in which they finished. If ctx ends, it
// returns the results until then.
func Run(ctx context.Context, options Options) []SeedResult {
	var results []SeedResult
	var mu sync.Mutex
	var workers sync.WaitGroup
	seeds := make(chan uint64)
	for range max(1, options.Parallel) {
		workers.Go(func() {
			for seed := range seeds {
				result := options.play(ctx, seed)
				if ctx.Err() != nil {
					return
				}
				mu.Lock()
				results = append(results, result)
				options.Finished(result)
				mu.Unlock()
			}
		})
	}
	options.feed(ctx, seeds)
	workers.Wait()
	return results
}

// feed sends the seeds until ctx ends, and closes the channel.
func (o Options) feed(ctx context.Context, seeds chan<- uint64) {
	defer close(seeds)
	for seed := o.Seeds.First; seed <= o.Seeds.Last; seed++ {
		select {
		case seeds <- seed:
		case <-ctx.Done():
			return
		}
	}
}

// play plays the scenario of a seed. If it violates a rule, play makes it smaller.
func (o Options) play(ctx context.Context, seed uint64) SeedResult {
	file, err := Draw(seed)
	if err != nil {
		return SeedResult{Seed: seed, File: file, Err: err}
	}
	result := o.rehearse(ctx, file, file.Name)
	if result.State() == checker.Violated {
		result = o.shrink(ctx, result)
	}
	return result
}

// rehearse plays a scenario in the folder with the given name.
func (o Options) rehearse(ctx context.Context, file scenario.File, folder string) SeedResult {
	result := SeedResult{Seed: file.Seed, File: file, Dir: filepath.Join(o.Dir, folder)}
	played, err := rehearsal.Run(ctx, file, rehearsal.Options{Dir: result.Dir, Binary: o.Binary, Seed: file.Seed})
	result.Verdict = played.Verdict
	result.History = history(played)
	result.Err = errors.Join(err, saveScenario(file, filepath.Join(result.Dir, ScenarioName)))
	return result
}

func saveScenario(file scenario.File, path string) error {
	data, err := file.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return fmt.Errorf("soak: %w", err)
	}
	return nil
}

// shrink removes faults from a scenario that violates a rule, one after another, as long as the rest still violates
// one. Processes do not behave the same in each run, so a scenario that holds once may still be able to fail.
func (o Options) shrink(ctx context.Context, violated SeedResult) SeedResult {
	smallest := violated
	removable := 0
	for run := 1; run <= o.ShrinkRuns && removable < len(smallest.File.Faults); run++ {
		smaller := smallest.File.Clone()
		smaller.Faults = append(smaller.Faults[:removable:removable], smaller.Faults[removable+1:]...)
		result := o.rehearse(ctx, smaller, fmt.Sprintf("%s-smaller-%d", smaller.Name, run))
		if ctx.Err() != nil {
			break
		}
		if result.State() == checker.Violated {
			smallest = result
		} else {
			removable++ // the fault before it is needed
		}
	}
	return smallest
}
