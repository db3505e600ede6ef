package membership

import (
	"flag"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

// What a link hands memberlist for a state exchange; its node's metadata are empty.
func TestGoldenLocalState(t *testing.T) {
	c, err := codec.New()
	if err != nil {
		t.Fatal(err)
	}
	life := loadreport.Incarnation{Generation: 3, Boot: 9}
	l := &Node{codec: c, reports: loadreport.New("me", life, []string{"a"})}
	l.cfg = Config{Name: "me", Incarnation: life, now: func() time.Duration { return time.Minute }}
	page := loadreport.Report{
		Name:        "a",
		Incarnation: loadreport.Incarnation{Generation: 5, Boot: 6},
		Number:      2,
		Sequence:    7,
		Scopes:      []loadreport.ScopeLoad{{Destination: 8, Calls: 1}},
	}
	if outcome, err := l.reports.Merge(time.Minute, page); outcome != loadreport.Updated {
		t.Fatal(outcome, err)
	}
	golden.Check(t, *update, "local-state.cbor", (*delegate)(l).LocalState(false))
	if meta := (*delegate)(l).NodeMeta(512); meta != nil {
		t.Errorf("metadata %q", meta)
	}
}
