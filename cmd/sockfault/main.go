// Command sockfault stands between two sockets and spoils what passes, as rules say: see package sockfault.
//
//	sockfault --target 127.0.0.1:3000 'dir=up match="\r\n\r\n" do=reset'
//
// It prints where it listens, and with --control where it takes commands. It ends on SIGINT or SIGTERM.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

type app struct {
	Version kong.VersionFlag `help:"Print the version and end."`
	Listen  string           `help:"Address to listen on." default:"127.0.0.1:0" placeholder:"ADDR"`
	Target  string           `help:"Address that connections go to." required:"" placeholder:"ADDR"`
	Control string           `help:"Take commands here: a path (a local socket) or a loopback address." placeholder:"PATH|ADDR"`
	Script  string           `help:"Carry out the commands of this file." placeholder:"FILE"`
	Seed    uint64           `help:"Seed of what garbled bytes become." default:"1"`
	Rules   []string         `arg:"" optional:"" name:"rule" help:"Rules in force from the start, such as 'dir=up match=x do=reset'."`
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return cli.Run(ctx, "sockfault", "Stands between two sockets and spoils what passes, as rules say.", &app{}, args,
		cli.Streams{Out: stdout, Err: stderr}, cli.Failed)
}

func (a *app) Run(ctx context.Context, s *cli.Streams) error {
	p, err := faultproxy.Start(a.Listen, a.Target, a.Seed)
	if err != nil {
		return err
	}
	defer p.Close()
	for _, text := range a.Rules {
		r, err := faultproxy.ParseRule(text)
		if err != nil {
			return err
		}
		if _, err := p.AddRule(r); err != nil {
			return err
		}
	}
	fmt.Fprintln(s.Out, "listening", p.Addr())
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if a.Control != "" {
		l, err := controlListener(a.Control)
		if err != nil {
			return err
		}
		defer l.Close()
		fmt.Fprintln(s.Out, "control", l.Addr())
		go func() { cancel(p.ServeControl(ctx, l)) }()
	}
	if a.Script != "" {
		f, err := os.Open(a.Script)
		if err != nil {
			return err
		}
		defer f.Close()
		go func() {
			if err := p.RunScript(ctx, f, func(line, answer string) { fmt.Fprintf(s.Out, "%s: %s\n", line, answer) }); err != nil {
				cancel(fmt.Errorf("%s: %w", a.Script, err))
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
