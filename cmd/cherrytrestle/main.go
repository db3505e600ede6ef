// Command cherrytrestle is the relay, with commands that read its recordings and its journal.
//
//	cherrytrestle [serve]         accepts messages from clients and delivers each by a call to an endpoint
//	cherrytrestle replay FILE     replays a recording with the decision engine as built here
//	cherrytrestle explain FILE    explains what delayed messages
//	cherrytrestle recording ...   lists recordings, or extracts them from a log
//	cherrytrestle fleet ...       counts over recordings of many relays, or queries running relays for their fleet
//	cherrytrestle journal ...     inspects a relay's journal
//
// The configuration of serve comes from the platform by the environment (package relay), and from the operator's file.
package main

import (
	"context"
	"fmt"
	"log/slog"
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

// heapFraction is the fraction of the memory limit that the Go runtime may use. The rest is for the program's code and
// for the pages of the journal's files.
const heapFraction = 0.7

// commands has the commands and flags of the command line, in kong's form.
//
//nolint:lll // A struct tag is one line.
type commands struct {
	Version   kong.VersionFlag `help:"Print the version and end."`
	Serve     serveCommand     `cmd:"" default:"withargs" help:"Run the relay (the default)."`
	Replay    replayCommand    `cmd:"" help:"Play recordings to the decision module as built here, and tell whether it decides the same."`
	Explain   explainCommand   `cmd:"" help:"Tell from recordings what held messages up."`
	Fleet     fleetCommand     `cmd:"" help:"Tell of a fleet: from recordings of many relays, or as running ones see it."`
	Recording recordingCommand `cmd:"" help:"List recordings, or take them out of a log."`
	Journal   journalCommand   `cmd:"" help:"Look into a relay's journal, running or not."`
}

func main() {
	// The signals stay caught until the process exits. Otherwise a second one just before the exit would end the
	// process, with the signal as its status.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := cli.Run(ctx, "cherrytrestle", "A relay for outbound messages.", &commands{}, os.Args[1:],
		cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, cli.Failed)
	os.Exit(status)
}

//nolint:lll // A struct tag is one line.
type serveCommand struct {
	Operator string `help:"The operator's file (TOML): what this installation turns on. None: nothing." env:"CHERRYTRESTLE_OPERATOR" placeholder:"FILE"`

	wrapJournalFS func(store.FS) store.FS // set by tests, between the journal and its files
}

// Run serves until SIGTERM or SIGINT. SIGHUP reloads the configuration, SIGUSR1 dumps the recording.
func (c *serveCommand) Run(ctx context.Context) error {
	// Both are caught from the start, because an uncaught one ends the process.
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
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * heapFraction * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	r, err := relay.New(cfg, log, os.Stderr)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	go handleSignals(r, log, reload, dump)
	return r.Run(ctx)
}

// notifySignal returns a channel that receives a signal.
func notifySignal(sig os.Signal) <-chan os.Signal {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, sig)
	return signals
}

// handleSignals reloads the configuration and dumps the recording on request. It runs until the process exits, so that
// both are possible during the shutdown.
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
