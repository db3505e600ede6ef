package scenario

import (
	"bufio"
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/simulation/engine"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

// Place is a destination, or a route that stands apart.
type Place struct {
	Name string
	Dest int
	Spec upstream.Spec
	Seed uint64
}

// Endpoint is a host that is listed at some time of the rehearsal.
type Endpoint struct {
	ID     string
	Place  string
	Dest   int
	Zone   string
	Kind   string
	Weight float64 // as discovery lists it: calls a second that its place takes
	At     string  // comes up at the address of this endpoint, which has gone; "": at one of its own
	Later  bool    // not there from the start
}

// Arrival is a message that a client hands in.
type Arrival struct {
	At       time.Duration
	ID       string // of the first try
	Relay    int    // counted from 0
	Class    int
	Customer int
	Dest     int
	Key      string
	Order    string
	Body     int
	Again    time.Duration // comes again after a refusal, and after this at the soonest; 0: it does not
}

// Op is something that a step does.
type Op string

// The operations. Each names its target.
const (
	OpList   Op = "list"  // an endpoint comes up and is listed
	OpDrain  Op = "drain" // it is listed as draining
	OpGone   Op = "gone"  // it is listed no more
	OpStop   Op = "stop"  // its process ends
	OpFail   Op = "fail"  // of a place: X is the share of calls
	OpShut   Op = "shut"  // of a place, for For
	OpSlow   Op = "slow"  // of a place: X is the factor, 1 ends it
	OpLower  Op = "lower" // of a place: its limit by the factor X, 1 ends it
	OpLose   Op = "lose"  // of a place: the share X of its answers, 0 ends it
	OpMute   Op = "mute"
	OpDown   Op = "down"
	OpCut    Op = "cut"
	OpBack   Op = "back" // ends the outage of a place
	OpHush   Op = "hush" // discovery falls silent to a relay
	OpSpeak  Op = "speak"
	OpDelay  Op = "delay" // discovery is later to a relay by For
	OpTerm   Op = "term"
	OpKill   Op = "kill"
	OpHUP    Op = "hup"
	OpClock  Op = "clock"  // a relay's wall clock is set by For
	OpBegins Op = "begins" // a trouble, by its name
	OpEnds   Op = "ends"
	OpFreeze Op = "freeze" // a relay's process is stopped
	OpThaw   Op = "thaw"   // and goes on

	// Of the link from one relay to another, whose target is as LinkName writes it. Each undoes those before it.
	OpLinkCut   Op = "link-cut"
	OpLinkLose  Op = "link-lose"  // the share X of its datagrams
	OpLinkDelay Op = "link-delay" // all by For
	OpLinkRate  Op = "link-rate"  // X bytes a second
	OpLinkMix   Op = "link-mix"   // the share X of its datagrams comes twice, and the same share is overtaken by others
	OpLinkSound Op = "link-sound"
)

// LinkName is the target of an operation on the link by which one relay is heard by another.
func LinkName(from, to string) string { return from + ">" + to }

// LinkEnds are the two relays of a link's name.
func LinkEnds(name string) (from, to string) {
	from, to, _ = strings.Cut(name, ">")
	return from, to
}

// Cause is why a place is out of service that an operation strikes; "" if it strikes none.
func (o Op) Cause() string {
	switch o {
	case OpFail:
		return eventlog.OutageFailing
	case OpShut:
		return eventlog.OutageSuspended
	case OpMute:
		return eventlog.OutageSilent
	case OpDown, OpCut:
		return eventlog.OutageDown
	}
	return ""
}

// Step is something that happens to the world.
type Step struct {
	At     time.Duration
	Op     Op
	Target string
	X      float64
	For    time.Duration
	Note   string
}

// Plan is all that a rehearsal plays.
type Plan struct {
	File      File
	Seed      uint64
	Places    []Place
	Endpoints []Endpoint
	Arrivals  []Arrival
	Steps     []Step
	Delays    uint64 // seeds how late discovery is
}

// planner draws a plan. Each part has a random stream of its own, so that a change of one leaves the others.
type planner struct {
	*Plan
	serial int             // of endpoints
	ids    map[string]bool // theirs
	busy   map[string]bool // endpoints that a trouble has taken away
}

// Draw makes the plan of a scenario. seed 0 is the scenario's own.
func (f File) Draw(seed uint64) Plan { return f.draw(seed, true) }

// DrawWorld makes the plan without its arrivals, which File.Flow draws as time passes: a large one takes no room.
func (f File) DrawWorld(seed uint64) Plan { return f.draw(seed, false) }

func (f File) draw(seed uint64, arrivals bool) Plan {
	p := planner{Plan: &Plan{File: f, Seed: cmp.Or(seed, f.Seed)}, busy: map[string]bool{}, ids: map[string]bool{}}
	p.Delays = engine.NewRandom(p.Seed, "delays", 0).Uint64()
	p.world()
	for i := range f.Traffic {
		for flow := f.Flow(p.Seed, i); arrivals; {
			group, ok := flow.Next()
			if !ok {
				break
			}
			p.Arrivals = append(p.Arrivals, group...)
		}
	}
	slices.SortStableFunc(p.Arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	ids := engine.NewRandom(p.Seed, "ids", 0)
	for i := range p.Arrivals {
		a := &p.Arrivals[i]
		a.ID = fmt.Sprintf("%016x", ids.Uint64())
		a.Key = fmt.Sprintf("%016x%016x", ids.Uint64(), ids.Uint64())
	}
	for i, t := range f.Troubles {
		p.trouble(i, t)
	}
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return *p.Plan
}

// world lists the places and endpoints that are there from the start.
func (p *planner) world() {
	dest := 0
	seeds := engine.NewRandom(p.Seed, "places", 0)
	for _, d := range p.File.Destinations {
		kind := p.File.Kinds[slices.IndexFunc(p.File.Kinds, func(k Kind) bool { return k.Name == d.Kind })]
		spec := p.File.Spec(kind, d.Rate)
		for range d.Count {
			dest++
			name := fmt.Sprintf("d%d", dest)
			if !kind.Separate {
				p.Places = append(p.Places, Place{name, dest, spec, seeds.Uint64()})
			}
			weight := d.Rate
			if kind.Limit == "none" {
				weight = spec.EndpointCapacity()
				if !kind.Separate {
					weight *= float64(d.Endpoints)
				}
			}
			for i := range d.Endpoints {
				e := p.endpoint(
					Endpoint{Place: name, Dest: dest, Zone: d.Zones[i%len(d.Zones)], Kind: kind.Name, Weight: weight},
				)
				if kind.Separate {
					p.Endpoints[e].Place = p.Endpoints[e].ID
					p.Places = append(p.Places, Place{p.Endpoints[e].ID, dest, spec, seeds.Uint64()})
				}
			}
		}
	}
}

// endpoint adds one and returns its place in the list. Its id tells nothing.
func (p *planner) endpoint(e Endpoint) int {
	p.serial++
	h := sha256.Sum256(fmt.Appendf(nil, "%d/endpoint/%d", p.Seed, p.serial))
	for n := 4; ; n++ {
		// Guards against two of one id: among 280,000 endpoints some ten pairs have the same four bytes.
		if e.ID = "s-" + hex.EncodeToString(h[:n]); !p.ids[e.ID] {
			break
		}
	}
	p.ids[e.ID] = true
	p.Endpoints = append(p.Endpoints, e)
	return len(p.Endpoints) - 1
}

// shape is the share of its rate that traffic has at a part of its span.
func shape(kind string, x float64) float64 {
	if kind == "dinner" {
		return 0.25 + 0.75*math.Sin(math.Pi*x)
	}
	return 1
}

// Flow draws the messages of one traffic of a scenario, as time passes.
type Flow struct {
	file File
	t    Traffic
	draw *rand.Rand
	at   time.Duration
	n    float64   // weights of the destinations, in all
	upTo []float64 // what comes to each relay and those before it, as a share; nil: all get the same
}

// Flow is the n-th traffic, counted from 0, with a plan's seed.
func (f File) Flow(seed uint64, n int) *Flow {
	x := &Flow{file: f, t: f.Traffic[n], draw: engine.NewRandom(seed, "traffic", n), at: f.Traffic[n].From.D()}
	for _, d := range f.Destinations {
		x.n += d.Weight * float64(d.Count)
	}
	x.upTo = f.uneven(seed)
	return x
}

// uneven draws what comes to each relay, lognormal with the mean of an even part, summed up to it; nil for even parts.
// All traffic of a plan has the same.
func (f File) uneven(seed uint64) (upTo []float64) {
	if f.Clients.Uneven == 0 {
		return nil
	}
	draw, total := engine.NewRandom(seed, "relays", 0), 0.0
	sigma := math.Sqrt(math.Log(1 + f.Clients.Uneven*f.Clients.Uneven))
	for range f.Relays {
		total += math.Exp(sigma * draw.NormFloat64())
		upTo = append(upTo, total)
	}
	for i := range upTo {
		upTo[i] /= total
	}
	return upTo
}

// relay draws who a message is handed to.
func (x *Flow) relay() int {
	if x.upTo == nil {
		return x.draw.IntN(x.file.Relays)
	}
	at := x.draw.Float64()
	return min(len(x.upTo)-1, sort.SearchFloat64s(x.upTo, at))
}

// Next is what comes next: one message, or those of a burst. Their ids and keys are not drawn. It is false at the end.
func (x *Flow) Next() (group []Arrival, ok bool) {
	t, draw := x.t, x.draw
	size := 1
	if t.Shape == "bursts" {
		size = t.Burst
	}
	for len(group) == 0 {
		x.at += time.Duration(draw.ExpFloat64() / t.Rate * float64(size) * float64(time.Second))
		if x.at >= t.To.D() {
			return nil, false
		}
		if draw.Float64() > shape(t.Shape, float64(x.at-t.From.D())/float64(t.To-t.From)) {
			continue
		}
		dest := x.destination()
		for i := range size {
			a := Arrival{
				At: x.at + time.Duration(i)*time.Millisecond, Dest: dest, Body: t.Body, Relay: x.relay(),
				Class: pick(
					draw,
					x.file.Classes,
					t.Class,
					func(c Class) (string, float64) { return c.Name, c.Share },
				),
				Customer: pick(
					draw,
					x.file.Customers,
					t.Customer,
					func(c Customer) (string, float64) { return c.Name, c.Share },
				),
			}
			if x.file.Classes[a.Class].Order {
				a.Order = fmt.Sprintf("o%d-%d", a.Dest, draw.IntN(4))
			}
			if draw.Float64() < *x.file.Clients.Again {
				a.Again = time.Duration((0.5 + draw.Float64()) * float64(x.file.Clients.Backoff))
			}
			if a.At < t.To.D() {
				group = append(group, a)
			}
		}
	}
	return group, true
}

// pick draws one by the shares, or finds the one that is named.
func pick[T any](draw *rand.Rand, list []T, name string, of func(T) (string, float64)) int {
	total := 0.0
	for i, x := range list {
		n, share := of(x)
		if name != "" && n == name {
			return i
		}
		total += share
	}
	at := draw.Float64() * total
	for i, x := range list {
		_, share := of(x)
		if at -= share; at < 0 {
			return i
		}
	}
	return len(list) - 1
}

func (x *Flow) destination() int {
	if len(x.t.Destinations) > 0 {
		return x.t.Destinations[x.draw.IntN(len(x.t.Destinations))]
	}
	at := x.draw.Float64() * x.n
	dest := 0
	for _, d := range x.file.Destinations {
		if all := d.Weight * float64(d.Count); at >= all {
			at, dest = at-all, dest+d.Count
			continue
		}
		return dest + min(d.Count, 1+int(at/d.Weight))
	}
	return dest
}

func (p *planner) step(at time.Duration, op Op, target string) *Step {
	p.Steps = append(p.Steps, Step{At: at, Op: op, Target: target})
	return &p.Steps[len(p.Steps)-1]
}

func (p *planner) trouble(n int, t Trouble) {
	draw := engine.NewRandom(p.Seed, "trouble", n)
	name := fmt.Sprintf("%s-%d", t.Kind, n+1)
	begin, end := t.At.D(), (t.At + t.For).D()
	begins := len(p.Steps)
	p.step(begin, OpBegins, name)
	var struck []string
	switch t.Kind {
	case Draining, Gone:
		struck = p.replace(draw, t)
		if t.Kind == Draining {
			end += t.Drain.D()
		}
	case DiscoveryDown, DiscoveryLate, Term, Kill, HUP, ClockStep, Stall:
		struck = p.relays(draw, t)
	case LinkCut, LinkLoss, LinkDelay, LinkThrottle, LinkMix:
		struck = p.links(draw, t)
	default:
		for _, place := range p.struck(draw, t) {
			struck = append(struck, place.Name)
			p.strike(t, place.Name, begin, end)
		}
	}
	p.Steps[begins].Note = strings.Join(struck, " ")
	p.step(max(end, begin+time.Second), OpEnds, name)
}

// strike has a trouble of a place begin and end.
func (p *planner) strike(t Trouble, place string, begin, end time.Duration) {
	switch t.Kind {
	case Fail:
		p.step(begin, OpFail, place).X = t.Calls
	case Shut:
		p.step(begin, OpShut, place).For = end - begin
	case SlowDown:
		p.step(begin, OpSlow, place).X = t.Factor
		p.step(end, OpSlow, place).X = 1
		return
	case Lowered:
		p.step(begin, OpLower, place).X = t.Factor
		p.step(end, OpLower, place).X = 1
		return
	case LostAnswers:
		p.step(begin, OpLose, place).X = t.Calls
		p.step(end, OpLose, place).X = 0
		return
	case Silent:
		p.step(begin, OpMute, place)
	case Death:
		p.step(begin, OpDown, place)
	case Cut:
		p.step(begin, OpCut, place)
	}
	p.step(end, OpBack, place)
}

// struck draws the places that a trouble strikes.
func (p *planner) struck(draw *rand.Rand, t Trouble) []Place {
	var can []Place
	named, inZone := setOf(t.Destinations), map[string]bool{}
	for _, e := range p.Endpoints {
		if t.Zone == "" || e.Zone == t.Zone {
			inZone[e.Place] = true
		}
	}
	for _, x := range p.Places {
		if (len(named) == 0 || named[x.Dest]) && inZone[x.Name] {
			can = append(can, x)
		}
	}
	if t.Share > 0 {
		draw.Shuffle(len(can), func(i, j int) { can[i], can[j] = can[j], can[i] })
		can = can[:int(math.Ceil(t.Share*float64(len(can))))]
	}
	return can
}

func setOf(list []int) map[int]bool {
	set := make(map[int]bool, len(list))
	for _, x := range list {
		set[x] = true
	}
	return set
}

// drawRelays are the relays that a trouble strikes, counted from 1.
func (p *planner) drawRelays(draw *rand.Rand, t Trouble) []int {
	if len(t.Relays) > 0 {
		return t.Relays
	}
	var list []int
	n := p.File.Relays
	for i := range n {
		if t.Zone == "" || p.File.Zones[i%len(p.File.Zones)] == t.Zone { // relays stand in the zones in turn
			list = append(list, i+1)
		}
	}
	n = len(list)
	count := n
	switch {
	case t.Share > 0:
		count = int(math.Ceil(t.Share * float64(n)))
	case t.Group == GroupOne:
		count = 1
	case t.Group == GroupHalf:
		count = max(1, n/2)
	case t.Group == GroupThird:
		count = max(1, n/3)
	case t.Group == GroupAllButOne:
		count = max(1, n-1)
	}
	if count < n {
		draw.Shuffle(n, func(i, j int) { list[i], list[j] = list[j], list[i] })
		list = list[:count]
		slices.Sort(list)
	}
	return list
}

// links has a trouble of the links between the relays struck and all others begin and end.
func (p *planner) links(draw *rand.Rand, t Trouble) (names []string) {
	struck := p.drawRelays(draw, t)
	for _, r := range struck {
		names = append(names, RelayName(r))
		for i := range p.File.Relays {
			other := i + 1
			if other == r || len(struck) < p.File.Relays && slices.Contains(struck, other) {
				continue // of all relays, the links of each to each
			}
			if t.Way != WayIn {
				p.link(t, LinkName(RelayName(r), RelayName(other)))
			}
			if t.Way != WayOut {
				p.link(t, LinkName(RelayName(other), RelayName(r)))
			}
		}
	}
	return names
}

func (p *planner) link(t Trouble, name string) {
	begin := t.At.D()
	switch t.Kind {
	case LinkCut:
		p.step(begin, OpLinkCut, name)
	case LinkLoss:
		p.step(begin, OpLinkLose, name).X = t.Loss
	case LinkDelay:
		p.step(begin, OpLinkDelay, name).For = t.Delay.D()
	case LinkMix:
		p.step(begin, OpLinkMix, name).X = t.Mixed
	case LinkThrottle:
		p.step(begin, OpLinkRate, name).X = float64(t.Rate)
	}
	p.step(begin+t.For.D(), OpLinkSound, name)
}

// relays has a trouble of the relays begin and end.
func (p *planner) relays(draw *rand.Rand, t Trouble) (names []string) {
	for i, r := range p.drawRelays(draw, t) {
		name := RelayName(r)
		names = append(names, name)
		begin := t.At.D() + time.Duration(i)*t.Stagger.D()
		switch t.Kind {
		case DiscoveryDown:
			p.step(begin, OpHush, name)
			p.step(begin+t.For.D(), OpSpeak, name)
		case DiscoveryLate:
			p.step(begin, OpDelay, name).For = t.Delay.D()
			p.step(begin+t.For.D(), OpDelay, name)
		case Term:
			p.step(begin, OpTerm, name)
		case Kill:
			if step := p.step(begin, OpKill, name); t.Folder != FolderKept {
				step.Note = t.Folder
			}
		case Stall:
			p.step(begin, OpFreeze, name)
			p.step(begin+t.For.D(), OpThaw, name)
		case HUP:
			p.step(begin, OpHUP, name)
		case ClockStep:
			p.step(begin, OpClock, name).For = t.By.D()
		}
	}
	return names
}

// replace has endpoints drain or go, batch by batch over the trouble's time, each with a new one in its place if asked
// for. The new one is there before the old one drains, or else where the old one was, after it has gone.
func (p *planner) replace(draw *rand.Rand, t Trouble) (ids []string) {
	var can []int
	named := setOf(t.Destinations)
	for i, e := range p.Endpoints {
		if !p.busy[e.ID] && (len(named) == 0 || named[e.Dest]) && (t.Zone == "" || e.Zone == t.Zone) {
			can = append(can, i)
		}
	}
	draw.Shuffle(len(can), func(i, j int) { can[i], can[j] = can[j], can[i] })
	if t.Share > 0 {
		can = can[:int(math.Ceil(t.Share*float64(len(can))))]
	}
	var specs map[string]upstream.Spec // of the places before
	batches := (len(can) + t.Batch - 1) / t.Batch
	for n, i := range can {
		old := p.Endpoints[i]
		p.busy[old.ID] = true
		ids = append(ids, old.ID)
		at := t.At.D() + time.Duration(n/t.Batch)*t.For.D()/time.Duration(max(1, batches))
		goes := at
		if t.Kind == Draining {
			p.step(at, OpDrain, old.ID)
			goes += t.Drain.D()
		}
		p.step(goes, OpGone, old.ID)
		stops := goes
		if t.Kind == Draining {
			stops += 2 * time.Second // what it took may end
		}
		p.step(stops, OpStop, old.ID)
		if !t.Replace {
			continue
		}
		next := old
		next.Later, next.At = true, ""
		comes := max(0, at-time.Second)
		if draw.Float64() < t.SameAddress {
			next.At, comes = old.ID, stops+100*time.Millisecond
		}
		e := p.endpoint(next)
		if old.Place == old.ID {
			p.Endpoints[e].Place = p.Endpoints[e].ID
			if specs == nil {
				specs = make(map[string]upstream.Spec, len(p.Places))
				for _, x := range p.Places {
					specs[x.Name] = x.Spec
				}
			}
			p.Places = append(p.Places, Place{p.Endpoints[e].ID, old.Dest, specs[old.Place], draw.Uint64()})
		}
		p.step(comes, OpList, p.Endpoints[e].ID)
	}
	return ids
}

// WriteTo writes the plan as text, the same for the same plan.
func (p Plan) WriteTo(w io.Writer) (int64, error) {
	buf := bufio.NewWriter(w)
	n := 0
	line := func(format string, args ...any) {
		k, _ := fmt.Fprintf(buf, format+"\n", args...) // its error stays in buf
		n += k
	}
	line("scenario %s seed %d delays %d", p.File.Name, p.Seed, p.Delays)
	for _, x := range p.Places {
		line("place %s dest %d seed %d %v", x.Name, x.Dest, x.Seed, x.Spec)
	}
	for _, e := range p.Endpoints {
		line("endpoint %+v", e)
	}
	for _, a := range p.Arrivals {
		line("arrival %+v", a)
	}
	for _, s := range p.Steps {
		line("step %+v", s)
	}
	return int64(n), buf.Flush()
}

// Digest names the plan.
func (p Plan) Digest() string {
	h := sha256.New()
	p.WriteTo(h) // a hash takes all
	return hex.EncodeToString(h.Sum(nil)[:8])
}
