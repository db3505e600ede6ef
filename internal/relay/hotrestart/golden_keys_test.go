package hotrestart

import (
	"encoding/json"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

// TestGoldenKeys pins the keys under which one process tells another what it has: other builds of the program read
// them.
func TestGoldenKeys(t *testing.T) {
	var x Frame
	golden.Fill(&x)
	data, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "keys.json", string(data)+"\n")
}
