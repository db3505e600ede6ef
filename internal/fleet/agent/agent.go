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
	rateWindow = 5 * time.Second // rates are means over about so long

	// A page is told when a rate has changed by minRelativeChange, no more often than after its rest: minPublishInterval, or longer
	// where all members' pages together would take more than the links have room for. Where a wait, a backlog or
	// coldness begins or ends it is told at once, burst times in a row, and rests the longer after that. What has not
	// changed is told again after republishInterval, so that it does not fade.
	minPublishInterval     = 500 * time.Millisecond
	republishInterval      = loadreport.HalfLife / 2
	maxUrgentBurst         = 4
	publishIntervalRefresh = time.Second // how long a page rests is found anew
	minRelativeChange      = 0.1
	minAbsoluteChange      = 0.05                   // a second, under which no change counts
	publishCheckInterval   = 100 * time.Millisecond // what is to be told is looked at so often
	sweepInterval          = 5 * time.Second

	// A page must fit a datagram: what a cell takes at most, beside its route's name, and what a page may.
	maxScopeBytes  = 42
	maxReportBytes = 1100
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

// scopeCounter counts one destination's traffic, or that of a route that stands apart. Its fields are exported for
// snapshots alone.
type scopeCounter struct {
	UpdatedAt       time.Duration `cbor:"At"`
	Demand          float64       `cbor:"Demand"` // this and the four below are levels: a rate times rateWindow
	Calls           float64       `cbor:"Calls"`
	Rejections      float64       `cbor:"Refusals"`
	Deliveries      float64       `cbor:"Deliveries"`
	Failures        float64       `cbor:"Failures"`
	Backlog         int           `cbor:"Backlog"`
	RetryAfterUntil time.Duration `cbor:"Wait"` // until then
	WarmingUp       bool          `cbor:"Cold"`
}

type limitScope struct {
	_           struct{} `cbor:",toarray"`
	Destination int
	Endpoint    string
}

type endpointInfo struct {
	_           struct{} `cbor:",toarray"`
	Destination int
	Kind        int
	Limit       float64
}

type pendingMessage struct {
	_           struct{} `cbor:",toarray"`
	Destination int
	Waiting     bool
}

// publishedReport is what was told of a page last.
type publishedReport struct {
	_           struct{} `cbor:",toarray"`
	PublishedAt time.Duration
	NextRegular time.Duration // all tellings until At have had their rests then: GCRA's theoretical time of arrival
	Scopes      []loadreport.ScopeLoad
}

// state is all that a Seam holds beside its ledger.
type state struct {
	Settings          Settings                     `cbor:"Set"`
	Incarnation       loadreport.Incarnation       `cbor:"Life"`
	Sequence          uint64                       `cbor:"Sequence"`
	Counters          map[limitScope]*scopeCounter `cbor:"Tallies"`
	Endpoints         map[string]endpointInfo      `cbor:"Routes"`
	Pending           map[uint32]pendingMessage    `cbor:"Held"`
	Published         map[int]publishedReport      `cbor:"Told"`
	NextCheck         time.Duration                `cbor:"LookAt"`
	PublishInterval   time.Duration                `cbor:"Rest"` // of a page between two tellings, as of PublishIntervalAt
	PublishIntervalAt time.Duration                `cbor:"RestAt"`
	NextSweep         time.Duration                `cbor:"SweepAt"`
	SavedReports      []loadreport.Report          `cbor:"Pages"` // of the ledger, in snapshots
	SavedQuota        *quota.Ledger                `cbor:"Book"`  // in snapshots
	Now               time.Duration                `cbor:"Now"`
}

// Agent is a member's.
type Agent struct {
	state
	reports      *loadreport.Table
	quota        *quota.Ledger      // nil: limits are not shared
	sentMessages map[limitScope]int // of the step at hand, messages by route
}

// New returns a Seam that has heard nothing.
func New(set Settings) *Agent {
	s := &Agent{state: state{
		Settings: set, Incarnation: set.Incarnation, Counters: map[limitScope]*scopeCounter{}, Endpoints: map[string]endpointInfo{}, Pending: map[uint32]pendingMessage{}, Published: map[int]publishedReport{},
	}}
	s.reports = loadreport.New(set.Self, set.Incarnation, set.Members)
	s.sentMessages = map[limitScope]int{}
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
	data, err := canonicalEncoding.Marshal(r)
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
	out.Published = s.observe(now, in)
	if s.quota == nil {
		return out
	}
	var changes []quota.Change
	out.Quota, changes = s.quota.Step(now)
	for _, c := range changes {
		out.Events = append(out.Events, policy.Event{
			Kind: policy.QuotaGranted, Destination: c.Scope.Destination, Endpoint: c.Scope.Endpoint, ReservedFraction: c.ReservedFraction, GrantedCalls: c.Calls, TimeLeft: c.TTL,
		})
	}
	return out
}

