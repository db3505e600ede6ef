package hotrestart

import (
	"encoding/json"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

// TestGoldenKeys checks that the JSON keys of frames do not change: processes of other builds read them.
func TestGoldenKeys(t *testing.T) {
	var x Frame
	golden.Fill(&x, notEncoded...)
	data, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "keys.json", string(data)+"\n")
}
