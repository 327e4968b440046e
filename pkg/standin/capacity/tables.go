package capacity

import (
	"fmt"
	"slices"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
)

// Texts of the column "basis", which says where a figure comes from.
const (
	basisMeasured     = "measured"
	basisFitted       = "fitted"
	basisAssumed      = "assumed"
	basisDesignPage   = "design page"
	basisWorkedOut    = "worked out"
	basisLargestFleet = "measured at the largest modelled fleet"
)

func cores(v float64) string { return number(v) + " cores" }

func percentOfCore(v float64) string { return number(100*v) + "% of a core" }

func bytesText(v float64) string {
	switch {
	case v >= megabyte:
		return number(v/megabyte) + " MB"
	case v >= kilobyte:
		return number(v/kilobyte) + " KB"
	default:
		return number(v) + " B"
	}
}

func rateText(v float64) string { return bytesText(v) + "/s" }

func (r *Report) targetTables() []Table {
	e := r.estimate()
	return []Table{
		assumptionsTable(), e.fanOutTable(), e.groupSizesTable(),
		e.entryTable(), e.homeTable(), e.orderOwnerTable(), e.readerTable(), e.memberTable(),
		e.controlTable(), e.platformTable(), e.faultsTable(), e.limitsTable(),
	}
}

func assumptionsTable() Table {
	return Table{Name: "assumptions", Header: []string{"quantity", "value", "basis"}, Rows: [][]string{
		{"instances", number(targetInstances), basisDesignPage},
		{"upstreams", number(targetUpstreams), basisDesignPage},
		{"queries per second, upstreams each", number(queriesPerSecond) + ", " + number(upstreamsPerQuery), basisDesignPage},
		{"data centres, regions", fmt.Sprintf("%d, %d", dataCentres, regions), basisDesignPage},
		{"configuration changes a day", number(changesPerDay), basisDesignPage},
		{"restarts and failures a day", fmt.Sprintf("%s and %d", number(restartsPerDay), failuresPerDay), basisDesignPage},
		{"member records per restart or failure", number(memberRecordsPerChange), basisAssumed + ": leaving or suspect, dead, joined"},
		{"replicas per shard, shards per upstream", fmt.Sprintf("%d, 1", replicas), basisAssumed + ": gives the design page's 50 messages per query"},
		{"services (documents)", number(services), basisAssumed + ": a query goes to one replica of each of 200 shards"},
		{"snapshots per document", number(snapshots), basisAssumed},
		{"payload, result of a shard", fmt.Sprintf("%d B, %d B", payloadBytes, resultBytes), basisAssumed},
		{"slots and connection limit of an upstream", fmt.Sprintf("%d and %d", slotsPerUpstream, connectionLimit), basisAssumed + ": as restore-log"},
		{"a service's upstreams", "in the two data centres of one region", basisAssumed},
		{"deadline of a query", number(queryDeadlineSeconds) + " s", basisAssumed},
		{"round trip between regions", number(1000*regionRoundTripSeconds) + " ms", basisAssumed},
		{"orders per query", number(ordersPerQuery), basisAssumed},
		{"validity of a ticket", number(ticketValiditySeconds) + " s", "default of pkg/order"},
	}}
}

func (e *estimate) fanOutTable() Table {
	return Table{Name: "fan-out", Header: []string{"quantity", "value", "basis"}, Rows: [][]string{
		{"upstream calls in the fleet", number(e.upstreamCalls) + "/s", basisDesignPage + ": queries × upstreams"},
		{"upstream calls per instance in the mean", number(e.upstreamCalls/targetInstances) + "/s", basisWorkedOut},
		{"calls per upstream", number(e.callsPerUpstream) + "/s", basisWorkedOut},
		{"longest mean time of a call at " + number(slotsPerUpstream) + " slots", number(1000*slotsPerUpstream/e.callsPerUpstream) + " ms", basisWorkedOut + ": slots / calls"},
		{"scheduling groups", number(e.groups), "counted with pkg/document"},
		{"messages per query", number(e.messagesPerQuery) + " instead of " + number(upstreamsPerQuery), "groups / services"},
		{"peer messages in the fleet", number(e.messagesPerQuery*queriesPerSecond) + "/s", basisWorkedOut},
		{"peer messages per instance, sent and received", number(e.messagesPerInstance) + "/s each", basisWorkedOut},
		{"peer data per instance, sent and received", rateText(e.messagesPerInstance*e.report.fittedAt("peer messages", "bytes", e.shardsPerMessage)) + " each", basisFitted},
		{"hops of a query", "caller, entry, home, upstream: 3", "design page"},
	}}
}

