package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/policy"
)

// drainConnectionsTimeout is how long a process that has handed over serves the connections that its clients have: each answer ends
// one.
const drainConnectionsTimeout = 2 * time.Second

const (
	reservedDiskBytes        = 4 << 10 // bytes of the disk limit for what else stands in the folder
	journalLockTimeout       = 10 * time.Second
	journalLockRetryInterval = 20 * time.Millisecond
)

// hotRestartState is what a relay knows of the process before it and of the one behind it.
type hotRestartState struct {
	predecessor *hotrestart.Conn // to take over from; nil: none
	offers      context.CancelFunc
	// stopLeading ends what only the process that holds the log does: it follows the list and sends notices.
	stopLeading context.CancelFunc

	// Owned by the loop.
	remoteAttempts map[attemptKey]*attempt // out at the process before
	successor      *hotrestart.Conn        // that is ready to take over; nil: none
	handedOver     bool                    // it has: this process decides nothing more

	forwarded forwardedSubmissions
}

// errTerminated tells that a process was to end before it took over.
var errTerminated = errors.New("relay: ended before it took over")

type attemptKey struct {
	messageID uint32
	number    int
}

// The events of the loop in an upgrade.
type (
	remoteOutcome   hotrestart.Outcome
	predecessorGone struct{}
	successorReady  struct{ conn *hotrestart.Conn }
	successorGone   struct{ conn *hotrestart.Conn }
	handOverRequest struct{ reply chan bool }
)

func (e remoteOutcome) apply(r *Relay, s *stepState) {
	s.policyEvents = r.remoteAttemptFinished(s.policyEvents, e)
}

func (predecessorGone) apply(r *Relay, s *stepState) {
	s.policyEvents = r.abandonRemoteAttempts(s.policyEvents)
}

func (e successorReady) apply(r *Relay, _ *stepState) { r.setSuccessor(e.conn) }

func (e successorGone) apply(r *Relay, _ *stepState) { r.clearSuccessor(e.conn) }

func (e handOverRequest) apply(_ *Relay, s *stepState) { s.handOff = &e }

func (r *Relay) handoverPath() string { return filepath.Join(r.cfg.StateDir, "handover.sock") }

func (r *Relay) openJournal() error {
	opt := r.cfg.Operator.Journal.Options(int64(r.cfg.Limits.DiskMB*1e6) - reservedDiskBytes)
	opt.WrapFS = r.cfg.WrapJournalFS
	for end := time.Now().Add(journalLockTimeout); ; time.Sleep(journalLockRetryInterval) {
		j, found, err := journal.OpenFolder(r.cfg.StateDir, opt)
		if errors.Is(err, store.ErrLocked) && r.predecessor != nil && time.Now().Before(end) {
			continue // the process before has broken off, and is not at its end yet
		}
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		r.journal, r.recovery = j, found
		return nil
	}
}

// closeJournal closes the log, unless it is another process's.
func (r *Relay) closeJournal() error {
	if r.journal == nil || r.handedOver {
		return nil
	}
	return r.journal.Close()
}

// The process that takes over.

// takeOver waits until the process before this one hands over, or ends without.
func (r *Relay) takeOver(ctx context.Context) error {
	defer context.AfterFunc(ctx, func() { r.predecessor.Close() })()
	err := r.predecessor.Send(hotrestart.Frame{Hello: &hotrestart.Hello{Revision: policy.Revision()}})
	var f hotrestart.Frame
	if err == nil {
		f, err = r.predecessor.Receive()
	}
	if err == nil && f.Welcome {
		// Not before: told to end between a yes here and the hello there, the first process would end without handing
		// over.
		r.awaitingHandover.Store(true)
		f, err = r.predecessor.Receive()
		r.awaitingHandover.Store(false)
	}
	if ctx.Err() != nil {
		return errTerminated
	}
	r.log.Info("taking over", "state", f.State != nil, "err", err)
	if openErr := r.openJournal(); openErr != nil {
		return openErr
	}
	if err != nil || f.State == nil {
		r.predecessor.Close()
		r.recoverState()
		return nil
	}
	r.restoreState(f.State)
	go r.receiveFromPredecessor()
	return nil
}

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

