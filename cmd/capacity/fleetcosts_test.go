package main

import (
	"encoding/json"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/capacity/hollow"
)

// recordLine returns a line of a file of records. The record has a value for each metric that readFleetCosts needs.
func recordLine(t *testing.T, caseName string, size int) string {
	t.Helper()
	line, err := json.Marshal(hollow.Record{Case: caseName, Measurement: hollow.Measurement{
		Size: size,
		Values: map[hollow.Metric]float64{
			hollow.SentByteRate:     10,
			hollow.CPUPerSecond:     5,
			hollow.Memory:           7,
			hollow.SentDatagramRate: 3,
			hollow.PropagationAll:   2,
		},
	}})
	if err != nil {
		t.Fatal(err)
	}
	return string(line) + "\n"
}

func TestReadFleetCosts(t *testing.T) {
	records := recordLine(t, hollow.CaseActive, 300) +
		recordLine(t, hollow.CaseIdle, 1) +
		recordLine(t, hollow.CaseActive, 100) +
		recordLine(t, hollow.CaseQuota(quotaDestinations), 100)
	all, err := readFleetCosts([]byte(records), "")
	if err != nil || len(all) != len(simulatedSeriesList()) {
		t.Fatal(all, err)
	}
	cores := all[1]
	if p := cores.Points; cores.Name != capacity.FleetCores || len(p) != 2 || p[0].Size != 100 ||
		p[1].Size != 300 || p[0].Value != 0.005 {
		t.Errorf("series %+v, want cores of 100 and 300 members, 0.005 at 100", cores)
	}
}

// Files of records written by earlier versions of the program are still read: the names of fields, cases and metrics
// have not changed.
func TestReadFleetCostsOfStoredNames(t *testing.T) {
	const values = `"sent_bytes_per_s":10,"processor_ms_per_s":5,"memory_bytes":7,` +
		`"sent_datagrams_per_s":3,"known_all_s":2`
	const records = `{"what":"two busy pages","n":300,"values":{` + values + "}}\n" +
		`{"what":"at rest","n":1,"values":{` + values + "}}\n" +
		`{"what":"rights of 1000 destinations","n":100,"values":{` + values + "}}\n"
	if all, err := readFleetCosts([]byte(records), ""); err != nil || len(all) != len(simulatedSeriesList()) {
		t.Error(all, err)
	}
}

func TestReadFleetCostsRejects(t *testing.T) {
	for _, records := range []string{"", "{", recordLine(t, hollow.CaseActive, 100)} {
		if all, err := readFleetCosts([]byte(records), ""); err == nil {
			t.Errorf("records %q are accepted and give %v", records, all)
		}
	}
}
