package emulate

import (
	"maps"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/state/endpointhealth"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// engineStartTime is the reading of the engine's clock when a process starts.
	engineStartTime = time.Second
	// startupTime is the time from the start of a process until it listens.
	startupTime = 60 * time.Millisecond
	// healthSaveInterval is how often a process saves the endpoints' health.
	healthSaveInterval = 250 * time.Millisecond
)

// The phases of a graceful shutdown, as in package relay. All times count from SIGTERM.
const (
	// shutdownNoticeDelay is the time until clients open no new connections.
	shutdownNoticeDelay = 300 * time.Millisecond
	// acceptWindow is the time for which submissions on open connections are accepted.
	acceptWindow = 500 * time.Millisecond
	// sendWindow is the time for which calls are started.
	sendWindow = 2200 * time.Millisecond
	// exitDeadline is the longest time until the process exits.
	exitDeadline = 3300 * time.Millisecond
)

// start starts a process with the state that is on disk.
func (r *relay) start() {
	r.recordProcess(eventlog.StateStart)
	r.process++
	r.running, r.stalled, r.shuttingDown, r.sendsStopped = true, false, false, false
	r.clocks.start(r.world.Now(), r.mutant.trustsWallClock())
	r.startLoop()
	r.resetPools()
	r.engine = r.mutant.wrapEngine(r.newEngine(r.seed+uint64(r.process)<<32), r)
	if r.world.fleet != nil {
		r.member = r.world.fleet.join(r)
	}
	r.recoverState()
	if r.world.Now() == 0 {
		r.listen()
	} else {
		r.schedule(startupTime, r.listen)
	}
}

// startLoop resets the event loop for a new process.
func (r *relay) startLoop() {
	r.engineEpoch = r.world.Now() - engineStartTime
	r.stepScheduled = false
	r.lastStepAt, r.timerAt, r.nextHealthSave = 0, 0, 0
	r.pendingEvents, r.receivedSubmissions, r.awaitingCheck = nil, nil, nil
	r.activeCalls = map[*call]struct{}{}
	process := r.process
	r.runStep = func() {
		if r.process == process && r.running {
			r.step()
		}
	}
}

// recoverState passes the endpoint list, the saved endpoint health and the recovered messages to the engine in one
// step. If the list is too long to be passed whole, the engine starts with an empty working set instead.
func (r *relay) recoverState() {
	var events []policy.Event
	r.workingSet = nil
	if r.listLength > r.world.options.MaxEagerEndpoints {
		r.newWorkingSet()
	} else {
		list := r.world.listSnapshot(r.listVersion)
		events = append(events, policy.Event{Kind: policy.EndpointSnapshot, Endpoints: list})
	}
	events = append(events, endpointhealth.Events(r.savedHealth, r.journalTime(), r.settings.WarmUpDuration)...)
	r.mutant.forgetMessages(r)
	r.pendingCount = 0
	for _, id := range slices.Sorted(maps.Keys(r.messages)) {
		m := r.messages[id]
		m.openAttempts = 0
		m.ended = m.released || m.final != nil
		switch {
		case m.released:
		case m.final != nil:
			r.notify(m)
		default:
			r.pendingCount++
			events = append(events, r.recoveredEvent(m))
		}
	}
	r.pendingEvents = events
	r.step()
}

// recoveredEvent returns the event that passes to the engine a message that an earlier process accepted.
func (r *relay) recoveredEvent(m *message) policy.Event {
	recovered := &policy.RecoveredMessage{Attempts: m.attemptCount}
	if len(m.mayHaveRun) > 0 {
		first := m.mayHaveRun[0]
		recovered.MayHaveRun = true
		recovered.FirstRunZone = first.zone
		recovered.SinceFirstRun = r.clocks.age(first, r.world.Now())
	}
	e := r.acceptedEvent(m)
	e.Recovered = recovered
	return e
}

// listen begins to accept submissions. Clients that waited for the process submit again.
func (r *relay) listen() {
	r.accepting = true
	r.recordProcess(eventlog.StateUp)
	waiting := r.waitingClients
	r.waitingClients = nil
	for _, s := range waiting {
		r.world.ScheduleAfter(reconnectDelay, s.resubmit)
	}
}

