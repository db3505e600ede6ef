// Package ledger holds what the relays of a fleet tell of themselves, by destination and route. It is pure: no clock,
// no I/O, no random numbers. All times are the hearer's own monotonic time; what travels are ages.
//
// A ledger is a join-semilattice. Of each member it keeps the life that is greatest (incarnation, then boot), and of
// that life, for each page, the greatest sequence; of one version heard twice the lesser age, since each that is heard
// is a bound from above (Transit). Merging is therefore commutative, associative and idempotent, whatever is lost,
// doubled or late on the way (property tests). What is heard fades with its age, without a step, and is dropped when
// next to nothing is left of it.
package loadreport

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	reportShift = 2 // destinations n<<reportShift to (n+1)<<reportShift-1 share page n
	// MaxScopes bounds the cells of a page, MaxReports the pages of a member: so many must be kept for each.
	MaxScopes         = 24
	MaxReports        = 64
	maxNameLength     = 64  // bytes of a member's name
	maxEndpointLength = 128 // bytes of a route's name

	// HalfLife is the time in which what was heard loses half of its weight.
	HalfLife = 5 * time.Second
	// MaxAge is the age at which it is dropped: less than a thousandth is left of it then.
	MaxAge     = 10 * HalfLife
	minAgeGain = 250 * time.Millisecond // so much younger than it was held to be, a page is told on once more

	// Multiple bounds a rate by what the list tells of a destination, MaxRate one of which it tells nothing. A relay
	// tells its own part: more than so many times what the destination takes from all is no relay's traffic but a
	// mistake.
	MaxRateMultiple = 20
	MaxRate         = 1e5
	minLimit        = 1.0 // calls a second that any destination is taken to bear
	maxBacklog      = 1 << 20
	maxRetryAfter   = time.Hour
	maxSequence     = math.MaxUint64 / 2 // a sequence or incarnation beyond it would leave no room for a greater one
)

// ReportNumber is the page of a destination.
func ReportNumber(dest int) int { return dest >> reportShift }

// ScopeLoad is what a relay tells of a destination, or of a route that stands apart there. Rates are a second.
type ScopeLoad struct {
	Destination int           `cbor:"Dest"`
	Endpoint    string        `cbor:"Route"` // "": all routes of the destination share one limit
	Demand      float64       `cbor:"Demand"`
	Calls       float64       `cbor:"Calls"`
	Rejections  float64       `cbor:"Refusals"`
	Deliveries  float64       `cbor:"Deliveries"`
	Failures    float64       `cbor:"Failures"` // outcomes that were neither a delivery nor a refusal
	Backlog     int           `cbor:"Backlog"`  // messages waiting
	RetryAfter  time.Duration `cbor:"Wait"`     // told to the relay, and left of it at the page's age 0
	WarmingUp   bool          `cbor:"Cold"`     // the relay holds it to be cold or in an outage
}

func (c ScopeLoad) rates() [5]float64 {
	return [...]float64{c.Demand, c.Calls, c.Rejections, c.Deliveries, c.Failures}
}

// Idle tells whether a cell tells nothing.
func (c ScopeLoad) Idle() bool {
	return c.rates() == [5]float64{} && c.Backlog == 0 && c.RetryAfter == 0 && !c.WarmingUp
}

func (c ScopeLoad) compare(o ScopeLoad) int {
	a, b := c.rates(), o.rates()
	cold := func(x bool) int {
		if x {
			return 1
		}
		return 0
	}
	return cmp.Or(
		cmp.Compare(c.Destination, o.Destination),
		cmp.Compare(c.Endpoint, o.Endpoint),
		slices.Compare(a[:], b[:]),
		cmp.Compare(
			c.Backlog,
			o.Backlog,
		),
		cmp.Compare(c.RetryAfter, o.RetryAfter),
		cmp.Compare(cold(c.WarmingUp), cold(o.WarmingUp)),
	)
}

// Incarnation is one run of a member's process. Incarnations grow with each start; boots tell processes of one
// incarnation apart, such as two that were started under one name by mistake.
type Incarnation struct {
	Generation uint64 `json:"Incarnation" cbor:"Incarnation"`
	Boot       uint32 `json:"Boot" cbor:"Boot"`
}

// Compare orders lives.
func (l Incarnation) Compare(o Incarnation) int {
	return cmp.Or(cmp.Compare(l.Generation, o.Generation), cmp.Compare(l.Boot, o.Boot))
}

// Report is what a member tells of the destinations of one page, whole: a newer one takes the place of an older one.
type Report struct {
	Name string `cbor:"Name"`
	Incarnation
	Number   int           `cbor:"Number"`
	Sequence uint64        `cbor:"Sequence"` // within the life, over all pages
	Age      time.Duration `cbor:"Age"`
	Scopes   []ScopeLoad   `cbor:"Cells"` // by destination and route; none: nothing is to be told
}

