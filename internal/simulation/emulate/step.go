package emulate

import (
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// applyStep carries out a step of the plan.
func (w *World) applyStep(s scenario.Step) {
	switch s.Op {
	case scenario.OpFaultBegins:
		w.record(eventlog.Event{Kind: eventlog.FaultChanged, Name: s.Target, State: eventlog.StateBegin, Cause: s.Note})
	case scenario.OpFaultEnds:
		w.record(eventlog.Event{Kind: eventlog.FaultChanged, Name: s.Target, State: eventlog.StateEnd, Cause: s.Note})
	case scenario.OpAddEndpoint:
		w.AddEndpoint(w.laterEndpoints[s.Target])
	case scenario.OpDrainEndpoint:
		w.ChangeEndpoint(s.Target, eventlog.StateDraining)
	case scenario.OpRemoveEndpoint:
		w.ChangeEndpoint(s.Target, eventlog.StateGone)
	case scenario.OpStopEndpoint:
		w.stopEndpoint(w.endpoints[s.Target])
	case scenario.OpLinkCut, scenario.OpLinkLoss, scenario.OpLinkDelay, scenario.OpLinkThrottle,
		scenario.OpLinkReorder, scenario.OpLinkRestore:
		w.fleet.applyLinkStep(s)
	case scenario.OpSlow, scenario.OpLowerLimit, scenario.OpLoseAnswers, scenario.OpFailCalls, scenario.OpSuspend,
		scenario.OpSilence, scenario.OpCrash, scenario.OpCutOff, scenario.OpRestore:
		w.applyServiceStep(s)
	default:
		w.relay(s.Target).applyStep(s)
	}
}

// applyServiceStep carries out a step that changes a service.
func (w *World) applyServiceStep(s scenario.Step) {
	service := w.services[s.Target]
	switch s.Op {
	case scenario.OpSlow:
		w.SetSlowdown(s.Target, s.Value)
	case scenario.OpLowerLimit:
		service.SetLimitDivisor(s.Value)
	case scenario.OpLoseAnswers:
		service.SetResponseLossRatio(s.Value)
	case scenario.OpFailCalls, scenario.OpSuspend, scenario.OpSilence, scenario.OpCrash, scenario.OpCutOff:
		w.BeginOutage(s.Target, s.Op, s.Value, s.Duration)
	case scenario.OpRestore:
		w.EndOutage(s.Target)
	}
}

// applyStep carries out a step that changes the relay.
func (r *relay) applyStep(s scenario.Step) {
	switch s.Op {
	case scenario.OpSilenceDiscovery:
		r.silenceDiscovery(true)
	case scenario.OpRestoreDiscovery:
		r.silenceDiscovery(false)
	case scenario.OpDelayDiscovery:
		r.discoveryDelay = s.Duration
	case scenario.OpStepClock:
		r.clocks.stepped += s.Duration
	case scenario.OpTerminate:
		r.terminate()
	case scenario.OpKill:
		r.kill(false)
		r.replaceStateFolder(s.StateFolder)
	case scenario.OpStall:
		r.setStalled(true)
	case scenario.OpResume:
		r.setStalled(false)
	case scenario.OpReload:
		r.world.record(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateHUP})
	}
}

// replaceStateFolder has the next process start with an older state folder, or with none. The model only sets back
// the generation of the relay's incarnation in the fleet, and keeps other state such as the journal.
func (r *relay) replaceStateFolder(folder scenario.StateFolder) {
	switch folder {
	case "", scenario.StateFolderKept:
	case scenario.StateFolderRemoved:
		r.incarnation = 0
	default:
		r.incarnation = min(r.incarnation, 1)
	}
}
