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
	drainGrace = time.Second
	lostAfter  = checker.FinalAnswerTimeout
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

const statesMost = 4 << 20

// node is a state of a world. It is not changed once it is in the frontier.
type node struct {
	now      time.Duration
	relays   []relayState
	given    int
	faults   int
	restarts int
	phase    int // of the outage: 0 none yet, 1 out, 2 back
	failedAt time.Duration
	backAt   time.Duration
	arrivals []arrival // calls since the return
	fell     bool
	from     int32 // in the path table
	brk      *Violation
}

type arrival struct {
	at    time.Duration
	relay int
}

type relayState struct {
	module []byte // its snapshot
	epoch  time.Duration
	life   int
	wake   time.Duration // 0: none asked for
	msgs   []msgState
	calls  []callState
	wait   map[string]time.Duration // told, by gate
	told   map[string]toldState
	seen   int // failures in the outage
	held   []heldState
}

type toldState struct {
	gone bool
	at   time.Duration
}

type heldState struct {
	due time.Duration
	e   policy.Event
}

type msgState struct {
	id       policy.MessageID
	n        int // in World.Messages
	at       time.Duration
	deadline time.Duration
	sends    int
	ran      bool
	ranAt    time.Duration
	ranZone  int
	doubtAt  time.Duration // last outcome that may still run
	doubt    bool
	ended    bool
	told     bool // its end was told
	lost     bool // a restart has forgotten it
	mayRun   []int
	freed    bool // taken before a restart: its order counts no more
}

type callState struct {
	id    policy.MessageID
	n     int
	route int
	sent  time.Duration
	cut   time.Duration
}

type step struct {
	parent int32
	move   Move
}

type explorer struct {
	w     *Model
	wrong *emulate.Mutant
	set   policy.Settings // as the module is told

	shards [64]struct {
		sync.Mutex
		seen map[uint64]struct{}
	}
	mu    sync.Mutex
	steps []step
}

