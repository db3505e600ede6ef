// Package experiment plays experiments in virtual time: a scenario, the factors that vary, and seeds. It tells an
// effect from noise by paired differences over equal seeds with confidence intervals, and searches for faults that a
// scenario's relays handle badly. It does no I/O but through the readers and writers that it is given.
package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/config/stricttoml"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	// maxRuns bounds the runs of an experiment.
	maxRuns = 100_000
	// defaultSeeds is the number of seeds of a plan that gives none.
	defaultSeeds = 10
	// defaultFirstSeed is the first seed of a plan that gives none.
	defaultFirstSeed = 1
)

// Plan is an experiment as its file describes it.
type Plan struct {
	Name  string `toml:"name"`
	About string `toml:"about"`
	// Scenario is the name of a shipped scenario, or a file.
	Scenario string `toml:"scenario"`
	// Seeds is how many seeds each cell is played with, by default defaultSeeds.
	Seeds     int    `toml:"seeds"`
	FirstSeed uint64 `toml:"first_seed"`
	// Checked has the checker verify the rules of each run. Such a run keeps a record in memory.
	Checked bool `toml:"judged"`
	// Overrides are the settings of all runs, by path.
	Overrides map[string]any `toml:"set"`
	Factors   []Factor       `toml:"factor"`

	text  string
	lines map[string]int // of the file's keys
	base  scenario.File
}

// Factor is a setting that varies: the plan combines each of its values with those of the other factors.
//
// Its path is one of a scenario's file, with entries of lists by their numbers from 1, or * for all (relays,
// settings.slots, traffic.1.rate, destination.*.count), one of the emulator (emulator.latency, emulator.zone_latency,
// emulator.idle_resets, emulator.connections, emulator.beyond, emulator.mutant), or a setting of the decision engine
// that no scenario has (module.senders, module.cold_share, module.overload_factor, module.warm_within,
// module.order_pause, module.slots).
type Factor struct {
	Path   string `toml:"path"`
	Values []any  `toml:"values"`
}

// Parse reads an experiment's file and reports all that is wrong with it at once. load reads the scenario that the file
// names.
func Parse(name string, data []byte, load func(string) (scenario.File, error)) (Plan, error) {
	var p Plan
	if err := stricttoml.Decode("experiment "+name, data, &p); err != nil {
		return Plan{}, err
	}
	p.text, p.lines = string(data), stricttoml.Lines(data)
	if p.Seeds == 0 {
		p.Seeds = defaultSeeds
	}
	if p.FirstSeed == 0 {
		p.FirstSeed = defaultFirstSeed
	}
	errs := p.check()
	if p.Scenario == "" {
		errs = append(errs, p.errorAt("", "no scenario"))
	} else if base, err := load(p.Scenario); err != nil {
		errs = append(errs, p.errorAt("scenario", "%w", err))
	} else {
		p.base = base
	}
	if len(errs) == 0 {
		errs = p.checkCells()
	}
	if len(errs) > 0 {
		return Plan{}, fmt.Errorf("experiment %s: %w", name, errors.Join(errs...))
	}
	return p, nil
}

// check returns what is wrong with the file itself.
func (p *Plan) check() (errs []error) {
	if p.Name == "" {
		errs = append(errs, p.errorAt("", "no name"))
	}
	if p.Seeds < 0 {
		errs = append(errs, p.errorAt("seeds", "seeds must be above 0, not %d", p.Seeds))
	}
	runs := max(1, p.Seeds)
	paths := map[string]bool{}
	for i, factor := range p.Factors {
		errs = append(errs, p.checkFactor(i, paths[factor.Path])...)
		paths[factor.Path] = true
		if runs <= maxRuns {
			runs *= max(1, len(factor.Values))
		}
	}
	if runs > maxRuns {
		errs = append(errs, p.errorAt("seeds", "more than %d runs", maxRuns))
	}
	return errs
}

// checkFactor returns what is wrong with a factor. duplicate tells that an earlier factor has its path.
func (p *Plan) checkFactor(index int, duplicate bool) (errs []error) {
	factor, number, key := p.Factors[index], index+1, factorKey(index)
	if len(factor.Values) == 0 {
		errs = append(errs, p.errorAt(key, "factor %d (%s) has no values", number, factor.Path))
	}
	if duplicate {
		errs = append(errs, p.errorAt(key+".path", "factor %d: %s is a factor already", number, factor.Path))
	}
	for i, value := range factor.Values {
		text := formatValue(value)
		isEqual := func(other any) bool { return formatValue(other) == text }
		if slices.ContainsFunc(factor.Values[:i], isEqual) {
			errs = append(errs, p.errorAt(
				key+".values", "factor %d (%s): the value %s is given twice", number, factor.Path, text,
			))
		}
	}
	return errs
}

// checkCells returns what is wrong with the scenarios of the cells, each error once.
func (p *Plan) checkCells() (errs []error) {
	reported := map[string]bool{}
	for _, run := range p.Runs() {
		if run.Seed != p.FirstSeed {
			continue
		}
		if _, _, err := p.scenarioFor(run); err != nil && !reported[err.Error()] {
			reported[err.Error()] = true
			errs = append(errs, err)
		}
	}
	return errs
}

// factorKey is the key of a factor in the file.
func factorKey(index int) string { return fmt.Sprintf("factor[%d]", index+1) }

// errorAt returns an error with the line of a key of the file, if the file has that key.
func (p *Plan) errorAt(key, format string, args ...any) error {
	return atLine(p.lines[key], fmt.Errorf(format, args...))
}

// atLine adds a line of the file to an error. 0 means that the line is unknown.
func atLine(line int, err error) error {
	if line == 0 {
		return err
	}
	return fmt.Errorf("line %d: %w", line, err)
}

// Hash identifies the experiment by its file and its scenario.
func (p Plan) Hash() string {
	base, err := p.base.Encode()
	if err != nil {
		base = []byte(err.Error()) // cannot happen: a scenario has plain values only
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\n%s", p.text, base))
	return hex.EncodeToString(sum[:8])
}

// Runs returns all runs, those of one cell together.
func (p Plan) Runs() (runs []Run) {
	for _, cell := range p.cells() {
		for i := range p.Seeds {
			cell.Seed = p.FirstSeed + uint64(i)
			runs = append(runs, cell)
		}
	}
	return runs
}

// cells returns a run without a seed for each combination of the factors' values.
func (p Plan) cells() []Run {
	var overrides []assignment
	for _, path := range slices.Sorted(maps.Keys(p.Overrides)) {
		overrides = append(overrides, assignment{path: path, value: p.Overrides[path], line: p.lines["set."+path]})
	}
	cells := []Run{{assignments: overrides}}
	for i, factor := range p.Factors {
		line := p.lines[factorKey(i)+".values"]
		var combined []Run
		for _, cell := range cells {
			for _, value := range factor.Values {
				combined = append(combined, cell.with(factor.Path, value, line))
			}
		}
		cells = combined
	}
	return cells
}
