package emulate

import (
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// The times of a relay's process, as package relay and the rehearsal kit have them.
const (
	engineStartTime     = time.Second             // the module's own time when it begins
	acceptWindow        = 500 * time.Millisecond  // after SIGTERM
	shutdownNoticeDelay = 300 * time.Millisecond  // from SIGTERM until clients make no new connections
	sendWindow          = 2200 * time.Millisecond // no new calls after this
	exitDeadline        = 3300 * time.Millisecond
	defaultRestartDelay = 600 * time.Millisecond // from the end of a process to the next, unless Options say otherwise
	startupTime         = 60 * time.Millisecond  // from its start until it serves
	healthSaveInterval  = 250 * time.Millisecond
	idleTimeoutRatio    = 0.8 // of the hosts' keep-alive: how long the relay keeps an idle connection
	syncInterval        = time.Second
)

// relay is a relay's loop, as package relay has it, on virtual time: what comes within a tick is one step.
type relay struct {
	world       *World
	index       int
	name        string
	zone        int
	settings    policy.Settings // as its module is told
	mutant      *Mutant
	recordsUndo bool // a death may undo what is in the journal
	endedByPlan bool // its plan ends its process: how hosts stand is kept all the time, as the relay does
	seed        uint64
	engine      DecisionEngine

	process        int  // of its process: what was planned for an earlier one does nothing
	running        bool // the process runs
	accepting      bool // messages
	sendsStopped   bool
	shuttingDown   bool
	engineEpoch    time.Duration // the module's time 0
	pendingEvents  []policy.Event
	eventBuffer    []policy.Event // buffer
	submissions    []*pendingSubmission
	awaitingCheck  []*call // that ask whether they may still leave
	lastStepAt     time.Duration
	stepScheduled  bool
	runStep        func() // steps, if the process is still the same
	timerAt        time.Duration
	messages       map[policy.MessageID]*message
	lastMessageID  policy.MessageID
	pendingCount   int
	activeCalls    map[*call]struct{}
	pools          map[*endpoint]*connectionPool
	maxPools       int                     // pools that may be kept before those without connections are forgotten
	savedHealth    []endpointhealth.Record // as the journal has it
	nextHealthSave time.Duration
	journal        journal
	clocks         machineClocks
	paused         bool // the process is stopped

	member      *fleetMember // nil: relays tell each other nothing
	incarnation uint64       // of its lives in the fleet, which outlasts the process

	// Discovery's agent, and what waits for the process.
	listVersion      int                 // changes of the list
	listLength       int                 // that the list has for it
	workingSet       *catalog.WorkingSet // of what its module is told of; nil: of all
	evictAt          time.Duration       // destinations are looked at again then, to be put to rest
	workingSetBuffer []policy.Event      // buffer
	nextListUpdateAt time.Duration
	discoveryDelay   time.Duration
	discoverySilent  bool
	withheldUpdates  []*listUpdate
	waitingClients   []*submission
}

// message is a message that a relay has taken on. All but what is marked is in its journal, and outlasts the process.
type message struct {
	id              policy.MessageID
	clientID        string
	origin          *clientMessage
	class           int
	customer        int
	destination     int
	orderingKey     string
	deadline        time.Duration // as it is
	journalDeadline int64         // the same as the journal has it
	attemptCount    int
	mayHaveRun      []attemptRecord
	final           *finalDecision
	receivedCalls   int  // that came whole to a host
	released        bool // withdrawn: nothing is owed

	openAttempts int  // attempts without an outcome; not in the journal
	ended        bool // the module has done with it; not in the journal, which has no more of it by then, or its end
}

type attemptRecord struct {
	number, zone int
	startedAt    int64 // when it began, on the journal's axis
	epoch        int64
}

type finalDecision struct {
	deferred   bool
	retryAfter time.Duration
	told       bool // the platform has it
}

// handIn is a message that waits for its answer.
type pendingSubmission struct {
	submission *submission
	message    *message
}

// pool are idle connections to a host, by when they were used last.
type connectionPool struct {
	epoch int // of the host
	idle  []time.Duration
}

func newRelay(w *World, n int) (*relay, error) {
	r := &relay{
		world: w, index: n, name: scenario.RelayName(n + 1), zone: n % len(w.plan.File.Zones), mutant: w.options.Mutant, seed: w.plan.Seed*1000 + uint64(n),
		messages: map[policy.MessageID]*message{}, listLength: w.initialListLength,
	}
	r.endedByPlan = w.relaysEndedByPlan[r.name]
	r.recordsUndo = r.mutant.journalDelay() > 0 || w.options.MachineCrashes && w.options.JournalSync != SyncAlways
	r.settings = Settings(w.plan.File)
	if w.options.ChangeSettings != nil {
		w.options.ChangeSettings(&r.settings)
	}
	r.mutant.applySettings(&r.settings)
	_, err := policy.New(r.settings, r.seed)
	return r, err
}

// decides makes what decides for a process.
func (r *relay) newEngine(seed uint64) DecisionEngine {
	if r.world.options.NewEngine != nil {
		return r.world.options.NewEngine(r.settings, seed)
	}
	module, err := policy.New(r.settings, seed)
	if err != nil {
		panic(err) // newRelay has tried these settings
	}
	return module
}

// now is the module's time.
func (r *relay) now() time.Duration { return r.world.Now() - r.engineEpoch }

// in plans something for the process that runs.
func (r *relay) schedule(d time.Duration, do func()) {
	life := r.process
	r.world.ScheduleAfter(d, func() {
		if r.process == life && r.running {
			do()
		}
	})
}

// start starts a process on what the one before it left in the journal.
func (r *relay) start() {
	w := r.world
	w.record(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateStart})
	r.process++
	r.running, r.shuttingDown, r.sendsStopped, r.stepScheduled = true, false, false, false
	r.engineEpoch, r.lastStepAt, r.timerAt, r.nextHealthSave = w.Now()-engineStartTime, 0, 0, 0
	r.clocks.start(w.Now(), r.mutant.trustsWallClock())
	r.pendingEvents, r.submissions, r.awaitingCheck = nil, nil, nil
	life := r.process
	r.runStep = func() {
		if r.process == life && r.running {
			r.step()
		}
	}
	r.activeCalls = map[*call]struct{}{}
	r.resetPools()
	r.engine = r.mutant.wrapEngine(r.newEngine(r.seed+uint64(r.process)<<32), r)
	if r.paused = false; w.fleet != nil {
		r.member = w.fleet.join(r)
	}
	begin := func() {
		r.accepting = true
		w.record(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateUp})
		waiting := r.waitingClients
		r.waitingClients = nil
		for _, t := range waiting {
			w.ScheduleAfter(reconnectDelay, t.retry)
		}
	}
	r.recoverState()
	if w.Now() == 0 {
		begin()
	} else {
		r.schedule(startupTime, begin)
	}
}

