package discovery

import (
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	"cherrytrestle.example/cherrytrestle/internal/testkit/nettest"
)

// A second copy of a response that arrives once the next request is out must not be taken for the response to that one.
func TestCopiedResponseAnswersNoOtherRequest(t *testing.T) {
	var mu sync.Mutex
	last := map[net.Conn]string{} // the last response on each connection
	addr, _ := nettest.RawServer(t, func(_ int, conn net.Conn, r *http.Request) bool {
		body := r.URL.Query().Get("index")
		response := "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n" + body
		mu.Lock()
		defer mu.Unlock()
		nettest.Send(conn, last[conn]+response)
		last[conn] = response
		return true
	})
	client := NewClient(addr)
	for _, index := range []string{"1", "2", "3"} {
		target, ctx, release := client.Target(t.Context())
		url := "http://" + target + "/catalog/members?index=" + index
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(res.Body)
		if err != nil || string(body) != index {
			t.Errorf("request %s got the response %q, error %v", index, body, err)
		}
		nettest.Close(res.Body)
		release()
	}
}
