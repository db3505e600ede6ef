package discovery

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/relay/discovery/backoff"
)

// agentOf is an agent of which each watch is answered by the next text and then ends; the last one stays.
func agentOf(t *testing.T, whole string, watches ...string) (addr string, indexes <-chan string) {
	t.Helper()
	var mu sync.Mutex
	came, n := make(chan string, 64), 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("stream") == "" {
			io.WriteString(w, whole)
			return
		}
		came <- r.URL.Query().Get("index")
		mu.Lock()
		text := ""
		if n < len(watches) {
			text = watches[n]
		}
		n++
		last := n >= len(watches)
		mu.Unlock()
		io.WriteString(w, text)
		w.(http.Flusher).Flush()
		if last {
			<-r.Context().Done()
		}
	}))
	t.Cleanup(s.Close)
	return addrOf(s), came
}

// hear follows an agent until ok holds of all lists that it told.
func hear(t *testing.T, addr string, log *slog.Logger, version int64, ok func([]List) bool) (told []List) {
	t.Helper()
	ctx, stop := context.WithCancel(context.Background())
	lists, ended := make(chan List, 64), make(chan struct{})
	defer func() { stop(); <-ended }()
	w := NewWatcher(Config{
		Log: log, Client: NewClient(addr), IdleTimeout: patience, Version: version, OnUpdate: func(l List) { lists <- l }, Backoff: backoff.Backoff{Clients: 1},
		Parser: testParser(),
	})
	go func() { w.Run(ctx); close(ended) }()
	for !ok(told) {
		select {
		case l := <-lists:
			told = append(told, l)
		case <-time.After(patience):
			t.Fatalf("told %d lists only: %+v", len(told), told)
		}
	}
	return told
}

// An agent's versions begin again, as those of another machine would: what it tells is taken, and the next watch goes
// on from there.
func TestVersionsThatBeginAgain(t *testing.T) {
	addr, indexes := agentOf(
		t,
		`{"version":3,"full":true,"servers":[]}`,
		`{"version":41,"full":false,"servers":[]}`+"\n",
		`{"version":2,"full":true,"servers":[]}`+"\n",
		`{"version":3,"full":false,"servers":[]}`+"\n",
	)
	told := hear(t, addr, quiet(), 40, func(told []List) bool { return len(told) == 3 })
	for i, want := range []int64{41, 2, 3} {
		if told[i].Version != want || told[i].Full != (want == 2) {
			t.Errorf("list %d: version %d, whole %v", i, told[i].Version, told[i].Full)
		}
	}
	for _, want := range []string{"40", "41", "2"} {
		if got := <-indexes; got != want {
			t.Errorf("a watch from %s, want %s", got, want)
		}
	}
}

// Lists come indented, with blanks ahead, with blank lines between, or over many lines.
func TestIndentedLists(t *testing.T) {
	servers := `[{"id":"s-7","addr":"127.0.0.1:7","zone":"b","kind":"gateway","cell":7,"state":"ready","weight":50}]`
	line := fmt.Sprintf(`{"version":6,"full":true,"servers":%s}`, servers)
	var indented bytes.Buffer
	if err := json.Indent(&indented, []byte(line), "", "    "); err != nil {
		t.Fatal(err)
	}
	for name, watch := range map[string]string{
		"blanks ahead": " \t  " + line + "  \n", "blank lines": "\n  \n\n" + line + "\n\n", "returns": line + "\r\n", "over many lines": indented.String() + "\n",
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			addr, _ := agentOf(t, indented.String(), watch)
			told := hear(t, addr, slog.New(slog.NewTextHandler(&log, nil)), 4, func(told []List) bool {
				return len(told) > 0 && told[len(told)-1].Version == 6 && len(told[len(told)-1].Entries) == 1
			})
			if e := told[len(told)-1].Entries[0]; e.Err != nil || e.ID != "s-7" {
				t.Errorf("%+v", e)
			}
			if n := strings.Count(log.String(), "unreadable line"); n > 1 {
				t.Errorf("logged %d times", n)
			}
		})
	}
}
