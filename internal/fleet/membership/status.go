package membership

import (
	"cmp"
	"slices"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// Counters count over the life of a Node.
type Counters struct {
	Received           uint64 `json:"heard"`     // messages
	Unreadable         uint64 `json:"unread"`    // messages that could not be decoded
	UnsupportedVersion uint64 `json:"newer"`     // messages that need a newer program
	RivalReports       uint64 `json:"rivals"`    // reports of another process under this member's name
	AddressConflicts   uint64 `json:"conflicts"` // sightings of a name with two addresses
	UnknownMembers     uint64 `json:"strangers"` // messages and sightings of members that are not listed
	SentBytes          uint64 `json:"sent_bytes"`
	Streams            uint64 `json:"streams"`
}

// MemberStatus is what a node knows of another member.
type MemberStatus struct {
	loadreport.MemberStats
	Addr  string `json:"addr"`  // as this relay reaches it
	State string `json:"state"` // alive, suspect, dead, left or unseen
}

// Status is the state of a node for operators.
type Status struct {
	Name         string                             `json:"name"`
	Fleet        string                             `json:"fleet"`
	Listen       string                             `json:"listen"`
	Incarnation  loadreport.Incarnation             `json:"life"`
	NameConflict bool                               `json:"twin"` // another process uses the name: nothing is sent
	Health       int                                `json:"health"`
	Queued       int                                `json:"queued"`
	Members      []MemberStatus                     `json:"members"`
	Rejected     map[loadreport.RejectReason]uint64 `json:"refused"`
	Counters
}

// unseenState is the state of a listed member that memberlist does not know.
const unseenState = "unseen"

// noReportAge is the age of a member of which there is no report.
const noReportAge = -1

// memberStates names memberlist's states.
var memberStates = map[memberlist.NodeStateType]string{
	memberlist.StateAlive:   "alive",
	memberlist.StateSuspect: "suspect",
	memberlist.StateDead:    "dead",
	memberlist.StateLeft:    "left",
}

// Status returns the node's current state.
func (n *Node) Status() Status {
	// All that takes locks of memberlist's comes before n.mu: both its queue and its membership hold theirs while
	// they call the node, which takes n.mu.
	states := map[string]string{}
	for _, member := range n.memberlist.Members() {
		states[member.Name] = memberStates[member.State]
	}
	queued := n.broadcasts.NumQueued()
	listen := n.Addr()
	health := n.memberlist.GetHealthScore()

	now := n.cfg.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	stats, rejected := n.reports.Stats(now)
	status := Status{
		Name:         n.cfg.Name,
		Fleet:        n.cfg.Fleet,
		Listen:       listen,
		Incarnation:  n.reports.Incarnation(),
		NameConflict: n.nameClaim.Suspended(now),
		Health:       health,
		Queued:       queued,
		Members:      n.memberStatus(stats, states),
		Rejected:     rejected,
		Counters:     n.counters,
	}
	status.SentBytes = n.transport.sentBytes.Load()
	status.Streams = n.transport.streams.Load()
	return status
}

// memberStatus returns the status of all other listed members, by name.
func (n *Node) memberStatus(stats []loadreport.MemberStats, states map[string]string) []MemberStatus {
	var members []MemberStatus
	for _, name := range memberNames(n.cfg.Peers) {
		if name == n.cfg.Name {
			continue
		}
		member := MemberStatus{
			MemberStats: loadreport.MemberStats{Name: name, Age: noReportAge},
			Addr:        n.cfg.Peers[name],
			State:       cmp.Or(states[name], unseenState),
		}
		i := slices.IndexFunc(stats, func(s loadreport.MemberStats) bool { return s.Name == name })
		if i >= 0 {
			member.MemberStats = stats[i]
		}
		members = append(members, member)
	}
	return members
}
