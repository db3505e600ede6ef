package main

import (
	"bytes"
	"strings"
	"testing"
)

// startBatch starts an instance, sends it a list with one endpoint, and submits a message to it.
const startBatch = "MARK 100.0 1\nCONFIGURE 0 7 services.count=1 services.0.semantics=read_like " +
	"services.0.goal_time_ms=2000.0 services.0.give_up_ms=9000.0 separate=1\n" +
	"POOL 0 1\nHOST in_service 0 5 0 - host.a 1\nTARGETS 0 cached 1 0\n" +
	"KNOCK 0 11 - 0 - - 0 9000.0 5\nGO\n"

// TestInstanceRestartsWithinABatch stops an instance and starts it again in one batch. If the client then cancels a
// message that only the stopped engine had accepted, that must not be an error. Each batch must get its reply.
func TestInstanceRestartsWithinABatch(t *testing.T) {
	var out bytes.Buffer
	in := startBatch + "\nMARK 200.0 2\nRETIRE 0\nCONFIGURE 0 8 services.count=1\nGO\n" +
		"MARK 300.0 3\nTIMED_OUT_CLIENT 0 11\nGO\n"
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	got := out.String()
	if !strings.HasPrefix(got, "SUBMIT_TO 0 11 host.a ") || strings.Count(got, "YIELD ") != 3 {
		t.Errorf("reply %q", got)
	}
}

func TestMalformedInputEndsTheAdapter(t *testing.T) {
	var out bytes.Buffer
	err := run(strings.NewReader(startBatch+"MARK 200.0 2\nKNOCK 0 11 -\nGO\n"), &out)
	if err == nil || !strings.Contains(err.Error(), "line 9") || !strings.Contains(err.Error(), "KNOCK 0 11 -") {
		t.Errorf("error %v", err)
	}
}
