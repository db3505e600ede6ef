// Package fleet connects a relay to the other relays of its fleet. A Member holds the state machine of package agent,
// which the relay's loop steps after the decision engine. The output of the agent goes to a node of package
// membership, which sends it to the other members. The loop never waits for the node. Without a node, the relay works
// without its fleet.
package fleet

import (
	"context"
	"errors"
	"log/slog"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/membership"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	// listenRetryInterval is how long Run waits after a failed start of the node before it tries again.
	listenRetryInterval = 2 * time.Second
	// quotaStatusInterval is how often Step copies the quota status for Status, which other goroutines call.
	quotaStatusInterval = 500 * time.Millisecond
	// stepInterval is how often Run requests a step from the loop, even if nothing was received.
	stepInterval = 250 * time.Millisecond
)

// errStopped is the reason in the status of a member whose Run has returned.
var errStopped = errors.New("fleet: ended")

// Config configures a Member.
type Config struct {
	Name             string
	Label            string
	Listen           string
	Peers            map[string]string
	Folder           string // the directory for data that outlasts the process
	DestinationKinds []policy.DestinationKind
	ShareQuota       bool // divide the rate limits among FleetSize relays
	FleetSize        int  // the number of relays, as the platform reports it
	// Clock returns the current time of the clock from which the now of Step is read.
	Clock func() time.Duration
	Log   *slog.Logger
	// MaxStreamBytes bounds the memory that a stream of another member may take, in bytes; 0: 4 MiB.
	MaxStreamBytes int
	// RequestStep requests a step from the loop. It must not block.
	RequestStep func()
	// Transport carries the node's datagrams and streams. If it is nil, the node opens sockets on Listen.
	Transport memberlist.NodeAwareTransport
}

// Member is a relay's membership in its fleet. Only the loop may call Step and Agent. The other methods may be called
// from any goroutine.
type Member struct {
	cfg           Config
	incarnation   loadreport.Incarnation
	agent         *agent.Agent
	lastNode      *membership.Node // used by the last step; accessed only by the loop
	quotaStatusAt time.Duration    // when quotaStatus was set last; accessed only by the loop

	quotaStatus atomic.Pointer[[]quota.ScopeStatus]

	mu         sync.Mutex
	node       *membership.Node // nil while the member is down
	downReason error
}

// New begins a new incarnation of the member and returns it without a node, which Run starts. The generation is one
// more than the stored one, or 1 if none is stored.
func New(cfg Config) *Member {
	incarnation := loadreport.Incarnation{Generation: readIncarnation(cfg) + 1, Boot: rand.Uint32()}
	if err := writeIncarnation(cfg, incarnation.Generation); err != nil {
		cfg.Log.Warn("fleet: incarnation not saved", "err", err)
	}
	return &Member{
		cfg:         cfg,
		incarnation: incarnation,
		agent: agent.New(agent.Settings{
			Self:             cfg.Name,
			Incarnation:      incarnation,
			Members:          slices.Sorted(maps.Keys(cfg.Peers)),
			DestinationKinds: cfg.DestinationKinds,
			ShareQuota:       cfg.ShareQuota,
			FleetSize:        cfg.FleetSize,
		}),
	}
}

// Run starts the node and stops it when ctx is done. If the node does not start, for example because the port is
// taken, Run tries again every listenRetryInterval. Meanwhile the relay works without its fleet.
func (m *Member) Run(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	var nextStart time.Time
	for {
		if m.currentNode() == nil && !time.Now().Before(nextStart) {
			m.startNode()
			nextStart = time.Now().Add(listenRetryInterval)
		}
		select {
		case <-ctx.Done():
			m.stopNode()
			return
		case <-ticker.C:
			m.cfg.RequestStep()
		}
	}
}

