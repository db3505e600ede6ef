// Package link carries what relays of a fleet tell each other: membership, failure detection and gossip are
// memberlist's (SWIM with Lifeguard), on its own transport, with each member's name standing for an address of this
// relay's own. Nothing here decides, and nobody who tells or asks ever waits for the network.
package membership

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/fleet/quota"
)

const (
	probeInterval        = time.Second
	probeTimeout         = 400 * time.Millisecond
	streamTimeout        = 2 * time.Second // a peer that hangs holds a stream no longer
	rejoinInterval       = 2 * time.Second
	maxRejoinsPerRound   = 2
	maxPendingReplies    = 8
	maxPendingDirect     = 1024
	maxReceivedQuota     = 4096     // messages that wait for the loop; more are dropped, as the network may
	replyBatchBytes      = 16 << 10 // of pages in a message on a stream, more or less
	estimatedReportBytes = 200      // bytes

	nameReclaimTimeout = 10 * time.Second // after which the others let a name that is silent have another address
)

// Config is what a Link is made of.
type Config struct {
	Name   string // of this member
	Fleet  string // members of another fleet are not heard; "": any
	Listen string // IP and port, for TCP and UDP; port 0: any that is free
	// addresses of all members by their names, as this relay reaches them; its own is passed over
	Peers       map[string]string
	Incarnation loadreport.Incarnation
	Log         *slog.Logger
	// Raise keeps an incarnation beyond the process. It is called away from whoever tells or asks.
	SaveIncarnation func(incarnation uint64) error
	// News is called when something was heard, at most once until Heard is called. It must not wait.
	OnReceive func()

	// Transport is what datagrams and streams travel by; nil: sockets on Listen. For many members in one process.
	Transport memberlist.NodeAwareTransport

	now       func() time.Duration // of tests
	syncEvery time.Duration        // of tests; 0: the usual
}

// Node is one member's.
type Node struct {
	cfg        Config
	codec      *codec.Codec
	memberlist *memberlist.Memberlist
	broadcasts memberlist.TransmitLimitedQueue
	transport  *transport

	mu                 sync.Mutex
	reports            *loadreport.Table
	inbox              loadreport.Inbox[codec.Message]
	updatedReports     map[reportKey]struct{}
	newIncarnation     loadreport.Incarnation // a new one that Heard has not told yet
	incarnationPending bool                   // a new life is beginning
	nameClaim          loadreport.NameClaim
	receivedQuota      []timedQuota // until ReceivedQuota
	counters           Counters
	closed             bool

	digestReplies       chan digestReply
	directMessages      chan directMessage
	incarnationRequests chan struct{}
	cancel              context.CancelFunc
	workers             sync.WaitGroup
}

// Counters are of the link's whole life.
type Counters struct {
	Received           uint64 `json:"heard"`     // messages
	Unreadable         uint64 `json:"unread"`    // that could not be read
	UnsupportedVersion uint64 `json:"newer"`     // that need a newer program
	RivalReports       uint64 `json:"rivals"`    // pages of another process under this name
	AddressConflicts   uint64 `json:"conflicts"` // names that were told with two addresses
	UnknownMembers     uint64 `json:"strangers"` // members that nobody lists
	SentBytes          uint64 `json:"sent_bytes"`
	Streams            uint64 `json:"streams"`
}

type reportKey struct {
	name   string
	number int
}

// directMessage is a question for another's clock, or the answer, or what is told of rights.
type directMessage struct {
	to        string
	pong      *codec.Pong
	quota     *quota.Message
	decidedAt time.Duration // rights: when they were decided
}

// timedQuota is what came of rights, and when it was sent at the latest.
type timedQuota struct {
	quota.Message
	sentAt time.Duration
}

type digestReply struct {
	to     string
	digest loadreport.Digest
}

