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
)

var recordHashes = flag.Bool("record-same", false, "rewrite the file of the hashes that TestGoldenRecords expects")

const recordHashFile = "testdata/same.json"

// TestGoldenRecords compares the records of small worlds with stored hashes. This command rewrites the hashes:
//
//	go test ./internal/simulation/emulate -run TestGoldenRecords -record-same
//
// The hashes with the scripted engine do not depend on the decisions of package policy. When these decisions change,
// the hashes with policy's own engine may be rewritten, provided that those with the scripted engine are unchanged. A
// failing test logs if they are.
func TestGoldenRecords(t *testing.T) {
	hashes := map[string]string{}
	for _, w := range recordedWorlds(t) {
		hashes["policy "+w.name] = w.recordHash(t)
		w.options.NewEngine = newScriptedEngine
		hashes["scripted "+w.name] = w.recordHash(t)
	}
	if *recordHashes {
		writeHashes(t, hashes)
		return
	}
	want := readHashes(t)
	if len(want) != len(hashes) {
		t.Errorf("%d worlds, but %s has %d hashes", len(hashes), recordHashFile, len(want))
	}
	scriptedChanged := false
	for _, name := range slices.Sorted(maps.Keys(hashes)) {
		if hashes[name] != want[name] {
			t.Errorf("%s: record hash %s, want %s", name, hashes[name], want[name])
			scriptedChanged = scriptedChanged || strings.HasPrefix(name, "scripted ")
		}
	}
	if t.Failed() && !scriptedChanged {
		t.Log("the hashes with the scripted engine are unchanged: policy's decisions have changed, not the emulator")
	}
}

func writeHashes(t *testing.T, hashes map[string]string) {
	t.Helper()
	data, err := json.MarshalIndent(hashes, "", "\t")
	if err == nil {
		err = os.WriteFile(recordHashFile, append(data, '\n'), 0o644)
	}
	if err != nil {
		t.Fatal(err)
	}
}

func readHashes(t *testing.T) map[string]string {
	t.Helper()
	data, err := os.ReadFile(recordHashFile)
	if err != nil {
		t.Fatal(err)
	}
	hashes := map[string]string{}
	if err := json.Unmarshal(data, &hashes); err != nil {
		t.Fatal(err)
	}
	return hashes
}

// recordedWorld is a small world whose record is compared with a stored hash.
type recordedWorld struct {
	name    string
	plan    scenario.Plan
	options Options
	prepare func(w *World) // called before the world is played; may be nil
}

// recordHash plays the world, and returns a hash of its record and of some of its metrics.
func (r recordedWorld) recordHash(t *testing.T) string {
	t.Helper()
	r.options.Record = true
	w, err := New(r.plan, r.options)
	if err != nil {
		t.Fatal(r.name, err)
	}
	if r.prepare != nil {
		r.prepare(w)
	}
	if err := w.Play(); err != nil {
		t.Fatal(r.name, err)
	}
	hash := sha256.New()
	header, events := w.Result()
	for _, part := range []any{header, events} {
		if err := json.NewEncoder(hash).Encode(part); err != nil {
			t.Fatal(err)
		}
	}
	figures := fmt.Sprintf("%d %d %d %d %v", w.EventCount(), w.Steps, w.Events, w.ConnectionsOpened, w.Overall())
	if _, err := hash.Write([]byte(figures)); err != nil {
		t.Fatal(err)
	}
	return hex.EncodeToString(hash.Sum(nil)[:12])
}

// recordedWorlds returns worlds with the shipped scenarios, cut short, and random variants of these: with other
// networks, mutants, new endpoints, and crashes of processes and machines.
func recordedWorlds(t *testing.T) (worlds []recordedWorld) {
	t.Helper()
	for _, name := range scenario.Shipped() {
		file := cutShort(loadScenario(t, name))
		for seed := range uint64(2) {
			worlds = append(worlds, recordedWorld{name: fmt.Sprintf("%s %d", name, seed+1), plan: file.Draw(seed + 1)})
		}
	}
	for seed := range uint64(24) {
		worlds = append(worlds, randomWorld(t, seed))
	}
	return worlds
}

// cutShort shortens a scenario to 25 s at most.
func cutShort(file scenario.File) scenario.File {
	file = file.Clone()
	file.Length = min(file.Length, scenario.Duration(25*time.Second))
	file.Traffic = slices.DeleteFunc(file.Traffic, func(t scenario.Traffic) bool { return t.From >= file.Length })
	for i := range file.Traffic {
		file.Traffic[i].To = min(file.Traffic[i].To, file.Length)
	}
	file.Faults = slices.DeleteFunc(file.Faults, func(f scenario.Fault) bool { return f.Start >= file.Length })
	return file
}

