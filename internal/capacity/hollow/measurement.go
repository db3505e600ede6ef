package hollow

import (
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"cherrytrestle.example/cherrytrestle/internal/capacity/usage"
)

// Metric is the name of a value of a Measurement. The name includes the unit. Metrics are stored in files of Records.
type Metric string

// Metrics of a fleet. They are means over its members unless their comments say otherwise.
const (
	SentByteRate         Metric = "sent_bytes_per_s"
	SentByteRateP99      Metric = "sent_bytes_per_s_p99" // 99th percentile over the members
	ReceivedByteRate     Metric = "heard_bytes_per_s"
	SentDatagramRate     Metric = "sent_datagrams_per_s"
	ReceivedDatagramRate Metric = "heard_datagrams_per_s"
	DroppedDatagramRate  Metric = "datagrams_without_room_per_s" // the receiver's queue was full
	StreamRate           Metric = "streams_per_s"
	StepRate             Metric = "steps_per_s"
	CPUPerSecond         Metric = "processor_ms_per_s"
	Memory               Metric = "memory_bytes"
	JoinTime             Metric = "join_s" // from the start until all members are alive to each other

	// Times from a change until a fraction of the other members has received it, as medians over the changes.
	PropagationHalf  Metric = "known_half_s"
	Propagation99    Metric = "known_99_s"
	PropagationAll   Metric = "known_all_s"
	PropagationWorst Metric = "known_all_worst_s" // not the median, but the slowest change
	InformedFraction Metric = "known_share"       // of the other members, for the change that reached the fewest
)

// Metrics of faults in a fleet: of the loss of a zone, and of a partition.
const (
	LossKnownFraction   Metric = lossPrefix + knownFractionSuffix
	LossKnownHalf       Metric = lossPrefix + knownByHalfSuffix
	HealedKnownFraction Metric = healedPrefix + knownFractionSuffix
	// Fraction of the members of one side of a partition that declared all members of the other side dead.
	IsolatedSplitFraction  Metric = "parted_share_cut_off"
	RemainingSplitFraction Metric = "parted_share_others"
)

// Metrics of quota leases.
const (
	LeaseRate          Metric = "loans_per_s"
	HeldDestinations   Metric = "kept_destinations" // destinations whose lease holder is the measured member
	SharedDestinations Metric = "shared_destinations"
	StartDatagramRate  Metric = "start_datagrams_per_s" // sent during the first seconds after the start
)

// Metrics of an agent and of the decision engine. Times are processor time.
const (
	SnapshotTime     Metric = "whole_list_us"
	DeltaTime        Metric = "change_us"
	IdleStepTime     Metric = "idle_step_us"
	FirstAcceptTime  Metric = "take_first_us" // per message, for the first tenth of the messages
	LastAcceptTime   Metric = "take_last_us"  // per message, for the last tenth of the messages
	MemoryPerMessage Metric = "memory_bytes_per_message"
	SendTime         Metric = "send_us"
	SentFraction     Metric = "sent_share"
	RecoveryTime     Metric = "resume_us"
)

// Measurement has the values that were measured at one size.
type Measurement struct {
	Size   int                `json:"n"` // number of members, destinations or messages, whichever was varied
	Values map[Metric]float64 `json:"values"`
}

// Record is a measurement of a case, as a line of a JSONL file.
type Record struct {
	Case string `json:"what"`
	Measurement
}

// Cases of Records.
const (
	CaseIdle   = "at rest"        // members send no messages
	CaseActive = "two busy pages" // members send messages to six destinations, whose load fills two load reports
)

// CaseQuota returns the name of the case of quota leases for a number of destinations.
func CaseQuota(destinations int) string {
	return fmt.Sprintf("rights of %d destinations", destinations)
}

// memoryInUse returns the bytes of live heap objects and stacks after a garbage collection.
func memoryInUse() uint64 {
	stats := usage.Memory()
	return stats.HeapAlloc + stats.StackInuse
}

// growth returns the increase of memory in bytes, or 0 if the garbage collection freed more than was allocated.
func growth(before, after uint64) float64 { return float64(after - min(before, after)) }

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1e3 }

// median sorts values and returns their median.
func median(values []float64) float64 {
	slices.Sort(values)
	return stat.Quantile(0.5, stat.Empirical, values, nil)
}
