package emulate

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// seedsPerPlan separates the seeds of the relays of one plan from those of the next.
const seedsPerPlan = 1000

// relay is a simulated relay. Its event loop is that of package relay: what happens within a tick is one step of its
// decision engine. What belongs to the process begins anew with each process; the rest survives it.
type relay struct {
	world       *World
	index       int // counted from 0
	name        string
	zone        int
	settings    policy.Settings // of its engine
	mutant      *Mutant         // nil: correct
	seed        uint64
	endedByPlan bool // the plan ends its process at some time

	// The state on disk, and the machine.
	journal       journal
	messages      map[policy.MessageID]*message
	lastMessageID policy.MessageID
	savedHealth   []endpointhealth.Record
	clocks        machineClocks
	incarnation   uint64 // in the fleet

	// The process. Its number changes when it starts and when it exits: what was scheduled for an earlier one does
	// nothing.
	process        int
	running        bool
	stalled        bool // by SIGSTOP
	accepting      bool // it listens for submissions
	shuttingDown   bool
	sendsStopped   bool
	waitingClients []*submission // that submit once it listens
	member         *fleetMember  // nil: the relays are not linked

	// The event loop of the process.
	engine              DecisionEngine
	engineEpoch         time.Duration // the engine's time 0
	runStep             func()        // steps, if the process is still the same
	stepScheduled       bool
	lastStepAt          time.Duration
	timerAt             time.Duration // when the engine's only timer fires; 0: it is not set
	pendingEvents       []policy.Event
	eventBuffer         []policy.Event
	receivedSubmissions []*receivedSubmission
	awaitingCheck       []*call // with new connections, to be checked once more before they are sent
	pendingCount        int     // messages without a final answer
	activeCalls         map[*call]struct{}
	nextHealthSave      time.Duration

	// Connections to endpoints.
	pools    map[*endpoint]*connectionPool
	maxPools int // number of pools at which the empty ones are dropped

	// Discovery.
	listVersion      int
	listLength       int
	nextListUpdateAt time.Duration // when the last list update on its way arrives
	discoveryDelay   time.Duration // added by a fault
	discoverySilent  bool
	withheldUpdates  []*listUpdate

	workingSet       *catalog.WorkingSet // nil: the engine has the whole list
	workingSetBuffer []policy.Event
	evictAt          time.Duration
}

// receivedSubmission is a submission that waits for its answer.
type receivedSubmission struct {
	submission *submission
	message    *message // nil: not accepted, or answered
}

func newRelay(w *World, index int) (*relay, error) {
	r := &relay{
		world:      w,
		index:      index,
		name:       scenario.RelayName(index + 1),
		zone:       index % len(w.plan.File.Zones),
		settings:   policySettings(&w.plan.File),
		mutant:     w.options.Mutant,
		seed:       w.plan.Seed*seedsPerPlan + uint64(index),
		messages:   map[policy.MessageID]*message{},
		listLength: w.initialListLength,
	}
	r.endedByPlan = w.relaysEndedByPlan[r.name]
	r.journal = newJournal(w)
	if w.options.ChangeSettings != nil {
		w.options.ChangeSettings(&r.settings)
	}
	r.mutant.applySettings(&r.settings)
	_, err := policy.New(r.settings, r.seed)
	return r, err
}

// newEngine returns the decision engine for a process.
func (r *relay) newEngine(seed uint64) DecisionEngine {
	if r.world.options.NewEngine != nil {
		return r.world.options.NewEngine(r.settings, seed)
	}
	e, err := policy.New(r.settings, seed)
	if err != nil {
		panic(err) // newRelay checked these settings
	}
	return e
}

// now returns the time of the engine.
func (r *relay) now() time.Duration { return r.world.Now() - r.engineEpoch }

// tick is the least time between two steps.
func (r *relay) tick() time.Duration { return r.world.plan.File.Settings.Tick.AsDuration() }

// schedule schedules something for the present process.
func (r *relay) schedule(delay time.Duration, run func()) {
	process := r.process
	r.world.ScheduleAfter(delay, func() {
		if r.process == process && r.running {
			run()
		}
	})
}

// postEvent adds an event for the next step.
func (r *relay) postEvent(e policy.Event) {
	r.pendingEvents = append(r.pendingEvents, e)
	r.scheduleStep()
}

// scheduleStep schedules a step, a tick after the last one at the earliest.
func (r *relay) scheduleStep() {
	if !r.stepScheduled {
		r.stepScheduled = true
		r.world.Schedule(r.lastStepAt+r.tick(), r.runStep)
	}
}

// step lets the engine decide on all that has happened since the last step, and executes what it decided.
func (r *relay) step() {
	if r.stalled {
		return // it stays scheduled, for setStalled
	}
	r.stepScheduled = false
	r.lastStepAt = r.world.Now()
	events, received, calls := r.pendingEvents, r.receivedSubmissions, r.awaitingCheck
	r.pendingEvents, r.receivedSubmissions, r.awaitingCheck = r.eventBuffer[:0], nil, nil

	accepted := r.accept(received)
	for _, s := range accepted {
		events = append(events, r.acceptedEvent(s.message))
	}
	var actions []policy.Action
	if !r.sendsStopped {
		actions = r.decide(events)
	}
	r.eventBuffer = events[:0]
	r.execute(actions, accepted)
	for _, c := range calls {
		r.checkSend(c)
	}
	r.saveHealthIfDue()
	r.exitIfIdle()
}

// decide has the engine decide on events, and the fleet's agent observe it.
func (r *relay) decide(events []policy.Event) []policy.Action {
	events = r.updateWorkingSet(events)
	actions := r.engine.Step(r.now(), events)
	r.world.Steps++
	r.world.Events += len(events)
	if r.world.options.OnStep != nil {
		r.world.options.OnStep(r.index, r.now(), events, actions)
	}
	if r.member != nil {
		r.member.step(events, actions)
	}
	return actions
}

// checkSend sends a call whose connection has just been established, unless the engine no longer allows it: the
// endpoint may have begun to drain, or sent a Retry-After to another call.
func (r *relay) checkSend(c *call) {
	r.removeEndedAttempts(c)
	if len(c.attempts) > 0 && r.engine.StillAllowed(c.endpoint.ID, c.messageIDs(), r.now()) && !r.sendsStopped {
		c.send()
		return
	}
	r.poolOf(c.endpoint).put(r.world.Now())
	r.callEnded(c, attemptResult{outcome: policy.NotSent})
}

// removeEndedAttempts removes the attempts of a call that was not sent yet whose message ended, or that timed out.
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
