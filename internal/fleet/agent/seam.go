// Package seam is the step of a fleet's member beside the decision module: it is told what the module was told and
// decided, and what was heard of the others, and tells in return what the others should hear. It is pure, as the module
// is: equal calls in equal order give equal results, in the relay, the emulator and a replay alike.
package agent

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	rateSpan = 5 * time.Second // rates are means over about so long

	// A page is told when a rate has changed by changeShare, no more often than after its rest: tellLeast, or longer
	// where all members' pages together would take more than the links have room for. Where a wait, a backlog or
	// coldness begins or ends it is told at once, burst times in a row, and rests the longer after that. What has not
	// changed is told again after tellAgain, so that it does not fade.
	tellLeast   = 500 * time.Millisecond
	tellAgain   = loadreport.HalfLife / 2
	burst       = 4
	restEvery   = time.Second // how long a page rests is found anew
	changeShare = 0.1
	changeLeast = 0.05                   // a second, under which no change counts
	lookEvery   = 100 * time.Millisecond // what is to be told is looked at so often
	sweepEvery  = 5 * time.Second

	// A page must fit a datagram: what a cell takes at most, beside its route's name, and what a page may.
	cellBytes = 42
	pageBytes = 1100
)

// Settings are what a Seam is made of.
type Settings struct {
	Self             string                   `cbor:"Self"`
	Incarnation      loadreport.Incarnation   `cbor:"Life"`
	Members          []string                 `cbor:"Members"` // that are listed, all of the fleet
	DestinationKinds []policy.DestinationKind `cbor:"Kinds"`
	ShareQuota       bool                     `cbor:"Rights"`  // limits are shared: package rights
	FleetSize        int                      `cbor:"Senders"` // the told size of the fleet
}

// ScopeCounter counts one destination's traffic, or that of a route that stands apart. Its fields are exported for
// snapshots alone.
type ScopeCounter struct {
	At              time.Duration `cbor:"At"`
	Demand          float64       `cbor:"Demand"` // this and the four below are levels: a rate times rateSpan
	Calls           float64       `cbor:"Calls"`
	Rejections      float64       `cbor:"Refusals"`
	Deliveries      float64       `cbor:"Deliveries"`
	Failures        float64       `cbor:"Failures"`
	Backlog         int           `cbor:"Backlog"`
	RetryAfterUntil time.Duration `cbor:"Wait"` // until then
	WarmingUp       bool          `cbor:"Cold"`
}

type scope struct {
	_     struct{} `cbor:",toarray"`
	Dest  int
	Route string
}

type listed struct {
	_     struct{} `cbor:",toarray"`
	Dest  int
	Kind  int
	Limit float64
}

type held struct {
	_       struct{} `cbor:",toarray"`
	Dest    int
	Waiting bool
}

// toldPage is what was told of a page last.
type toldPage struct {
	_     struct{} `cbor:",toarray"`
	At    time.Duration
	Paid  time.Duration // all tellings until At have had their rests then: GCRA's theoretical time of arrival
	Cells []loadreport.ScopeLoad
}

// state is all that a Seam holds beside its ledger.
type state struct {
	Set      Settings                `cbor:"Set"`
	Life     loadreport.Incarnation  `cbor:"Life"`
	Sequence uint64                  `cbor:"Sequence"`
	Tallies  map[scope]*ScopeCounter `cbor:"Tallies"`
	Routes   map[string]listed       `cbor:"Routes"`
	Held     map[uint32]held         `cbor:"Held"`
	Told     map[int]toldPage        `cbor:"Told"`
	LookAt   time.Duration           `cbor:"LookAt"`
	Rest     time.Duration           `cbor:"Rest"` // of a page between two tellings, as of RestAt
	RestAt   time.Duration           `cbor:"RestAt"`
	SweepAt  time.Duration           `cbor:"SweepAt"`
	Pages    []loadreport.Report     `cbor:"Pages"` // of the ledger, in snapshots
	Book     *quota.Ledger           `cbor:"Book"`  // in snapshots
	Now      time.Duration           `cbor:"Now"`
}

// Agent is a member's.
type Agent struct {
	state
	ledger *loadreport.Table
	rights *quota.Ledger // nil: limits are not shared
	sent   map[scope]int // of the step at hand, messages by route
}

// New returns a Seam that has heard nothing.
func New(set Settings) *Agent {
	s := &Agent{state: state{
		Set: set, Life: set.Incarnation, Tallies: map[scope]*ScopeCounter{}, Routes: map[string]listed{}, Held: map[uint32]held{}, Told: map[int]toldPage{},
	}}
	s.ledger = loadreport.New(set.Self, set.Incarnation, set.Members)
	s.sent = map[scope]int{}
	return s
}

