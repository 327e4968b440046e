package capacity

// Target size, from the section of that name in docs/design.md.
const (
	instances           = 3100
	upstreams           = 18000
	queriesPerSecond    = 530000
	upstreamsPerQuery   = 200
	regions             = 6
	dataCentres         = 12
	changesPerDay       = 3400
	failuresPerDay      = 23
	restartsPerDay      = 2600
	targetLatency       = 0.34
	controlCore         = 0.012
	controlBytes        = 32 << 20
	controlBytesSecond  = 7 << 10
	configurationLimit  = 8.0
	platformReadsSecond = 2000
	daySeconds          = 86400
)

// Assumptions where the design page leaves the target size open.
const (
	// replicas makes a query of 200 shards need about 20 messages.
	replicas = 3
	services = upstreams / (upstreamsPerQuery * replicas)
	// snapshots is the number of index versions in a document.
	snapshots = 2
	// recordsPerChange counts the member records of a restart or a failure:
	// leaving or suspect, dead, joined.
	recordsPerChange = 3
	payloadBytes     = 300
	resultBytes      = 200
	// slotsPerUpstream and connectionLimit are those of restore-log.
	slotsPerUpstream = 6
	connectionLimit  = 110
	// connectionsLow is the lowest limit among the current services.
	connectionsLow = 25
	// queryDeadline is the deadline of a query in seconds.
	queryDeadline = 1.0
	// regionRoundTrip is the round trip between regions in seconds.
	regionRoundTrip = 0.08
	// orderFraction is the number of orders per query.
	orderFraction = 0.001
)

// Constants and defaults of the product that are not exported, in seconds where
// they are times. A test compares them with the source.
const (
	maxInstances          = 10
	ticketLimit           = 20000
	ticketValidity        = 30
	statusIntervalSeconds = 1
	readersPerDataCentre  = 2
	listReaders           = 24
	tombstoneLimit        = 4096
)
