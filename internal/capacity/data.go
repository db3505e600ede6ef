package capacity

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Data is everything that was measured: one run for each program. It is stored as docs/capacity.json.
type Data struct {
	Runs []Run `json:"runs"`
}

// Program names one of the programs that are compared.
type Program string

// The programs.
const (
	Baseline Program = "before"   // the program for which the tables were first made
	Current  Program = "in force" // the program as it is
)

// Run is what was measured of one program.
type Run struct {
	Program    Program  `json:"program"`
	Date       string   `json:"date"`
	Commit     string   `json:"commit"`
	Machine    Machine  `json:"machine"`
	Quick      bool     `json:"quick,omitempty"`   // only the smaller sizes were measured
	ActiveOnly bool     `json:"at_rest,omitempty"` // the program's engine knows the active destinations only
	Seconds    float64  `json:"seconds"`           // duration of the measurement
	Series     []Series `json:"series"`
}

// Machine is the computer that the measurements were made on.
type Machine struct {
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	Go       string `json:"go"`
}

// Series is a cost at several sizes.
type Series struct {
	Name   string  `json:"name"`
	Axis   string  `json:"axis"` // what the sizes count
	Unit   Unit    `json:"unit"` // of the cost
	Points []Point `json:"points"`
	// ExtrapolationReason says why a nonlinear model of this series may be extrapolated beyond maxExtrapolation. Empty:
	// it may not.
	ExtrapolationReason string `json:"why,omitempty"`
	// Limitations says what the measurement left out.
	Limitations string `json:"hollow,omitempty"`
}

// Point is one measurement. A size at which the measured operation never completed has no value.
type Point struct {
	Size   float64 `json:"n"`
	Value  float64 `json:"value"`
	Failed bool    `json:"stopped,omitempty"`
}

// Unit is the unit of a value.
type Unit string

// The units.
const (
	Bytes       Unit = "B"
	ByteRate    Unit = "B/s"
	Seconds     Unit = "s"
	Cores       Unit = "cores"
	Rate        Unit = "/s"
	Count       Unit = ""
	CountPerDay Unit = "/day"
)

// Parse reads Data. It rejects unknown programs, two series of one name in a run, and sizes that decrease.
func Parse(data []byte) (Data, error) {
	var d Data
	if err := json.Unmarshal(data, &d); err != nil {
		return Data{}, fmt.Errorf("capacity: %w", err)
	}
	var errs []error
	for _, r := range d.Runs {
		errs = append(errs, r.validate())
	}
	return d, errors.Join(errs...)
}

func (r Run) validate() error {
	var errs []error
	if r.Program != Baseline && r.Program != Current {
		errs = append(errs, fmt.Errorf("capacity: a run of program %q", r.Program))
	}
	seen := map[string]bool{}
	for _, s := range r.Series {
		if seen[s.Name] {
			errs = append(errs, fmt.Errorf("capacity: %s: series %s twice", r.Program, s.Name))
		}
		seen[s.Name] = true
		if !slices.IsSortedFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) }) {
			errs = append(errs, fmt.Errorf("capacity: %s: sizes of %s do not rise", r.Program, s.Name))
		}
	}
	return errors.Join(errs...)
}

// Bytes returns the stored form of d.
func (d Data) Bytes() ([]byte, error) {
	data, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		return nil, fmt.Errorf("capacity: %w", err)
	}
	return append(data, '\n'), nil
}

// Add adds a run. Its series replace those of the same names in the program's earlier run; the others stay.
func (d *Data) Add(r Run) {
	for i, earlier := range d.Runs {
		if earlier.Program != r.Program {
			continue
		}
		for _, s := range earlier.Series {
			if _, replaced := r.series(s.Name); !replaced {
				r.Series = append(r.Series, s)
			}
		}
		d.Runs[i] = r
		return
	}
	d.Runs = append(d.Runs, r)
}

// Run returns the run of a program.
func (d Data) Run(program Program) (Run, bool) {
	for _, r := range d.Runs {
		if r.Program == program {
			return r, true
		}
	}
	return Run{}, false
}

// Latest returns the run of the current program or, if there is none, of the baseline.
func (d Data) Latest() (Run, bool) {
	if r, ok := d.Run(Current); ok {
		return r, true
	}
	return d.Run(Baseline)
}

func (r Run) series(name string) (Series, bool) {
	for _, s := range r.Series {
		if s.Name == name {
			return s, true
		}
	}
	return Series{}, false
}

// largestPassed returns the largest size that completed below the first one that failed, and that first one. It is
// false if no size failed.
func (s Series) largestPassed() (passed, failed float64, ok bool) {
	for _, p := range s.Points {
		if p.Failed {
			return passed, p.Size, true
		}
		passed = p.Size
	}
	return 0, 0, false
}
