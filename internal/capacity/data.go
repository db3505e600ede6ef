package capacity

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Data is all that was measured, one run for each program: it stands beside the page, which is made of it.
type Data struct {
	Runs []Run `json:"runs"`
}

// Names of the programs that are compared.
const (
	Before  = "before"   // as it was when the tables were first made
	InForce = "in force" // as it is
)

// Run is what was measured of one program.
type Run struct {
	Program string   `json:"program"` // Before or InForce
	Date    string   `json:"date"`
	Commit  string   `json:"commit"`
	Machine Machine  `json:"machine"`
	Quick   bool     `json:"quick,omitempty"`   // at the smaller sizes alone
	AtRest  bool     `json:"at_rest,omitempty"` // its module is told of the destinations that are awake alone
	Seconds float64  `json:"seconds"`           // that it took
	Series  []Series `json:"series"`
}

// Machine is what was measured on.
type Machine struct {
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	Go       string `json:"go"`
}

// Series is a cost at several sizes.
type Series struct {
	Name   string  `json:"name"`
	Axis   string  `json:"axis"` // what N counts
	Unit   Unit    `json:"unit"`
	Points []Point `json:"points"`
	// Why tells why a line that bends may be drawn out beyond ten times its largest size; "": it may not.
	Why string `json:"why,omitempty"`
	// Hollow tells what the measurement left out, and what that hides.
	Hollow string `json:"hollow,omitempty"`
}

// Point is one reading. A size at which what is measured did not come to an end has no value.
type Point struct {
	N       float64 `json:"n"`
	Value   float64 `json:"value"`
	Stopped bool    `json:"stopped,omitempty"`
}

// Unit is what a value counts.
type Unit string

// The units.
const (
	Bytes     Unit = "B"
	ByteRate  Unit = "B/s"
	Seconds   Unit = "s"
	Cores     Unit = "cores"
	Rate      Unit = "/s"
	Count     Unit = ""
	CountADay Unit = "/day"
)

// Parse reads Data. Series of one name in a run, sizes that do not rise, and unknown programs are errors.
func Parse(data []byte) (Data, error) {
	var d Data
	if err := json.Unmarshal(data, &d); err != nil {
		return Data{}, fmt.Errorf("capacity: %w", err)
	}
	var errs []error
	for _, r := range d.Runs {
		if r.Program != Before && r.Program != InForce {
			errs = append(errs, fmt.Errorf("capacity: a run of program %q", r.Program))
		}
		seen := map[string]bool{}
		for _, s := range r.Series {
			if seen[s.Name] {
				errs = append(errs, fmt.Errorf("capacity: %s: series %s twice", r.Program, s.Name))
			}
			seen[s.Name] = true
			if !slices.IsSortedFunc(s.Points, func(a, b Point) int {
				if a.N < b.N {
					return -1
				}
				return 1
			}) {
				errs = append(errs, fmt.Errorf("capacity: %s: sizes of %s do not rise", r.Program, s.Name))
			}
		}
	}
	return d, errors.Join(errs...)
}

// Bytes is d's form in a file.
func (d Data) Bytes() ([]byte, error) {
	data, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	return append(data, '\n'), nil
}

// Add puts a run in: its series go before those of the same names that the program's run had; the others stay.
func (d *Data) Add(r Run) {
	for i, old := range d.Runs {
		if old.Program != r.Program {
			continue
		}
		for _, s := range old.Series {
			if !slices.ContainsFunc(r.Series, func(x Series) bool { return x.Name == s.Name }) {
				r.Series = append(r.Series, s)
			}
		}
		d.Runs[i] = r
		return
	}
	d.Runs = append(d.Runs, r)
}

// Run returns the run of a program.
func (d Data) Run(program string) (Run, bool) {
	for _, r := range d.Runs {
		if r.Program == program {
			return r, true
		}
	}
	return Run{}, false
}

// Latest is the run of the program in force; before one was measured, that of the program before.
func (d Data) Latest() (Run, bool) {
	if r, ok := d.Run(InForce); ok {
		return r, true
	}
	return d.Run(Before)
}

func (r Run) series(name string) (Series, bool) {
	for _, s := range r.Series {
		if s.Name == name {
			return s, true
		}
	}
	return Series{}, false
}
