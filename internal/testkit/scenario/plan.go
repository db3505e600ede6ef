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
type Service struct {
	Name        string
	Destination int
	Spec        upstream.Spec
	Seed        uint64
}

// Endpoint is a host that is listed at some time of the rehearsal.
type Endpoint struct {
	ID              string
	Service         string
	Destination     int
	Zone            string
	Kind            string
	Weight          float64 // as discovery lists it: calls a second that its place takes
	ReusesAddressOf string  // comes up at the address of this endpoint, which has gone; "": at one of its own
	AddedLater      bool    // not there from the start
}

// Arrival is a message that a client hands in.
type Arrival struct {
	At             time.Duration
	ID             string // of the first try
	Relay          int    // counted from 0
	Class          int
	Customer       int
	Destination    int
	IdempotencyKey string
	OrderingKey    string
	BodySize       int
	RetryDelay     time.Duration // comes again after a refusal, and after this at the soonest; 0: it does not
}

// Op is something that a step does.
type Op string

// The operations. Each names its target.
const (
	OpAddEndpoint      Op = "list"  // an endpoint comes up and is listed
	OpDrainEndpoint    Op = "drain" // it is listed as draining
	OpRemoveEndpoint   Op = "gone"  // it is listed no more
	OpStopEndpoint     Op = "stop"  // its process ends
	OpFailCalls        Op = "fail"  // of a place: X is the share of calls
	OpSuspend          Op = "shut"  // of a place, for For
	OpSlow             Op = "slow"  // of a place: X is the factor, 1 ends it
	OpLowerLimit       Op = "lower" // of a place: its limit by the factor X, 1 ends it
	OpLoseAnswers      Op = "lose"  // of a place: the share X of its answers, 0 ends it
	OpSilence          Op = "mute"
	OpCrash            Op = "down"
	OpCutOff           Op = "cut"
	OpRestore          Op = "back" // ends the outage of a place
	OpSilenceDiscovery Op = "hush" // discovery falls silent to a relay
	OpRestoreDiscovery Op = "speak"
	OpDelayDiscovery   Op = "delay" // discovery is later to a relay by For
	OpTerminate        Op = "term"
	OpKill             Op = "kill"
	OpReload           Op = "hup"
	OpStepClock        Op = "clock"  // a relay's wall clock is set by For
	OpFaultBegins      Op = "begins" // a trouble, by its name
	OpFaultEnds        Op = "ends"
	OpStall            Op = "freeze" // a relay's process is stopped
	OpResume           Op = "thaw"   // and goes on

	// Of the link from one relay to another, whose target is as LinkName writes it. Each undoes those before it.
	OpLinkCut      Op = "link-cut"
	OpLinkLoss     Op = "link-lose"  // the share X of its datagrams
	OpLinkDelay    Op = "link-delay" // all by For
	OpLinkThrottle Op = "link-rate"  // X bytes a second
	OpLinkReorder  Op = "link-mix"   // the share X of its datagrams comes twice, and the same share is overtaken by others
	OpLinkRestore  Op = "link-sound"
)

// LinkName is the target of an operation on the link by which one relay is heard by another.
func LinkName(from, to string) string { return from + ">" + to }

// LinkEnds are the two relays of a link's name.
func LinkEnds(name string) (from, to string) {
	from, to, _ = strings.Cut(name, ">")
	return from, to
}

// Cause is why a place is out of service that an operation strikes; "" if it strikes none.
func (o Op) OutageCause() string {
	switch o {
	case OpFailCalls:
		return eventlog.OutageFailing
	case OpSuspend:
		return eventlog.OutageSuspended
	case OpSilence:
		return eventlog.OutageSilent
	case OpCrash, OpCutOff:
		return eventlog.OutageDown
	}
	return ""
}

// Step is a change of the world, or of a relay.
type Step struct {
	At          time.Duration
	Op          Op
	Target      string
	Value       float64
	Duration    time.Duration
	Note        string      // OpFaultBegins: the targets that the fault strikes
	StateFolder StateFolder // OpKill; "": kept
}

