package capacity

import (
	"fmt"
	"math"
	"os"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func near(a, b float64) bool {
	return a == b || math.Abs(a-b) <= 1e-6*max(math.Abs(a), math.Abs(b)) || math.IsNaN(a) && math.IsNaN(b)
}

func series(name string, unit Unit, points ...Point) Series {
	return Series{Name: name, Axis: "things", Unit: unit, Points: points}
}

// straight is a series whose readings are a line.
func straight(name string, unit Unit, base, slope float64, sizes ...float64) Series {
	var points []Point
	for _, n := range sizes {
		points = append(points, Point{N: n, Value: base + slope*n})
	}
	return series(name, unit, points...)
}

func TestFit(t *testing.T) {
	for _, c := range []struct {
		name        string
		points      []Point
		base, slope float64
		residual    float64
		bends       bool
	}{
		{"a line", []Point{{N: 1, Value: 5}, {N: 2, Value: 7}, {N: 4, Value: 11}}, 3, 2, 0, false},
		{"one that falls is level", []Point{{N: 1, Value: 8}, {N: 2, Value: 8}, {N: 4, Value: 7}}, (8.0/64 + 8.0/64 + 7.0/49) / (1.0/64 + 1.0/64 + 1.0/49), 0, 0, false},
		{"sizes that stopped count for nothing", []Point{{N: 1, Value: 5}, {N: 2, Value: 7}, {N: 4, Value: 11}, {N: 8, Stopped: true}}, 3, 2, 0, false},
		{"a square bends", []Point{{N: 1, Value: 1}, {N: 10, Value: 100}, {N: 100, Value: 10_000}}, math.NaN(), math.NaN(), math.NaN(), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, err := Fit(series("x", Seconds, c.points...))
			if err != nil {
				t.Fatal(err)
			}
			if !math.IsNaN(c.base) &&
				(!near(l.Slope, c.slope) && math.Abs(l.Slope-c.slope) > 1e-9 || math.Abs(l.Base-c.base) > 1e-6) {
				t.Errorf("%g + %g n, want %g + %g n", l.Base, l.Slope, c.base, c.slope)
			}
			if l.Bends() != c.bends {
				t.Errorf("bends: %v by %g", l.Bends(), l.Residual)
			}
		})
	}
	if _, err := Fit(series("x", Seconds, Point{N: 1, Value: 1}, Point{N: 2, Value: 2}, Point{N: 3, Stopped: true})); err == nil {
		t.Error("two sizes make a line")
	}
}

// The residual is the largest deviation, as a share of its reading: 15 % is no bend, more is one.
func TestTheResidualTellsABend(t *testing.T) {
	for _, c := range []struct {
		off   float64
		bends bool
	}{{0.1, false}, {0.5, true}} {
		l, err := Fit(
			series(
				"x",
				Bytes,
				Point{N: 1, Value: 100},
				Point{N: 2, Value: 200 * (1 + c.off)},
				Point{N: 3, Value: 300},
				Point{N: 4, Value: 400},
			),
		)
		if err != nil {
			t.Fatal(err)
		}
		if worst := math.Abs(l.line(2)-200*(1+c.off)) / (200 * (1 + c.off)); !near(l.Residual, worst) ||
			l.Bends() != c.bends {
			t.Errorf("off by %g: residual %g, want %g; bends: %v", c.off, l.Residual, worst, l.Bends())
		}
	}
}

