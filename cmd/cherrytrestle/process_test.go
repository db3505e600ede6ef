package main

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

// relayProcess is a relay under its name and address, over its restarts.
type relayProcess struct {
	program string // "": this one
	t       testing.TB
	dir     string
	addr    string
	cmd     *exec.Cmd
	client  *http.Client
	config  map[string]any
	socket  *os.File // that clients connect to, if the platform holds it
	env     []string // beside what the platform sets
}

// newRelay starts a relay; change may alter the settings.
func newRelay(t testing.TB, p *platform, known []listEntry, change func(settings map[string]any)) *relayProcess {
	r := prepareRelay(t, known, change)
	r.start(p)
	return r
}

// prepareRelay writes a relay's configuration.
func prepareRelay(t testing.TB, known []listEntry, change func(settings map[string]any)) *relayProcess {
	settings := relayprocess.BaseSettings()
	settings["extra"] = map[string]any{
		"call_slots":      8,
		"per_call":        []int{10, 1},
		"separate_routes": []bool{false, true},
	}
	settings["kinds"] = []string{"platform", "gateway"}
	if change != nil {
		change(settings)
	}
	// An address of its own: while the relay is down nobody else of this machine takes its port, as all that connect
	// from 127.0.0.1 might.
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(254), rand.IntN(256), 1+rand.IntN(254)))
	must(t, err)
	r := &relayProcess{t: t, dir: t.TempDir(), addr: l.Addr().String(), client: &http.Client{Timeout: 2 * time.Second}}
	must(t, closeForChild(l))
	must(t, os.Mkdir(relayprocess.StateFolder(r.dir), 0o700))
	r.config = map[string]any{
		"name": "n0", "seed": "8c1f30d27a5be964", "settings": settings,
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 256, "disk_mb": 3},
		"known":  map[string]any{"version": 1, "full": true, "servers": known},
	}
	r.writeConfig()
	t.Cleanup(func() {
		if r.cmd != nil {
			r.kill()
		}
		if t.Failed() {
			log, _ := os.ReadFile(filepath.Join(r.dir, "log"))
			t.Logf("the relay's log:\n%s", log)
		}
	})
	return r
}

func (r *relayProcess) writeConfig() {
	r.t.Helper()
	must(r.t, relayprocess.WriteConfig(r.dir, r.config))
}

// start starts a process and waits until it is ready.
func (r *relayProcess) start(p *platform) {
	r.t.Helper()
	r.launch(p)
	if r.socket != nil {
		return // clients find out
	}
	eventually(r.t, "ready", func() bool { return relayprocess.Ready(r.client, r.addr) })
}

// launch starts a process.
func (r *relayProcess) launch(p *platform) {
	r.t.Helper()
	log, err := os.OpenFile(filepath.Join(r.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(r.t, err)
	defer closeQuietly(log)
	r.cmd = relayprocess.Command(context.Background(), relayprocess.Settings{
		Program:   cmp.Or(r.program, os.Args[0]),
		Folder:    r.dir,
		Addr:      r.addr,
		Discovery: p.Listener.Addr().String(),
	})
	r.cmd.Stderr = log
	r.cmd.Env = append(r.cmd.Env, "CHERRYTRESTLE_TEST_RELAY=1")
	if r.socket != nil {
		r.cmd.ExtraFiles = []*os.File{r.socket}
		r.cmd.Env = append(r.cmd.Env, "ROUTER_INHERITED_FD=3")
	}
	r.cmd.Env = append(r.cmd.Env, r.env...)
	must(r.t, r.cmd.Start())
}

func (r *relayProcess) kill() {
	killProcess(r.cmd)
	r.cmd = nil
	r.client.CloseIdleConnections()
}

// request makes a request that submits a message; edit may change it.
func (r *relayProcess) request(id string, expires time.Duration, edit func(*http.Request)) *http.Request {
	req, err := relayprocess.Submission{
		ID:          id,
		Destination: 7,
		TimeLeft:    expires,
		Body:        strings.NewReader("body"),
	}.NewRequest(context.Background(), r.addr)
	must(r.t, err)
	if edit != nil {
		edit(req)
	}
	return req
}

// submit submits a message and returns the answer's status and advice.
func (r *relayProcess) submit(id string, expires time.Duration, edit func(*http.Request)) (int, string) {
	r.t.Helper()
	res, err := r.client.Do(r.request(id, expires, edit))
	must(r.t, err)
	drain(res.Body)
	closeQuietly(res.Body)
	return res.StatusCode, res.Header.Get("Retry-After")
}

func (r *relayProcess) mustAccept(id string, expires time.Duration) {
	r.t.Helper()
	if status, _ := r.submit(id, expires, nil); status != http.StatusAccepted {
		r.t.Fatalf("%s: status %d", id, status)
	}
}

// terminate sends SIGTERM and returns how the process ended.
func (r *relayProcess) terminate() error {
	signalQuietly(r.cmd, syscall.SIGTERM)
	return r.wait()
}

// wait returns how the process ended.
func (r *relayProcess) wait() error {
	err := r.cmd.Wait()
	r.cmd = nil
	r.client.CloseIdleConnections()
	return err
}
