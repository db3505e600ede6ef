package rehearsal

import (
	"errors"
	"fmt"
	"net"
	"strings"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	linkIP          = "127.0.0.1" // IP address that the links listen on
	maxPortAttempts = 20          // in the search for a port that is free for TCP and UDP
)

// fleetMember is the configuration of a relay as a member of a fleet.
type fleetMember struct {
	listen    string            // address that it listens on for the other members
	adminAddr string            // address at which it reports its view of the other members
	join      map[string]string // address of each member by name; for another member, that of the link to it
}

// connectFleet assigns each relay of a fleet its addresses, and starts a link for each ordered pair of relays, into
// which faults can be injected.
func (r *runner) connectFleet() error {
	for i, relay := range r.relayOrder {
		// Each relay has its own IP address, so that no outgoing connection of another process on this machine takes
		// one of the relay's ports while the relay is down.
		ip := fmt.Sprintf("127.7.%d.1", i+1)
		listen, err := freePort(ip)
		if err != nil {
			return err
		}
		adminAddr, err := freePort(ip)
		if err != nil {
			return err
		}
		relay.fleet = &fleetMember{listen: listen, adminAddr: adminAddr, join: map[string]string{}}
	}
	r.links = map[string]*faultproxy.Link{}
	for i, from := range r.relayOrder {
		from.fleet.join[from.name] = from.fleet.listen
		for j, to := range r.relayOrder {
			if i == j {
				continue
			}
			seed := r.plan.Seed<<16 | uint64(i*len(r.relayOrder)+j)
			link, err := faultproxy.StartLink(linkIP, to.fleet.listen, seed)
			if err != nil {
				return err
			}
			r.links[scenario.LinkName(from.name, to.name)] = link
			from.fleet.join[to.name] = link.Addr()
		}
	}
	return nil
}

// freePort returns an address with a port that is free for TCP and UDP.
func freePort(ip string) (string, error) {
	var errs []error
	for range maxPortAttempts {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return "", fmt.Errorf("rehearsal: %w", err)
		}
		addr := listener.Addr().String()
		packets, err := net.ListenPacket("udp", addr)
		if err == nil {
			err = packets.Close()
		}
		if err = errors.Join(err, listener.Close()); err == nil {
			return addr, nil
		}
		errs = append(errs, err)
	}
	return "", fmt.Errorf("rehearsal: no port of %s is free for TCP and UDP: %w", ip, errors.Join(errs...))
}

// operatorText returns the sections of the operator's file that make a relay a member of the fleet.
func (m *fleetMember) operatorText(name string, fleet scenario.Fleet) string {
	var text strings.Builder
	fmt.Fprintf(&text, "[fleet]\nenabled = true\nrights = %v\nname = %q\n", fleet.Quotas, name)
	fmt.Fprintf(&text, "label = \"rehearsal\"\nlisten = %q\n[fleet.join]\n", m.listen)
	for other, addr := range m.join {
		fmt.Fprintf(&text, "%s = %q\n", other, addr)
	}
	return text.String()
}

// setLinkFaults executes a step that sets or removes the faults of a link.
func (r *runner) setLinkFaults(step scenario.Step) error {
	link := r.links[step.Target]
	if link == nil {
		return fmt.Errorf("rehearsal: step %s: no link %q", step.Op, step.Target)
	}
	var faults faultproxy.LinkFaults
	state := eventlog.LinkFaulty
	switch step.Op {
	case scenario.OpLinkCut:
		faults.Cut, state = true, eventlog.LinkCut
	case scenario.OpLinkLoss:
		faults.DropRatio = step.Value
	case scenario.OpLinkDelay:
		faults.Delay = step.Duration
	case scenario.OpLinkReorder:
		faults.DuplicateRatio, faults.ReorderRatio = step.Value, step.Value
	case scenario.OpLinkThrottle:
		faults.BytesPerSecond = int(step.Value)
	case scenario.OpLinkRestore:
		state = eventlog.LinkHealthy
	}
	from, to := scenario.LinkEnds(step.Target)
	r.record.Add(eventlog.Event{
		Kind:  eventlog.LinkChanged,
		Relay: from,
		Name:  to,
		State: state,
		Cause: string(step.Op),
	})
	return link.SetFaults(faults)
}
