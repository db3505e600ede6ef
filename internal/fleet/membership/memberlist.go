package membership

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
)

const (
	// A member is probed every probeInterval and must answer within probeTimeout.
	probeInterval = time.Second
	probeTimeout  = 400 * time.Millisecond

	// streamTimeout bounds a stream, so that a peer that hangs does not hold it.
	streamTimeout = 2 * time.Second

	// nameReclaimTimeout is the time after which the others accept another address for the name of a dead member.
	nameReclaimTimeout = 10 * time.Second
)

// createMemberlist listens and joins memberlist. Nothing listens if it fails.
func (n *Node) createMemberlist() error {
	config := n.memberlistConfig()
	inner := n.cfg.Transport
	if inner == nil {
		sockets, err := listen(config, n.cfg.Listen)
		if err != nil {
			return err
		}
		inner = sockets
	}
	n.transport = &transport{NodeAwareTransport: inner, addresses: n.cfg.Peers}
	config.Transport = n.transport
	list, err := memberlist.Create(config)
	if err != nil {
		return errors.Join(fmt.Errorf("membership: %w", err), inner.Shutdown())
	}
	n.memberlist = list
	return nil
}

func (n *Node) memberlistConfig() *memberlist.Config {
	config := memberlist.DefaultLANConfig()
	config.Name = n.cfg.Name
	config.Label = n.cfg.Fleet
	config.Logger = slog.NewLogLogger(n.cfg.Log.Handler(), slog.LevelDebug)
	config.UDPBufferSize = gossip.MaxDatagramSize
	config.GossipInterval = gossip.Interval
	config.GossipNodes = gossip.FanOut(len(n.cfg.Peers))
	config.ProbeInterval = probeInterval
	config.ProbeTimeout = probeTimeout
	config.TCPTimeout = streamTimeout
	config.PushPullInterval = cmp.Or(n.cfg.syncEvery, gossip.SyncInterval)
	config.EnableCompression = false
	config.DeadNodeReclaimTime = nameReclaimTimeout
	// The delegate's protocol version stays 0 for good: memberlist keeps out members with a newer one altogether. The
	// codec's versions are finer.
	config.Delegate = (*delegate)(n)
	config.Conflict = (*delegate)(n)
	config.Alive = (*delegate)(n)
	return config
}

// listen opens the sockets and sets their address in the configuration. It is set explicitly, so that memberlist does
// not look for one.
func listen(config *memberlist.Config, address string) (*memberlist.NetTransport, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("membership: listen: %w", err)
	}
	sockets, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{
		BindAddrs: []string{parsed.Addr().String()},
		BindPort:  int(parsed.Port()),
		Logger:    config.Logger,
	})
	if err != nil {
		return nil, fmt.Errorf("membership: listen on %s: %w", address, err)
	}
	config.BindAddr = parsed.Addr().String()
	config.BindPort = sockets.GetAutoBindPort()
	config.AdvertiseAddr = config.BindAddr
	config.AdvertisePort = config.BindPort
	return sockets, nil
}
