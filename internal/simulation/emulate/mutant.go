package emulate

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Mutant is a broken variant of a relay. Its decision engine is the real one; broken are the settings and events that
// the engine gets, the execution of its actions, the journal, or the links to other relays. Mutants show which
// scenario, experiment or model check can tell a broken relay from a correct one.
type Mutant struct {
	Name        string
	Description string
	// Rule is the rule that the mutant breaks; "": none.
	Rule checker.Rule
	// Equivalent says why a mutant breaks no rule. It then decides as a correct relay does.
	Equivalent string

	// ChangeSettings changes the settings of the engine.
	ChangeSettings func(*policy.Settings)
	// ChangeEvent changes an event before the engine gets it, and returns by how much it is delayed, or DropEvent.
	ChangeEvent func(*policy.Event) (delay time.Duration)
	// AllowsAction reports whether an action is executed.
	AllowsAction func(*policy.Action) bool
	// ForgetsMessage reports whether a restart loses a message, by whether it has a final decision and may have run.
	ForgetsMessage func(finalDecided, mayHaveRun bool, id policy.MessageID) bool
	// DropsNotice reports whether the platform is not notified of how a message ended.
	DropsNotice func(id policy.MessageID) bool
	// UsesWallClock has the journal's timeline follow the wall clock.
	UsesWallClock bool
	// JournalDelay delays what is written to the journal.
	JournalDelay time.Duration
	// LinkFaults are the faults of the links between relays.
	LinkFaults LinkFaults
}

// DropEvent is the result of Mutant.ChangeEvent for an event that the engine never gets.
const DropEvent = time.Duration(-1)

// LinkFaults are the faults of a mutant's links to other relays. The zero value is none.
type LinkFaults struct {
	LastReceivedWins bool // the report that was received last replaces a newer one
	FrozenAges       bool // reports are forwarded with the age that they were received with
	NoLimits         bool // impossible figures are accepted
	NoTransitTime    bool // the time on the network, or waiting for a stalled process, does not count in ages
	AcceptsStrangers bool // relays that are not listed as members are accepted
}

// The following methods are those of a correct relay for the nil Mutant.

func (m *Mutant) applySettings(settings *policy.Settings) {
	if m != nil && m.ChangeSettings != nil {
		settings.Classes = slices.Clone(settings.Classes)
		m.ChangeSettings(settings)
	}
}

func (m *Mutant) journalDelay() time.Duration {
	if m == nil {
		return 0
	}
	return m.JournalDelay
}

func (m *Mutant) trustsWallClock() bool { return m != nil && m.UsesWallClock }

func (m *Mutant) dropsNotice(id policy.MessageID) bool {
	return m != nil && m.DropsNotice != nil && m.DropsNotice(id)
}

func (m *Mutant) linkFaults() LinkFaults {
	if m == nil {
		return LinkFaults{}
	}
	return m.LinkFaults
}

// forgetMessages removes the messages that a restart loses.
func (m *Mutant) forgetMessages(r *relay) {
	if m == nil || m.ForgetsMessage == nil {
		return
	}
	for id, x := range r.messages {
		if m.ForgetsMessage(x.final != nil, len(x.mayHaveRun) > 0, id) {
			delete(r.messages, id)
		}
	}
}

// wrapEngine wraps the engine of a relay's process, if the mutant changes its events or actions.
func (m *Mutant) wrapEngine(e DecisionEngine, r *relay) DecisionEngine {
	if m == nil || m.ChangeEvent == nil && m.AllowsAction == nil {
		return e
	}
	return &mutantEngine{
		DecisionEngine: e,
		mutant:         m,
		stepAfter:      func(delay time.Duration) { r.schedule(delay, r.scheduleStep) },
	}
}
