package faultproxy

import (
	"errors"
	"fmt"
	"net"
)

const (
	// maxPortAttempts bounds the attempts to find a port that is free for both TCP and UDP.
	maxPortAttempts = 20
	// minStreamCutRatio is the least DropRatio at which a link stalls streams, too.
	minStreamCutRatio = 0.5
)

// Link is a proxy for TCP and UDP that listens on one port and has one target. It stands for the network link from one
// relay of a fleet to another.
type Link struct {
	streams   *Proxy
	datagrams *DatagramProxy
}

// LinkFaults are the faults of a Link. The zero value is a healthy link.
type LinkFaults struct {
	// Cut lets nothing pass: connections are accepted but stay silent, as through a firewall that drops packets.
	Cut bool
	DatagramFaults
}

// StartLink starts a link that listens on a free port of an IP address. The seed determines the random faults.
func StartLink(ip, target string, seed uint64) (*Link, error) {
	var errs []error
	for range maxPortAttempts {
		streams, err := Start(net.JoinHostPort(ip, "0"), target, seed)
		if err != nil {
			return nil, err
		}
		datagrams, err := StartDatagramProxy(streams.Addr(), target, seed)
		if err == nil {
			return &Link{streams: streams, datagrams: datagrams}, nil
		}
		errs = append(errs, err, streams.Close()) // another socket uses the port for UDP
	}
	return nil, errors.Join(errs...)
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.streams.Addr() }

// SetFaults replaces the faults. They apply to both directions of streams, but only to datagrams on their way to the
// target. Delay and BytesPerSecond affect streams as they affect datagrams. A DropRatio of minStreamCutRatio or more
// stalls streams, and a lower one does not affect them. Open streams keep the effects of earlier faults.
func (l *Link) SetFaults(faults LinkFaults) error {
	if faults.Cut {
		faults.DatagramFaults = DatagramFaults{DropRatio: 1}
	}
	l.streams.ClearRules()
	for _, rule := range faults.streamRules() {
		if _, err := l.streams.AddRule(rule); err != nil {
			return fmt.Errorf("sockfault: link: %w", err)
		}
	}
	return l.datagrams.SetFaults(Upstream, faults.DatagramFaults)
}

// streamRules returns the rules that apply the faults to streams.
func (f LinkFaults) streamRules() []Rule {
	var rules []Rule
	for _, direction := range []Direction{Upstream, Downstream} {
		if f.DropRatio >= minStreamCutRatio {
			rules = append(rules, Rule{Direction: direction, Fault: Stall})
			continue
		}
		if f.Delay > 0 {
			rules = append(rules, Rule{Direction: direction, Fault: Delay, Duration: f.Delay})
		}
		if f.BytesPerSecond > 0 {
			rules = append(rules, Rule{Direction: direction, Fault: Throttle, BytesPerSecond: f.BytesPerSecond})
		}
	}
	return rules
}

// Close closes both proxies.
func (l *Link) Close() error { return errors.Join(l.streams.Close(), l.datagrams.Close()) }