func (s *Agent) observe(now time.Duration, in Input) (tell []loadreport.Report) {
	// its life begins with the first step, whatever the clock says
	if s.Now = now; s.Settings.ShareQuota && s.quota == nil {
		s.quota = quota.New(
			now,
			quota.Settings{Self: s.Settings.Self, Incarnation: s.Incarnation, Members: s.Settings.Members, FleetSize: s.Settings.FleetSize},
		)
	}
	if in.Incarnation != (loadreport.Incarnation{}) && in.Incarnation.Compare(s.Incarnation) > 0 {
		s.Incarnation = in.Incarnation
		s.reports.SetIncarnation(in.Incarnation)
		clear(s.Published) // the others forget what the life before has told
		s.NextCheck = 0
		if s.quota != nil {
			s.quota.SetIncarnation(in.Incarnation)
		}
	}
	for _, m := range in.Quota {
		if s.quota != nil {
			s.quota.Receive(now, m)
		}
	}
	for _, p := range in.Received {
		s.reports.Merge(now, p) // what it refuses it counts
	}
	for i := range in.Events {
		s.observeEvent(&in.Events[i])
	}
	for i := range in.Actions {
		s.observeAction(&in.Actions[i])
	}
	for _, at := range slices.SortedFunc(maps.Keys(s.sentMessages), func(a, b limitScope) int { return cmp.Compare(a.Endpoint, b.Endpoint) }) {
		n, per := s.sentMessages[at], 1 // in order: sums of floats depend on it
		if k := s.Endpoints[at.Endpoint].Kind; k >= 0 && k < len(s.Settings.DestinationKinds) {
			per = max(1, s.Settings.DestinationKinds[k].MaxBatch)
		}
		s.counter(s.scopeOf(at.Endpoint)).Calls += float64((n + per - 1) / per)
	}
	clear(s.sentMessages)
	if now >= s.NextSweep {
		s.NextSweep = now + sweepInterval
		s.reports.RemoveExpired(now)
		maps.DeleteFunc(s.Counters, func(_ limitScope, t *scopeCounter) bool {
			t.decay(now)
			return t.Backlog == 0 && t.RetryAfterUntil <= now &&
				t.Demand+t.Calls+t.Rejections+t.Deliveries+t.Failures < 1e-6
		})
	}
	if now < s.NextCheck {
		return nil
	}
	s.NextCheck = now + publishCheckInterval
	if in.Views != nil {
		s.updateWarmingUp(in.Views())
	}
	return s.publish(now)
}

// NextStep is when a step is due at the latest, even if nothing happens.
func (s *Agent) NextStep() time.Duration { return s.NextCheck }

// Reports is what the Seam has heard. It must only be asked.
func (s *Agent) Reports() *loadreport.Table { return s.reports }

func (t *scopeCounter) decay(now time.Duration) {
	if now > t.UpdatedAt {
		f := math.Exp(-float64(now-t.UpdatedAt) / float64(rateWindow))
		t.Demand, t.Calls, t.Rejections, t.Deliveries, t.Failures = f*t.Demand, f*t.Calls, f*t.Rejections, f*t.Deliveries, f*t.Failures
	}
	t.UpdatedAt = now
}

func (s *Agent) counter(at limitScope) *scopeCounter {
	t := s.Counters[at]
	if t == nil {
		t = &scopeCounter{UpdatedAt: s.Now}
		s.Counters[at] = t
	}
	t.decay(s.Now)
	return t
}

// scopeOf is what shares a limit with a route: its destination, or itself where its kind stands apart.
func (s *Agent) scopeOf(route string) limitScope {
	l := s.Endpoints[route]
	if l.Kind >= 0 && l.Kind < len(s.Settings.DestinationKinds) && s.Settings.DestinationKinds[l.Kind].LimitPerEndpoint {
		return limitScope{Destination: l.Destination, Endpoint: route}
	}
	return limitScope{Destination: l.Destination}
}

