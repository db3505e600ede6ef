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
	// checkInterval is how often the reports and quotas that relays hold are checked.
	checkInterval = 500 * time.Millisecond
	// maxCheckedRelays bounds the relays whose report tables are checked.
	maxCheckedRelays = 20
	// ageTolerance is by how much a report's age may be below its true age, in addition to clock drift.
	ageTolerance = 400 * time.Millisecond
	// versionRetention is how long the publication time of a report version is kept.
	versionRetention = 2 * loadreport.MaxAge
	// quotaTolerance is the ratio by which a sum of quotas may exceed a limit because of rounding.
	quotaTolerance = 1e-6
)

// violation is a kind of false report or quota that relays must not hold.
type violation string

// The kinds of violation.
const (
	reportOfStranger  violation = "stranger" // a report by a member of another fleet
	impossibleFigure  violation = "bound"    // a report with a rate that no relay can have
	reportTooYoung    violation = "age"      // a report whose age is below its true age
	versionRolledBack violation = "back"     // a report that was replaced by an older version
	quotaExceeded     violation = "sum"      // quotas whose sum exceeds a limit
)

// fleetChecks holds the state of the checks of the reports and quotas that relays hold against their true values.
type fleetChecks struct {
	publishedAt     map[reportVersion]time.Duration
	reportNumber    map[reportVersion]int
	onUpdate        func(by *relay, version reportVersion) // called when a relay takes a new version; may be nil
	violations      []violation                            // every violation found, in order
	recordedKinds   map[violation]bool                     // kinds that are already in the record
	quotaCheckCount int
}

func newFleetChecks() fleetChecks {
	return fleetChecks{
		publishedAt:   map[reportVersion]time.Duration{},
		reportNumber:  map[reportVersion]int{},
		recordedKinds: map[violation]bool{},
	}
}

// published stores the time of a report's publication.
func (n *fleetNetwork) published(report *loadreport.Report) {
	version := versionOf(report)
	n.publishedAt[version] = n.world.Now()
	n.reportNumber[version] = report.Number
}

// updated calls onUpdate for a relay whose table took a new version of a report.
func (n *fleetNetwork) updated(by *relay, version reportVersion) {
	if n.onUpdate != nil {
		n.onUpdate(by, version)
	}
}

// checkAll checks the relays' report tables and quotas, records the age of the newest report that each relay holds of
// each other relay, and schedules the next check.
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

// checkMember checks the reports in a member's table, and records the member's view of each other relay.
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

// checkReport checks a report in a member's table: it belongs to the member's fleet, its call rates are possible under
// the limits, its age is not below its true age, and it does not replace a later version.
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

// checkAge checks that the age of a report is not below the time since its publication.
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

// checkQuotas checks for each limit that the sum of all relays' quotas at this moment does not exceed the limit. A
// relay's quota is the rate that it may use itself and the rate that it may grant to others.
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

// addViolation counts a violation. Only the first one of each kind is added to the record.
func (n *fleetNetwork) addViolation(kind violation, format string, args ...any) {
	n.violations = append(n.violations, kind)
	if !n.recordedKinds[kind] {
		n.recordedKinds[kind] = true
		n.world.record(eventlog.Event{Kind: eventlog.RunInvalid, Cause: fmt.Sprintf(format, args...)})
	}
}
