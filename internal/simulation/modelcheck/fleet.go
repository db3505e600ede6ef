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

type datagram struct {
	from, to    int
	senderBoot  uint32
	senderClock time.Duration
	report      loadreport.Report
}

// tinyVersion is what a page truly is.
type reportVersion struct {
	loadreport.Incarnation
	sequence uint64
}

type memberState struct {
	name              string
	agent             *agent.Agent
	raisedIncarnation loadreport.Incarnation // that the seam has not been told of
	table             *loadreport.Table
	transit           loadreport.TransitEstimator
	generation        uint64 // incarnation
	boot              uint32
	sequence          uint64
	publishes         int
	paused            bool
	inbox             []datagram
	lastVersions      map[string]reportVersion
	receivedCount     uint64
	trueVersions      map[string]reportVersion
	receivedAges      map[string]time.Duration
}

// tiny is a fleet at one point of a path.
type fleetState struct {
	model     *FleetModel
	faults    emulate.LinkFaults
	now       time.Duration
	members   []*memberState
	inFlight  []datagram
	published map[string]map[reportVersion]time.Duration
	remaining FleetModel // what may still happen
	violation string
}

// tellAfter is what passes before each telling: a seam tells no page more often.
const publishInterval = 600 * time.Millisecond

func memberName(i int) string { return fmt.Sprintf("m%d", i) }

func newFleetState(w *FleetModel, wrong emulate.LinkFaults) *fleetState {
	t := &fleetState{model: w, faults: wrong, now: time.Second, remaining: *w, published: map[string]map[reportVersion]time.Duration{}}
	for i := range w.Members {
		t.members = append(t.members, &memberState{name: memberName(i)})
		t.published[memberName(i)] = map[reportVersion]time.Duration{}
	}
	if w.DuplicateName {
		t.members = append(t.members, &memberState{name: memberName(0)})
	}
	for i := range t.members {
		t.boot(i)
	}
	for i := range t.members {
		t.calibrateClocks(i)
	}
	return t
}

// clock is a member's own, far from the others'.
func (t *fleetState) clock(i int) time.Duration { return t.now + time.Duration(i)*time.Hour }

func (t *fleetState) boot(i int) {
	m := t.members[i]
	m.generation++
	m.boot++
	var all []string
	for j := range t.model.Members {
		all = append(all, memberName(j))
	}
	life := loadreport.Incarnation{Generation: m.generation, Boot: m.boot + uint32(100*i)}
	*m = memberState{
		name: m.name, table: loadreport.New(m.name, life, all), generation: m.generation, boot: m.boot, publishes: m.publishes, lastVersions: map[string]reportVersion{},
		trueVersions: map[string]reportVersion{}, receivedAges: map[string]time.Duration{},
		agent: agent.New(
			agent.Settings{
				Self:             m.name,
				Incarnation:      life,
				Members:          all,
				DestinationKinds: []policy.DestinationKind{{MaxBatch: 1}},
			},
		),
	}
	m.agent.Step(
		t.now,
		agent.Input{
			Events: []policy.Event{
				{Kind: policy.EndpointSnapshot, Endpoints: []policy.Endpoint{{ID: "r", Weight: 10, InService: true}}},
			},
		},
	)
	m.table.SetLimits(loadreport.Limits{0: {"": 10}})
}

// process names a process, of which two may have one member's name.
func processName(i int) string { return fmt.Sprintf("p%d", i) }

// askAll has a member and all others know of each other's clocks. What is asked of one that is stopped is answered when
// it goes on.
func (t *fleetState) calibrateClocks(i int) {
	for j, o := range t.members {
		t.members[i].transit.Calibrate(processName(j), o.boot, t.clock(j), t.now, t.now)
		o.transit.Calibrate(processName(i), t.members[i].boot, t.clock(i), t.now, t.now)
	}
}

// moves are those that may be made.
func (t *fleetState) enabledMoves() (all []FleetMove) {
	for i, m := range t.members {
		if m.publishes < t.model.MaxPublishes && !m.paused {
			all = append(all, FleetMove{Kind: "tell", Member: i})
		}
		if t.remaining.MaxForwards > 0 && !m.paused {
			all = append(all, FleetMove{Kind: "retell", Member: i})
		}
		if t.remaining.MaxRestarts > 0 {
			all = append(all, FleetMove{Kind: "restart", Member: i}, FleetMove{Kind: "forget", Member: i})
		}
		if t.remaining.MaxPauses > 0 || m.paused {
			all = append(all, FleetMove{Kind: "stop", Member: i})
		}
	}
	for k := range t.inFlight {
		all = append(all, FleetMove{Kind: "deliver", Packet: k})
		if t.remaining.MaxLosses > 0 {
			all = append(all, FleetMove{Kind: "lose", Packet: k})
		}
		if t.remaining.MaxDuplicates > 0 {
			all = append(all, FleetMove{Kind: "double", Packet: k})
		}
	}
	if t.remaining.MaxTimeSteps > 0 {
		all = append(all, FleetMove{Kind: "pass"})
	}
	return all
}

