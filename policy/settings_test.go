package policy

import (
	"math"
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no class":             func(s *Settings) { s.Classes = nil },
		"negative concurrency": func(s *Settings) { s.MaxInFlightCalls = -1 },
		"negative objective":   func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"negative pause":       func(s *Settings) { s.OrderingPause = -1 },
		"not a number":         func(s *Settings) { s.WarmUpInitialCapacity = math.NaN() },
		"infinite weight":      func(s *Settings) { s.Classes[0].Weight = math.Inf(1) },
	} {
		settings := testSettings()
		spoil(&settings)
		if _, err := New(settings, 1); err == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}

// An invalid fleet size is rejected, and a rejected reconfiguration changes nothing. A fleet size of 0 means one
// relay.
func TestFleetSizeIsValidated(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 80
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 8})
	h.accept(1, 0)
	for _, relays := range []int{-1, maxFleetSize + 1} {
		wrong := settings
		wrong.FleetSize = relays
		if _, err := New(wrong, 1); err == nil {
			t.Errorf("%d relays are accepted", relays)
		}
		if err := h.engine.Reconfigure(wrong); err == nil || h.engine.settings.FleetSize != 80 {
			t.Errorf("%d relays: error %v, and the fleet size is %d", relays, err, h.engine.settings.FleetSize)
		}
	}
	settings.FleetSize = 0
	err := h.engine.Reconfigure(settings)
	if size := h.engine.settings.FleetSize; err != nil || size != 1 || h.engine.messages[1] == nil {
		t.Errorf("not set: error %v, %d relays, message 1 pending: %v", err, size, h.engine.messages[1] != nil)
	}
	settings.FleetSize = 8
	if err := h.engine.Reconfigure(settings); err != nil || !h.engine.isLargeFleet(h.engine.endpoints["a"].scope) {
		t.Errorf("8 relays: error %v", err)
	}
}
