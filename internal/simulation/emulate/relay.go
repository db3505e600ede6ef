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
	moduleStart   = time.Second             // the module's own time when it begins
	acceptFor     = 500 * time.Millisecond  // after SIGTERM
	frontNotices  = 300 * time.Millisecond  // from SIGTERM until clients make no new connections
	sendFor       = 2200 * time.Millisecond // no new calls after this
	endBy         = 3300 * time.Millisecond
	startAfter    = 600 * time.Millisecond // from the end of a process to the next, unless Options say otherwise
	readyAfter    = 60 * time.Millisecond  // from its start until it serves
	standingEvery = 250 * time.Millisecond
	keepShare     = 0.8 // of the hosts' keep-alive: how long the relay keeps an idle connection
	syncEvery     = time.Second
)

// relay is a relay's loop, as package relay has it, on virtual time: what comes within a tick is one step.
type relay struct {
	w      *World
	n      int
	name   string
	zone   int
	set    policy.Settings // as its module is told
	wrong  *Mutant
	undoes bool // a death may undo what is in the journal
	dies   bool // its plan ends its process: how hosts stand is kept all the time, as the relay does
	seed   uint64
	module Module

	life      int  // of its process: what was planned for an earlier one does nothing
	up        bool // the process runs
	takes     bool // messages
	noSends   bool
	ending    bool
	epoch     time.Duration // the module's time 0
	pending   []policy.Event
	later     []policy.Event // buffer
	ins       []*handIn
	asked     []*call // that ask whether they may still leave
	last      time.Duration
	planned   bool
	tick      func() // steps, if the process is still the same
	wakeAt    time.Duration
	msgs      map[policy.MessageID]*message
	lastID    policy.MessageID
	held      int
	calling   map[*call]struct{}
	pools     map[*host]*pool
	poolsMost int                     // pools that may be kept before those without connections are forgotten
	stood     []endpointhealth.Record // as the journal has it
	standsAt  time.Duration
	journal   journal
	clocks    clocks
	frozen    bool // the process is stopped

	fleet       *fleetMember // nil: relays tell each other nothing
	incarnation uint64       // of its lives in the fleet, which outlasts the process

	// Discovery's agent, and what waits for the process.
	heard   int                 // changes of the list
	entries int                 // that the list has for it
	working *catalog.WorkingSet // of what its module is told of; nil: of all
	restAt  time.Duration       // destinations are looked at again then, to be put to rest
	roused  []policy.Event      // buffer
	due     time.Duration
	late    time.Duration
	hushed  bool
	unsaid  []*change
	waiting []*try
}

// message is a message that a relay has taken on. All but what is marked is in its journal, and outlasts the process.
type message struct {
	id       policy.MessageID
	name     string
	ask      *ask
	class    int
	cust     int
	dest     int
	order    string
	deadline time.Duration // as it is
	due      int64         // the same as the journal has it
	sends    int
	mayRun   []ran
	final    *final
	calls    int  // that came whole to a host
	gone     bool // withdrawn: nothing is owed

	out   int  // attempts without an outcome; not in the journal
	ended bool // the module has done with it; not in the journal, which has no more of it by then, or its end
}

type ran struct {
	n, zone int
	stamp   int64 // when it began, on the journal's axis
	epoch   int64
}

type final struct {
	deferred bool
	again    time.Duration
	told     bool // the platform has it
}

// handIn is a message that waits for its answer.
type handIn struct {
	t *try
	m *message
}

// pool are idle connections to a host, by when they were used last.
type pool struct {
	life int // of the host
	idle []time.Duration
}

func newRelay(w *World, n int) (*relay, error) {
	r := &relay{
		w: w, n: n, name: scenario.RelayName(n + 1), zone: n % len(w.plan.File.Zones), wrong: w.opts.Wrong, seed: w.plan.Seed*1000 + uint64(n),
		msgs: map[policy.MessageID]*message{}, entries: w.entries,
	}
	r.dies = w.dying[r.name]
	r.undoes = r.wrong.lag() > 0 || w.opts.Machines && w.opts.Sync != SyncAlways
	r.set = Settings(w.plan.File)
	if w.opts.Settings != nil {
		w.opts.Settings(&r.set)
	}
	r.wrong.settings(&r.set)
	_, err := policy.New(r.set, r.seed)
	return r, err
}