// randomWorld draws a world with random faults. The stored hashes depend on the order of the draws.
func randomWorld(t *testing.T, seed uint64) recordedWorld {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 77))
	names := scenario.Shipped()
	file := cutShort(loadScenario(t, names[rng.IntN(len(names))]))
	file.Relays = 1 + rng.IntN(6)
	file.Faults = nil
	for range 2 + rng.IntN(4) {
		if fault, ok := drawFault(rng, &file); ok {
			file.Faults = append(file.Faults, fault)
		}
	}
	file.SetDefaults()
	if err := file.ValidateWithin(scenario.EmulatorBounds); err != nil {
		t.Fatal(err)
	}
	w := recordedWorld{name: fmt.Sprintf("random %d", seed), plan: file.Draw(seed + 1)}
	w.drawOptions(rng)
	return w
}

// drawFault draws a fault. It returns false instead of a fault that could change the list entry of an endpoint which an
// earlier fault has yet to add.
func drawFault(rng *rand.Rand, file *scenario.File) (scenario.Fault, bool) {
	kinds := []scenario.FaultKind{
		scenario.FaultDrain,
		scenario.FaultRemove,
		scenario.FaultFailCalls,
		scenario.FaultSuspend,
		scenario.FaultSilence,
		scenario.FaultCrash,
		scenario.FaultCutOff,
		scenario.FaultDiscoveryDown,
		scenario.FaultDiscoveryDelay,
		scenario.FaultTerminate,
		scenario.FaultKill,
		scenario.FaultLoseAnswers,
		scenario.FaultLowerLimit,
	}
	seconds := func(from, to int) scenario.Duration {
		return scenario.Duration(time.Duration(from+rng.IntN(to-from)) * time.Second)
	}
	fault := scenario.Fault{
		Kind:     kinds[rng.IntN(len(kinds))],
		Start:    seconds(1, min(15, int(file.Length.AsDuration()/time.Second))),
		Duration: seconds(1, 8),
		Share:    0.2 + 0.6*rng.Float64(),
	}
	changesList := fault.Kind == scenario.FaultDrain || fault.Kind == scenario.FaultRemove
	if changesList && slices.ContainsFunc(file.Faults, func(f scenario.Fault) bool { return f.ReplaceEndpoints }) {
		return scenario.Fault{}, false
	}
	switch fault.Kind {
	case scenario.FaultDrain, scenario.FaultRemove:
		fault.ReplaceEndpoints = rng.IntN(4) > 0
		fault.BatchSize = 1 + rng.IntN(3)
		fault.SameAddressRatio = float64(rng.IntN(2))
	case scenario.FaultDiscoveryDelay:
		fault.Delay = seconds(1, 4)
	case scenario.FaultTerminate, scenario.FaultKill:
		fault.Duration = 0
	}
	return fault, true
}

// drawOptions draws the network options. With a probability of 1/3 each, it also draws a mutant, and a machine crash
// that is followed by a new endpoint.
func (r *recordedWorld) drawOptions(rng *rand.Rand) {
	r.options.ZoneLatency = time.Duration(rng.IntN(3)) * time.Millisecond
	r.options.IdleResetRatio = []float64{0, 0.01}[rng.IntN(2)]
	if rng.IntN(3) == 0 {
		r.options.MaxConnections = 2 + rng.IntN(4)
		r.options.ExcessConnections = ExcessConnections(rng.IntN(3))
	}
	if rng.IntN(3) == 0 {
		r.options.ListDelay = func(relay int) time.Duration { return time.Duration(50+relay*300) * time.Millisecond }
	}
	if rng.IntN(3) == 0 {
		mutants := Mutants()
		r.options.Mutant = &mutants[rng.IntN(len(mutants))]
	}
	if rng.IntN(3) != 0 {
		return
	}
	r.options.MachineCrashes = true
	r.options.JournalSync = SyncPolicy(rng.IntN(3))
	relay := rng.IntN(r.plan.File.Relays)
	r.prepare = func(w *World) {
		w.Schedule(7*time.Second, func() { w.Kill(relay, true) })
		w.Schedule(9*time.Second, func() {
			e := w.plan.Endpoints[0]
			e.ID = "s-new"
			w.AddEndpoint(e)
		})
	}
}
