package hollow

import (
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"cherrytrestle.example/cherrytrestle/internal/capacity/usage"
)

// Metric names a value of a Measurement, with its unit at the end. Metrics are stored in files of Records.
type Metric string

// Metrics of a fleet: means over its members unless they say otherwise.
const (
	SentByteRate         Metric = "sent_bytes_per_s"
	SentByteRateP99      Metric = "sent_bytes_per_s_p99" // 99th percentile over the members
	ReceivedByteRate     Metric = "heard_bytes_per_s"
	SentDatagramRate     Metric = "sent_datagrams_per_s"
	ReceivedDatagramRate Metric = "heard_datagrams_per_s"
	DroppedDatagramRate  Metric = "datagrams_without_room_per_s"
	StreamRate           Metric = "streams_per_s"
	StepRate             Metric = "steps_per_s"
	CPUPerSecond         Metric = "processor_ms_per_s"
	Memory               Metric = "memory_bytes"
	JoinTime             Metric = "join_s" // until all members are alive

	// Times from a change until a part of the other members know it: medians over the changes.
	PropagationHalf  Metric = "known_half_s"
	Propagation99    Metric = "known_99_s"
	PropagationAll   Metric = "known_all_s"
	PropagationWorst Metric = "known_all_worst_s" // the slowest change until all know it
	InformedFraction Metric = "known_share"       // of the other members, of the change that fewest learned
)

// Metrics of faults in a fleet.
const (
	LossKnownFraction      Metric = lossPrefix + knownFractionSuffix
	LossKnownHalf          Metric = lossPrefix + knownByHalfSuffix
	HealedKnownFraction    Metric = healedPrefix + knownFractionSuffix
	IsolatedSplitFraction  Metric = "parted_share_cut_off" // of the isolated members
	RemainingSplitFraction Metric = "parted_share_others"  // of the other members
)

// Metrics of quota leases.
const (
	LeaseRate          Metric = "loans_per_s"
	HeldDestinations   Metric = "kept_destinations" // whose lease holder is the measured member
	SharedDestinations Metric = "shared_destinations"
	StartDatagramRate  Metric = "start_datagrams_per_s"
)

// Metrics of an agent and of the decision engine. Times of steps are processor time.
const (
	SnapshotTime     Metric = "whole_list_us"
	DeltaTime        Metric = "change_us"
	IdleStepTime     Metric = "idle_step_us"
	FirstAcceptTime  Metric = "take_first_us" // of each of the first tenth of the messages
	LastAcceptTime   Metric = "take_last_us"  // of each of the last tenth
	MemoryPerMessage Metric = "memory_bytes_per_message"
	SendTime         Metric = "send_us"
	SentFraction     Metric = "sent_share"
	RecoveryTime     Metric = "resume_us"
)

// Measurement is what was measured at one size.
type Measurement struct {
	Size   int                `json:"n"` // members, destinations or what else was varied
	Values map[Metric]float64 `json:"values"`
}

// Record is a measurement as a line of a file.
type Record struct {
	Case string `json:"what"`
	Measurement
}

// Cases of Records.
const (
	CaseIdle   = "at rest"        // members without load
	CaseActive = "two busy pages" // members with load to six destinations
)

// CaseQuota is the case of quota leases for so many destinations.
func CaseQuota(destinations int) string {
	return fmt.Sprintf("rights of %d destinations", destinations)
}

// memoryInUse returns the bytes of heap and stacks after a collection.
func memoryInUse() uint64 {
	stats := usage.Memory()
	return stats.HeapAlloc + stats.StackInuse
}

// growth returns by how much memory has grown. A collection that freed more than was allocated gives 0.
func growth(before, after uint64) float64 { return float64(after - min(before, after)) }

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// median sorts values and returns their median.
func median(values []float64) float64 {
	slices.Sort(values)
	return stat.Quantile(0.5, stat.Empirical, values, nil)
}
