package faultproxy

import (
	"errors"
	"fmt"
	"net"
)

// Link leads both TCP and UDP to one target, through one port: what one relay of a fleet reaches another by.
type Link struct {
	streams   *Proxy
	datagrams *DatagramProxy
}

// LinkFaults is what happens on a Link. The zero value is a sound one.
type LinkFaults struct {
	// Cut has nothing pass: connections come up and stay silent, as through a firewall that drops.
	Cut bool
	DatagramFaults
}

// portTries bounds the search for a port that is free for both.
const portTries = 20

// StartLink listens on a free port of an IP address.
func StartLink(ip, target string, seed uint64) (*Link, error) {
	var errs []error
	for range portTries {
		p, err := Start(net.JoinHostPort(ip, "0"), target, seed)
		if err != nil {
			return nil, err
		}
		d, err := StartDatagramProxy(p.Addr(), target, seed)
		if err == nil {
			return &Link{p, d}, nil
		}
		errs = append(errs, err, p.Close()) // the port is another's for UDP
	}
	return nil, errors.Join(errs...)
}

// Addr is where it listens.
func (l *Link) Addr() string { return l.streams.Addr() }

// SetFaults has faults strike from now on. Streams bear delays and rates as datagrams do; a share that is dropped costs them
// nothing but, at half and more, everything.
func (l *Link) SetFaults(f LinkFaults) error {
	if f.Cut {
		f.DatagramFaults = DatagramFaults{DropRatio: 1}
	}
	var rules []Rule
	for _, dir := range []Direction{Upstream, Downstream} {
		switch {
		case f.Cut || f.DropRatio >= 0.5:
			rules = append(rules, Rule{Direction: dir, Fault: Stall})
			continue
		case f.Delay > 0:
			rules = append(rules, Rule{Direction: dir, Fault: Delay, Duration: f.Delay})
		}
		if f.BytesPerSecond > 0 {
			rules = append(rules, Rule{Direction: dir, Fault: Throttle, BytesPerSecond: f.BytesPerSecond})
		}
	}
	l.streams.ClearRules()
	for _, r := range rules {
		if _, err := l.streams.AddRule(r); err != nil {
			return fmt.Errorf("sockfault: link: %w", err)
		}
	}
	return l.datagrams.SetFaults(Upstream, f.DatagramFaults)
}

// DatagramProxy are the link's, for what has passed.
func (l *Link) DatagramProxy() *DatagramProxy { return l.datagrams }

// Close ends it.
func (l *Link) Close() error { return errors.Join(l.streams.Close(), l.datagrams.Close()) }
