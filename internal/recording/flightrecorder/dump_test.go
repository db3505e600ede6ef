package flightrecorder_test

import (
	"crypto/sha256"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/recording/flightrecorder"
	"cherrytrestle.example/cherrytrestle/policy"
)

// dump returns entries as text. The text has no names of fields or enumeration values, so that renaming them does not
// change the golden files.
func dump(t *testing.T, entries []flightrecorder.Entry) []byte {
	t.Helper()
	var text strings.Builder
	for _, e := range entries {
		fmt.Fprintf(&text, "%d at %d: %v %q %v %t %d %q\n",
			e.Kind, e.At, e.Now, e.Endpoint, e.MessageIDs, e.Allowed, e.MessageID, e.Text)
		if e.Kind == flightrecorder.Begin {
			fmt.Fprintf(&text, "  begin %x %d %t %s\n", e.ID, e.Chunk, e.Fresh, plainText(e.Meta))
		}
		if len(e.State) > 0 {
			fmt.Fprintf(&text, "  state of %d bytes, %x\n", len(e.State), sha256.Sum256(e.State))
		}
		for _, event := range e.Events {
			dumpEvent(&text, event)
		}
		for _, action := range e.Actions {
			fmt.Fprintf(&text, "  action %s\n", plainText(action))
		}
		if e.Kind == flightrecorder.FleetStep {
			record, err := agent.ReadRecord(e.State)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "  beside %v\n", record)
		}
	}
	return []byte(text.String())
}

// dumpEvent appends an event as text, and the value of its Recovered field in place of the pointer.
func dumpEvent(text *strings.Builder, event policy.Event) {
	recovered := event.Recovered
	event.Recovered = nil
	fmt.Fprintf(text, "  event %s", plainText(event))
	if recovered != nil {
		fmt.Fprintf(text, " resumed {%d %t %v %d}",
			recovered.Attempts, recovered.MayHaveRun, recovered.SinceFirstRun, recovered.FirstRunZone)
		if recovered.Terms != nil {
			fmt.Fprintf(text, " terms %s", plainText(*recovered.Terms))
		}
	}
	fmt.Fprintln(text)
}

// plainText formats a value as %v does, except that enumerations, whose kind is int, are formatted as numbers.
func plainText(value any) string {
	v := reflect.ValueOf(value)
	_, isStringer := value.(fmt.Stringer)
	switch {
	case isStringer && v.Kind() == reflect.Int:
		return strconv.FormatInt(v.Int(), 10)
	case isStringer:
		return fmt.Sprint(value)
	}
	var parts []string
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			parts = append(parts, plainText(v.Field(i).Interface()))
		}
		return "{" + strings.Join(parts, " ") + "}"
	case reflect.Slice:
		for i := range v.Len() {
			parts = append(parts, plainText(v.Index(i).Interface()))
		}
		return "[" + strings.Join(parts, " ") + "]"
	}
	return fmt.Sprint(value)
}
