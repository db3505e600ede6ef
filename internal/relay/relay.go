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
	eventRoom = 1024
	batchMost = 512 // events in a step

	clockSlack = 10 * time.Millisecond // what two readings of a clock that is slewed may differ by
	longAgoRan = 24 * time.Hour        // past the usual windows in which repeats are dropped

	// clockStart keeps the module's clock away from 0, which it takes for never.
	clockStart = time.Second

	// The parts of a planned end, from SIGTERM, after which SIGKILL comes no sooner than 3.7 s. New connections
	// go on coming for up to 0.4 s.
	acceptFor = 500 * time.Millisecond
	answerFor = time.Second             // requests that were read by then have their answers
	sendFor   = 2200 * time.Millisecond // no new calls after this: they would be cut off with no outcome
	endBy     = 3300 * time.Millisecond
)

// The events of the loop, besides policy's own.
type (
	handIn struct {
		m     *journal.Message
		as    *message    // what it was taken for
		reply chan answer // takes one without waiting
	}
	withdrawal struct{ id uint32 }
	callEnd    struct {
		c       *call
		results []result
	}
	cutOff    struct{ a *attempt }
	clearance struct {
		c     *call
		reply chan []*attempt // those that may still leave
	}
	confirmed struct{ ids []uint32 } // their notices were taken
	stopping  struct{}               // no more messages come
	noSends   struct{}               // from here on only outcomes are noted
	nudge     struct{}               // asks for a step
)

// message is a message that the relay has not done with.
type message struct {
	*journal.Message
	sends int  // as the module counts them
	out   int  // attempts without an outcome
	ended bool // the module has done with it

	fresh  bool     // taken on in this step, which may yet refuse it
	shared bool     // others were told that it is taken on, too: it cannot be withdrawn
	next   *message // withdrawn and handed in once more: what it goes on as
	parked bool     // the module does not know of it: its outcome at another process comes first
}

// Relay is one relay.
type Relay struct {
	cfg     Config
	log     *slog.Logger
	logOut  io.Writer // where recordings go
	hosts   *hosts
	clients *clients
	finals  *finals
	agent   *agent
	rec     *recording
	fleet   *fleet.Member // nil: this relay tells others nothing and hears nothing
	events  chan any
	kept    atomic.Pointer[recording]     // rec, for other goroutines
	waiting atomic.Bool                   // for the process before this one to hand over
	over    chan struct{}                 // closed when the loop has ended
	idle    chan struct{}                 // closed when the relay is stopping and nothing is left to wait for
	door    atomic.Pointer[reload.Config] // what clients are held to
	figures metrics.Registry
	listed  atomic.Bool // it has recovered and holds a list
	ending  atomic.Bool // SIGTERM came
	calls   sync.WaitGroup

	// Owned by Reload.
	settled reload.Config // taken last
	turn    int           // of terms: later ones make earlier ones void

	upgrade
	large atomic.Bool // the list is, or was, too long to be told to the module as a whole; set by the loop

	// Owned by the loop.
	holdings
	terms    reload.Config
	turnNow  int
	callCtx  context.Context
	calling  map[*call]struct{} // out
	version  int64              // of the list
	second   context.Context    // ends when the second address falls silent
	started  time.Time
	sender   *policy.Engine
	journal  *journal.Journal
	found    *journal.Recovery // until it is taken up
	standing standingState
	msgs     map[uint32]*message
	traces   map[string]*message
	left     []*message // withdrawn, may have run; by deadline, more or less
	recent   recent
	held     int // messages that the module has not done with
	out      int // calls
	lastID   uint32
	wakeAt   time.Time       // zero: none asked for
	later    []policy.Event  // for the next step
	full     ratelog.Warning // the log takes no new work
	unlogged ratelog.Warning // nor the sends of calls
	unlisted ratelog.Warning // entries of the list cannot be read

	stopping, noSends, idled bool
}

