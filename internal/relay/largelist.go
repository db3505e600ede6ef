package relay

import (
	"cmp"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// maxEvictions bounds how many destinations a step examines for eviction.
	maxEvictions = 128
	// evictInterval is the time until the next step that examines destinations for eviction, if the last step evicted
	// none.
	evictInterval = time.Second
	// defaultWarmUp replaces Settings.WarmUpDuration if that is 0. A destination must have been idle for the warm-up
	// duration before it may be evicted.
	defaultWarmUp = 30 * time.Second
)

// isActive reports whether the policy holds the endpoints of a destination. Of a long list it holds only those of the
// working set.
func (r *Relay) isActive(destination policy.DestinationID) bool {
	return !r.largeList.Load() || r.workingSet.Contains(destination)
}

// loadKnownEndpoints installs the endpoint list of the configuration as the catalog, if the list is long. A short list
// is applied later, by recoverState.
func (r *Relay) loadKnownEndpoints() {
	if r.cfg.KnownCatalog == nil {
		r.catalog = catalog.New()
		return
	}
	r.catalog = r.cfg.KnownCatalog
	r.cfg.KnownCatalog = nil
	if r.cfg.unreadableCount > 0 {
		first := r.cfg.firstUnreadable
		r.log.Warn("unreadable entries of the known endpoint list",
			"count", r.cfg.unreadableCount, "entry", first.Text, "err", first.Err)
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

// newWorkingSet returns an empty working set, whose idle timeout is the warm-up duration.
func (r *Relay) newWorkingSet() *catalog.WorkingSet {
	return catalog.NewWorkingSet(cmp.Or(r.activeConfig.Settings.WarmUpDuration, defaultWarmUp))
}

// switchToLargeList limits the policy to a working set from now on. At first all destinations of the catalog and of
// messages are in the set, because the policy already holds them.
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
	for _, m := range r.messagesInOrder() {
		r.workingSet.Activate(m.Destination, now)
	}
}

// applyPart applies a part of a long list to the catalog, and replies to its sender. The policy receives the resulting
// updates in the next step.
func (r *Relay) applyPart(p *discovery.SnapshotPart) {
	ok := true
	var updates []policy.Endpoint
	switch p.Kind {
	case discovery.PartBegin:
		r.switchToLargeList()
		r.catalog.BeginSnapshot()
		r.receivingSnapshot = true
		r.snapshotTruncated = false
	case discovery.PartEntries:
		updates = r.applyEntries(p.Entries)
	case discovery.PartSweep:
		var removed []catalog.Endpoint
		removed, ok = r.catalog.Sweep(discovery.MaxPartEntries)
		updates = r.endpointsRemoved(nil, removed)
	case discovery.PartEnd:
		ok = !r.snapshotTruncated
		if ok {
			r.listVersion = p.Version
		}
		r.markEndpointsKnown()
		r.receivingSnapshot = false
	}
	if len(updates) > 0 {
		r.deferredEvents = append(r.deferredEvents, policy.Event{Kind: policy.EndpointDelta, Endpoints: updates})
	}
	p.Reply <- ok
}

// applyEntries applies some entries of a list. Drains and removals come first: no more messages are sent to those
// endpoints, and the removals make room in the catalog for new endpoints.
func (r *Relay) applyEntries(entries []discovery.Entry) (updates []policy.Endpoint) {
	var lastEnd map[string]int // by endpoint id: index of the last entry that drains or removes the endpoint
	for i := range entries {
		e := &entries[i]
		if !endsService(e) {
			continue
		}
		if lastEnd == nil {
			lastEnd = map[string]int{}
		}
		lastEnd[e.ID] = i
		updates = r.applyEntry(updates, e)
	}
	for i := range entries {
		e := &entries[i]
		if endsService(e) {
			continue
		}
		if last, ok := lastEnd[e.ID]; ok && i < last {
			continue // a later entry drains or removes the endpoint
		}
		if r.exceedsCatalog(e) {
			r.snapshotTruncated = true
			r.catalogFull.Log(r.log, "endpoints", r.catalog.EndpointCount(), "bytes", r.catalog.Size())
			continue
		}
		updates = r.applyEntry(updates, e)
	}
	return updates
}

// endsService reports whether an entry drains or removes its endpoint.
func endsService(e *discovery.Entry) bool { return e.Err == nil && !e.InService }

// exceedsCatalog reports whether an entry would add an endpoint to a catalog that already holds discovery.MaxEntries,
// or as many bytes as the memory limit allows.
func (r *Relay) exceedsCatalog(e *discovery.Entry) bool {
	full := r.catalog.EndpointCount() >= discovery.MaxEntries ||
		r.catalog.Size() >= r.budget.Limit(memory.EndpointList)
	if !full || e.Err != nil {
		return false
	}
	_, known := r.catalog.Endpoint(e.ID)
	return !known
}

// updateWorkingSet updates the working set for a step. It returns the step's events and the resulting endpoint updates
// in the order that the policy needs: changes of the list, endpoints of destinations that become active, all other
// events, and removals of evicted destinations.
func (r *Relay) updateWorkingSet(now time.Duration, events []policy.Event) []policy.Event {
	out := make([]policy.Event, 0, len(events)+2)
	for _, e := range events {
		if isListEvent(e.Kind) {
			out = append(out, e)
		}
	}
	if activated := r.activateDestinations(now, events); len(activated) > 0 {
		out = append(out, policy.Event{Kind: policy.EndpointDelta, Endpoints: activated})
	}
	for _, e := range events {
		if !isListEvent(e.Kind) {
			out = append(out, e)
		}
	}
	evicted := r.evictDestinations(now)
	if len(evicted) > 0 {
		out = append(out, policy.Event{Kind: policy.EndpointDelta, Endpoints: evicted})
	}
	r.scheduleEviction(len(evicted) > 0)
	return out
}

// isListEvent reports whether events of this kind carry changes of the endpoint list.
func isListEvent(kind policy.EventKind) bool {
	return kind == policy.EndpointDelta || kind == policy.EndpointSnapshot
}

// activateDestinations updates the working set with the destinations of a step's events. It returns the endpoints of
// those that were not in the set before.
func (r *Relay) activateDestinations(now time.Duration, events []policy.Event) (activated []policy.Endpoint) {
	for i := range events {
		switch e := &events[i]; e.Kind {
		case policy.MessageAccepted:
			activated = r.activate(activated, e.Destination, now)
		case policy.AttemptFinished:
			if m := r.messages[e.MessageID]; m != nil {
				r.workingSet.Touch(m.Destination, now)
			}
			if e.RetryAfter != 0 {
				activated = r.activateEndpoint(activated, e.Endpoint, now)
			}
		case policy.HealthChecked:
			activated = r.activateEndpoint(activated, e.Endpoint, now)
		}
	}
	return activated
}

// activateEndpoint activates the destination of an endpoint, if the endpoint is known.
func (r *Relay) activateEndpoint(activated []policy.Endpoint, id string, now time.Duration) []policy.Endpoint {
	endpoint, ok := r.catalog.Endpoint(id)
	if !ok {
		return activated
	}
	return r.activate(activated, endpoint.Destination, now)
}

// activate adds a destination to the working set. If the destination was not in the set before, its endpoints are
// appended to activated.
func (r *Relay) activate(
	activated []policy.Endpoint, destination policy.DestinationID, now time.Duration,
) []policy.Endpoint {
	if !r.workingSet.Activate(destination, now) {
		return activated
	}
	settled := r.workingSet.Settled(destination, now)
	r.scratch = r.catalog.AppendEndpoints(destination, r.scratch[:0])
	for _, e := range r.scratch {
		e.Relisted = settled
		activated = append(activated, e.Endpoint)
	}
	return activated
}

// evictDestinations removes idle destinations from the working set, except those for which the policy holds state that
// it must keep (see policy.Engine.Evictable). It returns the updates that remove their endpoints.
func (r *Relay) evictDestinations(now time.Duration) (evicted []policy.Endpoint) {
	for _, destination := range r.workingSet.EvictIdle(now, maxEvictions, r.engine.Evictable) {
		r.scratch = r.catalog.AppendEndpoints(destination, r.scratch[:0])
		for _, e := range r.scratch {
			evicted = append(evicted, removedEndpoint(e))
		}
	}
	return evicted
}

// scheduleEviction requests a step that examines destinations for eviction. It comes after one tick if this step has
// evicted some, as more may be due, and after evictInterval otherwise.
func (r *Relay) scheduleEviction(evictedSome bool) {
	now := time.Now()
	if r.workingSet.Len() == 0 || now.Before(r.evictAt) {
		return
	}
	delay := evictInterval
	if evictedSome {
		delay = r.cfg.Tick
	}
	r.evictAt = now.Add(delay)
	r.requestStepAfter(delay)
}
