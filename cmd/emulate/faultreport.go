package main

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/cli"
)

// settleTime is the time before a fault that is left out of the service before the fault: messages submitted in this
// time may still wait when the fault begins.
const settleTime = 5 * time.Second

// print prints the measurements. It reports whether the relays handled the fault well: no service was overloaded during
// its warm-up, and all relays received each change of the list and obeyed it.
func (o *faultObserver) print(out *cli.Printer, f faultScenario) (held bool) {
	w := o.world
	out.Printf("  service: before the fault %.4f, during it %.4f, after it %.4f; overloads during warm-up: %d\n",
		w.OverallBetween(0, f.start-settleTime),
		w.OverallBetween(f.start, f.end),
		w.OverallBetween(f.end, f.Length.AsDuration()),
		w.Overloads,
	)
	out.Printf("  calls %d: rejected %d, failed %d; connections refused %d; ",
		w.Calls, w.CallsRejected, w.CallsFailed, w.ConnectionsRefused)
	out.Printf("submissions rejected %d, unanswered %d; messages deferred %d, failed %d\n",
		w.Rejected, w.Unanswered, w.Deferred, w.Failed)
	held = w.Overloads == 0
	if len(o.changes) > 0 {
		held = o.printChanges(out) && held
	}
	if len(o.outages) > 0 {
		o.printOutages(out)
	}
	if o.endedRelays > 0 {
		out.Printf("  %d relays terminated or killed\n", o.endedRelays)
	}
	return held
}

// printChanges prints how the changes of the list reached the relays. It reports whether each change reached all relays
// and whether no relay sent too late to an endpoint that drains or was removed.
func (o *faultObserver) printChanges(out *cli.Printer) (held bool) {
	// delays are the times from each change that reached all relays until the last relay received it.
	var delays []time.Duration
	for _, spread := range o.changes {
		if spread.receivedBy == o.relays {
			delays = append(delays, spread.lastReceived-spread.published)
		}
	}
	slices.Sort(delays)
	missing := len(o.changes) - len(delays)
	out.Printf("  %d list changes, of which %d did not reach all relays; ", len(o.changes), missing)
	out.Printf("time until the last relay received a change: %v in the median, %v at most\n",
		quantile(delays, 0.5), quantile(delays, 1))
	out.Printf("  sends to an endpoint more than %v after the relay received that it drains or is removed: %d\n",
		drainSendTimeout, o.lateSends)
	return missing == 0 && o.lateSends == 0
}

// quantile returns a quantile of sorted durations, rounded to milliseconds. It returns 0 if there are no durations.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))].Round(time.Millisecond)
}

// printOutages prints the calls that were sent to destinations that were down, and the deliveries to destinations that
// recovered or were never down.
func (o *faultObserver) printOutages(out *cli.Printer) {
	most := 0
	for _, sends := range o.wasted.byRelay {
		most = max(most, sends)
	}
	total := float64(o.wasted.total)
	out.Printf("  %d destinations down: %d calls to them, %.2f per destination, %.2f per relay (%d at most); ",
		len(o.outages), o.wasted.total, total/float64(len(o.outages)), total/float64(o.relays), most)
	out.Printf("%d pairs of relay and destination had such a call\n", len(o.wasted.pairs))
	out.Printf("  messages delivered: to recovered destinations after recovery %v; to destinations never down %v\n",
		o.recovered, o.unaffected)
}
