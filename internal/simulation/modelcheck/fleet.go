package modelcheck

import (
	"context"
	"fmt"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/policy"
)

// FleetModel is a tiny fleet: members that tell one page each, and a network that delivers in any order, or not, or
// twice, or late, to processes that are stopped and restarted.
type FleetModel struct {
	Members       int  // three
	DuplicateName bool // a fourth process runs under the name of the first
	MaxPublishes  int  // of each member
	MaxForwards   int  // in all: what a member heard of the others it tells them once more, as an answer to a digest does
	MaxLosses     int  // datagrams
	MaxDuplicates int
	MaxRestarts   int           // in all; half of them find no folder
	MaxPauses     int           // in all: what waited for a process is read when it goes on
	MaxTimeSteps  int           // times that Pass goes by
	TimeStep      time.Duration // at once
	MaxDepth      int           // moves on a path at most
}

// SmallFleet is the world that comes with it.
var SmallFleet = FleetModel{
	Members:       3,
	MaxPublishes:  2,
	MaxForwards:   1,
	MaxLosses:     1,
	MaxDuplicates: 1,
	MaxRestarts:   1,
	MaxPauses:     1,
	MaxTimeSteps:  1,
	TimeStep:      2 * time.Second,
	MaxDepth:      6,
}

// FleetMove is one thing that happens.
type FleetMove struct {
	// tell, retell (what it heard of others), deliver, lose, double, restart, forget (restart without the folder),
	// stop, pass
	Kind   string
	Member int // counted from 0
	Packet int // of those on their way, in order
}

func (m FleetMove) String() string {
	switch m.Kind {
	case "pass":
		return m.Kind
	case "deliver", "lose", "double":
		return fmt.Sprintf("%s %d", m.Kind, m.Packet)
	}
	return fmt.Sprintf("%s %d", m.Kind, m.Member)
}

// FleetResult is what a search found.
type FleetResult struct {
	States, Transitions int
	Complete            bool // no path was cut off by the depth
	Violation           string
	Trace               []FleetMove
}

type tinyPacket struct {
	from, to int
	boot     uint32
	clock    time.Duration
	page     loadreport.Report
}

// tinyVersion is what a page truly is.
type tinyVersion struct {
	loadreport.Incarnation
	sequence uint64
}

type tinyMember struct {
	name     string
	seam     *agent.Agent
	raised   loadreport.Incarnation // that the seam has not been told of
	ledger   *loadreport.Table
	transit  loadreport.TransitEstimator
	folder   uint64 // incarnation
	boots    uint32
	sequence uint64
	tells    int
	stopped  bool
	inbox    []tinyPacket
	seen     map[string]tinyVersion
	arrived  uint64
	meant    map[string]tinyVersion
	heardAs  map[string]time.Duration
}

// tiny is a fleet at one point of a path.
type tiny struct {
	w       *FleetModel
	wrong   emulate.LinkFaults
	now     time.Duration
	members []*tinyMember
	flying  []tinyPacket
	told    map[string]map[tinyVersion]time.Duration
	left    FleetModel // what may still happen
	broken  string
}

// tellAfter is what passes before each telling: a seam tells no page more often.
const tellAfter = 600 * time.Millisecond

func memberName(i int) string { return fmt.Sprintf("m%d", i) }

func newTiny(w *FleetModel, wrong emulate.LinkFaults) *tiny {
	t := &tiny{w: w, wrong: wrong, now: time.Second, left: *w, told: map[string]map[tinyVersion]time.Duration{}}
	for i := range w.Members {
		t.members = append(t.members, &tinyMember{name: memberName(i)})
		t.told[memberName(i)] = map[tinyVersion]time.Duration{}
	}
	if w.DuplicateName {
		t.members = append(t.members, &tinyMember{name: memberName(0)})
	}
	for i := range t.members {
		t.boot(i)
	}
	for i := range t.members {
		t.askAll(i)
	}
	return t
}

// clock is a member's own, far from the others'.
func (t *tiny) clock(i int) time.Duration { return t.now + time.Duration(i)*time.Hour }

