package capacity

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"time"

	"github.com/sardineturn/sardineturn/pkg/catalog"
	"github.com/sardineturn/sardineturn/pkg/document"
	"github.com/sardineturn/sardineturn/pkg/membership"
	"github.com/sardineturn/sardineturn/pkg/model"
	"github.com/sardineturn/sardineturn/pkg/order"
	"github.com/sardineturn/sardineturn/pkg/placement"
	"github.com/sardineturn/sardineturn/pkg/port"
	"github.com/sardineturn/sardineturn/pkg/query"
	"github.com/sardineturn/sardineturn/pkg/result"
)

// replicaLayout returns the data centre of replica r of shard s.
type replicaLayout func(s, r int) model.DataCentre

// withinRegion returns a layout that spreads the replicas of each shard over the
// two data centres of the service's region. If uneven is set, the first data
// centre holds two of the three replicas of every shard; otherwise the two data
// centres take turns as the one that holds two.
func withinRegion(service int, uneven bool) replicaLayout {
	return func(s, r int) model.DataCentre {
		if !uneven {
			r += s
		}
		return dataCentre(service%regions*2 + r%2)
	}
}

// documentContent returns the JSON of a document in which each upstream holds
// one replica of one shard.
func documentContent(service, revision, shards, replicaCount int, layout replicaLayout) []byte {
	var b bytes.Buffer
	name := serviceName(service)
	fmt.Fprintf(&b, `{"service":%q,"revision":%d,"priorities":[`, name, revision)
	b.WriteString(`{"name":"high","target_ms":150,"deadline_ms":10000,"least_coverage":0.8,"guaranteed_share":0.5,"worth":10},`)
	b.WriteString(`{"name":"low","target_ms":2000,"deadline_ms":10000,"least_coverage":0.5,"guaranteed_share":0.1,"worth":1}],`)
	b.WriteString(`"operations":[{"name":"lookup"},{"name":"reserve","non_idempotent":true}],"upstreams":[`)
	for s := range shards {
		for r := range replicaCount {
			writeComma(&b, s+r)
			fmt.Fprintf(&b, `{"name":"%s-s%03d-%02d","data_centre":%q,"address":"10.%d.%d.%d:8080","slots":%d,"connection_limit":%d,"connect_ms":1}`,
				name, s, r, layout(s, r), 100+service, s%250, r+40*(s/250), slotsPerUpstream, connectionLimit)
		}
	}
	b.WriteString(`],"snapshots":[`)
	for v := range snapshots {
		writeComma(&b, v)
		fmt.Fprintf(&b, `{"id":"2026-12-%02d","shards":[`, v+1)
		for s := range shards {
			writeComma(&b, s)
			fmt.Fprintf(&b, `{"id":"s%03d","replicas":[`, s)
			for r := range replicaCount {
				writeComma(&b, r)
				fmt.Fprintf(&b, `"%s-s%03d-%02d"`, name, s, r)
			}
			b.WriteString("]}")
		}
		b.WriteString("]}")
	}
	b.WriteString("]}")
	return b.Bytes()
}

func writeComma(b *bytes.Buffer, i int) {
	if i > 0 {
		b.WriteByte(',')
	}
}

func mustParse(content []byte) *document.Document {
	d, err := document.Parse(content)
	if err != nil {
		panic(err)
	}
	return d
}

func parsedDocument(shards, replicaCount int) *document.Document {
	return mustParse(documentContent(0, 1, shards, replicaCount, withinRegion(0, true)))
}

func measureCatalog(o Options) []Series {
	bySize := Series{
		Name: "document", Title: "Catalog: one document of growing size (3 replicas per shard, 2 snapshots)",
		Size: "upstreams", Seed: o.Seed, Repeats: 5,
		Columns: []Column{column("bytes", "B", Linear), column("gzip", "B", Linear), column("offer", "us", Linear), column("memory", "KB", Linear)},
	}
	for _, upstreams := range o.sizes(30, 150, 600, 1500, 3000) {
		content := documentContent(0, 1, upstreams/replicas, replicas, withinRegion(0, true))
		values := medianOf(bySize.Repeats, func() []float64 {
			before := heapBytes()
			started := time.Now()
			c := catalog.New(document.Parse)
			outcome := c.Offer(port.RawDocument{Service: serviceName(0), Content: bytes.Clone(content)})
			spent := microseconds(time.Since(started), 1)
			if outcome.Verdict != catalog.Adopted {
				panic(outcome.Err)
			}
			after := heapBytes()
			runtime.KeepAlive(c)
			return []float64{spent, (after - before) / 1024}
		})
		bySize.add(float64(upstreams), float64(len(content)), float64(gzippedSize(content)), values[0], values[1])
	}
	byCount := Series{
		Name: "catalog", Title: "Catalog: growing number of documents of 600 upstreams",
		Size: "documents", Seed: o.Seed, Repeats: 1,
		Columns: []Column{column("memory", "KB", Linear), column("offer of a change", "us", Linear), column("versions for a fetch", "us", Linear)},
	}
	for _, n := range o.sizes(5, 10, 20, services, 60) {
		byCount.add(float64(n), catalogCost(n)...)
	}
	return []Series{bySize, byCount}
}