func (m *Member) startNode() {
	node, err := membership.Start(membership.Config{
		Name:            m.cfg.Name,
		Fleet:           m.cfg.Label,
		Listen:          m.cfg.Listen,
		Peers:           m.cfg.Peers,
		Incarnation:     m.incarnation,
		Log:             m.cfg.Log,
		OnReceive:       m.cfg.RequestStep,
		SaveIncarnation: func(generation uint64) error { return writeIncarnation(m.cfg, generation) },
		Transport:       m.cfg.Transport,
		MaxStreamBytes:  m.cfg.MaxStreamBytes,
	})
	m.setNode(node, err)
	if err != nil {
		m.cfg.Log.Warn("fleet: not connected; serving alone", "err", err)
		return
	}
	m.cfg.Log.Info("fleet: listening",
		"member", m.cfg.Name, "listen", node.Addr(), "incarnation", m.incarnation.Generation)
}

func (m *Member) stopNode() {
	node := m.currentNode()
	if node == nil {
		return
	}
	m.setNode(nil, errStopped)
	if err := node.Close(); err != nil {
		m.cfg.Log.Warn("fleet: node not closed cleanly", "err", err)
	}
}

// currentNode returns the node, or nil while the member is down.
func (m *Member) currentNode() *membership.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

func (m *Member) setNode(node *membership.Node, downReason error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node = node
	m.downReason = downReason
}

// Step steps the agent after a step of the engine. It returns the record of the step for the recording, and events
// for the engine's next step.
func (m *Member) Step(
	now time.Duration,
	events []policy.Event,
	actions []policy.Action,
	views func() []policy.EndpointView,
) (agent.Record, []policy.Event) {
	var record agent.Record
	var decidedAt time.Duration // the time of now on the node's clock, or an earlier time
	node := m.currentNode()
	if node != nil {
		record.Received, record.Incarnation = node.Received()
		if m.cfg.ShareQuota {
			// The node's clock is read first. If the process is paused between the two readings, the quota messages
			// count as decided too early, which makes leases shorter. The opposite order could make them too long.
			decidedAt = node.Now()
			decidedAt -= m.cfg.Clock() - now
			record.QuotaReceived = node.ReceivedQuota()
		}
	}
	out := m.agent.Step(now, agent.Input{
		Received:    record.Received,
		Incarnation: record.Incarnation,
		Quota:       record.QuotaReceived,
		Events:      events,
		Actions:     actions,
		Views:       views,
	})
	record.Published = out.Published
	record.QuotaSent = out.Quota
	m.updateQuotaStatus(now)
	if node != nil {
		m.updateLimits(node, events)
		m.send(node, decidedAt, out)
	}
	return record, out.Events
}

// updateQuotaStatus copies the quota status for Status if the last copy is at least quotaStatusInterval old.
func (m *Member) updateQuotaStatus(now time.Duration) {
	ledger := m.agent.Quota()
	if ledger == nil || now < m.quotaStatusAt+quotaStatusInterval {
		return
	}
	m.quotaStatusAt = now
	status := ledger.Status(now)
	m.quotaStatus.Store(&status)
}

// updateLimits passes the limits of the endpoint list to the node if the list has changed or the node is a new one.
func (m *Member) updateLimits(node *membership.Node, events []policy.Event) {
	if node == m.lastNode && !slices.ContainsFunc(events, changesEndpoints) {
		return
	}
	m.lastNode = node
	node.SetLimits(m.agent.Limits())
}

func changesEndpoints(event policy.Event) bool {
	return event.Kind == policy.EndpointSnapshot || event.Kind == policy.EndpointDelta
}

// send passes the agent's output to the node.
func (m *Member) send(node *membership.Node, decidedAt time.Duration, out agent.Output) {
	if len(out.Published) > 0 {
		node.Publish(out.Published)
	}
	if len(out.Quota) > 0 {
		node.SendQuota(decidedAt, out.Quota)
	}
}

// AliveCount returns the number of alive and suspected members, this one included, or 0 while the member is down.
func (m *Member) AliveCount() int {
	node := m.currentNode()
	if node == nil {
		return 0
	}
	return node.AliveCount()
}

// Agent returns the member's state machine. Only the loop may use it, and must not modify it.
func (m *Member) Agent() *agent.Agent { return m.agent }
