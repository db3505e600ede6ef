// Package relay carries out on real sockets what package policy decides: it takes messages from clients, calls
// hosts, follows discovery's list, and keeps what it owes in a journal. It decides nothing itself.
//
// One goroutine, the loop, owns the decision module and the log. Everything that happens comes to it as an
// event, so that no send leaves on a decision older than what the loop has learned.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/relay/ratelog"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	eventQueueSize = 1024
	maxBatchEvents = 512 // events in a step

	clockTolerance = 10 * time.Millisecond // what two readings of a clock that is slewed may differ by
	unknownRunAge  = 24 * time.Hour        // past the usual windows in which repeats are dropped

	// initialClock keeps the module's clock away from 0, which it takes for never.
	initialClock = time.Second

	// The parts of a planned end, from SIGTERM, after which SIGKILL comes no sooner than 3.7 s. New connections
	// go on coming for up to 0.4 s.
	shutdownAcceptTime = 500 * time.Millisecond
	shutdownAnswerTime = time.Second             // requests that were read by then have their answers
	shutdownSendTime   = 2200 * time.Millisecond // no new calls after this: they would be cut off with no outcome
	shutdownTimeout    = 3300 * time.Millisecond
)

// Relay is one relay.
type Relay struct {
	cfg              Config
	log              *slog.Logger
	logOut           io.Writer // where recordings go
	hosts            *hosts
	clients          *clients
	finals           *Sender
	agent            *Client
	recorder         *recording
	fleet            *fleet.Member // nil: this relay tells others nothing and hears nothing
	events           chan event
	sharedRecorder   atomic.Pointer[recording]     // rec, for other goroutines
	awaitingHandover atomic.Bool                   // for the process before this one to hand over
	loopDone         chan struct{}                 // closed when the loop has ended
	drained          chan struct{}                 // closed when the relay is stopping and nothing is left to wait for
	clientConfig     atomic.Pointer[reload.Config] // what clients are held to
	metrics          metrics.Registry
	endpointsKnown   atomic.Bool // it has recovered and holds a list
	terminating      atomic.Bool // SIGTERM came
	calls            sync.WaitGroup

	// Owned by Reload.
	latestConfig     reload.Config // taken last
	latestGeneration int           // of terms: later ones make earlier ones void

	upgrade
	largeList atomic.Bool // the list is, or was, too long to be told to the module as a whole; set by the loop

	// Owned by the loop.
	endpointState
	activeConfig      reload.Config
	activeGeneration  int
	callCtx           context.Context
	activeCalls       map[*call]struct{} // out
	listVersion       int64              // of the list
	adminCtx          context.Context    // ends when the second address falls silent
	started           time.Time
	engine            *policy.Engine
	journal           *journal.Journal
	recovery          *journal.Recovery // until it is taken up
	health            healthState
	messages          map[uint32]*message
	messagesByTrace   map[string]*message
	cancelled         []*message // withdrawn, may have run; by deadline, more or less
	finished          finishedMessages
	pending           int // messages that the module has not done with
	callsInFlight     int // calls
	lastMessageID     uint32
	timerAt           time.Time       // zero: none asked for
	deferredEvents    []policy.Event  // for the next step
	current           stepState       // of the step that runs
	journalFull       ratelog.Warning // the log takes no new work
	sendsUnrecorded   ratelog.Warning // nor the sends of calls
	unreadableEntries ratelog.Warning // entries of the list cannot be read

	stopping, sendingStopped, drainedClosed bool
}

