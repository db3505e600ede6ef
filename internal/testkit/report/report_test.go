package report

import (
	"bytes"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/checker"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

const second = time.Second

// smallRun is a run in which a relay calls a draining endpoint, during a fault whose name needs escaping in HTML.
func smallRun() (eventlog.Header, []eventlog.Event, checker.Result) {
	h := eventlog.Header{
		Format:     eventlog.FormatVersion,
		Scenario:   "small <b>",
		Seed:       3,
		PlanDigest: "abc",
		Duration:   10 * second,
		Relays:     []string{"r1"},
		Rules: eventlog.Rules{
			DrainGrace:        second,
			OverloadFactor:    2,
			OverloadWindow:    3 * second,
			DuplicatesAllowed: true,
		},
		Classes: []eventlog.Class{{
			Name:             "order",
			Effect:           eventlog.Idempotent,
			LatencyObjective: 3 * second,
			Deadline:         8 * second,
			Weight:           1,
		}},
		Customers: []eventlog.Customer{{Name: "acme"}},
	}
	events := []eventlog.Event{
		{Kind: eventlog.EndpointChanged, Endpoint: "s-1", Destination: 1, Zone: "a", State: eventlog.StateReady},
		{Kind: eventlog.CapacityChanged, Endpoint: "s-1", Destination: 1, Rate: 10, Share: 1},
		{Kind: eventlog.ProcessChanged, Relay: "r1", State: eventlog.StateStart},
		{Kind: eventlog.ProcessChanged, Relay: "r1", State: eventlog.StateUp},
		{At: second, Kind: eventlog.FaultChanged, Name: "drain<&>", State: eventlog.StateBegin},
		{
			At: second, Kind: eventlog.RelayNotified, Relay: "r1", Endpoint: "s-1", State: eventlog.StateDraining,
			Destination: 1,
		},
		{
			At: 2 * second, Kind: eventlog.MessageSubmitted, ID: "m", FirstID: "m", Relay: "r1", Destination: 1,
			Duration: 8 * second,
		},
		{At: 2 * second, Kind: eventlog.SubmissionAnswered, ID: "m", Relay: "r1", Status: 202},
		{
			At: 3 * second, FirstByteAt: 3 * second, Kind: eventlog.CallReceived, Call: 1, Relay: "r1", Endpoint: "s-1",
			IDs: []string{"m"},
		},
		{At: 4 * second, Kind: eventlog.CallAnswered, Call: 1, Relay: "r1", Endpoint: "s-1", Status: 200},
		{At: 5 * second, Kind: eventlog.FaultChanged, Name: "drain<&>", State: eventlog.StateEnd},
		{At: 6 * second, Kind: eventlog.ProcessChanged, Relay: "r1", State: eventlog.StateKill},
		{At: 12 * second, Kind: eventlog.RunEnded},
	}
	return h, events, checker.Check(h, events)
}

func TestTextShowsAViolationWithItsEvidence(t *testing.T) {
	h, events, result := smallRun()
	var b bytes.Buffer
	if err := Text(&b, h, events, result); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"small <b>, seed 3",
		"drains are kept",
		"BROKEN at 3s",
		`event 8: {"at":3000000000,"k":"call"`,
		"1 submitted: 1 in time",
		"rules: 1 held, 1 BROKEN, 4 not exercised, service 1.000",
	} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
}

func TestJSONReadsBack(t *testing.T) {
	h, _, result := smallRun()
	var b bytes.Buffer
	if err := JSON(&b, h, result); err != nil {
		t.Fatal(err)
	}
	var got struct {
		Run    eventlog.Header
		Result checker.Result `json:"verdict"`
		OK     bool
	}
	if err := json.Unmarshal(b.Bytes(), &got); err != nil || got.OK || got.Run.Scenario != h.Scenario ||
		got.Result.ForRule(checker.DrainRespected).State != checker.Violated {
		t.Errorf("%+v, %v", got, err)
	}
}

// The page has no script and refers to no other file, and names are escaped.
func TestPageIsSelfContained(t *testing.T) {
	h, events, result := smallRun()
	var b bytes.Buffer
	if err := HTML(&b, h, events, result); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, bad := range []string{
		"<script", "http:", "https:", "src=", "href=", "url(", "@import", "small <b>", "drain<&>", "NaN", "Inf",
	} {
		if strings.Contains(page, bad) {
			t.Errorf("the page holds %q", bad)
		}
	}
	for _, want := range []string{"BROKEN", "drain&lt;&amp;&gt;", "s-1 of destination 1", "r1 kill"} {
		if !strings.Contains(page, want) {
			t.Errorf("no %q", want)
		}
	}
	if plots := countPlots(t, page); plots != 5 {
		t.Errorf("%d plots", plots)
	}
}

// countPlots returns how many plots a page has, and checks that each is well-formed XML.
func countPlots(t *testing.T, page string) int {
	t.Helper()
	plots := 0
	for rest := page; ; plots++ {
		begin := strings.Index(rest, "<svg")
		if begin < 0 {
			return plots
		}
		end := strings.Index(rest, "</svg>") + len("</svg>")
		checkWellFormed(t, plots, rest[begin:end])
		rest = rest[end:]
	}
}

func checkWellFormed(t *testing.T, plot int, text string) {
	t.Helper()
	decoder := xml.NewDecoder(strings.NewReader(text))
	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			t.Fatalf("plot %d: %v", plot, err)
		}
	}
}

func TestAnEmptyRunHasAReport(t *testing.T) {
	dir := t.TempDir()
	h := eventlog.Header{Scenario: "empty"}
	result := checker.Check(h, nil)
	if err := Write(dir, h, nil, result); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{PageName, JSONName, TextName} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := Write(filepath.Join(dir, "none"), h, nil, result); err == nil {
		t.Error("no error for a folder that does not exist")
	}
}