// Check explores the states of a model.
func Check(ctx context.Context, w *Model, opts Options) (Result, error) {
	x, root, err := begin(w, opts.Mutant)
	if err != nil {
		return Result{}, err
	}
	most, workers, depth := opts.MaxStates, opts.Workers, opts.MaxDepth
	if most == 0 {
		most = statesMost
	}
	if workers == 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	if depth == 0 {
		depth = w.MaxDepth
	}
	f := Result{Model: w.Name, States: 1}
	x.visit(root)
	frontier := []*node{root}
	for ; f.Depth < depth && len(frontier) > 0; f.Depth++ {
		last := f.Depth == depth-1
		next, paths, broken := x.level(ctx, frontier, workers, last, most-f.States)
		f.Transitions += paths
		f.States += next.states
		if broken != nil {
			f.Violation, f.Trace = broken.brk, x.path(broken.from)
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
		x.walks(ctx, root, workers, &f)
	}
	return f, ctx.Err()
}

// walks plays random paths. Of those that break a rule the first by its number is taken, and what is not needed for the
// break left out.
func (x *explorer) walks(ctx context.Context, root *node, workers int, f *Result) {
	found := make([][]Move, x.w.RandomWalks)
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
				if i >= x.w.RandomWalks || ctx.Err() != nil {
					return
				}
				rng := engine.NewRandom(1, x.w.Name, i)
				n, path := root, []Move(nil)
				for range x.w.RandomWalkLength {
					moves := x.moves(n)
					if len(moves) == 0 {
						break
					}
					m := moves[rng.IntN(len(moves))]
					path = append(path, m)
					if n = x.play(n, m); n.brk != nil {
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
		f.Trace, f.Violation = x.shorten(root, found[i])
	}
}

// replay plays moves as far as they can be made; it is the break at their end, if there is one.
func (x *explorer) replay(n *node, path []Move) *Violation {
	for i, m := range path {
		if !slices.Contains(x.moves(n), m) {
			return nil
		}
		if n = x.play(n, m); n.brk != nil {
			if i < len(path)-1 {
				return nil
			}
			return n.brk
		}
	}
	return nil
}

// shorten leaves moves out of a path while it ends in the same break.
func (x *explorer) shorten(root *node, path []Move) ([]Move, *Violation) {
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
	nodes   []*node
	states  int
	stopped bool
}

// level plays every move at every state of a frontier. The result does not hang on the workers: states are in the order
// of their paths, and of several breaks the first by that order is taken.
func (x *explorer) level(
	ctx context.Context,
	frontier []*node,
	workers int,
	last bool,
	room int,
) (f found, paths int, broken *node) {
	type part struct {
		nodes  []*node
		moves  []Move
		paths  int
		states int
		broken *node
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
					for _, m := range x.moves(n) {
						next := x.play(n, m)
						p.paths++
						next.from = n.from
						if next.brk != nil {
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
			broken.from = x.note(broken.from, p.move)
		}
	}
	if f.stopped = f.states > room; broken != nil || f.stopped {
		return f, paths, broken
	}
	for i := range parts {
		for k, n := range parts[i].nodes {
			n.from = x.note(n.from, parts[i].moves[k])
			f.nodes = append(f.nodes, n)
		}
		parts[i] = part{}
	}
	return f, paths, nil
}

func (x *explorer) note(parent int32, m Move) int32 {
	x.steps = append(x.steps, step{parent, m})
	return int32(len(x.steps) - 1)
}

func (x *explorer) path(at int32) (all []Move) {
	for ; at >= 0; at = x.steps[at].parent {
		all = append(all, x.steps[at].move)
	}
	slices.Reverse(all)
	return all
}

// visit tells whether a state is new.
func (x *explorer) visit(n *node) bool {
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
func (n *node) encode(b []byte) []byte {
	num := func(x int64) { b = binary.AppendVarint(b, x) }
	flag := func(x bool) {
		if x {
			num(1)
		} else {
			num(0)
		}
	}
	num(int64(n.now))
	num(int64(n.given))
	num(int64(n.faults))
	num(int64(n.restarts))
	num(int64(n.phase))
	num(int64(n.failedAt))
	num(int64(n.backAt))
	for _, a := range n.arrivals {
		num(int64(a.at))
		num(int64(a.relay))
	}
	for i := range n.relays {
		r := &n.relays[i]
		num(int64(len(r.module)))
		b = append(b, r.module...)
		num(int64(r.epoch))
		num(int64(r.wake))
		num(int64(r.seen))
		for _, m := range r.msgs {
			num(int64(m.id))
			num(int64(m.n))
			num(int64(m.deadline))
			num(int64(m.sends))
			flag(m.ran)
			num(int64(m.ranAt))
			num(int64(m.ranZone))
			flag(m.doubt)
			num(int64(m.doubtAt))
			flag(m.ended)
			flag(m.told)
			flag(m.freed)
			flag(m.lost)
			for _, k := range m.mayRun {
				num(int64(k))
			}
		}
		for _, c := range r.calls {
			num(int64(c.id))
			num(int64(c.n))
			num(int64(c.route))
			num(int64(c.sent))
			num(int64(c.cut))
		}
		for _, k := range sortedKeys(r.wait) {
			b = append(b, k...)
			num(int64(r.wait[k]))
		}
		for _, k := range sortedKeys(r.told) {
			b = append(b, k...)
			flag(r.told[k].gone)
			num(int64(r.told[k].at))
		}
		for _, h := range r.held {
			num(int64(h.due))
			num(int64(h.e.Kind))
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
func (n *node) clone(relay int) *node {
	c := *n
	c.relays = slices.Clone(n.relays)
	c.arrivals = slices.Clone(n.arrivals)
	for i := range c.relays {
		if relay >= 0 && relay != i {
			continue
		}
		r := &c.relays[i]
		r.msgs, r.calls, r.held = slices.Clone(r.msgs), slices.Clone(r.calls), slices.Clone(r.held)
		for k := range r.msgs {
			r.msgs[k].mayRun = slices.Clone(r.msgs[k].mayRun)
		}
		wait, told := make(map[string]time.Duration, len(r.wait)), make(map[string]toldState, len(r.told))
		for k, v := range r.wait {
			wait[k] = v
		}
		for k, v := range r.told {
			told[k] = v
		}
		r.wait, r.told = wait, told
	}
	return &c
}

const moduleStart = time.Second

func begin(w *Model, wrong *emulate.Mutant) (*explorer, *node, error) {
	x := &explorer{w: w, wrong: wrong, set: w.Settings}
	x.set.Classes = slices.Clone(x.set.Classes)
	x.set.FleetSize = w.Relays
	if wrong != nil && wrong.ChangeSettings != nil {
		wrong.ChangeSettings(&x.set)
	}
	root := &node{from: -1}
	for i := range w.Relays {
		s, err := policy.New(x.set, uint64(i))
		if err != nil {
			return nil, nil, fmt.Errorf("explore: %s: %w", w.Name, err)
		}
		root.relays = append(
			root.relays,
			relayState{wait: map[string]time.Duration{}, told: map[string]toldState{}, epoch: -moduleStart},
		)
		r := &root.relays[i]
		x.decide(root, i, s, []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: w.Endpoints}})
		r.module = s.Snapshot(nil)
	}
	if w.StartsInOutage {
		root.phase = 1
	}
	return x, root, root.err()
}

func (n *node) err() error {
	if n.brk != nil {
		return fmt.Errorf("explore: broken at the start: %s", n.brk.Detail)
	}
	return nil
}

func (n *node) breaks(rule checker.Rule, format string, args ...any) {
	if n.brk == nil {
		n.brk = &Violation{rule, fmt.Sprintf("at %v: ", n.now) + fmt.Sprintf(format, args...)}
	}
}

// moves are all that may happen at a state.
func (x *explorer) moves(n *node) (all []Move) {
	w := x.w
	if n.given < len(w.Messages) {
		for r := range n.relays {
			if r > 0 && equal(&n.relays[0], &n.relays[r]) {
				continue // it is as the first: one of them is enough
			}
			all = append(all, Move{Kind: MoveSubmit, Relay: r})
		}
	}
	for r := range n.relays {
		for c := range n.relays[r].calls {
			for o, out := range w.Outcomes {
				if out.Outcome != policy.OK && n.faults >= w.MaxFaults || n.phase == 1 && out.Outcome == policy.OK {
					continue
				}
				all = append(all, Move{Kind: MoveFinishCall, Relay: r, Index: c, Outcome: o})
			}
			if n.phase == 1 { // out of service: it fails, and that is no fault of its own
				all = append(all, Move{Kind: MoveFinishCall, Relay: r, Index: c, Outcome: -1})
			}
		}
		for d, route := range w.DrainingEndpoints {
			if t, ok := n.relays[r].told[route]; !ok {
				all = append(all, Move{Kind: MoveObserveDraining, Relay: r, Index: d})
			} else if !t.gone {
				all = append(all, Move{Kind: MoveObserveRemoval, Relay: r, Index: d})
			}
		}
		for k, m := range n.relays[r].msgs {
			if m.ended && !m.told && w.MaxRestarts > n.restarts && !x.quiet(m.id) {
				all = append(all, Move{Kind: MoveAcknowledgeNotice, Relay: r, Index: k})
			}
		}
		if n.restarts < w.MaxRestarts && (len(n.relays[r].msgs) > 0 || len(n.relays[r].wait) > 0) {
			all = append(all, Move{Kind: MoveRestart, Relay: r})
		}
	}
	if w.HasOutage && n.phase == 0 {
		all = append(all, Move{Kind: MoveStartOutage})
	}
	if n.phase == 1 && n.now >= n.failedAt+w.MinOutage {
		all = append(all, Move{Kind: MoveEndOutage})
	}
	if n.given > 0 {
		all = append(all, Move{Kind: MoveAdvanceTime})
	}
	return all
}

// equal tells whether nothing has happened to two relays.
func equal(a, b *relayState) bool {
	return len(a.msgs)+len(b.msgs)+len(a.told)+len(b.told)+len(a.wait)+len(b.wait) == 0 && a.seen+b.seen == 0 &&
		a.life == b.life
}

// play is the state after a move.
func (x *explorer) play(from *node, m Move) *node {
	relay := m.Relay
	if m.Kind == MoveAdvanceTime {
		relay = -1
	}
	n := from.clone(relay)
	n.brk = nil
	w := x.w
	switch m.Kind {
	case MoveSubmit:
		r := &n.relays[m.Relay]
		msg := w.Messages[n.given]
		n.given++
		r.msgs = append(
			r.msgs,
			msgState{
				id:       policy.MessageID(n.given),
				n:        n.given - 1,
				at:       n.now,
				deadline: n.now + w.Settings.Classes[msg.Class].Deadline,
			},
		)
		x.step(n, m.Relay, x.taken(n, &r.msgs[len(r.msgs)-1]))
	case MoveFinishCall:
		out := CallOutcome{Outcome: policy.Error}
		if m.Outcome >= 0 {
			out = w.Outcomes[m.Outcome]
			if out.Outcome != policy.OK {
				n.faults++
			}
		} else {
			n.relays[m.Relay].seen++
		}
		x.end(n, m.Relay, m.Index, out)
	case MoveObserveDraining, MoveObserveRemoval:
		route := w.DrainingEndpoints[m.Index]
		i := slices.IndexFunc(w.Endpoints, func(l policy.Endpoint) bool { return l.ID == route })
		l := w.Endpoints[i]
		l.InService, l.Removed = false, m.Kind == MoveObserveRemoval
		t, ok := n.relays[m.Relay].told[route]
		if !ok {
			t.at = n.now
		}
		t.gone = l.Removed
		n.relays[m.Relay].told[route] = t
		x.step(n, m.Relay, policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{l}})
	case MoveAcknowledgeNotice:
		n.relays[m.Relay].msgs[m.Index].told = true
	case MoveRestart:
		n.restarts++
		x.restart(n, m.Relay)
	case MoveStartOutage:
		n.phase, n.failedAt = 1, n.now
	case MoveEndOutage:
		n.phase, n.backAt = 2, n.now
	case MoveAdvanceTime:
		x.pass(n)
	}
	return n
}

func (x *explorer) taken(n *node, m *msgState) policy.Event {
	msg := x.w.Messages[m.n]
	return policy.Event{
		Kind:        policy.MessageAccepted,
		MessageID:   m.id,
		Key:         msg.Key,
		Class:       msg.Class,
		Tenant:      -1,
		Destination: x.w.Endpoints[0].Destination,
		TimeLeft:    m.deadline - n.now,
	}
}

// pass lets time pass until something is due, or by a quantum, and has that happen.
func (x *explorer) pass(n *node) {
	to := n.now + x.w.MaxTimeStep
	soon := func(t time.Duration) {
		if t > n.now {
			to = min(to, t)
		}
	}
	for i := range n.relays {
		r := &n.relays[i]
		if r.wake > 0 {
			soon(r.wake)
		}
		for _, c := range r.calls {
			soon(c.cut)
		}
		for _, h := range r.held {
			soon(h.due)
		}
		for _, m := range r.msgs {
			if !m.told {
				soon(m.deadline + lostAfter + time.Millisecond)
			}
		}
	}
	for i := range n.relays {
		for k := range n.relays[i].msgs {
			m := &n.relays[i].msgs[k]
			m.told = m.told || m.ended && !m.lost && !x.quiet(m.id)
		}
	}
	n.now = to
	for i := range n.relays {
		r := &n.relays[i]
		for c := 0; c < len(r.calls); c++ {
			if r.calls[c].cut <= n.now {
				x.end(n, i, c, CallOutcome{Outcome: policy.Timeout})
				c = -1
			}
		}
		var due []policy.Event
		r.held = slices.DeleteFunc(r.held, func(h heldState) bool {
			if h.due <= n.now {
				due = append(due, h.e)
			}
			return h.due <= n.now
		})
		if r.wake > 0 && r.wake <= n.now {
			r.wake = 0
			due = append(due, policy.Event{Kind: policy.TimerFired})
		}
		if len(due) > 0 {
			x.heard(n, i, due)
		}
		for k := range r.msgs {
			if m := &r.msgs[k]; !m.told && n.now > m.deadline+lostAfter {
				n.breaks(
					checker.NoMessageLost,
					"message %d, taken on by relay %d at %v, has no end %v after its time",
					m.id,
					i,
					m.at,
					n.now-m.deadline,
				)
			}
		}
	}
}

// end ends a call with an outcome.
func (x *explorer) end(n *node, relay, call int, out CallOutcome) {
	r := &n.relays[relay]
	c := r.calls[call]
	r.calls = slices.Delete(r.calls, call, call+1)
	k := slices.IndexFunc(r.msgs, func(m msgState) bool { return m.id == c.id })
	m := &r.msgs[k]
	switch out.Outcome {
	case policy.OK:
		m.ended, m.told = true, true
		if r.seen < x.w.FailuresToDetect {
			r.seen = 0 // not in a row
		}
	case policy.Overloaded, policy.ConnectFailed, policy.NotSent:
		m.mayRun = slices.DeleteFunc(m.mayRun, func(a int) bool { return a == c.n })
		m.ran = len(m.mayRun) > 0
	case policy.Reset, policy.Timeout, policy.Cancelled:
		m.doubt, m.doubtAt = true, n.now
	}
	route := x.w.Endpoints[c.route]
	if out.RetryAfter > 0 {
		g := x.gate(route)
		r.wait[g] = max(r.wait[g], n.now+out.RetryAfter)
	}
	if out.Outcome == policy.Timeout && n.phase == 1 {
		r.seen++
	}
	x.step(n, relay, policy.Event{
		Kind: policy.AttemptFinished, MessageID: c.id, Attempt: c.n, Endpoint: route.ID, Outcome: out.Outcome, Latency: n.now - c.sent, MessageEnded: out.Outcome == policy.OK, RetryAfter: out.RetryAfter,
	})
}

// gate names what shares a wait.
func (x *explorer) gate(l policy.Endpoint) string {
	if x.w.Settings.DestinationKinds[l.Kind].LimitPerEndpoint {
		return l.ID
	}
	return ""
}

// step tells a relay's module of an event, as far as the mutant lets it hear.
func (x *explorer) step(n *node, relay int, e policy.Event) {
	if x.wrong != nil && x.wrong.ChangeEvent != nil {
		e.Endpoints = slices.Clone(e.Endpoints)
		switch late := x.wrong.ChangeEvent(&e); {
		case late < 0:
			return
		case late > 0:
			r := &n.relays[relay]
			r.held = append(r.held, heldState{n.now + late, e})
			return
		}
	}
	x.heard(n, relay, []policy.Event{e})
}

func (x *explorer) heard(n *node, relay int, evs []policy.Event) {
	s, err := policy.Restore(x.set, n.relays[relay].module)
	if err != nil {
		n.breaks(checker.NoMessageLost, "relay %d: its state cannot be put back: %v", relay, err)
		return
	}
	x.decide(n, relay, s, evs)
	n.relays[relay].module = s.Snapshot(nil)
}

// restart kills a relay and starts it anew on what its journal holds.
func (x *explorer) restart(n *node, relay int) {
	r := &n.relays[relay]
	r.life++
	s, err := policy.New(x.set, uint64(relay+100*r.life))
	if err != nil {
		n.breaks(checker.NoMessageLost, "relay %d does not start again: %v", relay, err)
		return
	}
	r.epoch, r.wake, r.calls, r.held = n.now-moduleStart, 0, nil, nil
	clear(r.wait) // a restart ends a wait
	r.seen = 0
	whole := policy.Event{Kind: policy.EndpointSnapshot}
	for _, l := range x.w.Endpoints {
		if t, ok := r.told[l.ID]; ok {
			if t.gone {
				continue
			}
			l.InService = false
		}
		whole.Endpoints = append(whole.Endpoints, l)
	}
	evs := []policy.Event{whole}
	for k := range r.msgs {
		m := &r.msgs[k]
		m.freed = true
		if x.wrong != nil && x.wrong.ForgetsMessage != nil && x.wrong.ForgetsMessage(m.ended, m.ran, m.id) ||
			x.wrong != nil && x.wrong.JournalDelay > 0 && n.now-m.at < x.wrong.JournalDelay {
			m.lost = true
			continue // it is owed all the same
		}
		if m.ended {
			continue // its notice is sent once more
		}
		e := x.taken(n, m)
		e.Recovered = &policy.RecoveredMessage{
			Attempts:      m.sends,
			MayHaveRun:    m.ran,
			SinceFirstRun: n.now - m.ranAt,
			FirstRunZone:  m.ranZone,
		}
		if !m.ran {
			e.Recovered.SinceFirstRun = 0
		} else {
			m.doubt, m.doubtAt = true, n.now
		}
		if x.wrong != nil && x.wrong.ChangeEvent != nil {
			x.wrong.ChangeEvent(&e)
		}
		evs = append(evs, e)
	}
	x.decide(n, relay, s, evs)
	r.module = s.Snapshot(nil)
}

// decide has a module step, carries out what it says, and judges that.
func (x *explorer) decide(n *node, relay int, s *policy.Engine, evs []policy.Event) {
	r := &n.relays[relay]
	acts := s.Step(n.now-r.epoch, evs)
	for i := range acts {
		a := acts[i]
		if x.wrong != nil && x.wrong.AllowsAction != nil && !x.wrong.AllowsAction(&a) {
			continue
		}
		switch a.Kind {
		case policy.SetTimer:
			r.wake = n.now + a.Delay
		case policy.Send:
			x.send(n, relay, a)
		case policy.Reject, policy.Fail:
			x.gaveUp(n, relay, a)
		}
	}
}

func (x *explorer) gaveUp(n *node, relay int, a policy.Action) {
	r := &n.relays[relay]
	k := slices.IndexFunc(r.msgs, func(m msgState) bool { return m.id == a.MessageID })
	if k < 0 {
		return
	}
	m := &r.msgs[k]
	if m.ended {
		n.breaks(checker.NoMessageLost, "message %d ends twice", m.id)
		return
	}
	c := x.w.Settings.Classes[x.w.Messages[m.n].Class]
	if a.Kind == policy.Reject && m.ran &&
		(c.Effect == policy.NonIdempotent || c.Effect == policy.IdempotentByKey && !c.DedupAllZones) {
		n.breaks(
			checker.NoDuplicateEffect,
			"message %d is refused, which says that it may come again, though a call may have run",
			m.id,
		)
	}
	m.ended = true
}

// quiet tells whether a mutant sends no notice for a message.
func (x *explorer) quiet(id policy.MessageID) bool {
	return x.wrong != nil && x.wrong.DropsNotice != nil && x.wrong.DropsNotice(id)
}

// send judges a send by the rules.
func (x *explorer) send(n *node, relay int, a policy.Action) {
	w, r := x.w, &n.relays[relay]
	k := slices.IndexFunc(r.msgs, func(m msgState) bool { return m.id == a.MessageID })
	route := slices.IndexFunc(w.Endpoints, func(l policy.Endpoint) bool { return l.ID == a.Endpoint })
	if k < 0 || route < 0 {
		n.breaks(
			checker.NoMessageLost,
			"relay %d sends message %d to %q, of which one is not there",
			relay,
			a.MessageID,
			a.Endpoint,
		)
		return
	}
	m, l := &r.msgs[k], w.Endpoints[route]
	c := w.Settings.Classes[w.Messages[m.n].Class]
	if m.ended {
		n.breaks(checker.NoMessageLost, "message %d is sent after its end", m.id)
	}
	if m.ran {
		switch c.Effect {
		case policy.NonIdempotent:
			n.breaks(checker.NoDuplicateEffect, "message %d must never run twice, may have run, and is sent again", m.id)
		case policy.IdempotentByKey:
			if late := n.now - m.ranAt - c.DedupWindow; late > 0 {
				n.breaks(checker.NoDuplicateEffect, "message %d is repeated %v after its window", m.id, late)
			} else if l.Zone != m.ranZone && !c.DedupAllZones {
				n.breaks(checker.NoDuplicateEffect, "message %d may have run in zone %d and is repeated in zone %d", m.id, m.ranZone, l.Zone)
			}
		}
	}
	if t, ok := r.told[a.Endpoint]; ok && n.now > t.at+drainGrace {
		n.breaks(
			checker.DrainRespected,
			"relay %d sends to %s %v after it was told that it is no longer in service",
			relay,
			a.Endpoint,
			n.now-t.at,
		)
	}
	if until := r.wait[x.gate(l)]; n.now < until-time.Millisecond {
		n.breaks(checker.RetryAfterRespected, "relay %d sends to %s %v before the end of a told wait", relay, a.Endpoint, until-n.now)
	}
	if c.Ordered && w.Messages[m.n].Key != "" {
		x.inTurn(n, r, m)
	}
	m.sends++
	m.mayRun = append(m.mayRun, m.sends-1)
	if !m.ran {
		m.ran, m.ranAt, m.ranZone = true, n.now, l.Zone
	}
	r.calls = append(
		r.calls,
		callState{id: m.id, n: m.sends - 1, route: route, sent: n.now, cut: a.TimeoutAt + r.epoch},
	)
	if n.phase == 2 {
		x.arrived(n, relay, l)
	}
}

// inTurn judges a send beside the earlier messages of its key.
func (x *explorer) inTurn(n *node, r *relayState, m *msgState) {
	key := x.w.Messages[m.n].Key
	for k := range r.msgs {
		e := &r.msgs[k]
		if e.id >= m.id || x.w.Messages[e.n].Key != key || e.freed ||
			x.w.Messages[e.n].Class != x.w.Messages[m.n].Class {
			continue
		}
		switch {
		case !e.ended:
			n.breaks(checker.OrderKept, "message %d is sent while %d, before it of its key, is unfinished", m.id, e.id)
		case slices.ContainsFunc(r.calls, func(c callState) bool { return c.id == e.id }):
			n.breaks(checker.OrderKept, "message %d is sent while a call of %d, before it of its key, is out", m.id, e.id)
		case e.doubt && n.now < e.doubtAt+x.w.Settings.OrderingPause:
			n.breaks(
				checker.OrderKept,
				"message %d is sent %v after a call of %d that may still run",
				m.id,
				n.now-e.doubtAt,
				e.id,
			)
		}
	}
}

// arrived judges a call to a destination that has come back, as package judge does: by the load of the relays that
// knew.
func (x *explorer) arrived(n *node, relay int, l policy.Endpoint) {
	set := x.w.Settings
	n.arrivals = slices.DeleteFunc(n.arrivals, func(a arrival) bool { return a.at <= n.now-set.OverloadWindow })
	n.arrivals = append(n.arrivals, arrival{n.now, relay})
	able := upstream.WarmUp{
		StartedAt:       n.backAt,
		FullCapacity:    l.Weight,
		InitialCapacity: set.WarmUpInitialCapacity,
		Duration:        set.WarmUpDuration,
	}.CapacityAt(
		n.now,
	)
	knew := 0
	for _, a := range n.arrivals {
		if n.relays[a.relay].seen >= max(1, x.w.FailuresToDetect) {
			knew++
		}
	}
	sum := float64(len(n.arrivals))
	if n.now-n.backAt < set.WarmUpDuration && sum > upstream.OverloadBudget(set.OverloadFactor, able, set.OverloadWindow) &&
		float64(knew) >= checker.MinInformedRatio*sum {
		n.breaks(
			checker.RecoveryNotOverloaded,
			"%.0f calls in %v to a destination that is back since %v and can do %.2f a second, %d of them by relays that saw it fail",
			sum,
			set.OverloadWindow,
			n.now-n.backAt,
			math.Round(able*100)/100,
			knew,
		)
	}
}
