package checker

import (
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
)

// peerKnowledge tracks how recent the newest report is that each relay can have received of each other relay,
// directly or through other relays. Relays are identified by their index in the header.
type peerKnowledge struct {
	running      []bool
	links        [][]string        // [from][to]: the state of the link, "" until its first change
	newest       [][]time.Duration // [receiver][subject]: when the newest report was sent; below 0: there is none
	healthySince [][]time.Duration // since when both relays run and both links between them are healthy, or never
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

// setRunning records that a relay runs, or does not run, from a time on.
func (k *peerKnowledge) setRunning(at time.Duration, relay int, running bool) {
	k.advance(at)
	k.running[relay] = running
	k.updateHealthy(at)
}

// setLink records the state of the link from one relay to another from a time on.
func (k *peerKnowledge) setLink(at time.Duration, from, to int, state string) {
	k.advance(at)
	k.links[from][to] = state
	k.updateHealthy(at)
}

// advance updates newest for the time up to at, during which no relay or link changes. By then each running relay
// can have a report sent at that time by every running relay whose reports reach it, and all reports that the
// sender had before.
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
			for subject := range k.running {
				k.newest[to][subject] = max(k.newest[to][subject], before[from][subject])
			}
			if k.running[from] {
				k.newest[to][from] = at
			}
		}
	}
}

// reachability returns whether reports of one relay reach another, directly or through other relays. It is the
// transitive closure of the links between running relays that are not cut.
func (k *peerKnowledge) reachability() [][]bool {
	reachable := make([][]bool, len(k.running)) // [from][to]
	for from := range k.running {
		reachable[from] = make([]bool, len(k.running))
		for to := range k.running {
			linked := k.running[from] && k.running[to] && k.links[from][to] != eventlog.LinkCut
			reachable[from][to] = from == to || linked
		}
	}
	for via := range k.running {
		for from := range k.running {
			for to := range k.running {
				if reachable[from][via] && reachable[via][to] {
					reachable[from][to] = true
				}
			}
		}
	}
	return reachable
}

// updateHealthy updates healthySince after a change of a relay or a link.
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
