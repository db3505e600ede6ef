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
	life := loadreport.Life{Incarnation: 3, Boot: 9}
	l := &Link{codec: c, ledger: loadreport.New("me", life, []string{"a"})}
	l.cfg = Config{Name: "me", Life: life, now: func() time.Duration { return time.Minute }}
	page := loadreport.Page{Name: "a", Life: loadreport.Life{Incarnation: 5, Boot: 6}, Number: 2, Sequence: 7, Cells: []loadreport.Cell{{Dest: 8, Calls: 1}}}
	if outcome, err := l.ledger.Merge(time.Minute, page); outcome != loadreport.Changed {
		t.Fatal(outcome, err)
	}
	golden.Check(t, *update, "local-state.cbor", (*delegate)(l).LocalState(false))
	if meta := (*delegate)(l).NodeMeta(512); meta != nil {
		t.Errorf("metadata %q", meta)
	}
}
