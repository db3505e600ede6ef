// Package relay carries out on real sockets what package policy decides: it takes messages from clients, calls
// hosts, follows discovery's list, and keeps what it owes in a journal. It decides nothing itself.
//
// One goroutine, the loop, owns the decision module and the log. Everything that happens comes to it as an
// event, so that no send leaves on a decision older than what the loop has learned.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	eventQueueSize = 1024
	maxBatchEvents = 512 // events in a step

	clockTolerance = 10 * time.Millisecond // what two readings of a clock that is slewed may differ by
	unknownRunAge  = 24 * time.Hour        // past the usual windows in which repeats are dropped

	// initialClock keeps the module's clock away from 0, which it takes for never.
	initialClock = time.Second

	// The parts of a planned end, from SIGTERM, after which SIGKILL comes no sooner than 3.7 s. New connections
	// go on coming for up to 0.4 s.
	shutdownAcceptTime = 500 * time.Millisecond
	shutdownAnswerTime = time.Second             // requests that were read by then have their answers
	shutdownSendTime   = 2200 * time.Millisecond // no new calls after this: they would be cut off with no outcome
	shutdownTimeout    = 3300 * time.Millisecond
)

// The events of the loop, besides policy's own.
type (
	submitEvent struct {
		message    *journal.Message
		acceptedAs *message    // what it was taken for
		reply      chan answer // takes one without waiting
	}
	cancelEvent  struct{ messageID uint32 }
	callFinished struct {
		call    *call
		results []result
	}
	attemptTimeout struct{ attempt *attempt }
	sendCheck      struct {
		call  *call
		reply chan []*attempt // those that may still leave
	}
	notificationsAcked struct{ messageIDs []uint32 } // their notices were taken
	stopAccepting      struct{}                      // no more messages come
	stopSending        struct{}                      // from here on only outcomes are noted
	tick               struct{}                      // asks for a step
)

// message is a message that the relay has not done with.
type message struct {
	*journal.Message
	attemptsStarted int  // as the module counts them
	inFlight        int  // attempts without an outcome
	completed       bool // the module has done with it

	accepting      bool     // taken on in this step, which may yet refuse it
	hasDuplicates  bool     // others were told that it is taken on, too: it cannot be withdrawn
	resubmittedAs  *message // withdrawn and handed in once more: what it goes on as
	awaitingRemote bool     // the module does not know of it: its outcome at another process comes first
}

// Relay is one relay.
type Relay struct {
	cfg              Config
	log              *slog.Logger
	logOut           io.Writer // where recordings go
	hosts            *hosts
	clients          *clients
	finals           *Sender
	agent            *Client
	recorder         *recording
	fleet            *fleet.Member // nil: this relay tells others nothing and hears nothing
	events           chan any
	sharedRecorder   atomic.Pointer[recording]     // rec, for other goroutines
	awaitingHandover atomic.Bool                   // for the process before this one to hand over
	loopDone         chan struct{}                 // closed when the loop has ended
	drained          chan struct{}                 // closed when the relay is stopping and nothing is left to wait for
	clientConfig     atomic.Pointer[reload.Config] // what clients are held to
	metrics          metrics.Registry
	endpointsKnown   atomic.Bool // it has recovered and holds a list
	terminating      atomic.Bool // SIGTERM came
	calls            sync.WaitGroup

	// Owned by Reload.
	latestConfig     reload.Config // taken last
	latestGeneration int           // of terms: later ones make earlier ones void

	upgrade
	largeList atomic.Bool // the list is, or was, too long to be told to the module as a whole; set by the loop

	// Owned by the loop.
	endpointState
	activeConfig      reload.Config
	activeGeneration  int
	callCtx           context.Context
	activeCalls       map[*call]struct{} // out
	listVersion       int64              // of the list
	adminCtx          context.Context    // ends when the second address falls silent
	started           time.Time
	engine            *policy.Engine
	journal           *journal.Journal
	recovery          *journal.Recovery // until it is taken up
	health            healthState
	messages          map[uint32]*message
	messagesByTrace   map[string]*message
	cancelled         []*message // withdrawn, may have run; by deadline, more or less
	finished          finishedMessages
	pending           int // messages that the module has not done with
	callsInFlight     int // calls
	lastMessageID     uint32
	timerAt           time.Time       // zero: none asked for
	deferredEvents    []policy.Event  // for the next step
	journalFull       ratelog.Warning // the log takes no new work
	sendsUnrecorded   ratelog.Warning // nor the sends of calls
	unreadableEntries ratelog.Warning // entries of the list cannot be read

	stopping, sendingStopped, drainedClosed bool
}