// resume tells the module of the list, of how hosts stood, and of the messages that the journal holds, in one step.
func (r *relay) recoverState() {
	var evs []policy.Event
	if r.workingSet = nil; r.listLength > r.world.options.MaxEagerEndpoints {
		r.newWorkingSet()
	} else {
		evs = append(evs, policy.Event{Kind: policy.EndpointSnapshot, Endpoints: r.world.listSnapshot(r.listVersion)})
	}
	evs = append(evs, endpointhealth.Events(r.savedHealth, r.journalTime(), r.settings.WarmUpDuration)...)
	r.mutant.forgetMessages(r)
	r.pendingCount = 0
	for _, id := range slices.Sorted(maps.Keys(r.messages)) {
		m := r.messages[id]
		m.openAttempts, m.ended = 0, m.released || m.final != nil
		switch {
		case m.released:
		case m.final != nil:
			r.notify(m)
		default:
			r.pendingCount++
			e := r.acceptedEvent(m)
			e.Recovered = &policy.RecoveredMessage{Attempts: m.attemptCount}
			if len(m.mayHaveRun) > 0 {
				e.Recovered.MayHaveRun, e.Recovered.FirstRunZone, e.Recovered.SinceFirstRun = true, m.mayHaveRun[0].zone, r.clocks.timeSince(
					m.mayHaveRun[0],
					r.world.Now(),
				)
			}
			evs = append(evs, e)
		}
	}
	r.pendingEvents = evs
	r.step()
}

func (r *relay) acceptedEvent(m *message) policy.Event {
	return policy.Event{
		Kind: policy.MessageAccepted, MessageID: m.id, Key: m.orderingKey, Class: m.class, Tenant: m.customer, Destination: m.destination, TimeLeft: r.timeLeft(m),
	}
}