// Input is what a step is told.
type Input struct {
	Received    []loadreport.Report    // with their ages at the step's time
	Incarnation loadreport.Incarnation // the member's own, where it has begun a new one; else zero
	Quota       []quota.Message
	Events      []policy.Event
	Actions     []policy.Action
	Views       func() []policy.EndpointView // the module's routes, asked for only when something may be told
}

// Output is what a step tells.
type Output struct {
	Published []loadreport.Report // to all others
	Quota     []quota.Message     // each to one
	Events    []policy.Event      // to the decision module, in its next step
}

// Record is what a step was told of others, and told them: beside the module's own record all that a replay needs.
type Record struct {
	_             struct{} `cbor:",toarray"`
	Received      []loadreport.Report
	Incarnation   loadreport.Incarnation
	Published     []loadreport.Report
	QuotaReceived []quota.Message
	QuotaSent     []quota.Message
}

// Append appends a record's bytes; none for one that holds nothing.
func (r Record) Append(b []byte) []byte {
	if len(r.Received)+len(r.Published)+len(r.QuotaReceived)+len(r.QuotaSent) == 0 &&
		r.Incarnation == (loadreport.Incarnation{}) {
		return b
	}
	data, err := canonical.Marshal(r)
	if err != nil {
		return b // a figure that is no number: the ledger takes none
	}
	return append(b, data...)
}

// ReadRecord reads what Append wrote.
func ReadRecord(data []byte) (r Record, err error) {
	if len(data) > 0 {
		if err = cbor.Unmarshal(data, &r); err != nil {
			return Record{}, fmt.Errorf("seam: %w", err)
		}
	}
	return r, nil
}

// Step takes what has come in at now, and returns what to tell. It must be told of every step of the module, after it.
func (s *Agent) Step(now time.Duration, in Input) (out Output) {
	out.Published = s.step(now, in)
	if s.rights == nil {
		return out
	}
	var changes []quota.Change
	out.Quota, changes = s.rights.Step(now)
	for _, c := range changes {
		out.Events = append(out.Events, policy.Event{
			Kind: policy.QuotaGranted, Destination: c.Scope.Destination, Endpoint: c.Scope.Endpoint, ReservedFraction: c.ReservedFraction, GrantedCalls: c.Calls, TimeLeft: c.TTL,
		})
	}
	return out
}

func (s *Agent) step(now time.Duration, in Input) (tell []loadreport.Report) {
	// its life begins with the first step, whatever the clock says
	if s.Now = now; s.Set.ShareQuota && s.rights == nil {
		s.rights = quota.New(
			now,
			quota.Settings{Self: s.Set.Self, Incarnation: s.Life, Members: s.Set.Members, FleetSize: s.Set.FleetSize},
		)
	}
	if in.Incarnation != (loadreport.Incarnation{}) && in.Incarnation.Compare(s.Life) > 0 {
		s.Life = in.Incarnation
		s.ledger.SetIncarnation(in.Incarnation)
		clear(s.Told) // the others forget what the life before has told
		s.LookAt = 0
		if s.rights != nil {
			s.rights.SetIncarnation(in.Incarnation)
		}
	}
	for _, m := range in.Quota {
		if s.rights != nil {
			s.rights.Receive(now, m)
		}
	}
	for _, p := range in.Received {
		s.ledger.Merge(now, p) // what it refuses it counts
	}
	for i := range in.Events {
		s.observe(&in.Events[i])
	}
	for i := range in.Actions {
		s.decided(&in.Actions[i])
	}
	for _, at := range slices.SortedFunc(maps.Keys(s.sent), func(a, b scope) int { return cmp.Compare(a.Route, b.Route) }) {
		n, per := s.sent[at], 1 // in order: sums of floats depend on it
		if k := s.Routes[at.Route].Kind; k >= 0 && k < len(s.Set.DestinationKinds) {
			per = max(1, s.Set.DestinationKinds[k].MaxBatch)
		}
		s.tally(s.scopeOf(at.Route)).Calls += float64((n + per - 1) / per)
	}
	clear(s.sent)
	if now >= s.SweepAt {
		s.SweepAt = now + sweepEvery
		s.ledger.RemoveExpired(now)
		maps.DeleteFunc(s.Tallies, func(_ scope, t *ScopeCounter) bool {
			t.fade(now)
			return t.Backlog == 0 && t.RetryAfterUntil <= now &&
				t.Demand+t.Calls+t.Rejections+t.Deliveries+t.Failures < 1e-6
		})
	}
	if now < s.LookAt {
		return nil
	}
	s.LookAt = now + lookEvery
	if in.Views != nil {
		s.look(in.Views())
	}
	return s.tell(now)
}

