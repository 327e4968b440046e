package capacity

import (
	"fmt"
	"slices"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
)

// Kinds of figures.
const (
	measuredHere = "measured"
	fittedHere   = "fitted"
	assumed      = "assumed"
	given        = "design page"
	worked       = "worked out"
	atLargest    = "measured at the largest modelled fleet"
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
		assumptions(), e.fanOut(), e.groupSizes(),
		e.entry(), e.home(), e.owner(), e.reader(), e.member(),
		e.controlSum(), e.platform(), e.faults(), e.limits(),
	}
}

func assumptions() Table {
	return Table{Name: "assumptions", Header: []string{"quantity", "value", "basis"}, Rows: [][]string{
		{"instances", number(instances), given},
		{"upstreams", number(upstreams), given},
		{"queries per second, upstreams each", number(queriesPerSecond) + ", " + number(upstreamsPerQuery), given},
		{"data centres, regions", fmt.Sprintf("%d, %d", dataCentres, regions), given},
		{"configuration changes a day", number(changesPerDay), given},
		{"restarts and failures a day", fmt.Sprintf("%s and %d", number(restartsPerDay), failuresPerDay), given},
		{"member records per restart or failure", number(recordsPerChange), assumed + ": leaving or suspect, dead, joined"},
		{"replicas per shard, shards per upstream", fmt.Sprintf("%d, 1", replicas), assumed + ": gives the design page's 50 messages per query"},
		{"services (documents)", number(services), assumed + ": a query goes to one replica of each of 200 shards"},
		{"snapshots per document", number(snapshots), assumed},
		{"payload, result of a shard", fmt.Sprintf("%d B, %d B", payloadBytes, resultBytes), assumed},
		{"slots and connection limit of an upstream", fmt.Sprintf("%d and %d", slotsPerUpstream, connectionLimit), assumed + ": as restore-log"},
		{"a service's upstreams", "in the two data centres of one region", assumed},
		{"deadline of a query", number(queryDeadline) + " s", assumed},
		{"round trip between regions", number(1000*regionRoundTrip) + " ms", assumed},
		{"orders per query", number(orderFraction), assumed},
		{"validity of a ticket", number(ticketValidity) + " s", "default of pkg/order"},
	}}
}

func (e *estimate) fanOut() Table {
	return Table{Name: "fan-out", Header: []string{"quantity", "value", "basis"}, Rows: [][]string{
		{"upstream calls in the fleet", number(e.upstreamCalls) + "/s", given + ": queries × upstreams"},
		{"upstream calls per instance in the mean", number(e.upstreamCalls/instances) + "/s", worked},
		{"calls per upstream", number(e.perUpstream) + "/s", worked},
		{"longest mean time of a call at " + number(slotsPerUpstream) + " slots", number(1000*slotsPerUpstream/e.perUpstream) + " ms", worked + ": slots / calls"},
		{"scheduling groups", number(e.groups), "counted with pkg/document"},
		{"messages per query", number(e.messages) + " instead of " + number(upstreamsPerQuery), "groups / services"},
		{"peer messages in the fleet", number(e.messages*queriesPerSecond) + "/s", worked},
		{"peer messages per instance, sent and received", number(e.peerMessages) + "/s each", worked},
		{"peer data per instance, sent and received", rateText(e.peerMessages*e.r.fitted("peer messages", "bytes", e.shards)) + " each", fittedHere},
		{"hops of a query", "caller, entry, home, upstream: 3", "design page"},
	}}
}

func (e *estimate) groupSizes() Table {
	t := Table{Name: "group sizes", Header: []string{
		"upstreams per group", "groups", "messages per query", "messages per instance (1/s)", "processor time of messages per instance",
		"attempts per group (1/s)", "busy time of the group's lock",
	}}
	for _, o := range e.options() {
		t.Rows = append(t.Rows, []string{
			number(o.upstreams), number(o.groups), number(o.messages), number(o.perInstance), cores(o.messageCores),
			number(o.groupAttempts), fmt.Sprintf("%s%%", number(100*o.lock)),
		})
	}
	return t
}

// role builds the table of a role.
func role(name string, rows ...[]string) Table {
	return Table{Name: name, Header: []string{"", "at the target size", "basis", "worked out from"}, Rows: rows}
}

