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
	// sliceMost is how many entries the loop takes at once: well under a millisecond's work.
	sliceMost = 512
	// restMost bounds how many destinations a step looks at that may be put to rest.
	restMost = 128
	// restEvery is how often that is looked at while nothing else happens.
	restEvery = time.Second
	// usualWarm is what the module goes by where the settings tell no time to warm up.
	usualWarm = 30 * time.Second
)

// stage is what a part of a long list is.
type stage int

const (
	listOpens  stage = iota // of a list
	listSlice               // some of its entries
	listSweep               // of those that a whole list did not name
	listCloses              // all has been told: its version holds
)

// part is a part of a long list. The next one comes once done has its answer.
type part struct {
	stage   stage
	entries []entry
	version int64
	// done takes one answer without waiting. For a sweep: whether that was all. For the end: whether there was room for
	// it all.
	done chan bool
}

// holdings is what the loop knows of hosts.
type holdings struct {
	catalog   *catalog.Catalog
	named     bool // a list was read: a destination that none has named is unknown
	draining  int  // hosts that are not in service
	receiving bool // a long list is coming, or broke off
	askWhole  bool // what the configuration knows may lack some
	overfull  bool // entries of the list that comes now found no room

	unheld ratelog.Warning // hosts for which there is no room

	// Of a long list:
	awake  *catalog.WorkingSet // what the module was told of
	restAt time.Time           // looked at again then; zero: nobody has asked for that
	of     []catalog.Endpoint  // scratch
}

// list takes a list of hosts, or changes to it, and returns what the module is told. An entry that cannot be read is
// passed over; if it names a host that is known, that host stays as it was.
func (r *Relay) list(l List) []policy.Event {
	r.version = l.Version
	if l.Full {
		r.catalog.BeginSnapshot()
	}
	e := policy.Event{Kind: policy.EndpointDelta}
	if r.large.Load() {
		e.Endpoints = r.slice(l.Entries)
	} else {
		for i := range l.Entries {
			e.Endpoints = r.entry(e.Endpoints, &l.Entries[i])
		}
	}
	if l.Full {
		removed, _ := r.catalog.Sweep(math.MaxInt)
		e.Endpoints = r.swept(e.Endpoints, removed)
	}
	r.holdsList()
	if !r.large.Load() {
		if l.Full {
			e.Kind = policy.EndpointSnapshot
		}
		if r.catalog.EndpointCount() > catalog.MaxEagerEndpoints {
			r.enlarge()
		}
	} else if len(e.Endpoints) == 0 {
		return nil
	}
	return []policy.Event{e}
}

// holdsList notes that a list is known to its end.
func (r *Relay) holdsList() {
	if r.catalog.EndpointCount() > 0 {
		r.named = true
		r.listed.Store(true)
	}
}

// entry takes an entry of a list, and adds what the module is told of it.
func (r *Relay) entry(told []policy.Endpoint, e *entry) []policy.Endpoint {
	if e.err != nil {
		r.unlisted.Log(r.log, "entry", e.text, "err", e.err)
		if known, ok := r.catalog.MarkSeen(e.ID); ok && !r.large.Load() {
			return append(told, known.Endpoint)
		}
		return told
	}
	c := r.catalog.Upsert(e.Endpoint)
	r.changed(&c)
	if c.Kind == catalog.Moved && c.Old.Destination != e.Destination && r.hears(c.Old.Destination) {
		// a route's gate is its destination's for good: it begins anew at the other one
		told = append(told, departed(c.Old))
	}
	switch {
	case !r.large.Load():
		return append(told, e.Endpoint.Endpoint)
	case c.Kind == catalog.Unchanged:
		return told
	case c.Kind == catalog.Removed && r.hears(c.Old.Destination):
		return append(told, departed(c.Old))
	case c.Kind != catalog.Removed && r.hears(e.Destination):
		return append(told, e.Endpoint.Endpoint)
	}
	return told
}

// changed books a change of the catalog: calls go to no address that a host has left.
func (r *Relay) changed(c *catalog.Change) {
	if r.awake != nil &&
		(c.Kind == catalog.Added || c.Kind == catalog.Moved && c.Old.Destination != c.New.Destination) {
		r.awake.EndpointAdded(c.New.Destination, r.now())
	}
	if c.Kind == catalog.Removed || c.Kind == catalog.Moved && c.Old.Addr != c.New.Addr {
		r.hosts.closeIdle(c.Old.ID)
	}
	if (c.Kind == catalog.Updated || c.Kind == catalog.Moved || c.Kind == catalog.Removed) && !c.Old.InService {
		r.draining--
	}
	if (c.Kind == catalog.Updated || c.Kind == catalog.Moved || c.Kind == catalog.Added) && !c.New.InService {
		r.draining++
	}
}

// swept takes hosts that a whole list did not name, and adds what the module is told of them. It needs not be where it
// is told the whole.
func (r *Relay) swept(told []policy.Endpoint, removed []catalog.Endpoint) []policy.Endpoint {
	for _, was := range removed {
		r.changed(&catalog.Change{Old: was, Kind: catalog.Removed})
		if r.large.Load() && r.hears(was.Destination) {
			told = append(told, departed(was))
		}
	}
	return told
}

func departed(e catalog.Endpoint) policy.Endpoint {
	return policy.Endpoint{ID: e.ID, Destination: e.Destination, Kind: e.Kind, Zone: e.Zone, Removed: true}
}

// hears tells whether the module knows of a destination.
func (r *Relay) hears(dest int) bool { return !r.large.Load() || r.awake.Contains(dest) }

// Long lists.