// play makes a move.
func (t *fleetState) apply(v FleetMove) {
	m := t.members[v.Member]
	switch v.Kind {
	case "tell":
		m.publishes++
		t.publish(v.Member)
	case "retell":
		t.remaining.MaxForwards--
		n := len(t.members)
		for j := range t.model.Members {
			to := (v.Member + 1) % n
			if t.members[to].name == memberName(j) {
				to = (v.Member + 2) % n
			}
			if m.name != memberName(j) {
				t.send(v.Member, to, memberName(j)) // of each other to one that is not that one
			}
		}
	case "restart", "forget":
		t.remaining.MaxRestarts--
		if v.Kind == "forget" {
			m.generation = 0
		}
		t.boot(v.Member)
		t.calibrateClocks(v.Member)
	case "stop":
		if m.paused = !m.paused; m.paused {
			t.remaining.MaxPauses--
			break
		}
		for _, p := range m.inbox {
			t.receive(p)
		}
		m.inbox = nil
	case "pass":
		t.remaining.MaxTimeSteps--
		t.now += t.model.TimeStep
	case "deliver", "lose", "double":
		p := t.inFlight[v.Packet]
		if v.Kind == "double" {
			t.remaining.MaxDuplicates--
		} else {
			t.inFlight = append(append([]datagram(nil), t.inFlight[:v.Packet]...), t.inFlight[v.Packet+1:]...)
		}
		switch {
		case v.Kind == "lose":
			t.remaining.MaxLosses--
		case t.members[p.to].paused:
			t.members[p.to].inbox = append(t.members[p.to].inbox, p)
		default:
			t.receive(p)
		}
	}
	t.checkTables()
}

// tell has a message come to a member, and its seam tell of it, to one other: who hears it tells it on.
func (t *fleetState) publish(i int) {
	m := t.members[i]
	t.now += publishInterval
	id := policy.MessageID(t.now / time.Millisecond)
	told := m.agent.Step(t.now, agent.Input{
		Incarnation: m.raisedIncarnation, Events: []policy.Event{{Kind: policy.MessageAccepted, MessageID: id}, {Kind: policy.AttemptFinished, MessageID: id, Endpoint: "r", MessageEnded: true}},
		Views: func() []policy.EndpointView { return nil },
	})
	m.raisedIncarnation = loadreport.Incarnation{}
	if len(told.Published) != 1 || m.table.Restore(t.now, told.Published[0]) != loadreport.Updated {
		t.violation = fmt.Sprintf("%s does not tell: %v", m.name, told)
		return
	}
	p := told.Published[0]
	m.sequence = p.Sequence
	t.published[p.Name][reportVersion{p.Incarnation, p.Sequence}] = t.now
	t.send(i, (i+1)%len(t.members), p.Name)
}

func (t *fleetState) send(from, to int, name string) {
	m := t.members[from]
	p, ok := m.table.Get(t.now, name, 0)
	if !ok {
		return
	}
	if v, other := m.trueVersions[name]; other {
		p.Sequence, p.Incarnation = v.sequence, v.Incarnation
	}
	if age, heard := m.receivedAges[name]; heard && t.faults.FrozenAges {
		p.Age = age
	}
	t.inFlight = append(t.inFlight, datagram{from, to, m.boot, t.clock(from), p})
}

func (t *fleetState) receive(p datagram) {
	m := t.members[p.to]
	held, known, _ := m.transit.Estimate(processName(p.from), p.senderBoot, p.senderClock, t.now)
	if !known {
		return // put aside until it is; here never
	}
	if t.faults.NoTransitTime {
		held = 0
	}
	page := p.report
	page.Age += held
	meant := reportVersion{page.Incarnation, page.Sequence}
	if t.faults.LastReceivedWins {
		m.receivedCount++
		page.Sequence = m.receivedCount
	}
	out, _ := m.table.Merge(t.now, page)
	switch out {
	case loadreport.Rival:
		m.generation = m.table.Rival().Generation + 1
		m.raisedIncarnation = loadreport.Incarnation{Generation: m.generation, Boot: m.table.Incarnation().Boot}
		m.table.SetIncarnation(m.raisedIncarnation)
	case loadreport.Updated:
		m.receivedAges[page.Name] = page.Age
		if t.faults.LastReceivedWins {
			m.trueVersions[page.Name] = meant
		}
		if next := (p.to + 1) % len(t.members); t.members[next].name != page.Name {
			t.send(p.to, next, page.Name)
		}
	}
}