// New returns a relay that has read what an earlier process left in the log.
// What is recorded into the log goes to out.
func New(cfg Config, log *slog.Logger, out io.Writer) (*Relay, error) {
	sender, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	started := time.Now().Add(-initialClock)
	r := &Relay{
		cfg: cfg, log: log, logOut: out, recorder: newRecording(cfg, log, out, started, sender, 0), agent: NewClient(cfg.DiscoveryAddr),
		events: make(chan any, eventQueueSize), loopDone: make(chan struct{}), drained: make(chan struct{}),
		started: started, engine: sender, activeCalls: map[*call]struct{}{}, endpointState: endpointState{catalogFull: ratelog.Warning{Message: "no room for all hosts"}},
		journalFull: ratelog.Warning{
			Message: "refusing new messages",
		}, sendsUnrecorded: ratelog.Warning{Message: "log not written"}, unreadableEntries: ratelog.Warning{Message: "unreadable entry of the list"},
		messages: map[uint32]*message{}, messagesByTrace: map[string]*message{}, latestConfig: cfg.Config, listVersion: cfg.Known.Version,
	}
	r.applyConfig(cfg.Config)
	r.loadKnownEndpoints()
	if cfg.KnownErr != nil {
		log.Warn("starting without a list of hosts", "err", cfg.KnownErr)
	}
	// Clients hold a third of the descriptors with their requests; more is for those that are slow to leave.
	r.clients = newClients(log, cfg.Limits.Sockets*9/20, r.request)
	r.hosts = newHosts(cfg, log, func(n int) { r.metrics.UpstreamRequests.Add(int64(n)) })
	r.finals = NewSender(log, r.agent, func(ids []uint32) { r.post(notificationsAcked{ids}) })
	r.joinFleet()
	r.sharedRecorder.Store(r.recorder)
	if cfg.InheritedFD != "" {
		r.before, err = hotrestart.Dial(r.handoverPath())
		if err == nil {
			return r, nil // the log is the other process's, until it hands over
		}
		log.Info("starting with the log", "why", err)
	}
	if err := r.openLog(); err != nil {
		return nil, err
	}
	return r, nil
}

