package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"cherrytrestle.example/cherrytrestle/internal/capacity"
	"cherrytrestle.example/cherrytrestle/internal/config/operatorfile"
	"cherrytrestle.example/cherrytrestle/internal/fleet/agent"
	"cherrytrestle.example/cherrytrestle/internal/fleet/loadreport"
	"cherrytrestle.example/cherrytrestle/internal/state/journal"
	"cherrytrestle.example/cherrytrestle/internal/state/store"
	"cherrytrestle.example/cherrytrestle/internal/testkit/fake"
	"cherrytrestle.example/cherrytrestle/policy"
)

// What is measured inside this process.

// body is a message's, bytes.
const body = 1000

// used is the processor time of this process, its collector's with it.
func used() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// live is what the heap holds after a collection.
func live() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// measured is one series as it grows.
func measured(name, axis string, unit capacity.Unit) *capacity.Series {
	return &capacity.Series{Name: name, Axis: axis, Unit: unit}
}

func add(s *capacity.Series, n int, value float64) {
	s.Points = append(s.Points, capacity.Point{Size: float64(n), Value: value})
}

func stop(s *capacity.Series, n int) {
	s.Points = append(s.Points, capacity.Point{Size: float64(n), Failed: true})
}

func list(all ...*capacity.Series) (series []capacity.Series) {
	for _, s := range all {
		series = append(series, *s)
	}
	return series
}

func moduleSettings() policy.Settings {
	return policy.Settings{
		Classes: []policy.Class{
			{
				Effect:           policy.IdempotentByKey,
				DedupWindow:      10 * time.Second,
				LatencyObjective: 3 * time.Second,
				Deadline:         time.Hour,
				Weight:           1,
			},
		},
		DestinationKinds: []policy.DestinationKind{
			{MaxBatch: 1},
		}, Tenants: []policy.Tenant{{}}, FleetSize: 1, MaxAttempts: 8, WarmUpDuration: 30 * time.Second,
		OverloadFactor: 2, OverloadWindow: 3 * time.Second, WarmUpInitialCapacity: 0.1,
	}
}

// routes are two of each of n destinations.
func routes(n int, serves func(dest int) bool) []policy.Endpoint {
	all := make([]policy.Endpoint, 0, 2*n)
	for i := range 2 * n {
		all = append(
			all,
			policy.Endpoint{
				ID:          fmt.Sprintf("s-%08x", i),
				Destination: policy.DestinationID(i / 2),
				Zone:        i % 2,
				Weight:      5e5,
				InService:   serves(i / 2),
			},
		)
	}
	return all
}

// stepper plays a module whose every call succeeds 10 ms after it was made.
type stepper struct {
	*policy.Engine
	now  time.Duration
	ends []policy.Event
	sent int
}

func (s *stepper) step(evs ...policy.Event) {
	s.now += time.Millisecond
	evs = append(s.ends, evs...)
	s.ends = nil
	for _, a := range s.Step(s.now, evs) {
		if a.Kind == policy.Send {
			s.sent++
			s.ends = append(
				s.ends,
				policy.Event{
					Kind:         policy.AttemptFinished,
					MessageID:    a.MessageID,
					Endpoint:     a.Endpoint,
					Outcome:      policy.OK,
					Latency:      10 * time.Millisecond,
					MessageEnded: true,
				},
			)
		}
	}
}

// message hands one in, in a step of its own, so that the next step ends it.
func (s *stepper) message(id policy.MessageID, dest int) {
	s.step(policy.Event{Kind: policy.MessageAccepted, MessageID: id, Destination: policy.DestinationID(dest), Key: "k", TimeLeft: time.Hour})
}

func newStepper(n int, serves func(int) bool) (*stepper, error) {
	m, err := policy.New(moduleSettings(), 1)
	if err != nil {
		return nil, err
	}
	s := &stepper{Engine: m, now: time.Minute}
	s.step(policy.Event{Kind: policy.EndpointSnapshot, Endpoints: routes(n, serves)})
	s.now += 5 * time.Second // first calls are spread over a while after the list
	return s, nil
}

func served(int) bool { return true }

