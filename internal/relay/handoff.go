package relay

import (
	"context"
	"maps"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/policy"
)

// hotRestartState is the state of hot restarts: from the predecessor to this process, and from this process to its
// successor.
type hotRestartState struct {
	predecessor *hotrestart.Conn // nil: this process started without one
	// predecessorTenants are the names of the tenants to which the messages that the predecessor passes on refer.
	predecessorTenants []string
	// stopOwnerTasks cancels the tasks that only the process that owns the journal may run: see startBackground.
	stopOwnerTasks context.CancelFunc

	// Owned by the loop.
	predecessorAttempts map[attemptKey]*attempt // attempts of the predecessor, in calls that have not ended
	successor           *hotrestart.Conn        // the process that is ready to take over or has taken over; nil: none
	handedOver          bool                    // the successor has taken over: this process makes no more decisions

	forwarded forwardedSubmissions
}

// successorReady reports that a process is ready to take over.
type successorReady struct{ conn *hotrestart.Conn }

// successorGone reports that a process that was ready to take over has closed its connection.
type successorGone struct{ conn *hotrestart.Conn }

// handOverRequest requests that the loop hand over. The reply reports whether the loop has done so.
type handOverRequest struct{ reply chan bool }

func (e successorReady) apply(r *Relay, _ *stepState) { r.setSuccessor(e.conn) }

func (e successorGone) apply(r *Relay, _ *stepState) { r.clearSuccessor(e.conn) }

func (e handOverRequest) apply(_ *Relay, s *stepState) { s.handOver = &e }

func (r *Relay) handOverPath() string { return filepath.Join(r.cfg.StateDir, "handover.sock") }

// listenForSuccessor lets another process connect and take over from this one until ctx ends. It does nothing unless
// the platform holds the clients' socket, which the other process needs.
func (r *Relay) listenForSuccessor(ctx context.Context) {
	if r.cfg.InheritedFD == "" {
		return
	}
	l, err := hotrestart.Listen(r.handOverPath())
	if err != nil {
		r.log.Warn("no process can take over from this one", "err", err)
		return
	}
	context.AfterFunc(ctx, func() { _ = l.Close() }) // an error of Close does not matter: no data is lost
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the listener is closed or out of descriptors: the next process recovers from the journal
			}
			go r.serveSuccessor(hotrestart.NewConn(c))
		}
	}()
}

// serveSuccessor serves a process that wants to take over, until that process closes its connection.
func (r *Relay) serveSuccessor(c *hotrestart.Conn) {
	defer func() { _ = c.Close() }() // the other process has closed the connection, or is rejected
	f, err := c.ReceiveGreeting()
	if err != nil || f.Hello == nil {
		return
	}
	r.log.Info("another process is ready to take over", "module", f.Hello.Revision, "own", policy.Revision())
	if !r.post(successorReady{c}) {
		return
	}
	for {
		f, err := c.Receive()
		if err != nil {
			break
		}
		if f.Answer != nil {
			r.forwarded.reply(f.Answer)
		}
	}
	r.post(successorGone{c})
}

// setSuccessor makes a process the one to hand over to, in place of an earlier one.
func (r *Relay) setSuccessor(c *hotrestart.Conn) {
	if r.successor != nil {
		_ = r.successor.Close() // nothing was handed over to the earlier process
	}
	r.successor = c
	r.setSuccessorAlive(true)
	r.sendToSuccessor(hotrestart.Frame{Welcome: true})
}

// clearSuccessor removes the successor, if c is its connection.
func (r *Relay) clearSuccessor(c *hotrestart.Conn) {
	if r.successor == c {
		r.successor = nil
		r.setSuccessorAlive(false)
	}
}

// handOverToSuccessor has the loop hand over if a process is ready to take over, and reports whether the loop
// has done so.
func (r *Relay) handOverToSuccessor() bool {
	request := handOverRequest{make(chan bool, 1)}
	return r.post(request) && <-request.reply
}

