package membership

import (
	"cmp"
	"slices"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// Counters count events since the start of a Node.
type Counters struct {
	Received           uint64 `json:"heard"`     // messages
	Unreadable         uint64 `json:"unread"`    // messages that could not be decoded
	UnsupportedVersion uint64 `json:"newer"`     // messages that require a newer format version
	RivalReports       uint64 `json:"rivals"`    // reports of another process under this member's name
	AddressConflicts   uint64 `json:"conflicts"` // notifications that a name has two addresses
	UnknownMembers     uint64 `json:"strangers"` // messages and notifications of members that are not listed
	SentBytes          uint64 `json:"sent_bytes"`
	Streams            uint64 `json:"streams"`
}

// MemberStatus describes another member in a Status.
type MemberStatus struct {
	loadreport.MemberStats
	Addr  string `json:"addr"`  // at which this relay reaches the member
	State string `json:"state"` // alive, suspect, dead, left or unseen
}

// Status is the state of a node for operators.
type Status struct {
	Name        string                 `json:"name"`
	Fleet       string                 `json:"fleet"`
	Listen      string                 `json:"listen"`
	Incarnation loadreport.Incarnation `json:"life"`
	// NameConflict is set while publishing is suspended, because another process uses the name.
	NameConflict bool                               `json:"twin"`
	Health       int                                `json:"health"`
	Queued       int                                `json:"queued"`
	Members      []MemberStatus                     `json:"members"`
	Rejected     map[loadreport.RejectReason]uint64 `json:"refused"`
	Counters
}

// unseenState is the state of a listed member that memberlist does not return as alive.
const unseenState = "unseen"

// noReportAge is the Age of a member of which the node has no report.
const noReportAge = -1

// memberStates maps memberlist's states to their names in a status.
var memberStates = map[memberlist.NodeStateType]string{
	memberlist.StateAlive:   "alive",
	memberlist.StateSuspect: "suspect",
	memberlist.StateDead:    "dead",
	memberlist.StateLeft:    "left",
}

// Status returns the node's current state.
func (n *Node) Status() Status {
	// Everything that takes locks of memberlist comes before n.mu. memberlist holds the locks of its queue and of its
	// member list while it calls the node, which takes n.mu, so the opposite order could deadlock.
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

// memberStatus returns the status of all other listed members, sorted by name.
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
