package loadreport

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// minAgeGain is how much younger than assumed a known report must be to be forwarded once more.
const minAgeGain = 250 * time.Millisecond

// MergeResult is what became of a report that was merged.
type MergeResult int

// The results.
const (
	Updated  MergeResult = iota // it is new, or much younger than assumed
	Known                       // it is known, and hardly younger than assumed
	Stale                       // a newer one is known
	Own                         // it is the table's own, of this incarnation or an earlier one
	Rival                       // it is of the own name, and of an incarnation that is not an earlier one
	Rejected                    // it cannot be right, or is one too many
)

// String returns the name of the result.
func (r MergeResult) String() string {
	names := [...]string{"updated", "known", "stale", "own", "rival", "rejected"}
	if r < 0 || int(r) >= len(names) {
		return fmt.Sprintf("MergeResult(%d)", int(r))
	}
	return names[r]
}

// Limits are the limits of the endpoint list, in calls a second from all relays, by destination and endpoint as in
// ScopeLoad.
type Limits map[policy.DestinationID]map[string]float64

// storedReport is a report as a Table keeps it.
type storedReport struct {
	sequence    uint64
	publishedAt time.Duration // the receiver's time at which it was published, at the earliest
	scopes      []ScopeLoad
}

func (r storedReport) expired(now time.Duration) bool { return now-r.publishedAt > MaxAge }

// age is 0 at least, also at a time before publishedAt.
func (r storedReport) age(now time.Duration) time.Duration { return max(0, now-r.publishedAt) }

// member is what a Table holds of one member.
type member struct {
	incarnation Incarnation
	reports     map[int]storedReport // by number
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

// Table holds the reports that one relay has received, and its own.
type Table struct {
	self        string
	incarnation Incarnation
	listed      map[string]bool
	members     map[string]*member
	limits      map[scopeKey]float64
	rejected    map[RejectReason]uint64
	rival       Incarnation
}

// New returns the table of a member that accepts the reports of those listed.
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

// SetIncarnation begins a new incarnation of the own member. The reports of the earlier one are dropped, here and by
// all who receive a report of the new one.
func (t *Table) SetIncarnation(incarnation Incarnation) {
	if incarnation.Compare(t.incarnation) > 0 {
		t.incarnation = incarnation
		delete(t.members, t.self)
	}
}

// Incarnation returns that of the own member.
func (t *Table) Incarnation() Incarnation { return t.incarnation }

// Rival returns the greatest incarnation received under the own name that is neither the own one nor an earlier one;
// the zero value if there is none.
func (t *Table) Rival() Incarnation { return t.rival }

// Merge takes a report that was received.
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

// mergeReport keeps the greater of a report and what is known of its member.
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
		// No relay publishes more in one incarnation, and it must not displace others' reports.
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

// mergeSameVersion merges two copies of one version that came on different ways. Neither age is less than the true one,
// so that the lesser is nearer to it. No relay publishes two contents under one version; if they differ all the same,
// all members keep the same one.
func (m *member) mergeSameVersion(number int, known, received storedReport) MergeResult {
	order := slices.CompareFunc(received.scopes, known.scopes, ScopeLoad.compare)
	if order >= 0 && received.publishedAt <= known.publishedAt {
		return Known
	}
	// One that is only a little younger is not forwarded: it would go round the fleet once more for nothing.
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

// Publish puts a report of the own member into the table, as of now, and returns it as it is to be sent. Sequence must
// grow with each report.
func (t *Table) Publish(now time.Duration, number int, sequence uint64, scopes []ScopeLoad) (Report, error) {
	r := Report{Name: t.self, Incarnation: t.incarnation, Number: number, Sequence: sequence, Scopes: scopes}
	if err := t.validate(&r); err != nil {
		t.rejected[err.Reason]++
		return Report{}, err
	}
	if t.mergeReport(now, r) != Updated {
		return Report{}, rejectf(TooManyReports, "report %d is not published", number)
	}
	return r, nil
}

// Restore takes a report of the own member that was published already.
func (t *Table) Restore(now time.Duration, r Report) MergeResult {
	if r.Name != t.self || r.Incarnation != t.incarnation || t.validate(&r) != nil {
		return Rejected
	}
	return t.mergeReport(now, r)
}

// Get returns a report with its age now.
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

// Each calls f with each report that has not expired, by name and number.
func (t *Table) Each(now time.Duration, f func(Report)) {
	for _, name := range sortedKeys(t.members) {
		for _, number := range sortedKeys(t.members[name].reports) {
			if r, ok := t.Get(now, name, number); ok {
				f(r)
			}
		}
	}
}

// sortedKeys allocates once, which slices.Sorted of an iterator does not.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// Count returns how many reports have not expired.
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

// RemoveExpired drops expired reports.
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

// MemberStats says how much a table holds of a member.
type MemberStats struct {
	Name        string        `json:"name"`
	Incarnation Incarnation   `json:"life"`
	Reports     int           `json:"pages"`
	Scopes      int           `json:"cells"`
	Age         time.Duration `json:"age"` // of its youngest report, in nanoseconds
}

// Stats returns those of all members, by name, and how many reports were rejected, by reason.
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