func (t *tiny) boot(i int) {
	m := t.members[i]
	m.folder++
	m.boots++
	var all []string
	for j := range t.w.Members {
		all = append(all, memberName(j))
	}
	life := loadreport.Incarnation{Generation: m.folder, Boot: m.boots + uint32(100*i)}
	*m = tinyMember{
		name: m.name, ledger: loadreport.New(m.name, life, all), folder: m.folder, boots: m.boots, tells: m.tells, seen: map[string]tinyVersion{},
		meant: map[string]tinyVersion{}, heardAs: map[string]time.Duration{},
		seam: agent.New(
			agent.Settings{
				Self:             m.name,
				Incarnation:      life,
				Members:          all,
				DestinationKinds: []policy.DestinationKind{{MaxBatch: 1}},
			},
		),
	}
	m.seam.Step(
		t.now,
		agent.Input{
			Events: []policy.Event{
				{Kind: policy.EndpointSnapshot, Endpoints: []policy.Endpoint{{ID: "r", Weight: 10, InService: true}}},
			},
		},
	)
	m.ledger.SetLimits(loadreport.Limits{0: {"": 10}})
}

// process names a process, of which two may have one member's name.
func process(i int) string { return fmt.Sprintf("p%d", i) }

// askAll has a member and all others know of each other's clocks. What is asked of one that is stopped is answered when
// it goes on.
func (t *tiny) askAll(i int) {
	for j, o := range t.members {
		t.members[i].transit.Calibrate(process(j), o.boots, t.clock(j), t.now, t.now)
		o.transit.Calibrate(process(i), t.members[i].boots, t.clock(i), t.now, t.now)
	}
}

// moves are those that may be made.
func (t *tiny) moves() (all []FleetMove) {
	for i, m := range t.members {
		if m.tells < t.w.MaxPublishes && !m.stopped {
			all = append(all, FleetMove{Kind: "tell", Member: i})
		}
		if t.left.MaxForwards > 0 && !m.stopped {
			all = append(all, FleetMove{Kind: "retell", Member: i})
		}
		if t.left.MaxRestarts > 0 {
			all = append(all, FleetMove{Kind: "restart", Member: i}, FleetMove{Kind: "forget", Member: i})
		}
		if t.left.MaxPauses > 0 || m.stopped {
			all = append(all, FleetMove{Kind: "stop", Member: i})
		}
	}
	for k := range t.flying {
		all = append(all, FleetMove{Kind: "deliver", Packet: k})
		if t.left.MaxLosses > 0 {
			all = append(all, FleetMove{Kind: "lose", Packet: k})
		}
		if t.left.MaxDuplicates > 0 {
			all = append(all, FleetMove{Kind: "double", Packet: k})
		}
	}
	if t.left.MaxTimeSteps > 0 {
		all = append(all, FleetMove{Kind: "pass"})
	}
	return all
}

// play makes a move.
func (t *tiny) play(v FleetMove) {
	m := t.members[v.Member]
	switch v.Kind {
	case "tell":
		m.tells++
		t.tell(v.Member)
	case "retell":
		t.left.MaxForwards--
		n := len(t.members)
		for j := range t.w.Members {
			to := (v.Member + 1) % n
			if t.members[to].name == memberName(j) {
				to = (v.Member + 2) % n
			}
			if m.name != memberName(j) {
				t.send(v.Member, to, memberName(j)) // of each other to one that is not that one
			}
		}
	case "restart", "forget":
		t.left.MaxRestarts--
		if v.Kind == "forget" {
			m.folder = 0
		}
		t.boot(v.Member)
		t.askAll(v.Member)
	case "stop":
		if m.stopped = !m.stopped; m.stopped {
			t.left.MaxPauses--
			break
		}
		for _, p := range m.inbox {
			t.hear(p)
		}
		m.inbox = nil
	case "pass":
		t.left.MaxTimeSteps--
		t.now += t.w.TimeStep
	case "deliver", "lose", "double":
		p := t.flying[v.Packet]
		if v.Kind == "double" {
			t.left.MaxDuplicates--
		} else {
			t.flying = append(append([]tinyPacket(nil), t.flying[:v.Packet]...), t.flying[v.Packet+1:]...)
		}
		switch {
		case v.Kind == "lose":
			t.left.MaxLosses--
		case t.members[p.to].stopped:
			t.members[p.to].inbox = append(t.members[p.to].inbox, p)
		default:
			t.hear(p)
		}
	}
	t.check()
}

