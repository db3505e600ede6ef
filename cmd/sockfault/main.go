// Command sockfault is a proxy between two sockets that injects faults by rules: see package faultproxy.
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
	"sync"
	"syscall"

	"github.com/alecthomas/kong"

	"cherrytrestle.example/cherrytrestle/internal/cli"
	"cherrytrestle.example/cherrytrestle/internal/testkit/faultproxy"
)

const about = "Stands between two sockets and spoils what passes, as rules say."

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}

// app is the command line.
type app struct {
	Version kong.VersionFlag `help:"Print the version and end."`

	Listen string `default:"127.0.0.1:0" placeholder:"ADDR" help:"Address to listen on."`
	Target string `required:"" placeholder:"ADDR" help:"Address that connections go to."`

	Control string `placeholder:"PATH|ADDR" help:"Take commands here: a path (a local socket) or a loopback address."`
	Script  string `placeholder:"FILE" help:"Carry out the commands of this file."`
	Seed    uint64 `default:"1" help:"Seed of what garbled bytes become."`

	Rule []string `arg:"" optional:"" help:"Rules in force from the start, such as 'dir=up match=x do=reset'."`
}

func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return cli.Run(ctx, "sockfault", about, &app{}, args, cli.Streams{Out: stdout, Err: stderr}, cli.Failed)
}

// Run serves until ctx ends or the control socket or the script fails.
func (a *app) Run(ctx context.Context, streams *cli.Streams) error {
	proxy, err := faultproxy.Start(a.Listen, a.Target, a.Seed)
	if err != nil {
		return err
	}
	defer discard(proxy)
	if err := a.addRules(proxy); err != nil {
		return err
	}
	report(streams.Out, "listening", proxy.Addr())
	ctx, cancel := context.WithCancelCause(ctx)
	var background sync.WaitGroup
	defer background.Wait()
	defer cancel(nil)
	if a.Control != "" {
		listener, err := listenControl(a.Control)
		if err != nil {
			return err
		}
		report(streams.Out, "control", listener.Addr().String())
		background.Go(func() { cancel(proxy.ServeControl(ctx, listener)) })
	}
	if a.Script != "" {
		script, err := os.Open(a.Script)
		if err != nil {
			return err
		}
		context.AfterFunc(ctx, func() { discard(script) }) // which ends a read that waits, too
		background.Go(func() {
			err := proxy.RunScript(ctx, script, func(line, answer string) { report(streams.Out, line+":", answer) })
			if err != nil {
				cancel(fmt.Errorf("%s: %w", a.Script, err))
			}
		})
	}
	<-ctx.Done()
	if err := context.Cause(ctx); !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}

// addRules adds the rules of the command line.
func (a *app) addRules(proxy *faultproxy.Proxy) error {
	for _, text := range a.Rule {
		rule, err := faultproxy.ParseRule(text)
		if err != nil {
			return err
		}
		if _, err := proxy.AddRule(rule); err != nil {
			return err
		}
	}
	return nil
}

// listenControl listens at a path or a loopback address. Whoever reaches it can inject faults: it is for this machine
// alone.
func listenControl(addr string) (net.Listener, error) {
	if strings.Contains(addr, "/") {
		return net.Listen("unix", addr)
	}
	host, _, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, fmt.Errorf("control: %w", err)
	}
	if ip := net.ParseIP(host); ip == nil || !ip.IsLoopback() {
		return nil, fmt.Errorf("control: %s is no loopback address", host)
	}
	return net.Listen("tcp", addr)
}

// report prints a line of a name and a value.
func report(out io.Writer, name, value string) {
	_, _ = fmt.Fprintln(out, name, value) // an error: nobody reads it, and the proxy goes on serving
}

// discard closes what is not needed any more.
func discard(closer io.Closer) {
	_ = closer.Close() // an error: nothing depends on it, the program ends
}