// setWaiting books that a message waits or no longer does, at its destination: which route it will take is not known.
func (s *Agent) setWaiting(id uint32, h pendingMessage, waiting bool) {
	if h.Waiting == waiting {
		return
	}
	t := s.counter(limitScope{Destination: h.Destination})
	if waiting {
		t.Backlog++
	} else {
		t.Backlog = max(0, t.Backlog-1)
	}
	h.Waiting = waiting
	s.Pending[id] = h
}

func (s *Agent) removeMessage(id uint32) {
	if h, ok := s.Pending[id]; ok {
		s.setWaiting(id, h, false)
		delete(s.Pending, id)
	}
}

func (s *Agent) observeEvent(e *policy.Event) {
	switch e.Kind {
	case policy.MessageAccepted:
		s.removeMessage(e.MessageID)
		if e.Recovered == nil {
			s.counter(limitScope{Destination: e.Destination}).Demand++
		}
		s.setWaiting(e.MessageID, pendingMessage{Destination: e.Destination}, true)
	case policy.MessageCancelled:
		s.removeMessage(e.MessageID)
	case policy.AttemptFinished, policy.HealthChecked:
		s.attemptFinished(e)
	case policy.EndpointSnapshot, policy.EndpointDelta:
		s.updateEndpoints(e)
	}
}

func (s *Agent) attemptFinished(e *policy.Event) {
	if _, ok := s.Endpoints[e.Endpoint]; ok {
		t := s.counter(s.scopeOf(e.Endpoint))
		switch e.Outcome {
		case policy.OK:
			t.Deliveries++
			s.recordOutcome(e.Endpoint, false)
		case policy.Overloaded:
			t.Rejections++
			s.recordOutcome(e.Endpoint, true)
		case policy.Error, policy.Timeout, policy.ConnectFailed, policy.Reset:
			t.Failures++
		}
		if e.RetryAfter > 0 {
			t.RetryAfterUntil = max(t.RetryAfterUntil, s.Now+e.RetryAfter)
		}
	}
	if h, ok := s.Pending[e.MessageID]; ok && e.Kind == policy.AttemptFinished {
		if e.MessageEnded {
			s.removeMessage(e.MessageID)
		} else {
			s.setWaiting(e.MessageID, h, true)
		}
	}
}

func (s *Agent) observeAction(a *policy.Action) {
	switch a.Kind {
	case policy.Send:
		if h, ok := s.Pending[a.MessageID]; ok {
			s.setWaiting(a.MessageID, h, false)
		}
		if _, ok := s.Endpoints[a.Endpoint]; ok {
			s.sentMessages[limitScope{Endpoint: a.Endpoint}]++
		}
	case policy.Reject, policy.Fail:
		s.removeMessage(a.MessageID)
	case policy.RequestQuota:
		if s.quota != nil {
			s.quota.Request(s.Now, s.quotaScope(a.Endpoint), a.Calls)
		}
	}
}

func (s *Agent) quotaScope(route string) quota.Scope {
	at := s.scopeOf(route)
	return quota.Scope{Destination: at.Destination, Endpoint: at.Endpoint}
}

// recordOutcome counts for what is believed of a limit. What a host refuses that may be cold tells of that, and the module's
// recovery budget is for it.
func (s *Agent) recordOutcome(route string, refused bool) {
	if s.quota != nil && !(refused && s.counter(s.scopeOf(route)).WarmingUp) {
		s.quota.RecordOutcome(s.quotaScope(route), refused)
	}
}

// Quota are the member's part in sharing limits; nil: it has none. It must only be asked.
func (s *Agent) Quota() *quota.Ledger { return s.quota }

func (s *Agent) updateEndpoints(e *policy.Event) {
	if e.Kind == policy.EndpointSnapshot {
		clear(s.Endpoints)
	}
	for _, l := range e.Endpoints {
		if l.Removed {
			delete(s.Endpoints, l.ID)
		} else {
			s.Endpoints[l.ID] = endpointInfo{Destination: l.Destination, Kind: l.Kind, Limit: l.Weight}
		}
	}
	limits := s.Limits()
	s.reports.SetLimits(limits)
	if s.quota != nil {
		s.quota.SetLimits(s.Now, limits)
	}
}