// receiveFromPredecessor takes what the process before this one still has to tell.
func (r *Relay) receiveFromPredecessor() {
	defer r.post(predecessorGone{})
	defer r.predecessor.Close()
	for {
		f, err := r.predecessor.Receive()
		if err != nil {
			r.log.Info("the process before has ended", "err", err)
			return
		}
		switch {
		case f.Outcome != nil:
			r.post(remoteOutcome(*f.Outcome))
		case f.Cancel != 0:
			r.post(cancelEvent{f.Cancel})
		case f.Submission != nil && f.Submission.Message != nil:
			m := f.Submission.Message
			in := &submitEvent{message: m, reply: make(chan ingress.Response, 1)}
			if !r.post(in) {
				return
			}
			go func() {
				select {
				case a := <-in.reply:
					r.predecessor.Send(
						hotrestart.Frame{
							Answer: &hotrestart.Answer{
								Seq:        f.Submission.Seq,
								ID:         m.ID,
								Status:     a.Status,
								RetryAfter: a.RetryAfter,
								Text:       a.Text,
							},
						},
					)
				case <-r.loopDone:
				}
			}()
		}
	}
}

// remoteAttemptFinished takes the outcome of an attempt of the process before this one.
func (r *Relay) remoteAttemptFinished(evs []policy.Event, o remoteOutcome) []policy.Event {
	key := attemptKey{o.ID, o.Number}
	a := r.remoteAttempts[key]
	if a == nil {
		return evs
	}
	evs = r.attemptEnded(
		evs,
		a,
		egress.Result{Outcome: o.Outcome, MessageEnded: o.MessageEnded, RetryAfter: o.RetryAfter, LimitReport: o.LimitReport, Latency: o.Latency},
	)
	if o.CallFinished {
		delete(r.remoteAttempts, key)
	}
	return evs
}

// abandonRemoteAttempts ends the attempts of which the process before this one told nothing: they may have run.
func (r *Relay) abandonRemoteAttempts(evs []policy.Event) []policy.Event {
	for _, key := range slices.SortedFunc(maps.Keys(r.remoteAttempts), func(a, b attemptKey) int {
		return int(int64(a.messageID)-int64(b.messageID))*1000 + a.number - b.number
	}) {
		a := r.remoteAttempts[key]
		evs = r.attemptEnded(evs, a, egress.Result{Outcome: policy.Cancelled, Latency: time.Since(a.call.SentAt)})
	}
	clear(r.remoteAttempts)
	return evs
}

// resumeAfterRemoteAttempt tells the module of a message whose attempt ended that it knew nothing of, and of the outcome.
func (r *Relay) resumeAfterRemoteAttempt(evs []policy.Event, a *attempt, res egress.Result) []policy.Event {
	evs = append(evs, policy.Event{
		Kind: policy.HealthChecked, Endpoint: a.call.EndpointID, Outcome: res.Outcome, Latency: res.Latency, RetryAfter: res.RetryAfter, LimitReport: res.LimitReport,
	})
	if m := a.message; !m.completed && m.inFlight == 0 {
		m.awaitingRemote = false
		evs = append(evs, r.recoveredEvent(m))
	}
	return evs
}

// The process that hands over.

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

// forwardEvents is the loop's step once another process decides.
func (r *Relay) forwardEvents(batch []event) {
	for _, e := range batch {
		switch e := e.(type) {
		case *submitEvent:
			r.forwarded.forward(r.successor, e)
		case cancelEvent:
			r.sendToSuccessor(hotrestart.Frame{Cancel: e.messageID})
		case *callFinished:
			r.callsInFlight--
			for i, a := range e.call.attempts {
				if a.timer != nil {
					a.timer.Stop()
				}
				r.forwardOutcome(a, e.results[i], true)
			}
		case attemptTimeout:
			if !e.attempt.finished {
				e.attempt.finished = true
				r.forwardOutcome(e.attempt, egress.Result{Outcome: policy.Timeout, Latency: time.Since(e.attempt.call.SentAt)}, false)
			}
		case remoteOutcome:
			o := hotrestart.Outcome(e)
			r.sendToSuccessor(hotrestart.Frame{Outcome: &o})
		case partEvent:
			e.part.Reply <- true // nobody here goes by it any more
		case sendCheck:
			e.reply <- nil // nobody here can tell any more
		case metricsRequest:
			r.metrics.Pending.Store(0)
			close(e.done)
		case stopAccepting:
			r.stopping = true
		case successorGone:
			if r.successor == e.conn {
				r.forwarded.abort()
			}
			r.clearSuccessor(e.conn)
		}
	}
	if r.stopping && !r.drainedClosed && r.callsInFlight == 0 && r.forwarded.empty() {
		r.drainedClosed = true
		close(r.drained)
	}
}

