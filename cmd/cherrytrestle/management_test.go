package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// metric returns the value of a metric from a relay's management address, or "" if there is no metric of that name.
func metric(t testing.TB, addr, name string) string {
	t.Helper()
	for line := range strings.Lines(fetchMetrics(t, addr)) {
		if value, ok := strings.CutPrefix(line, "router."+name+":"); ok {
			value, _, _ = strings.Cut(value, "|")
			return value
		}
	}
	return ""
}

// requestTimeout is how long a relay waits for a request on a new connection to its management address. Then it closes
// the connection.
const requestTimeout = 700 * time.Millisecond

// fetchMetrics returns the text of all metrics. On a busy machine, this process may send its request only after
// requestTimeout, when the relay has closed the connection. Such a request is repeated.
func fetchMetrics(t testing.TB, addr string) string {
	t.Helper()
	for end := time.Now().Add(conditionTimeout); ; {
		began := time.Now()
		conn, err := net.Dial("tcp", addr)
		must(t, err)
		writeQuietly(conn, "GET /v1/metrics HTTP/1.1\r\nHost: relay\r\n\r\n")
		late := time.Since(began) >= requestTimeout
		text, err := readMetrics(conn)
		closeQuietly(conn)
		if err == nil {
			return text
		}
		if !late || time.Now().After(end) {
			t.Fatal(err)
		}
	}
}

// readMetrics reads the response to a request for the metrics.
func readMetrics(conn net.Conn) (string, error) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", err
	}
	data, err := io.ReadAll(response.Body)
	return string(data), err
}

// waitMetric waits until a metric has a value.
func waitMetric(t testing.TB, addr, name, want string) {
	t.Helper()
	var got string
	defer func() {
		if got != want {
			t.Logf("%s is %q", name, got)
		}
	}()
	eventually(t, name+" "+want, func() bool {
		got = metric(t, addr, name)
		return got == want
	})
}

// readiness returns the status of the readiness check at a relay's management address.
func readiness(addr string) (status int, err error) {
	response, err := http.Get("http://" + addr + "/v1/readyz")
	if err != nil {
		return 0, err
	}
	closeQuietly(response.Body)
	return response.StatusCode, nil
}

// waitReady waits until the relay with this management address is ready.
func waitReady(t testing.TB, addr string) {
	t.Helper()
	eventually(t, "ready at the management address", func() bool {
		status, err := readiness(addr)
		return err == nil && status == http.StatusOK
	})
}
