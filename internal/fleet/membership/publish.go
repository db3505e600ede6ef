package membership

import (
	"fmt"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// Publish queues reports of this member for all others, or only stores them while publishing is suspended. It does
// not block.
func (n *Node) Publish(reports []loadreport.Report) {
	now := n.cfg.now()
	var keys []reportKey
	n.mu.Lock()
	for _, report := range reports {
		report.Age = 0
		result := n.reports.Restore(now, report)
		if result == loadreport.Updated && !n.nameClaim.Suspended(now) {
			keys = append(keys, reportKey{report.Name, report.Number})
		}
	}
	n.mu.Unlock()
	n.queueBroadcasts(keys)
}

// queueBroadcasts queues reports for gossip. n.mu must not be held, because the queue calls broadcast.Message, which
// locks it.
func (n *Node) queueBroadcasts(keys []reportKey) {
	for _, key := range keys {
		n.broadcasts.QueueBroadcast(&broadcast{node: n, reportKey: key})
	}
}

// broadcast is a report in memberlist's queue. A newer version of a report replaces the queued one.
type broadcast struct {
	node *Node
	reportKey
}

// Name identifies the report in memberlist's queue.
func (b *broadcast) Name() string { return fmt.Sprintf("%s/%d", b.name, b.number) }

// Invalidates reports whether the other broadcast is of the same report.
func (b *broadcast) Invalidates(other memberlist.Broadcast) bool {
	queued, ok := other.(*broadcast)
	return ok && queued.reportKey == b.reportKey
}

// Message encodes the current version of the report, with its current age instead of the age when it was queued.
func (b *broadcast) Message() []byte {
	b.node.mu.Lock()
	report, ok := b.node.reports.Get(b.node.cfg.now(), b.name, b.number)
	b.node.mu.Unlock()
	if !ok {
		return b.node.encodeReports()
	}
	return b.node.encodeReports(report)
}

// Finished does nothing: nothing depends on whether a broadcast was sent or dropped.
func (b *broadcast) Finished() {}

// encodeReports encodes a message with the reports and the current time. Without reports, the message is empty.
func (n *Node) encodeReports(reports ...loadreport.Report) []byte {
	var message codec.Message
	if len(reports) > 0 {
		message = codec.Message{
			From:  n.cfg.Name,
			Boot:  n.cfg.Incarnation.Boot,
			Clock: n.cfg.now().Microseconds(),
		}
		message.SetReports(reports...)
	}
	data, err := n.codec.Encode(message)
	if err != nil {
		return nil // Only NaN and infinities cannot be encoded, and the table holds none.
	}
	return data
}
