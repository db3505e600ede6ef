package experiment

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// maxLineSize bounds a line of a results file, in bytes. ReadResults fails at a longer line.
const maxLineSize = 1 << 20

// Result is the outcome of a run. A results file has one on each line.
type Result struct {
	Plan     string  `json:"plan"`     // Plan.Hash
	Revision string  `json:"revision"` // revision of the decision policy
	Cell     []Level `json:"cell"`
	Seed     uint64  `json:"seed"`
	// Measures has the values of the measures by Measure.Name.
	Measures map[string]float64 `json:"measures"`
	// ViolatedRules has the number of violations of each violated rule, if the plan is checked.
	ViolatedRules map[string]int `json:"broken,omitempty"`
	// LatencyHistogram is a histogram of the times from submission to delivery, in HdrHistogram's encoding and base64.
	LatencyHistogram string `json:"late,omitempty"`
	// Error is the reason why the run did not reach its end.
	Error string `json:"error,omitempty"`
}

// Key identifies the run of the result within its experiment.
func (r Result) Key() string { return runKey(r.Cell, r.Seed) }

// Histogram decodes LatencyHistogram, whose values are in nanoseconds. It returns nil if the result has no histogram or
// an invalid one.
func (r Result) Histogram() *hdrhistogram.Histogram {
	data, err := base64.StdEncoding.DecodeString(r.LatencyHistogram)
	if err != nil || len(data) == 0 {
		return nil
	}
	histogram, err := hdrhistogram.Decode(data)
	if err != nil {
		return nil
	}
	return histogram
}

// ReadResults reads a results file. It skips an invalid last line, which a process leaves if it is killed while it
// writes.
func ReadResults(r io.Reader) (results []Result, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineSize)
	var invalid error // returned only if another line follows the invalid one
	for number := 1; lines.Scan(); number++ {
		if invalid != nil {
			return results, invalid
		}
		var result Result
		if err := json.Unmarshal(lines.Bytes(), &result); err != nil {
			invalid = fmt.Errorf("results: line %d: %w", number, err)
			continue
		}
		results = append(results, result)
	}
	if err := lines.Err(); err != nil {
		return results, fmt.Errorf("results: %w", err)
	}
	return results, nil
}

// Progress is called after each run of an experiment. done counts the runs that have a result, earlier ones included.
type Progress func(done, total int, result Result)

// PlayOptions are the options of Plan.PlayAll.
type PlayOptions struct {
	Revision string   // of the decision policy, stored in the results
	Previous []Result // earlier results: their runs are skipped, except after an error or for another plan or revision
	Workers  int      // 0: one for each core
	Progress Progress // nil: no progress is reported
}

// PlayAll plays the runs that have no previous result. It writes each result to out, as one line, as soon as the run
// has ended, so that an interrupted experiment keeps the results of all finished runs. After the context is done,
// PlayAll finishes the runs in progress and returns the context's error.
func (p Plan) PlayAll(ctx context.Context, out io.Writer, options PlayOptions) (played int, err error) {
	runs := p.Runs()
	missing := p.missing(runs, options)
	done := len(runs) - len(missing)
	var mu sync.Mutex
	ForEach(ctx, options.Workers, len(missing), func(i int) {
		result := p.Play(missing[i])
		result.Revision = options.Revision
		mu.Lock()
		defer mu.Unlock()
		err = errors.Join(err, writeResult(out, result))
		played++
		if options.Progress != nil {
			options.Progress(done+played, len(runs), result)
		}
	})
	return played, errors.Join(err, ctx.Err())
}

// missing returns the runs without a usable previous result.
func (p Plan) missing(runs []Run, options PlayOptions) (missing []Run) {
	hash := p.Hash()
	done := map[string]bool{}
	for _, result := range options.Previous {
		if result.Plan == hash && result.Revision == options.Revision && result.Error == "" {
			done[result.Key()] = true
		}
	}
	for _, run := range runs {
		if !done[run.Key()] {
			missing = append(missing, run)
		}
	}
	return missing
}

func writeResult(out io.Writer, result Result) error {
	line, err := json.Marshal(result)
	if err != nil {
		return fmt.Errorf("results: %w", err)
	}
	_, err = out.Write(append(line, '\n'))
	return err
}
