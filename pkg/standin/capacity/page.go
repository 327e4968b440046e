package capacity

import (
	"fmt"
	"os"
	"strings"
)

// Table is a table of docs/CAPACITY.md that is generated from a report.
type Table struct {
	Name   string
	Header []string
	Rows   [][]string
}

// String returns the table in Markdown.
func (t Table) String() string {
	var b strings.Builder
	line := func(cells []string) { b.WriteString("| " + strings.Join(cells, " | ") + " |\n") }
	line(t.Header)
	line(strings.Split(strings.Repeat("---,", len(t.Header)-1)+"---", ","))
	for _, r := range t.Rows {
		line(r)
	}
	return b.String()
}

// markers returns the HTML comments that enclose a table in the page.
func markers(name string) (start, end string) {
	return "<!-- table " + name + " -->\n", "<!-- end " + name + " -->"
}

// Fill returns the page with all tables between markers replaced by the report's
// tables. It fails if the page lacks the markers of a table.
func (r *Report) Fill(page string) (string, error) {
	for _, t := range r.Tables() {
		start, end := markers(t.Name)
		from := strings.Index(page, start)
		to := strings.Index(page, end)
		if from < 0 || to < from {
			return "", fmt.Errorf("the page lacks the markers of the table %q", t.Name)
		}
		page = page[:from+len(start)] + t.String() + page[to:]
	}
	return page, nil
}

// FillPage replaces the tables in the page at path by the report's tables.
func (r *Report) FillPage(path string) error {
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page, err := r.Fill(string(content))
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

// number formats a value with three significant digits and with commas as
// thousands separators.
func number(v float64) string {
	v = roundTo(v, 3)
	switch {
	case v >= 1000 || v <= -1000:
		return thousands(int64(v))
	case v == float64(int64(v)):
		return fmt.Sprintf("%d", int64(v))
	default:
		return strings.TrimRight(strings.TrimRight(fmt.Sprintf("%.6f", v), "0"), ".")
	}
}

func thousands(v int64) string {
	if v < 0 {
		return "-" + thousands(-v)
	}
	s := fmt.Sprint(v)
	for i := len(s) - 3; i > 0; i -= 3 {
		s = s[:i] + "," + s[i:]
	}
	return s
}

// seriesTable returns the table of a series: one row per point, then a row with
// the fit of each column, then a row with the seed and the number of repeats.
func seriesTable(s *Series) Table {
	t := Table{Name: "series " + s.Name, Header: []string{s.Size}}
	for _, c := range s.Columns {
		t.Header = append(t.Header, c.Name+" ("+c.Unit+")")
	}
	for _, p := range s.Points {
		row := []string{number(p.Size)}
		for _, v := range p.Values {
			row = append(row, number(v))
		}
		t.Rows = append(t.Rows, row)
	}
	row := []string{"fit"}
	for _, c := range s.Columns {
		row = append(row, c.Fit.String())
	}
	t.Rows = append(t.Rows, row)
	provenance := fmt.Sprintf("`make capacity`, seed %d, median of %d", s.Seed, s.Repeats)
	t.Rows = append(t.Rows, append([]string{provenance}, make([]string, len(s.Columns))...))
	return t
}

// String returns the formula of the fitted line.
func (f Fit) String() string {
	x := "n"
	if f.Shape == Logarithmic {
		x = "log2(n)"
	}
	return fmt.Sprintf("%s + %s·%s (R² %.2f)", number(f.Intercept), number(f.Slope), x, f.R2)
}

// Tables returns all tables of the page.
func (r *Report) Tables() []Table {
	tables := []Table{r.runTable()}
	for i := range r.Series {
		tables = append(tables, seriesTable(&r.Series[i]))
	}
	return append(tables, r.targetTables()...)
}

func (r *Report) runTable() Table {
	t := Table{Name: "run", Header: []string{"command", "Go", "processors", "duration (s)"}}
	t.Rows = append(t.Rows, []string{"`" + r.Command + "`", r.Go, number(float64(r.Processors)), number(r.Seconds)})
	return t
}