// left is how long a message has, as the process takes it.
func (r *relay) timeLeft(m *message) time.Duration {
	left := r.clocks.time(m.journalDeadline) - r.world.Now()
	if m.class >= 0 && m.class < len(r.settings.Classes) {
		left = min(left, r.settings.Classes[m.class].Deadline)
	}
	return left
}

// wall is the time on the journal's axis.
func (r *relay) journalTime() time.Time { return time.Unix(0, r.clocks.stamp(r.world.Now())) }

// tell tells the loop of an event.
func (r *relay) postEvent(e policy.Event) {
	r.pendingEvents = append(r.pendingEvents, e)
	r.scheduleStep()
}

// plan has the loop step, no more often than its tick.
func (r *relay) scheduleStep() {
	if !r.stepScheduled {
		r.stepScheduled = true
		r.world.Schedule(r.lastStepAt+r.world.plan.File.Settings.Tick.AsDuration(), r.runStep)
	}
}

// step decides on all that has come in.
func (r *relay) step() {
	w := r.world
	if r.paused {
		return // it stays planned: freeze takes it up
	}
	r.stepScheduled, r.lastStepAt = false, w.Now()
	evs, ins, asked := r.pendingEvents, r.submissions, r.awaitingCheck
	r.pendingEvents, r.submissions, r.awaitingCheck = r.eventBuffer[:0], nil, nil
	ins = r.accept(ins)
	for _, in := range ins {
		evs = append(evs, r.acceptedEvent(in.message))
	}
	var acts []policy.Action
	buffer := evs
	if !r.sendsStopped {
		evs = r.updateWorkingSet(evs)
		acts = r.engine.Step(r.now(), evs)
		w.Steps++
		w.Events += len(evs)
		if w.options.OnStep != nil {
			w.options.OnStep(r.index, r.now(), evs, acts)
		}
		if r.member != nil {
			r.member.step(evs, acts)
		}
	}
	r.eventBuffer = buffer[:0]
	r.execute(acts, ins)
	for _, c := range asked {
		r.removeEndedAttempts(c)
		if len(c.attempts) > 0 && r.engine.StillAllowed(c.endpoint.ID, c.messageIDs(), r.now()) && !r.sendsStopped {
			c.write()
		} else {
			r.poolOf(c.endpoint).put(w.Now())
			r.callEnded(c, attemptResult{outcome: policy.NotSent})
		}
	}
	r.saveHealthIfDue()
	r.exitIfIdle()
}

// clear takes out of a call that was held up what has ended meanwhile, or whose time in it is up.
func (r *relay) removeEndedAttempts(c *call) {
	c.attempts = slices.DeleteFunc(c.attempts, func(a *attempt) bool {
		if !a.ended && !a.message.ended && r.world.Now() < a.timeoutAt {
			return false
		}
		if !a.ended {
			r.attemptEnded(c, a, attemptResult{outcome: policy.NotSent})
			r.scheduleStep()
		}
		return true
	})
}

// accept puts new messages in the journal. Those beyond the room have their answers.
func (r *relay) accept(ins []*pendingSubmission) (taken []*pendingSubmission) {
	for _, in := range ins {
		if r.settings.MaxPendingMessages > 0 && r.pendingCount >= r.settings.MaxPendingMessages {
			in.submission.answer(r, statusUnavailable, policy.MinRetryAfter)
			continue
		}
		r.lastMessageID++
		a := &in.submission.Arrival
		in.message = &message{
			id: r.lastMessageID, clientID: in.submission.ID, origin: in.submission.message, class: a.Class, customer: a.Customer, destination: a.Destination, orderingKey: a.OrderingKey, deadline: in.submission.deadline,
			journalDeadline: r.clocks.stamp(in.submission.deadline),
		}
		r.messages[r.lastMessageID] = in.message
		if m := in.message; r.recordsUndo {
			r.journal.recordUndo(r, func() { delete(r.messages, m.id) })
		}
		r.pendingCount++
		taken = append(taken, in)
	}
	return taken
}

