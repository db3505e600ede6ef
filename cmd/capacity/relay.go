package main

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

const (
	relayName = "n0"
	// defaultMemoryMB is the memory limit of a relay that is given none. The garbage collector goes by it.
	defaultMemoryMB = 192
	// backlogMemoryMB is a limit with room for a backlog in memory.
	backlogMemoryMB = 4096
	// startupTimeout is more than a restart may take.
	startupTimeout = 15 * time.Second
	readyInterval  = 2 * time.Millisecond // between two health checks of a starting relay
	// settleTime passes after a start before a relay without load is measured.
	settleTime = time.Second
)

// errTimeout tells of a relay that was not ready by startupTimeout, or had not followed a change by then.
var errTimeout = errors.New("not ready")

// relayOptions are how a relay is started.
type relayOptions struct {
	endpoints []fake.ListedEndpoint // that discovery lists
	known     bool                  // the configuration has the endpoints, too
	memoryMB  int
	// prepare writes into the state folder before the start. It may be nil.
	prepare func(stateFolder string) error
}

// relay is a relay process with a fake discovery agent.
type relay struct {
	cmd         *exec.Cmd // nil: not started
	addr        string
	folder      string
	agent       *fake.DiscoveryAgent
	startupTime time.Duration
}

// startRelay starts a relay and waits until it is ready. If it is not ready in time, the relay is stopped and the error
// is an errTimeout.
func (b *bench) startRelay(ctx context.Context, options relayOptions) (*relay, error) {
	folder, err := os.MkdirTemp(b.folder, "relay")
	if err != nil {
		return nil, err
	}
	agent, err := startDiscoveryAgent(options.endpoints)
	if err != nil {
		return nil, err
	}
	r := &relay{folder: folder, agent: agent}
	if err := r.configure(options); err != nil {
		return nil, errors.Join(err, r.stop())
	}
	if err := r.launch(ctx, b.relay); err != nil {
		return nil, errors.Join(err, r.stop())
	}
	return r, nil
}

func startDiscoveryAgent(endpoints []fake.ListedEndpoint) (*fake.DiscoveryAgent, error) {
	recorder, err := eventlog.NewWriter(io.Discard, time.Now(), eventlog.Header{})
	if err != nil {
		return nil, err
	}
	return fake.NewDiscoveryAgent(relayName, recorder, fake.NewWorld(scenario.Plan{}, recorder), endpoints)
}

// configure prepares the relay's folder, and chooses its address.
func (r *relay) configure(options relayOptions) error {
	state := relayprocess.StateFolder(r.folder)
	if err := os.Mkdir(state, 0o700); err != nil {
		return err
	}
	if options.prepare != nil {
		if err := options.prepare(state); err != nil {
			return err
		}
	}
	config := map[string]any{
		"name":     relayName,
		"seed":     "8c1f30d27a5be964",
		"settings": relaySettings(),
		"limits": map[string]any{
			"cores":     1,
			"memory_mb": options.memoryMB,
			"sockets":   4096,
			"disk_mb":   8192,
		},
	}
	if options.known {
		config["known"] = r.agent.NotifiedList()
	}
	if err := relayprocess.WriteConfig(r.folder, config); err != nil {
		return err
	}
	var err error
	r.addr, err = unusedAddr()
	return err
}

// relaySettings are those of one class of messages whose backlog is not bounded and does not expire.
func relaySettings() map[string]any {
	settings := relayprocess.BaseSettings()
	settings[relayprocess.BoundsSetting].(map[string]any)["open_cap"] = 5_000_000
	settings[relayprocess.RulesSetting].(map[string]any)["warm_within_ms"] = 30000
	settings[relayprocess.ServicesSetting].([]map[string]any)[0]["give_up_ms"] = 360_000_000
	return settings
}

func unusedAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// launch starts the process and waits until it is ready.
func (r *relay) launch(ctx context.Context, program string) (err error) {
	log, err := os.Create(filepath.Join(r.folder, "log"))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, log.Close()) }()
	cmd := relayprocess.Command(ctx, relayprocess.Settings{
		Program:   program,
		Folder:    r.folder,
		Addr:      r.addr,
		Discovery: r.agent.Addr(),
	})
	cmd.Stdout, cmd.Stderr = log, log
	began := time.Now()
	if err := cmd.Start(); err != nil {
		return err
	}
	r.cmd = cmd
	r.agent.SetRelayRunning(true)
	return r.awaitReady(ctx, began)
}

func (r *relay) awaitReady(ctx context.Context, began time.Time) error {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for !relayprocess.Ready(client, r.addr) {
		if time.Since(began) > startupTimeout || ctx.Err() != nil {
			return errors.Join(errTimeout, ctx.Err())
		}
		time.Sleep(readyInterval)
	}
	r.startupTime = time.Since(began)
	return nil
}

// stop kills the relay, and removes everything that belongs to it.
func (r *relay) stop() error {
	var err error
	if r.cmd != nil {
		err = r.cmd.Process.Kill()
		_ = r.cmd.Wait() // It tells of the signal.
	}
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	return errors.Join(err, r.agent.Close(), os.RemoveAll(r.folder))
}

// peakMemory returns the most bytes that the relay has had resident.
func (r *relay) peakMemory() (float64, error) {
	return relayprocess.Memory(r.cmd.Process.Pid, relayprocess.PeakMemory)
}

// cpu returns the processor time of the relay so far.
func (r *relay) cpu() (time.Duration, error) { return relayprocess.CPU(r.cmd.Process.Pid) }

// cpuDuring returns the processor time that the relay uses while work runs.
func (r *relay) cpuDuring(work func() error) (time.Duration, error) {
	before, err := r.cpu()
	if err != nil {
		return 0, err
	}
	if err := work(); err != nil {
		return 0, err
	}
	after, err := r.cpu()
	return after - before, err
}

// sleep waits for a time, or until ctx is done.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// isTimeout reports whether a measurement failed because the relay did not get ready in time, and not because it was
// cancelled.
func isTimeout(ctx context.Context, err error) bool {
	return errors.Is(err, errTimeout) && ctx.Err() == nil
}
