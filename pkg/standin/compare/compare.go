// Package compare runs the decisions of the product and rival ways to decide
// side by side: the same arrivals and service times in virtual time, at the
// sizes of the customers. It drives pkg/query, pkg/placement and pkg/scheduler;
// only upstreams, delays and the loss of instances are modelled.
package compare

import (
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
)

// Options select what is compared.
type Options struct {
	Seed  uint64
	Seeds int
	// Decisions are the keys of the decisions; empty means all.
	Decisions string
	// Size is part of the names of the sizes; empty means all.
	Size string
	// BuiltOnly leaves the rivals out, for trials of the product.
	BuiltOnly bool
	Workers   int
}

// row holds the figures of one way in one scenario, one per seed.
type row struct {
	decision decision
	scenario scenario
	size     size
	way      way
	runs     []figures
	broken   []string
}

// Run measures and writes the tables. It fails when the product reports a
// broken invariant.
func Run(o Options, out io.Writer) error {
	rows := measure(o)
	fmt.Fprintf(out, "standin compare --seed %d --seeds %d: means over the seeds, with the half spread of three figures.\n", o.Seed, o.Seeds)
	fmt.Fprintln(out, legend)
	for i, r := range rows {
		if i == 0 || rows[i-1].decision.key != r.decision.key {
			_, _ = fmt.Fprintf(out, "\n%s. %s\n%s\n", r.decision.key, r.decision.name, heading)
		}
		fmt.Fprintln(out, r.line(builtFor(rows, i)))
	}
	for _, r := range rows {
		if len(r.broken) > 0 {
			return fmt.Errorf("%s, %s, %s: broken invariant: %s", r.size.name, r.scenario.name, r.way.name, r.broken[0])
		}
	}
	return nil
}

// builtFor returns the row of the product that belongs to a row.
func builtFor(rows []*row, i int) *row {
	for rows[i].way.name != asBuilt.name {
		i--
	}
	return rows[i]
}

func measure(o Options) []*row {
	var rows []*row
	for _, d := range decisions() {
		if o.Decisions != "" && !strings.Contains(o.Decisions, d.key) {
			continue
		}
		for _, sc := range d.scenarios {
			for _, s := range sizes() {
				for _, v := range d.ways {
					if s.matches(o.Size) && (v.name == asBuilt.name || !o.BuiltOnly) {
						rows = append(rows, &row{decision: d, scenario: sc, size: s, way: v, runs: make([]figures, o.Seeds)})
					}
				}
			}
		}
	}
	measureRows(o, rows)
	return rows
}

func measureRows(o Options, rows []*row) {
	var wg sync.WaitGroup
	turns := make(chan struct{}, max(o.Workers, 1))
	for _, r := range rows {
		wg.Add(1)
		turns <- struct{}{}
		go func() {
			defer wg.Done()
			for i := range r.runs {
				var broken []string
				r.runs[i], broken = run(r.size, r.way, r.scenario, o.Seed+uint64(i))
				r.broken = append(r.broken, broken...)
			}
			<-turns
		}()
	}
	wg.Wait()
}

const (
	legend = `in target, useful: % of the offered queries of the priorities 0/1/2; kept: useful answers in % of the
smaller of the offered and the guaranteed rate; p99 in ms of the useful answers; cover: % of shards over
all offered queries; goodput: useful answers in % of capacity, which counts one round trip per call;
extra, shed: hedges and retries, and calls refused by upstreams, in % of first attempts. Last column:
figures that are better (+) or worse (-) than as built in every seed and by over 1 point (p99: 5%):
T in target, K kept of a priority, L p99 of priority 0, G goodput, E extra and shed.`
	heading = "scenario                                             size          way              in target         useful            kept              p99                 cover  goodput    extra      shed"
)

func (r *row) line(built *row) string {
	mean := func(get func(figures) float64) float64 { return meanOf(r.runs, get) }
	three := func(format string, scale float64, get func(priorityFigures) float64) string {
		var out []string
		for i := range 3 {
			out = append(out, fmt.Sprintf(format, scale*mean(func(f figures) float64 { return get(f.priorities[i]) })))
		}
		return strings.Join(out, " ")
	}
	name := r.scenario.name
	return fmt.Sprintf("%-52s %-13s %-16s %s±%.1f %s %s %s %5.1f %5.1f±%.1f %5.1f±%.1f %5.1f  %s",
		name, r.size.name, r.way.name,
		three("%5.1f", 100, func(p priorityFigures) float64 { return p.inTarget }),
		100*halfSpread(r.runs, func(f figures) float64 { return f.priorities[0].inTarget }),
		three("%5.1f", 100, func(p priorityFigures) float64 { return p.useful }),
		three("%5.1f", 100, func(p priorityFigures) float64 { return p.kept }),
		three("%5.0f", 1, func(p priorityFigures) float64 { return p.p99 }),
		100*mean(func(f figures) float64 { return f.coverage }),
		100*mean(func(f figures) float64 { return f.goodput }), 100*halfSpread(r.runs, func(f figures) float64 { return f.goodput }),
		100*mean(func(f figures) float64 { return f.extra }), 100*halfSpread(r.runs, func(f figures) float64 { return f.extra }),
		100*mean(func(f figures) float64 { return f.shed }),
		r.differences(built))
}

func meanOf(runs []figures, get func(figures) float64) float64 {
	sum := 0.0
	for _, f := range runs {
		sum += get(f)
	}
	return sum / float64(len(runs))
}

func halfSpread(runs []figures, get func(figures) float64) float64 {
	least, most := math.Inf(1), math.Inf(-1)
	for _, f := range runs {
		least, most = min(least, get(f)), max(most, get(f))
	}
	return (most - least) / 2
}

// leastDifference is the difference of fractions that counts, and leastRatio
// that of latencies.
const (
	leastDifference = 0.01
	leastRatio      = 0.05
)

// differences names the figures that differ from the product's in every seed.
func (r *row) differences(built *row) string {
	if r == built {
		return ""
	}
	var out []string
	add := func(name string, better func(a, b figures) float64) {
		if c := consistent(r.runs, built.runs, better); c != "" {
			out = append(out, name+c)
		}
	}
	for i := range 3 {
		add(fmt.Sprintf("T%d", i), func(a, b figures) float64 { return a.priorities[i].inTarget - b.priorities[i].inTarget })
		add(fmt.Sprintf("K%d", i), func(a, b figures) float64 { return a.priorities[i].kept - b.priorities[i].kept })
	}
	add("L", func(a, b figures) float64 {
		ours, theirs := b.priorities[0].p99, a.priorities[0].p99
		return (ours - theirs) / max(ours, 1) * leastDifference / leastRatio
	})
	add("G", func(a, b figures) float64 { return a.goodput - b.goodput })
	add("E", func(a, b figures) float64 { return b.extra + b.shed - a.extra - a.shed })
	return strings.Join(out, " ")
}

// consistent returns + or - if the difference has the same sign and counts in
// every seed.
func consistent(runs, built []figures, better func(a, b figures) float64) string {
	up, down := true, true
	for i := range runs {
		d := better(runs[i], built[i])
		up = up && d > leastDifference
		down = down && d < -leastDifference
	}
	switch {
	case up:
		return "+"
	case down:
		return "-"
	default:
		return ""
	}
}
