// Package fleet is what the relay's loop has of its fleet: one step beside the decision module's (package seam, pure),
// and the link that carries what it tells (package link). The loop never waits for the link, and without one it goes on
// alone.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/membership"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	incarnationFile     = "fleet.life" // in the relay's folder
	listenRetryInterval = 2 * time.Second
	quotaStatusInterval = 500 * time.Millisecond
	stepInterval        = 250 * time.Millisecond // the loop is asked for a step so often, even if nothing happens
)

// Config is what a Member is made of.
type Config struct {
	Name             string
	Label            string
	Listen           string
	Peers            map[string]string
	Folder           string // that outlasts the process
	DestinationKinds []policy.DestinationKind
	ShareQuota       bool // limits are shared among Senders, the told size of the fleet
	FleetSize        int
	Clock            func() time.Duration // that of Step's now
	Log              *slog.Logger
	RequestStep      func() // asks the loop for a step; must not wait
	// Transport is what the link travels by; nil: sockets on Listen.
	Transport memberlist.NodeAwareTransport
}

// Member is a relay's place in its fleet. Step is the loop's; the others may be called from any goroutine.
type Member struct {
	cfg           Config
	incarnation   loadreport.Incarnation
	agent         *agent.Agent
	lastNode      *membership.Node // that Step has met; the loop's
	quotaStatusAt time.Duration    // when standing was put last; the loop's

	quotaStatus atomic.Pointer[[]quota.ScopeStatus]

	mu         sync.Mutex
	node       *membership.Node // nil: it does not listen yet, or no more
	downReason error            // it does not
}

// New returns a Member that has heard nothing. Where its folder does not tell of an earlier life it begins with the
// first.
func New(cfg Config) *Member {
	life := loadreport.Incarnation{Generation: readIncarnation(cfg) + 1, Boot: rand.Uint32()}
	if err := writeIncarnation(cfg, life.Generation); err != nil {
		cfg.Log.Warn("fleet: the incarnation is not kept", "err", err)
	}
	return &Member{cfg: cfg, incarnation: life, agent: agent.New(agent.Settings{
		Self: cfg.Name, Incarnation: life, Members: slices.Sorted(maps.Keys(cfg.Peers)), DestinationKinds: cfg.DestinationKinds,
		ShareQuota: cfg.ShareQuota, FleetSize: cfg.FleetSize,
	})}
}

// readIncarnation is the incarnation of the life before; 0: none is known, and if there was one the others will tell.
func readIncarnation(cfg Config) uint64 {
	data, err := os.ReadFile(filepath.Join(cfg.Folder, incarnationFile))
	if errors.Is(err, fs.ErrNotExist) {
		return 0
	}
	n, parseErr := strconv.ParseUint(strings.TrimSpace(string(data)), 10, 62)
	if err = errors.Join(err, parseErr); err != nil {
		cfg.Log.Warn("fleet: the incarnation cannot be read", "err", err)
	}
	return n
}

