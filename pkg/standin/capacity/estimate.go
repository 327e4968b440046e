package capacity

import (
	"unsafe"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
)

// estimate holds what the measurements say about the target size. Rates are per
// second, times in microseconds unless the name says otherwise.
type estimate struct {
	report *Report

	groups            float64
	upstreamsPerGroup float64
	// messagesPerQuery is the number of group messages that a query needs, and
	// shardsPerMessage the number of shards in each.
	messagesPerQuery float64
	shardsPerMessage float64

	queriesPerInstance  float64
	messagesPerInstance float64
	upstreamCalls       float64
	callsPerUpstream    float64
	messagesPerGroup    float64
	attemptsPerGroup    float64

	queryTime, messageTime, attemptTime, callTime    float64
	entryCores, homeCoresPerGroup, lockCoresPerGroup float64

	memberChangesPerSecond float64
	homesSeconds           float64
	membership             cost
	documents              cost
	placement              cost
	// statusPerGroup is the cost of a group's status reads, with the memory of its scheduler.
	statusPerGroup cost
	// statusPerUpstream is the cost of reading the status of one upstream.
	statusPerUpstream cost
}

// cost is a cost in processor cores, bytes per second and bytes of
// memory.
type cost struct{ cores, bytesPerSecond, memory float64 }

func (c cost) plus(d cost) cost {
	return cost{c.cores + d.cores, c.bytesPerSecond + d.bytesPerSecond, c.memory + d.memory}
}

func (c cost) times(n float64) cost { return cost{c.cores * n, c.bytesPerSecond * n, c.memory * n} }

const (
	secondsPerMicrosecond = 1e-6
	kilobyte              = 1024.0
	megabyte              = 1024 * kilobyte
	// tcpHeaders is the size of the TCP and IPv4 headers of a status read: two
	// requests, two answers and their acknowledgements, 52 bytes each with
	// timestamps.
	tcpHeaders = 8 * 52
)

func (r *Report) estimate() estimate {
	e := estimate{report: r}
	e.groups = r.measuredAt("homes", "groups", targetInstances)
	e.upstreamsPerGroup = targetUpstreams / e.groups
	e.messagesPerQuery = e.groups / services
	e.shardsPerMessage = upstreamsPerQuery / e.messagesPerQuery

	e.queriesPerInstance = queriesPerSecond / float64(targetInstances)
	e.messagesPerInstance = e.queriesPerInstance * e.messagesPerQuery
	e.upstreamCalls = queriesPerSecond * upstreamsPerQuery
	e.callsPerUpstream = e.upstreamCalls / targetUpstreams
	e.messagesPerGroup = queriesPerSecond / float64(services)
	e.attemptsPerGroup = e.messagesPerGroup * e.shardsPerMessage

	e.queryTime = r.fittedAt("query messages", "time", e.messagesPerQuery)
	e.messageTime = r.fittedAt("peer messages", "cpu", e.shardsPerMessage)
	e.attemptTime = r.fittedAt("scheduler size", "time", e.upstreamsPerGroup)
	e.callTime = r.fittedAt("upstream calls", "call cpu", e.upstreamsPerGroup)
	e.entryCores = secondsPerMicrosecond * e.queriesPerInstance * (e.queryTime + e.messagesPerQuery*e.messageTime/2)
	e.lockCoresPerGroup = secondsPerMicrosecond * e.attemptsPerGroup * e.attemptTime
	e.homeCoresPerGroup = e.lockCoresPerGroup + secondsPerMicrosecond*(e.messagesPerGroup*e.messageTime/2+e.attemptsPerGroup*e.callTime)
	e.setControlCosts()
	return e
}

