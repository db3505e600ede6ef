package reload

import (
	"testing"

	"pgregory.net/rapid"
)

// Rules are the same after they were stored and read, and a configuration with them binds new messages alike.
func TestRulesOutlastTheProcess(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rules := RulesOf(drawConfig(t, "config"))
		data, err := rules.Encode()
		if err != nil {
			t.Fatal(err)
		}
		read, err := DecodeRules(data)
		if err != nil || !read.Equal(rules) || !RulesOf(read.In(Config{})).Equal(rules) {
			t.Fatalf("%+v read as %+v, %v", rules, read, err)
		}
	})
}

func TestDecodeRulesRejectsMalformedInput(t *testing.T) {
	for _, data := range []string{"", "{", "{}", `{"Names":["a"],"Classes":[]}`, `{"Names":"a"}`} {
		if rules, err := DecodeRules([]byte(data)); err == nil {
			t.Errorf("%q is read as %+v", data, rules)
		}
	}
}
