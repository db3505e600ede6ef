package relay

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// constantReasons lists the constants of package policy and of the relay's packages, by the reason why they are not
// settings. A constant must not replace a setting: such a value has to be read from the settings.
var constantReasons = map[string][]string{
	"fixed by the documented protocol, the same for every customer": {
		"relay.envelopeHeader", "netconn.MaxBodySize", "ingress.requestTimeout", "ingress.lateRequestTimeout",
		"relay.shutdownAcceptTime", "relay.shutdownAnswerTime", "relay.shutdownSendTime", "relay.shutdownTimeout",
		"discovery.WatchIdleTimeout", "relay.drainConnectionsTimeout", "notify.postTimeout", "backoff.maxInterval",
		"policy.recoveryPushRatio", "egress.stateOK", "egress.stateError", "egress.stateLater", "egress.stateGone",
		"egress.stateExhausted",
	},
	"the relay's own bound on what a peer may use of its resources": {
		"netconn.MaxWireSize", "relay.maxIDSize", "ingress.idleTimeout", "ingress.writeTimeout",
		"ingress.lingerTimeout", "ingress.maxLingerSize", "netconn.MaxHeaderSize", "netconn.readBufferSize",
		"discovery.maxHeaderSize", "discovery.maxLoggedSize", "discovery.maxTextSize",
		"discovery.MaxEntries", "discovery.MaxEntrySize", "discovery.ListTimeout", "notify.maxNotificationsPerPost",
		"notify.maxResponseSize", "egress.responseTimeout", "egress.maxReportedValue", "egress.maxInformational",
		"egress.maxRetryAfterSeconds", "discovery.fetchIdleTimeout", "egress.maxMessagesPerConn",
		"egress.maxSilentEndpoints", "netconn.MaxHeaderFields", "netconn.minBodyBuffer", "netconn.parsedFieldSize",
		"netconn.parsedTextFactor", "ingress.connSize", "ingress.smallRequestSize", "ingress.freeInputSize",
		"egress.ConnSize", "egress.smallResponseSize", "egress.parsedStateSize", "egress.maxRequestHeaderSize",
		"relay.callCopies", "relay.smallCallSize", "relay.largeCallsFraction", "relay.callSize", "relay.finishedSize",
		"relay.messageSize", "relay.waitingCallsInterval",
		"ingress.memoryWait", "ingress.refuseAfter", "ingress.stalledAfter", "ingress.noMemoryRetryAfter",
	},
	"the relay's own bound on its work": {
		"hotrestart.maxGreetingSize",
		"hotrestart.dialTimeout", "hotrestart.sendTimeout", "hotrestart.maxFrameSize", "hotrestart.headerSize",
		"hotrestart.maxPathLength", "relay.maxTick",
		"relay.eventQueueSize", "relay.maxBatchEvents", "egress.recheckAfter", "relay.clockTolerance",
		"relay.initialClock", "egress.capacityRetryInterval", "notify.minRetryDelay", "notify.maxRetryDelay",
		"relay.configOverlap", "relay.removedClassGrace", "relay.metricsTimeout", "relay.healthSaveInterval",
		"relay.rulesSaveRetryInterval",
		"relay.healthSaveCostRatio", "relay.reservedDiskBytes", "relay.reservedDescriptors",
		"relay.minEndpointConns", "relay.journalLockTimeout", "relay.journalLockRetryInterval",
		"ingress.evictionRetryInterval", "ingress.maxSparedConns",
		"ingress.newConnGrace", "ingress.acceptRetryDelay", "ingress.surplusIdleTime", "relay.maxFinishedMessages",
		"relay.maxKeptDelivered",
		"ratelog.minInterval", "relay.readBufferSize", "discovery.MaxPartEntries", "discovery.noVersion",
		"backoff.maxDoublings", "relay.maxEvictions", "relay.evictInterval", "policy.maxQueueScan",
		"policy.maxFleetSize", "policy.snapshotVersion", "policy.deadlineMargin", "policy.randomStream",
		"policy.timerSlack", "policy.minClassWeight", "policy.revisionSize", "policy.strictestMaxAttempts",
	},
	"a fraction of a setting": {
		"relay.fleetStreamDivisor", "relay.heapFraction", "relay.sharedMemoryFraction",
		"egress.idleRatio", "backoff.graceRatio", "policy.recoveryLapseRatio", "policy.maxPendingRatio",
		"policy.maxScopeInFlightRatio", "policy.overQuotaDelayRatio", "policy.missedObjectiveDelayRatio",
		"policy.minScopeInFlight", "policy.overdueCallsDivisor",
	},
	"a default or a limit: settings take precedence": {
		"relay.defaultConnectTimeout", "relay.defaultKeepAlive", "relay.defaultDrainGrace", "relay.defaultMemoryMB",
		"relay.defaultSockets", "relay.defaultDiskMB", "relay.defaultDeadline", "relay.unknownRunAge",
		"relay.defaultWarmUp", "backoff.maxDelay", "policy.minLatencyBound", "policy.MinRetryAfter",
		"policy.minScopeCapacity", "policy.defaultWarmUpInitialCapacity", "policy.defaultWarmUpDuration",
		"policy.defaultOverloadWindow", "policy.defaultOverloadFactor",
	},
	"a parameter that the design leaves open: ejection times, thresholds, pacing factors": {
		"backoff.smallGroupSize", "backoff.spreadPerClient", "backoff.minDelay", "backoff.maxJitter",
		"policy.initialEjectionTime", "policy.maxEjectionTime", "policy.ejectionGrowth", "policy.ejectionJitter",
		"policy.outageRetryAfter", "policy.outageRejections", "policy.sparseOutageRejections",
		"policy.weakSignalProbability", "policy.sparseSpreadCalls", "policy.minOutageRejectionTime",
		"policy.ejectAfterFailures", "policy.suspectAfterFailures", "policy.suspectAfterRecentFailures",
		"policy.ejectAfterRecentFailures", "policy.pacingRestartRate", "policy.minPacingRate",
		"policy.minPacingShareRatio", "policy.pacingGrowth", "policy.cautiousPacingGrowth",
		"policy.maxGrowthSeconds", "policy.nearLimitRatio", "policy.maxUnusedPacingRatio",
		"policy.pacingBurstWindow", "policy.fleetBurstTokens", "policy.rejectionFreeWindow",
		"policy.fleetExcessPacingGrowth", "policy.maxFleetPacingRatio", "policy.minFleetPacingRatio",
		"policy.trafficWindow", "policy.trafficPriorMessages", "policy.ownTrafficRatio",
		"policy.quotaRequestInterval", "policy.quotaRequestLead", "policy.maxConnectExhaustions",
		"policy.connectExhaustionPause", "policy.connectShortageWindow", "policy.recentlyHealthyWindow",
		"policy.smallFleetSize", "policy.MaxInitialSpread", "policy.pacingDecreaseFactor",
	},
	"an identifier or a unit, which no setting could replace": {
		"relay.watcherStream", "relay.firstInheritedFD", "relay.unknownIndex", "relay.bytesPerMiB", "relay.knownKey",
		"relay.statsInAnswers",
	},
	"statistics: numbers of deviations, mixing ratios, averaging windows": {
		"policy.recoveryDeviations", "policy.ownDeliveryRatio", "policy.approximateWeightFactor",
		"policy.deliveryRateWindow", "policy.timeoutDeviations", "policy.overdueDeviations",
	},
}

