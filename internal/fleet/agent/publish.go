package agent

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// A report is published when one of its rates has changed notably, but not before its publish interval is over. When
// a backlog or a warm-up begins or ends, or a Retry-After begins or changes, the report is published at once. That
// happens up to maxUrgentBurst times in a row, after which the report pauses for longer (GCRA, the generic cell rate
// algorithm). An unchanged report is published again after republishInterval, so that it does not decay at the other
// members.
const (
	// publishCheckInterval is how often the agent checks which reports are due.
	publishCheckInterval = 100 * time.Millisecond
	// minPublishInterval is the least time between two regular publications of one report. The interval is longer if
	// the reports of all members together would exceed gossip.MaxReportRate.
	minPublishInterval = 500 * time.Millisecond
	// publishIntervalRefresh is how often the publish interval is recomputed.
	publishIntervalRefresh = time.Second
	republishInterval      = loadreport.HalfLife / 2
	maxUrgentBurst         = 4

	// A rate has changed notably if it differs by more than minRelativeChange of the greater value and by more than
	// minAbsoluteChange a second.
	minRelativeChange = 0.1
	minAbsoluteChange = 0.05

	// maxScopeBytes is the greatest encoded size of a scope without its endpoint's name. maxReportBytes bounds the
	// encoded size of all scopes of a report, because a report must fit into one datagram.
	maxScopeBytes  = 42
	maxReportBytes = 1100
)

// publishedReport records the last publication of a report.
type publishedReport struct {
	_           struct{} `cbor:",toarray"`
	PublishedAt time.Duration
	NextRegular time.Duration // when the next regular publication may happen: the theoretical arrival time of GCRA
	Scopes      []loadreport.ScopeLoad
}

// publish returns the reports that are due, and records that they are published.
func (a *Agent) publish(now time.Duration) []loadreport.Report {
	var reports []loadreport.Report
	loads := a.loadsByReport(now)
	interval := a.publishInterval()
	for _, number := range a.reportNumbers(loads) {
		scopes := truncateScopes(loads[number])
		if !a.publishDue(number, scopes, interval) {
			continue
		}
		a.Sequence++
		report, err := a.reports.Publish(now, number, a.Sequence, scopes)
		if err != nil {
			// The table rejected the report, for example because a value is out of range, and counted it.
			continue
		}
		reports = append(reports, report)
		if len(scopes) == 0 {
			// An empty report is not published again: its expiry changes nothing for the other members.
			delete(a.Published, number)
			continue
		}
		a.Published[number] = publishedReport{
			PublishedAt: now,
			NextRegular: max(now, a.Published[number].NextRegular) + interval,
			Scopes:      scopes,
		}
	}
	return reports
}

// loadsByReport returns the loads of all scopes that are not idle, by the number of their report.
func (a *Agent) loadsByReport(now time.Duration) map[int][]loadreport.ScopeLoad {
	loads := map[int][]loadreport.ScopeLoad{}
	for scope, counter := range a.Counters {
		counter.decay(now)
		load := counter.load(scope, now)
		if load.Idle() {
			continue
		}
		number := loadreport.ReportNumber(scope.Destination)
		loads[number] = append(loads[number], load)
	}
	return loads
}

