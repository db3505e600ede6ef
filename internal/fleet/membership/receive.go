package membership

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// Received returns the reports that were updated since the last call, with their current ages. It also returns the
// member's own incarnation if the member has begun a new one since the last call, and otherwise the zero value.
func (n *Node) Received() ([]loadreport.Report, loadreport.Incarnation) {
	now := n.cfg.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	var reports []loadreport.Report
	for key := range n.updatedReports {
		if report, ok := n.reports.Get(now, key.name, key.number); ok {
			reports = append(reports, report)
		}
	}
	clear(n.updatedReports)
	slices.SortFunc(reports, func(a, b loadreport.Report) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Number, b.Number))
	})
	incarnation := n.newIncarnation
	n.newIncarnation = loadreport.Incarnation{}
	return reports, incarnation
}

// receive processes an encoded message, and forwards the reports that it updates.
func (n *Node) receive(data []byte) {
	message, err := n.codec.Decode(data)
	n.queueBroadcasts(n.process(message, err))
}

// process handles a decoded message, or counts the error of decoding it. It returns the reports that were updated.
func (n *Node) process(message codec.Message, err error) []reportKey {
	now := n.cfg.now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.counters.Received++
	if err != nil {
		n.countUndecoded(err)
		return nil
	}
	if message.From == "" {
		return nil // The message is empty, because its report expired while it was queued.
	}
	if _, listed := n.cfg.Peers[message.From]; !listed || message.From == n.cfg.Name {
		n.counters.UnknownMembers++
		return nil
	}
	if message.Ping {
		n.enqueueDirect(directMessage{
			to:   message.From,
			pong: &codec.Pong{Boot: message.Boot, Clock: message.Clock},
		})
	}
	if message.EncodedQuota != nil {
		n.receiveQuota(now, message)
		return nil
	}
	updated := n.mergeWithDeferred(now, message)
	if message.WantsReports {
		n.enqueueReply(digestReply{message.From, message.ReportDigest()})
	}
	n.notifyUpdated(updated)
	return updated
}

// countUndecoded counts a message that could not be decoded. n.mu must be held.
func (n *Node) countUndecoded(err error) {
	if errors.Is(err, codec.ErrUnsupportedVersion) {
		n.counters.UnsupportedVersion++
	} else {
		n.counters.Unreadable++
	}
}

// mergeWithDeferred merges the reports of a message. If the message answers a clock request, its sender's clock is
// now known, and the reports of the sender's deferred messages are merged first. n.mu must be held.
func (n *Node) mergeWithDeferred(now time.Duration, message codec.Message) []reportKey {
	var messages []codec.Message
	if message.Pong != nil && message.Pong.Boot == n.cfg.Incarnation.Boot {
		sent := microseconds(message.Clock)
		requested := microseconds(message.Pong.Clock)
		messages = n.inbox.ClockReceived(message.From, message.Boot, sent, requested, now)
	}
	messages = append(messages, message)
	var updated []reportKey
	for _, m := range messages {
		updated = append(updated, n.mergeReports(now, m)...)
	}
	return updated
}

// mergeReports merges the reports of a message and returns those that were updated. It adds the message's time in
// transit to their ages, because the network may have delayed the message, or either process may have been paused.
// While the sender's clock is unknown, that time is unknown too, and the message is deferred. n.mu must be held.
func (n *Node) mergeReports(now time.Duration, message codec.Message) []reportKey {
	if len(message.EncodedReports) == 0 {
		return nil
	}
	sent := microseconds(message.Clock)
	transitTime, known, requestClock := n.inbox.Receive(message, message.From, message.Boot, sent, now)
	if requestClock {
		n.enqueueDirect(directMessage{to: message.From})
	}
	if !known {
		return nil
	}
	var updated []reportKey
	for _, report := range message.Reports() {
		if report.Age >= 0 {
			report.Age += transitTime
		}
		// The table counts the reports that it rejects.
		result, _ := n.reports.Merge(now, report)
		switch result {
		case loadreport.Updated:
			updated = append(updated, reportKey{report.Name, report.Number})
		case loadreport.Rival:
			n.observeRival(now)
		}
	}
	return updated
}

// notifyUpdated stores the keys of updated reports for the next call of Received. It calls OnReceive if no updated
// report was stored before. n.mu must be held.
func (n *Node) notifyUpdated(updated []reportKey) {
	if len(updated) == 0 && n.newIncarnation == (loadreport.Incarnation{}) {
		return
	}
	first := len(n.updatedReports) == 0
	for _, key := range updated {
		n.updatedReports[key] = struct{}{}
	}
	if first && n.cfg.OnReceive != nil {
		n.cfg.OnReceive()
	}
}

func microseconds(x int64) time.Duration { return time.Duration(x) * time.Microsecond }
