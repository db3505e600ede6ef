package reload

import (
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

func testConfig() Config {
	order := policy.Class{
		Effect:           policy.IdempotentByKey,
		DedupAllZones:    true,
		DedupWindow:      10 * time.Second,
		Deadline:         16 * time.Second,
		LatencyObjective: time.Second,
		Weight:           1,
	}
	payment := policy.Class{
		Effect:           policy.Idempotent,
		Deadline:         5 * time.Second,
		LatencyObjective: time.Second,
		Weight:           1,
	}
	return Config{
		ClassNames: []string{"order", "payment"},
		Settings:   policy.Settings{MaxAttempts: 8, Classes: []policy.Class{order, payment}},
		Shape: ShapeOf(map[string]string{
			"discovery":                      "x",
			"settings.bounds.send_cap":       "8",
			"settings.services.count":        "2",
			"settings.services.0.name":       "order",
			"settings.services.1.name":       "payment",
			"settings.services.0.give_up_ms": "16000",
			"settings.services.1.give_up_ms": "5000",
			"settings.services.0.group":      "all",
		}),
	}
}

// validateCase holds a change to a valid configuration, and whether Validate accepts the result.
type validateCase struct {
	change func(*Config)
	want   string // in the error; "" if the configuration is accepted
}

var validateCases = map[string]validateCase{
	"unchanged": {
		change: func(*Config) {},
	},
	"fewer classes": {
		change: func(c *Config) {
			c.Shape["settings.services.count"] = 1
			c.Shape["settings.services.*.name"] = 1
		},
	},
	"a key that only some classes had": {
		change: func(c *Config) { delete(c.Shape, "settings.services.*.group") },
	},
	"a new key": {
		change: func(c *Config) { c.Shape["novel"] = 1 },
	},
	"no discovery": {
		change: func(c *Config) { delete(c.Shape, "discovery") },
		want:   "missing: discovery",
	},
	"a class without a key": {
		change: func(c *Config) { c.Shape["settings.services.*.give_up_ms"] = 1 },
		want:   "missing: settings.services.*.give_up_ms",
	},
	"no deadline": {
		change: func(c *Config) { c.Settings.Classes[1].Deadline = 0 },
		want:   `"payment": its deadline is 0s, must be greater than 0`,
	},
	"negative deadline": {
		change: func(c *Config) { c.Settings.Classes[0].Deadline = -5 },
		want:   `"order": its deadline is -5ns, must be greater than 0`,
	},
	"no attempts": {
		change: func(c *Config) { c.Settings.MaxAttempts = 0 },
		want:   "attempts is 0, must be greater than 0",
	},
	"negative attempts": {
		change: func(c *Config) { c.Settings.MaxAttempts = -1 },
		want:   "attempts is -1, must be greater than 0",
	},
	"no class": {
		change: func(c *Config) {
			c.Settings.Classes = nil
			c.ClassNames = nil
		},
		want: "0 classes and 0 class names",
	},
	"a name twice": {
		change: func(c *Config) { c.ClassNames[1] = "order" },
		want:   `class 1: its name "order" is empty or already in use`,
	},
	"negative latency objective": {
		change: func(c *Config) { c.Settings.Classes[0].LatencyObjective = -1 },
		want:   "negative time",
	},
}

func TestValidate(t *testing.T) {
	for name, c := range validateCases {
		t.Run(name, func(t *testing.T) {
			fresh := testConfig()
			c.change(&fresh)
			err := Validate(testConfig(), fresh)
			if c.want == "" && err != nil {
				t.Errorf("rejected: %v", err)
			}
			if c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
				t.Errorf("error %v, want %q in it", err, c.want)
			}
		})
	}
}
