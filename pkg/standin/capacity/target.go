package capacity

// The target size and its limits, from the section of that name in
// docs/design.md.
const (
	targetInstances           = 3100
	targetUpstreams           = 18000
	queriesPerSecond          = 530000
	upstreamsPerQuery         = 200
	regions                   = 6
	dataCentres               = 12
	changesPerDay             = 3400
	failuresPerDay            = 23
	restartsPerDay            = 2600
	targetLatencySeconds      = 0.34
	maxControlCores           = 0.012
	maxControlMemory          = 32 << 20
	maxControlBytesPerSecond  = 7 << 10
	maxConfigurationSeconds   = 8.0
	maxPlatformReadsPerSecond = 2000
	secondsPerDay             = 86400
)

// Assumptions about the target size that docs/design.md leaves open.
const (
	// With 3 replicas per shard, a query of 200 shards needs about 20 messages.
	replicas = 3
	services = targetUpstreams / (upstreamsPerQuery * replicas)
	// snapshots is the number of index versions in a document.
	snapshots = 2
	// memberRecordsPerChange is the number of membership records that a restart
	// or a failure causes: leaving or suspect, dead, joined.
	memberRecordsPerChange = 3
	payloadBytes           = 300
	resultBytes            = 200
	// slotsPerUpstream and connectionLimit are those of the service
	// restore-log.
	slotsPerUpstream = 6
	connectionLimit  = 110
	// lowestConnectionLimit is the lowest connection limit among the current
	// services.
	lowestConnectionLimit  = 25
	queryDeadlineSeconds   = 1.0
	regionRoundTripSeconds = 0.08
	ordersPerQuery         = 0.001
)

// Constants and defaults of the product that are not exported; times are in
// seconds. A test compares them with the source code.
const (
	maxInstances          = 10
	ticketLimit           = 20000
	ticketValiditySeconds = 30
	statusIntervalSeconds = 1
	readersPerDataCentre  = 2
	listReaders           = 24
	tombstoneLimit        = 4096
)