// String returns the text form of an endpoint. The digest of a plan is computed from the text forms of its parts, and
// digests are part of stored records: their keys and the order of these are fixed, whatever the fields are called.
func (e Endpoint) String() string {
	return fmt.Sprintf("{ID:%v Place:%v Dest:%v Zone:%v Kind:%v Weight:%v At:%v Later:%v}",
		e.ID, e.Service, e.Destination, e.Zone, e.Kind, e.Weight, e.ReusesAddressOf, e.AddedLater)
}

// String returns the text form of an arrival; see Endpoint.String.
func (a Arrival) String() string {
	return fmt.Sprintf("{At:%v ID:%v Relay:%v Class:%v Customer:%v Dest:%v Key:%v Order:%v Body:%v Again:%v}",
		a.At, a.ID, a.Relay, a.Class, a.Customer, a.Destination, a.IdempotencyKey, a.OrderingKey, a.BodySize, a.RetryDelay)
}

// String returns the text form of a step; see Endpoint.String.
func (s Step) String() string {
	note := cmp.Or(s.Note, string(s.StateFolder))
	return fmt.Sprintf("{At:%v Op:%v Target:%v X:%v For:%v Note:%v}", s.At, s.Op, s.Target, s.Value, s.Duration, note)
}

// Plan is all that a rehearsal plays.
type Plan struct {
	File          File
	Seed          uint64
	Services      []Service
	Endpoints     []Endpoint
	Arrivals      []Arrival
	Steps         []Step
	DiscoverySeed uint64 // seeds how late discovery is
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
func (f File) DrawWithoutArrivals(seed uint64) Plan { return f.draw(seed, false) }

func (f File) draw(seed uint64, arrivals bool) Plan {
	p := planner{Plan: &Plan{File: f, Seed: cmp.Or(seed, f.Seed)}, busy: map[string]bool{}, ids: map[string]bool{}}
	p.DiscoverySeed = engine.NewRandom(p.Seed, "delays", 0).Uint64()
	p.world()
	for i := range f.Traffic {
		for flow := f.NewTrafficGenerator(p.Seed, i); arrivals; {
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
		a.IdempotencyKey = fmt.Sprintf("%016x%016x", ids.Uint64(), ids.Uint64())
	}
	for i, t := range f.Faults {
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
		kind := p.File.DestinationKinds[slices.IndexFunc(p.File.DestinationKinds, func(k DestinationKind) bool { return k.Name == d.Kind })]
		spec := p.File.UpstreamSpec(kind, d.LimitRate)
		for range d.Count {
			dest++
			name := fmt.Sprintf("d%d", dest)
			if !kind.SeparateEndpoints {
				p.Services = append(p.Services, Service{name, dest, spec, seeds.Uint64()})
			}
			weight := d.LimitRate
			if kind.Limit == upstream.NoLimit {
				weight = spec.EndpointCapacity()
				if !kind.SeparateEndpoints {
					weight *= float64(d.Endpoints)
				}
			}
			for i := range d.Endpoints {
				e := p.endpoint(
					Endpoint{Service: name, Destination: dest, Zone: d.Zones[i%len(d.Zones)], Kind: kind.Name, Weight: weight},
				)
				if kind.SeparateEndpoints {
					p.Endpoints[e].Service = p.Endpoints[e].ID
					p.Services = append(p.Services, Service{p.Endpoints[e].ID, dest, spec, seeds.Uint64()})
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
func shape(kind TrafficShape, x float64) float64 {
	if kind == ShapeDinner {
		return 0.25 + 0.75*math.Sin(math.Pi*x)
	}
	return 1
}

// Flow draws the messages of one traffic of a scenario, as time passes.
type TrafficGenerator struct {
	file File
	t    Traffic
	draw *rand.Rand
	at   time.Duration
	n    float64   // weights of the destinations, in all
	upTo []float64 // what comes to each relay and those before it, as a share; nil: all get the same
}

// Flow is the n-th traffic, counted from 0, with a plan's seed.
func (f File) NewTrafficGenerator(seed uint64, n int) *TrafficGenerator {
	x := &TrafficGenerator{file: f, t: f.Traffic[n], draw: engine.NewRandom(seed, "traffic", n), at: f.Traffic[n].From.AsDuration()}
	for _, d := range f.Destinations {
		x.n += d.TrafficWeight * float64(d.Count)
	}
	x.upTo = f.uneven(seed)
	return x
}

// uneven draws what comes to each relay, lognormal with the mean of an even part, summed up to it; nil for even parts.
// All traffic of a plan has the same.
func (f File) uneven(seed uint64) (upTo []float64) {
	if f.Clients.RelayVariation == 0 {
		return nil
	}
	draw, total := engine.NewRandom(seed, "relays", 0), 0.0
	sigma := math.Sqrt(math.Log(1 + f.Clients.RelayVariation*f.Clients.RelayVariation))
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
func (x *TrafficGenerator) relay() int {
	if x.upTo == nil {
		return x.draw.IntN(x.file.Relays)
	}
	at := x.draw.Float64()
	return min(len(x.upTo)-1, sort.SearchFloat64s(x.upTo, at))
}

// Next is what comes next: one message, or those of a burst. Their ids and keys are not drawn. It is false at the end.
func (x *TrafficGenerator) Next() (group []Arrival, ok bool) {
	t, draw := x.t, x.draw
	size := 1
	if t.Shape == ShapeBursts {
		size = t.BurstSize
	}
	for len(group) == 0 {
		x.at += time.Duration(draw.ExpFloat64() / t.Rate * float64(size) * float64(time.Second))
		if x.at >= t.To.AsDuration() {
			return nil, false
		}
		if draw.Float64() > shape(t.Shape, float64(x.at-t.From.AsDuration())/float64(t.To-t.From)) {
			continue
		}
		dest := x.destination()
		for i := range size {
			a := Arrival{
				At: x.at + time.Duration(i)*time.Millisecond, Destination: dest, BodySize: t.BodySize, Relay: x.relay(),
				Class: pick(
					draw,
					x.file.Classes,
					t.Class,
					func(c Class) (string, float64) { return c.Name, c.TrafficShare },
				),
				Customer: pick(
					draw,
					x.file.Customers,
					t.Customer,
					func(c Customer) (string, float64) { return c.Name, c.TrafficShare },
				),
			}
			if x.file.Classes[a.Class].Ordered {
				a.OrderingKey = fmt.Sprintf("o%d-%d", a.Destination, draw.IntN(4))
			}
			if draw.Float64() < *x.file.Clients.RetryRatio {
				a.RetryDelay = time.Duration((0.5 + draw.Float64()) * float64(x.file.Clients.RetryBackoff))
			}
			if a.At < t.To.AsDuration() {
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

func (x *TrafficGenerator) destination() int {
	if len(x.t.Destinations) > 0 {
		return x.t.Destinations[x.draw.IntN(len(x.t.Destinations))]
	}
	at := x.draw.Float64() * x.n
	dest := 0
	for _, d := range x.file.Destinations {
		if all := d.TrafficWeight * float64(d.Count); at >= all {
			at, dest = at-all, dest+d.Count
			continue
		}
		return dest + min(d.Count, 1+int(at/d.TrafficWeight))
	}
	return dest
}

func (p *planner) step(at time.Duration, op Op, target string) *Step {
	p.Steps = append(p.Steps, Step{At: at, Op: op, Target: target})
	return &p.Steps[len(p.Steps)-1]
}

func (p *planner) trouble(n int, t Fault) {
	draw := engine.NewRandom(p.Seed, "trouble", n)
	name := fmt.Sprintf("%s-%d", t.Kind, n+1)
	begin, end := t.Start.AsDuration(), (t.Start + t.Duration).AsDuration()
	begins := len(p.Steps)
	p.step(begin, OpFaultBegins, name)
	var struck []string
	switch t.Kind {
	case FaultDrain, FaultRemove:
		struck = p.replace(draw, t)
		if t.Kind == FaultDrain {
			end += t.DrainTime.AsDuration()
		}
	case FaultDiscoveryDown, FaultDiscoveryDelay, FaultTerminate, FaultKill, FaultReload, FaultClockStep, FaultStall:
		struck = p.relays(draw, t)
	case FaultLinkCut, FaultLinkLoss, FaultLinkDelay, FaultLinkThrottle, FaultLinkReorder:
		struck = p.links(draw, t)
	default:
		for _, place := range p.struck(draw, t) {
			struck = append(struck, place.Name)
			p.strike(t, place.Name, begin, end)
		}
	}
	p.Steps[begins].Note = strings.Join(struck, " ")
	p.step(max(end, begin+time.Second), OpFaultEnds, name)
}

// strike has a trouble of a place begin and end.
func (p *planner) strike(t Fault, place string, begin, end time.Duration) {
	switch t.Kind {
	case FaultFailCalls:
		p.step(begin, OpFailCalls, place).Value = t.CallRatio
	case FaultSuspend:
		p.step(begin, OpSuspend, place).Duration = end - begin
	case FaultSlow:
		p.step(begin, OpSlow, place).Value = t.Factor
		p.step(end, OpSlow, place).Value = 1
		return
	case FaultLowerLimit:
		p.step(begin, OpLowerLimit, place).Value = t.Factor
		p.step(end, OpLowerLimit, place).Value = 1
		return
	case FaultLoseAnswers:
		p.step(begin, OpLoseAnswers, place).Value = t.CallRatio
		p.step(end, OpLoseAnswers, place).Value = 0
		return
	case FaultSilence:
		p.step(begin, OpSilence, place)
	case FaultCrash:
		p.step(begin, OpCrash, place)
	case FaultCutOff:
		p.step(begin, OpCutOff, place)
	}
	p.step(end, OpRestore, place)
}

// struck draws the places that a trouble strikes.
func (p *planner) struck(draw *rand.Rand, t Fault) []Service {
	var can []Service
	named, inZone := setOf(t.Destinations), map[string]bool{}
	for _, e := range p.Endpoints {
		if t.Zone == "" || e.Zone == t.Zone {
			inZone[e.Service] = true
		}
	}
	for _, x := range p.Services {
		if (len(named) == 0 || named[x.Destination]) && inZone[x.Name] {
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
func (p *planner) drawRelays(draw *rand.Rand, t Fault) []int {
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
	case t.RelayGroup == GroupOne:
		count = 1
	case t.RelayGroup == GroupHalf:
		count = max(1, n/2)
	case t.RelayGroup == GroupThird:
		count = max(1, n/3)
	case t.RelayGroup == GroupAllButOne:
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
func (p *planner) links(draw *rand.Rand, t Fault) (names []string) {
	struck := p.drawRelays(draw, t)
	for _, r := range struck {
		names = append(names, RelayName(r))
		for i := range p.File.Relays {
			other := i + 1
			if other == r || len(struck) < p.File.Relays && slices.Contains(struck, other) {
				continue // of all relays, the links of each to each
			}
			if t.Direction != DirectionIn {
				p.link(t, LinkName(RelayName(r), RelayName(other)))
			}
			if t.Direction != DirectionOut {
				p.link(t, LinkName(RelayName(other), RelayName(r)))
			}
		}
	}
	return names
}

func (p *planner) link(t Fault, name string) {
	begin := t.Start.AsDuration()
	switch t.Kind {
	case FaultLinkCut:
		p.step(begin, OpLinkCut, name)
	case FaultLinkLoss:
		p.step(begin, OpLinkLoss, name).Value = t.LossRatio
	case FaultLinkDelay:
		p.step(begin, OpLinkDelay, name).Duration = t.Delay.AsDuration()
	case FaultLinkReorder:
		p.step(begin, OpLinkReorder, name).Value = t.ReorderRatio
	case FaultLinkThrottle:
		p.step(begin, OpLinkThrottle, name).Value = float64(t.BytesPerSecond)
	}
	p.step(begin+t.Duration.AsDuration(), OpLinkRestore, name)
}

// relays has a trouble of the relays begin and end.
func (p *planner) relays(draw *rand.Rand, t Fault) (names []string) {
	for i, r := range p.drawRelays(draw, t) {
		name := RelayName(r)
		names = append(names, name)
		begin := t.Start.AsDuration() + time.Duration(i)*t.Stagger.AsDuration()
		switch t.Kind {
		case FaultDiscoveryDown:
			p.step(begin, OpSilenceDiscovery, name)
			p.step(begin+t.Duration.AsDuration(), OpRestoreDiscovery, name)
		case FaultDiscoveryDelay:
			p.step(begin, OpDelayDiscovery, name).Duration = t.Delay.AsDuration()
			p.step(begin+t.Duration.AsDuration(), OpDelayDiscovery, name)
		case FaultTerminate:
			p.step(begin, OpTerminate, name)
		case FaultKill:
			if step := p.step(begin, OpKill, name); t.StateFolder != StateFolderKept {
				step.StateFolder = t.StateFolder
			}
		case FaultStall:
			p.step(begin, OpStall, name)
			p.step(begin+t.Duration.AsDuration(), OpResume, name)
		case FaultReload:
			p.step(begin, OpReload, name)
		case FaultClockStep:
			p.step(begin, OpStepClock, name).Duration = t.ClockOffset.AsDuration()
		}
	}
	return names
}

// replace has endpoints drain or go, batch by batch over the trouble's time, each with a new one in its place if asked
// for. The new one is there before the old one drains, or else where the old one was, after it has gone.
func (p *planner) replace(draw *rand.Rand, t Fault) (ids []string) {
	var can []int
	named := setOf(t.Destinations)
	for i, e := range p.Endpoints {
		if !p.busy[e.ID] && (len(named) == 0 || named[e.Destination]) && (t.Zone == "" || e.Zone == t.Zone) {
			can = append(can, i)
		}
	}
	draw.Shuffle(len(can), func(i, j int) { can[i], can[j] = can[j], can[i] })
	if t.Share > 0 {
		can = can[:int(math.Ceil(t.Share*float64(len(can))))]
	}
	var specs map[string]upstream.Spec // of the places before
	batches := (len(can) + t.BatchSize - 1) / t.BatchSize
	for n, i := range can {
		old := p.Endpoints[i]
		p.busy[old.ID] = true
		ids = append(ids, old.ID)
		at := t.Start.AsDuration() + time.Duration(n/t.BatchSize)*t.Duration.AsDuration()/time.Duration(max(1, batches))
		goes := at
		if t.Kind == FaultDrain {
			p.step(at, OpDrainEndpoint, old.ID)
			goes += t.DrainTime.AsDuration()
		}
		p.step(goes, OpRemoveEndpoint, old.ID)
		stops := goes
		if t.Kind == FaultDrain {
			stops += 2 * time.Second // what it took may end
		}
		p.step(stops, OpStopEndpoint, old.ID)
		if !t.ReplaceEndpoints {
			continue
		}
		next := old
		next.AddedLater, next.ReusesAddressOf = true, ""
		comes := max(0, at-time.Second)
		if draw.Float64() < t.SameAddressRatio {
			next.ReusesAddressOf, comes = old.ID, stops+100*time.Millisecond
		}
		e := p.endpoint(next)
		if old.Service == old.ID {
			p.Endpoints[e].Service = p.Endpoints[e].ID
			if specs == nil {
				specs = make(map[string]upstream.Spec, len(p.Services))
				for _, x := range p.Services {
					specs[x.Name] = x.Spec
				}
			}
			p.Services = append(p.Services, Service{p.Endpoints[e].ID, old.Destination, specs[old.Service], draw.Uint64()})
		}
		p.step(comes, OpAddEndpoint, p.Endpoints[e].ID)
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
	line("scenario %s seed %d delays %d", p.File.Name, p.Seed, p.DiscoverySeed)
	for _, x := range p.Services {
		line("place %s dest %d seed %d %v", x.Name, x.Destination, x.Seed, x.Spec)
	}
	for _, e := range p.Endpoints {
		line("endpoint %v", e)
	}
	for _, a := range p.Arrivals {
		line("arrival %v", a)
	}
	for _, s := range p.Steps {
		line("step %v", s)
	}
	return int64(n), buf.Flush()
}

// Digest names the plan.
func (p Plan) Digest() string {
	h := sha256.New()
	p.WriteTo(h) // a hash takes all
	return hex.EncodeToString(h.Sum(nil)[:8])
}