// NextStep is when a step is due at the latest, even if nothing happens.
func (s *Agent) NextStep() time.Duration { return s.LookAt }

// Reports is what the Seam has heard. It must only be asked.
func (s *Agent) Reports() *loadreport.Table { return s.ledger }

func (t *ScopeCounter) fade(now time.Duration) {
	if now > t.At {
		f := math.Exp(-float64(now-t.At) / float64(rateSpan))
		t.Demand, t.Calls, t.Rejections, t.Deliveries, t.Failures = f*t.Demand, f*t.Calls, f*t.Rejections, f*t.Deliveries, f*t.Failures
	}
	t.At = now
}

func (s *Agent) tally(at scope) *ScopeCounter {
	t := s.Tallies[at]
	if t == nil {
		t = &ScopeCounter{At: s.Now}
		s.Tallies[at] = t
	}
	t.fade(s.Now)
	return t
}

// scopeOf is what shares a limit with a route: its destination, or itself where its kind stands apart.
func (s *Agent) scopeOf(route string) scope {
	l := s.Routes[route]
	if l.Kind >= 0 && l.Kind < len(s.Set.DestinationKinds) && s.Set.DestinationKinds[l.Kind].LimitPerEndpoint {
		return scope{Dest: l.Dest, Route: route}
	}
	return scope{Dest: l.Dest}
}

// waits books that a message waits or no longer does, at its destination: which route it will take is not known.
func (s *Agent) waits(id uint32, h held, waiting bool) {
	if h.Waiting == waiting {
		return
	}
	t := s.tally(scope{Dest: h.Dest})
	if waiting {
		t.Backlog++
	} else {
		t.Backlog = max(0, t.Backlog-1)
	}
	h.Waiting = waiting
	s.Held[id] = h
}

func (s *Agent) gone(id uint32) {
	if h, ok := s.Held[id]; ok {
		s.waits(id, h, false)
		delete(s.Held, id)
	}
}

func (s *Agent) observe(e *policy.Event) {
	switch e.Kind {
	case policy.MessageAccepted:
		s.gone(e.MessageID)
		if e.Recovered == nil {
			s.tally(scope{Dest: e.Destination}).Demand++
		}
		s.waits(e.MessageID, held{Dest: e.Destination}, true)
	case policy.MessageCancelled:
		s.gone(e.MessageID)
	case policy.AttemptFinished, policy.HealthChecked:
		s.finished(e)
	case policy.EndpointSnapshot, policy.EndpointDelta:
		s.list(e)
	}
}

func (s *Agent) finished(e *policy.Event) {
	if _, ok := s.Routes[e.Endpoint]; ok {
		t := s.tally(s.scopeOf(e.Endpoint))
		switch e.Outcome {
		case policy.OK:
			t.Deliveries++
			s.outcome(e.Endpoint, false)
		case policy.Overloaded:
			t.Rejections++
			s.outcome(e.Endpoint, true)
		case policy.Error, policy.Timeout, policy.ConnectFailed, policy.Reset:
			t.Failures++
		}
		if e.RetryAfter > 0 {
			t.RetryAfterUntil = max(t.RetryAfterUntil, s.Now+e.RetryAfter)
		}
	}
	if h, ok := s.Held[e.MessageID]; ok && e.Kind == policy.AttemptFinished {
		if e.MessageEnded {
			s.gone(e.MessageID)
		} else {
			s.waits(e.MessageID, h, true)
		}
	}
}

func (s *Agent) decided(a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		if h, ok := s.Held[a.MessageID]; ok {
			s.waits(a.MessageID, h, false)
		}
		if _, ok := s.Routes[a.Endpoint]; ok {
			s.sent[scope{Route: a.Endpoint}]++
		}
	case policy.Reject, policy.Fail:
		s.gone(a.MessageID)
	case policy.RequestQuota:
		if s.rights != nil {
			s.rights.Request(s.Now, s.rightsOf(a.Endpoint), a.Calls)
		}
	}
}

func (s *Agent) rightsOf(route string) quota.Scope {
	at := s.scopeOf(route)
	return quota.Scope{Destination: at.Dest, Endpoint: at.Route}
}

