package main

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
)

// TestMissedListChange delays all list changes to one of forty relays beyond the end of the run. The command must
// report that the changes did not reach all relays.
func TestMissedListChange(t *testing.T) {
	var text bytes.Buffer
	c := faultsCommand{
		Fault:        faultChanges,
		Destinations: 2500,
		Count:        60,
		loadFlags:    loadFlags{Rate: 20, Length: 30 * time.Second},
		Seed:         1,
	}
	held, err := c.play(cli.NewPrinter(&text), 40, func(o *emulate.Options) {
		o.ListDelay = func(relay int) time.Duration {
			if relay == 7 {
				return time.Hour
			}
			return time.Second
		}
	})
	if err != nil || held || !strings.Contains(text.String(), "60 list changes, of which 60 did not reach all relays") {
		t.Errorf("held %v, %v:\n%s", held, err, text.String())
	}
}
