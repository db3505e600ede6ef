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

var large = flag.Bool("large", false, "measure fleets of 3 to 300 nodes in one process, for some minutes")

// TestSpread measures, with -large, how soon all nodes receive a change, and what a node pays: nodes of one process, in
// real time.
func TestSpread(t *testing.T) {
	sizes := []int{3}
	if *large {
		sizes = []int{3, 20, 100, 300}
	}
	for _, loss := range []uint64{0, 300000} {
		for _, size := range sizes {
			name := fmt.Sprintf("%d links, loss %.1f", size, float64(loss)/allDatagrams)
			t.Run(name, func(t *testing.T) { measureSpread(t, size, loss) })
		}
	}
}

const (
	spreadRounds = 4
	// republish is how often each node publishes its report again, as one does that has nothing new.
	republish = 2500 * time.Millisecond
)

// spreadTimes are the times after which half, 99 % and all of the nodes held a change, by round.
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
	eventually(t, "all are members", func() bool {
		return !slices.ContainsFunc(nodes, func(n *Node) bool { return n.AliveCount() < size })
	})
	net.loss.Store(loss)
	stop := publishInBackground(nodes[1:])
	time.Sleep(min(6*time.Second, time.Duration(size)*30*time.Millisecond)) // until all publish, evenly over time
	began := time.Now()
	sentBefore := sentBytes(nodes)
	cpuBefore := cpuTime(t)
	var times spreadTimes
	for round := range uint64(spreadRounds) {
		times.add(measureRound(t, nodes, 1000*round))
		time.Sleep(300 * time.Millisecond)
	}
	took := time.Since(began).Seconds()
	sent := float64(sentBytes(nodes) - sentBefore)
	used := (cpuTime(t) - cpuBefore).Seconds()
	stop()
	t.Logf("n %d, loss %.0f%%: half %v, 99%% %v, all %v", size, float64(loss)/1e4,
		median(times.half), median(times.most), median(times.all))
	t.Logf("%.0f bytes a second and %.2f ms of processor time a second a member",
		sent/took/float64(size), used*1e3/took/float64(size))
}

// publishInBackground has each node publish a report every republish, until the returned function is called.
func publishInBackground(nodes []*Node) (stop func()) {
	done := make(chan struct{})
	var publishers sync.WaitGroup
	for i, node := range nodes {
		publishers.Go(func() {
			timer := time.NewTimer(time.Duration(i) * republish / time.Duration(len(nodes)+1))
			for sequence := uint64(1); ; sequence++ {
				select {
				case <-done:
					return
				case <-timer.C:
				}
				publishOne(node, sequence, float64(sequence%7))
				timer.Reset(republish)
			}
		})
	}
	return func() {
		close(done)
		publishers.Wait()
	}
}

// measureRound has the first node publish a change, and returns how long each node took to hold it.
func measureRound(t *testing.T, nodes []*Node, sequence uint64) []time.Duration {
	began := time.Now()
	nextPublish := began
	first := sequence + 1
	var times []time.Duration
	known := make([]bool, len(nodes))
	eventually(t, "all hold the change", func() bool {
		if !time.Now().Before(nextPublish) { // It is published again like all others, so that it does not fade.
			sequence++
			publishOne(nodes[0], sequence, 5)
			nextPublish = nextPublish.Add(republish)
		}
		for i, node := range nodes {
			if !known[i] && holdsReport(node, nodes[0].cfg.Name, first) {
				known[i] = true
				times = append(times, time.Since(began))
			}
		}
		if len(times) < len(nodes) && len(nodes) > 50 {
			time.Sleep(8 * time.Millisecond) // looking takes processor time too
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
