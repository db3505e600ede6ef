package rehearsal

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// The parts of a restart, as the platform has them.
const (
	frontNotices = 300 * time.Millisecond // from SIGTERM until no new connections come
	killAfter    = 3700 * time.Millisecond
	startAfter   = 600 * time.Millisecond // from the end of a process to the next
	pollEvery    = 10 * time.Millisecond
	logTail      = 2 << 10
)

// relay is one relay under its name and address, over its restarts.
type relay struct {
	name    string
	binary  string
	dir     string // of its configuration, state and log
	addr    string
	release func() // of addr
	rec     *eventlog.Writer
	agent   *fake.DiscoveryAgent
	clients *fake.Clients
	file    scenario.File
	record  bool         // it records its decisions
	fleet   *fleetMember // nil: it belongs to none

	mu     sync.Mutex // guards a restart against another
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
}

// reserve keeps an address for a relay; port 0 lets the system choose.
func reserve(port int) (addr string, release func(), err error) {
	addr, release, err = fake.ReserveAddress("127.0.0.1:" + strconv.Itoa(port))
	if errors.Is(err, syscall.EADDRINUSE) {
		return "", nil, fmt.Errorf("rehearsal: port %d is in use: choose another with -port, or none: %w", port, err)
	} else if err != nil {
		return "", nil, fmt.Errorf("rehearsal: %w", err)
	}
	return addr, release, nil
}

// config is the relay's configuration file.
func (r *relay) config() ([]byte, error) {
	s := r.file.Settings
	ms := func(d scenario.Duration) float64 { return float64(d.AsDuration()) / float64(time.Millisecond) }
	var services, realms []map[string]any
	for _, c := range r.file.Classes {
		services = append(services, map[string]any{
			"name": c.Name, "group": c.DedupScope, "goal_time_ms": ms(c.LatencyObjective), "give_up_ms": ms(c.Deadline), "repeat_window_ms": ms(c.DedupWindow),
			"late_worth": c.LateWeightRatio, "value": c.Weight, "by_arrival": c.Ordered, "stream": false,
			"semantics": map[eventlog.Effect]string{"safe": "read_like", "keyed": "idempotency_key", "unsafe": "non_idempotent"}[c.Effect],
		})
	}
	shares := 0.0
	for _, c := range r.file.Customers {
		shares += c.TrafficShare
	}
	for _, c := range r.file.Customers {
		realms = append(realms, map[string]any{"name": c.Name, "share": c.TrafficShare / shares, "quota_per_s": c.Quota})
	}
	var kinds []string
	var perCall []int
	var separate []bool
	cold, warm := 1.0, 0.0
	for _, k := range r.file.DestinationKinds {
		kinds, perCall, separate = append(kinds, k.Name), append(perCall, k.MaxMessagesPerCall), append(separate, k.SeparateEndpoints)
		cold, warm = min(cold, k.WarmUpInitialCapacity), max(warm, ms(k.WarmUpDuration))
	}
	return json.MarshalIndent(map[string]any{
		"name": r.name, "listen": r.addr, "discovery": r.agent.Addr(), "seed": fmt.Sprintf("%016x", r.file.Seed),
		"limits": map[string]any{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.MaxSockets, "disk_mb": s.DiskMB},
		"known":  r.agent.NotifiedList(),
		"settings": map[string]any{
			"bounds": map[string]any{
				"cancel": true, "connect_timeout_ms": ms(s.ConnectTimeout), "keepalive_ms": ms(s.KeepAliveTimeout), "may_duplicate": *s.DuplicatesAllowed,
				"max_retry_after_ms": ms(
					s.MaxRetryAfter,
				), "retry_after": true, "open_cap": s.MaxMessages, "send_cap": s.MaxAttempts,
				"probes": false, "peers": false,
			},
			"extra": map[string]any{
				"call_slots": s.MaxConcurrentCalls, "per_call": perCall, "separate_routes": separate, "loses_worth": "even",
			},
			"fleet_size": r.file.Relays, "kinds": kinds, "zones": r.file.Zones, "tick_ms": ms(s.Tick),
			"membership_mode": "push", "weight_kind": "nominal", "over_share_worth": *s.OverShareWeightRatio,
			"rules": map[string]any{
				"stop_sending_within_ms": ms(
					s.DrainGrace,
				), "overload_factor": s.OverloadFactor, "fall_ms": ms(s.OverloadWindow),
				"cold_from": cold, "warm_within_ms": warm, "order_pause_ms": ms(s.OrderingPause), "answer_slack_ms": 20.0,
			},
			"services": services, "realms": realms, "stats": map[string]any{"how": "none"},
		},
	}, "", " ")
}

func (r *relay) writeConfig() error {
	data, err := r.config()
	if err != nil {
		return fmt.Errorf("rehearsal: configuration of %s: %w", r.name, err)
	}
	// Put in place whole: a relay that reads it again must not find half of it.
	temp := filepath.Join(r.dir, "config.tmp")
	if err := os.WriteFile(temp, data, 0o600); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	if err := os.Rename(temp, filepath.Join(r.dir, "config.json")); err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	return nil
}

