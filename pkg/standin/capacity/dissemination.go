package capacity

import (
	"fmt"
	"slices"
	"time"
)

const (
	// publicationsPerScenario is the number of documents that each scenario
	// publishes; publishRounds returns the median of the times that they take.
	publicationsPerScenario = 5
	// settleTime is how long the model runs before it measures a scenario, and how
	// long it counts the reads of the platform.
	settleTime = 10 * time.Second
	// halvesPartitionTime is how long the two halves of the regions can't reach
	// each other. After some seconds the instances have recorded each member of
	// the other half as dead, and ping it at the longest interval. A longer
	// partition would only make the tombstones older, and
	// membership.DefaultTombstoneLifetime bounds their age.
	halvesPartitionTime = 30 * time.Second
	// regionPairPartitionTime is how long two regions can't reach each other
	// before their traffic is measured.
	regionPairPartitionTime = 10 * time.Second
	// maxRegionPairFleet is the number of instances of the largest fleet in which
	// two regions are cut off from each other. In larger fleets this scenario runs
	// slowly, because the datagrams are full.
	maxRegionPairFleet = 400
	// shortLatency and longLatency are the one-way latencies of the model. An
	// indirect ping takes four messages one after the other. At shortLatency these
	// fit into what is left of a probe round after the direct ping; at longLatency
	// they do not.
	shortLatency = 10 * time.Millisecond
	longLatency  = 25 * time.Millisecond
	// firstCutOffDataCentre is the index of the first data centre in the half of
	// the regions that partitionHalves cuts off.
	firstCutOffDataCentre = dataCentres / 2
)

// measureDissemination runs the model of whole fleets. It measures how long a
// document takes to reach all instances, first while the platform is reachable
// and then while a third of the data centres can't reach it. It also measures the
// effects of three faults: the loss of a data centre, a partition into two halves
// of the regions that ends, and two regions that can't reach each other.
func measureDissemination(o Options) []Series {
	spread := Series{
		Name: "dissemination", Title: "Dissemination of a document in a model of whole fleets (virtual time, 25 ms one way)",
		Size: "instances", Seed: o.Seed, Repeats: publicationsPerScenario,
		Columns: []Column{
			column("rounds", "rounds", Logarithmic), column("rounds, third cut off", "rounds", Logarithmic),
			column("fetches", "per change and instance", Logarithmic), column("documents", "per change and instance", Logarithmic),
			column("platform reads", "1/s", Linear), column("platform reads, third cut off", "1/s", Linear),
		},
	}
	faults := Series{
		Name: "faults", Title: "Faults in the same model; bytes are both directions with UDP headers, in the mean over the instances",
		Size: "instances", Seed: o.Seed, Repeats: 1,
		Columns: []Column{
			column("loss: views", "rounds", Logarithmic), column("loss: peak", "B/s", Logarithmic), column("loss: bytes later", "B/s", Logarithmic),
			column("loss: false deaths", "records", Linear),
			column("halves apart: bytes", "B/s", Logarithmic), column("join: documents", "rounds", Logarithmic),
			column("join: views", "rounds", Logarithmic), column("join: peak", "B/s", Logarithmic),
		},
	}
	pair := Series{
		Name: "two regions apart", Title: "Two regions without contact while the others reach both, by one-way latency",
		Size: "instances", Seed: o.Seed, Repeats: 1,
		Columns: []Column{
			column("bytes at 10 ms", "B/s", Logarithmic), column("deaths at 10 ms", "records", Linear),
			column("bytes at 25 ms", "B/s", Logarithmic), column("deaths at 25 ms", "records", Linear),
		},
	}
	for _, n := range o.modelSizes() {
		o.logf("dissemination: %d instances", n)
		spreadValues, faultValues := measureFleet(n, o.Seed)
		spread.add(float64(n), spreadValues...)
		faults.add(float64(n), faultValues...)
		if n <= maxRegionPairFleet {
			pair.add(float64(n), append(partitionRegionPair(n, o.Seed, shortLatency), partitionRegionPair(n, o.Seed, longLatency)...)...)
		}
	}
	return []Series{spread, faults, pair}
}