// New returns a relay that has read what an earlier process left in the log.
// What is recorded into the log goes to out.
func New(cfg Config, log *slog.Logger, out io.Writer) (*Relay, error) {
	sender, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	started := time.Now().Add(-initialClock)
	r := &Relay{
		cfg: cfg, log: log, logOut: out, recorder: newRecording(cfg, log, out, started, sender, 0), agent: NewClient(cfg.DiscoveryAddr),
		events: make(chan event, eventQueueSize), loopDone: make(chan struct{}), drained: make(chan struct{}),
		started: started, engine: sender, activeCalls: map[*call]struct{}{}, endpointState: endpointState{catalogFull: ratelog.Warning{Message: "no room for all hosts"}},
		journalFull: ratelog.Warning{
			Message: "refusing new messages",
		}, sendsUnrecorded: ratelog.Warning{Message: "log not written"}, unreadableEntries: ratelog.Warning{Message: "unreadable entry of the list"},
		messages: map[uint32]*message{}, messagesByTrace: map[string]*message{}, latestConfig: cfg.Config, listVersion: cfg.Known.Version,
	}
	r.applyConfig(cfg.Config)
	r.loadKnownEndpoints()
	if cfg.KnownErr != nil {
		log.Warn("starting without a list of hosts", "err", cfg.KnownErr)
	}
	// Clients hold a third of the descriptors with their requests; more is for those that are slow to leave.
	r.clients = newClients(log, cfg.Limits.Sockets*9/20, r.request)
	r.hosts = newHosts(cfg, log, func(n int) { r.metrics.UpstreamRequests.Add(int64(n)) })
	r.finals = NewSender(log, r.agent, func(ids []uint32) { r.post(notificationsAcked{ids}) })
	r.joinFleet()
	r.sharedRecorder.Store(r.recorder)
	if cfg.InheritedFD != "" {
		r.before, err = hotrestart.Dial(r.handoverPath())
		if err == nil {
			return r, nil // the log is the other process's, until it hands over
		}
		log.Info("starting with the log", "why", err)
	}
	if err := r.openLog(); err != nil {
		return nil, err
	}
	return r, nil
}

// Run serves until ctx ends, and then ends in order: see shutdownTimeout.
func (r *Relay) Run(ctx context.Context) error {
	listener, err := listen(r.cfg.Listen, r.cfg.InheritedFD)
	if err != nil {
		return errors.Join(fmt.Errorf("relay: %w", err), r.closeLog())
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if r.adminCtx = work; r.cfg.AdminListen != "" {
		if err := r.serveAdmin(); err != nil {
			return errors.Join(err, listener.Close(), r.closeLog())
		}
	}
	callCtx, stopCalls := context.WithCancel(context.Background())
	defer stopCalls()
	r.callCtx = callCtx
	if r.before == nil {
		r.recoverState() // before clients are told that the relay is ready
	} else if err := r.takeOver(ctx); errors.Is(err, errEnded) {
		return listener.Close()
	} else if err != nil {
		return errors.Join(err, listener.Close(), r.closeLog())
	}
	r.offer(work)
	lead, stopLeading := context.WithCancel(work)
	var linked sync.WaitGroup
	if r.fleet != nil {
		linked.Go(func() { r.fleet.Run(lead) })
	}
	r.stopLeading = stopLeading
	defer stopLeading()
	recorded := make(chan struct{})
	recCtx, stopRecording := context.WithCancel(context.Background())
	go func() { defer close(recorded); r.recorder.run(recCtx) }()
	defer func() { stopRecording(); <-recorded }()
	go r.loop(work)
	go r.finals.Run(lead)
	go r.newWatcher().Run(lead)

	accepting := make(chan struct{})
	go func() { defer close(accepting); r.clients.run(listener) }()
	r.log.Info("serving", "name", r.cfg.Name, "listen", listener.Addr().String())
	<-ctx.Done()
	if r.handOver() {
		listener.Close() // connections wait for the other process from here on
		<-accepting      // one that was taken just before is served like the others
		r.leave()
	} else {
		r.shutdown(listener)
	}
	stopCalls()
	r.calls.Wait() // their outcomes reach the log
	stop()
	<-r.loopDone
	linked.Wait()
	r.hosts.close()
	if r.successor != nil {
		r.successor.Close()
	}
	return r.closeLog()
}

// newWatcher is what follows discovery's list for the loop.
func (r *Relay) newWatcher() *Watcher {
	return &Watcher{
		Log: r.log, Client: r.agent, IdleTimeout: WatchIdleTimeout, ListTimeout: ListTimeout, Version: r.listVersion, NeedsSnapshot: r.snapshotNeeded, HasList: r.endpointsKnown.Load(),
		OnUpdate: func(l List) { r.post(listEvent{l}) }, Parse: r.cfg.parseEndpoint,
		Parts:   PartSender{Post: func(p *SnapshotPart) bool { return r.post(partEvent{p}) }, Stopped: r.loopDone, LargeList: r.largeList.Load},
		Backoff: NewBackoff(r.cfg), Rand: rand.New(rand.NewPCG(r.cfg.Seed, 0x68657264)),
		unreadableLines: ratelog.Warning{Message: "unreadable line of the watch"}, oversizeLists: ratelog.Warning{Message: "list not taken"},
	}
}
