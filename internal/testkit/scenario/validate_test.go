package scenario

import (
	"strings"
	"testing"
)

func TestUnknownKeysAreNamedWithTheirLines(t *testing.T) {
	const file = `name = "x"
lengths = "5s"
[[class]]
name = "a"
efect = "safe"
`
	_, err := Parse("x.toml", []byte(file))
	if err == nil || !strings.Contains(err.Error(), "x.toml:2: unknown key lengths") ||
		!strings.Contains(err.Error(), "x.toml:5: unknown key class.efect") {
		t.Errorf("%v", err)
	}
}

// checkParseError parses an invalid scenario, and checks that the error contains want.
func checkParseError(t *testing.T, file, want string) {
	t.Helper()
	_, err := Parse("test", []byte(file))
	if err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("%v, want %q", err, want)
	}
}

func TestInvalidValuesAreRejectedWithAReason(t *testing.T) {
	for _, c := range []struct{ old, replacement, want string }{
		{`length = "20s"`, `length = "20"`, "test:3"},
		{`length = "20s"`, "length = 20", `length: must be a duration such as "1.5s"`},
		{`length = "20s"`, `length = "-1s"`, "length must be above 0"},
		{"relays = 2", "relays = 21", "relays must be 1 to 20"},
		{"relays = 2", "relays = ", "test:4"},
		{`name = "base"`, "", "name must not be empty"},
		{`effect = "keyed"`, `effect = "keyd"`, `not "keyd"`},
		{`window = "10s"`, "", "needs a window"},
		{`give_up = "12s"`, `give_up = "2s"`, "give_up must be longer than aim"},
		{"late_worth = 0.4", "late_worth = 4", "late_worth must be 0 to 1"},
		{`pace = "100ms"`, "", "must be above 0"},
		{`kind = "store"`, `kind = "shop"`, `unknown kind "shop"`},
		{"count = 3", "count = 400", "endpoints, 500 at most"},
		{"rate = 50", "rate = 0", "rate must be above 0"},
		{"rate = 50", "rate = 1e6", "2000000 at most"},
		{"slots = 2", "slots = 2\nrefused_debt = \"2s\"", `refused_debt 2s needs limit = "rate"`},
	} {
		t.Run(c.replacement, func(t *testing.T) {
			if !strings.Contains(base, c.old) {
				t.Fatalf("no %q in the scenario", c.old)
			}
			checkParseError(t, strings.Replace(base, c.old, c.replacement, 1), c.want)
		})
	}
}

// invalidTables are lines that make the base scenario invalid when they are appended to it. Lines without a table
// header belong to its [[traffic]] table.
var invalidTables = []struct{ name, lines, want string }{
	{
		name:  "shape square",
		lines: `shape = "square"`,
		want:  `not "square"`,
	},
	{
		name:  "class x",
		lines: `class = "x"`,
		want:  `unknown class "x"`,
	},
	{
		name:  "customer x",
		lines: `customer = "x"`,
		want:  `unknown customer "x"`,
	},
	{
		name:  "destinations 9:",
		lines: `destinations = [9]`,
		want:  "destination 9 does not exist, there are 4",
	},
	{
		name:  "to 30s",
		lines: `to = "30s"`,
		want:  "and both within length",
	},
	{
		name:  "body 70000",
		lines: `body = 70000`,
		want:  "body must be",
	},
	{
		name: "trouble: kind quake",
		lines: `[[trouble]]
kind = "quake"`,
		want: "unknown kind, must be one of drain",
	},
	{
		name: "trouble: kind shut share 0.5",
		lines: `[[trouble]]
kind = "shut"
share = 0.5`,
		want: "needs for",
	},
	{
		name: "trouble: kind shut for 1s",
		lines: `[[trouble]]
kind = "shut"
for = "1s"`,
		want: "needs destinations or a share",
	},
	{
		name: "trouble: kind drain",
		lines: `[[trouble]]
kind = "drain"`,
		want: "needs destinations or a share",
	},
	{
		name: "trouble: kind kill at 20s",
		lines: `[[trouble]]
kind = "kill"
at = "20s"`,
		want: "at must be within length",
	},
	{
		name: "trouble: kind kill relays 3:",
		lines: `[[trouble]]
kind = "kill"
relays = [3]`,
		want: "relay 3 does not exist, there are 2",
	},
	{
		name: "trouble: kind discovery-late for 1s",
		lines: `[[trouble]]
kind = "discovery-late"
for = "1s"`,
		want: "needs delay",
	},
	{
		name: "trouble: kind slow for 1s share 0.1 zone c",
		lines: `[[trouble]]
kind = "slow"
for = "1s"
share = 0.1
zone = "c"`,
		want: `unknown zone "c"`,
	},
	{
		name: "class: name order effect safe aim 1s give_up 2s",
		lines: `[[class]]
name = "order"
effect = "safe"
aim = "1s"
give_up = "2s"`,
		want: `duplicate name "order"`,
	},
	{
		name: "settings: sockets 3",
		lines: `[settings]
sockets = 3`,
		want: "sockets must be at least 64",
	},
	{
		name: "clients: again 2.0",
		lines: `[clients]
again = 2.0`,
		want: "again must be 0 to 1",
	},
	{
		name: "clients: uneven -1.0",
		lines: `[clients]
uneven = -1.0`,
		want: "uneven must be 0 to 10",
	},
	{
		name: "trouble: kind lowered share 0.5",
		lines: `[[trouble]]
kind = "lowered"
share = 0.5`,
		want: "needs for",
	},
	{
		name: "trouble: kind lost-answers for 1s share 0.5 calls 1.5",
		lines: `[[trouble]]
kind = "lost-answers"
for = "1s"
share = 0.5
calls = 1.5`,
		want: "0 to 1",
	},
	{
		name: "trouble: kind clock-step by -3s",
		lines: `[[trouble]]
kind = "clock-step"
by = "-3s"`,
		want: "a rehearsal of processes cannot set their clocks",
	},
	{
		name: "trouble: kind clock-step",
		lines: `[[trouble]]
kind = "clock-step"`,
		want: "needs by",
	},
	{
		name: "discovery: least 2s most 1s",
		lines: `[discovery]
least = "2s"
most = "1s"`,
		want: "least must not be above most",
	},
}

func TestInvalidTablesAreRejectedWithAReason(t *testing.T) {
	for _, c := range invalidTables {
		t.Run(c.name, func(t *testing.T) { checkParseError(t, base+c.lines, c.want) })
	}
}

func TestAllProblemsAreInOneError(t *testing.T) {
	_, err := Parse("test", []byte("name = \"\"\nlength = \"0s\"\n"))
	if n := strings.Count(err.Error(), "\n"); n < 5 {
		t.Errorf("only %d problems: %v", n+1, err)
	}
}
