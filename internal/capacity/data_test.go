package capacity

import "testing"

func TestParse(t *testing.T) {
	for _, c := range []struct {
		name, text string
		valid      bool
	}{
		{"valid run", `{"runs":[{"program":"before","series":[` +
			`{"name":"a","points":[{"n":1,"value":1},{"n":2,"value":1}]}]}]}`, true},
		{"unknown program", `{"runs":[{"program":"after"}]}`, false},
		{"duplicate series", `{"runs":[{"program":"before","series":[{"name":"a"},{"name":"a"}]}]}`, false},
		{"decreasing sizes", `{"runs":[{"program":"before","series":[` +
			`{"name":"a","points":[{"n":2,"value":1},{"n":1,"value":1}]}]}]}`, false},
		{"invalid JSON", `{`, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if _, err := Parse([]byte(c.text)); (err == nil) != c.valid {
				t.Errorf("Parse(%s): error %v, want valid: %v", c.text, err, c.valid)
			}
		})
	}
}

// A later run of a program replaces only the series of the same names. A run of the current program becomes the latest.
func TestAdd(t *testing.T) {
	var d Data
	d.Add(Run{Program: Baseline, Commit: "one", Series: []Series{{Name: "a", Axis: "old"}, {Name: "b", Axis: "old"}}})
	d.Add(Run{Program: Baseline, Commit: "two", Series: []Series{{Name: "a", Axis: "new"}}})
	r, _ := d.Latest()
	a, _ := r.series("a")
	b, ok := r.series("b")
	if len(d.Runs) != 1 || len(r.Series) != 2 || r.Commit != "two" || a.Axis != "new" || !ok || b.Axis != "old" {
		t.Errorf("after a second run of the baseline: %+v", d)
	}
	d.Add(Run{Program: Current, Commit: "three"})
	if r, _ := d.Latest(); r.Commit != "three" {
		t.Errorf("latest run: %+v, want commit three", r)
	}
}