// moduleSeries measures the decisions alone.
func moduleSeries(ctx context.Context, b *bench) ([]capacity.Series, error) {
	message := measured(capacity.EngineMessageCPU, "destinations told", capacity.Seconds)
	told := measured(capacity.EngineEndpointMemory, "destinations told", capacity.Bytes)
	whole := measured(capacity.EngineSnapshotCPU, "destinations told", capacity.Seconds)
	change := measured(capacity.EngineDeltaCPU, "destinations told", capacity.Seconds)
	for _, n := range b.sizes([]int{100, 1000, 3000}, []int{100, 1000, 10_000, 50_000, 140_000}) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		before := live()
		s, err := newStepper(n, served)
		if err != nil {
			return nil, err
		}
		add(told, n, live()-before)
		rng, id := rand.New(rand.NewPCG(1, uint64(n))), policy.MessageID(0)
		pass := func(messages int) {
			for range messages {
				id++
				s.message(id, rng.IntN(n))
			}
		}
		pass(1000)
		const messages = 20_000
		began, sent := used(), s.sent
		pass(messages)
		if got := s.sent - sent; got < messages*9/10 {
			return nil, fmt.Errorf(
				"%d of %d messages were sent at %d destinations: the pace of the run measures something else",
				got,
				messages,
				n,
			)
		}
		add(message, n, (used()-began).Seconds()/messages)

		again := routes(n, served)
		rounds := max(3, 500_000/n)
		began = used()
		for range rounds {
			s.step(policy.Event{Kind: policy.EndpointSnapshot, Endpoints: again})
		}
		add(whole, n, (used()-began).Seconds()/float64(rounds))
		const changes = 20_000
		began = used()
		for i := range changes {
			l := again[rng.IntN(len(again))]
			l.Weight += float64(i%2 + 1)
			s.step(policy.Event{Kind: policy.EndpointDelta, Endpoints: []policy.Endpoint{l}})
		}
		add(change, n, (used()-began).Seconds()/changes)
		runtime.KeepAlive(s)
	}
	held, beside, err := moduleBacklog(ctx, b)
	if err != nil {
		return nil, err
	}
	return list(message, told, whole, change, held, beside), nil
}

// down is the destinations that a backlog is held for: those that are down at any time at the size to design for.
const down = 2240

// moduleBacklog holds messages at destinations that are not in service, and has others pass at 500 that are.
func moduleBacklog(ctx context.Context, b *bench) (held, beside *capacity.Series, err error) {
	held = measured(capacity.EngineBacklogMemory, "messages held", capacity.Bytes)
	beside = measured(capacity.EngineBacklogCPU, "messages held", capacity.Seconds)
	held.Limitations = fmt.Sprintf(
		"held for %d destinations that are out of service, so nothing of them is tried; 500 others are served",
		down,
	)
	beside.Limitations = held.Limitations
	for _, n := range b.sizes([]int{1000, 5000, 20_000}, []int{10_000, 100_000, 300_000, 1_000_000}) {
		if err := ctx.Err(); err != nil {
			return nil, nil, err
		}
		s, err := newStepper(500+down, func(dest int) bool { return dest < 500 })
		if err != nil {
			return nil, nil, err
		}
		before := live()
		const batch = 500
		evs := make([]policy.Event, 0, batch)
		for i := 0; i < n; i += batch {
			evs = evs[:0]
			for k := range min(batch, n-i) {
				evs = append(
					evs,
					policy.Event{
						Kind:        policy.MessageAccepted,
						MessageID:   policy.MessageID(i + k + 1),
						Destination: policy.DestinationID(500 + (i+k)%down),
						Key:         "k",
						TimeLeft:    100 * time.Hour,
					},
				)
			}
			s.step(evs...)
		}
		for range 10 { // until all are late: each is put in another place of its queue then, once
			s.now += time.Second
			s.step(policy.Event{Kind: policy.TimerFired})
		}
		add(held, n, live()-before)
		rng, id := rand.New(rand.NewPCG(2, uint64(n))), policy.MessageID(1e9)
		const messages = 10_000
		for range 500 {
			id++
			s.message(id, rng.IntN(500))
		}
		began, sent := used(), s.sent
		for range messages {
			id++
			s.message(id, rng.IntN(500))
		}
		if got := s.sent - sent; got < messages*9/10 {
			return nil, nil, fmt.Errorf("%d of %d messages were sent beside %d held", got, messages, n)
		}
		add(beside, n, (used()-began).Seconds()/messages)
		runtime.KeepAlive(s)
	}
	return held, beside, nil
}

func stored(id policy.MessageID, dest int, deadline time.Time, payload []byte) *journal.Message {
	return &journal.Message{
		ID: id, TraceID: fmt.Sprintf("%016x", id), IdempotencyKey: fmt.Sprintf("5c0f6e1a2b3d4c59a8b7c6d5%08x", id), ClassName: "order", Destination: policy.DestinationID(dest), Deadline: deadline, Body: payload,
	}
}