// A line that bends is read between its readings, and not drawn out past ten times its largest size without a word on
// why.
func TestABendIsNotDrawnOut(t *testing.T) {
	s := series("x", Seconds, Point{N: 1, Value: 1}, Point{N: 10, Value: 100}, Point{N: 100, Value: 10_000})
	l, err := Fit(s)
	if err != nil || !l.Bends() {
		t.Fatal(l, err)
	}
	if v, err := l.At(55); err != nil || !near(v, 5050) {
		t.Errorf("between two readings: %g, %v", v, err)
	}
	if n, err := l.Reaches(5050); err != nil || !near(n, 55) {
		t.Errorf("reached at %g, %v", n, err)
	}
	if v, err := l.At(1000); err != nil || !near(v, 1e6) { // the square goes on, and the line would be far below
		t.Errorf("ten times: %g, %v", v, err)
	}
	if n, err := l.Reaches(1e6); err != nil || !near(n, 1000) {
		t.Errorf("reached at %g, %v", n, err)
	}
	if v, err := l.At(1001); err == nil {
		t.Errorf("drawn out to %g", v)
	}
	if n, err := l.Reaches(1e9); err == nil {
		t.Errorf("drawn out to %g", n)
	}
	s.Why = "a test"
	if l, _ = Fit(s); l.Why == "" {
		t.Fatal("lost")
	}
	if _, err := l.At(1e6); err != nil {
		t.Error(err)
	}
}

func TestALineAndItsInverse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base, slope := rapid.Float64Range(0, 1e6).Draw(t, "base"), rapid.Float64Range(1e-3, 1e6).Draw(t, "slope")
		l, err := Fit(straight("x", Bytes, base, slope, 10, 100, 1000))
		if err != nil {
			t.Fatal(err)
		}
		n := rapid.Float64Range(1, 1e9).Draw(t, "n")
		v, err := l.At(n)
		if err != nil || math.Abs(v-(base+slope*n)) > 1e-3*(base+slope*n) {
			t.Fatalf("%g at %g, want %g: %v", v, n, base+slope*n, err)
		}
		if back, err := l.Reaches(v); err != nil || math.Abs(back-n) > 1e-3*n+1e-6*base/slope {
			t.Fatalf("back at %g from %g: %v", back, n, err)
		}
	})
}

// small is a target with round numbers, and a run with round lines.
func small() (Target, Run) {
	t := Target{
		Relays: 100, Events: 10_000, Destinations: 1000, Down: 0.02, Backlog: 1e6, Regions: 4, Zones: 5, Changes: 8640, InForce: 3,
		ControlCores: 0.05, ControlMemory: 2e6, ControlBytes: 1000, ControlMachines: 4, FailedADay: 2, RestartedADay: 864,
		Endpoints: 2, Body: 1000, Rest: 30, Rack: 10, Cores: 1, ReadyIn: 10,
	}
	r := Run{Program: Before, Commit: "x", Series: []Series{
		straight(ModuleMessage, Seconds, 1e-5, 1e-8, 10, 100, 1000),
		straight(ModuleBacklog, Seconds, 1e-5, 1e-9, 10, 100, 1000),
		straight(JournalDisk, Bytes, 0, 1100, 10, 100, 1000),
		straight(JournalSync, Seconds, 1e-3, 1e-4, 1, 10, 100),
		straight(ListWhole, Bytes, 40, 300, 10, 100, 1000),
		straight(RelayMemory, Bytes, 2e7, 4000, 10, 100, 1000),
		straight(RelayReady, Seconds, 0.1, 0.001, 10, 100, 1000),
		straight(RelayChange, Seconds, 1e-4, 1e-6, 10, 100, 1000),
		straight(RelayRest, Cores, 0.01, 2e-5, 10, 100, 1000),
		straight(RelayLoad, Cores, 0.04, 0.002, 10, 50, 100),
		straight(RelayFresh, Cores, 0.04, 0.003, 10, 50, 100),
		straight(RelayForce, Seconds, 0.1, 1e-5, 10, 100, 1000),
		straight(RelayBacklog, Bytes, 2e7, 4000, 10, 100, 1000),
		straight(RelayRecovery, Seconds, 0.1, 0.001, 10, 100, 1000),
		straight(FleetBytes, ByteRate, 0, 140, 10, 30, 100),
		series(RelayDiscovery, Seconds, Point{N: 10, Value: 1}, Point{N: 100, Value: 1}, Point{N: 200, Stopped: true}),
		series(FleetJoin, Count, Point{N: 50, Value: 50}, Point{N: 60, Stopped: true}),
		series(FleetRights, Count, Point{N: 50, Value: 50}, Point{N: 60, Stopped: true}),
	}}
	return t, r
}

