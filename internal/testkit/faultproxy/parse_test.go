package faultproxy

import (
	"strings"
	"testing"
)

func TestRulesParseBack(t *testing.T) {
	for _, text := range []string{
		`conn=2 dir=up after=1s at=5 match="\r\n\x00 \"" nth=3 do=reset`,
		"dir=down for=1.5s do=delay",
		"dir=up rate=10 do=trickle",
		`dir=down with="a b" do=garble`,
		"dir=up bytes=7 do=drop",
	} {
		t.Run(text, func(t *testing.T) {
			rule, err := ParseRule(text)
			if err != nil || rule.String() != text {
				t.Errorf("parsed as %s, error %v", rule, err)
			}
		})
	}
}

func TestParseRuleRejects(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"", "unknown fault"},
		{"do=melt", "unknown fault"},
		{"reset", "no key=value"},
		{"do=reset dir=left", "neither up nor down"},
		{"do=reset at=x", "at: "},
		{"do=reset at=-1", "below 0"},
		{"do=delay", "needs for"},
		{"do=trickle", "needs rate"},
		{"do=reset colour=red", "unknown key"},
		{"do=reset do=close", "stands twice"},
		{`do=reset match="a`, "no end"},
		{`do=reset match="a"b`, "behind its text"},
		{"do=refuse at=1", "takes conn alone"},
		{"do=reset with=x", "garble alone"},
		{"do=reset nth=2", "match alone"},
		{"do=stall for=2h", "at most"},
		{"do=drop bytes=99999999", "at most"},
		{"do=reset match=" + strings.Repeat("x", 5000), "at most"},
	} {
		if _, err := ParseRule(test.text); err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("ParseRule(%.30q): error %v, want %q", test.text, err, test.want)
		}
	}
}

func FuzzParseRule(f *testing.F) {
	f.Add(`conn=2 dir=up after=1s at=5 match="\r\n" nth=3 do=reset`)
	f.Add(`dir=down with="\"" do=garble`)
	f.Fuzz(func(t *testing.T, text string) {
		rule, err := ParseRule(text)
		if err != nil {
			return
		}
		again, err := ParseRule(rule.String())
		if err != nil || again.String() != rule.String() {
			t.Errorf("%s is parsed as %s, error %v", rule, again, err)
		}
	})
}
