package checker

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// The figures that beliefs are judged by.
const (
	// beliefSlack is what a belief may be younger than it can be: what its asking took, and the least time under way,
	// which nobody sees.
	beliefSlack = 400 * time.Millisecond
	// hearsWithin is how long two relays may take to hear of each other once both run and all between them is sound,
	// and how old what one holds of the other may be from then on: who is taken for dead is called again within
	// seconds.
	hearsWithin = 20 * time.Second
	youngWithin = 8 * time.Second
	// toldWithin is how lately a relay must have been handed a message for others to be owed news of it.
	toldWithin = 3 * time.Second
)

// Beliefs is what relays held of each other, beside the truth.
type PeerViewResult struct {
	Queried      int        `json:"asked"`
	Disconnected int        `json:"apart"` // while something was between the two
	TooFresh     RuleResult `json:"young"` // held to be younger than it can have been told
	Stale        RuleResult `json:"deaf"`  // not heard of, though nothing was in the way
}

func (b *PeerViewResult) violated() bool {
	return b != nil && b.TooFresh.ViolationCount+b.Stale.ViolationCount > 0
}

// State sums them up.
func (b *PeerViewResult) State() State {
	switch {
	case b.violated():
		return Violated
	case b.Queried == 0:
		return NotExercised
	}
	return Held
}

// truth follows what each relay can know of each other one at best.
type truth struct {
	names []string
	runs  []bool
	cut   [][]bool          // from, to
	bad   [][]bool          // something is between them that is no cut
	known [][]time.Duration // of the second by the first: told then at the latest; below 0: never
	sound [][]time.Duration // since then both run and the ways between them are sound; never: they are not
	at    time.Duration
}

func newTruth(names []string) *truth {
	n := len(names)
	t := &truth{names: names, runs: make([]bool, n)}
	for range n {
		t.cut, t.bad = append(t.cut, make([]bool, n)), append(t.bad, make([]bool, n))
		t.known, t.sound = append(
			t.known,
			slices.Repeat([]time.Duration{-1}, n),
		), append(
			t.sound,
			slices.Repeat([]time.Duration{never}, n),
		)
	}
	return t
}

// until lets time pass: while nothing changes, all that a relay can be reached by, directly or over others, it may know
// as of now.
func (t *truth) until(at time.Duration) {
	n := len(t.names)
	reach := make([][]bool, n) // to, from
	for to := range n {
		reach[to] = make([]bool, n)
		for from := range n {
			reach[to][from] = from == to || t.runs[from] && t.runs[to] && !t.cut[from][to]
		}
	}
	for over := range n {
		for to := range n {
			for from := range n {
				reach[to][from] = reach[to][from] || reach[to][over] && reach[over][from]
			}
		}
	}
	was := make([][]time.Duration, n)
	for i := range n {
		was[i] = slices.Clone(t.known[i])
	}
	for by := range n {
		for over := range n {
			if !reach[by][over] || !t.runs[by] {
				continue
			}
			for of := range n {
				t.known[by][of] = max(t.known[by][of], was[over][of])
			}
			if t.runs[over] {
				t.known[by][over] = at
			}
		}
	}
	t.at = at
}

// settle notes from when on each pair is sound, after a change.
func (t *truth) settle(at time.Duration) {
	for i := range t.names {
		for j := range t.names {
			ok := t.runs[i] && t.runs[j] && !t.cut[i][j] && !t.cut[j][i] && !t.bad[i][j] && !t.bad[j][i]
			if !ok {
				t.sound[i][j] = never
			} else if t.sound[i][j] == never {
				t.sound[i][j] = at
			}
		}
	}
}

// beliefs judges what relays said that they hold of each other; nil if none was asked.
func (j *judge) beliefs() *PeerViewResult {
	if !slices.ContainsFunc(j.events, func(e eventlog.Event) bool { return e.Kind == eventlog.PeerView }) {
		return nil
	}
	b := &PeerViewResult{
		TooFresh: RuleResult{Rule: "nobody is believed to be heard who was not"},
		Stale:    RuleResult{Rule: "who can be heard is heard"},
	}
	t := newTruth(j.Relays)
	index := func(name string) int { return slices.Index(t.names, name) }
	offered := make([]time.Duration, len(t.names)) // a message last
	change := func(at time.Duration, do func()) {
		t.until(at)
		do()
		t.settle(at)
	}
	for i, e := range j.events {
		r := index(e.Relay)
		switch {
		case r < 0:
		case e.Kind == eventlog.MessageSubmitted:
			offered[r] = e.At
		case e.Kind == eventlog.ProcessChanged:
			switch e.State {
			case eventlog.StateStart, eventlog.StateCont:
				change(e.At, func() { t.runs[r] = true })
			case eventlog.StateExit, eventlog.StateStop, eventlog.StateKill:
				change(e.At, func() { t.runs[r] = false })
			}
		case e.Kind == eventlog.LinkChanged && index(e.Name) >= 0:
			o := index(e.Name)
			change(
				e.At,
				func() { t.cut[r][o], t.bad[r][o] = e.State == eventlog.LinkCut, e.State == eventlog.LinkFaulty },
			)
		case e.Kind == eventlog.PeerView && index(e.Name) >= 0:
			o := index(e.Name)
			t.until(e.At)
			b.Queried++
			apart := t.sound[r][o] == never
			if apart {
				b.Disconnected++
			}
			b.TooFresh.Exercised++
			if e.For >= 0 && e.At-e.Delay-e.For > t.known[r][o]+beliefSlack {
				b.TooFresh.broken(
					e.At,
					[]int{i},
					"%s holds news of %s that is %v old, and can have heard of it as it was at %v at the latest",
					e.Relay,
					e.Name,
					e.For.Round(time.Millisecond),
					t.known[r][o].Round(time.Millisecond),
				)
			}
			if since := t.sound[r][o]; !apart && e.At-since > hearsWithin && e.At-offered[o] < toldWithin {
				b.Stale.Exercised++
				if e.For < 0 || e.For > youngWithin {
					b.Stale.broken(
						e.At,
						[]int{i},
						"%s holds news of %s that is %v old (below 0: none), over links that are sound since %v",
						e.Relay,
						e.Name,
						e.For.Round(time.Millisecond),
						since.Round(time.Millisecond),
					)
				}
			}
		}
	}
	for _, f := range []*RuleResult{&b.TooFresh, &b.Stale} {
		switch {
		case f.ViolationCount > 0:
			f.State = Violated
		case f.Exercised == 0:
			f.State = NotExercised
		default:
			f.State = Held
		}
	}
	return b
}