func writeIncarnation(cfg Config, incarnation uint64) error {
	path := filepath.Join(cfg.Folder, incarnationFile)
	if err := os.WriteFile(path+".new", fmt.Appendf(nil, "%d\n", incarnation), 0o600); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// Run keeps the link up until ctx ends. A port that is taken is tried again: the relay serves meanwhile.
func (m *Member) Run(ctx context.Context) {
	step := time.NewTicker(stepInterval)
	defer step.Stop()
	var next time.Time
	for {
		if m.currentNode() == nil && !time.Now().Before(next) {
			m.startNode()
			next = time.Now().Add(listenRetryInterval)
		}
		select {
		case <-ctx.Done():
			if l := m.currentNode(); l != nil {
				m.setNode(nil, errors.New("fleet: ended"))
				if err := l.Close(); err != nil {
					m.cfg.Log.Warn("fleet: end", "err", err)
				}
			}
			return
		case <-step.C:
			m.cfg.RequestStep()
		}
	}
}

func (m *Member) startNode() {
	l, err := membership.Start(membership.Config{
		Name: m.cfg.Name, Fleet: m.cfg.Label, Listen: m.cfg.Listen, Peers: m.cfg.Peers, Incarnation: m.incarnation, Log: m.cfg.Log, OnReceive: m.cfg.RequestStep,
		SaveIncarnation: func(n uint64) error { return writeIncarnation(m.cfg, n) }, Transport: m.cfg.Transport,
	})
	if m.setNode(l, err); err != nil {
		m.cfg.Log.Warn("fleet: not heard by others, and hearing none; serving alone", "err", err)
		return
	}
	m.cfg.Log.Info("fleet: listening", "name", m.cfg.Name, "listen", l.Addr(), "incarnation", m.incarnation.Generation)
}

func (m *Member) currentNode() *membership.Node {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.node
}

func (m *Member) setNode(l *membership.Node, why error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.node, m.downReason = l, why
}

// Step takes a step of the module, and returns what a recording must hold of it, and what the module is to be told in
// its next step.
func (m *Member) Step(
	now time.Duration,
	events []policy.Event,
	actions []policy.Action,
	views func() []policy.EndpointView,
) (agent.Record, []policy.Event) {
	var rec agent.Record
	var decided time.Duration // by the link's clock, when now was or before
	l := m.currentNode()
	if l != nil {
		rec.Received, rec.Incarnation = l.Received()
		if m.cfg.ShareQuota {
			decided = l.Now() // first: a stop of the process between the two has it earlier, and leases shorter
			decided -= m.cfg.Clock() - now
			rec.QuotaReceived = l.ReceivedQuota()
		}
	}
	out := m.agent.Step(
		now,
		agent.Input{
			Received:    rec.Received,
			Incarnation: rec.Incarnation,
			Quota:       rec.QuotaReceived,
			Events:      events,
			Actions:     actions,
			Views:       views,
		},
	)
	rec.Published, rec.QuotaSent = out.Published, out.Quota
	if b := m.agent.Quota(); b != nil && now >= m.quotaStatusAt+quotaStatusInterval {
		all := b.Status(now)
		m.quotaStatusAt = now
		m.quotaStatus.Store(&all)
	}
	if l == nil {
		return rec, out.Events
	}
	listed := func(e policy.Event) bool { return e.Kind == policy.EndpointSnapshot || e.Kind == policy.EndpointDelta }
	if l != m.lastNode || slices.ContainsFunc(events, listed) { // a link comes up after the list was told
		m.lastNode = l
		l.SetLimits(m.agent.Limits())
	}
	if len(rec.Published) > 0 {
		l.Publish(rec.Published)
	}
	if len(rec.QuotaSent) > 0 {
		l.SendQuota(decided, rec.QuotaSent)
	}
	return rec, out.Events
}

// AliveCount is how many members are seen, this one among them; 0: the link is down.
func (m *Member) AliveCount() int {
	if l := m.currentNode(); l != nil {
		return l.AliveCount()
	}
	return 0
}

// Agent is the pure part. It must only be asked, by the loop.
func (m *Member) Agent() *agent.Agent { return m.agent }

// Status is what a member tells of its fleet.
type Status struct {
	Up         bool                `json:"up"`
	DownReason string              `json:"why,omitempty"`    // it is not
	Quota      []quota.ScopeStatus `json:"rights,omitempty"` // where limits are shared
	*membership.Status
}

// Status tells of the fleet as this member sees it.
func (m *Member) Status() Status {
	m.mu.Lock()
	l, why := m.node, m.downReason
	m.mu.Unlock()
	s := Status{Up: l != nil}
	if all := m.quotaStatus.Load(); all != nil {
		s.Quota = *all
	}
	if l != nil {
		st := l.Status()
		s.Status = &st
	} else if why != nil {
		s.DownReason = why.Error()
	}
	return s
}

// WriteJSON writes the Status as JSON.
func (m *Member) WriteJSON(w io.Writer) error {
	if err := json.NewEncoder(w).Encode(m.Status()); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}

// Print writes a Status for people.
func (s Status) Print(w io.Writer) error {
	if !s.Up || s.Status == nil {
		_, err := fmt.Fprintf(w, "not linked: %s\n", s.DownReason)
		return err
	}
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(
		out,
		"%s of fleet %q, listens on %s, life %d/%08x, health %d (0 is best), %d pages queued, %d bytes sent\n",
		s.Name,
		s.Fleet,
		s.Listen,
		s.Incarnation.Generation,
		s.Incarnation.Boot,
		s.Health,
		s.Queued,
		s.SentBytes,
	)
	if s.NameConflict {
		fmt.Fprintln(out, "ANOTHER PROCESS RUNS UNDER THIS NAME: this one tells nothing")
	}
	fmt.Fprintln(out, "member\tstate\tlife\theard\tpages\tcells\taddress")
	for _, m := range s.Members {
		heard, life := "never", "-"
		if m.Age >= 0 {
			heard, life = m.Age.Round(10*time.Millisecond).String()+" ago", fmt.Sprint(m.Incarnation.Generation)
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", m.Name, m.State, life, heard, m.Reports, m.Scopes, m.Addr)
	}
	for _, r := range slices.Sorted(maps.Keys(s.Rejected)) {
		fmt.Fprintf(out, "refused: %s\t%d\n", r, s.Rejected[r])
	}
	if len(s.Quota) > 0 {
		fmt.Fprintln(out, "destination\tlimit\town\tlent\tkeeper\tmints\tbelief\twaiting")
	}
	for _, r := range s.Quota {
		at := strconv.Itoa(r.Destination)
		if r.Endpoint != "" {
			at += " " + r.Endpoint
		}
		fmt.Fprintf(
			out,
			"%s\t%.3g\t%.3g\t%.3g\t%s\t%.3g\t%.2f\t%d\n",
			at,
			r.Limit,
			r.OwnRate,
			r.Lent,
			r.LeaseHolder,
			r.GrantRate,
			r.CapacityFraction,
			r.PendingRequests,
		)
	}
	fmt.Fprintf(
		out,
		"messages heard %d, unreadable %d, of newer programs %d; rival pages %d, names with two addresses %d, strangers %d\n",
		s.Received,
		s.Unreadable,
		s.UnsupportedVersion,
		s.RivalReports,
		s.AddressConflicts,
		s.UnknownMembers,
	)
	if err := out.Flush(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
