package policy

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// kindChangeSettings returns settings with a kind that shares a limit and one with a limit for each endpoint.
func kindChangeSettings(shared, separate bool) Settings {
	settings := restartSettings()
	settings.DestinationKinds = []DestinationKind{{LimitPerEndpoint: shared}, {LimitPerEndpoint: separate}}
	return settings
}

// A destination's endpoints of a kind that shares a limit are all replaced by endpoints of a kind with separate limits,
// and the other way round. The engine must neither panic nor share a limit that is not shared.
func TestEndpointsOfAnotherKindReplaceAll(t *testing.T) {
	list := func(kind int, ids ...string) Event {
		snapshot := Event{Kind: EndpointSnapshot}
		for _, id := range ids {
			snapshot.Endpoints = append(snapshot.Endpoints,
				Endpoint{ID: id, Destination: 5, Kind: kind, Weight: 50, InService: true})
		}
		return snapshot
	}
	engine, err := New(kindChangeSettings(false, true), 1)
	if err != nil {
		t.Fatal(err)
	}
	lists := []Event{list(0, "a", "b"), list(1, "c", "d"), list(0, "e", "f"), list(1, "g", "h")}
	for i, snapshot := range lists {
		engine.Step(time.Duration(i+1)*time.Second, []Event{snapshot})
		checkScopes(t, engine)
	}
}

// checkScopes checks that each endpoint is in the one scope that its state names, and that a scope for one endpoint
// holds no other.
func checkScopes(t testing.TB, engine *Engine) {
	t.Helper()
	listed := 0
	for _, dest := range engine.destinations {
		for _, scope := range dest.scopes {
			listed += len(scope.endpoints)
			if scope.perEndpoint && len(scope.endpoints) != 1 {
				t.Fatalf("a scope for one endpoint holds %d", len(scope.endpoints))
			}
			for _, ep := range scope.endpoints {
				if ep.scope != scope || engine.endpoints[ep.ID] != ep {
					t.Fatalf("endpoint %s is not in its scope", ep.ID)
				}
			}
		}
	}
	if listed != len(engine.endpoints) {
		t.Fatalf("%d endpoints in scopes, want %d", listed, len(engine.endpoints))
	}
}

// Whatever lists, kinds, messages and new settings come, the engine does not panic, and each endpoint has its scope.
func TestAnyListsAndSettingsKeepScopes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		engine, err := New(kindChangeSettings(rapid.Bool().Draw(rt, "shared"), rapid.Bool().Draw(rt, "separate")), 1)
		if err != nil {
			rt.Fatal(err)
		}
		now := time.Second
		for id := range MessageID(rapid.IntRange(1, 20).Draw(rt, "steps")) {
			now += time.Duration(rapid.IntRange(1, 3000).Draw(rt, "pause")) * time.Millisecond
			if rapid.Bool().Draw(rt, "reload") {
				settings := kindChangeSettings(rapid.Bool().Draw(rt, "shared"), rapid.Bool().Draw(rt, "separate"))
				if err := engine.Reconfigure(settings); err != nil {
					rt.Fatal(err)
				}
			}
			accepted := Event{
				Kind: MessageAccepted, MessageID: id + 1, TimeLeft: 5 * time.Second,
				Destination: DestinationID(rapid.IntRange(0, 2).Draw(rt, "destination")),
			}
			engine.Step(now, []Event{drawList(rt), accepted})
			checkScopes(t, engine)
		}
	})
}

// drawList draws a complete list or a change of a few endpoints.
func drawList(t *rapid.T) Event {
	event := Event{Kind: rapid.SampledFrom([]EventKind{EndpointSnapshot, EndpointDelta}).Draw(t, "list")}
	for range rapid.IntRange(0, 6).Draw(t, "entries") {
		event.Endpoints = append(event.Endpoints, Endpoint{
			ID:          fmt.Sprint("s-", rapid.IntRange(0, 8).Draw(t, "id")),
			Destination: DestinationID(rapid.IntRange(0, 2).Draw(t, "destination")),
			Kind:        rapid.IntRange(-1, 2).Draw(t, "kind"),
			Zone:        rapid.IntRange(0, 1).Draw(t, "zone"),
			Weight:      float64(rapid.IntRange(-1, 60).Draw(t, "weight")),
			InService:   rapid.Bool().Draw(t, "in service"),
			Removed:     rapid.IntRange(0, 3).Draw(t, "removed") == 0,
		})
	}
	return event
}
