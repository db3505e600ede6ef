package modelcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
)

// Each check of a fleet's state fails for a state that is made to violate it, and holds before.
func TestFleetChecksFail(t *testing.T) {
	for _, test := range []struct {
		name      string
		corrupt   func(f *fleetState)
		check     func(f *fleetState)
		violation string
	}{
		{
			name: "a report that was never published",
			corrupt: func(f *fleetState) {
				report, _ := f.members[1].table.Get(f.now, "m0", 0)
				report.Sequence = 9
				if result, err := f.members[1].table.Merge(f.now, report); result != loadreport.Updated {
					f.violation = fmt.Sprint(result, err)
				}
			},
			check:     (*fleetState).checkTables,
			violation: "m1 holds version 9 of m0, which it never told",
		},
		{
			name:      "an age that is too small",
			corrupt:   func(f *fleetState) { f.published["m0"][f.members[1].lastVersions["m0"]] -= time.Second },
			check:     (*fleetState).checkTables,
			violation: "m2 holds what m0 told 2.2s ago to be 1.2",
		},
		{
			name: "an earlier version than before",
			corrupt: func(f *fleetState) {
				later := f.members[1].lastVersions["m0"]
				later.sequence++
				f.members[1].lastVersions["m0"] = later
			},
			check:     (*fleetState).checkTables,
			violation: "m1 goes back from version 2 to 1 of m0",
		},
		{
			name:      "a report that does not reach all",
			corrupt:   func(f *fleetState) { f.members[0].sequence++ },
			check:     (*fleetState).checkAgreement,
			violation: "after all was exchanged, version 2 of m0 in life {1 1} is held as 1 in {1 1}",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newFleetState(&SmallFleet, emulate.LinkFaults{})
			f.checkConvergence()
			if f.violation != "" {
				t.Fatal(f.violation)
			}
			test.corrupt(f)
			if test.check(f); !strings.HasPrefix(f.violation, test.violation) {
				t.Errorf("%q, not %q", f.violation, test.violation)
			}
		})
	}
}
