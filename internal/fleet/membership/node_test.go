package membership

import (
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"

	"cherrytrestle.example/cherrytrestle/internal/fleet/codec"
	"cherrytrestle.example/cherrytrestle/internal/fleet/gossip"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
)

// network joins links within one process, with nothing between them but what a test puts there.
type network struct {
	memberlist.MockNetwork
	seed  uint64
	loss  atomic.Uint64 // of datagrams, in millionths
	fault func(from, to string) (lost bool)
}

type memberTransport struct {
	*memberlist.MockTransport
	net  *network
	from string
	mu   sync.Mutex
	draw *rand.Rand
}

func (n *network) transport(name string) *memberTransport {
	n.seed++
	return &memberTransport{MockTransport: n.NewTransport(name), net: n, from: name, draw: rand.New(rand.NewPCG(n.seed, 3))}
}

func (p *memberTransport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	p.mu.Lock()
	lost := p.draw.Uint64N(1e6) < p.net.loss.Load()
	p.mu.Unlock()
	if lost || p.net.fault != nil && p.net.fault(p.from, a.Name) {
		return time.Now(), nil
	}
	// The network of memberlist's own hands a packet over to who reads: two that answer each other at once would wait
	// for ever.
	b = slices.Clone(b)
	go p.MockTransport.WriteToAddress(b, a)
	return time.Now(), nil
}

func (p *memberTransport) DialAddressTimeout(a memberlist.Address, d time.Duration) (net.Conn, error) {
	if p.net.fault != nil && p.net.fault(p.from, a.Name) {
		return nil, errors.New("cut")
	}
	// Nor does it give up on one that has ended.
	type dialed struct {
		net.Conn
		err error
	}
	got := make(chan dialed, 1)
	go func() {
		c, err := p.MockTransport.DialAddressTimeout(a, d)
		got <- dialed{c, err}
	}()
	select {
	case x := <-got:
		return x.Conn, x.err
	case <-time.After(d):
		return nil, errors.New("nobody answers")
	}
}

func memberName(i int) string { return fmt.Sprintf("r%03d", i) }

// mesh starts links that all know each other.
func mesh(t testing.TB, net *network, n int, edit func(i int, c *Config)) (links []*Node) {
	taps, join := make([]*memberTransport, n), map[string]string{}
	for i := range n {
		taps[i] = net.transport(memberName(i))
		ip, port, err := taps[i].FinalAdvertiseAddr("", 0)
		if err != nil {
			t.Fatal(err)
		}
		join[memberName(i)] = fmt.Sprintf("%s:%d", ip, port)
	}
	for i := range n {
		c := Config{
			Name: memberName(
				i,
			), Peers: join, Incarnation: loadreport.Incarnation{Generation: 1, Boot: uint32(i + 1)}, Log: slog.New(slog.DiscardHandler),
			SaveIncarnation: func(uint64) error { return nil }, Transport: taps[i],
		}
		if edit != nil {
			edit(i, &c)
		}
		l, err := Start(c)
		if err != nil {
			t.Fatal(err)
		}
		links = append(links, l)
	}
	t.Cleanup(func() {
		var ends sync.WaitGroup
		for _, l := range links {
			ends.Go(func() { l.Close() })
		}
		ends.Wait()
	})
	return links
}

func reportOf(l *Node, number int, seq uint64, calls float64) loadreport.Report {
	return loadreport.Report{
		Name:        l.cfg.Name,
		Incarnation: l.reports.Incarnation(),
		Number:      number,
		Sequence:    seq,
		Scopes: []loadreport.ScopeLoad{
			{Destination: number << 2, Demand: calls, Calls: calls, Deliveries: calls},
		},
	}
}

// holdsReport tells whether a link holds a page in at least this sequence.
func (l *Node) holdsReport(name string, number int, seq uint64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.reports.Get(l.cfg.now(), name, number)
	return ok && p.Sequence >= seq
}