// transferState hands over to the successor and reports whether there is one. It runs at the end of a step. From then
// on this process makes no more decisions.
func (r *Relay) transferState() bool {
	if r.successor == nil {
		return false
	}
	r.returnWaitingCalls()
	state := r.exportState()
	if err := r.journal.Close(); err != nil {
		// The successor drops messages of the journal that the state does not list: they have ended.
		r.log.Warn("journal not written at hand-over", "err", err)
	}
	r.handedOver = true
	r.stopOwnerTasks()
	r.egress.Close()
	r.terminating.Store(true)
	if err := r.successor.Send(hotrestart.Frame{State: state}); err != nil {
		r.log.Error("cannot send the state to the successor", "err", err)
	}
	r.log.Info("hand-over to the successor finished", "messages", len(state.Messages), "out", len(state.Attempts))
	r.pending = 0
	return true
}

// exportState returns the state that the successor needs in addition to the journal.
func (r *Relay) exportState() *hotrestart.State {
	s := &hotrestart.State{
		Now:              r.now(),
		At:               time.Now(),
		WakeAt:           r.timerAt,
		Snapshot:         r.engine.Snapshot(nil),
		Config:           r.activeConfig,
		Version:          r.listVersion,
		LargeList:        r.largeList.Load(),
		LastID:           r.lastMessageID,
		PendingEvents:    r.deferredEvents,
		FinishedMessages: r.exportFinished(),
	}
	r.exportEndpoints(s)
	for _, m := range r.messagesInOrder() {
		s.Messages = append(s.Messages, exportMessage(m))
	}
	for c := range r.activeCalls {
		for _, a := range c.attempts {
			s.Attempts = append(s.Attempts, exportAttempt(a))
		}
	}
	for _, a := range r.predecessorAttempts {
		s.Attempts = append(s.Attempts, exportAttempt(a))
	}
	return s
}

// exportFinished returns the messages whose answers only the memory of this process has. They include messages that are
// no longer in the journal, but have an attempt in flight.
func (r *Relay) exportFinished() []hotrestart.FinishedMessage {
	for _, m := range r.messagesInOrder() {
		if m.completed() && !r.journal.Tracks(m.Message) && r.messagesByTrace[m.TraceID] == m {
			r.finished.add(m)
		}
	}
	return r.finished.export()
}

// exportEndpoints adds the endpoint list to a state. Of a long list it adds only the endpoints that the policy holds.
func (r *Relay) exportEndpoints(s *hotrestart.State) {
	if s.LargeList {
		views, _ := r.engine.Views()
		for _, v := range views {
			if e, ok := r.catalog.Endpoint(v.ID); ok {
				s.Endpoints = append(s.Endpoints, hotrestart.Endpoint{Endpoint: e.Endpoint, Addr: e.Addr})
			}
		}
	} else {
		destinations := map[policy.DestinationID]bool{}
		for e := range r.catalog.All() {
			s.Endpoints = append(s.Endpoints, hotrestart.Endpoint{Endpoint: e.Endpoint, Addr: e.Addr})
			destinations[e.Destination] = true
		}
		for destination := range r.catalog.RememberedDestinations() {
			destinations[destination] = true
		}
		s.Destinations = slices.Sorted(maps.Keys(destinations))
	}
	slices.SortFunc(s.Endpoints, func(a, b hotrestart.Endpoint) int { return strings.Compare(a.ID, b.ID) })
}

// exportMessage returns the state of a message that the successor needs in addition to the journal.
func exportMessage(m *message) hotrestart.Message {
	exported := hotrestart.Message{
		ID:              m.ID,
		TraceID:         m.TraceID,
		AttemptsStarted: m.attemptsStarted,
		Completed:       m.completed(),
		HasDuplicates:   m.hasDuplicates,
	}
	if m.resubmittedAs != nil {
		exported.ResubmittedAs = m.resubmittedAs.ID
	}
	return exported
}

// exportAttempt returns the state of an attempt whose call is in flight.
func exportAttempt(a *attempt) hotrestart.Attempt {
	return hotrestart.Attempt{
		ID:       a.message.ID,
		Number:   a.number,
		Endpoint: a.call.EndpointID,
		Zone:     a.call.zone,
		SentAt:   a.call.SentAt,
		Finished: a.finished,
	}
}
