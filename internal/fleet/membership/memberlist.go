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
	// Every probeInterval the node probes one other member, which must answer within probeTimeout.
	probeInterval = time.Second
	probeTimeout  = 400 * time.Millisecond

	// streamTimeout bounds each operation on a stream, so that a hanging peer does not block it forever.
	streamTimeout = 2 * time.Second

	// nameReclaimTimeout is how long after a member's death the others accept another address for its name.
	nameReclaimTimeout = 10 * time.Second
)

// createMemberlist opens the transport and creates the memberlist instance. If it fails, no socket stays open.
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
	n.transport = &transport{
		NodeAwareTransport: inner,
		addresses:          n.cfg.Peers,
		inbound:            newInbound(inner, cmp.Or(n.cfg.MaxStreamBytes, defaultMaxStreamBytes)),
	}
	config.Transport = n.transport
	list, err := memberlist.Create(config)
	if err != nil {
		return errors.Join(fmt.Errorf("membership: %w", err), n.transport.Shutdown())
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
	config.PushPullInterval = cmp.Or(n.cfg.syncInterval, gossip.SyncInterval)
	config.EnableCompression = false
	config.HandoffQueueDepth = datagramQueueSize
	config.DeadNodeReclaimTime = nameReclaimTimeout
	// The delegate's protocol version must stay 0, because memberlist excludes members with a newer version entirely.
	// With the codec's versions, only single messages are rejected.
	config.Delegate = (*delegate)(n)
	config.Conflict = (*delegate)(n)
	config.Alive = (*delegate)(n)
	return config
}

// listen opens the sockets and sets their address in the configuration. The advertised address is set explicitly, so
// that memberlist does not choose one itself.
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