// Run serves until ctx ends, and then ends in order: see shutdownTimeout.
func (r *Relay) Run(ctx context.Context) error {
	listener, err := listen(r.cfg.Listen, r.cfg.InheritedFD)
	if err != nil {
		return errors.Join(fmt.Errorf("relay: %w", err), r.closeLog())
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if r.adminCtx = work; r.cfg.AdminListen != "" {
		if err := r.serveAdmin(); err != nil {
			return errors.Join(err, listener.Close(), r.closeLog())
		}
	}
	callCtx, stopCalls := context.WithCancel(context.Background())
	defer stopCalls()
	r.callCtx = callCtx
	if r.before == nil {
		r.recoverState() // before clients are told that the relay is ready
	} else if err := r.takeOver(ctx); errors.Is(err, errEnded) {
		return listener.Close()
	} else if err != nil {
		return errors.Join(err, listener.Close(), r.closeLog())
	}
	r.offer(work)
	lead, stopLeading := context.WithCancel(work)
	var linked sync.WaitGroup
	if r.fleet != nil {
		linked.Go(func() { r.fleet.Run(lead) })
	}
	r.stopLeading = stopLeading
	defer stopLeading()
	recorded := make(chan struct{})
	recCtx, stopRecording := context.WithCancel(context.Background())
	go func() { defer close(recorded); r.recorder.run(recCtx) }()
	defer func() { stopRecording(); <-recorded }()
	go r.loop(work)
	go r.finals.Run(lead)
	go r.newWatcher().Run(lead)

	accepting := make(chan struct{})
	go func() { defer close(accepting); r.clients.run(listener) }()
	r.log.Info("serving", "name", r.cfg.Name, "listen", listener.Addr().String())
	<-ctx.Done()
	if r.handOver() {
		listener.Close() // connections wait for the other process from here on
		<-accepting      // one that was taken just before is served like the others
		r.leave()
	} else {
		r.shutdown(listener)
	}
	stopCalls()
	r.calls.Wait() // their outcomes reach the log
	stop()
	<-r.loopDone
	linked.Wait()
	r.hosts.close()
	if r.successor != nil {
		r.successor.Close()
	}
	return r.closeLog()
}

// newWatcher is what follows discovery's list for the loop.
func (r *Relay) newWatcher() *Watcher {
	return &Watcher{
		Log: r.log, Client: r.agent, IdleTimeout: WatchIdleTimeout, ListTimeout: ListTimeout, Version: r.listVersion, NeedsSnapshot: r.snapshotNeeded, HasList: r.endpointsKnown.Load(),
		OnUpdate: func(l List) { r.post(l) }, Parse: r.cfg.parseEndpoint,
		Parts:   PartSender{Post: func(p *SnapshotPart) bool { return r.post(p) }, Stopped: r.loopDone, LargeList: r.largeList.Load},
		Backoff: NewBackoff(r.cfg), Rand: rand.New(rand.NewPCG(r.cfg.Seed, 0x68657264)),
		unreadableLines: ratelog.Warning{Message: "unreadable line of the watch"}, oversizeLists: ratelog.Warning{Message: "list not taken"},
	}
}

// shutdown is the planned end. Connections that are idle close at once, and a request that crosses that comes
// once more on a new connection, which is still taken; what was read is answered, and running calls may finish.
func (r *Relay) shutdown(listener net.Listener) {
	began := time.Now()
	by := func(d time.Duration) <-chan time.Time { return time.After(time.Until(began.Add(d))) }
	r.terminating.Store(true)
	r.clients.drain()
	<-by(shutdownAcceptTime)
	listener.Close()
	r.clients.close(began.Add(shutdownAnswerTime))
	r.post(stopAccepting{})
	select {
	case <-r.drained:
		return
	case <-by(shutdownSendTime):
	}
	r.post(stopSending{})
	select {
	case <-r.drained:
	case <-by(shutdownTimeout):
	}
}

// post hands an event to the loop; false if that has ended.
func (r *Relay) post(e any) bool {
	select {
	case r.events <- e:
		return true
	case <-r.loopDone:
		return false
	}
}

func (r *Relay) now() time.Duration { return time.Since(r.started) }

// recoverState hands the module the known list and what an earlier process left, in one step.
func (r *Relay) recoverState() {
	found := r.recovery
	r.recovery = nil
	var evs []policy.Event
	if len(r.cfg.Known.Entries) > 0 {
		known := r.cfg.Known
		known.Full = true
		evs = append(evs, r.applyList(known)...)
	}
	evs = append(
		evs,
		endpointhealth.Events(
			endpointhealth.Decode(found.EndpointHealth),
			r.journal.Stamp(time.Now()),
			r.activeConfig.Settings.WarmUpDuration,
		)...)
	for _, w := range found.Messages {
		if w.ClassName != "" {
			// the module takes one that is not named for the strictest
			w.Class = slices.Index(r.activeConfig.ClassNames, w.ClassName)
		}
		m := &message{Message: w, attemptsStarted: w.Attempts}
		if w.Uncertain && r.isIdempotent(w) {
			w.Uncertain = false // whatever it has done may be done once more
		}
		r.messages[m.ID], r.messagesByTrace[m.TraceID] = m, m
		r.lastMessageID = max(r.lastMessageID, m.ID)
		switch {
		case w.Cancelled:
			m.completed = true
			r.cancelled = append(r.cancelled, m)
		case w.Final != nil:
			m.completed = true
			r.queueNotification(m)
		case w.Uncertain:
			// What it has sent may be missing from the journal: nothing can be promised.
			m.completed = true
			r.journal.RecordFinal(w, journal.FinalAnswer{})
			r.countResult(w, metrics.Failed)
			r.queueNotification(m)
		default:
			r.pending++
			r.recorder.Label(m.ID, m.TraceID)
			evs = append(evs, r.recoveredEvent(m))
		}
	}
	if len(found.Messages) > 0 || !found.Intact() {
		r.log.Info("recovered", "messages", len(found.Messages), "sound", found.Intact())
	}
	if found.ClockStep != 0 {
		r.log.Warn(
			"the wall clock was set since the journal was last open; times of messages go by the boot's clock",
			"by",
			found.ClockStep,
		)
	}
	r.execute(r.decide(r.now(), evs), nil)
}

// classOf is a message's class, if the settings still name it.
func (r *Relay) classOf(m *journal.Message) (class policy.Class, known bool) {
	if known = m.Class >= 0 && m.Class < len(r.activeConfig.Settings.Classes); known {
		class = r.activeConfig.Settings.Classes[m.Class]
	}
	return class, known
}

// recoveredEvent tells the module of a message of an earlier process, in the module's own time.
func (r *Relay) recoveredEvent(m *message) policy.Event {
	e := r.acceptedEvent(m)
	e.Recovered = &policy.RecoveredMessage{Attempts: m.Attempts}
	if len(m.UncertainAttempts) > 0 {
		first := m.UncertainAttempts[0]
		e.Recovered.MayHaveRun, e.Recovered.FirstRunZone = true, first.Zone
		if e.Recovered.SinceFirstRun = time.Since(first.SentAt); first.Undated ||
			e.Recovered.SinceFirstRun < -clockTolerance {
			// The clock was set, or may have been: nobody can tell how long its host still drops a repeat.
			class, _ := r.classOf(m.Message)
			e.Recovered.SinceFirstRun = max(unknownRunAge, class.DedupWindow)
		}
		e.Recovered.SinceFirstRun = max(0, e.Recovered.SinceFirstRun)
	}
	return e
}

func (r *Relay) acceptedEvent(m *message) policy.Event {
	left := time.Until(m.Deadline)
	if class, known := r.classOf(m.Message); known {
		left = min(left, maxTimeLeft(class)) // a clock that was set back gives no more time
	}
	return policy.Event{
		Kind: policy.MessageAccepted, MessageID: m.ID, Key: m.OrderingKey, Class: m.Class, Tenant: m.Tenant, Destination: m.Destination, TimeLeft: left,
	}
}

// loop is the one goroutine that decides. A step takes what has come in since the last one, no more often than
// the settings' tick: what comes together can then travel together.
func (r *Relay) loop(ctx context.Context) {
	defer close(r.loopDone)
	defer r.dumpOnPanic()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []any
	var last time.Time
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			r.drainEvents()
			return
		case e := <-r.events:
			if batch = r.collect(batch, e); len(batch) == 0 && len(r.deferredEvents) == 0 {
				continue // a part of a long list of which the module need not hear
			}
		case <-timer.C:
		}
		batch = r.waitForTick(batch, r.cfg.Tick-time.Since(last))
	more:
		for len(batch) < maxBatchEvents {
			select {
			case e := <-r.events:
				batch = r.collect(batch, e)
			default:
				break more
			}
		}
		last = time.Now()
		r.step(batch)
		clear(batch)
		if !r.timerAt.IsZero() {
			timer.Reset(time.Until(r.timerAt))
		}
	}
}

