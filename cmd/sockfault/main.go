// Command sockfault stands between two sockets and spoils what passes, as rules say: see package sockfault.
//
//	sockfault -target 127.0.0.1:3000 'dir=up match="\r\n\r\n" do=reset'
//
// It prints where it listens, and with -control where it takes commands. It ends on SIGINT or SIGTERM.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"onyxroad.dev/onyxroad/internal/sockfault"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
	case err != nil:
		fmt.Fprintln(os.Stderr, "sockfault:", err)
		os.Exit(1)
	}
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	fs := flag.NewFlagSet("sockfault", flag.ContinueOnError)
	fs.SetOutput(stderr)
	listen := fs.String("listen", "127.0.0.1:0", "address to listen on")
	target := fs.String("target", "", "address that connections go to")
	control := fs.String("control", "", "take commands here: a path (a local socket) or a loopback address")
	script := fs.String("script", "", "carry out the commands of this file")
	seed := fs.Uint64("seed", 1, "seed of what garbled bytes become")
	if err := fs.Parse(args); err != nil {
		return err
	}
	if *target == "" {
		return errors.New("-target must be set")
	}
	p, err := sockfault.Start(*listen, *target, *seed)
	if err != nil {
		return err
	}
	defer p.Close()
	for _, text := range fs.Args() {
		r, err := sockfault.ParseRule(text)
		if err != nil {
			return err
		}
		if _, err := p.Add(r); err != nil {
			return err
		}
	}
	fmt.Fprintln(stdout, "listening", p.Addr())
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if *control != "" {
		l, err := controlListener(*control)
		if err != nil {
			return err
		}
		defer l.Close()
		fmt.Fprintln(stdout, "control", l.Addr())
		go func() { cancel(p.Control(ctx, l)) }()
	}
	if *script != "" {
		f, err := os.Open(*script)
		if err != nil {
			return err
		}
		defer f.Close()
		go func() {
			if err := p.Script(ctx, f, func(line, answer string) { fmt.Fprintf(stdout, "%s: %s\n", line, answer) }); err != nil {
				cancel(fmt.Errorf("%s: %w", *script, err))
			}
		}()
	}
	<-ctx.Done()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// controlListener listens at a path or a loopback address. Whoever reaches it can spoil what passes: it is for this
// machine alone.
func controlListener(at string) (net.Listener, error) {
	if strings.Contains(at, "/") {
		return net.Listen("unix", at)
	}
	host, _, err := net.SplitHostPort(at)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("control: %s is no loopback address", host)
	}
	return net.Listen("tcp", at)
}
