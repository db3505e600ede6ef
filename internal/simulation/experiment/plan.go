// Package experiment plays experiments in virtual time. An experiment plays a scenario with each combination of the
// values of its factors, and each combination with several seeds. To separate effects from noise, the package
// compares results by paired differences over equal seeds, with confidence intervals. It also searches for faults
// that the relays of a scenario handle badly. All I/O goes through the readers, writers and functions that callers
// pass.
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
	// maxRuns is the largest number of runs of an experiment.
	maxRuns = 100_000
	// defaultSeeds is the number of seeds of a plan that does not set Plan.Seeds.
	defaultSeeds = 10
	// defaultFirstSeed is the first seed of a plan that does not set Plan.FirstSeed.
	defaultFirstSeed = 1
)

// Plan describes an experiment. It is read from a file.
type Plan struct {
	Name  string `toml:"name"`
	About string `toml:"about"`
	// Scenario is the name of a shipped scenario, or the path of a scenario file.
	Scenario string `toml:"scenario"`
	// Seeds is the number of seeds with which each cell is played. 0 means defaultSeeds.
	Seeds     int    `toml:"seeds"`
	FirstSeed uint64 `toml:"first_seed"`
	// Checked has the checker verify the rules of each run. A checked run keeps its events in memory.
	Checked bool `toml:"judged"`
	// Overrides are values that all runs set, by path. Factor describes the paths.
	Overrides map[string]any `toml:"set"`
	Factors   []Factor       `toml:"factor"`

	text  string         // content of the file
	lines map[string]int // line numbers of the file's keys
	base  scenario.File  // the scenario that Scenario names
}

// Factor is a setting that varies: the plan combines each of its values with those of the other factors.
//
// Its path is one of the following:
//   - keys of the scenario file, where a list entry is its number from 1, or * for all entries: relays, settings.slots,
//     traffic.1.rate, destination.*.count
//   - a setting of the emulator: emulator.latency, emulator.zone_latency, emulator.idle_resets, emulator.connections,
//     emulator.beyond, emulator.mutant
//   - a setting of the decision engines, which applies to them in place of the scenario's: module.senders,
//     module.cold_share, module.overload_factor, module.warm_within, module.order_pause, module.slots
type Factor struct {
	Path   string `toml:"path"`
	Values []any  `toml:"values"`
}

// Parse parses an experiment's file. load reads the scenario that the file names. Parse reports as many errors together
// as it can: first those of the TOML text, then those of the plan's fields, then those of the cells' scenarios.
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
		errs = append(errs, p.errorAt("", "scenario is not set"))
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

// check returns the errors of the plan's own fields.
func (p *Plan) check() (errs []error) {
	if p.Name == "" {
		errs = append(errs, p.errorAt("", "name is not set"))
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
		errs = append(errs, p.errorAt("seeds", "seeds and factors give more than %d runs", maxRuns))
	}
	return errs
}

// checkFactor returns the errors of a factor. duplicate is whether an earlier factor has the same path.
func (p *Plan) checkFactor(index int, duplicate bool) (errs []error) {
	factor, number, key := p.Factors[index], index+1, factorKey(index)
	if len(factor.Values) == 0 {
		errs = append(errs, p.errorAt(key, "factor %d (%s) has no values", number, factor.Path))
	}
	if duplicate {
		errs = append(errs, p.errorAt(
			key+".path", "factor %d: an earlier factor has the path %s, too", number, factor.Path,
		))
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

// checkCells returns the errors of the cells' scenarios, without duplicates.
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

// factorKey returns the key of a factor in Plan.lines.
func factorKey(index int) string { return fmt.Sprintf("factor[%d]", index+1) }

// errorAt returns an error that begins with the line of a key, if the file has that key.
func (p *Plan) errorAt(key, format string, args ...any) error {
	return atLine(p.lines[key], fmt.Errorf(format, args...))
}

// atLine adds a line number of the file to an error. It returns the error unchanged for line 0, which means unknown.
func atLine(line int, err error) error {
	if line == 0 {
		return err
	}
	return fmt.Errorf("line %d: %w", line, err)
}

// Hash returns a hash of the plan's file and of its scenario. Results carry it to identify their experiment.
func (p Plan) Hash() string {
	base, err := p.base.Encode()
	if err != nil {
		base = []byte(err.Error()) // cannot happen: TOML can encode all values of a scenario
	}
	sum := sha256.Sum256(fmt.Appendf(nil, "%s\n%s", p.text, base))
	return hex.EncodeToString(sum[:8])
}

// Runs returns all runs, grouped by cell.
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