// drainEvents answers and notes what came before the end, without deciding anything more.
func (r *Relay) drainEvents() {
	r.sendingStopped = true
	for {
		select {
		case e := <-r.events:
			r.step([]any{e})
		default:
			return
		}
	}
}

// step takes a batch of events to the module and carries out what it decides.
func (r *Relay) step(batch []any) {
	if r.handed {
		r.forwardEvents(batch)
		return
	}
	now := r.now()
	if !r.timerAt.IsZero() && !time.Now().Before(r.timerAt) {
		r.timerAt = time.Time{}
	}
	evs := append([]policy.Event(nil), r.deferredEvents...)
	r.deferredEvents = r.deferredEvents[:0]
	var asked []sendCheck
	var fetches []metricsRequest
	var ins []*submitEvent
	var handing *handOff
	for _, e := range batch {
		switch e := e.(type) {
		case *submitEvent:
			ins = append(ins, e)
		case cancelEvent:
			evs = r.cancel(evs, e.messageID)
		case *callFinished:
			evs = r.callEnded(evs, e)
		case attemptTimeout:
			evs = r.attemptEnded(evs, e.attempt, result{outcome: policy.Timeout, took: time.Since(e.attempt.sent)})
		case List:
			evs = append(evs, r.applyList(e)...)
		case *SnapshotPart:
			r.applyPart(e)
			evs = append(evs, r.deferredEvents...)
			r.deferredEvents = r.deferredEvents[:0]
		case sendCheck:
			asked = append(asked, e)
		case notificationsAcked:
			for _, id := range e.messageIDs {
				if m := r.messages[id]; m != nil {
					r.journal.Remove(m.Message)
					r.remove(m)
				}
			}
		case stopAccepting:
			r.stopping = true
		case stopSending:
			r.sendingStopped = true
		case configChange:
			r.changeConfig(e)
		case remoteOutcome:
			evs = r.remoteEnded(evs, e)
		case beforeGone:
			evs = r.remoteGone(evs)
		case successorCame:
			r.follow(e.conn)
		case successorGone:
			r.unfollow(e.conn)
		case handOff:
			handing = &e
		case metricsRequest:
			fetches = append(fetches, e)
		}
	}
	r.expire()
	waiting := r.accept(ins)
	if !r.sendingStopped {
		for _, in := range waiting {
			switch m := in.acceptedAs; {
			case m.Message != in.message: // a twin of one before it
			case m.Attempts > 0:
				evs = append(evs, r.recoveredEvent(m))
			default:
				evs = append(evs, r.acceptedEvent(m))
			}
		}
		r.execute(r.decide(now, evs), waiting)
	} else {
		r.execute(nil, waiting)
	}
	r.saveEndpointHealth()
	for _, c := range asked {
		c.reply <- r.sendableAttempts(c.call)
	}
	for _, g := range fetches {
		r.updateGauges()
		close(g.done)
	}
	if handing != nil {
		handing.done <- r.handOff()
	}
	if r.stopping && !r.drainedClosed && (r.allFinished() || r.sendingStopped && r.callsInFlight == 0) {
		r.drainedClosed = true
		close(r.drained)
	}
}