// carryOut does what the module has decided: first in the journal, then on the network.
func (r *relay) execute(acts []policy.Action, ins []*pendingSubmission) {
	w := r.world
	var calls []*call
	var ended []*message
	fresh := func(id policy.MessageID) int {
		return slices.IndexFunc(ins, func(in *pendingSubmission) bool { return in.message != nil && in.message.id == id })
	}
	for _, a := range acts {
		m := r.messages[a.MessageID]
		switch a.Kind {
		case policy.Send:
			if m != nil {
				calls = r.addToCall(calls, m, a)
			}
		case policy.Reject, policy.Fail:
			if m == nil || m.ended {
				continue
			}
			r.endMessage(m)
			f := &finalDecision{deferred: a.Kind == policy.Reject, retryAfter: a.Delay}
			if i := fresh(a.MessageID); i >= 0 {
				status := statusError
				if f.deferred {
					status = statusUnavailable
				}
				ins[i].submission.answer(r, status, f.retryAfter)
				ins[i].message = nil
				r.releaseMessage(m)
				continue
			}
			m.final = f
			if r.recordsUndo {
				r.journal.recordUndo(r, func() { m.final = nil })
			}
			ended = append(ended, m)
		case policy.SetTimer:
			at := w.Now() + a.Delay
			r.timerAt = at // the module keeps one wake in mind, the last that it asked for
			r.schedule(a.Delay, func() {
				if r.timerAt == at {
					r.timerAt = 0
					r.postEvent(policy.Event{Kind: policy.TimerFired})
				}
			})
		case policy.CloseIdle:
			if h := w.endpoints[a.Endpoint]; h != nil {
				r.dropPool(h)
			}
		}
	}
	for _, c := range calls {
		for i := range c.attempts {
			a := c.attempts[i]
			m, n := a.message, a.number
			m.mayHaveRun = append(m.mayHaveRun, attemptRecord{n, c.endpoint.zone, r.clocks.stamp(w.Now()), r.clocks.timeline.Epoch})
			if r.recordsUndo {
				r.journal.recordUndo(r, func() {
					m.attemptNeverRan(n)
					m.attemptCount--
				})
			}
		}
	}
	for _, in := range ins {
		if in.message != nil {
			in.submission.answer(r, statusAccepted, 0)
		}
	}
	for _, m := range ended {
		r.notify(m)
	}
	for _, c := range calls {
		r.startCall(c)
	}
}

func (m *message) attemptNeverRan(n int) {
	m.mayHaveRun = slices.DeleteFunc(m.mayHaveRun, func(a attemptRecord) bool { return a.number == n })
}

// addSend puts a send into a call: those of one step to one route travel as one, up to what its kind allows.
func (r *relay) addToCall(calls []*call, m *message, a policy.Action) []*call {
	w := r.world
	h := w.endpoints[a.Endpoint]
	most := 1
	if k := r.kindOf(h); k >= 0 && k < len(r.settings.DestinationKinds) {
		most = max(1, r.settings.DestinationKinds[k].MaxBatch)
	}
	var c *call
	for _, x := range calls {
		if x.endpoint == h && len(x.attempts) < most {
			c = x
		}
	}
	if c == nil {
		w.lastCallNumber++
		c = &call{relay: r, process: r.process, endpoint: h, number: w.lastCallNumber, startedAt: w.Now()}
		calls = append(calls, c)
	}
	until := a.TimeoutAt + r.engineEpoch
	c.attempts = append(c.attempts, &attempt{message: m, number: m.attemptCount, timeoutAt: until})
	m.attemptCount++
	m.openAttempts++
	if len(c.attempts) == 1 || (until > c.timeoutAt) == *w.plan.File.Settings.DuplicatesAllowed {
		c.timeoutAt = until
	}
	return calls
}

func (r *relay) endMessage(m *message) {
	if !m.ended {
		m.ended = true
		r.pendingCount--
	}
}

// letGo ends a message that is no more owed. One that may have run is remembered until its time is up.
func (r *relay) releaseMessage(m *message) {
	if len(m.mayHaveRun) == 0 {
		r.removeMessage(m)
		return
	}
	m.released = true
	r.world.Schedule(r.world.Now()+max(0, r.timeLeft(m)), func() { delete(r.messages, m.id) })
}

// end notes that nothing more is owed for a message.
func (r *relay) removeMessage(m *message) {
	if r.messages[m.id] == m {
		delete(r.messages, m.id)
		if r.recordsUndo {
			r.journal.recordUndo(r, func() { r.messages[m.id] = m })
		}
	}
}

// notify tells the platform how a message ended.
func (r *relay) notify(m *message) {
	w := r.world
	if m.final.deferred {
		w.Deferred++
	} else {
		w.Failed++
	}
	r.schedule(w.options.Latency, func() {
		if r.mutant.dropsNotice(r, m) {
			return
		}
		state := eventlog.StateUndeliverable
		if m.final.deferred {
			state = eventlog.StateDeferred
		}
		w.record(eventlog.Event{Kind: eventlog.MessageNotice, Relay: r.name, ID: m.clientID, State: state, RetryAfter: m.final.retryAfter})
		r.schedule(w.options.Latency, func() { r.removeMessage(m) }) // confirmed
	})
}

