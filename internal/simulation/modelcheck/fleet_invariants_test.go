package modelcheck

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
)

// Each check of a fleet's state holds for a converged fleet, and fails after the state is corrupted.
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
			violation: "m1 holds version 9 of m0, which was never published",
		},
		{
			name:      "an age that is too small",
			corrupt:   func(f *fleetState) { f.published["m0"][f.members[1].lastVersions["m0"]] -= time.Second },
			check:     (*fleetState).checkTables,
			violation: "m2 holds a report by m0, published 2.2s ago, with an age of only 1.2",
		},
		{
			name: "an earlier version than before",
			corrupt: func(f *fleetState) {
				later := f.members[1].lastVersions["m0"]
				later.sequence++
				f.members[1].lastVersions["m0"] = later
			},
			check:     (*fleetState).checkTables,
			violation: "m1 replaced version 2 by the earlier version 1 of m0",
		},
		{
			name:      "a report that does not reach all",
			corrupt:   func(f *fleetState) { f.members[0].sequence++ },
			check:     (*fleetState).checkAgreement,
			violation: "after the digest exchanges, version 2 of m0 in incarnation {1 1} is held as version 1 in {1 1}",
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
				t.Errorf("violation %q, want one that begins with %q", f.violation, test.violation)
			}
		})
	}
}
