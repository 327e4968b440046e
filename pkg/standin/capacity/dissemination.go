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
	// membership.DefaultTombstone.
	apartTime = 30 * time.Second
	// pairTime is how long two regions are apart before traffic is measured.
	pairTime = 10 * time.Second
	// drainSize is the largest fleet in which updates are waited for until all
	// have been sent as often as they are. It bounds the time of a run.
	drainSize = 400
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
			column("two regions apart: bytes", "B/s", Logarithmic), column("two regions apart: deaths", "records", Linear),
			column("halves apart: bytes", "B/s", Logarithmic), column("join: documents", "rounds", Logarithmic),
			column("join: views", "rounds", Logarithmic), column("join: peak", "B/s", Linear),
			column("loss: views", "rounds", Logarithmic), column("loss: peak", "B/s", Linear), column("loss: false deaths", "records", Linear),
		},
	}
	drain := Series{
		Name: "drain", Title: "Time from the loss and from the join until traffic is within 7 KB/s again",
		Size: "instances", Seed: o.Seed, Repeats: 1,
		Columns: []Column{column("loss", "s", Linear), column("join", "s", Linear)},
	}
	for _, n := range o.modelSizes() {
		o.logf("dissemination: %d instances", n)
		s, f, d := disseminate(n, o.Seed)
		spread.add(float64(n), s...)
		faults.add(float64(n), f...)
		if n <= drainSize {
			drain.add(float64(n), d...)
		}
	}
	return []Series{spread, faults, drain}
}

func disseminate(n int, seed uint64) (spread, faults, drain []float64) {
	w := newNetwork(n, seed)
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
	pair := w.pair()
	loss, lossTime := w.loss()
	halves, joinTime := w.halves()
	return spread, slices.Concat(pair, halves, loss), []float64{lossTime, joinTime}
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

// pair cuts two of the regions off from each other, while the other regions
// reach both.
func (w *network) pair() []float64 {
	w.countDeaths()
	w.cut = func(a, b int) bool { return a/2 != b/2 && a/2 < 2 && b/2 < 2 }
	w.run(pairTime)
	bytes := w.traffic(5 * time.Second)
	deaths := w.countDeaths()
	w.heal()
	w.until(w.whole)
	w.run(settleTime)
	return []float64{bytes, deaths}
}

// halves cuts one half of the regions off from the other half and from the
// platform, publishes, and joins them again.
func (w *network) halves() (figures []float64, drain float64) {
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
	peak, over := w.busy(func() bool {
		if documents == 0 && w.holders() == w.living() {
			documents = w.now.Sub(joined)
		}
		if views == 0 && w.whole() {
			views = w.now.Sub(joined)
		}
		return documents > 0 && views > 0
	})
	return []float64{apart, inRounds(documents), inRounds(views), peak}, over
}

// loss ends all processes of a data centre at once.
func (w *network) loss() (figures []float64, drain float64) {
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
	peak, over := w.busy(func() bool {
		if views == 0 && w.whole() {
			views = w.now.Sub(lost)
		}
		return views > 0
	})
	return []float64{inRounds(views), peak, max(0, w.countDeaths()-float64(dead))}, over
}

// busy runs until done holds and the traffic of a second is within the limit.
// In a fleet over drainSize it waits for done alone.
// It returns the highest traffic of a round and the time until then in seconds.
func (w *network) busy(done func() bool) (peak, seconds float64) {
	started := w.now
	finished := false
	for {
		sum := 0.0
		for range roundsEach {
			bytes := w.traffic(roundTime)
			peak = max(peak, bytes)
			sum += bytes
			finished = done() || finished
		}
		drained := sum/float64(roundsEach) <= controlBytesSecond || len(w.procs) > drainSize
		if finished && drained {
			return peak, w.now.Sub(started).Seconds() - 1
		}
		if w.now.Sub(started) > modelLimit {
			return peak, modelLimit.Seconds()
		}
	}
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
