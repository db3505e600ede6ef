package handover

import (
	"encoding/json"
	"flag"
	"testing"

	"onyxroad.dev/onyxroad/internal/goldentest"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestGoldenKeys pins the keys under which one process tells another what it has: other builds of the program read them.
func TestGoldenKeys(t *testing.T) {
	var x Frame
	goldentest.Fill(&x)
	data, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, *update, "keys.json", string(data)+"\n")
}
