package experiment

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// loadPlan reads a plan and its scenario: a file in the plan's directory if the name ends in .toml, or else a shipped
// scenario.
func loadPlan(t *testing.T, path string) Plan {
	t.Helper()
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	p, err := Parse(filepath.Base(path), data, func(name string) (scenario.File, error) {
		if strings.HasSuffix(name, ".toml") {
			name = filepath.Join(filepath.Dir(path), name)
		}
		return scenario.LoadWithin(name, scenario.EmulatorBounds)
	})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// describe returns a plan as TOML, with its hash and the keys of its runs.
func describe(t *testing.T, p Plan) string {
	t.Helper()
	data, err := toml.Marshal(p)
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	fmt.Fprintf(&b, "%s# hash %s\n", data, p.Hash())
	for _, r := range p.Runs() {
		fmt.Fprintf(&b, "# run %s\n", r.Key())
	}
	return b.String()
}

// TestGoldenEveryKey parses a plan that sets every key and every kind of path, and compares the values that the plan
// sets with golden files.
func TestGoldenEveryKey(t *testing.T) {
	p := loadPlan(t, filepath.Join("testdata", "golden", "every-key.toml"))
	golden.Compare(t, *update, "every-key.out.toml", describe(t, p))

	f, o, err := p.scenarioFor(p.Runs()[0])
	if err != nil {
		t.Fatal(err)
	}
	var m policy.Settings
	o.ChangeSettings(&m)
	var b strings.Builder
	for _, c := range []struct {
		key   string
		value any
	}{
		{"judged", o.Record},
		{"emulator.latency", o.Latency},
		{"emulator.zone_latency", o.ZoneLatency},
		{"emulator.idle_resets", o.IdleResetRatio},
		{"emulator.connections", o.MaxConnections},
		{"emulator.beyond", emulate.ExcessConnectionNames[o.ExcessConnections]},
		{"emulator.mutant", o.Mutant.Name},
		{"module.senders", m.FleetSize},
		{"module.slots", m.MaxInFlightCalls},
		{"module.cold_share", m.WarmUpInitialCapacity},
		{"module.overload_factor", m.OverloadFactor},
		{"module.warm_within", m.WarmUpDuration},
		{"module.order_pause", m.OrderingPause},
		{"settings.slots", f.Settings.MaxConcurrentCalls},
		{"traffic.1.rate", f.Traffic[0].Rate},
		{"destination.1.weight", f.Destinations[0].TrafficWeight},
		{"destination.2.weight", f.Destinations[1].TrafficWeight},
	} {
		fmt.Fprintf(&b, "%s = %v\n", c.key, c.value)
	}
	golden.Compare(t, *update, "every-key.settings.txt", b.String())
}

// TestGoldenDocuments compares the names, scenarios, hashes and runs of the plans in docs/experiments with a golden
// file.
func TestGoldenDocuments(t *testing.T) {
	paths, err := filepath.Glob("../../../docs/experiments/*.toml")
	if err != nil {
		t.Fatal(err)
	}
	var b strings.Builder
	for _, path := range paths {
		if strings.HasPrefix(filepath.Base(path), "fleet-") {
			continue // a scenario that plans refer to, not a plan
		}
		p := loadPlan(t, path)
		runs := p.Runs()
		last := runs[len(runs)-1]
		fmt.Fprintf(&b, "%s: %s, scenario %s, hash %s, %d runs, the last %s\n",
			filepath.Base(path), p.Name, p.Scenario, p.Hash(), len(runs), last.Key())
	}
	golden.Compare(t, *update, "documents.txt", b.String())
}

// TestGoldenResult compares a line of a results file with a golden file: its keys, the names of the measures and their
// values.
func TestGoldenResult(t *testing.T) {
	p := loadPlan(t, filepath.Join("testdata", "golden", "every-key.toml"))
	r := p.Play(p.Runs()[0])
	if r.LatencyHistogram == "" {
		t.Error("the result has no latency histogram")
	}
	r.LatencyHistogram = "compressed: its bytes are those of a version of Go"
	data, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "result.json", string(data)+"\n")
}