// decides makes what decides for a process.
func (r *relay) decides(seed uint64) Module {
	if r.w.opts.Module != nil {
		return r.w.opts.Module(r.set, seed)
	}
	module, err := policy.New(r.set, seed)
	if err != nil {
		panic(err) // newRelay has tried these settings
	}
	return module
}

// now is the module's time.
func (r *relay) now() time.Duration { return r.w.Now() - r.epoch }

// in plans something for the process that runs.
func (r *relay) in(d time.Duration, do func()) {
	life := r.life
	r.w.ScheduleAfter(d, func() {
		if r.life == life && r.up {
			do()
		}
	})
}

// start starts a process on what the one before it left in the journal.
func (r *relay) start() {
	w := r.w
	w.see(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateStart})
	r.life++
	r.up, r.ending, r.noSends, r.planned = true, false, false, false
	r.epoch, r.last, r.wakeAt, r.standsAt = w.Now()-moduleStart, 0, 0, 0
	r.clocks.start(w.Now(), r.wrong.trustsWall())
	r.pending, r.ins, r.asked = nil, nil, nil
	life := r.life
	r.tick = func() {
		if r.life == life && r.up {
			r.step()
		}
	}
	r.calling = map[*call]struct{}{}
	r.dropPools()
	r.module = r.wrong.module(r.decides(r.seed+uint64(r.life)<<32), r)
	if r.frozen = false; w.fleet != nil {
		r.fleet = w.fleet.join(r)
	}
	begin := func() {
		r.takes = true
		w.see(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateUp})
		waiting := r.waiting
		r.waiting = nil
		for _, t := range waiting {
			w.ScheduleAfter(againAfter, t.next)
		}
	}
	r.resume()
	if w.Now() == 0 {
		begin()
	} else {
		r.in(readyAfter, begin)
	}
}

// resume tells the module of the list, of how hosts stood, and of the messages that the journal holds, in one step.
func (r *relay) resume() {
	var evs []policy.Event
	if r.working = nil; r.entries > r.w.opts.WholeMost {
		r.newWorking()
	} else {
		evs = append(evs, policy.Event{Kind: policy.EndpointSnapshot, Endpoints: r.w.whole(r.heard)})
	}
	evs = append(evs, endpointhealth.Events(r.stood, r.wall(), r.set.WarmUpDuration)...)
	r.wrong.restored(r)
	r.held = 0
	for _, id := range slices.Sorted(maps.Keys(r.msgs)) {
		m := r.msgs[id]
		m.out, m.ended = 0, m.gone || m.final != nil
		switch {
		case m.gone:
		case m.final != nil:
			r.notify(m)
		default:
			r.held++
			e := r.taken(m)
			e.Recovered = &policy.RecoveredMessage{Attempts: m.sends}
			if len(m.mayRun) > 0 {
				e.Recovered.MayHaveRun, e.Recovered.FirstRunZone, e.Recovered.SinceFirstRun = true, m.mayRun[0].zone, r.clocks.ago(
					m.mayRun[0],
					r.w.Now(),
				)
			}
			evs = append(evs, e)
		}
	}
	r.pending = evs
	r.step()
}

func (r *relay) taken(m *message) policy.Event {
	return policy.Event{
		Kind: policy.MessageAccepted, MessageID: m.id, Key: m.order, Class: m.class, Tenant: m.cust, Destination: policy.DestinationID(m.dest), TimeLeft: r.left(m),
	}
}

// left is how long a message has, as the process takes it.
func (r *relay) left(m *message) time.Duration {
	left := r.clocks.time(m.due) - r.w.Now()
	if m.class >= 0 && m.class < len(r.set.Classes) {
		left = min(left, r.set.Classes[m.class].Deadline)
	}
	return left
}

