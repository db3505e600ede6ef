package ledger

import "time"

const (
	transitSpan = 20 * time.Second // the least transit is that of the last one or two of these
	sendersMost = 4096
)

// Transit tells how long a message was under way beyond the least that its sender's messages took lately. Senders stamp their
// messages with their own monotonic time; the difference to the hearer's has an unknown offset, whose least value is a message that
// was hardly held up. It finds what the network, queues and sockets held back, and also what either side lost while it was
// stopped: all of that makes what was told older than it says. Clocks that run apart by a share d are taken for d*2*transitSpan of age
// at most, never the other way. What is left out is the least transit itself.
type Transit struct {
	senders map[sender]*window
}

type sender struct {
	name string
	boot uint32
}

type window struct {
	least, before time.Duration // offsets of this span and the one before
	began         time.Duration
}

// Excess takes a message that was stamped sent and is heard now.
func (t *Transit) Excess(name string, boot uint32, sent, now time.Duration) time.Duration {
	if t.senders == nil {
		t.senders = map[sender]*window{}
	}
	key, offset := sender{name, boot}, now-sent
	w := t.senders[key]
	if w == nil {
		if len(t.senders) >= sendersMost { // restarts without end; whoever still tells is taken up again
			clear(t.senders)
		}
		t.senders[key] = &window{offset, offset, now}
		return 0
	}
	if now-w.began > transitSpan {
		w.before, w.least, w.began = w.least, offset, now
	}
	w.least = min(w.least, offset)
	return max(0, offset-min(w.least, w.before))
}
