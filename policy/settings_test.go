package policy

import (
	"math"
	"testing"
)

func TestNewRejectsInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no class":       func(s *Settings) { s.Classes = nil },
		"negative slots": func(s *Settings) { s.MaxInFlightCalls = -1 },
		"negative aim":   func(s *Settings) { s.Classes[0].LatencyObjective = -1 },
		"negative pause": func(s *Settings) { s.OrderingPause = -1 },
		"no number":      func(s *Settings) { s.WarmUpInitialCapacity = math.NaN() },
		"endless value":  func(s *Settings) { s.Classes[0].Weight = math.Inf(1) },
	} {
		settings := testSettings()
		spoil(&settings)
		if _, err := New(settings, 1); err == nil {
			t.Errorf("%s: taken", name)
		}
	}
}

// A number of senders that makes no sense is told, and where settings change the ones before stay; none at all is one.
func TestFleetSizeIsValidated(t *testing.T) {
	settings := testSettings()
	settings.FleetSize = 80
	h := newHarness(t, settings, Endpoint{ID: "a", Weight: 8})
	h.accept(1, 0)
	for _, relays := range []int{-1, maxFleetSize + 1} {
		wrong := settings
		wrong.FleetSize = relays
		if _, err := New(wrong, 1); err == nil {
			t.Errorf("%d senders are taken", relays)
		}
		if err := h.engine.Reconfigure(wrong); err == nil || h.engine.settings.FleetSize != 80 {
			t.Errorf("%d senders: error %v, and %d hold", relays, err, h.engine.settings.FleetSize)
		}
	}
	settings.FleetSize = 0
	if err := h.engine.Reconfigure(settings); err != nil || h.engine.settings.FleetSize != 1 || h.engine.messages[1] == nil {
		t.Errorf("none told: error %v, %d hold, message 1 held: %v", err, h.engine.settings.FleetSize, h.engine.messages[1] != nil)
	}
	settings.FleetSize = 8
	if err := h.engine.Reconfigure(settings); err != nil || !h.engine.isLargeFleet(h.engine.endpoints["a"].scope) {
		t.Errorf("8 senders: error %v", err)
	}
}