// operator writes the operator's file, if there is anything to set, and returns the arguments that name it.
func (r *relay) operator() (args []string, err error) {
	text := ""
	if r.record {
		text = fmt.Sprintf(
			"[recorder]\nenabled = true\nwrite = \"all\"\nfolder = %q\nfolder_mb = 1024\n",
			filepath.Join(r.dir, RecordingsName),
		)
	}
	if r.fleet != nil {
		text += r.fleet.text(r.name, r.file.Fleet)
	}
	if text == "" {
		return nil, nil
	}
	path := filepath.Join(r.dir, "operator.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("rehearsal: %w", err)
	}
	return []string{"serve", "--operator", path}, nil
}

// start starts the process and waits until it is ready.
func (r *relay) start(ctx context.Context, within time.Duration) error {
	if err := r.writeConfig(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	defer log.Close()
	args, err := r.operator()
	if err != nil {
		return err
	}
	cmd := exec.Command(r.binary, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "ROUTER_NAME="+r.name, "ROUTER_LISTEN="+r.addr, "ROUTER_DISCOVERY="+r.agent.Addr(),
		"ROUTER_STATE="+filepath.Join(r.dir, "state"), "ROUTER_CONFIG="+filepath.Join(r.dir, "config.json"))
	if r.fleet != nil {
		cmd.Env = append(cmd.Env, "ROUTER_MANAGEMENT="+r.fleet.second)
	}
	cmd.SysProcAttr = childAttr()
	r.agent.SetRelayRunning(true)
	r.rec.Add(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateStart})
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("rehearsal: start %s: %w", r.name, err)
	}
	exited := make(chan struct{})
	r.cmd, r.exited = cmd, exited
	go func() {
		err := cmd.Wait()
		cause := ""
		if err != nil {
			cause = err.Error()
		}
		r.clients.SetAccepting(false)
		r.agent.SetRelayRunning(false)
		r.rec.Add(
			eventlog.Event{
				Kind:   eventlog.ProcessChanged,
				Relay:  r.name,
				State:  eventlog.StateExit,
				Status: cmd.ProcessState.ExitCode(),
				Cause:  cause,
			},
		)
		close(exited)
	}()
	if err := r.ready(ctx, within); err != nil {
		r.kill()
		return err
	}
	r.rec.Add(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateUp})
	r.clients.SetAccepting(true)
	return nil
}

// ready asks until the relay says that it is.
func (r *relay) ready(ctx context.Context, within time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.addr+"/_health", nil)
		if err != nil {
			return fmt.Errorf("rehearsal: %w", err)
		}
		if res, err := client.Do(req); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-r.exited:
			return fmt.Errorf(
				"rehearsal: %s ended before it was ready: %s%s",
				r.name,
				r.cmd.ProcessState,
				r.lastWords(),
			)
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return fmt.Errorf("rehearsal: %s was not ready within %v%s", r.name, within, r.lastWords())
			}
			return ctx.Err()
		case <-time.After(pollEvery):
		}
	}
}

// lastWords is the end of the relay's log.
func (r *relay) lastWords() string {
	data, err := os.ReadFile(filepath.Join(r.dir, "log"))
	if err != nil || len(data) == 0 {
		return ""
	}
	return "; its log ends with:\n" + strings.TrimSpace(string(data[max(0, len(data)-logTail):]))
}

// signal sends a signal that ends the process, and records it first.
func (r *relay) signal(s os.Signal, state string) {
	if r.cmd == nil {
		return
	}
	r.rec.Add(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: state})
	r.cmd.Process.Signal(s) // it may have ended already
}

// kill ends the process at once, and waits for it.
func (r *relay) kill() {
	if r.cmd == nil {
		return
	}
	select {
	case <-r.exited:
	default:
		r.signal(syscall.SIGKILL, eventlog.StateKill)
		<-r.exited
	}
}

// terminate ends the process in order, or by force when its time is up.
func (r *relay) terminate() {
	if r.cmd == nil {
		return
	}
	select {
	case <-r.exited:
		return
	default:
	}
	r.signal(syscall.SIGTERM, eventlog.StateTerm)
	front := time.AfterFunc(frontNotices, func() { r.clients.SetAccepting(false) })
	defer front.Stop()
	select {
	case <-r.exited:
	case <-time.After(killAfter):
		r.kill()
	}
}

// restart ends the process and starts it again, on the folder that it left or another one.
func (r *relay) restart(ctx context.Context, planned bool, folder scenario.StateFolder, within time.Duration) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if planned {
		r.terminate()
	} else {
		r.kill()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(startAfter):
	}
	if err := r.putFolder(folder); err != nil {
		return err
	}
	return r.start(ctx, within)
}

// reload has the relay read its configuration again.
func (r *relay) reload() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writeConfig(); err != nil {
		return err
	}
	r.rec.Add(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: eventlog.StateHUP})
	if err := r.cmd.Process.Signal(syscall.SIGHUP); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("rehearsal: SIGHUP to %s: %w", r.name, err)
	}
	return nil
}
