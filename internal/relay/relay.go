// Package relay is the daemon: it accepts messages from clients, calls endpoints, follows the endpoint list of service
// discovery, and keeps a journal of all messages that are not finished. It connects these with package policy, which
// takes every decision.
//
// One goroutine, the loop, owns the policy's engine, the journal and all state of messages. Whatever happens on other
// goroutines reaches the loop as an event. A request is therefore never sent on a decision that is older than the
// events which the loop has handled.
package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"

	"cherrytrestle.example/cherrytrestle/internal/config/reload"
	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/internal/memory"
	"cherrytrestle.example/cherrytrestle/internal/metrics"
	"cherrytrestle.example/cherrytrestle/internal/relay/discovery"
	"cherrytrestle.example/cherrytrestle/internal/relay/egress"
	"cherrytrestle.example/cherrytrestle/internal/relay/hotrestart"
	"cherrytrestle.example/cherrytrestle/internal/relay/ingress"
	"cherrytrestle.example/cherrytrestle/internal/relay/notify"
	"cherrytrestle.example/cherrytrestle/policy"
)

// Relay is one relay process. The comments of the embedded state types name the goroutine that owns each of them. All
// other fields are either set before Run starts goroutines or safe for concurrent use.
type Relay struct {
	cfg    Config
	log    *slog.Logger
	logOut io.Writer // receives recordings if no folder is set for them

	ingress  *ingress.Server   // serves clients
	egress   *egress.Client    // calls endpoints
	agent    *discovery.Client // sends requests to service discovery's agent
	notifier *notify.Sender    // sends final notifications
	fleet    *fleet.Member     // nil: this relay is not part of a fleet
	metrics  metrics.Registry
	budget   *memory.Budget // bounds the memory that peers can make this process hold

	memoryShare memoryShare

	events   chan event
	loopDone chan struct{}  // closed when the loop has ended
	drained  chan struct{}  // closed when the relay is stopping and has no message or call left to wait for
	calls    sync.WaitGroup // calls in flight

	sharedState
	reloadState
	hotRestartState
	loopState
}

// sharedState may be read by any goroutine.
type sharedState struct {
	clientConfig     atomic.Pointer[reload.Config] // the configuration for parsing clients' requests
	sharedRecorder   atomic.Pointer[recording]     // the loop's recorder
	endpointsKnown   atomic.Bool                   // a list with an endpoint was applied: the relay can be ready
	largeList        atomic.Bool                   // the list is, or was, too long for the policy to hold all of it
	terminating      atomic.Bool                   // SIGTERM was received, or the successor has taken over
	awaitingHandOver atomic.Bool                   // the predecessor has agreed to hand over, and has not done so yet
}

// New returns a relay that is ready to run. It reads what an earlier process left in the journal, unless there is a
// predecessor that can hand over and still owns the journal. Recordings that go to the log are written to out.
func New(cfg Config, log *slog.Logger, out io.Writer) (*Relay, error) {
	engine, err := policy.New(cfg.Settings, cfg.Seed)
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	r := &Relay{
		cfg:         cfg,
		log:         log,
		logOut:      out,
		agent:       discovery.NewClient(cfg.DiscoveryAddr),
		budget:      memory.NewBudget(cfg.Limits.memoryBytes()),
		events:      make(chan event, eventQueueSize),
		loopDone:    make(chan struct{}),
		drained:     make(chan struct{}),
		reloadState: reloadState{latestConfig: cfg.Config},
		loopState:   newLoopState(engine),
	}
	r.listVersion = cfg.Known.Version
	r.recorder = newRecording(cfg, log, out, r.started, engine, 0)
	r.applyConfig(cfg.Config)
	r.loadKnownEndpoints()
	if cfg.KnownErr != nil {
		log.Warn("starting without an endpoint list", "err", cfg.KnownErr)
	}
	r.ingress = ingress.New(r.ingressConfig())
	r.egress = egress.New(r.egressConfig())
	r.notifier = notify.NewSender(log, r.agent, r.notificationsConfirmed, r.notificationRetried)
	r.joinFleet()
	r.sharedRecorder.Store(r.recorder)
	r.setPredecessorAlive(false)
	if cfg.InheritedFD != "" {
		r.predecessor, err = hotrestart.Dial(r.handOverPath())
		if err == nil {
			r.setPredecessorAlive(true)
			return r, nil // the predecessor owns the journal until it hands over
		}
		log.Info("starting from the journal", "err", err)
	}
	if err := r.openJournal(); err != nil {
		return nil, err
	}
	return r, nil
}