// fill puts n messages to dests destinations into the journal of a folder.
func fill(folder string, n, dests int) error {
	j, _, err := journal.OpenFolder(folder, journal.Options{Limit: room(n), MaxBodyBytes: 1})
	if err != nil {
		return err
	}
	payload, deadline := make([]byte, body), time.Now().Add(100*time.Hour)
	const batch = 100
	for i := 0; i < n; i += batch {
		var ms []*journal.Message
		for k := range min(batch, n-i) {
			ms = append(ms, stored(policy.MessageID(i+k+1), (i+k)%dests, deadline, payload))
		}
		if err := j.Accept(ms...); err != nil {
			return errors.Join(err, j.Close())
		}
	}
	return j.Close()
}

// room is a limit that so many messages fit in well.
func room(n int) int64 { return max(64e6, int64(n)*4*body) }

func folderSize(folder string) (sum float64, err error) {
	return sum, filepath.Walk(folder, func(_ string, info os.FileInfo, err error) error {
		if err == nil && info.Mode().IsRegular() {
			sum += float64(info.Size())
		}
		return err
	})
}

// journalSeries measures the journal alone, on files.
func journalSeries(ctx context.Context, b *bench) ([]capacity.Series, error) {
	disk := measured(capacity.JournalDisk, "messages", capacity.Bytes)
	memory := measured(capacity.JournalMemory, "messages", capacity.Bytes)
	message := measured(capacity.JournalMessageCPU, "messages live", capacity.Seconds)
	open := measured(capacity.JournalRecoveryTime, "messages", capacity.Seconds)
	for _, n := range b.sizes([]int{1000, 5000, 20_000}, []int{10_000, 100_000, 300_000}) {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		folder := filepath.Join(b.folder, fmt.Sprint("journal", n))
		if err := fill(folder, n, 1000); err != nil {
			return nil, err
		}
		size, err := folderSize(folder)
		if err != nil {
			return nil, err
		}
		add(disk, n, size)
		before := live()
		began := time.Now()
		j, found, err := journal.OpenFolder(folder, journal.Options{Limit: room(n), MaxBodyBytes: 1})
		if err != nil {
			return nil, err
		}
		add(open, n, time.Since(began).Seconds())
		if len(found.Messages) != n {
			return nil, errors.Join(fmt.Errorf("%d of %d messages were found again", len(found.Messages), n), j.Close())
		}
		old := found.Messages
		found = nil
		add(memory, n, live()-before)
		payload, deadline := make([]byte, body), time.Now().Add(time.Hour)
		const messages = 10_000
		start := used()
		for i := range messages {
			m := stored(policy.MessageID(n+i+1), i%1000, deadline, payload)
			if err := j.Accept(m); err != nil {
				return nil, errors.Join(err, j.Close())
			}
			old = append(old, m)
			j.Remove(old[i])
			if err := j.Flush(); err != nil {
				return nil, errors.Join(err, j.Close())
			}
		}
		add(message, n, (used()-start).Seconds()/messages)
		if err := errors.Join(j.Close(), os.RemoveAll(folder)); err != nil {
			return nil, err
		}
	}
	sync, err := journalSync(b)
	if err != nil {
		return nil, err
	}
	return list(disk, memory, message, open, sync), nil
}

// journalSync measures commits that outlast the machine.
func journalSync(b *bench) (*capacity.Series, error) {
	sync := measured(capacity.JournalSyncTime, "messages in a commit", capacity.Seconds)
	for _, n := range []int{1, 10, 100} {
		folder := filepath.Join(b.folder, fmt.Sprint("sync", n))
		j, _, err := journal.OpenFolder(folder, journal.Options{Limit: 256e6, Sync: store.SyncCommit, MaxBodyBytes: 1})
		if err != nil {
			return nil, err
		}
		payload, deadline, id := make([]byte, body), time.Now().Add(time.Hour), policy.MessageID(0)
		const commits = 50
		began := time.Now()
		for range commits {
			var ms []*journal.Message
			for range n {
				id++
				ms = append(ms, stored(id, int(id)%1000, deadline, payload))
			}
			if err := j.Accept(ms...); err != nil {
				return nil, errors.Join(err, j.Close())
			}
		}
		add(sync, n, time.Since(began).Seconds()/commits)
		if err := errors.Join(j.Close(), os.RemoveAll(folder)); err != nil {
			return nil, err
		}
	}
	return sync, nil
}

