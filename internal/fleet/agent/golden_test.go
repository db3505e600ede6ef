package agent

import (
	"flag"
	"reflect"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

// A snapshot's form, with every field of it set, the ledger's and the rights' among them.
func TestGoldenState(t *testing.T) {
	var want, got state
	golden.Fill(&want)
	data, err := canonicalEncoding.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	file := golden.Check(t, *update, "state.cbor", data)
	if err := cbor.Unmarshal(file, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\nwant %+v", got, want)
	}
}

// A seam restored from a snapshot of an earlier build writes it again.
func TestGoldenSnapshot(t *testing.T) {
	set := newSeam().Settings
	set.ShareQuota, set.FleetSize = true, 20
	s := New(set)
	steps := history(t, 1)
	for i, e := range steps[:300] {
		s.Step(e.Now, input(e, i))
	}
	file := golden.Check(t, *update, "snapshot.cbor", s.Snapshot(nil))
	restored, err := Restore(file)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, false, "snapshot.cbor", restored.Snapshot(nil))
	if restored.quota == nil || len(restored.Counters) == 0 {
		t.Error("the snapshot holds no rights or no tallies")
	}
}

// What a step was told of others and told them, with every field set.
func TestGoldenRecord(t *testing.T) {
	var want Record
	golden.Fill(&want)
	file := golden.Check(t, *update, "record.cbor", want.Append(nil))
	got, err := ReadRecord(file)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v\nwant %+v", got, want)
	}
}
