package capacity

import (
	"unsafe"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
)

// estimate holds figures for the target size that are computed from the
// measurements of a report. Rates are per second, and times are in microseconds
// unless the name says otherwise.
type estimate struct {
	report *Report

	groups            float64
	upstreamsPerGroup float64
	// messagesPerQuery is the number of group messages that a query needs, and
	// shardsPerMessage is the number of shards in each of them.
	messagesPerQuery float64
	shardsPerMessage float64

	queriesPerInstance  float64
	messagesPerInstance float64
	upstreamCalls       float64
	callsPerUpstream    float64
	messagesPerGroup    float64
	attemptsPerGroup    float64

	// queryTime is the time per query at its entry. messageTime is the time per group
	// message at its sender and receiver together. attemptTime is the time per attempt
	// in the scheduler. callTime is the time per upstream call in the HTTP client.
	queryTime, messageTime, attemptTime, callTime float64
	// lockCoresPerGroup is the part of homeCoresPerGroup that is spent under the
	// lock of the group.
	entryCores, homeCoresPerGroup, lockCoresPerGroup float64

	memberChangesPerSecond float64
	// allHomesSeconds is the time to compute the homes of all groups.
	allHomesSeconds float64
	membership      cost
	documents       cost
	placement       cost
	// statusPerGroup is the cost of reading the status of a group's upstreams. Its
	// field memory is the memory that the group's scheduler uses.
	statusPerGroup cost
	// statusPerUpstream is the cost of reading the status of one upstream.
	statusPerUpstream cost
}

// cost is what a task of an instance uses: processor cores, bytes per second on
// the network and bytes of memory.
type cost struct{ cores, bytesPerSecond, memory float64 }

func (c cost) plus(d cost) cost {
	return cost{c.cores + d.cores, c.bytesPerSecond + d.bytesPerSecond, c.memory + d.memory}
}

func (c cost) times(n float64) cost { return cost{c.cores * n, c.bytesPerSecond * n, c.memory * n} }

const (
	secondsPerMicrosecond = 1e-6
	kilobyte              = 1024.0
	megabyte              = 1024 * kilobyte
	// tcpHeaders is the number of bytes of the TCP and IPv4 headers of a status
	// read. It takes 8 packets (two requests, two answers and the acknowledgement
	// of each), with 52 bytes of headers each, TCP timestamps included.
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
		// Each instance fetches a changed document once and serves it to a peer
		// once on average, so the bytes count twice. Documents are compressed on
		// the network.
		bytesPerSecond: changesPerSecond * 2 * compressedBytes,
		memory:         kilobyte * report.fittedAt("catalog", "memory", services),
	}

	e.memberChangesPerSecond = memberRecordsPerChange * float64(restartsPerDay+failuresPerDay) / secondsPerDay
	e.allHomesSeconds = secondsPerMicrosecond * e.groups * report.fittedAt("placement", "homes", targetInstances)
	e.placement = cost{
		cores:  e.memberChangesPerSecond * e.allHomesSeconds,
		memory: e.groups * maxInstances * float64(unsafe.Sizeof(membership.Member{})),
	}

	e.statusPerUpstream = cost{
		cores:          secondsPerMicrosecond / statusIntervalSeconds * (report.fittedAt("upstream calls", "status cpu", e.upstreamsPerGroup) + report.fittedAt("scheduler size", "status", e.upstreamsPerGroup)),
		bytesPerSecond: (report.measuredAt("upstream calls", "status bytes", 32) + tcpHeaders) / statusIntervalSeconds,
	}
	e.statusPerGroup = e.statusPerUpstream.times(e.upstreamsPerGroup * statusReadFraction)
	e.statusPerGroup.memory = kilobyte * report.fittedAt("scheduler size", "memory", e.upstreamsPerGroup)
}

// statusReadFraction is the assumed fraction of upstreams that send no reply to
// their home for a second because they drain, are ejected or have no work. A
// home reads the status of only these upstreams.
const statusReadFraction = 0.02

// instanceControlCost returns the cost of an instance's control work (membership,
// documents, placement and status reads) if it is the home of the given number
// of groups.
func (e *estimate) instanceControlCost(groups float64) cost {
	return e.membership.plus(e.documents).plus(e.placement).plus(e.statusPerGroup.times(groups))
}

// instancesPerRegion is the mean number of instances in a region.
const instancesPerRegion = float64(targetInstances) / regions

// dataConnectionMemory returns the memory of an instance's data connections. The
// parameter others is the number of instances that connect to it, and homes is the
// number of homes that it connects to. The instance has the server ends of the former
// connections and the client ends of the latter.
func (e *estimate) dataConnectionMemory(others, homes float64) float64 {
	server := e.report.slope("peer connections", "server end")
	client := e.report.slope("peer connections", "both ends") - server
	return kilobyte * (others*server + homes*client)
}

// disseminationSeconds returns the time until all instances hold a changed
// document, from the number of rounds in the given column of the series
// "dissemination". Each round counts as a probe round plus the time to parse the
// document once.
func (e *estimate) disseminationSeconds(column string) float64 {
	rounds := e.report.fittedAt("dissemination", column, targetInstances)
	return rounds * (roundTime.Seconds() + secondsPerMicrosecond*e.report.fittedAt("document", "offer", targetUpstreams/float64(services)))
}

// platformReads returns how many requests per second a fleet of n instances
// sends to the platform: the watches of documents by the readers, and the reads
// of the instance list by all instances.
func (e *estimate) platformReads(n float64) (watches, list float64) {
	watches = e.report.fittedAt("dissemination", "platform reads", n) + float64(changesPerDay)/secondsPerDay*readersPerDataCentre*dataCentres
	interval := float64(max(1, int(n)/listReaders))
	return watches, n / interval
}

// groupSizeOption holds rates and costs at the target size if each group has the
// given number of upstreams.
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