// Run serves clients until ctx ends. Then it hands over to a successor, if one is ready, or else shuts down gracefully:
// see shutdown.
func (r *Relay) Run(ctx context.Context) error {
	listener, err := listen(r.cfg.Listen, r.cfg.InheritedFD)
	if err != nil {
		return errors.Join(fmt.Errorf("relay: %w", err), r.closeJournal())
	}
	work, stop := context.WithCancel(context.Background())
	defer stop()
	if r.cfg.AdminListen != "" {
		if err := r.serveAdmin(work); err != nil {
			return errors.Join(err, listener.Close(), r.closeJournal())
		}
	}
	callCtx, stopCalls := context.WithCancel(context.Background())
	defer stopCalls()
	r.callCtx = callCtx
	err = r.restore(ctx) // before clients can see that the relay is ready
	if errors.Is(err, errTerminated) {
		return listener.Close()
	}
	if err != nil {
		return errors.Join(err, listener.Close(), r.closeJournal())
	}
	r.listenForSuccessor(work)
	ownerCtx, stopOwnerTasks := context.WithCancel(work)
	defer stopOwnerTasks()
	r.stopOwnerTasks = stopOwnerTasks
	var background sync.WaitGroup
	r.startBackground(ownerCtx, &background)
	stopRecorder := r.startRecorder()
	defer stopRecorder()
	go r.loop(work)

	r.serveUntil(ctx, listener)
	stopCalls()
	r.calls.Wait() // the loop records the outcomes of these calls in the journal
	stop()
	<-r.loopDone
	background.Wait()
	r.egress.Close()
	if r.successor != nil {
		_ = r.successor.Close() // nothing more is sent to the successor
	}
	return r.closeJournal()
}

// restore takes over from the predecessor, or recovers the state from the journal if there is no predecessor.
func (r *Relay) restore(ctx context.Context) error {
	if r.predecessor == nil {
		r.recoverState()
		return nil
	}
	return r.takeOver(ctx)
}

// startBackground starts the tasks that only the process that owns the journal may run, until ctx ends: the fleet's
// member, the sending of final notifications, and the watcher of the endpoint list.
func (r *Relay) startBackground(ctx context.Context, background *sync.WaitGroup) {
	if r.fleet != nil {
		background.Go(func() { r.fleet.Run(ctx) })
	}
	watcher := discovery.NewWatcher(r.discoveryConfig())
	background.Go(func() { r.notifier.Run(ctx) })
	background.Go(func() { watcher.Run(ctx) })
}

// startRecorder starts a goroutine that writes the recording continuously, if the operator's file enables that. stop
// ends the goroutine and waits until it has ended.
func (r *Relay) startRecorder() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.recorder.run(ctx)
	}()
	return func() {
		cancel()
		<-done
	}
}

// serveUntil serves clients until ctx ends. Then it hands over to the successor, which serves new connections from then
// on, or shuts down if there is none.
func (r *Relay) serveUntil(ctx context.Context, listener net.Listener) {
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		r.ingress.Serve(listener)
	}()
	r.log.Info("accepting client connections", "name", r.cfg.Name, "listen", listener.Addr().String())
	<-ctx.Done()
	if !r.handOverToSuccessor() {
		r.shutdown(listener)
		return
	}
	_ = listener.Close() // new connections wait for the successor from here on
	<-accepting          // a connection that was accepted just before is still served
	r.finishAfterHandOver()
}

// discoveryConfig returns the configuration of a watcher that posts the endpoint list and its changes to the loop.
func (r *Relay) discoveryConfig() discovery.Config {
	return discovery.Config{
		Log:           r.log,
		Client:        r.agent,
		Parser:        r.cfg.parser(),
		Backoff:       discovery.NewBackoff(r.cfg.Settings, r.cfg.DrainGrace),
		Rand:          rand.New(rand.NewPCG(r.cfg.Seed, watcherStream)),
		IdleTimeout:   discovery.WatchIdleTimeout,
		ListTimeout:   discovery.ListTimeout,
		HasList:       r.endpointsKnown.Load(),
		Version:       r.listVersion,
		NeedsSnapshot: r.snapshotNeeded,
		OnUpdate:      func(l discovery.List) { r.post(listEvent{l}) },
		OnPart:        func(p *discovery.SnapshotPart) bool { return r.post(partEvent{p}) },
		Stopped:       r.loopDone,
		LargeList:     r.largeList.Load,
	}
}

// watcherStream is the stream of the watcher's random numbers. It keeps them independent of the other random numbers
// that are drawn with the same seed.
const watcherStream = 0x68657264
