package experiment

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// scrapeTimeout is the longest time that reading an instance's metrics may take. It
// ends the wait for an instance that is paused and does not answer.
const scrapeTimeout = 2 * time.Second

// counter names a counter in the instances' metrics and its only label.
type counter struct{ name, label string }

var (
	attemptsByKind   = counter{"sardineturn_upstream_attempts_total", "kind"}
	violationsByName = counter{"sardineturn_invariant_violations_total", "invariant"}
)

// sumCounter returns the sums of a counter over all instances, by the value of its
// label. Instances that do not answer are left out.
func (d *deployment) sumCounter(ctx context.Context, c counter) map[string]float64 {
	total := make(map[string]float64)
	for _, i := range d.fleet.Instances() {
		c.scrapeInto(ctx, i.Settings.OperatorAddress, total)
	}
	return total
}

// scrapeInto adds the values of the counter at one instance to total. It adds
// nothing if the instance does not answer.
func (c counter) scrapeInto(ctx context.Context, address string, total map[string]float64) {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/metrics", nil)
	if err != nil {
		return
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		label, value, ok := c.parse(lines.Text())
		if ok {
			total[label] += value
		}
	}
}

// parse returns the label's value and the number in a line of the form
// name{label="first"} 12, and false for any other line.
func (c counter) parse(line string) (string, float64, bool) {
	rest, ok := strings.CutPrefix(line, c.name+"{")
	if !ok {
		return "", 0, false
	}
	labels, number, ok := strings.Cut(rest, "} ")
	if !ok {
		return "", 0, false
	}
	value, err := strconv.ParseFloat(number, 64)
	label := strings.Trim(strings.TrimPrefix(labels, c.label+"="), `"`)
	return label, value, err == nil
}

// difference returns, for each key of after, its value in after minus its value in
// before.
func difference(before, after map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(after))
	for key, v := range after {
		out[key] = v - before[key]
	}
	return out
}