// allFinished tells whether all is ended, and all outcomes are in.
func (r *Relay) allFinished() bool {
	for _, m := range r.messages {
		if m.inFlight > 0 || !m.Cancelled {
			return false
		}
	}
	return true
}

// accept puts new messages in the log and returns the hand-ins that are answered when this step is decided. The
// others have their answers.
func (r *Relay) accept(ins []*submitEvent) (waiting []*submitEvent) {
	var ms []*journal.Message
	now := time.Now()
	for _, in := range ins {
		if in.message.ClassName != "" {
			// The terms may have changed since the door read them.
			if in.message.Class = slices.Index(r.activeConfig.ClassNames, in.message.ClassName); in.message.Class < 0 {
				in.reply <- bad("unknown class %q", in.message.ClassName)
				continue
			}
		}
		old := r.messagesByTrace[in.message.TraceID]
		if old != nil && old.accepting {
			in.acceptedAs, old.hasDuplicates = old, true
			waiting = append(waiting, in)
			continue
		}
		if old != nil && !(old.Cancelled && (old.inFlight == 0 || r.cfg.AllowHedging)) {
			in.reply <- r.duplicateReply(old)
			continue
		}
		if a, ended := r.finished.reply(in.message.TraceID, now); old == nil && ended {
			in.reply <- a
			continue
		}
		switch {
		case r.listReceived && !r.catalog.HasDestination(in.message.Destination):
			r.countResult(in.message, metrics.Failed)
			in.reply <- bad("no such destination: %d", in.message.Destination)
			continue
		case r.activeConfig.Settings.MaxPendingMessages > 0 && r.pending >= r.activeConfig.Settings.MaxPendingMessages:
			r.countResult(in.message, metrics.Rejected)
			in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.MinRetryAfter}
			continue
		}
		r.lastMessageID++
		in.message.ID = r.lastMessageID
		m := &message{Message: in.message, accepting: true}
		if old != nil {
			// It may have run, and goes on from there.
			m.Attempts, m.UncertainAttempts, m.attemptsStarted = old.Attempts, slices.Clone(old.UncertainAttempts), old.attemptsStarted
			old.resubmittedAs = m
		}
		r.messages[m.ID], r.messagesByTrace[m.TraceID] = m, m
		r.recorder.Label(m.ID, m.TraceID)
		r.pending++
		in.acceptedAs = m
		waiting, ms = append(waiting, in), append(ms, in.message)
	}
	if len(ms) == 0 {
		return waiting
	}
	err := r.journal.Accept(ms...)
	for _, in := range waiting {
		in.acceptedAs.accepting = false
	}
	if err == nil {
		return waiting
	}
	// A full disk is no reason to die: what is held goes on, new work is refused.
	r.journalFull.Log(r.log, "err", err)
	for _, in := range waiting {
		if m := in.acceptedAs; m.Message == in.message {
			r.pending--
			delete(r.messages, m.ID)
			delete(r.messagesByTrace, m.TraceID)
			r.countResult(in.message, metrics.Rejected)
		}
		in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.MinRetryAfter}
	}
	for _, m := range r.cancelled {
		if m.resubmittedAs != nil && r.messages[m.resubmittedAs.ID] == nil {
			m.resubmittedAs, r.messagesByTrace[m.TraceID] = nil, m
		}
	}
	return nil
}

