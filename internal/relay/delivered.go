package relay

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// maxKeptDelivered bounds how many delivered messages the journal keeps until their deadlines.
const maxKeptDelivered = 1024

// recordDelivered records that a message was delivered. Its client may have left before it received the answer, and may
// submit the message again under the same id, to this process or to a later one. Unless a repeat is harmless, the
// journal therefore keeps the message without its body until its deadline.
func (r *Relay) recordDelivered(m *message) {
	keep := m.resubmittedAs == nil && len(m.UncertainAttempts) > 0 && time.Now().Before(m.Deadline) &&
		r.effectOf(m.Message) != policy.Idempotent && r.journal.Tracks(m.Message)
	switch {
	case m.Delivered:
		return
	case !keep:
		r.journal.Remove(m.Message)
		return
	}
	r.journal.RecordDelivered(m.Message)
	if !slices.Contains(r.kept, m) {
		r.kept = append(r.kept, m)
	}
	r.keptDelivered++
	if r.keptDelivered > maxKeptDelivered {
		r.dropOldestDelivered()
	}
}

// dropOldestDelivered removes the delivered message that has been kept longest.
func (r *Relay) dropOldestDelivered() {
	i := slices.IndexFunc(r.kept, func(m *message) bool { return m.Delivered })
	if i < 0 {
		return
	}
	m := r.kept[i]
	r.kept = slices.Delete(r.kept, i, i+1)
	r.dropKept(m)
}

// dropKept removes a message that was kept in case its client submits it again.
func (r *Relay) dropKept(m *message) {
	if m.Delivered {
		r.keptDelivered--
	}
	r.journal.Remove(m.Message)
	r.remove(m)
}

// keepRecovered keeps a message that an earlier process recorded as cancelled or delivered.
func (r *Relay) keepRecovered(m *message) {
	if m.Delivered {
		r.keptDelivered++
	}
	r.kept = append(r.kept, m)
}
