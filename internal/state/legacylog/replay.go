package legacylog

import "slices"

// replay applies the records in data. It skips what it cannot read. It returns the end of the last good record, and
// whether there were unreadable bytes before it.
func (l *Log) replay(data []byte) (goodEnd int64, damaged bool) {
	for at := 0; at < len(data); {
		rec, body, size := readRecord(data[at:])
		if size == 0 {
			at++ // search for the next record: a damaged one must not hide those behind it
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

// apply applies a record to the live messages. A record of an unknown message is ignored: its first record is
// unreadable.
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

// add adds a message to the live ones.
func (l *Log) add(m *Message) {
	l.live[m.ID] = m
	l.liveBytes += estimatedSize(m)
}

// remove takes a message out of the live ones.
func (l *Log) remove(m *Message) {
	delete(l.live, m.ID)
	l.liveBytes -= estimatedSize(m)
}

// update changes a live message and keeps the count of bytes right.
func (l *Log) update(m *Message, change func()) {
	l.liveBytes -= estimatedSize(m)
	change()
	l.liveBytes += estimatedSize(m)
}
