package agent

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

// listEndpoints steps the agent with an endpoint list.
func listEndpoints(a *Agent, endpoints ...policy.Endpoint) {
	a.Step(time.Second, Input{Events: []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: endpoints}}})
}

// driveTraffic has destination 9 receive rate messages a second, each sent at once, of which every third is rejected
// with a Retry-After. It returns what was published.
func driveTraffic(a *Agent, from, to time.Duration, rate float64) []loadreport.Report {
	var published []loadreport.Report
	interval := time.Duration(float64(time.Second) / rate)
	id := policy.MessageID(from)
	for now := from; now < to; now += interval {
		published = append(published, a.Step(now, Input{
			Events:  []policy.Event{{Kind: policy.MessageAccepted, MessageID: id, Destination: 9}},
			Actions: []policy.Action{{Kind: policy.Send, MessageID: id, Endpoint: "s-1"}},
			Views:   noViews,
		}).Published...)
		finished := policy.Event{
			Kind:         policy.AttemptFinished,
			MessageID:    id,
			Endpoint:     "s-1",
			Outcome:      policy.OK,
			MessageEnded: true,
		}
		if id%3 == 0 {
			finished.Outcome = policy.Overloaded
			finished.MessageEnded = false
			finished.RetryAfter = 400 * time.Millisecond
		}
		a.Step(now+interval/2, Input{Events: []policy.Event{finished}})
		id++
	}
	return published
}

// Reports say what happened, are published no more often than all members can bear, and fade when nothing happens any
// more.
func TestPublishedReports(t *testing.T) {
	a := New(testSettings())
	listEndpoints(a,
		policy.Endpoint{ID: "s-1", Destination: 9, Weight: 50, InService: true},
		policy.Endpoint{ID: "s-2", Destination: 12, Kind: 1, Weight: 5, InService: true},
		policy.Endpoint{ID: "s-3", Destination: 12, Kind: 1, Weight: 7, InService: true},
	)
	want := loadreport.Limits{9: {"": 50}, 12: {"": 12, "s-2": 5, "s-3": 7}}
	if got := a.Limits(); !reflect.DeepEqual(got, want) {
		t.Errorf("limits %v, want %v", got, want)
	}
	published := driveTraffic(a, time.Second, 41*time.Second, 30)
	last := published[len(published)-1]
	if last.Name != "me" || last.Number != loadreport.ReportNumber(9) || len(last.Scopes) != 1 {
		t.Fatalf("%+v", last)
	}
	checkLoad(t, last.Scopes[0])
	if len(published) > 40*8 {
		t.Errorf("%d reports in 40 s", len(published))
	}
	for i := 1; i < len(published); i++ {
		if published[i].Sequence <= published[i-1].Sequence {
			t.Fatal("sequences do not grow")
		}
	}
	checkFading(t, a, 41*time.Second)
}

// checkLoad checks the load that driveTraffic makes in 40 s with 30 messages a second.
func checkLoad(t *testing.T, load loadreport.ScopeLoad) {
	t.Helper()
	rates := []struct {
		name      string
		got, want float64
	}{
		{"demand", load.Demand, 30},
		{"calls", load.Calls, 30},
		{"rejections", load.Rejections, 10},
		{"deliveries", load.Deliveries, 20},
		{"failures", load.Failures, 0},
	}
	for _, rate := range rates {
		if math.Abs(rate.got-rate.want) > 0.1*rate.want {
			t.Errorf("%s: %g, want %g", rate.name, rate.got, rate.want)
		}
	}
	if load.Backlog < 100 || load.RetryAfter <= 0 || load.RetryAfter > 400*time.Millisecond {
		t.Errorf("backlog %d, Retry-After %v: every third message waits", load.Backlog, load.RetryAfter)
	}
}

// checkFading cancels all messages and checks that the last report is an empty one, and that no state is left.
func checkFading(t *testing.T, a *Agent, from time.Duration) {
	t.Helper()
	var cancelled []policy.Event
	for id := range a.Pending {
		cancelled = append(cancelled, policy.Event{Kind: policy.MessageCancelled, MessageID: id})
	}
	a.Step(from, Input{Events: cancelled})
	empty := false
	for now := from; now < 200*time.Second; now += 100 * time.Millisecond {
		for _, report := range a.Step(now, Input{Views: noViews}).Published {
			empty = len(report.Scopes) == 0
		}
	}
	if !empty || len(a.Counters) > 0 || len(a.Published) > 0 || len(a.Pending) > 0 {
		t.Errorf("empty report published: %v; left: %v %v %v", empty, a.Counters, a.Published, a.Pending)
	}
}

