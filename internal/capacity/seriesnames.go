package capacity

// The names of the measured series, as stored in docs/capacity.json. Each series holds a cost at several sizes. The
// comments name what the size counts after "over"; for a total of all items, the size is the number of these items.
const (
	EngineMessageCPU     = "module.message" // CPU seconds of one message, over the known destinations
	EngineBacklogCPU     = "module.backlog" // CPU seconds of one message, over the queued messages
	EngineBacklogMemory  = "module.held"    // bytes of memory of all queued messages
	EngineEndpointMemory = "module.told"    // bytes of memory of all known destinations
	EngineSnapshotCPU    = "module.list"    // CPU seconds of a snapshot that changes nothing, over known destinations
	EngineDeltaCPU       = "module.change"  // CPU seconds of a change of one endpoint, over the known destinations

	JournalDisk         = "journal.disk"    // bytes on disk of all messages
	JournalMemory       = "journal.live"    // bytes of memory of all messages, their bodies on disk
	JournalMessageCPU   = "journal.message" // CPU seconds to accept and remove one message, over the live messages
	JournalRecoveryTime = "journal.open"    // seconds to recover all messages
	JournalSyncTime     = "journal.sync"    // seconds of a commit that is synced to disk, over the messages in it

	SnapshotBytes = "list.whole" // bytes of an endpoint snapshot on the wire, over destinations

	RelayMemory             = "relay.memory"    // peak resident bytes with known endpoints, over destinations
	RelayStartupTime        = "relay.ready"     // seconds until ready, with known endpoints, over destinations
	RelayStartupCPU         = "relay.start"     // CPU seconds until ready, with known endpoints, over destinations
	RelayDiscoveryTime      = "relay.discovery" // seconds until ready, with endpoints from discovery, over destinations
	RelayIdleCores          = "relay.rest"      // cores without load, over destinations
	RelayChangeCPU          = "relay.change"    // CPU seconds of a change of one endpoint, over destinations
	RelayChangeTime         = "relay.force"     // seconds until messages go to a changed address, over destinations
	RelayCores              = "relay.load"      // cores over messages per second, connections reused
	RelayNewConnectionCores = "relay.fresh"     // cores over messages per second, nearly every call on a new connection
	RelayBacklogMemory      = "relay.backlog"   // peak resident bytes after a restart, over the messages in the journal
	RelayRecoveryTime       = "relay.recovery"  // seconds until ready after a restart, over the messages in the journal

	FleetByteRate        = "fleet.bytes"    // bytes per second that a member sends, over members
	FleetCores           = "fleet.cores"    // cores of a member, over members
	FleetMemory          = "fleet.memory"   // bytes of memory of a member, over members
	FleetIdleByteRate    = "fleet.rest"     // bytes per second that a member sends without load, over members
	FleetDatagramRate    = "fleet.messages" // datagrams per second that a member sends, over members
	FleetPropagationTime = "fleet.known"    // seconds until all have received a change of one member, over members
	FleetQuotaByteRate   = "fleet.lending"  // bytes per second that a member sends to share 1,000 limits, over members
	FleetMaxMembers      = "fleet.join"     // members that a relay accepts, over members in its table
	FleetMaxPublished    = "fleet.pages"    // destinations whose load a member publishes, over those with traffic
	FleetMaxQuotas       = "fleet.rights"   // destinations whose limit is shared, over those with a limit
)