func gzippedSize(content []byte) int {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	_, _ = w.Write(content)
	_ = w.Close()
	return b.Len()
}

// catalogCost measures a catalog of n documents. It returns the KB of heap that the
// catalog uses, and two times in microseconds: the time to offer a changed document,
// and the time to compare all versions with the versions of a peer that fetches.
func catalogCost(n int) []float64 {
	before := heapBytes()
	c := catalog.New(document.Parse)
	offer := func(i, revision int) {
		outcome := c.Offer(port.RawDocument{
			Service: serviceName(i),
			Content: documentContent(i, revision, upstreamsPerQuery, replicas, withinRegion(i, true)),
		})
		if outcome.Verdict != catalog.Adopted {
			panic(outcome.Err)
		}
	}
	for i := range n {
		offer(i, 1)
	}
	memory := heapBytes() - before
	change := medianOf(5, func() []float64 {
		raw := documentContent(0, int(c.Get(serviceName(0)).Revision)+1, upstreamsPerQuery, replicas, withinRegion(0, true))
		started := time.Now()
		c.Offer(port.RawDocument{Service: serviceName(0), Content: raw})
		return []float64{microseconds(time.Since(started), 1)}
	})
	started := time.Now()
	const lookups = 1000
	for range lookups {
		c.Newer(c.Versions())
	}
	return []float64{memory / 1024, change[0], microseconds(time.Since(started), lookups)}
}

// fleetMembers returns the members of a fleet of n instances, which are spread
// evenly over all data centres.
func fleetMembers(n int) []membership.Member {
	out := make([]membership.Member, n)
	for i := range out {
		out[i] = member(i, dataCentres)
	}
	return out
}

// targetGroups returns the scheduling groups of all documents at the target
// size.
func targetGroups(uneven bool) []document.Group {
	var out []document.Group
	for i := range services {
		d := mustParse(documentContent(i, 1, upstreamsPerQuery, replicas, withinRegion(i, uneven)))
		out = append(out, d.Groups()...)
	}
	return out
}

// measurePlacement measures what a change of members costs an instance. After the
// change, pkg/instance computes the home order of each group again when it next
// needs it, and checks whether the instance is a reader. The second column adds
// the cost of a map of the members by id for each group; pkg/instance builds one
// map for all groups.
func measurePlacement(o Options) Series {
	s := Series{
		Name: "placement", Title: "Placement: after a change of members",
		Size: "members", Seed: o.Seed, Repeats: 5,
		Columns: []Column{
			column("homes", "us per group", Linear), column("homes with members by id", "us per group", Linear),
			column("readers", "us", Linear),
		},
	}
	groups := targetGroups(true)[:o.count(100)]
	for _, n := range o.sizes(9, 100, 400, 1600, 3100, 6200) {
		members := fleetMembers(n)
		s.add(float64(n), medianOf(s.Repeats, func() []float64 {
			started := time.Now()
			for _, g := range groups {
				placement.Homes(g, members, maxInstances)
			}
			homesElapsed := time.Since(started)
			started = time.Now()
			for _, g := range groups {
				homeOrder(g, members)
			}
			homeOrderElapsed := time.Since(started)
			started = time.Now()
			for range groups {
				placement.Readers(members[0].DataCentre, members, readersPerDataCentre)
			}
			return []float64{microseconds(homesElapsed, len(groups)), microseconds(homeOrderElapsed, len(groups)), microseconds(time.Since(started), len(groups))}
		})...)
	}
	return s
}

