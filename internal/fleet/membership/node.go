// Package membership sends load reports and quota messages between the relays of a fleet. Membership, failure
// detection and gossip are those of hashicorp/memberlist (SWIM with Lifeguard). The package replaces memberlist's
// transport by one that resolves each member's name to the address in this relay's configuration. It makes no
// decisions about traffic. Callers that publish, send or read do not wait for the network.
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
	// leaveTimeout bounds how long Close waits for its leave message to be sent. If it is not sent, the other members
	// detect the node's absence by their probes.
	leaveTimeout = 2 * gossip.Interval

	// Capacities of the queues between callers and the node's goroutines. Messages that exceed them are dropped, like
	// lost datagrams, and are sent or requested again.
	maxPendingReplies = 8
	maxPendingDirect  = 1024
)

// Config configures a Node.
type Config struct {
	Name   string // of this member
	Fleet  string // the label of the fleet; members with another label are ignored
	Listen string // IP and port, for TCP and UDP; port 0: any free one
	// Peers maps the names of all members to the addresses at which this relay reaches them. The address in this
	// member's own entry is not used.
	Peers       map[string]string
	Incarnation loadreport.Incarnation
	Log         *slog.Logger
	// MaxStreamBytes bounds the memory that a stream of another member may take, in bytes; 0: 4 MiB.
	MaxStreamBytes int
	// SaveIncarnation stores a generation so that it outlasts the process. It is called on a goroutine of the node.
	SaveIncarnation func(generation uint64) error
	// OnReceive is called when reports, quota messages or a new incarnation are ready for Received or ReceivedQuota.
	// Further reports or quota messages do not cause another call until the earlier ones were read. OnReceive is
	// called with the node locked: it must not block or call the node.
	OnReceive func()

	// Transport carries datagrams and streams. If it is nil, the node opens sockets on Listen. Tests and simulations
	// with many members in one process set it.
	Transport memberlist.NodeAwareTransport

	now          func() time.Duration // monotonic; set only by tests
	syncInterval time.Duration        // between exchanges of digests; set only by tests; 0: gossip.SyncInterval
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
	updatedReports     map[reportKey]struct{} // updated since the last call of Received
	newIncarnation     loadreport.Incarnation // the one that Received has not returned yet, or zero
	incarnationPending bool                   // a new incarnation was requested and has not begun
	nameClaim          loadreport.NameClaim
	receivedQuota      []timedQuota // received since the last call of ReceivedQuota
	counters           Counters
	closed             bool

	digestReplies       chan digestReply
	directMessages      chan directMessage
	incarnationRequests chan struct{}
	cancel              context.CancelFunc
	workers             sync.WaitGroup
}

// reportKey identifies a report by its member's name and its number.
type reportKey struct {
	name   string
	number int
}

// Start listens, and begins to join the fleet and to send and receive. It fails if the address is not available.
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
	// How often the node sends a report depends on the number of listed members, not of alive ones. Otherwise a node
	// that has not seen the other members yet would drop its reports too early.
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

// Close leaves the fleet and waits for the node's goroutines to end.
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

// Addr returns the address that the node listens on.
func (n *Node) Addr() string { return n.memberlist.LocalNode().Address() }

// AliveCount returns the number of alive and suspected members, this one included.
func (n *Node) AliveCount() int { return n.memberlist.NumMembers() }

// Now returns the node's monotonic time.
func (n *Node) Now() time.Duration { return n.cfg.now() }

// SetLimits sets the limits of the endpoint list, against which received rates are checked.
func (n *Node) SetLimits(limits loadreport.Limits) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.reports.SetLimits(limits)
}
