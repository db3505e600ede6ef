package main

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
)

// settleTime is the time before a fault that does not count as before it: messages of then may still wait when it
// begins.
const settleTime = 5 * time.Second

// print prints what was measured. It tells whether the relays handled the fault well: no destination was overloaded,
// and all relays heard of each change of the list and obeyed it.
func (o *faultObserver) print(out *cli.Printer, f faultScenario) (held bool) {
	w := o.world
	out.Printf("  worth served: before %.4f, meanwhile %.4f, after %.4f; destinations pushed over: %d\n",
		w.OverallBetween(0, f.start-settleTime),
		w.OverallBetween(f.start, f.end),
		w.OverallBetween(f.end, f.Length.AsDuration()),
		w.Overloads,
	)
	out.Printf("  calls %d: refused %d, failed %d; not opened %d; ",
		w.Calls, w.CallsRejected, w.CallsFailed, w.ConnectionsRefused)
	out.Printf("hand-ins refused %d, unanswered %d; deferred %d, failed %d\n",
		w.Rejected, w.Unanswered, w.Deferred, w.Failed)
	held = w.Overloads == 0
	if len(o.changes) > 0 {
		held = o.printChanges(out) && held
	}
	if len(o.outages) > 0 {
		o.printOutages(out)
	}
	if o.endedRelays > 0 {
		out.Printf("  %d relays ended\n", o.endedRelays)
	}
	return held
}

// printChanges prints how the changes of the list reached the relays. It tells whether all did, and whether no send
// came too late after one.
func (o *faultObserver) printChanges(out *cli.Printer) (held bool) {
	var delays []time.Duration // until the last relay heard of a change
	for _, spread := range o.changes {
		if spread.heardBy == o.relays {
			delays = append(delays, spread.heardLast-spread.published)
		}
	}
	slices.Sort(delays)
	missing := len(o.changes) - len(delays)
	out.Printf("  %d changes; %d that some relay does not have; ", len(o.changes), missing)
	out.Printf("the last relay has one after %v in the median, %v at most\n",
		quantile(delays, 0.5), quantile(delays, 1))
	out.Printf("  sends more than %v after the relay had heard that an endpoint takes nothing new: %d\n",
		drainSendTimeout, o.lateSends)
	return missing == 0 && o.lateSends == 0
}

// quantile returns a quantile of sorted durations, in whole milliseconds; 0 if there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

// printOutages prints what the destinations that were down cost, and how messages were delivered beside and after them.
func (o *faultObserver) printOutages(out *cli.Printer) {
	most := 0
	for _, sends := range o.wasted.byRelay {
		most = max(most, sends)
	}
	total := float64(o.wasted.total)
	out.Printf("  %d destinations down: %d calls to them, %.2f a destination, %.2f a relay (%d at most); ",
		len(o.outages), o.wasted.total, total/float64(len(o.outages)), total/float64(o.relays), most)
	out.Printf("%d pairs of relay and destination made one\n", len(o.wasted.pairs))
	out.Printf("  messages served: for those that came back, from then on, %v; for those that were never down %v\n",
		o.recovered, o.unaffected)
}
