// Command cherrytrestle is the relay: it takes messages from clients and delivers each by a call to a host of
// its destination. The environment tells it all; see package relay.
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

	"onyxroad.dev/onyxroad/internal/relay"
)

// heapShare is the part of the memory limit that the heap may grow to; the rest is for stacks, the program
// itself and the files of the log.
const heapShare = 0.7

func main() {
	if err := run(); err != nil {
		slog.Error("stopped", "err", err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	reload := make(chan os.Signal, 1) // caught from the start: unhandled, SIGHUP ends the process
	signal.Notify(reload, syscall.SIGHUP)
	cfg, err := relay.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * heapShare * (1 << 20)))
	runtime.GOMAXPROCS(max(1, int(cfg.Limits.Cores)))
	r, err := relay.New(cfg, slog.Default())
	if err != nil {
		return fmt.Errorf("start: %w", err)
	}
	go func() {
		for range reload {
			cfg, err := relay.ReloadConfig(os.Getenv)
			if err != nil {
				slog.Warn("keeping the configuration", "err", err)
				continue
			}
			r.Reload(cfg)
		}
	}()
	return r.Run(ctx)
}