// keepStanding notes in the journal how hosts in trouble stand, every so often. Where the plan does not end the process
// that would be a look at all routes for nothing: one at its end, should there be one, tells as much.
func (r *relay) saveHealthIfDue() {
	if r.endedByPlan && r.world.Now() >= r.nextHealthSave {
		r.nextHealthSave = r.world.Now() + healthSaveInterval
		r.saveHealth()
	}
}

func (r *relay) saveHealth() {
	s, ok := r.engine.(interface {
		Views() ([]policy.EndpointView, int)
	})
	if !ok {
		return
	}
	views, _ := s.Views()
	if recs := endpointhealth.FromViews(views, r.now(), r.journalTime()); endpointhealth.Changed(r.savedHealth, recs) {
		r.savedHealth = recs
	}
}

// Processes that end.

// term is SIGTERM, and a start once the process has ended.
func (r *relay) terminate() {
	if !r.running || r.shuttingDown {
		return
	}
	r.world.record(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateTerm})
	r.shuttingDown = true
	r.schedule(shutdownNoticeDelay, func() { r.accepting = false })
	r.schedule(acceptWindow, r.exitIfIdle)
	r.schedule(sendWindow, func() { r.sendsStopped = true; r.exitIfIdle() })
	r.schedule(exitDeadline, r.exit)
}

// idle ends a process that was told to, once nothing is owed, or nothing is out and nothing more may leave.
func (r *relay) exitIfIdle() {
	if !r.shuttingDown || r.accepting {
		return
	}
	owes := false
	for _, m := range r.messages {
		owes = owes || m.openAttempts > 0 || !m.released
	}
	if !owes || r.sendsStopped && len(r.activeCalls) == 0 {
		r.clocks.end(r.world.Now(), r.mutant.trustsWallClock())
		r.exit()
	}
}

// kill is SIGKILL, or the death of the machine, and a start after it.
func (r *relay) kill(machine bool) {
	if !r.running {
		return
	}
	r.world.record(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateKill})
	if !r.endedByPlan {
		r.saveHealth()
	}
	r.journal.rollBack(r, machine)
	if machine {
		r.clocks.boots, r.clocks.bootedAt = r.clocks.boots+1, r.world.Now()
	}
	r.exit()
}

// exit ends the process: its connections with it.
func (r *relay) exit() {
	if !r.running {
		return
	}
	w := r.world
	r.running, r.accepting, r.paused = false, false, false
	r.process++
	w.record(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateExit})
	for _, in := range r.submissions {
		in.submission.connectionClosed(r)
	}
	for _, c := range r.sortedCalls() {
		c.abandon()
	}
	w.ScheduleAfter(w.options.RestartDelay, r.start)
}

func (r *relay) sortedCalls() []*call {
	return slices.SortedFunc(maps.Keys(r.activeCalls), func(a, b *call) int { return int(int64(a.number) - int64(b.number)) })
}

// journal is what of a relay's memory outlasts it. All of it does, but for what a death undoes.
type journal struct{ records []undoRecord }

type undoRecord struct {
	at   time.Duration
	undo func()
}

// note keeps how to undo something that is written now, where a death may.
func (j *journal) recordUndo(r *relay, undo func()) {
	lag := r.mutant.journalDelay()
	now := r.world.Now()
	keep := max(lag, syncInterval)
	if r.world.options.MachineCrashes && r.world.options.JournalSync == SyncNever {
		keep = now
	}
	n := 0
	for n < len(j.records) && j.records[n].at < now-keep {
		n++
	}
	j.records = append(j.records[n:], undoRecord{now, undo})
}

// lose undoes what a death loses, the latest first.
func (j *journal) rollBack(r *relay, machine bool) {
	since := r.world.Now() - r.mutant.journalDelay()
	if machine {
		switch r.world.options.JournalSync {
		case SyncNever:
			since = -1
		case SyncInterval:
			since = min(since, r.world.Now().Truncate(syncInterval))
		}
	}
	for i := len(j.records) - 1; i >= 0 && j.records[i].at > since; i-- {
		j.records[i].undo()
	}
	j.records = nil
}
