package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/relayprocess"
)

const (
	// soakSeedsVariable names the number of seeds that TestSoakOfSignals plays.
	soakSeedsVariable = "CHERRYTRESTLE_SOAK_SEEDS"
	// soakFirstVariable names the first of these seeds.
	soakFirstVariable = "CHERRYTRESTLE_SOAK_FIRST"
	defaultSoakSeeds  = 3
	// killDelay is the shortest time from SIGTERM to SIGKILL at a planned restart.
	killDelay = 3700 * time.Millisecond
	// restartDelay is the time from the end of a process to the start of the next one.
	restartDelay = 600 * time.Millisecond
	// finalAnswerGrace is how long after its time a message may get its end, beside restarts.
	finalAnswerGrace = 300*time.Millisecond + 1500*time.Millisecond
	// soakClients is the number of clients that keep their connections and are served.
	soakClients = 8
)

// soakRun is one run of a relay under signals in series, beside clients that use their open connections until the end
// of the process and, in some runs, a crowd of hostile ones. Everything is drawn from a seed.
type soakRun struct {
	t        *testing.T
	random   *rand.Rand
	memoryMB int
	r        *relayProcess
	platform *fakePlatform
	endpoint *fakeEndpoint

	mu       sync.Mutex
	runs     map[string]int       // by message id: how often it ran
	accepted map[string]time.Time // by message id: until when its end is due
	answers  map[int]int          // by status
}

// TestSoakOfSignals plays seeded runs. No accepted message is lost, none that may run once runs twice, and all
// processes together stay within the memory limit. CHERRYTRESTLE_SOAK_SEEDS and CHERRYTRESTLE_SOAK_FIRST choose other
// seeds.
func TestSoakOfSignals(t *testing.T) {
	first, seeds := soakNumber(t, soakFirstVariable, 1), soakNumber(t, soakSeedsVariable, defaultSoakSeeds)
	for seed := first; seed < first+seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) { playSoak(t, uint64(seed)) })
	}
}

func soakNumber(t *testing.T, variable string, otherwise int) int {
	t.Helper()
	text := os.Getenv(variable)
	if text == "" {
		return otherwise
	}
	number, err := strconv.Atoi(text)
	must(t, err)
	return number
}

func playSoak(t *testing.T, seed uint64) {
	s := &soakRun{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 63)),
		runs:     map[string]int{},
		accepted: map[string]time.Time{},
		answers:  map[int]int{},
	}
	s.memoryMB = []int{96, 128, 192}[s.random.IntN(3)]
	s.start()
	var stopped atomic.Bool
	var clients sync.WaitGroup
	for i := range soakClients {
		clients.Go(func() { s.runClient(i, seed, &stopped) })
	}
	ctx, cancel := context.WithCancel(context.Background())
	crowd := s.startCrowd(ctx)
	memory := s.watchMemory(ctx)
	for range 2 + s.random.IntN(2) {
		time.Sleep(time.Duration(200+s.random.IntN(600)) * time.Millisecond)
		s.signal()
	}
	time.Sleep(500 * time.Millisecond)
	stopped.Store(true)
	clients.Wait()
	cancel()
	crowd()
	peak := memory()
	s.checkEnds()
	t.Logf("answers %v, %d messages ran, peak %.0f MB of %d", s.answers, len(s.runs), peak/(1<<20), s.memoryMB)
	if peak > float64(s.memoryMB<<20) {
		t.Errorf("peak memory %.0f MB, limit %d MB", peak/(1<<20), s.memoryMB)
	}
	if s.answers[http.StatusAccepted] == 0 {
		t.Error("no message was accepted")
	}
}

// start starts the endpoint, the platform and the relay, whose listening socket the platform holds.
func (s *soakRun) start() {
	s.endpoint = newEndpoint(s.t, s.answer)
	s.platform = newPlatform(s.t)
	s.r = prepareRelay(s.t, s.endpoint.list(singleKind, "ready"), func(settings map[string]any) {
		withPayments(settings)
		setMaxInFlightCalls(settings, 0)
	})
	s.r.setLimits(s.memoryMB, 1024, 3)
	s.r.start(s.platform)
	restartOnInheritedSocket(s.t, s.r, s.platform)
}

// answer answers a call: some are rejected, and some answers are slow.
func (s *soakRun) answer(w http.ResponseWriter, _ *http.Request, ids []string) {
	time.Sleep(time.Duration(rand.IntN(30)) * time.Millisecond)
	if rand.IntN(20) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.runs[id]++
	}
}

// runClient submits messages on one connection as long as it is open, and then on a new one. Every second client's
// messages may run once only.
func (s *soakRun) runClient(number int, seed uint64, stopped *atomic.Bool) {
	random := rand.New(rand.NewPCG(seed, uint64(1000+number)))
	path := "order"
	if number%2 == 1 {
		path = "pay"
	}
	var conn net.Conn
	var in *bufio.Reader
	for n := 0; !stopped.Load(); n++ {
		time.Sleep(time.Duration(10+random.IntN(40)) * time.Millisecond)
		if conn == nil {
			var err error
			conn, err = net.DialTimeout("tcp", s.r.addr, clientPatience)
			if err != nil {
				continue
			}
			in = bufio.NewReader(conn)
		}
		id := fmt.Sprintf("%s-%d-%d", path, number, n)
		timeLeft := time.Duration(1500+random.IntN(1500)) * time.Millisecond
		if !s.submit(conn, in, path, id, timeLeft, random.IntN(4000)) {
			closeQuietly(conn)
			conn = nil
		}
	}
	if conn != nil {
		closeQuietly(conn)
	}
}

