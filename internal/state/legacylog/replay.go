package legacylog

import "slices"

// replay applies the records in data and skips unreadable bytes. It returns the offset after the last complete
// record, and whether there are unreadable bytes before that record.
func (l *Log) replay(data []byte) (goodEnd int64, damaged bool) {
	for at := 0; at < len(data); {
		rec, body, size := readRecord(data[at:])
		if size == 0 {
			at++ // search for the next record: a damaged one must not hide those after it
			continue
		}
		if int64(at) != goodEnd {
			damaged = true
		}
		at += size
		goodEnd = int64(at)
		l.apply(rec, body)
	}
	return goodEnd, damaged
}

// apply applies a record to the live messages. A record of an unknown message is ignored: the record that accepted
// the message was unreadable.
func (l *Log) apply(rec record, body []byte) {
	if rec.Kind == recordAccept && rec.Message != nil {
		m := rec.Message
		m.ID = rec.ID
		m.Body = slices.Clone(body)
		l.add(m)
		return
	}
	m := l.live[rec.ID]
	if m == nil {
		return
	}
	if rec.Kind == recordRemove {
		l.remove(m)
		return
	}
	l.update(m, func() {
		switch {
		case rec.Kind == recordSend && rec.Attempt != nil:
			m.addAttempt(*rec.Attempt)
		case rec.Kind == recordNotRun:
			m.removeAttempt(rec.N)
		case rec.Kind == recordFinal && rec.Final != nil:
			m.Final = rec.Final
		case rec.Kind == recordCancelled:
			m.Cancelled = true
		}
	})
}

// add adds m to the live messages.
func (l *Log) add(m *Message) {
	l.live[m.ID] = m
	l.liveBytes += estimatedSize(m)
}

// remove removes m from the live messages.
func (l *Log) remove(m *Message) {
	delete(l.live, m.ID)
	l.liveBytes -= estimatedSize(m)
}

// update changes a live message and adjusts liveBytes.
func (l *Log) update(m *Message, change func()) {
	l.liveBytes -= estimatedSize(m)
	change()
	l.liveBytes += estimatedSize(m)
}