// holdKnown has the relay hold the list that its configuration knows, if that is long. A short one is told to the
// module by resume.
func (r *Relay) holdKnown() {
	if r.catalog = r.cfg.Long; r.catalog == nil {
		r.catalog = catalog.New()
		return
	}
	r.cfg.Long = nil
	if r.cfg.unreadable > 0 {
		r.log.Warn(
			"unreadable entries of the known list",
			"count",
			r.cfg.unreadable,
			"entry",
			r.cfg.firstUnreadable.text,
			"err",
			r.cfg.firstUnreadable.err,
		)
	}
	for e := range r.catalog.All() {
		if !e.InService {
			r.draining++
		}
	}
	r.large.Store(true)
	r.awake = r.newAwake()
	r.holdsList()
}

func (r *Relay) newAwake() *catalog.WorkingSet {
	return catalog.NewWorkingSet(cmp.Or(r.terms.Settings.WarmUpDuration, usualWarm))
}

// gather takes an event into a step's batch. Of a long list all parts but the first are taken at once: nothing that
// came before it waits in the batch.
func (r *Relay) gather(batch []any, e any) []any {
	if p, ok := e.(*part); ok && p.stage != listOpens && !r.handed {
		r.takePart(p)
		return batch
	}
	return append(batch, e)
}

// pause waits for the next step's time. Parts of a long list are taken meanwhile.
func (r *Relay) pause(batch []any, rest time.Duration) []any {
	if rest <= 0 {
		return batch
	}
	if !r.receiving {
		time.Sleep(rest)
		return batch
	}
	due := time.NewTimer(rest)
	defer due.Stop()
	for len(batch) < batchMost {
		select {
		case e := <-r.events:
			batch = r.gather(batch, e)
		case <-due.C:
			return batch
		}
	}
	<-due.C
	return batch
}

// enlarge has the relay go by a long list from here on. The module knows all that stands in the catalog.
func (r *Relay) enlarge() {
	if r.large.Load() {
		return
	}
	r.large.Store(true)
	r.awake = r.newAwake()
	now := r.now()
	for e := range r.catalog.All() {
		r.awake.Activate(e.Destination, now)
	}
	for _, m := range r.inOrder() {
		r.awake.Activate(m.Destination, now)
	}
}

// takePart takes a part of a long list. What the module hears of it, it hears in the next step.
func (r *Relay) takePart(p *part) {
	ok := true
	var told []policy.Endpoint
	switch p.stage {
	case listOpens:
		r.enlarge()
		r.catalog.BeginSnapshot()
		r.receiving, r.overfull = true, false
	case listSlice:
		told = r.slice(p.entries)
	case listSweep:
		var removed []catalog.Endpoint
		removed, ok = r.catalog.Sweep(sliceMost)
		told = r.swept(nil, removed)
	case listCloses:
		if ok = !r.overfull; ok {
			r.version = p.version
		}
		r.holdsList()
		r.receiving = false
	}
	if len(told) > 0 {
		r.later = append(r.later, policy.Event{Kind: policy.EndpointDelta, Endpoints: told})
	}
	p.done <- ok
}

// slice takes some entries of a list: those that end something first.
func (r *Relay) slice(entries []entry) (told []policy.Endpoint) {
	var ended map[string]int // the last entry that ends so
	for i := range entries {
		if e := &entries[i]; e.err == nil && !e.InService {
			if ended == nil {
				ended = map[string]int{}
			}
			ended[e.ID] = i
			told = r.entry(told, e)
		}
	}
	for i := range entries {
		e := &entries[i]
		if e.err == nil && !e.InService {
			continue
		}
		if last, ok := ended[e.ID]; ok && i < last {
			continue // what came behind it holds
		}
		if r.catalog.EndpointCount() >= entriesMost && e.err == nil {
			if _, known := r.catalog.Endpoint(e.ID); !known {
				r.overfull = true
				r.unheld.Log(r.log, "most", entriesMost)
				continue
			}
		}
		told = r.entry(told, e)
	}
	return told
}

// rouse has the module told of destinations at rest before what concerns them, and of changes of the list before all
// else. Then it puts some to rest that have nothing to remember.
func (r *Relay) rouse(now time.Duration, events []policy.Event) []policy.Event {
	out := make([]policy.Event, 0, len(events)+2)
	for _, e := range events {
		if e.Kind == policy.EndpointDelta || e.Kind == policy.EndpointSnapshot {
			out = append(out, e)
		}
	}
	var woken []policy.Endpoint
	wake := func(dest int) {
		if !r.awake.Activate(dest, now) {
			return
		}
		settled := r.awake.Settled(dest, now)
		r.of = r.catalog.AppendEndpoints(dest, r.of[:0])
		for _, e := range r.of {
			e.Relisted = settled
			woken = append(woken, e.Endpoint)
		}
	}
	for i := range events {
		switch e := &events[i]; e.Kind {
		case policy.MessageAccepted:
			wake(e.Destination)
		case policy.AttemptFinished:
			if m := r.msgs[e.MessageID]; m != nil {
				r.awake.Touch(m.Destination, now)
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
	for _, dest := range r.awake.EvictIdle(now, restMost, r.sender.Evictable) {
		r.of = r.catalog.AppendEndpoints(dest, r.of[:0])
		for _, e := range r.of {
			resting = append(resting, departed(e))
		}
	}
	if len(resting) > 0 {
		out = append(out, policy.Event{Kind: policy.EndpointDelta, Endpoints: resting})
	}
	r.restAgain(len(resting) > 0)
	return out
}

// restAgain asks for a step in which more destinations are put to rest.
func (r *Relay) restAgain(more bool) {
	now := time.Now()
	if r.awake.Len() == 0 || now.Before(r.restAt) {
		return
	}
	after := restEvery
	if more {
		after = r.cfg.Tick
	}
	r.restAt = now.Add(after)
	time.AfterFunc(after, func() { r.post(nudge{}) })
}
