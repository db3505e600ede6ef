package modelcheck

import (
	"context"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
)

// All orders of a few tellings, a loss, a doubling, a restart with and without the folder, a stop and a pause: nobody
// goes back, nothing is held to be younger than it is, and all agree in the end. What is wrong is found in a few moves.
func TestAllOrdersOfATinyFleet(t *testing.T) {
	w := TinyFleet
	w.Depth = 4
	f, err := SearchFleet(context.Background(), w, emulate.LinkFaults{})
	if err != nil || f.Break != "" || f.States < 1000 {
		t.Errorf("%d states, %v: %s, by %v", f.States, err, f.Break, f.Path)
	}
	t.Logf("%d states, %d moves", f.States, f.Paths)
	twin := w
	twin.Twin, twin.Depth = true, 3
	if f, err := SearchFleet(context.Background(), twin, emulate.LinkFaults{}); err != nil || f.Break != "" ||
		f.States < 300 {
		t.Errorf("two processes under one name: %d states, %v: %s, by %v", f.States, err, f.Break, f.Path)
	}
	w.Depth, w.Restarts, w.Stops, w.Losses, w.Doubles = 5, 0, 0, 0, 0
	for name, wrong := range map[string]emulate.LinkFaults{
		"a merge that takes the older": {LastReceivedWins: true}, "ages that do not grow": {FrozenAges: true}, "a stall not noticed": {NoTransitTime: true},
	} {
		f, err := SearchFleet(context.Background(), w, wrong)
		if err != nil || f.Break == "" {
			t.Errorf("%s is not found in %d moves: %v", name, f.Paths, err)
		}
		t.Logf("%s: %d moves played, %v: %s", name, f.Paths, f.Path, f.Break)
	}
}
