// Package experiment says what an experiment in virtual time is (a scenario, factors, seeds), has each of its runs
// played, and tells gain from spread: paired differences over the same seeds with intervals of confidence. It does no
// I/O but through the readers and writers that it is given.
package experiment

import (
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/stricttoml"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// runsMost bounds the runs of an experiment.
const runsMost = 100_000

// Plan is an experiment as it stands in its file.
type Plan struct {
	Name     string         `toml:"name"`
	About    string         `toml:"about"`
	Scenario string         `toml:"scenario"` // one that is shipped, or a file
	Seeds    int            `toml:"seeds"`    // 1 to so many; default 10
	First    uint64         `toml:"first_seed"`
	Judged   bool           `toml:"judged"` // the rules are judged, too; a run then takes room for its record
	Set      map[string]any `toml:"set"`    // what holds for all runs, by path
	Factors  []Factor       `toml:"factor"`

	text  string
	lines map[string]int // of its keys
	base  scenario.File
}

// Factor is what varies: each value of each factor with each of the others. Paths are those of a scenario's file, with
// entries of lists by their numbers, from 1, or * for all: relays, settings.slots, traffic.1.rate, destination.*.count;
// those of the emulator (emulator.latency, emulator.zone_latency, emulator.idle_resets, emulator.connections,
// emulator.beyond, emulator.mutant); and what modules are told beside the scenario (module.senders, module.cold_share,
// module.overload_factor, module.warm_within, module.order_pause, module.slots).
type Factor struct {
	Path   string `toml:"path"`
	Values []any  `toml:"values"`
}

// Value is one setting of a run.
type Value struct {
	Path string `json:"path"`
	Is   string `json:"is"`
}

// Run is one run of an experiment.
type Run struct {
	Cell []Value // in the order of the factors
	Seed uint64
	set  []assignment
}

type assignment struct {
	path  string
	value any
	line  int // of the file; 0: not known
}

// Key names a run within its experiment.
func (r Run) Key() string { return fmt.Sprint(cellText(r.Cell), " seed=", r.Seed) }

func cellText(cell []Value) string {
	var parts []string
	for _, v := range cell {
		parts = append(parts, v.Path+"="+v.Is)
	}
	return strings.Join(parts, " ")
}

// Parse reads an experiment's file. All that is wrong is told at once; load reads the scenario that it names.
func Parse(name string, data []byte, load func(string) (scenario.File, error)) (Plan, error) {
	var p Plan
	if err := stricttoml.Decode("experiment "+name, data, &p); err != nil {
		return Plan{}, err
	}
	p.text, p.lines = string(data), stricttoml.Lines(data)
	if p.Seeds == 0 {
		p.Seeds = 10
	}
	if p.First == 0 {
		p.First = 1
	}
	var errs []error
	wrong := func(key, format string, args ...any) {
		errs = append(errs, inLine(p.lines[key], fmt.Errorf(format, args...)))
	}
	if p.Name == "" {
		wrong("", "no name")
	}
	if p.Seeds < 0 {
		wrong("seeds", "seeds must be above 0, not %d", p.Seeds)
	}
	runs := max(1, p.Seeds)
	seen := map[string]bool{}
	for i, f := range p.Factors {
		at := fmt.Sprintf("factor[%d]", i+1)
		if len(f.Values) == 0 {
			wrong(at, "factor %d (%s) has no values", i+1, f.Path)
		}
		if seen[f.Path] {
			wrong(at+".path", "factor %d: %s is a factor already", i+1, f.Path)
		}
		seen[f.Path] = true
		for k, v := range f.Values {
			if slices.ContainsFunc(f.Values[:k], func(o any) bool { return text(o) == text(v) }) {
				wrong(at+".values", "factor %d (%s): the value %s is given twice", i+1, f.Path, text(v))
			}
		}
		if runs <= runsMost {
			runs *= max(1, len(f.Values))
		}
	}
	if runs > runsMost {
		wrong("seeds", "more than %d runs", runsMost)
	}
	if p.Scenario == "" {
		wrong("", "no scenario")
		return Plan{}, fmt.Errorf("experiment %s: %w", name, errors.Join(errs...))
	}
	base, err := load(p.Scenario)
	if err != nil {
		wrong("scenario", "%w", err)
		return Plan{}, fmt.Errorf("experiment %s: %w", name, errors.Join(errs...))
	}
	p.base = base
	if len(errs) == 0 {
		tried := map[string]bool{} // each value by itself: what is wrong with one is told once
		for _, r := range p.Runs() {
			if r.Seed != p.First {
				continue
			}
			if _, _, err := p.world(r); err != nil && !tried[err.Error()] {
				tried[err.Error()] = true
				errs = append(errs, err)
			}
		}
	}
	if len(errs) > 0 {
		return Plan{}, fmt.Errorf("experiment %s: %w", name, errors.Join(errs...))
	}
	return p, nil
}

// inLine says where in the file an error stands, if that is known.
func inLine(line int, err error) error {
	if line == 0 {
		return err
	}
	return fmt.Errorf("line %d: %w", line, err)
}

// Hash names the experiment: its file, and the scenario that it is about.
func (p Plan) Hash() string {
	h := sha256.New()
	base, err := p.base.Encode()
	if err != nil {
		base = []byte(err.Error()) // plain values: there is none
	}
	fmt.Fprintf(h, "%s\n%s", p.text, base)
	return hex.EncodeToString(h.Sum(nil)[:8])
}

func text(v any) string {
	if f, ok := v.(float64); ok {
		return strconv.FormatFloat(f, 'g', -1, 64)
	}
	return fmt.Sprint(v)
}

// Runs are all runs, those of one cell together.
func (p Plan) Runs() (all []Run) {
	cells := []Run{{}}
	for _, path := range sortedKeys(p.Set) {
		cells[0].set = append(cells[0].set, assignment{path, p.Set[path], p.lines["set."+path]})
	}
	for i, f := range p.Factors {
		var next []Run
		for _, c := range cells {
			for _, v := range f.Values {
				next = append(next, Run{
					Cell: append(
						slices.Clone(c.Cell),
						Value{f.Path, text(v)},
					), set: append(slices.Clone(c.set), assignment{f.Path, v, p.lines[fmt.Sprintf("factor[%d].values", i+1)]}),
				})
			}
		}
		cells = next
	}
	for _, c := range cells {
		for s := range p.Seeds {
			c.Seed = p.First + uint64(s)
			all = append(all, c)
		}
	}
	return all
}

func sortedKeys(m map[string]any) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// world is a run's scenario and options.
func (p Plan) world(r Run) (scenario.File, emulate.Options, error) {
	f := p.base.Clone()
	opts := emulate.Options{Record: p.Judged}
	var module []func(*policy.Settings)
	var errs []error
	for _, a := range r.set {
		head, rest, _ := strings.Cut(a.path, ".")
		var err error
		switch head {
		case "emulator":
			err = setOption(&opts, rest, a.value)
		case "module":
			var set func(*policy.Settings)
			if set, err = setModule(rest, a.value); err == nil {
				module = append(module, set)
			}
		default:
			err = assign(reflect.ValueOf(&f).Elem(), strings.Split(a.path, "."), a.value)
		}
		if err != nil {
			errs = append(errs, inLine(a.line, fmt.Errorf("%s = %s: %w", a.path, text(a.value), err)))
		}
	}
	if len(errs) > 0 {
		return f, opts, errors.Join(errs...)
	}
	if len(module) > 0 {
		opts.ChangeSettings = func(s *policy.Settings) {
			for _, set := range module {
				set(s)
			}
		}
	}
	if err := f.ValidateWithin(scenario.EmulatorBounds); err != nil {
		return f, opts, fmt.Errorf("with %s: %w", cmpOr(cellText(r.Cell), "what is set for all"), err)
	}
	return f, opts, nil
}

func cmpOr(a, b string) string {
	if a == "" {
		return b
	}
	return a
}

func number(v any) (float64, error) {
	switch x := v.(type) {
	case int64:
		return float64(x), nil
	case float64:
		return x, nil
	}
	return 0, fmt.Errorf("a number is wanted")
}

func duration(v any) (time.Duration, error) {
	s, ok := v.(string)
	if !ok {
		return 0, fmt.Errorf("a duration such as \"1.5s\" is wanted")
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 {
		return 0, fmt.Errorf("a duration such as \"1.5s\" is wanted")
	}
	return d, nil
}

func setOption(o *emulate.Options, key string, v any) (err error) {
	switch key {
	case "latency":
		o.Latency, err = duration(v)
	case "zone_latency":
		o.ZoneLatency, err = duration(v)
	case "idle_resets":
		if o.IdleResetRatio, err = number(v); err == nil && (o.IdleResetRatio < 0 || o.IdleResetRatio > 1) {
			err = fmt.Errorf("a share of 0 to 1 is wanted")
		}
	case "connections":
		x, err := number(v)
		if o.MaxConnections = int(x); err == nil && (x < 0 || x != math.Trunc(x)) {
			err = fmt.Errorf("a whole number, 0 or more, is wanted")
		}
		return err
	case "beyond":
		name, _ := v.(string)
		i := slices.Index(emulate.ExcessConnectionNames, name)
		if o.ExcessConnections = emulate.ExcessConnections(max(0, i)); i < 0 {
			err = fmt.Errorf("one of %q is wanted", emulate.ExcessConnectionNames)
		}
	case "mutant":
		name, _ := v.(string)
		if o.Mutant = emulate.FindMutant(name); o.Mutant == nil && name != "" {
			err = fmt.Errorf("no such mutant")
		}
	default:
		err = fmt.Errorf(
			"the emulator has no such setting: latency, zone_latency, idle_resets, connections, beyond or mutant",
		)
	}
	return err
}

func setModule(key string, v any) (func(*policy.Settings), error) {
	switch key {
	case "warm_within", "order_pause":
		d, err := duration(v)
		return func(s *policy.Settings) {
			if key == "warm_within" {
				s.WarmUpDuration = d
			} else {
				s.OrderingPause = d
			}
		}, err
	case "senders", "slots", "cold_share", "overload_factor":
		x, err := number(v)
		return func(s *policy.Settings) {
			switch key {
			case "senders":
				s.FleetSize = int(x)
			case "slots":
				s.MaxInFlightCalls = int(x)
			case "cold_share":
				s.WarmUpInitialCapacity = x
			default:
				s.OverloadFactor = x
			}
		}, err
	}
	return nil, fmt.Errorf("no such setting: senders, slots, cold_share, overload_factor, warm_within or order_pause")
}

// assign sets the field at a path of toml names.
func assign(v reflect.Value, path []string, value any) error {
	if len(path) == 0 {
		return put(v, value)
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		return assign(v.Elem(), path, value)
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Type().Field(i).Tag.Get("toml") == path[0] {
				return assign(v.Field(i), path[1:], value)
			}
		}
	case reflect.Slice:
		if path[0] == "*" {
			for i := range v.Len() {
				if err := assign(v.Index(i), path[1:], value); err != nil {
					return err
				}
			}
			return nil
		}
		n, err := strconv.Atoi(path[0])
		if err != nil || n < 1 || n > v.Len() {
			return fmt.Errorf("%q is none of 1 to %d, nor *", path[0], v.Len())
		}
		return assign(v.Index(n-1), path[1:], value)
	}
	return fmt.Errorf("a scenario has no %q there", path[0])
}

func put(v reflect.Value, value any) error {
	if v.Type() == reflect.TypeFor[scenario.Duration]() {
		d, err := duration(value)
		if err == nil {
			v.SetInt(int64(d))
		}
		return err
	}
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() {
			v.Set(reflect.New(v.Type().Elem()))
		}
		return put(v.Elem(), value)
	case reflect.Int, reflect.Uint64:
		n, ok := value.(int64)
		if !ok || n < 0 {
			return fmt.Errorf("a whole number is wanted")
		}
		if v.Kind() == reflect.Int {
			v.SetInt(n)
		} else {
			v.SetUint(uint64(n))
		}
		return nil
	case reflect.Float64:
		x, err := number(value)
		if err == nil {
			v.SetFloat(x)
		}
		return err
	case reflect.Bool:
		b, ok := value.(bool)
		if !ok {
			return fmt.Errorf("true or false is wanted")
		}
		v.SetBool(b)
		return nil
	case reflect.String:
		s, ok := value.(string)
		if !ok {
			return fmt.Errorf("text is wanted")
		}
		v.SetString(s)
		return nil
	}
	return fmt.Errorf("this cannot be set")
}
