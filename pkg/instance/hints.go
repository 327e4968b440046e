package instance

import (
	"sync"
	"time"

	"github.com/sardineturn/sardineturn/pkg/model"
)

const (
	// delayHintAge is how long a home's reported wait is used for admission at
	// the entry. Queues change within a second.
	delayHintAge = 500 * time.Millisecond
	// snapshotMissingAge is how long new queries avoid a snapshot that upstreams
	// lacked. Upstreams load a snapshot within seconds of each other.
	snapshotMissingAge = time.Second
)

type hintKey struct {
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

// hintTable remembers what recent answers showed. It affects efficiency only.
type hintTable struct {
	mu      sync.Mutex
	delays  map[hintKey]delayHint
	missing map[snapshotKey]time.Time
}

func (h *hintTable) setQueueDelay(now time.Time, g model.GroupKey, priority string, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delays[hintKey{g, priority}] = delayHint{delay: d, at: now}
}

func (h *hintTable) queueDelay(now time.Time, g model.GroupKey, priority string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	hint, ok := h.delays[hintKey{g, priority}]
	if !ok || now.Sub(hint.at) > delayHintAge {
		return 0
	}
	return hint.delay
}

func (h *hintTable) markSnapshotMissing(now time.Time, service string, s model.SnapshotID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.missing[snapshotKey{service, s}] = now
}

func (h *hintTable) snapshotMissing(now time.Time, service string, s model.SnapshotID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	at, ok := h.missing[snapshotKey{service, s}]
	return ok && now.Sub(at) <= snapshotMissingAge
}

// expire drops hints that are too old to be used.
func (h *hintTable) expire(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for k, hint := range h.delays {
		if now.Sub(hint.at) > delayHintAge {
			delete(h.delays, k)
		}
	}
	for k, at := range h.missing {
		if now.Sub(at) > snapshotMissingAge {
			delete(h.missing, k)
		}
	}
}