// figures are those of all roles by role and name.
func figures(t Target, r Run) map[string]Figure {
	all := map[string]Figure{}
	for _, role := range Roles(t, r) {
		for _, f := range role.Figures {
			all[strings.SplitN(role.Name, ",", 2)[0]+": "+f.What] = f
		}
	}
	return all
}

// The arithmetic from slopes to figures, worked out by hand.
func TestTheArithmetic(t *testing.T) {
	target, run := small()
	all := figures(target, run)
	const sending, control, machine, agent, heir = "A relay: deciding and sending: ", "A relay: its control: ", "A control machine: ", "Discovery's agent (the platform's; one beside each relay): ", "Whoever takes over lost work: "
	for name, want := range map[string]struct {
		value   float64
		verdict Verdict
		says    string
	}{
		sending + "state: messages held":                                              {10_000, Carried, ""},
		sending + "state: destinations that the module knows":                         {1000, Carried, ""},
		sending + "messages in":                                                       {100, Carried, ""},
		sending + "calls out":                                                         {98, Carried, ""},
		sending + "processor, a connection for each call":                             {0.34, Carried, ""},
		control + "list: a change in force at a relay":                                {0.11, Carried, ""},
		control + "all: processor":                                                    {math.NaN(), NotMeasured, ""},
		control + "list: processor with no change":                                    {0.02, Carried, ""},
		control + "all: memory":                                                       {4e6, Over, "2 times"},
		control + "all: bytes":                                                        {14_015 + 300_040*8.64/86_400, Over, "14 times"},
		sending + "processor, connections used again":                                 {0.24, Carried, ""},
		sending + "processor, the module alone":                                       {0.002, Carried, ""},
		sending + "processor, the module beside the backlog":                          {0.002, Carried, ""},
		sending + "memory with the backlog":                                           {6e7, Carried, ""},
		sending + "disk with the backlog":                                             {1.1e7, Carried, ""},
		sending + "ready after a restart with the backlog":                            {10.1, Over, "1.01 times"},
		sending + "a commit that outlasts the machine, if `journal.sync` asks for it": {1.1e-3, Carried, ""},
		control + "list: destinations with which it becomes ready by discovery":       {1000, Over, "10 times**: it never becomes ready"},
		control + "list: ready when handed over":                                      {1.1, Carried, ""},
		control + "list: memory":                                                      {4e6, Over, "2 times"},
		control + "list: bytes in by changes":                                         {15, Carried, ""},
		control + "list: bytes in by whole lists after restarts":                      {300_040 * 8.64 / 86_400, Carried, ""},
		control + "list: one whole list":                                              {300.04, Carried, ""},
		control + "list: processor for changes":                                       {0.1 * 1.1e-3, Carried, ""},
		control + "list: the same, all changes of a day in one hour":                  {2.4 * 1.1e-3, Carried, ""},
		control + "settings: in force everywhere":                                     {math.NaN(), NoMechanism, ""},
		control + "membership: relays that hear of each other":                        {100, Over, "2 times**: it does not start with the table"},
		control + "membership and what is shared: bytes out":                          {14_000, Over, "14 times"},
		control + "membership and what is shared: processor":                          {math.NaN(), NotMeasured, ""},
		control + "what is shared: destinations told of at once":                      {math.NaN(), NotMeasured, ""},
		control + "rights: limits lent":                                               {1000, Over, "20 times**: the others go by their even parts"},
		machine + "state: the list":                                                   {300_040, NoMechanism, ""},
		machine + "relays that it would serve":                                        {25, NoMechanism, ""},
		machine + "messages out: changes":                                             {2.5, NoMechanism, ""},
		machine + "bytes out: changes":                                                {375, NoMechanism, ""},
		machine + "bytes out: whole lists after restarts":                             {300_040 * 216.0 / 86_400, NoMechanism, ""},
		machine + "bytes out: all its relays ask at once":                             {7_501_000, NoMechanism, ""},
		agent + "messages out":                                                        {0.6, Carried, ""},
		agent + "bytes for one change, to all relays":                                 {15_000, Carried, ""},
		agent + "bytes for a day's changes, to all relays":                            {129_600_000, Carried, ""},
		agent + "bytes for a whole list, to all relays":                               {30_004_000, Carried, ""},
		agent + "calls for the list after restarts, where lists are asked for":        {0.01, Carried, ""},
		heir + "state: the backlog of a machine that is gone":                         {10_000, NoMechanism, ""},
		heir + "bytes of it":                                                          {1.1e7, NoMechanism, ""},
		heir + "messages a second to keep a second copy, of each relay":               {200, NoMechanism, ""},
		heir + "bytes a second to keep a second copy, of each relay":                  {110_000, NoMechanism, ""},
		heir + "backlogs to take over":                                                {2, NoMechanism, ""},
	} {
		f, ok := all[name]
		if !ok {
			t.Errorf("no figure %q", name)
			continue
		}
		if !near(f.Value, want.value) || f.Verdict() != want.verdict || !strings.Contains(f.Says(), want.says) {
			t.Errorf("%s: %g, %s; want %g, %v, %q", name, f.Value, f.Says(), want.value, want.verdict, want.says)
		}
	}
	run.Series = append(run.Series, straight(FleetCores, Cores, 0.001, 1e-4, 10, 30, 100))
	if f := figures(target, run)[control+"all: processor"]; !near(f.Value, 0.1*1.1e-3+0.02+0.011) ||
		f.Verdict() != Carried {
		t.Errorf("all control: %g, %s", f.Value, f.Says())
	}
	run.AtRest = true
	busy := 1 - math.Exp(-30.0/(100/10.0)) // an event to a destination in ten seconds
	if f := figures(target, run)[sending+"state: destinations that the module knows"]; !near(
		f.Value,
		1000*(0.02+0.98*busy),
	) {
		t.Errorf("awake: %g", f.Value)
	}
}