// Start begins to listen, to tell and to hear. It fails where the address cannot be had.
func Start(cfg Config) (*Node, error) {
	c, err := codec.New()
	if err != nil {
		return nil, err
	}
	if cfg.now == nil {
		began := time.Now()
		cfg.now = func() time.Duration { return time.Since(began) }
	}
	l := &Node{
		cfg: cfg, codec: c, reports: loadreport.New(cfg.Name, cfg.Incarnation, memberNames(cfg.Peers)), updatedReports: map[reportKey]struct{}{},
		inbox: loadreport.Inbox[codec.Message]{
			ClockRequestInterval: gossip.ClockRequestInterval,
			MaxDeferred:          gossip.MaxDeferredMessages,
		},
		directMessages: make(chan directMessage, maxPendingDirect),
		digestReplies:  make(chan digestReply, maxPendingReplies), incarnationRequests: make(chan struct{}, 1),
	}
	// Who listens, not who is seen: one that sees nobody yet tells all the same. A small fleet's datagrams get lost
	// like a large one's.
	l.broadcasts.NumNodes = func() int { return gossip.EffectiveSize(len(cfg.Peers)) }
	mc := memberlist.DefaultLANConfig()
	mc.Name, mc.Label = cfg.Name, cfg.Fleet
	mc.Logger = slog.NewLogLogger(cfg.Log.Handler(), slog.LevelDebug)
	mc.UDPBufferSize, mc.GossipInterval, mc.GossipNodes = gossip.MaxDatagramSize, gossip.Interval, gossip.FanOut(
		len(cfg.Peers),
	)
	mc.ProbeInterval, mc.ProbeTimeout, mc.TCPTimeout = probeInterval, probeTimeout, streamTimeout
	mc.PushPullInterval, mc.EnableCompression, mc.DeadNodeReclaimTime = cmp.Or(
		cfg.syncEvery,
		gossip.SyncInterval,
	), false, nameReclaimTimeout
	mc.Delegate, mc.Conflict, mc.Alive = (*delegate)(l), (*delegate)(l), (*delegate)(l)
	// memberlist's own number of the delegate's form stays 0 for good: it keeps out whole members that are newer. The
	// codec does better.
	l.broadcasts.RetransmitMult = gossip.RetransmitMultiplier(len(cfg.Peers))
	inner := cfg.Transport
	if inner == nil {
		at, err := netip.ParseAddrPort(cfg.Listen)
		if err != nil {
			return nil, fmt.Errorf("link: listen: %w", err)
		}
		mc.BindAddr, mc.BindPort = at.Addr().String(), int(at.Port())
		sockets, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
			BindAddrs: []string{mc.BindAddr}, BindPort: mc.BindPort, Logger: mc.Logger,
		})
		if err != nil {
			return nil, fmt.Errorf("link: listen on %s: %w", cfg.Listen, err)
		}
		mc.BindPort = sockets.GetAutoBindPort()
		mc.AdvertiseAddr, mc.AdvertisePort = mc.BindAddr, mc.BindPort // given, so that none is looked for
		inner = sockets
	}
	l.transport = &transport{NodeAwareTransport: inner, addresses: cfg.Peers}
	mc.Transport = l.transport
	if l.memberlist, err = memberlist.Create(mc); err != nil {
		return nil, errors.Join(fmt.Errorf("link: %w", err), inner.Shutdown())
	}
	ctx, stop := context.WithCancel(context.Background())
	l.cancel = stop
	l.workers.Go(func() { l.replyLoop(ctx) })
	l.workers.Go(func() { l.rejoinLoop(ctx) })
	l.workers.Go(func() { l.sendDirectLoop(ctx) })
	return l, nil
}

func memberNames(join map[string]string) []string {
	all := make([]string, 0, len(join))
	for n := range join {
		all = append(all, n)
	}
	slices.Sort(all)
	return all
}

// Close leaves the fleet and ends.
func (l *Node) Close() error {
	l.mu.Lock()
	was := l.closed
	l.closed = true
	l.mu.Unlock()
	if was {
		return nil
	}
	l.cancel()
	l.memberlist.Leave(2 * gossip.Interval) // nobody need hear of it
	err := l.memberlist.Shutdown()
	l.workers.Wait()
	if err != nil {
		return fmt.Errorf("link: %w", err)
	}
	return nil
}

// Addr is where the link listens.
func (l *Node) Addr() string { return l.memberlist.LocalNode().Address() }

// AliveCount is how many members are seen, this one among them; of those suspected too.
func (l *Node) AliveCount() int { return l.memberlist.NumMembers() }

// Publish has pages of this member told. It waits for nothing.
func (l *Node) Publish(pages []loadreport.Report) {
	now := l.cfg.now()
	var take []reportKey
	l.mu.Lock()
	for _, p := range pages {
		p.Age = 0
		if l.reports.Restore(now, p) == loadreport.Updated && !l.nameClaim.Suspended(now) {
			take = append(take, reportKey{p.Name, p.Number})
		}
	}
	l.mu.Unlock()
	l.queueBroadcasts(take)
}

