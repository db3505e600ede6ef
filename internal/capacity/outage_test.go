package capacity

import "testing"

// exampleOutages returns the expected outages of roundExample.
func exampleOutages() []Outage {
	return []Outage{
		{
			LostRelays:          1,
			MessageRate:         10_000 / 99.0,
			Cores:               0.04 + 20/99.0,
			UnreachableMessages: 10_000,
			SnapshotBytes:       300_040,
			StartupTime:         10.1,
		},
		{
			LostRelays:          10,
			MessageRate:         10_000 / 90.0,
			Cores:               0.04 + 20/90.0,
			UnreachableMessages: 100_000,
			SnapshotBytes:       3_000_400,
			StartupTime:         10.1,
		},
		{
			LostRelays:          20,
			MessageRate:         125,
			Cores:               0.29,
			UnreachableMessages: 200_000,
			SnapshotBytes:       6_000_800,
			StartupTime:         10.1,
		},
		{
			LostRelays:     25,
			MessageRate:    100,
			Cores:          0.24,
			QueuedMessages: 270_000,
			QueuedBytes:    297e6,
			StartupTime:    10.1,
		},
		{
			LostRelays:    864 * 10.1 / 86_400,
			MessageRate:   100,
			Cores:         0.24,
			SnapshotBytes: 864 * 300_040,
			StartupTime:   10.1,
		},
	}
}

func TestOutages(t *testing.T) {
	target, run := roundExample()
	outages := Outages(target, run)
	wants := exampleOutages()
	if len(outages) != len(wants) {
		t.Fatalf("%d outages, want %d", len(outages), len(wants))
	}
	for i, want := range wants {
		got := outages[i]
		for _, field := range []struct {
			name      string
			got, want float64
		}{
			{"lost relays", got.LostRelays, want.LostRelays},
			{"message rate", got.MessageRate, want.MessageRate},
			{"cores", got.Cores, want.Cores},
			{"unreachable messages", got.UnreachableMessages, want.UnreachableMessages},
			{"queued messages", got.QueuedMessages, want.QueuedMessages},
			{"queued bytes", got.QueuedBytes, want.QueuedBytes},
			{"snapshot bytes", got.SnapshotBytes, want.SnapshotBytes},
			{"startup time", got.StartupTime, want.StartupTime},
		} {
			if !closeTo(field.got, field.want) {
				t.Errorf("%s, %s: %g, want %g", got.Name, field.name, field.got, field.want)
			}
		}
		if got.Guarantees == "" {
			t.Errorf("%s: Guarantees is empty", got.Name)
		}
	}
}