// New returns a relay that has read what an earlier process left in the log.
// What is recorded into the log goes to out.
func New(cfg Config, log *slog.Logger, out io.Writer) (*Relay, error) {
	sender, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	started := time.Now().Add(-clockStart)
	r := &Relay{
		cfg: cfg, log: log, logOut: out, rec: newRecording(cfg, log, out, started, sender, 0), agent: newAgent(cfg.Discovery),
		events: make(chan any, eventRoom), over: make(chan struct{}), idle: make(chan struct{}),
		started: started, sender: sender, calling: map[*call]struct{}{}, holdings: holdings{unheld: ratelog.Warning{Message: "no room for all hosts"}},
		full: ratelog.Warning{
			Message: "refusing new messages",
		}, unlogged: ratelog.Warning{Message: "log not written"}, unlisted: ratelog.Warning{Message: "unreadable entry of the list"},
		msgs: map[uint32]*message{}, traces: map[string]*message{}, settled: cfg.Config, version: cfg.Known.Version,
	}
	r.hold(cfg.Config)
	r.holdKnown()
	if cfg.Unread != nil {
		log.Warn("starting without a list of hosts", "err", cfg.Unread)
	}
	// Clients hold a third of the descriptors with their requests; more is for those that are slow to leave.
	r.clients = newClients(log, cfg.Limits.Sockets*9/20, r.request)
	r.hosts = newHosts(cfg, log, func(n int) { r.figures.UpstreamRequests.Add(int64(n)) })
	r.finals = newFinals(log, r.agent, func(ids []uint32) { r.post(confirmed{ids}) })
	r.joinFleet()
	r.kept.Store(r.rec)
	if cfg.Inherited != "" {
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

// Run serves until ctx ends, and then ends in order: see endBy.
func (r *Relay) Run(ctx context.Context) error {
	listener, err := listen(r.cfg.Listen, r.cfg.Inherited)
	if err != nil {
		return errors.Join(fmt.Errorf("relay: %w", err), r.closeLog())
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if r.second = work; r.cfg.Second != "" {
		if err := r.manage(); err != nil {
			return errors.Join(err, listener.Close(), r.closeLog())
		}
	}
	callCtx, stopCalls := context.WithCancel(context.Background())
	defer stopCalls()
	r.callCtx = callCtx
	if r.before == nil {
		r.resume() // before clients are told that the relay is ready
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
	go func() { defer close(recorded); r.rec.run(recCtx) }()
	defer func() { stopRecording(); <-recorded }()
	go r.loop(work)
	go r.finals.run(lead)
	go r.newWatcher().run(lead)

	accepting := make(chan struct{})
	go func() { defer close(accepting); r.clients.run(listener) }()
	r.log.Info("serving", "name", r.cfg.Name, "listen", listener.Addr().String())
	<-ctx.Done()
	if r.handOver() {
		listener.Close() // connections wait for the other process from here on
		<-accepting      // one that was taken just before is served like the others
		r.leave()
	} else {
		r.shutDown(listener)
	}
	stopCalls()
	r.calls.Wait() // their outcomes reach the log
	stop()
	<-r.over
	linked.Wait()
	r.hosts.close()
	if r.successor != nil {
		r.successor.Close()
	}
	return r.closeLog()
}

// newWatcher is what follows discovery's list for the loop.
func (r *Relay) newWatcher() *watcher {
	return &watcher{
		log: r.log, agent: r.agent, silence: watchSilence, within: listFor, version: r.version, whole: r.askWhole, known: r.listed.Load(),
		told: func(l List) { r.post(l) }, listing: r.cfg.listing,
		long: parts{post: func(p *part) bool { return r.post(p) }, over: r.over, large: r.large.Load},
		herd: listCaller(r.cfg), rng: rand.New(rand.NewPCG(r.cfg.Seed, 0x68657264)),
		unread: ratelog.Warning{Message: "unreadable line of the watch"}, oversize: ratelog.Warning{Message: "list not taken"},
	}
}

// shutDown is the planned end. Connections that are idle close at once, and a request that crosses that comes
// once more on a new connection, which is still taken; what was read is answered, and running calls may finish.
func (r *Relay) shutDown(listener net.Listener) {
	began := time.Now()
	by := func(d time.Duration) <-chan time.Time { return time.After(time.Until(began.Add(d))) }
	r.ending.Store(true)
	r.clients.drain()
	<-by(acceptFor)
	listener.Close()
	r.clients.close(began.Add(answerFor))
	r.post(stopping{})
	select {
	case <-r.idle:
		return
	case <-by(sendFor):
	}
	r.post(noSends{})
	select {
	case <-r.idle:
	case <-by(endBy):
	}
}

// post hands an event to the loop; false if that has ended.
func (r *Relay) post(e any) bool {
	select {
	case r.events <- e:
		return true
	case <-r.over:
		return false
	}
}

func (r *Relay) now() time.Duration { return time.Since(r.started) }

// resume hands the module the known list and what an earlier process left, in one step.
func (r *Relay) resume() {
	found := r.found
	r.found = nil
	var evs []policy.Event
	if len(r.cfg.Known.Entries) > 0 {
		known := r.cfg.Known
		known.Full = true
		evs = append(evs, r.list(known)...)
	}
	evs = append(
		evs,
		endpointhealth.Events(
			endpointhealth.Decode(found.EndpointHealth),
			r.journal.Stamp(time.Now()),
			r.terms.Settings.WarmUpDuration,
		)...)
	for _, w := range found.Messages {
		if w.ClassName != "" {
			// the module takes one that is not named for the strictest
			w.Class = slices.Index(r.terms.ClassNames, w.ClassName)
		}
		m := &message{Message: w, sends: w.Attempts}
		if w.Uncertain && r.bears(w) {
			w.Uncertain = false // whatever it has done may be done once more
		}
		r.msgs[m.ID], r.traces[m.TraceID] = m, m
		r.lastID = max(r.lastID, m.ID)
		switch {
		case w.Cancelled:
			m.ended = true
			r.left = append(r.left, m)
		case w.Final != nil:
			m.ended = true
			r.notify(m)
		case w.Uncertain:
			// What it has sent may be missing from the journal: nothing can be promised.
			m.ended = true
			r.journal.RecordFinal(w, journal.FinalAnswer{})
			r.count(w, metrics.Failed)
			r.notify(m)
		default:
			r.held++
			r.rec.Label(m.ID, m.TraceID)
			evs = append(evs, r.resumed(m))
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
	r.carryOut(r.decide(r.now(), evs), nil)
}

// classOf is a message's class, if the settings still name it.
func (r *Relay) classOf(m *journal.Message) (class policy.Class, known bool) {
	if known = m.Class >= 0 && m.Class < len(r.terms.Settings.Classes); known {
		class = r.terms.Settings.Classes[m.Class]
	}
	return class, known
}

// resumed tells the module of a message of an earlier process, in the module's own time.
func (r *Relay) resumed(m *message) policy.Event {
	e := r.taken(m)
	e.Recovered = &policy.RecoveredMessage{Attempts: m.Attempts}
	if len(m.UncertainAttempts) > 0 {
		first := m.UncertainAttempts[0]
		e.Recovered.MayHaveRun, e.Recovered.FirstRunZone = true, first.Zone
		if e.Recovered.SinceFirstRun = time.Since(first.SentAt); first.Undated ||
			e.Recovered.SinceFirstRun < -clockSlack {
			// The clock was set, or may have been: nobody can tell how long its host still drops a repeat.
			class, _ := r.classOf(m.Message)
			e.Recovered.SinceFirstRun = max(longAgoRan, class.DedupWindow)
		}
		e.Recovered.SinceFirstRun = max(0, e.Recovered.SinceFirstRun)
	}
	return e
}

func (r *Relay) taken(m *message) policy.Event {
	left := time.Until(m.Deadline)
	if class, known := r.classOf(m.Message); known {
		left = min(left, longest(class)) // a clock that was set back gives no more time
	}
	return policy.Event{
		Kind: policy.MessageAccepted, MessageID: m.ID, Key: m.OrderingKey, Class: m.Class, Tenant: m.Tenant, Destination: m.Destination, TimeLeft: left,
	}
}

// loop is the one goroutine that decides. A step takes what has come in since the last one, no more often than
// the settings' tick: what comes together can then travel together.
func (r *Relay) loop(ctx context.Context) {
	defer close(r.over)
	defer r.keepOnPanic()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var batch []any
	var last time.Time
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			r.drain()
			return
		case e := <-r.events:
			if batch = r.gather(batch, e); len(batch) == 0 && len(r.later) == 0 {
				continue // a part of a long list of which the module need not hear
			}
		case <-timer.C:
		}
		batch = r.pause(batch, r.cfg.Tick-time.Since(last))
	more:
		for len(batch) < batchMost {
			select {
			case e := <-r.events:
				batch = r.gather(batch, e)
			default:
				break more
			}
		}
		last = time.Now()
		r.step(batch)
		clear(batch)
		if !r.wakeAt.IsZero() {
			timer.Reset(time.Until(r.wakeAt))
		}
	}
}

// drain answers and notes what came before the end, without deciding anything more.
func (r *Relay) drain() {
	r.noSends = true
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
		r.passOn(batch)
		return
	}
	now := r.now()
	if !r.wakeAt.IsZero() && !time.Now().Before(r.wakeAt) {
		r.wakeAt = time.Time{}
	}
	evs := append([]policy.Event(nil), r.later...)
	r.later = r.later[:0]
	var asked []clearance
	var fetches []gauges
	var ins []*handIn
	var handing *handOff
	for _, e := range batch {
		switch e := e.(type) {
		case *handIn:
			ins = append(ins, e)
		case withdrawal:
			evs = r.withdraw(evs, e.id)
		case *callEnd:
			evs = r.callEnded(evs, e)
		case cutOff:
			evs = r.attemptEnded(evs, e.a, result{outcome: policy.Timeout, took: time.Since(e.a.sent)})
		case List:
			evs = append(evs, r.list(e)...)
		case *part:
			r.takePart(e)
			evs = append(evs, r.later...)
			r.later = r.later[:0]
		case clearance:
			asked = append(asked, e)
		case confirmed:
			for _, id := range e.ids {
				if m := r.msgs[id]; m != nil {
					r.journal.Remove(m.Message)
					r.retire(m)
				}
			}
		case stopping:
			r.stopping = true
		case noSends:
			r.noSends = true
		case newTerms:
			r.reconfigure(e)
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
		case gauges:
			fetches = append(fetches, e)
		}
	}
	r.forget()
	waiting := r.accept(ins)
	if !r.noSends {
		for _, in := range waiting {
			switch m := in.as; {
			case m.Message != in.m: // a twin of one before it
			case m.Attempts > 0:
				evs = append(evs, r.resumed(m))
			default:
				evs = append(evs, r.taken(m))
			}
		}
		r.carryOut(r.decide(now, evs), waiting)
	} else {
		r.carryOut(nil, waiting)
	}
	r.keepStanding()
	for _, c := range asked {
		c.reply <- r.clear(c.c)
	}
	for _, g := range fetches {
		r.gauge()
		close(g.done)
	}
	if handing != nil {
		handing.done <- r.handOff()
	}
	if r.stopping && !r.idled && (r.owesNothing() || r.noSends && r.out == 0) {
		r.idled = true
		close(r.idle)
	}
}

// owesNothing tells whether all is ended, and all outcomes are in.
func (r *Relay) owesNothing() bool {
	for _, m := range r.msgs {
		if m.out > 0 || !m.Cancelled {
			return false
		}
	}
	return true
}

// accept puts new messages in the log and returns the hand-ins that are answered when this step is decided. The
// others have their answers.
func (r *Relay) accept(ins []*handIn) (waiting []*handIn) {
	var ms []*journal.Message
	now := time.Now()
	for _, in := range ins {
		if in.m.ClassName != "" {
			// The terms may have changed since the door read them.
			if in.m.Class = slices.Index(r.terms.ClassNames, in.m.ClassName); in.m.Class < 0 {
				in.reply <- bad("unknown class %q", in.m.ClassName)
				continue
			}
		}
		old := r.traces[in.m.TraceID]
		if old != nil && old.fresh {
			in.as, old.shared = old, true
			waiting = append(waiting, in)
			continue
		}
		if old != nil && !(old.Cancelled && (old.out == 0 || r.cfg.MayDuplicate)) {
			in.reply <- r.again(old)
			continue
		}
		if a, ended := r.recent.again(in.m.TraceID, now); old == nil && ended {
			in.reply <- a
			continue
		}
		switch {
		case r.named && !r.catalog.HasDestination(in.m.Destination):
			r.count(in.m, metrics.Failed)
			in.reply <- bad("no such destination: %d", in.m.Destination)
			continue
		case r.terms.Settings.MaxPendingMessages > 0 && r.held >= r.terms.Settings.MaxPendingMessages:
			r.count(in.m, metrics.Rejected)
			in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.MinRetryAfter}
			continue
		}
		r.lastID++
		in.m.ID = r.lastID
		m := &message{Message: in.m, fresh: true}
		if old != nil {
			// It may have run, and goes on from there.
			m.Attempts, m.UncertainAttempts, m.sends = old.Attempts, slices.Clone(old.UncertainAttempts), old.sends
			old.next = m
		}
		r.msgs[m.ID], r.traces[m.TraceID] = m, m
		r.rec.Label(m.ID, m.TraceID)
		r.held++
		in.as = m
		waiting, ms = append(waiting, in), append(ms, in.m)
	}
	if len(ms) == 0 {
		return waiting
	}
	err := r.journal.Accept(ms...)
	for _, in := range waiting {
		in.as.fresh = false
	}
	if err == nil {
		return waiting
	}
	// A full disk is no reason to die: what is held goes on, new work is refused.
	r.full.Log(r.log, "err", err)
	for _, in := range waiting {
		if m := in.as; m.Message == in.m {
			r.held--
			delete(r.msgs, m.ID)
			delete(r.traces, m.TraceID)
			r.count(in.m, metrics.Rejected)
		}
		in.reply <- answer{status: http.StatusServiceUnavailable, again: policy.MinRetryAfter}
	}
	for _, m := range r.left {
		if m.next != nil && r.msgs[m.next.ID] == nil {
			m.next, r.traces[m.TraceID] = nil, m
		}
	}
	return nil
}

// again is the answer to a hand-in under the id of a message that is known: the end that this one has, if any.
func (r *Relay) again(m *message) answer {
	switch {
	case m.Cancelled: // its call is still out, and may not have company
		return answer{status: http.StatusInternalServerError}
	case m.Final == nil: // under way, or delivered
		m.shared = true
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

// withdraw ends a message whose client has left before its answer.
func (r *Relay) withdraw(evs []policy.Event, id uint32) []policy.Event {
	m := r.msgs[id]
	if m == nil || m.shared || m.ended {
		return evs
	}
	r.done(m)
	r.letGo(m)
	return append(evs, policy.Event{Kind: policy.MessageCancelled, MessageID: id})
}

// letGo ends a message that is no more owed. One that may have run is remembered as long as its client may hand it in
// once more under its id: that must not make it a new one.
func (r *Relay) letGo(m *message) {
	if len(m.UncertainAttempts) == 0 {
		r.journal.Remove(m.Message)
		r.retire(m)
		return
	}
	r.journal.RecordCancelled(m.Message)
	r.left = append(r.left, m)
}

// delivered ends a message that was delivered after all, and what it goes on as.
func (r *Relay) delivered(evs []policy.Event, m *message) []policy.Event {
	for ; m != nil; m = m.next {
		if !m.ended {
			evs = append(evs, policy.Event{Kind: policy.MessageCancelled, MessageID: m.ID})
			r.count(m.Message, metrics.Completed)
		}
		r.done(m)
		r.journal.Remove(m.Message)
		r.retire(m)
	}
	return evs
}

// forget drops messages that were withdrawn once their time is up, once it is certain that they never ran, or once
// they go on as others, which know all that these did.
func (r *Relay) forget() {
	now := time.Now()
	r.recent.forget(now)
	r.left = slices.DeleteFunc(r.left, func(m *message) bool {
		if m.next == nil && len(m.UncertainAttempts) > 0 && now.Before(m.Deadline) {
			return false
		}
		r.journal.Remove(m.Message)
		r.retire(m)
		return true
	})
}

// callEnded takes the end of a call.
func (r *Relay) callEnded(evs []policy.Event, e *callEnd) []policy.Event {
	r.out--
	delete(r.calling, e.c)
	for i, a := range e.c.attempts {
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
			evs = r.delivered(evs, m)
		}
		return evs
	}
	a.over = true
	if a.timer != nil {
		a.timer.Stop()
	}
	m.out--
	switch res.outcome {
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		r.journal.RecordNotRun(m.Message, a.n)
	}
	if ok || res.gone {
		if ok && !m.ended {
			r.count(m.Message, metrics.Completed)
		}
		r.done(m)
		r.journal.Remove(m.Message)
		evs = r.delivered(evs, m.next)
	}
	r.retire(m)
	if m.parked {
		return r.unpark(evs, a, res)
	}
	return append(evs, policy.Event{
		Kind: policy.AttemptFinished, MessageID: m.ID, Attempt: a.n, Endpoint: a.route, Outcome: res.outcome, Latency: res.took,
		MessageEnded: ok || res.gone, RetryAfter: res.wait, LimitReport: res.report,
	})
}

// done books that the module has done with a message.
func (r *Relay) done(m *message) {
	if !m.ended {
		m.ended = true
		r.held--
	}
}

// retire forgets a message for which nothing is owed and nothing is out.
func (r *Relay) retire(m *message) {
	if m.out == 0 && m.ended && !r.journal.Tracks(m.Message) {
		delete(r.msgs, m.ID)
		if r.traces[m.TraceID] == m {
			delete(r.traces, m.TraceID)
			r.recent.add(m)
		}
	}
}

// carryOut does what the module has decided: first in the log, in one write, then on the sockets.
func (r *Relay) carryOut(acts []policy.Action, waiting []*handIn) {
	answers := make(map[uint32]answer, len(waiting))
	for _, in := range waiting {
		answers[in.as.ID] = answer{status: http.StatusAccepted}
	}
	var calls []*call
	var ended []*message
	for _, a := range acts {
		m := r.msgs[a.MessageID]
		switch a.Kind {
		case policy.Send:
			if m == nil {
				// a slot less is better than no relay
				r.log.Error("send of a message that is not held", "id", a.MessageID)
				continue
			}
			calls = r.addSend(calls, m, a)
		case policy.Reject, policy.Fail:
			if m == nil || m.ended {
				continue
			}
			r.done(m)
			final := journal.FinalAnswer{Retryable: a.Kind == policy.Reject, RetryAfter: a.Delay}
			r.count(m.Message, finalEnd(final))
			if _, ok := answers[a.MessageID]; ok {
				answers[a.MessageID] = finalAnswer(final)
				r.letGo(m)
				continue
			}
			r.journal.RecordFinal(m.Message, final)
			ended = append(ended, m)
		case policy.SetTimer:
			r.wakeAt = time.Now().Add(a.Delay) // the module keeps one wake in mind, the last that it asked for
		case policy.CloseIdle:
			r.hosts.closeIdle(a.Endpoint)
		}
	}
	if err := r.record(calls); err != nil {
		r.unlogged.Log(r.log, "calls", len(calls), "err", err)
		// A send that is not in the log must not leave: after a restart it would be made again.
		r.giveBack(calls)
		calls = nil
	}
	for _, in := range waiting {
		in.reply <- answers[in.as.ID]
	}
	for _, m := range ended {
		r.notify(m)
	}
	for _, c := range calls {
		r.launch(c)
	}
}

// addSend puts a send into a call: those of one step to one route travel as one, up to what its kind allows.
func (r *Relay) addSend(calls []*call, m *message, a policy.Action) []*call {
	body, err := r.journal.Body(m.Message)
	if err != nil {
		r.unreadable(m, err)
		return calls
	}
	t, _ := r.catalog.Endpoint(a.Endpoint)
	most := 1
	if t.Kind >= 0 && t.Kind < len(r.terms.Settings.DestinationKinds) {
		most = max(1, r.terms.Settings.DestinationKinds[t.Kind].MaxBatch)
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
	c.lead(&attempt{call: c, m: m, n: m.sends, body: body, until: until})
	m.sends++
	m.out++
	if len(c.attempts) == 1 || until.After(c.until) == r.cfg.MayDuplicate {
		c.until = until // where a second copy may be out, the rest of a call outlasts one message's time-out
	}
	return calls
}

// lead adds an attempt before those whose messages have less time left. A call goes by its first message: an answer
// that comes after this one's time tells nothing certain of the others, however whole it is. So no call may outlast its
// first message.
func (c *call) lead(a *attempt) {
	i := slices.IndexFunc(c.attempts, func(b *attempt) bool { return b.m.Deadline.Before(a.m.Deadline) })
	if i < 0 {
		i = len(c.attempts)
	}
	c.attempts = slices.Insert(c.attempts, i, a)
}

// record writes the sends of calls and all that was noted in this step.
func (r *Relay) record(calls []*call) error {
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

// giveBack ends calls that could not be recorded as never connected.
func (r *Relay) giveBack(calls []*call) {
	for _, c := range calls {
		for _, a := range c.attempts {
			r.later = r.attemptEnded(r.later, a, result{outcome: policy.ConnectFailed})
		}
	}
	// The module is told in a step of its own, soon, and not by its own wake, which must not be lost.
	time.AfterFunc(r.cfg.Tick, func() { r.post(nudge{}) })
}

// launch makes a call, away from the loop.
func (r *Relay) launch(c *call) {
	r.out++
	r.calling[c] = struct{}{}
	for _, a := range c.attempts {
		if a.until.Before(c.until) {
			a.timer = time.AfterFunc(time.Until(a.until), func() { r.post(cutOff{a}) })
		}
	}
	r.calls.Add(1)
	go func() {
		defer r.calls.Done()
		results := r.hosts.do(r.callCtx, c, r.cleared)
		r.post(&callEnd{c, results})
	}()
}

// clear tells which attempts of a call that was held up may still leave, if the module lets it leave at all. A message
// that has had its final answer meanwhile, or whose time in this call is up, has no part in it any more: the others'
// connection may come up long after that.
func (r *Relay) clear(c *call) (left []*attempt) {
	var ids []uint32
	for _, a := range c.attempts {
		if !a.over && !a.m.ended && time.Now().Before(a.until) {
			left, ids = append(left, a), append(ids, a.m.ID)
		}
	}
	if len(left) == 0 || r.noSends {
		return nil
	}
	at := r.now()
	may := r.sender.StillAllowed(c.route, ids, at)
	if r.rec.SendChecked(at, c.route, ids, may); !may {
		return nil
	}
	return left
}

// cleared asks the loop which attempts of a call that was held up may still leave.
func (r *Relay) cleared(c *call) []*attempt {
	reply := make(chan []*attempt, 1)
	if !r.post(clearance{c, reply}) {
		return nil
	}
	select {
	case left := <-reply:
		return left
	case <-r.over:
		return nil
	}
}

// notify queues the notice that ends a message.
func (r *Relay) notify(m *message) {
	n := notice{id: m.ID, ID: m.TraceID, Status: "undeliverable"}
	if m.Final.Retryable {
		n.Status, n.AgainMS = "deferred", m.Final.RetryAfter.Milliseconds()
	}
	r.finals.add(n)
}
