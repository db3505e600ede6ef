// Package agent is the state machine of a fleet member. It is stepped after each step of the decision engine. From
// the engine's events and actions and from what other members sent, it computes the load reports and quota messages
// to send to the other members.
//
// Like the engine, the agent is pure: the same calls in the same order give the same results in the relay, in the
// emulator and in a replay of a recording.
package agent

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

// sweepInterval is how often idle counters and expired reports are removed.
const sweepInterval = 5 * time.Second

// Settings configure an Agent.
type Settings struct {
	Self             string                   `cbor:"Self"`
	Incarnation      loadreport.Incarnation   `cbor:"Life"`
	Members          []string                 `cbor:"Members"` // all configured members of the fleet, this one included
	DestinationKinds []policy.DestinationKind `cbor:"Kinds"`
	ShareQuota       bool                     `cbor:"Rights"`  // share the rate limits by leases, see package quota
	FleetSize        int                      `cbor:"Senders"` // the number of relays, as the platform reports it
}

// Agent is one member's state machine. It is not safe for concurrent use.
type Agent struct {
	state
	reports      *loadreport.Table
	quota        *quota.Ledger  // nil if limits are not shared
	sentMessages map[string]int // messages sent in the current step, by endpoint
}

// New returns an Agent without any reports, counters or messages.
func New(settings Settings) *Agent {
	return &Agent{
		state: state{
			Settings:    settings,
			Incarnation: settings.Incarnation,
			Counters:    map[quota.Scope]*scopeCounter{},
			Endpoints:   map[string]endpointInfo{},
			Pending:     map[policy.MessageID]pendingMessage{},
			Published:   map[int]publishedReport{},
		},
		reports:      loadreport.New(settings.Self, settings.Incarnation, settings.Members),
		sentMessages: map[string]int{},
	}
}

// Input is the input of one step.
type Input struct {
	Received    []loadreport.Report    // with their ages at the time of the step
	Incarnation loadreport.Incarnation // the member's new incarnation, or zero if it has not begun one
	Quota       []quota.Message
	Events      []policy.Event
	Actions     []policy.Action
	// Views returns the state of the engine's endpoints. It is called only by steps that check which reports are due.
	Views func() []policy.EndpointView
}

// Output is the output of one step.
type Output struct {
	Published []loadreport.Report // for all other members
	Quota     []quota.Message     // each for one member
	Events    []policy.Event      // for the engine's next step
}

// Step processes the input at time now and returns what to send. It must be called after every step of the engine.
func (a *Agent) Step(now time.Duration, in Input) Output {
	var out Output
	out.Published = a.observe(now, in)
	if a.quota != nil {
		out.Quota, out.Events = a.stepQuota(now)
	}
	return out
}

// observe updates the state from the input and returns the reports that are due.
func (a *Agent) observe(now time.Duration, in Input) []loadreport.Report {
	a.Now = now
	if a.Settings.ShareQuota && a.quota == nil {
		a.startQuota(now)
	}
	a.beginIncarnation(in.Incarnation)
	if a.quota != nil {
		for _, message := range in.Quota {
			a.quota.Receive(now, message)
		}
	}
	for _, report := range in.Received {
		// The table counts the reports that it rejects.
		_, _ = a.reports.Merge(now, report)
	}
	for i := range in.Events {
		a.observeEvent(&in.Events[i])
	}
	for i := range in.Actions {
		a.observeAction(&in.Actions[i])
	}
	a.countSentCalls()
	a.sweep(now)
	if now < a.NextCheck {
		return nil
	}
	a.NextCheck = now + publishCheckInterval
	if in.Views != nil {
		a.updateWarmingUp(in.Views())
	}
	return a.publish(now)
}

// beginIncarnation replaces the member's incarnation by a later one. The other members drop the reports of the
// earlier one, so all reports become due again.
func (a *Agent) beginIncarnation(incarnation loadreport.Incarnation) {
	if incarnation == (loadreport.Incarnation{}) || incarnation.Compare(a.Incarnation) <= 0 {
		return
	}
	a.Incarnation = incarnation
	a.reports.SetIncarnation(incarnation)
	clear(a.Published)
	a.NextCheck = 0
	if a.quota != nil {
		a.quota.SetIncarnation(incarnation)
	}
}

// sweep removes expired reports and idle counters if the last sweep is at least sweepInterval ago.
func (a *Agent) sweep(now time.Duration) {
	if now < a.NextSweep {
		return
	}
	a.NextSweep = now + sweepInterval
	a.reports.RemoveExpired(now)
	a.removeIdleCounters(now)
}

// NextStep returns the time by which a step is due even if nothing happens before.
func (a *Agent) NextStep() time.Duration { return a.NextCheck }

// Reports returns the table of load reports, which the caller must not modify.
func (a *Agent) Reports() *loadreport.Table { return a.reports }

// Quota returns the member's quota ledger, which the caller must not modify, or nil if limits are not shared.
func (a *Agent) Quota() *quota.Ledger { return a.quota }