// terminate sends SIGTERM to the process, which shuts down gracefully. The next process starts after its exit.
func (r *relay) terminate() {
	if !r.running || r.shuttingDown {
		return
	}
	r.recordProcess(eventlog.StateTerm)
	r.shuttingDown = true
	r.schedule(shutdownNoticeDelay, func() { r.accepting = false })
	r.schedule(acceptWindow, r.exitIfIdle)
	r.schedule(sendWindow, func() {
		r.sendsStopped = true
		r.exitIfIdle()
	})
	r.schedule(exitDeadline, r.exit)
}

// exitIfIdle ends a process in shutdown once it has no work left: no message is pending, or no call is in flight and
// no further call may start.
func (r *relay) exitIfIdle() {
	if !r.shuttingDown || r.accepting {
		return
	}
	if r.hasPendingMessages() && (!r.sendsStopped || len(r.activeCalls) > 0) {
		return
	}
	r.clocks.end(r.world.Now(), r.mutant.trustsWallClock())
	r.exit()
}

// hasPendingMessages reports whether a message has open attempts, or a final answer that is not decided or not
// acknowledged yet.
func (r *relay) hasPendingMessages() bool {
	for _, m := range r.messages {
		if m.openAttempts > 0 || !m.released {
			return true
		}
	}
	return false
}

// kill ends the process by SIGKILL, or by a crash of its machine.
func (r *relay) kill(machine bool) {
	if !r.running {
		return
	}
	r.recordProcess(eventlog.StateKill)
	if !r.endedByPlan {
		r.saveHealth()
	}
	r.journal.rollBack(machine)
	if machine {
		r.clocks.reboot(r.world.Now())
	}
	r.exit()
}

// exit ends the process and its connections, and schedules the next process.
func (r *relay) exit() {
	if !r.running {
		return
	}
	r.running, r.accepting, r.stalled = false, false, false
	r.process++
	r.recordProcess(eventlog.StateExit)
	for _, in := range r.receivedSubmissions {
		in.submission.connectionClosed(r)
	}
	for _, c := range slices.SortedFunc(maps.Keys(r.activeCalls), compareCalls) {
		c.abandon()
	}
	r.world.ScheduleAfter(r.world.options.RestartDelay, r.start)
}

// setStalled stops the process by SIGSTOP, or continues it by SIGCONT. A continued process handles everything that
// arrived while it was stopped.
func (r *relay) setStalled(on bool) {
	if !r.running || r.stalled == on {
		return
	}
	r.stalled = on
	if on {
		r.recordProcess(eventlog.StateStop)
		return
	}
	r.recordProcess(eventlog.StateCont)
	r.stepScheduled = false
	if r.member != nil {
		r.member.resume()
	}
	r.scheduleStep()
}

func (r *relay) recordProcess(state string) {
	r.world.record(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: state})
}

// journalTime returns the current time on the journal's timeline.
func (r *relay) journalTime() time.Time { return time.Unix(0, r.clocks.stamp(r.world.Now())) }

// saveHealthIfDue saves the endpoints' health every healthSaveInterval, but only if the plan ends the relay's
// process. For any other relay, kill saves the health when the process ends: saving it at intervals would slow down
// worlds with many endpoints.
func (r *relay) saveHealthIfDue() {
	if r.endedByPlan && r.world.Now() >= r.nextHealthSave {
		r.nextHealthSave = r.world.Now() + healthSaveInterval
		r.saveHealth()
	}
}

// saveHealth saves the endpoints' health, if the engine provides its views of the endpoints.
func (r *relay) saveHealth() {
	v, ok := r.engine.(viewer)
	if !ok {
		return
	}
	views, _ := v.Views()
	records := endpointhealth.FromViews(views, r.now(), r.journalTime())
	if endpointhealth.Changed(r.savedHealth, records) {
		r.savedHealth = records
	}
}

// viewer is a decision engine that provides its views of the endpoints.
type viewer interface {
	Views() ([]policy.EndpointView, int)
}
