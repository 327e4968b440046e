package experiment

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/sardineturn/sardineturn/pkg/standin/load"
)

// Write writes the rows to a JSON file. For each scenario and program, it also draws
// the share of requests that were answered within the target over time, with a line for
// each stream.
func (r Result) Write(dir, customer string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	file := filepath.Join(dir, customer+".json")
	rows, err := r.mergeRows(file)
	if err != nil {
		return err
	}
	if err := writeJSON(file, rows); err != nil {
		return err
	}
	names := make([]string, 0, len(r.Reports))
	for name := range r.Reports {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		file := filepath.Join(dir, customer+"-"+strings.ReplaceAll(name, " ", "-")+".svg")
		if err := drawTimeSeries(file, customer+" "+name, r.Reports[name]); err != nil {
			return err
		}
	}
	return nil
}

// mergeRows returns the rows of the file, if it exists, without the rows of scenarios
// that r has measured, followed by the rows of r.
func (r Result) mergeRows(file string) ([]Row, error) {
	content, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return r.Rows, nil
	}
	if err != nil {
		return nil, err
	}
	var rows []Row
	if err := json.Unmarshal(content, &rows); err != nil {
		return nil, err
	}
	rows = slices.DeleteFunc(rows, func(old Row) bool {
		return slices.ContainsFunc(r.Rows, func(row Row) bool { return row.Scenario == old.Scenario })
	})
	return append(rows, r.Rows...), nil
}

// drawTimeSeries draws the share of requests that were answered within the target over
// time, with a line for each stream.
func drawTimeSeries(file, title string, report load.Report) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "share of requests within target"
	p.Y.Min, p.Y.Max = 0, 1
	p.Legend.Top = false
	var lines []any
	for _, series := range report.Windows {
		points := make(plotter.XYs, 0, len(series.Windows))
		for n, w := range series.Windows {
			if w.Requests == 0 {
				continue
			}
			points = append(points, plotter.XY{
				X: float64(n*series.WindowMS) / 1000,
				Y: float64(w.OnTarget) / float64(w.Requests),
			})
		}
		lines = append(lines, series.Stream, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot %s: %w", title, err)
	}
	return p.Save(14*vg.Centimeter, 8*vg.Centimeter, file)
}
