// Package fleet connects the relay's loop to its fleet. A Member steps the pure state machine of package agent beside
// the decision engine, and hands its output to a node of package membership, which carries it to the other members. The
// loop never waits for the node, and without one the relay serves alone.
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
	// listenRetryInterval is how often a member that cannot listen tries again.
	listenRetryInterval = 2 * time.Second
	// quotaStatusInterval is how often the quota's status is copied for Status.
	quotaStatusInterval = 500 * time.Millisecond
	// stepInterval is how often the loop is asked for a step if nothing else happens.
	stepInterval = 250 * time.Millisecond
)

// errStopped is the reason for a member's being down after Run has returned.
var errStopped = errors.New("fleet: ended")

// Config configures a Member.
type Config struct {
	Name             string
	Label            string
	Listen           string
	Peers            map[string]string
	Folder           string // outlasts the process
	DestinationKinds []policy.DestinationKind
	ShareQuota       bool // limits are shared among FleetSize relays
	FleetSize        int  // as the platform reports it
	// Clock is the clock of Step's now.
	Clock func() time.Duration
	Log   *slog.Logger
	// RequestStep asks the loop for a step. It must not block.
	RequestStep func()
	// Transport carries the node's datagrams and streams; nil: sockets on Listen.
	Transport memberlist.NodeAwareTransport
}

// Member is a relay's membership of its fleet. Step and Agent belong to the loop; the other methods may be called from
// any goroutine.
type Member struct {
	cfg           Config
	incarnation   loadreport.Incarnation
	agent         *agent.Agent
	lastNode      *membership.Node // that the last step used; the loop's
	quotaStatusAt time.Duration    // when quotaStatus was set last; the loop's

	quotaStatus atomic.Pointer[[]quota.ScopeStatus]

	mu         sync.Mutex
	node       *membership.Node // nil while the member is down
	downReason error
}

// New returns a Member that is down. It begins a new incarnation, the first one if its folder has none.
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

// Run keeps the node up until ctx is done. If the port is taken it tries again; the relay serves meanwhile.
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

// Step steps the agent after a step of the engine. It returns what a recording must hold of it, and events for the
// engine's next step.
func (m *Member) Step(
	now time.Duration,
	events []policy.Event,
	actions []policy.Action,
	views func() []policy.EndpointView,
) (agent.Record, []policy.Event) {
	var record agent.Record
	var decidedAt time.Duration // the node's time at now, or before that
	node := m.currentNode()
	if node != nil {
		record.Received, record.Incarnation = node.Received()
		if m.cfg.ShareQuota {
			// The node's clock is read first: if the process is stopped between the two, quota messages count as
			// decided earlier and leases are shorter, never longer.
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

// updateQuotaStatus copies the quota's status for Status, every quotaStatusInterval.
func (m *Member) updateQuotaStatus(now time.Duration) {
	ledger := m.agent.Quota()
	if ledger == nil || now < m.quotaStatusAt+quotaStatusInterval {
		return
	}
	m.quotaStatusAt = now
	status := ledger.Status(now)
	m.quotaStatus.Store(&status)
}

// updateLimits sets the limits of the endpoint list at the node, if the list has changed or the node is a new one.
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

// send hands the agent's output to the node.
func (m *Member) send(node *membership.Node, decidedAt time.Duration, out agent.Output) {
	if len(out.Published) > 0 {
		node.Publish(out.Published)
	}
	if len(out.Quota) > 0 {
		node.SendQuota(decidedAt, out.Quota)
	}
}

// AliveCount is the number of alive members, this one among them; 0 while the member is down.
func (m *Member) AliveCount() int {
	node := m.currentNode()
	if node == nil {
		return 0
	}
	return node.AliveCount()
}

// Agent returns the member's state machine, which the loop alone may use, and only read.
func (m *Member) Agent() *agent.Agent { return m.agent }
