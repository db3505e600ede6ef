package main

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io/fs"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

var (
	full     = flag.Bool("full", false, "scale tests at all their sizes, for some minutes and gigabytes")
	sizes    = flag.String("sizes", "", "with -full: a JSON array of the sizes instead of the usual ones")
	readings = flag.String("readings", "", "file that readings of the scale tests are added to, one JSON object a line")
)

// testSizes returns the sizes to measure: the short ones, or with -full the long ones.
func testSizes(t *testing.T, short []int, long ...int) []int {
	if !*full {
		return short
	}
	if *sizes != "" {
		var own []int
		must(t, json.Unmarshal([]byte(*sizes), &own))
		return own
	}
	return long
}

// recordReading logs a reading, and keeps it where one asked for that.
func recordReading(t *testing.T, what string, n int, values map[string]float64) {
	t.Helper()
	text := fmt.Sprintf("%s, %d:", what, n)
	for _, name := range slices.Sorted(maps.Keys(values)) {
		text += fmt.Sprintf(" %s %.4g", name, values[name])
	}
	t.Log(text)
	if *readings == "" {
		return
	}
	line, err := json.Marshal(map[string]any{"what": what, "n": n, "values": values})
	must(t, err)
	f, err := os.OpenFile(*readings, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	must(t, err)
	defer f.Close()
	_, err = f.Write(append(line, '\n'))
	must(t, err)
}

// discoveryServer is discovery's agent with a list that is written once, however large it is.
type discoveryServer struct {
	*httptest.Server
	fullList []byte // is sent to who has an older version
	version  int    // of it

	mu      sync.Mutex
	changes [][]byte          // by version, from the next on
	changed chan struct{}     // closed, and made anew, with each
	finals  map[string]string // status by id
}

func newDiscoveryServer(t *testing.T, version int, list []listEntry) *discoveryServer {
	t.Helper()
	whole, err := json.Marshal(map[string]any{"version": version, "full": true, "servers": list})
	must(t, err)
	a := &discoveryServer{
		fullList: append(whole, '\n'),
		version:  version,
		changed:  make(chan struct{}),
		finals:   map[string]string{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /catalog/members", func(w http.ResponseWriter, r *http.Request) {
		has, err := strconv.Atoi(r.URL.Query().Get("index"))
		if err != nil || has < version {
			has = version
			w.Write(a.fullList)
		}
		for beat := time.NewTicker(500 * time.Millisecond); r.URL.Query().Get("stream") != ""; {
			a.mu.Lock()
			lines, more := a.changes[has-version:], a.changed
			a.mu.Unlock()
			for _, line := range lines {
				w.Write(line)
			}
			has += len(lines)
			w.(http.Flusher).Flush()
			select {
			case <-more:
			case <-beat.C:
				fmt.Fprintln(w)
			case <-r.Context().Done():
				beat.Stop()
				return
			}
		}
	})
	mux.HandleFunc("POST /v2/finals", func(w http.ResponseWriter, r *http.Request) {
		a.mu.Lock()
		defer a.mu.Unlock()
		for lines := json.NewDecoder(r.Body); ; {
			var f struct{ ID, Status string }
			if err := lines.Decode(&f); err != nil {
				break // the end, or a notice that comes once more
			}
			a.finals[f.ID] = f.Status
		}
		w.WriteHeader(http.StatusNoContent)
	})
	a.Server = httptest.NewServer(mux)
	t.Cleanup(func() { a.CloseClientConnections(); a.Close() })
	return a
}

// destinationEntries lists destinations of two endpoints each, each at an address of its own where none is given.
func destinationEntries(from, to int, addr string) (list []listEntry) {
	for d := from; d < to; d++ {
		for k := range 2 {
			// nobody is there, nor called
			own := cmp.Or(addr, fmt.Sprintf("127.%d.%d.%d:%d", 1+d>>16, d>>8&255, d&255, 9000+k))
			list = append(list, listEntry{
				"id": fmt.Sprintf(
					"s-%06d-%d",
					d,
					k,
				), "addr": own, "zone": "ab"[k : k+1], "kind": "platform", "cell": d, "state": "ready", "weight": 8.6,
			})
		}
	}
	return list
}

// cpuTime is the processor time that the process has used.
func (r *relayProcess) cpuTime() time.Duration {
	r.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.cmd.Process.Pid))
	must(r.t, err)
	_, rest, _ := bytes.Cut(data, []byte(") "))
	fields := strings.Fields(string(rest)) // from the third on
	sum := 0
	for _, f := range fields[11:13] {
		n, err := strconv.Atoi(f)
		must(r.t, err)
		sum += n
	}
	return time.Duration(sum) * 10 * time.Millisecond // the system's clock tick
}

