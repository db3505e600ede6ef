package membership

import (
	"flag"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// The local state that a node returns to memberlist for a state exchange matches the golden file. A node has no
// metadata.
func TestGoldenLocalState(t *testing.T) {
	messageCodec, err := codec.New()
	if err != nil {
		t.Fatal(err)
	}
	incarnation := loadreport.Incarnation{Generation: 3, Boot: 9}
	node := &Node{
		cfg: Config{
			Name:        "me",
			Incarnation: incarnation,
			now:         func() time.Duration { return time.Minute },
		},
		codec:   messageCodec,
		reports: loadreport.New("me", incarnation, []string{"a"}),
	}
	report := loadreport.Report{
		Name:        "a",
		Incarnation: loadreport.Incarnation{Generation: 5, Boot: 6},
		Number:      2,
		Sequence:    7,
		Scopes:      []loadreport.ScopeLoad{{Destination: 8, Calls: 1}},
	}
	if result, err := node.reports.Merge(time.Minute, report); result != loadreport.Updated {
		t.Fatalf("merge result %v, error %v", result, err)
	}
	golden.Check(t, *update, "local-state.cbor", (*delegate)(node).LocalState(false))
	if meta := (*delegate)(node).NodeMeta(512); meta != nil {
		t.Errorf("metadata %q, want none", meta)
	}
}
