package checker

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// peerKnowledge follows the newest state of each relay that each other relay can know, directly or over third ones.
// Relays are given by their index.
type peerKnowledge struct {
	running      []bool
	links        [][]string        // from, to: the state of the link, "" if it is unchanged
	newest       [][]time.Duration // of the second relay, at the first one; below 0: nothing
	healthySince [][]time.Duration // since when both relays run and the links between them are healthy, or never
}

func newPeerKnowledge(relays int) *peerKnowledge {
	k := &peerKnowledge{running: make([]bool, relays)}
	for range relays {
		k.links = append(k.links, make([]string, relays))
		k.newest = append(k.newest, slices.Repeat([]time.Duration{-1}, relays))
		k.healthySince = append(k.healthySince, slices.Repeat([]time.Duration{never}, relays))
	}
	return k
}

// setRunning notes that a relay runs, or does not, from a time on.
func (k *peerKnowledge) setRunning(at time.Duration, relay int, running bool) {
	k.advance(at)
	k.running[relay] = running
	k.updateHealthy(at)
}

// setLink notes the state of the link from one relay to another from a time on.
func (k *peerKnowledge) setLink(at time.Duration, from, to int, state string) {
	k.advance(at)
	k.links[from][to] = state
	k.updateHealthy(at)
}

// advance lets time pass in which nothing changes. A running relay can then know the present state of each running
// relay from which reports reach it, and what that one knew before.
func (k *peerKnowledge) advance(at time.Duration) {
	reachable := k.reachability()
	before := make([][]time.Duration, len(k.newest))
	for i := range k.newest {
		before[i] = slices.Clone(k.newest[i])
	}
	for to := range k.running {
		for from := range k.running {
			if !k.running[to] || !reachable[from][to] {
				continue
			}
			for of := range k.running {
				k.newest[to][of] = max(k.newest[to][of], before[from][of])
			}
			if k.running[from] {
				k.newest[to][from] = at
			}
		}
	}
}

// reachability returns from which relays reports reach which others, over any number of links. It is the transitive
// closure of the links that are not cut.
func (k *peerKnowledge) reachability() [][]bool {
	reachable := make([][]bool, len(k.running)) // from, to
	for from := range k.running {
		reachable[from] = make([]bool, len(k.running))
		for to := range k.running {
			linked := k.running[from] && k.running[to] && k.links[from][to] != eventlog.LinkCut
			reachable[from][to] = from == to || linked
		}
	}
	for over := range k.running {
		for from := range k.running {
			for to := range k.running {
				if reachable[from][over] && reachable[over][to] {
					reachable[from][to] = true
				}
			}
		}
	}
	return reachable
}

// updateHealthy follows since when each pair of relays is connected in both directions, after a change.
func (k *peerKnowledge) updateHealthy(at time.Duration) {
	for i := range k.running {
		for j := range k.running {
			healthy := k.running[i] && k.running[j] && isHealthy(k.links[i][j]) && isHealthy(k.links[j][i])
			switch {
			case !healthy:
				k.healthySince[i][j] = never
			case k.healthySince[i][j] == never:
				k.healthySince[i][j] = at
			}
		}
	}
}

func isHealthy(link string) bool { return link != eventlog.LinkCut && link != eventlog.LinkFaulty }