// memory is what the process holds or held at the most, in MB: VmRSS or VmHWM.
func (r *relayProcess) memory(which string) float64 {
	r.t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.cmd.Process.Pid))
	must(r.t, err)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, which+":"); ok {
			kb, err := strconv.Atoi(strings.Fields(value)[0])
			must(r.t, err)
			return float64(kb) * 1024 / 1e6
		}
	}
	r.t.Fatalf("no %s", which)
	return 0
}

// disk is what the files of the relay's folder hold, in MB.
func (r *relayProcess) disk() (mb float64) {
	err := filepath.WalkDir(filepath.Join(r.dir, "state"), func(_ string, e fs.DirEntry, err error) error {
		if err != nil || e.IsDir() {
			return err
		}
		info, err := e.Info()
		if errors.Is(err, fs.ErrNotExist) {
			return nil
		} else if err == nil {
			mb += float64(info.Size()) / 1e6
		}
		return err
	})
	must(r.t, err)
	return mb
}

// healthMonitor asks for the relay's health without pause until stop is closed: when it was ready first, and the longest that
// an answer took or that lay between two, once there was one.
type healthMonitor struct {
	began   time.Time
	stop    chan struct{}
	done    sync.WaitGroup
	ready   atomic.Int64 // nanoseconds since began; 0: not yet
	longest atomic.Int64
}

func (r *relayProcess) monitorHealth() *healthMonitor {
	h := &healthMonitor{began: time.Now(), stop: make(chan struct{})}
	client := &http.Client{Timeout: 30 * time.Second}
	h.done.Go(func() {
		defer client.CloseIdleConnections()
		var last time.Time
		for {
			select {
			case <-h.stop:
				return
			case <-time.After(2 * time.Millisecond):
			}
			res, err := client.Get("http://" + r.addr + "/_health")
			if err != nil {
				continue // it does not listen yet
			}
			res.Body.Close()
			now := time.Now()
			if !last.IsZero() {
				h.longest.Store(max(h.longest.Load(), int64(now.Sub(last))))
			}
			last = now
			if res.StatusCode == http.StatusOK {
				h.ready.CompareAndSwap(0, int64(now.Sub(h.began)))
			}
		}
	})
	r.t.Cleanup(h.end)
	return h
}

func (h *healthMonitor) end() {
	select {
	case <-h.stop:
	default:
		close(h.stop)
	}
	h.done.Wait()
}

// untilReady waits for it for so long at most.
func (h *healthMonitor) untilReady(most time.Duration) bool {
	for h.ready.Load() == 0 && time.Since(h.began) < most {
		time.Sleep(2 * time.Millisecond)
	}
	return h.ready.Load() != 0
}

const (
	maxCatalogMemoryMB = 128 // MB, at the highest, at any size of the list
	readyTimeout       = 30 * time.Second
)

