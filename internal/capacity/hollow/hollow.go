// Package hollow measures what a relay's control costs as its fleet grows, with many members in one process. Each is
// the real membership, gossip, ledger, codec, seam and rights of a relay (package fleet), stepped by a loop like the
// relay's. Hollow are the sockets, the clients, the hosts, the decision module and the journal: messages are told to
// the seam as a relay's loop would tell of them. So what is measured hides what the system spends on sockets, a
// network's delay and loss, and the stops of a process that has other work.
//
// All that waits goes by package time: in real time, or in a bubble of testing/synctest, where more members fit than
// the machine's cores could run.
package hollow

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"gonum.org/v1/gonum/stat"

	"cherrytrestle.example/cherrytrestle/internal/fleet"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/policy"
)

const (
	tick      = 5 * time.Millisecond // between two steps of a loop
	lookEvery = 50 * time.Millisecond
	joinFor   = 5 * time.Minute
)

// Reading is what was measured at one size. The names of its values end with their units.
type Reading struct {
	N      int                `json:"n"` // members, destinations or what else the measure is of
	Values map[string]float64 `json:"values"`
}

// Options are those of a Fleet.
type Options struct {
	Members      int
	Destinations int     // that are listed, each with a limit of Limit calls a second
	Limit        float64 // 0: 50
	// destinations that each member sends to, from the first on: four share a page; 0: the fleet rests
	Busy     int
	Messages float64 // a second at each member, over those
	Rights   bool    // limits are shared

	Settle time.Duration // before the measure, once all are members
	Window time.Duration // of the measure
	// Changes are timed one after the other, each told by another member, before the measure of the rates; For is how
	// long each is followed at most.
	Changes int
	For     time.Duration
}

func (o *Options) setDefaults() {
	if o.Limit <= 0 {
		o.Limit = 50
	}
	if o.Messages <= 0 {
		o.Messages = 1
	}
	if o.For <= 0 {
		o.For = 20 * time.Second
	}
}

// Fleet is members of one process that hear each other.
type Fleet struct {
	opt     Options
	net     *network
	members []*member
	folder  string
	stop    context.CancelFunc
	works   sync.WaitGroup
	watch   atomic.Pointer[watch]
}

// member is one hollow relay.
type member struct {
	fleet  *Fleet
	number int
	real   *fleet.Member
	clock  func() time.Duration
	nudged chan struct{}
	end    context.CancelFunc

	// Of the loop.
	due    float64 // messages
	nextID policy.MessageID
	out    []policy.Event // outcomes for the next step
	told   bool           // the list
	tell   chan time.Duration
	steps  atomic.Uint64
}

// watch follows one change.
type watch struct {
	from string
	at   time.Time

	mu    sync.Mutex
	known map[int]time.Duration
}

// changed is the destination whose wait is told; it is listed last.
func (f *Fleet) changed() int { return f.opt.Destinations }

