package capacity

import (
	"fmt"
	"slices"
	"time"
)

const (
	// publications is the number of documents published per scenario; the
	// median is reported.
	publications = 5
	// settleTime passes before each scenario is measured.
	settleTime = 10 * time.Second
	// apartTime is how long regions are apart. After some seconds every member
	// of the other side is dead and pinged at the longest interval, so that a
	// longer time changes nothing but the tombstones' age, which is bounded by
	// membership.DefaultTombstoneLifetime.
	apartTime = 30 * time.Second
	// pairTime is how long two regions are apart before traffic is measured.
	pairTime = 10 * time.Second
	// pairSize is the largest fleet in which two regions are cut off from each
	// other: full datagrams make larger ones slow.
	pairSize = 400
	// shortLatency and longLatency are the one-way latencies of the model. An
	// indirect ping takes four of them: less, and more, than the rest of a round.
	shortLatency = 10 * time.Millisecond
	longLatency  = 25 * time.Millisecond
	// farHalf is the first data centre of the half that is cut off.
	farHalf = dataCentres / 2
)

// measureDissemination runs the model of whole fleets: how long a document takes
// to reach all, in order, with a third of the data centres cut off from the
// platform, with regions apart and joined again, and the loss of a data centre.
func measureDissemination(o Options) []Series {
	spread := Series{
		Name: "dissemination", Title: "Dissemination of a document in a model of whole fleets (virtual time, 25 ms one way)",
		Size: "instances", Seed: o.Seed, Repeats: publications,
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
		s, f := disseminate(n, o.Seed)
		spread.add(float64(n), s...)
		faults.add(float64(n), f...)
		if n <= pairSize {
			pair.add(float64(n), append(pairApart(n, o.Seed, shortLatency), pairApart(n, o.Seed, longLatency)...)...)
		}
	}
	return []Series{spread, faults, pair}
}

func disseminate(n int, seed uint64) (spread, faults []float64) {
	w := newNetwork(n, seed, longLatency)
	for i := range services {
		w.publish(serviceName(i))
	}
	w.until(func() bool { return w.now.UnixNano()%int64(time.Second) == 0 && w.holders() == n && w.whole() })
	w.run(settleTime)

	reads := w.reads(settleTime)
	fetches, documents := w.fetched()
	rounds := w.publishRounds()
	fetches, documents = w.fetchedSince(fetches, documents)

	w.platformCut = func(dc int) bool { return dc < dataCentres/3 }
	w.run(settleTime)
	cutReads := w.reads(settleTime)
	cutRounds := w.publishRounds()
	w.heal()
	w.run(settleTime)

	perChange := float64(publications * n)
	spread = []float64{rounds, cutRounds, float64(fetches) / perChange, float64(documents) / perChange, reads, cutReads}
	return spread, append(w.loss(), w.halves()...)
}

// modelSizes returns the sizes of the modelled fleets.
func (o Options) modelSizes() []int {
	all := o.sizes(50, 100, 200, 400, 800, 1600)
	return slices.DeleteFunc(all, func(n int) bool { return o.Largest > 0 && n > o.Largest })
}

func serviceName(i int) string { return fmt.Sprintf("service-%02d", i) }

func inRounds(d time.Duration) float64 { return float64(d) / float64(roundTime) }

// publishRounds publishes documents one after the other and returns the median
// number of probe rounds until all hold them.
func (w *network) publishRounds() float64 {
	var rounds []float64
	for i := range publications {
		w.publish(serviceName(i))
		rounds = append(rounds, inRounds(w.until(func() bool { return w.holders() == w.living() })))
		w.run(2 * time.Second)
	}
	return median(rounds)
}

// pairApart cuts two regions off from each other, while the other regions reach
// both, and returns the traffic and the deaths recorded.
func pairApart(n int, seed uint64, latency time.Duration) []float64 {
	w := newNetwork(n, seed, latency)
	w.until(w.whole)
	w.run(settleTime)
	w.countDeaths()
	w.cut = func(a, b int) bool { return a/2 != b/2 && a/2 < 2 && b/2 < 2 }
	w.run(pairTime)
	bytes := w.traffic(5 * time.Second)
	return []float64{bytes, w.countDeaths()}
}

// halves cuts one half of the regions off from the other half and from the
// platform, publishes, and joins them again.
func (w *network) halves() []float64 {
	w.cut = func(a, b int) bool { return (a < farHalf) != (b < farHalf) }
	w.platformCut = func(dc int) bool { return dc >= farHalf }
	w.run(apartTime - 5*time.Second)
	for i := range publications {
		w.publish(serviceName(i))
	}
	apart := w.traffic(5 * time.Second)
	// The platform stays unreachable, so that documents arrive through peers.
	w.cut = func(int, int) bool { return false }
	joined := w.now
	var documents, views time.Duration
	peak := w.busy(func() bool {
		if documents == 0 && w.holders() == w.living() {
			documents = w.now.Sub(joined)
		}
		if views == 0 && w.whole() {
			views = w.now.Sub(joined)
		}
		return documents > 0 && views > 0
	})
	return []float64{apart, inRounds(documents), inRounds(views), peak}
}

// loss ends all processes of a data centre at once.
func (w *network) loss() []float64 {
	dead := 0
	for _, p := range w.procs {
		if p.dc == dataCentres-1 {
			p.alive = false
			dead++
		}
	}
	w.countDeaths()
	lost := w.now
	var views time.Duration
	peak := w.busy(func() bool {
		if views == 0 && w.whole() {
			views = w.now.Sub(lost)
		}
		return views > 0
	})
	deaths := max(0, w.countDeaths()-float64(dead))
	w.run(3 * settleTime)
	return []float64{inRounds(views), peak, w.traffic(5 * time.Second), deaths}
}

// busy runs until done holds and two seconds longer, and returns the highest
// traffic of a round.
func (w *network) busy(done func() bool) float64 {
	started := w.now
	peak := 0.0
	for !done() {
		peak = max(peak, w.traffic(roundTime))
		if w.now.Sub(started) > modelLimit {
			panic("the views did not settle")
		}
	}
	for range 2 * roundsEach {
		peak = max(peak, w.traffic(roundTime))
	}
	return peak
}

// countDeaths returns the deaths that a live process has recorded in the mean
// since the last call.
func (w *network) countDeaths() float64 {
	deaths := 0
	for _, p := range w.procs {
		if p.alive {
			deaths += p.deaths
		}
		p.deaths = 0
	}
	return float64(deaths) / float64(w.living())
}

// traffic runs for d and returns the bytes that an instance sends and receives
// in a second in the mean.
func (w *network) traffic(d time.Duration) float64 {
	before := w.bytes()
	w.run(d)
	return float64(w.bytes()-before) / d.Seconds() / float64(w.living())
}

func (w *network) bytes() int {
	n := 0
	for _, p := range w.procs {
		if p.alive {
			n += p.sentBytes + p.receivedBytes
		}
	}
	return n
}

// reads runs for d and returns the fleet's reads of the platform's documents in
// a second.
func (w *network) reads(d time.Duration) float64 {
	count := func() (n int) {
		for _, p := range w.procs {
			n += p.platformReads
		}
		return n
	}
	before := count()
	w.run(d)
	return float64(count()-before) / d.Seconds()
}

func (w *network) fetched() (fetches, documents int) {
	for _, p := range w.procs {
		fetches += p.fetchCount
		documents += p.fetchedDocuments
	}
	return fetches, documents
}

func (w *network) fetchedSince(fetches, documents int) (int, int) {
	f, d := w.fetched()
	return f - fetches, d - documents
}
