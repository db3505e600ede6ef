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

	"cherrytrestle.example/cherrytrestle/internal/judge"
	"cherrytrestle.example/cherrytrestle/internal/record"
)

const second = time.Second

// run is a small run in which a relay sends to a host that drains, during a trouble with a name that needs escaping.
func run() (record.Header, []record.Event, judge.Verdict) {
	h := record.Header{
		Format: record.Format, Scenario: "small <b>", Seed: 3, Plan: "abc", Length: 10 * second, Relays: []string{"r1"},
		Rules:   record.Rules{DrainGrace: second, FallMultiple: 2, FallWindow: 3 * second, MayDuplicate: true},
		Classes: []record.Class{{Name: "order", Effect: record.Safe, Aim: 3 * second, GiveUp: 8 * second, Worth: 1}}, Customers: []record.Customer{{Name: "acme"}},
	}
	events := []record.Event{
		{Kind: record.Change, Host: "s-1", Dest: 1, Zone: "a", State: record.StateReady},
		{Kind: record.Able, Host: "s-1", Dest: 1, Rate: 10, Share: 1},
		{Kind: record.Process, Relay: "r1", State: record.StateStart},
		{Kind: record.Process, Relay: "r1", State: record.StateUp},
		{At: second, Kind: record.Trouble, Name: "drain<&>", State: record.StateBegin},
		{At: second, Kind: record.Told, Relay: "r1", Host: "s-1", State: record.StateDraining, Dest: 1},
		{At: 2 * second, Kind: record.Offer, ID: "m", Origin: "m", Relay: "r1", Dest: 1, For: 8 * second},
		{At: 2 * second, Kind: record.Heard, ID: "m", Relay: "r1", Status: 202},
		{At: 3 * second, First: 3 * second, Kind: record.Call, Call: 1, Relay: "r1", Host: "s-1", IDs: []string{"m"}},
		{At: 4 * second, Kind: record.Reply, Call: 1, Relay: "r1", Host: "s-1", Status: 200},
		{At: 5 * second, Kind: record.Trouble, Name: "drain<&>", State: record.StateEnd},
		{At: 6 * second, Kind: record.Process, Relay: "r1", State: record.StateKill},
		{At: 12 * second, Kind: record.End},
	}
	return h, events, judge.Judge(h, events)
}

func TestTextTellsTheBreakAndItsProof(t *testing.T) {
	h, events, v := run()
	var b bytes.Buffer
	if err := Text(&b, h, events, v); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"small <b>, seed 3", "drains are kept", "BROKEN at 3s", `event 8: {"at":3000000000,"k":"call"`, "1 asked for: 1 in full",
		"rules: 1 held, 1 BROKEN, 4 not exercised, service 1.000"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("no %q in\n%s", want, b.String())
		}
	}
}

func TestJSONReadsBack(t *testing.T) {
	h, _, v := run()
	var b bytes.Buffer
	if err := JSON(&b, h, v); err != nil {
		t.Fatal(err)
	}
	var got struct {
		Run     record.Header
		Verdict judge.Verdict
		OK      bool
	}
	if err := json.Unmarshal(b.Bytes(), &got); err != nil || got.OK || got.Run.Scenario != h.Scenario ||
		got.Verdict.Finding(judge.Drain).State != judge.Broken {
		t.Errorf("%+v, %v", got, err)
	}
}

// The page stands by itself: it holds no script, asks for nothing, and what names hold is escaped.
func TestThePageStandsByItself(t *testing.T) {
	h, events, v := run()
	var b bytes.Buffer
	if err := HTML(&b, h, events, v); err != nil {
		t.Fatal(err)
	}
	page := b.String()
	for _, bad := range []string{"<script", "http:", "https:", "src=", "href=", "url(", "@import", "small <b>", "drain<&>", "NaN", "Inf"} {
		if strings.Contains(page, bad) {
			t.Errorf("the page holds %q", bad)
		}
	}
	for _, want := range []string{"BROKEN", "drain&lt;&amp;&gt;", "s-1 of destination 1", "r1 kill"} {
		if !strings.Contains(page, want) {
			t.Errorf("no %q", want)
		}
	}
	plots := 0
	for rest := page; ; plots++ {
		i := strings.Index(rest, "<svg")
		if i < 0 {
			break
		}
		j := strings.Index(rest, "</svg>") + len("</svg>")
		d := xml.NewDecoder(strings.NewReader(rest[i:j]))
		for {
			if _, err := d.Token(); errors.Is(err, io.EOF) {
				break
			} else if err != nil {
				t.Fatalf("plot %d: %v", plots, err)
			}
		}
		rest = rest[j:]
	}
	if plots != 5 {
		t.Errorf("%d plots", plots)
	}
}

func TestARunWithNothingInItHasAReport(t *testing.T) {
	dir := t.TempDir()
	h := record.Header{Scenario: "empty"}
	v := judge.Judge(h, nil)
	if err := Write(dir, h, nil, v); err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{PageName, JSONName, TextName} {
		if info, err := os.Stat(filepath.Join(dir, name)); err != nil || info.Size() == 0 {
			t.Errorf("%s: %v", name, err)
		}
	}
	if err := Write(filepath.Join(dir, "none"), h, nil, v); err == nil {
		t.Error("written into a folder that is not there")
	}
}