func (e *estimate) entry() Table {
	held := e.r.fitted("query messages", "held", e.messages) * kilobyte
	waiting := e.queries * targetLatency
	homes := e.r.measured("homes", "instances with a group", instances)
	local := e.r.measured("homes", "homes that an instance of a region uses", instances)
	return role("entry",
		[]string{"state", bytesText(waiting*held) + " in " + number(waiting) + " queries", fittedHere, "queries/s × 340 ms × heap of a waiting query"},
		[]string{"messages", number(e.queries) + " queries/s, " + number(e.peerMessages) + " group messages/s", worked, "fan-out"},
		[]string{"processor time", cores(e.entryCores), fittedHere, fmt.Sprintf("%s us per query and half of %s us per message", number(e.queryTime), number(e.messageTime))},
		[]string{"allocation", rateText(e.queries * kilobyte * e.r.fitted("query messages", "allocated", e.messages)), fittedHere, "queries/s × allocated per query"},
		[]string{"connections to homes, any region", number(homes) + ", " + bytesText(e.meshMemory(0, homes)), fittedHere, "counted homes × client end"},
		[]string{"connections to homes, own region", number(local) + ", " + bytesText(e.meshMemory(0, local)), fittedHere, "counted homes of a region × client end"},
	)
}

func (e *estimate) home() Table {
	kept := e.r.slope("scheduler answered", "memory") * kilobyte
	connection := e.r.slope("upstream connections", "memory") * kilobyte
	open := slotsPerUpstream * e.groupUpstreams
	mean := e.groups / instances
	return role("home",
		[]string{"instances with the role", number(e.r.measured("homes", "instances with a group", instances)) + " of " + number(instances) + ", at most " + number(e.r.measured("homes", "most groups of an instance", instances)) + " groups each", "counted", "placement of all groups"},
		[]string{"messages per group", number(e.groupMessages) + " group messages/s, " + number(e.groupAttempts) + " upstream calls/s", worked, "fan-out"},
		[]string{"processor time per group", cores(e.homeCores), fittedHere, fmt.Sprintf("per call %s us scheduler and %s us HTTP; half of %s us per message", number(e.attemptTime), number(e.callTime), number(e.messageTime))},
		[]string{"of which under the group's lock", cores(e.lockCores), fittedHere, "calls/s × scheduler time"},
		[]string{"processor time over all instances", cores(e.homeCores * mean), fittedHere, "if groups could be spread evenly"},
		[]string{"state per group", bytesText(e.status.memory), fittedHere, "heap of an idle scheduler"},
		[]string{"answered requests kept until their deadline", bytesText(e.groupMessages * queryDeadline * kept), fittedHere, "messages/s × deadline × " + bytesText(kept) + " each"},
		[]string{"upstream connections", number(open) + ", " + bytesText(open*connection), fittedHere, "slots × upstreams × heap and stacks of a connection (with the answering end)"},
		[]string{"connections from entries, any region", number(instances-1) + ", " + bytesText(e.meshMemory(instances-1, 0)), fittedHere, "instances × server end"},
		[]string{"connections from entries, own region", number(regionInstances-1) + ", " + bytesText(e.meshMemory(regionInstances-1, 0)), fittedHere, "instances of a region × server end"},
		[]string{"health and load reads", number(e.groupUpstreams/statusIntervalSeconds) + "/s, " + percentOfCore(e.status.cores) + ", " + rateText(e.status.rate), fittedHere, "upstreams / interval × time and bytes of a read with TCP headers (assumed " + number(tcpHeaders) + " B)"},
	)
}

func (e *estimate) owner() Table {
	orders := e.queries * orderFraction
	tickets := orders * ticketValidity
	ticket := e.r.slope("orders", "memory") * kilobyte
	return role("order owner",
		[]string{"state", number(tickets) + " tickets, " + bytesText(tickets*ticket), fittedHere, "orders/s × validity × " + bytesText(ticket) + " per ticket"},
		[]string{"state at the default limit of tickets", bytesText(ticketLimit * ticket), fittedHere, number(ticketLimit) + " tickets"},
		[]string{"messages", number(orders) + " orders/s", worked, "queries × orders per query"},
		[]string{"processor time", percentOfCore(micro * orders * e.r.fitted("orders", "order", tickets)), fittedHere, "orders/s × time per order"},
		[]string{"expiry each second at the limit of tickets, none due", percentOfCore(micro * e.r.fitted("orders", "expiry", ticketLimit)), fittedHere, "tickets are kept in order of expiry"},
	)
}

