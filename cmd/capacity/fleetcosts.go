package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/capacity/hollow"
)

// Limitations of the series that are measured with simulated members. They are stored with the series.
const (
	simulatedIdle = "hollow relays in virtual time: sockets, clients, hosts and the module left out; nothing to tell"
	simulatedLoad = "hollow relays in virtual time: sockets, clients, hosts and the module left out; " +
		"two busy pages a member, where a relay of the target has 64"
	simulatedQuota = "hollow relays in virtual time: the others ask for nothing; 1,000 limits lent"
)

// hollowPackage is the package whose tests measure the costs of a fleet.
const hollowPackage = "cherrytrestle.example/cherrytrestle/internal/capacity/hollow"

// quotaDestinations is the number of shared limits in the series of quota costs.
const quotaDestinations = 1000

// simulatedSeries describes a series made of the values that a metric has in the records of one case.
type simulatedSeries struct {
	name        string
	unit        capacity.Unit
	caseName    string
	metric      hollow.Metric
	factor      float64 // converts the metric's unit to the unit of the series
	limitations string
}

// simulatedSeriesList returns all series that are made of the records of package hollow.
func simulatedSeriesList() []simulatedSeries {
	load := func(name string, unit capacity.Unit, metric hollow.Metric, factor float64) simulatedSeries {
		return simulatedSeries{name, unit, hollow.CaseActive, metric, factor, simulatedLoad}
	}
	return []simulatedSeries{
		load(capacity.FleetByteRate, capacity.ByteRate, hollow.SentByteRate, 1),
		load(capacity.FleetCores, capacity.Cores, hollow.CPUPerSecond, 1e-3),
		load(capacity.FleetMemory, capacity.Bytes, hollow.Memory, 1),
		load(capacity.FleetDatagramRate, capacity.Rate, hollow.SentDatagramRate, 1),
		load(capacity.FleetPropagationTime, capacity.Seconds, hollow.PropagationAll, 1),
		{
			name:        capacity.FleetIdleByteRate,
			unit:        capacity.ByteRate,
			caseName:    hollow.CaseIdle,
			metric:      hollow.SentByteRate,
			factor:      1,
			limitations: simulatedIdle,
		},
		{
			name:        capacity.FleetQuotaByteRate,
			unit:        capacity.ByteRate,
			caseName:    hollow.CaseQuota(quotaDestinations),
			metric:      hollow.SentByteRate,
			factor:      1,
			limitations: simulatedQuota,
		},
	}
}

// measureFleetCosts runs the tests of package hollow, which measure fleets in virtual time and write their measurements
// to a file. Virtual time is available in tests only, since a bubble of testing/synctest needs a test. A failed test
// does not end the measurement: it is logged and added to the limitations of all series.
func measureFleetCosts(ctx context.Context, b *bench) ([]capacity.Series, error) {
	path := filepath.Join(b.folder, "hollow.jsonl")
	failure := ""
	for _, test := range []string{
		"^TestMeasure$/^two_busy_pages",
		"^TestMeasure$/^at_rest",
		"^TestMeasureQuota$",
	} {
		sizes, err := json.Marshal(b.sizes([]int{20, 40, 80}, []int{30, 100, 300}))
		if err != nil {
			return nil, err
		}
		cmd := exec.CommandContext(ctx, "go", "test", hollowPackage, "-count=1", "-timeout=15m",
			"-run", test, "-full", "-sizes", string(sizes), "-readings", path)
		if out, err := cmd.CombinedOutput(); err != nil {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			b.logf("%s: %v\n%s", test, err, out)
			failure = "; a check of package hollow failed at one of the sizes"
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Join(errors.New("tests of package hollow wrote no records"), err)
	}
	return readFleetCosts(data, failure)
}

// readFleetCosts makes series from data, which holds a hollow.Record in JSON on each line. It appends the note to the
// limitations of each series.
func readFleetCosts(data []byte, note string) ([]capacity.Series, error) {
	var records []hollow.Record
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		var r hollow.Record
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("record %d of package hollow: %w", len(records)+1, err)
		}
		records = append(records, r)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read records of package hollow: %w", err)
	}
	slices.SortStableFunc(records, func(a, b hollow.Record) int { return a.Size - b.Size })
	var all []capacity.Series
	for _, wanted := range simulatedSeriesList() {
		s := newSeries(wanted.name, "members", wanted.unit)
		s.Limitations = wanted.limitations + note
		for _, r := range records {
			if value, ok := r.Values[wanted.metric]; ok && r.Case == wanted.caseName {
				s.add(r.Size, value*wanted.factor)
			}
		}
		if len(s.Points) == 0 {
			return nil, fmt.Errorf("package hollow recorded no metric %q in case %q", wanted.metric, wanted.caseName)
		}
		all = append(all, s.Series)
	}
	return all, nil
}
