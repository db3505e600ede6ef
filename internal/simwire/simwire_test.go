package simwire

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/policy"
)

// configure is the line that starts instance 3.
const configure = "CONFIGURE 3 77 services.count=1 services.0.semantics=read_like services.0.goal_time_ms=2000.0 " +
	"services.0.give_up_ms=20000.0 stats.fields=x0,x1\n"

// readBatch returns the items of a batch with the given lines. An earlier batch starts instance 3.
func readBatch(t *testing.T, lines string) ([]Item, error) {
	t.Helper()
	r := NewReader(strings.NewReader("MARK 10.5 1\n" + configure + "GO\n\nMARK 20.25 2\n" + lines + "GO\n"))
	var b Batch
	if err := r.Next(&b); err != nil {
		t.Fatal(err)
	}
	err := r.Next(&b)
	if err == nil && (b.Now != 20250*time.Microsecond || b.Number != "2") {
		t.Errorf("batch %s at %v", b.Number, b.Now)
	}
	return b.Items, err
}

// twoEndpoints holds the lines of a snapshot of two endpoints. The second one is draining and has an invalid weight.
const twoEndpoints = "POOL 0 2\n" +
	"HOST in_service 0 57 0 - host.abu 1\n" +
	"HOST terminating 1 57 1 6100.0 host.azk odd\n" +
	"TARGETS 3 cached 41 0\n"

// eventCase holds the lines of an event, and the event that they must be parsed into.
type eventCase struct {
	lines string
	want  policy.Event
}

var eventCases = []eventCase{
	{"KNOCK 3 1564119492 obj/kd6 1 2 12.0 0 240.0 57\n", policy.Event{
		Kind:        policy.MessageAccepted,
		MessageID:   1564119492,
		Key:         "obj/kd6",
		Tenant:      2,
		TimeLeft:    240 * time.Millisecond,
		Destination: 57,
	}},
	{"KNOCK 3 4294967295 - 0 - - 1 0.5 0\n", policy.Event{
		Kind:      policy.MessageAccepted,
		MessageID: 4294967295,
		Class:     1,
		TimeLeft:  500 * time.Microsecond,
	}},
	{"FINISHED 3 9 2 host.a ok 18.5 1 - -\n", policy.Event{
		Kind:         policy.AttemptFinished,
		MessageID:    9,
		Attempt:      2,
		Endpoint:     "host.a",
		Latency:      18500 * time.Microsecond,
		MessageEnded: true,
	}},
	{"FINISHED 3 9 0 host.a full 1.0 0 450 x0:0.25,x9:7,x1:3.5\n", policy.Event{
		Kind:        policy.AttemptFinished,
		MessageID:   9,
		Endpoint:    "host.a",
		Outcome:     policy.Overloaded,
		Latency:     time.Millisecond,
		RetryAfter:  450 * time.Millisecond,
		LimitReport: policy.LimitReport{Present: true, Remaining: 0.25, Limit: 3.5},
	}},
	{"FINISHED 3 9 0 host.a moot 0 0 1 -\n", policy.Event{
		Kind:      policy.AttemptFinished,
		MessageID: 9,
		Endpoint:  "host.a",
		Outcome:   policy.NotSent,
	}},
	{"PONG 3 host.a connect_failed 1.5 -\n", policy.Event{
		Kind:     policy.HealthChecked,
		Endpoint: "host.a",
		Outcome:  policy.ConnectFailed,
		Latency:  1500 * time.Microsecond,
	}},
	{"TIMED_OUT_CLIENT 3 242166553\n", policy.Event{Kind: policy.MessageCancelled, MessageID: 242166553}},
	{"TICK_DUE 3 9223372036854775808\n", policy.Event{Kind: policy.TimerFired}},
	{"TARGETS 3 failed 41 -\n", policy.Event{Kind: policy.WatchFailed}},
	{twoEndpoints, policy.Event{
		Kind: policy.EndpointSnapshot,
		Endpoints: []policy.Endpoint{
			{ID: "host.abu", Destination: 57, Weight: 1, InService: true},
			{ID: "host.azk", Destination: 57, Kind: 1, Zone: 1},
		},
	}},
	{"POOL 15 1\nHOST terminated 0 5 0 - host.abu -\nTARGETS 3 delta 42 15\n", policy.Event{
		Kind:      policy.EndpointDelta,
		Endpoints: []policy.Endpoint{{ID: "host.abu", Destination: 5, Removed: true}},
	}},
}

func TestEvents(t *testing.T) {
	for _, c := range eventCases {
		items, err := readBatch(t, c.lines)
		if err != nil || len(items) != 1 || items[0].Instance != 3 || !reflect.DeepEqual(items[0].Event, c.want) {
			t.Errorf("%q: %+v, %v\nwant %+v", c.lines, items, err, c.want)
		}
	}
	items, err := readBatch(t, "HEADERS 3 1 0 host.a 9.25\nINBOX 3 2 6869\nRETIRE 3\n")
	if err != nil || len(items) != 1 || items[0].Kind != Stop {
		t.Errorf("events that the engine does not use, and a stop: items %+v, error %v", items, err)
	}
}

