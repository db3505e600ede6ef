package reload

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cherrytrestle.example/cherrytrestle/policy"
)

func testConfig() Config {
	return Config{
		ClassNames: []string{"order", "payment"},
		Settings: policy.Settings{MaxAttempts: 8, Classes: []policy.Class{
			{
				Effect:           policy.IdempotentByKey,
				DedupAllZones:    true,
				DedupWindow:      10 * time.Second,
				Deadline:         16 * time.Second,
				LatencyObjective: time.Second,
				Weight:           1,
			},
			{Effect: policy.Idempotent, Deadline: 5 * time.Second, LatencyObjective: time.Second, Weight: 1},
		}},
		Shape: ShapeOf(map[string]string{
			"discovery": "x", "settings.bounds.send_cap": "8", "settings.services.count": "2", "settings.services.0.name": "order",
			"settings.services.1.name": "payment", "settings.services.0.give_up_ms": "16000", "settings.services.1.give_up_ms": "5000",
			"settings.services.0.group": "all",
		}),
	}
}

func TestValidate(t *testing.T) {
	for name, x := range map[string]struct {
		change func(*Config)
		want   string // "": taken
	}{
		"the same":              {func(*Config) {}, ""},
		"a class more":          {func(f *Config) { f.Shape["settings.services.count"] = 1; f.Shape["settings.services.*.name"] = 1 }, ""},
		"a key that only some":  {func(f *Config) { delete(f.Shape, "settings.services.*.group") }, ""},
		"a key more":            {func(f *Config) { f.Shape["novel"] = 1 }, ""},
		"no discovery":          {func(f *Config) { delete(f.Shape, "discovery") }, "missing: discovery"},
		"a class without a key": {func(f *Config) { f.Shape["settings.services.*.give_up_ms"] = 1 }, "missing: settings.services.*.give_up_ms"},
		"no deadline":           {func(f *Config) { f.Settings.Classes[1].Deadline = 0 }, `"payment": its deadline is not over 0`},
		"a deadline below 0":    {func(f *Config) { f.Settings.Classes[0].Deadline = -5 }, `"order": its deadline is not over 0`},
		"no attempts":           {func(f *Config) { f.Settings.MaxAttempts = 0 }, "attempts is not over 0"},
		"attempts below 0":      {func(f *Config) { f.Settings.MaxAttempts = -1 }, "attempts is not over 0"},
		"no class":              {func(f *Config) { f.Settings.Classes, f.ClassNames = nil, nil }, "no class"},
		"a name twice":          {func(f *Config) { f.ClassNames[1] = "order" }, "class 1 has no name of its own"},
		"a negative aim":        {func(f *Config) { f.Settings.Classes[0].LatencyObjective = -1 }, "negative time"},
	} {
		fresh := testConfig()
		x.change(&fresh)
		err := Validate(testConfig(), fresh)
		if x.want == "" && err != nil || x.want != "" && (err == nil || !strings.Contains(err.Error(), x.want)) {
			t.Errorf("%s: %v, not %q", name, err, x.want)
		}
	}
}

func drawConfig(t *rapid.T, label string) Config {
	tt := Config{Settings: policy.Settings{MaxAttempts: rapid.IntRange(1, 9).Draw(t, label+" attempts")}}
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d"}), 1, 4, rapid.ID).Draw(t, label) {
		tt.ClassNames = append(tt.ClassNames, name)
		tt.Settings.Classes = append(tt.Settings.Classes, policy.Class{
			Effect: rapid.SampledFrom([]policy.Effect{policy.Idempotent, policy.IdempotentByKey, policy.NonIdempotent}).
				Draw(t, "effect"),
			DedupAllZones: rapid.Bool().Draw(t, "all"), Ordered: rapid.Bool().Draw(t, "ordered"),
			DedupWindow: time.Duration(
				rapid.IntRange(0, 9).Draw(t, "window"),
			), Deadline: time.Duration(rapid.IntRange(1, 9).Draw(t, "give up")),
		})
	}
	return tt
}

// repeats tells whether a class lets a message that may have run go again, to its zone or to any, so long after.
func repeats(c policy.Class, all bool, after time.Duration) bool {
	switch c.Effect {
	case policy.Idempotent:
		return true
	case policy.NonIdempotent:
		return false
	}
	return (c.DedupAllZones || !all) && after < c.DedupWindow
}

// While both terms may bind, nothing is done that one of them forbids, and all that either names is taken.
func TestTransitionalKeepsBothConfigurations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, fresh := drawConfig(t, "old"), drawConfig(t, "fresh")
		both := Transitional(old, fresh)
		for _, x := range []Config{old, fresh} {
			if both.Settings.MaxAttempts > x.Settings.MaxAttempts {
				t.Fatal("more attempts than one allows")
			}
			for i, name := range x.ClassNames {
				c, found := x.Settings.Classes[i], false
				for j, other := range both.ClassNames {
					if other != name {
						continue
					}
					b := both.Settings.Classes[j]
					found = true
					if c.Ordered && !b.Ordered || b.Deadline < c.Deadline {
						t.Fatalf("%s: %+v of %+v", name, b, c)
					}
					for after := range time.Duration(10) {
						for _, all := range []bool{false, true} {
							if repeats(b, all, after) && !repeats(c, all, after) {
								t.Fatalf("%s: %+v repeats where %+v does not", name, b, c)
							}
						}
					}
				}
				if !found {
					t.Fatalf("%s is not taken", name)
				}
			}
		}
		if len(both.Settings.Classes) != len(both.ClassNames) {
			t.Fatal("classes without names")
		}
	})
}
