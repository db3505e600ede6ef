package relayprocess

import (
	"encoding/json"
	"fmt"
	"os"
)

// Keys of BaseSettings for callers that change settings.
const (
	BoundsSetting   = "bounds"
	RulesSetting    = "rules"
	ServicesSetting = "services"
)

// BaseSettings returns the platform's settings for a fleet of one relay, with one class of messages and one tenant.
// Callers may change the result.
func BaseSettings() map[string]any {
	return map[string]any{
		BoundsSetting: map[string]any{
			"cancel":             true,
			"connect_timeout_ms": 1000,
			"keepalive_ms":       15000,
			"max_retry_after_ms": 3000,
			"may_duplicate":      true,
			"open_cap":           50,
			"retry_after":        true,
			"send_cap":           8,
		},
		"extra": map[string]any{
			"call_slots":      0,
			"per_call":        []int{1},
			"separate_routes": []bool{false},
		},
		"fleet_size": 1,
		"kinds":      []string{"platform"},
		"tick_ms":    5,
		"zones":      []string{"a", "b"},
		RulesSetting: map[string]any{
			"cold_from":       0.2,
			"fall_ms":         3000,
			"overload_factor": 2,
			"warm_within_ms":  14000,
		},
		ServicesSetting: []map[string]any{{
			"name":             "order",
			"semantics":        "idempotency_key",
			"group":            "zone",
			"goal_time_ms":     3000,
			"give_up_ms":       16000,
			"repeat_window_ms": 10000,
			"value":            1,
		}},
		"realms": []map[string]any{{"name": "acme", "share": 1}},
		"stats":  map[string]any{"how": "none"},
	}
}

// WriteConfig writes the configuration file of a relay's folder.
func WriteConfig(folder string, config map[string]any) error {
	data, err := json.Marshal(config)
	if err != nil {
		return fmt.Errorf("relay configuration in %s: %w", folder, err)
	}
	return os.WriteFile(ConfigFile(folder), data, 0o600)
}
