package experiment

import (
	"errors"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// assignTo applies one assignment to a scenario that has one traffic entry and one destination kind.
func assignTo(path string, value any) (scenario.File, error) {
	file := scenario.File{Traffic: []scenario.Traffic{{}}, DestinationKinds: []scenario.DestinationKind{{}}}
	var engine []engineSetting
	err := assignment{path: path, value: value}.apply(&file, &emulate.Options{}, &engine)
	return file, err
}

// TestAssignValues assigns a value of each type of field.
func TestAssignValues(t *testing.T) {
	for _, c := range []struct {
		path  string
		value any
		field func(scenario.File) any
		want  any
	}{
		{"seed", int64(7), func(f scenario.File) any { return f.Seed }, uint64(7)},
		{"relays", int64(3), func(f scenario.File) any { return f.Relays }, 3},
		{"traffic.1.rate", 2.5, func(f scenario.File) any { return f.Traffic[0].Rate }, 2.5},
		{"traffic.*.rate", int64(4), func(f scenario.File) any { return f.Traffic[0].Rate }, 4.0},
		{"traffic.1.class", "order", func(f scenario.File) any { return f.Traffic[0].Class }, "order"},
		{"fleet.enabled", true, func(f scenario.File) any { return f.Fleet.Enabled }, true},
		{"settings.may_duplicate", false, func(f scenario.File) any { return *f.Settings.DuplicatesAllowed }, false},
	} {
		t.Run(c.path, func(t *testing.T) {
			file, err := assignTo(c.path, c.value)
			if err != nil {
				t.Fatal(err)
			}
			if got := c.field(file); got != c.want {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}

// TestAssignErrors assigns values of the wrong type, values out of their bounds, and values to unknown keys.
func TestAssignErrors(t *testing.T) {
	for _, c := range []struct {
		path  string
		value any
		want  error
	}{
		{"relays", int64(-1), errNotInteger},
		{"relays", 1.5, errNotInteger},
		{"traffic.1.rate", "fast", errNotNumber},
		{"length", "-1s", errNotDuration},
		{"length", "long", errNotDuration},
		{"fleet.enabled", int64(1), errNotBool},
		{"traffic.1.class", int64(1), errNotString},
		{"zones", "a", errNotSettable},
		{"emulator.idle_resets", 1.1, errNotFraction},
		{"emulator.idle_resets", true, errNotNumber},
		{"emulator.connections", -1.0, errNotCount},
		{"emulator.connections", 1.5, errNotCount},
		{"emulator.latency", int64(1), errNotDuration},
		{"emulator.mutant", "none-such", errUnknownMutant},
		{"emulator.colour", int64(1), errUnknownOption},
		{"module.slots", "many", errNotNumber},
		{"module.colour", int64(1), errUnknownEngineSetting},
	} {
		t.Run(c.path, func(t *testing.T) {
			if _, err := assignTo(c.path, c.value); !errors.Is(err, c.want) {
				t.Errorf("%v: %v, want %v", c.value, err, c.want)
			}
		})
	}
}
