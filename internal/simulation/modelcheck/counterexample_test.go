package modelcheck

import (
	"encoding/json"
	"io"
	"reflect"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
)

// checkReplay stores a result as a counterexample and reads it again. The replay leads to the same violation with
// the mutant, and to none with the unchanged engine.
func checkReplay(t *testing.T, modelName, mutantName string, result Result) {
	t.Helper()
	found := Counterexample{Model: modelName, Mutant: mutantName, Rule: result.Violation.Rule, Moves: result.Trace}
	data, err := json.Marshal(found)
	if err != nil {
		t.Fatal(err)
	}
	counterexample, err := ParseCounterexample(data)
	if err != nil {
		t.Fatal(err)
	}
	if v, err := counterexample.Replay(); err != nil || !reflect.DeepEqual(v, result.Violation) {
		t.Errorf("replayed: %+v, %v", v, err)
	}
	if err := counterexample.WriteTrace(io.Discard); err != nil {
		t.Error(err)
	}
	counterexample.Mutant = ""
	if v, err := counterexample.Replay(); err == nil && v != nil {
		t.Errorf("the unchanged engine violates %s", v.Rule)
	}
}

// storedCounterexample is the content of a file that operators may have stored. Its keys and the kinds of moves must
// not change.
const storedCounterexample = `{"world":"repeats","mutant":"unsafe-repeated","rule":"no effect happens twice",` +
	`"moves":[{"kind":"hand in"},{"kind":"hand in"},{"kind":"a call ends","n":1,"choice":1}]}`

// storedTrace is the trace of storedCounterexample.
const storedTrace = `        0s  message 1 is submitted to relay 0; relay 0 sends message 1 to a
        0s  message 2 is submitted to relay 0; relay 0 sends message 2 to b
        0s  relay 0: the call of message 2 to b ends: connection reset; relay 0 sends message 2 to a
`

func TestStoredCounterexample(t *testing.T) {
	counterexample, err := ParseCounterexample([]byte(storedCounterexample))
	if err != nil {
		t.Fatal(err)
	}
	if data, err := json.Marshal(counterexample); err != nil || string(data) != storedCounterexample {
		t.Errorf("stored again: %s, %v", data, err)
	}
	var trace strings.Builder
	if err := counterexample.WriteTrace(&trace); err != nil || trace.String() != storedTrace {
		t.Errorf("trace: %v\n%s", err, trace.String())
	}
	want := &Violation{
		Rule:   checker.NoDuplicateEffect,
		Detail: "at 0s: message 2 is not idempotent, may have run, and is sent again",
	}
	if v, err := counterexample.Replay(); err != nil || !reflect.DeepEqual(v, want) {
		t.Errorf("replayed: %+v, %v", v, err)
	}
}

func FuzzParseCounterexample(f *testing.F) {
	f.Add([]byte(`{"world":"repeats","moves":[{"kind":"hand in"},{"kind":"killed"},{"kind":"time passes"},` +
		`{"kind":"a call ends","choice":9,"n":-1}]}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		counterexample, err := ParseCounterexample(data)
		if err != nil {
			return
		}
		// Replay may return an error, since the moves may not be enabled. It must not panic.
		_, _ = counterexample.Replay()
	})
}
