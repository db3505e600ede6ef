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

// A report is published when a rate has changed notably, and not before its publish interval is over. If a Retry-After,
// a backlog or a warm-up begins or ends it is published at once, up to maxUrgentBurst times in a row, and then pauses
// for longer (GCRA). An unchanged report is published again after republishInterval, so that it does not decay at the
// other members.
const (
	// publishCheckInterval is how often the agent checks what is due.
	publishCheckInterval = 100 * time.Millisecond
	// minPublishInterval is the least time between two regular publications of one report. The interval is longer
	// where all members' reports together would take more than the links carry.
	minPublishInterval = 500 * time.Millisecond
	// publishIntervalRefresh is how often the interval is computed.
	publishIntervalRefresh = time.Second
	republishInterval      = loadreport.HalfLife / 2
	maxUrgentBurst         = 4

	// A rate has changed notably if it differs by minRelativeChange of the greater value, and by minAbsoluteChange a
	// second.
	minRelativeChange = 0.1
	minAbsoluteChange = 0.05

	// maxScopeBytes is what one scope takes on the wire at most, without its endpoint's name, and maxReportBytes what
	// the scopes of one report may take: a report must fit a datagram.
	maxScopeBytes  = 42
	maxReportBytes = 1100
)

// publishedReport is the last publication of a report.
type publishedReport struct {
	_           struct{} `cbor:",toarray"`
	PublishedAt time.Duration
	NextRegular time.Duration // the theoretical arrival time of GCRA: all publications so far are paid for by then
	Scopes      []loadreport.ScopeLoad
}

// publish returns the reports that are due.
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
			// The table counts it: a value of this relay's own that is out of range is not published.
			continue
		}
		reports = append(reports, report)
		if len(scopes) == 0 {
			// An empty report decays like any other, and there is nothing to repeat meanwhile.
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

// reportNumbers returns the numbers of the reports that have loads now or were published, in order.
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

// publishInterval is the time between two regular publications of a report, such that all reports of all members
// together take no more than the links carry. A member that receives from a part of the fleet alone knows only that
// part's reports, and it is with these that it shares links.
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
		// A member may have MaxReports at once: further destinations wait until others are idle.
		return len(scopes) > 0 && len(a.Published) < loadreport.MaxReports
	}
	if a.Now < last.NextRegular {
		return last.burstLeft(a.Now, interval) && last.urgentChange(scopes, a.Now)
	}
	return a.Now-last.PublishedAt >= max(republishInterval, interval) ||
		!slices.EqualFunc(scopes, last.Scopes, similarLoad) ||
		last.urgentChange(scopes, a.Now)
}

// burstLeft reports whether an urgent change may be published before the next regular publication. It bounds how many
// follow each other.
func (p publishedReport) burstLeft(now, interval time.Duration) bool {
	return now-p.PublishedAt >= publishCheckInterval && p.NextRegular-now <= (maxUrgentBurst-1)*interval
}

// urgentChange reports whether a Retry-After, a backlog or a warm-up has begun or ended in one of the scopes since the
// report was published.
func (p publishedReport) urgentChange(scopes []loadreport.ScopeLoad, now time.Duration) bool {
	return slices.ContainsFunc(scopes, func(load loadreport.ScopeLoad) bool {
		last := p.scope(load)
		return load.WarmingUp != last.WarmingUp ||
			(load.Backlog > 0) != (last.Backlog > 0) ||
			retryAfterChanged(load.RetryAfter, last.RetryAfter, now-p.PublishedAt)
	})
}

// scope returns the published load of the same scope, or none.
func (p publishedReport) scope(load loadreport.ScopeLoad) loadreport.ScopeLoad {
	i := slices.IndexFunc(p.Scopes, func(other loadreport.ScopeLoad) bool { return compareScopes(load, other) == 0 })
	if i < 0 {
		return loadreport.ScopeLoad{}
	}
	return p.Scopes[i]
}

// retryAfterChanged reports whether a Retry-After ends at another time than the one that was published elapsed ago.
func retryAfterChanged(current, published, elapsed time.Duration) bool {
	if current <= 0 {
		return false
	}
	return published == 0 || (current-(published-elapsed)).Abs() > 2*publishCheckInterval
}

// similarLoad reports whether two loads are of one scope and do not differ notably.
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

// compareTraffic orders the scopes with the most traffic first.
func compareTraffic(a, b loadreport.ScopeLoad) int {
	return cmp.Or(cmp.Compare(b.Demand+b.Calls, a.Demand+a.Calls), compareScopes(a, b))
}

// truncateScopes leaves out the scopes with the least traffic if a report would not fit a datagram, and returns the
// others in order.
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
