package relay

import (
	"cmp"
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

// restoreState restores the state that the predecessor handed over, and continues from it with a first step.
func (r *Relay) restoreState(s *hotrestart.State) {
	now := s.Now + max(0, time.Since(s.At))
	r.started = time.Now().Add(-now)
	r.predecessorTenants = s.Config.TenantNames
	if !r.hasIndexesOf(s) {
		r.log.Warn("the predecessor has other zones or kinds, continuing from the journal")
		r.discardIndexes(s)
	}
	restored := r.restorePolicy(s)
	cfg := r.cfg
	cfg.Settings = r.activeConfig.Settings
	r.recorder = newRecording(cfg, r.log, r.logOut, r.started, r.engine, now)
	r.sharedRecorder.Store(r.recorder)
	snapshot := r.restoreEndpoints(s)
	health := r.recoveredHealth(r.recovery)
	r.restoreMessages(s)
	r.restoreAttempts(s)
	r.restoreWorkingSet(s)
	events := s.PendingEvents
	if !restored {
		r.continueFrom(s.Config)
		events = append([]policy.Event{snapshot}, health...)
	}
	events = r.recoverMessages(events)
	r.restoreFleet(snapshot)
	r.log.Info("state of the predecessor taken over",
		"messages", len(r.messages), "held", r.pending, "out", len(r.predecessorAttempts), "state", restored)
	r.execute(r.decide(r.now(), events), nil)
}

// restorePolicy restores the policy's state. It returns false if this program cannot read the format of that state.
// The policy then starts without that state, as after a restart.
func (r *Relay) restorePolicy(s *hotrestart.State) bool {
	engine, err := policy.Restore(s.Config.Settings, s.Snapshot)
	if err != nil {
		r.log.Warn("cannot restore the predecessor's policy state, continuing from the journal", "err", err)
		return false
	}
	r.engine = engine
	r.timerAt = s.WakeAt
	r.applyConfig(s.Config)
	if !reload.Equal(s.Config, r.cfg.Config) {
		r.scheduleConfig(s.Config, r.cfg.Config, 0)
	}
	return true
}

// recoverMessages appends the events that pass messages to the policy that it does not have: all, if it starts without
// its earlier state, or those that the predecessor had not passed to its own yet. Messages with attempts in flight at
// the predecessor are passed once these attempts have outcomes.
func (r *Relay) recoverMessages(events []policy.Event) []policy.Event {
	for _, m := range r.messagesInOrder() {
		if m.completed() || r.engine.HasMessage(m.ID) {
			continue
		}
		m.awaitingPredecessor = m.inFlight > 0
		if !m.awaitingPredecessor {
			events = append(events, r.resumedEvent(m))
		}
	}
	return events
}

// restoreEndpoints restores the predecessor's endpoint list, and returns the endpoints that were handed over as an
// event for the policy. Of a long list, only the endpoints that the predecessor's policy holds are handed over. All
// others come from the list in this process's own configuration, as after a restart, and a snapshot is fetched at
// once.
func (r *Relay) restoreEndpoints(s *hotrestart.State) policy.Event {
	if s.LargeList {
		known := r.cfg.Known.Entries
		for i := range known {
			r.applyEntry(nil, &known[i])
		}
		r.markEndpointsKnown()
		r.snapshotNeeded = true
	} else {
		r.catalog = catalog.New()
		r.drainingEndpoints = 0
		r.listReceived = len(s.Destinations) > 0
		r.listVersion = s.Version
		r.largeList.Store(false)
	}
	snapshot := policy.Event{Kind: policy.EndpointSnapshot}
	for _, e := range s.Endpoints {
		change := r.catalog.Upsert(catalog.Endpoint{Endpoint: e.Endpoint, Addr: e.Addr})
		r.recordChange(&change)
		snapshot.Endpoints = append(snapshot.Endpoints, e.Endpoint)
	}
	for _, destination := range s.Destinations {
		r.catalog.RememberDestination(destination)
	}
	r.endpointsKnown.Store(r.catalog.EndpointCount() > 0)
	return snapshot
}

// restoreWorkingSet activates the destinations that the policy holds. With a long list, an active destination keeps
// only the endpoints that the predecessor handed over: they are newer than those in this process's configuration.
func (r *Relay) restoreWorkingSet(s *hotrestart.State) {
	if !s.LargeList {
		if r.catalog.EndpointCount() > catalog.MaxEagerEndpoints {
			r.switchToLargeList() // the predecessor's policy held the whole list
		}
		return
	}
	r.largeList.Store(true)
	r.workingSet = r.newWorkingSet()
	known := make(map[string]bool, len(s.Endpoints))
	for _, e := range s.Endpoints {
		known[e.ID] = true
	}
	for _, e := range s.Endpoints {
		r.restoreDestination(e.Destination, known)
	}
	for _, m := range r.messagesInOrder() {
		r.restoreDestination(m.Destination, known)
	}
}

// restoreDestination activates a destination, and removes those of its endpoints whose ids are not in known: the
// predecessor's policy did not hold them.
func (r *Relay) restoreDestination(destination policy.DestinationID, known map[string]bool) {
	if !r.workingSet.Activate(destination, r.now()) {
		return
	}
	r.scratch = r.catalog.AppendEndpoints(destination, r.scratch[:0])
	for _, e := range r.scratch {
		if known[e.ID] {
			continue
		}
		change := r.catalog.Upsert(catalog.Endpoint{Endpoint: removedEndpoint(e)})
		r.recordChange(&change)
	}
}

// restoreMessages restores the messages of the journal, each with its state at the predecessor.
func (r *Relay) restoreMessages(s *hotrestart.State) {
	recovery := r.recovery
	r.recovery = nil
	r.lastMessageID = s.LastID
	r.finished.restore(s.FinishedMessages)
	states := make(map[policy.MessageID]*hotrestart.Message, len(s.Messages))
	for i := range s.Messages {
		states[s.Messages[i].ID] = &s.Messages[i]
	}
	for _, m := range recovery.Messages {
		r.lastMessageID = max(r.lastMessageID, m.ID)
		state := states[m.ID]
		if state == nil { // the message has ended, but the predecessor could not write that to the journal
			r.journal.Remove(m)
			continue
		}
		r.restoreMessage(m, state)
	}
	for id, state := range states {
		if r.messages[id] == nil { // the message has ended, but an attempt is in flight
			r.trackRestored(&message{
				Message:         &journal.Message{ID: id, TraceID: state.TraceID, Cancelled: true},
				attemptsStarted: state.AttemptsStarted,
				result:          resultCancelled,
			})
		}
	}
	for id, state := range states {
		if state.ResubmittedAs != 0 {
			r.messages[id].resubmittedAs = r.messages[state.ResubmittedAs]
		}
	}
}

// restoreMessage restores a message of the journal. It must be called in the order in which messages were accepted, so
// that messagesByTrace has the latest message of each trace id.
func (r *Relay) restoreMessage(recovered *journal.Message, state *hotrestart.Message) {
	r.resolveIndexes(recovered)
	m := &message{
		Message:         recovered,
		attemptsStarted: state.AttemptsStarted,
		result:          recordedResult(recovered),
		hasDuplicates:   state.HasDuplicates,
	}
	if state.Completed && !m.completed() {
		m.result = resultCancelled // the predecessor decides nothing more on it, and does not say why
	}
	r.trackRestored(m)
	r.messagesByTrace[m.TraceID] = m
	r.recorder.Label(m.ID, m.TraceID)
	switch {
	case recovered.Cancelled:
		r.keepRecovered(m)
	case recovered.Final != nil:
		r.queueNotification(m)
	}
	if !m.completed() {
		r.pending++
	}
}

// restoreAttempts restores the attempts that are in flight at the predecessor. Then it deletes the messages for which
// nothing is left to do: see remove.
func (r *Relay) restoreAttempts(s *hotrestart.State) {
	r.predecessorAttempts = make(map[attemptKey]*attempt, len(s.Attempts))
	for _, remote := range s.Attempts {
		m := r.messages[remote.ID]
		if m == nil {
			continue // no message is left that the outcome could change
		}
		r.predecessorAttempts[attemptKey{remote.ID, remote.Number}] = &attempt{
			call:     newCall(egress.Call{EndpointID: remote.Endpoint, SentAt: remote.SentAt}, remote.Zone),
			message:  m,
			number:   remote.Number,
			finished: remote.Finished,
		}
		if !remote.Finished {
			m.inFlight++
		}
	}
	for _, m := range r.messagesInOrder() {
		r.remove(m)
	}
}

// messagesInOrder returns the messages in the order in which they were accepted.
func (r *Relay) messagesInOrder() []*message {
	messages := slices.Collect(maps.Values(r.messages))
	slices.SortFunc(messages, func(a, b *message) int { return cmp.Compare(a.ID, b.ID) })
	return messages
}
