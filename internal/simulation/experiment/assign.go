package experiment

import (
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The errors for a value that has the wrong type or is out of its bounds.
var (
	errNotNumber     = errors.New("must be a number")
	errNotInteger    = errors.New("must be an integer of at least 0")
	errNotDuration   = errors.New(`must be a duration of at least 0, such as "1.5s"`)
	errNotBool       = errors.New("must be true or false")
	errNotString     = errors.New("must be a string")
	errNotFraction   = errors.New("must be a fraction from 0 to 1")
	errNotCount      = errors.New("must be a whole number of at least 0")
	errUnknownMutant = errors.New("no such mutant")
	errNotSettable   = errors.New("a field of this type cannot be set")
)

// The errors for an unknown key after the prefix "emulator." or "module." of a path. Each lists the known keys.
var (
	errUnknownOption = errors.New(
		"unknown emulator setting; must be latency, zone_latency, idle_resets, connections, beyond or mutant",
	)
	errUnknownEngineSetting = errors.New(
		"unknown engine setting; must be senders, slots, cold_share, overload_factor, warm_within or order_pause",
	)
)

// assignment gives a value to the setting at a path. Factor describes the paths.
type assignment struct {
	path  string
	value any
	line  int // in the plan's file; 0: unknown
}

// engineSetting changes one of the settings that the decision engines of a simulation get.
type engineSetting func(*policy.Settings)

// apply performs the assignment. A path that begins with "emulator." sets a field of options, and one that begins with
// "module." appends to engine. Any other path sets a field of the scenario file.
func (a assignment) apply(file *scenario.File, options *emulate.Options, engine *[]engineSetting) error {
	prefix, key, _ := strings.Cut(a.path, ".")
	switch prefix {
	case "emulator":
		return setOption(options, key, a.value)
	case "module":
		set, err := newEngineSetting(key, a.value)
		if err == nil {
			*engine = append(*engine, set)
		}
		return err
	}
	return setPath(reflect.ValueOf(file).Elem(), strings.Split(a.path, "."), a.value)
}

func setOption(options *emulate.Options, key string, value any) (err error) {
	switch key {
	case "latency":
		options.Latency, err = toDuration(value)
	case "zone_latency":
		options.ZoneLatency, err = toDuration(value)
	case "idle_resets":
		options.IdleResetRatio, err = toFraction(value)
	case "connections":
		options.MaxConnections, err = toCount(value)
	case "beyond":
		options.ExcessConnections, err = toExcessConnections(value)
	case "mutant":
		options.Mutant, err = toMutant(value)
	default:
		err = errUnknownOption
	}
	return err
}

func newEngineSetting(key string, value any) (engineSetting, error) {
	switch key {
	case "warm_within":
		d, err := toDuration(value)
		return func(s *policy.Settings) { s.WarmUpDuration = d }, err
	case "order_pause":
		d, err := toDuration(value)
		return func(s *policy.Settings) { s.OrderingPause = d }, err
	case "senders":
		n, err := toNumber(value)
		return func(s *policy.Settings) { s.FleetSize = int(n) }, err
	case "slots":
		n, err := toNumber(value)
		return func(s *policy.Settings) { s.MaxInFlightCalls = int(n) }, err
	case "cold_share":
		n, err := toNumber(value)
		return func(s *policy.Settings) { s.WarmUpInitialCapacity = n }, err
	case "overload_factor":
		n, err := toNumber(value)
		return func(s *policy.Settings) { s.OverloadFactor = n }, err
	}
	return nil, errUnknownEngineSetting
}

// setPath sets the field that a path of TOML keys leads to, starting at field.
func setPath(field reflect.Value, path []string, value any) error {
	if len(path) == 0 {
		return setValue(field, value)
	}
	switch field.Kind() {
	case reflect.Pointer:
		return setPath(allocate(field), path, value)
	case reflect.Struct:
		for i := range field.NumField() {
			if field.Type().Field(i).Tag.Get("toml") == path[0] {
				return setPath(field.Field(i), path[1:], value)
			}
		}
	case reflect.Slice:
		return setEntries(field, path, value)
	}
	return fmt.Errorf("a scenario file has no key %q at this point of the path", path[0])
}

// setEntries sets a field in a list entry. The path begins with the entry's number from 1, or with * for all entries.
func setEntries(list reflect.Value, path []string, value any) error {
	if path[0] == "*" {
		for i := range list.Len() {
			if err := setPath(list.Index(i), path[1:], value); err != nil {
				return err
			}
		}
		return nil
	}
	number, err := strconv.Atoi(path[0])
	if err != nil || number < 1 || number > list.Len() {
		return fmt.Errorf("list entry %q must be a number from 1 to %d, or *", path[0], list.Len())
	}
	return setPath(list.Index(number-1), path[1:], value)
}

// allocate returns the variable that a pointer points to. If the pointer is nil, allocate creates the variable first.
func allocate(pointer reflect.Value) reflect.Value {
	if pointer.IsNil() {
		pointer.Set(reflect.New(pointer.Type().Elem()))
	}
	return pointer.Elem()
}

// setValue sets a field to a value, which must fit the field's type.
func setValue(field reflect.Value, value any) error {
	if field.Type() == reflect.TypeFor[scenario.Duration]() {
		d, err := toDuration(value)
		if err == nil {
			field.SetInt(int64(d))
		}
		return err
	}
	switch field.Kind() {
	case reflect.Pointer:
		return setValue(allocate(field), value)
	case reflect.Int, reflect.Uint64:
		return setInteger(field, value)
	case reflect.Float64:
		x, err := toNumber(value)
		if err == nil {
			field.SetFloat(x)
		}
		return err
	case reflect.Bool:
		b, ok := value.(bool)
		if !ok {
			return errNotBool
		}
		field.SetBool(b)
		return nil
	case reflect.String:
		s, ok := value.(string)
		if !ok {
			return errNotString
		}
		field.SetString(s)
		return nil
	}
	return errNotSettable
}

func setInteger(field reflect.Value, value any) error {
	n, ok := value.(int64)
	if !ok || n < 0 {
		return errNotInteger
	}
	if field.Kind() == reflect.Int {
		field.SetInt(n)
	} else {
		field.SetUint(uint64(n))
	}
	return nil
}

func toNumber(value any) (float64, error) {
	switch x := value.(type) {
	case int64:
		return float64(x), nil
	case float64:
		return x, nil
	}
	return 0, errNotNumber
}

func toFraction(value any) (float64, error) {
	x, err := toNumber(value)
	if err == nil && (x < 0 || x > 1) {
		err = errNotFraction
	}
	return x, err
}

func toCount(value any) (int, error) {
	x, err := toNumber(value)
	if err == nil && (x < 0 || x != math.Trunc(x)) {
		err = errNotCount
	}
	return int(x), err
}

func toDuration(value any) (time.Duration, error) {
	text, ok := value.(string)
	if !ok {
		return 0, errNotDuration
	}
	d, err := time.ParseDuration(text)
	if err != nil || d < 0 {
		return 0, errNotDuration
	}
	return d, nil
}

func toExcessConnections(value any) (emulate.ExcessConnections, error) {
	name, _ := value.(string) // a value that is not a string gives "", which is not a known name
	i := slices.Index(emulate.ExcessConnectionNames, name)
	if i < 0 {
		return 0, fmt.Errorf("must be one of %q", emulate.ExcessConnectionNames)
	}
	return emulate.ExcessConnections(i), nil
}

// toMutant returns the mutant with a name. It returns nil, which is the unmodified relay, for the empty name and for a
// value that is not a string, so that a plan can vary the mutant and include the unmodified relay.
func toMutant(value any) (*emulate.Mutant, error) {
	name, _ := value.(string)
	mutant := emulate.FindMutant(name)
	if mutant == nil && name != "" {
		return nil, errUnknownMutant
	}
	return mutant, nil
}

// formatValue formats a value of a plan's file. Floating-point numbers get as few digits as identify them.
func formatValue(value any) string {
	if x, ok := value.(float64); ok {
		return strconv.FormatFloat(x, 'g', -1, 64)
	}
	return fmt.Sprint(value)
}