// duplicateReply is the answer to a hand-in under the id of a message that is known: the end that this one has, if any.
func (r *Relay) duplicateReply(m *message) answer {
	switch {
	case m.Cancelled: // its call is still out, and may not have company
		return answer{status: http.StatusInternalServerError}
	case m.Final == nil: // under way, or delivered
		m.hasDuplicates = true
		return answer{status: http.StatusAccepted}
	}
	return finalAnswer(*m.Final)
}

// finalAnswer is what a client is told of a message that is not delivered.
func finalAnswer(f journal.FinalAnswer) answer {
	if f.Retryable {
		return answer{status: http.StatusServiceUnavailable, again: f.RetryAfter}
	}
	return answer{status: http.StatusInternalServerError}
}

// cancel ends a message whose client has left before its answer.
func (r *Relay) cancel(evs []policy.Event, id uint32) []policy.Event {
	m := r.messages[id]
	if m == nil || m.hasDuplicates || m.completed {
		return evs
	}
	r.markCompleted(m)
	r.release(m)
	return append(evs, policy.Event{Kind: policy.MessageCancelled, MessageID: id})
}

// release ends a message that is no more owed. One that may have run is remembered as long as its client may hand it in
// once more under its id: that must not make it a new one.
func (r *Relay) release(m *message) {
	if len(m.UncertainAttempts) == 0 {
		r.journal.Remove(m.Message)
		r.remove(m)
		return
	}
	r.journal.RecordCancelled(m.Message)
	r.cancelled = append(r.cancelled, m)
}

// markDelivered ends a message that was delivered after all, and what it goes on as.
func (r *Relay) markDelivered(evs []policy.Event, m *message) []policy.Event {
	for ; m != nil; m = m.resubmittedAs {
		if !m.completed {
			evs = append(evs, policy.Event{Kind: policy.MessageCancelled, MessageID: m.ID})
			r.countResult(m.Message, metrics.Completed)
		}
		r.markCompleted(m)
		r.journal.Remove(m.Message)
		r.remove(m)
	}
	return evs
}

// expire drops messages that were withdrawn once their time is up, once it is certain that they never ran, or once
// they go on as others, which know all that these did.
func (r *Relay) expire() {
	now := time.Now()
	r.finished.expire(now)
	r.cancelled = slices.DeleteFunc(r.cancelled, func(m *message) bool {
		if m.resubmittedAs == nil && len(m.UncertainAttempts) > 0 && now.Before(m.Deadline) {
			return false
		}
		r.journal.Remove(m.Message)
		r.remove(m)
		return true
	})
}

// callEnded takes the end of a call.
func (r *Relay) callEnded(evs []policy.Event, e *callFinished) []policy.Event {
	r.callsInFlight--
	delete(r.activeCalls, e.call)
	for i, a := range e.call.attempts {
		evs = r.attemptEnded(evs, a, e.results[i])
	}
	return evs
}

