package metrics

// Prefix is the first part of every metric name.
const Prefix = "sardineturn"

// Names of counters.
const (
	nameAnswers             = "answers_total"
	nameRefusals            = "refusals_total"
	nameGroupRefusals       = "group_refusals_total"
	nameOrders              = "orders_total"
	nameAttempts            = "upstream_attempts_total"
	nameRetries             = "retries_total"
	nameRetriesSuppressed   = "retries_suppressed_total"
	nameHedges              = "hedges_total"
	nameHedgesSuppressed    = "hedges_suppressed_total"
	nameDelegations         = "delegated_queries_total"
	nameAdmissionChanges    = "admission_changes_total"
	nameDroppedAnswers      = "dropped_answers_total"
	nameInvariantViolations = "invariant_violations_total"
	nameDocumentVerdicts    = "document_verdicts_total"
	namePlatformReads       = "platform_reads_total"
	nameSettingsReloads     = "settings_reloads_total"
	nameStoreEraChanges     = "store_era_changes_total"
	nameMembershipChanges   = "membership_changes_total"
	nameControlMessages     = "control_messages_total"
	nameControlBytes        = "control_bytes_total"
	nameEjections           = "upstream_ejections_total"
	nameQuarantines         = "quarantines_total"
	nameCrashChecks         = "crash_checks_total"
	nameRestarts            = "query_restarts_total"
	namePauses              = "pauses_total"
	nameUpstreamByteWaits   = "upstream_byte_waits_total"
	nameSuppressedLines     = "suppressed_log_lines_total"
	nameWithdrawnAttempts   = "withdrawn_attempts_total"
)

// Names of gauges.
const (
	nameQueued          = "queued_requests"
	nameInFlight        = "upstream_attempts_in_flight"
	nameRequests        = "caller_requests_in_flight"
	nameMembers         = "members"
	nameOpenConnections = "upstream_connections_open"
	nameTickets         = "order_tickets_held"
	nameDocuments       = "documents_in_force"
	nameReady           = "ready"
	nameEvacuated       = "evacuated_data_centres"
	nameBodyMemory      = "body_memory_bytes"
	nameColdUpstreams   = "cold_upstreams"
)

// Names of histograms.
const (
	nameRequestLatency = "request_latency_seconds"
	nameQueueDelay     = "queue_delay_seconds"
	nameAttemptLatency = "upstream_attempt_latency_seconds"
	nameCoverage       = "answer_coverage_ratio"
)

// Names of tags.
const (
	tagCode      = "code"
	tagPriority  = "priority"
	tagReason    = "reason"
	tagKind      = "kind"
	tagInvariant = "invariant"
	tagVerdict   = "verdict"
	tagState     = "state"
	tagResult    = "result"
	tagGroup     = "group"
	tagDirection = "direction"
	tagRan       = "ran"
)
