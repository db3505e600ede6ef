package endpointhealth

import (
	"encoding/json"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

// TestGoldenKeys pins the keys under which routes' standings are kept: other builds of the program read them.
func TestGoldenKeys(t *testing.T) {
	var x Record
	golden.Fill(&x)
	data, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "keys.json", string(data)+"\n")
}