// TestMalformedLinesAreErrors also checks that each error of a line gives the line number.
func TestMalformedLinesAreErrors(t *testing.T) {
	for _, lines := range []string{
		"WHAT 3 1\n",
		"KNOCK 3 5000000000 - 0 - - 0 1.0 0\n",
		"KNOCK 3 1 - 0 -\n",
		"KNOCK 3 1 - 0 - - 0 soon 0\n",
		"KNOCK 4 1 - 0 - - 0 1.0 0\n",
		"FINISHED 3 1 0 host.a melted 1.0 0 - -\n",
		"FINISHED 3 1 0 host.a ok 1.0 yes - -\n",
		"TARGETS 3 full 1 7\n",
		"TARGETS 3 some 1 0\n",
		"POOL 0 1\nGO\n",
		"HOST in_service 0 1 0 - host.a 1\n",
		"POOL 0 1\nHOST lost 0 1 0 - host.a 1\n",
		"TICK_DUE 3 -1\n",
		"MARK 30 3\n",
		"CONFIGURE 5 1 fleet_size=many\n",
		"CONFIGURE 5 1 nonsense\n",
		" \n",
	} {
		if items, err := readBatch(t, lines); err == nil || !strings.Contains(err.Error(), "line ") {
			t.Errorf("%q: %+v, error %v", lines, items, err)
		}
	}
	var b Batch
	if err := NewReader(strings.NewReader("GO\n")).Next(&b); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("a line outside a batch: error %v", err)
	}
	if err := NewReader(strings.NewReader("MARK 1 1\n")).Next(&b); err == nil || errors.Is(err, io.EOF) {
		t.Errorf("input that ends in a batch: error %v", err)
	}
}

func TestParseConfigure(t *testing.T) {
	settings, limits, err := parseConfigure("extra.call_slots=38 extra.carriage=0.0,0.03 extra.per_call=10,1 " +
		"extra.separate_routes=false,true bounds.open_cap=438 bounds.send_cap=8 bounds.retry_after=true " +
		"bounds.max_retry_after_ms=3000.0 fleet_size=2 weight_kind=rough membership_mode=ask new.key=1 " +
		"realms.count=2 realms.0.quota_per_s=52.0 rules.answer_slack_ms=20.0 rules.cold_from=0.18 " +
		"rules.fall_ms=3000.0 rules.overload_factor=2.0 rules.warm_within_ms=14000.0 rules.order_pause_ms=100.0 " +
		"services.count=2 services.0.semantics=idempotency_key services.0.group=all " +
		"services.0.repeat_window_ms=10000.0 services.0.goal_time_ms=3000.0 services.0.give_up_ms=16000.0 " +
		"services.0.late_worth=0.4 services.1.semantics=new_kind services.1.by_arrival=true services.1.value=4.0")
	want := policy.Settings{
		Classes: []policy.Class{
			{
				Effect:           policy.IdempotentByKey,
				DedupAllZones:    true,
				DedupWindow:      10 * time.Second,
				LatencyObjective: 3 * time.Second,
				Deadline:         16 * time.Second,
				Weight:           1,
			},
			{Effect: policy.NonIdempotent, Ordered: true, Weight: 4},
		},
		DestinationKinds:      []policy.DestinationKind{{MaxBatch: 10}, {LimitPerEndpoint: true, MaxBatch: 1}},
		Tenants:               []policy.Tenant{{Quota: 52}, {}},
		FleetSize:             2,
		MaxInFlightCalls:      38,
		MaxPendingMessages:    438,
		MaxAttempts:           8,
		MaxRetryAfter:         3 * time.Second,
		ApproximateWeights:    true,
		WatchRequired:         true,
		ZoneCosts:             []float64{0, 0.03},
		WarmUpInitialCapacity: 0.18,
		WarmUpDuration:        14 * time.Second,
		OverloadFactor:        2,
		OverloadWindow:        3 * time.Second,
		OrderingPause:         100 * time.Millisecond,
	}
	if err != nil || !reflect.DeepEqual(settings, want) || limits.limit != "" {
		t.Errorf("got %+v, %v, %v\nwant %+v", settings, limits, err, want)
	}
}

func TestWriter(t *testing.T) {
	var out bytes.Buffer
	w := NewWriter(&out)
	w.Actions(3, []policy.Action{
		{Kind: policy.Send, MessageID: 1564119492, Endpoint: "host.a", TimeoutAt: 8492250 * time.Microsecond},
		{Kind: policy.Reject, MessageID: 2, Delay: 250 * time.Millisecond},
		{Kind: policy.Fail, MessageID: 5},
		{Kind: policy.SetTimer, Delay: 500 * time.Microsecond},
		{Kind: policy.CloseIdle, Endpoint: "host.a"},
		{Kind: policy.WatchEndpoints},
	})
	w.Die(3, "out of\nrange")
	if err := w.End("12"); err != nil {
		t.Fatal(err)
	}
	want := "SUBMIT_TO 3 1564119492 host.a 8492.25\nREJECT 3 2 250\nSURRENDER 3 5\nWAKE_AT 3 0 0.5\n" +
		"HANG_UP 3 host.a\nSTREAM_CHANGES 3 1\nDIE 3 out of range\nYIELD 12\n"
	if out.String() != want {
		t.Errorf("got\n%swant\n%s", out.String(), want)
	}
}