func (l *Node) queueBroadcasts(places []reportKey) {
	for _, p := range places {
		l.broadcasts.QueueBroadcast(&broadcast{l, p})
	}
}

// Received returns what was heard since it was called last, with the ages that it has now, and the member's own life if
// that is new.
func (l *Node) Received() (pages []loadreport.Report, life loadreport.Incarnation) {
	now := l.cfg.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.updatedReports {
		if page, ok := l.reports.Get(now, p.name, p.number); ok {
			pages = append(pages, page)
		}
	}
	clear(l.updatedReports)
	slices.SortFunc(pages, func(a, b loadreport.Report) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Number, b.Number))
	})
	life, l.newIncarnation = l.newIncarnation, loadreport.Incarnation{}
	return pages, life
}

// Now is the link's monotonic time.
func (l *Node) Now() time.Duration { return l.cfg.now() }

// SendQuota has messages sent, each to its member, that were decided at a time of Now's. It waits for nothing; what is
// beyond the room is lost, as a datagram may be.
func (l *Node) SendQuota(at time.Duration, messages []quota.Message) {
	l.mu.Lock()
	silent := l.nameClaim.Suspended(l.cfg.now())
	l.mu.Unlock()
	for i := range messages {
		if !silent {
			l.enqueueDirect(directMessage{to: messages[i].Member, quota: &messages[i], decidedAt: at})
		}
	}
}

// ReceivedQuota returns what was heard of rights since it was called last, as old as it is at most.
func (l *Node) ReceivedQuota() (messages []quota.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.now()
	for _, h := range l.receivedQuota {
		h.TransitTime = max(0, now-h.sentAt)
		messages = append(messages, h.Message)
	}
	l.receivedQuota = l.receivedQuota[:0]
	return messages
}

// SetLimits takes what the list tells of destinations, by which absurd figures are known.
func (l *Node) SetLimits(limits loadreport.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports.SetLimits(limits)
}

// Member is what a link knows of another member.
type Member struct {
	loadreport.MemberStats
	Addr  string `json:"addr"`  // as this relay reaches it
	State string `json:"state"` // alive, suspect, dead, left, or unseen
}

// Status is what a link tells of itself.
type Status struct {
	Name         string                             `json:"name"`
	Fleet        string                             `json:"fleet"`
	Listen       string                             `json:"listen"`
	Incarnation  loadreport.Incarnation             `json:"life"`
	NameConflict bool                               `json:"twin"` // another process has this name: nothing is told
	Health       int                                `json:"health"`
	Queued       int                                `json:"queued"`
	Members      []Member                           `json:"members"`
	Rejected     map[loadreport.RejectReason]uint64 `json:"refused"`
	Counters
}

// Status tells how the link fares.
func (l *Node) Status() Status {
	states := map[string]string{}
	for _, n := range l.memberlist.Members() {
		states[n.Name] = map[memberlist.NodeStateType]string{
			memberlist.StateAlive: "alive", memberlist.StateSuspect: "suspect", memberlist.StateDead: "dead", memberlist.StateLeft: "left",
		}[n.State]
	}
	// Unlocked: the queue asks for messages and memberlist tells of members, which lock, while they are locked
	// themselves.
	queued, listen, health := l.broadcasts.NumQueued(), l.Addr(), l.memberlist.GetHealthScore()
	now := l.cfg.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	s := Status{
		Name: l.cfg.Name, Fleet: l.cfg.Fleet, Listen: listen, Incarnation: l.reports.Incarnation(), NameConflict: l.nameClaim.Suspended(now), Health: health,
		Queued: queued, Counters: l.counters,
	}
	s.SentBytes, s.Streams = l.transport.sentBytes.Load(), l.transport.streams.Load()
	told, refused := l.reports.Stats(now)
	s.Rejected = refused
	for _, name := range memberNames(l.cfg.Peers) {
		if name == l.cfg.Name {
			continue
		}
		m := Member{
			MemberStats: loadreport.MemberStats{Name: name, Age: -1},
			Addr:        l.cfg.Peers[name],
			State:       cmp.Or(states[name], "unseen"),
		}
		if i := slices.IndexFunc(told, func(t loadreport.MemberStats) bool { return t.Name == name }); i >= 0 {
			m.MemberStats = told[i]
		}
		s.Members = append(s.Members, m)
	}
	return s
}

