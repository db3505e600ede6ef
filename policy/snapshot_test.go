package policy

import (
	"bytes"
	"reflect"
	"slices"
	"testing"
	"time"
)

// clearScratch clears the fields that an Engine uses only within a step, or only to reuse memory.
func clearScratch(engine *Engine) {
	engine.actions = nil
	engine.ready = nil
	for _, dest := range engine.sortedDestinations {
		dest.candidate = nil
		dest.candidateEndpoint = nil
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

// A restored Engine equals the original in every field, so that the test detects a new field that the snapshot
// leaves out. The restored Engine also takes the same actions as the original would have.
func TestSnapshotIsComplete(t *testing.T) {
	for seed := range uint64(4) {
		steps, compared := 0, 0
		replace := func(engine *Engine) *Engine {
			steps++
			if steps%7 != 0 {
				return engine
			}
			data := engine.Snapshot(nil)
			restored, err := Restore(engine.settings, data)
			if err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, steps, err)
			}
			if !bytes.Equal(restored.Snapshot(nil), data) {
				t.Fatalf("seed %d, step %d: the snapshot of the restored Engine differs", seed, steps)
			}
			if steps%49 == 0 {
				clearScratch(engine)
				clearScratch(restored)
				if diff := difference(engine, restored); diff != "" {
					t.Fatalf("seed %d, step %d: %s", seed, steps, diff)
				}
				compared++
			}
			return restored
		}
		with := simulate(t, seed, disabledGuard{replace: replace})
		without := simulate(t, seed, disabledGuard{})
		if with.counts != without.counts || with.delivered != without.delivered {
			t.Errorf("seed %d: runs with and without restores differ: %+v, %d delivered; %+v, %d delivered",
				seed, with.counts, with.delivered, without.counts, without.delivered)
		}
		if compared < 20 {
			t.Errorf("seed %d: compared only %d times", seed, compared)
		}
	}
}

// difference returns the path of the first field in which two Engines differ, or "" if they are equal.
// reflect.DeepEqual does not report the field, and treats nil and empty slices or maps as different.
func difference(a, b *Engine) string {
	c := comparison{seen: map[[2]uintptr]bool{}}
	return c.values("engine", reflect.ValueOf(a), reflect.ValueOf(b))
}

// comparison compares values that may point to each other in cycles.
type comparison struct{ seen map[[2]uintptr]bool }

func (c comparison) values(path string, a, b reflect.Value) string {
	switch a.Kind() {
	case reflect.Pointer:
		return c.pointers(path, a, b)
	case reflect.Struct:
		return c.structs(path, a, b)
	case reflect.Slice:
		return c.slices(path, a, b)
	case reflect.Map:
		return c.maps(path, a, b)
	case reflect.Interface:
		return c.values(path, a.Elem(), b.Elem())
	default:
		if !a.Equal(b) {
			return path + ": values differ"
		}
	}
	return ""
}

func (c comparison) pointers(path string, a, b reflect.Value) string {
	if a.IsNil() || b.IsNil() {
		if a.IsNil() != b.IsNil() {
			return path + ": one is nil"
		}
		return ""
	}
	pair := [2]uintptr{a.Pointer(), b.Pointer()}
	if c.seen[pair] {
		return ""
	}
	c.seen[pair] = true
	return c.values(path, a.Elem(), b.Elem())
}

func (c comparison) structs(path string, a, b reflect.Value) string {
	for i := range a.NumField() {
		if diff := c.values(path+"."+a.Type().Field(i).Name, a.Field(i), b.Field(i)); diff != "" {
			return diff
		}
	}
	return ""
}

func (c comparison) slices(path string, a, b reflect.Value) string {
	if a.Len() != b.Len() {
		return path + ": lengths differ"
	}
	for i := range a.Len() {
		if diff := c.values(path+"[]", a.Index(i), b.Index(i)); diff != "" {
			return diff
		}
	}
	return ""
}

func (c comparison) maps(path string, a, b reflect.Value) string {
	if a.Len() != b.Len() {
		return path + ": lengths differ"
	}
	for _, key := range a.MapKeys() {
		value := b.MapIndex(key)
		if !value.IsValid() {
			return path + ": a key is missing"
		}
		if diff := c.values(path+"{}", a.MapIndex(key), value); diff != "" {
			return diff
		}
	}
	return ""
}

func TestRestoreRejectsInvalidSnapshots(t *testing.T) {
	engine, err := New(newSimulation(1).settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	engine.Step(time.Second, []Event{
		{Kind: EndpointSnapshot, Endpoints: []Endpoint{{ID: "r", InService: true, Weight: 3}}},
		{Kind: MessageAccepted, MessageID: 1, TimeLeft: time.Second},
	})
	data := engine.Snapshot(nil)
	for size := range data {
		if _, err := Restore(engine.settings, data[:size]); err == nil {
			t.Errorf("the first %d bytes of a snapshot of %d are accepted", size, len(data))
		}
	}
	if _, err := Restore(engine.settings, append(slices.Clone(data), 0)); err == nil {
		t.Error("a snapshot with an extra byte is accepted")
	}
	other := engine.settings
	other.Tenants = nil
	if _, err := Restore(other, data); err == nil {
		t.Error("a snapshot is accepted with settings of fewer tenants")
	}
}