// A relay starts with a list of many destinations, by discovery or as it last had it, serves health meanwhile, and
// obeys a change of one entry.
func TestLargeCatalog(t *testing.T) {
	for _, how := range []string{"listed", "known"} {
		for _, n := range testSizes(t, []int{20000}, 1000, 10000, 50000, 140000) {
			t.Run(fmt.Sprintf("%s, %d", how, n), func(t *testing.T) {
				values := map[string]float64{}
				defer func() { recordReading(t, "catalog "+how, n, values) }()
				h := newEndpoint(t, nil)
				list := destinationEntries(0, n, "")
				version, known := 2, []listEntry(nil) // a relay's own file has version 1
				if how == "known" {
					version, known = 1, list
				}
				a := newDiscoveryServer(t, version, list)
				r := prepareRelay(t, known, nil)
				list = nil
				r.config = nil // as large as the list
				r.launch(&platform{Server: a.Server})
				follow := r.monitorHealth()
				ready := follow.untilReady(readyTimeout)
				values["ready"], values["memory_most_mb"], values["memory_mb"] = 0, r.memory("VmHWM"), r.memory("VmRSS")
				values["processor_s"] = r.cpuTime().Seconds()
				values["health_longest_ms"] = float64(follow.longest.Load()) / 1e6
				if !ready {
					t.Fatalf("not ready after %v", readyTimeout)
				}
				values["ready"], values["ready_s"] = 1, time.Duration(follow.ready.Load()).Seconds()
				// A destination more: from when it is told until a message to it is taken.
				a.publish(t, destinationEntries(n, n+1, h.addr())...)
				told := time.Now()
				to := func(q *http.Request) { q.Header.Set("Envelope", fmt.Sprintf("dest=%d", n)) }
				for i := 0; ; i++ {
					if status, _ := r.submit(fmt.Sprint("m", i), 10*time.Second, to); status == http.StatusAccepted {
						break
					} else if time.Since(told) > conditionTimeout {
						t.Fatal("the change is not obeyed")
					}
				}
				values["change_obeyed_ms"] = time.Since(told).Seconds() * 1000
				eventually(t, "delivered", func() bool { h.mu.Lock(); defer h.mu.Unlock(); return h.calls > 0 })
				follow.end()
				values["memory_most_mb"], values["health_longest_all_ms"] = r.memory(
					"VmHWM",
				), float64(
					follow.longest.Load(),
				)/1e6
				if most := values["memory_most_mb"]; most > maxCatalogMemoryMB {
					t.Errorf("%.0f MB at the most, %d wanted", most, maxCatalogMemoryMB)
				}
			})
		}
	}
}

// publish has all that watch told of a change.
func (a *discoveryServer) publish(t *testing.T, changes ...listEntry) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	line, err := json.Marshal(
		map[string]any{"version": a.version + len(a.changes) + 1, "full": false, "servers": changes},
	)
	must(t, err)
	a.changes = append(a.changes, append(line, '\n'))
	close(a.changed)
	a.changed = make(chan struct{})
}

// submitMany hands in messages from first to last over so many connections, to destinations in turn, and returns how many
// were not taken.
func (r *relayProcess) submitMany(first, last, destinations, connections int) (refused int64) {
	var next, not atomic.Int64
	next.Store(int64(first))
	var clients sync.WaitGroup
	transport := &http.Transport{MaxIdleConnsPerHost: connections}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 30 * time.Second}
	for range connections {
		clients.Go(func() {
			for i := next.Add(1) - 1; i < int64(last); i = next.Add(1) - 1 {
				req := r.request(
					traceID(int(i)),
					8*time.Hour,
					func(q *http.Request) { q.Header.Set("Envelope", fmt.Sprintf("dest=%d", i%int64(destinations))) },
				)
				res, err := client.Do(req)
				if err != nil {
					not.Add(1)
					continue
				}
				if res.Body.Close(); res.StatusCode != http.StatusAccepted {
					not.Add(1)
				}
			}
		})
	}
	clients.Wait()
	return not.Load()
}

// A relay holds many messages for hosts that are down, is killed and started again, and holds them all still. What a
// message costs as more are held is told, and held to nothing here: the machine has other work.
func TestBacklog(t *testing.T) {
	for _, destinations := range []int{1, 100, 2240} {
		for _, n := range testSizes(t, []int{2000}, 10000, 50000, 100000) {
			t.Run(
				fmt.Sprintf("%d destinations, %d", destinations, n),
				func(t *testing.T) { testBacklog(t, n, destinations) },
			)
		}
	}
}

