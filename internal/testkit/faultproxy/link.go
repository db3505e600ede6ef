package faultproxy

import (
	"errors"
	"fmt"
	"net"
)

// Link leads both TCP and UDP to one target, through one port: what one relay of a fleet reaches another by.
type Link struct {
	streams   *Proxy
	datagrams *Datagrams
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
		d, err := StartDatagrams(p.Addr(), target, seed)
		if err == nil {
			return &Link{p, d}, nil
		}
		errs = append(errs, err, p.Close()) // the port is another's for UDP
	}
	return nil, errors.Join(errs...)
}

// Addr is where it listens.
func (l *Link) Addr() string { return l.streams.Addr() }

// Set has faults strike from now on. Streams bear delays and rates as datagrams do; a share that is dropped costs them
// nothing but, at half and more, everything.
func (l *Link) Set(f LinkFaults) error {
	if f.Cut {
		f.DatagramFaults = DatagramFaults{Drop: 1}
	}
	var rules []Rule
	for _, dir := range []Direction{Up, Down} {
		switch {
		case f.Cut || f.Drop >= 0.5:
			rules = append(rules, Rule{Dir: dir, Do: Stall})
			continue
		case f.Delay > 0:
			rules = append(rules, Rule{Dir: dir, Do: Delay, For: f.Delay})
		}
		if f.Rate > 0 {
			rules = append(rules, Rule{Dir: dir, Do: Trickle, Rate: f.Rate})
		}
	}
	l.streams.Clear()
	for _, r := range rules {
		if _, err := l.streams.Add(r); err != nil {
			return fmt.Errorf("sockfault: link: %w", err)
		}
	}
	return l.datagrams.Set(Up, f.DatagramFaults)
}

// Datagrams are the link's, for what has passed.
func (l *Link) Datagrams() *Datagrams { return l.datagrams }

// Close ends it.
func (l *Link) Close() error { return errors.Join(l.streams.Close(), l.datagrams.Close()) }