func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(40 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

// Everyone hears of everyone, also who comes late, and a page that every datagram of was lost comes with the next
// exchange of digests.
func TestAllHear(t *testing.T) {
	net := &network{}
	var late atomic.Bool
	net.fault = func(from, to string) bool {
		return late.Load() != true && (from == memberName(4) || to == memberName(4))
	}
	links := mesh(t, net, 5, func(_ int, c *Config) { c.syncEvery = 300 * time.Millisecond })
	for _, l := range links {
		l.Publish([]loadreport.Report{reportOf(l, 0, 1, 2)})
	}
	all := func(of []*Node, seq uint64) func() bool {
		return func() bool {
			for _, a := range of {
				for _, b := range of {
					if !a.holdsReport(b.cfg.Name, 0, seq) {
						return false
					}
				}
			}
			return true
		}
	}
	eventually(t, "four hear each other", all(links[:4], 1))
	if links[0].holdsReport(memberName(4), 0, 1) {
		t.Fatal("the one that is cut off is heard")
	}
	late.Store(true)
	eventually(t, "all five hear each other", all(links, 1))
	for i, l := range links {
		heard, _ := l.Received()
		if len(heard) != 4 ||
			!slices.IsSortedFunc(
				heard,
				func(a, b loadreport.Report) int { return slices.Compare([]byte(a.Name), []byte(b.Name)) },
			) {
			t.Errorf("%d: %v", i, heard)
		}
		if again, _ := l.Received(); len(again) > 0 {
			t.Errorf("%d: told twice: %v", i, again)
		}
	}
	// Nothing new is to be told: all falls silent, but for who looks after whom.
	for _, l := range links {
		eventually(t, "the queue empties", func() bool { return l.Status().Queued == 0 })
	}
	net.loss.Store(1e6)
	links[0].Publish([]loadreport.Report{reportOf(links[0], 0, 2, 3)})
	eventually(t, "by digests alone", func() bool {
		return slices.IndexFunc(links[1:], func(l *Node) bool { return l.holdsReport(memberName(0), 0, 2) }) >= 0
	})
}

// Who asks for the status while the queue is being read waits for it and not the other way round: holding the link
// meanwhile, both would wait for ever, and the relay's loop with them.
func TestStatusWhileTheQueueIsRead(t *testing.T) {
	l := mesh(t, &network{}, 1, nil)[0]
	l.Publish([]loadreport.Report{reportOf(l, 0, 1, 2)})
	l.mu.Lock()
	done := make(chan struct{}, 2)
	go func() { l.Status(); done <- struct{}{} }()
	time.Sleep(50 * time.Millisecond) // until it waits for the link; nothing tells
	go func() { l.broadcasts.GetBroadcasts(2, gossip.MaxDatagramSize); done <- struct{}{} }()
	time.Sleep(50 * time.Millisecond) // until it has the queue and waits for the link
	l.mu.Unlock()
	for range 2 {
		select {
		case <-done:
		case <-time.After(10 * time.Second):
			t.Fatal("both wait for ever")
		}
	}
}

// What waited on its way, or for a process that was stopped, is as old as it is: the hearer's own clock tells.
func TestHeldUpIsOlder(t *testing.T) {
	var clock atomic.Int64
	now := func() time.Duration { return time.Duration(clock.Load()) }
	sender := &Node{cfg: Config{Name: "a", Incarnation: loadreport.Incarnation{Generation: 1, Boot: 1}, now: now}}
	hearer := mesh(t, &network{}, 2, func(i int, c *Config) {
		c.Peers = map[string]string{"a": "127.0.0.1:1"}
		if i == 0 {
			c.now = func() time.Duration { return now() + time.Hour }
		}
	})[0]
	sender.codec = hearer.codec
	hearer.receive(sender.encodeReports(loadreport.Report{Name: "a", Incarnation: sender.cfg.Incarnation, Sequence: 1}))
	if got, _ := hearer.Received(); len(got) > 0 {
		t.Fatal("heard of one whose clock is not known, who may have told it at any time:", got)
	}
	pong, _ := sender.codec.Encode(codec.Message{
		From: "a", Boot: 1, Clock: now().Microseconds(), Pong: &codec.Pong{Boot: hearer.cfg.Incarnation.Boot, Clock: (now() + time.Hour).Microseconds()},
	})
	hearer.receive(pong)
	if got, _ := hearer.Received(); len(got) != 1 {
		t.Fatal("what was put aside is lost:", got)
	}
	page := func(seq uint64) loadreport.Report {
		return loadreport.Report{
			Name:        "a",
			Incarnation: sender.cfg.Incarnation,
			Sequence:    seq,
			Scopes:      []loadreport.ScopeLoad{{Destination: 1, Calls: 1}},
		}
	}
	clock.Add(int64(time.Second))
	data := sender.encodeReports(page(2))
	clock.Add(int64(10 * time.Second)) // whoever held it
	hearer.receive(data)
	got, _ := hearer.Received()
	if len(got) != 1 || got[0].Sequence != 2 || got[0].Age < 9900*time.Millisecond {
		t.Errorf("%+v", got)
	}
	hearer.receive([]byte("nothing that can be read"))
	if s := hearer.Status(); s.Unreadable != 1 {
		t.Error(s.Unreadable)
	}
}

// Another process under the own name is outbid a few times; then this one falls silent, and tells again when none was
// heard for long.
func TestTwins(t *testing.T) {
	at := time.Duration(0)
	var mu sync.Mutex
	now := func() time.Duration { mu.Lock(); defer mu.Unlock(); return at }
	var kept atomic.Uint64
	links := mesh(t, &network{}, 2, func(i int, c *Config) {
		if i == 0 {
			c.now, c.SaveIncarnation = now, func(n uint64) error { kept.Store(n); return errors.New("disk full") }
		}
	})
	l := links[0]
	// What the other process tells comes over a third one.
	over := &Node{
		cfg:   Config{Name: memberName(1), Incarnation: loadreport.Incarnation{Generation: 1, Boot: 999}, now: now},
		codec: l.codec,
	}
	l.mu.Lock()
	l.inbox.Calibrate(memberName(1), 999, 0, 0, 0)
	l.mu.Unlock()
	for i := range 3 {
		life := loadreport.Incarnation{Generation: uint64(10 * (i + 1)), Boot: 999}
		p := loadreport.Report{Name: l.cfg.Name, Incarnation: life, Sequence: 1}
		l.receive(over.encodeReports(p, loadreport.Report{Name: l.cfg.Name, Incarnation: life, Number: 1, Sequence: 2}))
		eventually(t, "a new life", func() bool {
			_, mine := l.Received()
			return mine.Generation == life.Generation+1 ||
				kept.Load() == life.Generation+1 && l.Status().Incarnation.Generation == life.Generation+1
		})
		if l.Status().NameConflict {
			t.Fatal("silent after", i, "lives of another")
		}
	}
	l.receive(
		over.encodeReports(
			loadreport.Report{
				Name:        l.cfg.Name,
				Incarnation: loadreport.Incarnation{Generation: 99, Boot: 999},
				Sequence:    1,
			},
		),
	)
	if s := l.Status(); !s.NameConflict {
		t.Fatalf("%+v", s)
	}
	l.Publish([]loadreport.Report{reportOf(l, 0, 1, 1)})
	if l.Status().Queued != 0 {
		t.Error("it goes on telling")
	}
	mu.Lock()
	at += 61 * time.Second
	mu.Unlock()
	l.Publish([]loadreport.Report{reportOf(l, 0, 2, 1)})
	if s := l.Status(); s.NameConflict || s.Queued == 0 {
		t.Errorf("still silent: %+v", s)
	}
}

// newer is a member of a program that does not exist yet: its messages have more than this one's, and some need it.
type newer struct {
	name string

	mu      sync.Mutex
	n       int
	answers [][]byte
}

func (d *newer) message(needs int) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.n++
	page := map[any]any{
		1:  d.name,
		2:  1,
		3:  7,
		4:  0,
		5:  d.n,
		7:  []any{map[any]any{1: 0, 4: 2.5, 77: "new"}},
		78: []int{1},
	}
	data, err := cbor.Marshal(
		map[any]any{0: needs, 1: d.name, 2: 7, 3: d.n * 1000, 4: []any{page}, 79: map[string]int{"new": 1}},
	)
	if err != nil {
		panic(err) // all of it can be encoded
	}
	return data
}

