package loadreport

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// minAgeGain is the least decrease of a known report's age that makes a received copy count as Updated, so that it is
// forwarded again.
const minAgeGain = 250 * time.Millisecond

// MergeResult is the result of merging a report into a Table.
type MergeResult int

// The results of merging a report.
const (
	Updated  MergeResult = iota // the report is new, or its age is notably less than that of the known copy
	Known                       // the report is known, and its age is about that of the known copy or greater
	Stale                       // a newer report is known
	Own                         // the report is the own member's, of its current incarnation or an earlier one
	Rival                       // the report has the own member's name, but a later incarnation
	Rejected                    // the report is invalid, or exceeds MaxReports
)

// String returns the name of the result.
func (r MergeResult) String() string {
	names := [...]string{"updated", "known", "stale", "own", "rival", "rejected"}
	if r < 0 || int(r) >= len(names) {
		return fmt.Sprintf("MergeResult(%d)", int(r))
	}
	return names[r]
}

// Limits holds the limits of the endpoint list, in calls a second from all relays together, by destination and endpoint
// as in ScopeLoad.
type Limits map[policy.DestinationID]map[string]float64

// storedReport is a report in a Table.
type storedReport struct {
	sequence    uint64
	publishedAt time.Duration // earliest time, on the receiver's clock, at which it can have been published
	scopes      []ScopeLoad
}

func (r storedReport) expired(now time.Duration) bool { return now-r.publishedAt > MaxAge }

// age returns the age of the report, which is 0 if now is before publishedAt.
func (r storedReport) age(now time.Duration) time.Duration { return max(0, now-r.publishedAt) }

// member holds the reports of one member's latest known incarnation.
type member struct {
	incarnation Incarnation
	reports     map[int]storedReport // by report number
}

type scopeKey struct {
	destination policy.DestinationID
	endpoint    string
}

func (k scopeKey) compare(other scopeKey) int {
	if order := cmp.Compare(k.destination, other.destination); order != 0 {
		return order
	}
	return cmp.Compare(k.endpoint, other.endpoint)
}

// Table holds a relay's own reports and those that it has received from other members.
type Table struct {
	self        string
	incarnation Incarnation
	listed      map[string]bool
	members     map[string]*member
	limits      map[scopeKey]float64
	rejected    map[RejectReason]uint64
	rival       Incarnation
}

// New returns the table of member self, which accepts only reports of itself and of the listed members.
func New(self string, incarnation Incarnation, listed []string) *Table {
	t := &Table{
		self:        self,
		incarnation: incarnation,
		listed:      map[string]bool{self: true},
		members:     map[string]*member{},
		limits:      map[scopeKey]float64{},
		rejected:    map[RejectReason]uint64{},
	}
	for _, name := range listed {
		t.listed[name] = true
	}
	return t
}

// SetLimits replaces all limits.
func (t *Table) SetLimits(limits Limits) {
	clear(t.limits)
	for destination, endpoints := range limits {
		for endpoint, limit := range endpoints {
			t.limits[scopeKey{destination, endpoint}] = limit
		}
	}
}

// SetIncarnation begins a new incarnation of the own member and drops the reports of the earlier one. Other members
// drop them when they receive a report of the new incarnation.
func (t *Table) SetIncarnation(incarnation Incarnation) {
	if incarnation.Compare(t.incarnation) > 0 {
		t.incarnation = incarnation
		delete(t.members, t.self)
	}
}

// Incarnation returns the own member's incarnation.
func (t *Table) Incarnation() Incarnation { return t.incarnation }

// Rival returns the greatest incarnation received under the own member's name that was later than the own incarnation
// at that time. It returns the zero value if there is none.
func (t *Table) Rival() Incarnation { return t.rival }

// Merge merges a received report into the table.
func (t *Table) Merge(now time.Duration, r Report) (MergeResult, error) {
	if err := t.validate(&r); err != nil {
		t.rejected[err.Reason]++
		return Rejected, err
	}
	if r.Name != t.self {
		return t.mergeReport(now, r), nil
	}
	if t.incarnation.Compare(r.Incarnation) >= 0 {
		return Own, nil
	}
	if t.rival.Compare(r.Incarnation) < 0 {
		t.rival = r.Incarnation
	}
	return Rival, nil
}

// mergeReport stores a report if it is newer than the known one of the same member and number.
func (t *Table) mergeReport(now time.Duration, r Report) MergeResult {
	m := t.members[r.Name]
	if m == nil {
		m = &member{incarnation: r.Incarnation, reports: map[int]storedReport{}}
		t.members[r.Name] = m
	}
	switch order := m.incarnation.Compare(r.Incarnation); {
	case order > 0:
		return Stale
	case order < 0:
		m.incarnation = r.Incarnation
		clear(m.reports)
	}
	received := storedReport{r.Sequence, now - r.Age, r.Scopes}
	known, ok := m.reports[r.Number]
	switch {
	case !ok && len(m.reports) >= MaxReports:
		// No relay publishes more reports at a time, since its own table rejects them too. A surplus report must not
		// displace others.
		t.rejected[TooManyReports]++
		return Rejected
	case !ok || received.sequence > known.sequence:
		m.reports[r.Number] = received
		return Updated
	case received.sequence < known.sequence:
		return Stale
	default:
		return m.mergeSameVersion(r.Number, known, received)
	}
}