// Start starts a fleet and waits until all are members.
func Start(opt Options) (*Fleet, error) {
	opt.setDefaults()
	if opt.Members < 2 || opt.Destinations < opt.Busy {
		return nil, fmt.Errorf(
			"hollow: %d members, %d destinations, %d of them busy",
			opt.Members,
			opt.Destinations,
			opt.Busy,
		)
	}
	folder, err := os.MkdirTemp("", "hollow")
	if err != nil {
		return nil, fmt.Errorf("hollow: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	f := &Fleet{opt: opt, net: newNetwork(opt.Members), folder: folder, stop: stop}
	join := f.net.join()
	for i := range opt.Members {
		began := time.Now()
		m := &member{
			fleet: f, number: i, nudged: make(chan struct{}, 1), tell: make(chan time.Duration, 1),
			clock: func() time.Duration { return time.Since(began) + time.Second },
		}
		state := filepath.Join(folder, memberName(i))
		if err := os.Mkdir(state, 0o700); err != nil {
			return nil, errors.Join(fmt.Errorf("hollow: %w", err), f.Close())
		}
		m.real = fleet.New(fleet.Config{
			Name: memberName(
				i,
			), Listen: f.net.all[i].addr, Peers: join, Folder: state, DestinationKinds: []policy.DestinationKind{{MaxBatch: 1}}, ShareQuota: opt.Rights,
			FleetSize: opt.Members, Clock: m.clock, Log: slog.New(slog.DiscardHandler), RequestStep: m.nudge, Transport: f.net.all[i],
		})
		own, end := context.WithCancel(ctx)
		m.end = end
		f.members = append(f.members, m)
		f.works.Go(func() { m.real.Run(own) })
		f.works.Go(func() { m.loop(own) })
	}
	for end := time.Now().Add(joinFor); slices.ContainsFunc(f.members, func(m *member) bool { return m.real.AliveCount() < opt.Members }); time.Sleep(lookEvery) {
		if time.Now().After(end) {
			return nil, errors.Join(errors.New("hollow: not all become members"), f.Close())
		}
	}
	return f, nil
}

// Close ends all members.
func (f *Fleet) Close() error {
	f.stop()
	f.works.Wait()
	if err := os.RemoveAll(f.folder); err != nil {
		return fmt.Errorf("hollow: %w", err)
	}
	return nil
}

func (m *member) nudge() {
	select {
	case m.nudged <- struct{}{}:
	default:
	}
}

// loop steps a member as a relay's loop does: when it is asked to, and no more often than the tick.
func (m *member) loop(ctx context.Context) {
	for {
		var wait time.Duration // to be told
		select {
		case <-ctx.Done():
			return
		case <-m.nudged:
		case wait = <-m.tell:
		}
		m.step(wait)
		time.Sleep(tick)
	}
}

func (m *member) step(wait time.Duration) {
	now := m.clock()
	events, actions := m.events(now, wait)
	rec, _ := m.real.Step(now, events, actions, nil)
	m.steps.Add(1)
	w := m.fleet.watch.Load()
	if w == nil {
		return
	}
	for _, p := range rec.Received {
		if p.Name == w.from &&
			slices.ContainsFunc(
				p.Scopes,
				func(c loadreport.ScopeLoad) bool { return int(c.Destination) == m.fleet.changed() && c.RetryAfter > 0 },
			) {
			w.mu.Lock()
			if _, before := w.known[m.number]; !before {
				w.known[m.number] = time.Since(w.at)
			}
			w.mu.Unlock()
		}
	}
}

func route(dest int) string { return fmt.Sprintf("s-%06d", dest) }

// events are those of a step: the list with the first one, messages as they are due, their outcomes with the step
// after. Asked for a wait, an answer that tells it.
func (m *member) events(now, wait time.Duration) (events []policy.Event, actions []policy.Action) {
	events, m.out = m.out, nil
	if !m.told {
		m.told = true
		list := policy.Event{Kind: policy.EndpointSnapshot}
		for d := range m.fleet.opt.Destinations + 1 {
			list.Endpoints = append(
				list.Endpoints,
				policy.Endpoint{ID: route(d), Destination: policy.DestinationID(d), Weight: m.fleet.opt.Limit, InService: true},
			)
		}
		events = append(events, list)
	}
	if wait > 0 {
		events = append(
			events,
			policy.Event{
				Kind:       policy.AttemptFinished,
				Endpoint:   route(m.fleet.changed()),
				Outcome:    policy.Overloaded,
				RetryAfter: wait,
			},
		)
	}
	if m.fleet.opt.Busy == 0 {
		return events, nil
	}
	for upTo := now.Seconds() * m.fleet.opt.Messages; m.due < upTo; m.due++ {
		m.nextID++
		d := int(m.nextID) % m.fleet.opt.Busy
		events = append(events, policy.Event{Kind: policy.MessageAccepted, MessageID: m.nextID, Destination: policy.DestinationID(d)})
		actions = append(actions, policy.Action{Kind: policy.Send, MessageID: m.nextID, Endpoint: route(d)})
		m.out = append(
			m.out,
			policy.Event{
				Kind:         policy.AttemptFinished,
				MessageID:    m.nextID,
				Endpoint:     route(d),
				Outcome:      policy.OK,
				MessageEnded: true,
			},
		)
	}
	return events, actions
}

// Change has one member told of a wait, and returns the sorted times until the others know; of those who do not within
// the options' For there is none.
func (f *Fleet) Change(by int) (known []time.Duration) {
	w := &watch{from: memberName(by), at: time.Now(), known: map[int]time.Duration{}}
	f.watch.Store(w)
	defer f.watch.Store(nil)
	f.members[by].tell <- f.opt.For
	for end := time.Now().Add(f.opt.For); time.Now().Before(end); time.Sleep(lookEvery) {
		w.mu.Lock()
		n := len(w.known)
		w.mu.Unlock()
		if n >= f.opt.Members-1 {
			break
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range w.known {
		known = append(known, d)
	}
	slices.Sort(known)
	return known
}

// sums are what all members have spent so far.
type sums struct {
	at                                         time.Time
	cpu                                        time.Duration
	sent, heard, sentDatagrams, heardDatagrams uint64
	streams, lost, steps                       uint64
	each                                       []uint64 // bytes sent
}

func processor() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// spent runs f and returns the processor time of its thread: what else the machine has to do is not in it, nor is what
// the collector does beside it.
func spent(f func()) time.Duration {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	clock := func() time.Duration {
		var t unix.Timespec
		if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
			return 0
		}
		return time.Duration(t.Nano())
	}
	began := clock()
	f()
	return clock() - began
}

func (f *Fleet) sums() sums {
	s := sums{at: time.Now(), cpu: processor()}
	for i, t := range f.net.all {
		s.sent += t.sentBytes.Load()
		s.heard += t.heardBytes.Load()
		s.sentDatagrams += t.sentDatagrams.Load()
		s.heardDatagrams += t.heardDatagrams.Load()
		s.streams += t.sentStreams.Load()
		s.lost += t.lost.Load()
		s.steps += f.members[i].steps.Load()
		s.each = append(s.each, t.sentBytes.Load())
	}
	return s
}

// Rates measures for the options' Window what a member spends, as a mean over all.
func (f *Fleet) Rates() Reading {
	a := f.sums()
	time.Sleep(f.opt.Window)
	b := f.sums()
	n, seconds := float64(f.opt.Members), b.at.Sub(a.at).Seconds()
	per := func(x, y uint64) float64 { return float64(y-x) / n / seconds }
	each := make([]float64, len(a.each))
	for i := range each {
		each[i] = float64(b.each[i]-a.each[i]) / seconds
	}
	slices.Sort(each)
	return Reading{f.opt.Members, map[string]float64{
		"sent_bytes_per_s": per(a.sent, b.sent), "sent_bytes_per_s_p99": stat.Quantile(0.99, stat.Empirical, each, nil),
		"heard_bytes_per_s": per(a.heard, b.heard),
		"sent_datagrams_per_s": per(
			a.sentDatagrams,
			b.sentDatagrams,
		), "heard_datagrams_per_s": per(a.heardDatagrams, b.heardDatagrams),
		"streams_per_s": per(a.streams, b.streams), "datagrams_without_room_per_s": per(a.lost, b.lost),
		"steps_per_s": per(
			a.steps,
			b.steps,
		), "processor_ms_per_s": float64((b.cpu - a.cpu).Microseconds()) / 1000 / n / seconds,
	}}
}

// heap is the memory that is in use after a collection, in bytes.
func heap() uint64 {
	runtime.GC()
	runtime.GC() // what the first one's finalizers let go
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc + s.StackInuse
}

// Measure starts a fleet, times its changes, measures its rates and its memory, and ends it.
func Measure(opt Options) (r Reading, err error) {
	before, began := heap(), time.Now()
	f, err := Start(opt)
	if err != nil {
		return Reading{}, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	joined := time.Since(began)
	time.Sleep(f.opt.Settle)
	var half, most, all, share []float64
	for i := range f.opt.Changes {
		known := f.Change(i * f.opt.Members / f.opt.Changes)
		others := f.opt.Members - 1
		at := func(k int) float64 {
			if k > len(known) {
				return f.opt.For.Seconds() // at least
			}
			return known[k-1].Seconds()
		}
		half, most, all = append(half, at((others+1)/2)), append(most, at((others*99+99)/100)), append(all, at(others))
		share = append(share, float64(len(known))/float64(others))
	}
	r = f.Rates()
	r.Values["join_s"] = joined.Seconds()
	after := heap()
	r.Values["memory_bytes"] = float64(after-min(before, after)) / float64(f.opt.Members)
	if len(half) > 0 {
		r.Values["known_half_s"], r.Values["known_99_s"], r.Values["known_all_s"] = median(
			half,
		), median(
			most,
		), median(
			all,
		)
		r.Values["known_all_worst_s"], r.Values["known_share"] = slices.Max(all), slices.Min(share)
	}
	return r, nil
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1000 }

func median(x []float64) float64 {
	slices.Sort(x)
	return stat.Quantile(0.5, stat.Empirical, x, nil)
}