// attemptEnded takes the outcome of an attempt: in the log, and for the module.
func (r *Relay) attemptEnded(evs []policy.Event, a *attempt, res result) []policy.Event {
	m := a.m
	ok := res.outcome == policy.OK
	if a.over {
		// It was cut off, and its call went on for others. A delivery still ends the message.
		if ok {
			evs = r.markDelivered(evs, m)
		}
		return evs
	}
	a.over = true
	if a.timer != nil {
		a.timer.Stop()
	}
	m.inFlight--
	switch res.outcome {
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		r.journal.RecordNotRun(m.Message, a.n)
	}
	if ok || res.gone {
		if ok && !m.completed {
			r.countResult(m.Message, metrics.Completed)
		}
		r.markCompleted(m)
		r.journal.Remove(m.Message)
		evs = r.markDelivered(evs, m.resubmittedAs)
	}
	r.remove(m)
	if m.awaitingRemote {
		return r.unpark(evs, a, res)
	}
	return append(evs, policy.Event{
		Kind: policy.AttemptFinished, MessageID: m.ID, Attempt: a.n, Endpoint: a.route, Outcome: res.outcome, Latency: res.took,
		MessageEnded: ok || res.gone, RetryAfter: res.wait, LimitReport: res.report,
	})
}

// markCompleted books that the module has done with a message.
func (r *Relay) markCompleted(m *message) {
	if !m.completed {
		m.completed = true
		r.pending--
	}
}

// remove forgets a message for which nothing is owed and nothing is out.
func (r *Relay) remove(m *message) {
	if m.inFlight == 0 && m.completed && !r.journal.Tracks(m.Message) {
		delete(r.messages, m.ID)
		if r.messagesByTrace[m.TraceID] == m {
			delete(r.messagesByTrace, m.TraceID)
			r.finished.add(m)
		}
	}
}

// execute does what the module has decided: first in the log, in one write, then on the sockets.
func (r *Relay) execute(acts []policy.Action, waiting []*submitEvent) {
	answers := make(map[uint32]answer, len(waiting))
	for _, in := range waiting {
		answers[in.acceptedAs.ID] = answer{status: http.StatusAccepted}
	}
	var calls []*call
	var ended []*message
	for _, a := range acts {
		m := r.messages[a.MessageID]
		switch a.Kind {
		case policy.Send:
			if m == nil {
				// a slot less is better than no relay
				r.log.Error("send of a message that is not held", "id", a.MessageID)
				continue
			}
			calls = r.addToCalls(calls, m, a)
		case policy.Reject, policy.Fail:
			if m == nil || m.completed {
				continue
			}
			r.markCompleted(m)
			final := journal.FinalAnswer{Retryable: a.Kind == policy.Reject, RetryAfter: a.Delay}
			r.countResult(m.Message, finalResult(final))
			if _, ok := answers[a.MessageID]; ok {
				answers[a.MessageID] = finalAnswer(final)
				r.release(m)
				continue
			}
			r.journal.RecordFinal(m.Message, final)
			ended = append(ended, m)
		case policy.SetTimer:
			r.timerAt = time.Now().Add(a.Delay) // the module keeps one wake in mind, the last that it asked for
		case policy.CloseIdle:
			r.hosts.closeIdle(a.Endpoint)
		}
	}
	if err := r.recordSends(calls); err != nil {
		r.sendsUnrecorded.Log(r.log, "calls", len(calls), "err", err)
		// A send that is not in the log must not leave: after a restart it would be made again.
		r.returnCalls(calls)
		calls = nil
	}
	for _, in := range waiting {
		in.reply <- answers[in.acceptedAs.ID]
	}
	for _, m := range ended {
		r.queueNotification(m)
	}
	for _, c := range calls {
		r.startCall(c)
	}
}

// addToCalls puts a send into a call: those of one step to one route travel as one, up to what its kind allows.
func (r *Relay) addToCalls(calls []*call, m *message, a policy.Action) []*call {
	body, err := r.journal.Body(m.Message)
	if err != nil {
		r.failUnreadable(m, err)
		return calls
	}
	t, _ := r.catalog.Endpoint(a.Endpoint)
	most := 1
	if t.Kind >= 0 && t.Kind < len(r.activeConfig.Settings.DestinationKinds) {
		most = max(1, r.activeConfig.Settings.DestinationKinds[t.Kind].MaxBatch)
	}
	var c *call
	size := itemSize(m)
	for _, x := range calls {
		// Bodies hold so much at most, and many small messages are no reason to have one large one turned away.
		if x.route == a.Endpoint && len(x.attempts) < most && x.size+size <= bodyMost {
			c = x
		}
	}
	if c == nil {
		c = &call{route: a.Endpoint, addr: t.Addr, zone: t.Zone, sent: time.Now()}
		calls = append(calls, c)
	}
	until := r.started.Add(a.TimeoutAt)
	c.size += size
	c.insertByDeadline(&attempt{call: c, m: m, n: m.attemptsStarted, body: body, until: until})
	m.attemptsStarted++
	m.inFlight++
	if len(c.attempts) == 1 || until.After(c.until) == r.cfg.AllowHedging {
		c.until = until // where a second copy may be out, the rest of a call outlasts one message's time-out
	}
	return calls
}

