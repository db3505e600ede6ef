package experiment

import (
	"bufio"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cherrytrestle.example/cherrytrestle/internal/simulation/emulate"
	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
)

// Result is what came of a run: one line of a file of results.
type Result struct {
	Plan     string  `json:"plan"` // Plan.Hash
	Revision string  `json:"revision"`
	Cell     []Value `json:"cell"`
	Seed     uint64  `json:"seed"`
	// Measures by their names: see MeasureNames.
	Measures map[string]float64 `json:"measures"`
	Broken   map[string]int     `json:"broken,omitempty"` // rules, with the number of breaks
	Late     string             `json:"late,omitempty"`   // the histogram from hand-in to delivery, in HdrHistogram's form
	Error    string             `json:"error,omitempty"`  // the run could not be played to its end
}

// MeasureNames are the measures of a run, with what each is.
var MeasureNames = [][2]string{
	{"service", "worth delivered of the worth asked for"},
	{"worst_10s", "the same of the worst ten seconds"},
	{"in_full", "share of the messages delivered within the aim"},
	{"late_p50", "seconds from hand-in to delivery, median"},
	{"late_p99", "seconds from hand-in to delivery, 99 %"},
	{"refused", "share of the messages turned away at the door"},
	{"deferred", "share given up on with advice to come again"},
	{"failed", "share given up on with no promise"},
	{"undelivered", "share never delivered"},
	{"calls", "calls for each message"},
	{"calls_full", "share of the calls that were refused"},
	{"calls_failed", "share of the calls that failed"},
	{"connections", "new connections for each message"},
	{"connections_full", "share of them that a host with a full table refused"},
	{"fell", "destinations pushed over"},
	{"broken", "rules broken (judged runs)"},
}

// Play plays a run. It plays the same run to the same result, byte for byte.
func (p Plan) Play(r Run) (res Result) {
	res = Result{Plan: p.Hash(), Cell: r.Cell, Seed: r.Seed}
	f, opts, err := p.world(r)
	var w *emulate.World
	if err == nil {
		plan := f.DrawWithoutArrivals(r.Seed)
		if p.Judged {
			plan = f.Draw(r.Seed)
		}
		if w, err = emulate.New(plan, opts); err == nil {
			err = w.Play()
		}
	}
	if err != nil {
		res.Error = err.Error()
		return res
	}
	res.Measures = Measure(&w.Metrics)
	if p.Judged {
		h, events := w.Result()
		v := checker.Check(h, events)
		res.Broken = map[string]int{}
		for _, x := range v.Rules {
			if x.ViolationCount > 0 {
				res.Broken[string(x.Rule)] = x.ViolationCount
			}
		}
		res.Measures["broken"] = float64(len(res.Broken))
	}
	if data, err := w.Latencies().Encode(hdrhistogram.V2CompressedEncodingCookieBase); err == nil {
		res.Late = base64.StdEncoding.EncodeToString(data)
	}
	return res
}

// Measure is the measures of a run by their names.
func Measure(m *emulate.Metrics) map[string]float64 {
	share := func(n, of int) float64 { return math.Round(1e6*float64(n)/float64(max(1, of))) / 1e6 }
	return map[string]float64{
		"service": round(m.Overall()), "worst_10s": round(m.WorstWindow()), "in_full": share(m.DeliveredInTime, m.Submitted),
		"late_p50": m.LatencyPercentile(50).Seconds(), "late_p99": m.LatencyPercentile(99).Seconds(),
		"refused": share(
			m.Rejected,
			m.Submitted,
		), "deferred": share(m.Deferred, m.Submitted), "failed": share(m.Failed, m.Submitted),
		"undelivered": share(m.Undelivered(), m.Submitted), "calls": share(m.Calls, m.Submitted),
		"calls_full": share(
			m.CallsRejected,
			m.Calls,
		), "calls_failed": share(m.CallsFailed, m.Calls), "fell": float64(m.Overloads),
		"connections": share(
			m.ConnectionsOpened+m.ConnectionsRefused,
			m.Submitted,
		), "connections_full": share(m.ConnectionsRefused, m.ConnectionsOpened+m.ConnectionsRefused),
	}
}

func round(x float64) float64 { return math.Round(1e6*x) / 1e6 }

// Progress is told after each run.
type Progress func(done, of int, res Result)

// Do plays the runs that are not among the results had before, on so many workers (0: one for each core), and writes
// each result as it comes, a line at a time: what is done is kept whatever ends it. It ends early, with ctx's error,
// once the runs that are under way are done.
func (p Plan) Do(
	ctx context.Context,
	out io.Writer,
	revision string,
	had []Result,
	workers int,
	progress Progress,
) (n int, err error) {
	done := map[string]bool{}
	hash := p.Hash()
	for _, r := range had {
		if r.Plan == hash && r.Revision == revision && r.Error == "" {
			done[Run{Cell: r.Cell, Seed: r.Seed}.Key()] = true
		}
	}
	runs := p.Runs()
	todo := make(chan Run)
	var mu sync.Mutex
	var wg sync.WaitGroup
	if workers <= 0 {
		workers = runtime.GOMAXPROCS(0)
	}
	count := len(done)
	for range workers {
		wg.Go(func() {
			for r := range todo {
				res := p.Play(r)
				res.Revision = revision
				line, e := json.Marshal(res)
				mu.Lock()
				if e == nil {
					_, e = out.Write(append(line, '\n'))
				}
				err = errors.Join(err, e)
				n++
				count++
				if progress != nil {
					progress(count, len(runs), res)
				}
				mu.Unlock()
			}
		})
	}
	for _, r := range runs {
		if done[r.Key()] {
			continue
		}
		select {
		case todo <- r:
			continue
		case <-ctx.Done():
		}
		break
	}
	close(todo)
	wg.Wait()
	return n, errors.Join(err, ctx.Err())
}

const lineMost = 1 << 20

// Read reads results. A torn last line, as after a kill, is left out.
func Read(r io.Reader) (all []Result, err error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, lineMost)
	var torn error
	for n := 1; lines.Scan(); n++ {
		if torn != nil {
			return all, torn
		}
		var x Result
		if err := json.Unmarshal(lines.Bytes(), &x); err != nil {
			torn = fmt.Errorf("results: line %d: %w", n, err)
			continue
		}
		all = append(all, x)
	}
	if err := lines.Err(); err != nil {
		return all, fmt.Errorf("results: %w", err)
	}
	return all, nil
}

// Histogram is the histogram of a result, nil if it has none that can be read.
func (r Result) Histogram() *hdrhistogram.Histogram {
	data, err := base64.StdEncoding.DecodeString(r.Late)
	if err != nil || len(data) == 0 {
		return nil
	}
	h, err := hdrhistogram.Decode(data)
	if err != nil {
		return nil
	}
	return h
}

// Took formats a duration for people.
func Took(d time.Duration) string { return d.Round(100 * time.Millisecond).String() }
