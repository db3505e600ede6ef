package experiment

import (
	"bytes"
	"context"
	"errors"
	"strings"
	"testing"
)

const smallPlan = `
name = "small"
scenario = "first-run"
seeds = 4
judged = true
[set]
"class.1.window" = "8s"
[[factor]]
path = "relays"
values = [1, 2]
[[factor]]
path = "settings.slots"
values = [10, 40]
`

const smallPlanRuns = 16

// TestResume resumes an experiment that was cancelled and whose last result was cut off. The results must equal those
// of an uninterrupted experiment with another number of workers.
func TestResume(t *testing.T) {
	p := parsePlan(t, smallPlan)
	var complete bytes.Buffer
	n, err := p.PlayAll(t.Context(), &complete, PlayOptions{Revision: "r", Workers: 3})
	if n != smallPlanRuns || err != nil {
		t.Fatalf("played %d runs, want %d: %v", n, smallPlanRuns, err)
	}
	cut, previous := playCancelled(t, p)
	resumed := bytes.NewBuffer(cut[:bytes.LastIndexByte(cut, '\n')+1])
	n, err = p.PlayAll(t.Context(), resumed, PlayOptions{Revision: "r", Previous: previous, Workers: 2})
	if n != smallPlanRuns-len(previous) || err != nil {
		t.Fatalf("played %d more runs, want %d: %v", n, smallPlanRuns-len(previous), err)
	}
	if a, b := describeResults(t, &complete), describeResults(t, resumed); a != b || !strings.Contains(a, "<svg") {
		t.Error("the results after cancelling and resuming differ from those of an uninterrupted experiment")
	}
}

// TestOtherRevision checks that results of another policy revision are not reused: all runs are played again.
func TestOtherRevision(t *testing.T) {
	p := parsePlan(t, smallPlan)
	_, previous := playCancelled(t, p)
	n, err := p.PlayAll(t.Context(), &bytes.Buffer{}, PlayOptions{Revision: "other", Previous: previous})
	if n != smallPlanRuns || err != nil {
		t.Errorf("played %d runs for another revision, want %d: %v", n, smallPlanRuns, err)
	}
}

// playCancelled cancels an experiment after five runs, and removes the end of the last line of its results. It returns
// the truncated file and the results that can be read from it.
func playCancelled(t *testing.T, p Plan) ([]byte, []Result) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var out bytes.Buffer
	n, err := p.PlayAll(ctx, &out, PlayOptions{Revision: "r", Workers: 1, Progress: func(done, _ int, _ Result) {
		if done == 5 {
			cancel()
		}
	}})
	if !errors.Is(err, context.Canceled) || n < 5 || n > 6 {
		t.Fatalf("played %d runs before the cancellation, want 5 or 6: %v", n, err)
	}
	cut := out.Bytes()[:out.Len()-20]
	results, err := ReadResults(bytes.NewReader(cut))
	if err != nil || len(results) != n-1 {
		t.Fatalf("read %d results of %d runs, want all but the last: %v", len(results), n, err)
	}
	return cut, results
}

// describeResults returns the latency histograms of the results, in the order of the cells, and the page about them.
func describeResults(t *testing.T, results *bytes.Buffer) string {
	t.Helper()
	all, err := ReadResults(results)
	if err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	for _, cell := range Cells(all) {
		for _, result := range cell.Results {
			page.WriteString(cell.Name() + result.LatencyHistogram)
		}
	}
	if err := WritePage(&page, "x", all); err != nil {
		t.Fatal(err)
	}
	return page.String()
}
