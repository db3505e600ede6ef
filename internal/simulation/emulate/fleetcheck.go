package emulate

import (
	"fmt"
	"maps"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const (
	// checkInterval is how often what relays know of each other is checked.
	checkInterval = 500 * time.Millisecond
	// maxCheckedRelays is how many relays are checked.
	maxCheckedRelays = 20
	// ageTolerance is by how much a report may seem younger than it is, besides the drift of the clocks.
	ageTolerance = 400 * time.Millisecond
	// versionRetention is how long the time of a publication is kept.
	versionRetention = 2 * loadreport.MaxAge
	// quotaTolerance is by what ratio sums of quotas may exceed a limit, for rounding.
	quotaTolerance = 1e-6
)

// violation is a kind of false knowledge that a relay may have of others.
type violation string

// The violations.
const (
	reportOfStranger  violation = "stranger" // a report of another fleet's member
	impossibleFigure  violation = "bound"    // a report with a rate that no relay can have
	reportTooYoung    violation = "age"      // a report that is older than it seems
	versionRolledBack violation = "back"     // a report that was replaced by an older version
	quotaExceeded     violation = "sum"      // quotas whose sum exceeds a limit
)

// fleetChecks check what relays know of each other against what is true.
type fleetChecks struct {
	publishedAt     map[reportVersion]time.Duration
	reportNumber    map[reportVersion]int
	onUpdate        func(by *relay, version reportVersion) // called when a relay takes a new version; nil: nothing is
	violations      []violation
	recordedKinds   map[violation]bool
	quotaCheckCount int
}

func newFleetChecks() fleetChecks {
	return fleetChecks{
		publishedAt:   map[reportVersion]time.Duration{},
		reportNumber:  map[reportVersion]int{},
		recordedKinds: map[violation]bool{},
	}
}

// published notes the publication of a report.
func (n *fleetNetwork) published(report *loadreport.Report) {
	version := versionOf(report)
	n.publishedAt[version] = n.world.Now()
	n.reportNumber[version] = report.Number
}

// updated notes that a relay took a new version of a report.
func (n *fleetNetwork) updated(by *relay, version reportVersion) {
	if n.onUpdate != nil {
		n.onUpdate(by, version)
	}
}

// checkAll checks what relays know, and records how old their knowledge of each other is.
func (n *fleetNetwork) checkAll() {
	now := n.world.Now()
	if now < n.world.length {
		n.world.ScheduleAfter(checkInterval, n.checkAll)
	}
	for _, r := range n.world.relays[:min(maxCheckedRelays, len(n.world.relays))] {
		if r.running && !r.stalled && r.member != nil {
			n.checkMember(r.member)
		}
	}
	n.checkQuotas()
	maps.DeleteFunc(n.publishedAt, func(version reportVersion, at time.Duration) bool {
		expired := now-at > versionRetention
		if expired {
			delete(n.reportNumber, version)
		}
		return expired
	})
}

// checkMember checks the reports of a member's table.
func (n *fleetNetwork) checkMember(m *fleetMember) {
	limits := m.agent.Limits()
	newestAge, generation := map[string]time.Duration{}, map[string]uint64{}
	m.reports.Each(m.clock(), func(report loadreport.Report) {
		if report.Name == m.name {
			return
		}
		n.checkReport(m, limits, &report)
		if age, known := newestAge[report.Name]; !known || report.Age < age {
			newestAge[report.Name] = report.Age
		}
		generation[report.Name] = report.Generation
	})
	for _, other := range n.world.relays {
		if other == m.relay {
			continue
		}
		age, known := newestAge[other.name]
		if !known {
			age = -1
		}
		n.world.record(eventlog.Event{
			Kind:     eventlog.PeerView,
			Relay:    m.relay.name,
			Name:     other.name,
			State:    "listed",
			Duration: age,
			Status:   int(generation[other.name]),
		})
	}
}

// checkReport checks a report of a member's table: it is of the member's fleet, no figure exceeds the limits, it is not
// younger than it can be, and it does not go back to an earlier version.
func (n *fleetNetwork) checkReport(m *fleetMember, limits loadreport.Limits, report *loadreport.Report) {
	holder := m.relay.name
	if !n.sameFleet(n.world.relay(report.Name).index, m.relay.index) {
		n.addViolation(reportOfStranger, "%s holds page %d of %s, of another fleet", holder, report.Number, report.Name)
	}
	for _, load := range report.Scopes {
		limit, ok := limits[load.Destination][load.Endpoint]
		if ok && load.Calls > loadreport.MaxRateMultiple*max(1, limit) {
			n.addViolation(impossibleFigure, "%s holds %g calls a second of %s at destination %d, which takes %g",
				holder, load.Calls, report.Name, load.Destination, limit)
		}
	}
	key, version := keyOf(report), versionOf(report)
	if trueVersion, changed := m.trueVersion[key]; changed {
		version = trueVersion
	}
	n.checkAge(holder, version, report)
	last, checked := m.lastChecked[key]
	if checked && version.isBefore(last) {
		n.addViolation(versionRolledBack, "%s goes back from version %d to %d of page %d of %s",
			holder, last.sequence, version.sequence, report.Number, report.Name)
	}
	m.lastChecked[key] = version
}

// checkAge checks the age of a report against the time of its publication.
func (n *fleetNetwork) checkAge(holder string, version reportVersion, report *loadreport.Report) {
	publishedAt, ok := n.publishedAt[version]
	if !ok {
		return
	}
	age := n.world.Now() - publishedAt
	drift := time.Duration(float64(age) * 2 * maxClockDrift)
	if report.Age < age-ageTolerance-drift {
		n.addViolation(reportTooYoung, "%s holds page %d of %s, told %v ago, to be %v old",
			holder, report.Number, report.Name, age, report.Age)
	}
}

// isBefore reports whether a version is older than another one of the same report.
func (v reportVersion) isBefore(other reportVersion) bool {
	if v.Incarnation == other.Incarnation {
		return v.sequence < other.sequence
	}
	return v.Compare(other.Incarnation) < 0
}

// checkQuotas checks that what all relays may use of a limit at this moment, by themselves and by granting it to
// others, does not exceed it.
func (n *fleetNetwork) checkQuotas() {
	if !n.world.plan.File.Fleet.Quotas {
		return
	}
	sums, limits := map[quota.Scope]float64{}, map[quota.Scope]float64{}
	for _, r := range n.world.relays {
		if !r.running || r.member == nil {
			continue
		}
		ledger := r.member.agent.Quota()
		if ledger == nil {
			continue
		}
		for scope, account := range ledger.Accounts {
			sums[scope] += ledger.OwnRate(r.now(), scope) + ledger.GrantRate(r.now(), scope)
			limits[scope] = max(limits[scope], account.Limit)
		}
	}
	for scope, sum := range sums {
		n.quotaCheckCount++
		if sum > limits[scope]*(1+quotaTolerance) {
			n.addViolation(quotaExceeded, "all may use %.2f calls a second of destination %d%s, which takes %.2f",
				sum, scope.Destination, scope.Endpoint, limits[scope])
		}
	}
}

// addViolation notes a violation. The record has the first one of each kind.
func (n *fleetNetwork) addViolation(kind violation, format string, args ...any) {
	n.violations = append(n.violations, kind)
	if !n.recordedKinds[kind] {
		n.recordedKinds[kind] = true
		n.world.record(eventlog.Event{Kind: eventlog.RunInvalid, Cause: fmt.Sprintf(format, args...)})
	}
}