// receive takes a message that came.
func (l *Node) receive(data []byte) {
	m, err := l.codec.Decode(data)
	l.queueBroadcasts(l.process(m, err)) // unlocked: the queue asks for messages
}

// process takes a message that was read, and returns what it told that is new.
func (l *Node) process(m codec.Message, err error) (news []reportKey) {
	now := l.cfg.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters.Received++
	if err != nil {
		if errors.Is(err, codec.ErrUnsupportedVersion) {
			l.counters.UnsupportedVersion++
		} else {
			l.counters.Unreadable++
		}
		return nil
	}
	if m.From == "" { // nothing was left to tell
		return nil
	}
	if _, listed := l.cfg.Peers[m.From]; !listed || m.From == l.cfg.Name {
		l.counters.UnknownMembers++
		return nil
	}
	if m.Ping {
		l.enqueueDirect(directMessage{to: m.From, pong: &codec.Pong{Boot: m.Boot, Clock: m.Clock}})
	}
	if m.EncodedQuota != nil {
		l.receiveQuota(now, m)
		return nil
	}
	waiting := []codec.Message{m}
	if m.Pong != nil && m.Pong.Boot == l.cfg.Incarnation.Boot {
		waiting = append(l.inbox.ClockReceived(m.From, m.Boot, microseconds(m.Clock), microseconds(m.Pong.Clock), now), m)
	}
	for _, m := range waiting {
		news = append(news, l.mergeReports(now, m)...)
	}
	if m.WantsReports {
		select {
		case l.digestReplies <- digestReply{m.From, m.ReportDigest()}:
		default: // it asks again
		}
	}
	l.markUpdated(news)
	return news
}

// mergeReports takes those of a message, as old as they are: what was held up on the way, or by either side's being stopped,
// is older than it says. While the sender's clock is not known nobody can tell: they are put aside until it is. mu is
// held.
func (l *Node) mergeReports(now time.Duration, m codec.Message) (news []reportKey) {
	if len(m.EncodedReports) == 0 {
		return nil
	}
	held, known, ask := l.inbox.Receive(m, m.From, m.Boot, microseconds(m.Clock), now)
	if ask {
		l.enqueueDirect(directMessage{to: m.From})
	}
	if !known {
		return nil
	}
	for _, p := range m.Reports() {
		if p.Age >= 0 {
			p.Age += held
		}
		switch out, _ := l.reports.Merge(now, p); out { // what it refuses it counts
		case loadreport.Updated:
			news = append(news, reportKey{p.Name, p.Number})
		case loadreport.Rival:
			l.observeRival(now)
		}
	}
	return news
}

// receiveQuota takes what is told of rights, of a sender whose clock is known: of another it is of no use, and comes
// again. mu is held.
func (l *Node) receiveQuota(now time.Duration, m codec.Message) {
	held, known, stale := l.inbox.Estimate(m.From, m.Boot, microseconds(m.Clock), now)
	if stale && l.inbox.RequestDue(m.From, now) {
		l.enqueueDirect(directMessage{to: m.From})
	}
	if !known || len(l.receivedQuota) >= maxReceivedQuota {
		return
	}
	first := len(l.receivedQuota) == 0
	l.receivedQuota = append(l.receivedQuota, timedQuota{m.QuotaMessage(), now - held})
	if first && l.cfg.OnReceive != nil {
		l.cfg.OnReceive()
	}
}

func microseconds(x int64) time.Duration { return time.Duration(x) * time.Microsecond }

// enqueueDirect has a note sent; where too many wait it is left out, and asked for again.
func (l *Node) enqueueDirect(n directMessage) {
	select {
	case l.directMessages <- n:
	default:
	}
}

// sendDirectLoop sends questions for clocks and their answers, stamped as they leave.
func (l *Node) sendDirectLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-l.directMessages:
			m := codec.Message{
				From: l.cfg.Name, Boot: l.cfg.Incarnation.Boot, Clock: l.cfg.now().Microseconds(), Ping: n.pong == nil && n.quota == nil, Pong: n.pong,
			}
			if n.quota != nil {
				m.Clock = n.decidedAt.Microseconds()
				m.SetQuotaMessage(*n.quota)
			}
			data, err := l.codec.Encode(m)
			if err != nil {
				continue // all of it can be encoded
			}
			// By name: the transport knows the address, also of one that is not seen as a member at the moment.
			l.memberlist.SendToAddress(memberlist.Address{Addr: l.cfg.Peers[n.to], Name: n.to}, data) // asked again
		}
	}
}

