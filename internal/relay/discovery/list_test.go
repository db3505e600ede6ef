package discovery

import (
	"bytes"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery/backoff"
	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// newAgent starts an agent that serves snapshot as the full list. It answers each watch with the next text of watches
// and then ends the watch, except that the last one stays open. indexes receives the query parameter "index" of each
// watch.
func newAgent(t *testing.T, snapshot string, watches ...string) (addr string, indexes <-chan string) {
	t.Helper()
	var mu sync.Mutex
	received, n := make(chan string, 64), 0
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("stream") == "" {
			send(w, snapshot)
			return
		}
		received <- r.URL.Query().Get("index")
		mu.Lock()
		text := ""
		if n < len(watches) {
			text = watches[n]
		}
		n++
		last := n >= len(watches)
		mu.Unlock()
		send(w, text)
		if last {
			<-r.Context().Done()
		}
	})
	return addrOf(s), received
}

// watch runs a watcher of the agent at addr until ok holds for the lists delivered so far, and returns these lists.
func watch(t *testing.T, addr string, log *slog.Logger, version int64, ok func([]List) bool) (delivered []List) {
	t.Helper()
	lists := make(chan List, 64)
	w := NewWatcher(Config{
		Log:         log,
		Client:      NewClient(addr),
		IdleTimeout: nettest.Patience,
		Version:     version,
		Parser:      testParser(),
		OnUpdate:    func(l List) { lists <- l },
		Backoff:     backoff.Backoff{Clients: 1},
	})
	start(t, w)
	for !ok(delivered) {
		select {
		case l := <-lists:
			delivered = append(delivered, l)
		case <-time.After(nettest.Patience):
			t.Fatalf("delivered only %d lists: %+v", len(delivered), delivered)
		}
	}
	return delivered
}

// The versions of an agent may start again at a lower number, as after a move to another machine. The watcher delivers
// such a list, and the next watch starts from its version.
func TestVersionsMayRestart(t *testing.T) {
	addr, indexes := newAgent(
		t,
		`{"version":3,"full":true,"servers":[]}`,
		`{"version":41,"full":false,"servers":[]}`+"\n",
		`{"version":2,"full":true,"servers":[]}`+"\n",
		`{"version":3,"full":false,"servers":[]}`+"\n",
	)
	delivered := watch(t, addr, quiet(), 40, func(delivered []List) bool { return len(delivered) == 3 })
	for i, want := range []int64{41, 2, 3} {
		if delivered[i].Version != want || delivered[i].Full != (want == 2) {
			t.Errorf("list %d: version %d, full %v", i, delivered[i].Version, delivered[i].Full)
		}
	}
	for _, want := range []string{"40", "41", "2"} {
		if got := <-indexes; got != want {
			t.Errorf("watch from version %s, want %s", got, want)
		}
	}
}

// A list may have blanks before it, blank lines around it and CRLF line ends, or extend over many indented lines.
func TestIndentedLists(t *testing.T) {
	servers := `[{"id":"s-7","addr":"127.0.0.1:7","zone":"b","kind":"gateway","cell":7,"state":"ready","weight":50}]`
	line := fmt.Sprintf(`{"version":6,"full":true,"servers":%s}`, servers)
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(line), "", "    "); err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"blanks ahead":    " \t  " + line + "  \n",
		"blank lines":     "\n  \n\n" + line + "\n\n",
		"CRLF line ends":  line + "\r\n",
		"over many lines": indented.String() + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			addr, _ := newAgent(t, indented.String(), text)
			delivered := watch(t, addr, slog.New(slog.NewTextHandler(&log, nil)), 4, func(delivered []List) bool {
				if len(delivered) == 0 {
					return false
				}
				last := delivered[len(delivered)-1]
				return last.Version == 6 && len(last.Entries) == 1
			})
			if e := delivered[len(delivered)-1].Entries[0]; e.Err != nil || e.ID != "s-7" {
				t.Errorf("entry %+v, want s-7 without an error", e)
			}
			if n := strings.Count(log.String(), "unreadable line"); n > 1 {
				t.Errorf("unreadable lines logged %d times, want at most once", n)
			}
		})
	}
}

// TestLongTextsAreRefused guards against entries whose texts take much memory.
func TestLongTextsAreRefused(t *testing.T) {
	cell := 1
	parser := Parser{Zones: []string{"a"}, Kinds: []string{"k"}}
	for _, size := range []int{maxTextSize, maxTextSize + 1} {
		for name, record := range map[string]EndpointRecord{
			"id":   {ID: strings.Repeat("i", size), Addr: "x", Zone: "a", Kind: "k", Cell: &cell, State: "ready"},
			"addr": {ID: "i", Addr: strings.Repeat("x", size), Zone: "a", Kind: "k", Cell: &cell, State: "ready"},
		} {
			if _, _, err := parser.Parse(&record); (err != nil) != (size > maxTextSize) {
				t.Errorf("%s of %d bytes: %v", name, size, err)
			}
		}
	}
	long := strings.Repeat("x", 4*maxTextSize)
	for name, record := range map[string]EndpointRecord{
		"addr":  {ID: "i", Addr: long, Zone: "a", Kind: "k", Cell: &cell, State: "ready"},
		"zone":  {ID: "i", Addr: "x", Zone: long, Kind: "k", Cell: &cell, State: "ready"},
		"kind":  {ID: "i", Addr: "x", Zone: "a", Kind: long, Cell: &cell, State: "ready"},
		"state": {ID: "i", Addr: "x", Zone: "a", Kind: "k", Cell: &cell, State: long},
	} {
		endpoint, _, err := parser.Parse(&record)
		if err == nil || len(err.Error()) > maxTextSize || endpoint.ID != "i" {
			t.Errorf("long %s: endpoint %q, error of %d bytes", name, endpoint.ID, len(fmt.Sprint(err)))
		}
	}
}
