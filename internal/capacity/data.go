package capacity

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Data holds all measurements, one run for each program. It is stored as docs/capacity.json.
type Data struct {
	Runs []Run `json:"runs"`
}

// Program identifies one of the two versions of the relay that the capacity page compares.
type Program string

// The programs.
const (
	Baseline Program = "before"   // the version for which the tables were first generated
	Current  Program = "in force" // the current version
)

// Run holds the measurements of one program.
type Run struct {
	Program    Program  `json:"program"`
	Date       string   `json:"date"`
	Commit     string   `json:"commit"`
	Machine    Machine  `json:"machine"`
	Quick      bool     `json:"quick,omitempty"`   // only the smaller sizes were measured
	ActiveOnly bool     `json:"at_rest,omitempty"` // the program's engine has state for active destinations only
	Seconds    float64  `json:"seconds"`           // duration of the measurement
	Series     []Series `json:"series"`
}

// Machine is the computer that the measurements were made on.
type Machine struct {
	Cores    int    `json:"cores"`
	MemoryMB int    `json:"memory_mb"`
	Go       string `json:"go"`
}

// Series is one cost, measured at several sizes.
type Series struct {
	Name   string  `json:"name"`
	Axis   string  `json:"axis"` // what the sizes count
	Unit   Unit    `json:"unit"` // of the cost
	Points []Point `json:"points"`
	// ExtrapolationReason states why a nonlinear model of this series may be extrapolated to more than maxExtrapolation
	// times its largest size. Empty: that is not allowed.
	ExtrapolationReason string `json:"why,omitempty"`
	// Limitations states what the measurement left out.
	Limitations string `json:"hollow,omitempty"`
}

// Point is one measurement. If the operation did not complete for the whole size, Failed is true and Value is unused.
type Point struct {
	Size   float64 `json:"n"`
	Value  float64 `json:"value"`
	Failed bool    `json:"stopped,omitempty"`
}

// Unit is the unit of a value, as stored in docs/capacity.json.
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

// Parse decodes Data. It rejects unknown programs, two series with the same name in a run, and sizes that decrease.
func Parse(data []byte) (Data, error) {
	var d Data
	if err := json.Unmarshal(data, &d); err != nil {
		return Data{}, fmt.Errorf("capacity: decode measurements: %w", err)
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
		errs = append(errs, fmt.Errorf("capacity: unknown program %q, want %q or %q", r.Program, Baseline, Current))
	}
	seen := map[string]bool{}
	for _, s := range r.Series {
		if seen[s.Name] {
			errs = append(errs, fmt.Errorf("capacity: program %q: duplicate series %q", r.Program, s.Name))
		}
		seen[s.Name] = true
		if !slices.IsSortedFunc(s.Points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) }) {
			errs = append(errs, fmt.Errorf("capacity: program %q: sizes of series %q decrease", r.Program, s.Name))
		}
	}
	return errors.Join(errs...)
}

// Bytes encodes d in the form of docs/capacity.json.
func (d Data) Bytes() ([]byte, error) {
	data, err := json.MarshalIndent(d, "", " ")
	if err != nil {
		return nil, fmt.Errorf("capacity: encode measurements: %w", err)
	}
	return append(data, '\n'), nil
}

// Add adds a run. It replaces the program's earlier run, but keeps those earlier series whose names r does not have.
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

// largestPassed returns the first size that failed and the largest size before it. passed is 0 if the smallest size
// failed. ok is false if no size failed.
func (s Series) largestPassed() (passed, failed float64, ok bool) {
	for _, p := range s.Points {
		if p.Failed {
			return passed, p.Size, true
		}
		passed = p.Size
	}
	return 0, 0, false
}
