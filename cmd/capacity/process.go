package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// What is measured on a relay process with stand-ins for all that it talks to.

const (
	// The relay's memory limit, which its collector goes by: the one that it takes where none is told, and one for a
	// backlog in memory.
	usualMB, backlogMB = 192, 4096

	readyMost = 15 * time.Second // more than a restart may take
	settle    = time.Second

	tellsApart = 0.5 // cores at rest
)

// errNeverReady tells of a relay that had not said that it is ready by readyMost.
var errNeverReady = errors.New("not ready")

// process is a relay with the agent of discovery beside it.
type process struct {
	cmd    *exec.Cmd
	addr   string
	folder string
	agent  *fake.DiscoveryAgent
	took   time.Duration // until ready
}

// start starts a relay whose discovery has a list. known has it handed over at the start, too. prepare may write into
// its folder first. A relay that is not ready in time is ended, and errNeverReady comes back.
func (b *bench) start(
	ctx context.Context,
	list []fake.ListedEndpoint,
	known bool,
	memoryMB int,
	prepare func(folder string) error,
) (*process, error) {
	folder, err := os.MkdirTemp(b.folder, "relay")
	if err != nil {
		return nil, err
	}
	state := relayprocess.StateFolder(folder)
	if err := os.Mkdir(state, 0o700); err != nil {
		return nil, err
	}
	if prepare != nil {
		if err := prepare(state); err != nil {
			return nil, err
		}
	}
	rec, err := eventlog.NewWriter(io.Discard, time.Now(), eventlog.Header{})
	if err != nil {
		return nil, err
	}
	agent, err := fake.NewDiscoveryAgent("n0", rec, fake.NewWorld(scenario.Plan{}, rec), list)
	if err != nil {
		return nil, err
	}
	p := &process{folder: folder, agent: agent}
	if p.addr, err = freeAddr(); err != nil {
		return nil, errors.Join(err, p.end())
	}
	config := map[string]any{
		"name": "n0", "seed": "8c1f30d27a5be964", "settings": relaySettings(), "limits": map[string]any{"cores": 1, "memory_mb": memoryMB, "sockets": 4096, "disk_mb": 8192},
	}
	if known {
		config["known"] = agent.NotifiedList()
	}
	data, err := json.Marshal(config)
	if err == nil {
		err = os.WriteFile(relayprocess.ConfigFile(folder), data, 0o600)
	}
	if err != nil {
		return nil, errors.Join(err, p.end())
	}
	log, err := os.Create(filepath.Join(folder, "log"))
	if err != nil {
		return nil, errors.Join(err, p.end())
	}
	defer log.Close()
	p.cmd = relayprocess.Command(ctx, relayprocess.Settings{
		Program:   b.relay,
		Folder:    folder,
		Addr:      p.addr,
		Discovery: agent.Addr(),
	})
	p.cmd.Stdout = log
	p.cmd.Stderr = log
	began := time.Now()
	if err := p.cmd.Start(); err != nil {
		return nil, errors.Join(err, p.end())
	}
	agent.SetRelayRunning(true)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for {
		if relayprocess.Ready(client, p.addr) {
			p.took = time.Since(began)
			return p, nil
		}
		if time.Since(began) > readyMost || ctx.Err() != nil {
			return nil, errors.Join(errNeverReady, ctx.Err(), p.end())
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// end kills the relay and takes all down that was beside it.
func (p *process) end() error {
	if p.cmd != nil && p.cmd.Process != nil {
		p.cmd.Process.Kill()
		p.cmd.Wait()
	}
	return errors.Join(p.agent.Close(), os.RemoveAll(p.folder))
}

func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

func relaySettings() map[string]any {
	return map[string]any{
		"bounds": map[string]any{
			"cancel": true, "connect_timeout_ms": 1000, "keepalive_ms": 15000, "max_retry_after_ms": 3000, "may_duplicate": true,
			"open_cap": 5_000_000, "retry_after": true, "send_cap": 8,
		},
		"extra":      map[string]any{"call_slots": 0, "per_call": []int{1}, "separate_routes": []bool{false}},
		"fleet_size": 1, "kinds": []string{"platform"}, "tick_ms": 5, "zones": []string{"a", "b"},
		"rules": map[string]any{"cold_from": 0.2, "fall_ms": 3000, "overload_factor": 2, "warm_within_ms": 30000},
		"services": []map[string]any{{
			"name": "order", "semantics": "idempotency_key", "group": "zone", "goal_time_ms": 3000, "give_up_ms": 360_000_000,
			"repeat_window_ms": 10000, "value": 1,
		}},
		"realms": []map[string]any{{"name": "acme", "share": 1}}, "stats": map[string]any{"how": "none"},
	}
}

// highest is the most memory that the relay has had, bytes resident.
func (p *process) highest() (float64, error) {
	return relayprocess.Memory(p.cmd.Process.Pid, relayprocess.PeakMemory)
}

// spent is the processor time that the relay's threads have used.
func (p *process) spent() (time.Duration, error) {
	tasks, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", p.cmd.Process.Pid))
	if err != nil || len(tasks) == 0 {
		return 0, errors.Join(errors.New("the system does not tell what a thread has used"), err)
	}
	var sum time.Duration
	for _, path := range tasks {
		data, err := os.ReadFile(path)
		if err != nil {
			return 0, err
		}
		f := strings.Fields(string(data))
		if len(f) == 0 {
			return 0, fmt.Errorf("%s is empty", path)
		}
		ns, err := strconv.ParseInt(f[0], 10, 64)
		if err != nil {
			return 0, err
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}

// over is what the relay uses while do runs.
func (p *process) over(do func() error) (time.Duration, error) {
	before, err := p.spent()
	if err != nil {
		return 0, err
	}
	if err := do(); err != nil {
		return 0, err
	}
	after, err := p.spent()
	return after - before, err
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// relayListSeries measures a relay that was handed its list, and changes to it.
func relayListSeries(ctx context.Context, b *bench) ([]capacity.Series, error) {
	memory := measured(capacity.RelayMemory, "destinations", capacity.Bytes)
	ready := measured(capacity.RelayStartupTime, "destinations", capacity.Seconds)
	started := measured(capacity.RelayStartupCPU, "destinations", capacity.Seconds)
	change := measured(capacity.RelayChangeCPU, "destinations", capacity.Seconds)
	memory.Limitations = fmt.Sprintf(
		"a memory limit of %d MB, the one that a relay takes where none is told; no load",
		usualMB,
	)
	force := measured(capacity.RelayChangeTime, "destinations", capacity.Seconds)
	force.Limitations = "one relay with its agent beside it; the longest of five moves of a destination to another address"
	rest := measured(capacity.RelayIdleCores, "destinations", capacity.Cores)
	change.Limitations = "where the relay takes over half a core at rest, what a change costs cannot be told apart and is left out"
	all := []*capacity.Series{memory, ready, started, rest, change, force}
	here, there := newHosts(1), newHosts(1)
	defer here.close()
	defer there.close()
	for _, n := range b.sizes([]int{100, 1000, 3000}, []int{1000, 5000, 20_000, 50_000, 140_000}) {
		list := members(n, "127.0.0.1:9", "ready")
		list[0].Addr, list[1].Addr = here.addr(0), here.addr(0)
		p, err := b.start(ctx, list, true, usualMB, nil)
		if errors.Is(err, errNeverReady) && ctx.Err() == nil {
			for _, s := range all {
				stop(s, n)
			}
			continue
		} else if err != nil {
			return nil, err
		}
		if err := p.listCosts(ctx, list, n, memory, ready, started, rest, change); err != nil {
			return nil, errors.Join(err, p.end())
		}
		longest, late, err := p.moves(ctx, list[:2], here, there)
		if late > 0 {
			b.tell("relay.force at %d: %d hand-ins were not taken within 2 s", n, late)
		}
		switch {
		case errors.Is(err, errNeverReady):
			stop(force, n)
		case err != nil:
			return nil, errors.Join(err, p.end())
		default:
			add(force, n, longest.Seconds())
		}
		if err := p.end(); err != nil {
			return nil, err
		}
	}
	return list(all...), nil
}

func (p *process) listCosts(
	ctx context.Context,
	list []fake.ListedEndpoint,
	n int,
	memory, ready, started, rest, change *capacity.Series,
) error {
	cpu, err := p.spent()
	if err != nil {
		return err
	}
	add(ready, n, p.took.Seconds())
	add(started, n, cpu.Seconds())
	if err := wait(ctx, settle); err != nil {
		return err
	}
	top, err := p.highest()
	if err != nil {
		return err
	}
	add(memory, n, top)
	const changes, every, look = 50, 20 * time.Millisecond, 250 * time.Millisecond
	const length = 2 * time.Second
	idle, err := p.over(func() error { return wait(ctx, length) })
	if err != nil {
		return err
	}
	share := idle.Seconds() / length.Seconds()
	add(rest, n, share)
	if share > tellsApart {
		return nil
	}
	began := time.Now()
	busy, err := p.over(func() error {
		for i := range changes {
			m := list[2+(i*7919)%(len(list)-2)]
			m.Weight++
			p.agent.Update(m)
			if err := wait(ctx, every); err != nil {
				return err
			}
		}
		for { // until it is done with all: it may be slower than they come
			used, err := p.over(func() error { return wait(ctx, look) })
			if err != nil || used.Seconds() < (share+0.1)*look.Seconds() {
				return err
			}
			if time.Since(began) > 2*readyMost {
				return errNeverReady
			}
		}
	})
	if errors.Is(err, errNeverReady) {
		stop(change, n)
		return nil
	} else if err != nil {
		return err
	}
	add(change, n, max(0, busy.Seconds()-share*time.Since(began).Seconds())/changes)
	return nil
}

// relayDiscoverySeries measures a relay that has its list from discovery alone. After two sizes at which it never
// became ready the larger ones are left out.
func relayDiscoverySeries(ctx context.Context, b *bench) ([]capacity.Series, error) {
	ready := measured(capacity.RelayDiscoveryTime, "destinations", capacity.Seconds)
	stopped := 0
	for _, n := range b.sizes([]int{100, 1000, 3000}, []int{1000, 2000, 3000, 4000, 20_000, 140_000}) {
		p, err := b.start(ctx, members(n, "127.0.0.1:9", "ready"), false, usualMB, nil)
		if errors.Is(err, errNeverReady) && ctx.Err() == nil {
			stop(ready, n)
			if stopped++; stopped == 2 {
				break
			}
			continue
		} else if err != nil {
			return nil, err
		}
		add(ready, n, p.took.Seconds())
		if err := p.end(); err != nil {
			return nil, err
		}
	}
	return list(ready), nil
}

// relayBacklogSeries measures a restart with messages in the journal.
func relayBacklogSeries(ctx context.Context, b *bench) ([]capacity.Series, error) {
	memory := measured(capacity.RelayBacklogMemory, "messages held", capacity.Bytes)
	ready := measured(capacity.RelayRecoveryTime, "messages held", capacity.Seconds)
	memory.Limitations = fmt.Sprintf(
		"%d destinations, all out of service: nothing of what is held is tried; bodies of 1,000 bytes in memory; a memory limit of %d MB",
		down,
		backlogMB,
	)
	ready.Limitations = memory.Limitations
	for _, n := range b.sizes([]int{1000, 5000, 20_000}, []int{10_000, 100_000, 300_000}) {
		p, err := b.start(
			ctx,
			members(down, "127.0.0.1:9", "draining"),
			true,
			backlogMB,
			func(folder string) error { return fill(folder, n, down) },
		)
		if errors.Is(err, errNeverReady) && ctx.Err() == nil {
			stop(memory, n)
			stop(ready, n)
			continue
		} else if err != nil {
			return nil, err
		}
		add(ready, n, p.took.Seconds())
		if err = wait(ctx, settle); err == nil {
			var top float64
			if top, err = p.highest(); err == nil {
				add(memory, n, top)
			}
		}
		if err := errors.Join(err, p.end()); err != nil {
			return nil, err
		}
	}
	return list(memory, ready), nil
}

// relayLoadSeries measures messages that are taken, journaled and delivered: to few destinations, whose connections
// serve again, and to so many that nearly each call has one of its own, as where a relay sees a destination once in
// minutes.
func relayLoadSeries(ctx context.Context, b *bench) ([]capacity.Series, error) {
	const few, many = 100, 20_000
	load := measured(capacity.RelayCores, "messages a second", capacity.Cores)
	load.Limitations = "100 destinations whose hosts answer at once, bodies of 1,000 bytes, the journal without sync"
	fresh := measured(capacity.RelayNewConnectionCores, "messages a second", capacity.Cores)
	fresh.Limitations = "20,000 destinations, otherwise as `relay.load`"
	for _, rate := range b.sizes([]int{50, 100, 200}, []int{50, 150, 461, 900}) {
		for s, dests := range map[*capacity.Series]int{load: few, fresh: many} {
			took, cpu, err := b.load(ctx, rate, dests)
			if err != nil {
				return nil, err
			}
			if took < 0.95*float64(rate) {
				b.tell("%s: %.0f of %d messages a second were delivered", s.Name, took, rate)
				stop(s, rate)
				continue
			}
			add(s, rate, cpu)
		}
	}
	return list(load, fresh), nil
}

// hostServers are hosts that answer at once, at some addresses.
type hostServers struct {
	servers []*httptest.Server
	calls   atomic.Int64
}

func newHosts(n int) *hostServers {
	h := &hostServers{}
	for range n {
		h.servers = append(h.servers, httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
			h.calls.Add(1)
		})))
	}
	return h
}

func (h *hostServers) addr(i int) string { return h.servers[i%len(h.servers)].Listener.Addr().String() }

func (h *hostServers) close() {
	for _, s := range h.servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// moves has discovery tell five times that a destination's endpoints are at another address, and returns the longest
// time from a telling until a message goes there, and how many hand-ins had no answer of 202 meanwhile. errNeverReady:
// one was not in force by readyMost.
func (p *process) moves(
	ctx context.Context,
	endpoints []fake.ListedEndpoint,
	here, there *hostServers,
) (longest time.Duration, late int, err error) {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for i := range 5 {
		here, there = there, here // the first move goes where they are not
		to := here
		before := to.calls.Load()
		began := time.Now()
		for _, m := range endpoints {
			m.Addr = to.addr(0)
			p.agent.Update(m)
		}
		for k := 0; to.calls.Load() == before; k++ {
			if err := handIn(ctx, client, p.addr, fmt.Sprintf("move%d%011d", i, k), endpoints[0].Destination); err != nil {
				late++ // a relay that is at its list for long answers late
			}
			if time.Since(began) > readyMost {
				return 0, late, errNeverReady
			}
			if err := wait(ctx, 2*time.Millisecond); err != nil {
				return 0, late, err
			}
		}
		longest = max(longest, time.Since(began))
		if err := wait(ctx, 200*time.Millisecond); err != nil { // for what is still on its way
			return 0, late, err
		}
	}
	return longest, late, nil
}

// load has messages handed in at a rate, and returns how many a second were delivered and the cores that the relay
// used.
func (b *bench) load(ctx context.Context, rate, dests int) (delivered, cores float64, err error) {
	warm, length := 5*time.Second, 8*time.Second
	if b.quick {
		length = 3 * time.Second
	}
	h := newHosts(16)
	defer h.close()
	list := members(dests, "", "ready")
	for i := range list {
		list[i].Addr = h.addr(i)
	}
	p, err := b.start(ctx, list, true, usualMB, nil)
	if err != nil {
		return 0, 0, err
	}
	defer func() { err = errors.Join(err, p.end()) }()
	work, stop := context.WithCancel(ctx)
	var clients sync.WaitGroup
	const many = 64
	every := time.Duration(many) * time.Second / time.Duration(rate)
	var refused atomic.Int64
	for c := range many {
		clients.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 2 * time.Second}
			defer client.CloseIdleConnections()
			if wait(work, every*time.Duration(c)/many) != nil { // else all come at once
				return
			}
			tick := time.NewTicker(every)
			defer tick.Stop()
			for i := 0; ; i++ {
				select {
				case <-work.Done():
					return
				case <-tick.C:
				}
				if handIn(work, client, p.addr, fmt.Sprintf("%04x%012x", c, i), (i*many+c)*7919%dests) != nil &&
					work.Err() == nil {
					refused.Add(1)
				}
			}
		})
	}
	defer clients.Wait()
	defer stop()
	if err := wait(ctx, warm); err != nil {
		return 0, 0, err
	}
	before, began := h.calls.Load(), time.Now()
	cpu, err := p.over(func() error { return wait(ctx, length) })
	if err != nil {
		return 0, 0, err
	}
	seconds := time.Since(began).Seconds()
	if n := refused.Load(); n > 0 {
		b.tell("at %d a second %d messages were not taken", rate, n)
	}
	return float64(h.calls.Load()-before) / seconds, cpu.Seconds() / seconds, nil
}

func handIn(ctx context.Context, client *http.Client, addr, id string, dest int) error {
	req, err := http.NewRequestWithContext(
		ctx,
		http.MethodPost,
		"http://"+addr+"/order",
		bytes.NewReader(make([]byte, body)),
	)
	if err != nil {
		return err
	}
	for k, v := range map[string]string{
		"X-Trace-Id": id, "X-Qos": "order", "X-Customer": "acme", "Idempotency-Key": "key-" + id, "Envelope": "dest=" + strconv.Itoa(dest), "X-Expires-In-Ms": "9000",
	} {
		req.Header.Set(k, v)
	}
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	io.Copy(io.Discard, res.Body)
	if res.StatusCode != http.StatusAccepted {
		return fmt.Errorf("the relay answers %s", res.Status)
	}
	return nil
}
