package rehearsal

import (
	"context"
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

	"golang.org/x/sys/unix"

	"cherrytrestle.example/cherrytrestle/internal/testkit/eventlog"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
	"cherrytrestle.example/cherrytrestle/internal/testkit/scenario"
)

// Timing of restarts, as on the platform, and of health checks.
const (
	clientStopDelay    = 300 * time.Millisecond  // from SIGTERM until clients make no new connections
	terminateTimeout   = 3700 * time.Millisecond // from SIGTERM until SIGKILL
	restartDelay       = 600 * time.Millisecond  // from the end of a process to the start of the next
	readyPollInterval  = 10 * time.Millisecond
	healthCheckTimeout = time.Second
)

const (
	logName    = "log"
	maxLogTail = 2 << 10 // bytes of the log that an error quotes
)

// relay is a relay with a fixed name and address. Each restart gives it a new process.
type relay struct {
	name            string
	binary          string
	dir             string // holds its configuration, state and log
	addr            string
	releaseAddr     func()
	readyTimeout    time.Duration
	recordDecisions bool
	record          *eventlog.Writer
	agent           *fake.DiscoveryAgent
	clients         *fake.Clients
	file            scenario.File
	fleet           *fleetMember // nil: the relay is in no fleet

	mu     sync.Mutex // serializes starting, stopping and signalling the process
	cmd    *exec.Cmd
	exited chan struct{} // closed when the process has ended
}

func stateDir(relayDir string) string { return relayprocess.StateFolder(relayDir) }

// reserveAddress reserves an address for a relay; port 0 lets the system choose one.
func reserveAddress(port int) (addr string, release func(), err error) {
	addr, release, err = fake.ReserveAddress("127.0.0.1:" + strconv.Itoa(port))
	if errors.Is(err, syscall.EADDRINUSE) {
		return "", nil, fmt.Errorf(
			"rehearsal: port %d is in use; choose another with --port, or none for a free one: %w", port, err,
		)
	}
	if err != nil {
		return "", nil, fmt.Errorf("rehearsal: %w", err)
	}
	return addr, release, nil
}

// start starts the process and waits until it is ready.
func (r *relay) start(ctx context.Context) error {
	if err := r.writeConfig(); err != nil {
		return err
	}
	args, err := r.writeOperatorFile()
	if err != nil {
		return err
	}
	if err := r.startProcess(args); err != nil {
		return err
	}
	if err := r.waitUntilReady(ctx); err != nil {
		r.kill()
		return err
	}
	r.recordState(eventlog.StateUp)
	r.clients.SetAccepting(true)
	return nil
}

