package agent

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

// state is the part of an Agent that a snapshot stores. The CBOR keys are part of the recordings' format: they must
// not change when a field is renamed, and the fields of the toarray types must keep their order.
type state struct {
	Settings          Settings                            `cbor:"Set"`
	Incarnation       loadreport.Incarnation              `cbor:"Life"`
	Sequence          uint64                              `cbor:"Sequence"` // of the last published report
	Counters          map[quota.Scope]*scopeCounter       `cbor:"Tallies"`
	Endpoints         map[string]endpointInfo             `cbor:"Routes"`
	Pending           map[policy.MessageID]pendingMessage `cbor:"Held"`
	Published         map[int]publishedReport             `cbor:"Told"` // by report number
	NextCheck         time.Duration                       `cbor:"LookAt"`
	PublishInterval   time.Duration                       `cbor:"Rest"` // computed at PublishIntervalAt
	PublishIntervalAt time.Duration                       `cbor:"RestAt"`
	NextSweep         time.Duration                       `cbor:"SweepAt"`
	SavedReports      []loadreport.Report                 `cbor:"Pages"` // of the table; set only in snapshots
	SavedQuota        *quota.Ledger                       `cbor:"Book"`  // set only in snapshots
	Now               time.Duration                       `cbor:"Now"`
}

// canonicalEncoding encodes equal values as equal bytes.
var canonicalEncoding = newCanonicalEncoding()

func newCanonicalEncoding() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // The options are constant and valid.
	}
	return mode
}

// Snapshot appends the encoded state to b. Equal states give equal bytes.
func (a *Agent) Snapshot(b []byte) []byte {
	saved := a.state
	a.reports.Each(a.Now, func(report loadreport.Report) { saved.SavedReports = append(saved.SavedReports, report) })
	saved.SavedQuota = a.quota
	data, err := canonicalEncoding.Marshal(saved)
	if err != nil {
		return b // Every state can be encoded.
	}
	return append(b, data...)
}

// Restore returns an Agent that continues from a snapshot.
func Restore(data []byte) (*Agent, error) {
	var saved state
	if err := cbor.Unmarshal(data, &saved); err != nil {
		return nil, fmt.Errorf("fleet agent: decode snapshot: %w", err)
	}
	a := New(saved.Settings)
	a.reports.SetIncarnation(saved.Incarnation)
	a.quota = saved.SavedQuota
	if a.quota != nil {
		a.quota.FinishRestore()
	}
	reports := saved.SavedReports
	saved.SavedReports = nil
	saved.SavedQuota = nil
	ensureMap(&saved.Counters)
	ensureMap(&saved.Endpoints)
	ensureMap(&saved.Pending)
	ensureMap(&saved.Published)
	a.state = saved
	for _, report := range reports {
		if report.Name == a.Settings.Self {
			a.reports.Restore(a.Now, report)
		} else {
			// The report was accepted before the snapshot was written. If it is rejected now, the table counts it.
			_, _ = a.reports.Merge(a.Now, report)
		}
	}
	a.reports.SetLimits(a.Limits())
	return a, nil
}

func ensureMap[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = map[K]V{}
	}
}