func testBacklog(t *testing.T, n, destinations int) {
	values := map[string]float64{}
	defer func() { recordReading(t, fmt.Sprintf("backlog for %d destinations", destinations), n, values) }()
	down, err := net.Listen("tcp", "127.0.0.1:0")
	must(t, err)
	addr := down.Addr().String()
	must(t, down.Close())
	list := destinationEntries(0, destinations, addr)
	a := newDiscoveryServer(t, 1, list)
	r := prepareRelay(t, list, func(set map[string]any) {
		set["bounds"].(map[string]any)["open_cap"] = n + n/2
		set["bounds"].(map[string]any)["send_cap"] = 0 // none ends for its attempts
		set["services"].([]map[string]any)[0]["give_up_ms"] = 24 * 3600 * 1000
	})
	r.config["limits"] = map[string]any{"cores": 1, "memory_mb": 192 + n/50, "sockets": 256, "disk_mb": 3 + n/500}
	r.client.Timeout = 30 * time.Second
	second := withManagement(t, r)
	p := &platform{Server: a.Server}
	r.start(p)
	const parts = 10
	refused, last := int64(0), r.cpuTime()
	for k := range parts {
		began := time.Now()
		first, end := k*n/parts, (k+1)*n/parts
		refused += r.submitMany(first, end, destinations, 32)
		now := r.cpuTime()
		if k == 0 || k == parts/2 || k == parts-1 {
			values[fmt.Sprintf("processor_us_per_message_part_%02d", k+1)] = float64(
				(now - last).Microseconds(),
			) / float64(
				end-first,
			)
			values[fmt.Sprintf("accepted_per_s_part_%02d", k+1)] = float64(end-first) / time.Since(began).Seconds()
		}
		last = now
	}
	values["refused"], values["memory_mb"], values["memory_most_mb"], values["disk_mb"] = float64(
		refused,
	), r.memory(
		"VmRSS",
	), r.memory(
		"VmHWM",
	), r.disk()
	time.Sleep(2 * time.Second) // what it spends while they wait
	values["processor_ms_per_s_waiting"] = float64((r.cpuTime() - last).Milliseconds()) / 2
	r.kill()
	r.launch(p)
	follow := r.monitorHealth()
	if !follow.untilReady(2 * time.Minute) {
		t.Fatal("not ready again after 2 minutes")
	}
	values["restart_ready_s"], values["restart_memory_most_mb"] = time.Duration(follow.ready.Load()).
		Seconds(),
		r.memory(
			"VmHWM",
		)
	values["restart_processor_s"] = r.cpuTime().Seconds()
	follow.end()
	if refused > 0 {
		t.Errorf("%d of %d were not taken", refused, n)
	}
	held, ended, byStatus := 0, 0, map[string]int{}
	defer func() { t.Logf("%d held, %d ended: %v", held, ended, byStatus) }()
	eventually(t, "each message is held or has ended with a notice", func() bool {
		held, err = strconv.Atoi(metric(t, second, "pending"))
		must(t, err)
		a.mu.Lock()
		defer a.mu.Unlock()
		clear(byStatus)
		for _, status := range a.finals {
			byStatus[status]++
		}
		ended = len(a.finals)
		return held+ended == n-int(refused)
	})
	if held < n*9/10 {
		t.Errorf("only %d of %d are held: the test shows little", held, n)
	}
}

// Many relays follow one large list under load. An endpoint is drained right behind a change of half of all entries:
// nothing new goes to it from 1 s after that was told, at any of them, and what was taken is delivered.
func TestManyRelaysOfOneCatalog(t *testing.T) {
	destinations := 2000
	if *full {
		destinations = 50000
	}
	for _, n := range testSizes(t, []int{3}, 30) {
		t.Run(
			fmt.Sprintf("%d relays, %d destinations", n, destinations),
			func(t *testing.T) { testManyRelays(t, n, destinations) },
		)
	}
}

