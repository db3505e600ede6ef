package policy

import (
	"bytes"
	"reflect"
	"slices"
	"testing"
	"time"
)

// clearScratch clears what an Engine keeps only as scratch, or to have room.
func clearScratch(engine *Engine) {
	engine.actions, engine.ready = nil, nil
	for _, dest := range engine.sortedDestinations {
		dest.candidate, dest.candidateEndpoint = nil, nil
		for _, scope := range dest.scopes {
			scope.recentSends = append([]time.Duration(nil), scope.recentSends...)
		}
	}
	for _, list := range []*[]*destination{&engine.sortedDestinations, &engine.active} {
		if len(*list) == 0 {
			*list = nil
		}
	}
}

// A restored Engine equals the one that was found, field by field: whoever adds a field and leaves it out of the
// snapshot is told here.
func TestSnapshotIsComplete(t *testing.T) {
	for seed := range uint64(4) {
		n, compared := 0, 0
		swap := func(engine *Engine) *Engine {
			if n++; n%7 != 0 {
				return engine
			}
			data := engine.Snapshot(nil)
			copied, err := Restore(engine.settings, data)
			if err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, n, err)
			}
			if again := copied.Snapshot(nil); !bytes.Equal(again, data) {
				t.Fatalf("seed %d, step %d: the copy's snapshot differs", seed, n)
			}
			if n%49 == 0 {
				clearScratch(engine)
				clearScratch(copied)
				if diff := difference("s", reflect.ValueOf(engine), reflect.ValueOf(copied), map[[2]uintptr]bool{}); diff != "" {
					t.Fatalf("seed %d, step %d: %s", seed, n, diff)
				}
				compared++
			}
			return copied // and goes on as the other would have
		}
		with, without := simulate(t, seed, disabledGuard{replace: swap}), simulate(t, seed, disabledGuard{})
		if with.counts != without.counts || with.delivered != without.delivered {
			t.Errorf(
				"seed %d: goes on otherwise after a restore: %v %d, %v %d",
				seed,
				with.counts,
				with.delivered,
				without.counts,
				without.delivered,
			)
		}
		if compared < 20 {
			t.Errorf("seed %d: compared %d times only", seed, compared)
		}
	}
}

// difference names the first field that differs; reflect.DeepEqual does not, and takes nil and empty for different.
func difference(at string, a, b reflect.Value, seen map[[2]uintptr]bool) string {
	switch a.Kind() {
	case reflect.Pointer:
		if a.IsNil() || b.IsNil() {
			if a.IsNil() != b.IsNil() {
				return at + ": one is nil"
			}
			return ""
		}
		pair := [2]uintptr{a.Pointer(), b.Pointer()}
		if seen[pair] {
			return ""
		}
		seen[pair] = true
		return difference(at, a.Elem(), b.Elem(), seen)
	case reflect.Struct:
		for i := range a.NumField() {
			if d := difference(at+"."+a.Type().Field(i).Name, a.Field(i), b.Field(i), seen); d != "" {
				return d
			}
		}
	case reflect.Slice:
		if a.Len() != b.Len() {
			return at + ": lengths differ"
		}
		for i := range a.Len() {
			if d := difference(at+"[]", a.Index(i), b.Index(i), seen); d != "" {
				return d
			}
		}
	case reflect.Map:
		if a.Len() != b.Len() {
			return at + ": lengths differ"
		}
		for _, k := range a.MapKeys() {
			v := b.MapIndex(k)
			if !v.IsValid() {
				return at + ": a key is missing"
			}
			if d := difference(at+"{}", a.MapIndex(k), v, seen); d != "" {
				return d
			}
		}
	case reflect.Interface:
		return difference(at, a.Elem(), b.Elem(), seen)
	default:
		if !a.Equal(b) {
			return at + ": values differ"
		}
	}
	return ""
}

func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	engine, err := New(randomSettings(newSimulation(1).rng), 1)
	if err != nil {
		t.Fatal(err)
	}
	engine.Step(
		time.Second,
		[]Event{
			{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "r", InService: true, Weight: 3}}},
			{Kind: MessageAccepted, MessageID: 1, TimeLeft: time.Second},
		},
	)
	data := engine.Snapshot(nil)
	for cut := range data {
		if _, err := Restore(engine.settings, data[:cut]); err == nil {
			t.Errorf("a snapshot cut at byte %d of %d is taken", cut, len(data))
		}
	}
	if _, err := Restore(engine.settings, append(slices.Clone(data), 0)); err == nil {
		t.Error("a snapshot with a byte more is taken")
	}
	other := engine.settings
	other.Tenants = nil
	if _, err := Restore(other, data); err == nil {
		t.Error("a snapshot is taken under settings with fewer customers")
	}
}
