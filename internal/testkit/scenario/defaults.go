package scenario

import (
	"time"

	"cherrytrestle.example/cherrytrestle/internal/testkit/upstream"
)

const millisecond = Duration(time.Millisecond)

// SetDefaults sets each value that is unset to its default.
func (f *File) SetDefaults() {
	setDefault(&f.Seed, 1)
	setDefault(&f.Relays, 1)
	if len(f.Zones) == 0 {
		f.Zones = []string{"a"}
	}
	f.Settings.setDefaults()
	f.Clients.setDefaults()
	setDefault(&f.Discovery.MinDelay, 200*millisecond)
	setDefault(&f.Discovery.MaxDelay, max(f.Discovery.MinDelay, 1000*millisecond))
	if len(f.Customers) == 0 {
		f.Customers = []Customer{{Name: "only"}}
	}
	for i := range f.Classes {
		f.Classes[i].setDefaults()
	}
	for i := range f.Customers {
		setDefault(&f.Customers[i].TrafficShare, 1)
	}
	for i := range f.DestinationKinds {
		f.DestinationKinds[i].setDefaults()
	}
	for i := range f.Destinations {
		f.Destinations[i].setDefaults(f.Zones)
	}
	for i := range f.Traffic {
		f.Traffic[i].setDefaults(f.Length)
	}
	for i := range f.Faults {
		f.Faults[i].setDefaults()
	}
}

func (s *Settings) setDefaults() {
	setDefault(&s.Tick, 5*millisecond)
	setDefault(&s.MaxConcurrentCalls, 40)
	setDefault(&s.MaxMessages, 400)
	setDefault(&s.MaxAttempts, 8)
	setDefaultPointer(&s.DuplicatesAllowed, true)
	setDefault(&s.MaxRetryAfter, 3000*millisecond)
	setDefault(&s.ConnectTimeout, 1500*millisecond)
	setDefault(&s.KeepAliveTimeout, 15000*millisecond)
	setDefault(&s.MemoryMB, 192)
	setDefault(&s.MaxSockets, 1024)
	setDefault(&s.DiskMB, 3)
	setDefault(&s.DrainGrace, 1000*millisecond)
	setDefault(&s.OverloadFactor, 2)
	setDefault(&s.OverloadWindow, 3000*millisecond)
	setDefault(&s.OrderingPause, 1000*millisecond)
	setDefaultPointer(&s.OverShareWeightRatio, 0.2)
}

func (c *Clients) setDefaults() {
	setDefault(&c.AnswerTimeout, 400*millisecond)
	setDefaultPointer(&c.RetryRatio, 0.5)
	setDefault(&c.RetryBackoff, 800*millisecond)
}

func (c *Class) setDefaults() {
	setDefault(&c.TrafficShare, 1)
	setDefault(&c.Weight, 1)
	setDefault(&c.DedupScope, DedupInZone)
}

func (k *DestinationKind) setDefaults() {
	setDefault(&k.MaxMessagesPerCall, 1)
	setDefault(&k.MaxQueueTime, 500*millisecond)
	setDefault(&k.Limit, upstream.NoLimit)
	setDefault(&k.LimitWindow, 1000*millisecond)
	setDefault(&k.WarmUpInitialCapacity, 0.2)
	setDefault(&k.WarmUpDuration, 12000*millisecond)
}

func (d *Destination) setDefaults(zones []string) {
	setDefault(&d.Count, 1)
	setDefault(&d.Endpoints, 2)
	setDefault(&d.TrafficWeight, 1)
	if len(d.Zones) == 0 {
		d.Zones = zones
	}
}

func (t *Traffic) setDefaults(scenarioLength Duration) {
	setDefault(&t.To, scenarioLength)
	setDefault(&t.Shape, ShapeSteady)
	setDefault(&t.BurstSize, 20)
	setDefault(&t.BodySize, 200)
}

func (f *Fault) setDefaults() {
	setDefault(&f.CallRatio, 1)
	setDefault(&f.Factor, 10)
	setDefault(&f.DrainTime, 4000*millisecond)
	setDefault(&f.BatchSize, 1)
	switch f.Kind {
	case FaultLinkLoss:
		setDefault(&f.LossRatio, 0.3)
	case FaultLinkThrottle:
		setDefault(&f.BytesPerSecond, 2000)
	case FaultLinkReorder:
		setDefault(&f.ReorderRatio, 0.3)
	}
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

func setDefaultPointer[T any](pointer **T, defaultValue T) {
	if *pointer == nil {
		*pointer = &defaultValue
	}
}
