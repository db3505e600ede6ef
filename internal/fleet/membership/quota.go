package membership

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
)

// maxReceivedQuota bounds the quota messages between two calls of ReceivedQuota. What is beyond it is dropped, as the
// network may do.
const maxReceivedQuota = 4096

// timedQuota is a received quota message.
type timedQuota struct {
	quota.Message
	sentAt time.Duration // the latest time at which it can have been sent
}

// SendQuota sends each message to its member. They were decided at the given time of Now. It does not block: messages
// beyond the queue's bound are lost, as datagrams may be.
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

// ReceivedQuota returns the quota messages received since the last call, with the longest time that they can have been
// in transit.
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

// receiveQuota takes a quota message if its sender's clock is known. Otherwise its time in transit is unknown: it
// is dropped, and sent again by its sender. n.mu must be held.
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
