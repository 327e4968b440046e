package instance

import (
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// maxDelayHintAge is how long the entry uses a queue delay that a home has
	// reported. The entry refuses a query at once if the reported delays are beyond
	// the query's deadline. Queues change within a second.
	maxDelayHintAge = 500 * time.Millisecond
	// maxMissingSnapshotAge is how long new queries avoid a snapshot after an
	// upstream answered that it does not have the snapshot. Upstreams load a new
	// snapshot within seconds of each other.
	maxMissingSnapshotAge = time.Second
)

type delayHintKey struct {
	group    model.GroupKey
	priority string
}

type delayHint struct {
	delay time.Duration
	at    time.Time
}

type snapshotKey struct {
	service  string
	snapshot model.SnapshotID
}

// hintTable holds facts from recent answers: queue delays at homes and snapshots
// that upstreams lack. With them, the entry refuses queries early that would miss
// their deadline, and avoids those snapshots. Answers are correct without them too.
type hintTable struct {
	mu               sync.Mutex
	queueDelays      map[delayHintKey]delayHint
	missingSnapshots map[snapshotKey]time.Time
}

func (h *hintTable) setQueueDelay(now time.Time, g model.GroupKey, priority string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queueDelays[delayHintKey{g, priority}] = delayHint{delay: d, at: now}
}

func (h *hintTable) queueDelay(now time.Time, g model.GroupKey, priority string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	hint, ok := h.queueDelays[delayHintKey{g, priority}]
	if !ok || now.Sub(hint.at) > maxDelayHintAge {
		return 0
	}
	return hint.delay
}

func (h *hintTable) markSnapshotMissing(now time.Time, service string, s model.SnapshotID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.missingSnapshots[snapshotKey{service, s}] = now
}

func (h *hintTable) snapshotMissing(now time.Time, service string, s model.SnapshotID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	reportedAt, ok := h.missingSnapshots[snapshotKey{service, s}]
	return ok && now.Sub(reportedAt) <= maxMissingSnapshotAge
}

// expire drops hints that are too old to be used.
func (h *hintTable) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, hint := range h.queueDelays {
		if now.Sub(hint.at) > maxDelayHintAge {
			delete(h.queueDelays, k)
		}
	}
	for k, reportedAt := range h.missingSnapshots {
		if now.Sub(reportedAt) > maxMissingSnapshotAge {
			delete(h.missingSnapshots, k)
		}
	}
}
