package rehearsal

import (
	"encoding/json"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/golden"
)

const twoCustomers = `
[[customer]]
name = "acme"
share = 3.0
quota = 7.5

[[customer]]
name = "other"
`

// TestGoldenRelaySettings pins the platform's settings in a relay's configuration. If a key were misspelled, the relay
// would run without the setting.
func TestGoldenRelaySettings(t *testing.T) {
	data, err := json.Marshal(newRelaySettings(parse(t, "2s", 2, twoCustomers)))
	if err != nil {
		t.Fatal(err)
	}
	var settings any
	if err := json.Unmarshal(data, &settings); err != nil { // as maps, whose keys are marshalled in order
		t.Fatal(err)
	}
	sorted, err := json.MarshalIndent(settings, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, false, "relay-settings.json", append(sorted, '\n'))
}