func (e *estimate) groupSizesTable() Table {
	t := Table{Name: "group sizes", Header: []string{
		"upstreams per group", "groups", "messages per query", "messages per instance (1/s)", "processor time of messages per instance",
		"attempts per group (1/s)", "busy time of the group's lock",
	}}
	for _, o := range e.groupSizeOptions() {
		t.Rows = append(t.Rows, []string{
			number(o.upstreams), number(o.groups), number(o.messagesPerQuery), number(o.messagesPerInstance), cores(o.messageCores),
			number(o.attemptsPerGroup), fmt.Sprintf("%s%%", number(100*o.lockCores)),
		})
	}
	return t
}

// roleTable returns the table of one role of an instance.
func roleTable(name string, rows ...[]string) Table {
	return Table{Name: name, Header: []string{"", "at the target size", "basis", "worked out from"}, Rows: rows}
}

func (e *estimate) entryTable() Table {
	waitingQueryBytes := e.report.fittedAt("query messages", "held", e.messagesPerQuery) * kilobyte
	waitingQueries := e.queriesPerInstance * targetLatencySeconds
	allHomes := e.report.measuredAt("homes", "instances with a group", targetInstances)
	regionHomes := e.report.measuredAt("homes", "homes that an instance of a region uses", targetInstances)
	return roleTable("entry",
		[]string{"state", bytesText(waitingQueries*waitingQueryBytes) + " in " + number(waitingQueries) + " queries", basisFitted, "queries/s × 340 ms × heap of a waiting query"},
		[]string{"messages", number(e.queriesPerInstance) + " queries/s, " + number(e.messagesPerInstance) + " group messages/s", basisWorkedOut, "fan-out"},
		[]string{"processor time", cores(e.entryCores), basisFitted, fmt.Sprintf("%s us per query and half of %s us per message", number(e.queryTime), number(e.messageTime))},
		[]string{"allocation", rateText(e.queriesPerInstance * kilobyte * e.report.fittedAt("query messages", "allocated", e.messagesPerQuery)), basisFitted, "queries/s × allocated per query"},
		[]string{"connections to homes, any region", number(allHomes) + ", " + bytesText(e.dataConnectionMemory(0, allHomes)), basisFitted, "counted homes × client end"},
		[]string{"connections to homes, own region", number(regionHomes) + ", " + bytesText(e.dataConnectionMemory(0, regionHomes)), basisFitted, "counted homes of a region × client end"},
	)
}

func (e *estimate) homeTable() Table {
	answeredRequestBytes := e.report.slope("scheduler answered", "memory") * kilobyte
	connectionBytes := e.report.slope("upstream connections", "memory") * kilobyte
	openConnections := slotsPerUpstream * e.upstreamsPerGroup
	meanGroupsPerInstance := e.groups / targetInstances
	return roleTable("home",
		[]string{"instances with the role", number(e.report.measuredAt("homes", "instances with a group", targetInstances)) + " of " + number(targetInstances) + ", at most " + number(e.report.measuredAt("homes", "most groups of an instance", targetInstances)) + " groups each", "counted", "placement of all groups"},
		[]string{"messages per group", number(e.messagesPerGroup) + " group messages/s, " + number(e.attemptsPerGroup) + " upstream calls/s", basisWorkedOut, "fan-out"},
		[]string{"processor time per group", cores(e.homeCoresPerGroup), basisFitted, fmt.Sprintf("per call %s us scheduler and %s us HTTP; half of %s us per message", number(e.attemptTime), number(e.callTime), number(e.messageTime))},
		[]string{"of which under the group's lock", cores(e.lockCoresPerGroup), basisFitted, "calls/s × scheduler time"},
		[]string{"processor time over all instances", cores(e.homeCoresPerGroup * meanGroupsPerInstance), basisFitted, "if groups could be spread evenly"},
		[]string{"state per group", bytesText(e.statusPerGroup.memory), basisFitted, "heap of an idle scheduler"},
		[]string{"answered requests kept until their deadline", bytesText(e.messagesPerGroup * queryDeadlineSeconds * answeredRequestBytes), basisFitted, "messages/s × deadline × " + bytesText(answeredRequestBytes) + " each"},
		[]string{"upstream connections", number(openConnections) + ", " + bytesText(openConnections*connectionBytes), basisFitted, "slots × upstreams × heap and stacks of a connection (with the answering end)"},
		[]string{"connections from entries, any region", number(targetInstances-1) + ", " + bytesText(e.dataConnectionMemory(targetInstances-1, 0)), basisFitted, "instances × server end"},
		[]string{"connections from entries, own region", number(instancesPerRegion-1) + ", " + bytesText(e.dataConnectionMemory(instancesPerRegion-1, 0)), basisFitted, "instances of a region × server end"},
		[]string{"health and load reads", number(e.upstreamsPerGroup/statusIntervalSeconds) + "/s, " + percentOfCore(e.statusPerGroup.cores) + ", " + rateText(e.statusPerGroup.bytesPerSecond), basisFitted, "upstreams / interval × time and bytes of a read with TCP headers (assumed " + number(tcpHeaders) + " B)"},
	)
}