func TestFailures(t *testing.T) {
	target, run := small()
	for i, want := range []Failure{
		{Away: 1, Load: 10_000 / 99.0, Cores: 0.04 + 20/99.0, Beyond: 10_000, Lists: 300_040, Ready: 10.1},
		{Away: 10, Load: 10_000 / 90.0, Cores: 0.04 + 20/90.0, Beyond: 100_000, Lists: 3_000_400, Ready: 10.1},
		{Away: 20, Load: 125, Cores: 0.29, Beyond: 200_000, Lists: 6_000_800, Ready: 10.1},
		{Away: 25, Load: 100, Cores: 0.24, Held: 270_000, Disk: 297e6, Ready: 10.1},
		{Away: 864 * 10.1 / 86_400, Load: 100, Cores: 0.24, Lists: 864 * 300_040, Ready: 10.1},
	} {
		f := Failures(target, run)[i]
		for k, pair := range [][2]float64{{f.Away, want.Away}, {f.Load, want.Load}, {f.Cores, want.Cores}, {f.Beyond, want.Beyond}, {f.Held, want.Held}, {f.Disk, want.Disk}, {f.Lists, want.Lists}, {f.Ready, want.Ready}} {
			if !near(pair[0], pair[1]) {
				t.Errorf("%s, figure %d: %g, want %g", f.Name, k, pair[0], pair[1])
			}
		}
		if f.Promises == "" {
			t.Errorf("%s says nothing of promises", f.Name)
		}
	}
}

