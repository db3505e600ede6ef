// Package hollow measures what the control plane of a relay costs in a large fleet, with many simulated members in one
// process. As in the hollow nodes of Kubemark, the code of a member is the real one (package fleet: membership, gossip,
// load reports, codec, agent and quota), stepped by a loop like that of a relay, and what surrounds it is simulated:
// sockets, clients, endpoints, the decision engine and the journal. So a measurement lacks what the operating system
// spends on sockets, the delay and loss of a network, and the pauses of a process that has other work.
//
// All waits use package time: in real time, or in a bubble of testing/synctest, which fits more members than the
// machine's processors could run.
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
	pollInterval = 50 * time.Millisecond // between two looks at all members
	joinTimeout  = 5 * time.Minute

	defaultLimit         = 50
	defaultMessageRate   = 1
	defaultChangeTimeout = 20 * time.Second
)

// Options describe a fleet and what is measured of it.
type Options struct {
	Members      int
	Destinations int     // that are listed
	Limit        float64 // calls per second to each destination; 0: defaultLimit
	// ActiveDestinations are those that each member sends to, the first ones of the list. Four fit one load report. 0:
	// there is no load.
	ActiveDestinations int
	MessageRate        float64 // per second of each member, over the active destinations; 0: defaultMessageRate
	ShareQuota         bool

	SettleTime    time.Duration // before the measurement, once all members are alive
	MeasureTime   time.Duration // of the rates
	Changes       int           // that are followed one after the other, each of another member, before the rates
	ChangeTimeout time.Duration // for following one change or fault; 0: defaultChangeTimeout
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
		return fmt.Errorf("hollow: %d members, %d destinations, %d of them active",
			o.Members, o.Destinations, o.ActiveDestinations)
	}
	return nil
}

// Fleet is simulated members of one process that hear each other.
type Fleet struct {
	options     Options
	network     *network
	members     []*simulatedMember
	folder      string
	stop        context.CancelFunc
	goroutines  sync.WaitGroup
	propagation atomic.Pointer[propagation] // nil: no change is followed
}

// Start starts a fleet and waits until all members are alive to each other. The caller closes it.
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
			return errors.New("hollow: not all become members")
		}
	}
	return nil
}

// Close stops all members.
func (f *Fleet) Close() error {
	f.stop()
	f.goroutines.Wait()
	if err := os.RemoveAll(f.folder); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	return nil
}

// destinationKinds is the one kind of destination, without batches.
func destinationKinds() []policy.DestinationKind { return []policy.DestinationKind{{MaxBatch: 1}} }

func memberName(index int) string { return fmt.Sprintf("r%04d", index) }

func endpointID(destination policy.DestinationID) string { return fmt.Sprintf("s-%06d", destination) }
