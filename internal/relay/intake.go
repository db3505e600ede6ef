package relay

import (
	"cmp"
	"math"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// How the loop takes discovery's list. All of it stands in the catalog. One of up to catalog.WholeMost hosts is told to
// the module as it comes. Of a longer one the module hears only what it needs: the destinations in use. Such a list
// comes in parts, each applied between two steps.

const (
	// MaxPartEntries is how many entries the loop takes at once: well under a millisecond's work.
	MaxPartEntries = 512
	// maxEvictions bounds how many destinations a step looks at that may be put to rest.
	maxEvictions = 128
	// evictInterval is how often that is looked at while nothing else happens.
	evictInterval = time.Second
	// defaultWarmUp is what the module goes by where the settings tell no time to warm up.
	defaultWarmUp = 30 * time.Second
)

// PartKind is what a part of a long list is.
type PartKind int

const (
	PartBegin   PartKind = iota // of a list
	PartEntries                 // some of its entries
	PartSweep                   // of those that a whole list did not name
	PartEnd                     // all has been told: its version holds
)

// SnapshotPart is a part of a long list. The next one comes once done has its answer.
type SnapshotPart struct {
	Kind    PartKind
	Entries []Entry
	Version int64
	// done takes one answer without waiting. For a sweep: whether that was all. For the end: whether there was room for
	// it all.
	Reply chan bool
}

// endpointState is what the loop knows of hosts.
type endpointState struct {
	catalog           *catalog.Catalog
	listReceived      bool // a list was read: a destination that none has named is unknown
	drainingEndpoints int  // hosts that are not in service
	receivingSnapshot bool // a long list is coming, or broke off
	snapshotNeeded    bool // what the configuration knows may lack some
	snapshotTruncated bool // entries of the list that comes now found no room

	catalogFull ratelog.Warning // hosts for which there is no room

	// Of a long list:
	workingSet *catalog.WorkingSet // what the module was told of
	evictAt    time.Time           // looked at again then; zero: nobody has asked for that
	scratch    []catalog.Endpoint  // scratch
}

// applyList takes a list of hosts, or changes to it, and returns what the module is told. An entry that cannot be read
// is passed over; if it names a host that is known, that host stays as it was.
func (r *Relay) applyList(l List) []policy.Event {
	r.listVersion = l.Version
	if l.Full {
		r.catalog.BeginSnapshot()
	}
	e := policy.Event{Kind: policy.EndpointDelta}
	if r.largeList.Load() {
		e.Endpoints = r.applyEntries(l.Entries)
	} else {
		for i := range l.Entries {
			e.Endpoints = r.applyEntry(e.Endpoints, &l.Entries[i])
		}
	}
	if l.Full {
		removed, _ := r.catalog.Sweep(math.MaxInt)
		e.Endpoints = r.endpointsRemoved(e.Endpoints, removed)
	}
	r.markEndpointsKnown()
	if !r.largeList.Load() {
		if l.Full {
			e.Kind = policy.EndpointSnapshot
		}
		if r.catalog.EndpointCount() > catalog.MaxEagerEndpoints {
			r.switchToLargeList()
		}
	} else if len(e.Endpoints) == 0 {
		return nil
	}
	return []policy.Event{e}
}

// markEndpointsKnown notes that a list is known to its end.
func (r *Relay) markEndpointsKnown() {
	if r.catalog.EndpointCount() > 0 {
		r.listReceived = true
		r.endpointsKnown.Store(true)
	}
}

// applyEntry takes an entry of a list, and adds what the module is told of it.
func (r *Relay) applyEntry(told []policy.Endpoint, e *Entry) []policy.Endpoint {
	if e.Err != nil {
		r.unreadableEntries.Log(r.log, "entry", e.Text, "err", e.Err)
		if known, ok := r.catalog.MarkSeen(e.ID); ok && !r.largeList.Load() {
			return append(told, known.Endpoint)
		}
		return told
	}
	c := r.catalog.Upsert(e.Endpoint)
	r.recordChange(&c)
	if c.Kind == catalog.Moved && c.Old.Destination != e.Destination && r.isActive(c.Old.Destination) {
		// a route's gate is its destination's for good: it begins anew at the other one
		told = append(told, removedEndpoint(c.Old))
	}
	switch {
	case !r.largeList.Load():
		return append(told, e.Endpoint.Endpoint)
	case c.Kind == catalog.Unchanged:
		return told
	case c.Kind == catalog.Removed && r.isActive(c.Old.Destination):
		return append(told, removedEndpoint(c.Old))
	case c.Kind != catalog.Removed && r.isActive(e.Destination):
		return append(told, e.Endpoint.Endpoint)
	}
	return told
}

// recordChange books a change of the catalog: calls go to no address that a host has left.
func (r *Relay) recordChange(c *catalog.Change) {
	if r.workingSet != nil &&
		(c.Kind == catalog.Added || c.Kind == catalog.Moved && c.Old.Destination != c.New.Destination) {
		r.workingSet.EndpointAdded(c.New.Destination, r.now())
	}
	if c.Kind == catalog.Removed || c.Kind == catalog.Moved && c.Old.Addr != c.New.Addr {
		r.hosts.closeIdle(c.Old.ID)
	}
	if (c.Kind == catalog.Updated || c.Kind == catalog.Moved || c.Kind == catalog.Removed) && !c.Old.InService {
		r.drainingEndpoints--
	}
	if (c.Kind == catalog.Updated || c.Kind == catalog.Moved || c.Kind == catalog.Added) && !c.New.InService {
		r.drainingEndpoints++
	}
}

// endpointsRemoved takes hosts that a whole list did not name, and adds what the module is told of them. It needs not
// be where it is told the whole.
func (r *Relay) endpointsRemoved(told []policy.Endpoint, removed []catalog.Endpoint) []policy.Endpoint {
	for _, was := range removed {
		r.recordChange(&catalog.Change{Old: was, Kind: catalog.Removed})
		if r.largeList.Load() && r.isActive(was.Destination) {
			told = append(told, removedEndpoint(was))
		}
	}
	return told
}

func removedEndpoint(e catalog.Endpoint) policy.Endpoint {
	return policy.Endpoint{ID: e.ID, Destination: e.Destination, Kind: e.Kind, Zone: e.Zone, Removed: true}
}

// isActive tells whether the module knows of a destination.
func (r *Relay) isActive(dest int) bool { return !r.largeList.Load() || r.workingSet.Contains(dest) }

// Long lists.

// loadKnownEndpoints has the relay hold the list that its configuration knows, if that is long. A short one is told to
// the module by resume.
func (r *Relay) loadKnownEndpoints() {
	if r.catalog = r.cfg.KnownCatalog; r.catalog == nil {
		r.catalog = catalog.New()
		return
	}
	r.cfg.KnownCatalog = nil
	if r.cfg.unreadable > 0 {
		r.log.Warn(
			"unreadable entries of the known list",
			"count",
			r.cfg.unreadable,
			"entry",
			r.cfg.firstUnreadable.Text,
			"err",
			r.cfg.firstUnreadable.Err,
		)
	}
	for e := range r.catalog.All() {
		if !e.InService {
			r.drainingEndpoints++
		}
	}
	r.largeList.Store(true)
	r.workingSet = r.newWorkingSet()
	r.markEndpointsKnown()
}

func (r *Relay) newWorkingSet() *catalog.WorkingSet {
	return catalog.NewWorkingSet(cmp.Or(r.activeConfig.Settings.WarmUpDuration, defaultWarmUp))
}

// collect takes an event into a step's batch. Of a long list all parts but the first are taken at once: nothing that
// came before it waits in the batch.
func (r *Relay) collect(batch []any, e any) []any {
	if p, ok := e.(*SnapshotPart); ok && p.Kind != PartBegin && !r.handed {
		r.applyPart(p)
		return batch
	}
	return append(batch, e)
}

// waitForTick waits for the next step's time. Parts of a long list are taken meanwhile.
func (r *Relay) waitForTick(batch []any, rest time.Duration) []any {
	if rest <= 0 {
		return batch
	}
	if !r.receivingSnapshot {
		time.Sleep(rest)
		return batch
	}
	due := time.NewTimer(rest)
	defer due.Stop()
	for len(batch) < maxBatchEvents {
		select {
		case e := <-r.events:
			batch = r.collect(batch, e)
		case <-due.C:
			return batch
		}
	}
	<-due.C
	return batch
}

// switchToLargeList has the relay go by a long list from here on. The module knows all that stands in the catalog.
func (r *Relay) switchToLargeList() {
	if r.largeList.Load() {
		return
	}
	r.largeList.Store(true)
	r.workingSet = r.newWorkingSet()
	now := r.now()
	for e := range r.catalog.All() {
		r.workingSet.Activate(e.Destination, now)
	}
	for _, m := range r.inOrder() {
		r.workingSet.Activate(m.Destination, now)
	}
}

// applyPart takes a part of a long list. What the module hears of it, it hears in the next step.
func (r *Relay) applyPart(p *SnapshotPart) {
	ok := true
	var told []policy.Endpoint
	switch p.Kind {
	case PartBegin:
		r.switchToLargeList()
		r.catalog.BeginSnapshot()
		r.receivingSnapshot, r.snapshotTruncated = true, false
	case PartEntries:
		told = r.applyEntries(p.Entries)
	case PartSweep:
		var removed []catalog.Endpoint
		removed, ok = r.catalog.Sweep(MaxPartEntries)
		told = r.endpointsRemoved(nil, removed)
	case PartEnd:
		if ok = !r.snapshotTruncated; ok {
			r.listVersion = p.Version
		}
		r.markEndpointsKnown()
		r.receivingSnapshot = false
	}
	if len(told) > 0 {
		r.deferredEvents = append(r.deferredEvents, policy.Event{Kind: policy.EndpointDelta, Endpoints: told})
	}
	p.Reply <- ok
}

// applyEntries takes some entries of a list: those that end something first.
func (r *Relay) applyEntries(entries []Entry) (told []policy.Endpoint) {
	var ended map[string]int // the last entry that ends so
	for i := range entries {
		if e := &entries[i]; e.Err == nil && !e.InService {
			if ended == nil {
				ended = map[string]int{}
			}
			ended[e.ID] = i
			told = r.applyEntry(told, e)
		}
	}
	for i := range entries {
		e := &entries[i]
		if e.Err == nil && !e.InService {
			continue
		}
		if last, ok := ended[e.ID]; ok && i < last {
			continue // what came behind it holds
		}
		if r.catalog.EndpointCount() >= MaxEntries && e.Err == nil {
			if _, known := r.catalog.Endpoint(e.ID); !known {
				r.snapshotTruncated = true
				r.catalogFull.Log(r.log, "most", MaxEntries)
				continue
			}
		}
		told = r.applyEntry(told, e)
	}
	return told
}

// wakeDestinations has the module told of destinations at rest before what concerns them, and of changes of the list
// before all else. Then it puts some to rest that have nothing to remember.
func (r *Relay) wakeDestinations(now time.Duration, events []policy.Event) []policy.Event {
	out := make([]policy.Event, 0, len(events)+2)
	for _, e := range events {
		if e.Kind == policy.EndpointDelta || e.Kind == policy.EndpointSnapshot {
			out = append(out, e)
		}
	}
	var woken []policy.Endpoint
	wake := func(dest int) {
		if !r.workingSet.Activate(dest, now) {
			return
		}
		settled := r.workingSet.Settled(dest, now)
		r.scratch = r.catalog.AppendEndpoints(dest, r.scratch[:0])
		for _, e := range r.scratch {
			e.Relisted = settled
			woken = append(woken, e.Endpoint)
		}
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case policy.MessageAccepted:
			wake(e.Destination)
		case policy.AttemptFinished:
			if m := r.messages[e.MessageID]; m != nil {
				r.workingSet.Touch(m.Destination, now)
			}
			if e.RetryAfter == 0 {
				break
			}
			fallthrough
		case policy.HealthChecked:
			if at, ok := r.catalog.Endpoint(e.Endpoint); ok {
				wake(at.Destination)
			}
		}
	}
	if len(woken) > 0 {
		out = append(out, policy.Event{Kind: policy.EndpointDelta, Endpoints: woken})
	}
	for _, e := range events {
		if e.Kind != policy.EndpointDelta && e.Kind != policy.EndpointSnapshot {
			out = append(out, e)
		}
	}
	var resting []policy.Endpoint
	for _, dest := range r.workingSet.EvictIdle(now, maxEvictions, r.engine.Evictable) {
		r.scratch = r.catalog.AppendEndpoints(dest, r.scratch[:0])
		for _, e := range r.scratch {
			resting = append(resting, removedEndpoint(e))
		}
	}
	if len(resting) > 0 {
		out = append(out, policy.Event{Kind: policy.EndpointDelta, Endpoints: resting})
	}
	r.scheduleEviction(len(resting) > 0)
	return out
}

// scheduleEviction asks for a step in which more destinations are put to rest.
func (r *Relay) scheduleEviction(more bool) {
	now := time.Now()
	if r.workingSet.Len() == 0 || now.Before(r.evictAt) {
		return
	}
	after := evictInterval
	if more {
		after = r.cfg.Tick
	}
	r.evictAt = now.Add(after)
	time.AfterFunc(after, func() { r.post(tick{}) })
}
