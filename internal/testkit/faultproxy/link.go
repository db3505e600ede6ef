package faultproxy

import (
	"errors"
	"fmt"
	"net"
)

const (
	// maxPortAttempts bounds the search for a port that is free for both TCP and UDP.
	maxPortAttempts = 20
	// minStreamCutRatio is the least ratio of dropped datagrams at which a link passes no streams either.
	minStreamCutRatio = 0.5
)

// Link is a proxy for TCP and UDP to one target on one port: what one relay of a fleet reaches another through.
type Link struct {
	streams   *Proxy
	datagrams *DatagramProxy
}

// LinkFaults are the faults of a Link. The zero value is a healthy link.
type LinkFaults struct {
	// Cut makes nothing pass: connections come up and stay silent, as through a firewall that drops packets.
	Cut bool
	DatagramFaults
}

// StartLink listens on a free port of an IP address.
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
		errs = append(errs, err, streams.Close()) // another socket has the port for UDP
	}
	return nil, errors.Join(errs...)
}

// Addr returns the address that the link listens on.
func (l *Link) Addr() string { return l.streams.Addr() }

// SetFaults sets the faults from now on. Streams are delayed and throttled as datagrams are. Dropped datagrams cost
// them nothing, but at half and more nothing of them passes.
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

// streamRules returns the rules that do to streams what the faults do to datagrams.
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
