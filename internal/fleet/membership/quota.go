package membership

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
)

// maxReceivedQuota bounds the quota messages between two calls of ReceivedQuota. Further ones are dropped, like lost
// datagrams.
const maxReceivedQuota = 4096

// timedQuota is a received quota message and the time at which it was sent.
type timedQuota struct {
	quota.Message
	sentAt time.Duration // the earliest possible time, on this node's clock
}

// SendQuota queues each message for its member, or drops all while publishing is suspended. The messages were decided
// at decidedAt on the clock of Now. SendQuota does not block: messages for which the queue has no room are dropped,
// like lost datagrams.
func (n *Node) SendQuota(decidedAt time.Duration, messages []quota.Message) {
	n.mu.Lock()
	suspended := n.nameClaim.Suspended(n.cfg.now())
	n.mu.Unlock()
	if suspended {
		return
	}
	for i := range messages {
		n.enqueueDirect(directMessage{to: messages[i].Member, quota: &messages[i], decidedAt: decidedAt})
	}
}

// ReceivedQuota returns the quota messages received since the last call, with upper bounds of their times in transit.
func (n *Node) ReceivedQuota() []quota.Message {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.cfg.now()
	var messages []quota.Message
	for _, received := range n.receivedQuota {
		received.TransitTime = max(0, now-received.sentAt)
		messages = append(messages, received.Message)
	}
	n.receivedQuota = n.receivedQuota[:0]
	return messages
}

// receiveQuota stores a quota message for ReceivedQuota if its sender's clock is known. Otherwise the message's time
// in transit is unknown: the message is dropped, and its sender sends it again. n.mu must be held.
func (n *Node) receiveQuota(now time.Duration, message codec.Message) {
	sent := microseconds(message.Clock)
	transitTime, known, stale := n.inbox.Estimate(message.From, message.Boot, sent, now)
	if stale && n.inbox.RequestDue(message.From, now) {
		n.enqueueDirect(directMessage{to: message.From})
	}
	if !known || len(n.receivedQuota) >= maxReceivedQuota {
		return
	}
	first := len(n.receivedQuota) == 0
	n.receivedQuota = append(n.receivedQuota, timedQuota{message.QuotaMessage(), now - transitTime})
	if first && n.cfg.OnReceive != nil {
		n.cfg.OnReceive()
	}
}
