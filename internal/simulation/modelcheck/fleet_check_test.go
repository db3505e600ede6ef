package modelcheck

import (
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
)

func checkFleet(t *testing.T, model FleetModel, faults emulate.LinkFaults) FleetResult {
	t.Helper()
	result, err := CheckFleet(t.Context(), model, faults)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

// The fleet is searched over all orders of a few publishes with a loss, a duplicate, a restart with or without the
// stored generation, a pause and a time step. No member replaces a report by an earlier one or holds one with an age
// less than its true age, and all members agree in the end.
func TestFleetKeepsInvariants(t *testing.T) {
	model := SmallFleet
	model.MaxDepth = 4
	twoProcessesOfOneName := SmallFleet
	twoProcessesOfOneName.DuplicateName = true
	twoProcessesOfOneName.MaxDepth = 3
	for _, test := range []struct {
		name      string
		model     FleetModel
		minStates int
	}{
		{"three members", model, 1000},
		{"two processes under one name", twoProcessesOfOneName, 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := checkFleet(t, test.model, emulate.LinkFaults{})
			if result.Violation != "" || result.States < test.minStates {
				t.Errorf(
					"%d states, want at least %d; violation %q by %v",
					result.States,
					test.minStates,
					result.Violation,
					result.Trace,
				)
			}
			t.Logf("%d states, %d moves", result.States, result.Transitions)
		})
	}
}

// Each link fault violates an invariant within a few moves.
func TestFaultyFleetViolatesInvariants(t *testing.T) {
	model := SmallFleet
	model.MaxDepth = 5
	model.Budget = FleetBudget{Forwards: SmallFleet.Budget.Forwards, TimeSteps: SmallFleet.Budget.TimeSteps}
	for _, test := range []struct {
		name   string
		faults emulate.LinkFaults
	}{
		{"the last received report replaces a newer one", emulate.LinkFaults{LastReceivedWins: true}},
		{"ages do not grow", emulate.LinkFaults{FrozenAges: true}},
		{"transit time not added to ages", emulate.LinkFaults{NoTransitTime: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := checkFleet(t, model, test.faults)
			if result.Violation == "" {
				t.Errorf("no violation in %d moves", result.Transitions)
			}
			t.Logf("%d moves played, %v: %s", result.Transitions, result.Trace, result.Violation)
		})
	}
}
