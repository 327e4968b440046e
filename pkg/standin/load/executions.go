package load

import (
	"context"
	"fmt"
	"time"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

const executionPage = 20000

// executionReader reads the counters and execution logs of the upstream
// stand-ins.
type executionReader struct {
	admins []string
	// since is the position in each log at the start of the run.
	since []int
	// dropped counts log entries that the stand-ins could not keep.
	dropped int
	// peakConnections is the highest number of connections to one upstream.
	peakConnections int
}

func newExecutionReader(admins []string) *executionReader {
	return &executionReader{admins: admins, since: make([]int, len(admins))}
}

// mark remembers the ends of the logs.
func (r *executionReader) mark(ctx context.Context) error {
	for i := range r.admins {
		for {
			page, err := r.page(ctx, i, r.since[i])
			if err != nil {
				return err
			}
			r.since[i] = page.Next
			if len(page.Executions) == 0 {
				break
			}
		}
	}
	return nil
}

func (r *executionReader) page(ctx context.Context, i, since int) (upstream.Executions, error) {
	var page upstream.Executions
	path := fmt.Sprintf("/admin/executions?since=%d&limit=%d", since, executionPage)
	err := launch.GetJSON(ctx, r.admins[i], path, &page)
	return page, err
}

// compare hands all executions since mark to the checker.
func (r *executionReader) compare(ctx context.Context, c *checker) error {
	if len(r.admins) == 0 {
		return nil
	}
	var all []upstream.Execution
	for i := range r.admins {
		for since := r.since[i]; ; {
			page, err := r.page(ctx, i, since)
			if err != nil {
				return err
			}
			if len(page.Executions) == 0 {
				r.dropped += page.Dropped
				break
			}
			since = page.Next
			all = append(all, page.Executions...)
		}
	}
	c.executions(all)
	return nil
}

// sampleAt returns the total number of executions at the start of each phase.
func (r *executionReader) sampleAt(ctx context.Context, start time.Time, phases []Phase) []int {
	var out []int
	for _, p := range phases {
		if !sleepUntil(ctx, start) {
			return out
		}
		total, err := r.started(ctx)
		if err != nil {
			return out
		}
		out = append(out, total)
		start = start.Add(p.duration())
	}
	return out
}

// finish turns the samples into the number of executions that started in each
// phase. An execution belongs to the phase in which it starts, which may be
// after that of its request; the last phase includes all that follow.
func (r *executionReader) finish(ctx context.Context, samples []int) ([]int, error) {
	if len(r.admins) == 0 {
		return nil, nil
	}
	last, err := r.started(ctx)
	if err != nil {
		return nil, err
	}
	out := make([]int, len(samples))
	for i := range samples {
		end := last
		if i+1 < len(samples) {
			end = samples[i+1]
		}
		out[i] = end - samples[i]
	}
	return out, nil
}

func (r *executionReader) started(ctx context.Context) (int, error) {
	total := 0
	for _, admin := range r.admins {
		var counters map[string]upstream.Counters
		if err := launch.GetJSON(ctx, admin, "/admin/counters", &counters); err != nil {
			return 0, err
		}
		for _, c := range counters {
			total += c.Started
			r.peakConnections = max(r.peakConnections, c.PeakConnections)
		}
	}
	return total, nil
}