// A report holds what fits a datagram, the scopes with the most traffic first; destinations beyond the bound wait.
func TestReportBounds(t *testing.T) {
	a := New(testSettings())
	published := a.Step(time.Second, Input{Events: manyOutcomes(), Views: noViews}).Published
	if len(published) != loadreport.MaxReports {
		t.Errorf("%d reports", len(published))
	}
	if n := len(published[0].Scopes); n < 10 || n > loadreport.MaxScopes {
		t.Errorf("%d scopes in a report", n)
	}
	// A new incarnation publishes everything again, because the others forget the one before.
	again := a.Step(2*time.Second, Input{
		Incarnation: loadreport.Incarnation{Generation: 2, Boot: 2},
		Views:       noViews,
	}).Published
	if len(again) != loadreport.MaxReports || again[0].Generation != 2 {
		t.Errorf("%d reports of incarnation %v", len(again), again[0].Incarnation)
	}
}

// manyOutcomes lists 40 separately limited endpoints of one destination and 600 destinations, with up to three
// deliveries each.
func manyOutcomes() []policy.Event {
	var list []policy.Endpoint
	for i := range 40 {
		list = append(list, policy.Endpoint{
			ID:          fmt.Sprintf("a-route-of-some-length-%02d", i),
			Destination: 1,
			Kind:        1,
			Weight:      5,
			InService:   true,
		})
	}
	for d := range policy.DestinationID(600) {
		list = append(list, policy.Endpoint{ID: fmt.Sprint("x", d), Destination: 4 + d, Weight: 5, InService: true})
	}
	events := []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: list}}
	for i, endpoint := range list {
		for n := range 1 + i%3 {
			events = append(events, policy.Event{
				Kind:      policy.AttemptFinished,
				MessageID: policy.MessageID(1000*n + i),
				Endpoint:  endpoint.ID,
				Outcome:   policy.OK,
			})
		}
	}
	return events
}

// However much changes, the reports of all members together take no more than the links carry; what is urgent is
// published at once, a few times in a row.
func TestPublishIntervalGrowsWithTheFleet(t *testing.T) {
	for _, members := range []int{3, 100, 300} {
		t.Run(fmt.Sprint(members, " members"), func(t *testing.T) { testPublishInterval(t, members) })
	}
}

func testPublishInterval(t *testing.T, members int) {
	const (
		began  = 30 * time.Second
		length = 120 * time.Second
	)
	settings := testSettings()
	settings.Members = []string{"me"}
	for i := range members - 1 {
		settings.Members = append(settings.Members, fmt.Sprint("m", i))
	}
	a := New(settings)
	listEndpoints(a, policy.Endpoint{ID: "s-1", Destination: 9, Weight: 500, InService: true})
	published := 0
	sequence := uint64(0)
	for now := time.Second; now < began+length; now += publishCheckInterval {
		in := Input{Views: noViews, Events: []policy.Event{alternatingBacklog(now)}}
		if now%(10*time.Second) == 0 {
			sequence += 2
			in.Received = reportsOfOthers(settings.Members[1:], sequence)
		}
		reports := a.Step(now, in).Published
		if now >= began {
			published += len(reports)
		}
	}
	reports := 2*(members-1) + 1
	reportRate := gossip.MaxReportRate(members) / float64(reports) // publications of one report a second
	maxPublished := length.Seconds()*min(reportRate, 1/minPublishInterval.Seconds()) + maxUrgentBurst
	if float64(published) > maxPublished || float64(published) < 0.7*maxPublished {
		t.Errorf("%d reports in %v, want at most %.0f", published, length, maxPublished)
	}
}

// alternatingBacklog begins and ends a backlog with every check.
func alternatingBacklog(now time.Duration) policy.Event {
	if now/publishCheckInterval%2 == 0 {
		return policy.Event{
			Kind:         policy.AttemptFinished,
			MessageID:    1,
			Endpoint:     "s-1",
			Outcome:      policy.OK,
			MessageEnded: true,
		}
	}
	return policy.Event{Kind: policy.MessageAccepted, MessageID: 1, Destination: 9}
}

// reportsOfOthers are two reports of each member.
func reportsOfOthers(members []string, sequence uint64) []loadreport.Report {
	var reports []loadreport.Report
	for _, member := range members {
		for number := range uint64(2) {
			reports = append(reports, loadreport.Report{
				Name:        member,
				Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1},
				Number:      int(number),
				Sequence:    sequence + number,
			})
		}
	}
	return reports
}

// A warm-up that begins is published with the next check, though the report was published just before.
func TestWarmUpIsUrgent(t *testing.T) {
	a := New(testSettings())
	listEndpoints(a, policy.Endpoint{ID: "s-1", Destination: 9, Weight: 500, InService: true})
	publish := func(now time.Duration, warmingUp bool) []loadreport.Report {
		return a.Step(now, Input{
			Events: []policy.Event{{Kind: policy.MessageAccepted, MessageID: policy.MessageID(now), Destination: 9}},
			Views: func() []policy.EndpointView {
				return []policy.EndpointView{{Endpoint: policy.Endpoint{ID: "s-1"}, WarmingUp: warmingUp}}
			},
		}).Published
	}
	if len(publish(2*time.Second, false)) != 1 || len(publish(2*time.Second+publishCheckInterval, true)) != 1 {
		t.Error("a warm-up waits for the next regular publication")
	}
}