func (e *estimate) orderOwnerTable() Table {
	orders := e.queriesPerInstance * ordersPerQuery
	tickets := orders * ticketValiditySeconds
	ticketBytes := e.report.slope("orders", "memory") * kilobyte
	return roleTable("order owner",
		[]string{"state", number(tickets) + " tickets, " + bytesText(tickets*ticketBytes), basisFitted, "orders/s × validity × " + bytesText(ticketBytes) + " per ticket"},
		[]string{"state at the default limit of tickets", bytesText(ticketLimit * ticketBytes), basisFitted, number(ticketLimit) + " tickets"},
		[]string{"messages", number(orders) + " orders/s", basisWorkedOut, "queries × orders per query"},
		[]string{"processor time", percentOfCore(secondsPerMicrosecond * orders * e.report.fittedAt("orders", "order", tickets)), basisFitted, "orders/s × time per order"},
		[]string{"expiry each second at the limit of tickets, none due", percentOfCore(secondsPerMicrosecond * e.report.fittedAt("orders", "expiry", ticketLimit)), basisFitted, "tickets are kept in order of expiry"},
	)
}

func (e *estimate) readerTable() Table {
	watches, _ := e.platformReads(targetInstances)
	readers := float64(readersPerDataCentre * dataCentres)
	bytes := e.report.fittedAt("document", "bytes", targetUpstreams/float64(services))
	return roleTable("reader",
		[]string{"instances with the role", number(readers), basisWorkedOut, "2 in each data centre"},
		[]string{"messages", number(watches/readers) + " reads/s each, " + number(watches) + " in the fleet", basisFitted, "model, one watch of " + catalog.DefaultWatchWait.String() + " at a time, and one answer per change"},
		[]string{"bytes per reader", rateText(changesPerDay / float64(secondsPerDay) * bytes), basisFitted, "changes × document"},
		[]string{"processor time", percentOfCore(e.documents.cores), basisFitted, "changes × " + number(e.report.fittedAt("document", "offer", targetUpstreams/float64(services))/1000) + " ms to check and parse; the same at every instance"},
		[]string{"state", "that of a member", basisWorkedOut, ""},
	)
}

func (e *estimate) memberTable() Table {
	line := func(name string, c cost, derivation string) []string {
		return []string{name, percentOfCore(c.cores) + ", " + rateText(c.bytesPerSecond) + ", " + bytesText(c.memory), basisFitted, derivation}
	}
	gossip := line("membership", e.membership, "5 ticks, 30 receipts and 30 datagrams sent and received a second; bytes and memory at exactly this size")
	gossip[2] = basisMeasured
	return roleTable("member",
		gossip,
		line("documents", e.documents, fmt.Sprintf("changes × (time to parse; fetched and served once, %s each); %d documents held", bytesText(e.report.fittedAt("document", "bytes", targetUpstreams/float64(services))), services)),
		line("placement", e.placement, fmt.Sprintf("%s changes of members a day × %s ms for %s groups; memory of %d candidates per group", number(e.memberChangesPerSecond*secondsPerDay), number(1000*e.allHomesSeconds), number(e.groups), maxInstances)),
	)
}