// outcome counts for what is believed of a limit. What a host refuses that may be cold tells of that, and the module's
// recovery budget is for it.
func (s *Agent) outcome(route string, refused bool) {
	if s.rights != nil && !(refused && s.tally(s.scopeOf(route)).WarmingUp) {
		s.rights.RecordOutcome(s.rightsOf(route), refused)
	}
}

// Quota are the member's part in sharing limits; nil: it has none. It must only be asked.
func (s *Agent) Quota() *quota.Ledger { return s.rights }

func (s *Agent) list(e *policy.Event) {
	if e.Kind == policy.EndpointSnapshot {
		clear(s.Routes)
	}
	for _, l := range e.Endpoints {
		if l.Removed {
			delete(s.Routes, l.ID)
		} else {
			s.Routes[l.ID] = listed{Dest: l.Destination, Kind: l.Kind, Limit: l.Weight}
		}
	}
	limits := s.Limits()
	s.ledger.SetLimits(limits)
	if s.rights != nil {
		s.rights.SetLimits(s.Now, limits)
	}
}

// Limits are what the list tells, by destination and route as in the ledger's cells.
func (s *Agent) Limits() loadreport.Limits {
	limits := loadreport.Limits{}
	for route, l := range s.Routes {
		at := s.scopeOf(route)
		if l.Limit <= 0 {
			continue
		}
		// of separate routes, backlog and demand are told for the destination
		for _, name := range []string{at.Route, ""} {
			if limits[l.Dest] == nil {
				limits[l.Dest] = map[string]float64{}
			}
			if at.Route != "" && name == "" {
				limits[l.Dest][name] += l.Limit
			} else {
				limits[l.Dest][name] = max(limits[l.Dest][name], l.Limit)
			}
			if at.Route == "" {
				break
			}
		}
	}
	return limits
}

// look takes from the module which routes it holds to be cold.
func (s *Agent) look(views []policy.EndpointView) {
	for _, t := range s.Tallies {
		t.WarmingUp = false
	}
	for _, v := range views {
		if _, ok := s.Routes[v.ID]; ok && (v.WarmingUp || v.Ejected) {
			s.tally(s.scopeOf(v.ID)).WarmingUp = true
		}
	}
}

// tell returns the pages that are due.
func (s *Agent) tell(now time.Duration) (pages []loadreport.Report) {
	cells := map[int][]loadreport.ScopeLoad{}
	for at, t := range s.Tallies {
		t.fade(now)
		if c := t.cell(at, now); !c.Idle() {
			cells[loadreport.ReportNumber(at.Dest)] = append(cells[loadreport.ReportNumber(at.Dest)], c)
		}
	}
	numbers := slices.Collect(maps.Keys(cells))
	for n := range s.Told {
		if _, ok := cells[n]; !ok {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	rest := s.rest()
	for _, n := range numbers {
		was, told := s.Told[n]
		page := fit(cells[n])
		if !due(was, page, told, now, rest) {
			continue
		}
		if !told && len(s.Told) >= loadreport.MaxReports {
			continue // more destinations at once than a member may tell of: these wait until others fall idle
		}
		s.Sequence++
		p, err := s.ledger.Publish(now, n, s.Sequence, page)
		if err != nil {
			continue // counted; a figure of this relay's own beyond the bounds is not told
		}
		pages = append(pages, p)
		if s.Told[n] = (toldPage{At: now, Paid: max(now, was.Paid) + rest, Cells: page}); len(page) == 0 {
			delete(s.Told, n) // an empty page fades like others, and says nothing meanwhile
		}
	}
	return pages
}

// rest is how long a page rests between two tellings, so that all pages of all members together take no more than the
// links have room for. One who hears a part of the fleet alone knows of that part's pages: it is with these that it
// shares links.
func (s *Agent) rest() time.Duration {
	if s.Rest == 0 || s.Now >= s.RestAt+restEvery {
		room := gossip.MaxReportRate(len(s.Set.Members))
		s.Rest, s.RestAt = max(
			tellLeast,
			time.Duration(float64(s.ledger.Count(s.Now))/room*float64(time.Second)),
		), s.Now
	}
	return s.Rest
}

func (t *ScopeCounter) cell(at scope, now time.Duration) loadreport.ScopeLoad {
	rate := func(level float64) float64 { return round(level / rateSpan.Seconds()) }
	return loadreport.ScopeLoad{
		Destination: at.Dest, Endpoint: at.Route, Demand: rate(t.Demand), Calls: rate(t.Calls), Rejections: rate(t.Rejections), Deliveries: rate(t.Deliveries),
		Failures: rate(
			t.Failures,
		), Backlog: t.Backlog, RetryAfter: max(0, t.RetryAfterUntil-now).Round(time.Millisecond), WarmingUp: t.WarmingUp,
	}
}

// round keeps what fits two bytes on the wire: eleven binary digits, and nothing under a thousandth.
func round(x float64) float64 {
	if x < 1e-3 {
		return 0
	}
	frac, exp := math.Frexp(min(x, 65000))
	return math.Ldexp(math.Round(frac*(1<<11))/(1<<11), exp)
}

// fit puts cells into order and leaves the least ones out where a page holds no more.
func fit(cells []loadreport.ScopeLoad) []loadreport.ScopeLoad {
	byPlace := func(a, b loadreport.ScopeLoad) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Endpoint, b.Endpoint))
	}
	slices.SortFunc(cells, func(a, b loadreport.ScopeLoad) int {
		return cmp.Or(cmp.Compare(b.Demand+b.Calls, a.Demand+a.Calls), byPlace(a, b))
	})
	size := 0
	for i, c := range cells {
		if size += cellBytes + len(c.Endpoint); size > pageBytes || i == loadreport.MaxScopes {
			cells = cells[:i]
			break
		}
	}
	slices.SortFunc(cells, byPlace)
	return cells
}