// wall is the time on the journal's axis.
func (r *relay) wall() time.Time { return time.Unix(0, r.clocks.stamp(r.w.Now())) }

// tell tells the loop of an event.
func (r *relay) tell(e policy.Event) {
	r.pending = append(r.pending, e)
	r.plan()
}

// plan has the loop step, no more often than its tick.
func (r *relay) plan() {
	if !r.planned {
		r.planned = true
		r.w.Schedule(r.last+r.w.plan.File.Settings.Tick.D(), r.tick)
	}
}

// step decides on all that has come in.
func (r *relay) step() {
	w := r.w
	if r.frozen {
		return // it stays planned: freeze takes it up
	}
	r.planned, r.last = false, w.Now()
	evs, ins, asked := r.pending, r.ins, r.asked
	r.pending, r.ins, r.asked = r.later[:0], nil, nil
	ins = r.accept(ins)
	for _, in := range ins {
		evs = append(evs, r.taken(in.m))
	}
	var acts []policy.Action
	buffer := evs
	if !r.noSends {
		evs = r.rouse(evs)
		acts = r.module.Step(r.now(), evs)
		w.Steps++
		w.Events += len(evs)
		if w.opts.Stepped != nil {
			w.opts.Stepped(r.n, r.now(), evs, acts)
		}
		if r.fleet != nil {
			r.fleet.step(evs, acts)
		}
	}
	r.later = buffer[:0]
	r.carryOut(acts, ins)
	for _, c := range asked {
		r.clear(c)
		if len(c.atts) > 0 && r.module.StillAllowed(c.host.ID, c.ids(), r.now()) && !r.noSends {
			c.write()
		} else {
			r.pool(c.host).put(w.Now())
			r.callEnded(c, result{outcome: policy.NotSent})
		}
	}
	r.keepStanding()
	r.idle()
}

// clear takes out of a call that was held up what has ended meanwhile, or whose time in it is up.
func (r *relay) clear(c *call) {
	c.atts = slices.DeleteFunc(c.atts, func(a *attempt) bool {
		if !a.over && !a.m.ended && r.w.Now() < a.until {
			return false
		}
		if !a.over {
			r.attemptEnded(c, a, result{outcome: policy.NotSent})
			r.plan()
		}
		return true
	})
}

// accept puts new messages in the journal. Those beyond the room have their answers.
func (r *relay) accept(ins []*handIn) (taken []*handIn) {
	for _, in := range ins {
		if r.set.MaxPendingMessages > 0 && r.held >= r.set.MaxPendingMessages {
			in.t.answer(r, statusRefused, policy.MinRetryAfter)
			continue
		}
		r.lastID++
		a := &in.t.Arrival
		in.m = &message{
			id: r.lastID, name: in.t.ID, ask: in.t.ask, class: a.Class, cust: a.Customer, dest: a.Dest, order: a.Order, deadline: in.t.deadline,
			due: r.clocks.stamp(in.t.deadline),
		}
		r.msgs[r.lastID] = in.m
		if m := in.m; r.undoes {
			r.journal.note(r, func() { delete(r.msgs, m.id) })
		}
		r.held++
		taken = append(taken, in)
	}
	return taken
}

