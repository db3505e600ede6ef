// Package ledger holds what the relays of a fleet tell of themselves, by destination and route. It is pure: no clock, no
// I/O, no random numbers. All times are the hearer's own monotonic time; what travels are ages.
//
// A ledger is a join-semilattice. Of each member it keeps the life that is greatest (incarnation, then boot), and of that life,
// for each page, the greatest sequence; of one version heard twice the lesser age, since each that is heard is a bound from above
// (Transit). Merging is therefore commutative, associative and idempotent, whatever is lost, doubled or late on the way (property tests). What is heard fades with its age,
// without a step, and is dropped when next to nothing is left of it.
package loadreport

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	pageShift = 2 // destinations n<<pageShift to (n+1)<<pageShift-1 share page n
	// CellsMost bounds the cells of a page, PagesMost the pages of a member: so many must be kept for each.
	CellsMost = 24
	PagesMost = 64
	nameMost  = 64  // bytes of a member's name
	routeMost = 128 // bytes of a route's name

	// HalfLife is the time in which what was heard loses half of its weight.
	HalfLife = 5 * time.Second
	// AgeMost is the age at which it is dropped: less than a thousandth is left of it then.
	AgeMost = 10 * HalfLife
	ageNews = 250 * time.Millisecond // so much younger than it was held to be, a page is told on once more

	// Multiple bounds a rate by what the list tells of a destination, RateMost one of which it tells nothing. A relay tells
	// its own part: more than so many times what the destination takes from all is no relay's traffic but a mistake.
	Multiple    = 20
	RateMost    = 1e5
	leastLimit  = 1.0 // calls a second that any destination is taken to bear
	backlogMost = 1 << 20
	waitMost    = time.Hour
	sequenceMax = math.MaxUint64 / 2 // a sequence or incarnation beyond it would leave no room for a greater one
)

// PageOf is the page of a destination.
func PageOf(dest int) int { return dest >> pageShift }

// Cell is what a relay tells of a destination, or of a route that stands apart there. Rates are a second.
type Cell struct {
	Dest       int           `cbor:"Dest"`
	Route      string        `cbor:"Route"` // "": all routes of the destination share one limit
	Demand     float64       `cbor:"Demand"`
	Calls      float64       `cbor:"Calls"`
	Refusals   float64       `cbor:"Refusals"`
	Deliveries float64       `cbor:"Deliveries"`
	Failures   float64       `cbor:"Failures"` // outcomes that were neither a delivery nor a refusal
	Backlog    int           `cbor:"Backlog"`  // messages waiting
	Wait       time.Duration `cbor:"Wait"`     // told to the relay, and left of it at the page's age 0
	Cold       bool          `cbor:"Cold"`     // the relay holds it to be cold or in an outage
}

func (c Cell) rates() [5]float64 {
	return [...]float64{c.Demand, c.Calls, c.Refusals, c.Deliveries, c.Failures}
}

// Idle tells whether a cell tells nothing.
func (c Cell) Idle() bool {
	return c.rates() == [5]float64{} && c.Backlog == 0 && c.Wait == 0 && !c.Cold
}