// markUpdated has the loop told of news. mu is held.
func (l *Node) markUpdated(news []reportKey) {
	if len(news) == 0 && l.newIncarnation == (loadreport.Incarnation{}) {
		return
	}
	first := len(l.updatedReports) == 0
	for _, p := range news {
		l.updatedReports[p] = struct{}{}
	}
	if first && l.cfg.OnReceive != nil {
		l.cfg.OnReceive()
	}
}

// observeRival meets a life under the own name that is not this one or before it: the folder was an older one, or another
// process has the name. mu is held.
func (l *Node) observeRival(now time.Duration) {
	l.counters.RivalReports++
	if l.incarnationPending {
		return
	}
	if was := l.nameClaim.Suspended(now); !l.nameClaim.ObserveRival(now) {
		l.logSuspended(!was)
		return
	}
	l.incarnationPending = true
	l.incarnationRequests <- struct{}{} // has room: one is beginning at most
}

// logSuspended says that this member tells nothing for a while, if that is anew.
func (l *Node) logSuspended(anew bool) {
	if anew {
		l.cfg.Log.Error(
			"fleet: another process runs under this relay's name; this one falls silent",
			"name",
			l.cfg.Name,
		)
	}
}

// startIncarnation begins a new life, past all that were heard of, once that outlasts the process.
func (l *Node) startIncarnation() {
	l.mu.Lock()
	incarnation := l.reports.Rival().Generation + 1
	l.mu.Unlock()
	if err := l.cfg.SaveIncarnation(incarnation); err != nil {
		l.cfg.Log.Warn("fleet: the incarnation is not kept", "err", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnationPending = false
	l.cfg.Log.Info("fleet: heard a later life of this relay; beginning a new one", "incarnation", incarnation)
	l.newIncarnation = loadreport.Incarnation{Generation: incarnation, Boot: l.cfg.Incarnation.Boot}
	l.reports.SetIncarnation(l.newIncarnation)
	l.markUpdated(nil)
}

// encodeReports is what a place holds, as it is to be told now.
func (l *Node) encodeReports(pages ...loadreport.Report) []byte {
	var m codec.Message
	if len(pages) > 0 {
		m = codec.Message{From: l.cfg.Name, Boot: l.cfg.Incarnation.Boot, Clock: l.cfg.now().Microseconds()}
		m.SetReports(pages...)
	}
	data, err := l.codec.Encode(m)
	if err != nil {
		return nil // a figure that is no number: the ledger holds none
	}
	return data
}

// replyLoop answers digests with what their senders lack, one after the other.
func (l *Node) replyLoop(ctx context.Context) {
	for {
		var r digestReply
		select {
		case <-ctx.Done():
			return
		case <-l.incarnationRequests:
			l.startIncarnation()
			continue
		case r = <-l.digestReplies:
		}
		others := l.memberlist.Members()
		i := slices.IndexFunc(others, func(n *memberlist.Node) bool { return n.Name == r.to })
		if i < 0 {
			continue
		}
		to := others[i]
		l.mu.Lock()
		pages := l.reports.MissingFrom(l.cfg.now(), r.digest)
		if l.nameClaim.Suspended(l.cfg.now()) {
			pages = slices.DeleteFunc(pages, func(p loadreport.Report) bool { return p.Name == l.cfg.Name })
		}
		l.mu.Unlock()
		for batch := range slices.Chunk(pages, replyBatchBytes/estimatedReportBytes) {
			if err := l.memberlist.SendReliable(to, l.encodeReports(batch...)); err != nil || ctx.Err() != nil {
				break // it asks again
			}
		}
	}
}

// rejoinLoop calls members that are listed and not seen, a few at a time: gossip reaches nobody who was away for long.
func (l *Node) rejoinLoop(ctx context.Context) {
	all := memberNames(l.cfg.Peers)
	for {
		seen := map[string]bool{l.cfg.Name: true}
		for _, n := range l.memberlist.Members() {
			seen[n.Name] = true
		}
		missing := slices.DeleteFunc(slices.Clone(all), func(n string) bool { return seen[n] })
		rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
		for _, n := range missing[:min(len(missing), maxRejoinsPerRound)] {
			if ctx.Err() == nil {
				l.memberlist.Join([]string{n + "/" + l.cfg.Peers[n]}) // tried again
			}
		}
		l.mu.Lock()
		l.reports.RemoveExpired(l.cfg.now())
		l.mu.Unlock()
		// a queue that was never used must not be pruned
		if most := len(all) * loadreport.MaxReports; l.broadcasts.NumQueued() > most {
			l.broadcasts.Prune(most)
		}
		wait := rejoinInterval/2 + rand.N(rejoinInterval)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// broadcast is a page on its way to all. Of a page only the newest is told.
type broadcast struct {
	node *Node
	reportKey
}

func (b *broadcast) Name() string { return fmt.Sprintf("%s/%d", b.reportKey.name, b.number) }

func (b *broadcast) Invalidates(o memberlist.Broadcast) bool {
	x, ok := o.(*broadcast)
	return ok && x.reportKey == b.reportKey
}

// Message is the page with its age at this moment, not at that when it was queued.
func (b *broadcast) Message() []byte {
	b.node.mu.Lock()
	page, ok := b.node.reports.Get(b.node.cfg.now(), b.reportKey.name, b.number)
	b.node.mu.Unlock()
	if !ok {
		return b.node.encodeReports()
	}
	return b.node.encodeReports(page)
}

func (b *broadcast) Finished() {}

// delegate is the side of a Link that memberlist calls.
type delegate Node

func (d *delegate) node() *Node { return (*Node)(d) }

func (d *delegate) NodeMeta(int) []byte   { return nil }
func (d *delegate) NotifyMsg(data []byte) { d.node().receive(data) }

func (d *delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.broadcasts.GetBroadcasts(overhead, limit)
}

// LocalState is a digest of what this relay holds.
func (d *delegate) LocalState(bool) []byte {
	l := d.node()
	now := l.cfg.now()
	m := codec.Message{From: l.cfg.Name, Boot: l.cfg.Incarnation.Boot, Clock: now.Microseconds(), WantsReports: true}
	l.mu.Lock()
	m.SetDigest(l.reports.Digest(now))
	l.mu.Unlock()
	data, err := l.codec.Encode(m)
	if err != nil {
		return nil
	}
	return data
}

// MergeRemoteState takes another's digest, and has it sent what it lacks.
func (d *delegate) MergeRemoteState(data []byte, _ bool) { d.node().receive(data) }

// NotifyAlive keeps out whom the file does not list.
func (d *delegate) NotifyAlive(n *memberlist.Node) error {
	l := d.node()
	if _, ok := l.cfg.Peers[n.Name]; ok || n.Name == l.cfg.Name {
		return nil
	}
	l.mu.Lock()
	l.counters.UnknownMembers++
	l.mu.Unlock()
	return fmt.Errorf("link: %q is not listed", n.Name)
}

func (d *delegate) NotifyConflict(_, other *memberlist.Node) {
	l := d.node()
	now := l.cfg.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counters.AddressConflicts++; l.counters.AddressConflicts == 1 {
		l.cfg.Log.Warn("fleet: a name is told with two addresses", "name", other.Name, "other", other.Address())
	}
	// the others know another process by this name, or this one by an address that it had before
	if other.Name == l.cfg.Name {
		l.logSuspended(l.nameClaim.Suspend(now, nameReclaimTimeout))
	}
}

// transport leads a member's name to the address that this relay has for it: that may differ from one relay to the
// next, as discovery's addresses of hosts do, so that every pair can be led through a proxy of its own.
type transport struct {
	memberlist.NodeAwareTransport
	addresses          map[string]string
	sentBytes, streams atomic.Uint64
}

func (t *transport) resolve(a memberlist.Address) memberlist.Address {
	if addr, ok := t.addresses[a.Name]; ok {
		a.Addr = addr
	}
	return a
}

func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	t.sentBytes.Add(uint64(len(b)))
	return t.NodeAwareTransport.WriteToAddress(b, t.resolve(a))
}

func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	t.streams.Add(1)
	conn, err := t.NodeAwareTransport.DialAddressTimeout(t.resolve(a), timeout)
	if err != nil {
		return nil, err
	}
	// Where memberlist sets a bound of its own, that goes on; for messages to one it sets none, and a peer that hangs
	// would hold them for ever.
	if err := conn.SetDeadline(time.Now().Add(2 * streamTimeout)); err != nil {
		return nil, errors.Join(err, conn.Close())
	}
	return &countingConn{conn, &t.sentBytes}, nil
}

// countingConn counts what is written.
type countingConn struct {
	net.Conn
	sentBytes *atomic.Uint64
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sentBytes.Add(uint64(n))
	return n, err
}