func (r *relay) startProcess(args []string) error {
	log, err := os.OpenFile(filepath.Join(r.dir, logName), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("rehearsal: %w", err)
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	// Steps of the plan and stop end the process, rather than a context.
	cmd := relayprocess.Command(context.Background(), relayprocess.Settings{
		Program:   r.binary,
		Folder:    r.dir,
		Addr:      r.addr,
		Discovery: r.agent.Addr(),
	})
	cmd.Args = append(cmd.Args, args...)
	cmd.Env = append(cmd.Env, "ROUTER_NAME="+r.name)
	if r.fleet != nil {
		cmd.Env = append(cmd.Env, "ROUTER_MANAGEMENT="+r.fleet.adminAddr)
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = childAttributes()
	r.agent.SetRelayRunning(true)
	r.recordState(eventlog.StateStart)
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("rehearsal: start %s: %w", r.name, err)
	}
	exited := make(chan struct{})
	r.cmd, r.exited = cmd, exited
	go func() {
		defer close(exited)
		r.waitForExit(cmd)
	}()
	return nil
}

// waitForExit waits until a process has ended, and records its exit status.
func (r *relay) waitForExit(cmd *exec.Cmd) {
	cause := ""
	if err := cmd.Wait(); err != nil {
		cause = err.Error()
	}
	r.clients.SetAccepting(false)
	r.agent.SetRelayRunning(false)
	r.record.Add(eventlog.Event{
		Kind:   eventlog.ProcessChanged,
		Relay:  r.name,
		State:  eventlog.StateExit,
		Status: cmd.ProcessState.ExitCode(),
		Cause:  cause,
	})
}

func (r *relay) recordState(state string) {
	r.record.Add(eventlog.Event{Kind: eventlog.ProcessChanged, Relay: r.name, State: state})
}

// waitUntilReady polls the relay's health check until the relay is ready, its process has ended or the timeout passes.
func (r *relay) waitUntilReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, r.readyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: healthCheckTimeout}
	for !relayprocess.Ready(client, r.addr) {
		select {
		case <-r.exited:
			return fmt.Errorf("rehearsal: %s ended before it was ready: %s%s", r.name, r.cmd.ProcessState, r.logTail())
		case <-ctx.Done():
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return fmt.Errorf("rehearsal: %s was not ready within %v%s", r.name, r.readyTimeout, r.logTail())
			}
			return ctx.Err()
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

// logTail returns a suffix for an error text that quotes the end of the relay's log; "" if the log is empty.
func (r *relay) logTail() string {
	data, err := os.ReadFile(filepath.Join(r.dir, logName))
	if err != nil || len(data) == 0 {
		return ""
	}
	return "; its log ends with:\n" + strings.TrimSpace(string(data[max(0, len(data)-maxLogTail):]))
}

// hasExited reports whether the process has ended or was never started.
func (r *relay) hasExited() bool {
	if r.cmd == nil {
		return true
	}
	select {
	case <-r.exited:
		return true
	default:
		return false
	}
}

// signal records the state that a signal brings the process to, and sends the signal.
func (r *relay) signal(signal syscall.Signal, state string) error {
	r.recordState(state)
	if err := r.cmd.Process.Signal(signal); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("rehearsal: %s to %s: %w", unix.SignalName(signal), r.name, err)
	}
	return nil
}

// kill kills the process and waits until it has ended.
func (r *relay) kill() {
	if r.hasExited() {
		return
	}
	_ = r.signal(syscall.SIGKILL, eventlog.StateKill) // the process may have ended already
	<-r.exited
}

// terminate sends SIGTERM, and kills the process if it has not ended after terminateTimeout.
func (r *relay) terminate() {
	if r.hasExited() {
		return
	}
	_ = r.signal(syscall.SIGTERM, eventlog.StateTerm) // the process may have ended already
	stopClients := time.AfterFunc(clientStopDelay, func() { r.clients.SetAccepting(false) })
	defer stopClients.Stop()
	select {
	case <-r.exited:
	case <-time.After(terminateTimeout):
		r.kill()
	}
}

// stop ends the process at the end of the rehearsal.
func (r *relay) stop(graceful bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end(graceful)
}

func (r *relay) end(graceful bool) {
	if graceful {
		r.terminate()
	} else {
		r.kill()
	}
}

// restart ends the process, replaces its state folder if the fault requires it, and starts the relay again.
func (r *relay) restart(ctx context.Context, graceful bool, folder scenario.StateFolder) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end(graceful)
	if !sleepUntil(ctx, time.Now().Add(restartDelay)) {
		return ctx.Err()
	}
	if err := r.replaceState(folder); err != nil {
		return err
	}
	return r.start(ctx)
}

// reload writes the configuration file and sends SIGHUP, on which the relay reads the file again.
func (r *relay) reload() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.writeConfig(); err != nil {
		return err
	}
	return r.signal(syscall.SIGHUP, eventlog.StateHUP)
}

// stall pauses the process with SIGSTOP.
func (r *relay) stall() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.signal(syscall.SIGSTOP, eventlog.StateStop)
}

// resume continues a stalled process with SIGCONT.
func (r *relay) resume() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.signal(syscall.SIGCONT, eventlog.StateCont)
}
