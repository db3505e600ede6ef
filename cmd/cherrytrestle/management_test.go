package main

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// metric returns the value of a metric at a second address, or "" if it has none of that name.
func metric(t testing.TB, addr, name string) string {
	t.Helper()
	res, err := http.Get("http://" + addr + "/v1/metrics")
	must(t, err)
	defer closeQuietly(res.Body)
	data, err := io.ReadAll(res.Body)
	must(t, err)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "router."+name+":"); ok {
			value, _, _ = strings.Cut(value, "|")
			return value
		}
	}
	return ""
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

// readiness returns the status with which a second address answers whether the relay is ready.
func readiness(addr string) (status int, err error) {
	response, err := http.Get("http://" + addr + "/v1/readyz")
	if err != nil {
		return 0, err
	}
	closeQuietly(response.Body)
	return response.StatusCode, nil
}

// waitReady waits until the relay with this second address is ready.
func waitReady(t testing.TB, addr string) {
	t.Helper()
	eventually(t, "ready on the second address", func() bool {
		status, err := readiness(addr)
		return err == nil && status == http.StatusOK
	})
}
