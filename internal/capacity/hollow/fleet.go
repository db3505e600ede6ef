// Package hollow measures the cost of a relay's control plane in a large fleet, with many simulated members in one
// process. As in the hollow nodes of Kubemark, each member runs the real code of package fleet (membership, gossip,
// load reports, codec, agent and quota), stepped by a loop like that of a relay. The surroundings of a member are
// simulated: sockets, clients, endpoints, the decision engine and the journal. The measurements therefore lack the
// operating system's work on sockets, the delay and loss of a real network, and the pauses of a process that also has
// other work.
//
// All waits use package time. A fleet runs in real time, or in virtual time within a bubble of testing/synctest.
// Virtual time allows for more members than the processors of the machine could run in real time.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	pollInterval = 50 * time.Millisecond // between two checks of all members
	joinTimeout  = 5 * time.Minute

	defaultLimit         = 50 // calls per second to each destination
	defaultMessageRate   = 1  // messages per second of each member
	defaultChangeTimeout = 20 * time.Second
)

// Options describe a simulated fleet and its measurements.
type Options struct {
	Members      int
	Destinations int     // in the endpoint list
	Limit        float64 // calls per second to each destination; 0: defaultLimit
	// ActiveDestinations is the number of destinations, from the start of the list, to which each member sends
	// messages. A load report has room for four of them. 0: the members send no messages.
	ActiveDestinations int
	MessageRate        float64 // per second and member, over all active destinations; 0: defaultMessageRate
	ShareQuota         bool

	SettleTime    time.Duration // wait between the join of all members and the measurement
	MeasureTime   time.Duration // over which rates are measured, after the changes
	Changes       int           // measured one after the other, each made by a different member
	ChangeTimeout time.Duration // limit for the propagation of one change or fault; 0: defaultChangeTimeout
}

func (o *Options) setDefaults() {
	if o.Limit <= 0 {
		o.Limit = defaultLimit
	}
	if o.MessageRate <= 0 {
		o.MessageRate = defaultMessageRate
	}
	if o.ChangeTimeout <= 0 {
		o.ChangeTimeout = defaultChangeTimeout
	}
}

func (o *Options) validate() error {
	if o.Members < 2 || o.Destinations < o.ActiveDestinations {
		return fmt.Errorf("hollow: %d members, want at least 2; %d destinations, want at least the %d active ones",
			o.Members, o.Destinations, o.ActiveDestinations)
	}
	return nil
}

// Fleet is a fleet of simulated members in one process, connected by a simulated network.
type Fleet struct {
	options     Options
	network     *network
	members     []*simulatedMember
	folder      string
	stop        context.CancelFunc
	goroutines  sync.WaitGroup
	propagation atomic.Pointer[propagation] // of the change being measured; nil: none
}

// Start starts a fleet and waits until all members are alive to each other. The caller must close the fleet.
func Start(options Options) (*Fleet, error) {
	options.setDefaults()
	if err := options.validate(); err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &Fleet{options: options, network: newNetwork(options.Members), folder: folder, stop: stop}
	for i := range options.Members {
		if err := f.startMember(ctx, i); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	if err := f.awaitJoin(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	return f, nil
}

func (f *Fleet) startMember(ctx context.Context, index int) error {
	folder := filepath.Join(f.folder, memberName(index))
	if err := os.Mkdir(folder, 0o700); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	began := time.Now()
	ownContext, stop := context.WithCancel(ctx)
	m := &simulatedMember{
		fleet:         f,
		index:         index,
		stepRequested: make(chan struct{}, 1),
		changes:       make(chan time.Duration, 1),
		clock:         func() time.Duration { return time.Since(began) + time.Second },
		stop:          stop,
	}
	m.member = fleet.New(fleet.Config{
		Name:             memberName(index),
		Listen:           f.network.transports[index].addr,
		Peers:            f.network.addresses,
		Folder:           folder,
		DestinationKinds: destinationKinds(),
		ShareQuota:       f.options.ShareQuota,
		FleetSize:        f.options.Members,
		Clock:            m.clock,
		Log:              slog.New(slog.DiscardHandler),
		RequestStep:      m.requestStep,
		Transport:        f.network.transports[index],
	})
	f.members = append(f.members, m)
	f.goroutines.Go(func() { m.member.Run(ownContext) })
	f.goroutines.Go(func() { m.loop(ownContext) })
	return nil
}

func (f *Fleet) awaitJoin() error {
	misses := func(m *simulatedMember) bool { return m.member.AliveCount() < f.options.Members }
	for deadline := time.Now().Add(joinTimeout); slices.ContainsFunc(f.members, misses); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return fmt.Errorf("hollow: not all %d members joined within %v", f.options.Members, joinTimeout)
		}
	}
	return nil
}

// Close stops all members and removes their data directories.
func (f *Fleet) Close() error {
	f.stop()
	f.goroutines.Wait()
	if err := os.RemoveAll(f.folder); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	return nil
}

// destinationKinds returns the only kind of destination of the simulation. It does not batch messages.
func destinationKinds() []policy.DestinationKind { return []policy.DestinationKind{{MaxBatch: 1}} }

func memberName(index int) string { return fmt.Sprintf("r%04d", index) }

func endpointID(destination policy.DestinationID) string { return fmt.Sprintf("s-%06d", destination) }
