package relay

import (
	"cmp"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

// isActive tells whether the module knows of a destination.
func (r *Relay) isActive(dest int) bool { return !r.largeList.Load() || r.workingSet.Contains(dest) }

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
func (r *Relay) applyPart(p *discovery.SnapshotPart) {
	ok := true
	var told []policy.Endpoint
	switch p.Kind {
	case discovery.PartBegin:
		r.switchToLargeList()
		r.catalog.BeginSnapshot()
		r.receivingSnapshot, r.snapshotTruncated = true, false
	case discovery.PartEntries:
		told = r.applyEntries(p.Entries)
	case discovery.PartSweep:
		var removed []catalog.Endpoint
		removed, ok = r.catalog.Sweep(discovery.MaxPartEntries)
		told = r.endpointsRemoved(nil, removed)
	case discovery.PartEnd:
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
func (r *Relay) applyEntries(entries []discovery.Entry) (told []policy.Endpoint) {
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
		if r.catalog.EndpointCount() >= discovery.MaxEntries && e.Err == nil {
			if _, known := r.catalog.Endpoint(e.ID); !known {
				r.snapshotTruncated = true
				r.catalogFull.Log(r.log, "most", discovery.MaxEntries)
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