// mergeSameVersion merges two copies of one version that have arrived by different routes. Neither age is less than the
// true one, so the lesser age is closer to it. A relay never publishes two contents under one version. If the contents
// differ nevertheless, all members keep the lesser one by ScopeLoad.compare.
func (m *member) mergeSameVersion(number int, known, received storedReport) MergeResult {
	order := slices.CompareFunc(received.scopes, known.scopes, ScopeLoad.compare)
	if order >= 0 && received.publishedAt <= known.publishedAt {
		return Known
	}
	// A copy that is only slightly younger does not count as updated. Otherwise it would be forwarded through the fleet
	// again without benefit.
	updated := order < 0 || received.publishedAt-known.publishedAt >= minAgeGain
	received.publishedAt = max(received.publishedAt, known.publishedAt)
	if order > 0 {
		received.scopes = known.scopes
	}
	m.reports[number] = received
	if !updated {
		return Known
	}
	return Updated
}

// Publish adds a report of the own member with age 0 to the table, and returns the report for sending. The sequence
// must grow with each report.
func (t *Table) Publish(now time.Duration, number int, sequence uint64, scopes []ScopeLoad) (Report, error) {
	r := Report{Name: t.self, Incarnation: t.incarnation, Number: number, Sequence: sequence, Scopes: scopes}
	if err := t.validate(&r); err != nil {
		t.rejected[err.Reason]++
		return Report{}, err
	}
	if t.mergeReport(now, r) != Updated {
		return Report{}, rejectf(TooManyReports, "own report %d cannot be added to the table", number)
	}
	return r, nil
}

// Restore adds to the table a report of the own member that was published already.
func (t *Table) Restore(now time.Duration, r Report) MergeResult {
	if r.Name != t.self || r.Incarnation != t.incarnation || t.validate(&r) != nil {
		return Rejected
	}
	return t.mergeReport(now, r)
}

// Get returns a report with its current age, if the table holds it and it has not expired.
func (t *Table) Get(now time.Duration, name string, number int) (Report, bool) {
	m := t.members[name]
	if m == nil {
		return Report{}, false
	}
	stored, ok := m.reports[number]
	if !ok || stored.expired(now) {
		return Report{}, false
	}
	return Report{name, m.incarnation, number, stored.sequence, stored.age(now), stored.scopes}, true
}

// Each calls f for each report that has not expired, in order of name and number.
func (t *Table) Each(now time.Duration, f func(Report)) {
	for _, name := range sortedKeys(t.members) {
		for _, number := range sortedKeys(t.members[name].reports) {
			if r, ok := t.Get(now, name, number); ok {
				f(r)
			}
		}
	}
}

// sortedKeys returns the sorted keys of a map. It allocates only once, unlike slices.Sorted(maps.Keys(m)).
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Count returns the number of reports that have not expired.
func (t *Table) Count(now time.Duration) (n int) {
	for _, m := range t.members {
		for _, stored := range m.reports {
			if !stored.expired(now) {
				n++
			}
		}
	}
	return n
}

// RemoveExpired drops expired reports, and members that have no other reports.
func (t *Table) RemoveExpired(now time.Duration) {
	for name, m := range t.members {
		for number, stored := range m.reports {
			if stored.expired(now) {
				delete(m.reports, number)
			}
		}
		if len(m.reports) == 0 {
			delete(t.members, name)
		}
	}
}

// MemberStats describes the reports that a table holds of one member.
type MemberStats struct {
	Name        string        `json:"name"`
	Incarnation Incarnation   `json:"life"`
	Reports     int           `json:"pages"`
	Scopes      int           `json:"cells"`
	Age         time.Duration `json:"age"` // age of the youngest report, in nanoseconds
}

// Stats returns the statistics of all members, sorted by name, and the number of rejected reports by reason.
func (t *Table) Stats(now time.Duration) (members []MemberStats, rejected map[RejectReason]uint64) {
	for _, name := range sortedKeys(t.members) {
		m := t.members[name]
		stats := MemberStats{Name: name, Incarnation: m.incarnation, Age: MaxAge}
		for _, stored := range m.reports {
			stats.Reports++
			stats.Scopes += len(stored.scopes)
			stats.Age = min(stats.Age, stored.age(now))
		}
		members = append(members, stats)
	}
	return members, maps.Clone(t.rejected)
}
