package flight

import (
	"encoding/json"
	"flag"
	"testing"

	"onyxroad.dev/onyxroad/internal/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

// TestGoldenKeys pins the keys under which recordings begin a chunk: other builds of the program read them.
func TestGoldenKeys(t *testing.T) {
	var x head
	golden.Fill(&x)
	data, err := json.MarshalIndent(x, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "keys.json", string(data)+"\n")
}