func testManyRelays(t *testing.T, n, destinations int) {
	values := map[string]float64{}
	defer func() { recordReading(t, fmt.Sprintf("relays of %d destinations", destinations), n, values) }()
	leaves, stays := newEndpoint(t, nil), newEndpoint(t, nil)
	list := destinationEntries(0, destinations, "")
	list[0]["addr"], list[1]["addr"], list[0]["weight"], list[1]["weight"] = leaves.addr(), stays.addr(), 9000.0, 5000.0
	a := newDiscoveryServer(t, 2, list)
	p := &platform{Server: a.Server}
	relays, follow := make([]*relayProcess, n), make([]*healthMonitor, n)
	for i := range relays {
		relays[i] = prepareRelay(t, nil, func(set map[string]any) { set["fleet_size"] = n })
		relays[i].launch(p)
		follow[i] = relays[i].monitorHealth()
	}
	for i, h := range follow {
		if !h.untilReady(readyTimeout) {
			t.Fatalf("relay %d is not ready after %v", i, readyTimeout)
		}
		values["ready_s"] = max(values["ready_s"], time.Duration(h.ready.Load()).Seconds())
	}
	var load sync.WaitGroup
	var taken, turnedAway atomic.Int64
	stop := make(chan struct{})
	for i, r := range relays {
		load.Go(func() {
			for k := 0; ; k++ {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
				}
				res, err := r.client.Do(
					r.request(
						fmt.Sprintf("m-%d-%d", i, k),
						15*time.Second,
						func(q *http.Request) { q.Header.Set("Envelope", "dest=0") },
					),
				)
				if err != nil {
					turnedAway.Add(1)
					continue
				}
				if res.Body.Close(); res.StatusCode == http.StatusAccepted {
					taken.Add(1)
				} else {
					turnedAway.Add(1)
				}
			}
		})
	}
	calls := func(h *endpoint) int { h.mu.Lock(); defer h.mu.Unlock(); return h.calls }
	eventually(t, "the endpoint that will leave is called", func() bool { return calls(leaves) >= 5*n })
	half := list[2 : 2+destinations]
	for _, m := range half {
		m["weight"] = 9.1
	}
	list[0]["state"] = "draining"
	a.publish(t, half...)
	a.publish(t, list[0])
	told := time.Now()
	time.Sleep(3 * time.Second)
	close(stop)
	load.Wait()
	ids := map[string]bool{}
	eventually(t, "all that was taken is delivered", func() bool {
		for _, h := range []*endpoint{leaves, stays} {
			h.mu.Lock()
			for _, id := range h.seen {
				ids[id] = true
			}
			h.mu.Unlock()
		}
		return len(ids) >= int(taken.Load())
	})
	leaves.mu.Lock()
	last := slices.MaxFunc(leaves.at, time.Time.Compare).Sub(told)
	leaves.mu.Unlock()
	if calls(stays) == 0 {
		t.Error("nothing goes to the endpoint that stays")
	}
	if last > time.Second {
		t.Errorf("called %v after its drain was told", last)
	}
	values["last_call_to_the_drained_ms"], values["taken"], values["turned_away"] = float64(
		last.Milliseconds(),
	), float64(
		taken.Load(),
	), float64(
		turnedAway.Load(),
	)
	for i, r := range relays {
		follow[i].end()
		values["memory_most_mb"] = max(values["memory_most_mb"], r.memory("VmHWM"))
		values["health_longest_ms"] = max(values["health_longest_ms"], float64(follow[i].longest.Load())/1e6)
		values["processor_s"] += r.cpuTime().Seconds() / float64(n)
	}
	if most := values["memory_most_mb"]; most > maxCatalogMemoryMB {
		t.Errorf("%.0f MB at the most, %d wanted", most, maxCatalogMemoryMB)
	}
}
