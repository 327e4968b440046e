package load

import (
	"context"
	"fmt"

	"github.com/sardineturn/sardineturn/pkg/standin/launch"
	"github.com/sardineturn/sardineturn/pkg/standin/upstream"
)

// executionPageSize is the largest number of log entries in one response.
const executionPageSize = 20000

// executionReader reads the counters and the execution logs of the stand-in
// upstreams over their admin listeners.
type executionReader struct {
	admins []string
	// startPositions holds the length of each log at the start of the run.
	startPositions []int
	// dropped counts executions that are missing from the logs because the logs were
	// full.
	dropped int
	// peakConnections is the highest number of connections that any upstream had at
	// the same time since it started.
	peakConnections int
}

func newExecutionReader(admins []string) *executionReader {
	return &executionReader{admins: admins, startPositions: make([]int, len(admins))}
}

// markStart records the current length of each log, so that read skips earlier entries.
func (r *executionReader) markStart(ctx context.Context) error {
	for i := range r.admins {
		page, err := r.readPage(ctx, i, 0, 1)
		if err != nil {
			return err
		}
		r.startPositions[i] = page.Total
	}
	return nil
}

// readPage reads up to limit entries of the i-th log starting at the position since.
func (r *executionReader) readPage(ctx context.Context, i, since, limit int) (upstream.Executions, error) {
	var page upstream.Executions
	path := fmt.Sprintf("/admin/executions?since=%d&limit=%d", since, limit)
	err := launch.GetJSON(ctx, r.admins[i], path, &page)
	return page, err
}

// read calls add for each execution logged after markStart, and reads the counters.
func (r *executionReader) read(ctx context.Context, add func(upstream.Execution)) error {
	for i := range r.admins {
		if err := r.readLog(ctx, i, add); err != nil {
			return err
		}
		if err := r.readCounters(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (r *executionReader) readLog(ctx context.Context, i int, add func(upstream.Execution)) error {
	for since := r.startPositions[i]; ; {
		page, err := r.readPage(ctx, i, since, executionPageSize)
		if err != nil {
			return err
		}
		if len(page.Executions) == 0 {
			r.dropped += page.Dropped
			return nil
		}
		since = page.Next
		for _, e := range page.Executions {
			add(e)
		}
	}
}

func (r *executionReader) readCounters(ctx context.Context, i int) error {
	var counters map[string]upstream.Counters
	if err := launch.GetJSON(ctx, r.admins[i], "/admin/counters", &counters); err != nil {
		return err
	}
	for _, c := range counters {
		r.peakConnections = max(r.peakConnections, c.PeakConnections)
	}
	return nil
}
