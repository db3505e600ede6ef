package relay

import (
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

// restoreState goes on where the process before this one has stopped.
func (r *Relay) restoreState(s *hotrestart.State) {
	now := s.Now + max(0, time.Since(s.At))
	r.started = time.Now().Add(-now)
	sender, err := policy.Restore(s.Config.Settings, s.Snapshot)
	known := err == nil
	if known {
		r.engine, r.timerAt = sender, s.WakeAt
		r.applyConfig(s.Config)
		if !reload.Equal(s.Config, r.cfg.Config) {
			r.scheduleConfig(s.Config, r.cfg.Config, 0)
		}
	} else {
		r.log.Warn("the module's state is of another form: going on from the log", "err", err)
	}
	cfg := r.cfg
	cfg.Settings = r.activeConfig.Settings
	r.recorder = newRecording(cfg, r.log, r.logOut, r.started, r.engine, now)
	r.sharedRecorder.Store(r.recorder)
	whole := r.restoreEndpoints(s)
	evs := s.PendingEvents
	if !known {
		evs = []policy.Event{whole}
	}
	r.restoreMessages(s)
	r.restoreAttempts(s)
	r.restoreWorkingSet(s)
	if !known {
		for _, m := range r.messagesInOrder() {
			if m.completed {
				continue
			}
			if m.awaitingRemote = m.inFlight > 0; !m.awaitingRemote {
				evs = append(evs, r.recoveredEvent(m))
			}
		}
	}
	r.restoreFleet(whole)
	r.log.Info("taken over", "messages", len(r.messages), "held", r.pending, "out", len(r.remoteAttempts), "state", known)
	r.execute(r.decide(r.now(), evs), nil)
}

// restoreEndpoints takes up the list of the process before this one, and returns what the module there knew of it. Of a long
// list that is all that goes over: for the rest this process begins from the list that it knows itself, as after a
// restart, and asks for the whole at once.
func (r *Relay) restoreEndpoints(s *hotrestart.State) policy.Event {
	known := r.cfg.Known.Entries
	if s.LargeList {
		for i := range known {
			r.applyEntry(nil, &known[i])
		}
		r.markEndpointsKnown()
		r.snapshotNeeded = true
	} else {
		r.catalog, r.drainingEndpoints, r.listReceived, r.listVersion = catalog.New(), 0, len(s.Destinations) > 0, s.Version
		r.largeList.Store(false)
	}
	whole := policy.Event{Kind: policy.EndpointSnapshot}
	for _, x := range s.Endpoints {
		c := r.catalog.Upsert(catalog.Endpoint{Endpoint: x.Endpoint, Addr: x.Addr})
		r.recordChange(&c)
		whole.Endpoints = append(whole.Endpoints, x.Endpoint)
	}
	for _, cell := range s.Destinations {
		r.catalog.RememberDestination(cell)
	}
	r.endpointsKnown.Store(r.catalog.EndpointCount() > 0)
	return whole
}

// restoreWorkingSet has awake what the module knows of. Where the list is long, the process before knew better than this
// one's list what a destination in use has.
func (r *Relay) restoreWorkingSet(s *hotrestart.State) {
	if !s.LargeList {
		if r.catalog.EndpointCount() > catalog.MaxEagerEndpoints {
			r.switchToLargeList() // its module was told of all
		}
		return
	}
	r.largeList.Store(true)
	r.workingSet = r.newWorkingSet()
	routes := make(map[string]bool, len(s.Endpoints))
	for _, x := range s.Endpoints {
		routes[x.ID] = true
	}
	wake := func(dest int) {
		if !r.workingSet.Activate(dest, r.now()) {
			return
		}
		r.scratch = r.catalog.AppendEndpoints(dest, r.scratch[:0])
		for _, e := range r.scratch {
			if !routes[e.ID] {
				c := r.catalog.Upsert(catalog.Endpoint{Endpoint: removedEndpoint(e)})
				r.recordChange(&c)
			}
		}
	}
	for _, x := range s.Endpoints {
		wake(x.Destination)
	}
	for _, m := range r.messagesInOrder() {
		wake(m.Destination)
	}
}

// restoreMessages takes up the messages of the log, with what the state says of them.
func (r *Relay) restoreMessages(s *hotrestart.State) {
	found := r.recovery
	r.recovery = nil
	r.lastMessageID = s.LastID
	r.finished.restore(s.FinishedMessages)
	told := make(map[uint32]*hotrestart.Message, len(s.Messages))
	for i := range s.Messages {
		told[s.Messages[i].ID] = &s.Messages[i]
	}
	for _, w := range found.Messages {
		r.lastMessageID = max(r.lastMessageID, w.ID)
		x := told[w.ID]
		if x == nil { // its end could not be written
			r.journal.Remove(w)
			continue
		}
		if w.ClassName != "" {
			w.Class = slices.Index(r.activeConfig.ClassNames, w.ClassName)
		}
		m := &message{Message: w, attemptsStarted: x.Sends, completed: x.Ended, hasDuplicates: x.Shared}
		r.messages[m.ID], r.messagesByTrace[m.TraceID] = m, m // in the order in which they were taken: the last of a trace stays
		r.recorder.Label(m.ID, m.TraceID)
		switch {
		case w.Cancelled:
			r.cancelled = append(r.cancelled, m)
		case w.Final != nil:
			r.queueNotification(m)
		}
		if !m.completed {
			r.pending++
		}
	}
	for id, x := range told {
		if r.messages[id] == nil { // nothing is owed, but an attempt is out
			r.messages[id] = &message{
				Message:         &journal.Message{ID: id, TraceID: x.TraceID, Cancelled: true},
				attemptsStarted: x.Sends,
				completed:       true,
			}
		}
	}
	for id, x := range told {
		if x.Next != 0 {
			r.messages[id].resubmittedAs = r.messages[x.Next]
		}
	}
}

// restoreAttempts takes up what is out at the process before this one.
func (r *Relay) restoreAttempts(s *hotrestart.State) {
	r.remoteAttempts = make(map[attemptKey]*attempt, len(s.Attempts))
	for _, x := range s.Attempts {
		m := r.messages[x.ID]
		if m == nil {
			continue // all is over for it
		}
		r.remoteAttempts[attemptKey{x.ID, x.Number}] = &attempt{
			call:     newCall(egress.Call{EndpointID: x.Endpoint, SentAt: x.Sent}, x.Zone),
			message:  m,
			number:   x.Number,
			finished: x.Finished,
		}
		if !x.Finished {
			m.inFlight++
		}
	}
	for _, m := range r.messagesInOrder() {
		r.remove(m)
	}
}

// messagesInOrder are the messages in the order in which they were taken.
func (r *Relay) messagesInOrder() []*message {
	ms := slices.Collect(maps.Values(r.messages))
	slices.SortFunc(ms, func(a, b *message) int { return int(int64(a.ID) - int64(b.ID)) })
	return ms
}