func (r *Relay) forwardOutcome(a *attempt, res egress.Result, last bool) {
	r.sendToSuccessor(hotrestart.Frame{Outcome: &hotrestart.Outcome{
		ID: a.message.ID, Number: a.number, Outcome: res.Outcome, MessageEnded: res.MessageEnded, RetryAfter: res.RetryAfter, LimitReport: res.LimitReport, Latency: res.Latency, CallFinished: last,
	}})
}

func (r *Relay) sendToSuccessor(f hotrestart.Frame) {
	if r.successor == nil {
		return // it has died with all that it took: the log tells the next one
	}
	if err := r.successor.Send(f); err != nil {
		r.log.Warn("handing over", "err", err)
	}
}

// finishAfterHandOver ends a process that has handed over, within shutdownTimeout.
func (r *Relay) finishAfterHandOver() {
	began := time.Now()
	by := func(d time.Duration) <-chan time.Time { return time.After(time.Until(began.Add(d))) }
	r.ingress.DisableKeepAlive()
	select {
	case <-r.ingress.Emptied(drainConnectionsTimeout):
	case <-by(drainConnectionsTimeout):
	}
	r.ingress.Close(began.Add(shutdownSendTime + shutdownAnswerTime/2))
	r.post(stopAccepting{})
	select {
	case <-r.drained:
	case <-by(shutdownTimeout):
	}
}

// forwardedSubmissions are hand-ins whose answers another process gives.
type forwardedSubmissions struct {
	mu      sync.Mutex
	lastSeq uint64
	pending map[uint64]*submitEvent
}

// unavailableResponse is what a client hears where the other process does not answer: it has been told nothing, and may come
// again.
var unavailableResponse = ingress.Response{Status: http.StatusServiceUnavailable, RetryAfter: policy.MinRetryAfter}

// submitEvent passes a message on. There are no more of them than connections of clients.
func (f *forwardedSubmissions) forward(to *hotrestart.Conn, in *submitEvent) {
	if to == nil {
		in.reply <- unavailableResponse
		return
	}
	f.mu.Lock()
	if f.pending == nil {
		f.pending = map[uint64]*submitEvent{}
	}
	f.lastSeq++
	seq := f.lastSeq
	f.pending[seq] = in
	f.mu.Unlock()
	if err := to.Send(hotrestart.Frame{Submission: &hotrestart.Submission{Seq: seq, Message: in.message}}); err != nil {
		f.reply(&hotrestart.Answer{Seq: seq, Status: unavailableResponse.Status, RetryAfter: unavailableResponse.RetryAfter})
	}
}

// reply gives a client its answer.
func (f *forwardedSubmissions) reply(a *hotrestart.Answer) {
	f.mu.Lock()
	in := f.pending[a.Seq]
	delete(f.pending, a.Seq)
	f.mu.Unlock()
	if in != nil {
		in.message.ID = a.ID
		in.reply <- ingress.Response{Status: a.Status, RetryAfter: a.RetryAfter, Text: a.Text}
	}
}

// abort tells that no answer comes any more. What was passed on may have been taken on: its client must not hear that it
// may come again, and hears that it failed.
func (f *forwardedSubmissions) abort() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, in := range f.pending {
		in.reply <- ingress.Response{Status: http.StatusInternalServerError}
	}
	clear(f.pending)
}

func (f *forwardedSubmissions) empty() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.pending) == 0
}
