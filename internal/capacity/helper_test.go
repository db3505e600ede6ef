package capacity

import "math"

// closeTo reports whether two values are equal except for rounding. Two NaN count as equal.
func closeTo(a, b float64) bool {
	return a == b || math.Abs(a-b) <= 1e-6*max(math.Abs(a), math.Abs(b)) || math.IsNaN(a) && math.IsNaN(b)
}

func newSeries(name string, unit Unit, points ...Point) Series {
	return Series{Name: name, Axis: "things", Unit: unit, Points: points}
}

// linearSeries returns a series whose points lie on a line.
func linearSeries(name string, unit Unit, intercept, slope float64, sizes ...float64) Series {
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{Size: size, Value: intercept + slope*size})
	}
	return newSeries(name, unit, points...)
}

// roundExample returns a target and a run with linear series and series with failed sizes. Their numbers are round, so
// that the expected results can be calculated by hand.
func roundExample() (Target, Run) {
	target := Target{
		Relays:               100,
		MessageRate:          10_000,
		Destinations:         1000,
		UnavailableFraction:  0.02,
		Backlog:              1e6,
		Regions:              4,
		Zones:                5,
		ChangesPerDay:        8640,
		MaxPropagationTime:   3,
		ControlPlane:         ResourceBudget{Cores: 0.05, Memory: 2e6, ByteRate: 1000},
		ControlMachines:      4,
		MachineFailures:      2,
		Restarts:             864,
		DestinationEndpoints: 2,
		IdleTimeout:          30,
		RackRelays:           10,
		RelayCores:           1,
		MaxStartupTime:       10,
	}
	run := Run{Program: Baseline, Commit: "x", Series: []Series{
		linearSeries(EngineMessageCPU, Seconds, 1e-5, 1e-8, 10, 100, 1000),
		linearSeries(EngineBacklogCPU, Seconds, 1e-5, 1e-9, 10, 100, 1000),
		linearSeries(JournalDisk, Bytes, 0, 1100, 10, 100, 1000),
		linearSeries(JournalSyncTime, Seconds, 1e-3, 1e-4, 1, 10, 100),
		linearSeries(SnapshotBytes, Bytes, 40, 300, 10, 100, 1000),
		linearSeries(RelayMemory, Bytes, 2e7, 4000, 10, 100, 1000),
		linearSeries(RelayStartupTime, Seconds, 0.1, 0.001, 10, 100, 1000),
		linearSeries(RelayChangeCPU, Seconds, 1e-4, 1e-6, 10, 100, 1000),
		linearSeries(RelayIdleCores, Cores, 0.01, 2e-5, 10, 100, 1000),
		linearSeries(RelayCores, Cores, 0.04, 0.002, 10, 50, 100),
		linearSeries(RelayNewConnectionCores, Cores, 0.04, 0.003, 10, 50, 100),
		linearSeries(RelayChangeTime, Seconds, 0.1, 1e-5, 10, 100, 1000),
		linearSeries(RelayBacklogMemory, Bytes, 2e7, 4000, 10, 100, 1000),
		linearSeries(RelayRecoveryTime, Seconds, 0.1, 0.001, 10, 100, 1000),
		linearSeries(FleetByteRate, ByteRate, 0, 140, 10, 30, 100),
		newSeries(RelayDiscoveryTime, Seconds,
			Point{Size: 10, Value: 1}, Point{Size: 100, Value: 1}, Point{Size: 200, Failed: true}),
		newSeries(FleetMaxMembers, Count, Point{Size: 50, Value: 50}, Point{Size: 60, Failed: true}),
		newSeries(FleetMaxQuotas, Count, Point{Size: 50, Value: 50}, Point{Size: 60, Failed: true}),
	}}
	return target, run
}
