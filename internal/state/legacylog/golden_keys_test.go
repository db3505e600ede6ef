package legacylog

import (
	"encoding/json"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

// TestGoldenKeys pins the keys under which records are kept: other builds of the program read them.
func TestGoldenKeys(t *testing.T) {
	var x record
	golden.Fill(&x)
	data, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "keys.json", string(data)+"\n")
}
