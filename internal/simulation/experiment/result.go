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

// maxLineSize bounds a line of a file of results, in bytes.
const maxLineSize = 1 << 20

// Result is what came of a run, one line of a file of results.
type Result struct {
	Plan     string  `json:"plan"` // Plan.Hash
	Revision string  `json:"revision"`
	Cell     []Level `json:"cell"`
	Seed     uint64  `json:"seed"`
	// Measures has the figures by the names of Measures.
	Measures map[string]float64 `json:"measures"`
	// ViolatedRules has the number of violations of each violated rule.
	ViolatedRules map[string]int `json:"broken,omitempty"`
	// LatencyHistogram is the times from submission to delivery in HdrHistogram's encoding.
	LatencyHistogram string `json:"late,omitempty"`
	// Error is why the run could not be played to its end.
	Error string `json:"error,omitempty"`
}

// Key names the run of a result within its experiment.
func (r Result) Key() string { return runKey(r.Cell, r.Seed) }

// Histogram returns the times from submission to delivery in nanoseconds, or nil if the result has none that can be
// read.
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

// ReadResults reads results. It skips a last line that was cut off, as by a kill.
func ReadResults(r io.Reader) (results []Result, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineSize)
	var invalid error // wrong only if another line follows
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

// Progress is called after each run of an experiment.
type Progress func(done, total int, result Result)

// PlayOptions say how an experiment is played.
type PlayOptions struct {
	Revision string   // of the decisions
	Previous []Result // of runs that need not be played again, if they have the same plan and revision
	Workers  int      // 0: one for each core
	Progress Progress // nil: none is reported
}

// PlayAll plays the runs that have no result yet. It writes each result as it comes, a line at a time, so that what is
// done is kept whatever ends it. Once the context is done it ends after the runs under way, with the context's error.
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

// missing returns the runs without a previous result.
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
