package relay

import (
	"flag"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// setting is a value read from a configuration, and its key in the file.
type setting struct {
	key   string
	value any
}

// TestGoldenConfig reads a configuration that sets every key, and compares the resulting values with a golden file.
func TestGoldenConfig(t *testing.T) {
	path := filepath.Join("testdata", "golden", "every-key.json")
	c, err := LoadConfig(func(name string) string {
		return map[string]string{"ROUTER_CONFIG": path, "ROUTER_STATE": "/var/lib/state"}[name]
	})
	if err != nil || c.KnownErr != nil {
		t.Fatal(err, c.KnownErr)
	}
	var text strings.Builder
	for _, s := range slices.Concat(relaySettingsOf(&c), policySettingsOf(&c), knownEndpointsOf(&c)) {
		fmt.Fprintf(&text, "%s = %v\n", s.key, s.value)
	}
	golden.Compare(t, *update, "every-key.out.txt", text.String())
}

// relaySettingsOf lists the settings that the relay itself uses.
func relaySettingsOf(c *Config) []setting {
	return []setting{
		{"name", c.Name},
		{"listen", c.Listen},
		{"discovery", c.DiscoveryAddr},
		{"management", c.AdminListen},
		{"seed", fmt.Sprintf("%016x", c.Seed)},
		{"ROUTER_STATE", c.StateDir},
		{"ROUTER_INHERITED_FD", c.InheritedFD},
		{"limits.cores", c.Limits.Cores},
		{"limits.memory_mb", c.Limits.MemoryMB},
		{"limits.sockets", c.Limits.Sockets},
		{"limits.disk_mb", c.Limits.DiskMB},
		{"services.*.name", c.ClassNames},
		{"realms.*.name", c.TenantNames},
		{"zones", c.Zones},
		{"kinds", c.Kinds},
		{"tick_ms", c.Tick},
		{"stats", c.LoadReportFields},
		{"bounds.connect_timeout_ms", c.ConnectTimeout},
		{"bounds.keepalive_ms", c.KeepAlive},
		{"bounds.may_duplicate", c.AllowHedging},
		{"rules.stop_sending_within_ms", c.DrainGrace},
	}
}

// policySettingsOf lists the policy's settings.
func policySettingsOf(c *Config) []setting {
	s := &c.Settings
	all := []setting{
		{"fleet_size", s.FleetSize},
		{"extra.call_slots", s.MaxInFlightCalls},
		{"bounds.open_cap", s.MaxPendingMessages},
		{"bounds.send_cap", s.MaxAttempts},
		{"bounds.max_retry_after_ms", s.MaxRetryAfter},
		{"weight_kind rough", s.ApproximateWeights},
		{"weight_kind none", s.IgnoreWeights},
		{"membership_mode ask", s.WatchRequired},
		{"extra.carriage", s.ZoneCosts},
		{"rules.cold_from", s.WarmUpInitialCapacity},
		{"rules.warm_within_ms", s.WarmUpDuration},
		{"rules.overload_factor", s.OverloadFactor},
		{"rules.fall_ms", s.OverloadWindow},
		{"rules.order_pause_ms", s.OrderingPause},
	}
	for i, class := range s.Classes {
		at := fmt.Sprintf("services.%d.", i)
		all = append(all,
			setting{at + "semantics", int(class.Effect)},
			setting{at + "group all", class.DedupAllZones},
			setting{at + "repeat_window_ms", class.DedupWindow},
			setting{at + "by_arrival", class.Ordered},
			setting{at + "goal_time_ms", class.LatencyObjective},
			setting{at + "give_up_ms", class.Deadline},
			setting{at + "value", class.Weight},
		)
	}
	for i, tenant := range s.Tenants {
		all = append(all, setting{fmt.Sprintf("realms.%d.quota_per_s", i), tenant.Quota})
	}
	for i, kind := range s.DestinationKinds {
		all = append(all,
			setting{fmt.Sprintf("extra.per_call.%d", i), kind.MaxBatch},
			setting{fmt.Sprintf("extra.separate_routes.%d", i), kind.LimitPerEndpoint},
		)
	}
	return all
}

// knownEndpointsOf lists the fields of the known endpoint list.
func knownEndpointsOf(c *Config) []setting {
	all := []setting{{"known.version", c.Known.Version}, {"known.full", c.Known.Full}}
	for i, e := range c.Known.Entries {
		at := fmt.Sprintf("known.servers.%d.", i)
		all = append(all,
			setting{at + "id", e.ID},
			setting{at + "addr", e.Addr},
			setting{at + "zone", e.Zone},
			setting{at + "kind", e.Kind},
			setting{at + "cell", e.Destination},
			setting{at + "state ready", e.InService},
			setting{at + "state gone", e.Removed},
			setting{at + "weight", e.Weight},
			setting{at + "error", e.Err},
		)
	}
	return all
}

// TestGoldenEnvironment checks the names of the environment variables that override the file.
func TestGoldenEnvironment(t *testing.T) {
	env := map[string]string{
		"ROUTER_CONFIG":       filepath.Join("testdata", "golden", "every-key.json"),
		"ROUTER_NAME":         "of the environment",
		"ROUTER_LISTEN":       "127.0.0.1:1",
		"ROUTER_DISCOVERY":    "127.0.0.1:2",
		"ROUTER_STATE":        "/state",
		"ROUTER_MANAGEMENT":   "127.0.0.1:3",
		"ROUTER_INHERITED_FD": "4",
	}
	c, err := LoadConfig(func(name string) string { return env[name] })
	if err != nil {
		t.Fatal(err)
	}
	for name, got := range map[string]string{
		"ROUTER_NAME":         c.Name,
		"ROUTER_LISTEN":       c.Listen,
		"ROUTER_DISCOVERY":    c.DiscoveryAddr,
		"ROUTER_STATE":        c.StateDir,
		"ROUTER_MANAGEMENT":   c.AdminListen,
		"ROUTER_INHERITED_FD": c.InheritedFD,
	} {
		if got != env[name] {
			t.Errorf("%s is read as %q, want %q", name, got, env[name])
		}
	}
}
