package capacity

import (
	"unsafe"

	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
)

// estimate holds what the measurements say about the target size.
type estimate struct {
	r *Report

	groups         float64
	groupUpstreams float64
	// messages and shards are those of a query and of a group message.
	messages float64
	shards   float64

	queries       float64
	peerMessages  float64
	upstreamCalls float64
	perUpstream   float64
	groupMessages float64
	groupAttempts float64

	queryTime, messageTime, attemptTime, callTime float64
	entryCores, homeCores, lockCores              float64

	memberChanges float64
	homesTime     float64
	gossip        control
	documents     control
	placement     control
	status        control
	// statusOne is the part of one upstream.
	statusOne control
}

// control is a cost in cores, bytes per second and bytes of memory.
type control struct{ cores, rate, memory float64 }

func (c control) plus(d control) control {
	return control{c.cores + d.cores, c.rate + d.rate, c.memory + d.memory}
}

func (c control) times(n float64) control { return control{c.cores * n, c.rate * n, c.memory * n} }

const (
	micro    = 1e-6
	kilobyte = 1024.0
	megabyte = 1024 * kilobyte
	// tcpHeaders is what TCP and IPv4 add to a status read: two requests, two
	// answers and their acknowledgements, 52 bytes each with timestamps.
	tcpHeaders = 8 * 52
)

func (r *Report) estimate() estimate {
	e := estimate{r: r}
	e.groups = r.measured("homes", "groups", instances)
	e.groupUpstreams = upstreams / e.groups
	e.messages = e.groups / services
	e.shards = upstreamsPerQuery / e.messages

	e.queries = queriesPerSecond / float64(instances)
	e.peerMessages = e.queries * e.messages
	e.upstreamCalls = queriesPerSecond * upstreamsPerQuery
	e.perUpstream = e.upstreamCalls / upstreams
	e.groupMessages = queriesPerSecond / float64(services)
	e.groupAttempts = e.groupMessages * e.shards

	e.queryTime = r.fitted("query messages", "time", e.messages)
	e.messageTime = r.fitted("peer messages", "cpu", e.shards)
	e.attemptTime = r.fitted("scheduler size", "time", e.groupUpstreams)
	e.callTime = r.fitted("upstream calls", "call cpu", e.groupUpstreams)
	e.entryCores = micro * e.queries * (e.queryTime + e.messages*e.messageTime/2)
	e.lockCores = micro * e.groupAttempts * e.attemptTime
	e.homeCores = e.lockCores + micro*(e.groupMessages*e.messageTime/2+e.groupAttempts*e.callTime)
	e.control()
	return e
}

func (e *estimate) control() {
	r := e.r
	datagrams := r.measured("membership", "datagrams sent", instances)
	perSecond := r.measured("membership", "tick and receive", instances) + datagrams*r.fitted("datagrams", "cpu", 64)
	e.gossip = control{
		cores:  micro * perSecond,
		rate:   r.measured("membership", "daily bytes", instances),
		memory: kilobyte * r.measured("membership", "memory", instances),
	}

	changes := float64(changesPerDay) / daySeconds
	bytes := r.fitted("document", "gzip", upstreams/float64(services))
	e.documents = control{
		cores: micro * changes * r.fitted("document", "offer", upstreams/float64(services)),
		// Each fetched document is also served by some instance. Documents are
		// compressed on the way.
		rate:   changes * 2 * bytes,
		memory: kilobyte * r.fitted("catalog", "memory", services),
	}

	e.memberChanges = recordsPerChange * float64(restartsPerDay+failuresPerDay) / daySeconds
	e.homesTime = micro * e.groups * r.fitted("placement", "homes", instances)
	e.placement = control{
		cores:  e.memberChanges * e.homesTime,
		memory: e.groups * maxInstances * float64(unsafe.Sizeof(membership.Member{})),
	}

	e.statusOne = control{
		cores: micro / statusIntervalSeconds * (r.fitted("upstream calls", "status cpu", e.groupUpstreams) + r.fitted("scheduler size", "status", e.groupUpstreams)),
		rate:  (r.measured("upstream calls", "status bytes", 32) + tcpHeaders) / statusIntervalSeconds,
	}
	e.status = e.statusOne.times(e.groupUpstreams * silentUpstreams)
	e.status.memory = kilobyte * r.fitted("scheduler size", "memory", e.groupUpstreams)
}

// silentUpstreams is the assumed share of upstreams that do not reply within a
// second because they drain, are ejected or have no work; only those are read.
const silentUpstreams = 0.02

// own returns the control cost of an instance that is the home of some groups.
func (e *estimate) own(groups float64) control {
	return e.gossip.plus(e.documents).plus(e.placement).plus(e.status.times(groups))
}

// regionInstances is the number of instances in a region.
const regionInstances = float64(instances) / regions

// meshMemory returns the memory of the data connections of an instance that is
// a home: one connection from each of the other instances, and one to each home
// that it uses.
func (e *estimate) meshMemory(others, homes float64) float64 {
	server := e.r.slope("peer connections", "server end")
	client := e.r.slope("peer connections", "both ends") - server
	return kilobyte * (others*server + homes*client)
}

// spreadTime returns the time in seconds until all instances hold a document,
// with the time to parse it once in each round.
func (e *estimate) spreadTime(column string) float64 {
	rounds := e.r.fitted("dissemination", column, instances)
	return rounds * (roundTime.Seconds() + micro*e.r.fitted("document", "offer", upstreams/float64(services)))
}

// platformReads returns the reads of the platform in a second in a fleet of n
// instances: watches by readers, and the instance list.
func (e *estimate) platformReads(n float64) (watches, list float64) {
	watches = e.r.fitted("dissemination", "platform reads", n) + float64(changesPerDay)/daySeconds*readersPerDataCentre*dataCentres
	interval := float64(max(1, int(n)/listReaders))
	return watches, n / interval
}

// option is a possible size of groups.
type option struct {
	upstreams, groups, messages, perInstance, messageCores, groupAttempts, lock float64
}

func (e *estimate) option(groupUpstreams float64) option {
	shards := groupUpstreams / replicas
	o := option{upstreams: groupUpstreams, groups: upstreams / groupUpstreams, messages: upstreamsPerQuery / shards}
	o.perInstance = e.queries * o.messages
	o.messageCores = micro * o.perInstance * e.r.fitted("peer messages", "cpu", shards)
	o.groupAttempts = e.upstreamCalls / o.groups
	o.lock = micro * o.groupAttempts * e.r.fitted("scheduler size", "time", groupUpstreams)
	return o
}

func (e *estimate) options() []option {
	var out []option
	for _, n := range []float64{replicas, 6, document.MaxMergedGroup / replicas * replicas, 30} {
		out = append(out, e.option(n))
	}
	return out
}
