package endpointhealth

import (
	"flag"
	"reflect"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// Records are encoded as in the golden file and decoded from it, so that other builds of the program can exchange them.
func TestGoldenRecords(t *testing.T) {
	const name = "records.json"
	records := []Record{
		*golden.Fill(&Record{}),
		{},
		{Endpoint: "s-1", ObservedAt: time.Unix(1e9, 0).UTC(), WarmingUp: true},
	}
	golden.Check(t, *update, name, Encode(records))
	if got := Decode(golden.Read(t, name)); !reflect.DeepEqual(got, records) {
		t.Errorf("Decode = %+v, want %+v", got, records)
	}
}
