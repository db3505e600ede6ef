package main

import (
	"fmt"
	"sync"
	"time"
)

// startTraffic submits a message at each interval, to each of the relays in turn, until stop is called. It ignores the
// answers.
func startTraffic(interval time.Duration, relays ...*relayProcess) (stop func()) {
	done := make(chan struct{})
	var client sync.WaitGroup
	client.Go(func() {
		for n := 0; ; n++ {
			for i, r := range relays {
				select {
				case <-done:
					return
				case <-time.After(interval):
				}
				response, err := r.client.Do(r.request(fmt.Sprintf("m-%d-%d", i, n), 10*time.Second, nil))
				if err == nil {
					closeQuietly(response.Body)
				}
			}
		}
	})
	return func() {
		close(done)
		client.Wait()
	}
}
