package emulate

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/catalog"
	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

// seedsPerPlan is the number of relay seeds of each plan: the relays of plans with different seeds have different
// seeds.
const seedsPerPlan = 1000

// relay is a simulated relay. Its event loop works like that of package relay: one step of the decision engine
// handles all events of a tick. The state of the process is reset when a process starts. The other state survives the
// process.
type relay struct {
	world       *World
	index       int // counted from 0
	name        string
	zone        int
	settings    policy.Settings // of its engine
	mutant      *Mutant         // nil: correct
	seed        uint64
	endedByPlan bool // the plan terminates or kills its process

	// The state on disk, and the clocks of the machine.
	journal       journal
	messages      map[policy.MessageID]*message
	lastMessageID policy.MessageID
	savedHealth   []endpointhealth.Record
	clocks        machineClocks
	incarnation   uint64 // generation of the latest incarnation in the fleet

	// The process. Its number changes when a process starts and when it exits. Functions that were scheduled for an
	// earlier process do nothing.
	process        int
	running        bool
	stalled        bool // by SIGSTOP
	accepting      bool // listens for submissions
	shuttingDown   bool
	sendsStopped   bool
	waitingClients []*submission // to be submitted again once the process listens
	member         *fleetMember  // nil: the relays are not linked

	// The event loop of the process.
	engine              DecisionEngine
	engineEpoch         time.Duration // virtual time of the engine's time 0
	runStep             func()        // calls step, unless the process has ended
	stepScheduled       bool
	lastStepAt          time.Duration
	timerAt             time.Duration // when the engine's only timer fires; 0: it is not set
	pendingEvents       []policy.Event
	eventBuffer         []policy.Event
	receivedSubmissions []*receivedSubmission
	awaitingCheck       []*call // calls on new connections, which are checked again before they are sent
	pendingCount        int     // messages without a final answer
	activeCalls         map[*call]struct{}
	nextHealthSave      time.Duration

	// Connections to endpoints.
	pools    map[*endpoint]*connectionPool
	maxPools int // number of pools at which empty pools are dropped

	// Discovery.
	listVersion      int
	listLength       int
	nextListUpdateAt time.Duration // arrival time of the latest list update in transit
	discoveryDelay   time.Duration // added to list updates by a fault
	discoverySilent  bool
	withheldUpdates  []*listUpdate

	workingSet       *catalog.WorkingSet // nil: the engine holds the whole list
	workingSetBuffer []policy.Event
	evictAt          time.Duration
}

// receivedSubmission is a submission that reached the relay and waits for an answer.
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

// now returns the current time of the engine's clock.
func (r *relay) now() time.Duration { return r.world.Now() - r.engineEpoch }

// tick returns the shortest time between two steps.
func (r *relay) tick() time.Duration { return r.world.plan.File.Settings.Tick.AsDuration() }

// schedule runs a function after a delay, unless the present process has ended by then.
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

// scheduleStep schedules a step, at least a tick after the last step, unless one is scheduled.
func (r *relay) scheduleStep() {
	if !r.stepScheduled {
		r.stepScheduled = true
		r.world.Schedule(r.lastStepAt+r.tick(), r.runStep)
	}
}

// step passes all events since the last step to the engine, and executes the actions that the engine decides on.
func (r *relay) step() {
	if r.stalled {
		return // stepScheduled stays set until setStalled continues the process
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

// decide runs a step of the engine with events, and passes the events and actions to the fleet's agent.
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

// checkSend sends a call whose connection has just been established, unless the engine no longer allows the call: the
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

// removeEndedAttempts removes attempts from a call that was not sent yet: those that timed out, and those whose
// message ended.
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
