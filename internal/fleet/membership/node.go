// Package membership connects the relays of a fleet. Membership, failure detection and gossip are those of
// hashicorp/memberlist (SWIM with Lifeguard) on a transport of its own, which resolves each member's name to the
// address that this relay has for it. The package makes no decisions, and no caller waits for the network.
package membership

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

const (
	// leaveTimeout bounds how long Close waits for its leave message to go out: the others find out by themselves.
	leaveTimeout = 2 * gossip.Interval

	// Bounds of the queues between callers and the node's goroutines. What is beyond them is dropped, as a datagram
	// may be, and requested again.
	maxPendingReplies = 8
	maxPendingDirect  = 1024
)

// Config configures a Node.
type Config struct {
	Name   string // of this member
	Fleet  string // the label of the fleet: members of another one are ignored; "": any
	Listen string // IP and port, for TCP and UDP; port 0: any free one
	// Peers are the addresses of all members by name, as this relay reaches them. Its own entry is not used.
	Peers       map[string]string
	Incarnation loadreport.Incarnation
	Log         *slog.Logger
	// SaveIncarnation stores a generation beyond the life of the process. It is called on a goroutine of the node.
	SaveIncarnation func(generation uint64) error
	// OnReceive is called when something was received, at most once until Received is called. It must not block.
	OnReceive func()

	// Transport carries datagrams and streams; nil: sockets on Listen. It allows many members in one process.
	Transport memberlist.NodeAwareTransport

	now       func() time.Duration // monotonic; set by tests
	syncEvery time.Duration        // set by tests; 0: gossip.SyncInterval
}

// Node is one member's connection to its fleet. Its methods may be called from any goroutine.
type Node struct {
	cfg        Config
	codec      *codec.Codec
	memberlist *memberlist.Memberlist
	broadcasts memberlist.TransmitLimitedQueue
	transport  *transport

	mu                 sync.Mutex
	reports            *loadreport.Table
	inbox              loadreport.Inbox[codec.Message]
	updatedReports     map[reportKey]struct{} // until the next call of Received
	newIncarnation     loadreport.Incarnation // that Received has not returned yet; otherwise zero
	incarnationPending bool                   // a new incarnation was requested and has not begun
	nameClaim          loadreport.NameClaim
	receivedQuota      []timedQuota // until the next call of ReceivedQuota
	counters           Counters
	closed             bool

	digestReplies       chan digestReply
	directMessages      chan directMessage
	incarnationRequests chan struct{}
	cancel              context.CancelFunc
	workers             sync.WaitGroup
}

// reportKey names a report.
type reportKey struct {
	name   string
	number int
}

// Start listens, joins the fleet and begins to send and receive. It fails if the address is not available.
func Start(cfg Config) (*Node, error) {
	messageCodec, err := codec.New()
	if err != nil {
		return nil, fmt.Errorf("membership: %w", err)
	}
	if cfg.now == nil {
		began := time.Now()
		cfg.now = func() time.Duration { return time.Since(began) }
	}
	n := &Node{
		cfg:            cfg,
		codec:          messageCodec,
		reports:        loadreport.New(cfg.Name, cfg.Incarnation, memberNames(cfg.Peers)),
		updatedReports: map[reportKey]struct{}{},
		inbox: loadreport.Inbox[codec.Message]{
			ClockRequestInterval: gossip.ClockRequestInterval,
			MaxDeferred:          gossip.MaxDeferredMessages,
		},
		directMessages:      make(chan directMessage, maxPendingDirect),
		digestReplies:       make(chan digestReply, maxPendingReplies),
		incarnationRequests: make(chan struct{}, 1),
	}
	// The listed members count, not those that are alive: a node that has not seen any yet sends all the same.
	n.broadcasts.NumNodes = func() int { return gossip.EffectiveSize(len(cfg.Peers)) }
	n.broadcasts.RetransmitMult = gossip.RetransmitMultiplier(len(cfg.Peers))
	if err := n.createMemberlist(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.workers.Go(func() { n.replyLoop(ctx) })
	n.workers.Go(func() { n.rejoinLoop(ctx) })
	n.workers.Go(func() { n.sendDirectLoop(ctx) })
	return n, nil
}

func memberNames(peers map[string]string) []string {
	return slices.Sorted(maps.Keys(peers))
}

// Close leaves the fleet and waits for the node's goroutines.
func (n *Node) Close() error {
	n.mu.Lock()
	wasClosed := n.closed
	n.closed = true
	n.mu.Unlock()
	if wasClosed {
		return nil
	}
	n.cancel()
	// A leave message that is lost does no harm: the others detect that the node is gone.
	_ = n.memberlist.Leave(leaveTimeout)
	err := n.memberlist.Shutdown()
	n.workers.Wait()
	if err != nil {
		return fmt.Errorf("membership: %w", err)
	}
	return nil
}

// Addr is the address that the node listens on.
func (n *Node) Addr() string { return n.memberlist.LocalNode().Address() }

// AliveCount is the number of alive and suspected members, this one among them.
func (n *Node) AliveCount() int { return n.memberlist.NumMembers() }

// Now is the node's monotonic time.
func (n *Node) Now() time.Duration { return n.cfg.now() }

// SetLimits sets the limits of the endpoint list, against which received rates are checked.
func (n *Node) SetLimits(limits loadreport.Limits) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reports.SetLimits(limits)
}
