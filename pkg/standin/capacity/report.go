// Package capacity measures the processor time, memory and traffic of the parts
// of an instance at growing sizes. From the measurements and from lines fitted to
// them it estimates the cost of each role at the target size of docs/design.md.
// It writes the measurements to a JSON file and fills the tables of
// docs/CAPACITY.md from them.
package capacity

import (
	"fmt"
	"math"
	"runtime"
	"slices"
	"syscall"
	"time"
)

// Shape is the form of the function that is fitted to a column.
type Shape string

// Shapes of a fit.
const (
	// Linear means a line over the size.
	Linear Shape = "linear"
	// Logarithmic means a line over the binary logarithm of the size.
	Logarithmic Shape = "log2"
)

// Fit is the least-squares line y = Intercept + Slope*x, where x is the size or
// its binary logarithm.
type Fit struct {
	Shape     Shape   `json:"shape"`
	Intercept float64 `json:"intercept"`
	Slope     float64 `json:"slope"`
	// R2 is the coefficient of determination.
	R2 float64 `json:"r2"`
}

// Column describes one measured quantity of a series and holds its fit.
type Column struct {
	Name string `json:"name"`
	Unit string `json:"unit"`
	Fit  Fit    `json:"fit"`
}

// Point holds the values measured at one size (medians of the repeats), in the
// order of the columns.
type Point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// Series holds quantities that were measured together at several sizes.
type Series struct {
	Name    string   `json:"name"`
	Title   string   `json:"title"`
	Size    string   `json:"size"`
	Seed    uint64   `json:"seed"`
	Repeats int      `json:"repeats"`
	Columns []Column `json:"columns"`
	Points  []Point  `json:"points"`
}

// Report is the content of capacity.json.
type Report struct {
	Command    string   `json:"command"`
	Go         string   `json:"go"`
	Processors int      `json:"processors"`
	Seconds    float64  `json:"seconds"`
	Series     []Series `json:"series"`
}

func column(name, unit string, shape Shape) Column {
	return Column{Name: name, Unit: unit, Fit: Fit{Shape: shape}}
}

// add appends a point. It rounds the values to four significant digits before
// they are fitted and written, so that a fit computed from the file equals the
// fit computed in the run.
func (s *Series) add(size float64, values ...float64) {
	if len(values) != len(s.Columns) {
		panic(fmt.Sprintf("series %s: %d values for %d columns", s.Name, len(values), len(s.Columns)))
	}
	p := Point{Size: size}
	for _, v := range values {
		p.Values = append(p.Values, roundTo(v, 4))
	}
	s.Points = append(s.Points, p)
}

// Refit computes the fits of all columns from the points.
func (s *Series) Refit() {
	for c := range s.Columns {
		xs := make([]float64, len(s.Points))
		ys := make([]float64, len(s.Points))
		for i, p := range s.Points {
			xs[i], ys[i] = p.Size, p.Values[c]
		}
		s.Columns[c].Fit = fit(s.Columns[c].Fit.Shape, xs, ys)
	}
}

// fit returns the least-squares line through the given points, with rounded
// coefficients.
func fit(shape Shape, xs, ys []float64) Fit {
	n := float64(len(xs))
	var sx, sy, sxx, sxy, syy float64
	for i := range xs {
		x := shape.scale(xs[i])
		sx += x
		sy += ys[i]
		sxx += x * x
		sxy += x * ys[i]
		syy += ys[i] * ys[i]
	}
	f := Fit{Shape: shape, Intercept: sy / n, R2: 1}
	if determinant := n*sxx - sx*sx; determinant > 0 {
		f.Slope = (n*sxy - sx*sy) / determinant
		f.Intercept = (sy - f.Slope*sx) / n
	}
	if totalSquares := syy - sy*sy/n; totalSquares > 1e-12*syy {
		var residualSquares float64
		for i := range xs {
			residual := ys[i] - f.At(xs[i])
			residualSquares += residual * residual
		}
		f.R2 = roundTo(1-residualSquares/totalSquares, 4)
	}
	f.Intercept = roundTo(f.Intercept, 5)
	f.Slope = roundTo(f.Slope, 5)
	return f
}

// scale returns the x of the fitted line for a size.
func (s Shape) scale(x float64) float64 {
	if s == Logarithmic {
		return math.Log2(x)
	}
	return x
}

// At returns the value of the fitted line at a size.
func (f Fit) At(size float64) float64 { return f.Intercept + f.Slope*f.Shape.scale(size) }

// series returns the series with the given name. It panics if there is none,
// because then this program is wrong or capacity.json was edited by hand.
func (r *Report) series(name string) *Series {
	for i := range r.Series {
		if r.Series[i].Name == name {
			return &r.Series[i]
		}
	}
	panic("no series " + name)
}

func (s *Series) columnIndex(name string) int {
	for i := range s.Columns {
		if s.Columns[i].Name == name {
			return i
		}
	}
	panic("no column " + name + " in " + s.Name)
}

// fittedAt returns the value of a column's fitted line at a size.
func (r *Report) fittedAt(series, column string, size float64) float64 {
	s := r.series(series)
	return s.Columns[s.columnIndex(column)].Fit.At(size)
}

// slope returns the slope of a column's fitted line.
func (r *Report) slope(series, column string) float64 {
	s := r.series(series)
	return s.Columns[s.columnIndex(column)].Fit.Slope
}

// measuredAt returns the value of a column that was measured at exactly the given
// size. It panics if the size was not measured.
func (r *Report) measuredAt(series, column string, size float64) float64 {
	s := r.series(series)
	c := s.columnIndex(column)
	for _, p := range s.Points {
		if p.Size == size {
			return p.Values[c]
		}
	}
	panic(fmt.Sprintf("series %s has no size %v", series, size))
}

// atLargestSize returns the measured value of a column at the largest size of
// the series.
func (r *Report) atLargestSize(series, column string) float64 {
	s := r.series(series)
	return s.Points[len(s.Points)-1].Values[s.columnIndex(column)]
}

// roundTo rounds v to the given number of significant digits. It returns 0 for
// values that are not finite.
func roundTo(v float64, digits int) float64 {
	if v == 0 || math.IsInf(v, 0) || math.IsNaN(v) {
		return 0
	}
	scale := math.Pow(10, float64(digits)-math.Ceil(math.Log10(math.Abs(v))))
	return math.Round(v*scale) / scale
}

// median returns the middle value, or the higher of the two middle values if
// their number is even.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// medianOf repeats a measurement that returns several values, and returns the
// median of each value over the repeats.
func medianOf(repeats int, run func() []float64) []float64 {
	var runs [][]float64
	for range repeats {
		runs = append(runs, run())
	}
	out := make([]float64, len(runs[0]))
	for c := range out {
		values := make([]float64, repeats)
		for i := range runs {
			values[i] = runs[i][c]
		}
		out[c] = median(values)
	}
	return out
}

// heapBytes returns the size of the live heap. It collects garbage twice,
// because the first collection only moves pooled objects to the victim cache of
// sync.Pool.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// heapAndStackBytes returns the size of the live heap plus the size of the stacks in
// use.
func heapAndStackBytes() float64 {
	h := heapBytes()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return h + float64(m.StackInuse)
}

// processorTime returns the processor time that this process has used so far, or
// 0 if it cannot be read. Measurements use it in place of elapsed time where
// several goroutines and the kernel do the work.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// microseconds returns the time per operation in microseconds.
func microseconds(d time.Duration, operations int) float64 {
	return float64(d.Nanoseconds()) / 1000 / float64(operations)
}