// tell has a message come to a member, and its seam tell of it, to one other: who hears it tells it on.
func (t *tiny) tell(i int) {
	m := t.members[i]
	t.now += tellAfter
	id := policy.MessageID(t.now / time.Millisecond)
	told := m.seam.Step(t.now, agent.Input{
		Incarnation: m.raised, Events: []policy.Event{{Kind: policy.MessageAccepted, MessageID: id}, {Kind: policy.AttemptFinished, MessageID: id, Endpoint: "r", MessageEnded: true}},
		Views: func() []policy.EndpointView { return nil },
	})
	m.raised = loadreport.Incarnation{}
	if len(told.Published) != 1 || m.ledger.Restore(t.now, told.Published[0]) != loadreport.Updated {
		t.broken = fmt.Sprintf("%s does not tell: %v", m.name, told)
		return
	}
	p := told.Published[0]
	m.sequence = p.Sequence
	t.told[p.Name][tinyVersion{p.Incarnation, p.Sequence}] = t.now
	t.send(i, (i+1)%len(t.members), p.Name)
}

func (t *tiny) send(from, to int, name string) {
	m := t.members[from]
	p, ok := m.ledger.Get(t.now, name, 0)
	if !ok {
		return
	}
	if v, other := m.meant[name]; other {
		p.Sequence, p.Incarnation = v.sequence, v.Incarnation
	}
	if age, heard := m.heardAs[name]; heard && t.wrong.FrozenAges {
		p.Age = age
	}
	t.flying = append(t.flying, tinyPacket{from, to, m.boots, t.clock(from), p})
}

func (t *tiny) hear(p tinyPacket) {
	m := t.members[p.to]
	held, known, _ := m.transit.Estimate(process(p.from), p.boot, p.clock, t.now)
	if !known {
		return // put aside until it is; here never
	}
	if t.wrong.NoTransitTime {
		held = 0
	}
	page := p.page
	page.Age += held
	meant := tinyVersion{page.Incarnation, page.Sequence}
	if t.wrong.LastReceivedWins {
		m.arrived++
		page.Sequence = m.arrived
	}
	out, _ := m.ledger.Merge(t.now, page)
	switch out {
	case loadreport.Rival:
		m.folder = m.ledger.Rival().Generation + 1
		m.raised = loadreport.Incarnation{Generation: m.folder, Boot: m.ledger.Incarnation().Boot}
		m.ledger.SetIncarnation(m.raised)
	case loadreport.Updated:
		m.heardAs[page.Name] = page.Age
		if t.wrong.LastReceivedWins {
			m.meant[page.Name] = meant
		}
		if next := (p.to + 1) % len(t.members); t.members[next].name != page.Name {
			t.send(p.to, next, page.Name)
		}
	}
}

// check holds what members hold against what is true.
func (t *tiny) check() {
	for _, m := range t.members {
		m.ledger.Each(t.now, func(p loadreport.Report) {
			if p.Name == m.name {
				return
			}
			v := tinyVersion{p.Incarnation, p.Sequence}
			if meant, other := m.meant[p.Name]; other {
				v = meant
			}
			at, ok := t.told[p.Name][v]
			switch was, seen := m.seen[p.Name]; {
			case !ok:
				t.broken = fmt.Sprintf("%s holds version %d of %s, which it never told", m.name, v.sequence, p.Name)
			case seen && (v.Incarnation.Compare(was.Incarnation) < 0 || v.Incarnation == was.Incarnation && v.sequence < was.sequence):
				t.broken = fmt.Sprintf(
					"%s goes back from version %d to %d of %s",
					m.name,
					was.sequence,
					v.sequence,
					p.Name,
				)
			case p.Age < t.now-at:
				t.broken = fmt.Sprintf("%s holds what %s told %v ago to be %v old", m.name, p.Name, t.now-at, p.Age)
			}
			m.seen[p.Name] = v
		})
	}
}

