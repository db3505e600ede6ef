// Package explore plays decision modules through all orders of events of tiny worlds, up to a bound, and asserts the
// six rules on every path: what the module is told by whom comes in any order that a network, a partner, an operator
// and a death may give. States that were met before are not visited again; the search is by breadth, so that the first
// break found is by a shortest path. It does no I/O and knows no clock. The module is the one under test, through its
// own interface, its state taken and put back by its Snapshot and Restore.
package modelcheck

import (
	"context"
	"encoding/binary"
	"fmt"
	"math"
	"runtime"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Message is one that is handed in.
type Message struct {
	Class int
	Key   string
}

// CallOutcome is how a call may end.
type CallOutcome struct {
	Outcome    policy.Outcome
	RetryAfter time.Duration // told with it
}

// Model is what is explored: its moves are all that its fields allow, at any time and in any order.
type Model struct {
	Name, Description string
	Rules             []checker.Rule // that it puts to the test most
	Relays            int
	Settings          policy.Settings
	Endpoints         []policy.Endpoint // of one destination
	Messages          []Message         // handed in in this order, each to any relay
	Outcomes          []CallOutcome     // of any call
	MaxFaults         int               // outcomes other than a delivery, on one path at most; a time-out is none
	DrainingEndpoints []string          // routes that each relay may be told drain, and then are gone, each at its own time
	MaxRestarts       int               // kills of relays, on one path at most
	HasOutage         bool              // the destination may fail, once, and come back cold
	StartsInOutage    bool              // and is out from the start
	MinOutage         time.Duration     // the outage lasts so long at least
	// failures in a row that a relay has seen of an outage when it counts as knowing; 0: one
	FailuresToDetect int
	MaxTimeStep      time.Duration // time passes by so much at most in a move
	MaxDepth         int           // moves on a path at most
	// Walks are paths of WalkDepth moves, drawn at random, that are played behind the bound: for what needs many calls.
	RandomWalks, RandomWalkLength int
}

// The rules' figures that the settings do not hold.
const (
	drainGracePeriod = time.Second
	finalAnswerGrace = checker.FinalAnswerTimeout
)

// MoveKind names a move.
type MoveKind string

// The moves.
const (
	MoveSubmit            MoveKind = "hand in"      // the next message, to Relay
	MoveFinishCall        MoveKind = "a call ends"  // call N of Relay, with outcome Choice
	MoveAdvanceTime       MoveKind = "time passes"  // until something is due, or a quantum; what is decided has been told by then
	MoveAcknowledgeNotice MoveKind = "notice taken" // of a message of Relay that was given up on: the N-th
	MoveObserveDraining   MoveKind = "told: drains" // Relay, of drain N
	MoveObserveRemoval    MoveKind = "told: gone"   // the same
	MoveRestart           MoveKind = "killed"       // Relay, and started anew
	MoveStartOutage       MoveKind = "outage"       // begins
	MoveEndOutage         MoveKind = "comes back"   // cold
)

// Move is one step of a path.
type Move struct {
	Kind    MoveKind `json:"kind"`
	Relay   int      `json:"relay,omitempty"`
	Index   int      `json:"n,omitempty"`
	Outcome int      `json:"choice,omitempty"`
}

// Violation is a rule that a path breaks.
type Violation struct {
	Rule   checker.Rule `json:"rule"`
	Detail string       `json:"text"`
}

// Result is what an exploration found.
type Result struct {
	Model       string
	States      int  // different ones
	Transitions int  // moves played
	RandomWalks int  // random paths behind that
	Depth       int  // to which all were played
	Complete    bool // no path is longer
	Violation   *Violation
	Trace       []Move // to the break
	Truncated   bool   // it ended early: too many states, or the context
}

// Options of a search.
type Options struct {
	Mutant          *emulate.Mutant
	MaxDepth        int // 0: the world's
	MaxStates       int // 0: 4 million
	Workers         int // 0: as many as there are cores
	SkipRandomWalks bool
}

const defaultMaxStates = 4 << 20

// node is a state of a world. It is not changed once it is in the frontier.
type state struct {
	now         time.Duration
	relays      []relayState
	submitted   int
	faults      int
	restarts    int
	outage      int // of the outage: 0 none yet, 1 out, 2 back
	outageStart time.Duration
	outageEnd   time.Duration
	arrivals    []arrival // calls since the return
	fell        bool
	pathStep    int32 // in the path table
	violation   *Violation
}

type arrival struct {
	at    time.Duration
	relay int
}

type relayState struct {
	engine         []byte // its snapshot
	epoch          time.Duration
	incarnation    int
	timerAt        time.Duration // 0: none asked for
	messages       []messageState
	calls          []callState
	retryAfter     map[string]time.Duration // told, by gate
	observed       map[string]endpointChange
	outageFailures int // failures in the outage
	delayed        []delayedEvent
}

type endpointChange struct {
	removed    bool
	observedAt time.Duration
}

type delayedEvent struct {
	due   time.Duration
	event policy.Event
}

type messageState struct {
	id                policy.MessageID
	index             int // in World.Messages
	acceptedAt        time.Duration
	deadline          time.Duration
	attempts          int
	mayHaveRun        bool
	firstRunAt        time.Duration
	firstRunZone      int
	unknownOutcomeAt  time.Duration // last outcome that may still run
	hasUnknownOutcome bool
	ended             bool
	endReported       bool // its end was told
	forgotten         bool // a restart has forgotten it
	possibleRuns      []int
	fromBeforeRestart bool // taken before a restart: its order counts no more
}

type callState struct {
	messageID policy.MessageID
	attempt   int
	endpoint  int
	sentAt    time.Duration
	timeoutAt time.Duration
}

type pathStep struct {
	parent int32
	move   Move
}

type explorer struct {
	model    *Model
	mutant   *emulate.Mutant
	settings policy.Settings // as the module is told

	shards [64]struct {
		sync.Mutex
		seen map[uint64]struct{}
	}
	mu        sync.Mutex
	pathSteps []pathStep
}

// Check explores the states of a model.
func Check(ctx context.Context, w *Model, opts Options) (Result, error) {
	x, root, err := newExplorer(w, opts.Mutant)
	if err != nil {
		return Result{}, err
	}
	most, workers, depth := opts.MaxStates, opts.Workers, opts.MaxDepth
	if most == 0 {
		most = defaultMaxStates
	}
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	if depth == 0 {
		depth = w.MaxDepth
	}
	f := Result{Model: w.Name, States: 1}
	x.visit(root)
	frontier := []*state{root}
	for ; f.Depth < depth && len(frontier) > 0; f.Depth++ {
		last := f.Depth == depth-1
		next, paths, broken := x.expandLevel(ctx, frontier, workers, last, most-f.States)
		f.Transitions += paths
		f.States += next.states
		if broken != nil {
			f.Violation, f.Trace = broken.violation, x.pathTo(broken.pathStep)
			return f, nil
		}
		if next.stopped || ctx.Err() != nil {
			f.Truncated = true
			return f, ctx.Err()
		}
		frontier = next.nodes
	}
	f.Complete = len(frontier) == 0 && f.Depth < depth
	if !f.Complete && !opts.SkipRandomWalks {
		x.runRandomWalks(ctx, root, workers, &f)
	}
	return f, ctx.Err()
}

// walks plays random paths. Of those that break a rule the first by its number is taken, and what is not needed for the
// break left out.
func (x *explorer) runRandomWalks(ctx context.Context, root *state, workers int, f *Result) {
	found := make([][]Move, x.model.RandomWalks)
	var wg sync.WaitGroup
	var mu sync.Mutex
	next := 0
	for range workers {
		wg.Go(func() {
			for {
				mu.Lock()
				i := next
				next++
				mu.Unlock()
				if i >= x.model.RandomWalks || ctx.Err() != nil {
					return
				}
				rng := engine.NewRandom(1, x.model.Name, i)
				n, path := root, []Move(nil)
				for range x.model.RandomWalkLength {
					moves := x.enabledMoves(n)
					if len(moves) == 0 {
						break
					}
					m := moves[rng.IntN(len(moves))]
					path = append(path, m)
					if n = x.successor(n, m); n.violation != nil {
						found[i] = path
						break
					}
				}
				mu.Lock()
				f.Transitions += len(path)
				f.RandomWalks++
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	if i := slices.IndexFunc(found, func(p []Move) bool { return p != nil }); i >= 0 {
		f.Trace, f.Violation = x.shrink(root, found[i])
	}
}

// replay plays moves as far as they can be made; it is the break at their end, if there is one.
func (x *explorer) replay(n *state, path []Move) *Violation {
	for i, m := range path {
		if !slices.Contains(x.enabledMoves(n), m) {
			return nil
		}
		if n = x.successor(n, m); n.violation != nil {
			if i < len(path)-1 {
				return nil
			}
			return n.violation
		}
	}
	return nil
}

// shorten leaves moves out of a path while it ends in the same break.
func (x *explorer) shrink(root *state, path []Move) ([]Move, *Violation) {
	b := x.replay(root, path)
	for again := true; again; {
		again = false
		for i := len(path) - 2; i >= 0; i-- {
			shorter := slices.Delete(slices.Clone(path), i, i+1)
			if c := x.replay(root, shorter); c != nil && c.Rule == b.Rule {
				path, b, again = shorter, c, true
			}
		}
	}
	return path, b
}

type found struct {
	nodes   []*state
	states  int
	stopped bool
}

// level plays every move at every state of a frontier. The result does not hang on the workers: states are in the order
// of their paths, and of several breaks the first by that order is taken.
func (x *explorer) expandLevel(
	ctx context.Context,
	frontier []*state,
	workers int,
	last bool,
	room int,
) (f found, paths int, broken *state) {
	type part struct {
		nodes  []*state
		moves  []Move
		paths  int
		states int
		broken *state
		move   Move
		from   int32
	}
	const chunk = 64
	parts := make([]part, (len(frontier)+chunk-1)/chunk)
	var wg sync.WaitGroup
	var mu sync.Mutex
	taken, states := 0, 0
	for range workers {
		wg.Go(func() {
			for {
				mu.Lock()
				i := taken
				taken++
				full := states > room
				mu.Unlock()
				if i >= len(parts) || full || ctx.Err() != nil {
					return
				}
				p := &parts[i]
				for _, n := range frontier[i*chunk : min(len(frontier), (i+1)*chunk)] {
					for _, m := range x.enabledMoves(n) {
						next := x.successor(n, m)
						p.paths++
						next.pathStep = n.pathStep
						if next.violation != nil {
							if p.broken == nil {
								p.broken, p.move = next, m
							}
							continue
						}
						if !x.visit(next) {
							continue
						}
						p.states++
						if !last {
							p.nodes, p.moves = append(p.nodes, next), append(p.moves, m)
						}
					}
				}
				mu.Lock()
				states += p.states
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	for i := range parts {
		p := &parts[i]
		paths += p.paths
		f.states += p.states
		if p.broken != nil && broken == nil {
			broken = p.broken
			broken.pathStep = x.recordStep(broken.pathStep, p.move)
		}
	}
	if f.stopped = f.states > room; broken != nil || f.stopped {
		return f, paths, broken
	}
	for i := range parts {
		for k, n := range parts[i].nodes {
			n.pathStep = x.recordStep(n.pathStep, parts[i].moves[k])
			f.nodes = append(f.nodes, n)
		}
		parts[i] = part{}
	}
	return f, paths, nil
}

func (x *explorer) recordStep(parent int32, m Move) int32 {
	x.pathSteps = append(x.pathSteps, pathStep{parent, m})
	return int32(len(x.pathSteps) - 1)
}

func (x *explorer) pathTo(at int32) (all []Move) {
	for ; at >= 0; at = x.pathSteps[at].parent {
		all = append(all, x.pathSteps[at].move)
	}
	slices.Reverse(all)
	return all
}

// visit tells whether a state is new.
func (x *explorer) visit(n *state) bool {
	h := xxhash.Sum64(n.encode(nil))
	s := &x.shards[h%64]
	s.Lock()
	defer s.Unlock()
	if s.seen == nil {
		s.seen = map[uint64]struct{}{}
	}
	if _, ok := s.seen[h]; ok {
		return false
	}
	s.seen[h] = struct{}{}
	return true
}

// encode writes all of a state that what follows hangs on.
func (n *state) encode(b []byte) []byte {
	num := func(x int64) { b = binary.AppendVarint(b, x) }
	flag := func(x bool) {
		if x {
			num(1)
		} else {
			num(0)
		}
	}
	num(int64(n.now))
	num(int64(n.submitted))
	num(int64(n.faults))
	num(int64(n.restarts))
	num(int64(n.outage))
	num(int64(n.outageStart))
	num(int64(n.outageEnd))
	for _, a := range n.arrivals {
		num(int64(a.at))
		num(int64(a.relay))
	}
	for i := range n.relays {
		r := &n.relays[i]
		num(int64(len(r.engine)))
		b = append(b, r.engine...)
		num(int64(r.epoch))
		num(int64(r.timerAt))
		num(int64(r.outageFailures))
		for _, m := range r.messages {
			num(int64(m.id))
			num(int64(m.index))
			num(int64(m.deadline))
			num(int64(m.attempts))
			flag(m.mayHaveRun)
			num(int64(m.firstRunAt))
			num(int64(m.firstRunZone))
			flag(m.hasUnknownOutcome)
			num(int64(m.unknownOutcomeAt))
			flag(m.ended)
			flag(m.endReported)
			flag(m.fromBeforeRestart)
			flag(m.forgotten)
			for _, k := range m.possibleRuns {
				num(int64(k))
			}
		}
		for _, c := range r.calls {
			num(int64(c.messageID))
			num(int64(c.attempt))
			num(int64(c.endpoint))
			num(int64(c.sentAt))
			num(int64(c.timeoutAt))
		}
		for _, k := range sortedKeys(r.retryAfter) {
			b = append(b, k...)
			num(int64(r.retryAfter[k]))
		}
		for _, k := range sortedKeys(r.observed) {
			b = append(b, k...)
			flag(r.observed[k].removed)
			num(int64(r.observed[k].observedAt))
		}
		for _, h := range r.delayed {
			num(int64(h.due))
			num(int64(h.event.Kind))
		}
	}
	return b
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

// clone copies a state so far that playing a move at one relay does not change it: relay -1 for all.
func (n *state) clone(relay int) *state {
	c := *n
	c.relays = slices.Clone(n.relays)
	c.arrivals = slices.Clone(n.arrivals)
	for i := range c.relays {
		if relay >= 0 && relay != i {
			continue
		}
		r := &c.relays[i]
		r.messages, r.calls, r.delayed = slices.Clone(r.messages), slices.Clone(r.calls), slices.Clone(r.delayed)
		for k := range r.messages {
			r.messages[k].possibleRuns = slices.Clone(r.messages[k].possibleRuns)
		}
		wait, told := make(map[string]time.Duration, len(r.retryAfter)), make(map[string]endpointChange, len(r.observed))
		for k, v := range r.retryAfter {
			wait[k] = v
		}
		for k, v := range r.observed {
			told[k] = v
		}
		r.retryAfter, r.observed = wait, told
	}
	return &c
}

const engineStart = time.Second

func newExplorer(w *Model, wrong *emulate.Mutant) (*explorer, *state, error) {
	x := &explorer{model: w, mutant: wrong, settings: w.Settings}
	x.settings.Classes = slices.Clone(x.settings.Classes)
	x.settings.FleetSize = w.Relays
	if wrong != nil && wrong.ChangeSettings != nil {
		wrong.ChangeSettings(&x.settings)
	}
	root := &state{pathStep: -1}
	for i := range w.Relays {
		s, err := policy.New(x.settings, uint64(i))
		if err != nil {
			return nil, nil, fmt.Errorf("explore: %s: %w", w.Name, err)
		}
		root.relays = append(
			root.relays,
			relayState{retryAfter: map[string]time.Duration{}, observed: map[string]endpointChange{}, epoch: -engineStart},
		)
		r := &root.relays[i]
		x.runEngine(root, i, s, []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: w.Endpoints}})
		r.engine = s.Snapshot(nil)
	}
	if w.StartsInOutage {
		root.outage = 1
	}
	return x, root, root.startError()
}

func (n *state) startError() error {
	if n.violation != nil {
		return fmt.Errorf("explore: broken at the start: %s", n.violation.Detail)
	}
	return nil
}

func (n *state) violate(rule checker.Rule, format string, args ...any) {
	if n.violation == nil {
		n.violation = &Violation{rule, fmt.Sprintf("at %v: ", n.now) + fmt.Sprintf(format, args...)}
	}
}

// moves are all that may happen at a state.
func (x *explorer) enabledMoves(n *state) (all []Move) {
	w := x.model
	if n.submitted < len(w.Messages) {
		for r := range n.relays {
			if r > 0 && bothUntouched(&n.relays[0], &n.relays[r]) {
				continue // it is as the first: one of them is enough
			}
			all = append(all, Move{Kind: MoveSubmit, Relay: r})
		}
	}
	for r := range n.relays {
		for c := range n.relays[r].calls {
			for o, out := range w.Outcomes {
				if out.Outcome != policy.OK && n.faults >= w.MaxFaults || n.outage == 1 && out.Outcome == policy.OK {
					continue
				}
				all = append(all, Move{Kind: MoveFinishCall, Relay: r, Index: c, Outcome: o})
			}
			if n.outage == 1 { // out of service: it fails, and that is no fault of its own
				all = append(all, Move{Kind: MoveFinishCall, Relay: r, Index: c, Outcome: -1})
			}
		}
		for d, route := range w.DrainingEndpoints {
			if t, ok := n.relays[r].observed[route]; !ok {
				all = append(all, Move{Kind: MoveObserveDraining, Relay: r, Index: d})
			} else if !t.removed {
				all = append(all, Move{Kind: MoveObserveRemoval, Relay: r, Index: d})
			}
		}
		for k, m := range n.relays[r].messages {
			if m.ended && !m.endReported && w.MaxRestarts > n.restarts && !x.dropsNotice(m.id) {
				all = append(all, Move{Kind: MoveAcknowledgeNotice, Relay: r, Index: k})
			}
		}
		if n.restarts < w.MaxRestarts && (len(n.relays[r].messages) > 0 || len(n.relays[r].retryAfter) > 0) {
			all = append(all, Move{Kind: MoveRestart, Relay: r})
		}
	}
	if w.HasOutage && n.outage == 0 {
		all = append(all, Move{Kind: MoveStartOutage})
	}
	if n.outage == 1 && n.now >= n.outageStart+w.MinOutage {
		all = append(all, Move{Kind: MoveEndOutage})
	}
	if n.submitted > 0 {
		all = append(all, Move{Kind: MoveAdvanceTime})
	}
	return all
}

// equal tells whether nothing has happened to two relays.
func bothUntouched(a, b *relayState) bool {
	return len(a.messages)+len(b.messages)+len(a.observed)+len(b.observed)+len(a.retryAfter)+len(b.retryAfter) == 0 && a.outageFailures+b.outageFailures == 0 &&
		a.incarnation == b.incarnation
}

// play is the state after a move.
func (x *explorer) successor(from *state, m Move) *state {
	relay := m.Relay
	if m.Kind == MoveAdvanceTime {
		relay = -1
	}
	n := from.clone(relay)
	n.violation = nil
	w := x.model
	switch m.Kind {
	case MoveSubmit:
		r := &n.relays[m.Relay]
		msg := w.Messages[n.submitted]
		n.submitted++
		r.messages = append(
			r.messages,
			messageState{
				id:         policy.MessageID(n.submitted),
				index:      n.submitted - 1,
				acceptedAt: n.now,
				deadline:   n.now + w.Settings.Classes[msg.Class].Deadline,
			},
		)
		x.deliverEvent(n, m.Relay, x.acceptedEvent(n, &r.messages[len(r.messages)-1]))
	case MoveFinishCall:
		out := CallOutcome{Outcome: policy.Error}
		if m.Outcome >= 0 {
			out = w.Outcomes[m.Outcome]
			if out.Outcome != policy.OK {
				n.faults++
			}
		} else {
			n.relays[m.Relay].outageFailures++
		}
		x.finishCall(n, m.Relay, m.Index, out)
	case MoveObserveDraining, MoveObserveRemoval:
		route := w.DrainingEndpoints[m.Index]
		i := slices.IndexFunc(w.Endpoints, func(l policy.Endpoint) bool { return l.ID == route })
		l := w.Endpoints[i]
		l.InService, l.Removed = false, m.Kind == MoveObserveRemoval
		t, ok := n.relays[m.Relay].observed[route]
		if !ok {
			t.observedAt = n.now
		}
		t.removed = l.Removed
		n.relays[m.Relay].observed[route] = t
		x.deliverEvent(n, m.Relay, policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{l}})
	case MoveAcknowledgeNotice:
		n.relays[m.Relay].messages[m.Index].endReported = true
	case MoveRestart:
		n.restarts++
		x.restart(n, m.Relay)
	case MoveStartOutage:
		n.outage, n.outageStart = 1, n.now
	case MoveEndOutage:
		n.outage, n.outageEnd = 2, n.now
	case MoveAdvanceTime:
		x.advanceTime(n)
	}
	return n
}

func (x *explorer) acceptedEvent(n *state, m *messageState) policy.Event {
	msg := x.model.Messages[m.index]
	return policy.Event{
		Kind:        policy.MessageAccepted,
		MessageID:   m.id,
		Key:         msg.Key,
		Class:       msg.Class,
		Tenant:      -1,
		Destination: x.model.Endpoints[0].Destination,
		TimeLeft:    m.deadline - n.now,
	}
}

// pass lets time pass until something is due, or by a quantum, and has that happen.
func (x *explorer) advanceTime(n *state) {
	to := n.now + x.model.MaxTimeStep
	soon := func(t time.Duration) {
		if t > n.now {
			to = min(to, t)
		}
	}
	for i := range n.relays {
		r := &n.relays[i]
		if r.timerAt > 0 {
			soon(r.timerAt)
		}
		for _, c := range r.calls {
			soon(c.timeoutAt)
		}
		for _, h := range r.delayed {
			soon(h.due)
		}
		for _, m := range r.messages {
			if !m.endReported {
				soon(m.deadline + finalAnswerGrace + time.Millisecond)
			}
		}
	}
	for i := range n.relays {
		for k := range n.relays[i].messages {
			m := &n.relays[i].messages[k]
			m.endReported = m.endReported || m.ended && !m.forgotten && !x.dropsNotice(m.id)
		}
	}
	n.now = to
	for i := range n.relays {
		r := &n.relays[i]
		for c := 0; c < len(r.calls); c++ {
			if r.calls[c].timeoutAt <= n.now {
				x.finishCall(n, i, c, CallOutcome{Outcome: policy.Timeout})
				c = -1
			}
		}
		var due []policy.Event
		r.delayed = slices.DeleteFunc(r.delayed, func(h delayedEvent) bool {
			if h.due <= n.now {
				due = append(due, h.event)
			}
			return h.due <= n.now
		})
		if r.timerAt > 0 && r.timerAt <= n.now {
			r.timerAt = 0
			due = append(due, policy.Event{Kind: policy.TimerFired})
		}
		if len(due) > 0 {
			x.stepEngine(n, i, due)
		}
		for k := range r.messages {
			if m := &r.messages[k]; !m.endReported && n.now > m.deadline+finalAnswerGrace {
				n.violate(
					checker.NoMessageLost,
					"message %d, taken on by relay %d at %v, has no end %v after its time",
					m.id,
					i,
					m.acceptedAt,
					n.now-m.deadline,
				)
			}
		}
	}
}

// end ends a call with an outcome.
func (x *explorer) finishCall(n *state, relay, call int, out CallOutcome) {
	r := &n.relays[relay]
	c := r.calls[call]
	r.calls = slices.Delete(r.calls, call, call+1)
	k := slices.IndexFunc(r.messages, func(m messageState) bool { return m.id == c.messageID })
	m := &r.messages[k]
	switch out.Outcome {
	case policy.OK:
		m.ended, m.endReported = true, true
		if r.outageFailures < x.model.FailuresToDetect {
			r.outageFailures = 0 // not in a row
		}
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		m.possibleRuns = slices.DeleteFunc(m.possibleRuns, func(a int) bool { return a == c.attempt })
		m.mayHaveRun = len(m.possibleRuns) > 0
	case policy.Reset, policy.Timeout, policy.Cancelled:
		m.hasUnknownOutcome, m.unknownOutcomeAt = true, n.now
	}
	route := x.model.Endpoints[c.endpoint]
	if out.RetryAfter > 0 {
		g := x.limitScope(route)
		r.retryAfter[g] = max(r.retryAfter[g], n.now+out.RetryAfter)
	}
	if out.Outcome == policy.Timeout && n.outage == 1 {
		r.outageFailures++
	}
	x.deliverEvent(n, relay, policy.Event{
		Kind: policy.AttemptFinished, MessageID: c.messageID, Attempt: c.attempt, Endpoint: route.ID, Outcome: out.Outcome, Latency: n.now - c.sentAt, MessageEnded: out.Outcome == policy.OK, RetryAfter: out.RetryAfter,
	})
}

// gate names what shares a wait.
func (x *explorer) limitScope(l policy.Endpoint) string {
	if x.model.Settings.DestinationKinds[l.Kind].LimitPerEndpoint {
		return l.ID
	}
	return ""
}

// step tells a relay's module of an event, as far as the mutant lets it hear.
func (x *explorer) deliverEvent(n *state, relay int, e policy.Event) {
	if x.mutant != nil && x.mutant.ChangeEvent != nil {
		e.Endpoints = slices.Clone(e.Endpoints)
		switch late := x.mutant.ChangeEvent(&e); {
		case late < 0:
			return
		case late > 0:
			r := &n.relays[relay]
			r.delayed = append(r.delayed, delayedEvent{n.now + late, e})
			return
		}
	}
	x.stepEngine(n, relay, []policy.Event{e})
}

func (x *explorer) stepEngine(n *state, relay int, evs []policy.Event) {
	s, err := policy.Restore(x.settings, n.relays[relay].engine)
	if err != nil {
		n.violate(checker.NoMessageLost, "relay %d: its state cannot be put back: %v", relay, err)
		return
	}
	x.runEngine(n, relay, s, evs)
	n.relays[relay].engine = s.Snapshot(nil)
}

// restart kills a relay and starts it anew on what its journal holds.
func (x *explorer) restart(n *state, relay int) {
	r := &n.relays[relay]
	r.incarnation++
	s, err := policy.New(x.settings, uint64(relay+100*r.incarnation))
	if err != nil {
		n.violate(checker.NoMessageLost, "relay %d does not start again: %v", relay, err)
		return
	}
	r.epoch, r.timerAt, r.calls, r.delayed = n.now-engineStart, 0, nil, nil
	clear(r.retryAfter) // a restart ends a wait
	r.outageFailures = 0
	whole := policy.Event{Kind: policy.EndpointSnapshot}
	for _, l := range x.model.Endpoints {
		if t, ok := r.observed[l.ID]; ok {
			if t.removed {
				continue
			}
			l.InService = false
		}
		whole.Endpoints = append(whole.Endpoints, l)
	}
	evs := []policy.Event{whole}
	for k := range r.messages {
		m := &r.messages[k]
		m.fromBeforeRestart = true
		if x.mutant != nil && x.mutant.ForgetsMessage != nil && x.mutant.ForgetsMessage(m.ended, m.mayHaveRun, m.id) ||
			x.mutant != nil && x.mutant.JournalDelay > 0 && n.now-m.acceptedAt < x.mutant.JournalDelay {
			m.forgotten = true
			continue // it is owed all the same
		}
		if m.ended {
			continue // its notice is sent once more
		}
		e := x.acceptedEvent(n, m)
		e.Recovered = &policy.RecoveredMessage{
			Attempts:      m.attempts,
			MayHaveRun:    m.mayHaveRun,
			SinceFirstRun: n.now - m.firstRunAt,
			FirstRunZone:  m.firstRunZone,
		}
		if !m.mayHaveRun {
			e.Recovered.SinceFirstRun = 0
		} else {
			m.hasUnknownOutcome, m.unknownOutcomeAt = true, n.now
		}
		if x.mutant != nil && x.mutant.ChangeEvent != nil {
			x.mutant.ChangeEvent(&e)
		}
		evs = append(evs, e)
	}
	x.runEngine(n, relay, s, evs)
	r.engine = s.Snapshot(nil)
}

// decide has a module step, carries out what it says, and judges that.
func (x *explorer) runEngine(n *state, relay int, s *policy.Engine, evs []policy.Event) {
	r := &n.relays[relay]
	acts := s.Step(n.now-r.epoch, evs)
	for i := range acts {
		a := acts[i]
		if x.mutant != nil && x.mutant.AllowsAction != nil && !x.mutant.AllowsAction(&a) {
			continue
		}
		switch a.Kind {
		case policy.SetTimer:
			r.timerAt = n.now + a.Delay
		case policy.Send:
			x.sendCall(n, relay, a)
		case policy.Reject, policy.Fail:
			x.endMessage(n, relay, a)
		}
	}
}

func (x *explorer) endMessage(n *state, relay int, a policy.Action) {
	r := &n.relays[relay]
	k := slices.IndexFunc(r.messages, func(m messageState) bool { return m.id == a.MessageID })
	if k < 0 {
		return
	}
	m := &r.messages[k]
	if m.ended {
		n.violate(checker.NoMessageLost, "message %d ends twice", m.id)
		return
	}
	c := x.model.Settings.Classes[x.model.Messages[m.index].Class]
	if a.Kind == policy.Reject && m.mayHaveRun &&
		(c.Effect == policy.NonIdempotent || c.Effect == policy.IdempotentByKey && !c.DedupAllZones) {
		n.violate(
			checker.NoDuplicateEffect,
			"message %d is refused, which says that it may come again, though a call may have run",
			m.id,
		)
	}
	m.ended = true
}

// quiet tells whether a mutant sends no notice for a message.
func (x *explorer) dropsNotice(id policy.MessageID) bool {
	return x.mutant != nil && x.mutant.DropsNotice != nil && x.mutant.DropsNotice(id)
}

// send judges a send by the rules.
func (x *explorer) sendCall(n *state, relay int, a policy.Action) {
	w, r := x.model, &n.relays[relay]
	k := slices.IndexFunc(r.messages, func(m messageState) bool { return m.id == a.MessageID })
	route := slices.IndexFunc(w.Endpoints, func(l policy.Endpoint) bool { return l.ID == a.Endpoint })
	if k < 0 || route < 0 {
		n.violate(
			checker.NoMessageLost,
			"relay %d sends message %d to %q, of which one is not there",
			relay,
			a.MessageID,
			a.Endpoint,
		)
		return
	}
	m, l := &r.messages[k], w.Endpoints[route]
	c := w.Settings.Classes[w.Messages[m.index].Class]
	if m.ended {
		n.violate(checker.NoMessageLost, "message %d is sent after its end", m.id)
	}
	if m.mayHaveRun {
		switch c.Effect {
		case policy.NonIdempotent:
			n.violate(checker.NoDuplicateEffect, "message %d must never run twice, may have run, and is sent again", m.id)
		case policy.IdempotentByKey:
			if late := n.now - m.firstRunAt - c.DedupWindow; late > 0 {
				n.violate(checker.NoDuplicateEffect, "message %d is repeated %v after its window", m.id, late)
			} else if l.Zone != m.firstRunZone && !c.DedupAllZones {
				n.violate(checker.NoDuplicateEffect, "message %d may have run in zone %d and is repeated in zone %d", m.id, m.firstRunZone, l.Zone)
			}
		}
	}
	if t, ok := r.observed[a.Endpoint]; ok && n.now > t.observedAt+drainGracePeriod {
		n.violate(
			checker.DrainRespected,
			"relay %d sends to %s %v after it was told that it is no longer in service",
			relay,
			a.Endpoint,
			n.now-t.observedAt,
		)
	}
	if until := r.retryAfter[x.limitScope(l)]; n.now < until-time.Millisecond {
		n.violate(checker.RetryAfterRespected, "relay %d sends to %s %v before the end of a told wait", relay, a.Endpoint, until-n.now)
	}
	if c.Ordered && w.Messages[m.index].Key != "" {
		x.checkOrder(n, r, m)
	}
	m.attempts++
	m.possibleRuns = append(m.possibleRuns, m.attempts-1)
	if !m.mayHaveRun {
		m.mayHaveRun, m.firstRunAt, m.firstRunZone = true, n.now, l.Zone
	}
	r.calls = append(
		r.calls,
		callState{messageID: m.id, attempt: m.attempts - 1, endpoint: route, sentAt: n.now, timeoutAt: a.TimeoutAt + r.epoch},
	)
	if n.outage == 2 {
		x.checkRecovery(n, relay, l)
	}
}

// inTurn judges a send beside the earlier messages of its key.
func (x *explorer) checkOrder(n *state, r *relayState, m *messageState) {
	key := x.model.Messages[m.index].Key
	for k := range r.messages {
		e := &r.messages[k]
		if e.id >= m.id || x.model.Messages[e.index].Key != key || e.fromBeforeRestart ||
			x.model.Messages[e.index].Class != x.model.Messages[m.index].Class {
			continue
		}
		switch {
		case !e.ended:
			n.violate(checker.OrderKept, "message %d is sent while %d, before it of its key, is unfinished", m.id, e.id)
		case slices.ContainsFunc(r.calls, func(c callState) bool { return c.messageID == e.id }):
			n.violate(checker.OrderKept, "message %d is sent while a call of %d, before it of its key, is out", m.id, e.id)
		case e.hasUnknownOutcome && n.now < e.unknownOutcomeAt+x.model.Settings.OrderingPause:
			n.violate(
				checker.OrderKept,
				"message %d is sent %v after a call of %d that may still run",
				m.id,
				n.now-e.unknownOutcomeAt,
				e.id,
			)
		}
	}
}

// arrived judges a call to a destination that has come back, as package judge does: by the load of the relays that
// knew.
func (x *explorer) checkRecovery(n *state, relay int, l policy.Endpoint) {
	set := x.model.Settings
	n.arrivals = slices.DeleteFunc(n.arrivals, func(a arrival) bool { return a.at <= n.now-set.OverloadWindow })
	n.arrivals = append(n.arrivals, arrival{n.now, relay})
	able := upstream.WarmUp{
		StartedAt:       n.outageEnd,
		FullCapacity:    l.Weight,
		InitialCapacity: set.WarmUpInitialCapacity,
		Duration:        set.WarmUpDuration,
	}.CapacityAt(
		n.now,
	)
	knew := 0
	for _, a := range n.arrivals {
		if n.relays[a.relay].outageFailures >= max(1, x.model.FailuresToDetect) {
			knew++
		}
	}
	sum := float64(len(n.arrivals))
	if n.now-n.outageEnd < set.WarmUpDuration && sum > upstream.OverloadBudget(set.OverloadFactor, able, set.OverloadWindow) &&
		float64(knew) >= checker.MinInformedRatio*sum {
		n.violate(
			checker.RecoveryNotOverloaded,
			"%.0f calls in %v to a destination that is back since %v and can do %.2f a second, %d of them by relays that saw it fail",
			sum,
			set.OverloadWindow,
			n.now-n.outageEnd,
			math.Round(able*100)/100,
			knew,
		)
	}
}
