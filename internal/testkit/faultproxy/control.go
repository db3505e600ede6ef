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
	lineMost = 16 << 10
	waitMost = 10 * time.Minute
	sessions = 16 // with the control socket, at once
)

// Execute carries out one line of the control protocol and returns what is answered, without "ok". The commands are
//
//	add RULE      adds a rule; answers its number
//	remove N      takes rule N away
//	clear         takes all rules away
//	list          answers each rule, by its number
//	target ADDR   has connections from now on go elsewhere
//	stats         answers what has passed
//	struck N      answers how often rule N has struck
//	wait N [D]    waits until rule N has struck, 10s or D at most
//	sleep D       waits
func (p *Proxy) Execute(ctx context.Context, line string) (string, error) {
	name, rest, _ := strings.Cut(strings.TrimSpace(line), " ")
	rest = strings.TrimSpace(rest)
	number := func() (int, error) {
		n, err := strconv.Atoi(rest)
		if err != nil {
			return 0, fmt.Errorf("%s takes the number of a rule, not %q", name, rest)
		}
		return n, nil
	}
	switch name {
	case "add":
		r, err := ParseRule(rest)
		if err != nil {
			return "", err
		}
		id, err := p.AddRule(r)
		return strconv.Itoa(id), err
	case "remove":
		n, err := number()
		if err == nil && !p.RemoveRule(n) {
			err = fmt.Errorf("no rule %d", n)
		}
		return "", err
	case "clear":
		p.ClearRules()
		return "", nil
	case "list":
		var all []string
		rules := p.Rules()
		for _, id := range slices.Sorted(maps.Keys(rules)) {
			all = append(all, fmt.Sprintf("%d %s", id, rules[id]))
		}
		return strings.Join(all, "\n"), nil
	case "target":
		if _, _, err := net.SplitHostPort(rest); err != nil {
			return "", fmt.Errorf("target: %w", err)
		}
		p.SetTarget(rest)
		return "", nil
	case "stats":
		s := p.Stats()
		return fmt.Sprintf("made=%d open=%d up=%d down=%d struck=%d", s.Accepted, s.Active, s.UpstreamBytes, s.DownstreamBytes, s.Triggered), nil
	case "struck":
		n, err := number()
		return strconv.Itoa(p.TriggerCount(n)), err
	case "wait":
		return "", p.wait(ctx, rest)
	case "sleep":
		d, err := time.ParseDuration(rest)
		if err != nil || d < 0 || d > waitMost {
			return "", fmt.Errorf("sleep takes a duration, %v at most", waitMost)
		}
		select {
		case <-time.After(d):
			return "", nil
		case <-ctx.Done():
			return "", ctx.Err()
		}
	}
	return "", fmt.Errorf("unknown command %q", name)
}

func (p *Proxy) wait(ctx context.Context, rest string) error {
	id, limit, _ := strings.Cut(rest, " ")
	n, err := strconv.Atoi(id)
	if err != nil {
		return fmt.Errorf("wait takes the number of a rule, not %q", id)
	}
	d := 10 * time.Second
	if limit != "" {
		if d, err = time.ParseDuration(strings.TrimSpace(limit)); err != nil || d <= 0 || d > waitMost {
			return fmt.Errorf("wait takes a duration, %v at most", waitMost)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	return p.WaitTriggered(ctx, n)
}

// RunScript carries out commands, a line each, until one fails; blank lines and those that begin with # are passed over.
// tell has each answer.
func (p *Proxy) RunScript(ctx context.Context, r io.Reader, tell func(line, answer string)) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, lineMost)
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || line[0] == '#' {
			continue
		}
		answer, err := p.Execute(ctx, line)
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		tell(line, answer)
	}
	return lines.Err()
}

// ServeControl serves the control protocol to whoever connects to l, until ctx ends: a command a line, answered by the lines
// of its answer and "ok", or by "error: " and why.
func (p *Proxy) ServeControl(ctx context.Context, l net.Listener) error {
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	var open sync.WaitGroup
	defer open.Wait()
	room := make(chan struct{}, sessions)
	for {
		c, err := l.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return nil
		case err != nil:
			return fmt.Errorf("sockfault: control: %w", err)
		}
		room <- struct{}{}
		open.Go(func() {
			defer func() { <-room }()
			p.session(ctx, c)
		})
	}
}

func (p *Proxy) session(ctx context.Context, c net.Conn) {
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	defer stop()
	lines := bufio.NewScanner(c)
	lines.Buffer(nil, lineMost)
	for lines.Scan() {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		answer, err := p.Execute(ctx, lines.Text())
		switch {
		case err != nil:
			answer = "error: " + strings.ReplaceAll(err.Error(), "\n", "; ")
		case answer != "":
			answer += "\nok"
		default:
			answer = "ok"
		}
		if _, err := fmt.Fprintln(c, answer); err != nil {
			return
		}
	}
}
