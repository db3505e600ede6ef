package modelcheck

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// The hooks of the mutant, if there is one.

func (x *explorer) changeSettings() {
	if x.mutant != nil && x.mutant.ChangeSettings != nil {
		x.mutant.ChangeSettings(&x.settings)
	}
}

// changeEvent changes an event before the engine has it, and returns by how much it is delayed: negative for ever.
func (x *explorer) changeEvent(event *policy.Event) (delay time.Duration) {
	if x.mutant == nil || x.mutant.ChangeEvent == nil {
		return 0
	}
	event.Endpoints = slices.Clone(event.Endpoints)
	return x.mutant.ChangeEvent(event)
}

// allowsAction reports whether an action of the engine, which it may change, is executed.
func (x *explorer) allowsAction(action *policy.Action) bool {
	return x.mutant == nil || x.mutant.AllowsAction == nil || x.mutant.AllowsAction(action)
}

// dropsNotice reports whether the final notice of a message is never sent.
func (x *explorer) dropsNotice(id policy.MessageID) bool {
	return x.mutant != nil && x.mutant.DropsNotice != nil && x.mutant.DropsNotice(id)
}

// forgetsMessage reports whether the journal has lost a message at a restart.
func (x *explorer) forgetsMessage(m *messageState, now time.Duration) bool {
	if x.mutant == nil {
		return false
	}
	if x.mutant.ForgetsMessage != nil && x.mutant.ForgetsMessage(m.ended, m.mayHaveRun, m.id) {
		return true
	}
	return x.mutant.JournalDelay > 0 && now-m.acceptedAt < x.mutant.JournalDelay
}
