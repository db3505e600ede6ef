package scenario

import (
	"flag"
	"path/filepath"
	"regexp"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// notSet matches a line of an encoded scenario whose key has the zero value.
var notSet = regexp.MustCompile(`(?m)^(\w+) = (0|0\.0|''|'0s'|false|\[\])$`)

// TestGoldenEveryKey reads a scenario that sets every key, and compares the encoded scenario and its plan with golden
// files. It guards against a key that is dropped or renamed when it is decoded or encoded.
func TestGoldenEveryKey(t *testing.T) {
	f, err := LoadWithin(filepath.Join("testdata", "golden", "every-key.toml"), EmulatorBounds)
	if err != nil {
		t.Fatal(err)
	}
	data, err := f.Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "every-key.out.toml", string(data))
	again, err := ParseWithin("again", data, EmulatorBounds)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "every-key.plan.txt", text(t, again.Draw(0)))

	// Each key of a fault is set by one or both of the two faults. Every other key is in a table that occurs once, and
	// must be set there.
	unset := map[string]int{}
	for _, m := range notSet.FindAllStringSubmatch(string(data), -1) {
		unset[m[1]]++
	}
	delete(unset, "may_duplicate") // false is set: the default is true
	for key, n := range unset {
		if !keysOfOneFault[key] || n > 1 {
			t.Errorf("the scenario does not set %s", key)
		}
	}
}

// keysOfOneFault are the fault keys that only one of the two faults sets.
var keysOfOneFault = map[string]bool{
	"destinations": true,
	"share":        true,
	"zone":         true,
	"replace":      true,
	"same_address": true,
	"delay":        true,
	"relays":       true,
	"by":           true,
	"stagger":      true,
	"group":        true,
	"loss":         true,
	"mixed":        true,
	"rate":         true,
	"folder":       true,
}

// TestGoldenDefaults compares the encoded base scenario, which has few optional keys, with a golden file of the
// defaults.
func TestGoldenDefaults(t *testing.T) {
	data, err := parse(t, "").Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "defaults.out.toml", string(data))
}