func (e *estimate) controlTable() Table {
	t := Table{Name: "control", Header: []string{"instance", "processor time", "memory", "bytes a second, both directions"}}
	row := func(name string, c cost) {
		t.Rows = append(t.Rows, []string{name, percentOfCore(c.cores), bytesText(c.memory), rateText(c.bytesPerSecond)})
	}
	row("without a group", e.instanceControlCost(0))
	row("mean", e.instanceControlCost(e.groups/targetInstances))
	row("home of one group", e.instanceControlCost(1))
	maxGroups := e.report.measuredAt("homes", "most groups of an instance", targetInstances)
	row("home of "+number(maxGroups)+" groups (the most)", e.instanceControlCost(maxGroups))
	t.Rows = append(t.Rows, []string{"limit", percentOfCore(maxControlCores), bytesText(maxControlMemory), rateText(maxControlBytesPerSecond)})
	return t
}

func (e *estimate) platformTable() Table {
	t := Table{Name: "platform", Header: []string{"instances", "watches (1/s)", "instance list (1/s)", "sum (1/s)", "of the limit"}}
	for _, n := range []float64{100, 400, 1600, targetInstances, 2 * targetInstances} {
		watches, list := e.platformReads(n)
		total := watches + list
		t.Rows = append(t.Rows, []string{number(n), number(watches), number(list), number(total), number(100*total/maxPlatformReadsPerSecond) + "%"})
	}
	return t
}

func (e *estimate) faultsTable() Table {
	atLargest := func(column string) float64 { return e.report.atLargestSize("faults", column) }
	regionPair := func(column string) float64 { return e.report.fittedAt("two regions apart", column, targetInstances) }
	secondsPerRound := roundTime.Seconds()
	return Table{Name: "fault times", Header: []string{"fault", "effect at the target size", "basis"}, Rows: [][]string{
		{"ordinary change of a document", number(e.disseminationSeconds("rounds")) + " s until it is in force everywhere", basisFitted},
		{"a third of the data centres without the platform", number(e.disseminationSeconds("rounds, third cut off")) + " s until it is in force everywhere", basisFitted},
		{"loss of a data centre", number(secondsPerRound*atLargest("loss: views")) + " s until all views are exactly the live instances; " + "peak " + rateText(atLargest("loss: peak")) + ", " + rateText(atLargest("loss: bytes later")) + " after half a minute", basisLargestFleet},
		{"two regions apart, others reach both", rateText(regionPair("bytes at 10 ms")) + " at 10 ms one way, " + rateText(regionPair("bytes at 25 ms")) + " at 25 ms; " + number(max(0, regionPair("deaths at 25 ms"))) + " members taken for dead by each instance", basisFitted},
		{"halves of the regions apart", rateText(atLargest("halves apart: bytes")) + " after half a minute apart", basisLargestFleet},
		{"halves joined again", number(secondsPerRound*atLargest("join: documents")) + " s until all documents are in force, " + number(secondsPerRound*atLargest("join: views")) + " s until all views are whole; peak " + rateText(atLargest("join: peak")), basisLargestFleet},
		{"memory of dead members", fmt.Sprintf("%s of at most %s remembered for %s", thousands(targetInstances/2), thousands(tombstoneLimit), membership.DefaultTombstoneLifetime), basisWorkedOut},
	}}
}

// limit compares what the target size needs with an upper bound. The ratio is
// needed divided by allowed, and mechanism says what keeps the need below the
// bound or how it could be lowered.
type limit struct {
	name, needed, allowed string
	ratio                 float64
	basis, mechanism      string
}

func (e *estimate) limitsTable() Table {
	all := e.allLimits()
	slices.SortStableFunc(all, func(a, b limit) int {
		switch {
		case a.ratio > b.ratio:
			return -1
		case a.ratio < b.ratio:
			return 1
		default:
			return 0
		}
	})
	t := Table{Name: "limits", Header: []string{"limit", "needed", "allowed", "verdict", "basis", "mechanism"}}
	for _, l := range all {
		verdict := "holds, margin " + number(1/l.ratio) + " times"
		if l.ratio > 1 {
			verdict = "**exceeded by a factor of " + number(l.ratio) + "**"
		}
		t.Rows = append(t.Rows, []string{l.name, l.needed, l.allowed, verdict, l.basis, l.mechanism})
	}
	return t
}