func (d *newer) NodeMeta(int) []byte { return []byte("new") }
func (d *newer) NotifyMsg(data []byte) {
	var m codec.Message
	if cbor.Unmarshal(data, &m) != nil || !m.Ping {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	answer, err := cbor.Marshal(
		map[any]any{1: d.name, 2: 7, 3: d.n * 1000, 8: map[any]any{1: m.Boot, 2: m.Clock}, 80: "new"},
	)
	if err == nil {
		d.answers = append(d.answers, answer)
	}
}
func (d *newer) LocalState(bool) []byte        { return d.message(2) }
func (d *newer) MergeRemoteState([]byte, bool) {}

func (d *newer) GetBroadcasts(_, _ int) [][]byte {
	told := [][]byte{d.message(0), d.message(2)}
	d.mu.Lock()
	defer d.mu.Unlock()
	told = append(told, d.answers...)
	d.answers = nil
	return told
}

// Half of the fleet runs a program that is not written yet: what this one understands of it is taken, the rest counted,
// and the others are heard as before.
func TestNewerMembers(t *testing.T) {
	net := &network{}
	newcomer := net.transport("r900")
	ip, port, _ := newcomer.FinalAdvertiseAddr("", 0)
	links := mesh(t, net, 2, func(i int, c *Config) {
		if i == 0 { // the table is one, and read from then on
			c.Peers["r900"] = fmt.Sprintf("%s:%d", ip, port)
		}
	})
	mc := memberlist.DefaultLANConfig()
	mc.Name, mc.Transport, mc.GossipInterval = "r900", newcomer, gossip.Interval
	mc.Delegate, mc.Logger = &newer{name: "r900"}, slog.NewLogLogger(slog.DiscardHandler, slog.LevelDebug)
	list, err := memberlist.Create(mc)
	if err != nil {
		t.Fatal(err)
	}
	defer list.Shutdown()
	for _, l := range links {
		l.Publish([]loadreport.Report{reportOf(l, 0, 1, 1)})
	}
	for i, l := range links {
		eventually(t, "the newer one is heard", func() bool { return l.holdsReport("r900", 0, 1) && l.Status().UnsupportedVersion > 0 })
		eventually(t, "so is the other", func() bool { return l.holdsReport(memberName(1-i), 0, 1) })
	}
}

func TestStartFails(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer taken.Close()
	for _, listen := range []string{taken.Addr().String(), "nowhere", "127.0.0.1"} {
		if l, err := Start(Config{Name: "a", Listen: listen, Log: slog.New(slog.DiscardHandler)}); err == nil {
			l.Close()
			t.Errorf("%q is taken", listen)
		}
	}
}

var large = flag.Bool("large", false, "measure fleets of 3 to 300 links in one process, for some minutes")

// TestSpread measures, with -large, how soon all hear of a change, and what a member pays: links of one process, in
// real time.
func TestSpread(t *testing.T) {
	sizes := []int{3}
	if *large {
		sizes = []int{3, 20, 100, 300}
	}
	for _, loss := range []uint64{0, 300000} {
		for _, n := range sizes {
			t.Run(fmt.Sprintf("%d links, loss %.1f", n, float64(loss)/1e6), func(t *testing.T) { spread(t, n, loss) })
		}
	}
}

func spread(t *testing.T, n int, loss uint64) {
	net := &network{}
	links := mesh(t, net, n, nil)
	eventually(t, "all are members", func() bool {
		return !slices.ContainsFunc(links, func(l *Node) bool { return l.AliveCount() < n })
	})
	net.loss.Store(loss)
	bytes := func() (sum uint64) {
		for _, l := range links {
			sum += l.transport.sentBytes.Load()
		}
		return sum
	}
	cpu := func() time.Duration {
		var u syscall.Rusage
		syscall.Getrusage(syscall.RUSAGE_SELF, &u)
		return time.Duration(u.Utime.Nano() + u.Stime.Nano())
	}
	// Each member tells a page of its own each 2.5 s, as one does that has nothing new; changes of one are timed
	// meanwhile.
	stop := make(chan struct{})
	var background sync.WaitGroup
	for i, l := range links[1:] {
		background.Go(func() {
			timer := time.NewTimer(time.Duration(i) * 2500 * time.Millisecond / time.Duration(n))
			for seq := uint64(1); ; seq++ {
				select {
				case <-stop:
					return
				case <-timer.C:
				}
				l.Publish([]loadreport.Report{reportOf(l, 0, seq, float64(seq%7))})
				timer.Reset(2500 * time.Millisecond)
			}
		})
	}
	time.Sleep(min(6*time.Second, time.Duration(n)*30*time.Millisecond)) // until all tell, evenly over time
	began, sentBefore, cpuBefore := time.Now(), bytes(), cpu()
	var half, most, all []time.Duration
	for round := range uint64(4) {
		at, again := time.Now(), time.Now()
		first, seq := 1000*round+1, 1000*round
		var times []time.Duration
		known := make([]bool, n)
		eventually(t, "all know of the change", func() bool {
			if !time.Now().Before(again) { // it is told anew like all others, so that it does not fade
				seq++
				links[0].Publish([]loadreport.Report{reportOf(links[0], 0, seq, 5)})
				again = again.Add(2500 * time.Millisecond)
			}
			for i, l := range links {
				if !known[i] && l.holdsReport(links[0].cfg.Name, 0, first) {
					known[i] = true
					times = append(times, time.Since(at))
				}
			}
			if len(times) < n && n > 50 {
				time.Sleep(8 * time.Millisecond) // looking costs too
			}
			return len(times) == n
		})
		half, most, all = append(half, times[n/2]), append(most, times[(n*99+99)/100-1]), append(all, times[n-1])
		time.Sleep(300 * time.Millisecond)
	}
	took := time.Since(began)
	sent, used := bytes()-sentBefore, cpu()-cpuBefore
	close(stop)
	background.Wait()
	mid := func(d []time.Duration) time.Duration { slices.Sort(d); return d[len(d)/2].Round(time.Millisecond) }
	var heap runtime.MemStats
	runtime.ReadMemStats(&heap)
	t.Logf(
		"n %d, loss %.0f%%: half %v, 99%% %v, all %v; %.0f bytes a second and %.2f ms of processor time a second a member",
		n,
		float64(loss)/1e4,
		mid(half),
		mid(most),
		mid(all),
		float64(sent)/took.Seconds()/float64(n),
		used.Seconds()*1e3/took.Seconds()/float64(n),
	)
}
