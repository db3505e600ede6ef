package relay

import (
	"slices"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
)

// The successor has the zones in another order. It must not take over the predecessor's indexes: the endpoint and the
// attempt that may have run stay in the zone of that name.
func TestTakeOverWithReorderedZones(t *testing.T) {
	old := newTestRelay(t)
	submission := newSubmission("m1", 7, 9*time.Second)
	submitAll(old, submission)
	if len(old.activeCalls) != 1 {
		t.Fatalf("%d calls in flight, want 1", len(old.activeCalls))
	}
	cfg := old.cfg
	cfg.Zones = []string{"b", "a"}
	cfg.Known.Entries = slices.Clone(cfg.Known.Entries)
	cfg.Known.Entries[0].Zone = 1 // zone a
	r := takeOverWith(t, old, cfg, func(*hotrestart.State) {})
	if views, _ := r.engine.Views(); len(views) != 1 || views[0].Zone != 1 {
		t.Errorf("endpoints %+v, want one in zone 1", views)
	}
	r.step([]event{predecessorGone{}})
	recovered := r.recoveredEvent(r.messagesByTrace["m1"]).Recovered
	if !recovered.MayHaveRun || recovered.FirstRunZone != 1 {
		t.Errorf("recovered as %+v, want zone 1", recovered)
	}
	if !r.snapshotNeeded {
		t.Error("the full endpoint list is not fetched")
	}
}