// measureFleet runs the scenarios in a fleet of the given size and returns the
// values of its points in the series "dissemination" and "faults".
func measureFleet(size int, seed uint64) (spread, faults []float64) {
	m := newFleetModel(size, seed, longLatency)
	for i := range services {
		m.publish(serviceName(i))
	}
	// The conditions are checked only at full seconds of virtual time.
	m.runUntil(func() bool { return m.now.UnixNano()%int64(time.Second) == 0 && m.upToDate() == size && m.viewsExact() })
	m.run(settleTime)

	reads := m.platformReadRate(settleTime)
	fetches, documents := m.fetchTotals()
	rounds := m.publishRounds()
	fetches, documents = m.fetchedSince(fetches, documents)

	m.platformUnreachable = func(dc int) bool { return dc < dataCentres/3 }
	m.run(settleTime)
	cutOffReads := m.platformReadRate(settleTime)
	cutOffRounds := m.publishRounds()
	m.heal()
	m.run(settleTime)

	perChange := float64(publicationsPerScenario * size)
	spread = []float64{rounds, cutOffRounds, float64(fetches) / perChange, float64(documents) / perChange, reads, cutOffReads}
	return spread, append(m.loseDataCentre(), m.partitionHalves()...)
}

// modelSizes returns the sizes of the fleets to model, in instances.
func (o Options) modelSizes() []int {
	all := o.sizes(50, 100, 200, 400, 800, 1600)
	return slices.DeleteFunc(all, func(n int) bool { return o.Largest > 0 && n > o.Largest })
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

// inRounds converts a time to a number of probe rounds.
func inRounds(d time.Duration) float64 { return float64(d) / float64(roundTime) }

// publishRounds publishes documents one after the other and returns the median
// number of probe rounds until all live instances hold a published document.
func (fleet *fleetModel) publishRounds() float64 {
	var rounds []float64
	for i := range publicationsPerScenario {
		fleet.publish(serviceName(i))
		rounds = append(rounds, inRounds(fleet.runUntil(func() bool { return fleet.upToDate() == fleet.countAlive() })))
		fleet.run(2 * time.Second)
	}
	return median(rounds)
}

// partitionRegionPair cuts two regions off from each other while the other
// regions reach both. It returns the traffic per instance in bytes per second and
// the mean number of members that an instance records as dead.
func partitionRegionPair(n int, seed uint64, latency time.Duration) []float64 {
	fleet := newFleetModel(n, seed, latency)
	fleet.runUntil(fleet.viewsExact)
	fleet.run(settleTime)
	fleet.meanDeathsSinceLastCall()
	fleet.partitioned = func(a, b int) bool { return a/2 != b/2 && a/2 < 2 && b/2 < 2 }
	fleet.run(regionPairPartitionTime)
	bytes := fleet.traffic(5 * time.Second)
	return []float64{bytes, fleet.meanDeathsSinceLastCall()}
}

// partitionHalves cuts half of the regions off from the other half and from the
// platform, publishes documents, and then ends the partition between the halves.
// It returns the values of the columns "halves apart: ..." and "join: ...".
func (fleet *fleetModel) partitionHalves() []float64 {
	fleet.partitioned = func(a, b int) bool { return (a < firstCutOffDataCentre) != (b < firstCutOffDataCentre) }
	fleet.platformUnreachable = func(dc int) bool { return dc >= firstCutOffDataCentre }
	fleet.run(halvesPartitionTime - 5*time.Second)
	for i := range publicationsPerScenario {
		fleet.publish(serviceName(i))
	}
	partitionedTraffic := fleet.traffic(5 * time.Second)
	// The platform stays unreachable for the half that was cut off, so that this
	// half has to receive the documents from peers.
	fleet.partitioned = func(int, int) bool { return false }
	joinedAt := fleet.now
	var documentsTime, viewsTime time.Duration
	peak := fleet.peakTraffic(func() bool {
		if documentsTime == 0 && fleet.upToDate() == fleet.countAlive() {
			documentsTime = fleet.now.Sub(joinedAt)
		}
		if viewsTime == 0 && fleet.viewsExact() {
			viewsTime = fleet.now.Sub(joinedAt)
		}
		return documentsTime > 0 && viewsTime > 0
	})
	return []float64{partitionedTraffic, inRounds(documentsTime), inRounds(viewsTime), peak}
}

// loseDataCentre stops all instances of a data centre at the same time and
// returns the values of the columns "loss: ...".
func (fleet *fleetModel) loseDataCentre() []float64 {
	lostInstances := 0
	for _, inst := range fleet.instances {
		if inst.dataCentre == dataCentres-1 {
			inst.alive = false
			lostInstances++
		}
	}
	fleet.meanDeathsSinceLastCall()
	lostAt := fleet.now
	var viewsTime time.Duration
	peak := fleet.peakTraffic(func() bool {
		if viewsTime == 0 && fleet.viewsExact() {
			viewsTime = fleet.now.Sub(lostAt)
		}
		return viewsTime > 0
	})
	falseDeaths := max(0, fleet.meanDeathsSinceLastCall()-float64(lostInstances))
	fleet.run(3 * settleTime)
	return []float64{inRounds(viewsTime), peak, fleet.traffic(5 * time.Second), falseDeaths}
}

// peakTraffic runs the model until two seconds after done has returned true. It
// returns the highest traffic per instance in a probe round, in bytes per second.
func (fleet *fleetModel) peakTraffic(done func() bool) float64 {
	started := fleet.now
	peak := 0.0
	for !done() {
		peak = max(peak, fleet.traffic(roundTime))
		if fleet.now.Sub(started) > maxWait {
			panic("the instances' membership views or documents did not become exact in time")
		}
	}
	for range 2 * roundsPerSecond {
		peak = max(peak, fleet.traffic(roundTime))
	}
	return peak
}

// meanDeathsSinceLastCall returns how many members a live instance has recorded as
// dead since the last call, as the mean over the live instances.
func (fleet *fleetModel) meanDeathsSinceLastCall() float64 {
	deaths := 0
	for _, inst := range fleet.instances {
		if inst.alive {
			deaths += inst.recordedDeaths
		}
		inst.recordedDeaths = 0
	}
	return float64(deaths) / float64(fleet.countAlive())
}

// traffic runs the model for d and returns the bytes per second that an instance
// sends and receives in that time, as the mean over the live instances.
func (fleet *fleetModel) traffic(d time.Duration) float64 {
	before := fleet.totalBytes()
	fleet.run(d)
	return float64(fleet.totalBytes()-before) / d.Seconds() / float64(fleet.countAlive())
}

func (fleet *fleetModel) totalBytes() int {
	n := 0
	for _, inst := range fleet.instances {
		if inst.alive {
			n += inst.sentBytes + inst.receivedBytes
		}
	}
	return n
}

// platformReadRate runs the model for d and returns how many reads of documents
// per second the fleet starts at the platform in that time.
func (fleet *fleetModel) platformReadRate(d time.Duration) float64 {
	count := func() (n int) {
		for _, inst := range fleet.instances {
			n += inst.platformReads
		}
		return n
	}
	before := count()
	fleet.run(d)
	return float64(count()-before) / d.Seconds()
}

// fetchTotals returns the numbers of successful fetches from peers and of the
// documents that they returned, since the start of the model.
func (fleet *fleetModel) fetchTotals() (fetches, documents int) {
	for _, inst := range fleet.instances {
		fetches += inst.fetchCount
		documents += inst.fetchedDocuments
	}
	return fetches, documents
}

// fetchedSince returns how much fetchTotals has grown beyond the given totals.
func (fleet *fleetModel) fetchedSince(fetches, documents int) (int, int) {
	totalFetches, totalDocuments := fleet.fetchTotals()
	return totalFetches - fetches, totalDocuments - documents
}
