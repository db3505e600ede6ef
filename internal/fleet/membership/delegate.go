package membership

import (
	"fmt"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
)

// delegate implements memberlist's Delegate, ConflictDelegate and AliveDelegate on a Node.
type delegate Node

func (d *delegate) node() *Node { return (*Node)(d) }

// NodeMeta returns no metadata.
func (d *delegate) NodeMeta(int) []byte { return nil }

// NotifyMsg processes a message from another member.
func (d *delegate) NotifyMsg(data []byte) { d.node().receive(data) }

// GetBroadcasts returns as many queued reports as fit into a datagram.
func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState returns an encoded message with a digest of the reports that this node has. It requests the reports that
// the digest lacks.
func (d *delegate) LocalState(bool) []byte {
	n := d.node()
	now := n.cfg.now()
	message := codec.Message{
		From:         n.cfg.Name,
		Boot:         n.cfg.Incarnation.Boot,
		Clock:        now.Microseconds(),
		WantsReports: true,
	}
	n.mu.Lock()
	message.SetDigest(n.reports.Digest(now))
	n.mu.Unlock()
	data, err := n.codec.Encode(message)
	if err != nil {
		return nil // Every digest can be encoded.
	}
	return data
}

// MergeRemoteState processes another member's digest. The node answers with the reports that the digest lacks.
func (d *delegate) MergeRemoteState(data []byte, _ bool) { d.node().receive(data) }

// NotifyAlive rejects members that are not in the configuration.
func (d *delegate) NotifyAlive(peer *memberlist.Node) error {
	n := d.node()
	if _, listed := n.cfg.Peers[peer.Name]; listed || peer.Name == n.cfg.Name {
		return nil
	}
	n.mu.Lock()
	n.counters.UnknownMembers++
	n.mu.Unlock()
	return fmt.Errorf("membership: member %q is not in the configuration", peer.Name)
}

// NotifyConflict is called when a member name is seen with two addresses. If it is this node's own name, either
// another process uses the name or the other members still have an earlier address of this process. The node suspends
// publishing for nameReclaimTimeout, after which the others accept a new address.
func (d *delegate) NotifyConflict(_, other *memberlist.Node) {
	n := d.node()
	now := n.cfg.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counters.AddressConflicts++
	if n.counters.AddressConflicts == 1 {
		n.cfg.Log.Warn("fleet: member name has two addresses", "member", other.Name, "address", other.Address())
	}
	if other.Name == n.cfg.Name && n.nameClaim.Suspend(now, nameReclaimTimeout) {
		n.logSuspended()
	}
}
