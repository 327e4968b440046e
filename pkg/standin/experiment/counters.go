package experiment

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// scrapeTimeout bounds a scrape of an instance that may be paused.
const scrapeTimeout = 2 * time.Second

// attemptsMetric is the instances' counter of upstream attempts by kind.
const attemptsMetric = "sardineturn_upstream_attempts_total{"

// attempts sums the instances' upstream attempts by kind. Instances that do not
// answer are left out.
func (d *deployment) attempts(ctx context.Context) map[string]float64 {
	total := make(map[string]float64)
	for _, i := range d.fleet.Instances() {
		addAttempts(ctx, i.Settings.OperatorAddress, total)
	}
	return total
}

func addAttempts(ctx context.Context, address string, total map[string]float64) {
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
		kind, value, ok := parseAttempts(lines.Text())
		if ok {
			total[kind] += value
		}
	}
}

// parseAttempts parses a line of the form name{kind="first"} 12.
func parseAttempts(line string) (string, float64, bool) {
	rest, ok := strings.CutPrefix(line, attemptsMetric)
	if !ok {
		return "", 0, false
	}
	labels, number, ok := strings.Cut(rest, "} ")
	if !ok {
		return "", 0, false
	}
	value, err := strconv.ParseFloat(number, 64)
	kind := strings.Trim(strings.TrimPrefix(labels, "kind="), `"`)
	return kind, value, err == nil
}

// difference returns after minus before.
func difference(before, after map[string]float64) map[string]float64 {
	out := make(map[string]float64, len(after))
	for kind, v := range after {
		out[kind] = v - before[kind]
	}
	return out
}
