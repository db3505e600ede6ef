// Command cherrytrestle is the relay, and what looks into its recordings.
//
//	cherrytrestle [serve]         takes messages from clients and delivers each by a call to a host of its destination
//	cherrytrestle replay FILE     plays a recording to the decision module as built here
//	cherrytrestle explain FILE    tells what held messages up
//	cherrytrestle recording ...   lists recordings, or takes them out of a log
//	cherrytrestle fleet ...       counts over recordings of many relays, or asks running ones of their fleet
//	cherrytrestle journal ...     looks into a relay's journal
//
// For serve the environment tells what the platform has to say, see package relay, and the operator's file the rest.
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

// heapFraction is the part of the memory limit that the heap may grow to; the rest is for stacks, the program
// itself and the files of the log.
const heapFraction = 0.7

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
	// Caught to the last: one more, in the moment before the exit, would end the process by the signal.
	ctx, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	status := cli.Run(ctx, "cherrytrestle", "A relay for outbound messages.", &commands{}, os.Args[1:],
		cli.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr}, cli.Failed)
	os.Exit(status)
}

type serveCommand struct {
	Operator string `help:"The operator's file (TOML): what this installation turns on. None: nothing." env:"CHERRYTRESTLE_OPERATOR" placeholder:"FILE"`

	wrapJournalFS func(store.FS) store.FS // between the journal and its files; nil: nothing
}

// Run serves until SIGTERM or SIGINT. SIGHUP has the configuration read again, SIGUSR1 the recording kept.
func (c *serveCommand) Run(ctx context.Context) error {
	// Caught from the start: unhandled, either ends the process.
	reload, keep := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(keep, syscall.SIGUSR1)
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
	cfg.Operator, cfg.Version, cfg.WrapJournalFS = file, cli.Version(), c.wrapJournalFS
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * heapFraction * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	r, err := relay.New(cfg, log, os.Stderr)
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	go func() {
		for {
			select {
			case <-keep:
				r.DumpRecording("SIGUSR1")
			case <-reload:
				if err := r.Reload(relay.ReloadConfig(os.Getenv)); err != nil {
					log.Warn("keeping the configuration", "err", err)
				}
			}
		}
	}()
	return r.Run(ctx)
}