// countHomes counts, for growing fleets, how many instances are homes of the
// groups of the target size, and which fraction of the homes is in the region of
// the group's upstreams. The counts don't depend on the seed, because rendezvous
// hashing uses no random numbers.
func countHomes(o Options) Series {
	s := Series{
		Name: "homes", Title: "Homes of the target size's groups (counted with the product's placement)",
		Size: "members", Seed: o.Seed, Repeats: 1,
		Columns: []Column{
			column("groups", "groups", Linear), column("instances with a group", "instances", Linear), column("most groups of an instance", "groups", Linear),
			column("homes in region, 2:1", "fraction", Linear), column("homes in region, even", "fraction", Linear),
			column("homes in region, 2:1, data centre lost", "fraction", Linear), column("homes that an instance of a region uses", "instances", Linear),
		},
	}
	uneven, even := targetGroups(true), targetGroups(false)
	for _, n := range o.sizes(100, 400, 1600, 3100) {
		members := fleetMembers(n)
		groupsByHome := make(map[model.InstanceID]int)
		regionHomes := make(map[model.InstanceID]bool)
		for _, g := range uneven {
			home := placement.Homes(g, members, 1)[0]
			groupsByHome[home]++
			if regionOf(g) == 0 {
				regionHomes[home] = true
			}
		}
		maxGroups := 0
		for _, count := range groupsByHome {
			maxGroups = max(maxGroups, count)
		}
		survivors := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool { return m.DataCentre == dataCentre(0) })
		affected := slices.DeleteFunc(slices.Clone(uneven), func(g document.Group) bool { return regionOf(g) != 0 })
		s.add(float64(n), float64(len(uneven)), float64(len(groupsByHome)), float64(maxGroups),
			homesInRegion(uneven, members), homesInRegion(even, members), homesInRegion(affected, survivors), float64(len(regionHomes)))
	}
	return s
}

// regionOf returns the index of the region that holds all upstreams of the
// group.
func regionOf(g document.Group) int { return regionIndex(g.Upstreams[0].DataCentre) }

func regionIndex(dc model.DataCentre) int {
	var region, number int
	_, _ = fmt.Sscanf(string(dc), "region%d-dc%d", &region, &number)
	return region - 1
}

// homesInRegion returns the fraction of the groups whose home is in the same
// region as the group's upstreams.
func homesInRegion(groups []document.Group, members []membership.Member) float64 {
	dataCentreOf := make(map[model.InstanceID]model.DataCentre, len(members))
	for _, m := range members {
		dataCentreOf[m.ID] = m.DataCentre
	}
	inRegion := 0
	for _, g := range groups {
		if regionIndex(dataCentreOf[placement.Homes(g, members, 1)[0]]) == regionOf(g) {
			inRegion++
		}
	}
	return float64(inRegion) / float64(len(groups))
}

// homeOrder returns the members that may act as the group's home, in home order.
// Unlike pkg/instance, it builds the map of the members by id on each call.
func homeOrder(g document.Group, members []membership.Member) []membership.Member {
	byID := make(map[model.InstanceID]membership.Member, len(members))
	for _, m := range members {
		byID[m.ID] = m
	}
	var out []membership.Member
	for _, id := range placement.Homes(g, members, maxInstances) {
		out = append(out, byID[id])
	}
	return out
}

// sequentialIDs returns a generator of attempt ids that count up from 1.
func sequentialIDs() func() model.AttemptID {
	var n uint64
	return func() model.AttemptID {
		n++
		var id model.AttemptID
		binary.BigEndian.PutUint64(id[:], n)
		return id
	}
}

// payload returns a JSON string of n bytes, with its quotes.
func payload(n int) json.RawMessage {
	return json.RawMessage(`"` + string(bytes.Repeat([]byte("x"), n-2)) + `"`)
}

func measureQuery(o Options) []Series {
	byMessages := Series{
		Name: "query messages", Title: "Query at its entry: 200 shards in a growing number of group messages",
		Size: "messages", Seed: o.Seed, Repeats: 5,
		Columns: []Column{column("time", "us per query", Linear), column("allocated", "KB per query", Linear), column("held", "KB per query", Linear)},
	}
	for _, replicaCount := range o.sizes(1, 2, replicas, 8, 16) {
		d := parsedDocument(upstreamsPerQuery, replicaCount)
		byMessages.add(float64(len(d.Groups())), queryCost(o, d)...)
	}
	byShards := Series{
		Name: "query shards", Title: "Query at its entry: growing number of shards, 10 shards per group message",
		Size: "shards", Seed: o.Seed, Repeats: 5,
		Columns: byMessages.Columns,
	}
	byShards.Columns = append([]Column(nil), byMessages.Columns...)
	for _, shards := range o.sizes(50, 100, 200, 400, 800) {
		byShards.add(float64(shards), queryCost(o, parsedDocument(shards, replicas))...)
	}
	return []Series{byMessages, byShards}
}