// reportNumbers returns the sorted numbers of the reports that have loads now or are in a.Published.
func (a *Agent) reportNumbers(loads map[int][]loadreport.ScopeLoad) []int {
	numbers := slices.Collect(maps.Keys(loads))
	for number := range a.Published {
		if _, ok := loads[number]; !ok {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

// publishInterval returns the time between two regular publications of a report. It is long enough for the reports of
// all members together to stay within gossip.MaxReportRate. A member that receives reports from only a part of the
// fleet counts only these, which is correct because it shares links only with that part.
func (a *Agent) publishInterval() time.Duration {
	if a.PublishInterval == 0 || a.Now >= a.PublishIntervalAt+publishIntervalRefresh {
		reportRate := gossip.MaxReportRate(len(a.Settings.Members))
		cycle := time.Duration(float64(a.reports.Count(a.Now)) / reportRate * float64(time.Second))
		a.PublishInterval = max(minPublishInterval, cycle)
		a.PublishIntervalAt = a.Now
	}
	return a.PublishInterval
}

// publishDue reports whether the report is due with the given scopes.
func (a *Agent) publishDue(number int, scopes []loadreport.ScopeLoad, interval time.Duration) bool {
	last, published := a.Published[number]
	if !published {
		// A member publishes at most loadreport.MaxReports reports. Further ones wait until others are idle.
		return len(scopes) > 0 && len(a.Published) < loadreport.MaxReports
	}
	if a.Now < last.NextRegular {
		return last.burstLeft(a.Now, interval) && last.urgentChange(scopes, a.Now)
	}
	return a.Now-last.PublishedAt >= max(republishInterval, interval) ||
		!slices.EqualFunc(scopes, last.Scopes, similarLoad) ||
		last.urgentChange(scopes, a.Now)
}

// burstLeft reports whether an urgent change may be published before the next regular publication. It allows
// maxUrgentBurst publications in a row, at least publishCheckInterval apart.
func (p publishedReport) burstLeft(now, interval time.Duration) bool {
	return now-p.PublishedAt >= publishCheckInterval && p.NextRegular-now <= (maxUrgentBurst-1)*interval
}

// urgentChange reports whether, since the report was published, a backlog or a warm-up has begun or ended or a
// Retry-After has begun or changed in one of the scopes.
func (p publishedReport) urgentChange(scopes []loadreport.ScopeLoad, now time.Duration) bool {
	return slices.ContainsFunc(scopes, func(load loadreport.ScopeLoad) bool {
		last := p.scope(load)
		return load.WarmingUp != last.WarmingUp ||
			(load.Backlog > 0) != (last.Backlog > 0) ||
			retryAfterChanged(load.RetryAfter, last.RetryAfter, now-p.PublishedAt)
	})
}

// scope returns the published load of the same scope, or the zero value if there is none.
func (p publishedReport) scope(load loadreport.ScopeLoad) loadreport.ScopeLoad {
	i := slices.IndexFunc(p.Scopes, func(other loadreport.ScopeLoad) bool { return compareScopes(load, other) == 0 })
	if i < 0 {
		return loadreport.ScopeLoad{}
	}
	return p.Scopes[i]
}

// retryAfterChanged reports whether a Retry-After ends at another time than the published one. current is what is
// left of it now, published is what was left at its publication, and elapsed is the time since then. Differences of
// up to 2*publishCheckInterval are ignored.
func retryAfterChanged(current, published, elapsed time.Duration) bool {
	if current <= 0 {
		return false
	}
	return published == 0 || (current-(published-elapsed)).Abs() > 2*publishCheckInterval
}

// similarLoad reports whether two loads are of the same scope and do not differ notably.
func similarLoad(current, published loadreport.ScopeLoad) bool {
	return compareScopes(current, published) == 0 &&
		!changedNotably(current.Demand, published.Demand) &&
		!changedNotably(current.Calls, published.Calls) &&
		!changedNotably(current.Rejections, published.Rejections) &&
		!changedNotably(current.Deliveries, published.Deliveries) &&
		!changedNotably(current.Failures, published.Failures) &&
		!changedNotably(float64(current.Backlog), float64(published.Backlog))
}

func changedNotably(a, b float64) bool {
	return math.Abs(a-b) > max(minAbsoluteChange, minRelativeChange*max(a, b))
}

func compareScopes(a, b loadreport.ScopeLoad) int {
	return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Endpoint, b.Endpoint))
}

// compareTraffic orders scopes by their traffic, the one with the most first.
func compareTraffic(a, b loadreport.ScopeLoad) int {
	return cmp.Or(cmp.Compare(b.Demand+b.Calls, a.Demand+a.Calls), compareScopes(a, b))
}

// truncateScopes drops the scopes with the least traffic if the report would not fit into a datagram or would exceed
// loadreport.MaxScopes. It returns the others sorted by scope.
func truncateScopes(scopes []loadreport.ScopeLoad) []loadreport.ScopeLoad {
	slices.SortFunc(scopes, compareTraffic)
	size := 0
	for i, load := range scopes {
		size += maxScopeBytes + len(load.Endpoint)
		if size > maxReportBytes || i == loadreport.MaxScopes {
			scopes = scopes[:i]
			break
		}
	}
	slices.SortFunc(scopes, compareScopes)
	return scopes
}
