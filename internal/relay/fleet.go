package relay

import (
	"cmp"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/policy"
)

// joinFleet makes this relay a member of its fleet, where the operator's file says so.
func (r *Relay) joinFleet() {
	set := r.cfg.Operator.Fleet
	if !set.Enabled {
		return
	}
	r.fleet = fleet.New(fleet.Config{
		Name: cmp.Or(
			set.Name,
			r.cfg.Name,
		), Label: set.Label, Listen: set.Listen, Peers: set.Peers, Folder: r.cfg.StateDir,
		DestinationKinds: r.cfg.Settings.DestinationKinds, ShareQuota: set.ShareQuota, FleetSize: r.cfg.Settings.FleetSize, Clock: r.now, Log: r.log, RequestStep: r.requestStep,
	})
	r.recorder.RecordFleet(r.fleet.Agent().Snapshot)
}

// restoreFleet tells a member that goes on for another process what that knew: the list, and what waits.
func (r *Relay) restoreFleet(whole policy.Event) {
	if r.fleet == nil {
		return
	}
	evs, acts := []policy.Event{whole}, []policy.Action(nil)
	for _, m := range r.inOrder() {
		if m.completed {
			continue
		}
		evs = append(evs, r.recoveredEvent(m))
		if m.inFlight > 0 {
			acts = append(acts, policy.Action{Kind: policy.Send, MessageID: m.ID})
		}
	}
	r.fleet.Step(r.now(), evs, acts, nil)
	r.recorder.RecordFleet(r.fleet.Agent().Snapshot)
}
