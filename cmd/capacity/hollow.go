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

// What is measured of fleets of hollow relays, in virtual time: package hollow does that in its tests alone, since a
// bubble of testing/synctest is one of a test. It writes its readings to a file.

// The cases of package hollow that are taken.
const (
	atRest      = "at rest"
	hollowRest  = "hollow relays in virtual time: sockets, clients, hosts and the module left out; nothing to tell"
	busyPages   = "two busy pages"
	manyRights  = "rights of 1000 destinations"
	hollowBusy  = "hollow relays in virtual time: sockets, clients, hosts and the module left out; two busy pages a member, where a relay of the target has 64"
	hollowRight = "hollow relays in virtual time: the others ask for nothing; 1,000 limits lent"
)

// hollowValues are which value of which case becomes which series.
var hollowValues = []struct {
	series, what, value string
	unit                capacity.Unit
	times               float64
	hollow              string
}{
	{capacity.FleetByteRate, busyPages, "sent_bytes_per_s", capacity.ByteRate, 1, hollowBusy},
	{capacity.FleetCores, busyPages, "processor_ms_per_s", capacity.Cores, 1e-3, hollowBusy},
	{capacity.FleetMemory, busyPages, "memory_bytes", capacity.Bytes, 1, hollowBusy},
	{capacity.FleetDatagramRate, busyPages, "sent_datagrams_per_s", capacity.Rate, 1, hollowBusy},
	{capacity.FleetPropagationTime, busyPages, "known_all_s", capacity.Seconds, 1, hollowBusy},
	{capacity.FleetIdleByteRate, atRest, "sent_bytes_per_s", capacity.ByteRate, 1, hollowRest},
	{capacity.FleetQuotaByteRate, manyRights, "sent_bytes_per_s", capacity.ByteRate, 1, hollowRight},
}

// hollowSeries has package hollow measure. A check of its own that fails ends nothing here: it is told, with what was
// read.
func hollowSeries(ctx context.Context, b *bench) ([]capacity.Series, error) {
	path := filepath.Join(b.folder, "hollow.jsonl")
	failed := ""
	for _, c := range []struct {
		run   string
		sizes []int
	}{
		{"^TestMeasure$/^two_busy_pages", b.sizes([]int{20, 40, 80}, []int{30, 100, 300})},
		{"^TestMeasure$/^at_rest", b.sizes([]int{20, 40, 80}, []int{30, 100, 300})},
		{"^TestMeasureQuota$", b.sizes([]int{20, 40, 80}, []int{30, 100, 300})},
	} {
		sizes, err := json.Marshal(c.sizes)
		if err != nil {
			return nil, err
		}
		cmd := exec.CommandContext(
			ctx,
			"go",
			"test",
			"./internal/capacity/hollow",
			"-count=1",
			"-timeout=15m",
			"-run",
			c.run,
			"-full",
			"-sizes",
			string(sizes),
			"-readings",
			path,
		)
		if out, err := cmd.CombinedOutput(); err != nil {
			if ctx.Err() != nil {
				return nil, ctx.Err()
			}
			b.tell("%s: %v\n%s", c.run, err, out)
			failed = "; a check of package hollow failed at one of the sizes"
		}
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Join(errors.New("package hollow gave no readings"), err)
	}
	return readHollow(data, failed)
}

// readHollow makes series of readings.
func readHollow(data []byte, failed string) ([]capacity.Series, error) {
	var all []hollow.Record
	for lines := bufio.NewScanner(bytes.NewReader(data)); lines.Scan(); {
		var r hollow.Record
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return nil, fmt.Errorf("readings of package hollow: %w", err)
		}
		all = append(all, r)
	}
	slices.SortStableFunc(all, func(a, b hollow.Record) int { return a.Size - b.Size })
	var series []capacity.Series
	for _, v := range hollowValues {
		s := measured(v.series, "members", v.unit)
		s.Limitations = v.hollow + failed
		for _, r := range all {
			if x, ok := r.Values[hollow.Metric(v.value)]; ok && r.Case == v.what {
				add(s, r.Size, x*v.times)
			}
		}
		if len(s.Points) == 0 {
			return nil, fmt.Errorf("package hollow gave no %q of %q", v.value, v.what)
		}
		series = append(series, *s)
	}
	return series, nil
}