// carryOut does what the module has decided: first in the journal, then on the network.
func (r *relay) carryOut(acts []policy.Action, ins []*handIn) {
	w := r.w
	var calls []*call
	var ended []*message
	fresh := func(id policy.MessageID) int {
		return slices.IndexFunc(ins, func(in *handIn) bool { return in.m != nil && in.m.id == id })
	}
	for _, a := range acts {
		m := r.msgs[a.MessageID]
		switch a.Kind {
		case policy.Send:
			if m != nil {
				calls = r.addSend(calls, m, a)
			}
		case policy.Reject, policy.Fail:
			if m == nil || m.ended {
				continue
			}
			r.done(m)
			f := &final{deferred: a.Kind == policy.Reject, again: a.Delay}
			if i := fresh(a.MessageID); i >= 0 {
				status := statusFailed
				if f.deferred {
					status = statusRefused
				}
				ins[i].t.answer(r, status, f.again)
				ins[i].m = nil
				r.letGo(m)
				continue
			}
			m.final = f
			if r.undoes {
				r.journal.note(r, func() { m.final = nil })
			}
			ended = append(ended, m)
		case policy.SetTimer:
			at := w.Now() + a.Delay
			r.wakeAt = at // the module keeps one wake in mind, the last that it asked for
			r.in(a.Delay, func() {
				if r.wakeAt == at {
					r.wakeAt = 0
					r.tell(policy.Event{Kind: policy.TimerFired})
				}
			})
		case policy.CloseIdle:
			if h := w.hosts[a.Endpoint]; h != nil {
				r.dropPool(h)
			}
		}
	}
	for _, c := range calls {
		for i := range c.atts {
			a := c.atts[i]
			m, n := a.m, a.n
			m.mayRun = append(m.mayRun, ran{n, c.host.zone, r.clocks.stamp(w.Now()), r.clocks.axis.Epoch})
			if r.undoes {
				r.journal.note(r, func() {
					m.neverRan(n)
					m.sends--
				})
			}
		}
	}
	for _, in := range ins {
		if in.m != nil {
			in.t.answer(r, statusTaken, 0)
		}
	}
	for _, m := range ended {
		r.notify(m)
	}
	for _, c := range calls {
		r.launch(c)
	}
}

func (m *message) neverRan(n int) {
	m.mayRun = slices.DeleteFunc(m.mayRun, func(a ran) bool { return a.n == n })
}

// addSend puts a send into a call: those of one step to one route travel as one, up to what its kind allows.
func (r *relay) addSend(calls []*call, m *message, a policy.Action) []*call {
	w := r.w
	h := w.hosts[a.Endpoint]
	most := 1
	if k := r.kindOf(h); k >= 0 && k < len(r.set.DestinationKinds) {
		most = max(1, r.set.DestinationKinds[k].MaxBatch)
	}
	var c *call
	for _, x := range calls {
		if x.host == h && len(x.atts) < most {
			c = x
		}
	}
	if c == nil {
		w.calls++
		c = &call{r: r, life: r.life, host: h, num: w.calls, sent: w.Now()}
		calls = append(calls, c)
	}
	until := a.TimeoutAt + r.epoch
	c.atts = append(c.atts, &attempt{m: m, n: m.sends, until: until})
	m.sends++
	m.out++
	if len(c.atts) == 1 || (until > c.until) == *w.plan.File.Settings.MayDuplicate {
		c.until = until
	}
	return calls
}

func (r *relay) done(m *message) {
	if !m.ended {
		m.ended = true
		r.held--
	}
}

// letGo ends a message that is no more owed. One that may have run is remembered until its time is up.
func (r *relay) letGo(m *message) {
	if len(m.mayRun) == 0 {
		r.end(m)
		return
	}
	m.gone = true
	r.w.Schedule(r.w.Now()+max(0, r.left(m)), func() { delete(r.msgs, m.id) })
}

// end notes that nothing more is owed for a message.
func (r *relay) end(m *message) {
	if r.msgs[m.id] == m {
		delete(r.msgs, m.id)
		if r.undoes {
			r.journal.note(r, func() { r.msgs[m.id] = m })
		}
	}
}

// notify tells the platform how a message ended.
func (r *relay) notify(m *message) {
	w := r.w
	if m.final.deferred {
		w.Deferred++
	} else {
		w.Failed++
	}
	r.in(w.opts.Latency, func() {
		if r.wrong.mute(r, m) {
			return
		}
		state := eventlog.StateUndeliverable
		if m.final.deferred {
			state = eventlog.StateDeferred
		}
		w.see(eventlog.Event{Kind: eventlog.MessageNotice, Relay: r.name, ID: m.name, State: state, RetryAfter: m.final.again})
		r.in(w.opts.Latency, func() { r.end(m) }) // confirmed
	})
}

