package scenario

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"
)

// base is a whole scenario, small.
const base = `
name = "base"
length = "20s"
relays = 2
zones = ["a", "b"]

[[class]]
name = "order"
effect = "keyed"
window = "10s"
aim = "3s"
give_up = "12s"
late_worth = 0.4

[[kind]]
name = "store"
pace = "100ms"
slots = 2

[[kind]]
name = "gateway"
separate = true
pace = "100ms"
slots = 2

[[destination]]
kind = "store"
count = 3

[[destination]]
kind = "gateway"

[[traffic]]
rate = 50
`

func parse(t *testing.T, more string) File {
	t.Helper()
	f, err := Parse("test", []byte(base+more))
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func text(t *testing.T, p Plan) string {
	t.Helper()
	var b bytes.Buffer
	n, err := p.WriteTo(&b)
	if err != nil || n != int64(b.Len()) {
		t.Fatalf("%d of %d bytes, %v", n, b.Len(), err)
	}
	return b.String()
}

func TestAllThatIsShippedLoads(t *testing.T) {
	if len(Shipped()) < 10 {
		t.Errorf("shipped: %v", Shipped())
	}
	for _, name := range Shipped() {
		f, err := Load(name)
		if err != nil {
			t.Error(err)
			continue
		}
		if f.Name != name || f.Description == "" {
			t.Errorf("%s is named %q, about %q", name, f.Name, f.Description)
		}
		p := f.Draw(0)
		if len(p.Arrivals) == 0 || text(t, p) != text(t, f.Draw(0)) {
			t.Errorf("%s: no plan, or another one the second time", name)
		}
	}
}

// The digest is written down here, so that no change of Go or of this package moves a plan unnoticed.
func TestTheSamePlanByteForByte(t *testing.T) {
	f := parse(
		t,
		"[[trouble]]\nkind = \"drain\"\nat = \"5s\"\nfor = \"8s\"\nshare = 0.58\nreplace = true\nsame_address = 0.5\n",
	)
	const want = "a1af972bb8b711ad"
	if got := f.Draw(7).Digest(); got != want {
		t.Errorf("digest %s, was %s", got, want)
	}
	if f.Draw(7).Digest() == f.Draw(8).Digest() {
		t.Error("another seed, the same plan")
	}
	if f.Draw(0).Seed != 1 || f.Draw(0).Digest() != f.Draw(1).Digest() {
		t.Error("seed 0 is not the scenario's own")
	}
}

// A trouble that is added leaves the load as it was.
func TestPartsAreDrawnApart(t *testing.T) {
	plain, more := parse(t, "").Draw(3), parse(t, "[[trouble]]\nkind = \"kill\"\nat = \"5s\"\n").Draw(3)
	if !slices.Equal(plain.Arrivals, more.Arrivals) {
		t.Error("the load has changed")
	}
	if len(more.Steps) != 4 { // begins, two relays, ends
		t.Errorf("steps: %+v", more.Steps)
	}
}

func TestUnknownKeysAreNamedWithTheirLines(t *testing.T) {
	_, err := Parse("x.toml", []byte("name = \"x\"\nlenght = \"5s\"\n[[class]]\nname = \"a\"\nefect = \"safe\"\n"))
	if err == nil || !strings.Contains(err.Error(), "x.toml:2: unknown key lenght") ||
		!strings.Contains(err.Error(), "x.toml:5: unknown key class.efect") {
		t.Errorf("%v", err)
	}
}

func TestBadFilesAreRefusedWithAReason(t *testing.T) {
	for _, c := range []struct{ find, put, want string }{
		{`length = "20s"`, `length = "20"`, "test:3"},
		{`length = "20s"`, `length = 20`, `length: give a duration such as "1.5s"`},
		{`length = "20s"`, `length = "-1s"`, "length must be above 0"},
		{`relays = 2`, `relays = 21`, "relays must be 1 to 20"},
		{`relays = 2`, `relays = `, "test:4"},
		{`name = "base"`, ``, "no name"},
		{`effect = "keyed"`, `effect = "keyd"`, `not "keyd"`},
		{`window = "10s"`, ``, "needs a window"},
		{`give_up = "12s"`, `give_up = "2s"`, "give_up must be after aim"},
		{`late_worth = 0.4`, `late_worth = 4`, "late_worth must be 0 to 1"},
		{`pace = "100ms"`, ``, "must be above 0"},
		{`kind = "store"`, `kind = "shop"`, `unknown kind "shop"`},
		{`count = 3`, `count = 400`, "endpoints, 500 at most"},
		{`rate = 50`, `rate = 0`, "rate must be above 0"},
		{`rate = 50`, `rate = 1e6`, "2000000 at most"},
		{`rate = 50`, "rate = 50\nshape = \"square\"", `not "square"`},
		{`rate = 50`, "rate = 50\nclass = \"x\"", `unknown class "x"`},
		{`rate = 50`, "rate = 50\ncustomer = \"x\"", `unknown customer "x"`},
		{`rate = 50`, "rate = 50\ndestinations = [9]", "no destination 9, there are 4"},
		{`rate = 50`, "rate = 50\nto = \"30s\"", "both within length"},
		{`rate = 50`, "rate = 50\nbody = 70000", "body must be"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"quake\"", "unknown kind, one of drain"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"shut\"\nshare = 0.5", "needs for"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"shut\"\nfor = \"1s\"", "needs destinations or a share"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"drain\"", "needs destinations or a share"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"kill\"\nat = \"20s\"", "at must be within length"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"kill\"\nrelays = [3]", "no relay 3, there are 2"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"discovery-late\"\nfor = \"1s\"", "needs delay"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"slow\"\nfor = \"1s\"\nshare = 0.1\nzone = \"c\"", `unknown zone "c"`},
		{`rate = 50`, "rate = 50\n[[class]]\nname = \"order\"\neffect = \"safe\"\naim = \"1s\"\ngive_up = \"2s\"", `two are named "order"`},
		{`rate = 50`, "rate = 50\n[settings]\nsockets = 3", "sockets at least 64"},
		{`rate = 50`, "rate = 50\n[clients]\nagain = 2.0", "again 0 to 1"},
		{`rate = 50`, "rate = 50\n[clients]\nuneven = -1.0", "uneven must be 0 to 10"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"lowered\"\nshare = 0.5", "needs for"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"lost-answers\"\nfor = \"1s\"\nshare = 0.5\ncalls = 1.5", "0 to 1"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"clock-step\"\nby = \"-3s\"", "a rehearsal of processes cannot set their clocks"},
		{`rate = 50`, "rate = 50\n[[trouble]]\nkind = \"clock-step\"", "needs by"},
		{`slots = 2`, "slots = 2\nrefused_debt = \"2s\"", "debt 2s needs a limit by rate"},
		{`rate = 50`, "rate = 50\n[discovery]\nleast = \"2s\"\nmost = \"1s\"", "least must not be above most"},
	} {
		if !strings.Contains(base, c.find) {
			t.Fatalf("no %q in the scenario", c.find)
		}
		_, err := Parse("test", []byte(strings.Replace(base, c.find, c.put, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.put, err, c.want)
		}
	}
	_, err := Parse("test", []byte("name = \"\"\nlength = \"0s\"\n"))
	if n := strings.Count(err.Error(), "\n"); n < 5 {
		t.Errorf("only %d of what is wrong is told: %v", n+1, err)
	}
}

func TestLoad(t *testing.T) {
	if _, err := Load("no-such"); err == nil || !strings.Contains(err.Error(), "quiet-day") {
		t.Errorf("%v", err)
	}
	if _, err := Load("./no-such.toml"); err == nil || !os.IsNotExist(unwrapAll(err)) {
		t.Errorf("%v", err)
	}
	path := filepath.Join(t.TempDir(), "s.toml")
	if err := os.WriteFile(path, []byte(base), 0o600); err != nil {
		t.Fatal(err)
	}
	if f, err := Load(path); err != nil || f.Name != "base" {
		t.Errorf("%+v, %v", f, err)
	}
	if err := os.WriteFile(path, bytes.Repeat([]byte("#"), maxFileSize+1), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(path); err == nil || !strings.Contains(err.Error(), "over") {
		t.Errorf("%v", err)
	}
}

func unwrapAll(err error) error {
	for {
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return err
		}
		err = u.Unwrap()
	}
}

func TestTrafficHasItsRateAndShape(t *testing.T) {
	count := func(more string, from, to time.Duration) (n int) {
		for _, a := range parse(t, more).Draw(1).Arrivals {
			if a.At >= from && a.At < to && a.BodySize == 1000 {
				n++
			}
		}
		return n
	}
	const s = time.Second
	near := func(what string, got, want int) {
		if math.Abs(float64(got-want)) > 5*math.Sqrt(float64(want)) {
			t.Errorf("%s: %d, want about %d", what, got, want)
		}
	}
	steady := "[[traffic]]\nrate = 100\nbody = 1000\n"
	near("steady", count(steady, 0, 20*s), 2000)
	dinner := steady + "shape = \"dinner\"\n"
	near("dinner at its height", count(dinner, 9*s, 11*s), 200)
	near("dinner at its start", count(dinner, 0, s), 31)
	bursts := steady + "shape = \"bursts\"\nburst = 10\nfrom = \"5s\"\nto = \"15s\"\n"
	if n := count(bursts, 5*s, 15*s); n < 500 || n > 1700 {
		t.Errorf("bursts: %d", n)
	}
	if n := count(bursts, 0, 5*s) + count(bursts, 15*s, 20*s); n != 0 {
		t.Errorf("%d outside of their time", n)
	}
}

// 58 % of the endpoints are replaced, some at the addresses of old ones, and each only once the old one has stopped.
func TestReplacing(t *testing.T) {
	f := parse(
		t,
		"[[trouble]]\nkind = \"drain\"\nat = \"2s\"\nfor = \"10s\"\nbatch = 2\nshare = 0.58\nreplace = true\nsame_address = 0.5\ndrain = \"1s\"\n",
	)
	p := f.Draw(5)
	first, later, same := 0, 0, 0
	at := map[string]time.Duration{}
	for _, s := range p.Steps {
		at[string(s.Op)+s.Target] = s.At
	}
	for _, e := range p.Endpoints {
		switch {
		case !e.AddedLater:
			first++
			continue
		case e.ReusesAddressOf != "":
			same++
			if at["list"+e.ID] <= at["stop"+e.ReusesAddressOf] {
				t.Errorf("%s comes up at %v where %s stops at %v", e.ID, at["list"+e.ID], e.ReusesAddressOf, at["stop"+e.ReusesAddressOf])
			}
		}
		later++
		if !slices.ContainsFunc(p.Services, func(x Service) bool { return x.Name == e.Service && x.Destination == e.Destination }) {
			t.Errorf("%s is of no place %s", e.ID, e.Service)
		}
	}
	if later != int(math.Ceil(0.58*float64(first))) || same == 0 || same == later {
		t.Errorf("%d of %d replaced, %d at the same address", later, first, same)
	}
}

func TestTroublesStrikeWhatTheyName(t *testing.T) {
	p := parse(
		t,
		"[[trouble]]\nkind = \"silent\"\nat = \"2s\"\nfor = \"3s\"\ndestinations = [1, 4]\nzone = \"b\"\n",
	).Draw(1)
	var muted []string
	for _, s := range p.Steps {
		if s.Op == OpSilence {
			muted = append(muted, s.Target)
		}
	}
	// Destination 1 is one place with an endpoint in b; of destination 4's routes apart one stands there.
	var want []string
	for _, e := range p.Endpoints {
		if e.Zone == "b" && (e.Destination == 1 || e.Destination == 4) {
			want = append(want, e.Service)
		}
	}
	if len(muted) != 2 || !slices.Equal(slices.Sorted(slices.Values(muted)), slices.Sorted(slices.Values(want))) {
		t.Errorf("%v, want %v", muted, want)
	}
}

// A limit is lowered and restored; a share of the relays is struck, the same with the same seed.
func TestLoweredLimitsAndSharesOfRelays(t *testing.T) {
	f := parse(
		t,
		"[[trouble]]\nkind = \"lowered\"\nat = \"2s\"\nfor = \"3s\"\nfactor = 3.0\ndestinations = [2]\n[[trouble]]\nkind = \"kill\"\nat = \"4s\"\nshare = 0.7\n",
	)
	f.Relays = 10
	var lowered, killed []Step
	for _, s := range f.Draw(1).Steps {
		switch s.Op {
		case OpLowerLimit:
			lowered = append(lowered, s)
		case OpKill:
			killed = append(killed, s)
		}
	}
	if len(lowered) != 2 || lowered[0].At != 2*time.Second || lowered[0].Value != 3 || lowered[1].At != 5*time.Second ||
		lowered[1].Value != 1 ||
		lowered[0].Target != "d2" {
		t.Errorf("lowered: %+v", lowered)
	}
	struck := map[string]bool{}
	for _, s := range killed {
		struck[s.Target] = true
	}
	if len(struck) != 7 {
		t.Errorf("%d of 10 relays killed, want 7", len(struck))
	}
}

// What comes to the relays varies as the scenario says, and comes to the same in all; even parts are drawn as ever.
func TestUnevenRelays(t *testing.T) {
	f := parse(t, "")
	f.Relays = 10
	f.Traffic[0].Rate = 2000
	even := f.Draw(3)
	for _, cv := range []float64{0, 0.5} {
		f.Clients.RelayVariation = cv
		p := f.Draw(3)
		if cv == 0 && text(t, p) != text(t, even) {
			t.Error("even parts are not drawn as without the key")
		}
		got := make([]float64, f.Relays)
		for _, a := range p.Arrivals {
			got[a.Relay]++
		}
		mean, squares := float64(len(p.Arrivals))/10, 0.0
		for _, n := range got {
			squares += (n/mean - 1) * (n/mean - 1) / 10
		}
		if of := math.Sqrt(squares); of < cv/2 || of > 2*cv+0.05 {
			t.Errorf("uneven %v: a coefficient of variation of %.2f", cv, of)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(base))
	for _, name := range Shipped() {
		data, err := shipped.ReadFile("shipped/" + name + ".toml")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		file, err := Parse("fuzz", data)
		if err != nil {
			return
		}
		total := 0.0
		for _, x := range file.Traffic {
			total += x.Rate * (x.To - x.From).AsDuration().Seconds()
		}
		if total > 10000 {
			return // legal, and too long to draw here
		}
		if a, b := file.Draw(0).Digest(), file.Draw(0).Digest(); a != b {
			t.Errorf("two plans: %s and %s", a, b)
		}
	})
}

// No two endpoints of a large world have one id.
func TestEndpointsOfALargeWorldHaveTheirOwnIDs(t *testing.T) {
	f, err := Load("quiet-day")
	if err != nil {
		t.Fatal(err)
	}
	f.Destinations, f.Faults = []Destination{
		{Kind: f.DestinationKinds[0].Name, Count: 140_000, Endpoints: 2, LimitRate: 1, TrafficWeight: 1, Zones: f.Zones},
	}, nil
	ids := map[string]bool{}
	for _, e := range f.DrawWithoutArrivals(1).Endpoints {
		ids[e.ID] = true
	}
	if len(ids) != 280_000 {
		t.Errorf("%d ids of 280000 endpoints", len(ids))
	}
}