func (e *estimate) reader() Table {
	watches, _ := e.platformReads(instances)
	readers := float64(readersPerDataCentre * dataCentres)
	bytes := e.r.fitted("document", "bytes", upstreams/float64(services))
	return role("reader",
		[]string{"instances with the role", number(readers), worked, "2 in each data centre"},
		[]string{"messages", number(watches/readers) + " reads/s each, " + number(watches) + " in the fleet", fittedHere, "model, one watch of " + catalog.DefaultWatchWait.String() + " at a time, and one answer per change"},
		[]string{"bytes per reader", rateText(changesPerDay / float64(daySeconds) * bytes), fittedHere, "changes × document"},
		[]string{"processor time", percentOfCore(e.documents.cores), fittedHere, "changes × " + number(e.r.fitted("document", "offer", upstreams/float64(services))/1000) + " ms to check and parse; the same at every instance"},
		[]string{"state", "that of a member", worked, ""},
	)
}

func (e *estimate) member() Table {
	line := func(name string, c control, from string) []string {
		return []string{name, percentOfCore(c.cores) + ", " + rateText(c.rate) + ", " + bytesText(c.memory), fittedHere, from}
	}
	gossip := line("membership", e.gossip, "5 ticks, 30 receipts and 30 datagrams sent and received a second; bytes and memory at exactly this size")
	gossip[2] = measuredHere
	return role("member",
		gossip,
		line("documents", e.documents, fmt.Sprintf("changes × (time to parse; fetched and served once, %s each); %d documents held", bytesText(e.r.fitted("document", "bytes", upstreams/float64(services))), services)),
		line("placement", e.placement, fmt.Sprintf("%s changes of members a day × %s ms for %s groups; memory of %d candidates per group", number(e.memberChanges*daySeconds), number(1000*e.homesTime), number(e.groups), maxInstances)),
	)
}

func (e *estimate) controlSum() Table {
	t := Table{Name: "control", Header: []string{"instance", "processor time", "memory", "bytes a second, both directions"}}
	row := func(name string, c control) {
		t.Rows = append(t.Rows, []string{name, percentOfCore(c.cores), bytesText(c.memory), rateText(c.rate)})
	}
	row("without a group", e.own(0))
	row("mean", e.own(e.groups/instances))
	row("home of one group", e.own(1))
	most := e.r.measured("homes", "most groups of an instance", instances)
	row("home of "+number(most)+" groups (the most)", e.own(most))
	t.Rows = append(t.Rows, []string{"limit", percentOfCore(controlCore), bytesText(controlBytes), rateText(controlBytesSecond)})
	return t
}

func (e *estimate) platform() Table {
	t := Table{Name: "platform", Header: []string{"instances", "watches (1/s)", "instance list (1/s)", "sum (1/s)", "of the limit"}}
	for _, n := range []float64{100, 400, 1600, instances, 2 * instances} {
		watches, list := e.platformReads(n)
		sum := watches + list
		t.Rows = append(t.Rows, []string{number(n), number(watches), number(list), number(sum), number(100*sum/platformReadsSecond) + "%"})
	}
	return t
}

func (e *estimate) faults() Table {
	at := func(column string) float64 { return e.r.largest("faults", column) }
	pair := func(column string) float64 { return e.r.fitted("two regions apart", column, instances) }
	second := roundTime.Seconds()
	return Table{Name: "fault times", Header: []string{"fault", "effect at the target size", "basis"}, Rows: [][]string{
		{"ordinary change of a document", number(e.spreadTime("rounds")) + " s until it is in force everywhere", fittedHere},
		{"a third of the data centres without the platform", number(e.spreadTime("rounds, third cut off")) + " s until it is in force everywhere", fittedHere},
		{"loss of a data centre", number(second*at("loss: views")) + " s until all views are exactly the live instances; " + "peak " + rateText(at("loss: peak")) + ", " + rateText(at("loss: bytes later")) + " after half a minute", atLargest},
		{"two regions apart, others reach both", rateText(pair("bytes at 10 ms")) + " at 10 ms one way, " + rateText(pair("bytes at 25 ms")) + " at 25 ms; " + number(max(0, pair("deaths at 25 ms"))) + " members taken for dead by each instance", fittedHere},
		{"halves of the regions apart", rateText(at("halves apart: bytes")) + " after half a minute apart", atLargest},
		{"halves joined again", number(second*at("join: documents")) + " s until all documents are in force, " + number(second*at("join: views")) + " s until all views are whole; peak " + rateText(at("join: peak")), atLargest},
		{"memory of dead members", fmt.Sprintf("%s of at most %s remembered for %s", thousands(instances/2), thousands(tombstoneLimit), membership.DefaultTombstoneLifetime), worked},
	}}
}