// members is a list of two endpoints for each of n destinations, all at one address.
func members(n int, addr, state string) []fake.ListedEndpoint {
	all := make([]fake.ListedEndpoint, 0, 2*n)
	for i := range 2 * n {
		all = append(all, fake.ListedEndpoint{
			ID: fmt.Sprintf(
				"s-%08x",
				i,
			), Addr: addr, Zone: []string{"a", "b"}[i%2], Kind: "platform", Destination: i / 2, State: state, Weight: 5000, StartedMS: 1_780_000_000_000,
		})
	}
	return all
}

// listSeries is what a whole list takes on the wire.
func listSeries(_ context.Context, b *bench) ([]capacity.Series, error) {
	whole := measured(capacity.SnapshotBytes, "destinations", capacity.Bytes)
	for _, n := range b.sizes([]int{100, 1000, 3000}, []int{1000, 5000, 20_000, 50_000, 140_000}) {
		data, err := json.Marshal(
			fake.EndpointList{Version: int64(2 * n), Full: true, Endpoints: members(n, "10.20.30.40:8080", "ready")},
		)
		if err != nil {
			return nil, err
		}
		add(whole, n, float64(len(data)))
	}
	return list(whole), nil
}

// fleetSeries measures the bounds of what relays tell each other, and what that costs at so many members.
func fleetSeries(ctx context.Context, b *bench) ([]capacity.Series, error) {
	join := measured(capacity.FleetMaxMembers, "relays", capacity.Count)
	for _, n := range []int{256, 512, 1024, 1025, 2600} {
		var text strings.Builder
		text.WriteString("[fleet]\nenabled = true\nname = \"n0\"\nlisten = \"127.0.0.1:7946\"\n[fleet.join]\n")
		for i := range n {
			fmt.Fprintf(&text, "n%d = \"127.0.0.1:%d\"\n", i, 10_000+i)
		}
		if _, err := operatorfile.Parse("operator.toml", []byte(text.String())); err != nil {
			stop(join, n)
			continue
		}
		add(join, n, float64(n))
	}
	pages := measured(capacity.FleetMaxPublished, "destinations with traffic", capacity.Count)
	for _, n := range []int{64, 128, 256, 260, 1024} {
		if got := toldOf(n); got < n {
			stop(pages, n)
		} else {
			add(pages, n, float64(got))
		}
	}
	lent := measured(capacity.FleetMaxQuotas, "destinations with a limit", capacity.Count)
	for _, n := range []int{256, 512, 1024, 1025, 2048} {
		if got := lentOf(n); got < n {
			stop(lent, n)
		} else {
			add(lent, n, float64(got))
		}
	}
	costs, err := hollowSeries(ctx, b)
	return append(list(join, pages, lent), costs...), err
}

func newSeam(n int, rights bool) *agent.Agent {
	s := agent.New(agent.Settings{
		Self: "n0", Incarnation: loadreport.Incarnation{Generation: 1}, Members: []string{"n0", "n1", "n2", "n3", "n4", "n5", "n6", "n7"}, DestinationKinds: []policy.DestinationKind{{MaxBatch: 1}}, ShareQuota: rights, FleetSize: 8,
	})
	s.Step(time.Second, agent.Input{})
	s.Step(
		2*time.Second,
		agent.Input{Events: []policy.Event{{Kind: policy.EndpointSnapshot, Endpoints: routes(n, served)}}},
	)
	return s
}

// toldOf is of how many destinations a member tells that has a message to each of n in a second.
func toldOf(n int) int {
	s, seen := newSeam(n, false), map[int]bool{}
	for at := 3 * time.Second; at < 6*time.Second; at += 100 * time.Millisecond {
		var evs []policy.Event
		for dest := range n {
			evs = append(
				evs,
				policy.Event{
					Kind:        policy.MessageAccepted,
					MessageID:   policy.MessageID(at.Milliseconds())*10_000 + policy.MessageID(dest),
					Destination: policy.DestinationID(dest),
				},
			)
		}
		for _, p := range s.Step(at, agent.Input{Events: evs}).Published {
			for _, c := range p.Scopes {
				seen[int(c.Destination)] = true
			}
		}
	}
	return len(seen)
}

// lentOf is of how many of n destinations with a limit a member's book has an account.
func lentOf(n int) int { return len(newSeam(n, true).Quota().Accounts) }