func (e *estimate) allLimits() []limit {
	bytesLimit := func(name string, needed, allowed float64, mechanism string) limit {
		return limit{name, bytesText(needed), bytesText(allowed), needed / allowed, basisFitted, mechanism}
	}
	rateLimit := func(name string, needed float64, mechanism string) limit {
		return limit{name, rateText(needed), rateText(maxControlBytesPerSecond), needed / maxControlBytesPerSecond, basisFitted, mechanism}
	}
	processorLimit := func(name string, needed float64, mechanism string) limit {
		return limit{name, percentOfCore(needed), percentOfCore(maxControlCores), needed / maxControlCores, basisFitted, mechanism}
	}
	secondsLimit := func(name string, needed float64, mechanism string) limit {
		return limit{name, number(needed) + " s", number(maxConfigurationSeconds) + " s", needed / maxConfigurationSeconds, basisFitted, mechanism}
	}
	maxGroups := e.report.measuredAt("homes", "most groups of an instance", targetInstances)
	homeInstances := e.report.measuredAt("homes", "instances with a group", targetInstances)
	regionHomes := e.report.measuredAt("homes", "homes that an instance of a region uses", targetInstances)
	watches, list := e.platformReads(targetInstances)
	documentBytes := e.report.fittedAt("document", "bytes", targetUpstreams/float64(services))
	connectionsPerInstance := float64(connectionLimit / maxInstances)
	remoteConnections := e.callsPerUpstream * regionRoundTripSeconds
	ticketBytes := e.report.slope("orders", "memory") * kilobyte
	answeredRequestBytes := e.report.slope("scheduler answered", "memory") * kilobyte
	atLargest := func(column string) float64 { return e.report.atLargestSize("faults", column) }
	modelledRateLimit := func(name string, needed float64, mechanism string) limit {
		l := rateLimit(name, needed, mechanism)
		l.basis = basisLargestFleet
		return l
	}
	return []limit{
		processorLimit("control: processor, instance without a group", e.instanceControlCost(0).cores, incrementalHomes),
		processorLimit("control: processor, home of one group", e.instanceControlCost(1).cores, incrementalHomes),
		bytesLimit("control: memory, home of "+number(maxGroups)+" groups, data connections not counted", e.instanceControlCost(maxGroups).memory, maxControlMemory, "documents are most of it; parsed documents can share their names"),
		rateLimit("control: bytes, instance without a group", e.instanceControlCost(0).bytesPerSecond, compressedDocuments),
		rateLimit("control: bytes, home of one group", e.instanceControlCost(1).bytesPerSecond, fewerReads),
		rateLimit("control: bytes, home of "+number(maxGroups)+" groups", e.instanceControlCost(maxGroups).bytesPerSecond, fewerReads),
		rateLimit("control: bytes of membership alone on an ordinary day", e.membership.bytesPerSecond, "fixed probe rate; updates are sent a logarithmic number of times"),
		modelledRateLimit("control: bytes of membership with halves of the regions apart", atLargest("halves apart: bytes"), "lost members are pinged from the bucket for probes; news does not go to them"),
		modelledRateLimit("control: bytes of membership in the worst round after the loss of a data centre", atLargest("loss: peak"), "token buckets per round. What exceeds them is the fields of acks that name a suspected member, and the buckets' bursts."),
		modelledRateLimit("control: bytes of membership half a minute after the loss of a data centre", atLargest("loss: bytes later"), "as with halves apart"),
		rateLimit("control: bytes of membership with two regions apart, 25 ms one way", e.report.fittedAt("two regions apart", "bytes at 25 ms", targetInstances), "helpers in other data centres and a wait that follows the measured round trip; no suspicion without helpers"),
		secondsLimit("configuration: ordinary change", e.disseminationSeconds("rounds"), "announcements in control datagrams, then one fetch from a peer"),
		secondsLimit("configuration: a third of the data centres without the platform", e.disseminationSeconds("rounds, third cut off"), "as before; readers of the other data centres announce"),
		secondsLimit("configuration: after halves joined again, from the join", roundTime.Seconds()*atLargest("join: documents"), "each instance pings a lost member at least every 2 s, and catalog hashes are compared"),
		{"platform: reads a second", number(watches + list), number(maxPlatformReadsPerSecond), (watches + list) / maxPlatformReadsPerSecond, basisFitted, "two readers per data centre; the interval of the instance list grows with the fleet"},
		bytesLimit("platform: document of 600 upstreams", documentBytes, document.MaxBytes, "one document per service; a service of more upstreams must be split"),
		{"connections: " + number(maxInstances) + " instances at an upstream of limit " + number(connectionLimit), number(connectionsPerInstance * maxInstances), number(connectionLimit), connectionsPerInstance * maxInstances / connectionLimit, basisWorkedOut, "floor(limit / max_instances) connections by the first 10 instances in rendezvous order"},
		{"connections: the same at an upstream of limit " + number(lowestConnectionLimit), number(float64(lowestConnectionLimit / maxInstances * maxInstances)), number(lowestConnectionLimit), float64(lowestConnectionLimit/maxInstances*maxInstances) / lowestConnectionLimit, basisWorkedOut, "as before"},
		{"connections: two sides of a partition that both reach the upstream", number(2 * connectionsPerInstance * maxInstances), number(connectionLimit), 2 * connectionsPerInstance * maxInstances / connectionLimit, basisWorkedOut + ", worst case: all candidates of both sides use all their connections", "Only a home opens connections, so that two sides use " + number(2*slotsPerUpstream) + " in practice. Let only instances of the region of the upstreams be candidates."},
		{"connections: home in the region of its upstreams", number(slotsPerUpstream), number(connectionsPerInstance), slotsPerUpstream / connectionsPerInstance, basisWorkedOut, "one connection per slot"},
		{"connections: home in another region", number(remoteConnections), number(connectionsPerInstance), remoteConnections / connectionsPerInstance, basisWorkedOut + " with the assumed round trip", "Instances of the data centres that hold upstreams of the group come first, so that this needs the loss of all of them. Of the groups, " + e.homesInRegionText("even") + " have their home in the region when replicas are spread evenly, and " + e.homesInRegionText("2:1, data centre lost") + " after the loss of the data centre with the majority."},
		{"home: one lock per group", cores(e.lockCoresPerGroup), cores(1), e.lockCoresPerGroup, basisFitted, "Smaller groups: a lower MaxMergedGroup (see the table of group sizes) spreads the work over more homes at the cost of more messages."},
		{"home: processor time of the instance with one group, against the mean of all instances", cores(e.homeCoresPerGroup), cores(e.homeCoresPerGroup * e.groups / targetInstances), targetInstances / e.groups, basisFitted, "Only " + number(homeInstances) + " instances are homes. Smaller groups, or groups of several homes with divided slots, use the others."},
		bytesLimit("home: answered requests kept until their deadline, one group", e.messagesPerGroup*queryDeadlineSeconds*answeredRequestBytes, maxControlMemory, "Drop a request's parts when it is answered, or remove its timer; the timer holds it until the deadline."),
		bytesLimit("mesh: connections of a home, entries of all regions", e.dataConnectionMemory(targetInstances-1, homeInstances), maxControlMemory, "Keep queries in the region of the service: the platform's balancer or a forwarding entry there."),
		bytesLimit("mesh: connections of a home, entries of its region", e.dataConnectionMemory(instancesPerRegion-1, regionHomes), maxControlMemory, "as before; holds only if callers enter in the region of the service"),
		bytesLimit("order owner: the default limit of tickets", ticketLimit*ticketBytes, maxControlMemory, "The limit leaves room for 667 orders a second that last 30 s each."),
		processorLimit("order owner: expiry at the default limit of tickets", secondsPerMicrosecond*e.report.fittedAt("orders", "expiry", ticketLimit), "Tickets are kept in order of expiry."),
		{"entry: share of time in which homes are computed anew", number(100*e.memberChangesPerSecond*e.allHomesSeconds) + "%", "1%", e.memberChangesPerSecond * e.allHomesSeconds / 0.01, basisFitted, "The cache of homes is one lock, and queries wait up to " + number(1000*e.allHomesSeconds) + " ms for it after each change of members, against a target of 340 ms for 99 in 100. " + incrementalHomes},
	}
}

// homesInRegionText returns, as a percentage, how many homes are in the region of
// their upstreams with the given layout of replicas.
func (e *estimate) homesInRegionText(layout string) string {
	return number(100*e.report.measuredAt("homes", "homes in region, "+layout, targetInstances)) + "%"
}

// Texts of the column "mechanism" that apply to several limits.
const (
	incrementalHomes    = "Keep each group's candidates and insert or remove the one member that changed, which costs one hash per group; members by id are kept once per version of the view."
	compressedDocuments = "Documents are compressed between instances. Send only the changed part."
	fewerReads          = "Health and load are read only of upstreams without a reply in the last second."
)
