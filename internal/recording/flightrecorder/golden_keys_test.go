package flightrecorder_test

import (
	"encoding/json"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

// TestGoldenKeys pins the keys under which recordings begin a chunk: other builds of the program read them.
func TestGoldenKeys(t *testing.T) {
	var x flightrecorder.Head
	golden.Fill(&x)
	data, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "keys.json", string(data)+"\n")
}