func (e *estimate) setControlCosts() {
	report := e.report
	datagrams := report.measuredAt("membership", "datagrams sent", targetInstances)
	microsecondsPerSecond := report.measuredAt("membership", "tick and receive", targetInstances) + datagrams*report.fittedAt("datagrams", "cpu", 64)
	e.membership = cost{
		cores:          secondsPerMicrosecond * microsecondsPerSecond,
		bytesPerSecond: report.measuredAt("membership", "daily bytes", targetInstances),
		memory:         kilobyte * report.measuredAt("membership", "memory", targetInstances),
	}

	changesPerSecond := float64(changesPerDay) / secondsPerDay
	compressedBytes := report.fittedAt("document", "gzip", targetUpstreams/float64(services))
	e.documents = cost{
		cores: secondsPerMicrosecond * changesPerSecond * report.fittedAt("document", "offer", targetUpstreams/float64(services)),
		// Each fetched document is also served by another instance, so that its
		// bytes count twice. Documents are compressed on the network.
		bytesPerSecond: changesPerSecond * 2 * compressedBytes,
		memory:         kilobyte * report.fittedAt("catalog", "memory", services),
	}

	e.memberChangesPerSecond = memberRecordsPerChange * float64(restartsPerDay+failuresPerDay) / secondsPerDay
	e.homesSeconds = secondsPerMicrosecond * e.groups * report.fittedAt("placement", "homes", targetInstances)
	e.placement = cost{
		cores:  e.memberChangesPerSecond * e.homesSeconds,
		memory: e.groups * maxInstances * float64(unsafe.Sizeof(membership.Member{})),
	}

	e.statusPerUpstream = cost{
		cores:          secondsPerMicrosecond / statusIntervalSeconds * (report.fittedAt("upstream calls", "status cpu", e.upstreamsPerGroup) + report.fittedAt("scheduler size", "status", e.upstreamsPerGroup)),
		bytesPerSecond: (report.measuredAt("upstream calls", "status bytes", 32) + tcpHeaders) / statusIntervalSeconds,
	}
	e.statusPerGroup = e.statusPerUpstream.times(e.upstreamsPerGroup * statusReadFraction)
	e.statusPerGroup.memory = kilobyte * report.fittedAt("scheduler size", "memory", e.upstreamsPerGroup)
}

// statusReadFraction is the assumed fraction of upstreams that send no reply
// within a second because they drain, are ejected or have no work. A home reads
// the status of these upstreams only.
const statusReadFraction = 0.02

// instanceControlCost returns the control cost of an instance that is the home
// of the given number of groups.
func (e *estimate) instanceControlCost(groups float64) cost {
	return e.membership.plus(e.documents).plus(e.placement).plus(e.statusPerGroup.times(groups))
}

// instancesPerRegion is the mean number of instances in a region.
const instancesPerRegion = float64(targetInstances) / regions

// dataConnectionMemory returns the memory of a home's data connections: the
// server ends of one connection from each of the given number of other
// instances, and the client ends of one to each of the homes that it uses.
func (e *estimate) dataConnectionMemory(others, homes float64) float64 {
	server := e.report.slope("peer connections", "server end")
	client := e.report.slope("peer connections", "both ends") - server
	return kilobyte * (others*server + homes*client)
}

// disseminationSeconds returns the time until all instances hold a document. In
// each round the document is parsed once.
func (e *estimate) disseminationSeconds(column string) float64 {
	rounds := e.report.fittedAt("dissemination", column, targetInstances)
	return rounds * (roundTime.Seconds() + secondsPerMicrosecond*e.report.fittedAt("document", "offer", targetUpstreams/float64(services)))
}

// platformReads returns the reads of the platform per second in a fleet of n
// instances: the readers' watches of documents, and the reads of the instance
// list.
func (e *estimate) platformReads(n float64) (watches, list float64) {
	watches = e.report.fittedAt("dissemination", "platform reads", n) + float64(changesPerDay)/secondsPerDay*readersPerDataCentre*dataCentres
	interval := float64(max(1, int(n)/listReaders))
	return watches, n / interval
}

// groupSizeOption holds what the target size costs with groups of a given size.
type groupSizeOption struct {
	upstreams, groups, messagesPerQuery, messagesPerInstance, messageCores, attemptsPerGroup, lockCores float64
}

func (e *estimate) forGroupSize(upstreamsPerGroup float64) groupSizeOption {
	shardsPerMessage := upstreamsPerGroup / replicas
	o := groupSizeOption{upstreams: upstreamsPerGroup, groups: targetUpstreams / upstreamsPerGroup, messagesPerQuery: upstreamsPerQuery / shardsPerMessage}
	o.messagesPerInstance = e.queriesPerInstance * o.messagesPerQuery
	o.messageCores = secondsPerMicrosecond * o.messagesPerInstance * e.report.fittedAt("peer messages", "cpu", shardsPerMessage)
	o.attemptsPerGroup = e.upstreamCalls / o.groups
	o.lockCores = secondsPerMicrosecond * o.attemptsPerGroup * e.report.fittedAt("scheduler size", "time", upstreamsPerGroup)
	return o
}

func (e *estimate) groupSizeOptions() []groupSizeOption {
	var out []groupSizeOption
	for _, n := range []float64{replicas, 6, document.MaxMergedGroup / replicas * replicas, 30} {
		out = append(out, e.forGroupSize(n))
	}
	return out
}
