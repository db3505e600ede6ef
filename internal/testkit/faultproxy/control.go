package faultproxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxCommandLength bounds a command line of the control protocol, in bytes.
	maxCommandLength = 16 << 10
	// maxWait bounds the durations of the commands wait and sleep.
	maxWait = 10 * time.Minute
	// defaultWait is how long the command wait waits if its duration argument is omitted.
	defaultWait = 10 * time.Second
	// maxControlSessions bounds the control connections served at once. Further connections wait.
	maxControlSessions = 16
)

// commands are the commands of the control protocol by name. Each receives the text after its name and returns its
// answer.
var commands = map[string]func(p *Proxy, ctx context.Context, argument string) (string, error){
	"add":    (*Proxy).commandAdd,
	"remove": (*Proxy).commandRemove,
	"clear":  (*Proxy).commandClear,
	"list":   (*Proxy).commandList,
	"target": (*Proxy).commandTarget,
	"stats":  (*Proxy).commandStats,
	"struck": (*Proxy).commandStruck,
	"wait":   (*Proxy).commandWait,
	"sleep":  (*Proxy).commandSleep,
}

// Execute executes one line of the control protocol and returns its answer, without "ok". The commands are
//
//	add RULE      adds a rule and returns its number
//	remove N      removes rule N
//	clear         removes all rules
//	list          returns the rules with their numbers
//	target ADDR   sends new connections to another target
//	stats         returns the counts of connections, bytes and triggered rules
//	struck N      returns how often rule N has triggered
//	wait N [D]    waits until rule N has triggered, at most for the duration D (default 10s)
//	sleep D       waits for the duration D
func (p *Proxy) Execute(ctx context.Context, line string) (string, error) {
	name, argument, _ := strings.Cut(strings.TrimSpace(line), " ")
	execute, ok := commands[name]
	if !ok {
		return "", fmt.Errorf("unknown command %q", name)
	}
	return execute(p, ctx, strings.TrimSpace(argument))
}

func (p *Proxy) commandAdd(_ context.Context, argument string) (string, error) {
	rule, err := ParseRule(argument)
	if err != nil {
		return "", err
	}
	id, err := p.AddRule(rule)
	return strconv.Itoa(id), err
}

func (p *Proxy) commandRemove(_ context.Context, argument string) (string, error) {
	id, err := parseRuleID("remove", argument)
	if err != nil {
		return "", err
	}
	if !p.RemoveRule(id) {
		return "", fmt.Errorf("no rule %d", id)
	}
	return "", nil
}

func (p *Proxy) commandClear(context.Context, string) (string, error) {
	p.ClearRules()
	return "", nil
}

func (p *Proxy) commandList(context.Context, string) (string, error) {
	rules := p.Rules()
	lines := make([]string, 0, len(rules))
	for _, id := range slices.Sorted(maps.Keys(rules)) {
		lines = append(lines, fmt.Sprintf("%d %s", id, rules[id]))
	}
	return strings.Join(lines, "\n"), nil
}

func (p *Proxy) commandTarget(_ context.Context, argument string) (string, error) {
	if _, _, err := net.SplitHostPort(argument); err != nil {
		return "", fmt.Errorf("target: %w", err)
	}
	p.SetTarget(argument)
	return "", nil
}

func (p *Proxy) commandStats(context.Context, string) (string, error) {
	s := p.Stats()
	return fmt.Sprintf(
		"made=%d open=%d up=%d down=%d struck=%d",
		s.Accepted, s.Active, s.UpstreamBytes, s.DownstreamBytes, s.Triggered,
	), nil
}

func (p *Proxy) commandStruck(_ context.Context, argument string) (string, error) {
	id, err := parseRuleID("struck", argument)
	if err != nil {
		return "", err
	}
	return strconv.Itoa(p.TriggerCount(id)), nil
}

func (p *Proxy) commandWait(ctx context.Context, argument string) (string, error) {
	idText, limit, _ := strings.Cut(argument, " ")
	id, err := parseRuleID("wait", idText)
	if err != nil {
		return "", err
	}
	timeout := defaultWait
	if limit != "" {
		timeout, err = time.ParseDuration(strings.TrimSpace(limit))
		if err != nil || timeout <= 0 || timeout > maxWait {
			return "", fmt.Errorf("wait takes a duration, %v at most", maxWait)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return "", p.WaitTriggered(ctx, id)
}

func (p *Proxy) commandSleep(ctx context.Context, argument string) (string, error) {
	duration, err := time.ParseDuration(argument)
	if err != nil || duration < 0 || duration > maxWait {
		return "", fmt.Errorf("sleep takes a duration, %v at most", maxWait)
	}
	select {
	case <-time.After(duration):
		return "", nil
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func parseRuleID(command, text string) (int, error) {
	id, err := strconv.Atoi(text)
	if err != nil {
		return 0, fmt.Errorf("%s takes the number of a rule, not %q", command, text)
	}
	return id, nil
}

// RunScript executes the commands of a script, one per line, until one fails. It ignores blank lines and lines that
// begin with #, and passes every other line with its answer to report.
func (p *Proxy) RunScript(ctx context.Context, script io.Reader, report func(line, answer string)) error {
	lines := bufio.NewScanner(script)
	lines.Buffer(nil, maxCommandLength)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		answer, err := p.Execute(ctx, line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		report(line, answer)
	}
	return lines.Err()
}

// ServeControl serves the control protocol on a listener until ctx ends, and closes the listener. A client sends one
// command per line. It receives the lines of the answer and "ok", or "error: " and the reason.
func (p *Proxy) ServeControl(ctx context.Context, listener net.Listener) error {
	stop := context.AfterFunc(ctx, func() { discard(listener) })
	defer stop()
	var sessions sync.WaitGroup
	defer sessions.Wait()
	slots := make(chan struct{}, maxControlSessions)
	for {
		conn, err := listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil
		case err != nil && ctx.Err() == nil:
			return fmt.Errorf("sockfault: control: %w", err)
		case err != nil:
			return nil
		}
		slots <- struct{}{}
		sessions.Go(func() {
			defer func() { <-slots }()
			p.serveControlSession(ctx, conn)
		})
	}
}

func (p *Proxy) serveControlSession(ctx context.Context, conn net.Conn) {
	defer discard(conn)
	stop := context.AfterFunc(ctx, func() { discard(conn) })
	defer stop()
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxCommandLength)
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		answer, err := p.Execute(ctx, lines.Text())
		if _, err := fmt.Fprintln(conn, formatAnswer(answer, err)); err != nil {
			return
		}
	}
}

// formatAnswer returns the lines sent in response to a command.
func formatAnswer(answer string, err error) string {
	switch {
	case err != nil:
		return "error: " + strings.ReplaceAll(err.Error(), "\n", "; ")
	case answer != "":
		return answer + "\nok"
	}
	return "ok"
}
