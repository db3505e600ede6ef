package capacity

// Names of the measured series. They are stored in docs/capacity.json. A total stands over its size; the cost of one
// operation stands over the size at which it was measured.
const (
	EngineMessageCPU     = "module.message" // CPU seconds of one message, over the known destinations
	EngineBacklogCPU     = "module.backlog" // CPU seconds of one message, over the queued messages
	EngineBacklogMemory  = "module.held"    // bytes of all queued messages
	EngineEndpointMemory = "module.told"    // bytes of all known destinations
	EngineSnapshotCPU    = "module.list"    // CPU seconds of an endpoint snapshot that changes nothing
	EngineDeltaCPU       = "module.change"  // CPU seconds of a change of one endpoint, over the known destinations

	JournalDisk         = "journal.disk"    // bytes of all messages
	JournalMemory       = "journal.live"    // bytes of memory for all messages, bodies on disk
	JournalMessageCPU   = "journal.message" // CPU seconds to accept and to end one message, over the live messages
	JournalRecoveryTime = "journal.open"    // seconds to recover all messages
	JournalSyncTime     = "journal.sync"    // seconds of a commit that outlasts the machine, over the messages in it

	SnapshotBytes = "list.whole" // bytes of an endpoint snapshot on the wire, over destinations

	RelayMemory             = "relay.memory"    // peak resident bytes with known endpoints, over destinations
	RelayStartupTime        = "relay.ready"     // seconds until a relay with known endpoints is ready
	RelayStartupCPU         = "relay.start"     // CPU seconds until a relay with known endpoints is ready
	RelayDiscoveryTime      = "relay.discovery" // seconds until a relay that must ask discovery is ready
	RelayIdleCores          = "relay.rest"      // cores without load, over destinations
	RelayChangeCPU          = "relay.change"    // CPU seconds of a change of one endpoint, over destinations
	RelayChangeTime         = "relay.force"     // seconds from a change until messages follow it, over destinations
	RelayCores              = "relay.load"      // cores over messages per second, connections reused
	RelayNewConnectionCores = "relay.fresh"     // cores over messages per second, nearly every call on a new connection
	RelayBacklogMemory      = "relay.backlog"   // peak resident bytes with so many messages in the journal
	RelayRecoveryTime       = "relay.recovery"  // seconds until ready with so many messages in the journal

	FleetByteRate        = "fleet.bytes"    // bytes per second that a member sends, over members
	FleetCores           = "fleet.cores"    // cores of a member
	FleetMemory          = "fleet.memory"   // bytes of a member
	FleetIdleByteRate    = "fleet.rest"     // bytes per second that a member sends without load
	FleetDatagramRate    = "fleet.messages" // datagrams per second that a member sends
	FleetPropagationTime = "fleet.known"    // seconds until all members know what one has published
	FleetQuotaByteRate   = "fleet.lending"  // bytes per second that a member sends to share 1,000 limits
	FleetMaxMembers      = "fleet.join"     // size of a member table with which a relay starts
	FleetMaxPublished    = "fleet.pages"    // destinations that a member publishes, of those with traffic
	FleetMaxQuotas       = "fleet.rights"   // destinations with a shared limit, of those listed
)
