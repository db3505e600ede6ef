package membership

import (
	"context"
	"time"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
)

// directMessage is a message to one member: a clock request, the answer to one, or a quota message.
type directMessage struct {
	to        string
	pong      *codec.Pong    // set in the answer to a clock request
	quota     *quota.Message // set in a quota message
	decidedAt time.Duration  // when the quota message was decided, on the node's clock
}

// enqueueDirect queues a direct message, or drops it if the queue is full. A dropped message is handled like a lost
// datagram: the peer repeats its request, or the next message of the same kind replaces it.
func (n *Node) enqueueDirect(message directMessage) {
	select {
	case n.directMessages <- message:
	default:
	}
}

// sendDirectLoop sends queued direct messages until ctx is done.
func (n *Node) sendDirectLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case message := <-n.directMessages:
			n.sendDirect(message)
		}
	}
}

// sendDirect encodes and sends a message. A message is stamped with the current time, except a quota message, which
// is stamped with the time at which it was decided.
func (n *Node) sendDirect(message directMessage) {
	encoded := codec.Message{
		From:  n.cfg.Name,
		Boot:  n.cfg.Incarnation.Boot,
		Clock: n.cfg.now().Microseconds(),
		Ping:  message.pong == nil && message.quota == nil,
		Pong:  message.pong,
	}
	if message.quota != nil {
		encoded.Clock = message.decidedAt.Microseconds()
		encoded.SetQuotaMessage(*message.quota)
	}
	data, err := n.codec.Encode(encoded)
	if err != nil {
		return // Every direct message can be encoded.
	}
	// The message is addressed by the member's name, which the transport resolves. It therefore also reaches a member
	// that memberlist does not consider alive.
	address := memberlist.Address{Addr: n.cfg.Peers[message.to], Name: message.to}
	// A datagram that cannot be sent counts as lost, and the message is sent or requested again.
	_ = n.memberlist.SendToAddress(address, data)
}