// settle lets all exchange digests, again and again: all then hold the same of each member, and of one that goes on
// telling its newest.
func (t *tiny) settle() {
	if t.w.DuplicateName {
		return // of two processes under one name there is no newest telling
	}
	for i, m := range t.members {
		m.stopped, m.inbox = false, nil
		if t.broken == "" {
			t.tell(i)
		}
	}
	t.flying = nil
	for range 3 { // once around, once for who learns of a later life of its own, once more for what that tells
		for i := range t.members {
			for j, o := range t.members {
				if i == j {
					continue
				}
				for _, p := range t.members[i].ledger.MissingFrom(t.now, o.ledger.Digest(t.now)) {
					was := o.ledger.Incarnation()
					if v, other := t.members[i].meant[p.Name]; other {
						p.Sequence, p.Incarnation = v.sequence, v.Incarnation
					}
					t.hear(tinyPacket{i, j, t.members[i].boots, t.clock(i), p})
					if o.ledger.Incarnation() != was {
						t.tell(j)
					}
				}
			}
		}
	}
	t.check()
	for _, m := range t.members {
		for _, o := range t.members {
			p, ok := o.ledger.Get(t.now, m.name, 0)
			if t.broken == "" && !t.wrong.LastReceivedWins &&
				(!ok || p.Incarnation != m.ledger.Incarnation() || p.Sequence != m.sequence) {
				t.broken = fmt.Sprintf(
					"after all was exchanged, version %d of %s in life %v is held as %d in %v",
					m.sequence,
					m.name,
					m.ledger.Incarnation(),
					p.Sequence,
					p.Incarnation,
				)
			}
		}
	}
}

// key names a state: two paths that lead to it have the same ones behind it.
func (t *tiny) key() string {
	var b strings.Builder
	fmt.Fprint(&b, t.now, t.left)
	for _, m := range t.members {
		fmt.Fprint(
			&b,
			"|",
			m.ledger.Incarnation(),
			m.folder,
			m.boots,
			m.sequence,
			m.tells,
			m.stopped,
			m.inbox,
			m.arrived,
			m.raised,
		)
		b.Write(m.seam.Snapshot(nil))
		m.ledger.Each(
			t.now,
			func(p loadreport.Report) { fmt.Fprint(&b, p, m.seen[p.Name], m.meant[p.Name], m.heardAs[p.Name]) },
		)
	}
	fmt.Fprint(&b, t.flying)
	return b.String()
}

// CheckFleet plays all orders of events of a tiny fleet, up to its depth, and stops at the first break: it has the
// fewest moves.
func CheckFleet(ctx context.Context, w FleetModel, wrong emulate.LinkFaults) (f FleetResult, err error) {
	at := func(path []FleetMove) *tiny {
		t := newTiny(&w, wrong)
		for _, m := range path {
			t.play(m)
		}
		return t
	}
	seen := map[string]struct{}{}
	frontier := [][]FleetMove{nil}
	f.Complete = true
	for depth := 0; len(frontier) > 0; depth++ {
		var next [][]FleetMove
		for _, path := range frontier {
			if ctx.Err() != nil {
				return f, ctx.Err()
			}
			moves := at(path).moves()
			if depth == w.MaxDepth {
				f.Complete = f.Complete && len(moves) == 0
				continue
			}
			for _, m := range moves {
				longer := append(append([]FleetMove(nil), path...), m)
				t := at(longer)
				f.Transitions++
				if t.broken == "" {
					end := at(longer)
					if end.settle(); end.broken != "" {
						t.broken = end.broken
					}
				}
				if t.broken != "" {
					f.Violation, f.Trace, f.Complete = t.broken, longer, false
					return f, nil
				}
				if k := t.key(); !has(seen, k) {
					seen[k] = struct{}{}
					next = append(next, longer)
				}
			}
		}
		frontier = next
	}
	f.States = len(seen)
	return f, nil
}

func has(m map[string]struct{}, k string) bool { _, ok := m[k]; return ok }