// limit is a bound and what the target size needs of it.
type limit struct {
	name, need, allowed string
	ratio               float64
	basis, mechanism    string
}

func (e *estimate) limits() Table {
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
		t.Rows = append(t.Rows, []string{l.name, l.need, l.allowed, verdict, l.basis, l.mechanism})
	}
	return t
}

func (e *estimate) allLimits() []limit {
	bytes := func(name string, need, allowed float64, mechanism string) limit {
		return limit{name, bytesText(need), bytesText(allowed), need / allowed, fittedHere, mechanism}
	}
	rate := func(name string, need float64, mechanism string) limit {
		return limit{name, rateText(need), rateText(controlBytesSecond), need / controlBytesSecond, fittedHere, mechanism}
	}
	processor := func(name string, need float64, mechanism string) limit {
		return limit{name, percentOfCore(need), percentOfCore(controlCore), need / controlCore, fittedHere, mechanism}
	}
	seconds := func(name string, need float64, mechanism string) limit {
		return limit{name, number(need) + " s", number(configurationLimit) + " s", need / configurationLimit, fittedHere, mechanism}
	}
	most := e.r.measured("homes", "most groups of an instance", instances)
	used := e.r.measured("homes", "instances with a group", instances)
	local := e.r.measured("homes", "homes that an instance of a region uses", instances)
	watches, list := e.platformReads(instances)
	document600 := e.r.fitted("document", "bytes", upstreams/float64(services))
	perInstance := float64(connectionLimit / maxInstances)
	remote := e.perUpstream * regionRoundTrip
	ticket := e.r.slope("orders", "memory") * kilobyte
	kept := e.r.slope("scheduler answered", "memory") * kilobyte
	at := func(column string) float64 { return e.r.largest("faults", column) }
	inModel := func(name string, need float64, mechanism string) limit {
		l := rate(name, need, mechanism)
		l.basis = atLargest
		return l
	}
	return []limit{
		processor("control: processor, instance without a group", e.own(0).cores, incrementalHomes),
		processor("control: processor, home of one group", e.own(1).cores, incrementalHomes),
		bytes("control: memory, home of "+number(most)+" groups, data connections not counted", e.own(most).memory, controlBytes, "documents are most of it; parsed documents can share their names"),
		rate("control: bytes, instance without a group", e.own(0).rate, compressedDocuments),
		rate("control: bytes, home of one group", e.own(1).rate, fewerReads),
		rate("control: bytes, home of "+number(most)+" groups", e.own(most).rate, fewerReads),
		rate("control: bytes of membership alone on an ordinary day", e.gossip.rate, "fixed probe rate; updates are sent a logarithmic number of times"),
		inModel("control: bytes of membership with halves of the regions apart", at("halves apart: bytes"), "lost members are pinged from the bucket for probes; news does not go to them"),
		inModel("control: bytes of membership in the worst round after the loss of a data centre", at("loss: peak"), "token buckets per round. What exceeds them is the fields of acks that name a suspected member, and the buckets' bursts."),
		inModel("control: bytes of membership half a minute after the loss of a data centre", at("loss: bytes later"), "as with halves apart"),
		rate("control: bytes of membership with two regions apart, 25 ms one way", e.r.fitted("two regions apart", "bytes at 25 ms", instances), "helpers in other data centres and a wait that follows the measured round trip; no suspicion without helpers"),
		seconds("configuration: ordinary change", e.spreadTime("rounds"), "announcements in control datagrams, then one fetch from a peer"),
		seconds("configuration: a third of the data centres without the platform", e.spreadTime("rounds, third cut off"), "as before; readers of the other data centres announce"),
		seconds("configuration: after halves joined again, from the join", roundTime.Seconds()*at("join: documents"), "each instance pings a lost member at least every 2 s, and catalog hashes are compared"),
		{"platform: reads a second", number(watches + list), number(platformReadsSecond), (watches + list) / platformReadsSecond, fittedHere, "two readers per data centre; the interval of the instance list grows with the fleet"},
		bytes("platform: document of 600 upstreams", document600, document.MaxBytes, "one document per service; a service of more upstreams must be split"),
		{"connections: " + number(maxInstances) + " instances at an upstream of limit " + number(connectionLimit), number(perInstance * maxInstances), number(connectionLimit), perInstance * maxInstances / connectionLimit, worked, "floor(limit / max_instances) connections by the first 10 instances in rendezvous order"},
		{"connections: the same at an upstream of limit " + number(connectionsLow), number(float64(connectionsLow / maxInstances * maxInstances)), number(connectionsLow), float64(connectionsLow/maxInstances*maxInstances) / connectionsLow, worked, "as before"},
		{"connections: two sides of a partition that both reach the upstream", number(2 * perInstance * maxInstances), number(connectionLimit), 2 * perInstance * maxInstances / connectionLimit, worked + ", worst case: all candidates of both sides use all their connections", "Only a home opens connections, so that two sides use " + number(2*slotsPerUpstream) + " in practice. Let only instances of the region of the upstreams be candidates."},
		{"connections: home in the region of its upstreams", number(slotsPerUpstream), number(perInstance), slotsPerUpstream / perInstance, worked, "one connection per slot"},
		{"connections: home in another region", number(remote), number(perInstance), remote / perInstance, worked + " with the assumed round trip", "Instances of the data centres that hold upstreams of the group come first, so that this needs the loss of all of them. Of the groups, " + e.inRegion("even") + " have their home in the region when replicas are spread evenly, and " + e.inRegion("2:1, data centre lost") + " after the loss of the data centre with the majority."},
		{"home: one lock per group", cores(e.lockCores), cores(1), e.lockCores, fittedHere, "Smaller groups: a lower MaxMergedGroup (see the table of group sizes) spreads the work over more homes at the cost of more messages."},
		{"home: processor time of the instance with one group, against the mean of all instances", cores(e.homeCores), cores(e.homeCores * e.groups / instances), instances / e.groups, fittedHere, "Only " + number(used) + " instances are homes. Smaller groups, or groups of several homes with divided slots, use the others."},
		bytes("home: answered requests kept until their deadline, one group", e.groupMessages*queryDeadline*kept, controlBytes, "Drop a request's parts when it is answered, or remove its timer; the timer holds it until the deadline."),
		bytes("mesh: connections of a home, entries of all regions", e.meshMemory(instances-1, used), controlBytes, "Keep queries in the region of the service: the platform's balancer or a forwarding entry there."),
		bytes("mesh: connections of a home, entries of its region", e.meshMemory(regionInstances-1, local), controlBytes, "as before; holds only if callers enter in the region of the service"),
		bytes("order owner: the default limit of tickets", ticketLimit*ticket, controlBytes, "The limit leaves room for 667 orders a second that last 30 s each."),
		processor("order owner: expiry at the default limit of tickets", micro*e.r.fitted("orders", "expiry", ticketLimit), "Tickets are kept in order of expiry."),
		{"entry: share of time in which homes are computed anew", number(100*e.memberChanges*e.homesTime) + "%", "1%", e.memberChanges * e.homesTime / 0.01, fittedHere, "The cache of homes is one lock, and queries wait up to " + number(1000*e.homesTime) + " ms for it after each change of members, against a target of 340 ms for 99 in 100. " + incrementalHomes},
	}
}

func (e *estimate) inRegion(layout string) string {
	return number(100*e.r.measured("homes", "homes in region, "+layout, instances)) + "%"
}

// Mechanisms that several limits name.
const (
	incrementalHomes    = "Keep each group's candidates and insert or remove the one member that changed, which costs one hash per group; members by id are kept once per version of the view."
	compressedDocuments = "Documents are compressed between instances. Send only the changed part."
	fewerReads          = "Health and load are read only of upstreams without a reply in the last second."
)
