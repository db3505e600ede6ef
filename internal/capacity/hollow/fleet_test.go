package hollow

import (
	"fmt"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/scaletest"
)

// TestMeasure measures in virtual time what members spend and how fast changes propagate. cmd/capacity runs this test
// and its subtests by their names.
func TestMeasure(t *testing.T) {
	// The long sizes are limited by memory and time: 600 active members took 3.4 GB and had not finished after 440 s of
	// processor time. Members of large fleets exchange digests and member tables only once a minute or less often. Only
	// the measureTime of the idle case is long enough to contain a representative number of these exchanges.
	for _, c := range []struct {
		name        string
		options     Options
		measureTime time.Duration
		long        []int
	}{
		{CaseIdle, Options{}, 90 * time.Second, []int{100, 300, 1000}},
		{CaseActive, Options{Destinations: 8, ActiveDestinations: 6}, 10 * time.Second, []int{50, 100, 200, 300}},
		{CaseQuota(24), Options{Destinations: 24, ShareQuota: true}, 10 * time.Second, []int{50, 100, 200, 300}},
	} {
		for _, members := range scaletest.Sizes(t, []int{20}, c.long...) {
			t.Run(fmt.Sprintf("%s, %d", c.name, members), func(t *testing.T) {
				options := c.options
				options.Members = members
				options.SettleTime = 5 * time.Second
				options.MeasureTime = c.measureTime
				options.Changes = 3
				inBubble(t, func(t *testing.T) { testMeasure(t, c.name, options) })
			})
		}
	}
}

func testMeasure(t *testing.T, name string, options Options) {
	t.Helper()
	m, err := Measure(options)
	if err != nil {
		t.Fatal(err)
	}
	scaletest.Record(t, name, m.Size, m.Values)
	checkRange(t, m, InformedFraction, 0.99, 1)
	checkRange(t, m, PropagationHalf, 0, 1)
	checkRange(t, m, SentDatagramRate, 0.1, 1e5)
	checkRange(t, m, DroppedDatagramRate, 0, 0)
	if options.Members < 100 {
		sent := m.Values[SentByteRate]
		checkRange(t, m, PropagationAll, 0, 3)
		checkRange(t, m, ReceivedByteRate, 0.99*sent, 1.01*sent) // The network loses nothing.
	}
}

func TestStartRejectsOptions(t *testing.T) {
	for _, options := range []Options{
		{Members: 1},
		{Members: 2, Destinations: 3, ActiveDestinations: 4},
	} {
		if f, err := Start(options); err == nil {
			t.Errorf("options %+v are accepted", options)
			if err := f.Close(); err != nil {
				t.Error(err)
			}
		}
	}
}

// A change of a member that is separated from the others reaches no other member, and Change reports no times for it.
// A change of another member reaches all members but the separated one.
func TestChangeOfSeparatedMember(t *testing.T) {
	inBubble(t, func(t *testing.T) {
		f, stop := startFleet(t, Options{Members: 6, ChangeTimeout: 8 * time.Second})
		defer stop()
		const separated = 1
		f.network.partition(func(from, to int) bool { return from == separated || to == separated })
		if times := f.Change(separated); len(times) > 0 {
			t.Errorf("a change of the separated member reached others after %v", times)
		}
		if times := f.Change(0); len(times) != 4 {
			t.Errorf("the change reached %d members, want the four others that are not separated", len(times))
		}
	})
}
