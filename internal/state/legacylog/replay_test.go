package legacylog

import "testing"

// replay must accept arbitrary data, and must find a record that is appended after the last complete record of that
// data.
func FuzzReplay(f *testing.F) {
	data := appendRecord(nil, record{Kind: recordAccept, ID: 1, Message: message(1)}, []byte("body"))
	data = appendRecord(data, record{Kind: recordSend, ID: 1, Attempt: &Attempt{Endpoint: "s-1"}}, nil)
	f.Add(appendRecord(data, record{Kind: recordCancelled, ID: 1}, nil))
	f.Add(data[:len(data)-3])
	const lastID = 1 << 30
	last := appendRecord(nil, record{Kind: recordAccept, ID: lastID, Message: message(lastID)}, nil)
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &Log{live: map[uint32]*Message{}}
		goodEnd, _ := l.replay(data)
		if goodEnd > int64(len(data)) {
			t.Fatalf("%d good bytes of %d", goodEnd, len(data))
		}
		again := &Log{live: map[uint32]*Message{}}
		end, damaged := again.replay(append(data[:goodEnd:goodEnd], last...))
		if end != goodEnd+int64(len(last)) || again.live[lastID] == nil || damaged && len(l.live) == 0 && goodEnd == 0 {
			t.Errorf("%d good bytes, then %d, damaged %v", goodEnd, end, damaged)
		}
	})
}