// MergeResult is what became of a page that was merged.
type MergeResult int

// The outcomes.
const (
	Updated MergeResult = iota // it is new, or much younger than its version was held to be
	Known                      // or hardly younger than it was held to be
	Stale
	Own      // of the ledger's own member, of this life or one before it
	Rival    // of the own member's name, and of a life that is not before this one
	Rejected // it cannot be, and the error says why
)

// RejectReason is why a page was refused.
type RejectReason string

// The reasons.
const (
	UnlistedMember RejectReason = "unlisted name"
	Malformed      RejectReason = "malformed"
	OutOfRange     RejectReason = "absurd figure"
	TooManyReports RejectReason = "too many pages"
	Expired        RejectReason = "too old"
)

// RejectedError tells why a page was refused.
type RejectedError struct {
	RejectReason
	Detail string
}

func (e *RejectedError) Error() string {
	return fmt.Sprintf("ledger: %s: %s", e.RejectReason, e.Detail)
}

type storedReport struct {
	sequence    uint64
	publishedAt time.Duration // the hearer's time at which it was told, or before it was
	scopes      []ScopeLoad
}

type member struct {
	Incarnation
	reports map[int]storedReport
}

type scopeKey struct {
	destination int
	endpoint    string
}

// Table is what one relay holds.
type Table struct {
	self        string
	incarnation Incarnation
	listed      map[string]bool
	members     map[string]*member
	limits      map[scopeKey]float64
	rejected    map[RejectReason]uint64
	rival       Incarnation // the greatest heard under the own name that is not the own
}

// New returns the ledger of a member that hears those listed.
func New(self string, life Incarnation, listed []string) *Table {
	l := &Table{
		self: self, incarnation: life, listed: map[string]bool{self: true}, members: map[string]*member{}, limits: map[scopeKey]float64{}, rejected: map[RejectReason]uint64{},
	}
	for _, n := range listed {
		l.listed[n] = true
	}
	return l
}

// Limits are what the list tells of destinations, in calls a second from all relays, by destination and route as in
// Cell.
type Limits map[int]map[string]float64

// SetLimits takes what the list tells, whole.
func (l *Table) SetLimits(limits Limits) {
	clear(l.limits)
	for dest, routes := range limits {
		for route, x := range routes {
			l.limits[scopeKey{dest, route}] = x
		}
	}
}

// SetIncarnation begins a new life of the own member. What it told before is forgotten, here and by all who hear the
// new one.
func (l *Table) SetIncarnation(life Incarnation) {
	if life.Compare(l.incarnation) > 0 {
		l.incarnation = life
		delete(l.members, l.self)
	}
}

// Incarnation is the own one; Rival the greatest that was heard under the own name beside it.
func (l *Table) Incarnation() Incarnation { return l.incarnation }

// Rival is the greatest life that was heard under the own name and is not this one or one before it; zero: none.
func (l *Table) Rival() Incarnation { return l.rival }

// Merge takes a page that was heard.
func (l *Table) Merge(now time.Duration, p Report) (MergeResult, error) {
	if err := l.validate(p); err != nil {
		l.rejected[err.RejectReason]++
		return Rejected, err
	}
	if p.Name == l.self && p.Incarnation != l.incarnation {
		if p.Incarnation.Compare(l.incarnation) < 0 {
			return Own, nil
		}
		if p.Incarnation.Compare(l.rival) > 0 {
			l.rival = p.Incarnation
		}
		return Rival, nil
	}
	if p.Name == l.self {
		return Own, nil
	}
	return l.mergeReport(now, p), nil
}

func (l *Table) mergeReport(now time.Duration, p Report) MergeResult {
	m := l.members[p.Name]
	if m == nil {
		m = &member{Incarnation: p.Incarnation, reports: map[int]storedReport{}}
		l.members[p.Name] = m
	}
	switch c := p.Incarnation.Compare(m.Incarnation); {
	case c < 0:
		return Stale
	case c > 0:
		m.Incarnation = p.Incarnation
		clear(m.reports)
	}
	e := storedReport{p.Sequence, now - p.Age, p.Scopes}
	old, ok := m.reports[p.Number]
	if !ok && len(m.reports) >= MaxReports {
		l.rejected[TooManyReports]++ // a member tells no more pages of one life, and no other takes its room
		return Rejected
	}
	switch {
	case !ok || e.sequence > old.sequence:
	case e.sequence < old.sequence:
		return Stale
	default:
		// One version heard on two ways: neither age is less than the true one, so that the lesser is nearer to it. Two
		// contents under one version are no relay's doing; all keep the same one.
		c := slices.CompareFunc(e.scopes, old.scopes, ScopeLoad.compare)
		if c >= 0 && e.publishedAt <= old.publishedAt {
			return Known
		}
		// A little younger is no news: told on, it would go round once more for nothing.
		news := c < 0 || e.publishedAt-old.publishedAt >= minAgeGain
		e.publishedAt = max(e.publishedAt, old.publishedAt)
		if c > 0 {
			e.scopes = old.scopes
		}
		if m.reports[p.Number] = e; !news {
			return Known
		}
	}
	m.reports[p.Number] = e
	return Updated
}