func TestBreaks(t *testing.T) {
	target, run := small()
	all := Breaks(target, run)
	got := map[string]float64{}
	var order []string
	for _, b := range all {
		got[b.What] = b.At
		order = append(order, fmt.Sprintf("%s: %s", b.Axis, b.What))
	}
	for what, want := range map[string]float64{
		"a relay that asks discovery never becomes ready":       100,
		"the list takes 2 MB":                                   500,
		"the list at rest takes 5 % of a core":                  2500,
		"a start takes 10 s":                                    9900,
		"8,640 changes a day take 5 % of a core":                499_900,
		"no further limit is lent":                              50,
		"the module alone takes a core":                         999_000,
		"a relay with a longer table of members does not start": 50,
		"what a member sends takes 1 KB/s":                      1000.0 / 140,
		"a relay takes a core, connections used again":          48_000,
		"a relay takes a core, a connection for each call":      32_000,
		"a restart takes 10 s":                                  990_000,
		"the module takes a core":                               999e6,
		"they take 5 % of a core":                               0.05 * 86_400 / 1.1e-3,
		"they take 1 KB/s":                                      576_000,
	} {
		if !near(got[what], want) {
			t.Errorf("%s: at %g, want %g", what, got[what], want)
		}
	}
	first := []string{
		"destinations: a relay that asks discovery never becomes ready", "relays: a relay with a longer table of members does not start",
		"destinations: no further limit is lent", "relays: what a member sends takes 1 KB/s", "destinations: the list takes 2 MB", "backlog: a restart takes 10 s",
	}
	for i, want := range first {
		if order[i] != want {
			t.Errorf("place %d: %s, want %s", i, order[i], want)
		}
	}
	if m, ok := Missing(all); !ok || m.What != "a relay that asks discovery never becomes ready" {
		t.Errorf("missing first: %+v", m)
	}
}

// What stops entirely goes first, however small the share at which a budget is passed; among equals the smallest share
// does.
func TestMissing(t *testing.T) {
	target, run := small()
	over := Run{Series: []Series{straight(FleetBytes, ByteRate, 0, 1e6, 10, 30, 100)}}
	if m, ok := Missing(Breaks(target, over)); !ok || m.Effect != OverBudget {
		t.Errorf("%+v", m)
	}
	over.Series = append(over.Series, series(FleetJoin, Count, Point{N: 99, Value: 99}, Point{N: 100, Stopped: true}))
	if m, _ := Missing(Breaks(target, over)); m.Effect != StopsEntirely || m.At != 99 {
		t.Errorf("%+v", m)
	}
	over.Series = append(
		over.Series,
		series(RelayDiscovery, Seconds, Point{N: 980, Value: 1}, Point{N: 990, Stopped: true}),
	)
	if m, _ := Missing(Breaks(target, over)); m.At != 980 {
		t.Errorf("%+v", m)
	}
	run.Series = []Series{straight(RelayReady, Seconds, 0, 1e-6, 10, 100, 1000)}
	if m, ok := Missing(Breaks(target, run)); ok {
		t.Errorf("nothing breaks, but %+v", m)
	}
}

// A line that bends, and would come to its budget only where it may not be drawn to, breaks nothing below a target that
// is nearer.
func TestABendFarOff(t *testing.T) {
	target, _ := small()
	bending := func(most float64) Run {
		return Run{
			Series: []Series{
				series(
					RelayReady,
					Seconds,
					Point{N: most / 100, Value: 1e-6},
					Point{N: most / 10, Value: 3e-6},
					Point{N: most, Value: 4e-6},
				),
			},
		}
	}
	for most, want := range map[float64]float64{100: math.Inf(1), 99: math.NaN()} {
		for _, b := range Breaks(target, bending(most)) {
			if b.What == "a start takes 10 s" && !near(b.At, want) {
				t.Errorf("largest size %g: at %g, want %g (%s)", most, b.At, want, b.How)
			}
		}
	}
}

func TestFormat(t *testing.T) {
	for _, c := range []struct {
		v    float64
		u    Unit
		want string
	}{
		{461.538, Rate, "462 /s"},
		{1234.5, Count, "1,230"},
		{1024, Count, "1,024"},
		{5.2e9, Count, "5,200,000,000"},
		{0.042, Cores, "4.2 % of a core"},
		{13e3, ByteRate, "13 KB/s"},
		{3.68e8, Bytes, "368 MB"},
		{12, Bytes, "12 B"},
		{0.00012, Seconds, "120 us"},
		{0.0123, Seconds, "12.3 ms"},
		{61, Seconds, "61 s"},
		{390, CountADay, "390 a day"},
		{math.NaN(), Bytes, "?"},
		{math.Inf(1), Count, "none found"},
		{0, Bytes, "0 B"},
		{999.9, Count, "1,000"},
		{-1500.5, Count, "-1,500"},
	} {
		if got := Format(c.v, c.u); got != c.want {
			t.Errorf("%g %s: %q, want %q", c.v, c.u, got, c.want)
		}
	}
}

