package membership

import (
	"flag"
	"fmt"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

var large = flag.Bool("large", false, "measure fleets of 3 to 300 nodes in one process, which takes some minutes")

// TestSpread measures how soon all nodes receive a change, and how many bytes and how much processor time each node
// uses. The nodes run in one process, in real time. With -large, it measures fleets of 3 to 300 nodes, otherwise only
// fleets of 3.
func TestSpread(t *testing.T) {
	sizes := []int{3}
	if *large {
		sizes = []int{3, 20, 100, 300}
	}
	for _, loss := range []uint64{0, 300000} {
		for _, size := range sizes {
			name := fmt.Sprintf("%d nodes, loss %.1f", size, float64(loss)/allDatagrams)
			t.Run(name, func(t *testing.T) { measureSpread(t, size, loss) })
		}
	}
}

const (
	spreadRounds = 4
	// republishInterval is how often each node publishes its report again, as a relay does with an unchanged report.
	republishInterval = 2500 * time.Millisecond
)

// spreadTimes holds, for each round, the times after which half, 99 % and all of the nodes held the change.
type spreadTimes struct {
	half, most, all []time.Duration
}

func (s *spreadTimes) add(sorted []time.Duration) {
	n := len(sorted)
	s.half = append(s.half, sorted[n/2])
	s.most = append(s.most, sorted[(n*99+99)/100-1])
	s.all = append(s.all, sorted[n-1])
}

func measureSpread(t *testing.T, size int, loss uint64) {
	net := &network{}
	nodes := mesh(t, net, size, nil)
	eventually(t, "all nodes are members", func() bool {
		return !slices.ContainsFunc(nodes, func(n *Node) bool { return n.AliveCount() < size })
	})
	net.loss.Store(loss)
	stop := publishInBackground(nodes[1:])
	time.Sleep(min(6*time.Second, time.Duration(size)*30*time.Millisecond)) // until nodes publish, spread over time
	startedAt := time.Now()
	sentBefore := sentBytes(nodes)
	cpuBefore := cpuTime(t)
	var times spreadTimes
	for round := range uint64(spreadRounds) {
		times.add(measureRound(t, nodes, 1000*round))
		time.Sleep(300 * time.Millisecond)
	}
	elapsed := time.Since(startedAt).Seconds()
	sent := float64(sentBytes(nodes) - sentBefore)
	cpuUsed := (cpuTime(t) - cpuBefore).Seconds()
	stop()
	t.Logf("%d nodes, loss %.0f%%: half hold a change after %v, 99%% after %v, all after %v", size, float64(loss)/1e4,
		median(times.half), median(times.most), median(times.all))
	t.Logf("%.0f bytes a second and %.2f ms of processor time a second per member",
		sent/elapsed/float64(size), cpuUsed*1e3/elapsed/float64(size))
}

// publishInBackground makes each node publish a report every republishInterval until the returned function is called.
func publishInBackground(nodes []*Node) (stop func()) {
	done := make(chan struct{})
	var publishers sync.WaitGroup
	for i, node := range nodes {
		publishers.Go(func() {
			timer := time.NewTimer(time.Duration(i) * republishInterval / time.Duration(len(nodes)+1))
			for sequence := uint64(1); ; sequence++ {
				select {
				case <-done:
					return
				case <-timer.C:
				}
				publishOne(node, sequence, float64(sequence%7))
				timer.Reset(republishInterval)
			}
		})
	}
	return func() {
		close(done)
		publishers.Wait()
	}
}

// measureRound publishes a change on the first node, and returns how long each node took to receive it, sorted.
func measureRound(t *testing.T, nodes []*Node, sequence uint64) []time.Duration {
	publishedAt := time.Now()
	nextPublish := publishedAt
	first := sequence + 1
	var times []time.Duration
	received := make([]bool, len(nodes))
	eventually(t, "all nodes hold the change", func() bool {
		if !time.Now().Before(nextPublish) { // The change is republished, so that it does not expire.
			sequence++
			publishOne(nodes[0], sequence, 5)
			nextPublish = nextPublish.Add(republishInterval)
		}
		for i, node := range nodes {
			if !received[i] && holdsReport(node, nodes[0].cfg.Name, first) {
				received[i] = true
				times = append(times, time.Since(publishedAt))
			}
		}
		if len(times) < len(nodes) && len(nodes) > 50 {
			time.Sleep(8 * time.Millisecond) // limits the processor time that is used by checking
		}
		return len(times) == len(nodes)
	})
	return times
}

func sentBytes(nodes []*Node) uint64 {
	var sum uint64
	for _, node := range nodes {
		sum += node.transport.sentBytes.Load()
	}
	return sum
}

func cpuTime(t *testing.T) time.Duration {
	t.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		t.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func median(times []time.Duration) time.Duration {
	slices.Sort(times)
	return times[len(times)/2].Round(time.Millisecond)
}