func (l *Table) validate(p Report) *RejectedError {
	bad := func(r RejectReason, format string, args ...any) *RejectedError {
		return &RejectedError{r, fmt.Sprintf(format, args...)}
	}
	switch {
	case len(p.Name) > maxNameLength || !l.listed[p.Name]:
		return bad(UnlistedMember, "%.64q", p.Name)
	case p.Generation == 0 || p.Generation > maxSequence || p.Sequence == 0 || p.Sequence > maxSequence || p.Number < 0 || len(p.Scopes) > MaxScopes:
		return bad(
			Malformed,
			"%s: incarnation %d, sequence %d, page %d of %d cells",
			p.Name,
			p.Generation,
			p.Sequence,
			p.Number,
			len(p.Scopes),
		)
	case p.Age < 0:
		return bad(OutOfRange, "%s: age %v", p.Name, p.Age)
	case p.Age > MaxAge:
		return bad(Expired, "%s: age %v", p.Name, p.Age)
	}
	for i, c := range p.Scopes {
		if c.Destination < 0 || ReportNumber(c.Destination) != p.Number || len(c.Endpoint) > maxEndpointLength {
			return bad(Malformed, "%s: destination %d on page %d", p.Name, c.Destination, p.Number)
		}
		if i > 0 &&
			cmp.Or(
				cmp.Compare(c.Destination, p.Scopes[i-1].Destination),
				cmp.Compare(c.Endpoint, p.Scopes[i-1].Endpoint),
			) <= 0 {
			return bad(Malformed, "%s: cells of page %d are not in order", p.Name, p.Number)
		}
		most := MaxRate
		if limit, ok := l.limits[scopeKey{c.Destination, c.Endpoint}]; ok {
			most = MaxRateMultiple * max(minLimit, limit)
		}
		for _, x := range c.rates() {
			if !(x >= 0 && x <= most) { // also what is no number
				return bad(OutOfRange, "%s: %g a second at destination %d, %g at most", p.Name, x, c.Destination, most)
			}
		}
		if c.Backlog < 0 || c.Backlog > maxBacklog || c.RetryAfter < 0 || c.RetryAfter > maxRetryAfter {
			return bad(
				OutOfRange,
				"%s: backlog %d, wait %v at destination %d",
				p.Name,
				c.Backlog,
				c.RetryAfter,
				c.Destination,
			)
		}
	}
	return nil
}

// Publish puts a page of the own member into the ledger, as of now, and returns it as it is to be told. Sequence must
// grow.
func (l *Table) Publish(now time.Duration, number int, sequence uint64, cells []ScopeLoad) (Report, error) {
	p := Report{Name: l.self, Incarnation: l.incarnation, Number: number, Sequence: sequence, Scopes: cells}
	if err := l.validate(p); err != nil {
		l.rejected[err.RejectReason]++
		return Report{}, err
	}
	if l.mergeReport(now, p) != Updated {
		return Report{}, &RejectedError{TooManyReports, fmt.Sprintf("page %d is not told", number)}
	}
	return p, nil
}

// Restore takes a page of the own member that was told already.
func (l *Table) Restore(now time.Duration, p Report) MergeResult {
	if p.Name != l.self || p.Incarnation != l.incarnation || l.validate(p) != nil {
		return Rejected
	}
	return l.mergeReport(now, p)
}

// Get returns a page with its age now.
func (l *Table) Get(now time.Duration, name string, number int) (Report, bool) {
	m := l.members[name]
	if m == nil {
		return Report{}, false
	}
	e, ok := m.reports[number]
	if !ok || now-e.publishedAt > MaxAge {
		return Report{}, false
	}
	return Report{name, m.Incarnation, number, e.sequence, max(0, now-e.publishedAt), e.scopes}, true
}

