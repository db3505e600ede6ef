package emulate

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Mutant is a deliberately broken variant of a relay. Its decision engine is the real one. The fault is in the
// settings and events that the engine receives, in the execution of its actions, in the journal, or in the links to
// other relays. Mutants show which scenarios, experiments and model checks can distinguish a broken relay from a
// correct one.
type Mutant struct {
	Name        string
	Description string
	// Rule is the rule that the mutant breaks; "": none.
	Rule checker.Rule
	// Equivalent explains why the mutant breaks no rule: it makes the same decisions as a correct relay. "": the
	// mutant breaks a rule.
	Equivalent string

	// ChangeSettings changes the settings of the engine.
	ChangeSettings func(*policy.Settings)
	// ChangeEvent changes an event before the engine receives it. It returns the delay of the event, or DropEvent.
	ChangeEvent func(*policy.Event) (delay time.Duration)
	// AllowsAction reports whether an action is executed.
	AllowsAction func(*policy.Action) bool
	// ForgetsMessage reports whether a restart loses a message, by its ID and by whether it has a final decision and
	// may have run.
	ForgetsMessage func(finalDecided, mayHaveRun bool, id policy.MessageID) bool
	// DropsNotice reports whether the notice of a message's final decision does not reach the platform.
	DropsNotice func(id policy.MessageID) bool
	// UsesWallClock makes the journal's timeline follow the wall clock, including its steps.
	UsesWallClock bool
	// JournalDelay is the time until a record is written to the journal. A kill before then loses the record.
	JournalDelay time.Duration
	// LinkFaults are the faults of the links between relays.
	LinkFaults LinkFaults
}

// DropEvent is the result of Mutant.ChangeEvent for an event that the engine never receives.
const DropEvent = time.Duration(-1)

// LinkFaults are the faults of a mutant's links to other relays. The zero value is none.
type LinkFaults struct {
	LastReceivedWins bool // the report that was received last replaces a newer one
	FrozenAges       bool // reports are forwarded with the age that they had on receipt
	NoLimits         bool // impossible figures are accepted
	NoTransitTime    bool // ages exclude the time on the network and the time in the queue of a stalled process
	AcceptsStrangers bool // relays that are not listed as members are accepted
}

// The following methods accept a nil Mutant, for which they behave like a correct relay.

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