// submit submits a message and records its answer. It returns false if the connection has ended.
func (s *soakRun) submit(
	conn net.Conn, in *bufio.Reader, path, id string, timeLeft time.Duration, size int,
) (open bool) {
	sent := time.Now()
	must(s.t, conn.SetDeadline(sent.Add(clientPatience)))
	const form = "POST /%s HTTP/1.1\r\nHost: x\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nX-Customer: acme\r\n" +
		"Idempotency-Key: %s\r\nX-Expires-In-Ms: %d\r\nEnvelope: dest=7\r\nContent-Length: %d\r\n\r\n%s"
	body := strings.Repeat("b", size)
	writeQuietly(conn, fmt.Sprintf(form, path, id, path, id, timeLeft.Milliseconds(), size, body))
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return false
	}
	drain(response.Body)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[response.StatusCode]++
	if response.StatusCode == http.StatusAccepted {
		s.accepted[id] = sent.Add(timeLeft)
	}
	return !response.Close
}

// startCrowd starts a crowd of hostile or idle clients, in two of three runs.
func (s *soakRun) startCrowd(ctx context.Context) (wait func()) {
	acts := append(hostileActs(), hostileAct{
		name: "idle", run: sendAndStay("GET /_health HTTP/1.1\r\nHost: x\r\n\r\n"),
	})
	act := acts[s.random.IntN(len(acts))]
	clients := []int{0, 300, 900}[s.random.IntN(3)]
	s.t.Logf("%d MB, crowd of %d: %s", s.memoryMB, clients, act.name)
	return startHostileClients(ctx, s.r.addr, clients, act)
}

// signal interrupts the relay in one way or another.
func (s *soakRun) signal() {
	switch kind := s.random.IntN(5); kind {
	case 0:
		s.t.Log("SIGKILL")
		s.r.kill()
		time.Sleep(restartDelay)
		s.startProcess()
	case 1:
		s.t.Log("SIGTERM, SIGKILL")
		s.terminate()
		time.Sleep(restartDelay)
		s.startProcess()
	case 2:
		s.t.Log("SIGHUP in series")
		for range 1 + s.random.IntN(3) {
			s.r.writeConfig()
			s.r.signal(syscall.SIGHUP)
			time.Sleep(time.Duration(s.random.IntN(300)) * time.Millisecond)
		}
	case 3:
		s.t.Log("upgrade")
		s.upgrade()
	case 4:
		s.t.Log("SIGHUP, SIGKILL")
		s.r.signal(syscall.SIGHUP)
		time.Sleep(time.Duration(s.random.IntN(900)) * time.Millisecond)
		s.r.kill()
		time.Sleep(restartDelay)
		s.startProcess()
	}
}

// startProcess starts the next process, and waits until it is ready.
func (s *soakRun) startProcess() {
	management := s.r.setManagement()
	s.r.start(s.platform)
	waitReady(s.t, management)
}

// terminate sends SIGTERM, and SIGKILL at the earliest time that the platform allows.
func (s *soakRun) terminate() {
	cmd := s.r.cmd
	s.r.signal(syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err != nil {
			s.t.Errorf("the process ended with %v after SIGTERM", err)
		}
	case <-time.After(killDelay):
		s.t.Error("the process had not ended when SIGKILL was due")
		must(s.t, cmd.Process.Kill())
		s.t.Logf("killed: %v", <-ended)
	}
	s.r.cmd = nil
}

// upgrade hands over to a second process.
func (s *soakRun) upgrade() {
	ended, _ := s.r.hotRestart(s.platform)
	if err := <-ended; err != nil {
		s.t.Errorf("the process that handed over ended with %v", err)
	}
}

// watchMemory samples the resident memory of all processes together until ctx ends. The returned function then returns
// the highest sum, in bytes.
func (s *soakRun) watchMemory(ctx context.Context) (highest func() float64) {
	var peak float64
	var watching sync.WaitGroup
	watching.Go(func() {
		for ctx.Err() == nil {
			peak = max(peak, s.residentMemory())
			time.Sleep(10 * time.Millisecond)
		}
	})
	return func() float64 {
		watching.Wait()
		return peak
	}
}

// residentMemory returns the resident memory of all processes of the relay, in bytes.
func (s *soakRun) residentMemory() (sum float64) {
	for _, pid := range childProcesses(s.t) {
		resident, err := relayprocess.Memory(pid, relayprocess.ResidentMemory)
		if err == nil { // otherwise the process has just ended
			sum += resident
		}
	}
	return sum
}

// childProcesses returns the ids of the processes that this process has started.
func childProcesses(t *testing.T) (children []int) {
	t.Helper()
	files, err := filepath.Glob("/proc/[0-9]*/stat")
	must(t, err)
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			continue // the process has just ended
		}
		fields := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:])) // state, parent, ...
		if len(fields) < 2 || fields[1] != strconv.Itoa(os.Getpid()) {
			continue
		}
		pid, err := strconv.Atoi(filepath.Base(filepath.Dir(file)))
		must(t, err)
		children = append(children, pid)
	}
	return children
}

// checkEnds waits until all accepted messages have their end, and checks that none ran more often than it may.
func (s *soakRun) checkEnds() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, due := range s.accepted {
		for s.runs[id] == 0 && s.platform.notification(id) == nil && time.Now().Before(due.Add(finalAnswerGrace)) {
			s.mu.Unlock()
			time.Sleep(10 * time.Millisecond)
			s.mu.Lock()
		}
		if s.runs[id] == 0 && s.platform.notification(id) == nil {
			s.t.Errorf("%s was accepted, and has no end", id)
		}
	}
	for id, runs := range s.runs {
		if runs > 1 && strings.HasPrefix(id, "pay") {
			s.t.Errorf("%s ran %d times", id, runs)
		}
	}
}
