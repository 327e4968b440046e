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
	// replicas is the number of replicas of each shard. With 3, a scheduling group
	// of document.MaxMergedGroup (12) upstreams serves 4 shards, so that a query of
	// 200 shards needs 50 group messages.
	replicas = 3
	services = targetUpstreams / (upstreamsPerQuery * replicas)
	// snapshots is the number of snapshots that a document lists.
	snapshots = 2
	// memberRecordsPerChange is the number of membership records that announce one
	// restart or failure: leaving or suspect, then dead, then joined.
	memberRecordsPerChange = 3
	payloadBytes           = 300
	resultBytes            = 200
	// slotsPerUpstream and connectionLimit are the values of customer Shevitsa's
	// service restore-log.
	slotsPerUpstream = 6
	connectionLimit  = 110
	// lowestConnectionLimit is the lowest connection limit of an upstream among
	// the customers' current services.
	lowestConnectionLimit  = 25
	queryDeadlineSeconds   = 1.0
	regionRoundTripSeconds = 0.08
	ordersPerQuery         = 0.001
)

// Copies of constants and defaults of the product; times are in seconds.
// TestConstantsMatchProductSource compares them with the product's source code.
const (
	maxInstances          = 10
	ticketLimit           = 20000
	ticketValiditySeconds = 30
	statusIntervalSeconds = 1
	readersPerDataCentre  = 2
	listReaders           = 24
	tombstoneLimit        = 4096
)
