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
	// defaultMemoryMB is the memory limit of a relay whose configuration has none. The garbage collector of the relay
	// uses it as its target.
	defaultMemoryMB = 192
	// backlogMemoryMB is a memory limit that is large enough for a backlog.
	backlogMemoryMB = 4096
	// startupTimeout bounds the time until a starting relay is ready, and until a change is in effect. A restart must
	// take less.
	startupTimeout = 15 * time.Second
	readyInterval  = 2 * time.Millisecond // between two health checks of a starting relay
	// settleTime is the wait between the start of a relay and the measurement without load.
	settleTime = time.Second
)

// errTimeout means that a relay was not ready within startupTimeout or did not apply changes of its endpoints in time.
var errTimeout = errors.New("the relay was not ready or did not apply a change in time")

// relayOptions are the options for starting a relay.
type relayOptions struct {
	endpoints []fake.ListedEndpoint // listed by discovery
	known     bool                  // the relay's configuration contains the endpoints, too
	memoryMB  int                   // memory limit of the relay
	// prepare writes files to the state folder before the relay starts. It may be nil.
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

// startRelay starts a relay and waits until it is ready. If the relay is not ready within startupTimeout, it is stopped
// and the error is an errTimeout.
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

// configure writes the relay's state and configuration to its folder, and chooses an unused address for the relay.
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

// relaySettings returns settings with one class of messages. Its limits on the number and the age of queued messages
// are so high that no measured backlog reaches them.
func relaySettings() map[string]any {
	settings := relayprocess.BaseSettings()
	settings[relayprocess.BoundsSetting].(map[string]any)["open_cap"] = 5_000_000
	settings[relayprocess.RulesSetting].(map[string]any)["warm_within_ms"] = 30000
	settings[relayprocess.ServicesSetting].([]map[string]any)[0]["give_up_ms"] = 360_000_000
	return settings
}

// unusedAddr returns a loopback address with a port that was unused during the call.
func unusedAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// launch starts the relay's process and waits until the relay is ready.
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

// awaitReady waits until the relay is ready and sets startupTime, the time since began.
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

// stop kills the relay's process, closes its discovery agent and removes its folder.
func (r *relay) stop() error {
	var err error
	if r.cmd != nil {
		err = r.cmd.Process.Kill()
		_ = r.cmd.Wait() // The error reports the signal of Kill.
	}
	if errors.Is(err, os.ErrProcessDone) {
		err = nil
	}
	return errors.Join(err, r.agent.Close(), os.RemoveAll(r.folder))
}

// peakMemory returns the peak resident memory of the relay in bytes.
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

// isTimeout reports whether a measurement failed with an errTimeout, and not because ctx was cancelled.
func isTimeout(ctx context.Context, err error) bool {
	return errors.Is(err, errTimeout) && ctx.Err() == nil
}
