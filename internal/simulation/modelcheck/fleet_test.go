package modelcheck

import (
	"context"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
)

// All orders of a few tellings, a loss, a doubling, a restart with and without the folder, a stop and a pause: nobody
// goes back, nothing is held to be younger than it is, and all agree in the end. What is wrong is found in a few moves.
func TestAllOrdersOfATinyFleet(t *testing.T) {
	w := SmallFleet
	w.MaxDepth = 4
	f, err := CheckFleet(context.Background(), w, emulate.LinkFaults{})
	if err != nil || f.Violation != "" || f.States < 1000 {
		t.Errorf("%d states, %v: %s, by %v", f.States, err, f.Violation, f.Trace)
	}
	t.Logf("%d states, %d moves", f.States, f.Transitions)
	twin := w
	twin.DuplicateName, twin.MaxDepth = true, 3
	if f, err := CheckFleet(context.Background(), twin, emulate.LinkFaults{}); err != nil || f.Violation != "" ||
		f.States < 300 {
		t.Errorf("two processes under one name: %d states, %v: %s, by %v", f.States, err, f.Violation, f.Trace)
	}
	w.MaxDepth, w.MaxRestarts, w.MaxPauses, w.MaxLosses, w.MaxDuplicates = 5, 0, 0, 0, 0
	for name, wrong := range map[string]emulate.LinkFaults{
		"a merge that takes the older": {LastReceivedWins: true}, "ages that do not grow": {FrozenAges: true}, "a stall not noticed": {NoTransitTime: true},
	} {
		f, err := CheckFleet(context.Background(), w, wrong)
		if err != nil || f.Violation == "" {
			t.Errorf("%s is not found in %d moves: %v", name, f.Transitions, err)
		}
		t.Logf("%s: %d moves played, %v: %s", name, f.Transitions, f.Trace, f.Violation)
	}
}
