package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

const (
	// About every rejoinInterval, with jitter, up to maxRejoinsPerRound listed members that are not alive are
	// contacted.
	rejoinInterval     = 2 * time.Second
	maxRejoinsPerRound = 2

	// Reports that another member lacks are sent in batches of about replyBatchBytes.
	replyBatchBytes      = 16 << 10
	estimatedReportBytes = 200
	reportsPerReply      = replyBatchBytes / estimatedReportBytes
)

// digestReply is a received digest to be answered with the reports that its sender lacks.
type digestReply struct {
	to     string
	digest loadreport.Digest
}

// enqueueReply queues a reply, or drops it if the queue is full: the member sends its digest again.
func (n *Node) enqueueReply(reply digestReply) {
	select {
	case n.digestReplies <- reply:
	default:
	}
}

// replyLoop answers digests and begins new incarnations, one at a time, until ctx is done.
func (n *Node) replyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.incarnationRequests:
			n.startIncarnation()
		case reply := <-n.digestReplies:
			n.sendMissing(ctx, reply)
		}
	}
}

// sendMissing sends the reports that the sender of the digest lacks, if that member is alive.
func (n *Node) sendMissing(ctx context.Context, reply digestReply) {
	members := n.memberlist.Members()
	i := slices.IndexFunc(members, func(member *memberlist.Node) bool { return member.Name == reply.to })
	if i < 0 {
		return
	}
	for batch := range slices.Chunk(n.missingFrom(reply.digest), reportsPerReply) {
		if err := n.memberlist.SendReliable(members[i], n.encodeReports(batch...)); err != nil || ctx.Err() != nil {
			return // The member sends its digest again.
		}
	}
}

// missingFrom returns the reports that a digest lacks. Reports of this member are left out while publishing is
// suspended.
func (n *Node) missingFrom(digest loadreport.Digest) []loadreport.Report {
	n.mu.Lock()
	defer n.mu.Unlock()
	reports := n.reports.MissingFrom(n.cfg.now(), digest)
	if n.nameClaim.Suspended(n.cfg.now()) {
		reports = slices.DeleteFunc(reports, func(report loadreport.Report) bool { return report.Name == n.cfg.Name })
	}
	return reports
}

// rejoinLoop regularly contacts listed members that are not alive, because gossip does not reach a member that was
// away for long. It also removes expired reports.
func (n *Node) rejoinLoop(ctx context.Context) {
	names := memberNames(n.cfg.Peers)
	for {
		n.rejoinMissing(ctx, names)
		n.removeExpired(len(names))
		wait := rejoinInterval/2 + rand.N(rejoinInterval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

func (n *Node) rejoinMissing(ctx context.Context, names []string) {
	alive := map[string]bool{n.cfg.Name: true}
	for _, member := range n.memberlist.Members() {
		alive[member.Name] = true
	}
	missing := slices.DeleteFunc(slices.Clone(names), func(name string) bool { return alive[name] })
	rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	for _, name := range missing[:min(len(missing), maxRejoinsPerRound)] {
		if ctx.Err() != nil {
			return
		}
		// A member that does not answer is contacted again in a later round.
		_, _ = n.memberlist.Join([]string{name + "/" + n.cfg.Peers[name]})
	}
}

// removeExpired drops expired reports. If more broadcasts are queued than all members can have reports, it also drops
// those that were sent most often.
func (n *Node) removeExpired(members int) {
	n.mu.Lock()
	n.reports.RemoveExpired(n.cfg.now())
	n.mu.Unlock()
	// The condition also protects a queue that was never used, on which Prune panics.
	maxQueued := members * loadreport.MaxReports
	if n.broadcasts.NumQueued() > maxQueued {
		n.broadcasts.Prune(maxQueued)
	}
}
