package rehearsal

import (
	"context"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// execute executes a step of the plan. Restarts of relays take time and run concurrently with the steps that follow.
func (r *runner) execute(ctx context.Context, step scenario.Step) error {
	switch step.Op {
	case scenario.OpFaultBegins, scenario.OpFaultEnds:
		r.markFault(step)
		return nil
	case scenario.OpAddEndpoint, scenario.OpDrainEndpoint, scenario.OpRemoveEndpoint, scenario.OpStopEndpoint:
		return r.executeOnEndpoint(step)
	case scenario.OpSilenceDiscovery, scenario.OpRestoreDiscovery, scenario.OpDelayDiscovery,
		scenario.OpCopyReplies, scenario.OpRefuseNotices, scenario.OpRepeatEntries:
		r.executeOnDiscovery(step)
		return nil
	case scenario.OpTerminate, scenario.OpKill, scenario.OpStall, scenario.OpResume, scenario.OpReload:
		return r.executeOnRelay(ctx, step)
	case scenario.OpLinkCut, scenario.OpLinkLoss, scenario.OpLinkDelay,
		scenario.OpLinkThrottle, scenario.OpLinkReorder, scenario.OpLinkRestore:
		return r.setLinkFaults(step)
	default:
		return r.executeOnService(step)
	}
}

// markFault records that a fault begins or ends.
func (r *runner) markFault(step scenario.Step) {
	state := eventlog.StateBegin
	r.mu.Lock()
	if step.Op == scenario.OpFaultBegins {
		r.activeFaults = append(r.activeFaults, step.Target)
	} else {
		state = eventlog.StateEnd
		r.activeFaults = slices.DeleteFunc(r.activeFaults, func(name string) bool { return name == step.Target })
	}
	r.mu.Unlock()
	r.record.Add(eventlog.Event{Kind: eventlog.FaultChanged, Name: step.Target, State: state, Cause: step.Note})
}

func (r *runner) executeOnEndpoint(step scenario.Step) error {
	switch step.Op {
	case scenario.OpAddEndpoint:
		return r.discovery.add(step.Target)
	case scenario.OpDrainEndpoint:
		r.discovery.setState(step.Target, eventlog.StateDraining)
	case scenario.OpRemoveEndpoint:
		r.discovery.setState(step.Target, eventlog.StateGone)
	case scenario.OpStopEndpoint:
		r.world.Endpoint(step.Target).Stop()
	}
	return nil
}

func (r *runner) executeOnService(step scenario.Step) error {
	if step.Op.AffectsAnswers() {
		return r.world.SetAnswerFault(step.Target, step.Op, step.Value, step.Duration)
	}
	switch step.Op {
	case scenario.OpSlow:
		return r.world.SetSlowdown(step.Target, step.Value)
	case scenario.OpLowerLimit:
		return r.world.SetLimitDivisor(step.Target, step.Value)
	case scenario.OpLoseAnswers:
		return r.world.SetResponseLossRatio(step.Target, step.Value)
	case scenario.OpFailCalls, scenario.OpSuspend, scenario.OpSilence, scenario.OpCrash, scenario.OpCutOff:
		return r.world.StartOutage(step.Target, step.Op, step.Value, step.Duration)
	case scenario.OpRestore:
		return r.world.EndOutage(step.Target)
	default:
		return nil
	}
}

func (r *runner) executeOnDiscovery(step scenario.Step) {
	switch step.Op {
	case scenario.OpSilenceDiscovery:
		r.relays[step.Target].agent.SetSilent(true)
	case scenario.OpRestoreDiscovery:
		r.relays[step.Target].agent.SetSilent(false)
	case scenario.OpDelayDiscovery:
		r.discovery.setExtraDelay(step.Target, step.Duration)
	case scenario.OpCopyReplies, scenario.OpRefuseNotices, scenario.OpRepeatEntries:
		r.relays[step.Target].agent.SetFault(step.Op, step.Value, step.Duration)
	}
}

func (r *runner) executeOnRelay(ctx context.Context, step scenario.Step) error {
	target := r.relays[step.Target]
	switch step.Op {
	case scenario.OpTerminate:
		r.tasks.Go(func() { r.restart(ctx, target, true, step.StateFolder) })
	case scenario.OpKill:
		r.tasks.Go(func() { r.restart(ctx, target, false, step.StateFolder) })
	case scenario.OpStall:
		return target.stall()
	case scenario.OpResume:
		return target.resume()
	case scenario.OpReload:
		return target.reload()
	}
	return nil
}

func (r *runner) restart(ctx context.Context, target *relay, graceful bool, folder scenario.StateFolder) {
	if err := target.restart(ctx, graceful, folder); err != nil && ctx.Err() == nil {
		r.fail(err)
	}
}
