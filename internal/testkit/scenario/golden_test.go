package scenario

import (
	"flag"
	"path/filepath"
	"regexp"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

var update = flag.Bool("update", false, "write the golden files anew")

// notSet is a line of an encoded scenario whose key has no value.
var notSet = regexp.MustCompile(`(?m)^(\w+) = (0|0\.0|''|'0s'|false|\[\])$`)

// TestGoldenEveryKey reads a scenario that sets every key, and pins what it is written as again, by the keys of the
// file, and its plan.
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

	// Between them, the two faults set each key of a fault; every other key is set in the one table that there is.
	unset := map[string]int{}
	for _, m := range notSet.FindAllStringSubmatch(string(data), -1) {
		unset[m[1]]++
	}
	delete(unset, "may_duplicate") // false is not its default
	for key, n := range unset {
		if !keysOfOneFault[key] || n > 1 {
			t.Errorf("the scenario does not set %s", key)
		}
	}
}

// keysOfOneFault are the keys of a fault that only one of the two sets.
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

// TestGoldenDefaults pins what a scenario has that sets only what it must.
func TestGoldenDefaults(t *testing.T) {
	data, err := parse(t, "").Encode()
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, *update, "defaults.out.toml", string(data))
}
