// Command cherrytrestle is the relay, with commands that read its recordings and its journal.
//
//	cherrytrestle [serve]         accepts messages from clients and delivers each by a call to an endpoint
//	cherrytrestle replay FILE     replays a recording with the decision engine of this build
//	cherrytrestle explain FILE    explains from a recording what delayed messages
//	cherrytrestle recording ...   lists recordings, or extracts them from a log
//	cherrytrestle fleet ...       analyzes recordings of many relays, or queries running relays for their fleet status
//	cherrytrestle journal ...     inspects a relay's journal
//
// The serve command takes its configuration from the platform through environment variables (package relay), and from
// the operator's file (package operatorfile).
package main

import (
	"context"
	"fmt"
	"log/slog"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/config/operatorfile"
	"cherrytrestle.example/cherrytrestle/internal/relay"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
)

// commands declares the commands and flags of the program for the kong parser.
//
//nolint:lll // A struct tag is one line.
type commands struct {
	Version   kong.VersionFlag `help:"Print the version and exit."`
	Serve     serveCommand     `cmd:"" default:"withargs" help:"Run the relay (the default)."`
	Replay    replayCommand    `cmd:"" help:"Replay recordings with the decision engine of this build and report differences (status 3)."`
	Explain   explainCommand   `cmd:"" help:"Explain from recordings what delayed messages."`
	Fleet     fleetCommand     `cmd:"" help:"Analyze the recordings of a fleet's relays, or query running relays for the fleet's status."`
	Recording recordingCommand `cmd:"" help:"List recordings, or extract them from a log."`
	Journal   journalCommand   `cmd:"" help:"Inspect the journal of a relay, which may be running."`
}

func main() {
	// The stop function is not used: the signals stay caught until the process exits. Otherwise a second signal just
	// before the exit would kill the process, and its exit status would be that of the signal.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := cli.Run(ctx, "cherrytrestle", "A relay for outbound messages.", &commands{}, os.Args[1:],
		cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, cli.Failed)
	os.Exit(status)
}

//nolint:lll // A struct tag is one line.
type serveCommand struct {
	Operator string `help:"The operator's file (TOML), which turns on optional features. Default: none of them." env:"CHERRYTRESTLE_OPERATOR" placeholder:"FILE"`

	wrapJournalFS func(store.FS) store.FS // set by tests: wraps the file system of the journal
}

// Run serves until SIGTERM or SIGINT. SIGHUP reloads the configuration, SIGUSR1 dumps the recording.
func (c *serveCommand) Run(ctx context.Context) error {
	// SIGHUP and SIGUSR1 are caught from the start, because a signal that is not caught ends the process.
	reload := notifySignal(syscall.SIGHUP)
	dump := notifySignal(syscall.SIGUSR1)
	file, err := operatorfile.Load(c.Operator)
	if err != nil {
		return err
	}
	log := slog.New(file.Log.Handler(os.Stderr))
	slog.SetDefault(log)
	cfg, err := relay.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	cfg.Operator = file
	cfg.Version = cli.Version()
	cfg.WrapJournalFS = c.wrapJournalFS
	cfg.SetHeapLimit = setHeapLimit
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	r, err := relay.New(cfg, log, os.Stderr)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	go handleSignals(r, log, reload, dump)
	return r.Run(ctx)
}

// setHeapLimit sets the limit of the memory that the Go runtime may use. If the limit falls, memory that is free goes
// back to the operating system, since another process needs it.
func setHeapLimit(bytes int64) {
	if before := debug.SetMemoryLimit(bytes); bytes < before && before != math.MaxInt64 {
		go debug.FreeOSMemory()
	}
}

// notifySignal returns a channel that receives a signal of the process. The channel buffers one signal. Further signals
// are dropped until that signal is read.
func notifySignal(sig os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, sig)
	return signals
}

// handleSignals reloads the configuration on each SIGHUP and dumps the recording on each SIGUSR1. It runs until the
// process exits, so that both signals also work during the shutdown.
func handleSignals(r *relay.Relay, log *slog.Logger, reload, dump <-chan os.Signal) {
	for {
		select {
		case <-dump:
			r.DumpRecording("SIGUSR1")
		case <-reload:
			if err := r.Reload(relay.ReloadConfig(os.Getenv)); err != nil {
				log.Warn("configuration not reloaded", "err", err)
			}
		}
	}
}
