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
	decidedAt time.Duration  // of the quota message
}

// enqueueDirect queues a direct message, or drops it if too many are queued: the peer, or the next message of its
// kind, makes up for it.
func (n *Node) enqueueDirect(message directMessage) {
	select {
	case n.directMessages <- message:
	default:
	}
}

// sendDirectLoop sends queued direct messages.
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

// sendDirect stamps a message and sends it. Quota messages carry the time at which they were decided.
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
	// Sent by name: the transport knows the address, also of a member that is not alive in memberlist's view.
	address := memberlist.Address{Addr: n.cfg.Peers[message.to], Name: message.to}
	// A datagram that cannot be sent counts as lost, and the message is sent or requested again.
	_ = n.memberlist.SendToAddress(address, data)
}
