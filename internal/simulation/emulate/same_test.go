package emulate

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
	"cherrytrestle.example/cherrytrestle/policy"
)

var recordSame = flag.Bool("record-same", false, "write the hashes of TestSameAsBefore anew")

const sameFile = "testdata/same.json"

// scripted decides by a few plain rules, so that what it is told and what becomes of its calls show in a record
// whatever the decisions of package policy are: a message goes over the routes of its destination in turn.
type scripted struct {
	set    policy.Settings
	seed   uint64
	routes map[int][]policy.Endpoint // by destination, sorted by route
	held   map[policy.MessageID]*scriptedMessage
}

type scriptedMessage struct {
	dest, sends int
	out         bool
	due, waits  time.Duration
}

func newScripted(set policy.Settings, seed uint64) DecisionEngine {
	return &scripted{set: set, seed: seed, routes: map[int][]policy.Endpoint{}, held: map[policy.MessageID]*scriptedMessage{}}
}

func (s *scripted) list(l policy.Endpoint) {
	for d, routes := range s.routes {
		s.routes[d] = slices.DeleteFunc(routes, func(x policy.Endpoint) bool { return x.ID == l.ID })
	}
	if !l.Removed {
		s.routes[int(l.Destination)] = append(s.routes[int(l.Destination)], l)
		slices.SortFunc(s.routes[int(l.Destination)], func(a, b policy.Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
}

func (s *scripted) Step(now time.Duration, events []policy.Event) (acts []policy.Action) {
	for _, e := range events {
		switch e.Kind {
		case policy.EndpointSnapshot:
			clear(s.routes)
			for _, l := range e.Endpoints {
				s.list(l)
			}
		case policy.EndpointDelta:
			for _, l := range e.Endpoints {
				s.list(l)
			}
		case policy.MessageAccepted:
			m := &scriptedMessage{dest: int(e.Destination), due: now + e.TimeLeft}
			if e.Recovered != nil {
				m.sends = e.Recovered.Attempts
			}
			s.held[e.MessageID] = m
		case policy.MessageCancelled:
			delete(s.held, e.MessageID)
		case policy.AttemptFinished:
			if m := s.held[e.MessageID]; e.MessageEnded {
				delete(s.held, e.MessageID)
			} else if m != nil {
				m.out, m.waits = false, now+max(e.RetryAfter, 50*time.Millisecond)
			}
			if e.Outcome == policy.Overloaded {
				acts = append(acts, policy.Action{Kind: policy.CloseIdle, Endpoint: e.Endpoint})
			}
		}
	}
	wake := time.Duration(0)
	for _, id := range slices.Sorted(maps.Keys(s.held)) {
		m := s.held[id]
		open := slices.DeleteFunc(slices.Clone(s.routes[m.dest]), func(l policy.Endpoint) bool { return !l.InService })
		switch {
		case m.out:
		case now >= m.due || s.set.MaxAttempts > 0 && m.sends >= s.set.MaxAttempts:
			acts = append(
				acts,
				policy.Action{
					Kind:      []policy.ActionKind{policy.Fail, policy.Reject}[id%2],
					MessageID: id,
					Delay:     time.Second,
				},
			)
			delete(s.held, id)
		case len(open) > 0 && now >= m.waits:
			n := (s.seed + uint64(id) + uint64(m.sends)) % uint64(len(open))
			acts = append(
				acts,
				policy.Action{
					Kind:      policy.Send,
					MessageID: id,
					Endpoint:  open[n].ID,
					TimeoutAt: min(m.due, now+2*time.Second),
				},
			)
			m.out = true
			m.sends++
		default:
			at := min(m.due, max(m.waits, now+200*time.Millisecond))
			if wake == 0 || at < wake {
				wake = at
			}
		}
	}
	if wake > 0 {
		acts = append(acts, policy.Action{Kind: policy.SetTimer, Delay: max(wake-now, time.Millisecond)})
	}
	return acts
}

func (s *scripted) StillAllowed(route string, _ []policy.MessageID, _ time.Duration) bool {
	for _, routes := range s.routes {
		for _, l := range routes {
			if l.ID == route {
				return l.InService
			}
		}
	}
	return false
}

// sameWorld is a small world whose record must stay as it was.
type sameWorld struct {
	name string
	plan scenario.Plan
	opts Options
	then func(w *World)
}

// sameWorlds are the scenarios that are shipped, cut short, and random plans on them with other networks, broken
// relays, new endpoints and processes and machines that end.
func sameWorlds(t *testing.T) (all []sameWorld) {
	d := func(x time.Duration) scenario.Duration { return scenario.Duration(x) }
	short := func(f scenario.File) scenario.File {
		f = f.Clone()
		f.Length = min(f.Length, d(25*time.Second))
		f.Traffic = slices.DeleteFunc(f.Traffic, func(t scenario.Traffic) bool { return t.From >= f.Length })
		for i := range f.Traffic {
			f.Traffic[i].To = min(f.Traffic[i].To, f.Length)
		}
		f.Faults = slices.DeleteFunc(f.Faults, func(t scenario.Fault) bool { return t.Start >= f.Length })
		return f
	}
	for _, name := range scenario.Shipped() {
		f := short(loaded(t, name))
		for seed := range uint64(2) {
			all = append(all, sameWorld{name: fmt.Sprintf("%s %d", name, seed+1), plan: f.Draw(seed + 1)})
		}
	}
	names := scenario.Shipped()
	mutants := Mutants()
	for seed := range uint64(24) {
		rng := rand.New(rand.NewPCG(seed, 77))
		f := short(loaded(t, names[rng.IntN(len(names))]))
		f.Relays = 1 + rng.IntN(6)
		f.Faults = nil
		sec := func(least, most int) scenario.Duration {
			return d(time.Duration(least+rng.IntN(most-least)) * time.Second)
		}
		for range 2 + rng.IntN(4) {
			kinds := []scenario.FaultKind{
				scenario.FaultDrain, scenario.FaultRemove, scenario.FaultFailCalls, scenario.FaultSuspend, scenario.FaultSilence, scenario.FaultCrash, scenario.FaultCutOff,
				scenario.FaultDiscoveryDown, scenario.FaultDiscoveryDelay, scenario.FaultTerminate, scenario.FaultKill, scenario.FaultLoseAnswers, scenario.FaultLowerLimit,
			}
			x := scenario.Fault{
				Kind:     kinds[rng.IntN(len(kinds))],
				Start:    sec(1, min(15, int(f.Length.AsDuration()/time.Second))),
				Duration: sec(1, 8),
				Share:    0.2 + 0.6*rng.Float64(),
			}
			if slices.ContainsFunc(f.Faults, func(y scenario.Fault) bool { return y.ReplaceEndpoints }) &&
				(x.Kind == scenario.FaultDrain || x.Kind == scenario.FaultRemove) {
				continue // it might strike an endpoint that is still to come
			}
			switch x.Kind {
			case scenario.FaultDrain, scenario.FaultRemove:
				x.ReplaceEndpoints, x.BatchSize, x.SameAddressRatio = rng.IntN(4) > 0, 1+rng.IntN(3), float64(rng.IntN(2))
			case scenario.FaultDiscoveryDelay:
				x.Delay = sec(1, 4)
			case scenario.FaultTerminate, scenario.FaultKill:
				x.Duration = 0
			}
			f.Faults = append(f.Faults, x)
		}
		f.SetDefaults()
		if err := f.ValidateWithin(scenario.EmulatorBounds); err != nil {
			t.Fatal(err)
		}
		w := sameWorld{name: fmt.Sprintf("random %d", seed), plan: f.Draw(seed + 1)}
		w.opts.ZoneLatency = time.Duration(rng.IntN(3)) * time.Millisecond
		w.opts.IdleResetRatio = []float64{0, 0.01}[rng.IntN(2)]
		if rng.IntN(3) == 0 {
			w.opts.MaxConnections, w.opts.ExcessConnections = 2+rng.IntN(4), ExcessConnections(rng.IntN(3))
		}
		if rng.IntN(3) == 0 {
			w.opts.ListDelay = func(relay int) time.Duration { return time.Duration(50+relay*300) * time.Millisecond }
		}
		if rng.IntN(3) == 0 {
			w.opts.Mutant = &mutants[rng.IntN(len(mutants))]
		}
		if rng.IntN(3) == 0 {
			w.opts.MachineCrashes, w.opts.JournalSync = true, SyncPolicy(rng.IntN(3))
			relay := rng.IntN(f.Relays)
			w.then = func(w *World) {
				w.Schedule(7*time.Second, func() { w.Kill(relay, true) })
				w.Schedule(9*time.Second, func() {
					e := w.plan.Endpoints[0]
					e.ID = "s-new"
					w.AddEndpoint(e)
				})
			}
		}
		all = append(all, w)
	}
	return all
}

// Small worlds are played as they were before lists were shared by the relays: the hashes of their records were made
// with the commit before (b9f2183 and Options.Module) by
//
//	go test ./internal/simulation/emulate -run TestSameAsBefore -record-same
//
// Those of scripted relays hold whatever package policy decides. Those of policy's own may be recorded anew with a
// change of its decisions, as long as the former are what they were: the test then says so.
func TestSameAsBefore(t *testing.T) {
	hash := func(x sameWorld) string {
		x.opts.Record = true
		w, err := New(x.plan, x.opts)
		if err != nil {
			t.Fatal(x.name, err)
		}
		if x.then != nil {
			x.then(w)
		}
		if err := w.Play(); err != nil {
			t.Fatal(x.name, err)
		}
		h := sha256.New()
		header, events := w.Result()
		if err := json.NewEncoder(h).Encode(header); err != nil {
			t.Fatal(err)
		}
		if err := json.NewEncoder(h).Encode(events); err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(h, "%d %d %d %d %v", w.EventCount(), w.Steps, w.Events, w.ConnectionsOpened, w.Overall())
		return hex.EncodeToString(h.Sum(nil)[:12])
	}
	is := map[string]string{}
	for _, x := range sameWorlds(t) {
		is["policy "+x.name] = hash(x)
		x.opts.NewEngine = newScripted
		is["scripted "+x.name] = hash(x)
	}
	if *recordSame {
		data, err := json.MarshalIndent(is, "", "\t")
		if err == nil {
			err = os.WriteFile(sameFile, append(data, '\n'), 0o644)
		}
		if err != nil {
			t.Fatal(err)
		}
		return
	}
	data, err := os.ReadFile(sameFile)
	if err != nil {
		t.Fatal(err)
	}
	was := map[string]string{}
	if err := json.Unmarshal(data, &was); err != nil {
		t.Fatal(err)
	}
	if len(was) != len(is) {
		t.Errorf("%d worlds, %d hashes", len(is), len(was))
	}
	model := false
	for _, name := range slices.Sorted(maps.Keys(is)) {
		if is[name] != was[name] {
			t.Errorf("%s: record %s, was %s", name, is[name], was[name])
			model = model || strings.HasPrefix(name, "scripted ")
		}
	}
	if t.Failed() && !model {
		t.Log("scripted relays are played as before: the decisions have changed, not the emulator")
	}
}