func TestParse(t *testing.T) {
	for text, ok := range map[string]bool{
		`{"runs":[{"program":"before","series":[{"name":"a","points":[{"n":1,"value":1},{"n":2,"value":1}]}]}]}`: true,
		`{"runs":[{"program":"after"}]}`:                                                                         false,
		`{"runs":[{"program":"before","series":[{"name":"a"},{"name":"a"}]}]}`:                                   false,
		`{"runs":[{"program":"before","series":[{"name":"a","points":[{"n":2,"value":1},{"n":1,"value":1}]}]}]}`: false,
		`{`: false,
	} {
		if _, err := Parse([]byte(text)); (err == nil) != ok {
			t.Errorf("%s: %v", text, err)
		}
	}
}

// A later run goes before the series of the same names alone, and the page is then made of it.
func TestAdd(t *testing.T) {
	var d Data
	d.Add(Run{Program: Before, Commit: "one", Series: []Series{{Name: "a", Axis: "old"}, {Name: "b", Axis: "old"}}})
	d.Add(Run{Program: Before, Commit: "two", Series: []Series{{Name: "a", Axis: "new"}}})
	r, _ := d.Latest()
	a, _ := r.series("a")
	b, ok := r.series("b")
	if len(d.Runs) != 1 || r.Commit != "two" || a.Axis != "new" || !ok || b.Axis != "old" {
		t.Errorf("%+v", d)
	}
	d.Add(Run{Program: InForce, Commit: "three"})
	if r, _ := d.Latest(); r.Commit != "three" {
		t.Errorf("%+v", r)
	}
}

func TestFill(t *testing.T) {
	target, run := small()
	after := run
	after.Program = InForce
	after.Series = slices.DeleteFunc(slices.Clone(run.Series), func(s Series) bool { return s.Name == RelayDiscovery })
	sections, err := Sections(target, Data{Runs: []Run{run, after}})
	if err != nil {
		t.Fatal(err)
	}
	for _, says := range []string{"Of the program before (x) it was what carries destinations", "**Missing first: what carries relays"} {
		if !strings.Contains(sections[SectionSummary], says) {
			t.Errorf("the summary does not say %q:\n%s", says, sections[SectionSummary])
		}
	}
	blank := "# Title\n"
	for name := range sections {
		blank += "words of " + name + "\n" + marker(name, false) + "\nold\n" + marker(name, true) + "\n"
	}
	page, err := Fill(blank, sections)
	if err != nil || strings.Contains(page, "old\n") || !strings.Contains(page, "words of breaks") ||
		!strings.Contains(page, "it does not start with the table") {
		t.Fatalf("%v:\n%s", err, page)
	}
	if again, err := Fill(page, sections); err != nil || again != page {
		t.Errorf("filled twice it is another page: %v", err)
	}
	if _, err := Fill(strings.Replace(blank, marker(SectionBreaks, true), "", 1), sections); err == nil {
		t.Error("a page without the end of a section is filled")
	}
	if _, err := Sections(target, Data{}); err == nil {
		t.Error("a page of nothing")
	}
}

// docs/CAPACITY.md holds what docs/capacity.json gives; with any other reading it would not.
func TestThePageHoldsWhatTheDataGives(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile("../../docs/capacity.json")
	if err != nil {
		t.Fatal(err)
	}
	d, err := Parse(data)
	if err != nil {
		t.Fatal(err)
	}
	made := func() string {
		t.Helper()
		sections, err := Sections(Design(), d)
		if err != nil {
			t.Fatal(err)
		}
		filled, err := Fill(string(page), sections)
		if err != nil {
			t.Fatal(err)
		}
		return filled
	}
	if made() != string(page) {
		t.Error("the page does not hold what the data gives: go run ./cmd/capacity tables")
	}
	d.Runs[0].Series[0].Points[0].Value *= 2
	if made() == string(page) {
		t.Error("another reading gives the same page: this test sees nothing")
	}
}