// Each calls f with each page that has not aged out, by name and number.
func (l *Table) Each(now time.Duration, f func(Report)) {
	for _, name := range sortedKeys(l.members) {
		for _, n := range sortedKeys(l.members[name].reports) {
			if p, ok := l.Get(now, name, n); ok {
				f(p)
			}
		}
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Count is how many pages it holds that have not aged out.
func (l *Table) Count(now time.Duration) (n int) {
	for _, m := range l.members {
		for _, e := range m.reports {
			if now-e.publishedAt <= MaxAge {
				n++
			}
		}
	}
	return n
}

// RemoveExpired drops what has aged out.
func (l *Table) RemoveExpired(now time.Duration) {
	for name, m := range l.members {
		for n, e := range m.reports {
			if now-e.publishedAt > MaxAge {
				delete(m.reports, n)
			}
		}
		if len(m.reports) == 0 {
			delete(l.members, name)
		}
	}
}

// DecayWeight is how much of a figure is left at an age: half after each HalfLife.
func DecayWeight(age time.Duration) float64 {
	return math.Exp2(-max(0, age.Seconds()) / HalfLife.Seconds())
}

// Aggregate is what all others together tell of a destination or a route of it, each figure by the weight of its age.
type Aggregate struct {
	ScopeLoad                // Route and Dest as asked; Wait: the longest that is left; Cold: that of any
	WarmingUpMembers float64 // how many hold it to be cold
	Members          float64 // how many tell of it
}

// AggregateOthers sums up what the other members tell.
func (l *Table) AggregateOthers(now time.Duration, dest int, route string) Aggregate {
	s := Aggregate{ScopeLoad: ScopeLoad{Destination: dest, Endpoint: route}}
	backlog := 0.0
	for _, name := range sortedKeys(l.members) { // in one order: sums of floats must be the same wherever they are made
		e, ok := l.members[name].reports[ReportNumber(dest)]
		if name == l.self || !ok || now-e.publishedAt > MaxAge {
			continue
		}
		i, ok := slices.BinarySearchFunc(e.scopes, scopeKey{dest, route}, func(c ScopeLoad, at scopeKey) int {
			return cmp.Or(cmp.Compare(c.Destination, at.destination), cmp.Compare(c.Endpoint, at.endpoint))
		})
		if !ok {
			continue
		}
		c, age := e.scopes[i], now-e.publishedAt
		w := DecayWeight(age)
		s.Members += w
		s.Demand += w * c.Demand
		s.Calls += w * c.Calls
		s.Rejections += w * c.Rejections
		s.Deliveries += w * c.Deliveries
		s.Failures += w * c.Failures
		backlog += w * float64(c.Backlog)
		s.RetryAfter = max(s.RetryAfter, c.RetryAfter-max(0, age))
		if c.WarmingUp {
			s.WarmingUp, s.WarmingUpMembers = true, s.WarmingUpMembers+w
		}
	}
	s.Backlog = int(math.Round(backlog))
	return s
}

// Digest tells the versions that a ledger holds, for another to find what it lacks.
type Digest map[string]MemberVersions

// MemberVersions are those of one member's pages.
type MemberVersions struct {
	Incarnation
	Sequences map[int]uint64 // sequences by number
}

// Digest returns that of what has not aged out.
func (l *Table) Digest(now time.Duration) Digest {
	d := Digest{}
	for name, m := range l.members {
		v := MemberVersions{m.Incarnation, make(map[int]uint64, len(m.reports))}
		for n, e := range m.reports {
			if now-e.publishedAt <= MaxAge {
				v.Sequences[n] = e.sequence
			}
		}
		d[name] = v
	}
	return d
}

// MissingFrom returns what the ledger that a digest is of lacks, youngest first.
func (l *Table) MissingFrom(now time.Duration, d Digest) (pages []Report) {
	l.Each(now, func(p Report) {
		v, ok := d[p.Name]
		if c := p.Incarnation.Compare(v.Incarnation); !ok || c > 0 || c == 0 && p.Sequence > v.Sequences[p.Number] {
			pages = append(pages, p)
		}
	})
	slices.SortStableFunc(pages, func(a, b Report) int { return cmp.Compare(a.Age, b.Age) })
	return pages
}

// MemberStats tells how much a ledger holds of a member.
type MemberStats struct {
	Name        string        `json:"name"`
	Incarnation Incarnation   `json:"life"`
	Reports     int           `json:"pages"`
	Scopes      int           `json:"cells"`
	Age         time.Duration `json:"age"` // of its youngest page; in ns
}

// Stats tells of all members, by name, and what was refused, by reason.
func (l *Table) Stats(now time.Duration) (members []MemberStats, refused map[RejectReason]uint64) {
	for _, name := range sortedKeys(l.members) {
		m := l.members[name]
		s := MemberStats{Name: name, Incarnation: m.Incarnation, Age: MaxAge}
		for _, e := range m.reports {
			s.Reports++
			s.Scopes += len(e.scopes)
			s.Age = min(s.Age, max(0, now-e.publishedAt))
		}
		members = append(members, s)
	}
	refused = map[RejectReason]uint64{}
	for r, n := range l.rejected {
		refused[r] = n
	}
	return members, refused
}
