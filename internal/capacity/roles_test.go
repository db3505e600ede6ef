package capacity

import (
	"math"
	"strings"
	"testing"
)

// Prefixes of the keys that figuresByName returns.
const (
	relayPrefix          = "A relay: deciding and sending: "
	controlPlanePrefix   = "A relay: its control: "
	controlMachinePrefix = "A control machine: "
	agentPrefix          = "Discovery's agent (the platform's; one beside each relay): "
	takeoverPrefix       = "Whoever takes over lost work: "
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
		"state: messages held":                      {10_000, WithinBudget, ""},
		"state: destinations that the module knows": {1000, WithinBudget, ""},
		"messages in":                               {100, WithinBudget, ""},
		"calls out":                                 {98, WithinBudget, ""},
		"processor, connections used again":         {0.24, WithinBudget, ""},
		"processor, a connection for each call":     {0.34, WithinBudget, ""},
		"processor, the module alone":               {0.002, WithinBudget, ""},
		"processor, the module beside the backlog":  {0.002, WithinBudget, ""},
		"memory with the backlog":                   {6e7, WithinBudget, ""},
		"disk with the backlog":                     {1.1e7, WithinBudget, ""},
		"ready after a restart with the backlog":    {10.1, BudgetExceeded, "1.01 times"},
		"a commit that outlasts the machine, if `journal.sync` asks for it": {
			1.1e-3, WithinBudget, "",
		},
	})
}

func TestControlPlaneRole(t *testing.T) {
	const listByteRate, snapshotByteRate = 15, 300_040 * 8.64 / 86_400
	checkFigures(t, controlPlanePrefix, map[string]wantFigure{
		"all: processor": {math.NaN(), NotMeasured, ""},
		"all: memory":    {4e6, BudgetExceeded, "2 times"},
		"all: bytes":     {14_000 + listByteRate + snapshotByteRate, BudgetExceeded, "14 times"},
		"list: destinations with which it becomes ready by discovery": {
			1000, BudgetExceeded, "10 times**: it never becomes ready",
		},
		"list: ready when handed over":                     {1.1, WithinBudget, ""},
		"list: memory":                                     {4e6, BudgetExceeded, "2 times"},
		"list: bytes in by changes":                        {listByteRate, WithinBudget, ""},
		"list: bytes in by whole lists after restarts":     {snapshotByteRate, WithinBudget, ""},
		"list: one whole list":                             {300.04, WithinBudget, ""},
		"list: a change in force at a relay":               {0.11, WithinBudget, ""},
		"list: processor with no change":                   {0.02, WithinBudget, ""},
		"list: processor for changes":                      {0.1 * 1.1e-3, WithinBudget, ""},
		"list: the same, all changes of a day in one hour": {2.4 * 1.1e-3, WithinBudget, ""},
		"settings: in force everywhere":                    {math.NaN(), NoMechanism, ""},
		"membership: relays that hear of each other": {
			100, BudgetExceeded, "2 times**: it does not start with the table",
		},
		"membership and what is shared: bytes out":     {14_000, BudgetExceeded, "14 times"},
		"membership and what is shared: processor":     {math.NaN(), NotMeasured, ""},
		"what is shared: destinations told of at once": {math.NaN(), NotMeasured, ""},
		"rights: limits lent": {
			1000, BudgetExceeded, "20 times**: the others go by their even parts",
		},
	})
}

func TestControlMachineRole(t *testing.T) {
	checkFigures(t, controlMachinePrefix, map[string]wantFigure{
		"state: the list":                       {300_040, NoMechanism, ""},
		"relays that it would serve":            {25, NoMechanism, ""},
		"messages out: changes":                 {2.5, NoMechanism, ""},
		"bytes out: changes":                    {375, NoMechanism, ""},
		"bytes out: whole lists after restarts": {300_040 * 216.0 / 86_400, NoMechanism, ""},
		"bytes out: all its relays ask at once": {7_501_000, NoMechanism, ""},
	})
}

func TestDiscoveryAgentRole(t *testing.T) {
	checkFigures(t, agentPrefix, map[string]wantFigure{
		"messages out":                                                 {0.6, WithinBudget, ""},
		"bytes for one change, to all relays":                          {15_000, WithinBudget, ""},
		"bytes for a day's changes, to all relays":                     {129_600_000, WithinBudget, ""},
		"bytes for a whole list, to all relays":                        {30_004_000, WithinBudget, ""},
		"calls for the list after restarts, where lists are asked for": {0.01, WithinBudget, ""},
	})
}

func TestTakeoverRole(t *testing.T) {
	checkFigures(t, takeoverPrefix, map[string]wantFigure{
		"state: the backlog of a machine that is gone": {10_000, NoMechanism, ""},
		"bytes of it": {1.1e7, NoMechanism, ""},
		"messages a second to keep a second copy, of each relay": {200, NoMechanism, ""},
		"bytes a second to keep a second copy, of each relay":    {110_000, NoMechanism, ""},
		"backlogs to take over":                                  {2, NoMechanism, ""},
	})
}

func TestTotalOfListAndFleet(t *testing.T) {
	target, run := roundExample()
	run.Series = append(run.Series, linearSeries(FleetCores, Cores, 0.001, 1e-4, 10, 30, 100))
	const list, fleet = 0.1*1.1e-3 + 0.02, 0.011
	if f := figuresByName(target, run)[controlPlanePrefix+"all: processor"]; !closeTo(f.Value, list+fleet) ||
		f.Verdict() != WithinBudget {
		t.Errorf("total cores: %g, %s; want %g, %v", f.Value, f.VerdictText(), list+fleet, WithinBudget)
	}
}

func TestEngineKnowsActiveDestinations(t *testing.T) {
	target, run := roundExample()
	run.ActiveOnly = true
	active := 1 - math.Exp(-30.0/(100/10.0)) // a relay has a message for a destination every ten seconds
	f := figuresByName(target, run)[relayPrefix+"state: destinations that the module knows"]
	if want := 1000 * (0.02 + 0.98*active); !closeTo(f.Value, want) {
		t.Errorf("%g active destinations, want %g", f.Value, want)
	}
}