// Limits are what the list tells, by destination and route as in the ledger's cells.
func (s *Agent) Limits() loadreport.Limits {
	limits := loadreport.Limits{}
	for route, l := range s.Endpoints {
		at := s.scopeOf(route)
		if l.Limit <= 0 {
			continue
		}
		// of separate routes, backlog and demand are told for the destination
		for _, name := range []string{at.Endpoint, ""} {
			if limits[l.Destination] == nil {
				limits[l.Destination] = map[string]float64{}
			}
			if at.Endpoint != "" && name == "" {
				limits[l.Destination][name] += l.Limit
			} else {
				limits[l.Destination][name] = max(limits[l.Destination][name], l.Limit)
			}
			if at.Endpoint == "" {
				break
			}
		}
	}
	return limits
}

// updateWarmingUp takes from the module which routes it holds to be cold.
func (s *Agent) updateWarmingUp(views []policy.EndpointView) {
	for _, t := range s.Counters {
		t.WarmingUp = false
	}
	for _, v := range views {
		if _, ok := s.Endpoints[v.ID]; ok && (v.WarmingUp || v.Ejected) {
			s.counter(s.scopeOf(v.ID)).WarmingUp = true
		}
	}
}

// publish returns the pages that are due.
func (s *Agent) publish(now time.Duration) (pages []loadreport.Report) {
	cells := map[int][]loadreport.ScopeLoad{}
	for at, t := range s.Counters {
		t.decay(now)
		if c := t.load(at, now); !c.Idle() {
			cells[loadreport.ReportNumber(at.Destination)] = append(cells[loadreport.ReportNumber(at.Destination)], c)
		}
	}
	numbers := slices.Collect(maps.Keys(cells))
	for n := range s.Published {
		if _, ok := cells[n]; !ok {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	rest := s.publishInterval()
	for _, n := range numbers {
		was, told := s.Published[n]
		page := truncateScopes(cells[n])
		if !publishDue(was, page, told, now, rest) {
			continue
		}
		if !told && len(s.Published) >= loadreport.MaxReports {
			continue // more destinations at once than a member may tell of: these wait until others fall idle
		}
		s.Sequence++
		p, err := s.reports.Publish(now, n, s.Sequence, page)
		if err != nil {
			continue // counted; a figure of this relay's own beyond the bounds is not told
		}
		pages = append(pages, p)
		if s.Published[n] = (publishedReport{PublishedAt: now, NextRegular: max(now, was.NextRegular) + rest, Scopes: page}); len(page) == 0 {
			delete(s.Published, n) // an empty page fades like others, and says nothing meanwhile
		}
	}
	return pages
}

// publishInterval is how long a page rests between two tellings, so that all pages of all members together take no more than the
// links have room for. One who hears a part of the fleet alone knows of that part's pages: it is with these that it
// shares links.
func (s *Agent) publishInterval() time.Duration {
	if s.PublishInterval == 0 || s.Now >= s.PublishIntervalAt+publishIntervalRefresh {
		room := gossip.MaxReportRate(len(s.Settings.Members))
		s.PublishInterval, s.PublishIntervalAt = max(
			minPublishInterval,
			time.Duration(float64(s.reports.Count(s.Now))/room*float64(time.Second)),
		), s.Now
	}
	return s.PublishInterval
}

func (t *scopeCounter) load(at limitScope, now time.Duration) loadreport.ScopeLoad {
	rate := func(level float64) float64 { return roundForWire(level / rateWindow.Seconds()) }
	return loadreport.ScopeLoad{
		Destination: at.Destination, Endpoint: at.Endpoint, Demand: rate(t.Demand), Calls: rate(t.Calls), Rejections: rate(t.Rejections), Deliveries: rate(t.Deliveries),
		Failures: rate(
			t.Failures,
		), Backlog: t.Backlog, RetryAfter: max(0, t.RetryAfterUntil-now).Round(time.Millisecond), WarmingUp: t.WarmingUp,
	}
}

// roundForWire keeps what fits two bytes on the wire: eleven binary digits, and nothing under a thousandth.
func roundForWire(x float64) float64 {
	if x < 1e-3 {
		return 0
	}
	frac, exp := math.Frexp(min(x, 65000))
	return math.Ldexp(math.Round(frac*(1<<11))/(1<<11), exp)
}

// truncateScopes puts cells into order and leaves the least ones out where a page holds no more.
func truncateScopes(cells []loadreport.ScopeLoad) []loadreport.ScopeLoad {
	byPlace := func(a, b loadreport.ScopeLoad) int {
		return cmp.Or(cmp.Compare(a.Destination, b.Destination), cmp.Compare(a.Endpoint, b.Endpoint))
	}
	slices.SortFunc(cells, func(a, b loadreport.ScopeLoad) int {
		return cmp.Or(cmp.Compare(b.Demand+b.Calls, a.Demand+a.Calls), byPlace(a, b))
	})
	size := 0
	for i, c := range cells {
		if size += maxScopeBytes + len(c.Endpoint); size > maxReportBytes || i == loadreport.MaxScopes {
			cells = cells[:i]
			break
		}
	}
	slices.SortFunc(cells, byPlace)
	return cells
}

// publishDue tells whether a page must be told.
func publishDue(was publishedReport, cells []loadreport.ScopeLoad, told bool, now, rest time.Duration) bool {
	if !told {
		return len(cells) > 0
	}
	if now < was.NextRegular { // only what is urgent goes before its time, and not without end
		return now-was.PublishedAt >= publishCheckInterval && was.NextRegular-now <= (maxUrgentBurst-1)*rest && slices.ContainsFunc(cells, was.urgentChange(now))
	}
	return now-was.PublishedAt >= max(republishInterval, rest) ||
		!slices.EqualFunc(cells, was.Scopes, func(c, o loadreport.ScopeLoad) bool {
			return c.Destination == o.Destination && c.Endpoint == o.Endpoint && !changedNotably(c.Demand, o.Demand) && !changedNotably(c.Calls, o.Calls) && !changedNotably(c.Rejections, o.Rejections) &&
				!changedNotably(c.Deliveries, o.Deliveries) && !changedNotably(c.Failures, o.Failures) && !changedNotably(float64(c.Backlog), float64(o.Backlog))
		}) ||
		slices.ContainsFunc(cells, was.urgentChange(now))
}

// urgentChange tells of a cell whether a wait, a backlog or coldness began or ended since its page was told.
func (p publishedReport) urgentChange(now time.Duration) func(loadreport.ScopeLoad) bool {
	return func(c loadreport.ScopeLoad) bool {
		var o loadreport.ScopeLoad
		if i := slices.IndexFunc(p.Scopes, func(o loadreport.ScopeLoad) bool { return o.Destination == c.Destination && o.Endpoint == c.Endpoint }); i >= 0 {
			o = p.Scopes[i]
		}
		waits := c.RetryAfter > 0 && (o.RetryAfter == 0 || (c.RetryAfter-(o.RetryAfter-(now-p.PublishedAt))).Abs() > 2*publishCheckInterval)
		return waits || c.WarmingUp != o.WarmingUp || (c.Backlog > 0) != (o.Backlog > 0)
	}
}

func changedNotably(a, b float64) bool {
	return math.Abs(a-b) > max(minAbsoluteChange, minRelativeChange*max(a, b))
}

var canonicalEncoding = func() cbor.EncMode {
	mode, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}()

// Snapshot appends the state, the same bytes for the same state.
func (s *Agent) Snapshot(b []byte) []byte {
	x := s.state
	s.reports.Each(s.Now, func(p loadreport.Report) { x.SavedReports = append(x.SavedReports, p) })
	x.SavedQuota = s.quota
	data, err := canonicalEncoding.Marshal(x)
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
	s := New(x.Settings)
	s.reports.SetIncarnation(x.Incarnation)
	pages := x.SavedReports
	if s.quota = x.SavedQuota; s.quota != nil {
		s.quota.FinishRestore()
	}
	x.SavedReports, x.SavedQuota = nil, nil
	for _, m := range []func(){func() { ensureMap(&x.Counters) }, func() { ensureMap(&x.Endpoints) }, func() { ensureMap(&x.Pending) }, func() { ensureMap(&x.Published) }} {
		m()
	}
	s.state = x
	for _, p := range pages {
		if p.Name == x.Settings.Self {
			s.reports.Restore(x.Now, p)
		} else {
			s.reports.Merge(x.Now, p)
		}
	}
	s.reports.SetLimits(s.Limits())
	return s, nil
}

func ensureMap[K comparable, V any](m *map[K]V) {
	if *m == nil {
		*m = map[K]V{}
	}
}