// due tells whether a page must be told.
func due(was toldPage, cells []loadreport.ScopeLoad, told bool, now, rest time.Duration) bool {
	if !told {
		return len(cells) > 0
	}
	if now < was.Paid { // only what is urgent goes before its time, and not without end
		return now-was.At >= lookEvery && was.Paid-now <= (burst-1)*rest && slices.ContainsFunc(cells, was.urgent(now))
	}
	return now-was.At >= max(tellAgain, rest) ||
		!slices.EqualFunc(cells, was.Cells, func(c, o loadreport.ScopeLoad) bool {
			return c.Destination == o.Destination && c.Endpoint == o.Endpoint && !moved(c.Demand, o.Demand) && !moved(c.Calls, o.Calls) && !moved(c.Rejections, o.Rejections) &&
				!moved(c.Deliveries, o.Deliveries) && !moved(c.Failures, o.Failures) && !moved(float64(c.Backlog), float64(o.Backlog))
		}) ||
		slices.ContainsFunc(cells, was.urgent(now))
}

// urgent tells of a cell whether a wait, a backlog or coldness began or ended since its page was told.
func (p toldPage) urgent(now time.Duration) func(loadreport.ScopeLoad) bool {
	return func(c loadreport.ScopeLoad) bool {
		var o loadreport.ScopeLoad
		if i := slices.IndexFunc(p.Cells, func(o loadreport.ScopeLoad) bool { return o.Destination == c.Destination && o.Endpoint == c.Endpoint }); i >= 0 {
			o = p.Cells[i]
		}
		waits := c.RetryAfter > 0 && (o.RetryAfter == 0 || (c.RetryAfter-(o.RetryAfter-(now-p.At))).Abs() > 2*lookEvery)
		return waits || c.WarmingUp != o.WarmingUp || (c.Backlog > 0) != (o.Backlog > 0)
	}
}

func moved(a, b float64) bool { return math.Abs(a-b) > max(changeLeast, changeShare*max(a, b)) }

var canonical = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Snapshot appends the state, the same bytes for the same state.
func (s *Agent) Snapshot(b []byte) []byte {
	x := s.state
	s.ledger.Each(s.Now, func(p loadreport.Report) { x.Pages = append(x.Pages, p) })
	x.Book = s.rights
	data, err := canonical.Marshal(x)
	if err != nil {
		return b // a rate that is no number: Step makes none
	}
	return append(b, data...)
}

// Restore reads what Snapshot wrote.
func Restore(data []byte) (*Agent, error) {
	var x state
	if err := cbor.Unmarshal(data, &x); err != nil {
		return nil, fmt.Errorf("seam: %w", err)
	}
	s := New(x.Set)
	s.ledger.SetIncarnation(x.Life)
	pages := x.Pages
	if s.rights = x.Book; s.rights != nil {
		s.rights.FinishRestore()
	}
	x.Pages, x.Book = nil, nil
	for _, m := range []func(){func() { fill(&x.Tallies) }, func() { fill(&x.Routes) }, func() { fill(&x.Held) }, func() { fill(&x.Told) }} {
		m()
	}
	s.state = x
	for _, p := range pages {
		if p.Name == x.Set.Self {
			s.ledger.Restore(x.Now, p)
		} else {
			s.ledger.Merge(x.Now, p)
		}
	}
	s.ledger.SetLimits(s.Limits())
	return s, nil
}

func fill[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = map[K]V{}
	}
}