// keepStanding notes in the journal how hosts in trouble stand, every so often. Where the plan does not end the process
// that would be a look at all routes for nothing: one at its end, should there be one, tells as much.
func (r *relay) keepStanding() {
	if r.dies && r.w.Now() >= r.standsAt {
		r.standsAt = r.w.Now() + standingEvery
		r.noteStanding()
	}
}

func (r *relay) noteStanding() {
	s, ok := r.module.(interface {
		Views() ([]policy.EndpointView, int)
	})
	if !ok {
		return
	}
	views, _ := s.Views()
	if recs := endpointhealth.FromViews(views, r.now(), r.wall()); endpointhealth.Changed(r.stood, recs) {
		r.stood = recs
	}
}

// Processes that end.

// term is SIGTERM, and a start once the process has ended.
func (r *relay) term() {
	if !r.up || r.ending {
		return
	}
	r.w.see(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateTerm})
	r.ending = true
	r.in(frontNotices, func() { r.takes = false })
	r.in(acceptFor, r.idle)
	r.in(sendFor, func() { r.noSends = true; r.idle() })
	r.in(endBy, r.exit)
}

// idle ends a process that was told to, once nothing is owed, or nothing is out and nothing more may leave.
func (r *relay) idle() {
	if !r.ending || r.takes {
		return
	}
	owes := false
	for _, m := range r.msgs {
		owes = owes || m.out > 0 || !m.gone
	}
	if !owes || r.noSends && len(r.calling) == 0 {
		r.clocks.end(r.w.Now(), r.wrong.trustsWall())
		r.exit()
	}
}

// kill is SIGKILL, or the death of the machine, and a start after it.
func (r *relay) kill(machine bool) {
	if !r.up {
		return
	}
	r.w.see(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateKill})
	if !r.dies {
		r.noteStanding()
	}
	r.journal.lose(r, machine)
	if machine {
		r.clocks.boots, r.clocks.booted = r.clocks.boots+1, r.w.Now()
	}
	r.exit()
}

// exit ends the process: its connections with it.
func (r *relay) exit() {
	if !r.up {
		return
	}
	w := r.w
	r.up, r.takes, r.frozen = false, false, false
	r.life++
	w.see(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateExit})
	for _, in := range r.ins {
		in.t.broken(r)
	}
	for _, c := range r.sortedCalls() {
		c.closed()
	}
	w.ScheduleAfter(w.opts.StartAfter, r.start)
}

func (r *relay) sortedCalls() []*call {
	return slices.SortedFunc(maps.Keys(r.calling), func(a, b *call) int { return int(int64(a.num) - int64(b.num)) })
}

// journal is what of a relay's memory outlasts it. All of it does, but for what a death undoes.
type journal struct{ undo []undone }

type undone struct {
	at time.Duration
	do func()
}

// note keeps how to undo something that is written now, where a death may.
func (j *journal) note(r *relay, undo func()) {
	lag := r.wrong.lag()
	now := r.w.Now()
	keep := max(lag, syncEvery)
	if r.w.opts.Machines && r.w.opts.Sync == SyncNever {
		keep = now
	}
	n := 0
	for n < len(j.undo) && j.undo[n].at < now-keep {
		n++
	}
	j.undo = append(j.undo[n:], undone{now, undo})
}

// lose undoes what a death loses, the latest first.
func (j *journal) lose(r *relay, machine bool) {
	since := r.w.Now() - r.wrong.lag()
	if machine {
		switch r.w.opts.Sync {
		case SyncNever:
			since = -1
		case SyncInterval:
			since = min(since, r.w.Now().Truncate(syncEvery))
		}
	}
	for i := len(j.undo) - 1; i >= 0 && j.undo[i].at > since; i-- {
		j.undo[i].do()
	}
	j.undo = nil
}