func (c Cell) compare(o Cell) int {
	a, b := c.rates(), o.rates()
	cold := func(x bool) int {
		if x {
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(c.Dest, o.Dest), cmp.Compare(c.Route, o.Route), slices.Compare(a[:], b[:]),
		cmp.Compare(c.Backlog, o.Backlog), cmp.Compare(c.Wait, o.Wait), cmp.Compare(cold(c.Cold), cold(o.Cold)))
}

// Life is one run of a member's process. Incarnations grow with each start; boots tell processes of one incarnation apart,
// such as two that were started under one name by mistake.
type Life struct {
	Incarnation uint64 `json:"Incarnation" cbor:"Incarnation"`
	Boot        uint32 `json:"Boot" cbor:"Boot"`
}

// Compare orders lives.
func (l Life) Compare(o Life) int {
	return cmp.Or(cmp.Compare(l.Incarnation, o.Incarnation), cmp.Compare(l.Boot, o.Boot))
}

// Page is what a member tells of the destinations of one page, whole: a newer one takes the place of an older one.
type Page struct {
	Name string `cbor:"Name"`
	Life
	Number   int           `cbor:"Number"`
	Sequence uint64        `cbor:"Sequence"` // within the life, over all pages
	Age      time.Duration `cbor:"Age"`
	Cells    []Cell        `cbor:"Cells"` // by destination and route; none: nothing is to be told
}

// Outcome is what became of a page that was merged.
type Outcome int

// The outcomes.
const (
	Changed Outcome = iota // it is new, or much younger than its version was held to be
	Known                  // or hardly younger than it was held to be
	Older
	Own     // of the ledger's own member, of this life or one before it
	Rival   // of the own member's name, and of a life that is not before this one
	Refused // it cannot be, and the error says why
)

// Reason is why a page was refused.
type Reason string

// The reasons.
const (
	Unlisted Reason = "unlisted name"
	BadForm  Reason = "malformed"
	Absurd   Reason = "absurd figure"
	TooMany  Reason = "too many pages"
	TooOld   Reason = "too old"
)

// Error tells why a page was refused.
type Error struct {
	Reason
	Detail string
}

func (e *Error) Error() string { return fmt.Sprintf("ledger: %s: %s", e.Reason, e.Detail) }

type entry struct {
	sequence uint64
	told     time.Duration // the hearer's time at which it was told, or before it was
	cells    []Cell
}

type member struct {
	Life
	pages map[int]entry
}

type scope struct {
	dest  int
	route string
}

// Ledger is what one relay holds.
type Ledger struct {
	self    string
	life    Life
	listed  map[string]bool
	members map[string]*member
	limits  map[scope]float64
	refused map[Reason]uint64
	rival   Life // the greatest heard under the own name that is not the own
}

// New returns the ledger of a member that hears those listed.
func New(self string, life Life, listed []string) *Ledger {
	l := &Ledger{
		self: self, life: life, listed: map[string]bool{self: true}, members: map[string]*member{}, limits: map[scope]float64{}, refused: map[Reason]uint64{},
	}
	for _, n := range listed {
		l.listed[n] = true
	}
	return l
}

// Limits are what the list tells of destinations, in calls a second from all relays, by destination and route as in Cell.
type Limits map[int]map[string]float64

// SetLimits takes what the list tells, whole.
func (l *Ledger) SetLimits(limits Limits) {
	clear(l.limits)
	for dest, routes := range limits {
		for route, x := range routes {
			l.limits[scope{dest, route}] = x
		}
	}
}

// Raise begins a new life of the own member. What it told before is forgotten, here and by all who hear the new one.
func (l *Ledger) Raise(life Life) {
	if life.Compare(l.life) > 0 {
		l.life = life
		delete(l.members, l.self)
	}
}

// Life is the own one; Rival the greatest that was heard under the own name beside it.
func (l *Ledger) Life() Life { return l.life }

// Rival is the greatest life that was heard under the own name and is not this one or one before it; zero: none.
func (l *Ledger) Rival() Life { return l.rival }

// Merge takes a page that was heard.
func (l *Ledger) Merge(now time.Duration, p Page) (Outcome, error) {
	if err := l.check(p); err != nil {
		l.refused[err.Reason]++
		return Refused, err
	}
	if p.Name == l.self && p.Life != l.life {
		if p.Life.Compare(l.life) < 0 {
			return Own, nil
		}
		if p.Life.Compare(l.rival) > 0 {
			l.rival = p.Life
		}
		return Rival, nil
	}
	if p.Name == l.self {
		return Own, nil
	}
	return l.join(now, p), nil
}

func (l *Ledger) join(now time.Duration, p Page) Outcome {
	m := l.members[p.Name]
	if m == nil {
		m = &member{Life: p.Life, pages: map[int]entry{}}
		l.members[p.Name] = m
	}
	switch c := p.Life.Compare(m.Life); {
	case c < 0:
		return Older
	case c > 0:
		m.Life = p.Life
		clear(m.pages)
	}
	e := entry{p.Sequence, now - p.Age, p.Cells}
	old, ok := m.pages[p.Number]
	if !ok && len(m.pages) >= PagesMost {
		l.refused[TooMany]++ // a member tells no more pages of one life, and no other takes its room
		return Refused
	}
	switch {
	case !ok || e.sequence > old.sequence:
	case e.sequence < old.sequence:
		return Older
	default:
		// One version heard on two ways: neither age is less than the true one, so that the lesser is nearer to it. Two contents
		// under one version are no relay's doing; all keep the same one.
		c := slices.CompareFunc(e.cells, old.cells, Cell.compare)
		if c >= 0 && e.told <= old.told {
			return Known
		}
		// A little younger is no news: told on, it would go round once more for nothing.
		news := c < 0 || e.told-old.told >= ageNews
		e.told = max(e.told, old.told)
		if c > 0 {
			e.cells = old.cells
		}
		if m.pages[p.Number] = e; !news {
			return Known
		}
	}
	m.pages[p.Number] = e
	return Changed
}

func (l *Ledger) check(p Page) *Error {
	bad := func(r Reason, format string, args ...any) *Error { return &Error{r, fmt.Sprintf(format, args...)} }
	switch {
	case len(p.Name) > nameMost || !l.listed[p.Name]:
		return bad(Unlisted, "%.64q", p.Name)
	case p.Incarnation == 0 || p.Incarnation > sequenceMax || p.Sequence == 0 || p.Sequence > sequenceMax || p.Number < 0 || len(p.Cells) > CellsMost:
		return bad(BadForm, "%s: incarnation %d, sequence %d, page %d of %d cells", p.Name, p.Incarnation, p.Sequence, p.Number, len(p.Cells))
	case p.Age < 0:
		return bad(Absurd, "%s: age %v", p.Name, p.Age)
	case p.Age > AgeMost:
		return bad(TooOld, "%s: age %v", p.Name, p.Age)
	}
	for i, c := range p.Cells {
		if c.Dest < 0 || PageOf(c.Dest) != p.Number || len(c.Route) > routeMost {
			return bad(BadForm, "%s: destination %d on page %d", p.Name, c.Dest, p.Number)
		}
		if i > 0 && cmp.Or(cmp.Compare(c.Dest, p.Cells[i-1].Dest), cmp.Compare(c.Route, p.Cells[i-1].Route)) <= 0 {
			return bad(BadForm, "%s: cells of page %d are not in order", p.Name, p.Number)
		}
		most := RateMost
		if limit, ok := l.limits[scope{c.Dest, c.Route}]; ok {
			most = Multiple * max(leastLimit, limit)
		}
		for _, x := range c.rates() {
			if !(x >= 0 && x <= most) { // also what is no number
				return bad(Absurd, "%s: %g a second at destination %d, %g at most", p.Name, x, c.Dest, most)
			}
		}
		if c.Backlog < 0 || c.Backlog > backlogMost || c.Wait < 0 || c.Wait > waitMost {
			return bad(Absurd, "%s: backlog %d, wait %v at destination %d", p.Name, c.Backlog, c.Wait, c.Dest)
		}
	}
	return nil
}

// Tell puts a page of the own member into the ledger, as of now, and returns it as it is to be told. Sequence must grow.
func (l *Ledger) Tell(now time.Duration, number int, sequence uint64, cells []Cell) (Page, error) {
	p := Page{Name: l.self, Life: l.life, Number: number, Sequence: sequence, Cells: cells}
	if err := l.check(p); err != nil {
		l.refused[err.Reason]++
		return Page{}, err
	}
	if l.join(now, p) != Changed {
		return Page{}, &Error{TooMany, fmt.Sprintf("page %d is not told", number)}
	}
	return p, nil
}

// Keep takes a page of the own member that was told already.
func (l *Ledger) Keep(now time.Duration, p Page) Outcome {
	if p.Name != l.self || p.Life != l.life || l.check(p) != nil {
		return Refused
	}
	return l.join(now, p)
}

// Get returns a page with its age now.
func (l *Ledger) Get(now time.Duration, name string, number int) (Page, bool) {
	m := l.members[name]
	if m == nil {
		return Page{}, false
	}
	e, ok := m.pages[number]
	if !ok || now-e.told > AgeMost {
		return Page{}, false
	}
	return Page{name, m.Life, number, e.sequence, max(0, now-e.told), e.cells}, true
}

// Pages calls f with each page that has not aged out, by name and number.
func (l *Ledger) Pages(now time.Duration, f func(Page)) {
	for _, name := range sorted(l.members) {
		for _, n := range sorted(l.members[name].pages) {
			if p, ok := l.Get(now, name, n); ok {
				f(p)
			}
		}
	}
}

func sorted[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// Count is how many pages it holds that have not aged out.
func (l *Ledger) Count(now time.Duration) (n int) {
	for _, m := range l.members {
		for _, e := range m.pages {
			if now-e.told <= AgeMost {
				n++
			}
		}
	}
	return n
}

// Sweep drops what has aged out.
func (l *Ledger) Sweep(now time.Duration) {
	for name, m := range l.members {
		for n, e := range m.pages {
			if now-e.told > AgeMost {
				delete(m.pages, n)
			}
		}
		if len(m.pages) == 0 {
			delete(l.members, name)
		}
	}
}

// Weight is how much of a figure is left at an age: half after each HalfLife.
func Weight(age time.Duration) float64 { return math.Exp2(-max(0, age.Seconds()) / HalfLife.Seconds()) }

// Sum is what all others together tell of a destination or a route of it, each figure by the weight of its age.
type Sum struct {
	Cell            // Route and Dest as asked; Wait: the longest that is left; Cold: that of any
	Colds   float64 // how many hold it to be cold
	Members float64 // how many tell of it
}

// Others sums up what the other members tell.
func (l *Ledger) Others(now time.Duration, dest int, route string) Sum {
	s := Sum{Cell: Cell{Dest: dest, Route: route}}
	backlog := 0.0
	for _, name := range sorted(l.members) { // in one order: sums of floats must be the same wherever they are made
		e, ok := l.members[name].pages[PageOf(dest)]
		if name == l.self || !ok || now-e.told > AgeMost {
			continue
		}
		i, ok := slices.BinarySearchFunc(e.cells, scope{dest, route}, func(c Cell, at scope) int {
			return cmp.Or(cmp.Compare(c.Dest, at.dest), cmp.Compare(c.Route, at.route))
		})
		if !ok {
			continue
		}
		c, age := e.cells[i], now-e.told
		w := Weight(age)
		s.Members += w
		s.Demand += w * c.Demand
		s.Calls += w * c.Calls
		s.Refusals += w * c.Refusals
		s.Deliveries += w * c.Deliveries
		s.Failures += w * c.Failures
		backlog += w * float64(c.Backlog)
		s.Wait = max(s.Wait, c.Wait-max(0, age))
		if c.Cold {
			s.Cold, s.Colds = true, s.Colds+w
		}
	}
	s.Backlog = int(math.Round(backlog))
	return s
}

// Digest tells the versions that a ledger holds, for another to find what it lacks.
type Digest map[string]Versions

// Versions are those of one member's pages.
type Versions struct {
	Life
	Pages map[int]uint64 // sequences by number
}

// Digest returns that of what has not aged out.
func (l *Ledger) Digest(now time.Duration) Digest {
	d := Digest{}
	for name, m := range l.members {
		v := Versions{m.Life, make(map[int]uint64, len(m.pages))}
		for n, e := range m.pages {
			if now-e.told <= AgeMost {
				v.Pages[n] = e.sequence
			}
		}
		d[name] = v
	}
	return d
}

// Newer returns what the ledger that a digest is of lacks, youngest first.
func (l *Ledger) Newer(now time.Duration, d Digest) (pages []Page) {
	l.Pages(now, func(p Page) {
		v, ok := d[p.Name]
		if c := p.Life.Compare(v.Life); !ok || c > 0 || c == 0 && p.Sequence > v.Pages[p.Number] {
			pages = append(pages, p)
		}
	})
	slices.SortStableFunc(pages, func(a, b Page) int { return cmp.Compare(a.Age, b.Age) })
	return pages
}

// MemberStats tells how much a ledger holds of a member.
type MemberStats struct {
	Name  string        `json:"name"`
	Life  Life          `json:"life"`
	Pages int           `json:"pages"`
	Cells int           `json:"cells"`
	Age   time.Duration `json:"age"` // of its youngest page; in ns
}

// Stats tells of all members, by name, and what was refused, by reason.
func (l *Ledger) Stats(now time.Duration) (members []MemberStats, refused map[Reason]uint64) {
	for _, name := range sorted(l.members) {
		m := l.members[name]
		s := MemberStats{Name: name, Life: m.Life, Age: AgeMost}
		for _, e := range m.pages {
			s.Pages++
			s.Cells += len(e.cells)
			s.Age = min(s.Age, max(0, now-e.told))
		}
		members = append(members, s)
	}
	refused = map[Reason]uint64{}
	for r, n := range l.refused {
		refused[r] = n
	}
	return members, refused
}
