package rehearsal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	beliefsEvery = 500 * time.Millisecond
	beliefWithin = 250 * time.Millisecond // a relay that says nothing by then, as one that is stopped, is passed over
	beliefMost   = 1 << 20                // bytes
	olderName    = "state.older"
)

// fleetMember is what a relay of a fleet has beside the others.
type fleetMember struct {
	listen string            // of its link
	second string            // where it tells what it believes
	join   map[string]string // the others' addresses, each through a link of its own
}

// wireFleet gives each relay of a fleet its addresses, and each ordered pair a link that faults can strike.
func (s *stage) wireFleet() error {
	if !s.plan.File.Fleet.Enabled {
		return nil
	}
	for i, r := range s.order {
		// Addresses of its own: nobody who connects from elsewhere on this machine takes its ports while it is down.
		ip := fmt.Sprintf("127.7.%d.1", i+1)
		listen, err := freePort(ip)
		if err != nil {
			return err
		}
		second, err := freePort(ip)
		if err != nil {
			return err
		}
		r.fleet = &fleetMember{listen: listen, second: second, join: map[string]string{}}
	}
	s.links = map[string]*faultproxy.Link{}
	for i, from := range s.order {
		for j, to := range s.order {
			if i == j {
				continue
			}
			l, err := faultproxy.StartLink("127.0.0.1", to.fleet.listen, s.plan.Seed<<16|uint64(i*len(s.order)+j))
			if err != nil {
				return err
			}
			s.links[scenario.LinkName(from.name, to.name)] = l
			from.fleet.join[to.name] = l.Addr()
		}
		from.fleet.join[from.name] = from.fleet.listen
	}
	return nil
}

// freePort finds one that is free for TCP and UDP.
func freePort(ip string) (string, error) {
	var errs []error
	for range 20 {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			return "", fmt.Errorf("rehearsal: %w", err)
		}
		u, err := net.ListenPacket("udp", l.Addr().String())
		l.Close()
		if err == nil {
			return l.Addr().String(), u.Close()
		}
		errs = append(errs, err)
	}
	return "", fmt.Errorf("rehearsal: no port: %w", errors.Join(errs...))
}

// text is the member's part of the operator's file.
func (m *fleetMember) text(name string, set scenario.Fleet) string {
	var b strings.Builder
	fmt.Fprintf(
		&b,
		"[fleet]\nenabled = true\nrights = %v\nname = %q\nlabel = \"rehearsal\"\nlisten = %q\n[fleet.join]\n",
		set.Quotas,
		name,
		m.listen,
	)
	for other, addr := range m.join {
		fmt.Fprintf(&b, "%s = %q\n", other, addr)
	}
	return b.String()
}

// setLink carries a step of the plan out that is about a link.
func (s *stage) setLink(step scenario.Step) error {
	l := s.links[step.Target]
	if l == nil {
		return fmt.Errorf("rehearsal: no link %s", step.Target)
	}
	var f faultproxy.LinkFaults
	state := eventlog.LinkFaulty
	switch step.Op {
	case scenario.OpLinkCut:
		f.Cut, state = true, eventlog.LinkCut
	case scenario.OpLinkLoss:
		f.DropRatio = step.Value
	case scenario.OpLinkDelay:
		f.Delay = step.Duration
	case scenario.OpLinkReorder:
		f.DuplicateRatio, f.ReorderRatio = step.Value, step.Value
	case scenario.OpLinkThrottle:
		f.BytesPerSecond = int(step.Value)
	case scenario.OpLinkRestore:
		state = eventlog.LinkHealthy
	}
	from, to := scenario.LinkEnds(step.Target)
	s.rec.Add(eventlog.Event{Kind: eventlog.LinkChanged, Relay: from, Name: to, State: state, Cause: string(step.Op)})
	return l.SetFaults(f)
}

// freeze stops a relay's process, or lets it go on.
func (r *relay) freeze(on bool) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	sig, state := syscall.SIGSTOP, eventlog.StateStop
	if !on {
		sig, state = syscall.SIGCONT, eventlog.StateCont
	}
	r.rec.Add(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: state})
	if err := r.cmd.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("rehearsal: %v to %s: %w", sig, r.name, err)
	}
	return nil
}

// keepOlder keeps a copy of the folder as it is now.
func (r *relay) keepOlder() error {
	return r.copyState(filepath.Join(r.dir, "state"), filepath.Join(r.dir, olderName))
}

// putFolder has the next process find another folder than the last one left: none, or an older one.
func (r *relay) putFolder(which scenario.StateFolder) error {
	state := filepath.Join(r.dir, "state")
	switch which {
	case scenario.StateFolderRemoved:
		return errors.Join(os.RemoveAll(state), os.MkdirAll(state, 0o700))
	case scenario.StateFolderOlder:
		return errors.Join(os.RemoveAll(state), r.copyState(filepath.Join(r.dir, olderName), state))
	}
	return nil
}

func (r *relay) copyState(from, to string) error {
	entries, err := os.ReadDir(from)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	if err := os.MkdirAll(to, 0o700); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	for _, e := range entries {
		if !e.Type().IsRegular() {
			continue
		}
		data, err := os.ReadFile(filepath.Join(from, e.Name()))
		if err == nil {
			err = os.WriteFile(filepath.Join(to, e.Name()), data, 0o600)
		}
		if err != nil {
			return fmt.Errorf("rehearsal: %w", err)
		}
	}
	return nil
}

// watchBeliefs records what each relay says that it holds of the others, until ctx ends.
func (s *stage) watchBeliefs(ctx context.Context, r *relay) {
	client := http.Client{Timeout: beliefWithin, Transport: &http.Transport{DisableKeepAlives: true}}
	for sleepUntil(ctx, time.Now().Add(beliefsEvery)) {
		st, took, err := askBelief(ctx, &client, r.fleet.second)
		if err != nil || st.Status == nil {
			continue // it is down, or stopped, or its port is not its own yet
		}
		for _, m := range st.Members {
			s.rec.Add(eventlog.Event{
				Kind: eventlog.PeerView, Relay: r.name, Name: m.Name, State: m.State, Duration: m.Age, Delay: took, Status: int(m.Incarnation.Generation),
			})
		}
	}
}

// askBelief asks a relay; took bounds how old its answer is.
func askBelief(ctx context.Context, client *http.Client, addr string) (st fleet.Status, took time.Duration, err error) {
	began := time.Now()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/fleet", nil)
	if err != nil {
		return st, 0, err
	}
	res, err := client.Do(req)
	if err != nil {
		return st, 0, err
	}
	defer res.Body.Close()
	err = json.NewDecoder(io.LimitReader(res.Body, beliefMost)).Decode(&st)
	return st, time.Since(began), err
}
