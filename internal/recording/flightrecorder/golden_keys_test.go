package flightrecorder_test

import (
	"encoding/json"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

// TestGoldenKeys checks the JSON keys of a chunk's header, which other builds of the program read.
func TestGoldenKeys(t *testing.T) {
	var header flightrecorder.ChunkHeader
	golden.Fill(&header)
	data, err := json.MarshalIndent(header, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "keys.json", string(data)+"\n")
}
