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

// hotRestartState is what a relay knows of the process before it and of the one after it.
type hotRestartState struct {
	predecessor *hotrestart.Conn // nil: this process started without one
	// stopLeading ends what only the process that owns the journal does: it watches the endpoint list and sends
	// final notifications.
	stopLeading context.CancelFunc

	// Owned by the loop.
	remoteAttempts map[attemptKey]*attempt // of the predecessor, without an outcome
	successor      *hotrestart.Conn        // that is ready to take over; nil: none
	handedOver     bool                    // the successor has taken over: this process decides nothing more

	forwarded forwardedSubmissions
}

// successorReady tells that a process is ready to take over.
type successorReady struct{ conn *hotrestart.Conn }

// successorGone tells that such a process has closed its connection.
type successorGone struct{ conn *hotrestart.Conn }

// handOverRequest asks the loop to hand over. The reply tells whether it has.
type handOverRequest struct{ reply chan bool }

func (e successorReady) apply(r *Relay, _ *stepState) { r.setSuccessor(e.conn) }

func (e successorGone) apply(r *Relay, _ *stepState) { r.clearSuccessor(e.conn) }

func (e handOverRequest) apply(_ *Relay, s *stepState) { s.handOff = &e }

func (r *Relay) handoverPath() string { return filepath.Join(r.cfg.StateDir, "handover.sock") }

// listenForSuccessor lets another process take over from this one, where the platform holds the clients' socket.
func (r *Relay) listenForSuccessor(ctx context.Context) {
	if r.cfg.InheritedFD == "" {
		return
	}
	l, err := hotrestart.Listen(r.handoverPath())
	if err != nil {
		r.log.Warn("no process can take over from this one", "err", err)
		return
	}
	context.AfterFunc(ctx, func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // closed, or out of descriptors: then an upgrade is a restart
			}
			go r.serveSuccessor(hotrestart.NewConn(c))
		}
	}()
}

// serveSuccessor hears a process that wants to take over, to its end.
func (r *Relay) serveSuccessor(c *hotrestart.Conn) {
	defer c.Close()
	f, err := c.Receive()
	if err != nil || f.Hello == nil {
		return
	}
	r.log.Info("another process is ready to take over", "module", f.Hello.Revision, "own", policy.Revision())
	if !r.post(successorReady{c}) {
		return
	}
	for err == nil {
		if f, err = c.Receive(); f.Answer != nil {
			r.forwarded.reply(f.Answer)
		}
	}
	r.post(successorGone{c})
}

func (r *Relay) setSuccessor(c *hotrestart.Conn) {
	if r.successor != nil {
		r.successor.Close() // the later one it is
	}
	r.successor = c
	r.sendToSuccessor(hotrestart.Frame{Welcome: true})
}

func (r *Relay) clearSuccessor(c *hotrestart.Conn) {
	if r.successor == c {
		r.successor = nil
	}
}

// handOverToSuccessor has the loop hand over, if there is a process to take over.
func (r *Relay) handOverToSuccessor() bool {
	e := handOverRequest{make(chan bool, 1)}
	return r.post(e) && <-e.reply
}

// transferState hands over, between two steps. From here on this process decides nothing.
func (r *Relay) transferState() bool {
	if r.successor == nil {
		return false
	}
	state := r.exportState()
	if err := r.journal.Close(); err != nil {
		r.log.Warn("handing over: log not written", "err", err) // the state says what has ended
	}
	r.handedOver = true
	r.stopLeading()
	r.egress.Close()
	r.terminating.Store(true)
	if err := r.successor.Send(hotrestart.Frame{State: state}); err != nil {
		r.log.Error("handing over", "err", err)
	}
	r.log.Info("handed over", "messages", len(state.Messages), "out", len(state.Attempts))
	r.pending = 0
	return true
}

// exportState is all that the other process must know beside the log.
func (r *Relay) exportState() *hotrestart.State {
	s := &hotrestart.State{
		Now: r.now(), At: time.Now(), WakeAt: r.timerAt, Snapshot: r.engine.Snapshot(nil), Config: r.activeConfig, Version: r.listVersion,
		LargeList: r.largeList.Load(), LastID: r.lastMessageID, PendingEvents: r.deferredEvents,
	}
	if s.LargeList {
		views, _ := r.engine.Views()
		for _, v := range views {
			if e, ok := r.catalog.Endpoint(v.ID); ok {
				s.Endpoints = append(s.Endpoints, hotrestart.Endpoint{Endpoint: e.Endpoint, Addr: e.Addr})
			}
		}
	} else {
		cells := map[int]bool{}
		for e := range r.catalog.All() {
			s.Endpoints = append(s.Endpoints, hotrestart.Endpoint{Endpoint: e.Endpoint, Addr: e.Addr})
			cells[e.Destination] = true
		}
		for cell := range r.catalog.RememberedDestinations() {
			cells[cell] = true
		}
		s.Destinations = slices.Sorted(maps.Keys(cells))
	}
	slices.SortFunc(s.Endpoints, func(a, b hotrestart.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	for _, m := range r.messagesInOrder() {
		x := hotrestart.Message{ID: m.ID, TraceID: m.TraceID, Sends: m.attemptsStarted, Ended: m.completed, Shared: m.hasDuplicates}
		if m.resubmittedAs != nil {
			x.Next = m.resubmittedAs.ID
		}
		s.Messages = append(s.Messages, x)
	}
	s.FinishedMessages = r.finished.export()
	out := func(a *attempt) {
		s.Attempts = append(
			s.Attempts,
			hotrestart.Attempt{
				ID:       a.message.ID,
				Number:   a.number,
				Endpoint: a.call.EndpointID,
				Zone:     a.call.zone,
				Sent:     a.call.SentAt,
				Finished: a.finished,
			},
		)
	}
	for c := range r.activeCalls {
		for _, a := range c.attempts {
			out(a)
		}
	}
	for _, a := range r.remoteAttempts {
		out(a)
	}
	return s
}
