package modelcheck

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// The following methods apply the hooks of the mutant. Without a mutant they change nothing.

func (x *explorer) changeSettings() {
	if x.mutant != nil && x.mutant.ChangeSettings != nil {
		x.mutant.ChangeSettings(&x.settings)
	}
}

// changeEvent lets the mutant change an event before the engine receives it. It returns the delay of the event; if
// that is negative, the event is dropped.
func (x *explorer) changeEvent(event *policy.Event) (delay time.Duration) {
	if x.mutant == nil || x.mutant.ChangeEvent == nil {
		return 0
	}
	event.Endpoints = slices.Clone(event.Endpoints)
	return x.mutant.ChangeEvent(event)
}

// allowsAction reports whether an action of the engine is executed. The mutant may also change the action.
func (x *explorer) allowsAction(action *policy.Action) bool {
	return x.mutant == nil || x.mutant.AllowsAction == nil || x.mutant.AllowsAction(action)
}

// dropsNotice reports whether the mutant never sends the final notice of a message.
func (x *explorer) dropsNotice(id policy.MessageID) bool {
	return x.mutant != nil && x.mutant.DropsNotice != nil && x.mutant.DropsNotice(id)
}

// forgetsMessage reports whether the mutant's journal has lost a message when its relay restarts.
func (x *explorer) forgetsMessage(m *messageState, now time.Duration) bool {
	if x.mutant == nil {
		return false
	}
	if x.mutant.ForgetsMessage != nil && x.mutant.ForgetsMessage(m.ended, m.mayHaveRun, m.id) {
		return true
	}
	return x.mutant.JournalDelay > 0 && now-m.acceptedAt < x.mutant.JournalDelay
}
