package capacity

import (
	"math"
	"strings"
	"testing"
)

// Prefixes of the keys that figuresByName returns.
const (
	relayPrefix          = "Relay message processing: "
	controlPlanePrefix   = "Relay control plane: "
	controlMachinePrefix = "Control plane machine: "
	agentPrefix          = "Discovery agent (run by the platform beside each relay): "
	takeoverPrefix       = "Takeover service for the backlogs of lost machines: "
)

// figuresByName returns the figures of all roles. A key is "role: figure", without what follows a comma in the name of
// the role.
func figuresByName(target Target, run Run) map[string]Figure {
	all := map[string]Figure{}
	for _, role := range Roles(target, run) {
		roleName, _, _ := strings.Cut(role.Name, ",")
		for _, f := range role.Figures {
			all[roleName+": "+f.Name] = f
		}
	}
	return all
}

// wantFigure is the expected state of a figure. Its VerdictText must contain the text.
type wantFigure struct {
	value   float64
	verdict Verdict
	text    string
}

func checkFigures(t *testing.T, prefix string, wants map[string]wantFigure) {
	t.Helper()
	all := figuresByName(roundExample())
	for name, want := range wants {
		f, ok := all[prefix+name]
		if !ok {
			t.Errorf("figure %q is missing", prefix+name)
			continue
		}
		if !closeTo(f.Value, want.value) || f.Verdict() != want.verdict ||
			!strings.Contains(f.VerdictText(), want.text) {
			t.Errorf("%s: %g, %s; want %g, %v, %q",
				name, f.Value, f.VerdictText(), want.value, want.verdict, want.text)
		}
	}
}

func TestRelayRole(t *testing.T) {
	checkFigures(t, relayPrefix, map[string]wantFigure{
		"state: queued messages":                         {10_000, WithinBudget, ""},
		"state: destinations known to the engine":        {1000, WithinBudget, ""},
		"messages received":                              {100, WithinBudget, ""},
		"calls to endpoints":                             {98, WithinBudget, ""},
		"CPU, connections reused":                        {0.24, WithinBudget, ""},
		"CPU, a new connection for each call":            {0.34, WithinBudget, ""},
		"CPU, the engine alone":                          {0.002, WithinBudget, ""},
		"CPU, the engine alone with the backlog":         {0.002, WithinBudget, ""},
		"memory with the backlog":                        {6e7, WithinBudget, ""},
		"disk with the backlog":                          {1.1e7, WithinBudget, ""},
		"time to ready after a restart with the backlog": {10.1, BudgetExceeded, "by a factor of 1.01**"},
		"time of a commit that survives a machine crash, if `journal.sync` requires it": {
			1.1e-3, WithinBudget, "",
		},
	})
}

func TestControlPlaneRole(t *testing.T) {
	const listByteRate, snapshotByteRate = 15, 300_040 * 8.64 / 86_400
	checkFigures(t, controlPlanePrefix, map[string]wantFigure{
		"total CPU":    {math.NaN(), NotMeasured, ""},
		"total memory": {4e6, BudgetExceeded, "by a factor of 2**"},
		"total bytes":  {14_000 + listByteRate + snapshotByteRate, BudgetExceeded, "by a factor of 14**"},
		"list: destinations with which a relay becomes ready through discovery": {
			1000, BudgetExceeded, "by a factor of 10**: the relay never becomes ready",
		},
		"list: time to ready with a configured list": {1.1, WithinBudget, ""},
		"list: memory":                                        {4e6, BudgetExceeded, "by a factor of 2**"},
		"list: bytes received for changes":                    {listByteRate, WithinBudget, ""},
		"list: bytes received for snapshots after restarts":   {snapshotByteRate, WithinBudget, ""},
		"list: transfer time of one snapshot":                 {300.04, WithinBudget, ""},
		"list: time until a change takes effect at one relay": {0.11, WithinBudget, ""},
		"list: CPU without changes":                           {0.02, WithinBudget, ""},
		"list: CPU for changes":                               {0.1 * 1.1e-3, WithinBudget, ""},
		"list: CPU for changes, a day's changes in one hour":  {2.4 * 1.1e-3, WithinBudget, ""},
		"settings: time until a change reaches all relays":    {math.NaN(), NoMechanism, ""},
		"membership: relays in the member table": {
			100, BudgetExceeded, "by a factor of 2**: a relay with a larger member table does not start",
		},
		"membership and load reports: bytes sent":               {14_000, BudgetExceeded, "by a factor of 14**"},
		"membership and load reports: CPU":                      {math.NaN(), NotMeasured, ""},
		"load reports: destinations published at the same time": {math.NaN(), NotMeasured, ""},
		"quotas: limits shared by leases": {
			1000, BudgetExceeded, "by a factor of 20**: each relay keeps to its even share of further limits",
		},
	})
}

func TestControlMachineRole(t *testing.T) {
	checkFigures(t, controlMachinePrefix, map[string]wantFigure{
		"state: endpoint list":                                  {300_040, NoMechanism, ""},
		"relays that this machine would serve":                  {25, NoMechanism, ""},
		"messages sent: changes":                                {2.5, NoMechanism, ""},
		"bytes sent: changes":                                   {375, NoMechanism, ""},
		"bytes sent: snapshots after restarts":                  {300_040 * 216.0 / 86_400, NoMechanism, ""},
		"bytes sent: all its relays request a snapshot at once": {7_501_000, NoMechanism, ""},
	})
}

func TestDiscoveryAgentRole(t *testing.T) {
	checkFigures(t, agentPrefix, map[string]wantFigure{
		"messages sent": {0.6, WithinBudget, ""},
		"bytes sent for one change, to all relays":                 {15_000, WithinBudget, ""},
		"bytes sent for the changes of a day, to all relays":       {129_600_000, WithinBudget, ""},
		"bytes sent for one snapshot, to all relays":               {30_004_000, WithinBudget, ""},
		"list requests after restarts, where relays request lists": {0.01, WithinBudget, ""},
	})
}

func TestTakeoverRole(t *testing.T) {
	checkFigures(t, takeoverPrefix, map[string]wantFigure{
		"state: backlog of a lost machine":                          {10_000, NoMechanism, ""},
		"bytes of this backlog":                                     {1.1e7, NoMechanism, ""},
		"messages per second to replicate the journal of one relay": {200, NoMechanism, ""},
		"bytes per second to replicate the journal of one relay":    {110_000, NoMechanism, ""},
		"backlogs to take over":                                     {2, NoMechanism, ""},
	})
}

func TestTotalOfListAndFleet(t *testing.T) {
	target, run := roundExample()
	run.Series = append(run.Series, linearSeries(FleetCores, Cores, 0.001, 1e-4, 10, 30, 100))
	const list, fleet = 0.1*1.1e-3 + 0.02, 0.011
	if f := figuresByName(target, run)[controlPlanePrefix+"total CPU"]; !closeTo(f.Value, list+fleet) ||
		f.Verdict() != WithinBudget {
		t.Errorf("total cores: %g, %s; want %g, %v", f.Value, f.VerdictText(), list+fleet, WithinBudget)
	}
}

func TestEngineKnowsActiveDestinations(t *testing.T) {
	target, run := roundExample()
	run.ActiveOnly = true
	active := 1 - math.Exp(-30.0/(100/10.0)) // a relay has a message for a destination every ten seconds
	f := figuresByName(target, run)[relayPrefix+"state: destinations known to the engine"]
	if want := 1000 * (0.02 + 0.98*active); !closeTo(f.Value, want) {
		t.Errorf("%g active destinations, want %g", f.Value, want)
	}
}