// queryCost runs queries from start to answer. It returns, per query, the time in
// microseconds, the KB allocated, and the KB of heap in use while the query waits
// for the answers of its groups.
func queryCost(o Options, d *document.Document) []float64 {
	cfg := query.Config{
		NewID:           sequentialIDs(),
		Document:        func() *document.Document { return d },
		SnapshotAvoided: func(model.SnapshotID) bool { return false },
		QueueDelay:      func(model.GroupKey, string) time.Duration { return 0 },
	}
	q := model.Query{Service: d.Service, Operation: "lookup", Priority: "high", Caller: "caller", Payload: payload(payloadBytes)}
	shardResult := payload(resultBytes)
	start := func() (*query.Query, []query.Action) {
		state, actions, err := query.New(epoch, q, d, cfg)
		if err != nil {
			panic(err)
		}
		return state, actions
	}
	n := o.count(300)
	return medianOf(5, func() []float64 {
		var before, after runtime.MemStats
		var elapsed time.Duration
		runtime.ReadMemStats(&before)
		for range n {
			started := time.Now()
			state, actions := start()
			elapsed += time.Since(started)
			var answers []model.GroupAnswer
			for _, a := range actions {
				answers = append(answers, groupAnswer(a.(query.Send).Request, shardResult))
			}
			started = time.Now()
			for _, a := range answers {
				state.GroupAnswered(epoch, a.ID, a)
			}
			elapsed += time.Since(started)
			if !state.Done() {
				panic("the query is not done although all its groups have answered")
			}
		}
		runtime.ReadMemStats(&after)
		heap := heapBytes()
		waiting := make([]*query.Query, o.count(200))
		for i := range waiting {
			waiting[i], _ = start()
		}
		waitingBytes := (heapBytes() - heap) / float64(len(waiting))
		runtime.KeepAlive(waiting)
		return []float64{microseconds(elapsed, n), float64(after.TotalAlloc-before.TotalAlloc) / 1024 / float64(n), waitingBytes / 1024}
	})
}

// groupAnswer returns an answer to req in which every shard succeeds with the same
// result.
func groupAnswer(req model.GroupRequest, shardResult json.RawMessage) model.GroupAnswer {
	a := model.GroupAnswer{ID: req.ID, Code: result.OK, Snapshot: req.Snapshot}
	for _, s := range req.Shards {
		a.Outcomes = append(a.Outcomes, model.ShardOutcome{Shard: s, Code: result.OK, Ran: model.Ran, Result: shardResult})
	}
	return a
}

func measureOrders(o Options) Series {
	s := Series{
		Name: "orders", Title: "Order book: tickets held, each run to its end",
		Size: "tickets", Seed: o.Seed, Repeats: 3,
		Columns: []Column{column("memory", "KB", Linear), column("order", "us per order", Linear), column("expiry", "us", Linear)},
	}
	for _, n := range o.sizes(1000, 10000, 30000, 100000) {
		s.add(float64(n), medianOf(s.Repeats, func() []float64 { return orderCost(n, o.Seed) })...)
	}
	return s
}

// orderCost runs n orders to their end. It returns the KB of heap that their
// tickets use, the time per order, and the time of one expiry while no ticket is
// due, both in microseconds.
func orderCost(n int, seed uint64) []float64 {
	before := heapBytes()
	store := order.NewTicketStore(order.Config{Owner: "10.0.0.1:7000", Boot: 1, Capacity: n, NewID: sequentialIDs(), Rand: rand.New(rand.NewPCG(seed, 1))})
	spec := order.Spec{Service: serviceName(0), Operation: "reserve", Caller: "caller", Validity: order.MaxValidity}
	var elapsed time.Duration
	for range n {
		body, shardResult := payload(payloadBytes), payload(resultBytes)
		started := time.Now()
		t, _, err := store.Issue(epoch, spec)
		if err != nil {
			panic(err)
		}
		decision := store.Submit(epoch, t, port.OrderSubmission{
			Ticket: t.String(), Service: spec.Service, Operation: spec.Operation, Priority: "high",
			Caller: spec.Caller, Payload: body, Shard: "s001", Deadline: epoch.Add(time.Second),
		})
		store.Finish(epoch, t.ID, decision.Start.ID, order.Outcome{Code: result.OK, Ran: model.Ran, Result: shardResult, Snapshot: "2026-12-01"})
		elapsed += time.Since(started)
	}
	memory := heapBytes() - before
	started := time.Now()
	store.Expire(epoch.Add(time.Second))
	expiry := microseconds(time.Since(started), 1)
	if store.Len() != n {
		panic("the ticket store dropped a ticket that has not expired")
	}
	return []float64{memory / 1024, microseconds(elapsed, n), expiry}
}