// insertByDeadline adds an attempt before those whose messages have less time left. A call goes by its first message:
// an answer that comes after this one's time tells nothing certain of the others, however whole it is. So no call may
// outlast its first message.
func (c *call) insertByDeadline(a *attempt) {
	i := slices.IndexFunc(c.attempts, func(b *attempt) bool { return b.m.Deadline.Before(a.m.Deadline) })
	if i < 0 {
		i = len(c.attempts)
	}
	c.attempts = slices.Insert(c.attempts, i, a)
}

// recordSends writes the sends of calls and all that was noted in this step.
func (r *Relay) recordSends(calls []*call) error {
	var sends []journal.Send
	for _, c := range calls {
		for _, a := range c.attempts {
			sends = append(sends, journal.Send{
				Message: a.m.Message, Attempt: journal.Attempt{Number: a.n, Endpoint: c.route, Zone: c.zone, SentAt: c.sent},
			})
		}
	}
	if len(sends) == 0 {
		return r.journal.Flush()
	}
	return r.journal.RecordSends(sends...)
}

// returnCalls ends calls that could not be recorded as never connected.
func (r *Relay) returnCalls(calls []*call) {
	for _, c := range calls {
		for _, a := range c.attempts {
			r.deferredEvents = r.attemptEnded(r.deferredEvents, a, result{outcome: policy.ConnectFailed})
		}
	}
	// The module is told in a step of its own, soon, and not by its own wake, which must not be lost.
	time.AfterFunc(r.cfg.Tick, func() { r.post(tick{}) })
}

// startCall makes a call, away from the loop.
func (r *Relay) startCall(c *call) {
	r.callsInFlight++
	r.activeCalls[c] = struct{}{}
	for _, a := range c.attempts {
		if a.until.Before(c.until) {
			a.timer = time.AfterFunc(time.Until(a.until), func() { r.post(attemptTimeout{a}) })
		}
	}
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		results := r.hosts.do(r.callCtx, c, r.checkSend)
		r.post(&callFinished{c, results})
	}()
}

// sendableAttempts tells which attempts of a call that was held up may still leave, if the module lets it leave at all.
// A message that has had its final answer meanwhile, or whose time in this call is up, has no part in it any more: the
// others' connection may come up long after that.
func (r *Relay) sendableAttempts(c *call) (left []*attempt) {
	var ids []uint32
	for _, a := range c.attempts {
		if !a.over && !a.m.completed && time.Now().Before(a.until) {
			left, ids = append(left, a), append(ids, a.m.ID)
		}
	}
	if len(left) == 0 || r.sendingStopped {
		return nil
	}
	at := r.now()
	may := r.engine.StillAllowed(c.route, ids, at)
	if r.recorder.SendChecked(at, c.route, ids, may); !may {
		return nil
	}
	return left
}

// checkSend asks the loop which attempts of a call that was held up may still leave.
func (r *Relay) checkSend(c *call) []*attempt {
	reply := make(chan []*attempt, 1)
	if !r.post(sendCheck{c, reply}) {
		return nil
	}
	select {
	case left := <-reply:
		return left
	case <-r.loopDone:
		return nil
	}
}

// queueNotification queues the notice that ends a message.
func (r *Relay) queueNotification(m *message) {
	n := Notice{MessageID: m.ID, TraceID: m.TraceID, Status: "undeliverable"}
	if m.Final.Retryable {
		n.Status, n.RetryAfterMS = "deferred", m.Final.RetryAfter.Milliseconds()
	}
	r.finals.Add(n)
}
