package journal

import "cherrytrestle.example/cherrytrestle/internal/state/store"

// RecordDelivered adds a pending record that m was delivered. Unlike Remove, it keeps the message without its body, so
// that a later process recognizes its trace ID until Remove. If there is no space for that, the message is removed.
func (j *Journal) RecordDelivered(m *Message) {
	if !j.Tracks(m) {
		return
	}
	j.releaseBody(m)
	m.Body = nil
	m.bodySize = 0
	m.Cancelled = true
	m.Delivered = true
	j.pending = append(j.pending, pendingRecord{message: m, kind: deltaDelivered})
}

// replaceDelivered adds the replacement of a delivered message by a value without its body to a batch.
func (j *Journal) replaceDelivered(batch *store.Batch, m *Message, key uint64) {
	batch.Delete(key)
	j.scratch = m.appendHeader(j.scratch[:0], j.timeline)
	replacement := batch.Put(j.scratch)
	batch.Append(replacement, []byte{byte(deltaCancelled)})
	batch.Append(replacement, []byte{byte(deltaDelivered)})
	if j.replaced == nil {
		j.replaced = map[*Message]uint64{}
	}
	j.replaced[m] = replacement
}

// removeDelivered turns the pending records of delivered messages into removals, since there is no space for new
// values.
func (j *Journal) removeDelivered() {
	for i, record := range j.pending {
		if record.kind == deltaDelivered {
			delete(j.live, record.message.ID)
			j.pending[i].kind = deltaRemove
		}
	}
}

// pendingWritten forgets the pending records, which a batch has written.
func (j *Journal) pendingWritten() {
	for m, key := range j.replaced {
		m.key = key
	}
	clear(j.replaced)
	j.pending = j.pending[:0]
}
