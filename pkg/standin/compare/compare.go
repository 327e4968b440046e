// Package compare simulates the product and variants of it that make one decision
// in another way, in virtual time and at the sizes of the customers' services. All
// variants get the same arrivals and service times. The simulation runs the code of
// pkg/query, pkg/placement and pkg/scheduler; it models only the upstreams, the
// network delays and the loss of instances.
package compare

import (
	"fmt"
	"io"
	"math"
	"strings"
	"sync"
)

// Options select the decisions, sizes and seeds of a comparison.
type Options struct {
	// Each row is simulated with Seeds consecutive seeds, of which Seed is the
	// first.
	Seed  uint64
	Seeds int
	// Decisions holds the key letters of the decisions to compare; empty means
	// all.
	Decisions string
	// Size selects the sizes whose name contains this text; empty means all.
	Size string
	// BuiltOnly leaves out the alternatives and simulates only the product. It
	// serves to try a change of the product.
	BuiltOnly bool
	// Workers is the number of rows to simulate at the same time.
	Workers int
}

// row is one row of the tables: a variant in a scenario at a size. It holds one
// element of runs per seed.
type row struct {
	decision         decision
	scenario         scenario
	size             size
	variant          variant
	runs             []figures
	brokenInvariants []string
}

// Run simulates all selected rows and writes the tables to out. It fails if a
// run of the product or of a variant reports a broken invariant.
func Run(o Options, out io.Writer) error {
	rows := measure(o)
	fmt.Fprintf(out, "standin compare --seed %d --seeds %d: means over the seeds, with the half spread of three figures.\n", o.Seed, o.Seeds)
	fmt.Fprintln(out, legend)
	for i, r := range rows {
		if i == 0 || rows[i-1].decision.key != r.decision.key {
			_, _ = fmt.Fprintf(out, "\n%s. %s\n%s\n", r.decision.key, r.decision.name, heading)
		}
		fmt.Fprintln(out, r.line(productRow(rows, i)))
	}
	for _, r := range rows {
		if len(r.brokenInvariants) > 0 {
			return fmt.Errorf("%s, %s, %s: broken invariant: %s", r.size.name, r.scenario.name, r.variant.name, r.brokenInvariants[0])
		}
	}
	return nil
}

// productRow returns the row of the product for the scenario and size of row i. It
// precedes the rows of the other variants.
func productRow(rows []*row, i int) *row {
	for rows[i].variant.name != asBuilt.name {
		i--
	}
	return rows[i]
}

// measure simulates all selected rows and returns them, grouped by decision,
// scenario and size.
func measure(o Options) []*row {
	var rows []*row
	for _, d := range decisions() {
		if o.Decisions != "" && !strings.Contains(o.Decisions, d.key) {
			continue
		}
		for _, sc := range d.scenarios {
			for _, s := range sizes() {
				for _, v := range d.variants {
					if s.matches(o.Size) && (v.name == asBuilt.name || !o.BuiltOnly) {
						rows = append(rows, &row{decision: d, scenario: sc, size: s, variant: v, runs: make([]figures, o.Seeds)})
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
	semaphore := make(chan struct{}, max(o.Workers, 1))
	for _, r := range rows {
		wg.Add(1)
		semaphore <- struct{}{}
		go func() {
			defer wg.Done()
			for i := range r.runs {
				var broken []string
				r.runs[i], broken = simulate(r.size, r.variant, r.scenario, o.Seed+uint64(i))
				r.brokenInvariants = append(r.brokenInvariants, broken...)
			}
			<-semaphore
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

func (r *row) line(product *row) string {
	mean := func(get func(figures) float64) float64 { return meanOf(r.runs, get) }
	byPriority := func(format string, scale float64, get func(priorityFigures) float64) string {
		var out []string
		for i := range 3 {
			out = append(out, fmt.Sprintf(format, scale*mean(func(f figures) float64 { return get(f.priorities[i]) })))
		}
		return strings.Join(out, " ")
	}
	name := r.scenario.name
	return fmt.Sprintf("%-52s %-13s %-16s %s±%.1f %s %s %s %5.1f %5.1f±%.1f %5.1f±%.1f %5.1f  %s",
		name, r.size.name, r.variant.name,
		byPriority("%5.1f", 100, func(p priorityFigures) float64 { return p.inTarget }),
		100*halfSpread(r.runs, func(f figures) float64 { return f.priorities[0].inTarget }),
		byPriority("%5.1f", 100, func(p priorityFigures) float64 { return p.useful }),
		byPriority("%5.1f", 100, func(p priorityFigures) float64 { return p.kept }),
		byPriority("%5.0f", 1, func(p priorityFigures) float64 { return p.p99 }),
		100*mean(func(f figures) float64 { return f.coverage }),
		100*mean(func(f figures) float64 { return f.goodput }), 100*halfSpread(r.runs, func(f figures) float64 { return f.goodput }),
		100*mean(func(f figures) float64 { return f.extra }), 100*halfSpread(r.runs, func(f figures) float64 { return f.extra }),
		100*mean(func(f figures) float64 { return f.shed }),
		r.differences(product))
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

// The last column of the tables names a figure that is a fraction only if it differs
// from the product's by more than minDifference. It names a latency only if the
// relative difference is above minLatencyRatio.
const (
	minDifference   = 0.01
	minLatencyRatio = 0.05
)

// differences returns the text of the last column: the figures of the row that are
// better (+) or worse (-) than the product's with every seed.
func (r *row) differences(product *row) string {
	if r == product {
		return ""
	}
	var out []string
	add := func(name string, advantage func(a, b figures) float64) {
		if sign := consistentSign(r.runs, product.runs, advantage); sign != "" {
			out = append(out, name+sign)
		}
	}
	for i := range 3 {
		add(fmt.Sprintf("T%d", i), func(a, b figures) float64 { return a.priorities[i].inTarget - b.priorities[i].inTarget })
		add(fmt.Sprintf("K%d", i), func(a, b figures) float64 { return a.priorities[i].kept - b.priorities[i].kept })
	}
	add("L", func(a, b figures) float64 {
		productP99, variantP99 := b.priorities[0].p99, a.priorities[0].p99
		// consistentSign compares the result with minDifference. The factor makes it
		// compare the relative difference with minLatencyRatio.
		return (productP99 - variantP99) / max(productP99, 1) * minDifference / minLatencyRatio
	})
	add("G", func(a, b figures) float64 { return a.goodput - b.goodput })
	add("E", func(a, b figures) float64 { return b.extra + b.shed - a.extra - a.shed })
	return strings.Join(out, " ")
}

// consistentSign compares the runs of a variant with those of the product by an
// advantage, which is positive if its first argument is better than its second. It
// returns + or - if the advantage has that sign and is larger than minDifference
// with every seed, and an empty string otherwise.
func consistentSign(runs, product []figures, advantage func(a, b figures) float64) string {
	betterInAll, worseInAll := true, true
	for i := range runs {
		difference := advantage(runs[i], product[i])
		betterInAll = betterInAll && difference > minDifference
		worseInAll = worseInAll && difference < -minDifference
	}
	switch {
	case betterInAll:
		return "+"
	case worseInAll:
		return "-"
	default:
		return ""
	}
}
