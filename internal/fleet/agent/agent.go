// Package agent is the fleet member's state machine, which steps beside the decision engine. It observes what the
// engine received and decided and what other members published, and returns the load reports and quota messages that
// the others should receive.
//
// It is pure, as the engine is: equal calls in equal order give equal results, in the relay, in the emulator and in a
// replay of a recording.
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
	Members          []string                 `cbor:"Members"` // every listed member of the fleet, this one among them
	DestinationKinds []policy.DestinationKind `cbor:"Kinds"`
	ShareQuota       bool                     `cbor:"Rights"`  // limits are shared by leases: package quota
	FleetSize        int                      `cbor:"Senders"` // as the platform reports it
}

// Agent is one member's state machine. It is not safe for concurrent use.
type Agent struct {
	state
	reports      *loadreport.Table
	quota        *quota.Ledger  // nil if limits are not shared
	sentMessages map[string]int // by endpoint, within the current step
}

// New returns an Agent that has received nothing.
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

// Input is what one step takes.
type Input struct {
	Received    []loadreport.Report    // with their ages at the step's time
	Incarnation loadreport.Incarnation // the member's own, if it has begun a new one; otherwise zero
	Quota       []quota.Message
	Events      []policy.Event
	Actions     []policy.Action
	// Views returns the engine's endpoints. It is called only if something may be published.
	Views func() []policy.EndpointView
}

// Output is what one step returns.
type Output struct {
	Published []loadreport.Report // for all other members
	Quota     []quota.Message     // for one member each
	Events    []policy.Event      // for the engine's next step
}

// Step processes the input at time now and returns what to send. It must be called for every step of the engine,
// after it.
func (a *Agent) Step(now time.Duration, in Input) Output {
	var out Output
	out.Published = a.observe(now, in)
	if a.quota != nil {
		out.Quota, out.Events = a.stepQuota(now)
	}
	return out
}

// observe takes the input into the state and returns the reports that are due.
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

// beginIncarnation replaces the member's incarnation by a later one. The other members forget what the earlier one
// published, so that everything is due again.
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

// sweep removes expired reports and idle counters, every sweepInterval.
func (a *Agent) sweep(now time.Duration) {
	if now < a.NextSweep {
		return
	}
	a.NextSweep = now + sweepInterval
	a.reports.RemoveExpired(now)
	a.removeIdleCounters(now)
}

// NextStep returns when a step is due at the latest, even if nothing happens.
func (a *Agent) NextStep() time.Duration { return a.NextCheck }

// Reports returns the table of load reports, which the caller must only read.
func (a *Agent) Reports() *loadreport.Table { return a.reports }

// Quota returns the member's quota ledger, which the caller must only read, or nil if limits are not shared.
func (a *Agent) Quota() *quota.Ledger { return a.quota }
