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

// driveTraffic simulates traffic to destination 9: rate messages a second, each sent at once. Every third is rejected
// with a Retry-After and stays pending, the others are delivered. It returns the published reports.
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

// Reports carry the rates of the traffic and are published at a bounded rate. After all messages have ended, an empty
// report is published and the agent keeps no state.
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
		t.Fatalf("last report %+v, want one scope of destination 9", last)
	}
	checkLoad(t, last.Scopes[0])
	if len(published) > 40*8 {
		t.Errorf("%d reports in 40 s, want at most 8 a second", len(published))
	}
	for i := 1; i < len(published); i++ {
		if published[i].Sequence <= published[i-1].Sequence {
			t.Fatal("sequence numbers do not increase")
		}
	}
	checkIdle(t, a, 41*time.Second)
}

// checkLoad checks the reported load after driveTraffic has run for 40 s with 30 messages a second.
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
			t.Errorf("%s: %g a second, want %g", rate.name, rate.got, rate.want)
		}
	}
	if load.Backlog < 100 || load.RetryAfter <= 0 || load.RetryAfter > 400*time.Millisecond {
		t.Errorf("backlog %d, Retry-After %v; want at least 100 messages, and more than 0 and at most 400ms",
			load.Backlog, load.RetryAfter)
	}
}

// checkIdle cancels all messages, and checks that the last published report is empty and that no state is left.
func checkIdle(t *testing.T, a *Agent, from time.Duration) {
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
		t.Errorf("last report empty: %v; left: counters %v, published reports %v, pending messages %v",
			empty, a.Counters, a.Published, a.Pending)
	}
}

// A report holds only the scopes that fit into a datagram, those with the most traffic. A member publishes at most
// MaxReports reports at a time; further destinations wait.
func TestReportBounds(t *testing.T) {
	a := New(testSettings())
	published := a.Step(time.Second, Input{Events: manyOutcomes(), Views: noViews}).Published
	if len(published) != loadreport.MaxReports {
		t.Errorf("%d reports, want %d", len(published), loadreport.MaxReports)
	}
	if n := len(published[0].Scopes); n < 10 || n > loadreport.MaxScopes {
		t.Errorf("%d scopes in a report, want 10 to %d", n, loadreport.MaxScopes)
	}
	// A new incarnation publishes everything again, because the other members drop the reports of the earlier one.
	again := a.Step(2*time.Second, Input{
		Incarnation: loadreport.Incarnation{Generation: 2, Boot: 2},
		Views:       noViews,
	}).Published
	if len(again) != loadreport.MaxReports || again[0].Generation != 2 {
		t.Errorf("%d reports of incarnation %v, want %d of generation 2",
			len(again), again[0].Incarnation, loadreport.MaxReports)
	}
}

// manyOutcomes returns an endpoint list and up to three deliveries by each of its endpoints. The list has 40
// separately limited endpoints of one destination, and one endpoint of each of 600 destinations.
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

// Even if a report has an urgent change with every check, it is published no more often than the network can carry
// with the reports of all other members, apart from a short burst.
func TestPublishIntervalGrowsWithTheFleet(t *testing.T) {
	for _, members := range []int{3, 100, 300} {
		t.Run(fmt.Sprint(members, " members"), func(t *testing.T) { testPublishInterval(t, members) })
	}
}

func testPublishInterval(t *testing.T, members int) {
	const (
		measuredFrom = 30 * time.Second
		measuredTime = 120 * time.Second
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
	for now := time.Second; now < measuredFrom+measuredTime; now += publishCheckInterval {
		in := Input{Views: noViews, Events: []policy.Event{alternatingBacklog(now)}}
		if now%(10*time.Second) == 0 {
			sequence += 2
			in.Received = reportsOfOthers(settings.Members[1:], sequence)
		}
		reports := a.Step(now, in).Published
		if now >= measuredFrom {
			published += len(reports)
		}
	}
	reports := 2*(members-1) + 1
	reportRate := gossip.MaxReportRate(members) / float64(reports) // publications of each report a second
	maxPublished := measuredTime.Seconds()*min(reportRate, 1/minPublishInterval.Seconds()) + maxUrgentBurst
	if float64(published) > maxPublished || float64(published) < 0.7*maxPublished {
		t.Errorf("%d reports in %v, want 70 %% to 100 %% of %.0f", published, measuredTime, maxPublished)
	}
}

// alternatingBacklog returns an event that begins a backlog or ends it, alternately at each check.
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

// reportsOfOthers returns two reports of each member.
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

// When a warm-up begins, the report is published at the next check, even if it was published just before.
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
