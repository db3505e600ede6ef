package endpointhealth

import (
	"encoding/json"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

// TestGoldenKeys pins the JSON keys of records, which other builds of the program read.
func TestGoldenKeys(t *testing.T) {
	var x Record
	golden.Fill(&x)
	data, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "keys.json", string(data)+"\n")
}
