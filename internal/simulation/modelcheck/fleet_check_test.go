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

// In all orders of a few publishes, a loss, a duplicate, a restart with and without the generation, a pause and a time
// step no member goes back to an earlier report or holds one to be younger than it is, and all agree in the end.
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
		{"two processes of one name", twoProcessesOfOneName, 300},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := checkFleet(t, test.model, emulate.LinkFaults{})
			if result.Violation != "" || result.States < test.minStates {
				t.Errorf("%d states: %s, by %v", result.States, result.Violation, result.Trace)
			}
			t.Logf("%d states, %d moves", result.States, result.Transitions)
		})
	}
}

// Faulty members are found in a few moves.
func TestFaultyFleetViolatesInvariants(t *testing.T) {
	model := SmallFleet
	model.MaxDepth = 5
	model.Budget = FleetBudget{Forwards: SmallFleet.Budget.Forwards, TimeSteps: SmallFleet.Budget.TimeSteps}
	for _, test := range []struct {
		name   string
		faults emulate.LinkFaults
	}{
		{"a merge that takes the older", emulate.LinkFaults{LastReceivedWins: true}},
		{"ages that do not grow", emulate.LinkFaults{FrozenAges: true}},
		{"a stall not noticed", emulate.LinkFaults{NoTransitTime: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			result := checkFleet(t, model, test.faults)
			if result.Violation == "" {
				t.Errorf("not found in %d moves", result.Transitions)
			}
			t.Logf("%d moves played, %v: %s", result.Transitions, result.Trace, result.Violation)
		})
	}
}
