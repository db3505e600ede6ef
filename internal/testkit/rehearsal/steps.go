package rehearsal

import (
	"context"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// do carries a step of the plan out. What takes time goes on beside the plan.
func (s *stage) do(ctx context.Context, step scenario.Step) {
	var err error
	switch step.Op {
	case scenario.OpFaultBegins, scenario.OpFaultEnds:
		s.trouble(step)
	case scenario.OpAddEndpoint:
		err = s.list(step.Target)
	case scenario.OpDrainEndpoint:
		s.tell(step.Target, eventlog.StateDraining)
	case scenario.OpRemoveEndpoint:
		s.tell(step.Target, eventlog.StateGone)
	case scenario.OpStopEndpoint:
		s.world.Endpoint(step.Target).Stop()
	case scenario.OpSlow:
		err = s.world.SetSlowdown(step.Target, step.Value)
	case scenario.OpLowerLimit:
		err = s.world.SetLimitDivisor(step.Target, step.Value)
	case scenario.OpLoseAnswers:
		err = s.world.SetResponseLossRatio(step.Target, step.Value)
	case scenario.OpFailCalls, scenario.OpSuspend, scenario.OpSilence, scenario.OpCrash, scenario.OpCutOff:
		err = s.world.StartOutage(step.Target, step.Op, step.Value, step.Duration)
	case scenario.OpRestore:
		err = s.world.EndOutage(step.Target)
	case scenario.OpSilenceDiscovery, scenario.OpRestoreDiscovery:
		s.relays[step.Target].agent.SetSilent(step.Op == scenario.OpSilenceDiscovery)
	case scenario.OpDelayDiscovery:
		s.mu.Lock()
		s.late[step.Target] = step.Duration
		s.mu.Unlock()
	case scenario.OpTerminate, scenario.OpKill:
		s.works.Go(func() {
			if err := s.relays[step.Target].restart(ctx, step.Op == scenario.OpTerminate, step.StateFolder, s.opts.ReadyWithin); err != nil &&
				ctx.Err() == nil {
				s.fail(err)
			}
		})
	case scenario.OpStall, scenario.OpResume:
		err = s.relays[step.Target].freeze(step.Op == scenario.OpStall)
	case scenario.OpLinkCut,
		scenario.OpLinkLoss,
		scenario.OpLinkDelay,
		scenario.OpLinkThrottle,
		scenario.OpLinkReorder,
		scenario.OpLinkRestore:
		err = s.setLink(step)
	case scenario.OpReload:
		err = s.relays[step.Target].reload()
	}
	if err != nil {
		s.fail(err)
	}
}

// trouble notes that one begins or ends.
func (s *stage) trouble(step scenario.Step) {
	state := eventlog.StateBegin
	s.mu.Lock()
	if step.Op == scenario.OpFaultBegins {
		s.on = append(s.on, step.Target)
	} else {
		state = eventlog.StateEnd
		s.on = slices.DeleteFunc(s.on, func(name string) bool { return name == step.Target })
	}
	s.mu.Unlock()
	s.rec.Add(eventlog.Event{Kind: eventlog.FaultChanged, Name: step.Target, State: state, Cause: step.Note})
}

func (s *stage) endpoint(id string) scenario.Endpoint {
	return s.plan.Endpoints[slices.IndexFunc(s.plan.Endpoints, func(e scenario.Endpoint) bool { return e.ID == id })]
}

// list starts a new host and has it listed.
func (s *stage) list(id string) error {
	e := s.endpoint(id)
	if _, err := s.world.AddEndpoint(e); err != nil {
		return err
	}
	s.mu.Lock()
	s.members[id] = member(e)
	s.mu.Unlock()
	s.tell(id, eventlog.StateReady)
	return nil
}

// tell has discovery tell each relay of a change, as late as the plan has it, and in the order of the changes.
func (s *stage) tell(id, state string) {
	s.changed(s.endpoint(id), state)
	d := s.plan.File.Discovery
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.members[id]
	m.State = state
	s.members[id] = m
	for _, r := range s.order {
		late := d.MinDelay.AsDuration() + time.Duration(s.delays.Float64()*float64(d.MaxDelay-d.MinDelay)) + s.late[r.name]
		s.changes[r.name] <- change{s.at(m, r.name), time.Now().Add(late)}
	}
}
