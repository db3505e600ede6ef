package relay

import (
	"cmp"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/policy"
)

// fleetStreamDivisor is the divisor of the memory limit that gives the bound of one stream of another relay.
const fleetStreamDivisor = 64

// joinFleet makes this relay a member of its fleet, if the operator's file enables that.
func (r *Relay) joinFleet() {
	settings := r.cfg.Operator.Fleet
	if !settings.Enabled {
		return
	}
	r.fleet = fleet.New(fleet.Config{
		Name:             cmp.Or(settings.Name, r.cfg.Name),
		Label:            settings.Label,
		Listen:           settings.Listen,
		Peers:            settings.Peers,
		Folder:           r.cfg.StateDir,
		DestinationKinds: r.cfg.Settings.DestinationKinds,
		ShareQuota:       settings.ShareQuota,
		FleetSize:        r.cfg.Settings.FleetSize,
		Clock:            r.now,
		Log:              r.log,
		RequestStep:      r.requestStep,
		MaxStreamBytes:   int(r.cfg.Limits.memoryBytes() / fleetStreamDivisor),
	})
	r.recorder.RecordFleet(r.fleet.Agent().Snapshot)
}

// restoreFleet passes the endpoint list and the pending messages of the predecessor to the fleet member of a process
// that has taken over.
func (r *Relay) restoreFleet(snapshot policy.Event) {
	if r.fleet == nil {
		return
	}
	events := []policy.Event{snapshot}
	var actions []policy.Action
	for _, m := range r.messagesInOrder() {
		if m.completed() {
			continue
		}
		events = append(events, r.recoveredEvent(m))
		if m.inFlight > 0 {
			actions = append(actions, policy.Action{Kind: policy.Send, MessageID: m.ID})
		}
	}
	r.fleet.Step(r.now(), events, actions, nil)
	r.recorder.RecordFleet(r.fleet.Agent().Snapshot)
}