// check holds what members hold against what is true.
func (t *fleetState) checkTables() {
	for _, m := range t.members {
		m.table.Each(t.now, func(p loadreport.Report) {
			if p.Name == m.name {
				return
			}
			v := reportVersion{p.Incarnation, p.Sequence}
			if meant, other := m.trueVersions[p.Name]; other {
				v = meant
			}
			at, ok := t.published[p.Name][v]
			switch was, seen := m.lastVersions[p.Name]; {
			case !ok:
				t.violation = fmt.Sprintf("%s holds version %d of %s, which it never told", m.name, v.sequence, p.Name)
			case seen && (v.Incarnation.Compare(was.Incarnation) < 0 || v.Incarnation == was.Incarnation && v.sequence < was.sequence):
				t.violation = fmt.Sprintf(
					"%s goes back from version %d to %d of %s",
					m.name,
					was.sequence,
					v.sequence,
					p.Name,
				)
			case p.Age < t.now-at:
				t.violation = fmt.Sprintf("%s holds what %s told %v ago to be %v old", m.name, p.Name, t.now-at, p.Age)
			}
			m.lastVersions[p.Name] = v
		})
	}
}

// settle lets all exchange digests, again and again: all then hold the same of each member, and of one that goes on
// telling its newest.
func (t *fleetState) synchronize() {
	if t.model.DuplicateName {
		return // of two processes under one name there is no newest telling
	}
	for i, m := range t.members {
		m.paused, m.inbox = false, nil
		if t.violation == "" {
			t.publish(i)
		}
	}
	t.inFlight = nil
	for range 3 { // once around, once for who learns of a later life of its own, once more for what that tells
		for i := range t.members {
			for j, o := range t.members {
				if i == j {
					continue
				}
				for _, p := range t.members[i].table.MissingFrom(t.now, o.table.Digest(t.now)) {
					was := o.table.Incarnation()
					if v, other := t.members[i].trueVersions[p.Name]; other {
						p.Sequence, p.Incarnation = v.sequence, v.Incarnation
					}
					t.receive(datagram{i, j, t.members[i].boot, t.clock(i), p})
					if o.table.Incarnation() != was {
						t.publish(j)
					}
				}
			}
		}
	}
	t.checkTables()
	for _, m := range t.members {
		for _, o := range t.members {
			p, ok := o.table.Get(t.now, m.name, 0)
			if t.violation == "" && !t.faults.LastReceivedWins &&
				(!ok || p.Incarnation != m.table.Incarnation() || p.Sequence != m.sequence) {
				t.violation = fmt.Sprintf(
					"after all was exchanged, version %d of %s in life %v is held as %d in %v",
					m.sequence,
					m.name,
					m.table.Incarnation(),
					p.Sequence,
					p.Incarnation,
				)
			}
		}
	}
}

// key names a state: two paths that lead to it have the same ones behind it.
func (t *fleetState) key() string {
	var b strings.Builder
	fmt.Fprint(&b, t.now, t.remaining)
	for _, m := range t.members {
		fmt.Fprint(
			&b,
			"|",
			m.table.Incarnation(),
			m.generation,
			m.boot,
			m.sequence,
			m.publishes,
			m.paused,
			m.inbox,
			m.receivedCount,
			m.raisedIncarnation,
		)
		b.Write(m.agent.Snapshot(nil))
		m.table.Each(
			t.now,
			func(p loadreport.Report) {
				fmt.Fprint(&b, p, m.lastVersions[p.Name], m.trueVersions[p.Name], m.receivedAges[p.Name])
			},
		)
	}
	fmt.Fprint(&b, t.inFlight)
	return b.String()
}

// CheckFleet plays all orders of events of a tiny fleet, up to its depth, and stops at the first break: it has the
// fewest moves.
func CheckFleet(ctx context.Context, w FleetModel, wrong emulate.LinkFaults) (f FleetResult, err error) {
	at := func(path []FleetMove) *fleetState {
		t := newFleetState(&w, wrong)
		for _, m := range path {
			t.apply(m)
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
			moves := at(path).enabledMoves()
			if depth == w.MaxDepth {
				f.Complete = f.Complete && len(moves) == 0
				continue
			}
			for _, m := range moves {
				longer := append(append([]FleetMove(nil), path...), m)
				t := at(longer)
				f.Transitions++
				if t.violation == "" {
					end := at(longer)
					if end.synchronize(); end.violation != "" {
						t.violation = end.violation
					}
				}
				if t.violation != "" {
					f.Violation, f.Trace, f.Complete = t.violation, longer, false
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
