// Package rehearsal runs a scenario with real relay processes. It starts the relays and fakes of all their peers,
// submits messages, injects the faults of the plan, and passes the record to the checker.
package rehearsal

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const defaultReadyTimeout = 30 * time.Second

// RecordName is the name of the record file in a rehearsal's folder.
const RecordName = "record.jsonl"

// RecordingsName is the name of the folder, in each relay's folder, with the recordings of the relay's flight recorder.
const RecordingsName = "recordings"

const planName = "plan.txt"

// Options are the options of a rehearsal.
type Options struct {
	Dir    string // folder for the plan, the record and the relays; created if it does not exist
	Binary string // path of the relay's program
	Seed   uint64 // of the plan; 0: the scenario's seed
	Port   int    // of the first relay; the others use the ports that follow; 0: any free ports
	// Progress is called once a second, unless it is nil.
	Progress        func(Progress)
	ReadyTimeout    time.Duration // for a relay to become ready; 0: 30 s
	RecordDecisions bool          // have the relays' flight recorders write everything
}

// Progress is the progress of a rehearsal.
type Progress struct {
	Elapsed, Length time.Duration // time since the start, and length of the scenario
	Submitted       int           // messages
	ActiveFaults    []string      // names of the faults
	Settling        bool          // the length has passed, and the last final answers are awaited
}

// Result is the result of a rehearsal.
type Result struct {
	Header  eventlog.Header
	Events  []eventlog.Event
	Verdict checker.Result
}

func newResult(header eventlog.Header, events []eventlog.Event) Result {
	return Result{Header: header, Events: events, Verdict: checker.Check(header, events)}
}

// Run runs a scenario. If the rehearsal itself fails or ctx ends, it returns the error and a result for the events
// until then, which are also in the record file. A violated rule is not an error.
func Run(ctx context.Context, file scenario.File, options Options) (result Result, err error) {
	if options.ReadyTimeout == 0 {
		options.ReadyTimeout = defaultReadyTimeout
	}
	plan := file.Draw(options.Seed)
	if err := os.MkdirAll(options.Dir, 0o700); err != nil {
		return Result{}, fmt.Errorf("rehearsal: %w", err)
	}
	if err := writePlan(filepath.Join(options.Dir, planName), plan); err != nil {
		return Result{}, err
	}
	out, err := os.Create(filepath.Join(options.Dir, RecordName))
	if err != nil {
		return Result{}, fmt.Errorf("rehearsal: %w", err)
	}
	defer func() {
		if closeErr := out.Close(); closeErr != nil {
			err = errors.Join(err, fmt.Errorf("rehearsal: %w", closeErr))
		}
	}()
	header := file.RecordHeader(plan.Seed)
	header.PlanDigest = plan.Digest()
	startedAt := time.Now()
	record, err := eventlog.NewWriter(out, startedAt, header)
	if err != nil {
		return Result{}, err
	}
	header.Format, header.StartedAt = eventlog.FormatVersion, startedAt.Round(0)
	err = newRunner(plan, options, record).run(ctx)
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	events, closeErr := record.Close(cause)
	return newResult(header, events), errors.Join(err, closeErr)
}

func writePlan(path string, plan scenario.Plan) error {
	file, err := os.Create(path)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	_, err = plan.WriteTo(file)
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("rehearsal: plan: %w", err)
	}
	return nil
}

// ReadRecord reads the record in a rehearsal's folder, and checks it again.
func ReadRecord(dir string) (Result, error) {
	file, err := os.Open(filepath.Join(dir, RecordName))
	if err != nil {
		return Result{}, fmt.Errorf("rehearsal: %w", err)
	}
	defer func() { _ = file.Close() }() // the file was only read
	header, events, err := eventlog.Read(file)
	if err != nil {
		return Result{}, err
	}
	return newResult(header, events), nil
}