// Every constant must be listed with a reason, and every listed constant must exist. This guards against a new
// constant in place of a value that the settings provide.
func TestNoConstantStandsInForASetting(t *testing.T) {
	listed := map[string]bool{}
	for reason, names := range constantReasons {
		for _, name := range names {
			if listed[name] {
				t.Errorf("%s is listed twice, the second time under %q", name, reason)
			}
			listed[name] = true
		}
	}
	found := append(constantsBelow(t, "."), constantsBelow(t, "../../policy")...)
	slices.Sort(found)
	for _, name := range found {
		if !listed[name] {
			t.Errorf("%s is not listed: must its value come from the settings?", name)
		}
		delete(listed, name)
	}
	for name := range listed {
		t.Errorf("%s is listed but does not exist", name)
	}
	if len(found) < 80 {
		t.Errorf("found only %d constants, want at least 80: the search misses packages", len(found))
	}
}

// constantsBelow returns the constants of all packages below a folder.
func constantsBelow(t *testing.T, folder string) (names []string) {
	t.Helper()
	err := filepath.WalkDir(folder, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return err
		}
		names = append(names, constantsOf(t, path)...)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return names
}

// constantsOf returns the constants of a file that have a value of their own and no declared type. Members of
// enumerations are left out.
func constantsOf(t *testing.T, name string) (names []string) {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, d := range file.Decls {
		group, ok := d.(*ast.GenDecl)
		if !ok || group.Tok != token.CONST {
			continue
		}
		for _, spec := range group.Specs {
			v := spec.(*ast.ValueSpec)
			if len(v.Values) == 0 || v.Type != nil { // a member of an enumeration
				continue
			}
			for _, n := range v.Names {
				names = append(names, file.Name.Name+"."+n.Name)
			}
		}
	}
	return names
}
